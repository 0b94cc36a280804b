//! What the fleet lacks, and which machines could give it.

use super::requests::{PoolKey, Provision, ScaleOut};
use crate::admit;
use crate::leader::capacity_reports::{FitQuery, cores_of};
use crate::leader::current_capacities::CurrentCapacities;
use crate::leader::provisioning_times::{ProvisioningProgress, coming};
use crate::mirror::OpenJob;
use cherryyard_wire::cloud::{Instance, InstanceStatus, MachineType};
use cherryyard_wire::job::Shape;
use std::collections::HashMap;

/// Waiting jobs that may use only some pools of machines of which scale out takes account.
const MOST_BOUND_JOBS: usize = 50;
/// Cores that may be lacking before machines are provisioned.
const LEAST_LACKING: f64 = 0.5;
/// Machines in one request.
const MOST_MACHINES: u32 = 4;
/// The published time of a type that is not known, and the least of any, in seconds.
const UNKNOWN_READY_S: f64 = 60.0;
const LEAST_READY_S: f64 = 1.0;

/// A pool of machines that could be provisioned.
#[derive(Clone, Copy, Debug)]
struct PoolOption<'a> {
    spot: bool,
    /// How many machines are in its zone.
    machines_in_zone: usize,
    zone: &'a str,
    machine_type: &'a MachineType,
}

impl PoolOption<'_> {
    /// Whether a job may use its machines, and they are large enough.
    fn suits(&self, open: &OpenJob) -> bool {
        admit::fits_machine_type(&open.spec, self.machine_type)
            && open
                .allows(&self.machine_type.sku, self.zone, self.spot)
                .is_some()
    }
}

/// A job with tasks that are neither done nor assigned, and that waits for no other job.
#[derive(Clone, Copy, Debug)]
struct WaitingJob<'a> {
    open: &'a OpenJob,
    tasks: u32,
}

impl WaitingJob<'_> {
    fn cores(&self) -> f64 {
        f64::from(self.tasks) * self.open.spec.cores
    }
}

/// A waiting job that may use only some pools of machines.
#[derive(Clone, Copy, Debug)]
struct BoundJob<'a> {
    open: &'a OpenJob,
    /// Whether it lacks room on these, beyond what is on its way.
    is_lacking: bool,
}

/// Waiting jobs that may use only some pools of machines.
#[derive(Debug, Default)]
struct BoundJobs<'a> {
    jobs: Vec<BoundJob<'a>>,
    /// Cores that all of them lack.
    lacking: f64,
}

/// Cores that wait for machines.
#[derive(Clone, Copy, Debug, Default)]
struct WaitingCores {
    all: f64,
    services: f64,
}

/// Cores of the machines that are up.
#[derive(Clone, Copy, Debug, Default)]
struct Supply {
    free: f64,
    total: f64,
}

/// What is known of the machines that there are and that are on their way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fleet<'a> {
    pub(crate) current: CurrentCapacities<'a>,
    /// The cloud's list of machines.
    pub(crate) listed: &'a HashMap<String, Instance>,
    pub(crate) scale_out: &'a ScaleOut,
}

impl<'a> Fleet<'a> {
    fn cores_of(&self, sku: &str) -> f64 {
        cores_of(&self.current.mirror.catalog.machine_types, sku)
    }

    /// The machines that are to be provisioned now, if any are.
    pub(crate) fn lacking(&self) -> Option<Provision> {
        let supply = self.supply();
        let waiting = self.waiting_cores();
        let headroom = supply.total * self.current.config.tuning.headroom_share;
        // Room that a waiting job may not use is none for it, however much there is.
        let bound = self.bound_jobs();
        let ahead = waiting.all + headroom - supply.free - self.cores_coming(supply.total);
        let need = ahead.max(bound.lacking);
        if need <= LEAST_LACKING {
            return None;
        }
        let mut options = self.options(need > waiting.services);
        // Ordinary machines serve everything; spot ones only what may be lost.
        options.sort_by_key(|option| (option.spot, option.machines_in_zone, option.zone));
        let only_due = ahead <= waiting.all;
        let only_bound = ahead <= LEAST_LACKING;
        self.prefer_for_bound(&mut options, &bound.jobs, only_due, only_bound);
        let best = options.first()?;
        let cores = best.machine_type.cores.max(1e-3);
        Some(Provision {
            machine_type: best.machine_type.sku.clone(),
            zone: best.zone.to_string(),
            spot: best.spot,
            number: ((need / cores).ceil() as u32).clamp(1, MOST_MACHINES),
        })
    }

    fn supply(&self) -> Supply {
        let mut supply = Supply::default();
        for shard_id in self.current.shards() {
            let Some(capacity) = self.current.of(shard_id) else {
                continue;
            };
            for machine in &capacity.report.machines {
                supply.free += f64::from(machine.free.0);
                supply.total += self.cores_of(&capacity.pool_of(machine).machine_type);
            }
        }
        supply
    }

    /// The jobs that wait for machines.
    fn waiting_jobs(&self) -> impl Iterator<Item = WaitingJob<'a>> + use<'a> {
        let mirror = self.current.mirror;
        mirror.open.iter().filter_map(move |(&job, open)| {
            let taken = mirror.done(job) + mirror.assigned(job);
            let tasks = open.spec.task_count.saturating_sub(taken);
            let waits = tasks > 0 && !mirror.waits_for_others(job);
            waits.then_some(WaitingJob { open, tasks })
        })
    }

    fn waiting_cores(&self) -> WaitingCores {
        let mut cores = WaitingCores::default();
        for job in self.waiting_jobs() {
            cores.all += job.cores();
            if job.open.spec.shape == Shape::Service {
                cores.services += job.cores();
            }
        }
        cores
    }

    /// Whether a job may use only some pools of machines.
    fn is_bound(&self, open: &OpenJob) -> bool {
        let excluded =
            |machine_type: &MachineType| !admit::allows_machine_type(&open.spec, &machine_type.sku);
        open.rules.is_some()
            || open.spec.zone.is_some()
            || open.zone.is_some()
            || self
                .current
                .mirror
                .catalog
                .machine_types
                .iter()
                .any(excluded)
    }

    fn bound_jobs(&self) -> BoundJobs<'a> {
        let mut bound = BoundJobs::default();
        for WaitingJob { open, tasks } in self.waiting_jobs() {
            if !self.is_bound(open) {
                continue;
            }
            let room: f64 = self.current.fitting(open, FitQuery::FREE).iter().sum();
            let lacking = ((f64::from(tasks) - room) * open.spec.cores).max(0.0);
            let coming = self.cores_coming_for(open);
            bound.jobs.push(BoundJob {
                open,
                is_lacking: lacking > coming,
            });
            bound.lacking += (lacking - coming).max(0.0);
            if bound.jobs.len() >= MOST_BOUND_JOBS {
                break;
            }
        }
        bound
    }

    /// The pools that could be provisioned; spot ones only where that `may_be_spot` and
    /// there are jobs for them.
    fn options(&self, may_be_spot: bool) -> Vec<PoolOption<'a>> {
        let mirror = self.current.mirror;
        let spot_wanted = mirror.open.values().any(|open| open.spec.spot);
        let mut options = Vec::new();
        for machine_type in &mirror.catalog.machine_types {
            for zone in &machine_type.zones {
                let in_zone = |instance: &&Instance| instance.zone == *zone;
                let machines_in_zone = self.listed.values().filter(in_zone).count();
                for spot in [false, true] {
                    let pool = PoolKey {
                        machine_type: machine_type.sku.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    if !self.scale_out.has_refused(&pool) && (!spot || (spot_wanted && may_be_spot))
                    {
                        options.push(PoolOption {
                            spot,
                            machines_in_zone,
                            zone,
                            machine_type,
                        });
                    }
                }
            }
        }
        options
    }

    /// Where a waiting job that may use only some pools of machines lacks room on them, a
    /// pool that it allows comes first; and where only such jobs wait, nothing is
    /// provisioned that is of use to none of them. `only_due`: nothing is provisioned ahead
    /// of need; `only_bound`: for all others there is room.
    fn prefer_for_bound(
        &self,
        options: &mut Vec<PoolOption<'_>>,
        bound: &[BoundJob<'_>],
        only_due: bool,
        only_bound: bool,
    ) {
        if bound.is_empty() {
            return;
        }
        let others_wait = || self.waiting_jobs().any(|job| !self.is_bound(job.open));
        if only_bound || only_due && !others_wait() {
            options.retain(|option| bound.iter().any(|job| option.suits(job.open)));
        }
        let serves_lacking = |option: &PoolOption<'_>| {
            let mut lacking = bound.iter().filter(|job| job.is_lacking);
            lacking.any(|job| option.suits(job.open))
        };
        options.sort_by_key(|option| !serves_lacking(option));
    }

    /// Where a listed machine stands that is not up yet.
    fn progress(&self, instance: &Instance) -> ProvisioningProgress {
        let times = &self.scale_out.provisioning_times;
        let ready_s = ready_s(
            &self.current.mirror.catalog.machine_types,
            &instance.machine_type,
        );
        times.progress_of(instance, ready_s)
    }

    /// Cores of provisioned machines that should be up at any time and that a job may use.
    fn cores_coming_for(&self, open: &OpenJob) -> f64 {
        let is_expected = |instance: &&Instance| {
            instance.status == InstanceStatus::Starting
                && open
                    .allows(&instance.machine_type, &instance.zone, instance.spot)
                    .is_some()
                && self.progress(instance) == ProvisioningProgress::Expected
        };
        let expected = self.listed.values().filter(is_expected);
        let listed: f64 = expected
            .map(|instance| self.cores_of(&instance.machine_type))
            .sum();
        let batches = self.scale_out.batches.iter().filter(|batch| {
            let pool = &batch.pool;
            open.allows(&pool.machine_type, &pool.zone, pool.spot)
                .is_some()
        });
        let unlisted: f64 = batches
            .map(|batch| {
                self.cores_of(&batch.pool.machine_type) * batch.unlisted(self.listed) as f64
            })
            .sum();
        listed + unlisted
    }

    /// Cores of provisioned machines that will come up, as far as is known, beside a
    /// `total` of those that are up.
    fn cores_coming(&self, total: f64) -> f64 {
        let (mut expected, mut overdue, mut largest) = (0.0, 0.0, 0.0f64);
        for instance in self.listed.values() {
            if instance.status == InstanceStatus::Starting {
                let cores = self.cores_of(&instance.machine_type);
                largest = largest.max(cores);
                match self.progress(instance) {
                    ProvisioningProgress::Expected => expected += cores,
                    ProvisioningProgress::Overdue => overdue += cores,
                    ProvisioningProgress::Never => {}
                }
            }
        }
        for batch in &self.scale_out.batches {
            expected +=
                self.cores_of(&batch.pool.machine_type) * batch.unlisted(self.listed) as f64;
        }
        coming(expected, overdue, total, largest)
    }
}

/// The published time of a type until a machine is up, in seconds.
pub(crate) fn ready_s(machine_types: &[MachineType], sku: &str) -> f64 {
    let mut known = machine_types.iter();
    let machine_type = known.find(|machine_type| machine_type.sku == sku);
    machine_type
        .map_or(UNKNOWN_READY_S, |machine_type| machine_type.ready_s)
        .max(LEAST_READY_S)
}
