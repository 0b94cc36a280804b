//! Checks at the end of a scenario: jobs whose polls are not answered, tasks that waited
//! although machines were free, and groups of jobs that were not served.

use super::capacity::MAX_WAIT_MS;
use super::{Job, Users};
use crate::World;
use std::collections::BTreeMap;

/// Maximum time in milliseconds for which a job's polls may go unanswered once all faults have
/// ended.
const MAX_UNANSWERED_MS: f64 = 75_000.0;
/// Time in milliseconds within which the largest jobs must have started.
const MAX_START_DELAY_MS: f64 = 240_000.0;

/// Number of jobs in a group, and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    served: usize,
    all: usize,
}

impl Users {
    /// Returns the rule violations at the end of a scenario whose faults ended at the time
    /// `faults_ended_at`. A group of jobs violates the rules if fewer than half of its jobs were
    /// served.
    pub fn violations_since(&self, world: &World, faults_ended_at: f64) -> Vec<String> {
        let mut violations = self.violations.clone();
        violations.extend(self.unanswered_jobs(world, faults_ended_at));
        violations.extend(self.starved_jobs(faults_ended_at));
        let mut served_by_group = self.served_by_group(world);
        served_by_group.extend(self.served_of_largest(world));
        for (group, Served { served, all }) in served_by_group {
            if served * 2 < all {
                violations.push(format!("{group}: {served} of {all} served"));
            }
        }
        violations
    }

    /// Returns the jobs that were not cancelled.
    fn not_cancelled(&self) -> impl Iterator<Item = (&String, &Job)> {
        self.jobs.iter().filter(|(_, job)| !job.is_cancelled)
    }

    fn unanswered_jobs(&self, world: &World, faults_ended_at: f64) -> Vec<String> {
        let is_unanswered =
            |job: &Job| world.now - job.answered_at.max(faults_ended_at) > MAX_UNANSWERED_MS;
        self.not_cancelled()
            .filter(|(_, job)| is_unanswered(job))
            .map(|(id, _)| format!("{id} is forgotten"))
            .collect()
    }

    fn starved_jobs(&self, faults_ended_at: f64) -> Vec<String> {
        let mut violations = Vec::new();
        for (id, job) in self.not_cancelled() {
            let mut waits = job.waits.iter();
            let too_long =
                waits.find(|wait| wait.until - wait.since.max(faults_ended_at) > MAX_WAIT_MS);
            if let Some(wait) = too_long {
                let seconds = (wait.until - wait.since.max(faults_ended_at)) / 1000.0;
                violations.push(format!("{id} waits for {seconds} s though there is room"));
            }
        }
        violations
    }

    /// Counts the jobs of each class and each team, and those of them that were served: done,
    /// or a service whose first task is on exactly one machine.
    fn served_by_group(&self, world: &World) -> BTreeMap<String, Served> {
        let mut served_by_group: BTreeMap<String, Served> = BTreeMap::new();
        for (id, job) in self.not_cancelled() {
            let is_served =
                job.is_done || (job.is_service && world.running_copies(&format!("{id}/0")) == 1);
            for group in [format!("class {}", job.class), format!("team {}", job.team)] {
                let group = served_by_group.entry(group).or_default();
                group.served += usize::from(is_served);
                group.all += 1;
            }
        }
        served_by_group
    }

    /// Counts, for each class, the largest tenth of the jobs that were accepted at least
    /// [`MAX_START_DELAY_MS`] ago, and those of them that started within that time.
    fn served_of_largest(&self, world: &World) -> BTreeMap<String, Served> {
        let mut classes: BTreeMap<&str, Vec<(&String, &Job)>> = BTreeMap::new();
        for (id, job) in self.not_cancelled() {
            classes.entry(&job.class).or_default().push((id, job));
        }
        let mut served_by_group = BTreeMap::new();
        for (class, mut jobs) in classes {
            jobs.sort_by(|(a_id, a), (b_id, b)| b.cores.total_cmp(&a.cores).then(a_id.cmp(b_id)));
            jobs.retain(|(_, job)| world.now - job.accepted_at >= MAX_START_DELAY_MS);
            let all = jobs.len().div_ceil(10);
            let started_in_time = |job: &Job| {
                let first_task_at = job.first_task_at;
                first_task_at.is_some_and(|at| at - job.accepted_at <= MAX_START_DELAY_MS)
            };
            let served = jobs[..all]
                .iter()
                .filter(|(_, job)| started_in_time(job))
                .count();
            served_by_group.insert(format!("largest of {class}"), Served { served, all });
        }
        served_by_group
    }
}
