//! How far behind a controller is with what waits for it.
//!
//! A task that is woken now and then waits as long as the reports and requests
//! that came before it.

use crate::Millis;

/// Longer waits, or gaps between ticks, are late.
const LATE_MS: f64 = 700.0;
/// Time between two such tasks.
pub const QUEUE_CHECK_MS: f64 = 100.0;

/// What is known of a controller's lateness.
#[derive(Clone, Copy, Debug)]
pub struct EventLoopLag {
    /// How long the last task waited, and when the next becomes due.
    last: Millis,
    due: Millis,
    ticked_at: Millis,
    late_at: Millis,
}

impl EventLoopLag {
    /// A controller that has just started.
    pub fn new(now: Millis) -> Self {
        Self {
            last: 0.0,
            due: f64::INFINITY,
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

    /// The controller stood still until now.
    pub fn stood_still(&mut self, now: Millis) {
        self.late_at = now;
    }

    /// A task that became due at `due` has had its turn.
    pub fn passed(&mut self, due: Millis, now: Millis) {
        self.last = (now - due).max(0.0);
        self.due = now + QUEUE_CHECK_MS;
        if self.last > LATE_MS {
            self.late_at = now;
        }
    }

    /// How long what comes now will about wait.
    pub fn now(&self, now: Millis) -> Millis {
        self.last.max(now - self.due)
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
mod tests {
    use super::*;

    /// Guards against silence judged by a clock that goes before the queue in
    /// which the reports wait.
    #[test]
    fn a_queue_that_stands_is_late_before_it_moves() {
        let mut l = EventLoopLag::new(0.0);
        for i in 1..=100 {
            let now = f64::from(i) * 100.0;
            l.ticked(now);
            l.passed(now, now);
        }
        assert_eq!(l.punctual_for(10_000.0), 10_000.0);
        // Ticks go on, the queue does not.
        for i in 101..=120 {
            l.ticked(f64::from(i) * 100.0);
        }
        assert_eq!(l.now(12_000.0), 1900.0);
        assert_eq!(l.punctual_for(12_000.0), 0.0);
        l.passed(10_100.0, 12_000.0);
        l.passed(12_100.0, 12_100.0);
        l.ticked(12_100.0);
        assert_eq!(l.now(12_100.0), 0.0);
        assert_eq!(l.punctual_for(12_100.0), 100.0);
    }
}
