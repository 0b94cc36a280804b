//! Preemption: less important work is stopped to make room for waiting tasks.
//!
//! First the machine is chosen, for each waiting task, on which the least work is lost
//! ([`EvictionSearch`]). Then all victims are recorded and their machines reserved, and only
//! then are commands sent.

use super::cycle::Cycle;
use super::state::{Preempted, Reservation};
use crate::Millis;
use crate::admission::flows::Flow;
use crate::controller::Controller;
use crate::machine::{ImageState, Machine, Task};
use crate::mirror::OpenJob;
use crate::needs::Needs;
use cherryyard_wire::job::Rank;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Waiting tasks of one job for which room is made at a time.
const MAX_BENEFICIARIES: usize = 4;
/// For how long a preempted task may take to stop, and its machine stays reserved.
const RESERVATION_MS: f64 = 4000.0;
/// What stopping a task costs, less what its late start saves.
const VICTIM_COST: f64 = 1e6;
/// What it costs that the image has to be fetched.
const IMAGE_FETCH_COST: f64 = 1.5e6;
/// Differences of cores below this are rounding.
const CORES_ROUNDING: f64 = 1e-6;

/// On which machines room may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum EvictionScope {
    /// On all.
    AnyMachine,
    /// Only where the job's image is.
    HoldingImage,
}

/// The waiting tasks of a job for which room is to be made.
pub(crate) struct PreemptionRequest<'a> {
    pub(crate) shard_id: usize,
    pub(crate) job: u64,
    /// Numbers of the waiting tasks.
    pub(crate) numbers: &'a [u32],
    pub(crate) scope: EvictionScope,
}

/// Jobs that are alike in what preemption goes by: signature, rank, team and scope.
type JobProfile = (u64, Rank, u32, EvictionScope);

/// What preemption goes by in one scheduling cycle.
pub(crate) struct Preemption {
    /// The lowest rank with work in the shard.
    lowest_rank: Option<Rank>,
    /// Teams with work in the shard that use more than their guarantee.
    teams_beyond_guarantee: BTreeSet<u32>,
    /// What each team uses in all shards.
    team_totals: Vec<Needs>,
    /// Cores that may be stopped of flows which have long had too little.
    stoppable_cores: HashMap<Flow, f64>,
    /// Jobs for which a search has found nothing to stop.
    without_victims: HashSet<JobProfile>,
}

impl Preemption {
    /// Whether anything could make way for a job.
    pub(crate) fn is_possible_for(&self, open: &OpenJob) -> bool {
        self.lowest_rank.is_some_and(|rank| rank < open.rank())
            || self.teams_beyond_guarantee.iter().any(|&t| t != open.team)
    }

    fn profile(open: &OpenJob, scope: EvictionScope) -> JobProfile {
        (open.signature(), open.rank(), open.team, scope)
    }

    /// Whether a search for a job like this one has found nothing in this cycle.
    fn is_known_without_victims(&self, open: &OpenJob, scope: EvictionScope) -> bool {
        self.without_victims.contains(&Self::profile(open, scope))
    }

    /// Notes that nothing makes way. A job whose tasks are to be apart may have found the
    /// room in the wrong zone: that says nothing of others.
    fn note_without_victims(&mut self, open: &OpenJob, scope: EvictionScope) {
        if !open.spec.apart {
            self.without_victims.insert(Self::profile(open, scope));
        }
    }

    /// Takes the victims' cores from what may be stopped of their flows.
    fn take_stoppable_cores(&mut self, eviction: &Eviction, open: &BTreeMap<u64, OpenJob>) {
        for victim in &eviction.victims {
            if let Some(victim) = open.get(&victim.task.0)
                && let Some(left) = self.stoppable_cores.get_mut(&victim.flow)
            {
                *left -= victim.spec.cores;
            }
        }
    }
}

/// An attempt that could be stopped.
struct Victim {
    task: Task,
    attempt: u64,
    rank: Rank,
    needs: Needs,
    flow: Flow,
}

/// What is stopped on a machine to make room for a waiting task.
struct Eviction {
    beneficiary: Task,
    host: u32,
    victims: Vec<Victim>,
    cost: f64,
}

/// The search for the machine on which making room costs least.
struct EvictionSearch<'a> {
    controller: &'a Controller,
    shard_id: usize,
    job: u64,
    open: &'a OpenJob,
    needs: Needs,
    scope: EvictionScope,
    /// Tasks of the job by zone.
    zones: HashMap<String, u32>,
    cycle: &'a Cycle,
    now: Millis,
}

impl EvictionSearch<'_> {
    /// The cheapest eviction for a waiting task, on another machine than those before.
    fn cheapest(
        &self,
        number: u32,
        earlier: &[Eviction],
        preemption: &Preemption,
    ) -> Option<Eviction> {
        let silence = self.controller.silence_ms();
        let mut best: Option<Eviction> = None;
        for machine in self.controller.machines.values() {
            if machine.shard != self.shard_id
                || !machine.usable(self.now, silence)
                || !self.is_eligible(machine, number)
                || earlier.iter().any(|e| e.host == machine.host)
                || self.is_spoken_for(machine)
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

    /// Whether the waiting task may run on a machine.
    fn is_eligible(&self, machine: &Machine, number: u32) -> bool {
        let holds_image = || machine.image(&self.open.spec.image) == ImageState::Held;
        self.controller.allowed(self.open, machine)
            && (self.scope == EvictionScope::AnyMachine || holds_image())
            && !machine.reported.contains_key(&(self.job, number))
            && self
                .controller
                .zone_open(self.shard_id, self.open, &machine.zone, &self.zones)
    }

    /// Whether a machine is kept for others, or work is being stopped on it already.
    fn is_spoken_for(&self, machine: &Machine) -> bool {
        let shard = &self.controller.shards[self.shard_id];
        let mut tasks = self.controller.mirror.on_host(machine.host);
        shard.reserved.contains_key(&machine.host)
            || self
                .controller
                .kept_from(self.shard_id, machine.host, self.open)
            || tasks.any(|(task, _)| shard.preempted.contains_key(&task))
    }

    /// What has to be stopped on a machine for the waiting task to fit, if that is enough.
    fn eviction_on(
        &self,
        machine: &Machine,
        number: u32,
        preemption: &Preemption,
    ) -> Option<Eviction> {
        let mut free = self.controller.free_on(machine, Some(self.cycle))?;
        let mut victims = Vec::new();
        let mut cost = 0.0;
        // Of flows that have long had too little, no more is stopped than is allowed.
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
            free.give(&victim.needs);
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

    /// Work on a machine that makes way for the job: the least important first, then what
    /// began last, which has lost least.
    fn possible_victims(&self, machine: &Machine, preemption: &Preemption) -> Vec<Victim> {
        let mirror = &self.controller.mirror;
        let mut victims: Vec<Victim> = mirror
            .on_host(machine.host)
            .filter_map(|(task, assignment)| {
                let open = mirror.open.get(&task.0)?;
                self.makes_way(open, preemption).then(|| Victim {
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

    /// Whether another job makes way: it is less important, or its team uses more than its
    /// guarantee while this job's team stays within its own.
    fn makes_way(&self, other: &OpenJob, preemption: &Preemption) -> bool {
        if self.open.goes_before(other) {
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

impl Controller {
    /// What preemption goes by in a scheduling cycle. Where nothing could make way, no
    /// machine need be searched for each job that waits.
    pub(crate) fn begin_preemption(
        &self,
        shard_id: usize,
        stoppable_cores: HashMap<Flow, f64>,
    ) -> Preemption {
        let team_totals = self.team_totals();
        let mut lowest_rank: Option<Rank> = None;
        let mut teams_beyond_guarantee = BTreeSet::new();
        let assigned = self
            .mirror
            .tasks
            .assignments
            .range((shard_id, 0)..=(shard_id, u64::MAX));
        for (&(_, job), here) in assigned {
            if here.assignments.is_empty() {
                continue;
            }
            let Some(open) = self.mirror.open.get(&job) else {
                continue;
            };
            let rank = open.rank().min(open.spec.rank);
            lowest_rank = Some(lowest_rank.map_or(rank, |lowest| lowest.min(rank)));
            let team = open.team as usize;
            if team_totals[team].cores > self.config.teams[team].cores + CORES_ROUNDING {
                teams_beyond_guarantee.insert(open.team);
            }
        }
        Preemption {
            lowest_rank,
            teams_beyond_guarantee,
            team_totals,
            stoppable_cores,
            without_victims: HashSet::new(),
        }
    }

    /// Stops less important work so that waiting tasks of a job fit. Says whether a machine
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

    /// Chooses what to stop for the waiting tasks of a job, one machine for each.
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
            preemption.take_stoppable_cores(&eviction, &self.mirror.open);
            evictions.push(eviction);
        }
        evictions
    }

    /// Waiting tasks for which room is being made in a shard.
    fn beneficiaries(&self, shard_id: usize) -> HashSet<Task> {
        let shard = &self.shards[shard_id];
        let stopped_for = shard.preempted.values().map(|stopped| stopped.for_task);
        let reserved_for = shard.reserved.values().map(|kept| kept.for_task);
        stopped_for.chain(reserved_for).collect()
    }

    /// Records what is stopped and reserves the machines; returns these.
    ///
    /// All victims of a machine are recorded before the first is stopped, and the machine
    /// is reserved for whom they make room: else the first freed cores went to a waiting
    /// task of less importance, over and over.
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

    /// What each team uses in all shards.
    fn team_totals(&self) -> Vec<Needs> {
        let mut totals = vec![Needs::default(); self.config.teams.len()];
        for shard_id in 0..self.shards.len() {
            for (total, used) in totals.iter_mut().zip(&self.mirror.usage(shard_id)) {
                total.give(used);
            }
        }
        totals
    }
}
