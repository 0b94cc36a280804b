//! Tasks as a machine reports them, and starts on their way to it.

use cherryyard_wire::worker::{ExitCause, TaskReport, TaskStatus};

/// A task: its job's number and its own.
pub type Task = (u64, u32);

/// A task as a worker last reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedTask {
    /// The attempt.
    pub attempt: u64,
    /// Its state.
    pub status: TaskStatus,
    /// Why it ended.
    pub cause: Option<ExitCause>,
}

impl ReportedTask {
    pub(super) fn of(report: &TaskReport) -> Self {
        Self {
            attempt: report.attempt,
            status: report.status,
            cause: report.cause,
        }
    }

    /// Whether the task is over.
    pub fn ended(&self) -> bool {
        self.status == TaskStatus::Ended
    }
}

/// A start that was sent directly and may yet take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushedStart {
    /// The task.
    pub task: Task,
    /// The attempt.
    pub attempt: u64,
    /// The incarnation it was sent to.
    pub incarnation: u64,
    /// The token it was sent under.
    pub token: u64,
    /// Whether its answer was lost. It may arrive at any later time, also after the same
    /// start was sent again and answered.
    pub lost: bool,
}
