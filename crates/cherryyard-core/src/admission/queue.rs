//! Queues of the jobs that wait in a shard: one sorted queue for each flow, updated job by job as
//! jobs change.
//!
//! Jobs are sorted by [`Place`]. A scheduling cycle takes jobs from all queues in that order
//! ([`ServiceOrder`]) until no more can be placed. Of a flow whose jobs do not fit, it inspects a
//! bounded number, and of the others a few that differ from cycle to cycle, so that the cost of a
//! scheduling cycle does not grow with the number of waiting jobs. Two rules prevent starvation:
//! a fixed share of the cores that a flow starts is credited to its late jobs ([`late_jobs`]), and
//! of a flow's jobs that are not quarantined and have no started task, the oldest comes first once
//! it is old enough ([`oldest_job`]).

mod flow_queue;
mod late_jobs;
mod oldest_job;
mod place;
mod service_order;

use super::flows::Flow;
use crate::Millis;
use flow_queue::FlowQueue;
pub use late_jobs::LATE_SHARE;
pub use place::Place;
pub use service_order::{MAX_ROTATED_JOBS, ServiceOrder};
use std::collections::{BTreeSet, HashMap};

/// Number of consecutive jobs of a flow without a placed task after which a scheduling cycle skips
/// the rest of the flow's queue, except for up to [`MAX_ROTATED_JOBS`] jobs.
pub const MAX_UNPLACED_JOBS_IN_ROW: u32 = 48;

/// Largest number of jobs that [`Queues::jobs_with_expired_places`] returns at a time.
const MAX_TURNED: usize = 256;
/// Expiry time of a place that does not change with time.
const NEVER: u64 = u64::MAX;

/// A job in the queues.
#[derive(Clone, Copy, Debug)]
struct WaitingJob {
    flow: Flow,
    place: Place,
    /// Wall-clock time in milliseconds at which the place changes because of the time alone, or
    /// [`NEVER`].
    changes_at: u64,
    /// Time since which the job has been in the queues.
    since: Millis,
}

/// Queues of the jobs that wait in one shard.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    flows: Vec<FlowQueue>,
    jobs: HashMap<u64, WaitingJob>,
    /// Times at which places expire, each with its job.
    expirations: BTreeSet<(u64, u64)>,
    /// Services that no scheduling cycle has inspected yet.
    uninspected_services: BTreeSet<u64>,
}

impl Queues {
    fn flow_mut(&mut self, flow: Flow) -> &mut FlowQueue {
        let index = flow as usize;
        if self.flows.len() <= index {
            self.flows.resize_with(index + 1, FlowQueue::default);
        }
        &mut self.flows[index]
    }

    /// Inserts a job at its place, or moves it there. `changes_at` is the wall-clock time in
    /// milliseconds at which that place changes because of the time alone; infinite if it does not.
    /// For a late job [`Self::add_late_job`] is called first. A late job that is due and the first job
    /// of its flow are sorted before all other jobs of their rank and kind, whatever their place
    /// says.
    pub fn set(&mut self, flow: Flow, mut place: Place, changes_at: f64, now: Millis) {
        let changes_at = if changes_at.is_finite() {
            changes_at.max(0.0) as u64
        } else {
            NEVER
        };
        let before = self.take(place.job);
        if before.is_none() && !place.is_array {
            self.uninspected_services.insert(place.job);
        }
        let queue = self.flow_mut(flow);
        if queue.late.is_due(place.job) || queue.oldest.is_first(place.job) {
            (place.deadline_multiple, place.work) = (0, 0.0);
        }
        if before.is_none() {
            queue.oldest.insert((place.ready_at, place.job));
        }
        queue.places.insert(place);
        if changes_at != NEVER {
            self.expirations.insert((changes_at, place.job));
        }
        let waiting = WaitingJob {
            flow,
            place,
            changes_at,
            since: before.map_or(now, |before| before.since),
        };
        self.jobs.insert(place.job, waiting);
    }

    fn take(&mut self, job: u64) -> Option<WaitingJob> {
        let waiting = self.jobs.remove(&job)?;
        self.flows[waiting.flow as usize]
            .places
            .remove(&waiting.place);
        self.expirations.remove(&(waiting.changes_at, job));
        Some(waiting)
    }

    /// Removes a job that does not wait any more.
    pub fn remove(&mut self, job: u64) {
        if let Some(waiting) = self.take(job) {
            let queue = &mut self.flows[waiting.flow as usize];
            let age_key = (waiting.place.ready_at, job);
            queue.late.remove(age_key);
            queue.oldest.remove(age_key);
        }
        self.uninspected_services.remove(&job);
    }

    /// Records that a job of a flow, ready to run since `at`, cannot meet any multiple of its
    /// deadline.
    pub fn add_late_job(&mut self, flow: Flow, at: u64, job: u64) {
        self.flow_mut(flow).late.insert((at, job));
    }

    /// Records that tasks of a flow with so many cores have been started, and credits a share of
    /// them to its late jobs.
    pub fn credit_started_cores(&mut self, flow: Flow, cores: f64) {
        if let Some(queue) = self.flows.get_mut(flow as usize) {
            queue.late.credit_started_cores(cores);
        }
    }

    /// Returns the late jobs that have become due, given the cores of each job's waiting tasks in
    /// this shard. The caller has to [`Self::set`] them again.
    pub fn take_due_late_jobs(&mut self, cores: impl Fn(u64) -> f64) -> Vec<u64> {
        let mut due = Vec::new();
        for queue in &mut self.flows {
            queue.late.take_due(&cores, &mut due);
        }
        due
    }

    /// Returns the job of a flow that comes first because of its age, as the last call of
    /// [`Self::prioritize_oldest_jobs`] chose it, unless it has been removed since.
    pub fn oldest_job(&self, flow: Flow) -> Option<u64> {
        self.flows.get(flow as usize)?.oldest.first()
    }

    /// Chooses in each flow the oldest job for which `has_begun` is false to come first, if
    /// `is_old` holds for the time since which it has been ready to run. `has_begun` holds for
    /// every job that is to be passed over: those with an assigned or completed task, and
    /// quarantined ones. Returns the jobs that the caller has to [`Self::set`] again.
    pub fn prioritize_oldest_jobs(
        &mut self,
        is_old: impl Fn(u64) -> bool,
        has_begun: impl Fn(u64) -> bool,
    ) -> Vec<u64> {
        let mut changed = Vec::new();
        for queue in &mut self.flows {
            queue.oldest.update(&is_old, &has_begun, &mut changed);
        }
        changed
    }

    /// Removes all jobs.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns jobs whose places have changed because of the time alone by wall-clock time
    /// `wall_time`, a bounded number at a time.
    pub fn jobs_with_expired_places(&self, wall_time: f64) -> Vec<u64> {
        let wall_time = wall_time.max(0.0) as u64;
        let due = self.expirations.range(..(wall_time, 0)).take(MAX_TURNED);
        due.map(|&(_, job)| job).collect()
    }

    /// Returns the time since which a job has been in these queues.
    pub fn since(&self, job: u64) -> Option<Millis> {
        self.jobs.get(&job).map(|waiting| waiting.since)
    }

    /// Returns whether a service waits that no scheduling cycle has inspected.
    pub fn has_uninspected_services(&self) -> bool {
        !self.uninspected_services.is_empty()
    }

    /// Records that a scheduling cycle has inspected the queues.
    pub fn mark_inspected(&mut self) {
        self.uninspected_services.clear();
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the jobs of all flows in the order of service.
    pub fn service_order(&self) -> ServiceOrder<'_> {
        ServiceOrder::new(&self.flows)
    }

    /// Saves where the next scheduling cycle continues in a flow's queue behind the first
    /// [`MAX_UNPLACED_JOBS_IN_ROW`] jobs, given how many of these `others` were inspected and the last of them. If
    /// there were fewer than [`MAX_ROTATED_JOBS`], the end of the queue was reached and the next
    /// cycle starts over.
    pub fn save_cursor(&mut self, flow: Flow, others: usize, last: Option<Place>) {
        if let Some(queue) = self.flows.get_mut(flow as usize) {
            queue.cursor = last.filter(|_| others >= MAX_ROTATED_JOBS);
        }
    }
}

#[cfg(test)]
mod tests;
