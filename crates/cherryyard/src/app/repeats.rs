//! Failures that repeat: told once, then counted at growing intervals.

use std::time::{Duration, Instant};

/// Longest time between two lines.
const MOST: Duration = Duration::from_secs(300);

/// A failure that may repeat.
#[derive(Debug, Default)]
pub(crate) struct Repeats {
    /// How many since the last line, and when that was.
    since: Option<(u64, Instant, Duration)>,
    all: u64,
}

impl Repeats {
    /// Notes a failure; says whether to tell it, and how many there have been.
    pub(crate) fn failed(&mut self, now: Instant) -> Option<u64> {
        self.all += 1;
        match &mut self.since {
            None => {
                self.since = Some((0, now, Duration::from_secs(5)));
                Some(1)
            }
            Some((count, at, pause)) => {
                *count += 1;
                if now.duration_since(*at) < *pause {
                    return None;
                }
                (*count, *at, *pause) = (0, now, (*pause * 2).min(MOST));
                Some(self.all)
            }
        }
    }

    /// Notes that it works again; says how often it had failed, if that is worth a line.
    pub(crate) fn worked(&mut self) -> Option<u64> {
        let all = std::mem::take(&mut self.all);
        self.since.take().map(|_| all)
    }
}

#[cfg(test)]
mod tests;
