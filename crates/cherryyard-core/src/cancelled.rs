//! Cancellations as controllers report them to each other in heartbeats.
//!
//! While nobody reaches the state service nobody can take a cancellation, so an owner
//! may go on answering its workers for as long as that lasts. But one may have been
//! taken just before, by another controller, and not have been reported to this owner: it stood
//! still, or was cut off alone when the outage began. So every controller reports to the others
//! what it has lately learnt of, and an owner relies on the outage only as far as it
//! has received these reports without a gap. `docs/restart.md` has the argument and its model.

use crate::Millis;
use crate::controller::Controller;
use crate::peers::PeerState;
use cherryyard_wire::peer::Heartbeat;
use cherryyard_wire::worker::{TaskReport, WorkerHeartbeat, parse_task_name};
use std::collections::{BTreeMap, VecDeque};

/// For how long a cancellation is announced: longer than a controller stands still.
const ANNOUNCE_MS: Millis = 60_000.0;
/// Cancellations that a heartbeat names.
const MAX_LISTED: usize = 200;
/// Time between the last heartbeat of a process that said it was cut off and the start of the
/// one after it, in which it has confirmed no cancellation to a user: see
/// [`Controller::may_confirm_cancelled`].
const RESTART_MS: Millis = 10_000.0;
/// The same as the controller that waits for it counts: clocks drift apart.
const RESTART_DRIFT_MS: Millis = RESTART_MS * 1.01;
/// Jobs that are kept as announced.
const MAX_ANNOUNCED: usize = 10_000;
/// How much longer than a worker's lease a peer's list of cancellations must reach back for
/// the peer to extend that lease.
const EXTENSION_MARGIN_MS: Millis = 10_000.0;

/// Cancellations that we report, and those that were announced to us.
#[derive(Clone, Debug)]
pub(crate) struct Cancellations {
    /// When we learnt of each.
    recent: VecDeque<(Millis, u64)>,
    /// Since when that list has no gap.
    since: Millis,
    /// Jobs that others know to be cancelled, and we have not read of, and when they were
    /// first announced to us. Whatever we know of them: a shard that we have just adopted may
    /// run tasks of jobs that we have yet to read of.
    announced: BTreeMap<u64, Millis>,
    /// When we last reported that we were cut off; at first our start, as the process before
    /// may have done so just before.
    cut_off_reported_at: Millis,
}

/// Up to when a peer's cancellations are known here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CancellationCoverage {
    /// Until then at least it may have taken some: when the state service last answered
    /// it or, where that is not known, when its process began.
    contact: Millis,
    /// All that it has learnt up to then is known.
    to: Millis,
    /// Whether the heartbeat that showed this said that its sender was cut off: then it, and
    /// a process that follows it soon, has confirmed no cancellation to a user since.
    cut_off: bool,
}

/// The time on our clock of what a peer says was `ago_ms` ago. Its clock may be fast.
fn peer_time(ago_ms: u32, now: Millis) -> Millis {
    now - f64::from(ago_ms) * 0.999
}

impl CancellationCoverage {
    /// What was known `before` a heartbeat, with the newest contact of its sender with the
    /// state service that the heartbeat reports.
    fn with_contact(before: Option<Self>, heartbeat: &Heartbeat, now: Millis) -> Self {
        let contact = match (heartbeat.silent_ms, before) {
            (u32::MAX, Some(before)) => before.contact,
            (u32::MAX, None) => peer_time(heartbeat.reach_ms, now),
            (silent, _) => peer_time(silent, now),
        };
        let before = before.unwrap_or(Self {
            contact,
            to: f64::NEG_INFINITY,
            cut_off: false,
        });
        Self {
            contact: contact.max(before.contact),
            ..before
        }
    }

    /// Up to when the sender's cancellations are known whatever a list of it leaves out.
    fn known_to(&self) -> Millis {
        self.to + if self.cut_off { RESTART_MS } else { 0.0 }
    }

    /// What is known after a heartbeat whose list follows without a gap.
    fn extended(self, heartbeat: &Heartbeat, made_at: Millis) -> Self {
        Self {
            contact: self.contact,
            to: self.to.max(made_at),
            cut_off: if made_at >= self.to {
                heartbeat.cut_off
            } else {
                self.cut_off
            },
        }
    }

    /// What is known after a heartbeat whose list begins at `list_from`, after a gap: what was
    /// reported before the gap, and nothing of what was taken in it. What the next process says
    /// of itself shows nothing of the one before.
    fn after_gap(self, list_from: Millis) -> Self {
        Self {
            contact: self.contact.max(list_from),
            ..self
        }
    }

    /// Whether the peer can have taken no cancellation that was neither reported nor read by a
    /// read sent at `read_sent_at`.
    fn is_complete(&self, read_sent_at: Millis) -> bool {
        self.contact <= self.to || self.contact < read_sent_at
    }
}

impl Cancellations {
    /// Nothing has been reported or announced yet.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            recent: VecDeque::new(),
            since: now,
            announced: BTreeMap::new(),
            cut_off_reported_at: now,
        }
    }

    /// The list for a heartbeat, with what is new in it, and how far back it reaches in
    /// milliseconds. `has_gap`: there may be cancellations that we have read past, and they
    /// cannot be named.
    pub(crate) fn list_for_heartbeat(
        &mut self,
        new: Vec<u64>,
        has_gap: bool,
        now: Millis,
    ) -> (Vec<u64>, u32) {
        if has_gap {
            self.since = now;
        }
        for job in new {
            if self.announced.remove(&job).is_none() {
                self.recent.push_back((now, job));
            }
        }
        while let Some(&(at, _)) = self.recent.front()
            && (now - at > ANNOUNCE_MS || self.recent.len() > MAX_LISTED)
        {
            self.recent.pop_front();
            self.since = self.since.max(at);
        }
        let reach_ms = (now - self.since).clamp(0.0, ANNOUNCE_MS);
        let jobs = self.recent.iter().map(|(_, job)| *job).collect();
        (jobs, reach_ms as u32)
    }

    /// Notes that we report to the others that we are cut off.
    pub(crate) fn cut_off_reported(&mut self, now: Millis) {
        self.cut_off_reported_at = now;
    }

    /// When we learnt that a job is cancelled, if that is no longer ago than is announced.
    pub(crate) fn learnt_at(&self, job: u64) -> Option<Millis> {
        let mut recent = self.recent.iter();
        recent.find(|(_, known)| *known == job).map(|(at, _)| *at)
    }

    /// Whether another controller has reported that a job is cancelled.
    pub(crate) fn is_announced(&self, job: u64) -> bool {
        self.announced.contains_key(&job)
    }

    /// Keeps what a heartbeat names, and reports it on: its sender may end, and a controller that
    /// has just started goes by what the others say. False if there is no room for all of it.
    fn keep(&mut self, jobs: impl Iterator<Item = u64>, now: Millis) -> bool {
        let mut kept_all = true;
        for job in jobs {
            if self.announced.contains_key(&job) {
                continue;
            }
            if self.announced.len() < MAX_ANNOUNCED {
                self.announced.insert(job, now);
                if self.learnt_at(job).is_none() {
                    self.recent.push_back((now, job));
                }
            } else {
                kept_all = false;
            }
        }
        kept_all
    }

    fn is_full(&self) -> bool {
        self.announced.len() >= MAX_ANNOUNCED
    }
}

impl Controller {
    /// Takes what a heartbeat, made at `made_at` or later, reports of cancellations. Returns up to
    /// when we know of all that its sender has learnt, and until when it may have taken some.
    pub(crate) fn learn_cancellations(
        &mut self,
        peer: usize,
        heartbeat: &Heartbeat,
        made_at: Millis,
        now: Millis,
    ) -> CancellationCoverage {
        let kept_all = self.keep_announced(heartbeat, now);
        self.forget_announced();
        let before = self.peers.get(peer).map(|state| state.covered);
        let covered = CancellationCoverage::with_contact(before, heartbeat, now);
        let list_from = peer_time(heartbeat.reach_ms, now);
        // No gap between what we knew and where the list begins. A read sent in the same
        // moment may have come before.
        let is_gapless =
            list_from <= covered.known_to() || list_from < self.state_contact.read_sent_at();
        if kept_all && is_gapless {
            covered.extended(heartbeat, made_at)
        } else {
            covered.after_gap(list_from)
        }
    }

    /// Keeps the cancellations that a heartbeat names and we have not read of; false if there is
    /// no room for all of them.
    fn keep_announced(&mut self, heartbeat: &Heartbeat, now: Millis) -> bool {
        let mirror = &self.mirror;
        let named = heartbeat.cancelled.iter().copied();
        let unread = named.filter(|&job| mirror.end(job).is_none());
        self.cancelled.keep(unread, now)
    }

    /// Forgets announced jobs that we have read to be over. What a read since the announcement
    /// does not show as open is over, or never was.
    fn forget_announced(&mut self) {
        let mirror = &self.mirror;
        if !mirror.loaded {
            return;
        }
        let read_sent_at = self.state_contact.read_sent_at();
        self.cancelled.announced.retain(|job, announced_at| {
            mirror.end(*job).is_none()
                && (read_sent_at <= *announced_at || mirror.open.contains_key(job))
        });
    }

    /// Whether it may be confirmed to a user that a job is cancelled.
    ///
    /// A controller that has reported that it is cut off confirms no cancellation that the
    /// others may not know: they go on answering workers on the strength of that report, and if
    /// this process ended before its next heartbeat they would never know. So each of the others has
    /// to have acknowledged a heartbeat of ours from after it was learnt, or one from after we were
    /// last cut off; or so much time has passed that they do not take the process after
    /// this one for one that has stayed cut off.
    pub fn may_confirm_cancelled(&self, job: u64, now: Millis) -> bool {
        let cut_off_reported_at = self.cancelled.cut_off_reported_at;
        let learnt_at = self.cancelled.learnt_at(job);
        now - cut_off_reported_at > RESTART_DRIFT_MS
            || self.acknowledged_by_all_since(cut_off_reported_at)
            || match learnt_at {
                Some(learnt_at) => self.acknowledged_by_all_since(learnt_at),
                // Reported for a minute, or learnt since the last heartbeat.
                None => now - self.started_at > ANNOUNCE_MS && !self.mirror.is_new_cancel(job),
            }
    }

    /// Whether every other controller has named a heartbeat of ours that was sent after `at`.
    fn acknowledged_by_all_since(&self, at: Millis) -> bool {
        let mut others = self.peers.others();
        others.all(|peer| self.named_at(peer).is_some_and(|named_at| named_at > at))
    }

    /// Whether a worker's lease may be extended under the token that it shows, while its
    /// owner's process has ended and the state service is out of everybody's reach.
    ///
    /// Only for tokens of our own leases, of a process before this one: that is dead,
    /// as there is one at a time, and this one has not read the state, so nobody alive
    /// is that token's owner and counts on the lease. Only by the word of a peer that
    /// lived through and knows of every cancellation, and for nothing that it reports to
    /// be cancelled. Cancellations before its list reaches back are older than a lease,
    /// and their tasks have gone.
    pub(crate) fn may_extend_lease(
        &self,
        shard_id: usize,
        report: &WorkerHeartbeat,
        now: Millis,
    ) -> bool {
        let knows_lease = |peer: &PeerState| self.confirms_lease(peer, shard_id, report, now);
        let may_be_cancelled = |reported: &TaskReport| {
            let task = parse_task_name(&reported.task_name);
            task.is_none_or(|(job, _)| self.cancelled.is_announced(job))
        };
        !self.mirror.loaded
            && report.fencing_token > 0
            && !self.cancelled.is_full()
            && self.all_cut_off(now)
            && self.peers.iter().any(knows_lease)
            && !report.tasks.iter().any(may_be_cancelled)
    }

    /// Whether a peer knows of every cancellation that matters to a worker's lease, and that
    /// its token was the last one of ours.
    fn confirms_lease(
        &self,
        peer: &PeerState,
        shard_id: usize,
        report: &WorkerHeartbeat,
        now: Millis,
    ) -> bool {
        let label = &self.config.labels[self.config.me];
        let reach_ms = self.config.lease_ms + EXTENSION_MARGIN_MS;
        let heartbeat = &peer.heartbeat;
        heartbeat.complete
            && now - peer.made_at <= self.config.relied_ms()
            && f64::from(heartbeat.reach_ms) >= reach_ms
            && heartbeat.leases.iter().any(|(shard, token, holder)| {
                *shard as usize == shard_id && *token == report.fencing_token && holder == label
            })
    }

    /// Whether there can be no cancellation that we have neither read nor received a report of.
    pub(crate) fn knows_cancellations(&self) -> bool {
        let read_sent_at = self.state_contact.read_sent_at();
        let mut others = self.peers.other_states();
        others.all(|peer| peer.is_some_and(|peer| peer.covered.is_complete(read_sent_at)))
    }
}
