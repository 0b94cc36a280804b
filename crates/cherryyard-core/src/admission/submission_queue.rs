//! Queues of the submissions that wait to be written: one for each flow with a common bound, served
//! by weighted fair queueing.

use super::fair_queue::FairQueue;
use super::flows::Flow;
use super::submission::WaitingSubmission;
use crate::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Queues of submissions, one for each flow.
#[derive(Debug)]
pub(super) struct SubmissionQueue {
    /// Non-empty queues by flow, the oldest submission first.
    queues: BTreeMap<Flow, VecDeque<WaitingSubmission>>,
    len: usize,
    fair_queue: FairQueue,
    /// Largest number of submissions in all queues.
    capacity: usize,
}

impl SubmissionQueue {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            queues: BTreeMap::new(),
            len: 0,
            fair_queue: FairQueue::default(),
            capacity,
        }
    }

    /// Returns the number of submissions in all queues.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(super) fn is_full(&self) -> bool {
        self.len >= self.capacity
    }

    /// Returns the number of flows with waiting submissions.
    pub(super) fn flow_count(&self) -> usize {
        self.queues.len()
    }

    /// Returns for how many milliseconds the oldest submission has waited.
    pub(super) fn longest_wait_ms(&self, now: Millis) -> f64 {
        let oldest = self.queues.values().filter_map(|queue| queue.front());
        oldest
            .map(|waiting| now - waiting.queued_at)
            .fold(0.0, f64::max)
    }

    pub(super) fn push(&mut self, waiting: WaitingSubmission) {
        let flow = waiting.submission.open.flow;
        let queue = self.queues.entry(flow).or_default();
        if queue.is_empty() {
            self.fair_queue.join(flow);
        }
        queue.push_back(waiting);
        self.len += 1;
    }

    /// Inserts a submission that was taken from its flow's queue again at the front.
    pub(super) fn put_back(&mut self, waiting: WaitingSubmission) {
        let flow = waiting.submission.open.flow;
        self.queues.entry(flow).or_default().push_front(waiting);
        self.len += 1;
    }

    /// Evicts the newest submission of the longest queue in favor of a new one of `flow`, if that
    /// queue is longer than the queue of `flow` with the new submission.
    pub(super) fn evict_for(&mut self, flow: Flow) -> Option<WaitingSubmission> {
        let own = self.queues.get(&flow).map_or(0, VecDeque::len);
        let longest = self.queues.values_mut().max_by_key(|queue| queue.len())?;
        if longest.len() <= own + 1 {
            return None;
        }
        self.len -= 1;
        longest.pop_back()
    }

    /// Takes the next submission in the order of weighted fair queueing, given the weights by flow.
    pub(super) fn pop(&mut self, weights: &[f64]) -> Option<WaitingSubmission> {
        let flow = self.fair_queue.next(self.queues.keys().copied())?;
        let queue = self.queues.get_mut(&flow)?;
        let next = queue.pop_front();
        if queue.is_empty() {
            self.queues.remove(&flow);
        }
        self.len -= usize::from(next.is_some());
        let weight = weights.get(flow as usize).copied().unwrap_or(1.0);
        self.fair_queue.serve(flow, 1.0, weight);
        next
    }

    /// Takes the expired submissions, which are the oldest of each flow.
    pub(super) fn take_expired(
        &mut self,
        is_expired: impl Fn(&WaitingSubmission) -> bool,
    ) -> Vec<WaitingSubmission> {
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
