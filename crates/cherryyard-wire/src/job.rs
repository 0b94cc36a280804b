//! Users' jobs as they are submitted and shown.

use crate::dependencies::{dependency_numbers, read_ids};
use crate::error::{FieldProblem, InvalidField, ReadError};
pub use crate::job_id::{job_id, job_number};
use crate::limits::MAX_NAME_BYTES;
pub use crate::limits::MAX_TASKS;
use serde::{Deserialize, Serialize};

/// What a job's tasks do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
}

/// Priority; later ones are more important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rank {
    /// Runs on what is left.
    BestEffort,
    /// The usual.
    Standard,
    /// Above the usual.
    High,
    /// Above all.
    Critical,
}

/// A job as its user submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)] // the field names are the protocol's, described there
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
    pub cores: f64,
    pub accelerators: f64,
    pub ram_gb: f64,
    #[serde(rename = "bundle")]
    pub image: String,
    pub image_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "kinds_of_host")]
    pub machine_types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "yard")]
    pub zone: Option<String>,
    pub together: bool,
    pub apart: bool,
    #[serde(rename = "borrowed")]
    pub spot: bool,
    pub expected_s: f64,
    pub snapshot_every_s: f64,
    pub snapshot_cost_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
    #[serde(
        default,
        deserialize_with = "read_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub waits_on: Vec<String>,
}

impl JobSpec {
    /// Reads and checks a submission; the error names the field.
    pub fn parse(body: &[u8]) -> Result<Self, ReadError> {
        let spec: Self = crate::parse_object(body)?;
        spec.check()?;
        Ok(spec)
    }

    /// Checks the fields; the error names one.
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

/// A job's state as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobStatus {
    /// No task runs.
    Queued,
    /// Some task runs.
    Running,
    /// All tasks are done.
    Done,
    /// Its user has cancelled it.
    Cancelled,
}

/// The answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job's id.
    pub id: String,
    /// Its state.
    pub status: JobStatus,
    /// Tasks completed, for display.
    #[serde(default)]
    pub done: u32,
    /// Tasks running, for display.
    #[serde(default)]
    pub running: u32,
    /// Jobs that it waits for, while it waits.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waits_on: Vec<String>,
    /// The job that it needs and that was cancelled, if it is cancelled for that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cancelled_by: Option<String>,
}

impl JobView {
    /// A job's state and counts, of one that waits for no other.
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
