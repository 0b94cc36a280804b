//! The state service's stand-in over HTTP on loopback, with its limits.

use crate::StateStandIn;
use cherryyard_core::Outcome;
use cherryyard_wire::state::{Apply, Commit, Json, When};
use salvo::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// What a stand-in allows a second.
#[derive(Clone, Copy, Debug)]
pub struct Budgets {
    /// Requests.
    pub rps: f64,
    /// Puts and deletes.
    pub write_rps: f64,
}

#[derive(Debug)]
struct Service {
    state: StateStandIn,
    budgets: Budgets,
    left: (f64, f64),
    at: Instant,
    /// Requests by sort: reads of ranges, others; and those refused.
    reads: usize,
    requests: usize,
    refused: usize,
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

impl HttpState {
    /// A service that holds what `state` does.
    pub fn new(state: StateStandIn, budgets: Budgets) -> Self {
        let service = Service {
            state,
            budgets,
            left: (budgets.rps, budgets.write_rps),
            at: Instant::now(),
            reads: 0,
            requests: 0,
            refused: 0,
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
        let service = self.lock();
        Requests {
            reads: service.reads,
            all: service.requests,
            refused: service.refused,
        }
    }

    /// Serves on a port of the system's choice until the process ends.
    pub async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::new("127.0.0.1:0").bind().await;
        let addr = listener.local_addr().expect("an address of loopback");
        let router = Router::with_path("{**path}").goal(Door(self.clone()));
        tokio::spawn(async move { Server::new(listener).serve(router).await });
        addr
    }

    /// Whether the budgets allow a request with this many writes.
    fn admit(&self, writes: usize) -> bool {
        let mut service = self.lock();
        let passed = service.at.elapsed().as_secs_f64();
        service.at = Instant::now();
        let b = service.budgets;
        service.left.0 = (service.left.0 + passed * b.rps).min(b.rps);
        service.left.1 = (service.left.1 + passed * b.write_rps).min(b.write_rps);
        service.requests += 1;
        let fits = service.left.0 >= 1.0 && service.left.1 >= writes as f64;
        if fits {
            service.left.0 -= 1.0;
            service.left.1 -= writes as f64;
        } else {
            service.refused += 1;
        }
        fits
    }

    async fn answer(&self, req: &mut Request) -> (u16, Value) {
        let path = req.uri().path().to_string();
        let query = |name: &str| req.query::<String>(name);
        let words: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (req.method().as_str(), words.as_slice()) {
            ("GET", ["store"]) => {
                let since = query("since");
                let most = req.query::<usize>("page").unwrap_or(1000);
                let mut service = self.lock();
                service.reads += 1;
                let prefix = query("starts").unwrap_or_default();
                let (pairs, truncated) = service.state.page(&prefix, since.as_deref(), most);
                let store_revision = service.state.store_revision();
                let pairs = json!(pairs);
                (
                    200,
                    json!({ "pairs": pairs, "truncated": truncated, "epoch": store_revision }),
                )
            }
            ("GET", ["store", ..]) => {
                let key = &path["/store/".len()..];
                let service = self.lock();
                match service.state.get(key) {
                    Some((v, revision)) => (200, json!({ "key": key, "v": v, "stamp": revision })),
                    None => (404, json!({ "epoch": service.state.store_revision() })),
                }
            }
            ("GET", ["follow"]) => {
                let since = req.query::<u64>("since").unwrap_or(0);
                let wait = req.query::<u64>("wait_ms").unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    {
                        let service = self.lock();
                        if !service.state.remembers(since) {
                            return (410, json!({}));
                        }
                        let events = service.state.events(since);
                        if !events.events.is_empty() || Instant::now() >= until {
                            return (200, json!(events));
                        }
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
            ("POST", ["holds"]) => {
                let until = self.now_ms() + 5000.0;
                (200, json!({ "hold": self.lock().state.grant_lease(until) }))
            }
            ("POST", ["holds", id, "touch"]) => {
                let until = self.now_ms() + 5000.0;
                let known = id
                    .parse()
                    .is_ok_and(|id| self.lock().state.renew_lease(id, until));
                (if known { 200 } else { 404 }, json!({}))
            }
            ("DELETE", ["holds", id]) => {
                if let Ok(id) = id.parse() {
                    self.lock().state.end_lease(id);
                }
                (200, json!({}))
            }
            _ => (400, json!({ "error": "no such call" })),
        }
    }

    async fn commit(&self, req: &mut Request) -> (u16, Value) {
        let body = req.payload().await.map(|b| b.to_vec()).unwrap_or_default();
        let Ok(body) = serde_json::from_slice::<CommitBody>(&body) else {
            return (400, json!({ "error": "malformed" }));
        };
        let commit = Commit {
            when: body.when,
            apply: body
                .apply
                .into_iter()
                .filter_map(|a| match (a.set, a.delete) {
                    (Some(set), _) => Some(Apply::Set {
                        set,
                        value: a.v,
                        lease_id: a.lease_id,
                    }),
                    (None, Some(delete)) => Some(Apply::Delete { delete }),
                    (None, None) => None,
                })
                .collect(),
        };
        if !self.admit(commit.apply.len()) {
            return (429, json!({}));
        }
        match self.lock().state.commit_within_limits(&commit) {
            Outcome::Applied(store_revision) => (200, json!({ "epoch": store_revision })),
            Outcome::Conflict(store_revision) => {
                (409, json!({ "failed": [], "epoch": store_revision }))
            }
            Outcome::NoLease => (400, json!({ "error": "no such lease" })),
            Outcome::Malformed => (400, json!({ "error": "too large" })),
            Outcome::Refused | Outcome::Unknown => (503, json!({})),
        }
    }
}

struct Door(HttpState);

#[async_trait]
impl Handler for Door {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let commits = req.uri().path() == "/commit";
        let (status, body) = if commits {
            self.0.commit(req).await
        } else if self.0.admit(0) {
            self.0.answer(req).await
        } else {
            (429, json!({}))
        };
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        res.status_code(status);
        res.render(Text::Json(body.to_string()));
    }
}
