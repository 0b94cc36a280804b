//! Stand-in of the state service, with its limits.

use crate::http::{Reply, Request, serve};
use crate::json::Json;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Changes that the service keeps for watches.
const KEPT_CHANGES: usize = 10_000;
/// Time that each answer takes.
const LATENCY: Duration = Duration::from_millis(6);
/// Largest transaction in bytes.
const MAX_TRANSACTION: usize = 64 * 1024;
/// Largest page of a range read, in bytes.
const MAX_PAGE: usize = 512 * 1024;

/// Limits of the service, as in the settings.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

struct Entry {
    value: String,
    stamp: u64,
    hold: Option<u64>,
}

struct Change {
    stamp: u64,
    key: String,
    /// None for a deletion.
    value: Option<String>,
}

struct Hold {
    ttl: Duration,
    ends: Instant,
}

/// A bucket that holds the tokens of one second.
struct Bucket {
    rate: f64,
    tokens: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate,
            filled: Instant::now(),
        }
    }

    fn has(&mut self, count: f64) -> bool {
        let passed = self.filled.elapsed().as_secs_f64();
        self.filled = Instant::now();
        self.tokens = (self.tokens + passed * self.rate).min(self.rate);
        self.tokens >= count
    }
}

struct Store {
    epoch: u64,
    entries: BTreeMap<String, Entry>,
    changes: VecDeque<Change>,
    holds: HashMap<u64, Hold>,
    next_hold: u64,
    requests: Bucket,
    writes: Bucket,
}

/// The service.
pub struct State {
    store: Mutex<Store>,
    changed: Condvar,
    limits: Limits,
}

fn answer(status: u16, body: Json) -> Reply {
    Reply::Answer(status, body.to_string())
}

fn error(status: u16, text: &str) -> Reply {
    answer(status, Json::object([("error", Json::text(text))]))
}

impl Store {
    fn put(&mut self, key: String, value: String, hold: Option<u64>) {
        let stamp = self.epoch;
        let entry = Entry {
            value: value.clone(),
            stamp,
            hold,
        };
        self.entries.insert(key.clone(), entry);
        self.log(key, Some(value));
    }

    fn delete(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.log(key.to_string(), None);
        }
    }

    fn log(&mut self, key: String, value: Option<String>) {
        self.changes.push_back(Change {
            stamp: self.epoch,
            key,
            value,
        });
        while self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Ends a lease and removes the keys that are attached to it.
    fn end_hold(&mut self, hold: u64) {
        self.holds.remove(&hold);
        let attached = self
            .entries
            .iter()
            .filter(|entry| entry.1.hold == Some(hold));
        let keys: Vec<String> = attached.map(|entry| entry.0.clone()).collect();
        if !keys.is_empty() {
            self.epoch += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }
}

impl State {
    /// Starts the service; returns its address.
    pub fn start(limits: Limits) -> std::io::Result<SocketAddr> {
        let state = Arc::new(Self {
            store: Mutex::new(Store {
                epoch: 1,
                entries: BTreeMap::new(),
                changes: VecDeque::new(),
                holds: HashMap::new(),
                next_hold: 1,
                requests: Bucket::new(limits.rps),
                writes: Bucket::new(limits.write_rps),
            }),
            changed: Condvar::new(),
            limits,
        });
        let service = state.clone();
        let addr = serve(Arc::new(move |request| service.handle(&request)))?;
        let service = state.clone();
        thread::spawn(move || service.expire_holds());
        Ok(addr)
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn expire_holds(&self) {
        loop {
            thread::sleep(Duration::from_millis(20));
            let mut store = self.lock();
            let now = Instant::now();
            let ended = store.holds.iter().filter(|hold| hold.1.ends < now);
            let ended: Vec<u64> = ended.map(|hold| *hold.0).collect();
            for hold in ended {
                store.end_hold(hold);
                self.changed.notify_all();
            }
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        thread::sleep(LATENCY);
        let mut store = self.lock();
        if !store.requests.has(1.0) {
            return error(429, "too many requests");
        }
        store.requests.tokens -= 1.0;
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("POST", "/commit") => self.commit(&mut store, &request.body),
            ("POST", "/holds") => {
                let ttl_ms =
                    Json::parse(&request.body).map_or(0, |body| body.get("ttl_ms").as_u64());
                if !(100..=600_000).contains(&ttl_ms) {
                    return error(400, "ttl_ms");
                }
                let hold = store.next_hold;
                store.next_hold += 1;
                let ttl = Duration::from_millis(ttl_ms);
                let ends = Instant::now() + ttl;
                store.holds.insert(hold, Hold { ttl, ends });
                answer(200, Json::object([("hold", Json::number(hold))]))
            }
            ("GET", "/store") => page(&store, request),
            ("GET", "/follow") => {
                let since: u64 = request.parameter("since").parse().unwrap_or(0);
                let wait_ms: u64 = request.parameter("wait_ms").parse().unwrap_or(0);
                let ends = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
                let starts = request.parameter("starts");
                loop {
                    let oldest = store.changes.front().map_or(0, |change| change.stamp);
                    if store.changes.len() >= KEPT_CHANGES && since + 1 < oldest {
                        return error(410, "too old");
                    }
                    let is_news =
                        |change: &&Change| change.stamp > since && change.key.starts_with(starts);
                    let has_news = store
                        .changes
                        .iter()
                        .rev()
                        .take_while(|c| c.stamp > since)
                        .any(|c| is_news(&c));
                    let left = ends.saturating_duration_since(Instant::now());
                    if has_news || left.is_zero() {
                        let news = store
                            .changes
                            .iter()
                            .filter(is_news)
                            .map(news_item)
                            .collect();
                        let body = Json::object([
                            ("epoch", Json::number(store.epoch)),
                            ("news", Json::Array(news)),
                        ]);
                        return answer(200, body);
                    }
                    store = self
                        .changed
                        .wait_timeout(store, left)
                        .unwrap_or_else(PoisonError::into_inner)
                        .0;
                }
            }
            ("GET", _) if path.starts_with("/store/") => {
                let key = &path["/store/".len()..];
                match store.entries.get(key) {
                    Some(entry) => answer(200, pair(key, entry)),
                    None => answer(404, Json::object([("epoch", Json::number(store.epoch))])),
                }
            }
            ("POST", _) if path.starts_with("/holds/") && path.ends_with("/touch") => {
                let id = path["/holds/".len()..].trim_end_matches("/touch").parse();
                match id.ok().and_then(|id: u64| store.holds.get_mut(&id)) {
                    Some(hold) => {
                        hold.ends = Instant::now() + hold.ttl;
                        answer(200, Json::object([]))
                    }
                    None => error(404, "no such lease"),
                }
            }
            ("DELETE", _) if path.starts_with("/holds/") => match path["/holds/".len()..].parse() {
                Ok(id) if store.holds.contains_key(&id) => {
                    store.end_hold(id);
                    self.changed.notify_all();
                    answer(200, Json::object([]))
                }
                _ => error(404, "no such lease"),
            },
            _ => error(400, "no such request"),
        }
    }

    fn commit(&self, store: &mut Store, body: &str) -> Reply {
        let Some(body_json) = Json::parse(body) else {
            return error(400, "not JSON");
        };
        let (when, apply) = (
            body_json.get("when").items(),
            body_json.get("apply").items(),
        );
        if !store.writes.has(apply.len() as f64) {
            return error(429, "too many changes");
        }
        store.writes.tokens -= apply.len() as f64;
        let max_bytes = (self.limits.value_kb * 1024.0) as usize;
        let is_too_large = |change: &Json| change.get("v").to_string().len() > max_bytes;
        if apply.len() > self.limits.txn_ops
            || when.len() > 4 * self.limits.txn_ops
            || body.len() > MAX_TRANSACTION
            || apply.iter().any(is_too_large)
        {
            return error(400, "malformed");
        }
        let hold_of = |change: &Json| match change.get("hold") {
            Json::Null => None,
            hold => Some(hold.as_u64()),
        };
        if apply
            .iter()
            .filter_map(hold_of)
            .any(|hold| !store.holds.contains_key(&hold))
        {
            return error(400, "no such lease");
        }
        let stamp_of =
            |store: &Store, key: &str| store.entries.get(key).map_or(0, |entry| entry.stamp);
        let fails = |condition: &&Json| {
            stamp_of(store, condition.get("key").as_str()) != condition.get("stamp").as_u64()
        };
        let failed: Vec<Json> = when
            .iter()
            .filter(fails)
            .map(|c| c.get("key").clone())
            .collect();
        if !failed.is_empty() {
            let body = Json::object([
                ("failed", Json::Array(failed)),
                ("epoch", Json::number(store.epoch)),
            ]);
            return answer(409, body);
        }
        if !apply.is_empty() {
            store.epoch += 1;
        }
        for change in apply {
            match change.get("set") {
                Json::Text(key) => {
                    let value = change.get("v").to_string();
                    store.put(key.clone(), value, hold_of(change));
                }
                _ => store.delete(change.get("delete").as_str()),
            }
        }
        self.changed.notify_all();
        answer(200, Json::object([("epoch", Json::number(store.epoch))]))
    }
}

/// Returns stored JSON, which is written out as it is.
fn stored(value: &str) -> Json {
    Json::parse(value).unwrap_or(Json::Null)
}

fn pair(key: &str, entry: &Entry) -> Json {
    let hold = entry.hold.map_or(Json::Null, Json::number);
    Json::object([
        ("key", Json::text(key)),
        ("v", stored(&entry.value)),
        ("stamp", Json::number(entry.stamp)),
        ("hold", hold),
    ])
}

fn news_item(change: &Change) -> Json {
    let stamp = ("stamp", Json::number(change.stamp));
    match &change.value {
        Some(value) => Json::object([
            ("set", Json::text(&change.key)),
            ("v", stored(value)),
            stamp,
        ]),
        None => Json::object([("delete", Json::text(&change.key)), stamp]),
    }
}

fn page(store: &Store, request: &Request) -> Reply {
    let (starts, since) = (request.parameter("starts"), request.parameter("since"));
    let max_count = request
        .parameter("page")
        .parse()
        .unwrap_or(1000usize)
        .min(1000);
    let (mut pairs, mut bytes, mut truncated) = (Vec::new(), 0, false);
    for (key, entry) in store.entries.iter() {
        if !key.starts_with(starts) || (!since.is_empty() && key.as_str() <= since) {
            continue;
        }
        bytes += key.len() + entry.value.len() + 40;
        if pairs.len() >= max_count || (bytes > MAX_PAGE && !pairs.is_empty()) {
            truncated = true;
            break;
        }
        pairs.push(pair(key, entry));
    }
    let body = Json::object([
        ("pairs", Json::Array(pairs)),
        ("truncated", Json::Bool(truncated)),
        ("epoch", Json::number(store.epoch)),
    ]);
    answer(200, body)
}
