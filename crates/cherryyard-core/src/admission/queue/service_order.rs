//! Order of service over all flows: their sorted queues merged into one sequence.

use super::flow_queue::FlowQueue;
use super::place::Place;
use crate::admission::flows::Flow;
use std::collections::btree_set;
use std::iter::Take;

/// Largest number of jobs of a flow that a scheduling cycle inspects after the flow was closed
/// because its first jobs did not fit. Successive cycles inspect different ones.
pub const MAX_ROTATED_JOBS: usize = 16;

/// Jobs of a flow that are still to come in the order.
#[derive(Debug)]
enum RemainingJobs<'a> {
    /// All jobs of the queue.
    All(btree_set::Iter<'a, Place>),
    /// Jobs behind one that was put back.
    After(btree_set::Range<'a, Place>),
    /// A few jobs behind those that did not fit.
    Rotated(Take<btree_set::Range<'a, Place>>),
    /// No more jobs.
    Closed,
}

impl<'a> RemainingJobs<'a> {
    fn next(&mut self) -> Option<&'a Place> {
        match self {
            Self::All(places) => places.next(),
            Self::After(places) => places.next(),
            Self::Rotated(places) => places.next(),
            Self::Closed => None,
        }
    }

    /// Returns whether the flow was closed because its first jobs did not fit.
    fn is_closed(&self) -> bool {
        match self {
            Self::All(_) | Self::After(_) => false,
            Self::Rotated(_) | Self::Closed => true,
        }
    }
}

/// Position in the queue of one flow.
#[derive(Debug)]
struct FlowPosition<'a> {
    next: Option<&'a Place>,
    remaining: RemainingJobs<'a>,
    /// Whether the flow is served ahead of rank: before all flows that are not.
    is_ahead: bool,
}

/// Waiting jobs of all flows, merged in the order of service.
#[derive(Debug)]
pub struct ServiceOrder<'a> {
    queues: &'a [FlowQueue],
    flows: Vec<FlowPosition<'a>>,
}

impl<'a> ServiceOrder<'a> {
    pub(super) fn new(queues: &'a [FlowQueue]) -> Self {
        let position = |queue: &'a FlowQueue| {
            let mut remaining = RemainingJobs::All(queue.places.iter());
            FlowPosition {
                next: remaining.next(),
                remaining,
                is_ahead: false,
            }
        };
        Self {
            queues,
            flows: queues.iter().map(position).collect(),
        }
    }

    /// Sets whether a flow is from now on served ahead of rank: before all flows that are not.
    pub fn set_ahead(&mut self, flow: Flow, ahead: bool) {
        if let Some(position) = self.flows.get_mut(flow as usize) {
            position.is_ahead = ahead;
        }
    }

    /// Returns the next job and its flow.
    pub fn next_job(&mut self) -> Option<(Flow, Place)> {
        let flows = self.flows.iter().enumerate();
        let waiting =
            flows.filter_map(|(flow, position)| Some((!position.is_ahead, position.next?, flow)));
        let (_, &place, flow) = waiting.min()?;
        let position = &mut self.flows[flow];
        position.next = position.remaining.next();
        Some((flow as Flow, place))
    }

    /// Puts back the job of a flow that was returned last, so that [`Self::next_job`] returns it again
    /// when its place in the order is reached. Does nothing if the flow is closed.
    pub fn put_back(&mut self, flow: Flow, place: Place) {
        let index = flow as usize;
        if let Some(queue) = self.queues.get(index)
            && let Some(known) = queue.places.get(&place)
            && !self.flows[index].remaining.is_closed()
        {
            let mut remaining = queue.places.range(known..);
            remaining.next();
            let position = &mut self.flows[index];
            position.next = Some(known);
            position.remaining = RemainingJobs::After(remaining);
        }
    }

    /// Closes a flow of which enough jobs did not fit: at most [`MAX_ROTATED_JOBS`] more of its
    /// jobs follow. A second call ends the flow. Returns whether this was the second call or there
    /// is no such flow.
    pub fn close_flow(&mut self, flow: Flow) -> bool {
        let index = flow as usize;
        let Some(position) = self.flows.get_mut(index) else {
            return true;
        };
        if position.remaining.is_closed() {
            (position.next, position.remaining) = (None, RemainingJobs::Closed);
            return true;
        }
        let queue = &self.queues[index];
        // Continue after the jobs inspected last, if they are behind the jobs of this cycle.
        let start = match (queue.cursor, position.next) {
            (Some(cursor), Some(next)) if cursor > *next => Some(cursor),
            (_, next) => next.copied(),
        };
        position.remaining = match start {
            Some(start) => {
                RemainingJobs::Rotated(queue.places.range(start..).take(MAX_ROTATED_JOBS))
            }
            None => RemainingJobs::Closed,
        };
        position.next = position.remaining.next();
        false
    }
}
