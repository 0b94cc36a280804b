//! A whole cluster: controllers, state service, workers, and what cuts them off.

use crate::state::ServiceLimits;
use crate::{StateStandIn, WorkerStandIn, draws};
use cherryyard_core::account::CoreSeconds;
use cherryyard_core::admission::intake::{Offer, Verdict};
use cherryyard_core::leader::ProvisionError;
use cherryyard_core::mirror::over;
use cherryyard_core::{Config, Controller, Effect, Outcome, PushOutcome, Reply, Ticket, Tuning};
use cherryyard_history::Leaf;
use cherryyard_wire::RangeSet;
use cherryyard_wire::cloud::{Instance, InstanceStatus, MachineType, ProvisionRequest};
use cherryyard_wire::condor::{
    Chunk, FIRST_ID, IdsRecord, Phase, PhaseEvent, SubmissionRecord, chunk_key, submission_key,
    submission_number,
};
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::job::{JobSpec, JobView, Shape, job_number};
use cherryyard_wire::record::{ADMISSION_LOG, IDS, JobRecord, job_key};
use cherryyard_wire::rules::Rules;
use cherryyard_wire::settings::Settings;
use cherryyard_wire::state::{Apply, Commit, WatchResponse};
use cherryyard_wire::worker::{CommandBatch, WorkerHeartbeat};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};

mod check;
mod cloud;
mod late;
mod machines;
pub mod pipelines;
pub mod requests;
mod submitting;

use check::Checker;
use late::slow;
use requests::Requests;
pub use requests::{Question, Response};

/// Milliseconds between two steps of the clock.
const STEP: f64 = 50.0;
/// How long a worker waits for an answer.
const ANSWER_MS: f64 = 4000.0;
/// How long a controller's state lease lasts.
const TTL: f64 = 5000.0;

/// What a rehearsal starts with.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Zone of each controller.
    pub zones: Vec<&'static str>,
    /// Machines per zone, 4 cores each.
    pub machines: Vec<(&'static str, usize)>,
    /// The same of machines of 8 cores each.
    pub large: Vec<(&'static str, usize)>,
    /// Operators' settings.
    pub tuning: Tuning,
    /// The team's limit in cores; 0: none.
    pub limit: f64,
    /// Further teams, their guarantees and limits in cores.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// Largest value of the state service.
    pub value_kb: f64,
    /// Most changes in a transaction.
    pub txn_ops: usize,
    /// Announced limits of the state service: its largest value in KiB, and most changes
    /// in a transaction; in force from [`World::lower_limits`] on.
    pub next: Option<(f64, usize)>,
    /// Requests a second that the state service allows, as the controllers know it.
    pub rps: f64,
    /// Puts and deletes a second that it allows.
    pub write_rps: f64,
    /// How many ends go into the history at once; none: no history.
    pub history: Option<usize>,
    /// Controllers of a build that knows of no dependencies, when they start.
    pub earlier: BTreeSet<usize>,
}

/// The type of all the stand-ins' machines: 4 cores, 16 GB.
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
            large: Vec::new(),
            tuning: Tuning::default(),
            limit: 0.0,
            teams: Vec::new(),
            value_kb: 4.0,
            txn_ops: 8,
            next: None,
            rps: 80.0,
            write_rps: 20.0,
            history: None,
            earlier: BTreeSet::new(),
        }
    }
}

/// A cluster under rehearsal.
pub struct World {
    /// The state service.
    pub state: StateStandIn,
    /// Controllers; `None` while one is down.
    pub controllers: Vec<Option<Controller>>,
    /// Workers by name.
    pub workers: BTreeMap<String, WorkerStandIn>,
    /// Controllers that the state service refuses.
    pub refused: BTreeSet<usize>,
    /// Controllers that no other controller reaches.
    pub alone: BTreeSet<usize>,
    /// Controllers that no worker reaches.
    pub deaf: BTreeSet<usize>,
    /// Controllers that stand still while their clocks run on.
    pub frozen: BTreeSet<usize>,
    /// Controllers that are behind: reports wait this long for their turn, while
    /// what is urgent goes on.
    pub late: BTreeMap<usize, f64>,
    /// Reports that wait: when their turn is, when they were sent, and where.
    inbox: Vec<(f64, f64, usize, WorkerHeartbeat)>,
    /// Workers that wait for an answer, and since when.
    waiting: BTreeMap<String, f64>,
    /// Machines that nobody reaches.
    pub unreachable: BTreeSet<String>,
    /// Machines that stand still: what is sent to them directly waits.
    pub hung: BTreeSet<String>,
    /// Machines whose reports arrive, but neither answers nor commands reach them.
    pub one_way: BTreeSet<String>,
    /// Machines whose reports reach no controller, while direct commands reach them.
    pub one_way_silent: BTreeSet<String>,
    /// Zones whose machines and controllers reach none of another zone.
    pub zones_cut: BTreeSet<String>,
    /// A copy of each machine's next report is kept for the next leader: it comes to
    /// every controller as soon as the lead has changed hands.
    pub copies_for_next: bool,
    /// Or so much later, when the new leader has acted.
    pub copies_wait_ms: f64,
    copies_due: Option<f64>,
    kept_copies: BTreeMap<String, WorkerHeartbeat>,
    /// Who led when this was last looked at.
    led: Option<u64>,
    /// The leader ends this often, and is back half a second later.
    pub leaders_end_ms: Option<f64>,
    leader_ends_at: f64,
    /// Controllers that have ended so, and when each is back.
    back_at: Vec<(f64, usize)>,
    /// Copies of all reports come once more, this late, to the same controller and the
    /// one after it.
    pub copies_ms: Option<f64>,
    copies: Vec<(f64, usize, WorkerHeartbeat)>,
    /// Direct questions to machines so far.
    pub questions: usize,
    /// Machines to which direct commands are held back.
    pub slow_direct: BTreeSet<String>,
    /// Direct commands held back.
    pub held_direct: Vec<(String, CommandBatch)>,
    /// Owners' transactions get no answer and are held back.
    pub hold_commits: BTreeSet<usize>,
    /// The leader's transactions get no answer and are held back.
    pub hold_lead: bool,
    /// Transactions held back.
    pub held_commits: Vec<Commit>,
    /// Of a hundred transactions, how many get no answer and are carried out 2 to 12 s
    /// later, after newer ones; one in four of them at once.
    pub late_writes: u64,
    /// Of a hundred transactions, how many are carried out at once and get no answer.
    pub lost_answers: u64,
    /// How often controllers read the cloud's list of machines by themselves.
    pub lists_ms: Option<f64>,
    listed_at: f64,
    /// provisioning requests are carried out, and their answers are lost.
    pub provisions_unanswered: bool,
    late_draw: Box<dyn FnMut(u64) -> u64>,
    /// Transactions on their way, and when each is carried out.
    on_the_way: Vec<(f64, Commit)>,
    /// How long the state service takes for a read or a transaction, at most; each takes
    /// between half of it and all.
    pub slow_ms: f64,
    /// Reads under way: by controller, when answered, when sent, what they tell.
    reads: BTreeMap<usize, (f64, f64, WatchResponse)>,
    /// Answers to transactions under way: when, for which start of which controller.
    answers: Vec<(f64, usize, u64, Ticket, Commit, Outcome)>,
    /// Which start of each controller runs.
    lives: Vec<u64>,
    /// Controllers whose submissions get no answer and are held back.
    pub hold_intake: BTreeSet<usize>,
    /// Users who ask for a cancellation until they are told: whom next, when, the job.
    asking: Vec<(usize, f64, String)>,
    /// Of a hundred jobs that end, how many are called off at that moment.
    pub cancel_at_end: u64,
    /// Tasks that have completed.
    pub completed: BTreeSet<String>,
    /// The leader ends with this many of the packer's transactions, before it is
    /// applied (it is held back) or after.
    pub cut_packer: Option<(usize, bool)>,
    /// The packer's transactions so far.
    pub packer_commits: usize,
    /// The same of the creator of submissions' jobs.
    pub cut_creator: Option<(usize, bool)>,
    /// The creator's transactions so far.
    pub creator_commits: usize,
    /// When each job was cancelled.
    pub cancelled_at: BTreeMap<String, f64>,
    /// What has become of submissions, by ticket.
    pub verdicts: BTreeMap<u64, Verdict>,
    tickets: u64,
    /// The cloud answers no release, and how many it has not answered.
    pub cloud_down: bool,
    /// See `cloud_down`.
    pub releases_failed: usize,
    /// Machines that were to be provisioned.
    pub provision_requests: Vec<ProvisionRequest>,
    provisioned: BTreeMap<String, Vec<String>>,
    provisions_lost: Vec<(f64, usize, u64, ProvisionRequest)>,
    /// What a provisioned machine takes to be up, in milliseconds; none: there are none to
    /// rent.
    pub provisioning_ms: Option<f64>,
    /// How long tasks run on provisioned machines.
    pub provisioned_run_ms: f64,
    /// Machines on their way: when up, when provisioned.
    pub booting: BTreeMap<String, (f64, f64, String)>,
    /// The time.
    pub now: f64,
    /// What happened.
    pub trace: Vec<String>,
    /// Rules seen broken.
    pub broken: Vec<String>,
    /// Submitted services: their tasks end only with their jobs.
    services: BTreeSet<String>,
    /// Most cores that tasks took at any time.
    pub most_cores: f64,
    /// What the rules are judged by.
    checker: Checker,
    /// Users' requests under way, and what they have been told.
    pub requests: Requests,
    setup: Setup,
    starts: u64,
}

impl World {
    /// A cluster whose controllers have just started.
    pub fn new(setup: Setup) -> Self {
        let mut world = Self {
            state: StateStandIn::default(),
            controllers: Vec::new(),
            workers: BTreeMap::new(),
            refused: BTreeSet::new(),
            alone: BTreeSet::new(),
            deaf: BTreeSet::new(),
            frozen: BTreeSet::new(),
            late: BTreeMap::new(),
            inbox: Vec::new(),
            waiting: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            hung: BTreeSet::new(),
            one_way: BTreeSet::new(),
            one_way_silent: BTreeSet::new(),
            zones_cut: BTreeSet::new(),
            copies_for_next: false,
            copies_wait_ms: 0.0,
            copies_due: None,
            kept_copies: BTreeMap::new(),
            led: None,
            leaders_end_ms: None,
            leader_ends_at: 0.0,
            back_at: Vec::new(),
            copies_ms: None,
            copies: Vec::new(),
            questions: 0,
            slow_direct: BTreeSet::new(),
            held_direct: Vec::new(),
            hold_commits: BTreeSet::new(),
            hold_lead: false,
            held_commits: Vec::new(),
            late_writes: 0,
            lost_answers: 0,
            lists_ms: None,
            listed_at: 0.0,
            provisions_unanswered: false,
            late_draw: Box::new(draws(1)),
            on_the_way: Vec::new(),
            slow_ms: 0.0,
            reads: BTreeMap::new(),
            answers: Vec::new(),
            lives: Vec::new(),
            hold_intake: BTreeSet::new(),
            asking: Vec::new(),
            cancel_at_end: 0,
            completed: BTreeSet::new(),
            cut_packer: None,
            packer_commits: 0,
            cut_creator: None,
            creator_commits: 0,
            cancelled_at: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            tickets: 0,
            cloud_down: false,
            releases_failed: 0,
            provision_requests: Vec::new(),
            provisioned: BTreeMap::new(),
            provisions_lost: Vec::new(),
            provisioning_ms: None,
            provisioned_run_ms: f64::INFINITY,
            booting: BTreeMap::new(),
            now: 0.0,
            trace: Vec::new(),
            broken: Vec::new(),
            services: BTreeSet::new(),
            most_cores: 0.0,
            checker: Checker::default(),
            requests: Requests::default(),
            setup: setup.clone(),
            starts: 0,
        };
        for i in 0..setup.zones.len() {
            let controller = world.new_node(i);
            world.controllers.push(Some(controller));
            world.lives.push(world.starts);
        }
        world.enforce_limits(setup.value_kb, setup.txn_ops);
        let mut number = 0;
        let small = setup.machines.iter().map(|m| ("m4", m));
        for (machine_type, (zone, count)) in small.chain(setup.large.iter().map(|m| ("m8", m))) {
            for _ in 0..*count {
                let name = format!("host-{number:06}");
                let controller = number % setup.zones.len();
                let mut worker = WorkerStandIn::new(&name, zone, controller, 10_000.0, 0.0);
                worker.machine_type = machine_type.into();
                world.workers.insert(name, worker);
                number += 1;
            }
        }
        world
    }

    fn enforce_limits(&mut self, value_kb: f64, txn_ops: usize) {
        self.state.limits = Some(ServiceLimits {
            value_bytes: (value_kb * 1024.0) as usize,
            txn_ops,
        });
    }

    /// A controller starts with a newer build from now on.
    pub fn upgrade(&mut self, i: usize) {
        self.setup.earlier.remove(&i);
    }

    /// Limits of the state service are announced to controllers that start from now on.
    pub fn announce_limits(&mut self, value_kb: f64, txn_ops: usize) {
        self.setup.next = Some((value_kb, txn_ops));
    }

    /// The announced limits of the state service come into force.
    pub fn lower_limits(&mut self) {
        if let Some((value_kb, txn_ops)) = self.setup.next {
            self.say("the state service lowers its limits");
            self.enforce_limits(value_kb, txn_ops);
        }
    }

    fn settings(&self, me: usize) -> Settings {
        let setup = &self.setup;
        let next = setup
            .next
            .map(|(kb, ops)| json!({ "value_kb": kb, "txn_ops": ops }));
        let zones: BTreeSet<&str> = setup
            .zones
            .iter()
            .copied()
            .chain(setup.machines.iter().map(|m| m.0))
            .collect();
        let mut teams = vec![json!({ "name": "team", "cpus": 0.0, "cpus_max": setup.limit })];
        let more = setup.teams.iter();
        teams.extend(more.map(|t| json!({ "name": t.0, "cpus": t.1, "cpus_max": t.2 })));
        let known: Vec<_> = (0..setup.zones.len())
            .filter(|&i| i != me)
            .map(|i| {
                json!({ "label": format!("node-{i}"), "domain": setup.zones[i],
                        "endpoint": format!("127.0.0.1:{}", 9000 + i) })
            })
            .collect();
        let text = json!({
            "label": format!("node-{me}"), "domain": setup.zones[me],
            "public_addr": "127.0.0.1:1", "peer_listen": "127.0.0.1:2", "known": known,
            "services": { "cloud": "127.0.0.1:3", "state": "127.0.0.1:4" },
            "cluster": {
                "zones": zones,
                "teams": teams,
                "workers": { "report_s": 2.0, "lease_s": 10.0, "cancel_s": 40.0 },
                "state": { "rps": setup.rps, "write_rps": setup.write_rps, "value_kb": setup.value_kb,
                           "txn_ops": setup.txn_ops, "next": next },
                "cloud": { "rps": 4.0, "list_lag_s": 6.0 },
                "limits": { "sockets": 1000 }
            }
        })
        .to_string();
        Settings::parse(text.as_bytes()).expect("the rehearsal's settings are good")
    }

    fn new_node(&mut self, i: usize) -> Controller {
        self.starts += 1;
        let mut tuning = self.setup.tuning.clone();
        if let Some(batch) = self.setup.history {
            (tuning.history, tuning.history_batch) = (true, batch);
        }
        let mut config = Config::new(&self.settings(i), tuning);
        if self.setup.earlier.contains(&i) {
            config.format = ADMISSION_LOG;
        }
        let mut controller = Controller::new(config, self.starts, self.now);
        controller.accounting = true;
        let zones: Vec<String> = self
            .setup
            .machines
            .iter()
            .map(|m| m.0.to_string())
            .collect();
        let mut machine_types = vec![small_machine_type(zones)];
        if !self.setup.large.is_empty() {
            let zones = self.setup.large.iter().map(|m| m.0.to_string());
            let mut large = small_machine_type(zones.collect());
            large.sku = "m8".into();
            (large.cores, large.ram_gb) = (8.0, 32.0);
            machine_types.push(large);
        }
        controller.machine_types(machine_types, self.now);
        controller
    }

    /// A controller ends.
    pub fn kill(&mut self, i: usize) {
        self.say(format!("node-{i} ends"));
        self.controllers[i] = None;
    }

    /// A controller starts again.
    pub fn start(&mut self, i: usize) {
        self.say(format!("node-{i} starts"));
        let controller = self.new_node(i);
        self.controllers[i] = Some(controller);
        self.lives[i] = self.starts;
        self.reads.remove(&i);
    }

    /// All controllers end and start again.
    pub fn restart_all(&mut self) {
        for i in 0..self.controllers.len() {
            self.kill(i);
            self.start(i);
        }
    }

    /// Writes a line into the trace.
    pub fn say(&mut self, text: impl AsRef<str>) {
        self.trace
            .push(format!("{:7.2} {}", self.now / 1000.0, text.as_ref()));
    }

    /// Operators' settings for controllers that start from now on.
    pub fn tuning(&mut self) -> &mut Tuning {
        &mut self.setup.tuning
    }

    /// Lets `seconds` pass.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds * 1000.0;
        while self.now + STEP <= end + 1e-6 {
            self.now += STEP;
            self.step();
        }
    }

    /// Lets time pass until `done` holds, at most `seconds`.
    pub fn run_until(&mut self, seconds: f64, done: impl Fn(&Self) -> bool) {
        let end = self.now + seconds * 1000.0;
        while !done(self) {
            assert!(
                self.now < end,
                "not within {seconds} s:\n{}",
                self.trace.join("\n")
            );
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        self.state.expire(now);
        self.carry_out();
        self.answer_late();
        self.boot();
        self.give_up_provisions();
        self.change_leaders();
        self.deliver_copies();
        for i in 0..self.controllers.len() {
            let Some(controller) = self.controllers[i]
                .as_mut()
                .filter(|_| !self.frozen.contains(&i))
            else {
                continue;
            };
            if !self.refused.contains(&i) {
                if !controller.mirror.loaded {
                    controller.mirror.begin_load();
                    controller.mirror.load_some(&self.state.pairs());
                    controller.loaded(self.state.store_revision(), now, now);
                } else if self.slow_ms == 0.0 {
                    controller.events(
                        &self.state.events(controller.mirror.store_revision),
                        now,
                        now,
                    );
                } else if !self.reads.contains_key(&i) {
                    let takes = slow(self.slow_ms, &mut self.late_draw);
                    let read = self.state.events(controller.mirror.store_revision);
                    self.reads.insert(i, (now + takes, now, read));
                }
                match controller.lease_id() {
                    Some(h) if self.state.renew_lease(h, now + TTL) => {}
                    _ => {
                        controller.state_lease_changed(Some(self.state.grant_lease(now + TTL)), now)
                    }
                }
            }
            controller.tick(now);
            let late = self.late.get(&i).copied().unwrap_or(0.0);
            controller.queue_passed(now - late, now);
            self.effects(i);
        }
        if ((now / STEP) as u64).is_multiple_of(10) {
            self.heartbeats();
        }
        let waiting = std::mem::take(&mut self.inbox);
        for (turn, sent_at, i, report) in waiting {
            if turn <= now {
                self.reported(i, &report, sent_at);
            } else {
                self.inbox.push((turn, sent_at, i, report));
            }
        }
        let (due, later) = std::mem::take(&mut self.copies)
            .into_iter()
            .partition(|copy| copy.0 <= now);
        self.copies = later;
        for (_, i, report) in due {
            // Its answer finds nobody waiting.
            self.reported(i, &report, f64::NAN);
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.worker_step(&name);
        }
        self.ask_again();
        if self.lists_ms.is_some_and(|ms| now >= self.listed_at + ms) {
            self.listed_at = now;
            self.list_machines();
        }
        self.send_odd_requests();
        self.serve_requests();
        self.check();
        for id in std::mem::take(&mut self.checker.ended) {
            if self.cancel_at_end > 0 && (self.late_draw)(100) < self.cancel_at_end {
                let i = (self.late_draw)(self.controllers.len() as u64) as usize;
                self.insist(i, &id, Question::Cancel);
            }
        }
    }

    /// A controller's zone.
    pub fn zone_of(&self, i: usize) -> &'static str {
        self.setup.zones[i]
    }

    /// Whether two zones reach each other.
    fn between(&self, a: &str, b: &str) -> bool {
        a == b || !(self.zones_cut.contains(a) || self.zones_cut.contains(b))
    }

    /// Whether controller `i` and a machine's zone reach each other.
    fn reaches(&self, i: usize, zone: &str) -> bool {
        self.between(self.setup.zones[i], zone)
    }

    /// Whether controllers hear each other.
    fn hear_each_other(&self, i: usize, k: usize) -> bool {
        let out = |j| self.frozen.contains(&j) || self.alone.contains(&j);
        !out(i) && !out(k) && self.reaches(i, self.setup.zones[k])
    }

    /// The leader ends, if it is time, and one that has ended is back half a second later.
    fn change_leaders(&mut self) {
        let Some(every) = self.leaders_end_ms else {
            return;
        };
        let leads = |n: &Controller| n.leadership_token().is_some();
        if self.now >= self.leader_ends_at
            && let Some(i) = (0..self.controllers.len())
                .find(|&i| self.controllers[i].as_ref().is_some_and(leads))
        {
            self.leader_ends_at = self.now + every;
            self.kill(i);
            self.back_at.push((self.now + 500.0, i));
        }
        let now = self.now;
        for (_, i) in self
            .back_at
            .extract_if(.., |b| b.0 <= now)
            .collect::<Vec<_>>()
        {
            if self.controllers[i].is_none() {
                self.start(i);
            }
        }
    }

    /// Copies of reports that were kept for the next leader come to every controller.
    fn deliver_copies(&mut self) {
        let leads = self.state.get("c/lead").map(|l| l.1);
        if leads.is_some() && leads != self.led {
            self.led = leads;
            self.copies_due = Some(self.now + self.copies_wait_ms);
        }
        if self.copies_due.is_none_or(|at| self.now < at) {
            return;
        }
        self.copies_due = None;
        for (name, report) in std::mem::take(&mut self.kept_copies) {
            self.say(format!("an old report of {name} comes to all"));
            for i in 0..self.controllers.len() {
                self.reported(i, &report, f64::NAN);
            }
        }
    }

    fn heartbeats(&mut self) {
        let now = self.now;
        for i in 0..self.controllers.len() {
            let Some(controller) = self.controllers[i]
                .as_mut()
                .filter(|_| !self.frozen.contains(&i))
            else {
                continue;
            };
            let heartbeat = controller.heartbeat_out(now);
            for k in 0..self.controllers.len() {
                if k != i && self.hear_each_other(i, k) {
                    if let Some(other) = &mut self.controllers[k] {
                        other.heartbeat_in(heartbeat.clone(), now);
                    }
                    self.effects(k);
                }
            }
        }
    }

    fn effects(&mut self, i: usize) {
        let now = self.now;
        for _ in 0..100 {
            let Some(controller) = &mut self.controllers[i] else {
                return;
            };
            let effects = controller.effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                match effect {
                    Effect::Commit(ticket, commit) => self.commit(i, ticket, &commit),
                    Effect::Push {
                        host,
                        addr,
                        request,
                    } => self.push(i, host, &addr, request),
                    Effect::QueryStatus { host, addr } => self.ask(i, host, &addr),
                    Effect::Release(hosts) if self.cloud_down => {
                        self.releases_failed += 1;
                        if let Some(n) = &mut self.controllers[i] {
                            n.released(&hosts, false, now);
                        }
                    }
                    Effect::Release(hosts) => {
                        for name in &hosts {
                            self.say(format!("node-{i} releases {name}"));
                            self.workers.remove(name);
                            self.booting.remove(name);
                        }
                        if let Some(n) = &mut self.controllers[i] {
                            n.released(&hosts, true, now);
                        }
                    }
                    Effect::Provision(request) => {
                        let hosts = self.provision(&request).ok_or(ProvisionError::Refused);
                        if self.provisions_unanswered {
                            let life = self.lives[i];
                            self.provisions_lost.push((now + 2500.0, i, life, request));
                        } else if let Some(n) = &mut self.controllers[i] {
                            n.provisioned(&request, hosts, now);
                        }
                    }
                    Effect::ReadLeaf(level, job) => {
                        let leaf = if self.refused.contains(&i) {
                            Err(())
                        } else {
                            Ok(self.state.leaf(level, job))
                        };
                        if let Some(n) = &mut self.controllers[i] {
                            n.leaf_read(leaf, now);
                        }
                    }
                    Effect::ReadChunk(number, chunk) => {
                        let read = if self.refused.contains(&i) {
                            Err(())
                        } else {
                            let key = chunk_key(number, chunk);
                            Ok(self
                                .state
                                .get(&key)
                                .map(|(v, _)| v.read().expect("a chunk")))
                        };
                        if let Some(n) = &mut self.controllers[i] {
                            n.chunk_read(number, chunk, read, now);
                        }
                    }
                    Effect::Answer(ticket, verdict) => {
                        self.verdicts.insert(ticket, verdict);
                    }
                    Effect::Refresh | Effect::Heartbeat => {}
                }
            }
        }
    }

    fn commit(&mut self, i: usize, ticket: Ticket, commit: &Commit) {
        let now = self.now;
        let cut = match ticket {
            Ticket::HistoryCompaction => {
                self.packer_commits += 1;
                self.cut_packer.filter(|c| c.0 == self.packer_commits)
            }
            Ticket::BulkCreation => {
                self.creator_commits += 1;
                self.cut_creator.filter(|c| c.0 == self.creator_commits)
            }
            _ => None,
        };
        if let Some((_, applied)) = cut {
            // The cut is before the transaction is applied, or after: its answer
            // never arrives.
            if applied {
                self.state.commit(commit);
            } else {
                self.held_commits.push(commit.clone());
            }
            self.kill(i);
            return;
        }
        let outcome = if self.refused.contains(&i) {
            Outcome::Refused
        } else if (self.hold_commits.contains(&i) && matches!(ticket, Ticket::OwnerCycle(_)))
            || (self.hold_lead && ticket == Ticket::LeaderCycle)
            || (self.hold_intake.contains(&i) && ticket == Ticket::Admission)
        {
            self.held_commits.push(commit.clone());
            Outcome::Unknown
        } else {
            self.late_commit(commit)
        };
        if matches!(ticket, Ticket::AcquireShard(_)) {
            let keys: Vec<&str> = commit.apply.iter().map(|a| a.key()).collect();
            self.say(format!("node-{i} claims {}: {outcome:?}", keys.join(" ")));
        }
        if self.slow_ms > 0.0 && outcome != Outcome::Refused {
            self.slow_answer(i, ticket, commit, outcome);
        } else if let Some(controller) = &mut self.controllers[i] {
            controller.committed(ticket, commit, outcome, now);
        }
    }

    /// Applies the transactions that were held back; says how they came out.
    pub fn deliver_commits(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.held_commits)
            .iter()
            .map(|c| self.state.commit(c))
            .collect()
    }
}
