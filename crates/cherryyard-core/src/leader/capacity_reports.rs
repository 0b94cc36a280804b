//! The shards' free capacities, as reported by their owners, less the resources of the tasks that
//! have been divided among the shards since.

use crate::Millis;
use crate::mirror::OpenJob;
use crate::needs::Resources;
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::peer::{CapacityReport, MachineCapacity, MachinePool};
use std::cell::RefCell;
use std::collections::HashMap;

/// Age from which a debit is dropped at the shard's next report, as that report includes the
/// debited tasks.
const DEBIT_MS: f64 = 700.0;
/// Age from which a debit is dropped at the next report if that report is assumed.
const ASSUMED_DEBIT_MS: f64 = 1500.0;

/// Tier limit that includes every preference tier.
pub(crate) const ANY_TIER: u16 = u16::MAX;

/// Criteria by which capacity counts for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct FitQuery {
    /// Whether only machines that hold the job's image count.
    pub(crate) with_image: bool,
    /// Last tier of the job's preference whose machines count.
    pub(crate) max_tier: u16,
    /// Whether to count capacity as if arrays of ordinary rank or below had been preempted.
    pub(crate) preempting: bool,
}

impl FitQuery {
    /// Free capacity of all machines that the job may use.
    pub(crate) const FREE: Self = Self {
        with_image: false,
        max_tier: ANY_TIER,
        preempting: false,
    };

    /// Free capacity of machines that hold the job's image.
    pub(crate) const FREE_WITH_IMAGE: Self = Self {
        with_image: true,
        ..Self::FREE
    };

    /// Capacity that would be free on machines that hold the job's image if arrays were preempted.
    pub(crate) const PREEMPTING_WITH_IMAGE: Self = Self {
        preempting: true,
        ..Self::FREE_WITH_IMAGE
    };

    /// Returns the query for free capacity of machines up to a tier of the job's preference.
    pub(crate) fn up_to_tier(max_tier: u16) -> Self {
        Self {
            max_tier,
            ..Self::FREE
        }
    }
}

/// Key of a cached count of the tasks that fit into a report's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FitKey {
    /// Signature of the job, which is the same for all jobs that are alike.
    signature: u64,
    query: FitQuery,
}

/// Resources of tasks that a division has given to a shard since the shard's report.
#[derive(Clone, Copy, Debug)]
struct Debit {
    at: Millis,
    needs: Resources,
}

/// Origin of a shard's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CapacitySource {
    /// The shard's owner reported the capacity.
    Reported,
    /// The capacity was derived from other data, in the absence of a report.
    Assumed,
}

/// Last report of a shard, and debits for tasks that it does not include.
#[derive(Clone, Debug)]
pub(crate) struct ShardCapacity {
    pub(crate) report: CapacityReport,
    pub(crate) at: Millis,
    pub(crate) source: CapacitySource,
    /// Cached counts of the tasks that fit.
    fit_counts: RefCell<HashMap<FitKey, u32>>,
    debits: Vec<Debit>,
}

fn needs_from_report((cores, accelerators, ram_gb): (f32, f32, f32)) -> Resources {
    Resources {
        cores: cores.into(),
        accelerators: accelerators.into(),
        ram_gb: ram_gb.into(),
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
            fit_counts: RefCell::default(),
            debits,
        }
    }

    /// Returns the debits younger than `debit_ms`, which a report received now does not include
    /// yet.
    fn debits_after(self, debit_ms: f64, now: Millis) -> Vec<Debit> {
        let debits = self.debits.into_iter();
        debits.filter(|debit| now - debit.at < debit_ms).collect()
    }

    /// Returns the pool of a machine.
    pub(crate) fn pool_of(&self, machine: &MachineCapacity) -> &MachinePool {
        &self.report.pools[usize::from(machine.pool)]
    }

    /// Returns the machines that a job may use, up to a tier of its preference.
    pub(crate) fn machines_for(
        &self,
        open: &OpenJob,
        max_tier: u16,
    ) -> impl Iterator<Item = &MachineCapacity> + use<'_> {
        let pools = self.report.pools.iter();
        let is_allowed: Vec<bool> = pools
            .map(|pool| open.allows_pool(pool))
            .map(|tier| tier.is_some_and(|tier| tier <= max_tier))
            .collect();
        let machines = self.report.machines.iter();
        machines.filter(move |machine| is_allowed[usize::from(machine.pool)])
    }

    /// Returns how many of a job's tasks fit, less the tasks that divisions have given to the shard
    /// since its report.
    ///
    /// The tasks that fit on a report's machines are counted once for all jobs that are alike.
    /// Under overload, a new count for each waiting job takes most of a leader's time.
    pub(crate) fn fitting(&self, open: &OpenJob, signature: u64, query: FitQuery) -> f64 {
        let key = FitKey { signature, query };
        let known = self.fit_counts.borrow().get(&key).copied();
        let fitting = known.unwrap_or_else(|| {
            let count = self.count_fitting(open, query);
            self.fit_counts.borrow_mut().insert(key, count);
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
                    machine.free_if_preempted
                } else {
                    machine.free
                };
                needs.times_in(&needs_from_report(free))
            })
            .sum()
    }

    /// Returns, for a zone's machines that a job may use, how many of its tasks fit on them and
    /// how many machines there are.
    pub(crate) fn fitting_in_zone(&self, open: &OpenJob, zone: &str) -> (u32, usize) {
        let (mut fitting, mut machines) = (0, 0);
        for machine in self.machines_for(open, ANY_TIER) {
            if self.pool_of(machine).zone == zone {
                fitting += open.needs().times_in(&needs_from_report(machine.free));
                machines += 1;
            }
        }
        (fitting, machines)
    }

    /// Returns the number of machines in a zone.
    pub(crate) fn machines_in_zone(&self, zone: &str) -> usize {
        let machines = self.report.machines.iter();
        let in_zone = machines.filter(|machine| self.pool_of(machine).zone == zone);
        in_zone.count()
    }
}

/// Last capacities of all shards.
#[derive(Debug)]
pub(crate) struct CapacityReports {
    by_shard: Vec<Option<ShardCapacity>>,
    /// Number of reports received or assumed.
    received: u64,
    /// Times since which shards have had no current report, by shard.
    unreported: HashMap<usize, Millis>,
}

impl CapacityReports {
    pub(crate) fn new(shards: usize) -> Self {
        Self {
            by_shard: vec![None; shards],
            received: 0,
            unreported: HashMap::new(),
        }
    }

    /// Returns the number of reports received or assumed.
    pub(crate) fn received(&self) -> u64 {
        self.received
    }

    /// Returns a shard's last capacity, however old.
    pub(crate) fn last(&self, shard_id: usize) -> Option<&ShardCapacity> {
        self.by_shard[shard_id].as_ref()
    }

    /// Stores a shard's report, unless it is malformed or from a previous owner. Returns whether
    /// the report was stored.
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

    /// Stores a report that this controller derived in place of the owner's.
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

    /// Records whether a shard has a current report.
    pub(crate) fn record_current(&mut self, shard_id: usize, is_current: bool, now: Millis) {
        if is_current {
            self.unreported.remove(&shard_id);
        } else {
            self.unreported.entry(shard_id).or_insert(now);
        }
    }

    /// Returns the time since which a shard has had no current report, if it has none.
    pub(crate) fn unreported_since(&self, shard_id: usize) -> Option<Millis> {
        self.unreported.get(&shard_id).copied()
    }

    /// Debits the shards' capacities for tasks divided among them, until their reports include
    /// these tasks.
    pub(crate) fn debit(&mut self, shares: &[u32], needs: &Resources, now: Millis) {
        for (capacity, &share) in self.by_shard.iter_mut().zip(shares) {
            if let Some(capacity) = capacity.as_mut().filter(|_| share > 0) {
                let tasks = f64::from(share);
                let needs = Resources {
                    cores: needs.cores * tasks,
                    accelerators: needs.accelerators * tasks,
                    ram_gb: needs.ram_gb * tasks,
                };
                capacity.debits.push(Debit { at: now, needs });
            }
        }
    }

    /// Revokes the debits made at `at`, because the transaction with these divisions was not
    /// applied.
    pub(crate) fn revoke_debits(&mut self, at: Millis) {
        for capacity in self.by_shard.iter_mut().flatten() {
            capacity.debits.retain(|debit| debit.at != at);
        }
    }

    /// Returns the cores of all machines that their owners can use.
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

/// Returns the cores of a machine of this type, or 0 if the type is unknown.
pub(crate) fn cores_of(machine_types: &[MachineType], sku: &str) -> f64 {
    let mut known = machine_types.iter();
    let machine_type = known.find(|machine_type| machine_type.sku == sku);
    machine_type.map_or(0.0, |machine_type| machine_type.cores)
}
