//! The lease on the leadership, as this controller sees it.

use crate::Millis;

/// Time for which a controller that has become the leader makes no other attempt.
const ACQUIRED_MS: f64 = 8000.0;

/// Whether this controller leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipPhase {
    /// Another controller leads, or none.
    Follower,
    /// Our lease is under way.
    Acquiring,
    /// We lead, by a lease with this token.
    Leading(u64),
}

/// What moves a controller from one phase to another.
#[derive(Clone, Copy, Debug)]
pub enum LeadershipEvent {
    /// We have sent a lease.
    Sent,
    /// It was applied.
    Applied(u64),
    /// It was not.
    Failed,
    /// The state service shows another lease, or none.
    Gone,
}

impl LeadershipPhase {
    /// The one place where the phase changes.
    pub fn after(self, event: LeadershipEvent) -> Self {
        match (self, event) {
            (Self::Follower, LeadershipEvent::Sent) => Self::Acquiring,
            (_, LeadershipEvent::Applied(token)) => Self::Leading(token),
            (Self::Acquiring, LeadershipEvent::Failed) => Self::Follower,
            (Self::Leading(_), LeadershipEvent::Gone) => Self::Follower,
            (Self::Acquiring | Self::Leading(_), LeadershipEvent::Sent)
            | (Self::Follower | Self::Leading(_), LeadershipEvent::Failed)
            | (Self::Follower | Self::Acquiring, LeadershipEvent::Gone) => self,
        }
    }
}

/// The leadership, and when to try for it.
#[derive(Debug)]
pub(crate) struct Leadership {
    phase: LeadershipPhase,
    /// The token of the last lease by which we have led.
    token: u64,
    /// When we learnt that this lease was applied.
    since: Millis,
    acquire_after: Millis,
    /// Since when no controller has held the lease.
    leaderless_since: Option<Millis>,
}

impl Leadership {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            phase: LeadershipPhase::Follower,
            token: 0,
            since: now,
            acquire_after: now,
            leaderless_since: None,
        }
    }

    /// When we learnt that our last lease was applied.
    pub(crate) fn since(&self) -> Millis {
        self.since
    }

    /// The token of the lease by which we lead, as far as is known here.
    pub(crate) fn leading_token(&self) -> Option<u64> {
        match self.phase {
            LeadershipPhase::Leading(token) => Some(token),
            LeadershipPhase::Follower | LeadershipPhase::Acquiring => None,
        }
    }

    /// Whether we lead by the lease with this token.
    pub(crate) fn leads_by(&self, token: u64) -> bool {
        self.phase == LeadershipPhase::Leading(token)
    }

    fn change(&mut self, event: LeadershipEvent) {
        self.phase = self.phase.after(event);
    }

    /// Whether a lease may be sent now.
    pub(crate) fn may_acquire(&self, now: Millis) -> bool {
        self.phase != LeadershipPhase::Acquiring && now >= self.acquire_after
    }

    /// How long no controller has held the lease, which none does now.
    pub(crate) fn leaderless_ms(&mut self, now: Millis) -> f64 {
        now - *self.leaderless_since.get_or_insert(now)
    }

    /// A controller holds the lease.
    pub(crate) fn has_leader(&mut self) {
        self.leaderless_since = None;
    }

    /// A lease was sent.
    pub(crate) fn sent(&mut self) {
        if self.leading_token().is_some() {
            self.change(LeadershipEvent::Gone);
        }
        self.change(LeadershipEvent::Sent);
    }

    /// A lease was not applied; the next is sent only after a time.
    pub(crate) fn failed(&mut self, acquire_after: Millis) {
        self.change(LeadershipEvent::Failed);
        self.acquire_after = acquire_after;
    }

    /// We lead by this lease; false if that was known before.
    pub(crate) fn acquired(&mut self, token: u64, now: Millis) -> bool {
        if self.token == token {
            return false;
        }
        self.token = token;
        self.change(LeadershipEvent::Applied(token));
        self.since = now;
        self.acquire_after = now + ACQUIRED_MS;
        true
    }

    /// The state service shows a lease with this token, or none (0).
    pub(crate) fn seen(&mut self, token: u64) {
        if self.leading_token().is_some_and(|ours| ours != token) {
            self.change(LeadershipEvent::Gone);
        }
    }
}
