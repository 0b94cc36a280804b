//! Ended jobs: those that the watched records (the ones under the prefix that the mirror covers)
//! still list, and the most recent of those that only the history lists.

use crate::needs::Resources;
use cherryyard_wire::record::JobOutcome;
use lru::LruCache;
use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::ops::Range;

/// Ended job that the watched records list.
#[derive(Clone, Copy, Debug)]
pub struct EndedJob {
    /// Outcome of the job: done or cancelled.
    pub end: JobOutcome,
    /// Number of the job's tasks.
    pub task_count: u32,
    /// Generation of the history that the end belongs to.
    pub generation: u64,
    /// Revision of the record under the job's own key; 0 if there is none.
    pub revision: u64,
    /// Number of the cancelled job that this one depended on, if it was cancelled for that reason.
    pub cancelled_by: Option<u64>,
}

/// Resources that each task of a job takes, and the team whose limit they count against.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskDemand {
    /// Index of the team; `u32::MAX` for a team that is not in the settings.
    pub team: u32,
    /// Resources of one task.
    pub needs: Resources,
}

/// End of a job, in the reduced form kept for jobs that only the history lists.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobEnd {
    /// Outcome of the job: done or cancelled.
    pub end: JobOutcome,
    /// Number of the job's tasks.
    pub task_count: u32,
}

/// Ended jobs, and the cancellations to report to the other controllers.
#[derive(Clone, Debug)]
pub(super) struct EndedJobs {
    jobs: HashMap<u64, EndedJob>,
    /// Resources per task of ended jobs of which tasks may still be on machines.
    demands: HashMap<u64, TaskDemand>,
    /// Most recent jobs that the watched records no longer list and that are in the history.
    recent_history: LruCache<u64, JobEnd>,
    /// Jobs whose cancellation has been read since the last call of `take_cancelled`.
    cancelled: Vec<u64>,
    /// Whether ends may have been missed since the last call of `take_missed_ends`.
    missed_ends: bool,
}

impl EndedJobs {
    /// Returns an empty collection that keeps up to `recent_ends` jobs that only the history lists.
    pub fn new(recent_ends: NonZeroUsize) -> Self {
        Self {
            jobs: HashMap::new(),
            demands: HashMap::new(),
            recent_history: LruCache::new(recent_ends),
            cancelled: Vec::new(),
            missed_ends: false,
        }
    }

    /// Stores the end of a job; returns whether the job was already held here as ended.
    pub fn insert(&mut self, job: u64, ended: EndedJob) -> bool {
        self.jobs.insert(job, ended).is_some() || self.recent_history.contains(&job)
    }

    /// Sets the resources that each of a job's tasks takes; none if no task can be on a machine.
    pub fn set_demand(&mut self, job: u64, demand: Option<TaskDemand>) {
        match demand {
            Some(demand) => self.demands.insert(job, demand),
            None => self.demands.remove(&job),
        };
    }

    /// Keeps only the end of a job that the watched records no longer list.
    pub fn move_to_history(&mut self, job: u64) {
        self.demands.remove(&job);
        if let Some(ended) = self.jobs.remove(&job) {
            let job_end = JobEnd {
                end: ended.end,
                task_count: ended.task_count,
            };
            self.recent_history.put(job, job_end);
        }
    }

    /// Returns an ended job that the watched records list.
    pub fn get(&self, job: u64) -> Option<&EndedJob> {
        self.jobs.get(&job)
    }

    /// Returns whether the watched records list the job as ended.
    pub fn contains(&self, job: u64) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Returns the end of a job from the watched records, or else from the recent ends of the
    /// history.
    pub fn job_end(&self, job: u64) -> Option<JobEnd> {
        let watched = self.jobs.get(&job).map(|ended| JobEnd {
            end: ended.end,
            task_count: ended.task_count,
        });
        watched.or_else(|| self.recent_history.peek(&job).copied())
    }

    /// Returns the resources that each of the job's tasks takes, while some may still be on
    /// machines.
    pub fn demand(&self, job: u64) -> Option<TaskDemand> {
        self.demands.get(&job).copied()
    }

    /// Returns whether the end of any job with one of these numbers is held here.
    pub fn contains_any(&self, jobs: &Range<u64>) -> bool {
        self.jobs.keys().any(|job| jobs.contains(job))
            || self
                .recent_history
                .iter()
                .any(|(job, _)| jobs.contains(job))
    }

    /// Returns the numbers of the ended jobs that the watched records list, in no particular order.
    pub fn numbers(&self) -> impl Iterator<Item = u64> + '_ {
        self.jobs.keys().copied()
    }

    /// Returns the ended jobs that the watched records list, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &EndedJob)> {
        self.jobs.iter().map(|(&job, ended)| (job, ended))
    }

    /// Returns the number of ended jobs that the watched records list.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Records that the cancellation of a job has been read.
    pub fn note_cancelled(&mut self, job: u64) {
        self.cancelled.push(job);
    }

    /// Returns whether the cancellation of a job has been read since the last `take_cancelled`.
    pub fn is_newly_cancelled(&self, job: u64) -> bool {
        self.cancelled.contains(&job)
    }

    /// Returns the jobs whose cancellation has been read since the last call.
    pub fn take_cancelled(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.cancelled)
    }

    /// Records that jobs may have ended without their ends having been read.
    pub fn note_missed_ends(&mut self) {
        self.missed_ends = true;
    }

    /// Returns whether ends may have been missed since the last call.
    pub fn take_missed_ends(&mut self) -> bool {
        std::mem::take(&mut self.missed_ends)
    }
}
