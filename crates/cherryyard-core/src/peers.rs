//! What is known of another controller.

use crate::Millis;
use cherryyard_wire::peer::Beat;

/// What another controller last told.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub beat: Beat,
    pub heard_at: Millis,
    pub up_since: Millis,
    /// When the state service last answered it or, where that is not known, when its
    /// process began: until then it may have taken cancellations.
    pub contact: Millis,
    /// Up to when we know of all cancellations that it has taken.
    pub covered_to: Millis,
}
