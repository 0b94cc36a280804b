//! Look-ups of jobs in the history, which is in the state service only.
//!
//! A look-up costs at most two reads. Reads go one after another, within a share of the
//! request budget that leaves the rest to assignments, leases and barriers; a look-up of a
//! job in a leaf that was read for another one is answered from the cache.

use super::App;
use super::lookup_queue::LookupQueue;
use cherryyard_core::Controller;
use cherryyard_history::{FinishedJob, Leaf, LeafCache, Lookup};
use cherryyard_wire::history::{LAST, Level};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Look-ups that may wait at once, of either kind.
const MAX_WAITING: usize = 200;
/// Longest that one waits.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Share of the request budget that the leader's look-ups may have, and that of all
/// others together: submissions, which need one each, are passed on to the leader.
const LEADER_SHARE: f64 = 0.15;
const OTHERS_SHARE: f64 = 0.1;

/// Submissions that are served before a poll is.
const MAX_SUBMISSIONS_IN_A_ROW: u32 = 3;

/// For whom a look-up is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupKind {
    /// A submission, which must not come after a flood of polls.
    Submission,
    /// A poll.
    Poll,
}

/// What a look-up found, and as of which revision of the history's record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Found {
    pub past: Option<FinishedJob>,
    pub moved: u64,
}

type Waiting = (u64, oneshot::Sender<Option<Found>>);

#[derive(Debug, Default)]
struct Queues {
    submissions: VecDeque<Waiting>,
    polls: LookupQueue<oneshot::Sender<Option<Found>>>,
    /// Submissions served since the last poll.
    in_a_row: u32,
}

/// How look-ups went since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    queried: u64,
    cached: u64,
    reads: u64,
    refused: u64,
}

/// Look-ups under way, and leaves lately read.
#[derive(Debug)]
pub(crate) struct HistoryLookups {
    queues: Mutex<Queues>,
    cache: Mutex<LeafCache>,
    counts: Mutex<Counts>,
    wanted: Notify,
    rps: f64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HistoryLookups {
    /// Look-ups within a share of `rps` requests a second, with a cache of at most a
    /// sixty-fourth of the memory.
    pub(crate) fn new(rps: f64, memory_bytes: usize) -> Self {
        Self {
            queues: Mutex::default(),
            cache: Mutex::new(LeafCache::new(memory_bytes / 64 / 32)),
            counts: Mutex::default(),
            wanted: Notify::new(),
            rps,
        }
    }
}

/// The revision of the history's record, and whether jobs are moving between the runs.
fn moved(controller: &Controller) -> (u64, bool) {
    (
        controller.mirror.packed_revision,
        controller.mirror.packed.spilling,
    )
}

impl App {
    /// Looks for a job that the mirror does not know, as of now; none if the look-up
    /// fails, or takes too long.
    pub(crate) async fn find_in_history(
        self: &Arc<Self>,
        job: u64,
        by: LookupKind,
    ) -> Option<Found> {
        if !self.with(|controller, _| controller.mirror.packed.any()) {
            let moved = self.with(|controller, _| controller.mirror.packed_revision);
            return Some(Found { past: None, moved });
        }
        lock(&self.history.counts).queried += 1;
        if let Some(found) = self.cached(job) {
            lock(&self.history.counts).cached += 1;
            return Some(found);
        }
        let (reply_to, reply) = oneshot::channel();
        {
            let mut queues = lock(&self.history.queues);
            match by {
                LookupKind::Poll => queues.polls.query(job, reply_to, self.now() as u64),
                LookupKind::Submission if queues.submissions.len() >= MAX_WAITING => {
                    lock(&self.history.counts).refused += 1;
                    return None;
                }
                LookupKind::Submission => queues.submissions.push_back((job, reply_to)),
            }
        }
        self.history.wanted.notify_one();
        let reply = tokio::time::timeout(LOOKUP_TIMEOUT, reply).await;
        reply.ok().and_then(Result::ok).flatten()
    }

    /// The result by leaves in the cache, if they suffice.
    fn cached(self: &Arc<Self>, job: u64) -> Option<Found> {
        let (moved, spilling) = self.with(|controller, _| moved(controller));
        let mut cache = lock(&self.history.cache);
        let mut absent = 0;
        for level in Controller::LOOKUP_ORDER {
            match cache.lookup(level, job, moved) {
                Lookup::Finished(past) => {
                    let past = Some(past);
                    return Some(Found { past, moved });
                }
                Lookup::Absent(_) => absent += 1,
                Lookup::Unknown => {}
            }
        }
        // While jobs go from one run to the other, one may have been missed in both.
        (absent == 2 && !spilling).then_some(Found { past: None, moved })
    }

    /// Looks in the small run, then in the large one: a job is in the large one
    /// before it leaves the small one, so it is missed in neither.
    async fn look_up(self: &Arc<Self>, job: u64) -> Option<Found> {
        let (moved_at, spilling) = self.with(|controller, _| moved(controller));
        let mut small_read_at = 0;
        for level in Controller::LOOKUP_ORDER {
            let known = lock(&self.history.cache).lookup(level, job, moved_at);
            match known {
                Lookup::Finished(past) => {
                    return Some(Found {
                        past: Some(past),
                        moved: moved_at,
                    });
                }
                Lookup::Absent(store_revision) if level == Level::Small => {
                    small_read_at = store_revision;
                    continue;
                }
                // As good as read now only if nothing has moved up to the time at
                // which the small run was read.
                Lookup::Absent(_)
                    if !spilling
                        && self.with(|controller, _| {
                            controller.mirror.packed_revision == moved_at
                                && controller.mirror.store_revision >= small_read_at
                        }) =>
                {
                    continue;
                }
                Lookup::Absent(_) | Lookup::Unknown => {}
            }
            let (read_at, past) = self.read_leaf_of(level, job).await?;
            if level == Level::Small {
                small_read_at = read_at;
            }
            if past.is_some() {
                let moved = moved_at;
                return Some(Found { past, moved });
            }
        }
        Some(Found {
            past: None,
            moved: moved_at,
        })
    }

    /// Reads the leaf of a run that would hold a job, and keeps it in the cache; returns
    /// the revision that the read describes, and the job if the leaf holds it.
    async fn read_leaf_of(
        self: &Arc<Self>,
        level: Level,
        job: u64,
    ) -> Option<(u64, Option<FinishedJob>)> {
        lock(&self.history.counts).reads += 1;
        let read = self.clients.state.read_leaf(level, job).await.ok()?;
        let (last, leaf) = match read.leaf {
            Some(stored) => {
                let last = stored.last_job;
                let leaf = Leaf::from_record(&stored.record).map_err(|e| {
                    tracing::error!(last, "invalid leaf of the history: {e}");
                });
                (last, leaf.ok()?)
            }
            None => (LAST, Leaf::default()),
        };
        let past = leaf.find(job).copied();
        let mut cache = lock(&self.history.cache);
        cache.put(level, job, last, read.store_revision, leaf);
        Some((read.store_revision, past))
    }

    /// The next look-up: mostly a submission's, but polls are not starved.
    fn next_lookup(&self) -> Option<(u64, Vec<oneshot::Sender<Option<Found>>>)> {
        let mut queues = lock(&self.history.queues);
        queues
            .submissions
            .retain(|(_, reply_to)| !reply_to.is_closed());
        if queues.in_a_row < MAX_SUBMISSIONS_IN_A_ROW
            && let Some((job, reply_to)) = queues.submissions.pop_front()
        {
            queues.in_a_row += 1;
            return Some((job, vec![reply_to]));
        }
        queues.in_a_row = 0;
        let poll = queues.polls.next(self.now() as u64);
        poll.or_else(|| {
            let (job, reply_to) = queues.submissions.pop_front()?;
            Some((job, vec![reply_to]))
        })
    }

    /// Serves look-ups, one after the other.
    pub(crate) async fn serve_lookups(self: Arc<Self>) {
        loop {
            let Some((job, waiting)) = self.next_lookup() else {
                self.history.wanted.notified().await;
                continue;
            };
            let before = lock(&self.history.counts).reads;
            let found = match self.cached(job) {
                Some(found) => Some(found),
                None => self.look_up(job).await,
            };
            for reply_to in waiting {
                // The one who asked may have given up.
                let _ = reply_to.send(found);
            }
            let reads = lock(&self.history.counts).reads - before;
            if reads > 0 {
                let rate = self.with(|controller, _| {
                    if controller.leadership_token().is_some() {
                        LEADER_SHARE
                    } else {
                        OTHERS_SHARE / controller.config.shards() as f64
                    }
                });
                let pause = reads as f64 / (self.history.rps * rate).max(0.5);
                tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            }
        }
    }

    /// Logs what came of look-ups since the last line.
    pub(crate) fn log_lookups(&self) {
        let counts = std::mem::take(&mut *lock(&self.history.counts));
        if counts.queried > 0 {
            tracing::info!(
                queried = counts.queried,
                cached = counts.cached,
                reads = counts.reads,
                refused = counts.refused,
                "look-ups in the history"
            );
        }
    }
}
