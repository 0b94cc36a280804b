//! Whether a flow has its fair-share guarantee.

use crate::Millis;

/// Part of its guarantee that a flow may lack without being short of it: what runs changes
/// all the time.
const TOLERANCE: f64 = 0.05;
/// What a flow has to run, in times of its guarantee, to have ample.
const AMPLE: f64 = 1.2;

/// Whether a flow has its fair-share guarantee, and since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FairShareStatus {
    /// It has its guarantee, or asks for nothing.
    Served,
    /// It has had less since this time.
    Short(Millis),
    /// It has had less for as long as counts: up to its guarantee it goes ahead of rank,
    /// and nothing of that is stopped for others.
    Ahead,
    /// It has its guarantee, and since this time ample: it keeps its place until that has
    /// lasted as long. While it has no more than its guarantee it would lose that again at
    /// once, and wait anew.
    Easing(Millis),
}

/// How far what a flow runs covers its guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// It runs less.
    Below,
    /// It runs as much.
    Met,
    /// It runs a fifth more, or all that it asks for.
    Ample,
}

impl Coverage {
    /// The coverage of a flow that runs so many cores, and has so many waiting.
    pub fn of(running: f64, waiting: f64, guarantee: f64) -> Self {
        if waiting <= 0.0 || guarantee <= 0.0 || running >= guarantee * AMPLE {
            Self::Ample
        } else if running >= guarantee * (1.0 - TOLERANCE) {
            Self::Met
        } else {
            Self::Below
        }
    }
}

impl FairShareStatus {
    /// The one place where a flow's status changes: by what it has now.
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

    /// Whether the flow goes ahead up to its guarantee.
    pub fn ahead(self) -> bool {
        matches!(self, Self::Ahead | Self::Easing(_))
    }

    /// Its name, for the log.
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
