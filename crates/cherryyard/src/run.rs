//! Builds a controller from its settings and runs it.

use crate::app::{App, Barriers, Clients, HistoryLookups, Intervals, Peers, PendingSubmissions};
use crate::routes;
use cherryyard_clients::cloud::CloudClient;
use cherryyard_clients::http::HttpClient;
use cherryyard_clients::peer::{self, OutgoingMessage};
use cherryyard_clients::state::StateClient;
use cherryyard_core::{Config, Controller, Tuning};
use cherryyard_wire::MAX_BODY;
use cherryyard_wire::peer::Sender;
use cherryyard_wire::record::NEWEST_FORMAT;
use cherryyard_wire::settings::{Limits, Settings};
use hdrhistogram::Histogram;
use salvo::conn::Listener;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::{Notify, Semaphore, mpsc, watch};

/// Most messages queued for one other controller.
const PEER_QUEUE: usize = 64;

/// Returns how many bytes all request bodies may take at once: 1/16 of the memory, but at least
/// one body of the largest size.
fn body_budget(limits: &Limits) -> usize {
    (limits.memory_bytes() / 16).max(MAX_BODY)
}

/// Timeout of connection attempts to the external services.
const SERVICE_CONNECT_TIMEOUT: Duration = Duration::from_millis(1200);
/// Timeout of connection attempts to workers.
const WORKER_CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Most idle connections kept open to the state service.
const STATE_CONNECTIONS: usize = 8;
/// Upper bound of the latency histogram, in milliseconds; longer latencies count as this one.
const MAX_LATENCY_MS: u64 = 60_000;
/// Significant decimal digits of the latency histogram.
const LATENCY_DIGITS: u8 = 2;

/// Error that prevents a controller from starting.
#[derive(Debug, Error)]
pub enum StartError {
    /// The latency histogram cannot be created.
    #[error("cannot start: {0}")]
    Histogram(#[from] hdrhistogram::CreationError),
    /// The port for other controllers cannot be bound.
    #[error("peer_listen: {addr}: {source}")]
    PeerListen {
        /// Address in the settings.
        addr: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The port for users and workers cannot be bound.
    #[error("public_addr: {addr}: {source}")]
    PublicAddr {
        /// Address in the settings.
        addr: String,
        /// Error of the HTTP server.
        source: Box<salvo::Error>,
    },
}

/// Receiving end of the queue of messages to one other controller.
struct PeerQueue {
    addr: SocketAddr,
    messages: mpsc::Receiver<Arc<OutgoingMessage>>,
    /// Signal to open a new connection.
    reconnect: Arc<Notify>,
}

/// Creates the queues of messages to the other controllers in the settings. A controller whose
/// endpoint is not an address and port gets none.
fn peer_queues(settings: &Settings) -> (Peers, Vec<PeerQueue>) {
    let mut peers = Peers {
        sender: Arc::new(Sender {
            label: settings.label.clone(),
            format: NEWEST_FORMAT,
            build: env!("CARGO_PKG_VERSION").into(),
        }),
        queues: HashMap::new(),
        reconnect: HashMap::new(),
    };
    let mut queues = Vec::new();
    for peer in &settings.peers {
        if let Ok(addr) = peer.endpoint.parse() {
            let (queue, messages) = mpsc::channel(PEER_QUEUE);
            let reconnect = Arc::new(Notify::new());
            peers.queues.insert(peer.label.clone(), queue);
            peers
                .reconnect
                .insert(peer.label.clone(), reconnect.clone());
            queues.push(PeerQueue {
                addr,
                messages,
                reconnect,
            });
        }
    }
    (peers, queues)
}

/// Derives intervals from the request budgets, so that all controllers together stay within
/// them.
fn intervals(settings: &Settings) -> Intervals {
    let cluster = &settings.cluster;
    let controllers = (settings.peers.len() + 1) as f64;
    // The watch and the barriers get a third of the requests each, renewals and transactions
    // the rest.
    let read_s = (controllers * 3.0 / cluster.state.rps).clamp(0.02, 2.0);
    let list_s = (controllers * 4.0 / cluster.cloud.rps).clamp(3.0, 30.0);
    let lease_s = cluster.workers.lease_s;
    Intervals {
        read: Duration::from_secs_f64(read_s),
        machine_list: Duration::from_secs_f64(list_s),
        lease_ttl_ms: ((lease_s * 500.0) as u64).clamp(1000, 5000),
        watch_wait_ms: ((lease_s * 300.0) as u64).clamp(500, 4000),
    }
}

/// Creates the clients of the external services and of the workers.
fn clients(settings: &Settings) -> Clients {
    let services = &settings.services;
    let http = |idle_per_host| HttpClient::new(SERVICE_CONNECT_TIMEOUT, idle_per_host);
    Clients {
        state: StateClient::new(http(STATE_CONNECTIONS), &services.state),
        cloud: CloudClient::new(http(1), &services.cloud),
        workers: HttpClient::new(WORKER_CONNECT_TIMEOUT, 1),
    }
}

/// Creates the state shared by all tasks.
fn build_app(settings: &Settings, tuning: Tuning, peers: Peers) -> Result<App, StartError> {
    let limits = &settings.cluster.limits;
    let seed = rand::random();
    Ok(App {
        controller: Mutex::new(Controller::new(Config::new(settings, tuning), seed, 0.0)),
        clients: clients(settings),
        started_at: Instant::now(),
        barriers: Barriers::default(),
        latency: Mutex::new(Histogram::new_with_bounds(
            1,
            MAX_LATENCY_MS,
            LATENCY_DIGITS,
        )?),
        heartbeat_requested: Notify::new(),
        peers,
        pending: PendingSubmissions::new(),
        rejected: Mutex::default(),
        history: HistoryLookups::new(settings.cluster.state.rps, limits.memory_bytes()),
        body_bytes: Arc::new(Semaphore::new(body_budget(limits))),
        intervals: intervals(settings),
    })
}

/// Runs a controller until it is killed. The trace block of `operator_file` is read again while it
/// runs.
pub async fn run(
    settings: Settings,
    tuning: Tuning,
    operator_file: Option<PathBuf>,
) -> Result<(), StartError> {
    let (build_heartbeat, heartbeats) = watch::channel(None);
    let (peers, queues) = peer_queues(&settings);
    let sender = peers.sender.clone();
    let app = Arc::new(build_app(&settings, tuning, peers)?);

    let listener = tokio::net::TcpListener::bind(&settings.peer_listen).await;
    let listener = listener.map_err(|source| StartError::PeerListen {
        addr: settings.peer_listen.clone(),
        source,
    })?;
    let receiver = app.clone();
    // Spawned in the order in which a starting controller needs them.
    tokio::spawn(app.clone().keep_state_lease());
    tokio::spawn(app.clone().sync_mirror());
    tokio::spawn(peer::receive(listener, sender, move |frame| {
        receiver.receive_frame(frame);
    }));
    for queue in queues {
        tokio::spawn(peer::send(
            queue.addr,
            heartbeats.clone(),
            queue.messages,
            queue.reconnect,
        ));
    }
    tokio::spawn(app.clone().publish_heartbeats(build_heartbeat));
    tokio::spawn(app.clone().run_clock());
    tokio::spawn(app.clone().serve_barriers());
    tokio::spawn(app.clone().measure_event_loop_lag());
    tokio::spawn(app.clone().serve_lookups());
    tokio::spawn(app.clone().log_latency());
    if let Some(path) = operator_file {
        tokio::spawn(app.clone().follow_command_trace(path));
    }
    if app.with(|controller, _| controller.accounting) {
        tokio::spawn(app.clone().log_account());
    }
    tokio::spawn(app.clone().watch_cloud());

    let acceptor = salvo::conn::TcpListener::new(settings.public_addr.clone());
    let acceptor = acceptor.try_bind().await;
    let acceptor = acceptor.map_err(|source| StartError::PublicAddr {
        addr: settings.public_addr.clone(),
        source: Box::new(source),
    })?;
    tracing::info!(label = %settings.label, addr = %settings.public_addr, "serving");
    routes::serve(acceptor, app, &settings.cluster.limits).await;
    Ok(())
}
