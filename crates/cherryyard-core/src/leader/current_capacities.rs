//! The shards' capacities as far as they are current, and what of them a job can use.

use super::capacity_reports::{ANY_TIER, CapacityReports, FitQuery, ShardCapacity};
use crate::mirror::OpenJob;
use crate::{Config, Millis, Mirror};
use cherryyard_wire::job::{Rank, Shape};
use cherryyard_wire::record::Key;

/// Reports that an owner may miss before its last one is not current any more, and the
/// time for the way of one.
const REPORTS_MISSED: f64 = 2.0;
const REPORT_DELAY_MS: f64 = 2000.0;

/// The shards' capacities as far as they are current.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CurrentCapacities<'a> {
    reports: &'a CapacityReports,
    pub(super) mirror: &'a Mirror,
    pub(super) config: &'a Config,
    now: Millis,
}

impl<'a> CurrentCapacities<'a> {
    pub(crate) fn new(
        reports: &'a CapacityReports,
        mirror: &'a Mirror,
        config: &'a Config,
        now: Millis,
    ) -> Self {
        Self {
            reports,
            mirror,
            config,
            now,
        }
    }

    /// All shards.
    pub(super) fn shards(&self) -> std::ops::Range<usize> {
        0..self.config.shards()
    }

    /// A shard's capacity, if its owner has lately reported it.
    pub(crate) fn of(&self, shard_id: usize) -> Option<&'a ShardCapacity> {
        let capacity = self.reports.last(shard_id)?;
        let report_ms = self.config.tuning.capacity_report_s * 1000.0;
        let max_age_ms = report_ms * REPORTS_MISSED + REPORT_DELAY_MS;
        let is_current = self.now - capacity.at <= max_age_ms
            && self.mirror.revision(Key::Shard(shard_id)) == capacity.report.revision;
        is_current.then_some(capacity)
    }

    /// How many of the job's tasks fit into each shard.
    pub(crate) fn fitting(&self, open: &OpenJob, query: FitQuery) -> Vec<f64> {
        let signature = open.signature();
        self.shards()
            .map(|shard_id| {
                let capacity = self.of(shard_id);
                capacity.map_or(0.0, |capacity| capacity.fitting(open, signature, query))
            })
            .collect()
    }

    /// How many of the job's tasks fit on machines of other shards that hold its
    /// image, arrays making way if its rank allows.
    pub(crate) fn held_elsewhere(&self, shard_id: usize, open: &OpenJob) -> f64 {
        let query = if open.spec.rank > Rank::Standard {
            FitQuery::PREEMPTING_WITH_IMAGE
        } else {
            FitQuery::FREE_WITH_IMAGE
        };
        let mut fitting = self.fitting(open, query);
        fitting[shard_id] = 0.0;
        fitting.iter().sum()
    }

    /// How many of the job's tasks fit into each shard's free capacity.
    ///
    /// A service counts only machines that hold its image, while these have
    /// room for it, arrays making way if its rank allows: elsewhere a replica
    /// would wait for the image, and inside its shard the image decides too.
    ///
    /// Where rules prefer some pools, those count alone while they have room for all.
    pub(crate) fn weights(&self, open: &OpenJob) -> Vec<f64> {
        let have_room_for_all =
            |weights: &[f64]| weights.iter().sum::<f64>() >= f64::from(open.spec.task_count);
        let tiers = open.rules.as_ref().map_or(1, |rules| rules.1.tiers());
        for max_tier in 0..tiers.saturating_sub(1) {
            let preferred = self.fitting(open, FitQuery::up_to_tier(max_tier));
            if have_room_for_all(&preferred) {
                return preferred;
            }
        }
        if open.spec.shape == Shape::Service {
            let free = self.fitting(open, FitQuery::FREE_WITH_IMAGE);
            if have_room_for_all(&free) {
                return free;
            }
            if open.spec.rank > Rank::Standard {
                let preempting = self.fitting(open, FitQuery::PREEMPTING_WITH_IMAGE);
                if have_room_for_all(&preempting) {
                    return preempting;
                }
            }
        }
        self.fitting(open, FitQuery::FREE)
    }

    /// How many machines of each shard could run the job, for when there is no free
    /// capacity.
    pub(crate) fn machine_counts(&self, open: &OpenJob) -> Vec<f64> {
        self.shards()
            .map(|shard_id| {
                let capacity = self.of(shard_id);
                let machines = capacity.map(|capacity| capacity.machines_for(open, ANY_TIER));
                machines.map_or(0.0, |machines| machines.count() as f64)
            })
            .collect()
    }
}
