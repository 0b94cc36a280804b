//! Configuration of a controller: the settings, converted to the types and units of the core.

use crate::command_log::CommandTrace;
use crate::names::Names;
use crate::shard_map::ShardMap;
use cherryyard_wire::record::NEWEST_FORMAT;
use cherryyard_wire::rules::Attributes;
use cherryyard_wire::settings::{Cluster, Settings};
use std::collections::HashMap;
use std::num::NonZeroUsize;

/// Largest number of machines that a controller keeps of its own shards, and the same of other
/// controllers' shards. It bounds the memory that workers' reports can take; the largest fleets
/// have some 4,000 machines.
pub const MAX_MACHINES: usize = 20_000;

/// Largest page of assignments in bytes, whatever the state service's limit on values: each page is
/// sent to all controllers whenever it changes.
const MAX_PAGE_BYTES: usize = 12 * 1024;
/// Number of bytes of the largest value that a page of assignments leaves free.
const PAGE_MARGIN_BYTES: usize = 64;
/// Lower bound of the largest page of assignments in bytes.
const MIN_PAGE_BYTES: usize = 256;

/// Shares of the write budget for the scheduling cycles of all owners together, for users' writes,
/// and for the history of ended jobs. Their sum may exceed 1, as they are seldom all spent at the
/// same time.
const CYCLES_SHARE: f64 = 0.7;
const USERS_SHARE: f64 = 0.35;
const HISTORY_SHARE: f64 = 0.1;
/// Share of the rate of all requests to the state service that reads of the history may use.
const HISTORY_READS_SHARE: f64 = 0.1;

/// Divisor of the memory that gives the part for the ends of jobs.
const RECENT_ENDS_MEMORY_DIVISOR: usize = 64;
/// Approximate size of one end of a job in memory, in bytes.
const RECENT_END_BYTES: usize = 64;

/// Largest factor by which a time measured by one clock can be longer by another clock.
const CLOCK_DRIFT_FACTOR: f64 = 1.001;
/// Lowest rate of a clock relative to another: the factor by which a time can be shorter by the
/// slowest clock.
const SLOWEST_CLOCK: f64 = 0.999;

/// Settings that operators may change, each with a default.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// Time in seconds for which a shard may keep tasks waiting before the leader moves them
    /// (AutoscaleMultiClusterDelay).
    pub autoscale_multi_cluster_delay_s: f64,
    /// Time in seconds between two reports of free capacity to the leader.
    pub capacity_report_s: f64,
    /// Share of the fleet's cores that are kept free by scaling out ahead of demand.
    pub headroom_share: f64,
    /// Time in seconds without work after which a provisioned machine may be released.
    pub idle_return_s: f64,
    /// Whether the ends of jobs are moved into the history.
    pub history: bool,
    /// Number of ends of jobs that are compacted into the history at once.
    pub history_batch: usize,
    /// Number of days for which the history keeps ends of jobs; 0 means without limit.
    pub history_keep_days: u32,
    /// Whether an account of the use of core-seconds is kept and logged.
    pub account: bool,
    /// Whether submissions may carry rules for the choice of machines, and HTCondor submit files
    /// are accepted.
    pub condor: bool,
    /// Attributes of machines that operators define for use in rules.
    pub attributes: Attributes,
    /// Settings of admission and fair sharing.
    pub admission: Admission,
    /// Machines and jobs whose commands are logged at the level `info`.
    pub command_trace: CommandTrace,
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
            command_trace: CommandTrace::default(),
        }
    }
}

/// Parameters of the fair-share guarantee of a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassShare {
    /// Weight of the class if not all guarantees can be met.
    pub weight: f64,
    /// Fraction of the demand that is to be served whatever the rank.
    pub least_served: f64,
    /// Upper limit of that part of the demand, as a fraction of all cores.
    pub max_share: f64,
}

/// Settings of admission and fair sharing under overload.
#[derive(Clone, Debug, PartialEq)]
pub struct Admission {
    /// Parameters of classes without parameters of their own.
    pub default_class: ClassShare,
    /// Time in seconds for which a flow may run less than its guarantee before it is served ahead
    /// of rank, that is before jobs of higher rank.
    pub window_s: f64,
    /// Time in seconds for which a job waits without a started task before aging can put it first
    /// in its flow, before jobs with less work.
    pub aging_s: f64,
    /// Parameters of the other classes, by class.
    pub classes: HashMap<String, ClassShare>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            default_class: ClassShare {
                weight: 1.0,
                least_served: 0.6,
                max_share: 0.25,
            },
            window_s: 30.0,
            aging_s: 60.0,
            classes: HashMap::new(),
        }
    }
}

impl Admission {
    /// Returns the parameters of a class.
    pub fn of(&self, class: &str) -> ClassShare {
        self.classes
            .get(class)
            .copied()
            .unwrap_or(self.default_class)
    }
}

/// Guarantee and limit of a team.
#[derive(Clone, Debug)]
pub struct Team {
    /// Number of guaranteed cores.
    pub cores: f64,
    /// Number of guaranteed accelerators.
    pub accelerators: f64,
    /// Largest number of cores; infinite without a limit.
    pub cores_max: f64,
    /// Largest number of accelerators; infinite without a limit.
    pub accelerators_max: f64,
}

impl Team {
    /// Returns whether the team has a limit on any resource.
    pub fn limited(&self) -> bool {
        self.cores_max.is_finite() || self.accelerators_max.is_finite()
    }
}

/// Longest time in milliseconds for which a peer's heartbeat is relied on. The time counts from
/// when this controller sent the heartbeat that the peer's acknowledges, which is up to a second
/// before the peer's was sent.
const MAX_HEARTBEAT_AGE_MS: f64 = 3500.0;
/// Safety margin as a share of the time within which the tasks of a cancelled job must be gone.
const CANCEL_MARGIN_SHARE: f64 = 0.05;
/// Lower bound of that safety margin in milliseconds.
const MIN_CANCEL_MARGIN_MS: f64 = 1500.0;

/// Configuration of one controller.
#[derive(Clone, Debug)]
pub struct Config {
    /// Index of this controller among all controllers.
    pub own_index: usize,
    /// Labels of all controllers, in the same order at each controller.
    pub labels: Vec<String>,
    /// Assignment of machines to shards.
    pub shard_map: ShardMap,
    /// Names of the zones.
    pub zones: Names,
    /// Names of the teams.
    pub team_names: Names,
    /// Guarantees and limits of the teams, by index.
    pub teams: Vec<Team>,
    /// Newest format of stored records that this build supports.
    pub format: u32,
    /// Duration of a worker's lease in milliseconds.
    pub lease_ms: f64,
    /// Time between two heartbeats of a worker in milliseconds.
    pub report_ms: f64,
    /// Time in milliseconds within which the tasks of a cancelled job must be gone.
    pub cancel_ms: f64,
    /// Largest number of changes in a transaction.
    pub txn_ops: usize,
    /// Number of puts and deletes per second that all controllers together may make.
    pub writes_per_s: f64,
    /// Number of puts and deletes per second that is allowed both before and after an announced
    /// change of the state service's limits.
    pub next_writes_per_s: f64,
    /// Number of changes per second that the scheduling cycles of one shard may write. The rest of
    /// the budget is for users' writes, leases and the leader.
    pub cycle_writes_per_s: f64,
    /// Number of users' writes per second that all controllers together may make.
    pub user_writes_per_s: f64,
    /// Largest number of writes to the history per second.
    pub history_writes_per_s: f64,
    /// Largest number of reads of the history per second.
    pub history_reads_per_s: f64,
    /// Largest value in the state service, in bytes.
    pub value_bytes: usize,
    /// Usual delay of the cloud's list of machines in milliseconds.
    pub list_lag_ms: f64,
    /// Largest page of assignments in bytes.
    pub page_bytes: usize,
    /// Multiples of the deadlines that the objectives name, in ascending order, by class.
    pub deadline_times: HashMap<String, Vec<f64>>,
    /// Number of ends of jobs kept in memory after they have been removed from the watched records.
    pub recent_ends: NonZeroUsize,
    /// Settings that operators may change.
    pub tuning: Tuning,
}

impl Config {
    /// Creates the configuration that `settings` describe.
    pub fn new(settings: &Settings, tuning: Tuning) -> Self {
        let controllers = settings.controllers();
        let cluster = &settings.cluster;
        let mut config = Self {
            own_index: controllers
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
                cluster.limits.memory_bytes() / RECENT_ENDS_MEMORY_DIVISOR / RECENT_END_BYTES,
            )
            .unwrap_or(NonZeroUsize::MIN),
            tuning,
        };
        config.set_value_bytes((cluster.state.safe_value_kb() * 1024.0) as usize);
        config.set_writes_per_s(cluster.state.write_rps);
        config
    }

    /// Sets the largest value, and the largest page of assignments that follows from it.
    pub(crate) fn set_value_bytes(&mut self, bytes: usize) {
        self.value_bytes = bytes;
        self.page_bytes = bytes
            .saturating_sub(PAGE_MARGIN_BYTES)
            .clamp(MIN_PAGE_BYTES, MAX_PAGE_BYTES);
    }

    /// Sets the rate of puts and deletes, and divides it among scheduling cycles, users' writes and
    /// the history.
    pub(crate) fn set_writes_per_s(&mut self, rate: f64) {
        self.writes_per_s = rate;
        self.cycle_writes_per_s = rate * CYCLES_SHARE / self.shards() as f64;
        self.user_writes_per_s = rate * USERS_SHARE;
        self.history_writes_per_s = rate * HISTORY_SHARE;
    }

    /// Returns the number of shards, which is that of controllers.
    pub fn shards(&self) -> usize {
        self.labels.len()
    }

    /// Returns for how many milliseconds after a peer created a heartbeat its statements about the
    /// state service are relied on. This is at most [`Self::cut_off_bound_ms`]: a cancellation that
    /// the peer accepts after creating the heartbeat has its full time limit from then on.
    pub fn heartbeat_validity_ms(&self) -> f64 {
        MAX_HEARTBEAT_AGE_MS.min(self.cut_off_bound_ms())
    }

    /// Returns the number of milliseconds without watch events from the state service after which
    /// an owner stops answering workers: their leases must expire before the time is over within
    /// which a cancellation that the owner cannot see must take effect.
    pub fn cut_off_bound_ms(&self) -> f64 {
        let margin = (self.cancel_ms * CANCEL_MARGIN_SHARE).max(MIN_CANCEL_MARGIN_MS);
        ((self.cancel_ms - self.lease_ms * CLOCK_DRIFT_FACTOR - margin) * SLOWEST_CLOCK).max(0.0)
    }
}

/// Returns the guarantees and limits of the teams. A limit of 0 in the settings means no limit.
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
            accelerators: team.gpus,
            cores_max: limit(team.cpus_max),
            accelerators_max: limit(team.gpus_max),
        })
        .collect()
}

/// Returns, for each class with deadlines, the multiples of them that the objectives name, in
/// ascending order.
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
