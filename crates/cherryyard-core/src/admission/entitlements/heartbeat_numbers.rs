//! Numbers of the heartbeats between controllers, by which a heartbeat acknowledges the last one
//! received from each other controller.

use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Number of this controller's latest heartbeats whose sending times are kept.
const MAX_SENT: usize = 64;

/// Number of a heartbeat, and when it was sent or received.
#[derive(Clone, Copy, Debug)]
struct NumberedHeartbeat {
    number: u64,
    at: Millis,
}

/// Numbers of the heartbeats that this controller has sent and received.
#[derive(Debug, Default)]
pub(super) struct HeartbeatNumbers {
    /// Number of the last heartbeat sent.
    last: u64,
    sent: VecDeque<NumberedHeartbeat>,
    /// Last heartbeat received from each other controller.
    received: BTreeMap<usize, NumberedHeartbeat>,
    /// Time at which this controller sent the latest heartbeat that each peer has acknowledged.
    acknowledged: BTreeMap<usize, Millis>,
}

impl HeartbeatNumbers {
    /// Starts at a random number.
    pub(super) fn new(random: u64) -> Self {
        Self {
            // A random start avoids the numbers of earlier processes of this controller. The
            // shift leaves half of the range for counting.
            last: random >> 1,
            ..Self::default()
        }
    }

    /// Returns the number of the next heartbeat.
    pub(super) fn next(&self) -> u64 {
        self.last + 1
    }

    /// Returns the number for a heartbeat that is sent now, and records the time.
    pub(super) fn send(&mut self, now: Millis) -> u64 {
        self.last += 1;
        let number = self.last;
        self.sent.push_back(NumberedHeartbeat { number, at: now });
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        number
    }

    /// Returns when this controller sent the heartbeat with this number, if the time is still kept.
    pub(super) fn sent_at(&self, number: u64) -> Option<Millis> {
        let sent = self.sent.iter().find(|sent| sent.number == number);
        sent.map(|sent| sent.at)
    }

    pub(super) fn received(&mut self, peer: usize, number: u64, now: Millis) {
        self.received
            .insert(peer, NumberedHeartbeat { number, at: now });
    }

    /// Records that a peer has acknowledged a heartbeat that this controller sent at `sent_at`.
    pub(super) fn acknowledged(&mut self, peer: usize, sent_at: Millis) {
        let latest = self.acknowledged.entry(peer).or_insert(sent_at);
        *latest = latest.max(sent_at);
    }

    pub(super) fn last_received_at(&self, peer: usize) -> Option<Millis> {
        self.received.get(&peer).map(|received| received.at)
    }

    pub(super) fn last_acknowledged_at(&self, peer: usize) -> Option<Millis> {
        self.acknowledged.get(&peer).copied()
    }

    /// Returns the last number received from each other controller, as `(index, number)`.
    pub(super) fn received_numbers(&self) -> impl Iterator<Item = (u32, u64)> {
        let received = self.received.iter();
        received.map(|(&peer, received)| (peer as u32, received.number))
    }
}
