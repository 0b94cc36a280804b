//! Numbers of the heartbeats between controllers, by which each names what it received.

use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Own heartbeats of which it is remembered when they were sent.
const REMEMBERED: usize = 64;

/// A heartbeat's number, and when it was sent or received.
#[derive(Clone, Copy, Debug)]
struct Numbered {
    number: u64,
    at: Millis,
}

/// The numbers of heartbeats sent and received.
#[derive(Debug, Default)]
pub(super) struct HeartbeatNumbers {
    /// The last one sent.
    last: u64,
    sent: VecDeque<Numbered>,
    /// The last one received of each other controller.
    received: BTreeMap<usize, Numbered>,
    /// When the last of ours was sent that each of them has named.
    acknowledged: BTreeMap<usize, Millis>,
}

impl HeartbeatNumbers {
    /// Numbers that begin at a random one.
    pub(super) fn new(random: u64) -> Self {
        Self {
            // Not where an earlier process of ours began; half of the numbers are left to
            // count on.
            last: random >> 1,
            ..Self::default()
        }
    }

    /// The number of the next heartbeat.
    pub(super) fn next(&self) -> u64 {
        self.last + 1
    }

    /// Numbers a heartbeat that is sent now.
    pub(super) fn send(&mut self, now: Millis) -> u64 {
        self.last += 1;
        let number = self.last;
        self.sent.push_back(Numbered { number, at: now });
        if self.sent.len() > REMEMBERED {
            self.sent.pop_front();
        }
        number
    }

    /// When a heartbeat of ours was sent, if that is still remembered.
    pub(super) fn sent_at(&self, number: u64) -> Option<Millis> {
        let sent = self.sent.iter().find(|sent| sent.number == number);
        sent.map(|sent| sent.at)
    }

    pub(super) fn received(&mut self, peer: usize, number: u64, now: Millis) {
        self.received.insert(peer, Numbered { number, at: now });
    }

    /// Another controller has named a heartbeat that we sent then.
    pub(super) fn acknowledged(&mut self, peer: usize, sent_at: Millis) {
        let known = self.acknowledged.entry(peer).or_insert(sent_at);
        *known = known.max(sent_at);
    }

    pub(super) fn last_received_at(&self, peer: usize) -> Option<Millis> {
        self.received.get(&peer).map(|received| received.at)
    }

    pub(super) fn last_acknowledged_at(&self, peer: usize) -> Option<Millis> {
        self.acknowledged.get(&peer).copied()
    }

    /// The last number received of each other controller, in the heartbeat's form.
    pub(super) fn received_numbers(&self) -> impl Iterator<Item = (u32, u64)> {
        let received = self.received.iter();
        received.map(|(&peer, received)| (peer as u32, received.number))
    }
}
