//! Stand-in of a machine's worker.

use cherryyard_wire::worker::{
    CommandBatch, ExitCause, HeartbeatResponse, TaskReport, TaskStatus, WorkerCommand,
    WorkerHeartbeat,
};
use std::collections::{BTreeMap, BTreeSet};

/// How long the tasks of a job that was submitted with a mistake run.
const BAD_JOB_RUN_MS: f64 = 500.0;
/// A machine was provisioned so long before its worker starts.
const PROVISIONED_BEFORE_MS: f64 = 10_000.0;
/// After what time a worker that was shown a new token sends a heartbeat.
const NEW_TOKEN_HEARTBEAT_MS: f64 = 500.0;

/// A task on a machine.
#[derive(Clone, Debug)]
pub struct Task {
    /// Which attempt at it this is.
    pub attempt: u64,
    /// When it started.
    pub started_at: f64,
    /// Why it ended, if it has.
    pub cause: Option<ExitCause>,
}

impl Task {
    /// A task that starts now.
    pub fn new(attempt: u64, started_at: f64) -> Self {
        Self {
            attempt,
            started_at,
            cause: None,
        }
    }

    /// Whether it has not ended.
    pub fn runs(&self) -> bool {
        self.cause.is_none()
    }
}

/// The job of a task.
pub fn job_of(task_name: &str) -> &str {
    task_name.split('/').next().unwrap_or_default()
}

/// One machine's worker.
#[derive(Debug)]
pub struct WorkerStandIn {
    /// Its name.
    pub host: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Its incarnation.
    pub incarnation: u64,
    sequence: u64,
    /// The highest token it has seen.
    pub fencing_token: u64,
    /// Its tasks by name.
    pub tasks: BTreeMap<String, Task>,
    /// When its machine was provisioned, about.
    pub provisioned_at: f64,
    /// When the last heartbeat that was answered was sent, or the incarnation began.
    renewed_at: f64,
    /// The controller that it sends heartbeats to.
    pub controller: usize,
    /// When it sends the next heartbeat.
    pub report_at: f64,
    /// How long its tasks run; infinite for replicas.
    pub run_ms: f64,
    /// Whether its tasks fail.
    pub faulty: bool,
    /// Jobs that were submitted with a mistake: their tasks fail here, as everywhere.
    pub bad_jobs: BTreeSet<String>,
    /// When the cloud takes the machine, if it has said so.
    pub reclaim_at: Option<f64>,
    /// How long an answered heartbeat keeps its tasks; infinite stands for an old
    /// owner that nobody else sees and that goes on answering.
    pub lease_ms: f64,
}

impl WorkerStandIn {
    /// A worker that has just started.
    pub fn new(host: &str, zone: &str, controller: usize, lease_ms: f64, now: f64) -> Self {
        Self {
            host: host.into(),
            machine_type: "m4".into(),
            zone: zone.into(),
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: BTreeMap::new(),
            provisioned_at: now - PROVISIONED_BEFORE_MS,
            renewed_at: now,
            controller,
            report_at: now,
            run_ms: f64::INFINITY,
            faulty: false,
            bad_jobs: BTreeSet::new(),
            reclaim_at: None,
            lease_ms,
        }
    }

    /// Lets time pass: tasks end, those of services only where they fail, and the lease
    /// may run out.
    pub fn advance(&mut self, now: f64, services: &BTreeSet<String>) -> Vec<String> {
        let mut log = Vec::new();
        if now - self.renewed_at > self.lease_ms {
            let lost: Vec<&String> = self
                .tasks
                .iter()
                .filter(|(_, task)| task.runs())
                .map(|(name, _)| name)
                .collect();
            if !lost.is_empty() {
                log.push(format!("{} loses its lease and {lost:?}", self.host));
            }
            self.tasks.clear();
            self.incarnation += 1;
            self.sequence = 0;
            self.renewed_at = now;
        }
        for (name, task) in &mut self.tasks {
            let job = job_of(name);
            let bad = self.bad_jobs.contains(job);
            let run_ms = match (bad, services.contains(job)) {
                (true, _) => BAD_JOB_RUN_MS,
                (_, true) if !self.faulty => f64::INFINITY,
                _ => self.run_ms,
            };
            if task.runs() && now - task.started_at >= run_ms {
                task.cause = Some(if self.faulty || bad {
                    ExitCause::Error
                } else {
                    ExitCause::Done
                });
                log.push(format!("{} ends {name} try {}", self.host, task.attempt));
                self.report_at = now;
            }
        }
        log
    }

    /// Its machine hangs: its tasks are gone once its lease is over, since that is the
    /// first thing that it sees when it goes on. But what was sent to it directly it
    /// carries out before, in the incarnation that is over.
    pub fn hang(&mut self, now: f64) {
        if now - self.renewed_at > self.lease_ms {
            self.tasks.clear();
        }
    }

    /// Its process ends and another begins: nothing is left of what it knew.
    pub fn begin_anew(&mut self, now: f64) {
        self.tasks.clear();
        (self.incarnation, self.sequence, self.fencing_token) = (1, 0, 0);
        self.renewed_at = now;
        self.report_at = now;
    }

    /// A task completes, if it is here.
    pub fn finish(&mut self, task_name: &str) {
        if let Some(task) = self.tasks.get_mut(task_name).filter(|task| task.runs()) {
            task.cause = Some(ExitCause::Done);
            self.report_at = 0.0;
        }
    }

    /// Whether it runs this task.
    pub fn runs(&self, task_name: &str) -> bool {
        self.tasks.get(task_name).is_some_and(Task::runs)
    }

    /// Names of the tasks that run.
    pub fn running_tasks(&self) -> impl Iterator<Item = &String> {
        let running = self.tasks.iter().filter(|(_, task)| task.runs());
        running.map(|(name, _)| name)
    }

    /// A heartbeat, with the status of its tasks.
    pub fn report(&mut self, now: f64) -> WorkerHeartbeat {
        self.sequence += 1;
        WorkerHeartbeat {
            host: self.host.clone(),
            addr: format!("{}:9000", self.host),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: false,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            reclaim_in_s: self.reclaim_at.map(|at| (at - now) / 1000.0),
            tasks: self
                .tasks
                .iter()
                .map(|(name, task)| TaskReport {
                    task_name: name.clone(),
                    attempt: task.attempt,
                    status: if task.runs() {
                        TaskStatus::Running
                    } else {
                        TaskStatus::Ended
                    },
                    cause: task.cause,
                    checkpointed: false,
                })
                .collect(),
        }
    }

    /// Takes the response to a heartbeat that was sent at `sent_at`.
    pub fn answered(
        &mut self,
        response: &HeartbeatResponse,
        sent_at: f64,
        now: f64,
    ) -> Vec<String> {
        if response.fencing_token < self.fencing_token {
            return Vec::new();
        }
        if response.fencing_token > self.fencing_token {
            self.report_at = now + NEW_TOKEN_HEARTBEAT_MS;
        }
        self.fencing_token = response.fencing_token;
        self.renewed_at = self.renewed_at.max(sent_at);
        self.execute(&response.commands, now)
    }

    /// Takes direct commands; the flag tells whether they were executed.
    pub fn direct(&mut self, request: &CommandBatch, now: f64) -> (bool, Vec<String>) {
        if request.fencing_token < self.fencing_token || request.incarnation != self.incarnation {
            return (false, Vec::new());
        }
        self.fencing_token = request.fencing_token;
        (true, self.execute(&request.commands, now))
    }

    fn execute(&mut self, commands: &[WorkerCommand], now: f64) -> Vec<String> {
        let mut log = Vec::new();
        for command in commands {
            match command {
                WorkerCommand::Start { task_name, attempt } => {
                    let known = self.tasks.get(task_name);
                    if known.is_none_or(|task| task.attempt != *attempt && !task.runs()) {
                        let task = Task::new(*attempt, now);
                        self.tasks.insert(task_name.clone(), task);
                        log.push(format!("{} starts {task_name} try {attempt}", self.host));
                    }
                }
                WorkerCommand::Kill {
                    task_name, attempt, ..
                } => {
                    if let Some(task) = self.tasks.get_mut(task_name)
                        && task.attempt == *attempt
                        && task.runs()
                    {
                        task.cause = Some(ExitCause::Halted);
                        log.push(format!("{} stops {task_name} try {attempt}", self.host));
                        self.report_at = now;
                    }
                }
                WorkerCommand::Clear { task_name, attempt } => {
                    let known = self.tasks.get(task_name);
                    if known.is_some_and(|task| task.attempt == *attempt && !task.runs()) {
                        self.tasks.remove(task_name);
                    }
                }
            }
        }
        log
    }
}
