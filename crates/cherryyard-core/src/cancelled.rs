//! Cancellations of jobs that controllers report to each other in heartbeats.
//!
//! While no controller reaches the state service, no controller can take a cancellation, so the
//! owner of a shard may continue to answer its workers for as long as that outage lasts. But
//! another controller may have taken a cancellation just before the outage, and the owner may have
//! missed it because the owner was suspended, or was cut off alone when the outage began.
//! Therefore every controller reports to the others the cancellations that it has recently learnt
//! of, and an owner relies on the outage only as far as it has received these reports without a
//! gap. `docs/restart.md` contains the full argument and describes the model that checks it.

use crate::Millis;
use crate::controller::Controller;
use crate::peers::PeerState;
use cherryyard_wire::peer::Heartbeat;
use cherryyard_wire::worker::{TaskReport, WorkerHeartbeat, parse_task_name};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a cancellation is announced in heartbeats: longer than a controller stays
/// suspended.
const ANNOUNCE_MS: Millis = 60_000.0;
/// Largest number of cancellations that a heartbeat lists.
const MAX_LISTED: usize = 200;
/// Time after a heartbeat that reports its sender as cut off during which that controller, even if
/// its process is replaced by another one, confirms no cancellation to a user without an
/// acknowledgement by the others: see [`Controller::may_confirm_cancelled`]. Therefore a list of
/// cancellations that begins within this time after such a heartbeat follows it without a gap.
const CONFIRMATION_PAUSE_MS: Millis = 10_000.0;
/// [`CONFIRMATION_PAUSE_MS`] as measured by the controller that pauses, prolonged because the
/// clocks of controllers drift apart.
const CONFIRMATION_PAUSE_WITH_DRIFT_MS: Millis = CONFIRMATION_PAUSE_MS * 1.01;
/// Largest number of jobs that are stored as announced.
const MAX_ANNOUNCED: usize = 10_000;
/// Time by which a peer's list of cancellations must reach further back than the duration of a
/// worker's lease before that lease may be extended on the strength of the list.
const EXTENSION_MARGIN_MS: Millis = 10_000.0;

/// Cancellations that this controller reports, and those that peers announced to it.
#[derive(Clone, Debug)]
pub(crate) struct Cancellations {
    /// Cancelled jobs, each with the time at which this controller learnt of the cancellation.
    recent: VecDeque<(Millis, u64)>,
    /// Time since which `recent` has no gap.
    gapless_since: Millis,
    /// Jobs that peers reported as cancelled and whose end has not been read from the state
    /// service, with the time at which each was first announced. Jobs that are unknown here are
    /// included, because a shard whose lease was just acquired may run tasks of jobs that have
    /// yet to be read.
    announced: BTreeMap<u64, Millis>,
    /// Time at which this controller last reported that it was cut off. The initial value is the
    /// start of the process, as the process before it may have reported so just before.
    cut_off_reported_at: Millis,
}

/// Extent to which the cancellations of a peer are known here.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CancellationCoverage {
    /// Latest known time at which the peer may have taken a cancellation: when the state service
    /// last answered it or, where that is unknown, when its process started.
    last_contact: Millis,
    /// Time up to which all cancellations that the peer has learnt of are known here.
    covered_to: Millis,
    /// Whether the heartbeat that extended the coverage to `covered_to` reported its sender as cut
    /// off. The sender, and a process that replaces it soon, has then confirmed no cancellation to
    /// a user since.
    cut_off: bool,
}

/// Returns the time on the local clock of an event that a peer measured as `ago_ms` ago. The factor
/// allows for a clock of the peer that is too fast.
fn peer_time(ago_ms: u32, now: Millis) -> Millis {
    now - f64::from(ago_ms) * 0.999
}

impl CancellationCoverage {
    /// Returns the coverage `before` a heartbeat, updated with the sender's last contact with the
    /// state service that the heartbeat reports.
    fn with_contact(before: Option<Self>, heartbeat: &Heartbeat, now: Millis) -> Self {
        let last_contact = match (heartbeat.silent_ms, before) {
            (u32::MAX, Some(before)) => before.last_contact,
            (u32::MAX, None) => peer_time(heartbeat.cancellations_cover_ms, now),
            (since_answer_ms, _) => peer_time(since_answer_ms, now),
        };
        let before = before.unwrap_or(Self {
            last_contact,
            covered_to: f64::NEG_INFINITY,
            cut_off: false,
        });
        Self {
            last_contact: last_contact.max(before.last_contact),
            ..before
        }
    }

    /// Returns the latest time at which the sender's next list may begin without leaving a gap. A
    /// sender that was cut off confirmed no cancellation for [`CONFIRMATION_PAUSE_MS`], so its list
    /// may begin that much later.
    fn gapless_until(&self) -> Millis {
        self.covered_to
            + if self.cut_off {
                CONFIRMATION_PAUSE_MS
            } else {
                0.0
            }
    }

    /// Returns the coverage after a heartbeat whose list continues it without a gap.
    fn extended(self, heartbeat: &Heartbeat, earliest_created_at: Millis) -> Self {
        Self {
            last_contact: self.last_contact,
            covered_to: self.covered_to.max(earliest_created_at),
            cut_off: if earliest_created_at >= self.covered_to {
                heartbeat.cut_off
            } else {
                self.cut_off
            },
        }
    }

    /// Returns the coverage after a heartbeat whose list begins at `list_from`, after a gap. The
    /// coverage ends before the gap, as cancellations may have been taken within it. `cut_off`
    /// stays, because a report by the next process proves nothing about the process before it.
    fn after_gap(self, list_from: Millis) -> Self {
        Self {
            last_contact: self.last_contact.max(list_from),
            ..self
        }
    }

    /// Returns whether each cancellation that the peer may have taken was either reported by it, or
    /// contained in the answer to a read of the state service sent at `read_sent_at`.
    fn is_complete(&self, read_sent_at: Millis) -> bool {
        self.last_contact <= self.covered_to || self.last_contact < read_sent_at
    }
}

impl Cancellations {
    /// Creates the state in which no cancellation has been reported or announced.
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            recent: VecDeque::new(),
            gapless_since: now,
            announced: BTreeMap::new(),
            cut_off_reported_at: now,
        }
    }

    /// Adds the `new` cancellations, and returns the list for a heartbeat and the time that it
    /// reaches back without a gap, in milliseconds. `has_gap` says that the mirror may have skipped
    /// cancellations, which the list cannot contain.
    pub(crate) fn list_for_heartbeat(
        &mut self,
        new: Vec<u64>,
        has_gap: bool,
        now: Millis,
    ) -> (Vec<u64>, u32) {
        if has_gap {
            self.gapless_since = now;
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
            self.gapless_since = self.gapless_since.max(at);
        }
        let cancellations_cover_ms = (now - self.gapless_since).clamp(0.0, ANNOUNCE_MS);
        let jobs = self.recent.iter().map(|(_, job)| *job).collect();
        (jobs, cancellations_cover_ms as u32)
    }

    /// Records that this controller reports to the others that it is cut off.
    pub(crate) fn cut_off_reported(&mut self, now: Millis) {
        self.cut_off_reported_at = now;
    }

    /// Returns the time at which this controller learnt that a job is cancelled, if the
    /// cancellation is still in the list for heartbeats.
    pub(crate) fn known_since(&self, job: u64) -> Option<Millis> {
        let mut recent = self.recent.iter();
        recent.find(|(_, known)| *known == job).map(|(at, _)| *at)
    }

    /// Returns whether another controller has reported that a job is cancelled, and its end has
    /// not been read since.
    pub(crate) fn is_announced(&self, job: u64) -> bool {
        self.announced.contains_key(&job)
    }

    /// Stores the cancelled jobs that a heartbeat lists, and adds them to the list for this
    /// controller's own heartbeats: the sender may end, and a controller that has just started
    /// relies on the reports of the others. Returns false if [`MAX_ANNOUNCED`] is exceeded.
    fn store_announced(&mut self, jobs: impl Iterator<Item = u64>, now: Millis) -> bool {
        let mut stored_all = true;
        for job in jobs {
            if self.announced.contains_key(&job) {
                continue;
            }
            if self.announced.len() < MAX_ANNOUNCED {
                self.announced.insert(job, now);
                if self.known_since(job).is_none() {
                    self.recent.push_back((now, job));
                }
            } else {
                stored_all = false;
            }
        }
        stored_all
    }

    /// Returns whether no further announced job can be stored.
    fn is_full(&self) -> bool {
        self.announced.len() >= MAX_ANNOUNCED
    }
}

impl Controller {
    /// Handles the cancellations in a heartbeat that was made at `earliest_created_at` or later. Returns the
    /// extent to which its sender's cancellations are known after it.
    pub(crate) fn learn_cancellations(
        &mut self,
        peer: usize,
        heartbeat: &Heartbeat,
        earliest_created_at: Millis,
        now: Millis,
    ) -> CancellationCoverage {
        let stored_all = self.store_unread_announcements(heartbeat, now);
        self.drop_ended_announcements();
        let before = self.peers.get(peer).map(|state| state.coverage);
        let coverage = CancellationCoverage::with_contact(before, heartbeat, now);
        let list_from = peer_time(heartbeat.cancellations_cover_ms, now);
        // The list must begin before the coverage or the newest answered read ends. A read that
        // was sent at the moment at which the list begins may have been executed just before.
        let is_gapless =
            list_from <= coverage.gapless_until() || list_from < self.state_contact.read_sent_at();
        if stored_all && is_gapless {
            coverage.extended(heartbeat, earliest_created_at)
        } else {
            coverage.after_gap(list_from)
        }
    }

    /// Stores the jobs that a heartbeat lists as cancelled and whose end the mirror does not show.
    /// Returns false if there are too many to store all of them.
    fn store_unread_announcements(&mut self, heartbeat: &Heartbeat, now: Millis) -> bool {
        let mirror = &self.mirror;
        let listed = heartbeat.cancelled.iter().copied();
        let unread = listed.filter(|&job| mirror.end(job).is_none());
        self.cancelled.store_announced(unread, now)
    }

    /// Drops announced jobs whose end the mirror shows, and those that a read sent after the
    /// announcement does not show as open: they have ended, or never existed.
    fn drop_ended_announcements(&mut self) {
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

    /// Returns whether this controller may confirm to a user that a job is cancelled.
    ///
    /// A controller that has reported itself as cut off confirms no cancellation that the others
    /// may not know of: they continue to answer workers because of that report, and if this process
    /// ended before its next heartbeat they would never learn of the cancellation. So one of three
    /// conditions must hold. Either all others have acknowledged a heartbeat that was sent after
    /// this controller learnt of the cancellation; or all others have acknowledged a heartbeat that
    /// was sent after its last report of being cut off; or that report is older than
    /// `CONFIRMATION_PAUSE_WITH_DRIFT_MS`, so that the others would not assume, when another
    /// process replaces this one, that the controller was cut off throughout.
    pub fn may_confirm_cancelled(&self, job: u64, now: Millis) -> bool {
        let cut_off_reported_at = self.cancelled.cut_off_reported_at;
        let learnt_at = self.cancelled.known_since(job);
        now - cut_off_reported_at > CONFIRMATION_PAUSE_WITH_DRIFT_MS
            || self.acknowledged_by_all_since(cut_off_reported_at)
            || match learnt_at {
                Some(learnt_at) => self.acknowledged_by_all_since(learnt_at),
                // The list for heartbeats does not contain the cancellation: it was announced for
                // [`ANNOUNCE_MS`] already, or it was learnt after the last heartbeat.
                None => now - self.started_at > ANNOUNCE_MS && !self.mirror.is_newly_cancelled(job),
            }
    }

    /// Returns whether every other controller has acknowledged a heartbeat that this controller
    /// sent after `at`.
    fn acknowledged_by_all_since(&self, at: Millis) -> bool {
        let mut others = self.peers.others();
        others.all(|peer| {
            self.last_acknowledged_at(peer)
                .is_some_and(|sent_at| sent_at > at)
        })
    }

    /// Returns whether this controller may extend a worker's lease under the token in the worker's
    /// heartbeat, although the process that owned the shard has ended and no controller reaches the
    /// state service.
    ///
    /// The token must be that of a lease which an earlier process of this controller held. That
    /// process has ended, because only one runs at a time, and the present process has not read the
    /// state, so no running process owns the shard by that token or relies on the lease's end. A
    /// peer that has run throughout must confirm the lease and know of every cancellation, and
    /// none of the worker's tasks may be of a job that was announced as cancelled. Cancellations
    /// from before the start of that peer's list are older than a worker's lease, so their tasks
    /// are gone.
    pub(crate) fn may_extend_lease(
        &self,
        shard_id: usize,
        report: &WorkerHeartbeat,
        now: Millis,
    ) -> bool {
        let peer_confirms = |peer: &PeerState| self.confirms_lease(peer, shard_id, report, now);
        let may_be_cancelled = |reported: &TaskReport| {
            let task = parse_task_name(&reported.task_name);
            task.is_none_or(|(job, _)| self.cancelled.is_announced(job))
        };
        !self.mirror.loaded
            && report.fencing_token > 0
            && !self.cancelled.is_full()
            && self.all_cut_off(now)
            && self.peers.iter().any(peer_confirms)
            && !report.tasks.iter().any(may_be_cancelled)
    }

    /// Returns whether a peer knows of every cancellation that is relevant to a worker's lease, and
    /// shows the worker's token as that of the shard's newest lease, held by this controller.
    fn confirms_lease(
        &self,
        peer: &PeerState,
        shard_id: usize,
        report: &WorkerHeartbeat,
        now: Millis,
    ) -> bool {
        let label = &self.config.labels[self.config.own_index];
        let cancellations_cover_ms = self.config.lease_ms + EXTENSION_MARGIN_MS;
        let heartbeat = &peer.heartbeat;
        heartbeat.all_cancellations_known
            && now - peer.earliest_created_at <= self.config.heartbeat_validity_ms()
            && f64::from(heartbeat.cancellations_cover_ms) >= cancellations_cover_ms
            && heartbeat.leases.iter().any(|(shard, token, holder)| {
                *shard as usize == shard_id && *token == report.fencing_token && holder == label
            })
    }

    /// Returns whether every cancellation that any controller may have taken was either read from
    /// the state service or reported to this controller.
    pub(crate) fn knows_cancellations(&self) -> bool {
        let read_sent_at = self.state_contact.read_sent_at();
        let mut others = self.peers.other_states();
        others.all(|peer| peer.is_some_and(|peer| peer.coverage.is_complete(read_sent_at)))
    }
}
