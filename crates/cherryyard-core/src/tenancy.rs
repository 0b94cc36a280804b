//! Where a shard stands with a controller.

/// Where a shard stands with this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tenancy {
    /// Someone else's, or nobody's.
    Foreign,
    /// Our claim is under way.
    Claiming,
    /// Ours, with this token.
    Owned(u64),
    /// Ours, but a peer has told of a newer claim.
    Deposed(u64),
}

/// What moves a shard from one standing to another.
#[derive(Clone, Copy, Debug)]
pub enum TenancyEvent {
    /// We have sent a claim.
    ClaimSent,
    /// The claim was applied at this revision.
    ClaimApplied(u64),
    /// The claim was not applied, or that is unknown.
    ClaimFailed,
    /// The state service shows another claim, or none.
    ClaimGone,
    /// A peer knows of a newer claim.
    NewerClaimTold,
}

impl Tenancy {
    /// The one place where a shard's standing changes.
    pub fn after(self, event: TenancyEvent) -> Self {
        use TenancyEvent::*;
        match (self, event) {
            (Self::Foreign, ClaimSent) => Self::Claiming,
            (Self::Owned(s) | Self::Deposed(s), ClaimSent) => Self::Owned(s),
            (_, ClaimApplied(token)) => Self::Owned(token),
            (Self::Claiming, ClaimFailed) => Self::Foreign,
            (Self::Owned(_) | Self::Deposed(_), ClaimGone) => Self::Foreign,
            (Self::Owned(s), NewerClaimTold) => Self::Deposed(s),
            (same, _) => same,
        }
    }
}
