//! Puts a controller together and runs it.

use crate::app::{App, HistoryLookups};
use crate::routes;
use cherryyard_clients::cloud::CloudClient;
use cherryyard_clients::http::HttpClient;
use cherryyard_clients::peer;
use cherryyard_clients::state::StateClient;
use cherryyard_core::{Config, Controller, Tuning};
use cherryyard_wire::MAX_BODY;
use cherryyard_wire::peer::Sender;
use cherryyard_wire::record::NEWEST_FORMAT;
use cherryyard_wire::settings::{Limits, Settings};
use hdrhistogram::Histogram;
use salvo::conn::Listener;
use std::collections::HashMap;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, Semaphore, mpsc, watch};

/// Messages that may wait for one other controller.
const PEER_QUEUE: usize = 64;

/// A sixteenth of the memory, and at least a body of the largest size.
fn body_budget(limits: &Limits) -> usize {
    (limits.memory_bytes() / 16).max(MAX_BODY)
}

/// Runs a controller until it is killed.
pub async fn run(settings: Settings, tuning: Tuning) -> Result<(), String> {
    let c = &settings.cluster;
    let controllers = (settings.known.len() + 1) as f64;
    let connect = Duration::from_millis(1200);
    // A third of the requests each for watch and barrier, the rest for renewals
    // and transactions.
    let read_interval = Duration::from_secs_f64((controllers * 3.0 / c.state.rps).clamp(0.02, 2.0));
    let list_every = Duration::from_secs_f64((controllers * 4.0 / c.cloud.rps).clamp(3.0, 30.0));
    let seed = rand::random();
    let (out, heartbeats) = watch::channel(None);
    let sender = Arc::new(Sender {
        label: settings.label.clone(),
        format: NEWEST_FORMAT,
        build: env!("CARGO_PKG_VERSION").into(),
    });
    let (mut peers, mut anew, mut ways) = (HashMap::new(), HashMap::new(), Vec::new());
    for other in &settings.known {
        if let Ok(addr) = other.endpoint.parse() {
            let (to, others) = mpsc::channel(PEER_QUEUE);
            peers.insert(other.label.clone(), to);
            let notify = Arc::new(Notify::new());
            anew.insert(other.label.clone(), notify.clone());
            ways.push((addr, others, notify));
        }
    }
    let app = Arc::new(App {
        controller: Mutex::new(Controller::new(Config::new(&settings, tuning), seed, 0.0)),
        state: StateClient::new(HttpClient::new(connect, 8), &settings.services.state),
        cloud: CloudClient::new(HttpClient::new(connect, 1), &settings.services.cloud),
        workers: HttpClient::new(Duration::from_millis(1000), 1),
        born: Instant::now(),
        barrier: Mutex::new(Vec::new()),
        latency: Mutex::new(
            Histogram::new_with_bounds(1, 60_000, 2).map_err(|e| format!("cannot start: {e}"))?,
        ),
        barrier_wanted: Notify::new(),
        heartbeat_wanted: Notify::new(),
        sender: sender.clone(),
        peers,
        anew,
        queried: Mutex::new(HashMap::new()),
        // A late answer to a process before this one must find nobody waiting.
        tickets: AtomicU64::new(rand::random()),
        offers: Mutex::new(HashMap::new()),
        refusals: Mutex::default(),
        history: HistoryLookups::new(c.state.rps, c.limits.memory_bytes()),
        bodies: Arc::new(Semaphore::new(body_budget(&c.limits))),
        read_interval,
        list_every,
        ttl_ms: ((c.workers.lease_s * 500.0) as u64).clamp(1000, 5000),
        follow_ms: ((c.workers.lease_s * 300.0) as u64).clamp(500, 4000),
    });

    let listener = tokio::net::TcpListener::bind(&settings.peer_listen)
        .await
        .map_err(|e| format!("peer_listen: {}: {e}", settings.peer_listen))?;
    let taker = app.clone();
    // In the order in which a controller that starts needs them.
    tokio::spawn(app.clone().lease());
    tokio::spawn(app.clone().mirror());
    tokio::spawn(peer::receive(listener, sender, move |frame| {
        taker.take_frame(frame);
    }));
    for (addr, others, anew) in ways {
        tokio::spawn(peer::send(addr, heartbeats.clone(), others, anew));
    }
    tokio::spawn(app.clone().heartbeats(out));
    tokio::spawn(app.clone().clock());
    tokio::spawn(app.clone().serve_barriers());
    tokio::spawn(app.clone().watch_queue());
    tokio::spawn(app.clone().serve_lookups());
    tokio::spawn(app.clone().log_latency());
    if app.with(|n, _| n.accounting) {
        tokio::spawn(app.clone().log_account());
    }
    tokio::spawn(app.clone().watch_cloud());

    let acceptor = salvo::conn::TcpListener::new(settings.public_addr.clone())
        .try_bind()
        .await
        .map_err(|e| format!("public_addr: {}: {e}", settings.public_addr))?;
    tracing::info!(label = %settings.label, addr = %settings.public_addr, "serving");
    routes::serve(acceptor, app, &c.limits).await;
    Ok(())
}
