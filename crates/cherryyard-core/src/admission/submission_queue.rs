//! Submissions that wait to be written: a bounded queue for each flow, served by weighted
//! fair queueing.

use super::fair_queue::FairQueue;
use super::flows::Flow;
use super::submission::Waiting;
use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// The flows' queues.
#[derive(Debug)]
pub(super) struct SubmissionQueue {
    /// None of them is empty.
    queues: BTreeMap<Flow, VecDeque<Waiting>>,
    len: usize,
    service_order: FairQueue,
    /// The most that may wait.
    capacity: usize,
}

impl SubmissionQueue {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            queues: BTreeMap::new(),
            len: 0,
            service_order: FairQueue::default(),
            capacity,
        }
    }

    /// How many wait.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(super) fn is_full(&self) -> bool {
        self.len >= self.capacity
    }

    /// How many flows have something waiting.
    pub(super) fn flow_count(&self) -> usize {
        self.queues.len()
    }

    /// How long the submission that has waited longest has done so.
    pub(super) fn longest_wait_ms(&self, now: Millis) -> f64 {
        let oldest = self.queues.values().filter_map(|queue| queue.front());
        oldest
            .map(|waiting| now - waiting.since)
            .fold(0.0, f64::max)
    }

    pub(super) fn push(&mut self, waiting: Waiting) {
        let flow = waiting.offer.open.flow;
        let queue = self.queues.entry(flow).or_default();
        if queue.is_empty() {
            self.service_order.join(flow);
        }
        queue.push_back(waiting);
        self.len += 1;
    }

    /// Puts back a submission that was taken: it is its flow's next.
    pub(super) fn put_back(&mut self, waiting: Waiting) {
        let flow = waiting.offer.open.flow;
        self.queues.entry(flow).or_default().push_front(waiting);
        self.len += 1;
    }

    /// Evicts the newest of the longest queue, if that is longer than a newcomer's own.
    pub(super) fn evict_for(&mut self, flow: Flow) -> Option<Waiting> {
        let own = self.queues.get(&flow).map_or(0, VecDeque::len);
        let longest = self.queues.values_mut().max_by_key(|queue| queue.len())?;
        if longest.len() <= own + 1 {
            return None;
        }
        self.len -= 1;
        longest.pop_back()
    }

    /// Takes the next submission in the service order, given the flows' weights.
    pub(super) fn pop(&mut self, weights: &[f64]) -> Option<Waiting> {
        let flow = self.service_order.next(self.queues.keys().copied())?;
        let queue = self.queues.get_mut(&flow)?;
        let next = queue.pop_front();
        if queue.is_empty() {
            self.queues.remove(&flow);
        }
        self.len -= usize::from(next.is_some());
        let weight = weights.get(flow as usize).copied().unwrap_or(1.0);
        self.service_order.serve(flow, 1.0, weight);
        next
    }

    /// Takes the oldest submissions of each flow as long as they are expired.
    pub(super) fn take_expired(&mut self, is_expired: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            while queue.front().is_some_and(&is_expired) {
                expired.extend(queue.pop_front());
            }
        }
        if !expired.is_empty() {
            self.queues.retain(|_, queue| !queue.is_empty());
            self.len -= expired.len();
        }
        expired
    }
}
