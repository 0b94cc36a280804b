//! Failed searches of one scheduling cycle, so that equivalent searches are not repeated.

use crate::admission::flows::Flow;
use crate::admission::queue::{MAX_UNPLACED_JOBS_IN_ROW, Place};
use crate::needs::Resources;
use std::collections::HashMap;

/// Amounts for which no machine has free capacity.
#[derive(Debug, Default)]
pub(crate) struct UnmetNeeds(Vec<Resources>);

impl UnmetNeeds {
    /// Returns whether an earlier search has shown that no machine has capacity for an amount.
    pub(crate) fn is_unmet(&self, needs: &Resources) -> bool {
        self.0.iter().any(|unmet| unmet.fits(needs))
    }

    /// Records that no machine has capacity for an amount.
    pub(crate) fn add(&mut self, needs: Resources) {
        if !self.is_unmet(&needs) {
            self.0.retain(|unmet| !needs.fits(unmet));
            self.0.push(needs);
        }
    }
}

/// Jobs of a closed flow that were inspected after the flow was closed.
#[derive(Debug)]
struct ClosedFlow {
    inspected: usize,
    last: Place,
}

/// Limit on the jobs of each flow that a scheduling cycle inspects in vain. A flow that reaches it
/// is closed: only a few more of its jobs are inspected in the cycle.
#[derive(Debug, Default)]
pub(crate) struct SearchBudget {
    /// Number of consecutive jobs without a placed task, by flow.
    stuck: HashMap<Flow, u32>,
    closed: HashMap<Flow, ClosedFlow>,
}

impl SearchBudget {
    /// Counts an inspected job as stuck. Returns whether this makes enough stuck jobs to close the
    /// flow.
    pub(crate) fn count_inspected(&mut self, flow: Flow, place: Place) -> bool {
        if let Some(closed) = self.closed.get_mut(&flow) {
            closed.inspected += 1;
            closed.last = place;
            return false;
        }
        let stuck = self.stuck.entry(flow).or_default();
        *stuck += 1;
        let close = *stuck >= MAX_UNPLACED_JOBS_IN_ROW;
        if close {
            let closed = ClosedFlow {
                inspected: 0,
                last: place,
            };
            self.closed.insert(flow, closed);
        }
        close
    }

    /// Resets a flow's count of stuck jobs after one of its tasks was placed.
    pub(crate) fn note_placed(&mut self, flow: Flow) {
        self.stuck.insert(flow, 0);
    }

    /// Returns each closed flow with the number of its jobs that were inspected after it was
    /// closed, and its last inspected job.
    pub(crate) fn closed_flows(self) -> impl Iterator<Item = (Flow, usize, Option<Place>)> {
        self.closed
            .into_iter()
            .map(|(flow, closed)| (flow, closed.inspected, Some(closed.last)))
    }
}
