//! Cancellations as controllers tell them to each other.
//!
//! While nobody reaches the state service nobody can take a cancellation, so an owner
//! may go on answering its workers for as long as that lasts. But one may have been
//! taken just before, by another, and not have been told to this owner: it stood still,
//! or was cut off alone when the outage began. So every controller tells the others
//! what it has lately learnt of, and an owner relies on the outage only as far as it
//! has been told without a gap.

use crate::Millis;
use crate::controller::Controller;
use crate::peers::PeerState;
use cherryyard_wire::peer::Heartbeat;
use cherryyard_wire::worker::{TaskReport, WorkerHeartbeat, parse_task_name};
use std::collections::{BTreeMap, VecDeque};

/// For how long a cancellation is announced: longer than a controller stands still.
const TELL_MS: f64 = 60_000.0;
/// Cancellations that a heartbeat names.
const MOST: usize = 200;
/// Time between the last heartbeat of a process that said it was cut off and the start of the
/// one after it, in which it has told no user of a cancellation: see
/// [`Controller::may_confirm_cancelled`].
const RESTART_MS: f64 = 10_000.0;
/// The same as the one who keeps it counts: clocks drift apart.
const KEPT_MS: f64 = RESTART_MS * 1.01;
/// Jobs that are kept as announced.
const MAX_ANNOUNCED: usize = 10_000;

/// What is told, and what we were announced.
#[derive(Clone, Debug)]
pub(crate) struct Cancelled {
    /// When we learnt of each.
    lately: VecDeque<(Millis, u64)>,
    /// Since when that list has no gap.
    since: Millis,
    /// Jobs that others know to be cancelled, and we have not read of, and when we were
    /// first announced. Whatever we know of them: a shard that we have just adopted may run
    /// tasks of jobs that we have yet to read of.
    announced: BTreeMap<u64, Millis>,
    /// When we last told that we were cut off; at first our start, as the process before
    /// may have said so just before.
    cut_at: Millis,
}

/// Up to when a controller's cancellations are known here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Covered {
    /// Until then at least it may have taken some: when the state service last answered
    /// it or, where that is not known, when its process began.
    pub contact: Millis,
    /// All that it has learnt up to then is known.
    pub to: Millis,
    /// Whether the message that told so said that its sender was cut off: then it, and
    /// whoever follows it soon, has told no user of a cancellation since.
    pub cut: bool,
}

impl Cancelled {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            lately: VecDeque::new(),
            since: now,
            announced: BTreeMap::new(),
            cut_at: now,
        }
    }

    /// The list for a heartbeat, with what is new in it, and how far back it reaches. `gap`:
    /// there may be cancellations that we have read past, and they cannot be named.
    pub(crate) fn tell(&mut self, new: Vec<u64>, gap: bool, now: Millis) -> (Vec<u64>, u32) {
        if gap {
            self.since = now;
        }
        for job in new {
            if self.announced.remove(&job).is_none() {
                self.lately.push_back((now, job));
            }
        }
        while let Some(&(at, _)) = self.lately.front()
            && (now - at > TELL_MS || self.lately.len() > MOST)
        {
            self.lately.pop_front();
            self.since = self.since.max(at);
        }
        let reachability = (now - self.since).clamp(0.0, TELL_MS);
        (
            self.lately.iter().map(|c| c.1).collect(),
            reachability as u32,
        )
    }

    /// Notes that we tell the others that we are cut off.
    pub(crate) fn announced_cut_off(&mut self, now: Millis) {
        self.cut_at = now;
    }

    /// When we learnt that a job is cancelled, if that is no longer ago than is announced.
    pub(crate) fn learnt_at(&self, job: u64) -> Option<Millis> {
        self.lately.iter().find(|l| l.1 == job).map(|l| l.0)
    }

    /// Whether another has told that a job is cancelled.
    pub(crate) fn is_announced(&self, job: u64) -> bool {
        self.announced.contains_key(&job)
    }

    /// Keeps what a heartbeat names, and tells it on: whoever told may end, and one that has
    /// just started goes by what the others say. False if there is no room for all of it.
    fn keep(&mut self, jobs: impl Iterator<Item = u64>, now: Millis) -> bool {
        let mut all = true;
        for job in jobs {
            if self.announced.contains_key(&job) {
                continue;
            }
            if self.announced.len() < MAX_ANNOUNCED {
                self.announced.insert(job, now);
                if !self.lately.iter().any(|l| l.1 == job) {
                    self.lately.push_back((now, job));
                }
            } else {
                all = false;
            }
        }
        all
    }
}

impl Controller {
    /// Takes what a heartbeat tells of cancellations, one that was made at `made` or later:
    /// up to when we know of all that its sender has learnt, until when it may have
    /// taken some.
    pub(crate) fn learn_cancellations(
        &mut self,
        peer: usize,
        heartbeat: &Heartbeat,
        made: Millis,
        now: Millis,
    ) -> Covered {
        let mirror = &self.mirror;
        let unread = heartbeat.cancelled.iter().copied();
        let unread = unread.filter(|&job| mirror.end(job).is_none());
        let kept = self.cancelled.keep(unread, now);
        if mirror.loaded {
            // What a read since then does not show as open is over, or never was.
            let reported = self.state_contact.read_sent_at();
            self.cancelled.announced.retain(|job, at| {
                mirror.end(*job).is_none() && (reported <= *at || mirror.open.contains_key(job))
            });
        }
        let before = self.peers.get(peer).map(|state| state.covered);
        // By the sender's clock, which may be fast.
        let ago = |ms: u32| now - f64::from(ms) * 0.999;
        let from = ago(heartbeat.reach_ms);
        let contact = match (heartbeat.silent_ms, before) {
            (u32::MAX, Some(before)) => before.contact,
            (u32::MAX, None) => from,
            (silent, _) => ago(silent),
        };
        let before = before.unwrap_or(Covered {
            contact,
            to: f64::NEG_INFINITY,
            cut: false,
        });
        let contact = contact.max(before.contact);
        let slack = if before.cut { RESTART_MS } else { 0.0 };
        // No gap between what we knew and where the list begins. A read sent in the same
        // moment may have come before.
        if kept && (from <= before.to + slack || from < self.state_contact.read_sent_at()) {
            Covered {
                contact,
                to: before.to.max(made),
                cut: if made >= before.to {
                    heartbeat.cut_off
                } else {
                    before.cut
                },
            }
        } else {
            // What was told before the gap, and nothing of what was taken in it. What
            // the next process says of itself tells nothing of the one before.
            Covered {
                contact: contact.max(from),
                ..before
            }
        }
    }

    /// Whether a user may be told that a job is cancelled.
    ///
    /// Who has said that it is cut off tells nobody of a cancellation that the others
    /// may not know: they go on answering workers by that word, and if this process
    /// ended before its next heartbeat nobody would ever tell them. So each of the others has
    /// to have named a heartbeat of ours from after it was learnt, or one from after we were
    /// last cut off; or so much time has passed that they do not take the process after
    /// this one for one that has stayed cut off.
    pub fn may_confirm_cancelled(&self, job: u64, now: Millis) -> bool {
        let c = &self.cancelled;
        let named_by_all = |at: Millis| {
            self.peers
                .others()
                .map(|peer| self.named_at(peer))
                .all(|named| named.is_some_and(|n| n > at))
        };
        let learnt = c.learnt_at(job);
        now - c.cut_at > KEPT_MS
            || named_by_all(c.cut_at)
            || match learnt {
                Some(at) => named_by_all(at),
                // Told for a minute, or learnt since the last heartbeat.
                None => now - self.started_at > TELL_MS && !self.mirror.is_new_cancel(job),
            }
    }

    /// Whether a worker's lease may go on under the token that it shows, while its
    /// owner's process has ended and the state service is out of everybody's reach.
    ///
    /// Only for tokens of our own leases, of a process before this one: that is dead,
    /// as there is one at a time, and this one has not read the state, so nobody alive
    /// is that token's owner and counts on the lease. Only by the word of a peer that
    /// lived through and knows of every cancellation, and for nothing that it tells to
    /// be cancelled. Cancellations before its list reaches back are older than a lease,
    /// and their tasks have gone.
    pub(crate) fn may_extend_lease(&self, p: usize, report: &WorkerHeartbeat, now: Millis) -> bool {
        let me = &self.config.labels[self.config.me];
        let reachability = self.config.lease_ms + 10_000.0;
        let knows = |peer: &PeerState| {
            let holder = (p as u32, report.fencing_token, me.clone());
            peer.heartbeat.complete
                && now - peer.made_at <= self.config.relied_ms()
                && f64::from(peer.heartbeat.reach_ms) >= reachability
                && peer.heartbeat.leases.contains(&holder)
        };
        let cancelled = |reported: &TaskReport| {
            let job = parse_task_name(&reported.task_name).map(|t| t.0);
            job.is_none_or(|job| self.cancelled.is_announced(job))
        };
        !self.mirror.loaded
            && report.fencing_token > 0
            && self.cancelled.announced.len() < MAX_ANNOUNCED
            && self.all_cut_off(now)
            && self.peers.iter().any(knows)
            && !report.tasks.iter().any(cancelled)
    }

    /// Whether there can be no cancellation that we have neither read nor been told of.
    pub(crate) fn knows_cancellations(&self) -> bool {
        self.peers.other_states().all(|peer| {
            peer.is_some_and(|p| {
                let contact = p.covered.contact;
                contact <= p.covered.to || contact < self.state_contact.read_sent_at()
            })
        })
    }
}
