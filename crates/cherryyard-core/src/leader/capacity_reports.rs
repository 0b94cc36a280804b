//! The shards' free capacities, as their owners have reported them, less what has been
//! divided among them since.

use crate::Millis;
use crate::mirror::OpenJob;
use crate::needs::Needs;
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::peer::{CapacityReport, MachineCapacity, MachinePool};
use std::cell::RefCell;
use std::collections::HashMap;

/// Time after which a debit is dropped at the shard's next report, as that shows what it
/// was for.
const DEBIT_MS: f64 = 700.0;
/// The same where the report is assumed.
const ASSUMED_DEBIT_MS: f64 = 1500.0;

/// Any preference tier.
pub(crate) const ANY_TIER: u16 = u16::MAX;

/// Which machines count for a job, and what of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FitQuery {
    /// Only machines that hold the job's image.
    pub(crate) with_image: bool,
    /// Only machines up to this tier of the job's preference.
    pub(crate) max_tier: u16,
    /// As if arrays of ordinary rank or below made way.
    pub(crate) preempting: bool,
}

impl FitQuery {
    /// What is free on any machine that the job may use.
    pub(crate) const FREE: Self = Self {
        with_image: false,
        max_tier: ANY_TIER,
        preempting: false,
    };

    /// What is free on machines that hold the job's image.
    pub(crate) const FREE_WITH_IMAGE: Self = Self {
        with_image: true,
        ..Self::FREE
    };

    /// What would be free on machines that hold the job's image, if arrays made way.
    pub(crate) const PREEMPTING_WITH_IMAGE: Self = Self {
        preempting: true,
        ..Self::FREE_WITH_IMAGE
    };

    /// What is free on machines up to a tier of the job's preference.
    pub(crate) fn up_to_tier(max_tier: u16) -> Self {
        Self {
            max_tier,
            ..Self::FREE
        }
    }
}

/// What a count of the tasks that fit into a report's capacity depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FitKey {
    /// The job's signature.
    signature: u64,
    query: FitQuery,
}

/// What has been divided to a shard since its report.
#[derive(Clone, Copy, Debug)]
struct Debit {
    at: Millis,
    needs: Needs,
}

/// Whether a capacity was reported by the shard's owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CapacitySource {
    /// By the owner.
    Reported,
    /// Not reported, but put together from what else is known.
    Assumed,
}

/// A shard's last report, and what has been given to it since.
#[derive(Clone, Debug)]
pub(crate) struct ShardCapacity {
    pub(crate) report: CapacityReport,
    pub(crate) at: Millis,
    pub(crate) source: CapacitySource,
    /// How many tasks fit, as far as it has been counted.
    fits: RefCell<HashMap<FitKey, u32>>,
    debits: Vec<Debit>,
}

fn needs_of((cores, acc, ram): (f32, f32, f32)) -> Needs {
    Needs {
        cores: cores.into(),
        acc: acc.into(),
        ram: ram.into(),
    }
}

impl ShardCapacity {
    fn new(
        report: CapacityReport,
        source: CapacitySource,
        debits: Vec<Debit>,
        now: Millis,
    ) -> Self {
        Self {
            report,
            at: now,
            source,
            fits: RefCell::default(),
            debits,
        }
    }

    /// The debits that a report which comes now does not show yet.
    fn debits_after(self, debit_ms: f64, now: Millis) -> Vec<Debit> {
        let debits = self.debits.into_iter();
        debits.filter(|debit| now - debit.at < debit_ms).collect()
    }

    /// The pool of a machine.
    pub(crate) fn pool_of(&self, machine: &MachineCapacity) -> &MachinePool {
        &self.report.pools[usize::from(machine.pool)]
    }

    /// The machines that a job may use, up to a tier of its preference.
    pub(crate) fn machines_for(
        &self,
        open: &OpenJob,
        max_tier: u16,
    ) -> impl Iterator<Item = &MachineCapacity> + use<'_> {
        let pools = self.report.pools.iter();
        let is_allowed: Vec<bool> = pools
            .map(|pool| open.allows(&pool.machine_type, &pool.zone, pool.spot))
            .map(|tier| tier.is_some_and(|tier| tier <= max_tier))
            .collect();
        let machines = self.report.machines.iter();
        machines.filter(move |machine| is_allowed[usize::from(machine.pool)])
    }

    /// How many of a job's tasks fit, less what has been given to the shard since.
    ///
    /// A report's machines are counted once for all jobs that are alike: with the
    /// count made afresh for each job that waits, a leader did little else on a day of
    /// overload.
    pub(crate) fn fitting(&self, open: &OpenJob, signature: u64, query: FitQuery) -> f64 {
        let key = FitKey { signature, query };
        let known = self.fits.borrow().get(&key).copied();
        let fitting = known.unwrap_or_else(|| {
            let count = self.count_fitting(open, query);
            self.fits.borrow_mut().insert(key, count);
            count
        });
        let debited: f64 = self.debits.iter().map(|debit| debit.needs.cores).sum();
        (f64::from(fitting) - debited / open.needs().cores)
            .max(0.0)
            .floor()
    }

    fn count_fitting(&self, open: &OpenJob, query: FitQuery) -> u32 {
        let image = self
            .report
            .images
            .iter()
            .position(|image| *image == open.spec.image);
        if query.with_image && image.is_none() {
            return 0;
        }
        let holds_image =
            |machine: &MachineCapacity| machine.images.iter().any(|&i| Some(i.into()) == image);
        let needs = open.needs();
        self.machines_for(open, query.max_tier)
            .filter(|machine| !query.with_image || holds_image(machine))
            .map(|machine| {
                let free = if query.preempting {
                    machine.yielding
                } else {
                    machine.free
                };
                needs.times_in(&needs_of(free))
            })
            .sum()
    }

    /// Of a zone's machines that a job may use: how many of its tasks fit on these, and
    /// how many machines there are.
    pub(crate) fn fitting_in_zone(&self, open: &OpenJob, zone: &str) -> (u32, usize) {
        let (mut fitting, mut machines) = (0, 0);
        for machine in self.machines_for(open, ANY_TIER) {
            if self.pool_of(machine).zone == zone {
                fitting += open.needs().times_in(&needs_of(machine.free));
                machines += 1;
            }
        }
        (fitting, machines)
    }

    /// How many machines are in a zone.
    pub(crate) fn machines_in_zone(&self, zone: &str) -> usize {
        let machines = self.report.machines.iter();
        let in_zone = machines.filter(|machine| self.pool_of(machine).zone == zone);
        in_zone.count()
    }
}

/// The capacities of all shards.
#[derive(Debug)]
pub(crate) struct CapacityReports {
    by_shard: Vec<Option<ShardCapacity>>,
    /// How many reports have been received or assumed.
    received: u64,
    /// Since when a shard has had no current report.
    ownerless: HashMap<usize, Millis>,
}

impl CapacityReports {
    pub(crate) fn new(shards: usize) -> Self {
        Self {
            by_shard: vec![None; shards],
            received: 0,
            ownerless: HashMap::new(),
        }
    }

    /// How many reports have been received or assumed.
    pub(crate) fn received(&self) -> u64 {
        self.received
    }

    /// A shard's last capacity, however old.
    pub(crate) fn last(&self, shard_id: usize) -> Option<&ShardCapacity> {
        self.by_shard[shard_id].as_ref()
    }

    /// Takes a shard's report, unless it is malformed or from an owner before.
    pub(crate) fn receive(&mut self, report: CapacityReport, now: Millis) -> bool {
        let Some(known) = self.by_shard.get_mut(report.shard as usize) else {
            return false;
        };
        let is_outdated = |known: &ShardCapacity| known.report.revision > report.revision;
        if !report.is_sound() || known.as_ref().is_some_and(is_outdated) {
            return false;
        }
        let debits = known
            .take()
            .map(|known| known.debits_after(DEBIT_MS, now))
            .unwrap_or_default();
        let source = CapacitySource::Reported;
        *known = Some(ShardCapacity::new(report, source, debits, now));
        self.received += 1;
        true
    }

    /// Takes a report that was put together here in place of the owner's.
    pub(crate) fn assume(&mut self, shard_id: usize, report: CapacityReport, now: Millis) {
        self.received += 1;
        let known = &mut self.by_shard[shard_id];
        let debits = known
            .take()
            .map(|known| known.debits_after(ASSUMED_DEBIT_MS, now))
            .unwrap_or_default();
        let source = CapacitySource::Assumed;
        *known = Some(ShardCapacity::new(report, source, debits, now));
    }

    /// Notes whether a shard has a current report.
    pub(crate) fn note_current(&mut self, shard_id: usize, is_current: bool, now: Millis) {
        if is_current {
            self.ownerless.remove(&shard_id);
        } else {
            self.ownerless.entry(shard_id).or_insert(now);
        }
    }

    /// Since when a shard has had no current report.
    pub(crate) fn ownerless_since(&self, shard_id: usize) -> Option<Millis> {
        self.ownerless.get(&shard_id).copied()
    }

    /// Notes what has been divided among the shards, until they report it.
    pub(crate) fn debit(&mut self, shares: &[u32], needs: &Needs, now: Millis) {
        for (capacity, &share) in self.by_shard.iter_mut().zip(shares) {
            if let Some(capacity) = capacity.as_mut().filter(|_| share > 0) {
                let tasks = f64::from(share);
                let needs = Needs {
                    cores: needs.cores * tasks,
                    acc: needs.acc * tasks,
                    ram: needs.ram * tasks,
                };
                capacity.debits.push(Debit { at: now, needs });
            }
        }
    }

    /// What was divided then was not: its transaction was not applied.
    pub(crate) fn revoke_debits(&mut self, at: Millis) {
        for capacity in self.by_shard.iter_mut().flatten() {
            capacity.debits.retain(|debit| debit.at != at);
        }
    }

    /// Cores of all machines that their owners can use.
    pub(crate) fn total_cores(&self, machine_types: &[MachineType]) -> f64 {
        let capacities = self.by_shard.iter().flatten();
        let sizes = capacities.flat_map(|capacity| {
            let pools = capacity.report.pools.iter();
            let cores: Vec<f64> = pools
                .map(|pool| cores_of(machine_types, &pool.machine_type))
                .collect();
            let machines = capacity.report.machines.iter();
            machines.map(move |machine| {
                let pool = usize::from(machine.pool);
                cores.get(pool).copied().unwrap_or(0.0)
            })
        });
        sizes.sum()
    }
}

/// Cores of a machine of this type; 0 if that is not known.
pub(crate) fn cores_of(machine_types: &[MachineType], sku: &str) -> f64 {
    let mut known = machine_types.iter();
    let machine_type = known.find(|machine_type| machine_type.sku == sku);
    machine_type.map_or(0.0, |machine_type| machine_type.cores)
}
