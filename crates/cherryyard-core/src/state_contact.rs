//! Freshness of a controller's view of the state service.
//!
//! Every decision by which an outdated view could harm others requires a view that is fresh enough.
//! The age of an answer counts from the time at which its request was *sent*, because the answer
//! shows the state of that time or later.

use crate::Millis;

/// Time between two events above which the process was suspended: it processes a tick every
/// 100 ms.
const SUSPENDED_MS: Millis = 2000.0;
/// Age of the newest answered request above which the view is no longer fresh.
const FRESH_MS: Millis = 3000.0;
/// Age of the newest answered request above which this controller reports to its peers that it is
/// cut off from the state service.
const CUT_OFF_MS: Millis = 2500.0;

/// Times of the last contacts with the state service, and the newest revision that this
/// controller wrote.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateContact {
    /// Time of the event that is being handled.
    clock: Millis,
    /// Time at which this process started or, if later, was last resumed after a suspension.
    resumed_at: Millis,
    /// Time at which the newest of the answered requests was sent.
    answered_request_sent_at: Millis,
    /// Time at which the last answer arrived.
    answered_at: Millis,
    /// Time at which the newest of the answered reads was sent.
    read_sent_at: Millis,
    /// Newest revision at which a transaction of this controller was applied.
    newest_revision: u64,
}

impl StateContact {
    /// Creates the state in which no request has been answered yet.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            clock: now,
            resumed_at: now,
            answered_request_sent_at: f64::NEG_INFINITY,
            answered_at: f64::NEG_INFINITY,
            read_sent_at: f64::NEG_INFINITY,
            newest_revision: 0,
        }
    }

    /// Records the time of an event. Returns the time since the event before it, if the process
    /// was suspended between the two.
    pub(crate) fn advance(&mut self, now: Millis) -> Option<Millis> {
        let gap = now - self.clock;
        self.clock = self.clock.max(now);
        let was_suspended = gap > SUSPENDED_MS;
        if was_suspended {
            self.resumed_at = now;
        }
        was_suspended.then_some(gap)
    }

    /// Returns the time of the event that is being handled.
    pub(crate) fn clock(&self) -> Millis {
        self.clock
    }

    /// Records that the state service answered, at `now`, a request that was sent at `sent_at`.
    pub(crate) fn answered(&mut self, sent_at: Millis, now: Millis) {
        self.answered_request_sent_at = self.answered_request_sent_at.max(sent_at);
        self.answered_at = self.answered_at.max(now);
    }

    /// Records that the state service answered, at `now`, a read that was sent at `sent_at`.
    pub(crate) fn read(&mut self, sent_at: Millis, now: Millis) {
        self.answered(sent_at, now);
        self.read_sent_at = self.read_sent_at.max(sent_at);
    }

    /// Records that a transaction of this controller was applied at this revision.
    pub(crate) fn applied(&mut self, revision: u64) {
        self.newest_revision = self.newest_revision.max(revision);
    }

    /// Returns the newest revision at which a transaction of this controller was applied; the
    /// mirror may have reached a newer one.
    pub(crate) fn newest_revision(&self) -> u64 {
        self.newest_revision
    }

    /// Returns the time at which the newest of the answered reads was sent.
    pub(crate) fn read_sent_at(&self) -> Millis {
        self.read_sent_at
    }

    /// Returns the time since the newest of the answered reads was sent.
    pub(crate) fn read_age(&self, now: Millis) -> Millis {
        now - self.read_sent_at
    }

    /// Returns the time since the last answer arrived; infinite if none ever has.
    pub(crate) fn silence(&self, now: Millis) -> Millis {
        now - self.answered_at
    }

    /// Returns whether the state service has been read since the process started or was last
    /// resumed after a suspension.
    pub(crate) fn caught_up(&self) -> bool {
        self.read_sent_at >= self.resumed_at
    }

    /// Returns whether the state service has answered a recent request, and has been read since
    /// the process started or was last resumed.
    pub(crate) fn is_fresh(&self, now: Millis) -> bool {
        now - self.answered_request_sent_at <= FRESH_MS && self.caught_up()
    }

    /// Returns whether this controller reports to its peers that it is cut off, because the state
    /// service has answered no recent request.
    pub(crate) fn is_cut_off(&self, now: Millis) -> bool {
        now - self.answered_request_sent_at > CUT_OFF_MS
    }
}
