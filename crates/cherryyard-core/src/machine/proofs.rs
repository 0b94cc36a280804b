//! Proofs from a machine's messages that an attempt is absent from the machine and cannot return.

use super::{Machine, MachineState, Task};

impl Machine {
    /// Returns whether the newest message carries a token of the owner's present holding of the
    /// lease.
    pub fn shows_own_token(&self) -> bool {
        self.is_confirmed
    }

    /// Returns whether a start of this attempt may still take effect: it is in the answer to the
    /// newest heartbeat.
    pub fn start_pending(&self, task: Task, attempt: u64) -> bool {
        self.offered_starts.contains(&(task, attempt))
    }

    /// Returns whether starts of this attempt are no longer sent. This is permanent: the scheduling
    /// cycle that withdraws the assignment may be applied at any later time.
    pub(crate) fn is_abandoned(&self, incarnation: u64, attempt: u64) -> bool {
        incarnation == self.abandoned_up_to.0 && attempt <= self.abandoned_up_to.1
    }

    /// Returns whether an assigned attempt is proven to be absent from the machine and unable to
    /// return.
    pub fn proven_gone(&self, task: Task, incarnation: u64, attempt: u64) -> bool {
        // A start in an answer is executed at once or never, also by a machine that hung beyond its
        // lease: the worker drops late answers and those to an earlier incarnation.
        if self.lease_over && incarnation <= self.newest.0 {
            return true;
        }
        if self.last_attempt_before_restart > 0
            && self.is_from_before_restart(task, incarnation, attempt)
        {
            return true;
        }
        match self.state {
            MachineState::Gone => true,
            MachineState::Unconfirmed | MachineState::Expired => false,
            // Returning may follow Unconfirmed, so only a message that carries the current token is
            // a proof.
            MachineState::Ready | MachineState::Returning => {
                self.shows_own_token() && self.is_absent(task, incarnation, attempt)
            }
        }
    }

    /// Returns whether the newest message, which carries the current token, shows that an attempt
    /// is absent.
    fn is_absent(&self, task: Task, incarnation: u64, attempt: u64) -> bool {
        // An attempt no higher than the current token in an incarnation that has not been reported
        // yet was assigned before the worker restarted, so it started before the worker showed this
        // token.
        let is_of_future_incarnation = incarnation > self.newest.0
            && attempt <= self.token
            && !self.start_pending(task, attempt);
        let is_unreported = || {
            incarnation == self.newest.0
                && !self.start_pending(task, attempt)
                && !self.is_reported_running(task, attempt)
        };
        incarnation < self.newest.0 || is_of_future_incarnation || is_unreported()
    }

    /// Returns whether an attempt was started before the worker's restart and nothing of it
    /// remains. The worker has shown the current token, so it refuses commands of earlier owners.
    fn is_from_before_restart(&self, task: Task, incarnation: u64, attempt: u64) -> bool {
        matches!(self.state, MachineState::Ready | MachineState::Returning)
            && self.shows_own_token()
            && (incarnation > self.newest.0 || attempt <= self.last_attempt_before_restart)
            && !self.start_pending(task, attempt)
            && !self.is_reported_running(task, attempt)
    }

    /// Returns whether the newest message reports an attempt that has not ended.
    fn is_reported_running(&self, task: Task, attempt: u64) -> bool {
        let reported = self.reported.get(&task);
        reported.is_some_and(|reported| reported.attempt == attempt && !reported.ended())
    }
}
