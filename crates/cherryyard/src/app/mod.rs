//! The running controller: tasks around the core.

mod forwarding;
mod history;
mod lookup_queue;
mod loops;
mod reads;
mod refusals;
mod repeats;
mod tell;

use cherryyard_clients::cloud::{CloudClient, CloudError};
use cherryyard_clients::http::{HttpClient, RequestError};
use cherryyard_clients::peer::OutgoingMessage;
use cherryyard_clients::state::{CommitOutcome, StateClient, StateError};
use cherryyard_clients::worker;
use cherryyard_core::admission::intake::Verdict;
use cherryyard_core::{Controller, Effect, Outcome, PushOutcome, Ticket};
use cherryyard_wire::peer::{ForwardResponse, Sender};
use cherryyard_wire::state::Commit;
use hdrhistogram::Histogram;
pub(crate) use history::{HistoryLookups, LookupKind};
use refusals::Refusals;
use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};

/// What all tasks share.
pub struct App {
    pub(crate) controller: Mutex<Controller>,
    /// Client of the state service.
    pub state: StateClient,
    pub(crate) cloud: CloudClient,
    pub(crate) workers: HttpClient,
    pub(crate) born: Instant,
    pub(crate) barrier: Mutex<Vec<oneshot::Sender<bool>>>,
    /// How long users' requests took since the last log line, in milliseconds.
    pub(crate) latency: Mutex<Histogram<u64>>,
    pub(crate) barrier_wanted: Notify,
    pub(crate) heartbeat_wanted: Notify,
    /// What this controller says of itself to the others.
    pub(crate) sender: Arc<Sender>,
    /// Ways to the other controllers, by name.
    pub(crate) peers: HashMap<String, mpsc::Sender<Arc<OutgoingMessage>>>,
    /// Tells that the connection to one of them is to be made anew.
    pub(crate) anew: HashMap<String, Arc<Notify>>,
    /// Submissions passed on that wait for an answer.
    pub(crate) queried: Mutex<HashMap<u64, oneshot::Sender<ForwardResponse>>>,
    pub(crate) tickets: AtomicU64,
    /// Submissions that wait for their verdicts.
    pub(crate) offers: Mutex<HashMap<u64, oneshot::Sender<Verdict>>>,
    /// Transactions that are not sent again.
    pub(crate) refusals: Mutex<Refusals>,
    /// Look-ups in the history of jobs that are over.
    pub(crate) history: HistoryLookups,
    /// Bytes that all requests' bodies may take at once.
    pub bodies: Arc<Semaphore>,
    /// The least time between two reads of one kind, from the request budget.
    pub(crate) read_interval: Duration,
    pub(crate) list_every: Duration,
    pub(crate) ttl_ms: u64,
    pub(crate) follow_ms: u64,
}

/// Pause before a writer hears that its transaction is not sent.
const MALFORMED_PAUSE: Duration = Duration::from_millis(250);

fn jittered(ms: u64) -> Duration {
    use rand::RngExt;
    Duration::from_millis(rand::rng().random_range(ms / 2..=ms + ms / 2))
}

/// Milliseconds of the day's clock.
pub fn wall_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

impl App {
    /// Milliseconds on the steady clock.
    pub fn now(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1000.0
    }

    fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.refusals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Works on the core, then does what it wants done.
    pub fn with<T>(self: &Arc<Self>, work: impl FnOnce(&mut Controller, f64) -> T) -> T {
        let now = self.now();
        let (result, effects) = {
            let mut controller = self
                .controller
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            let result = work(&mut controller, now);
            (result, controller.effects())
        };
        for effect in effects {
            self.perform(effect);
        }
        result
    }

    fn perform(self: &Arc<Self>, effect: Effect) {
        let app = self.clone();
        match effect {
            Effect::Refresh => self.barrier_wanted.notify_one(),
            Effect::Heartbeat => self.heartbeat_wanted.notify_one(),
            Effect::Answer(ticket, verdict) => self.reply_verdict(ticket, verdict),
            Effect::Commit(ticket, commit) => {
                tokio::spawn(async move {
                    let outcome = app.commit(&commit).await;
                    app.with(|n, now| n.committed(ticket, &commit, outcome, now));
                    if matches!(ticket, Ticket::AcquireShard(_)) && outcome == Outcome::NoLease {
                        tracing::info!("the lease of a claim was over");
                    }
                });
            }
            Effect::Push {
                host,
                addr,
                request,
            } => {
                tokio::spawn(async move {
                    let outcome = match worker::send(&app.workers, &addr, &request).await {
                        Ok(report) => PushOutcome::Answered(Box::new(report)),
                        Err(RequestError::NotSent) => PushOutcome::Unsent,
                        Err(RequestError::NoAnswer | RequestError::ResponseTooLarge) => {
                            PushOutcome::Unknown
                        }
                    };
                    app.with(|n, now| n.pushed(host, &request, outcome, now));
                });
            }
            Effect::QueryStatus { host, addr } => {
                tokio::spawn(async move {
                    let answer = worker::query(&app.workers, &addr).await;
                    if let Err(e) = &answer {
                        tracing::debug!(addr, "a machine does not answer a question: {e}");
                    }
                    let answer = answer.ok();
                    app.with(|n, now| n.queried(host, answer.as_ref(), now));
                });
            }
            Effect::ReadLeaf(level, job) => {
                tokio::spawn(async move {
                    let read = app.state.read_leaf(level, job).await.map_err(|_| ());
                    let leaf = read.map(|read| {
                        let leaf = read.leaf;
                        leaf.map(|l| (l.last_job, l.revision, l.record))
                    });
                    app.with(|n, now| n.leaf_read(leaf, now));
                });
            }
            Effect::ReadChunk(number, chunk) => {
                tokio::spawn(async move {
                    let read = app.state.read_chunk(number, chunk).await;
                    app.with(|n, now| n.chunk_read(number, chunk, read.map_err(|_| ()), now));
                });
            }
            Effect::Release(hosts) => {
                tokio::spawn(async move {
                    let ok = app.cloud.release(&hosts).await.is_ok();
                    app.with(|n, now| n.released(&hosts, ok, now));
                });
            }
            Effect::Provision(request) => {
                tokio::spawn(async move {
                    let answer = match app.cloud.provision(&request).await {
                        Ok(hosts) => Ok(hosts),
                        Err(CloudError::NoCapacity | CloudError::Malformed) => Err(true),
                        Err(CloudError::Unavailable) => {
                            tokio::time::sleep(jittered(2500)).await;
                            Err(false)
                        }
                    };
                    app.with(|n, now| n.provisioned(&request, answer, now));
                });
            }
        }
    }

    /// Sends a transaction, unless it exceeds the limits or has been refused for that.
    pub async fn commit(self: &Arc<Self>, commit: &Commit) -> Outcome {
        let excess = self.with(|n, _| n.config.check_commit(commit)).err();
        if self.refusals().forbids(commit, excess) {
            tokio::time::sleep(MALFORMED_PAUSE).await;
            return Outcome::Malformed;
        }
        let sent_at = self.now();
        let outcome = match self.state.commit(commit).await {
            Ok(CommitOutcome::Applied(store_revision)) => Outcome::Applied(store_revision),
            Ok(CommitOutcome::Conflict(store_revision)) => Outcome::Conflict(store_revision),
            Ok(CommitOutcome::NoLease) => Outcome::NoLease,
            Err(StateError::NoAnswer | StateError::InvalidResponse) => return Outcome::Unknown,
            Err(StateError::Malformed) => {
                self.refusals().note(commit);
                Outcome::Malformed
            }
            Err(StateError::Busy) => {
                self.with(|n, now| n.state_is_busy(now));
                return Outcome::Refused;
            }
            Err(_) => return Outcome::Refused,
        };
        self.with(|n, now| n.state_answered(sent_at, now));
        outcome
    }
}
