//! What one scheduling cycle has looked for in vain.

use super::*;
use crate::admission::flows::Flow;
use crate::admission::queue::{Place, WINDOW};

/// What a scheduling cycle has searched for in vain: what is alike is not searched for again.
#[derive(Debug, Default)]
pub(crate) struct Search {
    /// Amounts for which no machine has room.
    too_large: Vec<Needs>,
    /// Signatures, ranks and teams for which nothing can make way; and whether only
    /// machines that hold the image counted.
    firm: HashSet<(u64, Rank, u32, bool)>,
}

impl Search {
    /// Whether no machine has room for so much.
    pub(crate) fn too_large(&self, needs: &Needs) -> bool {
        self.too_large.iter().any(|n| n.fits(needs))
    }

    /// Notes that no machine has room for so much.
    pub(crate) fn none_fits(&mut self, needs: Needs) {
        if !self.too_large(&needs) {
            self.too_large.retain(|n| !needs.fits(n));
            self.too_large.push(needs);
        }
    }

    /// Whether nothing makes way for such jobs.
    pub(crate) fn is_firm(&self, open: &OpenJob, holding: bool) -> bool {
        let key = (open.signature(), open.rank(), open.team, holding);
        self.firm.contains(&key)
    }

    /// Notes that nothing does. A job whose tasks are to be apart may have found the
    /// room in the wrong zone: that says nothing of others.
    pub(crate) fn firm(&mut self, open: &OpenJob, holding: bool) {
        if !open.spec.apart {
            let key = (open.signature(), open.rank(), open.team, holding);
            self.firm.insert(key);
        }
    }
}

/// How many of each flow's jobs a scheduling cycle has looked at in vain.
#[derive(Debug, Default)]
pub(crate) struct SearchBudget {
    stuck: HashMap<Flow, u32>,
    others: HashMap<Flow, (usize, Place)>,
}

impl SearchBudget {
    /// Whether enough of a flow has been stuck for it to be closed.
    pub(crate) fn look(&mut self, flow: Flow, at: Place) -> bool {
        if let Some((n, last)) = self.others.get_mut(&flow) {
            (*n, *last) = (*n + 1, at);
            return false;
        }
        let stuck = self.stuck.entry(flow).or_default();
        *stuck += 1;
        let close = *stuck >= WINDOW;
        if close {
            self.others.insert(flow, (0, at));
        }
        close
    }

    /// A task of the flow has found room.
    pub(crate) fn found(&mut self, flow: Flow) {
        self.stuck.insert(flow, 0);
    }

    /// Flows of which others were looked at: how many, and the last.
    pub(crate) fn others(self) -> impl Iterator<Item = (Flow, usize, Option<Place>)> {
        let all = self.others.into_iter();
        all.map(|(flow, (n, last))| (flow, n, Some(last)))
    }
}
