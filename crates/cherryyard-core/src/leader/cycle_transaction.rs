//! The transaction of a leader's cycle: at most one is under way.

use crate::Millis;

/// When the transaction under way was sent, or when the next may be.
#[derive(Debug)]
pub(crate) struct CycleTransaction {
    is_pending: bool,
    /// When the last one was made.
    sent_at: Millis,
    retry_after: Millis,
    /// The next one waits until this revision is seen.
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

    /// Whether the next may be made.
    pub(crate) fn may_begin(&self, store_revision: u64, now: Millis) -> bool {
        !self.is_pending && now >= self.retry_after && store_revision >= self.awaited_revision
    }

    pub(crate) fn sent(&mut self, now: Millis) {
        self.is_pending = true;
        self.sent_at = now;
    }

    /// It was answered; says when it was made.
    pub(crate) fn answered(&mut self) -> Millis {
        self.is_pending = false;
        self.sent_at
    }

    /// The next one waits for a time.
    pub(crate) fn retry_after(&mut self, at: Millis) {
        self.retry_after = at;
    }

    /// The next one waits until the revision is seen that this one was in conflict with.
    pub(crate) fn await_revision(&mut self, store_revision: u64) {
        self.awaited_revision = store_revision;
    }
}
