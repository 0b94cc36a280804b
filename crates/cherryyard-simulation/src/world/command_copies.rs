//! Copies of direct commands that a worker has carried out and answered, which may arrive again at
//! any later time.

use super::{HeldCommand, World};
use crate::seeded_draws;

/// Shortest and longest delay of a copy in a random scenario, in milliseconds.
const MIN_DELAY_MS: u64 = 1000;
const MAX_DELAY_MS: u64 = 60_000;
/// Time after which the delivery to an unreachable machine is tried again.
const HOLD_BACK_MS: f64 = 100.0;

/// Answered direct commands, and the times at which copies of them are delivered. No copy leaves
/// [`CommandCopies::answered`]: each may arrive any number of times.
#[derive(Debug, Default)]
pub struct CommandCopies {
    /// Whether answered commands are recorded.
    pub recording: bool,
    /// The recorded commands, in the order in which they were answered.
    pub answered: Vec<HeldCommand>,
    /// Number of copies that have reached a worker.
    pub delivered: usize,
    /// Whether a copy of each answered command is delivered after a random delay.
    random: bool,
    seed: u64,
    /// Copies that are due at a time.
    pending: Vec<(f64, HeldCommand)>,
}

impl CommandCopies {
    /// Records a command that a machine has carried out and answered.
    pub(super) fn record(&mut self, command: &HeldCommand, now: f64) {
        if self.recording {
            self.answered.push(command.clone());
        }
        if self.random {
            self.seed += 1;
            let delay_ms = MIN_DELAY_MS + seeded_draws(self.seed)(MAX_DELAY_MS - MIN_DELAY_MS);
            self.pending.push((now + delay_ms as f64, command.clone()));
        }
    }

    /// Has a copy delivered later, as its machine cannot be reached.
    fn hold_back(&mut self, command: HeldCommand, now: f64) {
        self.pending.push((now + HOLD_BACK_MS, command));
    }

    fn take_due(&mut self, now: f64) -> Vec<HeldCommand> {
        let due = self.pending.extract_if(.., |(due, _)| *due <= now);
        due.map(|(_, command)| command).collect()
    }
}

impl World {
    /// Begins to deliver a copy of each answered direct command, with delays drawn from `seed`.
    pub fn begin_random_command_copies(&mut self, seed: u64) {
        self.command_copies.random = true;
        self.command_copies.seed = seed << 32;
    }

    /// Ends the copying of further commands; copies on their way are still delivered.
    pub fn finish_random_command_copies(&mut self) {
        self.command_copies.random = false;
    }

    /// Delivers a copy of each recorded batch with a start: of a task, or of the one that no job can
    /// have, by which a heartbeat is requested.
    pub fn deliver_recorded_starts(&mut self) {
        for command in self.command_copies.answered.clone() {
            if command.request.starts().next().is_some() {
                self.deliver_command_copy(&command);
                self.check_rules();
            }
        }
    }

    /// Delivers the copies that are due. One to a machine that hangs is carried out when it resumes;
    /// one to a machine that no controller reaches is held back on its way until one does.
    pub(super) fn deliver_command_copies(&mut self) {
        for command in self.command_copies.take_due(self.now) {
            let mut controllers = 0..self.controllers.len();
            if self.machines.hung.contains(&command.machine) {
                self.machines.held_commands.push(command);
            } else if controllers.any(|i| self.reaches_machine(i, &command.machine)) {
                self.deliver_command_copy(&command);
            } else {
                self.command_copies.hold_back(command, self.now);
            }
        }
    }

    /// Delivers a copy of a command. Nobody waits for the answer.
    fn deliver_command_copy(&mut self, command: &HeldCommand) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(&command.machine) else {
            return;
        };
        let (_, log) = worker.handle_direct_commands(&command.request, now);
        self.command_copies.delivered += 1;
        for line in log {
            self.trace_line(format!("copy: {line}"));
        }
    }
}
