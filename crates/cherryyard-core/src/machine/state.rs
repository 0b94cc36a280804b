//! The states of a machine, and what moves it from one to another.

/// Where a machine stands with its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Has not reported under our token: nothing is known of it that counts.
    Unconfirmed,
    /// Reports under our token.
    Ready,
    /// Its last answered heartbeat is older than its lease: its tasks are gone.
    Expired,
    /// A release has been requested.
    Returning,
    /// The cloud has answered the release: it and all on it are gone.
    Gone,
}

/// What moves a machine from one state to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineEvent {
    /// A message that carries our token.
    Confirmed,
    /// Its lease has run out.
    LeaseOver,
    /// We have asked the cloud to take it back.
    ReleaseAsked,
    /// The cloud has refused or not answered.
    ReleaseFailed,
    /// The cloud has answered 200.
    Released,
    /// Our token has changed, so nothing reported under the old one counts.
    TokenChanged,
}

impl MachineState {
    /// The state after an event.
    pub(super) fn after(self, event: MachineEvent) -> Self {
        use MachineEvent::*;
        use MachineState::*;
        match (self, event) {
            (Gone, _) | (_, Released) => Gone,
            (_, ReleaseAsked) => Returning,
            // Never back to Ready by itself: the release may yet take effect.
            (Returning, Confirmed | LeaseOver | ReleaseFailed | TokenChanged) => Returning,
            (Unconfirmed | Ready | Expired, TokenChanged) => Unconfirmed,
            (Unconfirmed | Ready | Expired, Confirmed) => Ready,
            (Ready | Expired, LeaseOver) => Expired,
            // Silence of a machine that has never shown our token proves
            // nothing: its old owner may still be answering it.
            (Unconfirmed, LeaseOver) => Unconfirmed,
            (Unconfirmed | Ready | Expired, ReleaseFailed) => self,
        }
    }
}
