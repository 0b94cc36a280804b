//! What waits in a shard: a queue for each flow, in order, changed by what changed.
//!
//! The order over all is that of the places; a scheduling cycle takes from it until nothing more
//! finds room. Of a flow that finds none, a bounded number of jobs is looked at, and
//! of the rest a few others each time: so a scheduling cycle's cost doesn't grow with what waits.

use super::flows::Flow;
use crate::Millis;
use cherryyard_wire::job::Rank;
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeSet, HashMap, btree_set};

/// Jobs of a flow that may find no room before the rest of it is passed over.
pub const WINDOW: u32 = 48;
/// Jobs behind them that are looked at instead, others each time.
pub const OTHERS: usize = 16;

/// Part of what a flow starts that is kept for its jobs that are late anyway.
pub const LATE_SHARE: f64 = 0.1;

/// A job's place in the order of service.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// By rank, the most important first.
    pub rank: Rank,
    /// Services before arrays.
    pub is_array: bool,
    /// Which of its deadline's multiples it can still make.
    pub hope: usize,
    /// What is left of it, in core-seconds.
    pub work: f64,
    /// When it is due, in milliseconds of the day's clock.
    pub due: f64,
    /// When it was submitted.
    pub at: u64,
    /// Its number.
    pub job: u64,
}

impl Ord for Place {
    fn cmp(&self, other: &Self) -> Ordering {
        let key = |place: &Self| (Reverse(place.rank), place.is_array, place.hope);
        key(self)
            .cmp(&key(other))
            .then(self.work.total_cmp(&other.work))
            .then(self.due.total_cmp(&other.due))
            .then(self.at.cmp(&other.at))
            .then(self.job.cmp(&other.job))
    }
}

impl PartialOrd for Place {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Place {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Place {}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    flow: Flow,
    place: Place,
    /// When its place changes by itself, in milliseconds of the day's clock.
    turns: u64,
    since: Millis,
}

/// A shard's queues.
#[derive(Clone, Debug, Default)]
pub struct Queues {
    flows: Vec<BTreeSet<Place>>,
    jobs: HashMap<u64, Waiting>,
    turns: BTreeSet<(u64, u64)>,
    /// Services that no round has looked at yet.
    unseen: BTreeSet<u64>,
    /// Where each flow's look at others goes on.
    cursors: Vec<Option<Place>>,
    late: Vec<Late>,
    /// What waits, by age, as far as it may not have begun, and whose turn it is for
    /// that, by flow.
    ages: Vec<BTreeSet<(u64, u64)>>,
    oldest: Vec<Option<u64>>,
}

/// A flow's jobs that cannot make any multiple of their deadlines. They come after all
/// that can, so while those keep coming they would wait for ever: the oldest one goes
/// before them whenever enough has been started of the flow to pay for it.
#[derive(Clone, Debug, Default)]
struct Late {
    /// By age.
    jobs: BTreeSet<(u64, u64)>,
    /// Whose turn has come: they keep it until they are done here.
    turn: BTreeSet<u64>,
    /// Cores that are due to them.
    owed: f64,
}

impl Queues {
    /// Puts a job in its place, or moves it there; `turns` is when that place changes
    /// by itself. A late one is to be noted as such first.
    pub fn set(&mut self, flow: Flow, mut place: Place, turns: f64, now: Millis) {
        if let Some(late) = self.late.get(flow as usize)
            && late.turn.contains(&place.job)
        {
            (place.hope, place.work) = (0, 0.0);
        }
        if self.turn(flow) == Some(place.job) {
            (place.hope, place.work) = (0, 0.0);
        }
        let turns = if turns.is_finite() {
            turns.max(0.0) as u64
        } else {
            u64::MAX
        };
        let before = self.take(place.job);
        let came = before.is_none();
        let since = match before {
            Some(before) => before.since,
            None => {
                if !place.is_array {
                    self.unseen.insert(place.job);
                }
                now
            }
        };
        let at = flow as usize;
        if self.flows.len() <= at {
            self.flows.resize_with(at + 1, BTreeSet::new);
            self.cursors.resize(at + 1, None);
            self.ages.resize_with(at + 1, BTreeSet::new);
            self.oldest.resize(at + 1, None);
        }
        if came {
            self.ages[at].insert((place.at, place.job));
        }
        self.flows[at].insert(place);
        if turns != u64::MAX {
            self.turns.insert((turns, place.job));
        }
        let waiting = Waiting {
            flow,
            place,
            turns,
            since,
        };
        self.jobs.insert(place.job, waiting);
    }

    fn take(&mut self, job: u64) -> Option<Waiting> {
        let w = self.jobs.remove(&job)?;
        self.flows[w.flow as usize].remove(&w.place);
        self.turns.remove(&(w.turns, job));
        Some(w)
    }

    /// A job waits no longer.
    pub fn remove(&mut self, job: u64) {
        if let Some(w) = self.take(job) {
            let f = w.flow as usize;
            if let Some(late) = self.late.get_mut(f) {
                late.jobs.remove(&(w.place.at, job));
                late.turn.remove(&job);
            }
            self.ages[f].remove(&(w.place.at, job));
            self.oldest[f].take_if(|oldest| *oldest == job);
        }
        self.unseen.remove(&job);
    }

    /// A job of a flow, submitted then, cannot make its deadline any more.
    pub fn is_late(&mut self, flow: Flow, at: u64, job: u64) {
        let f = flow as usize;
        if self.late.len() <= f {
            self.late.resize_with(f + 1, Late::default);
        }
        if !self.late[f].turn.contains(&job) {
            self.late[f].jobs.insert((at, job));
        }
    }

    /// So many cores of a flow have been started: a part of that is due to its late
    /// jobs.
    pub fn started(&mut self, flow: Flow, cores: f64) {
        if let Some(late) = self.late.get_mut(flow as usize)
            && !late.jobs.is_empty()
        {
            late.owed += cores * LATE_SHARE;
        }
    }

    /// Late jobs whose turn has come, given what each takes here: they are to be set
    /// anew.
    pub fn late_share_due(&mut self, cores: impl Fn(u64) -> f64) -> Vec<u64> {
        let mut all = Vec::new();
        for late in &mut self.late {
            while let Some(&(at, job)) = late.jobs.first() {
                let cost = cores(job);
                if late.owed + 1e-6 < cost {
                    // What is saved up is worth one job.
                    late.owed = late.owed.min(cost);
                    break;
                }
                late.owed -= cost;
                late.jobs.remove(&(at, job));
                late.turn.insert(job);
                all.push(job);
            }
        }
        all
    }

    /// Whose turn it is of a flow's jobs that have not begun.
    pub fn turn(&self, flow: Flow) -> Option<u64> {
        self.oldest.get(flow as usize).copied().flatten()
    }

    /// Gives each flow's turn to its oldest job, if it is old enough, that has not
    /// `begun`; says which jobs are to be set anew.
    pub fn reserve_for_oldest(
        &mut self,
        old: impl Fn(u64) -> bool,
        begun: impl Fn(u64) -> bool,
    ) -> Vec<u64> {
        let mut changed = Vec::new();
        for (ages, turn) in self.ages.iter_mut().zip(&mut self.oldest) {
            let mut next = None;
            while let Some(&(at, job)) = ages.first() {
                if !old(at) {
                    break;
                }
                if !begun(job) {
                    next = Some(job);
                    break;
                }
                ages.remove(&(at, job));
            }
            if next != *turn {
                changed.extend(turn.take().into_iter().chain(next));
                *turn = next;
            }
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
        let due = self.turns.range(..(wall, 0)).take(256);
        due.map(|t| t.1).collect()
    }

    /// Since when a job waits here.
    pub fn since(&self, job: u64) -> Option<Millis> {
        self.jobs.get(&job).map(|w| w.since)
    }

    /// Whether a service waits that no round has looked at.
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
        let runs = self.flows.iter().map(|set| Run::Whole(set.iter()));
        let mut service_order = ServiceOrder {
            queues: self,
            heads: Vec::new(),
            runs: runs.collect(),
            first: vec![false; self.flows.len()],
        };
        service_order.heads = (0..service_order.runs.len())
            .map(|f| service_order.runs[f].next())
            .collect();
        service_order
    }

    /// Notes how many of a flow's others have been looked at, and the last of them;
    /// after the end of the queue it begins anew.
    pub fn inspected_at(&mut self, flow: Flow, others: usize, last: Option<Place>) {
        if let Some(cursor) = self.cursors.get_mut(flow as usize) {
            *cursor = last.filter(|_| others >= OTHERS);
        }
    }
}

#[derive(Debug)]
enum Run<'a> {
    Whole(btree_set::Iter<'a, Place>),
    Rest(btree_set::Range<'a, Place>),
    Others(std::iter::Take<btree_set::Range<'a, Place>>),
    Closed,
}

impl<'a> Run<'a> {
    fn next(&mut self) -> Option<&'a Place> {
        match self {
            Self::Whole(i) => i.next(),
            Self::Rest(i) => i.next(),
            Self::Others(i) => i.next(),
            Self::Closed => None,
        }
    }
}

/// What waits, as one service_order: the flows' queues merged.
#[derive(Debug)]
pub struct ServiceOrder<'a> {
    queues: &'a Queues,
    heads: Vec<Option<&'a Place>>,
    runs: Vec<Run<'a>>,
    /// Flows that go ahead of all others.
    first: Vec<bool>,
}

impl ServiceOrder<'_> {
    /// From here on a flow goes ahead of those that do not, whatever its rank; or not
    /// any more.
    pub fn ahead(&mut self, flow: Flow, ahead: bool) {
        if let Some(first) = self.first.get_mut(flow as usize) {
            *first = ahead;
        }
    }

    /// The next job and its flow.
    pub fn step(&mut self) -> Option<(Flow, Place)> {
        let heads = self.heads.iter().enumerate();
        let waiting = heads.filter_map(|(f, head)| Some((!self.first[f], (*head)?, f)));
        let (_, &place, f) = waiting.min()?;
        self.heads[f] = self.runs[f].next();
        Some((f as Flow, place))
    }

    /// Puts back a flow's job that was taken last: its turn comes later.
    pub fn back(&mut self, flow: Flow, place: Place) {
        let f = flow as usize;
        if let Some(set) = self.queues.flows.get(f)
            && let Some(known) = set.get(&place)
            && matches!(self.runs[f], Run::Whole(_) | Run::Rest(_))
        {
            self.heads[f] = Some(known);
            let mut rest = set.range(known..);
            rest.next();
            self.runs[f] = Run::Rest(rest);
        }
    }

    /// Enough of a flow has found no room: of its rest only a few others are looked
    /// at, and the second time none. Says whether this was the second.
    pub fn close(&mut self, flow: Flow) -> bool {
        let f = flow as usize;
        let Some(head) = self.heads.get(f).copied() else {
            return true;
        };
        if !matches!(self.runs[f], Run::Whole(_) | Run::Rest(_)) {
            (self.heads[f], self.runs[f]) = (None, Run::Closed);
            return true;
        }
        let set = &self.queues.flows[f];
        // Go on after those of the last time, if these still lie behind the window.
        let from = match (self.queues.cursors[f], head) {
            (Some(cursor), Some(head)) if cursor > *head => Some(cursor),
            (_, head) => head.copied(),
        };
        self.runs[f] = match from {
            Some(from) => Run::Others(set.range(from..).take(OTHERS)),
            None => Run::Closed,
        };
        self.heads[f] = self.runs[f].next();
        false
    }
}

#[cfg(test)]
mod tests;
