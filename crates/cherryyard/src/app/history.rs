//! Look-ups of jobs in the history, which is stored in the state service only.
//!
//! A look-up costs at most two reads. Reads are sent one at a time, within a share of the
//! request budget that leaves the rest to assignments, leases and barriers. A look-up of a job
//! whose leaf was read for another job is answered from the cache.

use super::App;
use super::lookup_queue::LookupQueue;
use cherryyard_core::Controller;
use cherryyard_history::{FinishedJob, Leaf, LeafCache, Lookup};
use cherryyard_wire::history::{Level, MAX_JOB_NUMBER};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Most submissions that wait for a look-up at once.
const MAX_WAITING_SUBMISSIONS: usize = 200;
/// Longest time that a request waits for its look-up.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1500);
/// Share of the request budget that the leader's look-ups may use. The leader has more than
/// the other controllers because submissions, which need a look-up each, are forwarded to it.
const LEADER_SHARE: f64 = 0.15;
/// Share of the request budget that the look-ups of all other controllers together may use.
const NON_LEADER_SHARE: f64 = 0.1;

/// Look-ups for submissions that are served in a row while a poll waits.
const MAX_SUBMISSIONS_IN_A_ROW: u32 = 3;

/// Kind of request that a look-up serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LookupKind {
    /// A submission, which must not be delayed by a flood of polls.
    Submission,
    /// A poll of a job's state.
    Poll,
}

/// Result of a look-up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LookupResult {
    /// The job, if the history holds it.
    pub finished_job: Option<FinishedJob>,
    /// Revision of the history's record as of which the result holds.
    pub history_revision: u64,
}

/// A job number, and the reply channel of the submission that waits for its look-up.
type WaitingSubmission = (u64, oneshot::Sender<Option<LookupResult>>);

/// Look-ups that wait, by kind.
#[derive(Debug, Default)]
struct Queues {
    submissions: VecDeque<WaitingSubmission>,
    polls: LookupQueue<oneshot::Sender<Option<LookupResult>>>,
    /// Look-ups for submissions served since the last one for a poll.
    submissions_in_a_row: u32,
}

/// Counts of look-ups since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    /// Look-ups requested while the history was not empty.
    queried: u64,
    /// Look-ups answered from the cache at once.
    cached: u64,
    /// Leaves read from the state service.
    reads: u64,
    /// Submissions refused because too many were waiting.
    refused: u64,
}

/// Look-ups in progress, and a cache of recently read leaves.
#[derive(Debug)]
pub(crate) struct HistoryLookups {
    queues: Mutex<Queues>,
    cache: Mutex<LeafCache>,
    counts: Mutex<Counts>,
    lookup_requested: Notify,
    /// Request budget of the state service, in requests per second.
    rps: f64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HistoryLookups {
    /// Returns an empty set of look-ups that uses a share of `rps` requests per second, and a
    /// cache of at most 1/64 of the memory.
    pub(crate) fn new(rps: f64, memory_bytes: usize) -> Self {
        Self {
            queues: Mutex::default(),
            cache: Mutex::new(LeafCache::new(memory_bytes / 64 / 32)),
            counts: Mutex::default(),
            lookup_requested: Notify::new(),
            rps,
        }
    }
}

/// Returns the revision of the history's record, and whether jobs are being moved from the
/// small run to the large one.
fn history_state(controller: &Controller) -> (u64, bool) {
    (
        controller.mirror.history_progress_revision,
        controller.mirror.history_progress.merging_runs,
    )
}

impl App {
    /// Looks up a job that is not in the mirror, as of now; returns none if the look-up is
    /// refused, fails, or times out.
    pub(crate) async fn find_in_history(
        self: &Arc<Self>,
        job: u64,
        kind: LookupKind,
    ) -> Option<LookupResult> {
        if !self.with(|controller, _| controller.mirror.history_progress.may_have_jobs()) {
            let history_revision =
                self.with(|controller, _| controller.mirror.history_progress_revision);
            return Some(LookupResult {
                finished_job: None,
                history_revision,
            });
        }
        lock(&self.history.counts).queried += 1;
        if let Some(result) = self.find_in_cache(job) {
            lock(&self.history.counts).cached += 1;
            return Some(result);
        }
        let (reply_sender, reply) = oneshot::channel();
        {
            let mut queues = lock(&self.history.queues);
            match kind {
                LookupKind::Poll => queues.polls.add_poll(job, reply_sender, self.now() as u64),
                LookupKind::Submission if queues.submissions.len() >= MAX_WAITING_SUBMISSIONS => {
                    lock(&self.history.counts).refused += 1;
                    return None;
                }
                LookupKind::Submission => queues.submissions.push_back((job, reply_sender)),
            }
        }
        self.history.lookup_requested.notify_one();
        let reply = tokio::time::timeout(LOOKUP_TIMEOUT, reply).await;
        reply.ok().and_then(Result::ok).flatten()
    }

    /// Returns the result of a look-up from the cached leaves, if they suffice.
    fn find_in_cache(self: &Arc<Self>, job: u64) -> Option<LookupResult> {
        let (history_revision, spilling) = self.with(|controller, _| history_state(controller));
        let mut cache = lock(&self.history.cache);
        let mut runs_without_job = 0;
        for level in Controller::LOOKUP_ORDER {
            match cache.lookup(level, job, history_revision) {
                Lookup::Finished(finished_job) => {
                    let finished_job = Some(finished_job);
                    return Some(LookupResult {
                        finished_job,
                        history_revision,
                    });
                }
                Lookup::Absent(_) => runs_without_job += 1,
                Lookup::Unknown => {}
            }
        }
        // While jobs are moved between the runs, a job may be missing from the cached leaves of
        // both.
        (runs_without_job == 2 && !spilling).then_some(LookupResult {
            finished_job: None,
            history_revision,
        })
    }

    /// Looks a job up in the small run and then in the large one. A job is added to the large
    /// run before it is removed from the small one, so this order never misses a job.
    async fn look_up(self: &Arc<Self>, job: u64) -> Option<LookupResult> {
        let (revision_at_start, spilling) = self.with(|controller, _| history_state(controller));
        let mut small_read_at = 0;
        for level in Controller::LOOKUP_ORDER {
            let known = lock(&self.history.cache).lookup(level, job, revision_at_start);
            match known {
                Lookup::Finished(finished_job) => {
                    return Some(LookupResult {
                        finished_job: Some(finished_job),
                        history_revision: revision_at_start,
                    });
                }
                Lookup::Absent(store_revision) if level == Level::Small => {
                    small_read_at = store_revision;
                    continue;
                }
                // As good as a new read only if the history's record has not changed up to the
                // revision at which the small run was read.
                Lookup::Absent(_)
                    if !spilling
                        && self.with(|controller, _| {
                            controller.mirror.history_progress_revision == revision_at_start
                                && controller.mirror.store_revision >= small_read_at
                        }) =>
                {
                    continue;
                }
                Lookup::Absent(_) | Lookup::Unknown => {}
            }
            let (read_at, finished_job) = self.read_and_cache_leaf(level, job).await?;
            if level == Level::Small {
                small_read_at = read_at;
            }
            if finished_job.is_some() {
                let history_revision = revision_at_start;
                return Some(LookupResult {
                    finished_job,
                    history_revision,
                });
            }
        }
        Some(LookupResult {
            finished_job: None,
            history_revision: revision_at_start,
        })
    }

    /// Reads the leaf of a run that would hold a job, and stores the leaf in the cache; returns
    /// the revision that the read describes, and the job if the leaf holds it.
    async fn read_and_cache_leaf(
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
            None => (MAX_JOB_NUMBER, Leaf::default()),
        };
        let finished_job = leaf.find(job).copied();
        let mut cache = lock(&self.history.cache);
        cache.put(level, job, last, read.store_revision, leaf);
        Some((read.store_revision, finished_job))
    }

    /// Returns the next look-up to serve. Submissions come first, but after
    /// [`MAX_SUBMISSIONS_IN_A_ROW`] of them a waiting poll is served.
    fn next_lookup(&self) -> Option<(u64, Vec<oneshot::Sender<Option<LookupResult>>>)> {
        let mut queues = lock(&self.history.queues);
        queues
            .submissions
            .retain(|(_, reply_sender)| !reply_sender.is_closed());
        if queues.submissions_in_a_row < MAX_SUBMISSIONS_IN_A_ROW
            && let Some((job, reply_sender)) = queues.submissions.pop_front()
        {
            queues.submissions_in_a_row += 1;
            return Some((job, vec![reply_sender]));
        }
        queues.submissions_in_a_row = 0;
        let poll = queues.polls.next(self.now() as u64);
        poll.or_else(|| {
            let (job, reply_sender) = queues.submissions.pop_front()?;
            Some((job, vec![reply_sender]))
        })
    }

    /// Serves look-ups one at a time, with pauses that keep reads within the budget.
    pub(crate) async fn serve_lookups(self: Arc<Self>) {
        loop {
            let Some((job, reply_senders)) = self.next_lookup() else {
                self.history.lookup_requested.notified().await;
                continue;
            };
            let reads_before = lock(&self.history.counts).reads;
            let result = match self.find_in_cache(job) {
                Some(result) => Some(result),
                None => self.look_up(job).await,
            };
            for reply_sender in reply_senders {
                // Fails if the request has timed out.
                let _ = reply_sender.send(result);
            }
            let reads = lock(&self.history.counts).reads - reads_before;
            if reads > 0 {
                let rate = self.with(|controller, _| {
                    if controller.leadership_token().is_some() {
                        LEADER_SHARE
                    } else {
                        NON_LEADER_SHARE / controller.config.shards() as f64
                    }
                });
                let pause = reads as f64 / (self.history.rps * rate).max(0.5);
                tokio::time::sleep(Duration::from_secs_f64(pause)).await;
            }
        }
    }

    /// Logs the counts of look-ups since the last log line, and resets them.
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
