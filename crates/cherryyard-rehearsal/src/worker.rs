//! Stand-in of a worker.

use cherryyard_wire::worker::{
    Cause, DoRequest, Order, PieceReport, PieceStatus, Report, ReportAnswer,
};
use std::collections::{BTreeMap, BTreeSet};

/// How long the tasks of a job that was submitted with a mistake run.
const BAD_MS: f64 = 500.0;

/// One machine's worker.
#[derive(Debug)]
pub struct WorkerStandIn {
    /// Its name.
    pub host: String,
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub yard: String,
    /// Its incarnation.
    pub incarnation: u64,
    sequence: u64,
    /// The highest token it has seen.
    pub fencing_token: u64,
    /// Its tasks: attempt, since when, and why it ended.
    pub pieces: BTreeMap<String, (u64, f64, Option<Cause>)>,
    /// When its machine was rented, about.
    pub rented_at: f64,
    /// When the last answered report was sent, or the incarnation began.
    renewed_at: f64,
    /// The controller it reports to.
    pub node: usize,
    /// When it reports next.
    pub report_at: f64,
    /// How long its tasks run; infinite for replicas.
    pub run_ms: f64,
    /// Whether its tasks fail.
    pub faulty: bool,
    /// Jobs that were submitted with a mistake: their tasks fail here, as everywhere.
    pub bad_jobs: BTreeSet<String>,
    /// When the cloud takes the machine, if it has said so.
    pub recall_at: Option<f64>,
    /// How long an answered report keeps its tasks; infinite stands for an old
    /// owner that nobody else sees and that goes on answering.
    pub lease_ms: f64,
}

impl WorkerStandIn {
    /// A worker that has just started.
    pub fn new(host: &str, yard: &str, node: usize, lease_ms: f64, now: f64) -> Self {
        Self {
            host: host.into(),
            kind: "m4".into(),
            yard: yard.into(),
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            pieces: BTreeMap::new(),
            rented_at: now - 10_000.0,
            renewed_at: now,
            node,
            report_at: now,
            run_ms: f64::INFINITY,
            faulty: false,
            bad_jobs: BTreeSet::new(),
            recall_at: None,
            lease_ms,
        }
    }

    /// Lets time pass: tasks end, those of services only where they fail, and the lease
    /// may run out.
    pub fn advance(&mut self, now: f64, services: &BTreeSet<String>) -> Vec<String> {
        let mut log = Vec::new();
        if now - self.renewed_at > self.lease_ms {
            let lost: Vec<&String> = self
                .pieces
                .iter()
                .filter(|p| p.1.2.is_none())
                .map(|p| p.0)
                .collect();
            if !lost.is_empty() {
                log.push(format!("{} loses its lease and {lost:?}", self.host));
            }
            self.pieces.clear();
            self.incarnation += 1;
            self.sequence = 0;
            self.renewed_at = now;
        }
        for (name, piece) in &mut self.pieces {
            let job = name.split('/').next().unwrap_or_default();
            let bad = self.bad_jobs.contains(job);
            let run_ms = match (bad, services.contains(job)) {
                (true, _) => BAD_MS,
                (_, true) if !self.faulty => f64::INFINITY,
                _ => self.run_ms,
            };
            if piece.2.is_none() && now - piece.1 >= run_ms {
                piece.2 = Some(if self.faulty || bad {
                    Cause::Error
                } else {
                    Cause::Done
                });
                log.push(format!("{} ends {name} try {}", self.host, piece.0));
                self.report_at = now;
            }
        }
        log
    }

    /// Its machine hangs: its tasks are gone once its lease is over, since that is the
    /// first thing that it sees when it goes on. But what was sent to it directly it
    /// carries out before, in the incarnation that is over.
    pub fn hang(&mut self, now: f64) {
        if now - self.renewed_at > self.lease_ms {
            self.pieces.clear();
        }
    }

    /// Its process ends and another begins: nothing is left of what it knew.
    pub fn begin_anew(&mut self, now: f64) {
        self.pieces.clear();
        (self.incarnation, self.sequence, self.fencing_token) = (1, 0, 0);
        self.renewed_at = now;
        self.report_at = now;
    }

    /// A task completes, if it is here.
    pub fn finish(&mut self, piece: &str) {
        if let Some(p) = self.pieces.get_mut(piece).filter(|p| p.2.is_none()) {
            p.2 = Some(Cause::Done);
            self.report_at = 0.0;
        }
    }

    /// Whether it runs this task.
    pub fn runs(&self, piece: &str) -> bool {
        self.pieces.get(piece).is_some_and(|p| p.2.is_none())
    }

    /// Its report.
    pub fn report(&mut self, now: f64) -> Report {
        self.sequence += 1;
        Report {
            host: self.host.clone(),
            addr: format!("{}:9000", self.host),
            host_kind: self.kind.clone(),
            yard: self.yard.clone(),
            borrowed: false,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            recall_s: self.recall_at.map(|at| (at - now) / 1000.0),
            pieces: self
                .pieces
                .iter()
                .map(|(name, (attempt, _, cause))| PieceReport {
                    piece: name.clone(),
                    attempt: *attempt,
                    status: if cause.is_some() {
                        PieceStatus::Ended
                    } else {
                        PieceStatus::Running
                    },
                    cause: *cause,
                    kept: false,
                })
                .collect(),
        }
    }

    /// Takes the answer to a report that was sent at `sent_at`.
    pub fn answered(&mut self, answer: &ReportAnswer, sent_at: f64, now: f64) -> Vec<String> {
        if answer.fencing_token < self.fencing_token {
            return Vec::new();
        }
        if answer.fencing_token > self.fencing_token {
            self.report_at = now + 500.0;
        }
        self.fencing_token = answer.fencing_token;
        self.renewed_at = self.renewed_at.max(sent_at);
        self.execute(&answer.orders, now)
    }

    /// Takes direct commands; the flag tells whether they were executed.
    pub fn direct(&mut self, request: &DoRequest, now: f64) -> (bool, Vec<String>) {
        if request.fencing_token < self.fencing_token || request.incarnation != self.incarnation {
            return (false, Vec::new());
        }
        self.fencing_token = request.fencing_token;
        (true, self.execute(&request.orders, now))
    }

    fn execute(&mut self, orders: &[Order], now: f64) -> Vec<String> {
        let mut log = Vec::new();
        for order in orders {
            match order {
                Order::Start { piece, attempt } => {
                    let known = self.pieces.get(piece);
                    if known.is_none_or(|p| p.0 != *attempt && p.2.is_some()) {
                        self.pieces.insert(piece.clone(), (*attempt, now, None));
                        log.push(format!("{} starts {piece} try {attempt}", self.host));
                    }
                }
                Order::Kill { piece, attempt, .. } => {
                    if let Some(p) = self.pieces.get_mut(piece)
                        && p.0 == *attempt
                        && p.2.is_none()
                    {
                        p.2 = Some(Cause::Halted);
                        log.push(format!("{} stops {piece} try {attempt}", self.host));
                        self.report_at = now;
                    }
                }
                Order::Clear { piece, attempt } => {
                    if self
                        .pieces
                        .get(piece)
                        .is_some_and(|p| p.0 == *attempt && p.2.is_some())
                    {
                        self.pieces.remove(piece);
                    }
                }
            }
        }
        log
    }
}
