//! Event-loop lag: the time that an incoming event waits before the controller handles it.
//!
//! The lag is measured by a probe, a task that is scheduled every [`PROBE_INTERVAL_MS`] and waits
//! behind the heartbeats and requests that arrived before it.

use crate::Millis;

/// Wait of a probe, or gap between two ticks, beyond which the controller is late.
const LATE_MS: Millis = 700.0;
/// Time between two probes.
pub const PROBE_INTERVAL_MS: Millis = 100.0;

/// Measurements of a controller's event-loop lag.
#[derive(Clone, Copy, Debug)]
pub struct EventLoopLag {
    /// Time that the last probe waited.
    last_wait: Millis,
    /// Time at which the next probe becomes due.
    due_at: Millis,
    ticked_at: Millis,
    /// Time at which the controller was last late.
    late_at: Millis,
}

impl EventLoopLag {
    /// Creates the measurements of a controller that has just started.
    pub fn new(now: Millis) -> Self {
        Self {
            last_wait: 0.0,
            due_at: f64::INFINITY,
            ticked_at: now,
            late_at: now,
        }
    }

    /// Records a tick of the controller's timer.
    pub fn ticked(&mut self, now: Millis) {
        if now - self.ticked_at > LATE_MS {
            self.late_at = now;
        }
        self.ticked_at = now;
    }

    /// Records that the process was paused until `now`.
    pub fn process_suspended(&mut self, now: Millis) {
        self.late_at = now;
    }

    /// Records that a probe which became due at `due` has been handled.
    pub fn probe_handled(&mut self, due: Millis, now: Millis) {
        self.last_wait = (now - due).max(0.0);
        self.due_at = now + PROBE_INTERVAL_MS;
        if self.last_wait > LATE_MS {
            self.late_at = now;
        }
    }

    /// Estimates how long an event that arrives now will wait.
    pub fn current(&self, now: Millis) -> Millis {
        self.last_wait.max(now - self.due_at)
    }

    /// Returns for how long the controller has not been late, or 0 if it is late now. A silence
    /// from before that time may be due to this controller itself, which was late to handle the
    /// messages.
    pub fn time_without_lag(&self, now: Millis) -> Millis {
        if self.current(now) > LATE_MS || now - self.ticked_at > LATE_MS {
            0.0
        } else {
            now - self.late_at
        }
    }
}

#[cfg(test)]
mod tests;
