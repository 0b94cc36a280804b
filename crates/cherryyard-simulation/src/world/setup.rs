//! Initial state of a simulation, and the settings that its controllers get.

use super::{
    Checker, Cloud, CommandCopies, HeartbeatDuplicates, Machines, Network, Processes, Requests,
    StateLink, StoredTasks, Submissions, World,
};
use crate::state::ServiceLimits;
use crate::{StateStandIn, WorkerStandIn};
use cherryyard_core::{Config, Controller, Tuning};
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::record::ADMISSION_LOG;
use cherryyard_wire::settings::Settings;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};

/// Initial state and settings of a simulation.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Zone of each controller; there are as many controllers as entries.
    pub zones: Vec<&'static str>,
    /// Number of machines of 4 cores each, per zone.
    pub machines: Vec<(&'static str, usize)>,
    /// Number of machines of 8 cores each, per zone.
    pub large_machines: Vec<(&'static str, usize)>,
    /// Operators' settings of the controllers.
    pub tuning: Tuning,
    /// Limit in cores of the team named `team`; 0 means no limit.
    pub limit: f64,
    /// Further teams: name, guarantee and limit in cores.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// Largest value that the state service accepts, in KiB.
    pub value_kb: f64,
    /// Maximum number of changes in a transaction.
    pub txn_ops: usize,
    /// Announced future limits of the state service: its largest value in KiB, and the maximum
    /// number of changes in a transaction; they take effect with
    /// [`World::enforce_announced_limits`].
    pub announced_limits: Option<(f64, usize)>,
    /// Requests per second that the state service allows, as configured in the controllers.
    pub rps: f64,
    /// Puts and deletes per second that the state service allows, as configured in the
    /// controllers.
    pub write_rps: f64,
    /// Interval in seconds at which a worker sends heartbeats.
    pub report_s: f64,
    /// Duration in seconds for which an answered heartbeat keeps a worker's tasks running.
    pub lease_s: f64,
    /// Time in seconds after the confirmation of a cancellation, within which the job's tasks must
    /// have stopped, and the jobs that depend on it must be reported as cancelled.
    pub cancel_s: f64,
    /// Number of ended jobs that are moved to the history in one batch; none disables the
    /// history.
    pub history: Option<usize>,
    /// Controllers that start as an earlier build, which does not support dependencies between
    /// jobs.
    pub earlier_builds: BTreeSet<usize>,
}

/// Returns the type of small machines: 4 cores, 16 GB.
pub fn small_machine_type(zones: Vec<String>) -> MachineType {
    MachineType {
        sku: "m4".into(),
        cores: 4.0,
        accelerators: 0.0,
        ram_gb: 16.0,
        cache_gb: 40.0,
        fetch_gb_per_s: 1.0,
        price: 0.0,
        low_price: 0.0,
        ready_s: 30.0,
        zones,
    }
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            zones: vec!["a", "b", "c"],
            machines: vec![("a", 1), ("b", 1), ("c", 1)],
            large_machines: Vec::new(),
            tuning: Tuning::default(),
            limit: 0.0,
            teams: Vec::new(),
            value_kb: 4.0,
            txn_ops: 8,
            announced_limits: None,
            rps: 80.0,
            write_rps: 20.0,
            report_s: 2.0,
            lease_s: 10.0,
            cancel_s: 40.0,
            history: None,
            earlier_builds: BTreeSet::new(),
        }
    }
}

impl Setup {
    /// Returns the settings of a controller, as JSON.
    fn settings_of(&self, controller: usize) -> Value {
        let zones = self.zones.iter().copied();
        let zones: BTreeSet<&str> = zones.chain(self.machines.iter().map(|m| m.0)).collect();
        let others: Vec<Value> = (0..self.zones.len())
            .filter(|&i| i != controller)
            .map(|i| {
                json!({ "label": format!("node-{i}"), "domain": self.zones[i],
                        "endpoint": format!("127.0.0.1:{}", 9000 + i) })
            })
            .collect();
        let announced = self
            .announced_limits
            .map(|(kb, ops)| json!({ "value_kb": kb, "txn_ops": ops }));
        json!({
            "label": format!("node-{controller}"), "domain": self.zones[controller],
            "public_addr": "127.0.0.1:1", "peer_listen": "127.0.0.1:2", "known": others,
            "services": { "cloud": "127.0.0.1:3", "state": "127.0.0.1:4" },
            "cluster": {
                "zones": zones,
                "teams": self.team_settings(),
                "workers": { "report_s": self.report_s, "lease_s": self.lease_s,
                             "cancel_s": self.cancel_s },
                "state": { "rps": self.rps, "write_rps": self.write_rps,
                           "value_kb": self.value_kb, "txn_ops": self.txn_ops,
                           "next": announced },
                "cloud": { "rps": 4.0, "list_lag_s": 6.0 },
                "limits": { "sockets": 1000 }
            }
        })
    }

    fn team_settings(&self) -> Vec<Value> {
        let team = |name: &str, cores: f64, limit: f64| json!({ "name": name, "cpus": cores, "cpus_max": limit });
        let mut teams = vec![team("team", 0.0, self.limit)];
        let further_teams = self.teams.iter();
        teams.extend(further_teams.map(|&(name, cores, limit)| team(name, cores, limit)));
        teams
    }

    /// Returns the interval in milliseconds at which a worker sends heartbeats.
    pub(super) fn report_ms(&self) -> f64 {
        self.report_s * 1000.0
    }

    /// Returns the duration in milliseconds for which an answered heartbeat keeps a worker's tasks
    /// running.
    pub fn lease_ms(&self) -> f64 {
        self.lease_s * 1000.0
    }

    /// Returns the time in milliseconds within which a confirmed cancellation must take effect.
    pub(super) fn cancel_ms(&self) -> f64 {
        self.cancel_s * 1000.0
    }

    /// Returns the machine types that the cloud offers.
    fn machine_types(&self) -> Vec<MachineType> {
        let zones_of = |machines: &[(&str, usize)]| -> Vec<String> {
            machines.iter().map(|(zone, _)| zone.to_string()).collect()
        };
        let mut machine_types = vec![small_machine_type(zones_of(&self.machines))];
        if !self.large_machines.is_empty() {
            let mut large = small_machine_type(zones_of(&self.large_machines));
            large.sku = "m8".into();
            (large.cores, large.ram_gb) = (8.0, 32.0);
            machine_types.push(large);
        }
        machine_types
    }

    /// Returns the workers; each sends its first heartbeat to a different controller in turn.
    fn workers(&self) -> BTreeMap<String, WorkerStandIn> {
        let of_type = |machine_type, machines: &[(&'static str, usize)]| {
            let zones = machines.iter();
            let zones = zones.flat_map(|&(zone, count)| std::iter::repeat_n(zone, count));
            let all: Vec<_> = zones.map(|zone| (machine_type, zone)).collect();
            all
        };
        let mut machines = of_type("m4", &self.machines);
        machines.extend(of_type("m8", &self.large_machines));
        let mut workers = BTreeMap::new();
        for (number, (machine_type, zone)) in machines.into_iter().enumerate() {
            let name = format!("host-{number:06}");
            let controller = number % self.zones.len();
            let mut worker = WorkerStandIn::new(&name, zone, controller, self.lease_ms(), 0.0);
            worker.machine_type = String::from(machine_type);
            workers.insert(name, worker);
        }
        workers
    }
}

impl World {
    /// Creates a cluster whose controllers have just started.
    pub fn new(setup: Setup) -> Self {
        let mut world = Self {
            now: 0.0,
            state: StateStandIn::default(),
            controllers: Vec::new(),
            workers: setup.workers(),
            network: Network::default(),
            processes: Processes::default(),
            state_link: StateLink::default(),
            duplicates: HeartbeatDuplicates::default(),
            command_copies: CommandCopies::default(),
            machines: Machines::default(),
            cloud: Cloud::default(),
            submissions: Submissions::default(),
            requests: Requests::default(),
            trace: Vec::new(),
            violations: Vec::new(),
            checker: Checker::default(),
            stored_tasks: StoredTasks::default(),
            setup,
        };
        for i in 0..world.setup.zones.len() {
            let controller = world.new_controller(i);
            world.controllers.push(Some(controller));
        }
        world.enforce_limits(world.setup.value_kb, world.setup.txn_ops);
        world
    }

    /// Creates the process of a controller that has just started.
    pub(super) fn new_controller(&mut self, i: usize) -> Controller {
        let incarnation = self.processes.begin_incarnation(i);
        let mut tuning = self.setup.tuning.clone();
        if let Some(batch) = self.setup.history {
            (tuning.history, tuning.history_batch) = (true, batch);
        }
        let settings = self.setup.settings_of(i).to_string();
        let settings = Settings::parse(settings.as_bytes());
        let settings = settings.expect("the simulation's settings are valid");
        let mut config = Config::new(&settings, tuning);
        if self.setup.earlier_builds.contains(&i) {
            config.format = ADMISSION_LOG;
        }
        let mut controller = Controller::new(config, incarnation, self.now);
        controller.accounting = true;
        controller.handle_machine_types(self.setup.machine_types(), self.now);
        controller
    }

    /// Returns the operators' settings for controllers that start from now on.
    pub fn tuning(&mut self) -> &mut Tuning {
        &mut self.setup.tuning
    }

    fn enforce_limits(&mut self, value_kb: f64, txn_ops: usize) {
        self.state.limits = Some(ServiceLimits {
            value_bytes: (value_kb * 1024.0) as usize,
            txn_ops,
        });
    }

    /// Lets controller `i` start with the current build from its next start on.
    pub fn upgrade(&mut self, i: usize) {
        self.setup.earlier_builds.remove(&i);
    }

    /// Announces future limits of the state service to controllers that start from now on.
    pub fn announce_limits(&mut self, value_kb: f64, txn_ops: usize) {
        self.setup.announced_limits = Some((value_kb, txn_ops));
    }

    /// Puts the announced limits of the state service into effect.
    pub fn enforce_announced_limits(&mut self) {
        if let Some((value_kb, txn_ops)) = self.setup.announced_limits {
            self.trace_line("the state service lowers its limits");
            self.enforce_limits(value_kb, txn_ops);
        }
    }
}
