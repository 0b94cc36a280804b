//! Stand-in of the worker process of a machine.

use cherryyard_wire::limits::MAX_TASKS;
use cherryyard_wire::worker::{
    CommandBatch, ExitCause, HeartbeatResponse, TaskReport, TaskStatus, WorkerCommand,
    WorkerHeartbeat, parse_task_name,
};
use std::collections::{BTreeMap, BTreeSet};

/// Run time of the tasks of a job that was submitted with a mistake, until they fail.
const FAILING_JOB_RUN_MS: f64 = 500.0;
/// Time between the provisioning of a machine and the start of its worker.
const PROVISIONING_LEAD_MS: f64 = 10_000.0;
/// Delay until the next heartbeat of a worker that has received a new fencing token.
const NEW_TOKEN_HEARTBEAT_DELAY_MS: f64 = 500.0;
/// Minimum time between two heartbeats of a worker that has a change to report.
const MIN_HEARTBEAT_INTERVAL_MS: f64 = 500.0;

/// A task on a machine.
#[derive(Clone, Debug)]
pub struct Task {
    /// Number of this attempt to run the task.
    pub attempt: u64,
    /// Time at which the attempt started.
    pub started_at: f64,
    /// Reason for the end of the attempt; none while it runs.
    pub cause: Option<ExitCause>,
}

impl Task {
    /// Returns a task that starts at `started_at`.
    pub fn new(attempt: u64, started_at: f64) -> Self {
        Self {
            attempt,
            started_at,
            cause: None,
        }
    }

    /// Returns whether the task has not ended.
    pub fn runs(&self) -> bool {
        self.cause.is_none()
    }
}

/// Returns the id of a task's job.
pub fn job_id_of(task_name: &str) -> &str {
    task_name.split('/').next().unwrap_or_default()
}

/// Returns whether a job could have a task of this name: its tasks are numbered from 0.
fn may_exist(task_name: &str) -> bool {
    parse_task_name(task_name).is_some_and(|(_, number)| number < MAX_TASKS)
}

/// Stand-in of one machine's worker.
#[derive(Clone, Debug)]
pub struct WorkerStandIn {
    /// Name of the machine.
    pub host: String,
    /// Type of the machine.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Incarnation of the worker, incremented when its lease expires; a new worker process
    /// starts at 1.
    pub incarnation: u64,
    sequence: u64,
    /// Highest fencing token that the worker has received.
    pub fencing_token: u64,
    /// Tasks on the machine by name, running ones and ended ones that are not yet cleared.
    pub tasks: BTreeMap<String, Task>,
    /// Approximate time at which the machine was provisioned.
    pub provisioned_at: f64,
    /// Time at which the latest answered heartbeat was sent, or at which the incarnation began.
    lease_renewed_at: f64,
    /// Index of the controller that the worker sends heartbeats to.
    pub controller: usize,
    /// Time of the next heartbeat.
    pub next_heartbeat_at: f64,
    /// Time of the last heartbeat.
    heartbeat_sent_at: f64,
    /// Run time of the worker's tasks; infinite for replicas of services.
    pub run_ms: f64,
    /// Whether tasks on this machine fail instead of completing.
    pub tasks_fail: bool,
    /// Jobs that were submitted with a mistake: their tasks fail on this machine as on every
    /// other.
    pub failing_jobs: BTreeSet<String>,
    /// Time at which the cloud reclaims the machine, once the cloud has announced it.
    pub reclaim_at: Option<f64>,
    /// Duration for which an answered heartbeat keeps the worker's tasks running. An infinite
    /// duration models a previous owner that only this worker still reaches and that goes on
    /// answering its heartbeats.
    pub lease_ms: f64,
}

impl WorkerStandIn {
    /// Returns a worker that has just started.
    pub fn new(host: &str, zone: &str, controller: usize, lease_ms: f64, now: f64) -> Self {
        Self {
            host: host.into(),
            machine_type: "m4".into(),
            zone: zone.into(),
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: BTreeMap::new(),
            provisioned_at: now - PROVISIONING_LEAD_MS,
            lease_renewed_at: now,
            controller,
            next_heartbeat_at: now,
            heartbeat_sent_at: f64::NEG_INFINITY,
            run_ms: f64::INFINITY,
            tasks_fail: false,
            failing_jobs: BTreeSet::new(),
            reclaim_at: None,
            lease_ms,
        }
    }

    /// Advances the worker to `now`, and returns lines for the trace. Tasks end after their run
    /// time, those of services only if they fail; if the lease has expired, all tasks are lost
    /// and a new incarnation begins.
    pub fn advance(&mut self, now: f64, services: &BTreeSet<String>) -> Vec<String> {
        let mut log = Vec::new();
        if now - self.lease_renewed_at > self.lease_ms {
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
            self.lease_renewed_at = now;
        }
        for (name, task) in &mut self.tasks {
            let job = job_id_of(name);
            let is_failing_job = self.failing_jobs.contains(job);
            let run_ms = match (is_failing_job, services.contains(job)) {
                (true, _) => FAILING_JOB_RUN_MS,
                (_, true) if !self.tasks_fail => f64::INFINITY,
                _ => self.run_ms,
            };
            if task.runs() && now - task.started_at >= run_ms {
                task.cause = Some(if self.tasks_fail || is_failing_job {
                    ExitCause::Error
                } else {
                    ExitCause::Done
                });
                log.push(format!("{} ends {name} try {}", self.host, task.attempt));
                self.next_heartbeat_at = now;
            }
        }
        log
    }

    /// Records that a heartbeat is sent now, and sets the time of the next one if nothing changes.
    pub fn heartbeat_sent(&mut self, now: f64, interval_ms: f64) {
        self.heartbeat_sent_at = now;
        self.next_heartbeat_at = now + interval_ms;
    }

    /// Sends the next heartbeat as soon as it may, because the list of tasks has changed.
    fn report_change(&mut self, now: f64) {
        let earliest = now.max(self.heartbeat_sent_at + MIN_HEARTBEAT_INTERVAL_MS);
        self.next_heartbeat_at = self.next_heartbeat_at.min(earliest);
    }

    /// Models a hanging machine: once the lease has expired, its tasks no longer run, because a
    /// resumed worker checks its lease first. Direct commands that were sent to the machine are
    /// still executed before that, in the incarnation that has expired; until then the worker holds
    /// its attempts.
    pub fn advance_hung(&mut self, now: f64) {
        if now - self.lease_renewed_at > self.lease_ms {
            for task in self.tasks.values_mut().filter(|task| task.runs()) {
                task.cause = Some(ExitCause::Halted);
            }
        }
    }

    /// Replaces the worker process by a new one, which has none of the state of the old one.
    pub fn restart(&mut self, now: f64) {
        self.tasks.clear();
        (self.incarnation, self.sequence, self.fencing_token) = (1, 0, 0);
        self.heartbeat_sent_at = f64::NEG_INFINITY;
        self.lease_renewed_at = now;
        self.next_heartbeat_at = now;
    }

    /// Completes a task if it runs on this machine.
    pub fn finish(&mut self, task_name: &str) {
        if let Some(task) = self.tasks.get_mut(task_name).filter(|task| task.runs()) {
            task.cause = Some(ExitCause::Done);
            self.next_heartbeat_at = 0.0;
        }
    }

    /// Returns whether this task runs on the machine.
    pub fn runs(&self, task_name: &str) -> bool {
        self.tasks.get(task_name).is_some_and(Task::runs)
    }

    /// Returns the names of the running tasks.
    pub fn running_tasks(&self) -> impl Iterator<Item = &String> {
        let running = self.tasks.iter().filter(|(_, task)| task.runs());
        running.map(|(name, _)| name)
    }

    /// Builds the next heartbeat, which contains the status of all tasks.
    pub fn next_heartbeat(&mut self, now: f64) -> WorkerHeartbeat {
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

    /// Processes the response to a heartbeat that was sent at `sent_at`, and returns lines for
    /// the trace. Responses with an outdated fencing token are ignored.
    pub fn handle_heartbeat_response(
        &mut self,
        response: &HeartbeatResponse,
        sent_at: f64,
        now: f64,
    ) -> Vec<String> {
        if response.fencing_token < self.fencing_token {
            return Vec::new();
        }
        if response.fencing_token > self.fencing_token {
            self.next_heartbeat_at = now + NEW_TOKEN_HEARTBEAT_DELAY_MS;
        }
        self.fencing_token = response.fencing_token;
        self.lease_renewed_at = self.lease_renewed_at.max(sent_at);
        self.execute(&response.commands, now)
    }

    /// Processes direct commands; returns whether they were executed, and lines for the trace.
    /// Commands with an outdated fencing token or of another incarnation are ignored.
    pub fn handle_direct_commands(
        &mut self,
        request: &CommandBatch,
        now: f64,
    ) -> (bool, Vec<String>) {
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
                    let existing = self.tasks.get(task_name);
                    if existing.is_none_or(|task| task.attempt != *attempt && !task.runs()) {
                        let mut task = Task::new(*attempt, now);
                        if may_exist(task_name) {
                            log.push(format!("{} starts {task_name} try {attempt}", self.host));
                        } else {
                            task.cause = Some(ExitCause::NoSuchTask);
                        }
                        self.tasks.insert(task_name.clone(), task);
                        self.report_change(now);
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
                        self.next_heartbeat_at = now;
                    }
                }
                WorkerCommand::Clear { task_name, attempt } => {
                    let existing = self.tasks.get(task_name);
                    if existing.is_some_and(|task| task.attempt == *attempt && !task.runs()) {
                        self.tasks.remove(task_name);
                        self.report_change(now);
                    }
                }
            }
        }
        log
    }
}
