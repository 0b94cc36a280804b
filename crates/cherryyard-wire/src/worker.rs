//! What workers and controllers tell each other.

use serde::{Deserialize, Serialize};

/// A worker's report.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Report {
    /// The machine's name.
    pub host: String,
    /// Where it takes direct commands.
    pub addr: String,
    /// The machine's type.
    pub host_kind: String,
    /// Its zone.
    pub yard: String,
    /// Whether it is a spot machine.
    #[serde(default)]
    pub borrowed: bool,
    /// The incarnation; the protocol's word.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// The report's place within the incarnation; the protocol's word.
    #[serde(rename = "tick")]
    pub sequence: u64,
    /// The highest token that the worker has seen; the protocol's word.
    #[serde(default)]
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Seconds until the cloud takes the machine away.
    #[serde(default)]
    pub recall_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(default)]
    pub pieces: Vec<PieceReport>,
}

/// One task on a machine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PieceReport {
    /// Job id and number, such as `j-000412/3`.
    pub piece: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    pub status: PieceStatus,
    /// Why it ended.
    #[serde(default)]
    pub cause: Option<Cause>,
    /// Whether its progress was saved.
    #[serde(default)]
    pub kept: bool,
}

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PieceStatus {
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Was told to stop and saves.
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
pub enum Cause {
    /// Completed.
    Done,
    /// Stopped by command.
    Halted,
    /// Failed.
    Error,
    /// Refused: not enough free resources.
    NoRoom,
    /// Refused: here already with another attempt.
    Busy,
    /// Refused: the worker knows no such job or task.
    NoSuch,
    /// A cause this version does not know; counts as a failure.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Order {
    /// Start this attempt.
    Start {
        piece: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop this attempt.
    Kill {
        piece: String,
        #[serde(rename = "try")]
        attempt: u64,
        wind_down_s: f64,
    },
    /// Leave this ended attempt out of the reports.
    Clear {
        piece: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportAnswer {
    /// The token.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, in order.
    pub orders: Vec<Order>,
}

/// The body of a 421.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Misdirected {
    /// Who takes this worker's reports.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub foreman: Option<String>,
}

/// Direct commands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DoRequest {
    /// The token.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// The incarnation that the commands are meant for.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, in order.
    pub orders: Vec<Order>,
}

/// Splits `j-000412/3` into the job's and the task's number.
pub fn piece_numbers(piece: &str) -> Option<(u64, u32)> {
    let (job, number) = piece.split_once('/')?;
    Some((crate::job::job_number(job)?, number.parse().ok()?))
}

/// The name of task `number` of job `job`.
pub fn piece_name(job: u64, number: u32) -> String {
    format!("{}/{number}", crate::job::job_id(job))
}
