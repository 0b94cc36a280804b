//! Reachability: whether what we send a machine arrives there.
//!
//! A machine's heartbeats say that it lives, not that it receives anything: a partition may
//! cut one direction only. What they *reflect* of our answers and commands says that: a
//! token it did not have, a start that we sent, an incarnation that goes on. One that fails
//! to reflect something is queried; one that does not answer is unreachable.
//! Nothing new is placed on such a machine: each time its lease runs out its next
//! incarnation looks like an empty machine, the roomiest of all.

use crate::Millis;

/// How often what we sent was not reflected before the machine is queried.
const MAX_MISSES: u32 = 2;
/// How often it is queried in vain before it counts as unreachable.
const MAX_QUERIES: u32 = 2;
/// Time between two queries to a doubted machine.
const DOUBTED_QUERY_MS: f64 = 1000.0;
/// Time between two queries to an unreachable machine.
const UNREACHABLE_QUERY_MS: f64 = 4000.0;

/// Whether what we send a machine arrives there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reachability {
    /// As far as is known. How much in a row was not reflected.
    Reachable(u32),
    /// Something was not reflected: it is queried, so often in vain so far.
    Doubted(u32),
    /// It does not answer, since then.
    Unreachable(Millis),
}

/// What shows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReachabilityEvent {
    /// A message shows that something of ours has arrived.
    Reflected,
    /// Something that we sent and that it should show by now is not there.
    Missed,
    /// Its lease ran out though we answered it, or while nothing came from it: its
    /// new incarnation has yet to show that it receives anything.
    NewIncarnation,
    /// It was queried, and did not answer.
    NoAnswer,
}

impl Reachability {
    /// The one place where it changes.
    pub fn after(self, event: ReachabilityEvent, now: Millis) -> Self {
        use ReachabilityEvent::*;
        match (self, event) {
            (_, Reflected) => Self::Reachable(0),
            (Self::Reachable(n), Missed) if n + 1 < MAX_MISSES => Self::Reachable(n + 1),
            (Self::Reachable(_), Missed | NewIncarnation) => Self::Doubted(0),
            (Self::Doubted(n), NoAnswer) if n + 1 < MAX_QUERIES => Self::Doubted(n + 1),
            (Self::Doubted(_), NoAnswer) => Self::Unreachable(now),
            (Self::Reachable(_), NoAnswer)
            | (Self::Doubted(_), Missed | NewIncarnation)
            | (Self::Unreachable(_), Missed | NewIncarnation | NoAnswer) => self,
        }
    }

    /// Whether something new may be placed there.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Reachable(_))
    }

    /// How long after a query the next is due, if one is.
    pub fn query_interval_ms(self) -> Option<Millis> {
        match self {
            Self::Reachable(_) => None,
            Self::Doubted(_) => Some(DOUBTED_QUERY_MS),
            Self::Unreachable(_) => Some(UNREACHABLE_QUERY_MS),
        }
    }
}

#[cfg(test)]
mod tests;
