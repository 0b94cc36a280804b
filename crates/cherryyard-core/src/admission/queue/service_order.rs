//! The order of service over all flows: their queues merged.

use super::flow_queue::FlowQueue;
use super::place::Place;
use crate::admission::flows::Flow;
use std::collections::btree_set;
use std::iter::Take;

/// Jobs of a flow that are looked at once enough of it has found no room, others each time.
pub const OTHERS: usize = 16;

/// What is still to come of a flow.
#[derive(Debug)]
enum Rest<'a> {
    Whole(btree_set::Iter<'a, Place>),
    /// What comes after a job that was put back.
    After(btree_set::Range<'a, Place>),
    /// A few others, once enough has found no room.
    Others(Take<btree_set::Range<'a, Place>>),
    Closed,
}

impl<'a> Rest<'a> {
    fn next(&mut self) -> Option<&'a Place> {
        match self {
            Self::Whole(places) => places.next(),
            Self::After(places) => places.next(),
            Self::Others(places) => places.next(),
            Self::Closed => None,
        }
    }

    /// Whether enough of the flow has found no room.
    fn is_closed(&self) -> bool {
        match self {
            Self::Whole(_) | Self::After(_) => false,
            Self::Others(_) | Self::Closed => true,
        }
    }
}

/// A flow's part of the order.
#[derive(Debug)]
struct Run<'a> {
    next: Option<&'a Place>,
    rest: Rest<'a>,
    /// Whether the flow goes ahead of those that do not, whatever its rank.
    is_ahead: bool,
}

/// What waits, in the order of service: the flows' queues merged.
#[derive(Debug)]
pub struct ServiceOrder<'a> {
    queues: &'a [FlowQueue],
    runs: Vec<Run<'a>>,
}

impl<'a> ServiceOrder<'a> {
    pub(super) fn new(queues: &'a [FlowQueue]) -> Self {
        let run = |queue: &'a FlowQueue| {
            let mut rest = Rest::Whole(queue.places.iter());
            Run {
                next: rest.next(),
                rest,
                is_ahead: false,
            }
        };
        Self {
            queues,
            runs: queues.iter().map(run).collect(),
        }
    }

    /// From here on a flow goes ahead of those that do not, whatever its rank; or not
    /// any more.
    pub fn ahead(&mut self, flow: Flow, ahead: bool) {
        if let Some(run) = self.runs.get_mut(flow as usize) {
            run.is_ahead = ahead;
        }
    }

    /// The next job and its flow.
    pub fn step(&mut self) -> Option<(Flow, Place)> {
        let runs = self.runs.iter().enumerate();
        let waiting = runs.filter_map(|(flow, run)| Some((!run.is_ahead, run.next?, flow)));
        let (_, &place, flow) = waiting.min()?;
        let run = &mut self.runs[flow];
        run.next = run.rest.next();
        Some((flow as Flow, place))
    }

    /// Puts back a flow's job that was taken last: it comes later.
    pub fn back(&mut self, flow: Flow, place: Place) {
        let index = flow as usize;
        if let Some(queue) = self.queues.get(index)
            && let Some(known) = queue.places.get(&place)
            && !self.runs[index].rest.is_closed()
        {
            let mut rest = queue.places.range(known..);
            rest.next();
            let run = &mut self.runs[index];
            run.next = Some(known);
            run.rest = Rest::After(rest);
        }
    }

    /// Enough of a flow has found no room: of its rest only a few others are looked
    /// at, and the second time none. Says whether this was the second.
    pub fn close(&mut self, flow: Flow) -> bool {
        let index = flow as usize;
        let Some(run) = self.runs.get_mut(index) else {
            return true;
        };
        if run.rest.is_closed() {
            (run.next, run.rest) = (None, Rest::Closed);
            return true;
        }
        let queue = &self.queues[index];
        // Go on after those of the last time, if these still lie behind the window.
        let from = match (queue.cursor, run.next) {
            (Some(cursor), Some(next)) if cursor > *next => Some(cursor),
            (_, next) => next.copied(),
        };
        run.rest = match from {
            Some(from) => Rest::Others(queue.places.range(from..).take(OTHERS)),
            None => Rest::Closed,
        };
        run.next = run.rest.next();
        false
    }
}
