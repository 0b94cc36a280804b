//! Services whose image would have to be fetched: less important tasks are stopped on machines that
//! hold the image, or the leader moves the service to a shard that does.

use super::cycle::Cycle;
use super::placement::{Candidate, Placement};
use super::preempt::PreemptionRequest;
use super::preemptible::EvictionScope;
use crate::controller::Controller;

/// Fetch time of an image above which a service's task preempts others on a machine that holds the
/// image, in seconds.
const MIN_FETCH_TO_PREEMPT_S: f64 = 1.5;
/// Fetch time of an image above which a service is handed over to another shard, in seconds.
const MIN_FETCH_TO_HAND_OVER_S: f64 = 4.0;
/// Maximum time for which a service is held back so that the leader can move it.
const MAX_HAND_OVER_WAIT_MS: f64 = 1500.0;

impl Controller {
    /// Seeks a better machine for a service's task than `host`, the best one with free capacity, if
    /// `host` would have to fetch the image first: preempts less important tasks on a machine that
    /// holds the image, or offers the job to another shard. Returns whether the task should
    /// therefore not start on `host`.
    pub(super) fn prefer_elsewhere(
        &mut self,
        placement: &mut Placement,
        candidate: &Candidate,
        number: u32,
        host: u32,
        cycle: &Cycle,
    ) -> bool {
        let (shard_id, job, now) = (placement.shard_id, candidate.job, placement.now);
        let open = &self.mirror.open[&job];
        let fetch_s = self.fetch_s(open, host);
        if fetch_s > MIN_FETCH_TO_PREEMPT_S && placement.preemption.is_possible_for(open) {
            // On a machine that holds the image the task runs at once. Less important tasks there
            // can be stopped more easily than the service can wait.
            let request = PreemptionRequest {
                shard_id,
                job,
                numbers: &[number],
                scope: EvictionScope::HoldingImage,
            };
            if self.preempt(&request, &mut placement.preemption, cycle, now) {
                return true;
            }
        }
        let open = &self.mirror.open[&job];
        let waited_ms = now - candidate.waiting_since.unwrap_or(now);
        let hand_over = fetch_s > MIN_FETCH_TO_HAND_OVER_S
            && waited_ms < MAX_HAND_OVER_WAIT_MS
            && self.fitting_elsewhere_with_image(shard_id, open, now) >= 1.0;
        if hand_over {
            placement.handed_over.insert(job);
        }
        hand_over
    }
}
