//! Search for the machine on which preempting tasks for a waiting one costs least, and for the
//! tasks to stop there.

use super::cycle::Cycle;
use super::preemptible::{CORES_ROUNDING, EvictionScope, Preemption};
use super::zone_caps::ZoneCounts;
use crate::Millis;
use crate::admission::flows::Flow;
use crate::controller::Controller;
use crate::machine::{ImageState, Machine, Task};
use crate::mirror::OpenJob;
use crate::needs::Resources;
use cherryyard_wire::job::Rank;
use std::cmp::Reverse;

/// Cost of stopping a task, from which its attempt number is subtracted, because a task that
/// started later has lost less work.
const VICTIM_COST: f64 = 1e6;
/// Cost of a machine on which the image first has to be fetched.
const IMAGE_FETCH_COST: f64 = 1.5e6;

/// An attempt that could be stopped.
pub(super) struct Victim {
    pub(super) task: Task,
    pub(super) attempt: u64,
    rank: Rank,
    needs: Resources,
    flow: Flow,
}

/// The tasks to stop on one machine so that a waiting task fits.
pub(super) struct Eviction {
    pub(super) beneficiary: Task,
    pub(super) host: u32,
    pub(super) victims: Vec<Victim>,
    cost: f64,
}

/// Search for the cheapest eviction for waiting tasks of one job.
pub(super) struct EvictionSearch<'a> {
    pub(super) controller: &'a Controller,
    pub(super) shard_id: usize,
    pub(super) job: u64,
    pub(super) open: &'a OpenJob,
    pub(super) needs: Resources,
    pub(super) scope: EvictionScope,
    /// Number of the job's tasks by zone.
    pub(super) zones: ZoneCounts,
    pub(super) cycle: &'a Cycle,
    pub(super) now: Millis,
}

impl EvictionSearch<'_> {
    /// Returns the cheapest eviction for a waiting task, on a machine that none of the `earlier`
    /// evictions uses.
    pub(super) fn cheapest(
        &self,
        number: u32,
        earlier: &[Eviction],
        preemption: &Preemption,
    ) -> Option<Eviction> {
        let silence = self.controller.silence_ms();
        let mut best: Option<Eviction> = None;
        for machine in self.controller.machines.values() {
            if machine.shard != self.shard_id
                || !machine.is_usable(self.now, silence)
                || !self.is_eligible(machine, number)
                || earlier.iter().any(|e| e.host == machine.host)
                || self.is_unavailable(machine)
            {
                continue;
            }
            if let Some(eviction) = self.eviction_on(machine, number, preemption)
                && best.as_ref().is_none_or(|b| eviction.cost < b.cost)
            {
                best = Some(eviction);
            }
        }
        best
    }

    /// Returns whether the waiting task may run on a machine.
    fn is_eligible(&self, machine: &Machine, number: u32) -> bool {
        let holds_image = || machine.image(&self.open.spec.image) == ImageState::Held;
        (self.scope == EvictionScope::AnyMachine || holds_image())
            && !machine.reported.contains_key(&(self.job, number))
            && self
                .controller
                .may_take_one_more(self.shard_id, self.open, machine, &self.zones)
    }

    /// Returns whether a machine is reserved or kept for others, or a task is already being
    /// preempted on it.
    fn is_unavailable(&self, machine: &Machine) -> bool {
        let shard = &self.controller.shards[self.shard_id];
        let mut tasks = self.controller.mirror.assignments_on(machine.host);
        shard.reserved.contains_key(&machine.host)
            || self
                .controller
                .is_kept_for_other(self.shard_id, machine.host, self.open)
            || tasks.any(|(task, _)| shard.preempted.contains_key(&task))
    }

    /// Returns the tasks to stop on a machine for the waiting task to fit, or `None` if it fits
    /// without that or not even then.
    fn eviction_on(
        &self,
        machine: &Machine,
        number: u32,
        preemption: &Preemption,
    ) -> Option<Eviction> {
        let mut free = self.controller.free_on(machine, Some(self.cycle))?;
        let mut victims = Vec::new();
        let mut cost = 0.0;
        // Flows that are ahead of rank, because they have run less than their guarantee for long,
        // lose no more cores than is allowed.
        let mut stoppable = preemption.stoppable_cores.clone();
        for victim in self.possible_victims(machine, preemption) {
            if self.needs.fits(&free) {
                break;
            }
            if let Some(left) = stoppable.get_mut(&victim.flow) {
                if *left < victim.needs.cores {
                    continue;
                }
                *left -= victim.needs.cores;
            }
            free.add(&victim.needs);
            cost += VICTIM_COST - victim.attempt as f64;
            victims.push(victim);
        }
        if !self.needs.fits(&free) || victims.is_empty() {
            return None;
        }
        if machine.image(&self.open.spec.image) != ImageState::Held {
            cost += IMAGE_FETCH_COST;
        }
        Some(Eviction {
            beneficiary: (self.job, number),
            host: machine.host,
            victims,
            cost,
        })
    }

    /// Returns the attempts on a machine that the job may preempt: the least important first, and
    /// among equals the most recently started, which has lost the least work.
    fn possible_victims(&self, machine: &Machine, preemption: &Preemption) -> Vec<Victim> {
        let mirror = &self.controller.mirror;
        let mut victims: Vec<Victim> = mirror
            .assignments_on(machine.host)
            .filter_map(|(task, assignment)| {
                let open = mirror.open.get(&task.0)?;
                self.may_preempt(open, preemption).then(|| Victim {
                    task,
                    attempt: assignment.attempt,
                    rank: open.rank(),
                    needs: open.needs(),
                    flow: open.flow,
                })
            })
            .collect();
        victims.sort_by_key(|victim| (victim.rank, Reverse(victim.attempt)));
        victims
    }

    /// Returns whether this job may preempt another: the other is less important, or the other's
    /// team uses more than its guarantee while this job's team stays within its own.
    fn may_preempt(&self, other: &OpenJob, preemption: &Preemption) -> bool {
        if self.open.may_preempt(other) {
            return true;
        }
        let (team, other_team) = (self.open.team as usize, other.team as usize);
        let guarantee = |team: usize| self.controller.config.teams[team].cores + CORES_ROUNDING;
        let totals = &preemption.team_totals;
        other_team != team
            && totals[other_team].cores > guarantee(other_team)
            && totals[team].cores + self.needs.cores <= guarantee(team)
    }
}
