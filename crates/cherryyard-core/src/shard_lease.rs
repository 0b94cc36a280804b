//! The local state of a controller's lease on one shard: its phase, and when it may be acquired.
//!
//! The lease itself is a record in the state service, and the revision of that record is the
//! owner's fencing token. [`LeasePhase::after`] defines all transitions between phases;
//! [`crate::lease_acquisition`] applies their consequences to the shard's machines and queues.

use crate::Millis;
use crate::machine::OwnTokens;

/// Base of the backoff during which a controller leaves a shard to the other controllers after
/// it has released the shard's lease. The backoff is this time doubled once for each release so
/// far, up to [`MAX_BACKOFF_DOUBLINGS`] times: 40 s, 80 s, and then always 160 s.
const RELEASE_BACKOFF_BASE_MS: Millis = 20_000.0;
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Phase of this controller's lease on a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeasePhase {
    /// Another controller holds the lease, or none does.
    NotHeld,
    /// The transaction that acquires the lease is in flight.
    Acquiring,
    /// This controller holds the lease with this fencing token.
    Held(u64),
    /// This controller holds the lease with this fencing token as far as the state service has
    /// shown it, but a peer reported a newer lease.
    Superseded(u64),
}

/// An event that moves a lease from one phase to another.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LeaseEvent {
    /// The transaction that acquires the lease, or renews it under a new token, was sent.
    AcquireSent,
    /// The transaction that acquires or renews the lease was applied at this revision.
    Acquired(u64),
    /// The transaction that acquires or renews the lease was not applied, or its outcome is
    /// unknown.
    AcquireFailed,
    /// The state service shows another lease, or none.
    Lost,
    /// A peer reported a newer lease.
    NewerTokenSeen,
}

impl LeasePhase {
    /// Returns the phase that follows when `event` occurs in this phase.
    fn after(self, event: LeaseEvent) -> Self {
        use LeaseEvent::*;
        match (self, event) {
            (Self::NotHeld, AcquireSent) => Self::Acquiring,
            (Self::Held(token) | Self::Superseded(token), AcquireSent) => Self::Held(token),
            (_, Acquired(token)) => Self::Held(token),
            (Self::Acquiring, AcquireFailed) => Self::NotHeld,
            (Self::Held(_) | Self::Superseded(_), Lost) => Self::NotHeld,
            (Self::Held(token), NewerTokenSeen) => Self::Superseded(token),
            (same, _) => same,
        }
    }
}

/// State of this controller's lease on a shard.
#[derive(Debug)]
pub(crate) struct ShardLease {
    phase: LeasePhase,
    /// Whether a transaction that acquires, renews or releases the lease is in flight.
    transaction_pending: bool,
    /// Earliest time at which the next transaction to acquire or renew the lease may be sent.
    acquire_after: Millis,
    /// Time since which the state service has shown no lease on the shard.
    ownerless_since: Option<Millis>,
    /// Whether the lease is to be renewed under a new token.
    new_token_wanted: bool,
    /// Token under which the uninterrupted holding of the lease began; see
    /// [`ShardLease::tokens`].
    first_token: u64,
    /// Time since which the lease has been held without interruption, under any token.
    held_since: Millis,
    /// Number of times that this controller has released the lease.
    releases: u32,
    /// End of the backoff after the last release.
    backoff_until: Millis,
}

impl ShardLease {
    /// Creates a lease that is not held.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            phase: LeasePhase::NotHeld,
            transaction_pending: false,
            acquire_after: now,
            ownerless_since: None,
            new_token_wanted: false,
            first_token: 0,
            held_since: now,
            releases: 0,
            backoff_until: f64::NEG_INFINITY,
        }
    }

    /// Returns the token, if the lease is held and no newer lease is known.
    pub(crate) fn held_token(&self) -> Option<u64> {
        match self.phase {
            LeasePhase::Held(token) => Some(token),
            LeasePhase::NotHeld | LeasePhase::Acquiring | LeasePhase::Superseded(_) => None,
        }
    }

    /// Returns the token, if the lease is held, even if a peer reported a newer lease.
    pub(crate) fn last_token(&self) -> Option<u64> {
        match self.phase {
            LeasePhase::Held(token) | LeasePhase::Superseded(token) => Some(token),
            LeasePhase::NotHeld | LeasePhase::Acquiring => None,
        }
    }

    /// Returns the tokens under which the lease has been held without interruption, if it is held
    /// and no newer lease is known.
    pub(crate) fn tokens(&self) -> Option<OwnTokens> {
        self.held_token().map(|current| OwnTokens {
            first: self.first_token,
            current,
        })
    }

    /// Returns the time since which the lease has been held without interruption, under any
    /// token.
    pub(crate) fn held_since(&self) -> Millis {
        self.held_since
    }

    /// Returns whether a transaction that acquires, renews or releases the lease is in flight.
    pub(crate) fn transaction_pending(&self) -> bool {
        self.transaction_pending
    }

    /// Applies an event. Returns the new phase if the event changes it.
    pub(crate) fn change(&mut self, event: LeaseEvent, now: Millis) -> Option<LeasePhase> {
        let before = self.phase;
        self.phase = before.after(event);
        if before == self.phase {
            return None;
        }
        match self.phase {
            LeasePhase::NotHeld => self.new_token_wanted = false,
            LeasePhase::Held(token) => {
                if !matches!(before, LeasePhase::Held(_)) {
                    self.held_since = now;
                    self.first_token = token;
                }
            }
            LeasePhase::Acquiring | LeasePhase::Superseded(_) => {}
        }
        Some(self.phase)
    }

    /// Requests a renewal of the lease under a new token, which tells the heartbeats of a worker that
    /// has restarted from late copies of those from before.
    pub(crate) fn want_new_token(&mut self) {
        self.new_token_wanted = true;
    }

    /// Returns whether a renewal of the lease under a new token has been requested.
    pub(crate) fn wants_new_token(&self) -> bool {
        self.new_token_wanted
    }

    /// Returns whether a transaction that acquires or renews the lease may be sent.
    pub(crate) fn may_acquire(&self, now: Millis) -> bool {
        !self.transaction_pending && now >= self.acquire_after
    }

    /// Returns whether the backoff after a release is still running. Until the backoff ends, no
    /// lease on the shard is adopted.
    pub(crate) fn is_backing_off(&self, now: Millis) -> bool {
        now < self.backoff_until
    }

    /// Returns whether the backoff after a release is still running and no transaction to acquire
    /// the lease has been tried since the release.
    pub(crate) fn is_backing_off_untried(&self, now: Millis) -> bool {
        now < self.backoff_until.min(self.acquire_after)
    }

    /// Records that the state service shows a lease on the shard.
    pub(crate) fn note_owner(&mut self) {
        self.ownerless_since = None;
    }

    /// Records that the state service shows no lease on the shard. Returns the time for which
    /// there has been none.
    pub(crate) fn note_no_owner(&mut self, now: Millis) -> Millis {
        now - *self.ownerless_since.get_or_insert(now)
    }

    /// Records that a transaction that acquires or renews the lease was sent.
    pub(crate) fn acquire_sent(&mut self) {
        self.transaction_pending = true;
        self.new_token_wanted = false;
    }

    /// Records that a transaction that releases the lease was sent.
    pub(crate) fn release_sent(&mut self) {
        self.transaction_pending = true;
    }

    /// Records that the outcome of a transaction that acquires, renews or releases the lease has
    /// arrived.
    pub(crate) fn transaction_ended(&mut self) {
        self.transaction_pending = false;
    }

    /// Sets the earliest time at which a failed transaction to acquire the lease is retried.
    pub(crate) fn retry_acquire_after(&mut self, retry_at: Millis) {
        self.acquire_after = retry_at;
    }

    /// Records that the lease was released, and starts a backoff that grows with the number of
    /// releases.
    pub(crate) fn released(&mut self, now: Millis) {
        self.releases += 1;
        let factor = 1u32 << self.releases.min(MAX_BACKOFF_DOUBLINGS);
        self.acquire_after = now + RELEASE_BACKOFF_BASE_MS * f64::from(factor);
        self.backoff_until = self.acquire_after;
    }
}
