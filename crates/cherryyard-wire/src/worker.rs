//! Messages between workers and controllers.

use serde::{Deserialize, Serialize};

/// A worker's heartbeat: its machine, and the status of all tasks there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// The machine's name.
    pub host: String,
    /// Where it takes direct commands.
    pub addr: String,
    /// The machine's type.
    #[serde(rename = "host_kind")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(default)]
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// The incarnation of the worker's agent: a new one after each restart.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// The heartbeat's number within the incarnation.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(default)]
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Seconds until the cloud reclaims the spot machine.
    #[serde(default)]
    #[serde(rename = "recall_s")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(default, rename = "pieces")]
    pub tasks: Vec<TaskReport>,
}

/// One task on a machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    /// Job id and number, such as `j-000412/3`.
    #[serde(rename = "piece")]
    pub task_name: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    pub status: TaskStatus,
    /// Why it ended.
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether its progress was saved.
    #[serde(default, rename = "kept")]
    pub checkpointed: bool,
}

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Is stopping, and saves its progress.
    Saving,
    /// Over, see its cause.
    Ended,
    /// A state this version does not know; it counts as present.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// Completed.
    Done,
    /// Stopped by command.
    Halted,
    /// Failed.
    Error,
    /// Refused: not enough free resources.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// Refused: here already with another attempt.
    Busy,
    /// Refused: the worker knows no such job or task.
    #[serde(rename = "no_such")]
    NoSuchTask,
    /// A cause this version does not know; counts as a failure.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
#[allow(missing_docs)] // the variants' comments name the fields
pub enum WorkerCommand {
    /// Start this attempt.
    Start {
        #[serde(rename = "piece")]
        task_name: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop this attempt.
    Kill {
        #[serde(rename = "piece")]
        task_name: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_period_s: f64,
    },
    /// Leave this ended attempt out of further heartbeats.
    Clear {
        #[serde(rename = "piece")]
        task_name: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// The body of a response 421: the worker is to report to another controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Misdirected {
    /// The controller that owns this worker's shard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "foreman")]
    pub owner: Option<String>,
}

/// Commands that a controller sends outside of a heartbeat's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// The fencing token.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The incarnation that the commands are meant for.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Splits `j-000412/3` into the job's and the task's number.
pub fn parse_task_name(task_name: &str) -> Option<(u64, u32)> {
    let (job, number) = task_name.split_once('/')?;
    Some((crate::job::job_number(job)?, number.parse().ok()?))
}

/// The name of task `number` of job `job`.
pub fn task_name_of(job: u64, number: u32) -> String {
    format!("{}/{number}", crate::job::job_id(job))
}
