//! Requests for a heartbeat: direct commands that start and stop nothing, and after which a worker
//! sends its next heartbeat at once. Starts travel in the answers to heartbeats alone.

use crate::Millis;
use crate::controller::Controller;
use crate::machine::{Machine, Task};
use cherryyard_wire::limits::MAX_TASKS;
use cherryyard_wire::worker::{WorkerCommand, task_name_of};

/// Task that no job can have, as the tasks of a job are numbered from 0. A worker refuses its start
/// and holds the refused attempt until it is cleared, which is a change that it reports.
const REQUEST_TASK: Task = (0, MAX_TASKS);
/// Attempt of every request, so that a worker holds one at most.
const REQUEST_ATTEMPT: u64 = 1;

/// Returns whether a reported task is a request for a heartbeat.
pub(crate) fn is_heartbeat_request(task: Task) -> bool {
    task == REQUEST_TASK
}

/// Returns the command that requests a heartbeat.
pub(super) fn heartbeat_request() -> WorkerCommand {
    let (job, number) = REQUEST_TASK;
    WorkerCommand::Start {
        task_name: task_name_of(job, number),
        attempt: REQUEST_ATTEMPT,
    }
}

impl Controller {
    /// Returns whether a heartbeat is to be requested from a machine: starts wait for an answer to
    /// it, or its worker has restarted and has not shown the token under which it is commanded
    /// since. A worker with a change to report sends its next heartbeat by itself.
    pub(super) fn needs_heartbeat(&self, machine: &Machine, token: u64, now: Millis) -> bool {
        let is_awaited =
            now < machine.heartbeat_awaited_until || machine.reported.contains_key(&REQUEST_TASK);
        // A heartbeat under the token at the restart would not be evaluated.
        if is_awaited || !machine.shows_own_token() || machine.may_precede_restart(token) {
            return false;
        }
        machine.may_precede_restart(machine.token) || self.has_starts_due(machine, now)
    }
}
