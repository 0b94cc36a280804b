//! Tasks reported by a machine, and starts in flight to it.

use cherryyard_wire::worker::{ExitCause, TaskReport, TaskStatus};

/// A task, identified by the number of its job and its own number within the job.
pub type Task = (u64, u32);

/// State of a task in a worker's last report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedTask {
    /// Number of the attempt.
    pub attempt: u64,
    /// Status of the attempt.
    pub status: TaskStatus,
    /// Reason why the attempt ended, if it has.
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

    /// Returns whether the attempt has ended.
    pub fn ended(&self) -> bool {
        self.status == TaskStatus::Ended
    }
}
