//! The settings file that the platform hands to every controller.

use crate::error::{FieldProblem, InvalidField, ReadError};
use serde::Deserialize;

/// One controller's settings, checked by [`Settings::parse`].
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// This controller's name.
    pub label: String,
    /// Its zone.
    pub domain: String,
    /// Where users, workers and health checks reach it.
    pub public_addr: String,
    /// Where the other controllers reach it.
    pub peer_listen: String,
    /// The other controllers.
    #[serde(default)]
    pub known: Vec<Peer>,
    /// Addresses of the outside services.
    pub services: Services,
    /// What is common to all controllers.
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    pub label: String,
    /// Its zone.
    pub domain: String,
    /// Where it listens for controllers.
    pub endpoint: String,
}

/// Addresses of cloud and state service.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud's interface.
    pub cloud: String,
    /// The state service.
    pub state: String,
}

/// What all controllers have in common.
#[derive(Clone, Debug, Deserialize)]
pub struct Cluster {
    /// All zones.
    pub zones: Vec<String>,
    /// All teams.
    pub teams: Vec<Team>,
    /// What users expect of each class of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers' timing.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud's interface.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub limits: Limits,
    /// How far the time of day may be off, in milliseconds.
    #[serde(default)]
    pub clock_off_ms: f64,
}

impl Cluster {
    fn check(&self) -> Result<(), InvalidField> {
        if self.zones.is_empty() {
            return Err(InvalidField::new("cluster.zones", FieldProblem::Empty));
        }
        for (i, team) in self.teams.iter().enumerate() {
            let amounts = [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ];
            for (name, amount) in amounts {
                check_least(&format!("cluster.teams[{i}].{name}"), amount, 0)?;
            }
        }
        check_positive("cluster.workers.report_s", self.workers.report_s)?;
        check_positive("cluster.workers.lease_s", self.workers.lease_s)?;
        check_positive("cluster.workers.cancel_s", self.workers.cancel_s)?;
        self.state.check()?;
        check_positive("cluster.cloud.rps", self.cloud.rps)?;
        check_least("cluster.cloud.list_lag_s", self.cloud.list_lag_s, 0)?;
        let sockets = self.limits.sockets as f64;
        check_least("cluster.limits.sockets", sockets, LEAST_SOCKETS)
    }
}

/// A team, its guarantee and its limit; 0 means none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: String,
    /// Guaranteed cores.
    #[serde(default)]
    pub cpus: f64,
    /// Most cores at any time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Most accelerators at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// One aim, as the settings restate it.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// Which sort of aim.
    pub kind: String,
    /// The class of jobs it is about.
    #[serde(default)]
    pub class: String,
    /// Seconds within which a task should start.
    #[serde(default)]
    pub within_s: f64,
    /// The share that should make it.
    #[serde(default)]
    pub share: f64,
    /// Multiple of the deadline that counts.
    #[serde(default)]
    pub times: f64,
}

/// Workers' timing.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Usual time between two reports.
    pub report_s: f64,
    /// How long an answered report keeps a worker's tasks alive.
    pub lease_s: f64,
    /// Within what time a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Requests per second, all controllers together.
    pub rps: f64,
    /// Puts and deletes per second, all controllers together.
    pub write_rps: f64,
    /// Largest value in KiB.
    pub value_kb: f64,
    /// Most puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that come into force at some later moment, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Announced limits of the state service; what is not named stays as it is.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct NextLimits {
    /// Puts and deletes per second, all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest value in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Most puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The largest value in KiB that is allowed now and after the announced change.
    pub fn safe_value_kb(&self) -> f64 {
        let next = self.next.and_then(|n| n.value_kb);
        next.map_or(self.value_kb, |kb| kb.min(self.value_kb))
    }

    /// The most puts and deletes of a transaction now and after the announced change.
    pub fn safe_txn_ops(&self) -> usize {
        let next = self.next.and_then(|n| n.txn_ops);
        next.map_or(self.txn_ops, |ops| ops.min(self.txn_ops))
    }

    /// Puts and deletes per second that are allowed now and after the announced change.
    pub fn safe_write_rps(&self) -> f64 {
        let next = self.next.and_then(|n| n.write_rps);
        next.map_or(self.write_rps, |rps| rps.min(self.write_rps))
    }

    /// Checks the fields; the error names one.
    fn check(&self) -> Result<(), InvalidField> {
        check_positive("cluster.state.rps", self.rps)?;
        check_positive("cluster.state.write_rps", self.write_rps)?;
        check_least("cluster.state.value_kb", self.value_kb, LEAST_VALUE_KB)?;
        check_least("cluster.state.txn_ops", self.txn_ops as f64, LEAST_TXN_OPS)?;
        let next = self.next.unwrap_or_default();
        if let Some(rps) = next.write_rps {
            check_positive("cluster.state.next.write_rps", rps)?;
        }
        if let Some(kb) = next.value_kb {
            check_least("cluster.state.next.value_kb", kb, LEAST_VALUE_KB)?;
        }
        if let Some(ops) = next.txn_ops {
            check_least("cluster.state.next.txn_ops", ops as f64, LEAST_TXN_OPS)?;
        }
        Ok(())
    }
}

fn check_positive(path: &str, number: f64) -> Result<(), InvalidField> {
    if number.is_finite() && number > 0.0 {
        return Ok(());
    }
    Err(InvalidField::new(path, FieldProblem::NotPositive))
}

fn check_least(path: &str, number: f64, least: u32) -> Result<(), InvalidField> {
    if number.is_finite() && number >= f64::from(least) {
        return Ok(());
    }
    Err(InvalidField::new(path, FieldProblem::BelowLeast { least }))
}

fn check_address(path: &str, text: &str) -> Result<(), InvalidField> {
    if text.parse::<std::net::SocketAddr>().is_ok() {
        return Ok(());
    }
    let text = text.to_string();
    Err(InvalidField::new(path, FieldProblem::NotAnAddress { text }))
}

/// Least size of a value of the state service, in KiB.
const LEAST_VALUE_KB: u32 = 1;
/// Least number of changes in a transaction.
const LEAST_TXN_OPS: u32 = 2;
/// Least number of sockets that a controller can work with.
const LEAST_SOCKETS: u32 = 32;

/// Limits of the cloud's interface.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Requests per second, all controllers together.
    pub rps: f64,
    /// How late the machine list usually is.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Share of a core.
    #[serde(default)]
    pub cpu_share: f64,
    /// Memory in MB.
    #[serde(default)]
    pub memory_mb: f64,
    /// Most open sockets.
    pub sockets: usize,
}

impl Limits {
    /// Memory in bytes, as much as a small machine has if there is no limit.
    pub fn memory_bytes(&self) -> usize {
        let mb = if self.memory_mb > 0.0 {
            self.memory_mb
        } else {
            512.0
        };
        (mb * 1e6) as usize
    }
}

impl Settings {
    /// Reads and checks a settings file; the error names the field.
    pub fn parse(text: &[u8]) -> Result<Self, ReadError> {
        let settings: Self = crate::parse_object(text)?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), InvalidField> {
        if self.label.is_empty() {
            return Err(InvalidField::new("label", FieldProblem::Empty));
        }
        check_address("public_addr", &self.public_addr)?;
        check_address("peer_listen", &self.peer_listen)?;
        check_address("services.cloud", &self.services.cloud)?;
        check_address("services.state", &self.services.state)?;
        for (i, peer) in self.known.iter().enumerate() {
            check_address(&format!("known[{i}].endpoint"), &peer.endpoint)?;
            let known_before = self.known[..i].iter().any(|p| p.label == peer.label);
            if peer.label == self.label || known_before {
                let name = peer.label.clone();
                let path = format!("known[{i}].label");
                return Err(InvalidField::new(path, FieldProblem::Duplicate { name }));
            }
        }
        self.cluster.check()
    }

    /// All controllers' names and zones, in the order every controller agrees on.
    pub fn controllers(&self) -> Vec<(String, String)> {
        let mut all: Vec<_> = self
            .known
            .iter()
            .map(|p| (p.label.clone(), p.domain.clone()))
            .collect();
        all.push((self.label.clone(), self.domain.clone()));
        all.sort();
        all
    }
}
