//! Provisioned machines on their way: when each should be up, and which will not be.
//!
//! What a type takes to be up is learned by zone from what has come up there, the way
//! round-trip times are; `ready_s` stands for it at first. One that is overdue is
//! counted as room that will not come and is so replaced, but only a part of them at a
//! time: where all are late, for as long as some fault lasts, a replacement for each
//! would come as a second fleet once it is over.

use cherryyard_wire::cloud::{Instance, InstanceStatus};
use std::collections::HashMap;

/// Weights of a new time in the mean and in the deviation.
const MEAN_GAIN: f64 = 0.125;
const DEVIATION_GAIN: f64 = 0.25;
/// The deviation before any time is known, as a part of the published time.
const FIRST_DEVIATION: f64 = 0.25;
/// Deviations that an expectation allows beyond the mean.
const DEVIATIONS: f64 = 4.0;
/// An expectation before any time is known, and its bounds, in times of the published
/// time.
const FIRST: f64 = 2.0;
const LEAST: f64 = 1.6;
const MOST: f64 = 6.0;
/// Overdue machines that are replaced at a time: this part of all, and so many anyway.
const REPLACED_SHARE: f64 = 0.08;
const REPLACED: f64 = 4.0;
/// A machine that takes this many times its expectation, and so many seconds more, never
/// comes up.
const NEVER: f64 = 3.0;
const NEVER_MORE_S: f64 = 30.0;

/// Where a provisioned machine stands, on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProvisioningProgress {
    /// It should be up at any time.
    Expected,
    /// It should have been up.
    Overdue,
    /// It will not come up: it is returned.
    Never,
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

/// What a type takes to be up in a zone, in seconds.
#[derive(Clone, Copy, Debug)]
struct Learned {
    mean: f64,
    deviation: f64,
}

/// What machines take to be up, as learned from the lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProvisioningTimes {
    learned: HashMap<TypeInZone, Learned>,
}

impl ProvisioningTimes {
    /// A machine of this type and zone was up after so many seconds, at the latest.
    pub(crate) fn up(&mut self, machine_type: &str, zone: &str, ready_s: f64, took_s: f64) {
        let key = TypeInZone::new(machine_type, zone);
        let learned = self.learned.entry(key).or_insert(Learned {
            mean: ready_s,
            deviation: ready_s * FIRST_DEVIATION,
        });
        let off = took_s - learned.mean;
        learned.deviation += DEVIATION_GAIN * (off.abs() - learned.deviation);
        learned.mean += MEAN_GAIN * off;
    }

    /// Until how many seconds after its provisioning request a machine is expected to be up.
    pub(crate) fn expected_s(&self, machine_type: &str, zone: &str, ready_s: f64) -> f64 {
        let learned = self.learned.get(&TypeInZone::new(machine_type, zone));
        let expected = learned.map_or(ready_s * FIRST, |learned| {
            learned.mean + DEVIATIONS * learned.deviation
        });
        expected.clamp(ready_s * LEAST, ready_s * MOST)
    }

    /// Where a machine stands that has been on its way for so long.
    pub(crate) fn stands(
        &self,
        machine_type: &str,
        zone: &str,
        ready_s: f64,
        held_s: f64,
    ) -> ProvisioningProgress {
        let expected_s = self.expected_s(machine_type, zone, ready_s);
        if held_s <= expected_s {
            ProvisioningProgress::Expected
        } else if held_s <= expected_s * NEVER + NEVER_MORE_S {
            ProvisioningProgress::Overdue
        } else {
            ProvisioningProgress::Never
        }
    }

    /// Where a listed machine stands that is not up yet, given its type's published time.
    pub(crate) fn progress_of(&self, instance: &Instance, ready_s: f64) -> ProvisioningProgress {
        let (machine_type, zone) = (&instance.machine_type, &instance.zone);
        self.stands(machine_type, zone, ready_s, instance.held_s)
    }

    /// Learns from a new list which machines have come up since the one `before`.
    /// `held_s` is as of the list, so it is at most one list too much.
    pub(crate) fn learn(
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
                self.up(machine_type, zone, ready_s(machine_type), instance.held_s);
            }
        }
    }
}

/// How many cores still come of those on their way: overdue ones do not, but for those
/// beyond what is replaced at a time.
pub(crate) fn coming(expected: f64, overdue: f64, total: f64, largest: f64) -> f64 {
    let replaced = (total * REPLACED_SHARE).max(REPLACED * largest);
    expected + (overdue - replaced).max(0.0)
}

#[cfg(test)]
mod tests;
