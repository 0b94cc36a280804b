//! Jobs of users: submission and status.

use crate::dependencies::{dependency_numbers, read_ids};
use crate::error::{FieldProblem, InvalidField, ReadError};
pub use crate::job_id::{job_id, job_number};
use crate::limits::MAX_NAME_BYTES;
pub use crate::limits::MAX_TASKS;
use serde::{Deserialize, Serialize};

/// Shape of a job: how its tasks run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Independent tasks, each of which runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// Priority of a job, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// Lowest priority, which runs on capacity that no other job uses.
    BestEffort,
    /// Ordinary priority.
    Standard,
    /// Priority above the ordinary one.
    High,
    /// Highest priority.
    Critical,
}

/// Job as a user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // fields without a comment hold what their names say
pub struct JobSpec {
    pub id: String,
    #[serde(rename = "jobclass")]
    pub job_class: String,
    #[serde(rename = "owner")]
    pub team: String,
    pub shape: Shape,
    pub rank: Rank,
    #[serde(rename = "pieces")]
    pub task_count: u32,
    /// Cores per task.
    pub cores: f64,
    /// Accelerators per task.
    pub accelerators: f64,
    /// Memory per task, in GB.
    pub ram_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Allowed machine types; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "kinds_of_host")]
    pub machine_types: Option<Vec<String>>,
    /// Only allowed zone; `None`: any zone is allowed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    /// Whether all tasks must run in one zone.
    pub together: bool,
    /// Whether the tasks are spread over zones and shards.
    pub apart: bool,
    /// Whether the job may run on spot machines.
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Estimated run time of a task, in seconds.
    pub expected_s: f64,
    /// Interval between checkpoints of a task, in seconds; 0: the tasks make none.
    pub snapshot_every_s: f64,
    /// Duration of a checkpoint, in seconds.
    pub snapshot_cost_s: f64,
    /// Deadline, in seconds after the submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    /// Ids of the jobs that this job waits for.
    #[serde(
        default,
        deserialize_with = "read_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub waits_on: Vec<String>,
}

impl JobSpec {
    /// Parses and checks a submission; the error names the field.
    pub fn parse(body: &[u8]) -> Result<Self, ReadError> {
        let spec: Self = crate::parse_object(body)?;
        spec.check()?;
        Ok(spec)
    }

    /// Checks the values of the fields; the error names the first invalid one.
    pub fn check(&self) -> Result<(), InvalidField> {
        if job_number(&self.id).is_none() {
            return Err(InvalidField::new("id", FieldProblem::NotAJobId));
        }
        for (name, text) in [
            ("jobclass", &self.job_class),
            ("owner", &self.team),
            ("bundle", &self.image),
        ] {
            if text.is_empty() || text.len() > MAX_NAME_BYTES {
                return Err(InvalidField::new(name, FieldProblem::NameLength));
            }
        }
        if self.task_count == 0 || self.task_count > MAX_TASKS {
            return Err(InvalidField::new("pieces", FieldProblem::TaskCount));
        }
        if !(self.cores.is_finite() && self.cores > 0.0) {
            return Err(InvalidField::new("cores", FieldProblem::NotPositive));
        }
        let amounts = [
            ("accelerators", self.accelerators),
            ("ram_gb", self.ram_gb),
            ("image_gb", self.image_gb),
            ("expected_s", self.expected_s),
            ("snapshot_every_s", self.snapshot_every_s),
            ("snapshot_cost_s", self.snapshot_cost_s),
            ("due_s", self.due_s.unwrap_or(0.0)),
        ];
        for (name, amount) in amounts {
            if !amount.is_finite() || amount < 0.0 {
                let problem = FieldProblem::BelowLeast { least: 0 };
                return Err(InvalidField::new(name, problem));
            }
        }
        dependency_numbers(&self.waits_on).map(|_| ())
    }
}

/// State of a job, as shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task of the job runs, and the job is not over.
    Queued,
    /// At least one task runs.
    Running,
    /// All tasks are completed.
    Done,
    /// The job is cancelled.
    Cancelled,
}

/// Response to a query for a job's status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Id of the job.
    pub id: String,
    /// State of the job.
    pub status: JobStatus,
    /// Number of completed tasks, for display.
    #[serde(default)]
    pub done: u32,
    /// Number of running tasks, for display.
    #[serde(default)]
    pub running: u32,
    /// Ids of the jobs that this job waits for; empty once it waits no longer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waits_on: Vec<String>,
    /// Id of the cancelled job because of which this job, which needs it, is cancelled too.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancelled_by: Option<String>,
}

impl JobView {
    /// Returns the status of a job that waits for no other, with its numbers of completed
    /// (`done`) and running tasks.
    pub fn new(job: u64, status: JobStatus, done: u32, running: u32) -> Self {
        Self {
            id: job_id(job),
            status,
            done,
            running,
            waits_on: Vec::new(),
            cancelled_by: None,
        }
    }
}

#[cfg(test)]
mod tests;
