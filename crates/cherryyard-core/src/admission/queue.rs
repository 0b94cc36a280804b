//! What waits in a shard: a queue for each flow, in order, changed by what changed.
//!
//! The order over all is that of the jobs' places ([`Place`]); a scheduling cycle takes from
//! it ([`ServiceOrder`]) until nothing more finds room. Of a flow that finds none, a bounded
//! number of jobs is looked at, and of the rest a few others each time: so a scheduling
//! cycle's cost doesn't grow with what waits. Two rules keep jobs from starving: part of
//! what a flow starts is due to its late jobs ([`late_jobs`]), and its oldest job that has
//! not begun goes first once it is old enough ([`oldest_job`]).

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
pub use service_order::{OTHERS, ServiceOrder};
use std::collections::{BTreeSet, HashMap};

/// Jobs of a flow that may find no room before the rest of it is passed over.
pub const WINDOW: u32 = 48;

/// Jobs that [`Queues::turned`] names at a time.
const MOST_TURNED: usize = 256;
/// For a job whose place doesn't change by itself.
const NEVER: u64 = u64::MAX;

/// A job that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    flow: Flow,
    place: Place,
    /// When its place changes by itself, in milliseconds of the day's clock.
    changes_at: u64,
    since: Millis,
}

/// A shard's queues.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    flows: Vec<FlowQueue>,
    jobs: HashMap<u64, Waiting>,
    /// When places change by themselves, and whose.
    changes: BTreeSet<(u64, u64)>,
    /// Services that no scheduling cycle has looked at yet.
    unseen: BTreeSet<u64>,
}

impl Queues {
    fn flow_mut(&mut self, flow: Flow) -> &mut FlowQueue {
        let index = flow as usize;
        if self.flows.len() <= index {
            self.flows.resize_with(index + 1, FlowQueue::default);
        }
        &mut self.flows[index]
    }

    /// Puts a job in its place, or moves it there; `changes_at` is when that place changes
    /// by itself. A late one is to be noted as such first.
    pub fn set(&mut self, flow: Flow, mut place: Place, changes_at: f64, now: Millis) {
        let changes_at = if changes_at.is_finite() {
            changes_at.max(0.0) as u64
        } else {
            NEVER
        };
        let before = self.take(place.job);
        if before.is_none() && !place.is_array {
            self.unseen.insert(place.job);
        }
        let queue = self.flow_mut(flow);
        if queue.late.is_due(place.job) || queue.oldest.goes_first(place.job) {
            (place.hope, place.work) = (0, 0.0);
        }
        if before.is_none() {
            queue.oldest.insert((place.at, place.job));
        }
        queue.places.insert(place);
        if changes_at != NEVER {
            self.changes.insert((changes_at, place.job));
        }
        let waiting = Waiting {
            flow,
            place,
            changes_at,
            since: before.map_or(now, |before| before.since),
        };
        self.jobs.insert(place.job, waiting);
    }

    fn take(&mut self, job: u64) -> Option<Waiting> {
        let waiting = self.jobs.remove(&job)?;
        self.flows[waiting.flow as usize]
            .places
            .remove(&waiting.place);
        self.changes.remove(&(waiting.changes_at, job));
        Some(waiting)
    }

    /// A job waits no longer.
    pub fn remove(&mut self, job: u64) {
        if let Some(waiting) = self.take(job) {
            let queue = &mut self.flows[waiting.flow as usize];
            let by_age = (waiting.place.at, job);
            queue.late.remove(by_age);
            queue.oldest.remove(by_age);
        }
        self.unseen.remove(&job);
    }

    /// A job of a flow, submitted then, cannot make its deadline any more.
    pub fn is_late(&mut self, flow: Flow, at: u64, job: u64) {
        self.flow_mut(flow).late.insert((at, job));
    }

    /// So many cores of a flow have been started: a part of that is due to its late
    /// jobs.
    pub fn started(&mut self, flow: Flow, cores: f64) {
        if let Some(queue) = self.flows.get_mut(flow as usize) {
            queue.late.started(cores);
        }
    }

    /// Late jobs that have become due, given what each takes here: they are to be set
    /// anew.
    pub fn late_share_due(&mut self, cores: impl Fn(u64) -> f64) -> Vec<u64> {
        let mut due = Vec::new();
        for queue in &mut self.flows {
            queue.late.take_due(&cores, &mut due);
        }
        due
    }

    /// The job of a flow that goes first as the oldest that has not begun.
    pub fn turn(&self, flow: Flow) -> Option<u64> {
        self.flows.get(flow as usize)?.oldest.first()
    }

    /// Lets each flow's oldest job that has not `begun` go first, if it is `old` enough;
    /// says which jobs are to be set anew.
    pub fn reserve_for_oldest(
        &mut self,
        old: impl Fn(u64) -> bool,
        begun: impl Fn(u64) -> bool,
    ) -> Vec<u64> {
        let mut changed = Vec::new();
        for queue in &mut self.flows {
            queue.oldest.update(&old, &begun, &mut changed);
        }
        changed
    }

    /// Nothing waits.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Jobs whose places have changed by themselves, a few at a time.
    pub fn turned(&self, wall: f64) -> Vec<u64> {
        let wall = wall.max(0.0) as u64;
        let due = self.changes.range(..(wall, 0)).take(MOST_TURNED);
        due.map(|&(_, job)| job).collect()
    }

    /// Since when a job waits here.
    pub fn since(&self, job: u64) -> Option<Millis> {
        self.jobs.get(&job).map(|waiting| waiting.since)
    }

    /// Whether a service waits that no scheduling cycle has looked at.
    pub fn any_unseen(&self) -> bool {
        !self.unseen.is_empty()
    }

    /// A scheduling cycle has looked at what waits.
    pub fn mark_seen(&mut self) {
        self.unseen.clear();
    }

    /// How many jobs wait.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The jobs in the order of service.
    pub fn service_order(&self) -> ServiceOrder<'_> {
        ServiceOrder::new(&self.flows)
    }

    /// Notes how many of a flow's others have been looked at, and the last of them;
    /// after the end of the queue it begins anew.
    pub fn inspected_at(&mut self, flow: Flow, others: usize, last: Option<Place>) {
        if let Some(queue) = self.flows.get_mut(flow as usize) {
            queue.cursor = last.filter(|_| others >= OTHERS);
        }
    }
}

#[cfg(test)]
mod tests;
