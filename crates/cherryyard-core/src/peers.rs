//! What is known of another controller.

use crate::Millis;
use crate::cancelled::Covered;
use cherryyard_wire::peer::Heartbeat;

/// What another controller last told.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub heartbeat: Heartbeat,
    pub last_heard_at: Millis,
    pub up_since: Millis,
    /// When its newest heartbeat was made at the earliest: when ours went that it names. A
    /// heartbeat may have been held back on its way for any time.
    pub made_at: Millis,
    /// Up to when we know of all cancellations that it has learnt of.
    pub covered: Covered,
}

/// What another controller has shown that it can work with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerFormat {
    /// The newest format of stored records.
    pub(crate) format: u32,
    /// When it last said so.
    pub(crate) at: Millis,
}

/// A worker of another's part that reported here.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MisdirectedWorker {
    /// When it last did.
    pub(crate) at: Millis,
    /// When it was asked whether it hears.
    pub(crate) asked_at: Millis,
    /// Whether the question is under way.
    pub(crate) query_pending: bool,
    /// Whether it has answered.
    pub(crate) is_reachable: bool,
}
