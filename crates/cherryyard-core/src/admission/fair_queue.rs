//! Start-time fair queueing over flows: which is served next.
//!
//! Each flow has a start time in virtual time, which moves on by the cost of what is served
//! over its weight; the flow with the earliest is next. One that comes back after a silence
//! begins at the virtual time where the others are: it neither waits for what it had before
//! nor has saved anything up.

use super::flows::Flow;

/// Least weight of a flow.
const LEAST_WEIGHT: f64 = 1e-3;

/// The flows' start times.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    start_times: Vec<f64>,
    /// The start time of what was served last.
    virtual_time: f64,
}

impl FairQueue {
    /// A flow that had nothing waiting has something.
    pub fn join(&mut self, flow: Flow) {
        let index = flow as usize;
        if self.start_times.len() <= index {
            self.start_times.resize(index + 1, 0.0);
        }
        self.start_times[index] = self.start_times[index].max(self.virtual_time);
    }

    /// Which of these is next.
    pub fn next(&self, waiting: impl Iterator<Item = Flow>) -> Option<Flow> {
        let start_time = |flow: &Flow| {
            let known = self.start_times.get(*flow as usize);
            known.copied().unwrap_or(0.0)
        };
        waiting.min_by(|a, b| start_time(a).total_cmp(&start_time(b)).then(a.cmp(b)))
    }

    /// A flow has been served.
    pub fn serve(&mut self, flow: Flow, cost: f64, weight: f64) {
        self.join(flow);
        let start_time = &mut self.start_times[flow as usize];
        self.virtual_time = self.virtual_time.max(*start_time);
        *start_time += cost / weight.max(LEAST_WEIGHT);
    }
}

#[cfg(test)]
mod tests;
