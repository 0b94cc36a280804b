//! The settings file that the platform hands to every controller.

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
    fn check(&self) -> Result<(), String> {
        positive("cluster.state.rps", self.rps)?;
        positive("cluster.state.write_rps", self.write_rps)?;
        check_value_kb("cluster.state.value_kb", self.value_kb)?;
        check_txn_ops("cluster.state.txn_ops", self.txn_ops)?;
        let next = self.next.unwrap_or_default();
        if let Some(rps) = next.write_rps {
            positive("cluster.state.next.write_rps", rps)?;
        }
        if let Some(kb) = next.value_kb {
            check_value_kb("cluster.state.next.value_kb", kb)?;
        }
        if let Some(ops) = next.txn_ops {
            check_txn_ops("cluster.state.next.txn_ops", ops)?;
        }
        Ok(())
    }
}

fn positive(name: &str, x: f64) -> Result<(), String> {
    if x.is_finite() && x > 0.0 {
        return Ok(());
    }
    Err(format!("{name}: must be above 0"))
}

fn check_value_kb(name: &str, kb: f64) -> Result<(), String> {
    if kb.is_finite() && kb >= 1.0 {
        return Ok(());
    }
    Err(format!("{name}: must be 1 or more"))
}

fn check_txn_ops(name: &str, ops: usize) -> Result<(), String> {
    if ops >= 2 {
        return Ok(());
    }
    Err(format!("{name}: must be 2 or more"))
}

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
    /// Memory in bytes, as much as a small machine has if no limit is told.
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
    pub fn parse(text: &[u8]) -> Result<Self, String> {
        let s: Self = crate::parse_object(text)?;
        s.check()?;
        Ok(s)
    }

    fn check(&self) -> Result<(), String> {
        let addr = |name: &str, text: &str| {
            text.parse::<std::net::SocketAddr>()
                .map(|_| ())
                .map_err(|_| format!("{name}: `{text}` is not an IP address and port"))
        };
        if self.label.is_empty() {
            return Err("label: must not be empty".into());
        }
        addr("public_addr", &self.public_addr)?;
        addr("peer_listen", &self.peer_listen)?;
        addr("services.cloud", &self.services.cloud)?;
        addr("services.state", &self.services.state)?;
        for (i, p) in self.known.iter().enumerate() {
            addr(&format!("known[{i}].endpoint"), &p.endpoint)?;
            if p.label == self.label || self.known[..i].iter().any(|q| q.label == p.label) {
                return Err(format!("known[{i}].label: `{}` appears twice", p.label));
            }
        }
        let c = &self.cluster;
        if c.zones.is_empty() {
            return Err("cluster.zones: must not be empty".into());
        }
        for (i, t) in c.teams.iter().enumerate() {
            let amounts = [
                ("cpus", t.cpus),
                ("cpus_max", t.cpus_max),
                ("gpus", t.gpus),
                ("gpus_max", t.gpus_max),
            ];
            for (name, x) in amounts {
                if !x.is_finite() || x < 0.0 {
                    return Err(format!("cluster.teams[{i}].{name}: must be 0 or more"));
                }
            }
        }
        positive("cluster.workers.report_s", c.workers.report_s)?;
        positive("cluster.workers.lease_s", c.workers.lease_s)?;
        positive("cluster.workers.cancel_s", c.workers.cancel_s)?;
        c.state.check()?;
        positive("cluster.cloud.rps", c.cloud.rps)?;
        if !(c.cloud.list_lag_s.is_finite() && c.cloud.list_lag_s >= 0.0) {
            return Err("cluster.cloud.list_lag_s: must be 0 or more".into());
        }
        if c.limits.sockets < 32 {
            return Err("cluster.limits.sockets: must be 32 or more".into());
        }
        Ok(())
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
