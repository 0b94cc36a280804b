//! Division of a job's tasks among the shards.

use super::current_capacities::CurrentCapacities;
use crate::divide::divide;
use crate::mirror::OpenJob;
use cherryyard_wire::RangeSet;

/// Policy for the division of a job while no owner has reported any machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MissingReports {
    /// The job stays undivided, as a new leader waits for the owners' reports.
    Await,
    /// All shards that have an owner get the same weight.
    EqualWeights,
}

/// Returns consecutive ranges of task numbers, one for each shard, of these lengths.
fn consecutive(shares: &[u32]) -> Vec<RangeSet> {
    let mut next = 0;
    shares
        .iter()
        .map(|&count| {
            next += count;
            if count == 0 {
                RangeSet::new()
            } else {
                RangeSet::from_range(next - count, next - 1)
            }
        })
        .collect()
}

fn sum(weights: &[f64]) -> f64 {
    weights.iter().sum()
}

/// A candidate zone for a job whose tasks must all be in the same zone.
#[derive(Clone, Debug)]
struct ZoneCandidate {
    fitting: u32,
    machines: usize,
    zone: String,
}

impl CurrentCapacities<'_> {
    /// Divides a job among the shards and sets its zone, zone caps and division. Returns false if
    /// the known capacities, machines and owners give no basis for a division.
    pub(crate) fn divide(&self, open: &mut OpenJob, missing: MissingReports) -> bool {
        if open.spec.together && open.zone.is_none() {
            match self.choose_zone(open) {
                Some(zone) => open.zone = Some(zone),
                None => return false,
            }
        }
        let Some(shares) = self.shares(open, missing) else {
            return false;
        };
        if open.spec.apart && open.spec.task_count > 1 {
            open.zone_caps = self.zone_caps(open);
            let weights: Vec<f64> = open
                .zone_caps
                .iter()
                .map(|zones| f64::from(zones.iter().sum::<u32>()))
                .collect();
            let shares = divide(open.spec.task_count, &weights);
            if shares.iter().all(|&share| share == 0) {
                return false;
            }
            open.division = consecutive(&shares);
        } else {
            open.division = consecutive(&shares);
        }
        true
    }

    /// Returns how many of a job's tasks go to each shard, if there are weights to divide the job
    /// by.
    fn shares(&self, open: &OpenJob, missing: MissingReports) -> Option<Vec<u32>> {
        let weights = self.known_weights(open, missing)?;
        let capacity = sum(&weights);
        let within = open.spec.task_count.min(capacity as u32);
        let mut shares = divide(within, &weights);
        let remaining = open.spec.task_count - within;
        if remaining > 0 {
            // Tasks beyond the free capacity are divided by machine counts, like a job that finds
            // no free capacity at all. Weights of a few free cores would put most of a large job
            // on one shard.
            let counts = self.machine_counts(open);
            let remaining_weights = if sum(&counts) > 0.0 {
                &counts
            } else {
                &weights
            };
            for (share, more) in shares.iter_mut().zip(divide(remaining, remaining_weights)) {
                *share += more;
            }
        }
        Some(shares)
    }

    /// Returns the shards' weights by free capacity. If there is none, weights are by number of
    /// machines; if no machines are known either, they are the same for all shards that have an
    /// owner, unless `missing` is [`MissingReports::Await`].
    fn known_weights(&self, open: &OpenJob, missing: MissingReports) -> Option<Vec<f64>> {
        let by_capacity = self.weights(open);
        if sum(&by_capacity) > 0.0 {
            return Some(by_capacity);
        }
        let by_machines = self.machine_counts(open);
        if sum(&by_machines) > 0.0 {
            return Some(by_machines);
        }
        if missing == MissingReports::Await {
            return None;
        }
        let has_owner = |shard_id: usize| self.mirror.shards[shard_id].is_some();
        let equal: Vec<f64> = self
            .shards()
            .map(|shard_id| if has_owner(shard_id) { 1.0 } else { 0.0 })
            .collect();
        (sum(&equal) > 0.0).then_some(equal)
    }

    /// Returns the zone with the most free capacity for a job whose tasks must be in one zone.
    fn choose_zone(&self, open: &OpenJob) -> Option<String> {
        if let Some(zone) = &open.spec.zone {
            return Some(zone.clone());
        }
        let mut best: Option<ZoneCandidate> = None;
        for index in 0..self.config.zones.len() as u32 {
            let zone = self.config.zones.name(index);
            let (mut fitting, mut machines) = (0, 0);
            for capacity in self.shards().filter_map(|shard_id| self.of(shard_id)) {
                let in_shard = capacity.fitting_in_zone(open, zone);
                fitting += in_shard.0;
                machines += in_shard.1;
            }
            let fitting = fitting.min(open.spec.task_count);
            let is_better =
                |best: &ZoneCandidate| (fitting, machines) > (best.fitting, best.machines);
            if machines > 0 && best.as_ref().is_none_or(is_better) {
                best = Some(ZoneCandidate {
                    fitting,
                    machines,
                    zone: zone.to_string(),
                });
            }
        }
        best.map(|best| best.zone)
    }

    /// Returns for each shard and zone how many tasks may be there, so that no zone ever holds
    /// more than half of them. A zone's cap is split among the shards by their machines in the
    /// zone.
    fn zone_caps(&self, open: &OpenJob) -> Vec<Vec<u32>> {
        let half = open.spec.task_count.div_ceil(2);
        let zones = self.config.zones.len();
        let mut caps = vec![vec![0; zones]; self.config.shards()];
        for index in 0..zones {
            let zone = self.config.zones.name(index as u32);
            let weights: Vec<f64> = self
                .shards()
                .map(|shard_id| {
                    let capacity = self.of(shard_id);
                    let machines = capacity.map(|capacity| capacity.machines_in_zone(zone));
                    machines.unwrap_or(0) as f64
                })
                .collect();
            for (cap, tasks) in caps.iter_mut().zip(divide(half, &weights)) {
                cap[index] = tasks;
            }
        }
        caps
    }
}
