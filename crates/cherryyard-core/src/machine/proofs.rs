//! What is proven of attempts on a machine by what it has reported.

use super::{Machine, MachineState, Task};

impl Machine {
    /// Whether the newest message carried the token that is ours now.
    pub fn shows_our_token(&self) -> bool {
        self.confirmed_token != 0 && self.token == self.confirmed_token
    }

    /// Whether a start of this attempt may yet take effect.
    pub fn start_pending(&self, task: Task, attempt: u64) -> bool {
        let mut pushed = self.pushed.iter();
        pushed.any(|start| start.task == task && start.attempt == attempt)
            || self.offered.contains(&(task, attempt))
    }

    /// Whether a start of this attempt is not sent any more. It stays so: the scheduling cycle
    /// that takes the assignment back may be applied at any later time.
    pub(crate) fn has_given_up(&self, incarnation: u64, attempt: u64) -> bool {
        incarnation == self.given_up.0 && attempt <= self.given_up.1
    }

    /// Whether a task with this assignment is proven not to be on the machine, nor
    /// able to come back there.
    pub fn proven_gone(&self, task: Task, incarnation: u64, attempt: u64) -> bool {
        // A machine that hung beyond its lease may carry out what was sent to it before it
        // sees that its incarnation is over: then only its release, or a newer incarnation, is
        // proof.
        if self.lease_over && incarnation <= self.newest.0 && !self.start_pending(task, attempt) {
            return true;
        }
        if self.restarted_after > 0 && self.is_from_before_restart(task, incarnation, attempt) {
            return true;
        }
        match self.state {
            MachineState::Gone => true,
            MachineState::Unconfirmed | MachineState::Expired => false,
            // Returning may follow Unconfirmed; only a message that carries
            // our token counts.
            MachineState::Ready | MachineState::Returning => {
                self.shows_our_token() && self.is_absent(task, incarnation, attempt)
            }
        }
    }

    /// Whether the newest message, under our token, shows that an attempt is not there.
    fn is_absent(&self, task: Task, incarnation: u64, attempt: u64) -> bool {
        // An assignment older than our token in an incarnation that has yet to come is from
        // before a restart of the worker: it was there before it showed the token.
        let is_of_future_incarnation = incarnation > self.newest.0 && attempt <= self.token;
        let is_unreported = || {
            incarnation == self.newest.0
                && !self.start_pending(task, attempt)
                && !self.is_reported_running(task, attempt)
        };
        incarnation < self.newest.0 || is_of_future_incarnation || is_unreported()
    }

    /// Whether an attempt is from before the worker's restart, and nothing of it is left.
    /// The worker shows our token: of older owners nothing can arrive any more.
    fn is_from_before_restart(&self, task: Task, incarnation: u64, attempt: u64) -> bool {
        matches!(self.state, MachineState::Ready | MachineState::Returning)
            && self.shows_our_token()
            && (incarnation > self.newest.0 || attempt <= self.restarted_after)
            && !self.start_pending(task, attempt)
            && !self.is_reported_running(task, attempt)
    }

    /// Whether the newest message shows an attempt that has not ended.
    fn is_reported_running(&self, task: Task, attempt: u64) -> bool {
        let reported = self.reported.get(&task);
        reported.is_some_and(|reported| reported.attempt == attempt && !reported.ended())
    }
}
