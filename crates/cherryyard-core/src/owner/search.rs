//! What one scheduling cycle has looked for in vain: what is alike is not searched for again.

use crate::admission::flows::Flow;
use crate::admission::queue::{Place, WINDOW};
use crate::needs::Needs;
use std::collections::HashMap;

/// Amounts for which no machine has free capacity.
#[derive(Debug, Default)]
pub(crate) struct UnmetNeeds(Vec<Needs>);

impl UnmetNeeds {
    /// Whether it is known that no machine has room for so much.
    pub(crate) fn too_large(&self, needs: &Needs) -> bool {
        self.0.iter().any(|unmet| unmet.fits(needs))
    }

    /// Notes that no machine has room for so much.
    pub(crate) fn none_fits(&mut self, needs: Needs) {
        if !self.too_large(&needs) {
            self.0.retain(|unmet| !needs.fits(unmet));
            self.0.push(needs);
        }
    }
}

/// Jobs of a flow that have been looked at since it was closed.
#[derive(Debug)]
struct ClosedFlow {
    inspected: usize,
    last: Place,
}

/// How many of each flow's jobs a scheduling cycle has looked at in vain.
#[derive(Debug, Default)]
pub(crate) struct SearchBudget {
    /// Jobs in a row of which no task found room.
    stuck: HashMap<Flow, u32>,
    closed: HashMap<Flow, ClosedFlow>,
}

impl SearchBudget {
    /// Counts a job that is looked at. Says whether enough of its flow has been stuck for the
    /// flow to be closed.
    pub(crate) fn look(&mut self, flow: Flow, at: Place) -> bool {
        if let Some(closed) = self.closed.get_mut(&flow) {
            closed.inspected += 1;
            closed.last = at;
            return false;
        }
        let stuck = self.stuck.entry(flow).or_default();
        *stuck += 1;
        let close = *stuck >= WINDOW;
        if close {
            let closed = ClosedFlow {
                inspected: 0,
                last: at,
            };
            self.closed.insert(flow, closed);
        }
        close
    }

    /// A task of the flow has found room.
    pub(crate) fn found(&mut self, flow: Flow) {
        self.stuck.insert(flow, 0);
    }

    /// Closed flows: how many of their other jobs were looked at, and the last.
    pub(crate) fn others(self) -> impl Iterator<Item = (Flow, usize, Option<Place>)> {
        self.closed
            .into_iter()
            .map(|(flow, closed)| (flow, closed.inspected, Some(closed.last)))
    }
}
