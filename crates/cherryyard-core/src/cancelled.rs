//! Cancellations as controllers tell them to each other.
//!
//! While nobody reaches the state service nobody can take a cancellation, so an owner
//! may go on answering its workers for as long as that lasts. But one may have been
//! taken just before, by another, and not have been told to this owner: it stood still,
//! or was cut off alone when the outage began. So every controller tells the others
//! what it has lately learnt of, and an owner relies on the outage only as far as it
//! has been told without a gap.

use crate::Millis;
use crate::node::Node;
use crate::peers::PeerState;
use cherryyard_wire::peer::Beat;
use cherryyard_wire::worker::{PieceReport, Report, piece_numbers};
use std::collections::{BTreeSet, VecDeque};

/// For how long a cancellation is told: longer than a controller stands still.
const TELL_MS: f64 = 60_000.0;
/// Cancellations that a beat names.
const MOST: usize = 200;
/// Time between the last beat of a process that was cut off and the start of the one
/// after it in which it is taken to have stayed so.
const RESTART_MS: f64 = 10_000.0;
/// Jobs that are kept as told.
const MOST_TOLD: usize = 10_000;

/// What is told, and what we were told.
#[derive(Clone, Debug)]
pub(crate) struct Cancelled {
    /// When we learnt of each.
    lately: VecDeque<(Millis, u64)>,
    /// Since when that list has no gap.
    since: Millis,
    /// Jobs that others know to be cancelled, and we have not read of.
    told: BTreeSet<u64>,
}

impl Cancelled {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            lately: VecDeque::new(),
            since: now,
            told: BTreeSet::new(),
        }
    }

    /// The list for a beat, with what is new in it, and how far back it reaches.
    pub(crate) fn tell(&mut self, new: Vec<u64>, now: Millis) -> (Vec<u64>, u32) {
        for job in new {
            self.told.remove(&job);
            self.lately.push_back((now, job));
        }
        while let Some(&(at, _)) = self.lately.front()
            && (now - at > TELL_MS || self.lately.len() > MOST)
        {
            self.lately.pop_front();
            self.since = self.since.max(at);
        }
        let reach = (now - self.since).clamp(0.0, TELL_MS);
        (self.lately.iter().map(|c| c.1).collect(), reach as u32)
    }

    /// Whether another has told that a job is cancelled.
    pub(crate) fn is_told(&self, job: u64) -> bool {
        self.told.contains(&job)
    }
}

impl Node {
    /// Takes what a beat tells of cancellations: when its sender may last have taken
    /// one, and up to when we know of all of them.
    pub(crate) fn told_of_cancellations(
        &mut self,
        peer: usize,
        beat: &Beat,
        now: Millis,
    ) -> (Millis, Millis) {
        for &job in &beat.cancelled {
            // Before the first read nothing is known to be open, and all count.
            let open = !self.mirror.loaded || self.mirror.open.contains_key(&job);
            if open && self.cancelled.told.len() < MOST_TOLD {
                self.cancelled.told.insert(job);
            }
        }
        if self.mirror.loaded {
            let (open, told) = (&self.mirror.open, &mut self.cancelled.told);
            told.retain(|job| open.contains_key(job));
        }
        let before = self.peers[peer].as_ref();
        let from = now - f64::from(beat.reach_ms);
        let contact = match (beat.silent_ms, before) {
            (u32::MAX, Some(before)) => before.contact,
            (u32::MAX, None) => from,
            (silent, _) => now - f64::from(silent),
        };
        let contact = before.map_or(contact, |b| contact.max(b.contact));
        let covered = before.map_or(f64::NEG_INFINITY, |b| b.covered_to);
        let slack = before.map_or(0.0, |b| if b.beat.cut_off { RESTART_MS } else { 0.0 });
        // No gap between what we knew and where the list begins.
        if from <= covered.max(self.seen_at) + slack {
            (contact, now)
        } else {
            // What was told before the gap, and nothing of what was taken in it.
            (contact.max(from), covered)
        }
    }

    /// Whether a worker's lease may go on under the token that it shows, while its
    /// owner's process has ended and the state service is out of everybody's reach.
    ///
    /// Only for tokens of our own claims, of a process before this one: that is dead,
    /// as there is one at a time, and this one has not read the state, so nobody alive
    /// is that token's owner and counts on the lease. Only by the word of a peer that
    /// lived through and knows of every cancellation, and for nothing that it tells to
    /// be cancelled. Cancellations before its list reaches back are older than a lease,
    /// and their tasks have gone.
    pub(crate) fn vouches(&self, p: usize, report: &Report, now: Millis) -> bool {
        let me = &self.config.labels[self.config.me];
        let reach = self.config.lease_ms + 10_000.0;
        let knows = |peer: &PeerState| {
            let claim = (p as u32, report.baton, me.clone());
            peer.beat.complete
                && now - peer.heard_at <= 3000.0
                && f64::from(peer.beat.reach_ms) >= reach
                && peer.beat.claims.contains(&claim)
        };
        let cancelled = |piece: &PieceReport| {
            let job = piece_numbers(&piece.piece).map(|t| t.0);
            job.is_none_or(|job| self.cancelled.is_told(job))
        };
        !self.mirror.loaded
            && report.baton > 0
            && self.cancelled.told.len() < MOST_TOLD
            && self.all_cut_off(now)
            && self.peers.iter().flatten().any(knows)
            && !report.pieces.iter().any(cancelled)
    }

    /// Whether there can be no cancellation that we have neither read nor been told of.
    pub(crate) fn knows_cancellations(&self) -> bool {
        let others = (0..self.peers.len()).filter(|&i| i != self.config.me);
        others
            .map(|i| self.peers[i].as_ref())
            .all(|peer| peer.is_some_and(|p| p.contact <= p.covered_to.max(self.seen_at)))
    }
}
