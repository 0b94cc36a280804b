//! Transactions of the leader's cycle, of which at most one is pending.

use crate::Millis;

/// State of the pending transaction, and conditions for the next one.
#[derive(Debug)]
pub(crate) struct CycleTransaction {
    is_pending: bool,
    /// Time at which the last transaction was sent.
    sent_at: Millis,
    retry_after: Millis,
    /// State revision that must have been read before the next transaction.
    awaited_revision: u64,
}

impl CycleTransaction {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            is_pending: false,
            sent_at: f64::NEG_INFINITY,
            retry_after: now,
            awaited_revision: 0,
        }
    }

    /// Returns whether the next transaction may be sent.
    pub(crate) fn may_begin(&self, store_revision: u64, now: Millis) -> bool {
        !self.is_pending && now >= self.retry_after && store_revision >= self.awaited_revision
    }

    pub(crate) fn sent(&mut self, now: Millis) {
        self.is_pending = true;
        self.sent_at = now;
    }

    /// Records that the pending transaction was answered, and returns the time at which it was
    /// sent.
    pub(crate) fn answered(&mut self) -> Millis {
        self.is_pending = false;
        self.sent_at
    }

    /// Delays the next transaction until `at`.
    pub(crate) fn retry_after(&mut self, at: Millis) {
        self.retry_after = at;
    }

    /// Delays the next transaction until the revision is read with which the last one conflicted.
    pub(crate) fn await_revision(&mut self, store_revision: u64) {
        self.awaited_revision = store_revision;
    }
}
