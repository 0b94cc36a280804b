//! The running controller: the core, and the tasks that feed it and carry out its effects.

mod barriers;
mod effects;
mod forwarding;
mod history;
mod lookup_queue;
mod metrics;
mod mirror_sync;
mod peer_messages;
mod periodic_tasks;
mod rejected_transactions;
mod repeated_failures;

pub(crate) use barriers::Barriers;
use cherryyard_clients::cloud::CloudClient;
use cherryyard_clients::http::HttpClient;
use cherryyard_clients::peer::OutgoingMessage;
use cherryyard_clients::state::StateClient;
use cherryyard_core::Controller;
use cherryyard_wire::peer::Sender;
pub(crate) use forwarding::PendingSubmissions;
use hdrhistogram::Histogram;
pub(crate) use history::{HistoryLookups, LookupKind};
use rejected_transactions::RejectedTransactions;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{Notify, Semaphore, mpsc};

/// What all tasks of the process share.
pub struct App {
    pub(crate) controller: Mutex<Controller>,
    /// Clients of the outside services and of the workers.
    pub(crate) clients: Clients,
    /// Start of the process: zero of its steady clock.
    pub(crate) started_at: Instant,
    /// Requests that wait until the mirror has caught up with the state service.
    pub(crate) barriers: Barriers,
    /// How long users' requests took since the last log line, in milliseconds.
    pub(crate) latency: Mutex<Histogram<u64>>,
    /// Signals that a heartbeat is to be sent before its time.
    pub(crate) heartbeat_wanted: Notify,
    /// The other controllers.
    pub(crate) peers: Peers,
    /// Submissions that wait for another controller or for the core.
    pub(crate) pending: PendingSubmissions,
    /// Transactions that are not sent again.
    pub(crate) rejected: Mutex<RejectedTransactions>,
    /// Look-ups in the history of jobs that are over.
    pub(crate) history: HistoryLookups,
    /// Bytes that the bodies of all requests may take at once.
    pub(crate) body_bytes: Arc<Semaphore>,
    /// How often outside services are asked.
    pub(crate) intervals: Intervals,
}

/// Clients of the outside services and of the workers.
pub(crate) struct Clients {
    pub state: StateClient,
    pub cloud: CloudClient,
    pub workers: HttpClient,
}

/// What is needed to send messages to the other controllers.
pub(crate) struct Peers {
    /// What this controller says of itself in each frame.
    pub sender: Arc<Sender>,
    /// The queue of messages to each, by name.
    pub queues: HashMap<String, mpsc::Sender<Arc<OutgoingMessage>>>,
    /// Requests a new connection to each, by name.
    pub reconnect: HashMap<String, Arc<Notify>>,
}

/// How often outside services are asked, from their request budgets.
pub(crate) struct Intervals {
    /// The least time between two reads of one kind from the state service.
    pub read: Duration,
    /// The time between two reads of the cloud's machine list.
    pub machine_list: Duration,
    /// How long a state lease lasts without a renewal, in milliseconds.
    pub lease_ttl_ms: u64,
    /// How long a watch waits for changes, in milliseconds.
    pub watch_wait_ms: u64,
}

/// A random duration from a half to one and a half times `ms` milliseconds.
fn jittered(ms: u64) -> Duration {
    use rand::RngExt;
    Duration::from_millis(rand::rng().random_range(ms / 2..=ms + ms / 2))
}

/// The time of day, in milliseconds since the Unix epoch.
pub fn wall_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

impl App {
    /// The steady clock: milliseconds since the process started.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Lets `work` use the controller at the current time, then performs the effects that
    /// this has.
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
}
