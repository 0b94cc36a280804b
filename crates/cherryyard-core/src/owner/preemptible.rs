//! Summary of which of a shard's tasks could be preempted, for one scheduling cycle.

use crate::admission::flows::Flow;
use crate::controller::Controller;
use crate::mirror::OpenJob;
use crate::needs::Resources;
use cherryyard_wire::job::Rank;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Tolerance for rounding in comparisons of cores.
pub(super) const CORES_ROUNDING: f64 = 1e-6;

/// Machines on which a task may be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum EvictionScope {
    /// Any machine.
    AnyMachine,
    /// Machines that hold the waiting job's image.
    HoldingImage,
}

/// Properties that decide whether a job finds victims: signature, rank, team and scope.
type JobProfile = (u64, Rank, u32, EvictionScope);

/// State of preemption in one scheduling cycle.
pub(crate) struct Preemption {
    /// Lowest rank of any job with assignments in the shard.
    lowest_rank: Option<Rank>,
    /// Teams with assignments in the shard that use more than their guarantee.
    teams_beyond_guarantee: BTreeSet<u32>,
    /// Capacity that each team uses in all shards.
    pub(super) team_totals: Vec<Resources>,
    /// Cores that may be preempted of each flow that is ahead of rank, because it has run less than
    /// its guarantee for long. Tasks of other flows may be preempted as their rank permits.
    pub(super) stoppable_cores: HashMap<Flow, f64>,
    /// Jobs for which a search has found no victims.
    without_victims: HashSet<JobProfile>,
}

impl Preemption {
    /// Returns whether any task might be preempted for a job.
    pub(crate) fn is_possible_for(&self, open: &OpenJob) -> bool {
        self.lowest_rank.is_some_and(|rank| rank < open.rank())
            || self.teams_beyond_guarantee.iter().any(|&t| t != open.team)
    }

    fn profile(open: &OpenJob, scope: EvictionScope) -> JobProfile {
        (open.signature(), open.rank(), open.team, scope)
    }

    /// Returns whether a search in this cycle has found no victims for a job with the same profile.
    pub(super) fn is_known_without_victims(&self, open: &OpenJob, scope: EvictionScope) -> bool {
        self.without_victims.contains(&Self::profile(open, scope))
    }

    /// Records that a search has found no victims for a job. Jobs whose tasks are spread over zones
    /// are left out: the victims may be in zones in which the job has reached its cap, so the
    /// search proves nothing for other jobs.
    pub(super) fn note_without_victims(&mut self, open: &OpenJob, scope: EvictionScope) {
        if !open.spec.apart {
            self.without_victims.insert(Self::profile(open, scope));
        }
    }

    /// Deducts a victim's cores from those that may be preempted of its flow.
    pub(super) fn take_stoppable_cores(&mut self, victim: &OpenJob) {
        if let Some(left) = self.stoppable_cores.get_mut(&victim.flow) {
            *left -= victim.spec.cores;
        }
    }
}

impl Controller {
    /// Prepares the preemption of a scheduling cycle. If nothing can be preempted, the cycle need
    /// not search the machines for each waiting job.
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
        for (&(_, job), job_tasks) in assigned {
            if job_tasks.assignments.is_empty() {
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

    /// Returns the capacity that each team uses in all shards.
    fn team_totals(&self) -> Vec<Resources> {
        let mut totals = vec![Resources::default(); self.config.teams.len()];
        for shard_id in 0..self.shards.len() {
            for (total, used) in totals.iter_mut().zip(&self.mirror.usage(shard_id)) {
                total.add(used);
            }
        }
        totals
    }
}
