//! Amounts of a machine's resources, either required by a task or free on a machine.

/// Tolerance for rounding errors in sums of fractional resource amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// Number of times that an amount is assumed to fit by a resource of which it requires nothing.
const UNBOUNDED_TIMES: f64 = 1e6;

/// Amounts of a machine's resources.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// Number of cores.
    pub cores: f64,
    /// Number of accelerators.
    pub accelerators: f64,
    /// Memory in GB.
    pub ram_gb: f64,
}

impl Resources {
    /// Returns whether `self` fits into `free`, within the tolerance for rounding errors.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cores <= free.cores + ROUNDING_TOLERANCE
            && self.accelerators <= free.accelerators + ROUNDING_TOLERANCE
            && self.ram_gb <= free.ram_gb + ROUNDING_TOLERANCE
    }

    /// Returns how many times `self` fits into `free`.
    pub fn times_in(&self, free: &Resources) -> u32 {
        let times = |need: f64, available: f64| {
            if need > 0.0 {
                ((available + ROUNDING_TOLERANCE) / need).floor().max(0.0)
            } else {
                UNBOUNDED_TIMES
            }
        };
        times(self.cores, free.cores)
            .min(times(self.accelerators, free.accelerators))
            .min(times(self.ram_gb, free.ram_gb)) as u32
    }

    /// Subtracts `other`.
    pub fn subtract(&mut self, other: &Resources) {
        self.cores -= other.cores;
        self.accelerators -= other.accelerators;
        self.ram_gb -= other.ram_gb;
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cores += other.cores;
        self.accelerators += other.accelerators;
        self.ram_gb += other.ram_gb;
    }
}
