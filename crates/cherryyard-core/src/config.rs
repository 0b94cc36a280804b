//! What a controller knows from its settings, in the core's own terms.

use crate::names::Names;
use crate::shard_map::ShardMap;
use cherryyard_wire::record::NEWEST_FORMAT;
use cherryyard_wire::rules::Attributes;
use cherryyard_wire::settings::Settings;
use std::collections::HashMap;
use std::num::NonZeroUsize;

/// Machines that a controller keeps: of its own shards, and as many of other controllers'.
/// It bounds the memory that reports can take; the largest fleets have some 4,000.
pub const MAX_MACHINES: usize = 20_000;

/// Largest page of assignments, whatever the value limit: every change of one is told
/// to all controllers.
const MAX_PAGE: usize = 12 * 1024;

/// Shares of the write budget: all owners' scheduling cycles together, users' writes, and the
/// history of jobs that are over. They may add up to more than 1, as seldom all are
/// spent at once.
const CYCLES_SHARE: f64 = 0.7;
const USERS_SHARE: f64 = 0.35;
const HISTORY_SHARE: f64 = 0.1;

/// Operators' own settings, each with a default.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// The proposal's AutoscaleMultiClusterDelay in seconds: how long a shard
    /// may keep tasks waiting before the leader moves them.
    pub autoscale_multi_cluster_delay_s: f64,
    /// Seconds between two reports of free capacity to the leader.
    pub capacity_report_s: f64,
    /// Share of the fleet's cores that renting ahead keeps free.
    pub headroom_share: f64,
    /// Seconds without work after which a rented machine may be returned.
    pub idle_return_s: f64,
    /// Whether jobs that are over go into the history.
    pub history: bool,
    /// Ends that are folded into the history at once.
    pub history_batch: usize,
    /// Days for which ends are kept; 0: for ever.
    pub history_keep_days: u32,
    /// Whether an account of core-seconds is kept and logged.
    pub account: bool,
    /// Whether submissions may have rules of their own, and HTCondor's submit files
    /// are served.
    pub condor: bool,
    /// Operators' own attributes of machines, for rules.
    pub attributes: Attributes,
    /// Who is served when not all can be.
    pub admission: Admission,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            autoscale_multi_cluster_delay_s: 10.0,
            capacity_report_s: 5.0,
            headroom_share: 0.5,
            idle_return_s: 150.0,
            history: false,
            history_batch: 8192,
            history_keep_days: 0,
            account: false,
            condor: false,
            attributes: Attributes::default(),
            admission: Admission::default(),
        }
    }
}

/// What a class has of its own in it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassShare {
    /// Its weight where not all floors can be met.
    pub weight: f64,
    /// The part of its demand that is to be served whatever its rank.
    pub least: f64,
    /// The most that this may be, as a part of all cores.
    pub share: f64,
}

/// Who is served when not all can be.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// What counts for classes that have nothing of their own.
    pub all: ClassShare,
    /// For how long a flow may have less than its floor before it goes ahead.
    pub window_s: f64,
    /// How long a job waits before it can have its flow's turn, though none of its tasks
    /// has begun and others have less work.
    pub turn_s: f64,
    /// What counts for the others, by class.
    pub classes: HashMap<String, ClassShare>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            all: ClassShare {
                weight: 1.0,
                least: 0.6,
                share: 0.25,
            },
            window_s: 30.0,
            turn_s: 60.0,
            classes: HashMap::new(),
        }
    }
}

impl Admission {
    /// What counts for a class.
    pub fn of(&self, class: &str) -> ClassShare {
        self.classes.get(class).copied().unwrap_or(self.all)
    }
}

/// A team's guarantee and limit.
#[derive(Clone, Debug)]
pub struct Team {
    /// Guaranteed cores.
    pub cores: f64,
    /// Guaranteed accelerators.
    pub acc: f64,
    /// Most cores, infinite without a limit.
    pub cores_max: f64,
    /// Most accelerators, infinite without a limit.
    pub acc_max: f64,
}

impl Team {
    /// Whether the team has a limit of any sort.
    pub fn limited(&self) -> bool {
        self.cores_max.is_finite() || self.acc_max.is_finite()
    }
}

/// How long a heartbeat is relied on: it names ours of up to a second before.
const RELIED_MS: f64 = 3500.0;

/// One controller's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// This controller's index among all.
    pub me: usize,
    /// All controllers' names, in the agreed order.
    pub labels: Vec<String>,
    /// Which shard a machine belongs to.
    pub shard_map: ShardMap,
    /// Zone names.
    pub zones: Names,
    /// Team names.
    pub team_names: Names,
    /// Teams by index.
    pub teams: Vec<Team>,
    /// The newest format of stored records that this build can work with.
    pub format: u32,
    /// Workers' lease.
    pub lease_ms: f64,
    /// Time between reports.
    pub report_ms: f64,
    /// Time within which a cancelled job's tasks must be gone.
    pub cancel_ms: f64,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Puts and deletes a second that all controllers together may make.
    pub writes_per_s: f64,
    /// The same after an announced change of the state service's limits.
    pub next_writes_per_s: f64,
    /// Changes a second that one shard's scheduling cycles may write: the rest of the
    /// budget is for users, leases and the leader.
    pub cycle_writes_per_s: f64,
    /// Users' writes a second, all controllers together.
    pub user_writes_per_s: f64,
    /// Writes a second that go into the history, at most.
    pub history_writes_per_s: f64,
    /// Reads a second for them, at most.
    pub history_reads_per_s: f64,
    /// Largest value in bytes.
    pub value_bytes: usize,
    /// How late the machine list usually is.
    pub list_lag_ms: f64,
    /// Most bytes of a page of assignments.
    pub page_bytes: usize,
    /// For each class with deadlines, the multiples of them that count, in order.
    pub deadline_times: HashMap<String, Vec<f64>>,
    /// Ends kept in memory after they have left the watched records.
    pub recent_ends: NonZeroUsize,
    /// Operators' settings.
    pub tuning: Tuning,
}

impl Config {
    /// The configuration that `settings` describe.
    pub fn new(settings: &Settings, tuning: Tuning) -> Self {
        let controllers = settings.controllers();
        let c = &settings.cluster;
        let most = |x: f64| if x > 0.0 { x } else { f64::INFINITY };
        let mut deadline_times: HashMap<String, Vec<f64>> = HashMap::new();
        for aim in c.objectives.iter().filter(|o| o.kind == "deadline") {
            let times = if aim.times > 0.0 { aim.times } else { 1.0 };
            deadline_times
                .entry(aim.class.clone())
                .or_default()
                .push(times);
        }
        for times in deadline_times.values_mut() {
            times.sort_by(f64::total_cmp);
        }
        let mut config = Self {
            me: controllers
                .iter()
                .position(|(l, _)| *l == settings.label)
                .unwrap_or(0),
            labels: controllers.iter().map(|(l, _)| l.clone()).collect(),
            shard_map: ShardMap::new(&controllers),
            zones: Names::of(c.zones.iter().map(String::as_str)),
            team_names: Names::of(c.teams.iter().map(|t| t.name.as_str())),
            teams: c
                .teams
                .iter()
                .map(|t| Team {
                    cores: t.cpus,
                    acc: t.gpus,
                    cores_max: most(t.cpus_max),
                    acc_max: most(t.gpus_max),
                })
                .collect(),
            format: NEWEST_FORMAT,
            lease_ms: c.workers.lease_s * 1000.0,
            report_ms: c.workers.report_s * 1000.0,
            cancel_ms: c.workers.cancel_s * 1000.0,
            txn_ops: c.state.safe_txn_ops(),
            writes_per_s: c.state.write_rps,
            next_writes_per_s: c.state.safe_write_rps(),
            cycle_writes_per_s: 0.0,
            user_writes_per_s: 0.0,
            history_writes_per_s: 0.0,
            history_reads_per_s: c.state.rps * 0.1,
            value_bytes: 0,
            list_lag_ms: c.cloud.list_lag_s * 1000.0,
            page_bytes: 0,
            deadline_times,
            // Some 64 bytes each: a sixty-fourth of the memory.
            recent_ends: NonZeroUsize::new(c.limits.memory_bytes() / 64 / 64)
                .unwrap_or(NonZeroUsize::MIN),
            tuning,
        };
        config.set_value_bytes((c.state.safe_value_kb() * 1024.0) as usize);
        config.set_writes_per_s(c.state.write_rps);
        config
    }

    /// Sets the largest value, and the largest page of assignments by it.
    pub(crate) fn set_value_bytes(&mut self, bytes: usize) {
        self.value_bytes = bytes;
        self.page_bytes = bytes.saturating_sub(64).clamp(256, MAX_PAGE);
    }

    /// Sets the rate of puts and deletes, and divides it among those who write.
    pub(crate) fn set_writes_per_s(&mut self, rate: f64) {
        self.writes_per_s = rate;
        self.cycle_writes_per_s = rate * CYCLES_SHARE / self.shards() as f64;
        self.user_writes_per_s = rate * USERS_SHARE;
        self.history_writes_per_s = rate * HISTORY_SHARE;
    }

    /// How many shards there are.
    pub fn shards(&self) -> usize {
        self.labels.len()
    }

    /// For how long what another controller says of the state service counts, from when
    /// it was made: whatever it takes after that has its full time from then.
    pub fn relied_ms(&self) -> f64 {
        RELIED_MS.min(self.cut_off_bound_ms())
    }

    /// After this long without watch events from the state service an owner stops
    /// answering workers: their leases must have ended before a cancellation
    /// that it cannot see runs out.
    pub fn cut_off_bound_ms(&self) -> f64 {
        let margin = (self.cancel_ms * 0.05).max(1500.0);
        ((self.cancel_ms - self.lease_ms * 1.001 - margin) * 0.999).max(0.0)
    }
}
