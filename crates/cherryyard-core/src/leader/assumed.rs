//! Capacities of shards whose owners' reports do not arrive.

use super::*;
use std::cell::RefCell;

/// Time without an owner's report after which its room is assumed.
const ASSUME_AFTER_MS: f64 = 2500.0;

impl Controller {
    /// Where an owner's reports do not arrive (connections between controllers
    /// are refused), what the cloud lists and what is assigned stand for them:
    /// else every job went to the leader's own shard.
    pub(crate) fn assume_capacities(&mut self, now: Millis) {
        if now - self.leader.since < ASSUME_AFTER_MS {
            return;
        }
        for shard_id in 0..self.shards.len() {
            let revision = self.mirror.revision(Key::Shard(shard_id));
            let fresh = self.leader.capacities[shard_id].as_ref().is_some_and(|r| {
                let limit = if r.assumed {
                    1000.0
                } else {
                    self.config.tuning.capacity_report_s * 1000.0 + ASSUME_AFTER_MS
                };
                r.report.revision == revision && now - r.at < limit
            });
            if revision != 0 && !fresh && self.owned(shard_id).is_none() {
                let report = self.assumed_report(shard_id, revision);
                self.leader.capacity_reports_received += 1;
                let debits = self.leader.capacities[shard_id]
                    .take()
                    .map(|r| r.debits.into_iter().filter(|d| now - d.0 < 1500.0));
                self.leader.capacities[shard_id] = Some(ShardCapacity {
                    report,
                    at: now,
                    assumed: true,
                    fits: RefCell::default(),
                    debits: debits.into_iter().flatten().collect(),
                });
            }
        }
    }

    fn assumed_report(&self, shard_id: usize, revision: u64) -> CapacityReport {
        let stored = &self.mirror.images[shard_id];
        let mut report = CapacityReport {
            shard: shard_id as u32,
            revision,
            pools: Vec::new(),
            images: stored.record.i.iter().map(|i| i.0.clone()).collect(),
            machines: Vec::new(),
            waiting: Vec::new(),
            wants: Vec::new(),
        };
        for (name, entry) in &self.listed {
            if entry.status != InstanceStatus::Running
                || self.config.shard_map.shard(&entry.zone, name) != shard_id
            {
                continue;
            }
            let Some(machine_type) = self
                .mirror
                .catalog
                .machine_types
                .iter()
                .find(|k| k.sku == entry.machine_type)
            else {
                continue;
            };
            let mut free = Needs {
                cores: machine_type.cores,
                acc: machine_type.accelerators,
                ram: machine_type.ram_gb,
            };
            let mut yielding = free;
            let host = self.mirror.hosts.get(name);
            for ((job, _), _) in host.into_iter().flat_map(|h| self.mirror.on_host(h)) {
                let Some((_, needs)) = self.mirror.uses(job) else {
                    continue;
                };
                free.take(&needs);
                let open = self.mirror.open.get(&job);
                if !open.is_some_and(OpenJob::makes_way) {
                    yielding.take(&needs);
                }
            }
            let pool = MachinePool {
                machine_type: entry.machine_type.clone(),
                zone: entry.zone.clone(),
                spot: entry.spot,
            };
            let place = report.pools.iter().position(|s| *s == pool);
            let place = place.unwrap_or_else(|| {
                report.pools.push(pool);
                report.pools.len() - 1
            });
            report.machines.push(MachineCapacity {
                pool: place as u16,
                free: (free.cores as f32, free.acc as f32, free.ram as f32),
                yielding: (
                    yielding.cores as f32,
                    yielding.acc as f32,
                    yielding.ram as f32,
                ),
                images: stored
                    .held
                    .get(name)
                    .map_or_else(Vec::new, |i| i.iter().map(|&i| i as u16).collect()),
            });
        }
        report
    }
}
