//! Where a flow stands: whether it has what is its due.

use crate::Millis;

/// Part of its floor that a flow may lack without being short of it: what runs changes
/// all the time.
const SLACK: f64 = 0.05;

/// Where a flow stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FairShareStatus {
    /// It has its floor, or asks for nothing.
    Served,
    /// It has had less since this time.
    Short(Millis),
    /// It has had less for as long as counts: up to its floor it goes ahead of rank,
    /// and nothing of that is stopped for others.
    Ahead,
    /// It has its floor, and since this time plenty: it keeps its place until that has
    /// lasted as long. While it has no more than its floor it would lose that again at
    /// once, and wait anew.
    Easing(Millis),
}

/// What a flow has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Has {
    /// Less than its floor.
    Less,
    /// Its floor.
    Enough,
    /// More than that by a fifth, or all that it asks for.
    Plenty,
}

impl Has {
    /// What a flow has that runs so much, has so much waiting, and this floor.
    pub fn of(running: f64, waiting: f64, floor: f64) -> Self {
        if waiting <= 0.0 || floor <= 0.0 || running >= floor * 1.2 {
            Self::Plenty
        } else if running >= floor * (1.0 - SLACK) {
            Self::Enough
        } else {
            Self::Less
        }
    }
}

impl FairShareStatus {
    /// The one place where a flow's standing changes: by what it has now.
    pub fn after(self, has: Has, window_ms: f64, now: Millis) -> Self {
        let over = |since: Millis| now - since >= window_ms;
        match (self, has) {
            (Self::Served, Has::Less) => Self::Short(now),
            (Self::Short(since), Has::Less) if over(since) => Self::Ahead,
            (Self::Short(_), Has::Enough | Has::Plenty) => Self::Served,
            (Self::Ahead, Has::Enough | Has::Plenty) => Self::Easing(now),
            (Self::Easing(_), Has::Less) => Self::Ahead,
            (Self::Easing(_), Has::Enough) => Self::Easing(now),
            (Self::Easing(since), Has::Plenty) if over(since) => Self::Served,
            (same, _) => same,
        }
    }

    /// Whether the flow goes ahead up to its floor.
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
