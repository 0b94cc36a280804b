//! A token bucket: a budget that is refilled at a steady rate, up to two seconds' worth.

use crate::Millis;

/// Seconds' worth of the rate that may be saved up, or overdrawn.
const BURST_S: f64 = 2.0;
/// The least that may be saved up, however small the rate is.
const MIN_CAPACITY: f64 = 3.0;
/// Longest time, in seconds, after which those who are refused are told to come back.
const MAX_RETRY_S: f64 = 20.0;

/// What may still be spent, and how many have been refused and told to come back.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    capacity: f64,
    left: f64,
    /// Tokens that will be taken by those who were told to come back.
    owed: f64,
    refilled_at: Millis,
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST_S).max(MIN_CAPACITY)
}

impl TokenBucket {
    /// A bucket that is refilled by `rate` a second, and begins with one token.
    pub fn new(rate: f64, now: Millis) -> Self {
        Self {
            rate,
            capacity: capacity(rate),
            left: 1.0,
            owed: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, rate: f64, now: Millis) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity(rate);
    }

    fn refill(&mut self, now: Millis) {
        let more = (now - self.refilled_at).max(0.0) / 1000.0 * self.rate;
        self.left = (self.left + more).min(self.capacity);
        self.owed = (self.owed - more).max(0.0);
        self.refilled_at = now;
    }

    /// What is left now; below 0 after something urgent.
    pub fn left(&mut self, now: Millis) -> f64 {
        self.refill(now);
        self.left
    }

    /// How far below 0 something urgent may go.
    pub fn overdraft(&self) -> f64 {
        self.rate * BURST_S
    }

    /// Spends `tokens`, whether they are there or not.
    pub fn spend(&mut self, tokens: f64) {
        self.left -= tokens;
    }

    /// Spends 1 token if it is there; otherwise says after how many seconds to come
    /// back. Those who are refused are told different times, so that they
    /// come back no faster than they can be served.
    pub fn take(&mut self, now: Millis) -> Result<(), u32> {
        self.refill(now);
        if self.left >= 1.0 {
            self.left -= 1.0;
            return Ok(());
        }
        self.owed += 1.0;
        let wait_s = (self.owed / self.rate.max(1e-3)).ceil();
        Err(wait_s.clamp(1.0, MAX_RETRY_S) as u32)
    }
}

#[cfg(test)]
mod tests;
