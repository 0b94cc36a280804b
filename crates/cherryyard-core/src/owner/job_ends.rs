//! Ends of jobs: the owner that proves a job's last tasks completed ends the job.

use super::cycle::Cycle;
use crate::Millis;
use crate::controller::Controller;
use cherryyard_wire::RangeSet;
use cherryyard_wire::job::Shape;

impl Controller {
    /// Ends the jobs whose last tasks this cycle proves completed. Also ends jobs whose tasks are
    /// all completed but which are still open: two shards that wrote their last completed numbers
    /// at the same time did not see each other's. Such a job is ended by the lowest-numbered shard
    /// that has an owner and holds assignments or completed numbers of the job.
    pub(super) fn end_jobs(&mut self, shard_id: usize, cycle: &mut Cycle) {
        for (job, completed) in cycle.take_completed() {
            // The completed numbers of each shard only grow while the job is open, so an outdated
            // view of other shards cannot end a job too early. A number that is proven completed
            // again does not count again.
            let stored = self.mirror.completed(job).cloned().unwrap_or_default();
            self.note_repeated_completions(shard_id, job, &stored, &completed);
            if let Some(open) = self.mirror.open.get(&job)
                && open.spec.shape == Shape::Array
                && stored.union(&completed).covers_first(open.spec.task_count)
            {
                let (stored, added) = (stored.len(), completed.len());
                tracing::debug!(shard = shard_id, job, stored, added, "last tasks completed");
                cycle.end(job);
            }
        }
        for &job in &self.mirror.complete {
            let first = (0..self.shards.len()).find(|&shard| {
                self.mirror.shards[shard].is_some()
                    && self.mirror.tasks.assignments.contains_key(&(shard, job))
            });
            if first == Some(shard_id) {
                cycle.end(job);
            }
        }
    }

    /// Counts and logs the tasks that are proven completed although they are stored as completed.
    fn note_repeated_completions(
        &mut self,
        shard_id: usize,
        job: u64,
        stored: &RangeSet,
        completed: &RangeSet,
    ) {
        let new = completed.difference(stored);
        let repeated = completed.difference(&new);
        if !repeated.is_empty() {
            self.repeated_completions += u64::from(repeated.len());
            tracing::warn!(shard = shard_id, job, numbers = ?repeated.ranges(), "tasks completed again");
        }
    }

    /// Logs the age and lateness of the jobs that a scheduling cycle ends.
    pub(super) fn log_ends(&self, cycle: &Cycle, now: Millis) {
        let wall = now + self.wall_offset;
        for job in cycle.ends() {
            if let Some(open) = self.mirror.open.get(job) {
                let age_s = (wall - open.ready_at() as f64) / 1000.0;
                let late_s = (wall - open.due_ms()) / 1000.0;
                let tasks = open.spec.task_count;
                tracing::debug!(job, age_s, late_s, tasks, "job completed");
            }
        }
    }
}
