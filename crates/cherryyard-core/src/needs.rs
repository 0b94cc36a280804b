//! Amounts of a machine's resources, either required by a task or free on a machine.

/// Tolerance for rounding errors in sums of fractional resource amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Number of times that an amount is assumed to fit by a resource of which it requires nothing.
const UNBOUNDED_TIMES: f64 = 1e6;

/// Amounts of a machine's resources.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Needs {
    /// Number of cores.
    pub cores: f64,
    /// Number of accelerators.
    pub acc: f64,
    /// Memory in GB.
    pub ram: f64,
}

impl Needs {
    /// Returns whether `self` fits into `free`, within the tolerance for rounding errors.
    pub fn fits(&self, free: &Needs) -> bool {
        self.cores <= free.cores + ROUNDING_TOLERANCE
            && self.acc <= free.acc + ROUNDING_TOLERANCE
            && self.ram <= free.ram + ROUNDING_TOLERANCE
    }

    /// Returns how many times `self` fits into `free`.
    pub fn times_in(&self, free: &Needs) -> u32 {
        let times = |need: f64, available: f64| {
            if need > 0.0 {
                ((available + ROUNDING_TOLERANCE) / need).floor().max(0.0)
            } else {
                UNBOUNDED_TIMES
            }
        };
        times(self.cores, free.cores)
            .min(times(self.acc, free.acc))
            .min(times(self.ram, free.ram)) as u32
    }

    /// Subtracts `other`.
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
