//! Stand-ins of the workers and the cloud, and the check of the rules that can be seen on machines.

use crate::http::{self, Reply, Request, serve};
use crate::json::Json;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two steps of all machines.
const STEP: Duration = Duration::from_millis(20);
/// Time that a worker waits for the response to a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(4);
/// Tolerance of sums of cores.
const ROUNDING: f64 = 1e-6;

/// A machine type.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: String,
    pub cores: f64,
    pub ram_gb: f64,
    pub accelerators: f64,
    pub fetch_gb_per_s: f64,
    pub ready_s: f64,
    pub zones: Vec<String>,
}

/// Timing of the workers and limits of the cloud, as in the settings.
#[derive(Clone, Debug)]
pub struct Timing {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
}

/// A job as its user uploaded it, and what its user has been told.
#[derive(Clone, Debug)]
pub struct Job {
    pub spec: Json,
    /// Run time of a task; none for a service.
    pub run_s: Option<f64>,
    pub accepted: Option<Instant>,
    /// Time at which the user first asked to cancel the job.
    pub cancel_asked: Option<Instant>,
    pub told_cancelled: Option<Instant>,
    pub told_done: Option<Instant>,
    pub completed: BTreeSet<u64>,
}

impl Job {
    pub fn pieces(&self) -> u64 {
        self.spec.get("pieces").as_u64()
    }

    fn amount(&self, name: &str) -> f64 {
        self.spec.get(name).as_f64()
    }

    /// Returns the priority, 0 being the lowest.
    fn rank(&self) -> usize {
        let ranks = ["best_effort", "standard", "high", "critical"];
        let rank = self.spec.get("rank").as_str();
        ranks.iter().position(|known| *known == rank).unwrap_or(0)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    Fetching,
    Running,
    Saving,
    Ended,
}

#[derive(Clone, Debug)]
struct Task {
    piece: String,
    attempt: u64,
    status: Status,
    cause: &'static str,
    kept: bool,
    /// Time until the task completes or has saved; infinite for a service.
    left_s: f64,
    /// Time at which the task completed.
    completed: Option<Instant>,
    /// Whether the task fails when its time is over.
    fails: bool,
}

impl Task {
    fn is_on_machine(&self) -> bool {
        matches!(self.status, Status::Running | Status::Saving)
    }

    fn report(&self) -> Json {
        let status = match self.status {
            Status::Fetching => "fetching",
            Status::Running => "running",
            Status::Saving => "saving",
            Status::Ended => "ended",
        };
        let mut report = Json::object([
            ("piece", Json::text(&self.piece)),
            ("try", Json::number(self.attempt)),
            ("status", Json::text(status)),
        ]);
        if self.status == Status::Ended {
            report.set("cause", Json::text(self.cause));
        }
        if self.kept {
            report.set("kept", Json::Bool(true));
        }
        report
    }
}

pub struct Machine {
    pub name: String,
    pub zone: String,
    pub kind: usize,
    pub spot: bool,
    addr: SocketAddr,
    created: Instant,
    up: Option<Instant>,
    gone: Option<Instant>,
    /// Number of times that the worker has begun anew.
    boots: u64,
    tenure: u64,
    tick: u64,
    baton: u64,
    tasks: Vec<Task>,
    images: HashSet<String>,
    /// Time at which the last answered report was sent or, if there is none, the session began.
    renewed: Instant,
    is_changed: bool,
}

impl Machine {
    fn is_alive(&self) -> bool {
        self.up.is_some() && self.gone.is_none()
    }

    fn report(&mut self, kinds: &[Kind]) -> String {
        self.tick += 1;
        let pieces = self.tasks.iter().map(Task::report).collect();
        Json::object([
            ("host", Json::text(&self.name)),
            ("addr", Json::text(self.addr.to_string())),
            ("host_kind", Json::text(&kinds[self.kind].name)),
            ("yard", Json::text(&self.zone)),
            ("borrowed", Json::Bool(self.spot)),
            ("tenure", Json::number(self.tenure)),
            ("tick", Json::number(self.tick)),
            ("baton", Json::number(self.baton)),
            ("recall_s", Json::Null),
            ("pieces", Json::Array(pieces)),
        ])
        .to_string()
    }
}

/// A team's guaranteed cores, and its largest numbers of cores and accelerators, which are infinite
/// without a limit.
#[derive(Clone, Copy, Debug)]
pub struct Team {
    pub guarantee: f64,
    pub limit: f64,
    pub accelerators: f64,
}

pub type Teams = BTreeMap<String, Team>;

/// Everything that the machines and the check of the rules share.
pub struct Yard {
    inner: Mutex<Inner>,
    pub timing: Timing,
    kinds: Vec<Kind>,
    teams: Teams,
    /// Public addresses of the controllers, and their names.
    nodes: Vec<(String, SocketAddr)>,
    pub log: Log,
}

pub struct Inner {
    pub machines: BTreeMap<String, Machine>,
    pub jobs: BTreeMap<String, Job>,
    /// Machines that can still be rented, by zone.
    pub capacity: BTreeMap<String, usize>,
    hired: BTreeMap<String, Vec<String>>,
    next_machine: u64,
    broken: Vec<String>,
    /// Time after which a piece's first attempt fails.
    pub first_fails_after_s: BTreeMap<String, f64>,
    /// The bodies of direct commands, with the machine that carried them out.
    pub direct_commands: Vec<(String, String)>,
    /// Number of times that each piece was stopped by command while it was on a machine.
    pub stops: BTreeMap<String, u32>,
    /// Stops of work that is within its team's guarantee, for work of equal or lower priority.
    pub unjust_stops: Vec<String>,
    cancelled_reported: HashSet<String>,
}

/// The record of a run.
#[derive(Clone)]
pub struct Log {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Log {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.seconds(), text.as_ref());
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
    }

    pub fn text(&self) -> String {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.join("\n") + "\n"
    }
}

impl Yard {
    pub fn start(
        timing: Timing,
        kinds: Vec<Kind>,
        teams: Teams,
        nodes: Vec<(String, SocketAddr)>,
        log: Log,
    ) -> Arc<Self> {
        let yard = Arc::new(Self {
            inner: Mutex::new(Inner {
                machines: BTreeMap::new(),
                jobs: BTreeMap::new(),
                capacity: BTreeMap::new(),
                hired: BTreeMap::new(),
                next_machine: 1,
                broken: Vec::new(),
                first_fails_after_s: BTreeMap::new(),
                direct_commands: Vec::new(),
                stops: BTreeMap::new(),
                unjust_stops: Vec::new(),
                cancelled_reported: HashSet::new(),
            }),
            timing,
            kinds,
            teams,
            nodes,
            log,
        });
        let stepping = yard.clone();
        thread::spawn(move || stepping.run_machines());
        yard
    }

    pub fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a rule was broken.
    pub fn break_rule(&self, inner: &mut Inner, text: String) {
        self.log.line(format!("BROKEN {text}"));
        inner.broken.push(text);
    }

    pub fn broken(&self) -> Vec<String> {
        self.lock().broken.clone()
    }

    /// Adds a machine that is up after `boot`.
    pub fn add_machine(
        self: &Arc<Self>,
        zone: &str,
        kind: usize,
        spot: bool,
        boot: Duration,
    ) -> std::io::Result<String> {
        let name = {
            let mut inner = self.lock();
            inner.next_machine += 1;
            format!("host-{:06}", inner.next_machine)
        };
        let (yard, machine) = (self.clone(), name.clone());
        let addr = serve(Arc::new(move |request| {
            yard.handle_direct(&machine, &request)
        }))?;
        let now = Instant::now();
        let added = Machine {
            name: name.clone(),
            zone: zone.into(),
            kind,
            spot,
            addr,
            created: now,
            up: None,
            gone: None,
            boots: 0,
            tenure: 1,
            tick: 0,
            baton: 0,
            tasks: Vec::new(),
            images: HashSet::new(),
            renewed: now,
            is_changed: false,
        };
        self.lock().machines.insert(name.clone(), added);
        let (yard, machine) = (self.clone(), name.clone());
        thread::spawn(move || {
            thread::sleep(boot);
            yard.run_reports(&machine);
        });
        Ok(name)
    }

    /// Lets a machine begin anew, at once: its tasks end, its images stay, and its worker knows of no
    /// token and is in its first session.
    pub fn restart_machine(&self, name: &str) {
        let mut inner = self.lock();
        if let Some(machine) = inner.machines.get_mut(name) {
            machine.boots += 1;
            (machine.tenure, machine.tick, machine.baton) = (1, 0, 0);
            machine.tasks.clear();
            machine.renewed = Instant::now();
            machine.is_changed = true;
            self.log.line(format!("{name} begins anew"));
        }
    }

    /// Delivers once more a direct command that a machine has carried out and answered. Returns its
    /// status.
    pub fn deliver_again(&self, name: &str, body: &str) -> u16 {
        let addr = self.lock().machines[name].addr;
        let answer = http::call(addr, "POST", "/do", body, REPORT_TIMEOUT);
        let status = answer.map_or(0, |answer| answer.status);
        self.log.line(format!(
            "{name} gets once more, and answers {status}: {body}"
        ));
        status
    }

    /// Stops a machine with all that is on it.
    pub fn end_machine(&self, name: &str) {
        let mut inner = self.lock();
        if let Some(machine) = inner.machines.get_mut(name)
            && machine.gone.is_none()
        {
            machine.gone = Some(Instant::now());
            machine.tasks.clear();
            self.log.line(format!("{name} is gone"));
        }
    }

    /// Returns the pieces of a job on machines, with the machines' names and zones.
    pub fn on_machines(&self, job: &str) -> Vec<(String, String, String)> {
        let inner = self.lock();
        let mut found = Vec::new();
        for machine in inner.machines.values() {
            for task in machine.tasks.iter().filter(|task| task.is_on_machine()) {
                if job_of(&task.piece) == job {
                    found.push((
                        task.piece.clone(),
                        machine.name.clone(),
                        machine.zone.clone(),
                    ));
                }
            }
        }
        found
    }

    /// Returns the free cores of each machine that is up, with its zone.
    pub fn free_cores(&self) -> Vec<(String, String, f64)> {
        let inner = self.lock();
        let machines = inner.machines.values();
        let usable = machines.filter(|m| m.is_alive());
        usable
            .map(|m| {
                let free = self.kinds[m.kind].cores - used(&inner.jobs, m).0;
                (m.name.clone(), m.zone.clone(), free)
            })
            .collect()
    }

    // Workers.

    /// Sends a worker's reports until its machine is gone.
    fn run_reports(self: &Arc<Self>, name: &str) {
        {
            let mut inner = self.lock();
            let Some(machine) = inner.machines.get_mut(name) else {
                return;
            };
            machine.up = Some(Instant::now());
            machine.renewed = Instant::now();
        }
        self.log.line(format!("{name} is up"));
        let mut node = name.bytes().last().unwrap_or(0) as usize % self.nodes.len();
        let mut random = name.bytes().map(u64::from).sum::<u64>();
        let mut last_sent = Instant::now();
        let mut interval = Duration::ZERO;
        loop {
            thread::sleep(STEP);
            let (report, life, sent) = {
                let mut inner = self.lock();
                let Some(machine) = inner.machines.get_mut(name) else {
                    return;
                };
                if !machine.is_alive() {
                    return;
                }
                let passed = last_sent.elapsed();
                let is_due = passed >= interval
                    || (machine.is_changed && passed >= Duration::from_millis(500));
                if !is_due {
                    continue;
                }
                machine.is_changed = false;
                let sent = Instant::now();
                let life = (machine.boots, machine.tenure);
                (machine.report(&self.kinds), life, sent)
            };
            last_sent = sent;
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1);
            let share = 0.75 + (random >> 40) as f64 / (1u64 << 24) as f64 * 0.5;
            interval = Duration::from_secs_f64(self.timing.report_s * share);
            let answer = http::call(
                self.nodes[node].1,
                "POST",
                "/hello",
                &report,
                REPORT_TIMEOUT,
            );
            let is_late = sent.elapsed() > REPORT_TIMEOUT;
            let answer = answer.filter(|_| !is_late);
            match answer.map(|answer| {
                (
                    answer.status,
                    Json::parse(&answer.body).unwrap_or(Json::Null),
                )
            }) {
                Some((200, body)) => self.handle_answer(name, life, sent, &body),
                Some((421, body)) => {
                    let foreman = body.get("foreman").as_str();
                    let named = self.nodes.iter().position(|known| known.0 == foreman);
                    if let Some(named) = named.filter(|&named| named != node) {
                        node = named;
                    } else {
                        node = (node + 1) % self.nodes.len();
                        thread::sleep(Duration::from_secs(1));
                    }
                    interval = Duration::ZERO;
                }
                _ => {
                    node = (node + 1) % self.nodes.len();
                    thread::sleep(Duration::from_secs(1));
                    interval = Duration::ZERO;
                }
            }
        }
    }

    fn handle_answer(&self, name: &str, life: (u64, u64), sent: Instant, body: &Json) {
        let mut inner = self.lock();
        self.expire_lease(&mut inner, name);
        let Some(machine) = inner.machines.get_mut(name) else {
            return;
        };
        let baton = body.get("baton");
        if !machine.is_alive()
            || (machine.boots, machine.tenure) != life
            || *baton == Json::Null
            || baton.as_u64() < machine.baton
        {
            return;
        }
        machine.is_changed |= baton.as_u64() > machine.baton;
        machine.baton = baton.as_u64();
        machine.renewed = machine.renewed.max(sent);
        for order in body.get("orders").items() {
            self.execute(&mut inner, name, order);
        }
    }

    /// Handles a request that a controller sends straight to a worker.
    fn handle_direct(self: &Arc<Self>, name: &str, request: &Request) -> Reply {
        if !self
            .lock()
            .machines
            .get(name)
            .is_some_and(Machine::is_alive)
        {
            return Reply::Close;
        }
        let mut inner = self.lock();
        self.expire_lease(&mut inner, name);
        let is_do = request.path == "/do";
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let Some(machine) = inner.machines.get_mut(name) else {
            return Reply::Close;
        };
        if is_do {
            if *body.get("baton") == Json::Null || *body.get("tenure") == Json::Null {
                return Reply::Answer(400, "{}".into());
            }
            let baton = body.get("baton").as_u64();
            if baton < machine.baton || body.get("tenure").as_u64() != machine.tenure {
                return Reply::Answer(409, machine.report(&self.kinds));
            }
            machine.is_changed |= baton > machine.baton;
            machine.baton = baton;
            for order in body.get("orders").items() {
                self.execute(&mut inner, name, order);
            }
            inner
                .direct_commands
                .push((name.into(), request.body.clone()));
        }
        match inner.machines.get_mut(name) {
            Some(machine) => Reply::Answer(200, machine.report(&self.kinds)),
            None => Reply::Close,
        }
    }

    fn execute(&self, inner: &mut Inner, name: &str, order: &Json) {
        let piece = order.get("piece").as_str().to_string();
        let attempt = order.get("try").as_u64();
        let verb = order.get("verb").as_str();
        self.log
            .line(format!("{name} {verb} {piece} try {attempt}"));
        let Some(machine) = inner.machines.get_mut(name) else {
            return;
        };
        machine.is_changed = true;
        let is_same = |task: &Task| task.piece == piece && task.attempt == attempt;
        match verb {
            "start" => {
                if !machine.tasks.iter().any(is_same) {
                    self.begin(inner, name, piece, attempt);
                }
            }
            "kill" => {
                let is_live = |task: &Task| is_same(task) && task.status != Status::Ended;
                if machine.tasks.iter().any(is_live) {
                    self.note_stop(inner, name, &piece);
                }
                let Some(machine) = inner.machines.get_mut(name) else {
                    return;
                };
                let grace_s = order.get("wind_down_s").as_f64();
                let jobs = &inner.jobs;
                for task in machine.tasks.iter_mut().filter(|task| is_same(task)) {
                    let job = jobs.get(job_of(&task.piece));
                    let every_s = job.map_or(0.0, |job| job.amount("snapshot_every_s"));
                    let cost_s = job.map_or(0.0, |job| job.amount("snapshot_cost_s"));
                    if task.status == Status::Running && every_s > 0.0 && grace_s >= cost_s {
                        (task.status, task.left_s) = (Status::Saving, cost_s);
                    } else if task.status != Status::Ended
                        && (task.status != Status::Saving || grace_s == 0.0)
                    {
                        (task.status, task.cause) = (Status::Ended, "halted");
                    }
                }
            }
            "clear" => machine
                .tasks
                .retain(|task| !(is_same(task) && task.status == Status::Ended)),
            _ => {}
        }
    }

    /// Records that a command is about to stop a piece, and whether that breaks the rule on
    /// preemption: its team uses less than its guarantee (by two pieces or more, which allows for
    /// stops that are under way), no unfinished job has a higher priority, and its user has not
    /// asked to cancel its job. Pieces that completed within the last 3 s count as in use, as the
    /// controllers may not know of it yet.
    fn note_stop(&self, inner: &mut Inner, name: &str, piece: &str) {
        *inner.stops.entry(piece.into()).or_default() += 1;
        let Some(job) = inner.jobs.get(job_of(piece)) else {
            return;
        };
        let team = job.spec.get("owner").as_str();
        let mut used = 0.0;
        for machine in inner.machines.values().filter(|m| m.gone.is_none()) {
            for task in &machine.tasks {
                let is_used = task.status != Status::Ended
                    || task
                        .completed
                        .is_some_and(|at| at.elapsed().as_secs_f64() < 3.0);
                let other = inner.jobs.get(job_of(&task.piece));
                let other = other.filter(|other| other.spec.get("owner").as_str() == team);
                if let Some(other) = other.filter(|_| is_used) {
                    used += other.amount("cores");
                }
            }
        }
        let is_unfinished =
            |job: &&Job| job.cancel_asked.is_none() && (job.completed.len() as u64) < job.pieces();
        let highest = inner
            .jobs
            .values()
            .filter(is_unfinished)
            .map(Job::rank)
            .max();
        let guarantee = self.teams.get(team).map_or(0.0, |team| team.guarantee);
        let text = format!(
            "{piece} on {name} is stopped while {team} uses {used} cores of {guarantee} guaranteed"
        );
        self.log.line(&text);
        if job.cancel_asked.is_none()
            && highest <= Some(job.rank())
            && used <= guarantee - 2.0 * job.amount("cores")
        {
            inner.unjust_stops.push(text);
        }
    }

    fn begin(&self, inner: &mut Inner, name: &str, piece: String, attempt: u64) {
        let Some(machine) = inner.machines.get_mut(name) else {
            return;
        };
        let job = inner.jobs.get(job_of(&piece));
        let kind = &self.kinds[machine.kind];
        let fits = |job: &Job| {
            let (cores, ram_gb, accelerators) = used(&inner.jobs, machine);
            cores + job.amount("cores") <= kind.cores + ROUNDING
                && ram_gb + job.amount("ram_gb") <= kind.ram_gb + ROUNDING
                && accelerators + job.amount("accelerators") <= kind.accelerators + ROUNDING
        };
        let is_busy = machine
            .tasks
            .iter()
            .any(|task| task.piece == piece && task.status != Status::Ended);
        let refusal = match job {
            Some(job) if number_of(&piece) < job.pieces() => match (is_busy, fits(job)) {
                (true, _) => "busy",
                (false, false) => "no_room",
                (false, true) => "",
            },
            _ => "no_such",
        };
        let mut task = Task {
            piece,
            attempt,
            status: Status::Fetching,
            cause: refusal,
            kept: false,
            left_s: 0.0,
            completed: None,
            fails: false,
        };
        if !refusal.is_empty() {
            task.status = Status::Ended;
        } else if let Some(job) = job
            && !machine.images.contains(job.spec.get("bundle").as_str())
        {
            task.left_s = job.amount("image_gb") / kind.fetch_gb_per_s;
        }
        machine.tasks.push(task);
    }

    /// Lets the tasks of all machines go on, and ends leases.
    fn run_machines(self: &Arc<Self>) {
        let mut last = Instant::now();
        loop {
            thread::sleep(STEP);
            let passed_s = last.elapsed().as_secs_f64();
            last = Instant::now();
            let mut inner = self.lock();
            let names: Vec<String> = inner.machines.keys().cloned().collect();
            for name in names {
                self.step_machine(&mut inner, &name, passed_s);
            }
            self.check_cancelled(&mut inner);
        }
    }

    /// Ends the session of a worker whose lease has run out.
    fn expire_lease(&self, inner: &mut Inner, name: &str) {
        let Some(machine) = inner.machines.get_mut(name) else {
            return;
        };
        if machine.is_alive() && machine.renewed.elapsed().as_secs_f64() > self.timing.lease_s {
            machine.tenure += 1;
            machine.tasks.clear();
            machine.renewed = Instant::now();
            machine.is_changed = true;
            self.log
                .line(format!("{name} begins session {}", machine.tenure));
        }
    }

    fn step_machine(&self, inner: &mut Inner, name: &str, passed_s: f64) {
        let Some(machine) = inner.machines.get_mut(name) else {
            return;
        };
        if !machine.is_alive() {
            return;
        }
        self.expire_lease(inner, name);
        let Some(machine) = inner.machines.get_mut(name) else {
            return;
        };
        let (mut started, mut completed) = (Vec::new(), Vec::new());
        for task in &mut machine.tasks {
            if task.status == Status::Ended {
                continue;
            }
            task.left_s -= passed_s;
            let job = inner.jobs.get(job_of(&task.piece));
            if task.left_s > 0.0 {
                continue;
            }
            machine.is_changed = true;
            match task.status {
                Status::Fetching => {
                    let is_known =
                        job.is_some_and(|job| job.completed.contains(&number_of(&task.piece)));
                    let run_s = job.and_then(|job| job.run_s).unwrap_or(f64::INFINITY);
                    task.status = Status::Running;
                    task.left_s = if is_known { 0.0 } else { run_s };
                    if let Some(fails_after_s) = inner.first_fails_after_s.remove(&task.piece) {
                        (task.fails, task.left_s) = (true, fails_after_s);
                    }
                    machine
                        .images
                        .extend(job.map(|job| job.spec.get("bundle").as_str().to_string()));
                    started.push(task.piece.clone());
                }
                Status::Running if task.fails => {
                    (task.status, task.cause) = (Status::Ended, "error");
                    self.log.line(format!("{name}: {} fails", task.piece));
                }
                Status::Running => {
                    (task.status, task.cause) = (Status::Ended, "done");
                    task.completed = Some(Instant::now());
                    completed.push(task.piece.clone());
                }
                Status::Saving => {
                    (task.status, task.cause, task.kept) = (Status::Ended, "halted", true);
                }
                Status::Ended => {}
            }
        }
        for piece in started {
            self.log.line(format!("{name} runs {piece}"));
            self.check_start(inner, name, &piece);
        }
        for piece in completed {
            self.log.line(format!("{name} has completed {piece}"));
            if let Some(job) = inner.jobs.get_mut(job_of(&piece)) {
                job.completed.insert(number_of(&piece));
            }
        }
    }

    // The check of the rules.

    fn check_start(&self, inner: &mut Inner, name: &str, piece: &str) {
        let mut broken = Vec::new();
        let id = job_of(piece);
        let (Some(machine), Some(job)) = (inner.machines.get(name), inner.jobs.get(id)) else {
            return;
        };
        let others = || {
            let machines = inner.machines.values().filter(|m| m.gone.is_none());
            machines.flat_map(|m| {
                m.tasks
                    .iter()
                    .filter(|t| t.is_on_machine())
                    .map(move |t| (m, t))
            })
        };
        for (other, _) in others().filter(|(m, t)| m.name != name && t.piece == piece) {
            broken.push(format!(
                "ran_twice: {piece} starts on {name} and is on {}",
                other.name
            ));
        }
        let team = job.spec.get("owner").as_str();
        let of_team = others().filter_map(|(_, task)| inner.jobs.get(job_of(&task.piece)));
        let of_team = of_team.filter(|other| other.spec.get("owner").as_str() == team);
        let (mut cores, mut accelerators) = (0.0, 0.0);
        for other in of_team {
            cores += other.amount("cores");
            accelerators += other.amount("accelerators");
        }
        let most = self
            .teams
            .get(team)
            .map_or(f64::INFINITY, |team| team.accelerators);
        if accelerators > most + ROUNDING {
            broken.push(format!(
                "quota: {team} uses {accelerators} accelerators of {most}"
            ));
        }
        let limit = self
            .teams
            .get(team)
            .map_or(f64::INFINITY, |team| team.limit);
        if cores > limit + ROUNDING {
            broken.push(format!("quota: {team} uses {cores} of {limit}"));
        }
        let kind = &self.kinds[machine.kind].name;
        let kinds = job.spec.get("kinds_of_host");
        let zone = job.spec.get("yard");
        if (*kinds != Json::Null && !kinds.items().contains(&Json::text(kind)))
            || (*zone != Json::Null && zone.as_str() != machine.zone)
            || (machine.spot && !job.spec.get("borrowed").as_bool())
        {
            broken.push(format!(
                "wrong_place: {piece} on {name} ({kind}, {})",
                machine.zone
            ));
        }
        let zones: Vec<&str> = others()
            .filter(|(_, task)| job_of(&task.piece) == id)
            .map(|(m, _)| m.zone.as_str())
            .collect();
        let in_zone = zones.iter().filter(|zone| **zone == machine.zone).count() as u64;
        if job.spec.get("together").as_bool() && in_zone < zones.len() as u64 {
            broken.push(format!(
                "wrong_place: {piece} in {} apart from others",
                machine.zone
            ));
        }
        if job.spec.get("apart").as_bool() && in_zone > job.pieces().div_ceil(2) {
            broken.push(format!(
                "wrong_place: {in_zone} of {id} in {}",
                machine.zone
            ));
        }
        if job
            .told_cancelled
            .is_some_and(|at| at.elapsed().as_secs_f64() > self.timing.cancel_s)
        {
            broken.push(format!("ran_cancelled: {piece} starts on {name}"));
        }
        for text in broken {
            self.break_rule(inner, text);
        }
    }

    fn check_cancelled(&self, inner: &mut Inner) {
        let mut broken = Vec::new();
        for machine in inner.machines.values().filter(|m| m.gone.is_none()) {
            for task in machine.tasks.iter().filter(|task| task.is_on_machine()) {
                let job = inner.jobs.get(job_of(&task.piece));
                let told = job.and_then(|job| job.told_cancelled);
                if told.is_some_and(|at| at.elapsed().as_secs_f64() > self.timing.cancel_s)
                    && !inner.cancelled_reported.contains(&task.piece)
                {
                    broken.push((task.piece.clone(), machine.name.clone()));
                }
            }
        }
        for (piece, name) in broken {
            inner.cancelled_reported.insert(piece.clone());
            self.break_rule(inner, format!("ran_cancelled: {piece} is on {name}"));
        }
    }

    // The cloud.

    pub fn handle_cloud(self: &Arc<Self>, request: &Request) -> Reply {
        thread::sleep(Duration::from_millis(120));
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/machine_types") => {
                let kinds = self.kinds.iter().map(|kind| {
                    let zones = kind.zones.iter().map(Json::text).collect();
                    Json::object([
                        ("sku", Json::text(&kind.name)),
                        ("cores", Json::number(kind.cores)),
                        ("accelerators", Json::number(kind.accelerators)),
                        ("ram_gb", Json::number(kind.ram_gb)),
                        ("cache_gb", Json::number(40.0)),
                        ("fetch_gb_per_s", Json::number(kind.fetch_gb_per_s)),
                        ("price", Json::number(0.16)),
                        ("low_price", Json::number(0.07)),
                        ("ready_s", Json::number(kind.ready_s)),
                        ("yards", Json::Array(zones)),
                    ])
                });
                let body = Json::object([("kinds_of_host", Json::Array(kinds.collect()))]);
                Reply::Answer(200, body.to_string())
            }
            ("GET", "/machines") => self.list(request),
            ("POST", "/machines") => self.hire(&body),
            ("POST", "/machines/release") => {
                for name in body.get("hosts").items() {
                    self.log.line(format!("{} is released", name.as_str()));
                    self.end_machine(name.as_str());
                }
                Reply::Answer(200, "{}".into())
            }
            _ => Reply::Answer(400, "{}".into()),
        }
    }

    fn list(&self, request: &Request) -> Reply {
        let lag = Duration::from_secs_f64(self.timing.list_lag_s);
        let since = request.parameter("since");
        let page = request
            .parameter("page")
            .parse()
            .unwrap_or(500usize)
            .min(500);
        let inner = self.lock();
        // The machines of the beginning are listed from the beginning.
        let as_of = Instant::now().checked_sub(lag).unwrap_or(self.log.started);
        let as_of = as_of.max(self.log.started + Duration::from_millis(500));
        let is_listed = |m: &&Machine| m.created <= as_of && m.gone.is_none_or(|at| at > as_of);
        let all = inner.machines.values().filter(is_listed);
        let mut hosts: Vec<Json> = all
            .filter(|m| m.name.as_str() > since)
            .map(|m| {
                let status = if m.up.is_some_and(|at| at <= as_of) {
                    "running"
                } else {
                    "starting"
                };
                let held_s = as_of.saturating_duration_since(m.created).as_secs_f64();
                Json::object([
                    ("id", Json::text(&m.name)),
                    ("addr", Json::text(m.addr.to_string())),
                    ("host_kind", Json::text(&self.kinds[m.kind].name)),
                    ("yard", Json::text(&m.zone)),
                    ("borrowed", Json::Bool(m.spot)),
                    ("status", Json::text(status)),
                    ("held_s", Json::number(held_s)),
                ])
            })
            .collect();
        let truncated = hosts.len() > page;
        hosts.truncate(page);
        let body = Json::object([
            ("hosts", Json::Array(hosts)),
            ("truncated", Json::Bool(truncated)),
        ]);
        Reply::Answer(200, body.to_string())
    }

    fn hire(self: &Arc<Self>, body: &Json) -> Reply {
        let (hire, zone) = (body.get("hire").as_str(), body.get("yard").as_str());
        let kind = self
            .kinds
            .iter()
            .position(|kind| kind.name == body.get("host_kind").as_str());
        let Some(kind) = kind else {
            return Reply::Answer(400, "{}".into());
        };
        let mut names = self.lock().hired.get(hire).cloned().unwrap_or_default();
        if names.is_empty() {
            let count = {
                let mut inner = self.lock();
                let left = inner.capacity.entry(zone.into()).or_default();
                let count = (body.get("number").as_u64() as usize).min(*left).min(50);
                *left -= count;
                count
            };
            if count == 0 {
                return Reply::Answer(503, r#"{"error":"no capacity"}"#.into());
            }
            let boot = Duration::from_secs_f64(self.kinds[kind].ready_s);
            for _ in 0..count {
                names.extend(
                    self.add_machine(zone, kind, body.get("borrowed").as_bool(), boot)
                        .ok(),
                );
            }
            self.log
                .line(format!("hired {names:?} in {zone} by {hire}"));
            self.lock().hired.insert(hire.into(), names.clone());
        }
        let hosts = names.into_iter().map(Json::text).collect();
        Reply::Answer(
            200,
            Json::object([("hosts", Json::Array(hosts))]).to_string(),
        )
    }
}

/// Returns the cores, memory and accelerators that a machine's tasks take.
fn used(jobs: &BTreeMap<String, Job>, machine: &Machine) -> (f64, f64, f64) {
    let mut used = (0.0, 0.0, 0.0);
    for task in machine
        .tasks
        .iter()
        .filter(|task| task.status != Status::Ended)
    {
        if let Some(job) = jobs.get(job_of(&task.piece)) {
            used.0 += job.amount("cores");
            used.1 += job.amount("ram_gb");
            used.2 += job.amount("accelerators");
        }
    }
    used
}

pub fn job_of(piece: &str) -> &str {
    piece.split_once('/').map_or(piece, |parts| parts.0)
}

fn number_of(piece: &str) -> u64 {
    let number = piece.split_once('/').map(|parts| parts.1);
    number
        .and_then(|text| text.parse().ok())
        .unwrap_or(u64::MAX)
}
