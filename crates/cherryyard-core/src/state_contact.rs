//! How fresh this controller's view of the state service is.
//!
//! Every decision that others could be hurt by rests on a view that is fresh enough. Times
//! count from when a request was *sent*: its answer shows the state of then or later.

use crate::Millis;

/// A longer gap between two events means that this process stood still: there is a tick every
/// tenth of a second.
const STOOD_STILL_MS: Millis = 2000.0;
/// Age of the newest answered request after which the view is not fresh any more.
const FRESH_MS: Millis = 3000.0;
/// Age of the newest answered request after which this controller tells its peers that it is
/// cut off from the state service.
const CUT_OFF_MS: Millis = 2500.0;

/// When the state service last answered, and what it showed then.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateContact {
    /// The time of the event at hand.
    clock: Millis,
    /// When this process started, or went on after it had stood still.
    woke_at: Millis,
    /// When the newest request was sent that has been answered.
    answered_request_sent_at: Millis,
    /// When an answer last came.
    answered_at: Millis,
    /// When the newest read was sent that has been answered.
    read_sent_at: Millis,
    newest_revision: u64,
}

impl StateContact {
    /// No request has been answered yet.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            clock: now,
            woke_at: now,
            answered_request_sent_at: f64::NEG_INFINITY,
            answered_at: f64::NEG_INFINITY,
            read_sent_at: f64::NEG_INFINITY,
            newest_revision: 0,
        }
    }

    /// Notes the time of an event. Returns how long the process stood still before it, if it
    /// did.
    pub(crate) fn advance(&mut self, now: Millis) -> Option<Millis> {
        let gap = now - self.clock;
        self.clock = self.clock.max(now);
        let stood_still = gap > STOOD_STILL_MS;
        if stood_still {
            self.woke_at = now;
        }
        stood_still.then_some(gap)
    }

    /// The time of the event at hand.
    pub(crate) fn clock(&self) -> Millis {
        self.clock
    }

    /// The state service has answered, at `now`, a request sent at `sent_at`.
    pub(crate) fn answered(&mut self, sent_at: Millis, now: Millis) {
        self.answered_request_sent_at = self.answered_request_sent_at.max(sent_at);
        self.answered_at = self.answered_at.max(now);
    }

    /// The same, and the request was a read.
    pub(crate) fn read(&mut self, sent_at: Millis, now: Millis) {
        self.answered(sent_at, now);
        self.read_sent_at = self.read_sent_at.max(sent_at);
    }

    /// A transaction of ours was applied at this revision.
    pub(crate) fn applied(&mut self, revision: u64) {
        self.newest_revision = self.newest_revision.max(revision);
    }

    /// The newest revision of our own transactions; the mirror may know a newer one.
    pub(crate) fn newest_revision(&self) -> u64 {
        self.newest_revision
    }

    /// When the newest read was sent that has been answered.
    pub(crate) fn read_sent_at(&self) -> Millis {
        self.read_sent_at
    }

    /// Age of the newest read.
    pub(crate) fn read_age(&self, now: Millis) -> Millis {
        now - self.read_sent_at
    }

    /// For how long no answer has come; infinite if none ever has.
    pub(crate) fn silence(&self, now: Millis) -> Millis {
        now - self.answered_at
    }

    /// Whether the state has been read since the process last stood still.
    pub(crate) fn caught_up(&self) -> bool {
        self.read_sent_at >= self.woke_at
    }

    /// Whether the state service has lately answered, and the view has caught up with it.
    pub(crate) fn is_fresh(&self, now: Millis) -> bool {
        now - self.answered_request_sent_at <= FRESH_MS && self.caught_up()
    }

    /// Whether the state service has not answered for so long that peers are told so.
    pub(crate) fn is_cut_off(&self, now: Millis) -> bool {
        now - self.answered_request_sent_at > CUT_OFF_MS
    }
}
