//! Maintenance of a shard's queues: a job is requeued when anything that decides its place changes.

use crate::Millis;
use crate::admission::queue::Place;
use crate::controller::Controller;
use crate::mirror::OpenJob;
use cherryyard_wire::job::Shape;

/// Time before its deadline by which a job must start to meet it, in milliseconds per second of the
/// expected run time of its tasks.
const START_MS_PER_EXPECTED_S: f64 = 800.0;

/// Earliest multiple of its deadline that a job can still meet.
struct DeadlineClass {
    /// Index among the objectives' multiples, or their number if the job can meet none.
    multiple: usize,
    /// Latest start for that multiple, in milliseconds of the wall clock.
    until: f64,
}

impl Controller {
    /// Returns the earliest multiple of the deadline that the job meets if its waiting tasks start
    /// now, and until when this is so on the wall clock. Jobs that can only meet a later multiple
    /// come after all that can still meet an earlier one, so that a job that is late anyway delays
    /// no other.
    fn deadline_class(&self, open: &OpenJob, wall: f64) -> DeadlineClass {
        let Some(deadline) = open.urgency.deadline else {
            return DeadlineClass {
                multiple: 0,
                until: f64::INFINITY,
            };
        };
        let class = self.mirror.flows.class(deadline.flow);
        let multiples = self.config.deadline_times.get(class);
        let multiples = multiples.map_or(&[1.0][..], Vec::as_slice);
        let last_start = |multiple: &f64| {
            deadline.complete_by(*multiple) - open.spec.expected_s * START_MS_PER_EXPECTED_S
        };
        let in_time = multiples.iter().position(|m| wall <= last_start(m));
        let multiple = in_time.unwrap_or(multiples.len());
        DeadlineClass {
            multiple,
            until: multiples.get(multiple).map_or(f64::INFINITY, last_start),
        }
    }

    /// Updates a job's place in a shard's queues, or removes the job if it does not wait there.
    pub(super) fn requeue(&mut self, shard_id: usize, job: u64, now: Millis) {
        let is_waiting = self.mirror.tasks.waiting[shard_id].contains_key(&job);
        let Some(open) = self.mirror.open.get(&job).filter(|_| is_waiting) else {
            self.shards[shard_id].queues.remove(job);
            return;
        };
        let left = open.spec.task_count.saturating_sub(self.mirror.done(job));
        let class = self.deadline_class(open, now + self.wall_offset);
        let place = Place {
            rank: open.rank(),
            is_array: open.spec.shape == Shape::Array,
            deadline_multiple: class.multiple,
            work: f64::from(left) * open.spec.expected_s * open.spec.cores,
            due: open.due_ms(),
            ready_at: open.ready_at(),
            job,
        };
        let queues = &mut self.shards[shard_id].queues;
        if open.urgency.deadline.is_some() && class.until.is_infinite() {
            queues.add_late_job(open.flow, open.ready_at(), job);
        }
        queues.set(open.flow, place, class.until, now);
    }

    /// Requeues the waiting jobs of owned shards that have changed.
    pub(crate) fn requeue_changed(&mut self, now: Millis) {
        for (shard_id, job) in self.mirror.take_waiting_changes() {
            if self.shards[shard_id].lease.held_token().is_some() {
                self.requeue(shard_id, job, now);
            }
        }
    }

    /// Queues all waiting jobs of a shard that this controller has just acquired.
    pub(crate) fn queue_all(&mut self, shard_id: usize, now: Millis) {
        self.shards[shard_id].queues.clear();
        let jobs: Vec<u64> = self.mirror.tasks.waiting[shard_id]
            .keys()
            .copied()
            .collect();
        for job in jobs {
            self.requeue(shard_id, job, now);
        }
    }

    /// Requeues jobs whose place changes with time alone.
    pub(super) fn requeue_changed_by_time(&mut self, shard_id: usize, now: Millis) {
        for job in self.shards[shard_id]
            .queues
            .jobs_with_expired_places(now + self.wall_offset)
        {
            self.requeue(shard_id, job, now);
        }
    }

    /// Requeues the late jobs that are due by their share: a share of the cores that a flow starts
    /// is credited to its late jobs, and the oldest one is due once the credit covers its cores.
    pub(super) fn requeue_late_share(&mut self, shard_id: usize, now: Millis) {
        let mirror = &self.mirror;
        let waiting_cores = |job| {
            let tasks = mirror.waiting(shard_id, job).map_or(0, |set| set.len());
            let cores = mirror.open.get(&job).map_or(0.0, |open| open.spec.cores);
            cores * f64::from(tasks)
        };
        let queues = &mut self.shards[shard_id].queues;
        for job in queues.take_due_late_jobs(waiting_cores) {
            self.requeue(shard_id, job, now);
        }
    }
}
