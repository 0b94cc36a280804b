//! Queue of the waiting jobs of one flow.

use super::late_jobs::LateJobs;
use super::oldest_job::OldestJob;
use super::place::Place;
use std::collections::BTreeSet;

/// Waiting jobs of one flow.
#[derive(Clone, Debug, Default)]
pub(super) struct FlowQueue {
    /// Places of all jobs, in the order of service.
    pub(super) places: BTreeSet<Place>,
    /// Last place that was inspected behind the first jobs of the queue; the next scheduling cycle
    /// continues after it.
    pub(super) cursor: Option<Place>,
    pub(super) late: LateJobs,
    pub(super) oldest: OldestJob,
}
