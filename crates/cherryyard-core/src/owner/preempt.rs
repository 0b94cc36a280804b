//! Preemption: less important tasks are stopped to free capacity for waiting ones.
//!
//! First the machine on which the least work is lost is chosen for each waiting task
//! ([`EvictionSearch`]). Then all victims are recorded and their machines reserved, and only then
//! are commands sent.

use super::cycle::Cycle;
use super::eviction::{Eviction, EvictionSearch};
use super::preemptible::{EvictionScope, Preemption};
use super::state::{Preempted, Reservation};
use crate::Millis;
use crate::controller::Controller;
use crate::machine::Task;
use std::collections::{BTreeSet, HashSet};

/// Maximum number of a job's waiting tasks for which preemption is tried at a time.
const MAX_BENEFICIARIES: usize = 4;
/// Time that a preempted task may take to stop, and for which its machine stays reserved.
const RESERVATION_MS: f64 = 4000.0;

/// Waiting tasks of a job for which others are to be preempted.
pub(crate) struct PreemptionRequest<'a> {
    pub(crate) shard_id: usize,
    pub(crate) job: u64,
    /// Numbers of the waiting tasks.
    pub(crate) numbers: &'a [u32],
    pub(crate) scope: EvictionScope,
}

impl Controller {
    /// Preempts less important tasks so that waiting tasks of a job fit. Returns whether a machine
    /// is now reserved for any of them.
    pub(crate) fn preempt(
        &mut self,
        request: &PreemptionRequest,
        preemption: &mut Preemption,
        cycle: &Cycle,
        now: Millis,
    ) -> bool {
        let evictions = self.choose_evictions(request, preemption, cycle, now);
        let hosts = self.record_evictions(request.shard_id, &evictions, now);
        let any_reserved = !hosts.is_empty();
        for host in hosts {
            self.push(host, now);
        }
        any_reserved
    }

    /// Chooses the tasks to stop for the waiting tasks of a job, on a different machine for each
    /// waiting task.
    fn choose_evictions(
        &self,
        request: &PreemptionRequest,
        preemption: &mut Preemption,
        cycle: &Cycle,
        now: Millis,
    ) -> Vec<Eviction> {
        let (shard_id, job) = (request.shard_id, request.job);
        let open = &self.mirror.open[&job];
        let mut evictions = Vec::new();
        if preemption.is_known_without_victims(open, request.scope) {
            return evictions;
        }
        let search = EvictionSearch {
            controller: self,
            shard_id,
            job,
            open,
            needs: open.needs(),
            scope: request.scope,
            zones: self.zone_counts(shard_id, job, cycle),
            cycle,
            now,
        };
        let beneficiaries = self.beneficiaries(shard_id);
        for &number in request.numbers.iter().take(MAX_BENEFICIARIES) {
            if beneficiaries.contains(&(job, number)) {
                continue;
            }
            let Some(eviction) = search.cheapest(number, &evictions, preemption) else {
                preemption.note_without_victims(open, request.scope);
                break;
            };
            for victim in &eviction.victims {
                if let Some(open) = self.mirror.open.get(&victim.task.0) {
                    preemption.take_stoppable_cores(open);
                }
            }
            evictions.push(eviction);
        }
        evictions
    }

    /// Returns the waiting tasks of a shard for which others are being preempted.
    fn beneficiaries(&self, shard_id: usize) -> HashSet<Task> {
        let shard = &self.shards[shard_id];
        let stopped_for = shard.preempted.values().map(|stopped| stopped.for_task);
        let reserved_for = shard.reserved.values().map(|kept| kept.for_task);
        stopped_for.chain(reserved_for).collect()
    }

    /// Records the victims, reserves their machines, and returns these machines.
    ///
    /// All victims of a machine are recorded before the first is stopped, and the machine is
    /// reserved for the waiting task. Otherwise the first cores to become free would go to a less
    /// important waiting task, over and over.
    fn record_evictions(
        &mut self,
        shard_id: usize,
        evictions: &[Eviction],
        now: Millis,
    ) -> BTreeSet<u32> {
        let until = now + RESERVATION_MS;
        let shard = &mut self.shards[shard_id];
        let mut hosts = BTreeSet::new();
        for eviction in evictions {
            let for_task = eviction.beneficiary;
            for victim in &eviction.victims {
                let (job, victim_job) = (for_task.0, victim.task.0);
                tracing::debug!(job, victim_job, "task preempted");
                let preempted = Preempted {
                    attempt: victim.attempt,
                    for_task,
                    until,
                };
                shard.preempted.insert(victim.task, preempted);
            }
            let reservation = Reservation { for_task, until };
            shard.reserved.insert(eviction.host, reservation);
            hosts.insert(eviction.host);
        }
        hosts
    }
}
