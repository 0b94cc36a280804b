//! Users' submissions on their way into the state service.
//!
//! They wait in a queue for each flow, and go in together: one transaction at a time,
//! as soon as the last one is answered and the budget allows, with as many as fit, in the
//! order of weighted fair queueing. So the number that a second takes follows from the
//! size of a page and not from the number of writes, one flow's flood lengthens its own
//! queue only, and when it is calm nobody waits for company.

use super::demand::Demand;
use super::retry_schedule::RetrySchedule;
use super::submission::Waiting;
pub use super::submission::{Offer, Verdict};
use super::submission_queue::SubmissionQueue;
use crate::effects::{Effect, Outcome};
use crate::mirror::{MOST_ROWS, Mirror};
use crate::{Config, Millis};
use cherryyard_wire::record::{BUCKETS, JobRecord, Key};
use cherryyard_wire::state::Commit;
use std::collections::HashSet;

/// Longest that a submission waits here: its user gives up after five seconds, and one
/// who is told to come back may find another controller less busy.
const PATIENCE_MS: f64 = 1200.0;
/// What may wait at once, in seconds' worth of what the budget takes.
const QUEUE_S: f64 = 0.8;
/// Bounds of what may wait at once: the least, and the part of the ends kept in memory
/// (each submission takes about a kibibyte: of the memory a sixty-fourth).
const LEAST_CAPACITY: usize = 16;
const CAPACITY_PART: usize = 16;
/// Time after which a transaction without an answer is stuck.
const STUCK_MS: f64 = 300.0;
/// So few submissions at a controller that does not lead get records of their own.
const FEW: usize = 3;
/// Tries of one submission's write before its user is told to come back.
const TRIES: u32 = 4;
/// Most bytes of a transaction with records.
const RECORDS_BYTES: usize = 40 * 1024;

/// What the intake is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// Nothing is under way.
    Idle,
    /// A transaction is.
    Writing,
    /// The next transaction waits for a time, and for a revision to be seen.
    BackingOff { until: Millis, store_revision: u64 },
}

/// What moves the intake from one phase to another.
#[derive(Clone, Copy, Debug)]
pub(crate) enum IntakeEvent {
    /// A transaction has been sent.
    Sent,
    /// It was answered.
    Answered,
    /// It was answered, and the next must wait.
    Delayed { until: Millis, store_revision: u64 },
    /// The wait is over.
    DelayPassed,
}

impl Phase {
    /// The one place where the phase changes.
    fn after(self, event: IntakeEvent) -> Self {
        match (self, event) {
            (Self::Idle, IntakeEvent::Sent) => Self::Writing,
            (Self::Writing, IntakeEvent::Answered) => Self::Idle,
            (
                Self::Writing,
                IntakeEvent::Delayed {
                    until,
                    store_revision,
                },
            ) => Self::BackingOff {
                until,
                store_revision,
            },
            (Self::BackingOff { .. }, IntakeEvent::DelayPassed) => Self::Idle,
            (
                same,
                IntakeEvent::Sent
                | IntakeEvent::Answered
                | IntakeEvent::Delayed { .. }
                | IntakeEvent::DelayPassed,
            ) => same,
        }
    }
}

/// Submissions on their way.
#[derive(Debug)]
pub struct Intake {
    phase: Phase,
    queue: SubmissionQueue,
    /// Those of the transaction under way, and when it was sent.
    sent: Vec<Waiting>,
    sent_at: Millis,
    retry_schedule: RetrySchedule,
}

/// Submissions that go in a second, where many wait: pages half full.
fn submissions_per_s(config: &Config) -> f64 {
    config.user_writes_per_s * MOST_ROWS as f64 / 2.0
}

impl Intake {
    pub(crate) fn new(config: &Config, now: Millis) -> Self {
        let most = (config.recent_ends.get() / CAPACITY_PART).max(LEAST_CAPACITY);
        let wanted = (submissions_per_s(config) * QUEUE_S) as usize;
        Self {
            phase: Phase::Idle,
            queue: SubmissionQueue::new(wanted.clamp(LEAST_CAPACITY, most)),
            sent: Vec::new(),
            sent_at: now,
            retry_schedule: RetrySchedule::new(now),
        }
    }

    /// How long those who wait have waited, at most; nothing where the state service does
    /// not answer, as nobody should wait for that. (A controller that was cut off from it
    /// reported long queues, and the others waited for it beyond all patience.)
    pub(crate) fn wait_ms(&self, now: Millis) -> f64 {
        if self.is_writing() && now - self.sent_at > STUCK_MS {
            return 0.0;
        }
        self.queue.longest_wait_ms(now)
    }

    /// Whether a transaction is under way.
    pub(crate) fn is_writing(&self) -> bool {
        self.phase == Phase::Writing
    }

    /// Whether something waits, and nothing keeps it from being sent.
    pub(crate) fn is_ready(&self) -> bool {
        !self.queue.is_empty() && self.phase == Phase::Idle
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Whether so few wait that they need no page.
    pub(crate) fn has_few(&self) -> bool {
        self.queue.len() <= FEW
    }

    fn change(&mut self, event: IntakeEvent) {
        self.phase = self.phase.after(event);
    }

    /// Ends a delay that has passed, once the revision that it waits for is seen.
    pub(crate) fn end_delay(&mut self, store_revision: u64, now: Millis) {
        if let Phase::BackingOff {
            until,
            store_revision: awaited,
        } = self.phase
            && now >= until
            && store_revision >= awaited
        {
            self.change(IntakeEvent::DelayPassed);
        }
    }

    /// Queues a submission if there is room, or room can be made; false if it is refused.
    pub(crate) fn offer(
        &mut self,
        offer: Offer,
        config: &Config,
        demand: &mut Demand,
        effects: &mut Vec<Effect>,
        now: Millis,
    ) -> bool {
        let waiting = Waiting::new(offer, now);
        if self.queue.is_full() {
            match self.queue.evict_for(waiting.offer.open.flow) {
                Some(evicted) => self.refuse(&evicted, config, demand, effects, now),
                None => {
                    self.refuse(&waiting, config, demand, effects, now);
                    return false;
                }
            }
        }
        self.queue.push(waiting);
        true
    }

    /// Refuses those that have waited for too long.
    pub(crate) fn refuse_expired(
        &mut self,
        config: &Config,
        demand: &mut Demand,
        effects: &mut Vec<Effect>,
        now: Millis,
    ) {
        let is_expired = |waiting: &Waiting| now - waiting.since > PATIENCE_MS;
        for expired in self.queue.take_expired(is_expired) {
            self.refuse(&expired, config, demand, effects, now);
        }
    }

    /// Tells a user when to come back.
    fn refuse(
        &mut self,
        waiting: &Waiting,
        config: &Config,
        demand: &mut Demand,
        effects: &mut Vec<Effect>,
        now: Millis,
    ) {
        let flow = waiting.offer.open.flow;
        demand.refused(flow);
        let flow_rate = submissions_per_s(config) / self.queue.flow_count().max(1) as f64;
        let retry_s = self.retry_schedule.next_retry_s(flow, flow_rate, now);
        answer(effects, waiting, Verdict::Busy(retry_s));
    }

    /// Takes the next submissions that can be written, at most so many: what has become
    /// known meanwhile is answered, and no job is taken twice.
    pub(crate) fn next_batch(
        &mut self,
        most: usize,
        weights: &[f64],
        mirror: &Mirror,
        effects: &mut Vec<Effect>,
    ) -> Vec<Waiting> {
        let mut jobs = HashSet::new();
        let (mut batch, mut twice) = (Vec::new(), Vec::new());
        while batch.len() < most
            && let Some(waiting) = self.queue.pop(weights)
        {
            let offer = &waiting.offer;
            if mirror.view(offer.job).is_some() {
                answer(effects, &waiting, Verdict::Known);
            } else if mirror.packed_revision != offer.moved && mirror.packed.any() {
                answer(effects, &waiting, Verdict::Retry);
            } else if jobs.insert(offer.job) {
                batch.push(waiting);
            } else {
                twice.push(waiting);
            }
        }
        for waiting in twice {
            self.queue.put_back(waiting);
        }
        batch
    }

    /// Adds a page with as many submissions of a batch as fit to a transaction.
    pub(crate) fn write_page(
        &mut self,
        mut batch: Vec<Waiting>,
        commit: &mut Commit,
        mirror: &Mirror,
        config: &Config,
        effects: &mut Vec<Effect>,
    ) {
        if batch
            .iter()
            .any(|waiting| depends_on_history(waiting, mirror))
        {
            mirror.require(commit, Key::Packed);
        }
        let jobs = batch
            .iter()
            .map(|waiting| (waiting.offer.job, &waiting.offer.open));
        let added = mirror.add_jobs(commit, jobs, config);
        let rest = batch.split_off(added);
        self.put_back_rest(rest, added, effects);
        self.sent = batch;
    }

    /// The transaction `commit` with records of their own for as many submissions of a
    /// batch as fit.
    pub(crate) fn write_records(
        &mut self,
        mut batch: Vec<Waiting>,
        commit: &Commit,
        mirror: &Mirror,
        config: &Config,
        effects: &mut Vec<Effect>,
    ) -> Commit {
        let needs_history = batch
            .iter()
            .any(|waiting| depends_on_history(waiting, mirror));
        let (mut written, count) = records_that_fit(&batch, commit, mirror, config);
        let rest = batch.split_off(count);
        self.put_back_rest(rest, count, effects);
        if count > 0 {
            // Not beside pages or buckets that it does not know of.
            mirror.require(&mut written, Key::Format);
            if mirror.format.by_pages {
                mirror.require_pages(&mut written);
            }
            if needs_history {
                mirror.require(&mut written, Key::Packed);
            }
        }
        self.sent = batch;
        written
    }

    /// Puts back what did not fit beside `written` others. The first that does not fit
    /// even alone must not hold up the others.
    fn put_back_rest(&mut self, mut rest: Vec<Waiting>, written: usize, effects: &mut Vec<Effect>) {
        if written == 0 && !rest.is_empty() {
            let first = rest.remove(0);
            answer(effects, &first, Verdict::Failed);
        }
        for waiting in rest.into_iter().rev() {
            self.queue.put_back(waiting);
        }
    }

    /// Notes that the transaction is on its way; false if there is none, as nothing of the
    /// batch could be written.
    pub(crate) fn send(&mut self, now: Millis) -> bool {
        if self.sent.is_empty() {
            return false;
        }
        self.change(IntakeEvent::Sent);
        self.sent_at = now;
        true
    }

    /// Takes how the transaction came out; `event` says when the next may be sent.
    pub(crate) fn committed(
        &mut self,
        outcome: Outcome,
        event: IntakeEvent,
        demand: &mut Demand,
        effects: &mut Vec<Effect>,
    ) {
        let sent = std::mem::take(&mut self.sent);
        self.change(event);
        match outcome {
            Outcome::Applied(_) => {
                for waiting in sent {
                    demand.taken(waiting.offer.open.flow);
                    answer(effects, &waiting, Verdict::Taken);
                }
            }
            Outcome::Conflict(_) | Outcome::Malformed => self.try_again(sent, 1, effects),
            // What was refused was not executed: it waits on, as long as any may.
            Outcome::Refused => self.try_again(sent, 0, effects),
            // It may have been applied, or may yet be: the next try would be as good,
            // but its user should not wait for what nobody knows.
            Outcome::Unknown | Outcome::NoLease => {
                for waiting in sent {
                    answer(effects, &waiting, Verdict::Failed);
                }
            }
        }
    }

    /// Puts back what was sent, but for what has been tried too often.
    fn try_again(&mut self, sent: Vec<Waiting>, more_tries: u32, effects: &mut Vec<Effect>) {
        for mut waiting in sent.into_iter().rev() {
            waiting.tries += more_tries;
            if waiting.tries >= TRIES {
                answer(effects, &waiting, Verdict::Failed);
            } else {
                self.queue.put_back(waiting);
            }
        }
    }
}

fn answer(effects: &mut Vec<Effect>, waiting: &Waiting, verdict: Verdict) {
    effects.push(Effect::Answer(waiting.offer.ticket, verdict));
}

/// Whether a submission depends on what is in the history: the job was not found
/// there and may have come into it since, or ends of jobs that it waits for might.
fn depends_on_history(waiting: &Waiting, mirror: &Mirror) -> bool {
    let waits_for_others = !waiting.offer.open.dependencies.jobs.is_empty();
    waiting.offer.moved > 0 || (waits_for_others && mirror.format.jobs >= BUCKETS)
}

/// The transaction with as many of these submissions' records as fit, and how many.
fn records_that_fit(
    batch: &[Waiting],
    commit: &Commit,
    mirror: &Mirror,
    config: &Config,
) -> (Commit, usize) {
    let mut records: Vec<(u64, JobRecord)> = Vec::new();
    let mut written = Commit::default();
    for waiting in batch {
        records.push((waiting.offer.job, waiting.offer.open.record()));
        let mut attempt = commit.clone();
        let fits = mirror.write_jobs(&mut attempt, records.clone(), config);
        if !fits || attempt.bytes() > RECORDS_BYTES {
            records.pop();
            break;
        }
        written = attempt;
    }
    (written, records.len())
}
