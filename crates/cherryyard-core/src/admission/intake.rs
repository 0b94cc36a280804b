//! Intake of users' submissions: queues them and writes them to the state service in batches.
//!
//! Submissions wait in one queue per flow. One transaction is under way at a time. The next is
//! sent as soon as the last is answered and the write budget allows, with as many submissions as
//! fit, in the order of weighted fair queueing. The throughput therefore depends on the size of a
//! page and not on the number of writes, a burst of one flow lengthens only its own queue, and
//! under low load a submission is written without waiting for a batch to fill.

use super::demand::Demand;
use super::retry_schedule::RetrySchedule;
use super::submission::WaitingSubmission;
pub use super::submission::{Submission, SubmissionOutcome};
use super::submission_queue::SubmissionQueue;
use crate::effects::{Effect, Outcome};
use crate::mirror::{MAX_JOBS_PER_PAGE, Mirror};
use crate::{Config, Millis};
use cherryyard_wire::record::{BUCKETS, JobRecord, Key};
use cherryyard_wire::state::Commit;
use std::collections::HashSet;

/// Longest time for which a submission is queued, in milliseconds. Users give up after 5 s, and a
/// user who is refused earlier may reach a less busy controller with the retry.
const MAX_QUEUED_MS: f64 = 1200.0;
/// Capacity of the queue, in seconds of the throughput that the write budget allows.
const QUEUE_CAPACITY_S: f64 = 0.8;
/// Lower bound of the queue's capacity.
const MIN_QUEUE_CAPACITY: usize = 16;
/// Divisor of the number of job ends kept in memory that gives the upper bound of the queue's
/// capacity. A submission takes about 1 KiB, so that a full queue takes at most 1/64 of the memory.
const RECENT_ENDS_PER_SUBMISSION: usize = 16;
/// Time in milliseconds after which a transaction without an answer counts as stuck.
const STUCK_AFTER_MS: f64 = 300.0;
/// Largest number of queued submissions that a controller other than the leader writes as one
/// record each instead of as a page.
const MAX_SEPARATE_RECORDS: usize = 3;
/// Number of failed writes of a submission after which it is answered with
/// [`SubmissionOutcome::Failed`].
/// Writes that the state service refused do not count.
const MAX_TRIES: u32 = 4;
/// Largest transaction with one record per submission, in bytes.
const MAX_RECORDS_BYTES: usize = 40 * 1024;

/// Phase of the intake.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// No transaction is under way.
    Idle,
    /// A transaction has been sent and is not answered yet.
    Writing,
    /// The next transaction waits until a time, and until a revision of the state service has been
    /// read.
    BackingOff { until: Millis, store_revision: u64 },
}

/// Event that changes the intake's phase.
#[derive(Clone, Copy, Debug)]
pub(crate) enum IntakeEvent {
    /// A transaction has been sent.
    Sent,
    /// The transaction was answered.
    Answered,
    /// The transaction was answered, and the next must wait.
    Delayed { until: Millis, store_revision: u64 },
    /// The wait before the next transaction is over.
    DelayPassed,
}

impl Phase {
    /// Returns the phase after `event`: the only transition function of this state machine.
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
                unchanged,
                IntakeEvent::Sent
                | IntakeEvent::Answered
                | IntakeEvent::Delayed { .. }
                | IntakeEvent::DelayPassed,
            ) => unchanged,
        }
    }
}

/// Submissions that are queued or being written.
#[derive(Debug)]
pub struct Intake {
    phase: Phase,
    queue: SubmissionQueue,
    /// Submissions in the transaction that is under way.
    sent: Vec<WaitingSubmission>,
    /// Time at which the last transaction was sent.
    sent_at: Millis,
    retry_schedule: RetrySchedule,
}

/// Returns the estimated throughput under load in submissions per second: pages are half full on
/// average.
fn submissions_per_s(config: &Config) -> f64 {
    config.user_writes_per_s * MAX_JOBS_PER_PAGE as f64 / 2.0
}

impl Intake {
    pub(crate) fn new(config: &Config, now: Millis) -> Self {
        let max_capacity =
            (config.recent_ends.get() / RECENT_ENDS_PER_SUBMISSION).max(MIN_QUEUE_CAPACITY);
        let capacity = (submissions_per_s(config) * QUEUE_CAPACITY_S) as usize;
        Self {
            phase: Phase::Idle,
            queue: SubmissionQueue::new(capacity.clamp(MIN_QUEUE_CAPACITY, max_capacity)),
            sent: Vec::new(),
            sent_at: now,
            retry_schedule: RetrySchedule::new(now),
        }
    }

    /// Returns how long the oldest queued submission has waited, in milliseconds; 0 if the state
    /// service does not answer. Other controllers wait longer for the submissions that they forward
    /// to a controller that reports a long wait. If a controller that is cut off from the state
    /// service reported one, they would wait too long for a controller that cannot write.
    pub(crate) fn wait_ms(&self, now: Millis) -> f64 {
        if self.is_writing() && now - self.sent_at > STUCK_AFTER_MS {
            return 0.0;
        }
        self.queue.longest_wait_ms(now)
    }

    /// Returns whether a transaction is under way.
    pub(crate) fn is_writing(&self) -> bool {
        self.phase == Phase::Writing
    }

    /// Returns whether submissions are queued and the next transaction may be sent.
    pub(crate) fn is_ready(&self) -> bool {
        !self.queue.is_empty() && self.phase == Phase::Idle
    }

    /// Returns the number of queued submissions.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether so few submissions are queued that they can be written as one record each.
    pub(crate) fn has_few(&self) -> bool {
        self.queue.len() <= MAX_SEPARATE_RECORDS
    }

    fn apply_event(&mut self, event: IntakeEvent) {
        self.phase = self.phase.after(event);
    }

    /// Ends the wait before the next transaction if its time has come and the mirror has reached
    /// the revision that it waits for.
    pub(crate) fn end_delay(&mut self, store_revision: u64, now: Millis) {
        if let Phase::BackingOff {
            until,
            store_revision: awaited,
        } = self.phase
            && now >= until
            && store_revision >= awaited
        {
            self.apply_event(IntakeEvent::DelayPassed);
        }
    }

    /// Queues a submission, if need be in place of one that it evicts. Returns false if it is
    /// refused.
    pub(crate) fn enqueue(
        &mut self,
        offer: Submission,
        config: &Config,
        demand: &mut Demand,
        effects: &mut Vec<Effect>,
        now: Millis,
    ) -> bool {
        let waiting = WaitingSubmission::new(offer, now);
        if self.queue.is_full() {
            match self.queue.evict_for(waiting.submission.open.flow) {
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

    /// Refuses submissions that have been queued for too long.
    pub(crate) fn refuse_expired(
        &mut self,
        config: &Config,
        demand: &mut Demand,
        effects: &mut Vec<Effect>,
        now: Millis,
    ) {
        let is_expired = |waiting: &WaitingSubmission| now - waiting.queued_at > MAX_QUEUED_MS;
        for expired in self.queue.take_expired(is_expired) {
            self.refuse(&expired, config, demand, effects, now);
        }
    }

    /// Answers a submission with the time after which its user is to retry.
    fn refuse(
        &mut self,
        waiting: &WaitingSubmission,
        config: &Config,
        demand: &mut Demand,
        effects: &mut Vec<Effect>,
        now: Millis,
    ) {
        let flow = waiting.submission.open.flow;
        demand.count_refused(flow);
        let flow_rate = submissions_per_s(config) / self.queue.flow_count().max(1) as f64;
        let retry_s = self.retry_schedule.next_retry_s(flow, flow_rate, now);
        answer(effects, waiting, SubmissionOutcome::Refused(retry_s));
    }

    /// Takes the next submissions that can be written from the queue, at most `max_count`. Those
    /// whose job has become known or whose lookup in the history is out of date are answered
    /// instead, and of several submissions of one job only the first is taken.
    pub(crate) fn next_batch(
        &mut self,
        max_count: usize,
        weights: &[f64],
        mirror: &Mirror,
        effects: &mut Vec<Effect>,
    ) -> Vec<WaitingSubmission> {
        let mut jobs = HashSet::new();
        let (mut batch, mut duplicates) = (Vec::new(), Vec::new());
        while batch.len() < max_count
            && let Some(waiting) = self.queue.pop(weights)
        {
            let offer = &waiting.submission;
            if mirror.status(offer.job).is_some() {
                answer(effects, &waiting, SubmissionOutcome::AlreadyKnown);
            } else if mirror.history_progress_revision != offer.history_revision
                && mirror.history_progress.may_have_jobs()
            {
                answer(effects, &waiting, SubmissionOutcome::Retry);
            } else if jobs.insert(offer.job) {
                batch.push(waiting);
            } else {
                duplicates.push(waiting);
            }
        }
        for waiting in duplicates {
            self.queue.put_back(waiting);
        }
        batch
    }

    /// Adds to a transaction a page with as many submissions of a batch as fit, and queues the rest
    /// again.
    pub(crate) fn write_page(
        &mut self,
        mut batch: Vec<WaitingSubmission>,
        commit: &mut Commit,
        mirror: &Mirror,
        config: &Config,
        effects: &mut Vec<Effect>,
    ) {
        if batch
            .iter()
            .any(|waiting| depends_on_history(waiting, mirror))
        {
            mirror.require(commit, Key::HistoryProgress);
        }
        let jobs = batch
            .iter()
            .map(|waiting| (waiting.submission.job, &waiting.submission.open));
        let added = mirror.add_jobs(commit, jobs, config);
        let rest = batch.split_off(added);
        self.put_back_rest(rest, added, effects);
        self.sent = batch;
    }

    /// Returns the transaction `commit` with one record each for as many submissions of a batch as
    /// fit, and queues the rest again.
    pub(crate) fn write_records(
        &mut self,
        mut batch: Vec<WaitingSubmission>,
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
            // The transaction must fail if pages or buckets exist that this mirror has not read.
            mirror.require(&mut written, Key::Format);
            if mirror.format.uses_admission_log {
                mirror.require_admission_log_unchanged(&mut written);
            }
            if needs_history {
                mirror.require(&mut written, Key::HistoryProgress);
            }
        }
        self.sent = batch;
        written
    }

    /// Queues again the submissions that did not fit beside `written` others. If none was written,
    /// the first does not fit even alone and is answered as failed, as it would block the others.
    fn put_back_rest(
        &mut self,
        mut rest: Vec<WaitingSubmission>,
        written: usize,
        effects: &mut Vec<Effect>,
    ) {
        if written == 0 && !rest.is_empty() {
            let first = rest.remove(0);
            answer(effects, &first, SubmissionOutcome::Failed);
        }
        for waiting in rest.into_iter().rev() {
            self.queue.put_back(waiting);
        }
    }

    /// Records that the transaction with the prepared batch is sent. Returns false if the batch is
    /// empty, as there is nothing to send.
    pub(crate) fn send(&mut self, now: Millis) -> bool {
        if self.sent.is_empty() {
            return false;
        }
        self.apply_event(IntakeEvent::Sent);
        self.sent_at = now;
        true
    }

    /// Handles the outcome of the transaction; `event` determines when the next may be sent.
    pub(crate) fn committed(
        &mut self,
        outcome: Outcome,
        event: IntakeEvent,
        demand: &mut Demand,
        effects: &mut Vec<Effect>,
    ) {
        let sent = std::mem::take(&mut self.sent);
        self.apply_event(event);
        match outcome {
            Outcome::Applied(_) => {
                for waiting in sent {
                    demand.count_accepted(waiting.submission.open.flow);
                    answer(effects, &waiting, SubmissionOutcome::Stored);
                }
            }
            Outcome::Conflict(_) | Outcome::Malformed => self.try_again(sent, 1, effects),
            // A refused transaction was not executed: its submissions wait on, up to the limit
            // for all.
            Outcome::Refused => self.try_again(sent, 0, effects),
            // The transaction may have been applied, or may still be. A retry would be safe, but
            // the user should not wait for an unknown outcome.
            Outcome::Unknown | Outcome::NoLease => {
                for waiting in sent {
                    answer(effects, &waiting, SubmissionOutcome::Failed);
                }
            }
        }
    }

    /// Queues the submissions of a failed transaction again, except those that have been tried too
    /// often: they are answered as failed.
    fn try_again(
        &mut self,
        sent: Vec<WaitingSubmission>,
        more_tries: u32,
        effects: &mut Vec<Effect>,
    ) {
        for mut waiting in sent.into_iter().rev() {
            waiting.tries += more_tries;
            if waiting.tries >= MAX_TRIES {
                answer(effects, &waiting, SubmissionOutcome::Failed);
            } else {
                self.queue.put_back(waiting);
            }
        }
    }
}

fn answer(effects: &mut Vec<Effect>, waiting: &WaitingSubmission, verdict: SubmissionOutcome) {
    effects.push(Effect::Answer(waiting.submission.ticket, verdict));
}

/// Returns whether writing a submission requires the history to be unchanged: its job was looked up
/// there and may have been added since, or ends of jobs that it waits for may have been.
fn depends_on_history(waiting: &WaitingSubmission, mirror: &Mirror) -> bool {
    let waits_for_others = !waiting.submission.open.dependencies.jobs.is_empty();
    waiting.submission.history_revision > 0 || (waits_for_others && mirror.format.jobs >= BUCKETS)
}

/// Returns `commit` with one record each for as many submissions of `batch` as fit, and their
/// number.
fn records_that_fit(
    batch: &[WaitingSubmission],
    commit: &Commit,
    mirror: &Mirror,
    config: &Config,
) -> (Commit, usize) {
    let mut records: Vec<(u64, JobRecord)> = Vec::new();
    let mut written = Commit::default();
    for waiting in batch {
        records.push((waiting.submission.job, waiting.submission.open.record()));
        let mut attempt = commit.clone();
        let fits = mirror.write_jobs(&mut attempt, records.clone(), config);
        if !fits || attempt.bytes() > MAX_RECORDS_BYTES {
            records.pop();
            break;
        }
        written = attempt;
    }
    (written, records.len())
}
