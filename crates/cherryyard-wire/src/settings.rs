//! Settings file that the platform provides to every controller.

use crate::error::{FieldProblem, InvalidField, ReadError};
use serde::Deserialize;

/// Settings of a controller, checked by [`Settings::parse`].
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub label: String,
    /// Zone of this controller.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which this controller serves users, workers and health checks.
    pub public_addr: String,
    /// Address on which this controller accepts connections of other controllers.
    pub peer_listen: String,
    /// Addresses and zones of the other controllers.
    #[serde(default, rename = "known")]
    pub peers: Vec<Peer>,
    /// Addresses of the external services.
    pub services: Services,
    /// Settings that all controllers share.
    pub cluster: Cluster,
}

/// Address and zone of another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    pub label: String,
    /// Zone of the controller.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which the controller accepts connections of other controllers.
    pub endpoint: String,
}

/// Addresses of the external services.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// Address of the cloud's interface.
    pub cloud: String,
    /// Address of the state service.
    pub state: String,
}

/// Settings that all controllers share.
#[derive(Clone, Debug, Deserialize)]
pub struct Cluster {
    /// Names of all zones.
    pub zones: Vec<String>,
    /// Teams with their guarantees and limits.
    pub teams: Vec<Team>,
    /// Service level objectives of the classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud's interface.
    pub cloud: CloudLimits,
    /// Resource limits of the controller process.
    pub limits: Limits,
    /// Maximum error of the wall clock, in milliseconds.
    #[serde(default, rename = "clock_off_ms")]
    pub max_clock_error_ms: f64,
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
                check_minimum(&format!("cluster.teams[{i}].{name}"), amount, 0)?;
            }
        }
        check_positive("cluster.workers.report_s", self.workers.report_s)?;
        check_positive("cluster.workers.lease_s", self.workers.lease_s)?;
        check_positive("cluster.workers.cancel_s", self.workers.cancel_s)?;
        self.state.check()?;
        check_positive("cluster.cloud.rps", self.cloud.rps)?;
        check_minimum("cluster.cloud.list_lag_s", self.cloud.list_lag_s, 0)?;
        let sockets = self.limits.sockets as f64;
        check_minimum("cluster.limits.sockets", sockets, MIN_SOCKETS)
    }
}

/// Team with its guarantee and its limit; 0: none.
#[derive(Clone, Debug, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed cores.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of cores in use at any time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of accelerators in use at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// Service level objective.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// Kind of objective, such as `deadline`.
    pub kind: String,
    /// Class of jobs that the objective applies to.
    #[serde(default)]
    pub class: String,
    /// Time within which a task should start, in seconds.
    #[serde(default)]
    pub within_s: f64,
    /// Share that should meet the objective.
    #[serde(default)]
    pub share: f64,
    /// Multiple of the deadline by which a job has to be done for the objective to be met.
    #[serde(default)]
    pub times: f64,
}

/// Timing of the workers.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Usual interval between two heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// Time for which a worker's tasks keep running after a heartbeat that was answered, in
    /// seconds.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must be gone, in seconds.
    pub cancel_s: f64,
}

/// Limits that the state service enforces.
#[derive(Clone, Debug, Deserialize)]
pub struct StateLimits {
    /// Maximum requests per second, of all controllers together.
    pub rps: f64,
    /// Maximum puts and deletes per second, of all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that come into force at an unknown later time, without notice.
    #[serde(default)]
    pub next: Option<NextLimits>,
}

/// Announced future limits of the state service; a limit that is `None` does not change.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct NextLimits {
    /// Maximum puts and deletes per second, of all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Maximum size of a value in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Maximum number of puts and deletes in a transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Returns the maximum size of a value, in KiB, that is allowed both now and after the
    /// announced change.
    pub fn safe_value_kb(&self) -> f64 {
        let next = self.next.and_then(|n| n.value_kb);
        next.map_or(self.value_kb, |kb| kb.min(self.value_kb))
    }

    /// Returns the maximum number of puts and deletes in a transaction that is allowed both now
    /// and after the announced change.
    pub fn safe_txn_ops(&self) -> usize {
        let next = self.next.and_then(|n| n.txn_ops);
        next.map_or(self.txn_ops, |ops| ops.min(self.txn_ops))
    }

    /// Returns the maximum puts and deletes per second that are allowed both now and after the
    /// announced change.
    pub fn safe_write_rps(&self) -> f64 {
        let next = self.next.and_then(|n| n.write_rps);
        next.map_or(self.write_rps, |rps| rps.min(self.write_rps))
    }

    /// Checks the values of the fields; the error names the first invalid one.
    fn check(&self) -> Result<(), InvalidField> {
        check_positive("cluster.state.rps", self.rps)?;
        check_positive("cluster.state.write_rps", self.write_rps)?;
        check_minimum("cluster.state.value_kb", self.value_kb, MIN_VALUE_KB)?;
        check_minimum("cluster.state.txn_ops", self.txn_ops as f64, MIN_TXN_OPS)?;
        let next = self.next.unwrap_or_default();
        if let Some(rps) = next.write_rps {
            check_positive("cluster.state.next.write_rps", rps)?;
        }
        if let Some(kb) = next.value_kb {
            check_minimum("cluster.state.next.value_kb", kb, MIN_VALUE_KB)?;
        }
        if let Some(ops) = next.txn_ops {
            check_minimum("cluster.state.next.txn_ops", ops as f64, MIN_TXN_OPS)?;
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

fn check_minimum(path: &str, number: f64, least: u32) -> Result<(), InvalidField> {
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

/// Lowest accepted setting of the maximum size of a value, in KiB.
const MIN_VALUE_KB: u32 = 1;
/// Lowest accepted setting of the maximum number of puts and deletes in a transaction.
const MIN_TXN_OPS: u32 = 2;
/// Lowest accepted setting of the maximum number of open sockets: a controller cannot work with
/// fewer.
const MIN_SOCKETS: u32 = 32;

/// Limits and delays of the cloud's interface.
#[derive(Clone, Debug, Deserialize)]
pub struct CloudLimits {
    /// Maximum requests per second, of all controllers together.
    pub rps: f64,
    /// Usual delay until a change appears in the list of machines, in seconds.
    pub list_lag_s: f64,
}

/// Resource limits of the controller process.
#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    /// Share of a core that the process may use.
    #[serde(default)]
    pub cpu_share: f64,
    /// Maximum memory in MB; 0: no limit.
    #[serde(default)]
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub sockets: usize,
}

impl Limits {
    /// Returns the maximum memory in bytes; 512 MB, the memory of a small machine, if there is no
    /// limit.
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
    /// Parses and checks a settings file; the error names the field.
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
        for (i, peer) in self.peers.iter().enumerate() {
            check_address(&format!("known[{i}].endpoint"), &peer.endpoint)?;
            let is_duplicate = self.peers[..i].iter().any(|p| p.label == peer.label);
            if peer.label == self.label || is_duplicate {
                let name = peer.label.clone();
                let path = format!("known[{i}].label");
                return Err(InvalidField::new(path, FieldProblem::Duplicate { name }));
            }
        }
        self.cluster.check()
    }

    /// Returns the names and zones of all controllers, sorted, so that the order is the same at
    /// every controller.
    pub fn controllers(&self) -> Vec<(String, String)> {
        let mut all: Vec<_> = self
            .peers
            .iter()
            .map(|p| (p.label.clone(), p.zone.clone()))
            .collect();
        all.push((self.label.clone(), self.zone.clone()));
        all.sort();
        all
    }
}
