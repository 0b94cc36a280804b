//! Users' submissions on their way into the state service.
//!
//! They wait in a queue for each flow, and go in together: one transaction at a time,
//! as soon as the last one is answered and the budget allows, with as many as fit, each
//! flow in its turn. So the number that a second takes follows from the size of a page
//! and not from the number of writes, one flow's flood lengthens its own queue only,
//! and when it is calm nobody waits for company.

use super::fair_queue::FairQueue;
use super::flows::Flow;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use crate::mirror::{MOST_ROWS, OpenJob};
use crate::{Config, Millis};
use cherryyard_wire::record::{BUCKETS, Key};
use cherryyard_wire::state::Commit;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// Longest that a submission waits here: its user gives up after five seconds, and one
/// who is told to come back may find another controller less busy.
const PATIENCE_MS: f64 = 1200.0;
/// What may wait at once, in seconds' worth of what the budget takes.
const QUEUE_S: f64 = 0.8;
/// Time after which a transaction without an answer is stuck.
const STUCK_MS: f64 = 300.0;
/// So few submissions at who does not lead get records of their own.
const FEW: usize = 3;
/// Tries of one submission's write before its user is told to come back.
const TRIES: u32 = 4;

/// What has become of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is durable.
    Taken,
    /// The job is known already: what it has come to tells more.
    Known,
    /// The history has moved since it was looked for there.
    Retry,
    /// Refused: come back after so many seconds.
    Busy(u32),
    /// The state service did not take it, or nobody knows.
    Failed,
}

/// A submission that waits.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Its number, for the answer.
    pub ticket: u64,
    /// The job's number.
    pub job: u64,
    /// The job.
    pub open: OpenJob,
    /// As of which revision of the history's record it was not found there; 0: there is
    /// no history.
    pub moved: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    offer: Offer,
    since: Millis,
    tries: u32,
    /// The leader's lease under which it was divided.
    divided: Option<u64>,
}

/// What the intake is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// Nothing is under way.
    Idle,
    /// A transaction is.
    Writing,
    /// The next waits: for a time, and for a revision to be seen.
    Resting(Millis, u64),
}

/// What moves it from one to another.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// A transaction has been sent.
    Sent,
    /// It was answered.
    Answered,
    /// It was answered, and the next must wait.
    Delayed(Millis, u64),
    /// The wait is over.
    Rested,
}

impl Phase {
    /// The one place where the phase changes.
    pub fn after(self, event: Event) -> Self {
        match (self, event) {
            (Self::Idle, Event::Sent) => Self::Writing,
            (Self::Writing, Event::Answered) => Self::Idle,
            (Self::Writing, Event::Delayed(until, store_revision)) => {
                Self::Resting(until, store_revision)
            }
            (Self::Resting(..), Event::Rested) => Self::Idle,
            (same, _) => same,
        }
    }
}

/// Submissions on their way.
#[derive(Debug)]
pub struct Intake {
    phase: Phase,
    queues: BTreeMap<Flow, VecDeque<Waiting>>,
    waiting: usize,
    turns: FairQueue,
    /// Those of the transaction under way, and when it was sent.
    sent: Vec<Waiting>,
    sent_at: Millis,
    /// Who was sent away, by flow, and is to come back one after the other.
    owed: BTreeMap<Flow, f64>,
    owed_at: Millis,
    /// The most that may wait.
    most: usize,
}

impl Intake {
    pub(crate) fn new(config: &Config, now: Millis) -> Self {
        let a_second = config.user_writes_per_s * MOST_ROWS as f64 / 2.0;
        // Each takes about a kibibyte: of the memory a sixty-fourth.
        let capacity = config.recent_ends.get() / 16;
        Self {
            phase: Phase::Idle,
            queues: BTreeMap::new(),
            waiting: 0,
            turns: FairQueue::default(),
            sent: Vec::new(),
            sent_at: now,
            owed: BTreeMap::new(),
            owed_at: now,
            most: ((a_second * QUEUE_S) as usize).clamp(16, capacity.max(16)),
        }
    }

    /// How long those who wait have waited, at most; nothing where the state service does
    /// not answer, as nobody should wait for that. (One that was cut off from it told of
    /// long queues, and the others waited for it beyond all patience.)
    pub(crate) fn wait_ms(&self, now: Millis) -> f64 {
        if self.is_writing() && now - self.sent_at > STUCK_MS {
            return 0.0;
        }
        let first = self.queues.values().filter_map(|q| q.front());
        first.map(|w| now - w.since).fold(0.0, f64::max)
    }

    /// Whether a transaction is under way.
    pub(crate) fn is_writing(&self) -> bool {
        self.phase == Phase::Writing
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    fn change(&mut self, event: Event) {
        self.phase = self.phase.after(event);
    }

    /// When a flow's next one who is sent away is to come back: those of a flow are
    /// told different times, so that they come no faster than they are served.
    fn later(&mut self, flow: Flow, per_s: f64, now: Millis) -> Verdict {
        let passed = (now - self.owed_at).max(0.0) / 1000.0;
        self.owed_at = now;
        let share = per_s / self.queues.len().max(1) as f64;
        for owed in self.owed.values_mut() {
            *owed = (*owed - passed * share).max(0.0);
        }
        let owed = self.owed.entry(flow).or_default();
        *owed += 1.0;
        let wait = (*owed / share.max(1e-3)).ceil();
        Verdict::Busy(wait.clamp(1.0, 20.0) as u32)
    }

    fn push(&mut self, waiting: Waiting) {
        let flow = waiting.offer.open.flow;
        let queue = self.queues.entry(flow).or_default();
        if queue.is_empty() {
            self.turns.join(flow);
        }
        queue.push_back(waiting);
        self.waiting += 1;
    }

    /// Who has to go for a newcomer to have room: the newest of the longest queue,
    /// if that is longer than the newcomer's own.
    fn preempt_for(&mut self, flow: Flow) -> Option<Waiting> {
        let own = self.queues.get(&flow).map_or(0, VecDeque::len);
        let longest = self.queues.values_mut().max_by_key(|q| q.len())?;
        if longest.len() <= own + 1 {
            return None;
        }
        self.waiting -= 1;
        longest.pop_back()
    }

    /// The next submission, each flow in its turn.
    fn pop(&mut self, weight: impl Fn(Flow) -> f64) -> Option<Waiting> {
        let flow = self.turns.next(self.queues.keys().copied())?;
        let queue = self.queues.get_mut(&flow)?;
        let next = queue.pop_front();
        if queue.is_empty() {
            self.queues.remove(&flow);
        }
        self.waiting -= usize::from(next.is_some());
        self.turns.serve(flow, 1.0, weight(flow));
        next
    }

    fn put_back(&mut self, waiting: Waiting) {
        let flow = waiting.offer.open.flow;
        self.queues.entry(flow).or_default().push_front(waiting);
        self.waiting += 1;
    }
}

impl Controller {
    /// The flows' weights, by index.
    pub(crate) fn flow_weights(&self) -> Vec<f64> {
        let flows = &self.mirror.flows;
        let weight = |f: usize| {
            self.config
                .tuning
                .admission
                .of(flows.class(f as Flow))
                .weight
        };
        (0..flows.len()).map(weight).collect()
    }

    /// Takes a submission; the answer follows as an effect, maybe at once.
    pub fn offer(&mut self, offer: Offer, now: Millis) {
        self.notice(now);
        let flow = offer.open.flow;
        self.demand.offered(flow, offer.job);
        let waiting = Waiting {
            offer,
            since: now,
            tries: 0,
            divided: None,
        };
        if self.intake.waiting >= self.intake.most {
            match self.intake.preempt_for(flow) {
                Some(other) => self.send_away(&other, now),
                None => {
                    self.send_away(&waiting, now);
                    return;
                }
            }
        }
        self.intake.push(waiting);
        self.take_in(now);
    }

    /// Submissions that go in a second, where many wait: pages half full.
    fn taken_per_s(&self) -> f64 {
        self.config.user_writes_per_s * MOST_ROWS as f64 / 2.0
    }

    fn send_away(&mut self, waiting: &Waiting, now: Millis) {
        let (flow, per_s) = (waiting.offer.open.flow, self.taken_per_s());
        self.demand.refused(flow);
        let verdict = self.intake.later(flow, per_s, now);
        self.answer(waiting.offer.ticket, verdict);
    }

    fn answer(&mut self, ticket: u64, verdict: Verdict) {
        self.effects.push(Effect::Answer(ticket, verdict));
    }

    /// Sends what waits, if it is time.
    pub(crate) fn take_in(&mut self, now: Millis) {
        if let Phase::Resting(until, store_revision) = self.intake.phase
            && now >= until
            && self.mirror.store_revision >= store_revision
        {
            self.intake.change(Event::Rested);
        }
        self.give_up_old(now);
        if self.intake.waiting == 0 || self.intake.phase != Phase::Idle || !self.state_fresh(now) {
            return;
        }
        self.set_user_rate(now);
        if self.user_write_budget.left(now) < 1.0 {
            return;
        }
        let commit = if self.mirror.takes_pages() {
            // The leader writes pages all the time; the others, to whom few come while
            // there is one, would only get into its way and each other's.
            let few = self.intake.waiting <= FEW && self.leadership_token().is_none();
            if few && self.mirror.format.jobs < BUCKETS {
                self.records_of_new(now)
            } else {
                self.page_of_new()
            }
        } else if self.mirror.format.by_pages {
            // Pages have begun, and what came before is not all known yet.
            self.effects.push(Effect::Refresh);
            return;
        } else {
            self.records_of_new(now)
        };
        if self.intake.sent.is_empty() {
            return;
        }
        self.user_write_budget.spend(commit.apply.len() as f64);
        self.intake.change(Event::Sent);
        self.intake.sent_at = now;
        self.effects.push(Effect::Commit(Ticket::Admission, commit));
    }

    fn give_up_old(&mut self, now: Millis) {
        let old = |w: &Waiting| now - w.since > PATIENCE_MS;
        let mut gone = Vec::new();
        for queue in self.intake.queues.values_mut() {
            while queue.front().is_some_and(old) {
                gone.extend(queue.pop_front());
            }
        }
        if gone.is_empty() {
            return;
        }
        self.intake.queues.retain(|_, q| !q.is_empty());
        self.intake.waiting -= gone.len();
        for waiting in gone {
            self.send_away(&waiting, now);
        }
    }

    /// The next submissions that can be written, at most so many: what has become known
    /// meanwhile is answered, and no job comes twice.
    fn next_offers(&mut self, most: usize) -> Vec<Waiting> {
        let mut jobs = HashSet::new();
        let (mut next, mut again) = (Vec::new(), Vec::new());
        let weights = self.flow_weights();
        while next.len() < most
            && let Some(waiting) = self
                .intake
                .pop(|flow| weights.get(flow as usize).copied().unwrap_or(1.0))
        {
            let Offer {
                ticket, job, moved, ..
            } = waiting.offer;
            if self.mirror.view(job).is_some() {
                self.answer(ticket, Verdict::Known);
            } else if self.mirror.packed_revision != moved && self.mirror.packed.any() {
                self.answer(ticket, Verdict::Retry);
            } else if jobs.insert(job) {
                next.push(waiting);
            } else {
                again.push(waiting);
            }
        }
        again.into_iter().for_each(|w| self.intake.put_back(w));
        next
    }

    /// A page with the next submissions, divided if this controller leads.
    fn page_of_new(&mut self) -> Commit {
        let mut commit = Commit::default();
        let mut next = self.next_offers(MOST_ROWS);
        if next.is_empty() {
            return commit;
        }
        self.divide_offers(&mut next, &mut commit);
        if next.iter().any(|w| self.depends_on_history(w)) {
            self.mirror.require(&mut commit, Key::Packed);
        }
        let jobs = next.iter().map(|w| (w.offer.job, &w.offer.open));
        let added = self.mirror.add_jobs(&mut commit, jobs, &self.config);
        let mut rest = next.split_off(added);
        // The first that fits into no page at all must not hold up the others.
        if added == 0 && !rest.is_empty() {
            let first = rest.remove(0);
            self.answer(first.offer.ticket, Verdict::Failed);
        }
        for waiting in rest.into_iter().rev() {
            self.intake.put_back(waiting);
        }
        self.intake.sent = next;
        commit
    }

    /// Whether a submission depends on what is in the history: the job was not found
    /// there and may have come into it since, or ends of jobs that it waits for might.
    fn depends_on_history(&self, waiting: &Waiting) -> bool {
        let waits = !waiting.offer.open.dependencies.jobs.is_empty();
        waiting.offer.moved > 0 || (waits && self.mirror.format.jobs >= BUCKETS)
    }

    fn divide_offers(&mut self, next: &mut [Waiting], commit: &mut Commit) {
        let now = self.clock;
        let Some(revision) = self.leadership_token().filter(|_| self.state_fresh(now)) else {
            for waiting in next {
                waiting.offer.open.division = Vec::new();
                waiting.divided = None;
            }
            return;
        };
        let waits_for_none = |w: &&mut Waiting| w.offer.open.dependencies.is_none();
        for waiting in next.iter_mut().filter(waits_for_none) {
            // Not again for another try: it would be counted twice against the room.
            if waiting.divided != Some(revision) {
                waiting.offer.open.division = Vec::new();
                self.fill_division(&mut waiting.offer.open, now);
                waiting.divided = Some(revision);
            }
        }
        self.mirror.require(commit, Key::Leader);
    }

    /// Records of their own for the next submissions: before there are pages, and where
    /// few come to who does not lead.
    fn records_of_new(&mut self, now: Millis) -> Commit {
        let most = self
            .config
            .txn_ops
            .min(self.user_write_budget.left(now) as usize);
        let mut next = self.next_offers(most.max(1));
        let mut commit = Commit::default();
        if next.is_empty() {
            return commit;
        }
        self.divide_offers(&mut next, &mut commit);
        let moved = next.iter().any(|w| self.depends_on_history(w));
        let mut records = Vec::new();
        let mut written = Commit::default();
        for waiting in &next {
            let mut more = records.clone();
            more.push((waiting.offer.job, waiting.offer.open.record()));
            let mut attempt = commit.clone();
            let fits = self
                .mirror
                .write_jobs(&mut attempt, more.clone(), &self.config);
            if !fits || attempt.bytes() > 40 * 1024 {
                break;
            }
            (records, written) = (more, attempt);
        }
        let mut rest = next.split_off(records.len());
        if records.is_empty() && !rest.is_empty() {
            let first = rest.remove(0);
            self.answer(first.offer.ticket, Verdict::Failed);
        }
        for waiting in rest.into_iter().rev() {
            self.intake.put_back(waiting);
        }
        if !records.is_empty() {
            // Not beside pages or buckets that it does not know of.
            self.mirror.require(&mut written, Key::Format);
            if self.mirror.format.by_pages {
                self.mirror.require_pages(&mut written);
            }
            if moved {
                self.mirror.require(&mut written, Key::Packed);
            }
        }
        self.intake.sent = next;
        written
    }

    /// Takes how the transaction came out.
    pub(crate) fn intake_committed(&mut self, outcome: Outcome, now: Millis) {
        let sent = std::mem::take(&mut self.intake.sent);
        let event = match outcome {
            Outcome::Applied(_) => Event::Answered,
            // Somebody else has added jobs, or one of these: wait until that is seen.
            Outcome::Conflict(store_revision) => {
                Event::Delayed(now + self.jitter(5.0, 40.0), store_revision)
            }
            _ => Event::Delayed(now + self.jitter(60.0, 180.0), 0),
        };
        self.intake.change(event);
        match outcome {
            Outcome::Applied(_) => {
                for waiting in sent {
                    self.demand.taken(waiting.offer.open.flow);
                    self.answer(waiting.offer.ticket, Verdict::Taken);
                }
                for shard in &mut self.shards {
                    shard.dirty = true;
                }
                self.leader.dirty = true;
            }
            // What was refused was not executed: it waits on, as long as any may.
            Outcome::Conflict(_) | Outcome::Refused | Outcome::Malformed => {
                let again = !matches!(outcome, Outcome::Refused);
                for waiting in sent.into_iter().rev() {
                    let tries = waiting.tries + u32::from(again);
                    if tries >= TRIES {
                        self.answer(waiting.offer.ticket, Verdict::Failed);
                    } else {
                        self.intake.put_back(Waiting { tries, ..waiting });
                    }
                }
            }
            // It may have been applied, or may yet be: the next try would be as good,
            // but its user should not wait for what nobody knows.
            Outcome::Unknown | Outcome::NoLease => {
                for waiting in sent {
                    self.answer(waiting.offer.ticket, Verdict::Failed);
                }
            }
        }
    }
}
