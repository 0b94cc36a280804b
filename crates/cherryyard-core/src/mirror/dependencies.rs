//! Jobs that wait for others: which are ready, which are cancelled with what they need,
//! and what a job inherits from those that need it.
//!
//! All of it follows from the stored records and is never stored itself. A job is *ready*
//! when every job that it needs is done, and it is *cancelled with* one of them as soon
//! as that one is cancelled, or cancelled with another in turn. Ends are final, so
//! neither is ever taken back, and controllers that have read different amounts of the
//! same state differ only in how much they know.

use super::{Mirror, OpenJob};
use crate::admission::flows::Flow;
use cherryyard_wire::job::{Rank, Shape};
use cherryyard_wire::record::{End, JobRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Time that a stage takes beside its tasks' run time, in milliseconds: until its end is
/// known, the next one is divided and started, and images have been fetched.
const STAGE_OVERHEAD_MS: f64 = 5000.0;
/// The longest of several tasks takes this much longer than the estimate of one.
const LONGEST_TASK: f64 = 1.5;

/// A deadline as it bears on a job: its own, or that of a job that needs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Deadline {
    /// When it begins to count, in milliseconds of the day's clock.
    pub starts_ms: f64,
    /// Milliseconds until it is over.
    pub allowed_ms: f64,
    /// Milliseconds that later stages take, between the job and the one that has it.
    pub later_stages_ms: f64,
    /// The flow of the job that has it.
    pub flow: Flow,
}

impl Deadline {
    /// When the job has to be complete for a multiple of the deadline to be kept, in
    /// milliseconds of the day's clock.
    pub fn complete_by(&self, multiple: f64) -> f64 {
        self.starts_ms + self.allowed_ms * multiple - self.later_stages_ms
    }
}

/// What a job has of its own and from the jobs that need it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// The highest priority among them.
    pub rank: Rank,
    /// The earliest deadline among them.
    pub deadline: Option<Deadline>,
}

impl Urgency {
    /// Takes over what is more urgent in a job that needs this one and takes `takes_ms`
    /// itself.
    fn inherit(&mut self, dependent: &Self, takes_ms: f64) {
        self.rank = self.rank.max(dependent.rank);
        let inherited = dependent.deadline.map(|deadline| Deadline {
            later_stages_ms: deadline.later_stages_ms + takes_ms,
            ..deadline
        });
        let complete_by = |deadline: &Option<Deadline>| {
            deadline.map_or(f64::INFINITY, |deadline| deadline.complete_by(1.0))
        };
        if complete_by(&inherited) < complete_by(&self.deadline) {
            self.deadline = inherited;
        }
    }
}

/// Which jobs wait for which.
#[derive(Clone, Debug, Default)]
pub(super) struct DependencyGraph {
    /// Open jobs by each job that they wait for.
    dependents: HashMap<u64, BTreeSet<u64>>,
    /// Open jobs that are cancelled with a job that they need, and with which.
    cancelled: BTreeMap<u64, u64>,
}

impl DependencyGraph {
    fn dependents(&self, job: u64) -> Vec<u64> {
        let dependents = self.dependents.get(&job).into_iter().flatten();
        dependents.copied().collect()
    }

    fn link(&mut self, job: u64, needs: &[u64]) {
        for &need in needs {
            self.dependents.entry(need).or_default().insert(job);
        }
    }

    fn unlink(&mut self, job: u64, needs: &[u64]) {
        for need in needs {
            let Some(dependents) = self.dependents.get_mut(need) else {
                continue;
            };
            dependents.remove(&job);
            if dependents.is_empty() {
                self.dependents.remove(need);
            }
        }
    }
}

impl OpenJob {
    /// Estimate of how long the job takes once it is ready, in milliseconds.
    fn takes_ms(&self) -> f64 {
        self.spec.expected_s * 1000.0 * LONGEST_TASK + STAGE_OVERHEAD_MS
    }

    /// What the job has by itself.
    pub(super) fn own_urgency(&self) -> Urgency {
        Urgency {
            rank: self.spec.rank,
            deadline: self.spec.due_s.map(|due_s| Deadline {
                starts_ms: self.submitted_at as f64,
                allowed_ms: due_s * 1000.0,
                later_stages_ms: 0.0,
                flow: self.flow,
            }),
        }
    }
}

impl Mirror {
    /// Puts an open job into the place of an earlier version of it, if there is one;
    /// gives that back.
    pub(super) fn insert_open(&mut self, job: u64, open: OpenJob) -> Option<OpenJob> {
        let needs = open.dependencies.jobs.clone();
        let before = self.open.insert(job, open);
        if let Some(before) = &before {
            self.graph.unlink(job, &before.dependencies.jobs);
        }
        self.graph.link(job, &needs);
        self.cancel_with_needs(job);
        self.refresh_urgency(job);
        let urgency = self.open.get(&job).map(|open| open.urgency);
        let is_as_before =
            |before: &OpenJob| before.dependencies.jobs == needs && Some(before.urgency) == urgency;
        if !before.as_ref().is_some_and(is_as_before) {
            // A new job's own urgency is there already, so its refresh tells nobody of it.
            for need in needs {
                self.refresh_urgency(need);
            }
        }
        before
    }

    /// Takes an open job out; false if it was not there.
    pub(super) fn remove_open(&mut self, job: u64) -> bool {
        let Some(before) = self.open.remove(&job) else {
            return false;
        };
        self.graph.unlink(job, &before.dependencies.jobs);
        self.graph.cancelled.remove(&job);
        for &need in &before.dependencies.jobs {
            self.refresh_urgency(need);
        }
        true
    }

    /// After a job's end has become known: jobs that need it may be ready, or are
    /// cancelled with it.
    pub(super) fn refresh_dependents(&mut self, job: u64) {
        for dependent in self.graph.dependents(job) {
            self.cancel_with_needs(dependent);
            self.refresh_job(dependent);
        }
    }

    /// The cancelled job that an open job needs, if there is one.
    fn cancelled_need(&self, job: u64) -> Option<u64> {
        let open = self.open.get(&job)?;
        let is_cancelled = |need: &&u64| {
            self.end(**need) == Some(End::Cancelled) || self.graph.cancelled.contains_key(*need)
        };
        let dependencies = &open.dependencies;
        let cancelled_need = || dependencies.jobs.iter().find(is_cancelled).copied();
        dependencies.cancelled_by.or_else(cancelled_need)
    }

    /// Notes that a job is cancelled with one that it needs, if it is, and with it all
    /// that need it in turn.
    fn cancel_with_needs(&mut self, job: u64) {
        let mut pending = vec![job];
        while let Some(job) = pending.pop() {
            if self.graph.cancelled.contains_key(&job) {
                continue;
            }
            let Some(need) = self.cancelled_need(job) else {
                continue;
            };
            self.graph.cancelled.insert(job, need);
            self.undivided.remove(&job);
            pending.extend(self.graph.dependents(job));
        }
    }

    /// The job with which an open job is cancelled; none if it is not.
    pub fn cancelled_with(&self, job: u64) -> Option<u64> {
        self.graph.cancelled.get(&job).copied()
    }

    /// Open jobs that are cancelled with one that they need, and have no record that says
    /// so.
    pub fn cancelled_dependents(&self) -> impl Iterator<Item = u64> + '_ {
        self.graph.cancelled.keys().copied()
    }

    /// Whether an open job waits for another. One that has been divided was ready.
    pub fn waits_for_others(&self, job: u64) -> bool {
        let Some(open) = self.open.get(&job) else {
            return false;
        };
        if open.divided() {
            return false;
        }
        self.graph.cancelled.contains_key(&job) || self.unmet_needs(open).next().is_some()
    }

    /// Jobs that an open job needs and that are not done.
    pub fn unmet_needs<'a>(&'a self, open: &'a OpenJob) -> impl Iterator<Item = u64> + 'a {
        let needs = open.dependencies.jobs.iter().copied();
        needs.filter(|need| self.end(*need) != Some(End::Done))
    }

    /// Whether open jobs wait for a job: its end must not be forgotten before theirs.
    pub fn has_dependents(&self, job: u64) -> bool {
        self.graph.dependents.contains_key(&job)
    }

    /// The record of the end of a job that is cancelled with one that it needs.
    pub fn end_of_dependent(&self, job: u64) -> Option<JobRecord> {
        let cancelled_with = self.cancelled_with(job)?;
        let mut record = self.open.get(&job)?.ended(End::Cancelled);
        if let JobRecord::Ended { cancelled_by, .. } = &mut record {
            *cancelled_by = Some(cancelled_with);
        }
        Some(record)
    }

    /// How urgent an open job is, by itself and by those that need it.
    fn urgency_of(&self, job: u64, open: &OpenJob) -> Urgency {
        let mut urgency = open.own_urgency();
        for dependent in self.graph.dependents(job) {
            if let Some(other) = self.open.get(&dependent)
                && !self.graph.cancelled.contains_key(&dependent)
            {
                urgency.inherit(&other.urgency, other.takes_ms());
            }
        }
        urgency
    }

    /// Works out anew how urgent a job is, and with it those that it needs.
    fn refresh_urgency(&mut self, job: u64) {
        let mut pending = vec![job];
        while let Some(job) = pending.pop() {
            let Some(open) = self.open.get(&job) else {
                continue;
            };
            let urgency = self.urgency_of(job, open);
            let needs = open.dependencies.jobs.clone();
            if let Some(open) = self.open.get_mut(&job) {
                if open.urgency == urgency {
                    continue;
                }
                open.urgency = urgency;
            }
            self.tasks.note_waiting_change(job);
            pending.extend(needs);
        }
    }

    /// Whether a job's tasks run until it is cancelled, as far as is known.
    pub fn is_service(&self, job: u64) -> bool {
        let open = self.open.get(&job);
        open.is_some_and(|open| open.spec.shape == Shape::Service)
    }
}
