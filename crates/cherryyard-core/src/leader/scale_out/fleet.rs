//! Computation of what the fleet of machines lacks, and of the machines to provision for it.

use super::requests::{PoolKey, Provision, ScaleOut};
use crate::admit;
use crate::leader::capacity_reports::{FitQuery, cores_of};
use crate::leader::current_capacities::CurrentCapacities;
use crate::leader::provisioning_times::{ProvisioningProgress, cores_to_come};
use crate::mirror::OpenJob;
use cherryyard_wire::cloud::{Instance, InstanceStatus, MachineType};
use cherryyard_wire::job::Shape;
use std::collections::HashMap;

/// Largest number of restricted waiting jobs that scale-out considers. A restricted job may use
/// only some pools of machines.
const MAX_RESTRICTED_JOBS: usize = 50;
/// Number of lacking cores up to which no machines are provisioned.
const NEGLIGIBLE_CORES: f64 = 0.5;
/// Largest number of machines in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 4;
/// Time to come up that is assumed for an unknown machine type, in seconds.
const UNKNOWN_READY_S: f64 = 60.0;
/// Lower bound of the published times to come up, in seconds.
const MIN_READY_S: f64 = 1.0;

/// A pool from which machines can be provisioned.
#[derive(Clone, Copy, Debug)]
struct PoolOption<'a> {
    spot: bool,
    /// Number of machines in the pool's zone.
    machines_in_zone: usize,
    zone: &'a str,
    machine_type: &'a MachineType,
}

impl PoolOption<'_> {
    /// Returns whether a job may use the pool's machines and its tasks fit on them.
    fn serves(&self, open: &OpenJob) -> bool {
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
struct RestrictedJob<'a> {
    open: &'a OpenJob,
    /// Whether the job lacks capacity on machines that it may use, including those that are being
    /// provisioned.
    lacks_capacity: bool,
}

/// Waiting jobs that may use only some pools of machines.
#[derive(Debug, Default)]
struct RestrictedJobs<'a> {
    jobs: Vec<RestrictedJob<'a>>,
    /// Cores that these jobs lack in total.
    lacking_cores: f64,
}

/// Cores that tasks of waiting jobs require.
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

/// The machines that are up and those that are being provisioned.
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

    /// Returns the machines that are to be provisioned now, if any are.
    pub(crate) fn machines_to_provision(&self) -> Option<Provision> {
        let supply = self.supply();
        let waiting = self.waiting_cores();
        let headroom = supply.total * self.current.config.tuning.headroom_share;
        // Capacity that a waiting job may not use does not help it, however much there is.
        let restricted = self.restricted_jobs();
        let general_need = waiting.all + headroom - supply.free - self.cores_coming(supply.total);
        let need = general_need.max(restricted.lacking_cores);
        if need <= NEGLIGIBLE_CORES {
            return None;
        }
        let mut options = self.options(need > waiting.services);
        // Ordinary machines serve all jobs, spot machines only tasks that may be lost.
        options.sort_by_key(|option| (option.spot, option.machines_in_zone, option.zone));
        let only_due = general_need <= waiting.all;
        let only_restricted = general_need <= NEGLIGIBLE_CORES;
        self.prefer_for_restricted(&mut options, &restricted.jobs, only_due, only_restricted);
        let best = options.first()?;
        let cores = best.machine_type.cores.max(1e-3);
        Some(Provision {
            machine_type: best.machine_type.sku.clone(),
            zone: best.zone.to_string(),
            spot: best.spot,
            number: ((need / cores).ceil() as u32).clamp(1, MAX_MACHINES_PER_REQUEST),
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

    /// Returns the jobs that wait for machines.
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

    /// Returns whether a job may use only some pools of machines.
    fn is_restricted(&self, open: &OpenJob) -> bool {
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

    fn restricted_jobs(&self) -> RestrictedJobs<'a> {
        let mut restricted = RestrictedJobs::default();
        for WaitingJob { open, tasks } in self.waiting_jobs() {
            if !self.is_restricted(open) {
                continue;
            }
            let fitting_tasks: f64 = self.current.fitting(open, FitQuery::FREE).iter().sum();
            let lacking = ((f64::from(tasks) - fitting_tasks) * open.spec.cores).max(0.0);
            let coming_cores = self.cores_coming_for(open);
            restricted.jobs.push(RestrictedJob {
                open,
                lacks_capacity: lacking > coming_cores,
            });
            restricted.lacking_cores += (lacking - coming_cores).max(0.0);
            if restricted.jobs.len() >= MAX_RESTRICTED_JOBS {
                break;
            }
        }
        restricted
    }

    /// Returns the pools that can be provisioned. Spot pools are included only if `may_be_spot` is
    /// true and some job may use them.
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
                    if !self.scale_out.is_refused(&pool) && (!spot || (spot_wanted && may_be_spot))
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

    /// Puts pools first that serve a restricted job which lacks capacity. If only restricted jobs
    /// wait, also removes the pools that serve none of them. `only_due` says that nothing is
    /// provisioned ahead of need, `only_restricted` that there is enough capacity for all other
    /// jobs.
    fn prefer_for_restricted(
        &self,
        options: &mut Vec<PoolOption<'_>>,
        restricted: &[RestrictedJob<'_>],
        only_due: bool,
        only_restricted: bool,
    ) {
        if restricted.is_empty() {
            return;
        }
        let others_wait = || self.waiting_jobs().any(|job| !self.is_restricted(job.open));
        if only_restricted || only_due && !others_wait() {
            options.retain(|option| restricted.iter().any(|job| option.serves(job.open)));
        }
        let serves_lacking = |option: &PoolOption<'_>| {
            let mut lacking = restricted.iter().filter(|job| job.lacks_capacity);
            lacking.any(|job| option.serves(job.open))
        };
        options.sort_by_key(|option| !serves_lacking(option));
    }

    /// Returns the progress of a listed machine that is not up yet.
    fn progress(&self, instance: &Instance) -> ProvisioningProgress {
        let times = &self.scale_out.provisioning_times;
        let ready_s = ready_s(
            &self.current.mirror.catalog.machine_types,
            &instance.machine_type,
        );
        times.progress_of(instance, ready_s)
    }

    /// Returns the cores of provisioned machines that are expected to come up and that a job may
    /// use.
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

    /// Returns the cores of provisioned machines that are expected to come up. `total` is the
    /// number of cores that are up.
    fn cores_coming(&self, total: f64) -> f64 {
        let (mut expected, mut overdue, mut largest) = (0.0, 0.0, 0.0f64);
        for instance in self.listed.values() {
            if instance.status == InstanceStatus::Starting {
                let cores = self.cores_of(&instance.machine_type);
                largest = largest.max(cores);
                match self.progress(instance) {
                    ProvisioningProgress::Expected => expected += cores,
                    ProvisioningProgress::Overdue => overdue += cores,
                    ProvisioningProgress::Failed => {}
                }
            }
        }
        for batch in &self.scale_out.batches {
            expected +=
                self.cores_of(&batch.pool.machine_type) * batch.unlisted(self.listed) as f64;
        }
        cores_to_come(expected, overdue, total, largest)
    }
}

/// Returns the published time that a machine type takes to come up, in seconds.
pub(crate) fn ready_s(machine_types: &[MachineType], sku: &str) -> f64 {
    let mut known = machine_types.iter();
    let machine_type = known.find(|machine_type| machine_type.sku == sku);
    machine_type
        .map_or(UNKNOWN_READY_S, |machine_type| machine_type.ready_s)
        .max(MIN_READY_S)
}
