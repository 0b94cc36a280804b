//! Submissions that wait to be written to the state service, and the answers to them.

use crate::Millis;
use crate::mirror::OpenJob;

/// Answer to a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionOutcome {
    /// The job is stored durably.
    Stored,
    /// The job is known already, and is not stored again.
    AlreadyKnown,
    /// The history has changed since the job was looked up in it; the lookup has to be repeated.
    Retry,
    /// The submission is refused because of overload; the user is to retry after this many seconds.
    Refused(u32),
    /// The state service did not store the job, or the outcome is unknown.
    Failed,
}

/// A submission as it is handed to the controller.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Number by which the answer is matched to the request.
    pub ticket: u64,
    /// Number of the job.
    pub job: u64,
    /// The job to store.
    pub open: OpenJob,
    /// Revision of the history's record as of which the job was not found in the history; 0 if
    /// there is no history.
    pub history_revision: u64,
}

/// A submission that the intake has queued or sent.
#[derive(Clone, Debug)]
pub(crate) struct WaitingSubmission {
    pub(crate) submission: Submission,
    /// Time at which the submission arrived.
    pub(crate) queued_at: Millis,
    /// Number of transactions with this submission that failed, without those that the state
    /// service refused.
    pub(crate) tries: u32,
    /// Fencing token of the leader's lease under which the job was divided among the shards.
    pub(crate) divided_under: Option<u64>,
}

impl WaitingSubmission {
    /// Creates a submission that has just arrived.
    pub(crate) fn new(offer: Submission, now: Millis) -> Self {
        Self {
            submission: offer,
            queued_at: now,
            tries: 0,
            divided_under: None,
        }
    }
}
