//! Fair-share status of a flow: whether it has run less than its guarantee for long enough to be
//! served ahead of rank (before jobs of higher rank).

use crate::Millis;

/// Fraction of its guarantee by which a flow may fall below it and still count as served: the
/// number of running tasks varies all the time.
const SHORTFALL_TOLERANCE: f64 = 0.05;
/// Multiple of its guarantee that a flow has to run for [`Coverage::Ample`].
const AMPLE_MULTIPLE: f64 = 1.2;

/// Fair-share status of a flow. The time in a variant is the start of the window after which the
/// status changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FairShareStatus {
    /// The flow has its guarantee, or has nothing waiting.
    Served,
    /// The flow has run less than its guarantee since this time, for less than a window.
    Short(Millis),
    /// The flow has run less than its guarantee for a whole window. Up to its guarantee its jobs
    /// are started ahead of rank, and its tasks are not preempted for other jobs.
    Ahead,
    /// The flow has its guarantee again, with ample coverage since this time. It stays ahead of
    /// rank until that has lasted for a window: a flow that runs no more than its guarantee would
    /// fall below it again at once, and would wait for another window.
    Easing(Millis),
}

/// Part of its guarantee that a flow runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// Less than the guarantee, beyond the tolerance.
    Below,
    /// The guarantee, within the tolerance.
    Met,
    /// At least a fifth more than the guarantee, or all that the flow asks for.
    Ample,
}

impl Coverage {
    /// Returns the coverage of a flow, given the cores of its running and its waiting tasks and its
    /// guarantee.
    pub fn of(running: f64, waiting: f64, guarantee: f64) -> Self {
        if waiting <= 0.0 || guarantee <= 0.0 || running >= guarantee * AMPLE_MULTIPLE {
            Self::Ample
        } else if running >= guarantee * (1.0 - SHORTFALL_TOLERANCE) {
            Self::Met
        } else {
            Self::Below
        }
    }
}

impl FairShareStatus {
    /// Returns the status that follows from the present coverage: the only transition function of
    /// this state machine. `window_ms` is the time for which a coverage has to last.
    pub fn after(self, coverage: Coverage, window_ms: f64, now: Millis) -> Self {
        let over = |since: Millis| now - since >= window_ms;
        match (self, coverage) {
            (Self::Served, Coverage::Below) => Self::Short(now),
            (Self::Short(since), Coverage::Below) if over(since) => Self::Ahead,
            (Self::Short(_), Coverage::Met | Coverage::Ample) => Self::Served,
            (Self::Ahead, Coverage::Met | Coverage::Ample) => Self::Easing(now),
            (Self::Easing(_), Coverage::Below) => Self::Ahead,
            (Self::Easing(_), Coverage::Met) => Self::Easing(now),
            (Self::Easing(since), Coverage::Ample) if over(since) => Self::Served,
            (Self::Served, Coverage::Met | Coverage::Ample)
            | (Self::Short(_) | Self::Ahead, Coverage::Below)
            | (Self::Easing(_), Coverage::Ample) => self,
        }
    }

    /// Returns whether the flow is served ahead of rank up to its guarantee.
    pub fn is_ahead(self) -> bool {
        matches!(self, Self::Ahead | Self::Easing(_))
    }

    /// Returns the name of the status for the log.
    pub fn name(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::Short(_) => "short",
            Self::Ahead => "ahead",
            Self::Easing(_) => "easing",
        }
    }
}

#[cfg(test)]
mod tests;
