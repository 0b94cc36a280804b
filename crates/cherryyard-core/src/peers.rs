//! State of the other controllers: the newest heartbeat of each, its freshness, and the newest
//! format of stored records that the peer's build supports.

use crate::Millis;
use crate::cancelled::CancellationCoverage;
use cherryyard_wire::peer::Heartbeat;

/// Time without heartbeats after which submissions are no longer forwarded to a peer.
pub(crate) const FORWARDING_MS: Millis = 1200.0;
/// Time without heartbeats after which a peer is no longer expected to acquire a lease for which it
/// precedes other controllers in the order of succession.
pub(crate) const SUCCESSION_MS: Millis = 1500.0;
/// Time without heartbeats after which a peer's count of misdirected workers is ignored, and after
/// which the peer no longer counts as an owner that a misdirected worker could reach.
pub(crate) const MISDIRECTED_REPORTS_MS: Millis = 2000.0;
/// Time without heartbeats after which the leases that a peer reported are ignored.
pub(crate) const KNOWN_LEASES_MS: Millis = 5000.0;
/// Time for which the record format that a peer reported is relied on.
const FORMAT_MS: Millis = 3000.0;
/// Time without acknowledgements of this controller's heartbeats after which the connection to a
/// peer is reestablished.
const UNACKNOWLEDGED_MS: Millis = 3000.0;
/// Time since a peer's newest heartbeat within which one with a lower number may count as delayed
/// in the network. A peer that restarted also numbers its heartbeats from an arbitrary start, but
/// these acknowledge heartbeats that this controller has sent since.
const DELAYED_MS: Millis = 3000.0;

/// The newest heartbeat of another controller, and what follows from its heartbeats.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub(crate) heartbeat: Heartbeat,
    pub(crate) last_received_at: Millis,
    /// Earliest time at which the peer can have made its newest heartbeat: the time at which this
    /// controller sent the heartbeat that it acknowledges. The network may have delayed the
    /// peer's heartbeat for any time.
    pub(crate) earliest_created_at: Millis,
    /// Extent to which the cancellations that the peer has learnt of are known here.
    pub(crate) coverage: CancellationCoverage,
}

impl PeerState {
    /// Returns whether a heartbeat of the peer arrived within the last `silence_ms`.
    pub(crate) fn received_within(&self, silence_ms: Millis, now: Millis) -> bool {
        now - self.last_received_at < silence_ms
    }

    /// Returns whether a heartbeat of the peer arrived within the last `silence_ms`, and the newest
    /// one does not report that the peer is cut off from the state service.
    pub(crate) fn reaches_state_within(&self, silence_ms: Millis, now: Millis) -> bool {
        self.received_within(silence_ms, now) && !self.heartbeat.cut_off
    }

    /// Returns whether the peer's newest heartbeat is newer than `heartbeat`, which arrives now.
    fn supersedes(&self, heartbeat: &Heartbeat, earliest_created_at: Millis, now: Millis) -> bool {
        heartbeat.number < self.heartbeat.number
            && earliest_created_at <= self.earliest_created_at
            && self.received_within(DELAYED_MS, now)
    }
}

/// The newest format of stored records that a peer reported to support.
#[derive(Clone, Copy, Debug)]
struct PeerFormat {
    format: u32,
    reported_at: Millis,
}

/// State of the other controllers, by their index in the order on which all controllers agree. The
/// entry of this controller itself stays empty.
#[derive(Debug)]
pub(crate) struct Peers {
    own_index: usize,
    states: Vec<Option<PeerState>>,
    /// Formats that the peers report in frames; earlier builds report none.
    formats: Vec<Option<PeerFormat>>,
    /// Times at which the connections were last due to be reestablished.
    reconnected_at: Vec<Millis>,
}

impl Peers {
    /// Creates the state in which none of `count` controllers has sent anything yet.
    pub(crate) fn new(own_index: usize, count: usize, now: Millis) -> Self {
        Self {
            own_index,
            states: vec![None; count],
            formats: vec![None; count],
            reconnected_at: vec![now; count],
        }
    }

    /// Returns the state of the peer with index `peer`, if a heartbeat of it has arrived.
    pub(crate) fn get(&self, peer: usize) -> Option<&PeerState> {
        self.states[peer].as_ref()
    }

    /// Returns the peers of which a heartbeat has arrived, in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.states.iter().flatten()
    }

    /// Returns the peers of which a heartbeat has arrived, in order, with their indices.
    pub(crate) fn enumerate(&self) -> impl Iterator<Item = (usize, &PeerState)> {
        let states = self.states.iter().enumerate();
        states.filter_map(|(peer, state)| Some((peer, state.as_ref()?)))
    }

    /// Returns the indices of all other controllers.
    pub(crate) fn others(&self) -> impl Iterator<Item = usize> + use<> {
        let own_index = self.own_index;
        (0..self.states.len()).filter(move |&peer| peer != own_index)
    }

    /// Returns the state of each other controller, `None` for those that have sent no heartbeat.
    pub(crate) fn other_states(&self) -> impl Iterator<Item = Option<&PeerState>> {
        self.others().map(|peer| self.get(peer))
    }

    /// Returns the time since the last heartbeat of a peer, if one ever arrived.
    pub(crate) fn silence(&self, peer: usize, now: Millis) -> Option<Millis> {
        self.get(peer).map(|state| now - state.last_received_at)
    }

    /// Returns whether a heartbeat of a peer arrived within the last `silence_ms`.
    pub(crate) fn received_within(&self, peer: usize, silence_ms: Millis, now: Millis) -> bool {
        self.get(peer)
            .is_some_and(|state| state.received_within(silence_ms, now))
    }

    /// Returns whether a heartbeat of a peer arrived within the last `silence_ms`, and the newest
    /// one does not report that the peer is cut off from the state service.
    pub(crate) fn reaches_state_within(
        &self,
        peer: usize,
        silence_ms: Millis,
        now: Millis,
    ) -> bool {
        self.get(peer)
            .is_some_and(|state| state.reaches_state_within(silence_ms, now))
    }

    /// Returns whether a heartbeat of any peer arrived within the last `silence_ms`.
    pub(crate) fn any_received_within(&self, silence_ms: Millis, now: Millis) -> bool {
        self.iter()
            .any(|state| state.received_within(silence_ms, now))
    }

    /// Returns whether every other controller has reported, in a heartbeat made within the last
    /// `heartbeat_validity_ms`, that it is cut off from the state service.
    pub(crate) fn all_cut_off(&self, heartbeat_validity_ms: Millis, now: Millis) -> bool {
        self.other_states().all(|state| {
            state.is_some_and(|peer| {
                now - peer.earliest_created_at <= heartbeat_validity_ms && peer.heartbeat.cut_off
            })
        })
    }

    /// Returns the number of workers of a shard that send their heartbeats to peers instead of the
    /// shard's owner and are reachable by these peers, summed over all peers.
    pub(crate) fn misdirected_workers(&self, shard_id: usize, now: Millis) -> u32 {
        self.iter()
            .filter(|peer| peer.reaches_state_within(MISDIRECTED_REPORTS_MS, now))
            .flat_map(|peer| &peer.heartbeat.misdirected_workers)
            .filter(|(shard, _)| *shard as usize == shard_id)
            // A worker without an owner's answer tries one controller after the other, so no
            // single peer receives the heartbeats of all of them.
            .map(|(_, count)| count)
            .sum()
    }

    /// Returns whether a heartbeat was delayed, on a connection that has since been abandoned,
    /// until after a newer one arrived.
    pub(crate) fn is_delayed(
        &self,
        peer: usize,
        heartbeat: &Heartbeat,
        earliest_created_at: Millis,
        now: Millis,
    ) -> bool {
        self.get(peer)
            .is_some_and(|newest| newest.supersedes(heartbeat, earliest_created_at, now))
    }

    /// Stores a peer's newest heartbeat, which was made at `earliest_created_at` or later.
    pub(crate) fn receive(
        &mut self,
        peer: usize,
        heartbeat: Heartbeat,
        earliest_created_at: Millis,
        coverage: CancellationCoverage,
        now: Millis,
    ) {
        let before = self.get(peer);
        self.states[peer] = Some(PeerState {
            earliest_created_at: before.map_or(earliest_created_at, |state| {
                state.earliest_created_at.max(earliest_created_at)
            }),
            heartbeat,
            last_received_at: now,
            coverage,
        });
    }

    /// Records the newest record format that a peer reports to support. Returns whether it differs
    /// from the one recorded before.
    pub(crate) fn note_format(&mut self, peer: usize, format: u32, now: Millis) -> bool {
        let known = self.formats[peer].replace(PeerFormat {
            format,
            reported_at: now,
        });
        known.is_none_or(|known| known.format != format)
    }

    /// Returns the newest record format that a peer has recently reported to support.
    pub(crate) fn format(&self, peer: usize, now: Millis) -> Option<u32> {
        self.formats[peer]
            .filter(|report| now - report.reported_at <= FORMAT_MS)
            .map(|report| report.format)
    }

    /// Returns whether the connection to a peer is due to be reestablished, because for
    /// [`UNACKNOWLEDGED_MS`] the peer has acknowledged no newer heartbeat of this controller than
    /// the one sent at `acknowledged_at`. If so, the connection is due again only after the same
    /// time.
    pub(crate) fn reconnect_due(
        &mut self,
        peer: usize,
        acknowledged_at: Millis,
        now: Millis,
    ) -> bool {
        let since = self.reconnected_at[peer].max(acknowledged_at);
        let due = now - since > UNACKNOWLEDGED_MS;
        if due {
            self.reconnected_at[peer] = now;
        }
        due
    }
}
