//! State machine of a machine's lifecycle under its owner.

/// Lifecycle state of a machine under its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// No message under the current token yet: earlier reports prove nothing.
    Unconfirmed,
    /// The machine reports under the current token.
    Ready,
    /// The machine's lease has expired since its last answered heartbeat: its tasks have ended.
    Expired,
    /// The machine's release has been requested.
    Returning,
    /// The cloud has confirmed the release: the machine and everything on it are gone.
    Gone,
}

/// Fencing tokens under which an owner has held its shard's lease without interruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnTokens {
    /// The token under which the holding began. A message that shows it or a later one is of the
    /// time in which only this owner has commanded the machine.
    pub first: u64,
    /// The present token, under which commands are sent.
    pub current: u64,
}

/// Event that changes the lifecycle state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineEvent {
    /// A message with a token of the present owner's holding arrived.
    Confirmed,
    /// The machine's lease has expired.
    LeaseExpired,
    /// The owner has requested the machine's release from the cloud.
    ReleaseRequested,
    /// The cloud refused the release request or did not answer it.
    ReleaseFailed,
    /// The cloud answered the release request with 200.
    Released,
    /// The owner has changed, which invalidates everything reported under the previous token.
    TokenChanged,
}

impl MachineState {
    /// Returns the state that follows this one after an event.
    pub(super) fn after(self, event: MachineEvent) -> Self {
        use MachineEvent::*;
        use MachineState::*;
        match (self, event) {
            (Gone, _) | (_, Released) => Gone,
            (_, ReleaseRequested) => Returning,
            // Never returns to Ready by itself: the requested release may still take effect.
            (Returning, Confirmed | LeaseExpired | ReleaseFailed | TokenChanged) => Returning,
            (Unconfirmed | Ready | Expired, TokenChanged) => Unconfirmed,
            (Unconfirmed | Ready | Expired, Confirmed) => Ready,
            (Ready | Expired, LeaseExpired) => Expired,
            // Silence of a machine that has never shown the current token proves nothing, because
            // its previous owner may still be renewing its lease.
            (Unconfirmed, LeaseExpired) => Unconfirmed,
            (Unconfirmed | Ready | Expired, ReleaseFailed) => self,
        }
    }
}
