//! The shards' current capacities, and how much of them a job can use.

use super::capacity_reports::{ANY_TIER, CapacityReports, FitQuery, ShardCapacity};
use crate::mirror::OpenJob;
use crate::{Config, Millis, Mirror};
use cherryyard_wire::job::{Rank, Shape};

/// Number of reports that an owner may miss before its last one is outdated.
const MAX_MISSED_REPORTS: f64 = 2.0;
/// Time allowed for the transmission of a report.
const REPORT_DELAY_MS: f64 = 2000.0;

/// View of the shards' capacities that is limited to the current ones.
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

    /// Returns the numbers of all shards.
    pub(super) fn shards(&self) -> std::ops::Range<usize> {
        0..self.config.shards()
    }

    /// Returns a shard's capacity, if it was recently reported by the current owner, or assumed for
    /// the current owner's lease.
    pub(crate) fn of(&self, shard_id: usize) -> Option<&'a ShardCapacity> {
        let capacity = self.reports.last(shard_id)?;
        let report_ms = self.config.tuning.capacity_report_s * 1000.0;
        let max_age_ms = report_ms * MAX_MISSED_REPORTS + REPORT_DELAY_MS;
        let owner = self.mirror.shards[shard_id].as_ref()?;
        let is_current =
            self.now - capacity.at <= max_age_ms && owner.has_held(capacity.report.revision);
        is_current.then_some(capacity)
    }

    /// Returns how many of the job's tasks fit into each shard.
    pub(crate) fn fitting(&self, open: &OpenJob, query: FitQuery) -> Vec<f64> {
        let signature = open.signature();
        self.shards()
            .map(|shard_id| {
                let capacity = self.of(shard_id);
                capacity.map_or(0.0, |capacity| capacity.fitting(open, signature, query))
            })
            .collect()
    }

    /// Returns how many of the job's tasks fit on machines of other shards that hold its image,
    /// with arrays preempted if the job's rank allows that.
    pub(crate) fn fitting_elsewhere_with_image(&self, shard_id: usize, open: &OpenJob) -> f64 {
        let query = if open.spec.rank > Rank::Standard {
            FitQuery::PREEMPTING_WITH_IMAGE
        } else {
            FitQuery::FREE_WITH_IMAGE
        };
        let mut fitting = self.fitting(open, query);
        fitting[shard_id] = 0.0;
        fitting.iter().sum()
    }

    /// Returns how many of the job's tasks fit into each shard's free capacity.
    ///
    /// For a service, only machines that hold its image count while these have capacity for all
    /// its tasks, with arrays preempted if the job's rank allows that. On other machines a replica
    /// would wait for the image. Placement within a shard also depends on the image.
    ///
    /// If rules prefer some pools, only these count while they have capacity for all tasks.
    pub(crate) fn weights(&self, open: &OpenJob) -> Vec<f64> {
        let fit_all_tasks =
            |weights: &[f64]| weights.iter().sum::<f64>() >= f64::from(open.spec.task_count);
        let tiers = open.rules.as_ref().map_or(1, |rules| rules.1.tiers());
        for max_tier in 0..tiers.saturating_sub(1) {
            let preferred = self.fitting(open, FitQuery::up_to_tier(max_tier));
            if fit_all_tasks(&preferred) {
                return preferred;
            }
        }
        if open.spec.shape == Shape::Service {
            let free = self.fitting(open, FitQuery::FREE_WITH_IMAGE);
            if fit_all_tasks(&free) {
                return free;
            }
            if open.spec.rank > Rank::Standard {
                let preempting = self.fitting(open, FitQuery::PREEMPTING_WITH_IMAGE);
                if fit_all_tasks(&preempting) {
                    return preempting;
                }
            }
        }
        self.fitting(open, FitQuery::FREE)
    }

    /// Returns how many machines of each shard could run the job, for use when there is no free
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
