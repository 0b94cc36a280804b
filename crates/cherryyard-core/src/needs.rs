//! Amounts of a machine's resources: what a task needs, or what is free.

/// Slack for sums of fractions of resources, which are rounded.
const ROUNDING: f64 = 1e-6;
/// How often an amount fits that needs nothing of a resource.
const UNBOUNDED_TIMES: f64 = 1e6;

/// Amounts of a machine's resources.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Needs {
    /// Cores.
    pub cores: f64,
    /// Accelerators.
    pub acc: f64,
    /// Memory in GB.
    pub ram: f64,
}

impl Needs {
    /// Whether `self` fits into `free`, rounding aside.
    pub fn fits(&self, free: &Needs) -> bool {
        self.cores <= free.cores + ROUNDING
            && self.acc <= free.acc + ROUNDING
            && self.ram <= free.ram + ROUNDING
    }

    /// How many times `self` fits into `free`.
    pub fn times_in(&self, free: &Needs) -> u32 {
        let times = |need: f64, have: f64| {
            if need > 0.0 {
                ((have + ROUNDING) / need).floor().max(0.0)
            } else {
                UNBOUNDED_TIMES
            }
        };
        times(self.cores, free.cores)
            .min(times(self.acc, free.acc))
            .min(times(self.ram, free.ram)) as u32
    }

    /// Takes `other` away.
    pub fn take(&mut self, other: &Needs) {
        self.cores -= other.cores;
        self.acc -= other.acc;
        self.ram -= other.ram;
    }

    /// Adds `other`.
    pub fn give(&mut self, other: &Needs) {
        self.cores += other.cores;
        self.acc += other.acc;
        self.ram += other.ram;
    }
}
