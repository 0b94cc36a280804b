//! Whether what we send a machine arrives there.
//!
//! A machine's reports say that it lives, not that it hears us: a cut may take one
//! direction only. What its reports *reflect* of our answers and commands says that: a
//! token it did not have, a start that we sent, a session that goes on. One that fails
//! to reflect something is asked directly; one that does not answer is unreachable.
//! Nothing new is placed on such a machine: each time its lease runs out its next
//! session looks like an empty machine, the roomiest of all.

use crate::Millis;

/// How often what we sent was not reflected before the machine is asked.
const MISSES: u32 = 2;
/// How often it is asked in vain before it counts as unreachable.
const TRIES: u32 = 2;
/// Time between two questions to a doubted machine, and to an unreachable one.
const ASK_MS: f64 = 1000.0;
const ASK_LATER_MS: f64 = 4000.0;

/// Whether what we send a machine arrives there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// As far as is known. How much in a row was not reflected.
    Hears(u32),
    /// Something was not reflected: it is asked, so often in vain so far.
    Doubted(u32),
    /// It does not answer, since then.
    Unreachable(Millis),
}

/// What tells of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReachEvent {
    /// A report, or the answer to a command or a question, shows that it heard us.
    Reflected,
    /// Something that we sent and that it should show by now is not there.
    Missed,
    /// Its lease ran out though we answered it, or while we heard nothing of it: its
    /// new session has yet to show that it hears.
    NewSession,
    /// It was asked, and did not answer.
    NoAnswer,
}

impl Reach {
    /// The one place where it changes.
    pub fn after(self, event: ReachEvent, now: Millis) -> Self {
        use ReachEvent::*;
        match (self, event) {
            (_, Reflected) => Self::Hears(0),
            (Self::Hears(n), Missed) if n + 1 < MISSES => Self::Hears(n + 1),
            (Self::Hears(_), Missed | NewSession) => Self::Doubted(0),
            (Self::Doubted(n), NoAnswer) if n + 1 < TRIES => Self::Doubted(n + 1),
            (Self::Doubted(_), NoAnswer) => Self::Unreachable(now),
            (same, _) => same,
        }
    }

    /// Whether something new may be placed there.
    pub fn hears(self) -> bool {
        matches!(self, Self::Hears(_))
    }

    /// How long after a question the next is due, if one is.
    pub fn ask_ms(self) -> Option<Millis> {
        match self {
            Self::Hears(_) => None,
            Self::Doubted(_) => Some(ASK_MS),
            Self::Unreachable(_) => Some(ASK_LATER_MS),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// One lost answer is none, two are asked for; a question answered ends all doubt.
    #[test]
    fn silence_of_one_direction() {
        use ReachEvent::*;
        let mut r = Reach::Hears(0);
        let mut states = Vec::new();
        for event in [
            Missed, Reflected, Missed, Missed, NoAnswer, Missed, NoAnswer, NewSession, Reflected,
            NewSession, Reflected,
        ] {
            r = r.after(event, 9.0);
            states.push(r);
        }
        use Reach::*;
        assert_eq!(
            states,
            [
                Hears(1),
                Hears(0),
                Hears(1),
                Doubted(0),
                Doubted(1),
                Doubted(1),
                Unreachable(9.0),
                Unreachable(9.0),
                Hears(0),
                Doubted(0),
                Hears(0),
            ]
        );
    }
}
