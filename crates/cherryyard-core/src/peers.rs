//! What is known of the other controllers: the newest heartbeat of each, how fresh it is,
//! and which formats of stored records its build can work with.

use crate::Millis;
use crate::cancelled::CancellationCoverage;
use cherryyard_wire::peer::Heartbeat;

/// Silence after which submissions are no longer forwarded to a peer.
pub(crate) const FORWARDING_MS: Millis = 1200.0;
/// Silence after which a peer is no longer expected to take a lease that is its to take.
pub(crate) const SUCCESSION_MS: Millis = 1500.0;
/// Silence after which what a peer says of workers that report to it no longer counts, nor
/// does it count as the owner that such a worker could reach.
pub(crate) const MISDIRECTED_REPORTS_MS: Millis = 2000.0;
/// Silence after which the leases that a peer knows of no longer count.
pub(crate) const KNOWN_LEASES_MS: Millis = 5000.0;
/// How long what a peer has said of its record format counts.
const FORMAT_MS: Millis = 3000.0;
/// How long a peer may acknowledge none of our heartbeats before the connection to it is made
/// anew.
const UNACKNOWLEDGED_MS: Millis = 3000.0;
/// How long after a newer heartbeat an older one is taken for one that was held back. A peer
/// that restarted numbers its heartbeats from anywhere, but acknowledges ours of since then.
const DELAYED_MS: Millis = 3000.0;

/// What another controller last sent.
#[derive(Clone, Debug)]
pub(crate) struct PeerState {
    pub(crate) heartbeat: Heartbeat,
    pub(crate) last_received_at: Millis,
    /// When its newest heartbeat was made at the earliest: when ours was sent that it
    /// acknowledges. A heartbeat may have been held back on its way for any time.
    pub(crate) made_at: Millis,
    /// Up to when we know of all cancellations that it has learnt of.
    pub(crate) covered: CancellationCoverage,
}

impl PeerState {
    /// Whether a heartbeat of it came within the last `silence_ms`.
    pub(crate) fn received_within(&self, silence_ms: Millis, now: Millis) -> bool {
        now - self.last_received_at < silence_ms
    }

    /// The same, and it can reach the state service.
    pub(crate) fn has_state_within(&self, silence_ms: Millis, now: Millis) -> bool {
        self.received_within(silence_ms, now) && !self.heartbeat.cut_off
    }

    /// Whether a heartbeat that now comes is older than the newest one.
    fn supersedes(&self, heartbeat: &Heartbeat, made_at: Millis, now: Millis) -> bool {
        heartbeat.number < self.heartbeat.number
            && made_at <= self.made_at
            && self.received_within(DELAYED_MS, now)
    }
}

/// The newest format of stored records that a peer says it can work with.
#[derive(Clone, Copy, Debug)]
struct PeerFormat {
    format: u32,
    said_at: Millis,
}

/// The other controllers, by their place in the agreed order. Our own place stays empty.
#[derive(Debug)]
pub(crate) struct Peers {
    me: usize,
    states: Vec<Option<PeerState>>,
    /// By what peers say in frames; earlier builds say nothing.
    formats: Vec<Option<PeerFormat>>,
    /// When the connection to each was last to be made anew.
    reconnected_at: Vec<Millis>,
}

impl Peers {
    /// None of `count` controllers has sent anything yet; `me` is our own place.
    pub(crate) fn new(me: usize, count: usize, now: Millis) -> Self {
        Self {
            me,
            states: vec![None; count],
            formats: vec![None; count],
            reconnected_at: vec![now; count],
        }
    }

    /// What the peer at place `peer` last sent, if anything came.
    pub(crate) fn get(&self, peer: usize) -> Option<&PeerState> {
        self.states[peer].as_ref()
    }

    /// The peers of which a heartbeat has come, in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &PeerState> {
        self.states.iter().flatten()
    }

    /// The peers of which a heartbeat has come, in order, with their places.
    pub(crate) fn enumerate(&self) -> impl Iterator<Item = (usize, &PeerState)> {
        let states = self.states.iter().enumerate();
        states.filter_map(|(peer, state)| Some((peer, state.as_ref()?)))
    }

    /// The places of all other controllers.
    pub(crate) fn others(&self) -> impl Iterator<Item = usize> + use<> {
        let me = self.me;
        (0..self.states.len()).filter(move |&peer| peer != me)
    }

    /// What each other controller last sent, those that never sent anything included.
    pub(crate) fn other_states(&self) -> impl Iterator<Item = Option<&PeerState>> {
        self.others().map(|peer| self.get(peer))
    }

    /// For how long a peer has been silent, if a heartbeat of it ever came.
    pub(crate) fn silence(&self, peer: usize, now: Millis) -> Option<Millis> {
        self.get(peer).map(|state| now - state.last_received_at)
    }

    /// Whether a heartbeat of a peer came within the last `silence_ms`.
    pub(crate) fn received_within(&self, peer: usize, silence_ms: Millis, now: Millis) -> bool {
        self.get(peer)
            .is_some_and(|state| state.received_within(silence_ms, now))
    }

    /// The same, and it can reach the state service.
    pub(crate) fn has_state_within(&self, peer: usize, silence_ms: Millis, now: Millis) -> bool {
        self.get(peer)
            .is_some_and(|state| state.has_state_within(silence_ms, now))
    }

    /// Whether a heartbeat of any peer came within the last `silence_ms`.
    pub(crate) fn any_received_within(&self, silence_ms: Millis, now: Millis) -> bool {
        self.iter()
            .any(|state| state.received_within(silence_ms, now))
    }

    /// Whether every other controller has said, in a heartbeat made within the last
    /// `relied_ms`, that it cannot reach the state service.
    pub(crate) fn all_cut_off(&self, relied_ms: Millis, now: Millis) -> bool {
        self.other_states().all(|state| {
            state.is_some_and(|peer| now - peer.made_at <= relied_ms && peer.heartbeat.cut_off)
        })
    }

    /// How many workers of a shard report to peers instead of its owner and can be reached
    /// by them, all peers together.
    pub(crate) fn misdirected_workers(&self, shard_id: usize, now: Millis) -> u32 {
        self.iter()
            .filter(|peer| peer.has_state_within(MISDIRECTED_REPORTS_MS, now))
            .flat_map(|peer| &peer.heartbeat.misdirected)
            .filter(|(shard, _)| *shard as usize == shard_id)
            // Each goes from one controller to the next: none gets the reports of all.
            .map(|(_, count)| count)
            .sum()
    }

    /// Whether a heartbeat was held back on a connection that has been given up since.
    pub(crate) fn is_delayed(
        &self,
        peer: usize,
        heartbeat: &Heartbeat,
        made_at: Millis,
        now: Millis,
    ) -> bool {
        self.get(peer)
            .is_some_and(|newest| newest.supersedes(heartbeat, made_at, now))
    }

    /// Keeps a peer's newest heartbeat, which was made at `made_at` or later.
    pub(crate) fn receive(
        &mut self,
        peer: usize,
        heartbeat: Heartbeat,
        made_at: Millis,
        covered: CancellationCoverage,
        now: Millis,
    ) {
        let before = self.get(peer);
        self.states[peer] = Some(PeerState {
            made_at: before.map_or(made_at, |state| state.made_at.max(made_at)),
            heartbeat,
            last_received_at: now,
            covered,
        });
    }

    /// Notes the record format that a peer says it can work with; returns whether that is
    /// news.
    pub(crate) fn note_format(&mut self, peer: usize, format: u32, now: Millis) -> bool {
        let known = self.formats[peer].replace(PeerFormat {
            format,
            said_at: now,
        });
        known.is_none_or(|known| known.format != format)
    }

    /// The newest record format that a peer has lately said it can work with.
    pub(crate) fn format(&self, peer: usize, now: Millis) -> Option<u32> {
        self.formats[peer]
            .filter(|said| now - said.said_at <= FORMAT_MS)
            .map(|said| said.format)
    }

    /// Whether the connection to a peer is to be made anew, as it has long acknowledged
    /// nothing; `acknowledged_at` is when we sent the newest heartbeat that it has named. If so,
    /// it is due again only after the same time.
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
