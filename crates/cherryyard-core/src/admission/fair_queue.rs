//! Start-time fair queueing, which chooses the flow to serve next.
//!
//! Each flow has a start time in virtual time, which advances by cost divided by weight with each
//! item served. The flow with the earliest start time is next. A flow that becomes active again
//! after it was idle starts no earlier than the current virtual time, so that it gains no credit
//! for the time in which it had nothing waiting.

use super::flows::Flow;

/// Smallest weight that is used for a flow: costs are divided by it.
const MIN_WEIGHT: f64 = 1e-3;

/// Start times of all flows in virtual time.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    start_times: Vec<f64>,
    /// Largest start time at which a flow has been served.
    virtual_time: f64,
}

impl FairQueue {
    /// Activates a flow that had nothing waiting: its start time is not before the virtual time.
    pub fn join(&mut self, flow: Flow) {
        let index = flow as usize;
        if self.start_times.len() <= index {
            self.start_times.resize(index + 1, 0.0);
        }
        self.start_times[index] = self.start_times[index].max(self.virtual_time);
    }

    /// Returns which of the `waiting` flows is served next: the one with the earliest start time,
    /// and of several the one with the lowest index.
    pub fn next(&self, waiting: impl Iterator<Item = Flow>) -> Option<Flow> {
        let start_time = |flow: &Flow| {
            let known = self.start_times.get(*flow as usize);
            known.copied().unwrap_or(0.0)
        };
        waiting.min_by(|a, b| start_time(a).total_cmp(&start_time(b)).then(a.cmp(b)))
    }

    /// Records that an item of a flow has been served, and advances the flow's start time by `cost`
    /// divided by `weight`.
    pub fn serve(&mut self, flow: Flow, cost: f64, weight: f64) {
        self.join(flow);
        let start_time = &mut self.start_times[flow as usize];
        self.virtual_time = self.virtual_time.max(*start_time);
        *start_time += cost / weight.max(MIN_WEIGHT);
    }
}

#[cfg(test)]
mod tests;
