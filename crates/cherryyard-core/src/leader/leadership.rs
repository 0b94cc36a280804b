//! The leader lease, as this controller sees it.

use crate::Millis;

/// Time for which a controller that has become the leader makes no other attempt to acquire the
/// lease.
const REACQUIRE_DELAY_MS: f64 = 8000.0;

/// Phase of this controller's leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipPhase {
    /// Another controller leads, or none does.
    Follower,
    /// A transaction that acquires the lease is pending.
    Acquiring,
    /// This controller leads under the lease with this token.
    Leading(u64),
}

/// Event that may change the phase of a controller's leadership.
#[derive(Clone, Copy, Debug)]
pub enum LeadershipEvent {
    /// This controller has sent a transaction that acquires the lease.
    Sent,
    /// The transaction was applied, and the lease has this token.
    Applied(u64),
    /// The transaction was not applied.
    Failed,
    /// The state service shows another lease, or none.
    Lost,
}

impl LeadershipPhase {
    /// Returns the phase after an event. The phase changes only by this function.
    pub fn after(self, event: LeadershipEvent) -> Self {
        match (self, event) {
            (Self::Follower, LeadershipEvent::Sent) => Self::Acquiring,
            (_, LeadershipEvent::Applied(token)) => Self::Leading(token),
            (Self::Acquiring, LeadershipEvent::Failed) => Self::Follower,
            (Self::Leading(_), LeadershipEvent::Lost) => Self::Follower,
            (Self::Acquiring | Self::Leading(_), LeadershipEvent::Sent)
            | (Self::Follower | Self::Leading(_), LeadershipEvent::Failed)
            | (Self::Follower | Self::Acquiring, LeadershipEvent::Lost) => self,
        }
    }
}

/// State of the leadership, and the time of the next attempt to acquire it.
#[derive(Debug)]
pub(crate) struct Leadership {
    phase: LeadershipPhase,
    /// Token of the last lease under which this controller has led.
    token: u64,
    /// Time at which this controller learnt that the last lease was applied; before the first
    /// lease, the start of the controller.
    leading_since: Millis,
    acquire_after: Millis,
    /// Time since which no controller has held the lease.
    leaderless_since: Option<Millis>,
}

impl Leadership {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            phase: LeadershipPhase::Follower,
            token: 0,
            leading_since: now,
            acquire_after: now,
            leaderless_since: None,
        }
    }

    /// Returns the time at which this controller learnt that its last lease was applied; before its
    /// first lease, the start of the controller.
    pub(crate) fn leading_since(&self) -> Millis {
        self.leading_since
    }

    /// Returns the token of the lease under which this controller leads, as far as is known here.
    pub(crate) fn leading_token(&self) -> Option<u64> {
        match self.phase {
            LeadershipPhase::Leading(token) => Some(token),
            LeadershipPhase::Follower | LeadershipPhase::Acquiring => None,
        }
    }

    /// Returns whether this controller leads under the lease with this token.
    pub(crate) fn leads_under(&self, token: u64) -> bool {
        self.phase == LeadershipPhase::Leading(token)
    }

    fn change(&mut self, event: LeadershipEvent) {
        self.phase = self.phase.after(event);
    }

    /// Returns whether a transaction that acquires the lease may be sent now.
    pub(crate) fn may_acquire(&self, now: Millis) -> bool {
        self.phase != LeadershipPhase::Acquiring && now >= self.acquire_after
    }

    /// Returns for how long no controller has held the lease, given that none holds it now.
    pub(crate) fn leaderless_ms(&mut self, now: Millis) -> f64 {
        now - *self.leaderless_since.get_or_insert(now)
    }

    /// Records that a controller holds the lease.
    pub(crate) fn record_leader(&mut self) {
        self.leaderless_since = None;
    }

    /// Records that a transaction which acquires the lease was sent.
    pub(crate) fn sent(&mut self) {
        if self.leading_token().is_some() {
            self.change(LeadershipEvent::Lost);
        }
        self.change(LeadershipEvent::Sent);
    }

    /// Records that the transaction was not applied. The next one is sent no earlier than
    /// `acquire_after`.
    pub(crate) fn failed(&mut self, acquire_after: Millis) {
        self.change(LeadershipEvent::Failed);
        self.acquire_after = acquire_after;
    }

    /// Records that this controller leads under the lease with this token. Returns false if that
    /// was known before.
    pub(crate) fn acquired(&mut self, token: u64, now: Millis) -> bool {
        if self.token == token {
            return false;
        }
        self.token = token;
        self.change(LeadershipEvent::Applied(token));
        self.leading_since = now;
        self.acquire_after = now + REACQUIRE_DELAY_MS;
        true
    }

    /// Gives up the leadership if the state service shows a lease with another token, or none (0).
    pub(crate) fn check_stored_token(&mut self, token: u64) {
        if self.leading_token().is_some_and(|ours| ours != token) {
            self.change(LeadershipEvent::Lost);
        }
    }
}
