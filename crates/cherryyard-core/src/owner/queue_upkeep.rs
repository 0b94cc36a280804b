//! Upkeep of a shard's queues: jobs are put in their places as what they go by changes.

use crate::Millis;
use crate::admission::queue::Place;
use crate::controller::Controller;
use crate::mirror::OpenJob;
use cherryyard_wire::job::Shape;

/// How long before its deadline a job has to start to make it, in milliseconds for each second
/// that its tasks are expected to take.
const START_MS_PER_EXPECTED_S: f64 = 800.0;

/// Which of its deadline's multiples a job can still make.
struct DeadlineClass {
    /// Its index among the objectives' multiples; their number if it can make none.
    multiple: usize,
    /// Until when it can, in milliseconds of the day's clock.
    until: f64,
}

impl Controller {
    /// Which of the deadline's multiples the job can still make if its waiting
    /// tasks start now, and when that is over, by the day's clock; the later ones only
    /// come after all that can still make an earlier one, so that a job that is late
    /// anyway delays no other.
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

    /// Puts a job in its place among what waits in a shard, or takes it out.
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
            hope: class.multiple,
            work: f64::from(left) * open.spec.expected_s * open.spec.cores,
            due: open.due_ms(),
            at: open.ready_at(),
            job,
        };
        let queues = &mut self.shards[shard_id].queues;
        if open.urgency.deadline.is_some() && class.until.is_infinite() {
            queues.is_late(open.flow, open.ready_at(), job);
        }
        queues.set(open.flow, place, class.until, now);
    }

    /// Takes over what has changed of what waits in our shards.
    pub(crate) fn requeue_changed(&mut self, now: Millis) {
        for (shard_id, job) in self.mirror.take_waiting_changes() {
            if self.shards[shard_id].lease.held_token().is_some() {
                self.requeue(shard_id, job, now);
            }
        }
    }

    /// Queues all that waits in a shard that has just become ours.
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

    /// Requeues jobs whose places change by time alone.
    pub(super) fn requeue_turned(&mut self, shard_id: usize, now: Millis) {
        for job in self.shards[shard_id].queues.turned(now + self.wall_offset) {
            self.requeue(shard_id, job, now);
        }
    }

    /// Requeues late jobs that have come to their share of what their flows start.
    pub(super) fn requeue_late_share(&mut self, shard_id: usize, now: Millis) {
        let mirror = &self.mirror;
        let waiting_cores = |job| {
            let tasks = mirror.waiting(shard_id, job).map_or(0, |set| set.len());
            let cores = mirror.open.get(&job).map_or(0.0, |open| open.spec.cores);
            cores * f64::from(tasks)
        };
        let queues = &mut self.shards[shard_id].queues;
        for job in queues.late_share_due(waiting_cores) {
            self.requeue(shard_id, job, now);
        }
    }
}
