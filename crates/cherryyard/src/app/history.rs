//! Look-ups of jobs in the history, which is in the state service only.
//!
//! A look-up costs at most two reads. They go one after another, within a share of
//! the request budget that leaves the rest to assignments, claims and barriers; whoever
//! asks for a job that a leaf read for another covers is answered by it.

use super::App;
use super::line::Line;
use cherryyard_core::Node;
use cherryyard_history::{FinishedJob, Leaf, LeafCache, Lookup};
use cherryyard_wire::history::{LAST, Level};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Look-ups that may wait at once, of either kind.
const MAX_WAITING: usize = 200;
/// Longest that one waits.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Share of the request budget that the leader's look-ups may have, and that of all
/// others together: submissions, which need one each, are passed on to the leader.
const LEADERS_SHARE: f64 = 0.15;
const OTHERS_SHARE: f64 = 0.1;

/// Submissions that are served before a poll is.
const IN_A_ROW: u32 = 3;

/// For whom a look-up is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Look {
    /// A submission, which must not come after a flood of polls.
    Submission,
    /// A poll.
    Poll,
}

/// What a look-up found, and as of which stamp of the history's record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Found {
    pub past: Option<FinishedJob>,
    pub moved: u64,
}

type Waiting = (u64, oneshot::Sender<Option<Found>>);

#[derive(Debug, Default)]
struct Queues {
    submissions: VecDeque<Waiting>,
    polls: Line<oneshot::Sender<Option<Found>>>,
    /// Submissions served since the last poll.
    in_a_row: u32,
}

/// How look-ups went since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: u64,
    cached: u64,
    reads: u64,
    refused: u64,
}

/// Look-ups under way, and leaves lately read.
#[derive(Debug)]
pub(crate) struct LookUps {
    queues: Mutex<Queues>,
    cache: Mutex<LeafCache>,
    counts: Mutex<Counts>,
    wanted: Notify,
    rps: f64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl LookUps {
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

/// The stamp of the history's record, and whether jobs are moving between the runs.
fn moved(node: &Node) -> (u64, bool) {
    (node.mirror.packed_stamp, node.mirror.packed.spilling)
}

impl App {
    /// Looks for a job that the mirror does not know, as of now; none if that
    /// cannot be told, or not in time.
    pub(crate) async fn look_in_history(self: &Arc<Self>, job: u64, by: Look) -> Option<Found> {
        if !self.with(|n, _| n.mirror.packed.any()) {
            let moved = self.with(|n, _| n.mirror.packed_stamp);
            return Some(Found { past: None, moved });
        }
        lock(&self.history.counts).asked += 1;
        if let Some(found) = self.cached(job) {
            lock(&self.history.counts).cached += 1;
            return Some(found);
        }
        let (tell, told) = oneshot::channel();
        {
            let mut queues = lock(&self.history.queues);
            match by {
                Look::Poll => queues.polls.ask(job, tell, self.now() as u64),
                Look::Submission if queues.submissions.len() >= MAX_WAITING => {
                    lock(&self.history.counts).refused += 1;
                    return None;
                }
                Look::Submission => queues.submissions.push_back((job, tell)),
            }
        }
        self.history.wanted.notify_one();
        let told = tokio::time::timeout(PATIENCE, told).await;
        told.ok().and_then(Result::ok).flatten()
    }

    /// What leaves lately read tell, if that is enough.
    fn cached(self: &Arc<Self>, job: u64) -> Option<Found> {
        let (moved, spilling) = self.with(|n, _| moved(n));
        let mut cache = lock(&self.history.cache);
        let mut absent = 0;
        for level in Node::LOOK_UP_ORDER {
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
    async fn look(self: &Arc<Self>, job: u64) -> Option<Found> {
        let (moved_at, spilling) = self.with(|n, _| moved(n));
        let mut small_epoch = 0;
        for level in Node::LOOK_UP_ORDER {
            let known = lock(&self.history.cache).lookup(level, job, moved_at);
            match known {
                Lookup::Finished(past) => {
                    return Some(Found {
                        past: Some(past),
                        moved: moved_at,
                    });
                }
                Lookup::Absent(epoch) if level == Level::Small => {
                    small_epoch = epoch;
                    continue;
                }
                // As good as read now only if nothing has moved up to the time at
                // which the small run was read.
                Lookup::Absent(_)
                    if !spilling
                        && self.with(|n, _| {
                            n.mirror.packed_stamp == moved_at && n.mirror.epoch >= small_epoch
                        }) =>
                {
                    continue;
                }
                Lookup::Absent(_) | Lookup::Unknown => {}
            }
            lock(&self.history.counts).reads += 1;
            let (epoch, leaf) = self.state.read_leaf(level, job).await.ok()?;
            if level == Level::Small {
                small_epoch = epoch;
            }
            let (last, leaf) = match leaf {
                Some((last, _, record)) => {
                    let leaf = Leaf::from_record(&record).map_err(|e| {
                        tracing::error!(last, "a bad leaf of the history: {e}");
                    });
                    (last, leaf.ok()?)
                }
                None => (LAST, Leaf::default()),
            };
            let past = leaf.find(job).copied();
            lock(&self.history.cache).put(level, job, last, epoch, leaf);
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

    /// Whose look-up is next: mostly a submission's, but polls are not starved.
    fn next_look_up(&self) -> Option<(u64, Vec<oneshot::Sender<Option<Found>>>)> {
        let mut queues = lock(&self.history.queues);
        queues.submissions.retain(|(_, tell)| !tell.is_closed());
        if queues.in_a_row < IN_A_ROW
            && let Some((job, tell)) = queues.submissions.pop_front()
        {
            queues.in_a_row += 1;
            return Some((job, vec![tell]));
        }
        queues.in_a_row = 0;
        let poll = queues.polls.next(self.now() as u64);
        poll.or_else(|| {
            let (job, tell) = queues.submissions.pop_front()?;
            Some((job, vec![tell]))
        })
    }

    /// Serves look-ups, one after the other.
    pub(crate) async fn serve_look_ups(self: Arc<Self>) {
        loop {
            let Some((job, waiting)) = self.next_look_up() else {
                self.history.wanted.notified().await;
                continue;
            };
            let before = lock(&self.history.counts).reads;
            let found = match self.cached(job) {
                Some(found) => Some(found),
                None => self.look(job).await,
            };
            for tell in waiting {
                // The one who asked may have given up.
                let _ = tell.send(found);
            }
            let reads = lock(&self.history.counts).reads - before;
            if reads > 0 {
                let rate = self.with(|n, _| {
                    if n.lead_stamp().is_some() {
                        LEADERS_SHARE
                    } else {
                        OTHERS_SHARE / n.config.parts() as f64
                    }
                });
                let pause = reads as f64 / (self.history.rps * rate).max(0.5);
                tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            }
        }
    }

    /// Tells now and then how look-ups went.
    pub(crate) fn tell_look_ups(&self) {
        let counts = std::mem::take(&mut *lock(&self.history.counts));
        if counts.asked > 0 {
            tracing::info!(
                asked = counts.asked,
                cached = counts.cached,
                reads = counts.reads,
                refused = counts.refused,
                "look-ups in the history"
            );
        }
    }
}
