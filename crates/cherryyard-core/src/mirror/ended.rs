//! Jobs that are over, as long as watched records name them, and the latest of those that
//! have left them for the history.

use crate::needs::Needs;
use cherryyard_wire::record::End;
use lru::LruCache;
use std::collections::HashMap;
use std::num::NonZeroUsize;
use std::ops::Range;

/// A job that is over, as long as the watched records name it.
#[derive(Clone, Copy, Debug)]
pub struct EndedJob {
    /// How it ended.
    pub end: End,
    /// How many tasks it had.
    pub task_count: u32,
    /// Its generation in the history.
    pub generation: u64,
    /// Revision of its own record, if it has one.
    pub revision: u64,
    /// The cancelled job that it needed, if it is cancelled for that.
    pub cancelled_by: Option<u64>,
}

/// What each task of a job takes of its team's limit.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskDemand {
    /// The team; `u32::MAX` for one that is not in the settings.
    pub team: u32,
    /// What a task takes.
    pub needs: Needs,
}

/// An end that only the history holds.
#[derive(Clone, Copy, Debug)]
pub(super) struct PastEnd {
    /// How the job ended.
    pub end: End,
    /// How many tasks it had.
    pub task_count: u32,
}

/// Jobs that are over.
#[derive(Clone, Debug)]
pub(super) struct EndedJobs {
    jobs: HashMap<u64, EndedJob>,
    /// What tasks of those take that may still be on machines.
    demands: HashMap<u64, TaskDemand>,
    /// Jobs that have left the watched records for the history.
    recent: LruCache<u64, PastEnd>,
    /// Jobs seen to be cancelled since the last call of `take_cancelled`.
    cancelled: Vec<u64>,
    /// Whether ends may have been missed since the last call of `take_gap`.
    gap: bool,
}

impl EndedJobs {
    /// None yet; the history's latest `recent_ends` are remembered.
    pub fn new(recent_ends: NonZeroUsize) -> Self {
        Self {
            jobs: HashMap::new(),
            demands: HashMap::new(),
            recent: LruCache::new(recent_ends),
            cancelled: Vec::new(),
            gap: false,
        }
    }

    /// Takes a job's end; says whether the job was known to be over.
    pub fn insert(&mut self, job: u64, ended: EndedJob) -> bool {
        self.jobs.insert(job, ended).is_some() || self.recent.contains(&job)
    }

    /// Notes what the job's tasks take, or that none can be on a machine.
    pub fn set_demand(&mut self, job: u64, demand: Option<TaskDemand>) {
        match demand {
            Some(demand) => self.demands.insert(job, demand),
            None => self.demands.remove(&job),
        };
    }

    /// No watched record names the job any more.
    pub fn drop_to_history(&mut self, job: u64) {
        self.demands.remove(&job);
        if let Some(ended) = self.jobs.remove(&job) {
            let past = PastEnd {
                end: ended.end,
                task_count: ended.task_count,
            };
            self.recent.put(job, past);
        }
    }

    /// A job that watched records say is over.
    pub fn get(&self, job: u64) -> Option<&EndedJob> {
        self.jobs.get(&job)
    }

    /// Whether watched records say that the job is over.
    pub fn contains(&self, job: u64) -> bool {
        self.jobs.contains_key(&job)
    }

    /// How the job ended, by watched records or as remembered of the history.
    pub fn past_end(&self, job: u64) -> Option<PastEnd> {
        let watched = self.jobs.get(&job).map(|ended| PastEnd {
            end: ended.end,
            task_count: ended.task_count,
        });
        watched.or_else(|| self.recent.peek(&job).copied())
    }

    /// What the job's tasks take, while some may still be on machines.
    pub fn demand(&self, job: u64) -> Option<TaskDemand> {
        self.demands.get(&job).copied()
    }

    /// Whether a job with one of these numbers is known to be over.
    pub fn knows_any(&self, jobs: &Range<u64>) -> bool {
        self.jobs.keys().any(|job| jobs.contains(job))
            || self.recent.iter().any(|(job, _)| jobs.contains(job))
    }

    /// Numbers of the jobs that watched records say are over, in no order.
    pub fn numbers(&self) -> impl Iterator<Item = u64> + '_ {
        self.jobs.keys().copied()
    }

    /// Those jobs, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &EndedJob)> {
        self.jobs.iter().map(|(&job, ended)| (job, ended))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Notes that a job has been seen to be cancelled.
    pub fn note_cancelled(&mut self, job: u64) {
        self.cancelled.push(job);
    }

    /// Whether a job has been seen to be cancelled since the last `take_cancelled`.
    pub fn is_newly_cancelled(&self, job: u64) -> bool {
        self.cancelled.contains(&job)
    }

    /// Jobs seen to be cancelled since the last call.
    pub fn take_cancelled(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.cancelled)
    }

    /// Notes that jobs may have ended that cannot be named.
    pub fn note_gap(&mut self) {
        self.gap = true;
    }

    /// Whether such ends may have been missed since the last call.
    pub fn take_gap(&mut self) -> bool {
        std::mem::take(&mut self.gap)
    }
}
