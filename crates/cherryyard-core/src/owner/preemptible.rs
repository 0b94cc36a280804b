//! Which work of a shard could be stopped to make room, as one scheduling cycle sees it.

use crate::admission::flows::Flow;
use crate::controller::Controller;
use crate::mirror::OpenJob;
use crate::needs::Needs;
use cherryyard_wire::job::Rank;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Differences of cores below this are rounding.
pub(super) const CORES_ROUNDING: f64 = 1e-6;

/// On which machines room may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum EvictionScope {
    /// On all.
    AnyMachine,
    /// Only where the job's image is.
    HoldingImage,
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
    pub(super) team_totals: Vec<Needs>,
    /// Cores that may be stopped of flows which have long had too little.
    pub(super) stoppable_cores: HashMap<Flow, f64>,
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
    pub(super) fn is_known_without_victims(&self, open: &OpenJob, scope: EvictionScope) -> bool {
        self.without_victims.contains(&Self::profile(open, scope))
    }

    /// Notes that nothing makes way. A job whose tasks are to be apart may have found the
    /// room in the wrong zone: that says nothing of others.
    pub(super) fn note_without_victims(&mut self, open: &OpenJob, scope: EvictionScope) {
        if !open.spec.apart {
            self.without_victims.insert(Self::profile(open, scope));
        }
    }

    /// Takes the victim's cores from what may be stopped of its flow.
    pub(super) fn take_stoppable_cores(&mut self, victim: &OpenJob) {
        if let Some(left) = self.stoppable_cores.get_mut(&victim.flow) {
            *left -= victim.spec.cores;
        }
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
