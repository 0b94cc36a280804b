//! This controller's lease on one shard: its phase, and when it may be acquired.
//!
//! The lease itself is a record in the state service, and its revision is the owner's fencing
//! token. [`LeasePhase::after`] is the whole of the state machine; what a change of phase means
//! for the shard's machines and queues is in [`crate::lease_acquisition`].

use crate::Millis;

/// Half the time for which a shard is left to others after the first release of its lease; it doubles
/// with each further release, [`MAX_DOUBLINGS`] times at most.
const RELEASED_MS: Millis = 20_000.0;
const MAX_DOUBLINGS: u32 = 3;

/// Where a shard's lease stands with this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeasePhase {
    /// Someone else's, or nobody's.
    NotHeld,
    /// The transaction that acquires it is under way.
    Acquiring,
    /// Ours, with this fencing token.
    Held(u64),
    /// Ours, but a peer knows of a newer lease.
    Superseded(u64),
}

/// What moves a lease from one phase to another.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LeaseEvent {
    /// The transaction that acquires it, or renews it under a new token, was sent.
    AcquireSent,
    /// That transaction was applied at this revision.
    Acquired(u64),
    /// It was not applied, or that is unknown.
    AcquireFailed,
    /// The state service shows another lease, or none.
    Lost,
    /// A peer knows of a newer lease.
    NewerTokenSeen,
}

impl LeasePhase {
    /// The phase that follows when `event` happens in this one.
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

/// This controller's lease on a shard.
#[derive(Debug)]
pub(crate) struct ShardLease {
    phase: LeasePhase,
    /// Whether a transaction that acquires, renews or releases it is under way.
    transaction_pending: bool,
    acquire_after: Millis,
    /// Since when the state service has shown no lease on the shard.
    ownerless_since: Option<Millis>,
    /// Whether it is to be renewed under a new token.
    new_token_wanted: bool,
    /// Since when it has been held under this token, and under any.
    token_since: Millis,
    held_since: Millis,
    /// How often it has been released.
    releases: u32,
    /// Until when the shard is left to others after a release.
    left_until: Millis,
}

impl ShardLease {
    /// A lease that is not held.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            phase: LeasePhase::NotHeld,
            transaction_pending: false,
            acquire_after: now,
            ownerless_since: None,
            new_token_wanted: false,
            token_since: now,
            held_since: now,
            releases: 0,
            left_until: f64::NEG_INFINITY,
        }
    }

    /// The token, if the lease is held and no newer one is known.
    pub(crate) fn held_token(&self) -> Option<u64> {
        match self.phase {
            LeasePhase::Held(token) => Some(token),
            LeasePhase::NotHeld | LeasePhase::Acquiring | LeasePhase::Superseded(_) => None,
        }
    }

    /// The token, if the lease is held, whether a peer knows of a newer one or not.
    pub(crate) fn last_token(&self) -> Option<u64> {
        match self.phase {
            LeasePhase::Held(token) | LeasePhase::Superseded(token) => Some(token),
            LeasePhase::NotHeld | LeasePhase::Acquiring => None,
        }
    }

    /// Since when it has been held under this token.
    pub(crate) fn token_since(&self) -> Millis {
        self.token_since
    }

    /// Since when it has been held, under any token.
    pub(crate) fn held_since(&self) -> Millis {
        self.held_since
    }

    /// Whether a transaction that acquires, renews or releases it is under way.
    pub(crate) fn transaction_pending(&self) -> bool {
        self.transaction_pending
    }

    /// Takes an event. Returns the phase that it leads to, if that is another one.
    pub(crate) fn change(&mut self, event: LeaseEvent, now: Millis) -> Option<LeasePhase> {
        let before = self.phase;
        self.phase = before.after(event);
        if before == self.phase {
            return None;
        }
        match self.phase {
            LeasePhase::NotHeld => self.new_token_wanted = false,
            LeasePhase::Held(_) => {
                self.token_since = now;
                if !matches!(before, LeasePhase::Held(_)) {
                    self.held_since = now;
                }
            }
            LeasePhase::Acquiring | LeasePhase::Superseded(_) => {}
        }
        Some(self.phase)
    }

    /// Asks for a new token, so that starts sent directly under this one are refused.
    pub(crate) fn want_new_token(&mut self) {
        self.new_token_wanted = true;
    }

    /// Whether a new token was asked for.
    pub(crate) fn wants_new_token(&self) -> bool {
        self.new_token_wanted
    }

    /// Whether a transaction that acquires or renews it may be sent.
    pub(crate) fn may_acquire(&self, now: Millis) -> bool {
        !self.transaction_pending && now >= self.acquire_after
    }

    /// Whether the shard is left to others, and no lease on it is to be adopted.
    pub(crate) fn is_left(&self, now: Millis) -> bool {
        now < self.left_until
    }

    /// Whether the shard is left to others and no transaction has been tried since.
    pub(crate) fn is_left_untried(&self, now: Millis) -> bool {
        now < self.left_until.min(self.acquire_after)
    }

    /// Notes that the state service shows a lease on the shard.
    pub(crate) fn has_owner(&mut self) {
        self.ownerless_since = None;
    }

    /// Notes that the state service shows no lease on the shard; returns for how long it has.
    pub(crate) fn has_no_owner(&mut self, now: Millis) -> Millis {
        now - *self.ownerless_since.get_or_insert(now)
    }

    /// A transaction that acquires or renews it was sent.
    pub(crate) fn acquire_sent(&mut self) {
        self.transaction_pending = true;
        self.new_token_wanted = false;
    }

    /// A transaction that releases it was sent.
    pub(crate) fn release_sent(&mut self) {
        self.transaction_pending = true;
    }

    /// The outcome of a transaction that acquires, renews or releases it has come.
    pub(crate) fn transaction_ended(&mut self) {
        self.transaction_pending = false;
    }

    /// The transaction that acquires it has failed: it is sent anew after this time.
    pub(crate) fn retry_acquire_after(&mut self, retry_at: Millis) {
        self.acquire_after = retry_at;
    }

    /// The lease was released: the shard is left to others, longer each time.
    pub(crate) fn released(&mut self, now: Millis) {
        self.releases += 1;
        let factor = 1u32 << self.releases.min(MAX_DOUBLINGS);
        self.acquire_after = now + RELEASED_MS * f64::from(factor);
        self.left_until = self.acquire_after;
    }
}
