//! When users who are refused are to come back.

use super::flows::Flow;
use crate::Millis;
use std::collections::BTreeMap;

/// Shortest and longest time after which a user is told to come back, in seconds.
const RETRY_AFTER_S: (f64, f64) = (1.0, 20.0);

/// Users who were refused, by flow, and are to come back one after the other: those of a
/// flow are told different times, so that they come no faster than they are served.
#[derive(Debug)]
pub(super) struct RetrySchedule {
    expected: BTreeMap<Flow, f64>,
    updated_at: Millis,
}

impl RetrySchedule {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            expected: BTreeMap::new(),
            updated_at: now,
        }
    }

    /// After how many seconds a flow's next user is to come back, where each flow is
    /// served `flow_rate` submissions in a second.
    pub(super) fn next_retry_s(&mut self, flow: Flow, flow_rate: f64, now: Millis) -> u32 {
        let passed_s = (now - self.updated_at).max(0.0) / 1000.0;
        self.updated_at = now;
        for expected in self.expected.values_mut() {
            *expected = (*expected - passed_s * flow_rate).max(0.0);
        }
        let expected = self.expected.entry(flow).or_default();
        *expected += 1.0;
        let wait_s = (*expected / flow_rate.max(1e-3)).ceil();
        let (least, most) = RETRY_AFTER_S;
        wait_s.clamp(least, most) as u32
    }
}
