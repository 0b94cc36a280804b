//! The stand-in of the state service over HTTP on loopback, with its budgets.

use crate::StateStandIn;
use cherryyard_core::Outcome;
use cherryyard_wire::state::{Apply, Commit, Json, When};
use salvo::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What the service allows a second.
#[derive(Clone, Copy, Debug)]
pub struct Budgets {
    /// Requests.
    pub rps: f64,
    /// Puts and deletes.
    pub write_rps: f64,
}

/// How long a lease lasts without a renewal, in milliseconds.
const LEASE_MS: f64 = 5000.0;
/// Pairs of a page of keys, unless a request says otherwise.
const DEFAULT_PAGE: usize = 1000;
/// Time between two looks for changes while a watch waits.
const WATCH_POLL: Duration = Duration::from_millis(5);

/// The tokens that are left of the budgets, each at most a second's.
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

    /// Takes the tokens of a request with this many writes, if there are enough.
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

/// A response: its status and JSON.
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

/// A state service on loopback.
#[derive(Clone, Debug)]
pub struct HttpState {
    service: Arc<Mutex<Service>>,
    born: Instant,
}

/// Requests so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Requests {
    /// Reads of ranges.
    pub reads: usize,
    /// All.
    pub all: usize,
    /// Of these, refused.
    pub refused: usize,
}

#[derive(Deserialize)]
struct CommitBody {
    #[serde(default)]
    when: Vec<When>,
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
    /// The change that it stands for; one without a key is left out.
    fn into_change(self) -> Option<Apply> {
        match (self.set, self.delete) {
            (Some(set), _) => Some(Apply::Set {
                set,
                value: self.v,
                lease_id: self.lease_id,
            }),
            (None, Some(delete)) => Some(Apply::Delete { delete }),
            (None, None) => None,
        }
    }
}

impl From<CommitBody> for Commit {
    fn from(body: CommitBody) -> Self {
        let changes = body.apply.into_iter();
        Self {
            when: body.when,
            apply: changes.filter_map(ApplyBody::into_change).collect(),
        }
    }
}

impl HttpState {
    /// A service that holds what `state` does.
    pub fn new(state: StateStandIn, budgets: Budgets) -> Self {
        let service = Service {
            state,
            tokens: TokenBuckets::new(budgets),
            counts: Requests::default(),
        };
        Self {
            service: Arc::new(Mutex::new(service)),
            born: Instant::now(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Service> {
        let mut service = self.service.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.now_ms();
        service.state.expire(now);
        service
    }

    fn now_ms(&self) -> f64 {
        self.born.elapsed().as_secs_f64() * 1000.0
    }

    /// Works on what it holds.
    pub fn with<T>(&self, work: impl FnOnce(&mut StateStandIn) -> T) -> T {
        work(&mut self.lock().state)
    }

    /// Requests so far.
    pub fn requests(&self) -> Requests {
        self.lock().counts
    }

    /// Serves on a port of the system's choice until the process ends.
    pub async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::new("127.0.0.1:0").bind().await;
        let addr = listener.local_addr().expect("an address of loopback");
        let router = Router::with_path("{**path}").goal(Endpoint(self.clone()));
        tokio::spawn(async move { Server::new(listener).serve(router).await });
        addr
    }

    /// Whether the budgets allow a request with this many writes.
    fn admit(&self, writes: usize) -> bool {
        let mut service = self.lock();
        service.counts.all += 1;
        let is_admitted = service.tokens.take(writes);
        service.counts.refused += usize::from(!is_admitted);
        is_admitted
    }

    async fn answer(&self, req: &mut Request) -> Reply {
        let path = req.uri().path().to_string();
        let words: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (req.method().as_str(), words.as_slice()) {
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

    /// A page of keys and values.
    fn list(&self, req: &Request) -> Reply {
        let since = req.query::<String>("since");
        let prefix = req.query::<String>("starts").unwrap_or_default();
        let most = req.query::<usize>("page").unwrap_or(DEFAULT_PAGE);
        let mut service = self.lock();
        service.counts.reads += 1;
        let (pairs, truncated) = service.state.page(&prefix, since.as_deref(), most);
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

    /// What has changed since a revision, as soon as there is something.
    async fn watch(&self, since: u64, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if let Some(reply) = self.changes(since, until) {
                return reply;
            }
            tokio::time::sleep(WATCH_POLL).await;
        }
    }

    /// What has changed since a revision; none if nothing has and there is time to wait.
    fn changes(&self, since: u64, until: Instant) -> Option<Reply> {
        let service = self.lock();
        if !service.state.remembers(since) {
            return Some(Reply::empty(410));
        }
        let events = service.state.events(since);
        let is_over = !events.events.is_empty() || Instant::now() >= until;
        is_over.then(|| Reply::ok(json!(events)))
    }

    fn grant_lease(&self) -> Reply {
        let until = self.now_ms() + LEASE_MS;
        Reply::ok(json!({ "hold": self.lock().state.grant_lease(until) }))
    }

    fn renew_lease(&self, id: &str) -> Reply {
        let until = self.now_ms() + LEASE_MS;
        let is_renewed = id
            .parse()
            .is_ok_and(|id| self.lock().state.renew_lease(id, until));
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
        if !self.admit(commit.apply.len()) {
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

/// All paths of the service.
struct Endpoint(HttpState);

#[async_trait]
impl Handler for Endpoint {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let commits = req.uri().path() == "/commit";
        let reply = if commits {
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
