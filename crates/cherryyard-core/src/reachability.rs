//! Whether what we send a machine arrives there.
//!
//! A machine's reports say that it lives, not that it hears us: a cut may take one
//! direction only. What its reports *reflect* of our answers and commands says that: a
//! token it did not have, a start that we sent, a incarnation that goes on. One that fails
//! to reflect something is asked directly; one that does not answer is unreachable.
//! Nothing new is placed on such a machine: each time its lease runs out its next
//! incarnation looks like an empty machine, the roomiest of all.

use crate::Millis;
use crate::machine::{Freshness, Machine, MachineEvent, MachineState, Task};
use cherryyard_wire::worker::WorkerHeartbeat;

/// How often what we sent was not reflected before the machine is asked.
const MISSES: u32 = 2;
/// How often it is asked in vain before it counts as unreachable.
const TRIES: u32 = 2;
/// Time between two questions to a doubted machine, and to an unreachable one.
const QUERY_MS: f64 = 1000.0;
const QUERY_LATER_MS: f64 = 4000.0;

/// Whether what we send a machine arrives there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reachability {
    /// As far as is known. How much in a row was not reflected.
    Reachable(u32),
    /// Something was not reflected: it is asked, so often in vain so far.
    Doubted(u32),
    /// It does not answer, since then.
    Unreachable(Millis),
}

/// What tells of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReachabilityEvent {
    /// A report, or the answer to a command or a question, shows that it heard us.
    Reflected,
    /// Something that we sent and that it should show by now is not there.
    Missed,
    /// Its lease ran out though we answered it, or while we heard nothing of it: its
    /// new incarnation has yet to show that it hears.
    NewSession,
    /// It was asked, and did not answer.
    NoAnswer,
}

impl Reachability {
    /// The one place where it changes.
    pub fn after(self, event: ReachabilityEvent, now: Millis) -> Self {
        use ReachabilityEvent::*;
        match (self, event) {
            (_, Reflected) => Self::Reachable(0),
            (Self::Reachable(n), Missed) if n + 1 < MISSES => Self::Reachable(n + 1),
            (Self::Reachable(_), Missed | NewSession) => Self::Doubted(0),
            (Self::Doubted(n), NoAnswer) if n + 1 < TRIES => Self::Doubted(n + 1),
            (Self::Doubted(_), NoAnswer) => Self::Unreachable(now),
            (same, _) => same,
        }
    }

    /// Whether something new may be placed there.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Reachable(_))
    }

    /// How long after a question the next is due, if one is.
    pub fn query_interval_ms(self) -> Option<Millis> {
        match self {
            Self::Reachable(_) => None,
            Self::Doubted(_) => Some(QUERY_MS),
            Self::Unreachable(_) => Some(QUERY_LATER_MS),
        }
    }
}

impl Machine {
    /// The one place through which its reach changes.
    pub(crate) fn reached(&mut self, event: ReachabilityEvent, now: Millis) {
        let after = self.reachability.after(event, now);
        match (self.reachability, after) {
            (Reachability::Doubted(_), Reachability::Unreachable(_)) => {
                tracing::info!(machine = %self.addr, "a machine reports, but what we send it does not arrive");
            }
            (Reachability::Unreachable(since), Reachability::Reachable(_)) => {
                tracing::info!(machine = %self.addr, after_ms = now - since, "a machine hears us again");
            }
            _ => {}
        }
        self.reachability = after;
    }

    /// Takes a newer report's word for what the last answer brought about.
    pub(crate) fn check_offered(&mut self, now: Millis) {
        let offered = std::mem::take(&mut self.offered);
        if offered.is_empty() {
            return;
        }
        let shown = |(task, attempt): &(Task, u64)| {
            self.reported
                .get(task)
                .is_some_and(|s| s.attempt == *attempt)
        };
        let event = if offered.iter().all(shown) {
            ReachabilityEvent::Reflected
        } else {
            ReachabilityEvent::Missed
        };
        self.reached(event, now);
    }

    /// Takes the answer to a direct question, which no late copy can be: the connection
    /// was made for it. The worker numbers it after all that it sent before, so one that
    /// comes before what was known when it was asked is of a worker that began anew:
    /// whatever was started there before, up to this attempt, is gone with its
    /// process. Only starts sent directly may yet arrive, if the incarnations' numbers agree.
    pub(crate) fn answered(
        &mut self,
        report: &WorkerHeartbeat,
        token: u64,
        last: u64,
        now: Millis,
    ) -> Freshness {
        self.reached(ReachabilityEvent::Reflected, now);
        let order = (report.incarnation, report.sequence);
        if order >= self.queried.1 {
            return self.hear(report, token, now);
        }
        tracing::info!(machine = %self.addr, incarnation = report.incarnation, before = self.newest.0, "a worker began anew");
        self.pushed.retain(|p| p.incarnation >= report.incarnation);
        self.offered.clear();
        self.runs.clear();
        self.images.clear();
        self.born_after = last;
        self.answered_at = now;
        self.newest = order;
        self.old_in_a_row = 0;
        self.change(MachineEvent::TokenChanged);
        self.anew = true;
        self.take(report, token, now);
        Freshness::New
    }

    /// Whether it is to be asked directly now.
    pub(crate) fn query_due(&self, lost_ms: f64, now: Millis) -> bool {
        let since = now - self.queried.0;
        let doubt = self
            .reachability
            .query_interval_ms()
            .is_some_and(|ms| since >= ms)
            && now - self.last_heard_at < lost_ms;
        // A copy that came late, or a worker that began anew: only it can tell.
        let old = self.old_in_a_row >= 2 && since >= if self.anew { 300.0 } else { 1000.0 };
        !self.query_pending
            && (doubt || old)
            && matches!(
                self.state,
                MachineState::Unconfirmed | MachineState::Ready | MachineState::Expired
            )
    }

    /// Whether a start of this attempt is not sent any more. It stays so: the scheduling cycle that
    /// takes the assignment back may be applied at any later time.
    pub(crate) fn gave_up(&self, incarnation: u64, attempt: u64) -> bool {
        incarnation == self.given_up.0 && attempt <= self.given_up.1
    }

    /// Whether an attempt was of the worker's life before, and nothing of it is left.
    /// The worker shows our token: of older owners nothing can arrive any more.
    pub(crate) fn of_life_before(&self, task: Task, incarnation: u64, attempt: u64) -> bool {
        matches!(self.state, MachineState::Ready | MachineState::Returning)
            && self.token_ours()
            && (incarnation > self.newest.0 || attempt <= self.born_after)
            && !self.start_pending(task, attempt)
            && self
                .reported
                .get(&task)
                .is_none_or(|s| s.attempt != attempt || s.ended())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// One lost answer is none, two are asked for; a question answered ends all doubt.
    #[test]
    fn silence_of_one_direction() {
        use ReachabilityEvent::*;
        let mut r = Reachability::Reachable(0);
        let mut states = Vec::new();
        for event in [
            Missed, Reflected, Missed, Missed, NoAnswer, Missed, NoAnswer, NewSession, Reflected,
            NewSession, Reflected,
        ] {
            r = r.after(event, 9.0);
            states.push(r);
        }
        use Reachability::*;
        assert_eq!(
            states,
            [
                Reachable(1),
                Reachable(0),
                Reachable(1),
                Doubted(0),
                Doubted(1),
                Doubted(1),
                Unreachable(9.0),
                Unreachable(9.0),
                Reachable(0),
                Doubted(0),
                Reachable(0),
            ]
        );
    }
}
