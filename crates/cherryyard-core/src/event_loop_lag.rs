//! Event-loop lag: how long what comes to a controller now will wait before it is handled.
//!
//! It is measured by a probe, a task that is woken every [`QUEUE_CHECK_MS`] and then waits as
//! long as the heartbeats and requests that came before it.

use crate::Millis;

/// A longer wait, or gap between two ticks, makes the controller late.
const LATE_MS: Millis = 700.0;
/// Time between two probes.
pub const QUEUE_CHECK_MS: Millis = 100.0;

/// What is known of a controller's event-loop lag.
#[derive(Clone, Copy, Debug)]
pub struct EventLoopLag {
    /// How long the last probe waited.
    last_wait: Millis,
    /// When the next one becomes due.
    due_at: Millis,
    ticked_at: Millis,
    /// When the controller was last late.
    late_at: Millis,
}

impl EventLoopLag {
    /// A controller that has just started.
    pub fn new(now: Millis) -> Self {
        Self {
            last_wait: 0.0,
            due_at: f64::INFINITY,
            ticked_at: now,
            late_at: now,
        }
    }

    /// The clock has ticked.
    pub fn ticked(&mut self, now: Millis) {
        if now - self.ticked_at > LATE_MS {
            self.late_at = now;
        }
        self.ticked_at = now;
    }

    /// The process stood still until now.
    pub fn stood_still(&mut self, now: Millis) {
        self.late_at = now;
    }

    /// A probe that became due at `due` has been run.
    pub fn passed(&mut self, due: Millis, now: Millis) {
        self.last_wait = (now - due).max(0.0);
        self.due_at = now + QUEUE_CHECK_MS;
        if self.last_wait > LATE_MS {
            self.late_at = now;
        }
    }

    /// How long what comes now will about wait.
    pub fn now(&self, now: Millis) -> Millis {
        self.last_wait.max(now - self.due_at)
    }

    /// For how long nothing has been late: only what was silent for less than
    /// that may be silent because of this controller itself.
    pub fn punctual_for(&self, now: Millis) -> Millis {
        if self.now(now) > LATE_MS || now - self.ticked_at > LATE_MS {
            0.0
        } else {
            now - self.late_at
        }
    }
}

#[cfg(test)]
mod tests;
