//! State of the placement in one scheduling cycle: what is left to assign, and the job that is tried.

use crate::Millis;
use crate::admission::flows::Flow;
use crate::needs::Resources;
use crate::owner::preemptible::Preemption;
use crate::owner::search::{SearchBudget, UnmetNeeds};
use cherryyard_wire::RangeSet;
use std::collections::{BTreeSet, HashMap};

/// State of the placement in one scheduling cycle.
pub(in crate::owner) struct Placement {
    pub(in crate::owner) shard_id: usize,
    pub(in crate::owner) now: Millis,
    /// Remaining free capacity by machine.
    pub(in crate::owner) capacities: Vec<(u32, Resources)>,
    /// Capacity that each team uses in the shard.
    pub(in crate::owner) used: Vec<Resources>,
    pub(in crate::owner) preemption: Preemption,
    pub(super) unmet_needs: UnmetNeeds,
    /// Services that are held back for another shard.
    pub(in crate::owner) handed_over: BTreeSet<u64>,
    /// Number of tasks placed so far.
    pub(super) placed: usize,
    /// Cores that flows may still start ahead of other flows, regardless of rank.
    pub(super) ahead_cores: HashMap<Flow, f64>,
    pub(super) search_budget: SearchBudget,
    /// Cores started in this cycle, by flow.
    pub(super) started_cores: HashMap<Flow, f64>,
    /// Jobs for which the remainders of teams' grants in this shard are kept, by team.
    pub(in crate::owner) remainder_kept_for: HashMap<usize, u64>,
    /// Number of the last task tried of each job that was put back into the order of service.
    pub(super) last_tried: HashMap<u64, u32>,
}

impl Placement {
    /// Returns whether a flow has an allowance to start ahead of others regardless of rank, but too
    /// little of it is left for a task. The flow then loses the rest of the allowance.
    pub(super) fn is_beyond_allowance(&mut self, flow: Flow, needs: &Resources) -> bool {
        let left = self.ahead_cores.get(&flow);
        let is_beyond = left.is_some_and(|left| *left < needs.cores);
        if is_beyond {
            self.ahead_cores.remove(&flow);
        }
        is_beyond
    }

    /// Takes cores from a flow's allowance to start ahead of others. Returns whether the rest is
    /// too small for another task of the same size; the flow then loses it.
    pub(super) fn use_allowance(&mut self, flow: Flow, cores: f64) -> bool {
        let Some(left) = self.ahead_cores.get_mut(&flow) else {
            return false;
        };
        *left -= cores;
        let is_used_up = *left < cores;
        if is_used_up {
            self.ahead_cores.remove(&flow);
        }
        is_used_up
    }

    /// Returns whether no machine has enough free capacity, and records that, so that no machine is
    /// sought for the next task of this size or larger.
    pub(super) fn fits_nowhere(&mut self, needs: &Resources) -> bool {
        let fits_nowhere = !self.capacities.iter().any(|(_, free)| needs.fits(free));
        if fits_nowhere {
            self.unmet_needs.add(*needs);
        }
        fits_nowhere
    }
}

/// A waiting job in a scheduling cycle.
pub(in crate::owner) struct Candidate {
    pub(in crate::owner) job: u64,
    pub(in crate::owner) flow: Flow,
    pub(in crate::owner) team: u32,
    /// Team of the job, if it has a limit.
    pub(super) limited_team: Option<u32>,
    pub(in crate::owner) needs: Resources,
    pub(super) is_service: bool,
    /// Time since which the job has waited in this shard.
    pub(in crate::owner) waiting_since: Option<Millis>,
    pub(super) waiting: RangeSet,
    /// Whether the job is quarantined because it fails wherever it runs.
    pub(super) is_quarantined: bool,
    /// Machines on which the job has failed, unless it is quarantined.
    pub(super) failed_on: Option<BTreeSet<u32>>,
}
