//! Rate limit for log lines of repeated failures: the first failure is logged at once, further
//! ones are counted and logged at growing intervals.

use std::time::{Duration, Instant};

/// Time after the first log line during which no further failure is logged.
const FIRST_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time after a log line during which no further failure is logged.
const MAX_INTERVAL: Duration = Duration::from_secs(300);

/// Decides which failures of one kind are logged.
#[derive(Debug, Default)]
pub(crate) struct RepeatedFailures {
    /// Last log line since the last success, if there is one.
    last_line: Option<LogLine>,
    /// Failures since the last success.
    count: u64,
}

/// A log line of a failure.
#[derive(Debug)]
struct LogLine {
    at: Instant,
    /// Time after this line during which no further line is logged.
    interval: Duration,
}

impl RepeatedFailures {
    /// Counts a failure; returns the number of failures since the last success if this failure is
    /// to be logged.
    pub(crate) fn record_failure(&mut self, now: Instant) -> Option<u64> {
        self.count += 1;
        let interval = match &self.last_line {
            None => FIRST_INTERVAL,
            Some(line) if now.duration_since(line.at) < line.interval => return None,
            Some(line) => (line.interval * 2).min(MAX_INTERVAL),
        };
        self.last_line = Some(LogLine { at: now, interval });
        Some(self.count)
    }

    /// Records a success; returns the number of failures before it, if there were any.
    pub(crate) fn record_success(&mut self) -> Option<u64> {
        let count = std::mem::take(&mut self.count);
        self.last_line.take().map(|_| count)
    }
}

#[cfg(test)]
mod tests;
