//! What waits of a flow.

use super::late_jobs::LateJobs;
use super::oldest_job::OldestJob;
use super::place::Place;
use std::collections::BTreeSet;

/// What waits of a flow.
#[derive(Clone, Debug, Default)]
pub(super) struct FlowQueue {
    pub(super) places: BTreeSet<Place>,
    /// Where the look at others than the first goes on.
    pub(super) cursor: Option<Place>,
    pub(super) late: LateJobs,
    pub(super) oldest: OldestJob,
}
