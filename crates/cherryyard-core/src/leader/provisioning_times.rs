//! Estimates of when provisioned machines come up, and which of them never will.
//!
//! The time that a machine type takes to come up is estimated by zone from the machines that have
//! come up there, by a smoothed mean and deviation as for round-trip times. Before that, the
//! estimate is based on the published `ready_s`. Cores of an overdue machine count as capacity
//! that does not come, so the machine is replaced, but only a part of the overdue machines is
//! replaced at a time: if a fault delays all machines, a replacement for each would arrive as a
//! second fleet once the fault is over.

use cherryyard_wire::cloud::{Instance, InstanceStatus};
use std::collections::HashMap;

/// Weight of a new sample in the mean.
const MEAN_GAIN: f64 = 0.125;
/// Weight of a new sample in the deviation.
const DEVIATION_GAIN: f64 = 0.25;
/// Deviation before any sample, as a fraction of the published time.
const INITIAL_DEVIATION: f64 = 0.25;
/// Number of deviations that an expected time allows beyond the mean.
const DEVIATIONS: f64 = 4.0;
/// Expected time before any sample, as a multiple of the published time.
const INITIAL_EXPECTATION: f64 = 2.0;
/// Lower bound of expected times, as a multiple of the published time.
const MIN_EXPECTATION: f64 = 1.6;
/// Upper bound of expected times, as a multiple of the published time.
const MAX_EXPECTATION: f64 = 6.0;
/// Limit on the cores of overdue machines that are replaced at a time, as a share of the cores that
/// are up.
const REPLACED_SHARE: f64 = 0.08;
/// Least value of the limit that [`REPLACED_SHARE`] sets, as a number of machines of the largest
/// size among those that are starting.
const MIN_REPLACED_MACHINES: f64 = 4.0;
/// Multiple of its expected time, plus [`GIVE_UP_EXTRA_S`], after which a machine is considered
/// never to come up.
const GIVE_UP_FACTOR: f64 = 3.0;
/// Time in seconds that is added to the multiple which [`GIVE_UP_FACTOR`] sets.
const GIVE_UP_EXTRA_S: f64 = 30.0;

/// Progress of a machine that has been provisioned and is not up yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProvisioningProgress {
    /// The machine is within its expected time.
    Expected,
    /// The machine has exceeded its expected time.
    Overdue,
    /// The machine will not come up, and is returned.
    Failed,
}

/// A machine type in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TypeInZone {
    machine_type: String,
    zone: String,
}

impl TypeInZone {
    fn new(machine_type: &str, zone: &str) -> Self {
        Self {
            machine_type: machine_type.to_string(),
            zone: zone.to_string(),
        }
    }
}

/// Time that machines of a type take to come up in a zone, in seconds.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    mean: f64,
    deviation: f64,
}

/// Times that machines take to come up, estimated from the cloud's lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProvisioningTimes {
    estimates: HashMap<TypeInZone, Estimate>,
}

impl ProvisioningTimes {
    /// Records that a machine of this type and zone came up after at most `took_s` seconds.
    pub(crate) fn record(&mut self, machine_type: &str, zone: &str, ready_s: f64, took_s: f64) {
        let key = TypeInZone::new(machine_type, zone);
        let estimate = self.estimates.entry(key).or_insert(Estimate {
            mean: ready_s,
            deviation: ready_s * INITIAL_DEVIATION,
        });
        let difference = took_s - estimate.mean;
        estimate.deviation += DEVIATION_GAIN * (difference.abs() - estimate.deviation);
        estimate.mean += MEAN_GAIN * difference;
    }

    /// Returns the number of seconds after its provisioning request within which a machine is
    /// expected to be up.
    pub(crate) fn expected_s(&self, machine_type: &str, zone: &str, ready_s: f64) -> f64 {
        let estimate = self.estimates.get(&TypeInZone::new(machine_type, zone));
        let expected = estimate.map_or(ready_s * INITIAL_EXPECTATION, |estimate| {
            estimate.mean + DEVIATIONS * estimate.deviation
        });
        expected.clamp(ready_s * MIN_EXPECTATION, ready_s * MAX_EXPECTATION)
    }

    /// Returns the progress of a machine that is not up `held_s` seconds after its provisioning
    /// request.
    pub(crate) fn progress(
        &self,
        machine_type: &str,
        zone: &str,
        ready_s: f64,
        held_s: f64,
    ) -> ProvisioningProgress {
        let expected_s = self.expected_s(machine_type, zone, ready_s);
        if held_s <= expected_s {
            ProvisioningProgress::Expected
        } else if held_s <= expected_s * GIVE_UP_FACTOR + GIVE_UP_EXTRA_S {
            ProvisioningProgress::Overdue
        } else {
            ProvisioningProgress::Failed
        }
    }

    /// Returns the progress of a listed machine that is not up yet, given its type's published
    /// time.
    pub(crate) fn progress_of(&self, instance: &Instance, ready_s: f64) -> ProvisioningProgress {
        let (machine_type, zone) = (&instance.machine_type, &instance.zone);
        self.progress(machine_type, zone, ready_s, instance.held_s)
    }

    /// Records the machines that have come up since the list `before`. Their times are the
    /// `held_s` of the new list, so they are too long by at most the time between two lists.
    pub(crate) fn record_list(
        &mut self,
        instances: &[Instance],
        before: &HashMap<String, Instance>,
        ready_s: impl Fn(&str) -> f64,
    ) {
        let running = instances
            .iter()
            .filter(|instance| instance.status == InstanceStatus::Running);
        for instance in running {
            let before = before.get(&instance.id);
            if before.is_some_and(|before| before.status == InstanceStatus::Starting) {
                let (machine_type, zone) = (&instance.machine_type, &instance.zone);
                self.record(machine_type, zone, ready_s(machine_type), instance.held_s);
            }
        }
    }
}

/// Returns how many cores of provisioned machines count as still to come: the `expected` ones, and
/// those of the `overdue` ones that exceed the limit on what is replaced at a time. `total` is the
/// number of cores that are up, `largest` the cores of the largest machine that is starting.
pub(crate) fn cores_to_come(expected: f64, overdue: f64, total: f64, largest: f64) -> f64 {
    let replaced = (total * REPLACED_SHARE).max(MIN_REPLACED_MACHINES * largest);
    expected + (overdue - replaced).max(0.0)
}

#[cfg(test)]
mod tests;
