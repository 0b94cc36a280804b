//! Failures that repeat: logged once, then counted and logged at growing intervals.

use std::time::{Duration, Instant};

/// Time after the first line until a further failure is logged.
const FIRST_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time between two lines.
const MAX_INTERVAL: Duration = Duration::from_secs(300);

/// Decides which failures of one kind are logged.
#[derive(Debug, Default)]
pub(crate) struct RepeatedFailures {
    /// The last line, while the failure goes on.
    last_line: Option<LogLine>,
    /// Failures since it last worked.
    count: u64,
}

/// A line that has been logged.
#[derive(Debug)]
struct LogLine {
    at: Instant,
    /// How long no further line is logged.
    interval: Duration,
}

impl RepeatedFailures {
    /// Counts a failure; returns how many there have been if it is to be logged.
    pub(crate) fn failed(&mut self, now: Instant) -> Option<u64> {
        self.count += 1;
        let interval = match &self.last_line {
            None => FIRST_INTERVAL,
            Some(line) if now.duration_since(line.at) < line.interval => return None,
            Some(line) => (line.interval * 2).min(MAX_INTERVAL),
        };
        self.last_line = Some(LogLine { at: now, interval });
        Some(self.count)
    }

    /// Notes that it works again; returns how often it had failed, if it had.
    pub(crate) fn worked(&mut self) -> Option<u64> {
        let count = std::mem::take(&mut self.count);
        self.last_line.take().map(|_| count)
    }
}

#[cfg(test)]
mod tests;
