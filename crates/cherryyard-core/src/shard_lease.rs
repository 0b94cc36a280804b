//! Where a shard stands with a controller.

/// Where a shard stands with this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardLease {
    /// Someone else's, or nobody's.
    NotHeld,
    /// Our lease is under way.
    Acquiring,
    /// Ours, with this token.
    Held(u64),
    /// Ours, but a peer has told of a newer lease.
    Superseded(u64),
}

/// What moves a shard from one standing to another.
#[derive(Clone, Copy, Debug)]
pub enum ShardLeaseEvent {
    /// We have sent a lease.
    AcquireSent,
    /// The lease was applied at this revision.
    Acquired(u64),
    /// The lease was not applied, or that is unknown.
    AcquireFailed,
    /// The state service shows another lease, or none.
    Lost,
    /// A peer knows of a newer lease.
    NewerTokenSeen,
}

impl ShardLease {
    /// The one place where a shard's standing changes.
    pub fn after(self, event: ShardLeaseEvent) -> Self {
        use ShardLeaseEvent::*;
        match (self, event) {
            (Self::NotHeld, AcquireSent) => Self::Acquiring,
            (Self::Held(s) | Self::Superseded(s), AcquireSent) => Self::Held(s),
            (_, Acquired(token)) => Self::Held(token),
            (Self::Acquiring, AcquireFailed) => Self::NotHeld,
            (Self::Held(_) | Self::Superseded(_), Lost) => Self::NotHeld,
            (Self::Held(s), NewerTokenSeen) => Self::Superseded(s),
            (same, _) => same,
        }
    }
}
