//! Services that had better not start where they are: less important work is stopped where
//! their image is, or the leader moves them to a shard that holds it.

use super::cycle::Cycle;
use super::placement::{Candidate, Placement};
use super::preempt::PreemptionRequest;
use super::preemptible::EvictionScope;
use crate::controller::Controller;

/// A fetch of an image for which other work makes way elsewhere, in seconds.
const PREEMPT_FETCH_S: f64 = 1.5;
/// A fetch of an image for which a service is handed over to another shard, in seconds.
const HAND_OVER_FETCH_S: f64 = 4.0;
/// Longest that a service is kept back for another shard.
const HAND_OVER_MS: f64 = 1500.0;

impl Controller {
    /// Whether a service's task that would have to fetch its image on the best machine is not
    /// started there: arrays make way where the image is, or another shard gets it.
    pub(super) fn better_elsewhere(
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
        if fetch_s > PREEMPT_FETCH_S && placement.preemption.is_possible_for(open) {
            // Where the image is, the task runs at once; the arrays there can make
            // way more easily than it can wait.
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
        let waited_ms = now - candidate.since.unwrap_or(now);
        let hand_over = fetch_s > HAND_OVER_FETCH_S
            && waited_ms < HAND_OVER_MS
            && self.held_elsewhere(shard_id, open, now) >= 1.0;
        if hand_over {
            placement.handed_over.insert(job);
        }
        hand_over
    }
}
