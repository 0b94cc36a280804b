//! Messages between workers and controllers.

use crate::peer::MachinePool;
use serde::{Deserialize, Serialize};

/// Heartbeat of a worker: its machine, and the status of all tasks on the machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkerHeartbeat {
    /// Name of the machine.
    pub host: String,
    /// Address on which the worker accepts commands outside of responses to heartbeats.
    pub addr: String,
    /// Type of the machine.
    #[serde(rename = "host_kind")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the machine is a spot machine.
    #[serde(default)]
    #[serde(rename = "borrowed")]
    pub spot: bool,
    /// Incarnation of the worker's agent, which changes with each restart.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(default)]
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Time until the cloud reclaims the spot machine, in seconds; `None` if no reclaim has been
    /// announced.
    #[serde(default)]
    #[serde(rename = "recall_s")]
    pub reclaim_in_s: Option<f64>,
    /// Reports on all tasks on the machine.
    #[serde(default, rename = "pieces")]
    pub tasks: Vec<TaskReport>,
}

impl WorkerHeartbeat {
    /// Returns the pool that the machine belongs to.
    pub fn pool(&self) -> MachinePool {
        MachinePool {
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
        }
    }
}

/// Report on a task on a machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskReport {
    /// Name of the task: job id and task number, such as `j-000412/3`.
    #[serde(rename = "piece")]
    pub task_name: String,
    /// Attempt number.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the task.
    pub status: TaskStatus,
    /// Reason for the end of the task, if it has ended.
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether the task's progress was saved.
    #[serde(default, rename = "kept")]
    pub checkpointed: bool,
}

/// State of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskStatus {
    /// The task waits for its image to be fetched.
    Fetching,
    /// The task runs.
    Running,
    /// The task is stopping and saves its progress.
    Saving,
    /// The task has ended; [`TaskReport::cause`] says why.
    Ended,
    /// State that is unknown to this version; the task counts as present on the machine.
    #[serde(other)]
    Other,
}

/// Reason for the end of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The task has completed.
    Done,
    /// The task was stopped by a command.
    Halted,
    /// The task has failed.
    Error,
    /// The start was refused: the machine has not enough free resources.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// The start was refused: another attempt of the task is already on the machine.
    Busy,
    /// The start was refused: the job or the task is unknown to the worker.
    #[serde(rename = "no_such")]
    NoSuchTask,
    /// Reason that is unknown to this version; counts as a failure.
    #[serde(other)]
    Other,
}

/// Command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
#[allow(missing_docs)] // the comments of the variants describe the fields
pub enum WorkerCommand {
    /// Starts the attempt `attempt` of the task.
    Start {
        #[serde(rename = "piece")]
        task_name: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stops the attempt `attempt` of the task, which gets `grace_period_s` seconds to save its
    /// progress.
    Kill {
        #[serde(rename = "piece")]
        task_name: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "wind_down_s")]
        grace_period_s: f64,
    },
    /// Removes the ended attempt `attempt` of the task from further heartbeats.
    Clear {
        #[serde(rename = "piece")]
        task_name: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the controller that sends the commands.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, in the order in which they are to be carried out.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Body of a response with HTTP status 421: the worker is to send its heartbeats to another
/// controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Misdirected {
    /// Controller that owns the worker's shard, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "foreman")]
    pub owner: Option<String>,
}

/// Commands that a controller sends outside of a heartbeat's response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandBatch {
    /// Fencing token of the controller that sends the commands.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Incarnation of the worker's agent that the commands are meant for.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, in the order in which they are to be carried out.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

impl CommandBatch {
    /// Returns whether the worker's answer shows that it has carried out the commands. It refuses
    /// those under a lower token than it has seen, or for another incarnation.
    pub fn is_executed(&self, answer: &WorkerHeartbeat) -> bool {
        answer.fencing_token <= self.fencing_token && answer.incarnation == self.incarnation
    }

    /// Returns the task and attempt of each start among the commands.
    pub fn starts(&self) -> impl Iterator<Item = ((u64, u32), u64)> {
        self.commands.iter().filter_map(|command| match command {
            WorkerCommand::Start { task_name, attempt } => {
                Some((parse_task_name(task_name)?, *attempt))
            }
            WorkerCommand::Kill { .. } | WorkerCommand::Clear { .. } => None,
        })
    }
}

/// Parses a task name such as `j-000412/3` into the numbers of the job and the task.
pub fn parse_task_name(task_name: &str) -> Option<(u64, u32)> {
    let (job, number) = task_name.split_once('/')?;
    Some((crate::job::job_number(job)?, number.parse().ok()?))
}

/// Returns the name of task `number` of job `job`.
pub fn task_name_of(job: u64, number: u32) -> String {
    format!("{}/{number}", crate::job::job_id(job))
}
