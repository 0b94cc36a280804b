//! Reachability: whether messages from the owner arrive at a machine.
//!
//! A machine's heartbeats show that it runs, not that it receives anything, because a network
//! partition may cut one direction only. Reception shows in what the heartbeats reflect: a token
//! that the machine did not have before, a start that was sent to it, an incarnation that
//! continues. A machine that fails to reflect these is queried, and one that does not answer is
//! unreachable. No new tasks are placed on an unreachable machine: each time its lease expires, its
//! next incarnation looks like an empty machine with the most free capacity of all, so it would
//! attract every new task.

use crate::Millis;

/// Number of unreflected messages in a row after which the machine is queried.
const MAX_UNREFLECTED: u32 = 2;
/// Number of unanswered queries in a row after which the machine counts as unreachable.
const MAX_UNANSWERED_QUERIES: u32 = 2;
/// Time between two queries to a machine that is suspected to be unreachable.
const SUSPECTED_QUERY_MS: f64 = 1000.0;
/// Time between two queries to an unreachable machine.
const UNREACHABLE_QUERY_MS: f64 = 4000.0;

/// State of knowledge on whether messages to a machine arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reachability {
    /// No evidence shows that messages to the machine fail to arrive; holds the number of the
    /// machine's messages in a row that did not reflect what was sent to it.
    Reachable(u32),
    /// Messages were not reflected, or the machine has a new incarnation, so the machine is
    /// queried; holds the number of queries that it has not answered.
    Suspected(u32),
    /// The machine does not answer queries; holds the time since which this is so.
    Unreachable(Millis),
}

/// Evidence for or against a machine's reachability.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReachabilityEvent {
    /// A message of the machine shows that something sent to it has arrived.
    Reflected,
    /// Something sent to the machine should show in its messages by now and does not.
    NotReflected,
    /// The machine has a new incarnation: its lease expired although its heartbeats were answered,
    /// or while no message arrived. The new incarnation has yet to show that it receives anything.
    NewIncarnation,
    /// A query to the machine was not answered.
    NoAnswer,
}

impl Reachability {
    /// Returns the reachability that follows this one after an event.
    pub fn after(self, event: ReachabilityEvent, now: Millis) -> Self {
        use ReachabilityEvent::*;
        match (self, event) {
            (_, Reflected) => Self::Reachable(0),
            (Self::Reachable(n), NotReflected) if n + 1 < MAX_UNREFLECTED => Self::Reachable(n + 1),
            (Self::Reachable(_), NotReflected | NewIncarnation) => Self::Suspected(0),
            (Self::Suspected(n), NoAnswer) if n + 1 < MAX_UNANSWERED_QUERIES => {
                Self::Suspected(n + 1)
            }
            (Self::Suspected(_), NoAnswer) => Self::Unreachable(now),
            (Self::Reachable(_), NoAnswer)
            | (Self::Suspected(_), NotReflected | NewIncarnation)
            | (Self::Unreachable(_), NotReflected | NewIncarnation | NoAnswer) => self,
        }
    }

    /// Returns whether new tasks may be placed on the machine.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Reachable(_))
    }

    /// Returns the time between two queries in this state, or `None` if none are sent.
    pub fn query_interval_ms(self) -> Option<Millis> {
        match self {
            Self::Reachable(_) => None,
            Self::Suspected(_) => Some(SUSPECTED_QUERY_MS),
            Self::Unreachable(_) => Some(UNREACHABLE_QUERY_MS),
        }
    }
}

#[cfg(test)]
mod tests;
