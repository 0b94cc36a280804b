//! A small deployment: the project's controllers as processes, the stand-ins around them, and users.

use crate::http::{self, Answer, serve};
use crate::json::Json;
use crate::state::{Limits, State};
use crate::yard::{Job, Kind, Log, Team, Teams, Timing, Yard};
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a user waits for a response to a submission or a cancellation, and to a poll.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a user retries.
const RETRIES: Duration = Duration::from_secs(60);
/// Time that the deployment may take until all controllers are ready.
const READY: Duration = Duration::from_secs(15);

/// What a deployment looks like.
pub struct Setup {
    /// Zone of each controller.
    pub controllers: Vec<&'static str>,
    pub zones: Vec<&'static str>,
    /// Name, guaranteed cores and largest number of cores of each team; 0: no limit.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// Largest number of accelerators of each team; 0: no limit.
    pub accelerators_max: f64,
    pub timing: Timing,
    pub limits: Limits,
    pub kinds: Vec<Kind>,
    /// Zone, index of the machine type, and whether it is a spot machine, of each machine.
    pub machines: Vec<(&'static str, usize, bool)>,
}

impl Setup {
    /// Returns a deployment with the figures of the batch desk: 3 controllers, `qanat-4` machines.
    pub fn batch_desk() -> Self {
        let zones = vec!["lahore-east", "lahore-west", "karachi-dc", "islamabad-dr"];
        Self {
            controllers: zones[..3].to_vec(),
            teams: vec![("servicing", 40.0, 128.0), ("member-care", 64.0, 184.0)],
            accelerators_max: 0.0,
            timing: Timing {
                report_s: 2.0,
                lease_s: 10.0,
                cancel_s: 40.0,
                list_lag_s: 6.0,
            },
            limits: Limits {
                rps: 80.0,
                write_rps: 20.0,
                value_kb: 16.0,
                txn_ops: 16,
            },
            kinds: vec![Kind {
                name: "qanat-4".into(),
                cores: 4.0,
                ram_gb: 16.0,
                accelerators: 0.0,
                fetch_gb_per_s: 0.15,
                ready_s: 25.0,
                zones: zones.iter().map(|zone| zone.to_string()).collect(),
            }],
            machines: Vec::new(),
            zones,
        }
    }
}

struct Controller {
    name: String,
    public: SocketAddr,
    config: PathBuf,
    child: Mutex<Option<Child>>,
}

/// The deployment.
pub struct Cluster {
    controllers: Vec<Controller>,
    pub yard: Arc<Yard>,
    pub log: Log,
    folder: PathBuf,
    program: Vec<String>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for controller in 0..self.controllers.len() {
            self.kill(controller);
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a free address below the ports that systems give to outgoing connections: a controller
/// that is down for some seconds must find its address free again.
fn free_address(next_port: &mut u16) -> io::Result<SocketAddr> {
    loop {
        *next_port = 10_000 + (*next_port + 1) % 20_000;
        match TcpListener::bind(("127.0.0.1", *next_port)) {
            Ok(listener) => return listener.local_addr(),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
}

/// Returns the program and the arguments of `run` in the deploy file.
fn deploy_command() -> io::Result<Vec<String>> {
    let text = fs::read_to_string("deploy/service.toml")?;
    let run = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let run = run.and_then(|rest| rest.split('"').next()).unwrap_or("");
    Ok(run.split_whitespace().map(str::to_string).collect())
}

impl Cluster {
    /// Starts a deployment and waits until all controllers are ready.
    pub fn start(setup: &Setup, log: &Log) -> io::Result<Self> {
        let program = deploy_command()?;
        let count = setup.controllers.len();
        let folder = std::env::temp_dir().join(format!("cherryyard-review-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let state = State::start(setup.limits)?;
        let names: Vec<String> = (0..count).map(|i| format!("orchard-{i}")).collect();
        let mut public = Vec::new();
        let mut peers = Vec::new();
        let mut next_port = (std::process::id() % 1_999 * 10) as u16;
        for _ in 0..count {
            public.push(free_address(&mut next_port)?);
            peers.push(free_address(&mut next_port)?);
        }
        let figures = |&(name, guarantee, limit): &(&str, f64, f64)| {
            let or_none = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
            let team = Team {
                guarantee,
                limit: or_none(limit),
                accelerators: or_none(setup.accelerators_max),
            };
            (name.to_string(), team)
        };
        let teams: Teams = setup.teams.iter().map(figures).collect();
        let nodes = names.iter().cloned().zip(public.iter().copied()).collect();
        let yard = Yard::start(
            setup.timing.clone(),
            setup.kinds.clone(),
            teams,
            nodes,
            log.clone(),
        );
        let cloud_yard = yard.clone();
        let cloud = serve(Arc::new(move |request| cloud_yard.handle_cloud(&request)))?;
        let mut controllers = Vec::new();
        for i in 0..count {
            let known = (0..count).filter(|other| *other != i).map(|other| {
                Json::object([
                    ("label", Json::text(&names[other])),
                    ("domain", Json::text(setup.controllers[other])),
                    ("endpoint", Json::text(peers[other].to_string())),
                ])
            });
            let settings = Json::object([
                ("label", Json::text(&names[i])),
                ("domain", Json::text(setup.controllers[i])),
                ("public_addr", Json::text(public[i].to_string())),
                ("peer_listen", Json::text(peers[i].to_string())),
                ("known", Json::Array(known.collect())),
                (
                    "services",
                    Json::object([
                        ("cloud", Json::text(cloud.to_string())),
                        ("state", Json::text(state.to_string())),
                    ]),
                ),
                ("cluster", cluster_settings(setup)),
            ]);
            let config = folder.join(format!("{}.json", names[i]));
            fs::write(&config, settings.to_string())?;
            controllers.push(Controller {
                name: names[i].clone(),
                public: public[i],
                config,
                child: Mutex::new(None),
            });
        }
        let cluster = Self {
            controllers,
            yard,
            log: log.clone(),
            folder,
            program,
        };
        for (zone, kind, spot) in &setup.machines {
            cluster
                .yard
                .add_machine(zone, *kind, *spot, Duration::ZERO)?;
        }
        for controller in 0..count {
            cluster.launch(controller)?;
        }
        let ends = Instant::now() + READY;
        for controller in 0..count {
            while !cluster.is_ready(controller) {
                if Instant::now() > ends {
                    return Err(io::Error::other("the controllers are not ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        log.line("all controllers are ready");
        Ok(cluster)
    }

    pub fn is_ready(&self, controller: usize) -> bool {
        let answer = self.ask(controller, "GET", "/ready", "", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Starts a controller's process.
    pub fn launch(&self, controller: usize) -> io::Result<()> {
        let known = &self.controllers[controller];
        let mut running = known.child.lock().unwrap_or_else(PoisonError::into_inner);
        if running.is_some() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", known.name)))?;
        let child = Command::new(&self.program[0])
            .args(&self.program[1..])
            .arg(&known.config)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.log.line(format!("{} starts", known.name));
        *running = Some(child);
        Ok(())
    }

    /// Kills a controller's process without a signal that it could handle.
    pub fn kill(&self, controller: usize) {
        let known = &self.controllers[controller];
        let child = known
            .child
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(mut child) = child {
            let _ = child.kill();
            let _ = child.wait();
            self.log.line(format!("{} is killed", known.name));
        }
    }

    pub fn count(&self) -> usize {
        self.controllers.len()
    }

    // Users.

    pub fn ask(
        &self,
        controller: usize,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<Answer> {
        http::call(
            self.controllers[controller].public,
            method,
            path,
            body,
            timeout,
        )
    }

    /// Uploads a job and submits it, at first at `controller`, until it is accepted or refused, or the
    /// user gives up. Returns whether it was accepted.
    pub fn submit(&self, controller: usize, spec: &Json, run_s: Option<f64>) -> bool {
        let id = spec.get("id").as_str().to_string();
        let job = Job {
            spec: spec.clone(),
            run_s,
            accepted: None,
            cancel_asked: None,
            told_cancelled: None,
            told_done: None,
            completed: Default::default(),
        };
        self.yard.lock().jobs.entry(id.clone()).or_insert(job);
        let ends = Instant::now() + RETRIES;
        let mut node = controller;
        while Instant::now() < ends {
            let answer = self.ask(node, "POST", "/v2/runs", &spec.to_string(), SUBMIT_TIMEOUT);
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            self.log.line(format!("submit {id} at {node}: {status}"));
            match status {
                200 | 201 => {
                    let mut inner = self.yard.lock();
                    if let Some(job) = inner.jobs.get_mut(&id) {
                        job.accepted.get_or_insert_with(Instant::now);
                    }
                    return true;
                }
                400 | 422 => {
                    let mut inner = self.yard.lock();
                    if inner
                        .jobs
                        .get(&id)
                        .is_some_and(|job| job.accepted.is_some())
                    {
                        self.yard.break_rule(
                            &mut inner,
                            format!("forgotten: {id} is answered {status}"),
                        );
                    }
                    return false;
                }
                _ => self.pause(answer.as_ref()),
            }
            node = (node + 1) % self.count();
        }
        false
    }

    fn pause(&self, answer: Option<&Answer>) {
        let retry_after_s = answer.map_or(0.0, |answer| answer.retry_after_s);
        thread::sleep(Duration::from_secs_f64(retry_after_s.clamp(1.0, 30.0)));
    }

    /// Asks for a job's state once and checks the answer. Returns the state; none if there is no
    /// answer with one.
    pub fn poll(&self, controller: usize, id: &str) -> Option<String> {
        let asked = Instant::now();
        let answer = self.ask(
            controller,
            "GET",
            &format!("/v2/runs/{id}"),
            "",
            POLL_TIMEOUT,
        )?;
        let body = Json::parse(&answer.body).unwrap_or(Json::Null);
        let status = body.get("status").as_str().to_string();
        self.log.line(format!(
            "poll {id} at {controller}: {} {}",
            answer.status, answer.body
        ));
        self.check_answer(id, answer.status, &status, asked);
        (answer.status == 200).then_some(status)
    }

    /// Asks once to cancel a job and checks the answer. Returns the state in the answer.
    pub fn cancel(&self, controller: usize, id: &str) -> Option<String> {
        let asked = Instant::now();
        if let Some(job) = self.yard.lock().jobs.get_mut(id) {
            job.cancel_asked.get_or_insert(asked);
        }
        let path = format!("/v2/runs/{id}/cancel");
        let answer = self.ask(controller, "POST", &path, "", SUBMIT_TIMEOUT);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let body = answer.map_or(String::new(), |answer| answer.body);
        self.log
            .line(format!("cancel {id} at {controller}: {status} {body}"));
        let state = Json::parse(&body)
            .unwrap_or(Json::Null)
            .get("status")
            .as_str()
            .to_string();
        self.check_answer(id, status, &state, asked);
        (status == 200).then_some(state)
    }

    fn check_answer(&self, id: &str, status: u16, state: &str, asked: Instant) {
        let now = Instant::now();
        let mut inner = self.yard.lock();
        let mut broken = Vec::new();
        match inner.jobs.get_mut(id) {
            None if status == 200 => broken.push(format!("invented: {id} is answered 200")),
            None => {}
            Some(job) if status == 404 => {
                if job.accepted.is_some_and(|at| at < asked) {
                    broken.push(format!("forgotten: {id} is answered 404"));
                }
            }
            Some(job) if status == 200 => {
                job.accepted.get_or_insert(now);
                let was_done = job.told_done.is_some_and(|at| at < asked);
                let was_cancelled = job.told_cancelled.is_some_and(|at| at < asked);
                if (was_done && state != "done") || (was_cancelled && state != "cancelled") {
                    broken.push(format!("went_back: {id} is called {state}"));
                }
                if state == "cancelled" {
                    if job.cancel_asked.is_none() {
                        broken.push(format!(
                            "went_back: {id} is called cancelled and was not cancelled"
                        ));
                    }
                    job.told_cancelled.get_or_insert(now);
                }
                if state == "done" {
                    if (job.completed.len() as u64) < job.pieces() {
                        broken.push(format!("not_done: {id} is called done"));
                    }
                    job.told_done.get_or_insert(now);
                }
            }
            Some(_) => {}
        }
        for text in broken {
            self.yard.break_rule(&mut inner, text);
        }
    }
}

fn cluster_settings(setup: &Setup) -> Json {
    let teams = setup.teams.iter().map(|(name, cpus, cpus_max)| {
        Json::object([
            ("name", Json::text(*name)),
            ("cpus", Json::number(cpus)),
            ("cpus_max", Json::number(cpus_max)),
            ("gpus", Json::number(0.0)),
            ("gpus_max", Json::number(setup.accelerators_max)),
        ])
    });
    let zones = setup.zones.iter().map(|zone| Json::text(*zone)).collect();
    let (timing, limits) = (&setup.timing, &setup.limits);
    Json::object([
        ("nodes", Json::number(setup.controllers.len())),
        ("zones", Json::Array(zones)),
        ("teams", Json::Array(teams.collect())),
        ("objectives", Json::Array(Vec::new())),
        (
            "workers",
            Json::object([
                ("report_s", Json::number(timing.report_s)),
                ("lease_s", Json::number(timing.lease_s)),
                ("gang_wait_s", Json::number(40.0)),
                ("gang_peer_s", Json::number(5.0)),
                ("cancel_s", Json::number(timing.cancel_s)),
            ]),
        ),
        (
            "state",
            Json::object([
                ("rps", Json::number(limits.rps)),
                ("write_rps", Json::number(limits.write_rps)),
                ("value_kb", Json::number(limits.value_kb)),
                ("txn_ops", Json::number(limits.txn_ops)),
            ]),
        ),
        (
            "cloud",
            Json::object([
                ("rps", Json::number(4.0)),
                ("list_lag_s", Json::number(timing.list_lag_s)),
            ]),
        ),
        (
            "limits",
            Json::object([
                ("cpu_share", Json::number(0.12)),
                ("memory_mb", Json::number(72.0)),
                ("sockets", Json::number(1500)),
            ]),
        ),
        ("clock_off_ms", Json::number(1000.0)),
    ])
}
