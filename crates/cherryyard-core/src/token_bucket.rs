//! A token bucket: a budget that is refilled at a steady rate, up to two seconds' worth.

use crate::Millis;

/// Seconds of refill that may be saved up, or overdrawn.
const BURST_S: f64 = 2.0;
/// Least capacity in tokens, however low the rate is.
const MIN_CAPACITY: f64 = 3.0;
/// Longest delay, in seconds, after which a refused caller is asked to retry.
const MAX_RETRY_S: f64 = 20.0;

/// Tokens left to spend, and refused callers that are expected to retry.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    capacity: f64,
    tokens: f64,
    /// Number of refused callers that are expected to retry, each for one token. It falls at the
    /// refill rate.
    expected_retries: f64,
    refilled_at: Millis,
}

fn capacity(rate: f64) -> f64 {
    (rate * BURST_S).max(MIN_CAPACITY)
}

impl TokenBucket {
    /// Creates a bucket that is refilled by `rate` tokens per second and starts with one token.
    pub fn new(rate: f64, now: Millis) -> Self {
        Self {
            rate,
            capacity: capacity(rate),
            tokens: 1.0,
            expected_retries: 0.0,
            refilled_at: now,
        }
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, rate: f64, now: Millis) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity(rate);
    }

    fn refill(&mut self, now: Millis) {
        let refilled = (now - self.refilled_at).max(0.0) / 1000.0 * self.rate;
        self.tokens = (self.tokens + refilled).min(self.capacity);
        self.expected_retries = (self.expected_retries - refilled).max(0.0);
        self.refilled_at = now;
    }

    /// Returns the tokens left at `now`, which are below 0 after urgent spending beyond the
    /// budget.
    pub fn tokens(&mut self, now: Millis) -> f64 {
        self.refill(now);
        self.tokens
    }

    /// Returns how far below 0 urgent spending may take the budget.
    pub fn overdraft(&self) -> f64 {
        self.rate * BURST_S
    }

    /// Spends `tokens`, even if fewer are left.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Spends one token if one is left. Otherwise returns the number of seconds after which to
    /// retry. The delay grows with the number of refused callers, so that they return no faster
    /// than they can be served.
    pub fn take(&mut self, now: Millis) -> Result<(), u32> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        self.expected_retries += 1.0;
        let wait_s = (self.expected_retries / self.rate.max(1e-3)).ceil();
        Err(wait_s.clamp(1.0, MAX_RETRY_S) as u32)
    }
}

#[cfg(test)]
mod tests;
