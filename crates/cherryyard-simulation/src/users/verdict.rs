//! What is wrong at the end of a scenario: jobs forgotten, tasks that waited beside free
//! machines, groups left out.

use super::capacity::MOST_WAIT_MS;
use super::{Job, Users};
use crate::World;
use std::collections::BTreeMap;

/// Without an answer for so long, once all faults are over, a job counts as forgotten.
const FORGOTTEN_MS: f64 = 75_000.0;
/// Within so long the largest jobs are to begin.
const BEGIN_MS: f64 = 240_000.0;

/// How many jobs of a group were served.
#[derive(Clone, Copy, Debug, Default)]
struct Served {
    served: usize,
    all: usize,
}

impl Users {
    /// What is wrong at the end of a scenario whose faults were over at `over`.
    pub fn judge(&self, w: &World, over: f64) -> Vec<String> {
        let mut wrong = self.broken.clone();
        wrong.extend(self.forgotten(w, over));
        wrong.extend(self.kept_waiting(over));
        let mut groups = self.groups(w);
        groups.extend(self.largest(w));
        for (group, Served { served, all }) in groups {
            if served * 2 < all {
                wrong.push(format!("{group}: {served} of {all} served"));
            }
        }
        wrong
    }

    /// Jobs that were not cancelled.
    fn open(&self) -> impl Iterator<Item = (&String, &Job)> {
        self.jobs.iter().filter(|(_, job)| !job.is_cancelled)
    }

    fn forgotten(&self, w: &World, over: f64) -> Vec<String> {
        let is_forgotten = |job: &Job| w.now - job.answered_at.max(over) > FORGOTTEN_MS;
        self.open()
            .filter(|(_, job)| is_forgotten(job))
            .map(|(id, _)| format!("{id} is forgotten"))
            .collect()
    }

    fn kept_waiting(&self, over: f64) -> Vec<String> {
        let mut wrong = Vec::new();
        for (id, job) in self.open() {
            let mut waits = job.waits.iter();
            let long = waits.find(|wait| wait.until - wait.since.max(over) > MOST_WAIT_MS);
            if let Some(wait) = long {
                let seconds = (wait.until - wait.since.max(over)) / 1000.0;
                wrong.push(format!("{id} waits for {seconds} s though there is room"));
            }
        }
        wrong
    }

    /// Jobs of each class and team that were served.
    fn groups(&self, w: &World) -> BTreeMap<String, Served> {
        let mut groups: BTreeMap<String, Served> = BTreeMap::new();
        for (id, job) in self.open() {
            let is_served = job.is_done || (job.is_service && w.copies(&format!("{id}/0")) == 1);
            for group in [format!("class {}", job.class), format!("team {}", job.team)] {
                let group = groups.entry(group).or_default();
                group.served += usize::from(is_served);
                group.all += 1;
            }
        }
        groups
    }

    /// Of each class the largest tenth of the jobs that were accepted early enough: how
    /// many have begun in time.
    fn largest(&self, w: &World) -> BTreeMap<String, Served> {
        let mut classes: BTreeMap<&str, Vec<(&String, &Job)>> = BTreeMap::new();
        for (id, job) in self.open() {
            classes.entry(&job.class).or_default().push((id, job));
        }
        let mut groups = BTreeMap::new();
        for (class, mut jobs) in classes {
            jobs.sort_by(|(a_id, a), (b_id, b)| b.cores.total_cmp(&a.cores).then(a_id.cmp(b_id)));
            jobs.retain(|(_, job)| w.now - job.accepted_at >= BEGIN_MS);
            let all = jobs.len().div_ceil(10);
            let has_begun = |job: &Job| {
                let begun_at = job.begun_at;
                begun_at.is_some_and(|at| at - job.accepted_at <= BEGIN_MS)
            };
            let served = jobs[..all].iter().filter(|(_, job)| has_begun(job)).count();
            groups.insert(format!("largest of {class}"), Served { served, all });
        }
        groups
    }
}
