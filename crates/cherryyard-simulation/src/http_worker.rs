//! Serves the stand-in of a worker over HTTP on the loopback interface, and sends its heartbeats to
//! a controller.

use crate::WorkerStandIn;
use cherryyard_clients::http::HttpClient;
use cherryyard_wire::worker::{CommandBatch, HeartbeatResponse};
use salvo::http::Method;
use salvo::prelude::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval at which the worker's clock advances.
const TICK: Duration = Duration::from_millis(50);
/// Interval at which the worker sends heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: f64 = 2000.0;
/// Timeout of connection attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a heartbeat and of a copy of a command.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 65_536;

/// Sends a request and returns the status and body of its response, if there is one.
async fn post(http: &HttpClient, url: &str, body: Vec<u8>) -> Option<(u16, Vec<u8>)> {
    let response = http.call(
        Method::POST,
        url,
        Some(body),
        REQUEST_TIMEOUT,
        MAX_RESPONSE_BYTES,
    );
    let (status, body) = response.await.ok()?;
    Some((status, body.to_vec()))
}

/// A worker on the loopback interface.
#[derive(Clone, Debug)]
pub struct HttpWorker {
    state: Arc<Mutex<WorkerState>>,
    addr: SocketAddr,
    started_at: Instant,
}

#[derive(Debug)]
struct WorkerState {
    worker: WorkerStandIn,
    /// Ids of the services among the jobs.
    services: BTreeSet<String>,
    /// Direct commands that the worker has carried out.
    executed: Vec<CommandBatch>,
}

impl HttpWorker {
    /// Serves a machine's worker on a port chosen by the operating system until the process ends,
    /// and sends its heartbeats to the controller at the address `controller`. All jobs in
    /// `services` run until they are stopped.
    pub async fn start(host: &str, zone: &str, services: &[&str], controller: &str) -> Self {
        let listener = TcpListener::new("127.0.0.1:0").bind().await;
        let addr = listener.local_addr().expect("a loopback address");
        let state = WorkerState {
            worker: WorkerStandIn::new(host, zone, 0, 10_000.0, 0.0),
            services: services.iter().map(ToString::to_string).collect(),
            executed: Vec::new(),
        };
        let worker = Self {
            state: Arc::new(Mutex::new(state)),
            addr,
            started_at: Instant::now(),
        };
        let router = Router::with_path("{**path}").goal(Endpoint(worker.clone()));
        tokio::spawn(async move { Server::new(listener).serve(router).await });
        tokio::spawn(worker.clone().send_heartbeats(controller.to_string()));
        worker
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Runs a closure on the worker.
    pub fn with<T>(&self, operation: impl FnOnce(&mut WorkerStandIn) -> T) -> T {
        operation(&mut self.lock().worker)
    }

    /// Replaces the worker process by a new one that sends no heartbeat before a command changes its
    /// tasks.
    pub fn restart_silently(&self) {
        let now = self.now_ms();
        self.with(|worker| {
            worker.restart(now);
            worker.next_heartbeat_at = f64::INFINITY;
        });
    }

    async fn send_heartbeats(self, controller: String) {
        let http = HttpClient::new(CONNECT_TIMEOUT, 1);
        let url = format!("http://{controller}/hello");
        loop {
            tokio::time::sleep(TICK).await;
            let sent_at = self.now_ms();
            let Some(body) = self.due_heartbeat(sent_at) else {
                continue;
            };
            if let Some((200, body)) = post(&http, &url, body).await {
                let response: HeartbeatResponse =
                    serde_json::from_slice(&body).expect("a controller's answer");
                let now = self.now_ms();
                self.with(|worker| worker.handle_heartbeat_response(&response, sent_at, now));
            }
        }
    }

    /// Advances the worker, and returns its heartbeat if one is due.
    fn due_heartbeat(&self, now: f64) -> Option<Vec<u8>> {
        let mut state = self.lock();
        let WorkerState {
            worker, services, ..
        } = &mut *state;
        worker.advance(now, services);
        if now < worker.next_heartbeat_at {
            return None;
        }
        worker.heartbeat_sent(now, HEARTBEAT_INTERVAL_MS);
        Some(self.heartbeat_body(worker, now))
    }

    fn heartbeat_body(&self, worker: &mut WorkerStandIn, now: f64) -> Vec<u8> {
        let mut heartbeat = worker.next_heartbeat(now);
        heartbeat.addr = self.addr.to_string();
        serde_json::to_vec(&heartbeat).expect("a heartbeat")
    }

    /// Carries out direct commands; returns the HTTP status and the worker's heartbeat.
    fn execute(&self, request: &CommandBatch) -> (StatusCode, Vec<u8>) {
        let now = self.now_ms();
        let mut state = self.lock();
        let (is_executed, _) = state.worker.handle_direct_commands(request, now);
        if is_executed {
            state.executed.push(request.clone());
        }
        let status = if is_executed {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        (status, self.heartbeat_body(&mut state.worker, now))
    }

    /// Returns the direct commands with starts that the worker has carried out so far.
    pub fn executed_starts(&self) -> Vec<CommandBatch> {
        let state = self.lock();
        let executed = state.executed.iter();
        executed
            .filter(|batch| batch.starts().next().is_some())
            .cloned()
            .collect()
    }

    /// Sends copies of direct commands to the worker, over connections of their own. Returns the
    /// status of each response.
    pub async fn send_copies(&self, batches: &[CommandBatch]) -> Vec<u16> {
        let http = HttpClient::new(CONNECT_TIMEOUT, 1);
        let url = format!("http://{}/do", self.addr);
        let mut statuses = Vec::new();
        for batch in batches {
            let body = serde_json::to_vec(batch).expect("commands");
            let response = post(&http, &url, body).await;
            statuses.push(response.map_or(0, |(status, _)| status));
        }
        statuses
    }
}

/// Request handler for the worker's paths.
struct Endpoint(HttpWorker);

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let (status, body) = if req.uri().path() == "/do" {
            let body = req.payload().await.map(|b| b.to_vec()).unwrap_or_default();
            let request = serde_json::from_slice(&body).expect("direct commands");
            self.0.execute(&request)
        } else {
            let now = self.0.now_ms();
            let body = self.0.with(|worker| self.0.heartbeat_body(worker, now));
            (StatusCode::OK, body)
        };
        res.status_code(status);
        res.render(Text::Json(String::from_utf8_lossy(&body).into_owned()));
    }
}
