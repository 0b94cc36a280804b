//! Serves the stand-in of the state service over HTTP on the loopback interface, with rate
//! limits.

use crate::StateStandIn;
use cherryyard_core::Outcome;
use cherryyard_wire::state::{Change, Commit, Condition, Json};
use salvo::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Rate limits of the service, per second.
#[derive(Clone, Copy, Debug)]
pub struct Budgets {
    /// Maximum number of requests.
    pub rps: f64,
    /// Maximum number of puts and deletes.
    pub write_rps: f64,
}

/// Time in milliseconds after which a lease expires unless it is renewed.
const LEASE_MS: f64 = 5000.0;
/// Maximum number of pairs in a page of keys, unless a request states another one.
const DEFAULT_PAGE_PAIRS: usize = 1000;
/// Interval at which a waiting watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Token buckets of the rate limits; each holds at most the tokens of one second.
#[derive(Debug)]
struct TokenBuckets {
    budgets: Budgets,
    requests: f64,
    writes: f64,
    filled_at: Instant,
}

impl TokenBuckets {
    fn new(budgets: Budgets) -> Self {
        Self {
            budgets,
            requests: budgets.rps,
            writes: budgets.write_rps,
            filled_at: Instant::now(),
        }
    }

    /// Takes the tokens of a request with this many writes; returns false and takes none if
    /// there are too few.
    fn take(&mut self, writes: usize) -> bool {
        let passed_s = self.filled_at.elapsed().as_secs_f64();
        self.filled_at = Instant::now();
        let Budgets { rps, write_rps } = self.budgets;
        self.requests = (self.requests + passed_s * rps).min(rps);
        self.writes = (self.writes + passed_s * write_rps).min(write_rps);
        let is_admitted = self.requests >= 1.0 && self.writes >= writes as f64;
        if is_admitted {
            self.requests -= 1.0;
            self.writes -= writes as f64;
        }
        is_admitted
    }
}

#[derive(Debug)]
struct Service {
    state: StateStandIn,
    tokens: TokenBuckets,
    counts: Requests,
}

/// A response: HTTP status and JSON body.
struct Reply {
    status: u16,
    body: Value,
}

impl Reply {
    fn new(status: u16, body: Value) -> Self {
        Self { status, body }
    }

    fn ok(body: Value) -> Self {
        Self::new(200, body)
    }

    fn empty(status: u16) -> Self {
        Self::new(status, json!({}))
    }

    fn error(text: &str) -> Self {
        Self::new(400, json!({ "error": text }))
    }
}

/// A state service on the loopback interface.
#[derive(Clone, Debug)]
pub struct HttpState {
    service: Arc<Mutex<Service>>,
    started_at: Instant,
}

/// Counts of the requests so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Requests {
    /// Number of reads of key ranges.
    pub reads: usize,
    /// Number of all requests.
    pub all: usize,
    /// Number of requests that were refused by the rate limits.
    pub refused: usize,
}

#[derive(Deserialize)]
struct CommitBody {
    #[serde(default)]
    when: Vec<Condition>,
    #[serde(default)]
    apply: Vec<ApplyBody>,
}

#[derive(Deserialize)]
struct ApplyBody {
    set: Option<String>,
    delete: Option<String>,
    #[serde(default)]
    v: Json,
    #[serde(rename = "hold")]
    lease_id: Option<u64>,
}

impl ApplyBody {
    /// Converts the entry to a change; returns none for an entry without a key.
    fn into_change(self) -> Option<Change> {
        match (self.set, self.delete) {
            (Some(set), _) => Some(Change::Set {
                set,
                value: self.v,
                lease_id: self.lease_id,
            }),
            (None, Some(delete)) => Some(Change::Delete { delete }),
            (None, None) => None,
        }
    }
}

impl From<CommitBody> for Commit {
    fn from(body: CommitBody) -> Self {
        let changes = body.apply.into_iter();
        Self {
            conditions: body.when,
            changes: changes.filter_map(ApplyBody::into_change).collect(),
        }
    }
}

impl HttpState {
    /// Creates a service with the contents of `state`.
    pub fn new(state: StateStandIn, budgets: Budgets) -> Self {
        let service = Service {
            state,
            tokens: TokenBuckets::new(budgets),
            counts: Requests::default(),
        };
        Self {
            service: Arc::new(Mutex::new(service)),
            started_at: Instant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Service> {
        let mut service = self.service.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.now_ms();
        service.state.expire(now);
        service
    }

    fn now_ms(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64() * 1000.0
    }

    /// Runs a closure on the service's store, after ending the leases that have expired.
    pub fn with<T>(&self, operation: impl FnOnce(&mut StateStandIn) -> T) -> T {
        operation(&mut self.lock().state)
    }

    /// Returns the counts of the requests so far.
    pub fn requests(&self) -> Requests {
        self.lock().counts
    }

    /// Serves on a port chosen by the operating system until the process ends, and returns the
    /// address.
    pub async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::new("127.0.0.1:0").bind().await;
        let addr = listener.local_addr().expect("a loopback address");
        let router = Router::with_path("{**path}").goal(Endpoint(self.clone()));
        tokio::spawn(async move { Server::new(listener).serve(router).await });
        addr
    }

    /// Counts a request with this many writes, and returns whether the rate limits admit it.
    fn admit(&self, writes: usize) -> bool {
        let mut service = self.lock();
        service.counts.all += 1;
        let is_admitted = service.tokens.take(writes);
        service.counts.refused += usize::from(!is_admitted);
        is_admitted
    }

    async fn answer(&self, req: &mut Request) -> Reply {
        let path = req.uri().path().to_string();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (req.method().as_str(), segments.as_slice()) {
            ("GET", ["store"]) => self.list(req),
            ("GET", ["store", ..]) => self.get(&path["/store/".len()..]),
            ("GET", ["follow"]) => {
                let since = req.query("since").unwrap_or(0);
                self.watch(since, req.query("wait_ms").unwrap_or(0)).await
            }
            ("POST", ["holds"]) => self.grant_lease(),
            ("POST", ["holds", id, "touch"]) => self.renew_lease(id),
            ("DELETE", ["holds", id]) => self.end_lease(id),
            _ => Reply::error("no such call"),
        }
    }

    /// Responds with a page of keys and values.
    fn list(&self, req: &Request) -> Reply {
        let since = req.query::<String>("since");
        let prefix = req.query::<String>("starts").unwrap_or_default();
        let max_pairs = req.query::<usize>("page").unwrap_or(DEFAULT_PAGE_PAIRS);
        let mut service = self.lock();
        service.counts.reads += 1;
        let (pairs, truncated) = service.state.page(&prefix, since.as_deref(), max_pairs);
        let store_revision = service.state.store_revision();
        Reply::ok(json!({ "pairs": pairs, "truncated": truncated, "epoch": store_revision }))
    }

    fn get(&self, key: &str) -> Reply {
        let service = self.lock();
        match service.state.get(key) {
            Some((v, revision)) => Reply::ok(json!({ "key": key, "v": v, "stamp": revision })),
            None => Reply::new(404, json!({ "epoch": service.state.store_revision() })),
        }
    }

    /// Responds with the changes since a revision as soon as there are any, or after `wait_ms`.
    async fn watch(&self, since: u64, wait_ms: u64) -> Reply {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if let Some(reply) = self.changes(since, deadline) {
                return reply;
            }
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    /// Returns the response with the changes since a revision, or none if there are no changes
    /// yet and the deadline has not passed. The response is 410 if the changes are no longer
    /// available.
    fn changes(&self, since: u64, deadline: Instant) -> Option<Reply> {
        let service = self.lock();
        if !service.state.has_changes_since(since) {
            return Some(Reply::empty(410));
        }
        let events = service.state.events(since);
        let responds_now = !events.events.is_empty() || Instant::now() >= deadline;
        responds_now.then(|| Reply::ok(json!(events)))
    }

    fn grant_lease(&self) -> Reply {
        let expires_at = self.now_ms() + LEASE_MS;
        Reply::ok(json!({ "hold": self.lock().state.grant_lease(expires_at) }))
    }

    fn renew_lease(&self, id: &str) -> Reply {
        let expires_at = self.now_ms() + LEASE_MS;
        let is_renewed = id
            .parse()
            .is_ok_and(|id| self.lock().state.renew_lease(id, expires_at));
        Reply::empty(if is_renewed { 200 } else { 404 })
    }

    fn end_lease(&self, id: &str) -> Reply {
        if let Ok(id) = id.parse() {
            self.lock().state.end_lease(id);
        }
        Reply::empty(200)
    }

    async fn commit(&self, req: &mut Request) -> Reply {
        let body = req.payload().await.map(|b| b.to_vec()).unwrap_or_default();
        let Ok(body) = serde_json::from_slice::<CommitBody>(&body) else {
            return Reply::error("malformed");
        };
        let commit = Commit::from(body);
        if !self.admit(commit.changes.len()) {
            return Reply::empty(429);
        }
        match self.lock().state.commit_within_limits(&commit) {
            Outcome::Applied(store_revision) => Reply::ok(json!({ "epoch": store_revision })),
            Outcome::Conflict(store_revision) => {
                Reply::new(409, json!({ "failed": [], "epoch": store_revision }))
            }
            Outcome::NoLease => Reply::error("no such lease"),
            Outcome::Malformed => Reply::error("too large"),
            Outcome::Refused | Outcome::Unknown => Reply::empty(503),
        }
    }
}

/// Request handler for all paths of the service.
struct Endpoint(HttpState);

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let is_commit = req.uri().path() == "/commit";
        let reply = if is_commit {
            self.0.commit(req).await
        } else if self.0.admit(0) {
            self.0.answer(req).await
        } else {
            Reply::empty(429)
        };
        let status =
            StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        res.status_code(status);
        res.render(Text::Json(reply.body.to_string()));
    }
}
