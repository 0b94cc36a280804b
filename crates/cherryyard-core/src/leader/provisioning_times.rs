//! Rented machines on their way: when each should be up, and which will not be.
//!
//! What a type takes to be up is learned by zone from what has come up there, the way
//! round-trip times are; `ready_s` stands for it at first. One that is overdue is
//! counted as room that will not come and is so replaced, but only a part of them at a
//! time: where all are late, for as long as some trouble lasts, a replacement for each
//! would come as a second fleet once it is over.

use super::*;
use std::collections::HashMap;

/// Weights of a new time in the mean and in the deviation.
const MEAN_GAIN: f64 = 0.125;
const DEV_GAIN: f64 = 0.25;
/// An expectation is at least this part of the published time, and at most so many times
/// that.
const LEAST: f64 = 1.6;
const MOST: f64 = 6.0;
/// Overdue machines that are replaced at a time: this part of all, and so many anyway.
const REPLACED_SHARE: f64 = 0.08;
const REPLACED: f64 = 4.0;
/// A machine that takes this many times its expectation never comes up.
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

/// What a type takes to be up in a zone, in seconds.
#[derive(Clone, Copy, Debug)]
struct Learned {
    mean: f64,
    dev: f64,
}

/// What machines take to be up, as learned from the lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProvisioningTimes {
    learned: HashMap<(String, String), Learned>,
}

impl ProvisioningTimes {
    /// A machine of this type and zone was up after so many seconds, at the latest.
    pub(crate) fn up(&mut self, machine_type: &str, zone: &str, ready_s: f64, took_s: f64) {
        let key = (machine_type.to_string(), zone.to_string());
        let l = self.learned.entry(key).or_insert(Learned {
            mean: ready_s,
            dev: ready_s / 4.0,
        });
        let off = took_s - l.mean;
        l.dev += DEV_GAIN * (off.abs() - l.dev);
        l.mean += MEAN_GAIN * off;
    }

    /// Until how many seconds after its provisioning request a machine is expected to be up.
    pub(crate) fn expected_s(&self, machine_type: &str, zone: &str, ready_s: f64) -> f64 {
        let key = (machine_type.to_string(), zone.to_string());
        let learned = self.learned.get(&key);
        let by = learned.map_or(ready_s * 2.0, |l| l.mean + 4.0 * l.dev);
        by.clamp(ready_s * LEAST, ready_s * MOST)
    }

    /// Where a machine stands that has been on its way for so long.
    pub(crate) fn stands(
        &self,
        machine_type: &str,
        zone: &str,
        ready_s: f64,
        held_s: f64,
    ) -> ProvisioningProgress {
        let by = self.expected_s(machine_type, zone, ready_s);
        if held_s <= by {
            ProvisioningProgress::Expected
        } else if held_s <= by * NEVER + NEVER_MORE_S {
            ProvisioningProgress::Overdue
        } else {
            ProvisioningProgress::Never
        }
    }
}

/// How many cores still come of those on their way: overdue ones do not, but for those
/// beyond what is replaced at a time.
pub(crate) fn coming(expected: f64, overdue: f64, total: f64, largest: f64) -> f64 {
    let replaced = (total * REPLACED_SHARE).max(REPLACED * largest);
    expected + (overdue - replaced).max(0.0)
}

impl Controller {
    /// The published time of a type until a machine is up.
    pub(crate) fn ready_s(&self, sku: &str) -> f64 {
        let machine_type = self
            .mirror
            .catalog
            .machine_types
            .iter()
            .find(|k| k.sku == sku);
        machine_type.map_or(60.0, |k| k.ready_s).max(1.0)
    }

    /// Learns from the next list which machines have come up. `held_s` is as of the list,
    /// so it is at most one list too much.
    pub(crate) fn learn_provisioning_times(&mut self, hosts: &[Instance]) {
        for host in hosts.iter().filter(|h| h.status == InstanceStatus::Running) {
            let before = self.listed.get(&host.id);
            if before.is_some_and(|b| b.status == InstanceStatus::Starting) {
                let ready_s = self.ready_s(&host.machine_type);
                let (machine_type, zone) = (&host.machine_type, &host.zone);
                self.leader
                    .provisioning_times
                    .up(machine_type, zone, ready_s, host.held_s);
            }
        }
    }

    /// Where a listed machine stands that is not up yet.
    pub(crate) fn provisioning_progress(&self, host: &Instance) -> ProvisioningProgress {
        let ready_s = self.ready_s(&host.machine_type);
        let provisioning_times = &self.leader.provisioning_times;
        provisioning_times.stands(&host.machine_type, &host.zone, ready_s, host.held_s)
    }

    /// Cores of provisioned machines that should be up at any time and that a job may use.
    pub(crate) fn cores_coming_for(&self, open: &OpenJob) -> f64 {
        let machine_types = &self.mirror.catalog.machine_types;
        let cores_of = |sku: &str| {
            machine_types
                .iter()
                .find(|k| k.sku == sku)
                .map_or(0.0, |k| k.cores)
        };
        let starting = |h: &&Instance| {
            h.status == InstanceStatus::Starting
                && open.allows(&h.machine_type, &h.zone, h.spot).is_some()
                && self.provisioning_progress(h) == ProvisioningProgress::Expected
        };
        let listed = self.listed.values().filter(starting);
        let listed: f64 = listed.map(|h| cores_of(&h.machine_type)).sum();
        let provisioned = self.leader.provisioned.iter();
        let provisioned =
            provisioned.filter(|h| open.allows(&h.machine_type, &h.zone, h.spot).is_some());
        let unlisted = provisioned.map(|h| {
            let unlisted = h.hosts.iter().filter(|n| !self.listed.contains_key(*n));
            cores_of(&h.machine_type) * unlisted.count() as f64
        });
        listed + unlisted.sum::<f64>()
    }

    /// Cores of provisioned machines that will come up, as far as is known.
    pub(crate) fn cores_coming(&self, total: f64) -> f64 {
        let machine_types = &self.mirror.catalog.machine_types;
        let cores_of = |sku: &str| {
            machine_types
                .iter()
                .find(|k| k.sku == sku)
                .map_or(0.0, |k| k.cores)
        };
        let (mut expected, mut overdue, mut largest) = (0.0, 0.0, 0.0f64);
        for h in self.listed.values() {
            if h.status == InstanceStatus::Starting {
                let cores = cores_of(&h.machine_type);
                largest = largest.max(cores);
                match self.provisioning_progress(h) {
                    ProvisioningProgress::Expected => expected += cores,
                    ProvisioningProgress::Overdue => overdue += cores,
                    ProvisioningProgress::Never => {}
                }
            }
        }
        for h in &self.leader.provisioned {
            let unlisted = h.hosts.iter().filter(|n| !self.listed.contains_key(*n));
            expected += cores_of(&h.machine_type) * unlisted.count() as f64;
        }
        coming(expected, overdue, total, largest)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What has come up sets when the next is expected, within bounds.
    #[test]
    fn expectations_are_learned() {
        let mut b = ProvisioningTimes::default();
        assert_eq!(b.expected_s("m", "a", 25.0), 50.0);
        for _ in 0..50 {
            b.up("m", "a", 25.0, 22.0);
        }
        assert_eq!(b.expected_s("m", "a", 25.0), 40.0, "no less than the least");
        assert_eq!(
            b.stands("m", "a", 25.0, 41.0),
            ProvisioningProgress::Overdue
        );
        assert_eq!(b.stands("m", "a", 25.0, 151.0), ProvisioningProgress::Never);
        for _ in 0..50 {
            b.up("m", "a", 25.0, 100.0);
        }
        let by = b.expected_s("m", "a", 25.0);
        assert!((100.0..=150.0).contains(&by), "{by}");
        assert_eq!(b.expected_s("m", "b", 25.0), 50.0, "another zone");
    }

    /// Few that are overdue are replaced, of very many only a share.
    #[test]
    fn no_storm_of_replacements() {
        assert_eq!(coming(40.0, 8.0, 1000.0, 4.0), 40.0);
        assert_eq!(coming(0.0, 400.0, 1000.0, 4.0), 320.0);
        assert_eq!(coming(0.0, 12.0, 20.0, 4.0), 0.0);
    }
}
