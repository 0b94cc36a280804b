//! Capacities of shards whose owners' reports do not arrive, derived from the cloud's list of
//! machines and from the assignments.

use super::capacity_reports::CapacitySource;
use crate::Millis;
use crate::controller::Controller;
use crate::mirror::{LeaseHolder, Mirror, OpenJob};
use crate::needs::Resources;
use crate::owner::capacity::{as_reported, index_of_pool};
use cherryyard_wire::cloud::{InstanceStatus, MachineType};
use cherryyard_wire::peer::{CapacityReport, MachineCapacity};

/// Time by which an owner's report must be overdue before its shard's capacity is assumed. A new
/// leader assumes no capacity for the same time.
const ASSUME_AFTER_MS: f64 = 2500.0;
/// Time for which an assumed capacity is valid.
const ASSUMED_LIFETIME_MS: f64 = 1000.0;

impl Controller {
    /// Assumes the capacity of each shard whose owner's reports do not arrive (connections between
    /// controllers are refused) from the cloud's list and the assignments. Otherwise every job
    /// would go to the leader's own shard.
    pub(crate) fn assume_capacities(&mut self, now: Millis) {
        if now - self.leader.leading_since() < ASSUME_AFTER_MS {
            return;
        }
        for shard_id in 0..self.shards.len() {
            let Some(owner) = &self.mirror.shards[shard_id] else {
                continue;
            };
            let token = owner.revision;
            if !self.has_valid_capacity(shard_id, owner, now)
                && self.owned_token(shard_id).is_none()
            {
                let report = self.assumed_report(shard_id, token);
                self.leader.capacities.assume(shard_id, report, now);
            }
        }
    }

    /// Returns whether a valid capacity of a shard is stored for its owner's lease.
    fn has_valid_capacity(&self, shard_id: usize, owner: &LeaseHolder, now: Millis) -> bool {
        self.leader
            .capacities
            .last(shard_id)
            .is_some_and(|capacity| {
                let lifetime_ms = match capacity.source {
                    CapacitySource::Assumed => ASSUMED_LIFETIME_MS,
                    CapacitySource::Reported => {
                        self.config.tuning.capacity_report_s * 1000.0 + ASSUME_AFTER_MS
                    }
                };
                owner.has_held(capacity.report.revision) && now - capacity.at < lifetime_ms
            })
    }

    fn assumed_report(&self, shard_id: usize, token: u64) -> CapacityReport {
        let stored = &self.mirror.images[shard_id];
        let mut report = CapacityReport {
            shard: shard_id as u32,
            revision: token,
            pools: Vec::new(),
            images: stored.record.images.iter().map(|i| i.0.clone()).collect(),
            machines: Vec::new(),
            waiting: Vec::new(),
            team_demand: Vec::new(),
        };
        for (name, instance) in &self.cloud_machines {
            if instance.status != InstanceStatus::Running
                || self.config.shard_map.shard(&instance.zone, name) != shard_id
            {
                continue;
            }
            let mut machine_types = self.mirror.catalog.machine_types.iter();
            let machine_type = machine_types.find(|known| known.sku == instance.machine_type);
            let Some(machine_type) = machine_type else {
                continue;
            };
            let (free, free_if_preempted) = free_capacity(&self.mirror, name, machine_type);
            let images = stored.held.get(name);
            let images = images.map(|images| images.iter().map(|&i| i as u16).collect());
            let Some(pool) = index_of_pool(&instance.pool(), &mut report.pools) else {
                continue;
            };
            report.machines.push(MachineCapacity {
                pool,
                free: as_reported(&free),
                free_if_preempted: as_reported(&free_if_preempted),
                images: images.unwrap_or_default(),
            });
        }
        report
    }
}

/// Returns the unassigned resources of a machine, and those that would be free if arrays of
/// ordinary rank or below were preempted.
fn free_capacity(
    mirror: &Mirror,
    name: &str,
    machine_type: &MachineType,
) -> (Resources, Resources) {
    let mut free = Resources {
        cores: machine_type.cores,
        accelerators: machine_type.accelerators,
        ram_gb: machine_type.ram_gb,
    };
    let mut free_if_preempted = free;
    let machine = mirror.hosts.get(name);
    let assigned = machine
        .into_iter()
        .flat_map(|host| mirror.assignments_on(host));
    for ((job, _), _) in assigned {
        let Some((_, needs)) = mirror.task_resources(job) else {
            continue;
        };
        free.subtract(&needs);
        if !mirror.open.get(&job).is_some_and(OpenJob::is_preemptible) {
            free_if_preempted.subtract(&needs);
        }
    }
    (free, free_if_preempted)
}
