//! A controller's configuration: what the settings say, in the core's own terms and units.

use crate::names::Names;
use crate::shard_map::ShardMap;
use cherryyard_wire::record::NEWEST_FORMAT;
use cherryyard_wire::rules::Attributes;
use cherryyard_wire::settings::{Cluster, Settings};
use std::collections::HashMap;
use std::num::NonZeroUsize;

/// Machines that a controller keeps: of its own shards, and as many of other controllers'.
/// It bounds the memory that reports can take; the largest fleets have some 4,000.
pub const MAX_MACHINES: usize = 20_000;

/// Largest page of assignments in bytes, whatever the value limit: every change of one is told
/// to all controllers.
const MAX_PAGE: usize = 12 * 1024;
/// Bytes of a value that are kept free around a page of assignments, and the least that a page
/// may have.
const PAGE_MARGIN: usize = 64;
const MIN_PAGE: usize = 256;

/// Shares of the write budget: all owners' scheduling cycles together, users' writes, and the
/// history of jobs that are over. They may add up to more than 1, as seldom all are
/// spent at once.
const CYCLES_SHARE: f64 = 0.7;
const USERS_SHARE: f64 = 0.35;
const HISTORY_SHARE: f64 = 0.1;
/// Share of the rate of all requests that reads of the history may have.
const HISTORY_READS_SHARE: f64 = 0.1;

/// Ends of jobs may take one part of the memory in so many; each takes about so many bytes.
const MEMORY_PER_RECENT_ENDS: usize = 64;
const RECENT_END_BYTES: usize = 64;

/// Largest drift of a clock against another, as a factor of the time measured.
const CLOCK_DRIFT: f64 = 1.001;
/// The rate of the slowest clock against another.
const SLOWEST_CLOCK: f64 = 0.999;

/// Operators' own settings, each with a default.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// The proposal's AutoscaleMultiClusterDelay in seconds: how long a shard
    /// may keep tasks waiting before the leader moves them.
    pub autoscale_multi_cluster_delay_s: f64,
    /// Seconds between two reports of free capacity to the leader.
    pub capacity_report_s: f64,
    /// Share of the fleet's cores that scaling out ahead of demand keeps free.
    pub headroom_share: f64,
    /// Seconds without work after which a provisioned machine may be released.
    pub idle_return_s: f64,
    /// Whether jobs that are over go into the history.
    pub history: bool,
    /// Ends that are compacted into the history at once.
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

/// A class's fair-share guarantee.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassShare {
    /// Its weight where not all guarantees can be met.
    pub weight: f64,
    /// The part of its demand that is to be served whatever its rank.
    pub least: f64,
    /// The most that this may be, as a part of all cores.
    pub share: f64,
}

/// Who is served when not all can be.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// The guarantee of classes that have none of their own.
    pub all: ClassShare,
    /// For how long, in seconds, a flow may have less than its guarantee before it goes ahead of
    /// rank.
    pub window_s: f64,
    /// How long, in seconds, a job waits before aging can serve it first in its flow, though none
    /// of its tasks has begun and others have less work.
    pub turn_s: f64,
    /// The guarantees of the others, by class.
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
    /// The guarantee of a class.
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
    /// Whether the team has a limit on any resource.
    pub fn limited(&self) -> bool {
        self.cores_max.is_finite() || self.acc_max.is_finite()
    }
}

/// How long a heartbeat is relied on: it acknowledges ours of up to a second before.
const RELIED_MS: f64 = 3500.0;
/// Share of the time within which a cancelled job's tasks must be gone that is kept as a margin,
/// and the least margin.
const CANCEL_MARGIN_SHARE: f64 = 0.05;
const MIN_CANCEL_MARGIN_MS: f64 = 1500.0;

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
    /// How long a worker's lease lasts, in milliseconds.
    pub lease_ms: f64,
    /// Time between a worker's heartbeats, in milliseconds.
    pub report_ms: f64,
    /// Time within which a cancelled job's tasks must be gone, in milliseconds.
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
    /// How late the cloud's machine list usually is, in milliseconds.
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
        let cluster = &settings.cluster;
        let mut config = Self {
            me: controllers
                .iter()
                .position(|(label, _)| *label == settings.label)
                .unwrap_or(0),
            labels: controllers.iter().map(|(label, _)| label.clone()).collect(),
            shard_map: ShardMap::new(&controllers),
            zones: Names::of(cluster.zones.iter().map(String::as_str)),
            team_names: Names::of(cluster.teams.iter().map(|team| team.name.as_str())),
            teams: teams(cluster),
            format: NEWEST_FORMAT,
            lease_ms: cluster.workers.lease_s * 1000.0,
            report_ms: cluster.workers.report_s * 1000.0,
            cancel_ms: cluster.workers.cancel_s * 1000.0,
            txn_ops: cluster.state.safe_txn_ops(),
            writes_per_s: cluster.state.write_rps,
            next_writes_per_s: cluster.state.safe_write_rps(),
            cycle_writes_per_s: 0.0,
            user_writes_per_s: 0.0,
            history_writes_per_s: 0.0,
            history_reads_per_s: cluster.state.rps * HISTORY_READS_SHARE,
            value_bytes: 0,
            list_lag_ms: cluster.cloud.list_lag_s * 1000.0,
            page_bytes: 0,
            deadline_times: deadline_times(cluster),
            recent_ends: NonZeroUsize::new(
                cluster.limits.memory_bytes() / MEMORY_PER_RECENT_ENDS / RECENT_END_BYTES,
            )
            .unwrap_or(NonZeroUsize::MIN),
            tuning,
        };
        config.set_value_bytes((cluster.state.safe_value_kb() * 1024.0) as usize);
        config.set_writes_per_s(cluster.state.write_rps);
        config
    }

    /// Sets the largest value, and the largest page of assignments by it.
    pub(crate) fn set_value_bytes(&mut self, bytes: usize) {
        self.value_bytes = bytes;
        self.page_bytes = bytes.saturating_sub(PAGE_MARGIN).clamp(MIN_PAGE, MAX_PAGE);
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

    /// For how long, in milliseconds, what another controller says of the state service counts,
    /// from when its heartbeat was made: whatever it takes after that has its full time from then.
    pub fn relied_ms(&self) -> f64 {
        RELIED_MS.min(self.cut_off_bound_ms())
    }

    /// After this many milliseconds without watch events from the state service an owner stops
    /// answering workers: their leases must have expired before the time runs out within which a
    /// cancellation that it cannot see must take effect.
    pub fn cut_off_bound_ms(&self) -> f64 {
        let margin = (self.cancel_ms * CANCEL_MARGIN_SHARE).max(MIN_CANCEL_MARGIN_MS);
        ((self.cancel_ms - self.lease_ms * CLOCK_DRIFT - margin) * SLOWEST_CLOCK).max(0.0)
    }
}

/// Teams' guarantees and limits; a limit of 0 in the settings is none.
fn teams(cluster: &Cluster) -> Vec<Team> {
    let limit = |setting: f64| {
        if setting > 0.0 {
            setting
        } else {
            f64::INFINITY
        }
    };
    let teams = cluster.teams.iter();
    teams
        .map(|team| Team {
            cores: team.cpus,
            acc: team.gpus,
            cores_max: limit(team.cpus_max),
            acc_max: limit(team.gpus_max),
        })
        .collect()
}

/// For each class with deadlines, the multiples of them that objectives name, in order.
fn deadline_times(cluster: &Cluster) -> HashMap<String, Vec<f64>> {
    let mut by_class: HashMap<String, Vec<f64>> = HashMap::new();
    let objectives = cluster.objectives.iter();
    for objective in objectives.filter(|objective| objective.kind == "deadline") {
        let times = if objective.times > 0.0 {
            objective.times
        } else {
            1.0
        };
        let class = objective.class.clone();
        by_class.entry(class).or_default().push(times);
    }
    for times in by_class.values_mut() {
        times.sort_by(f64::total_cmp);
    }
    by_class
}
