//! A submission on its way into the state service, and what has become of it.

use crate::Millis;
use crate::mirror::OpenJob;

/// What has become of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is durable.
    Taken,
    /// The job is known already: its status tells more.
    Known,
    /// The history has changed since the job was looked for there.
    Retry,
    /// Refused: come back after so many seconds.
    Busy(u32),
    /// The state service did not take it, or nobody knows.
    Failed,
}

/// A submission that waits to be written.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Its number, for the answer.
    pub ticket: u64,
    /// The job's number.
    pub job: u64,
    /// The job.
    pub open: OpenJob,
    /// As of which revision of the history's record it was not found there; 0: there is
    /// no history.
    pub moved: u64,
}

/// A submission in the intake.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) offer: Offer,
    pub(crate) since: Millis,
    /// Transactions with it that were not applied.
    pub(crate) tries: u32,
    /// The leader's lease under which it was divided.
    pub(crate) divided_under: Option<u64>,
}

impl Waiting {
    /// A submission that has just come.
    pub(crate) fn new(offer: Offer, now: Millis) -> Self {
        Self {
            offer,
            since: now,
            tries: 0,
            divided_under: None,
        }
    }
}
