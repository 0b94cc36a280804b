//! Whose turn it is: weighted fair queueing over flows.
//!
//! Each flow has a tag, which moves on by the cost of what is served over its weight;
//! the lowest tag is next (start-time fair queueing). One that comes back after a
//! silence begins where the others are: it neither waits for what it had before nor
//! has saved anything up.

use super::flows::Flow;

/// The flows' tags.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    tags: Vec<f64>,
    now: f64,
}

impl FairQueue {
    /// A flow that had nothing waiting has something.
    pub fn join(&mut self, flow: Flow) {
        let at = flow as usize;
        if self.tags.len() <= at {
            self.tags.resize(at + 1, 0.0);
        }
        self.tags[at] = self.tags[at].max(self.now);
    }

    /// Which of these is next.
    pub fn next(&self, waiting: impl Iterator<Item = Flow>) -> Option<Flow> {
        let tag = |flow: &Flow| self.tags.get(*flow as usize).copied().unwrap_or(0.0);
        waiting.min_by(|a, b| tag(a).total_cmp(&tag(b)).then(a.cmp(b)))
    }

    /// A flow has been served.
    pub fn serve(&mut self, flow: Flow, cost: f64, weight: f64) {
        self.join(flow);
        let tag = &mut self.tags[flow as usize];
        self.now = self.now.max(*tag);
        *tag += cost / weight.max(1e-3);
    }
}

#[cfg(test)]
mod tests;
