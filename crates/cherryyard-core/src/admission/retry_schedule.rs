//! Schedule of the times after which users whose submissions were refused are to retry.

use super::flows::Flow;
use crate::Millis;
use std::collections::BTreeMap;

/// Shortest and longest time after which a user is told to retry, in seconds.
const RETRY_AFTER_S: (f64, f64) = (1.0, 20.0);

/// Schedule of retries by flow. Refused users of one flow are told different times, so that their
/// retries arrive no faster than the flow is served.
#[derive(Debug)]
pub(super) struct RetrySchedule {
    /// Number of refused users of each flow whose retries are still expected, reduced with time at
    /// the rate at which the flow is served.
    expected_retries: BTreeMap<Flow, f64>,
    updated_at: Millis,
}

impl RetrySchedule {
    pub(super) fn new(now: Millis) -> Self {
        Self {
            expected_retries: BTreeMap::new(),
            updated_at: now,
        }
    }

    /// Returns the number of seconds after which the next refused user of a flow is to retry, if
    /// each flow is served at `flow_rate` submissions per second.
    pub(super) fn next_retry_s(&mut self, flow: Flow, flow_rate: f64, now: Millis) -> u32 {
        let passed_s = (now - self.updated_at).max(0.0) / 1000.0;
        self.updated_at = now;
        for expected_retries in self.expected_retries.values_mut() {
            *expected_retries = (*expected_retries - passed_s * flow_rate).max(0.0);
        }
        let expected_retries = self.expected_retries.entry(flow).or_default();
        *expected_retries += 1.0;
        let wait_s = (*expected_retries / flow_rate.max(1e-3)).ceil();
        let (min_s, max_s) = RETRY_AFTER_S;
        wait_s.clamp(min_s, max_s) as u32
    }
}
