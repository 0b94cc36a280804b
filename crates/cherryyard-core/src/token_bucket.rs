//! A share of a budget that is refilled at a steady rate.

use crate::Millis;

/// What may still be spent, and who has been sent away to come back.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    most: f64,
    left: f64,
    owed: f64,
    at: Millis,
}

impl TokenBucket {
    /// A share of `rate` a second, of which two seconds' worth may be saved up.
    pub fn new(rate: f64, now: Millis) -> Self {
        let most = (rate * 2.0).max(3.0);
        Self {
            rate,
            most,
            left: 1.0,
            owed: 0.0,
            at: now,
        }
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, rate: f64, now: Millis) {
        self.refill(now);
        self.rate = rate;
        self.most = (rate * 2.0).max(3.0);
    }

    fn refill(&mut self, now: Millis) {
        let more = (now - self.at).max(0.0) / 1000.0 * self.rate;
        self.left = (self.left + more).min(self.most);
        self.owed = (self.owed - more).max(0.0);
        self.at = now;
    }

    /// What is left now; below 0 after something urgent.
    pub fn left(&mut self, now: Millis) -> f64 {
        self.refill(now);
        self.left
    }

    /// How far below 0 something urgent may go.
    pub fn overdraft(&self) -> f64 {
        self.rate * 2.0
    }

    /// Spends `n`, whether it is there or not.
    pub fn spend(&mut self, n: f64) {
        self.left -= n;
    }

    /// Spends 1 if it is there; otherwise says after how many seconds to come
    /// back. Those who are sent away are told different times, so that they
    /// come back no faster than they can be served.
    pub fn take(&mut self, now: Millis) -> Result<(), u32> {
        self.refill(now);
        if self.left >= 1.0 {
            self.left -= 1.0;
            return Ok(());
        }
        self.owed += 1.0;
        let wait = (self.owed / self.rate.max(1e-3)).ceil();
        Err(wait.clamp(1.0, 20.0) as u32)
    }
}

#[cfg(test)]
mod tests {
    use super::TokenBucket;

    /// A flood is let through at the rate, and the rest is spread over the
    /// time that it will take.
    #[test]
    fn a_flood_is_spread() {
        let mut write_budget = TokenBucket::new(4.0, 0.0);
        write_budget.left(2000.0);
        let answers: Vec<_> = (0..40).map(|_| write_budget.take(2000.0)).collect();
        assert_eq!(answers.iter().filter(|a| a.is_ok()).count(), 8);
        let last = |n: u32| answers.iter().filter(|a| **a == Err(n)).count();
        assert_eq!((last(1), last(4), last(8), last(9)), (4, 4, 4, 0));
        let later = (0..40)
            .filter(|_| write_budget.take(4000.0).is_ok())
            .count();
        assert_eq!(later, 8);
    }
}
