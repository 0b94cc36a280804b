//! The running controller: the core, and the tasks that pass events to it and carry out its
//! effects.

mod barriers;
mod command_trace;
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

/// State that all tasks of the process share.
pub struct App {
    /// The core, whose methods take events and return effects.
    pub(crate) controller: Mutex<Controller>,
    /// Clients of the external services and of the workers.
    pub(crate) clients: Clients,
    /// Start of the process, from which its monotonic clock counts.
    pub(crate) started_at: Instant,
    /// Requests that wait until the mirror has caught up with the state service.
    pub(crate) barriers: Barriers,
    /// Latencies of users' requests since the last log line, in milliseconds.
    pub(crate) latency: Mutex<Histogram<u64>>,
    /// Signal to send a heartbeat before the interval ends.
    pub(crate) heartbeat_requested: Notify,
    /// The other controllers.
    pub(crate) peers: Peers,
    /// Submissions that wait for a response from another controller or a verdict of the core.
    pub(crate) pending: PendingSubmissions,
    /// Transactions that are not sent again because they were rejected.
    pub(crate) rejected: Mutex<RejectedTransactions>,
    /// Look-ups of ended jobs in the history.
    pub(crate) history: HistoryLookups,
    /// Budget of bytes for the bodies of all requests at once.
    pub(crate) body_bytes: Arc<Semaphore>,
    /// Intervals and timeouts of requests to the external services.
    pub(crate) intervals: Intervals,
}

/// Clients of the external services and of the workers.
pub(crate) struct Clients {
    pub state: StateClient,
    pub cloud: CloudClient,
    pub workers: HttpClient,
}

/// Everything needed to send messages to the other controllers.
pub(crate) struct Peers {
    /// Description of this controller that each frame carries.
    pub sender: Arc<Sender>,
    /// Queues of messages to the other controllers, by controller name.
    pub queues: HashMap<String, mpsc::Sender<Arc<OutgoingMessage>>>,
    /// Signals to open a new connection to a controller, by controller name.
    pub reconnect: HashMap<String, Arc<Notify>>,
}

/// Intervals and timeouts of requests to the external services, derived from their request
/// budgets and the workers' lease.
pub(crate) struct Intervals {
    /// Shortest time between two reads of one kind (watch or barrier) from the state service.
    pub read: Duration,
    /// Time between two reads of the cloud's machine list.
    pub machine_list: Duration,
    /// Time to live of a state lease without a renewal, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Longest time that a watch waits for changes, in milliseconds.
    pub watch_wait_ms: u64,
}

/// Returns a random duration between 0.5 and 1.5 times `ms` milliseconds.
fn jittered(ms: u64) -> Duration {
    use rand::RngExt;
    Duration::from_millis(rand::rng().random_range(ms / 2..=ms + ms / 2))
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0.0, |d| d.as_secs_f64() * 1000.0)
}

impl App {
    /// Returns the monotonic time in milliseconds since the process started.
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Calls `work` with the locked controller and the current time, then starts the effects that
    /// the controller returns.
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
