//! Submissions of many jobs: their jobs are created from chunks that the state service
//! holds, cancelled as a whole, and what is not needed any more is deleted.
//!
//! Whoever leads does it, one step at a time, each a transaction that depends on the
//! lead and on the submission's record. That record says how far creation has come
//! and is written with the jobs, so a step is done once whatever fails, a removal
//! stops creation at once, and another leader goes on where this one was.

use super::*;
use crate::token_bucket::TokenBucket;
use cherryyard_wire::condor::{
    Chunk, Phase, PhaseEvent, SubmissionRecord, SubmissionView, Template, chunk_key, submission_key,
};
use cherryyard_wire::job::job_id;
use cherryyard_wire::record::{JobRecord, job_hash};

/// Jobs created in one step, at most.
const BATCH: usize = 48;
/// Bytes of a transaction's values.
const STEP_BYTES: usize = 40 * 1024;
/// Open jobs beyond which creation waits for some to be over: a submission is kept in
/// little room, open jobs are not.
const MOST_OPEN: usize = 20_000;
/// Open jobs of a removed submission that are looked at for one step.
const CANCEL_BATCH: usize = 5000;
/// Least time between two looks for something to do.
const INSPECT_MS: f64 = 100.0;
/// Time after which a submission whose chunks have stopped coming is given up.
const RECEIVE_MS: f64 = 600_000.0;
/// Time for which the names of submissions are kept once all their jobs are over.
const KEEP_MS: f64 = 30.0 * 86_400_000.0;
/// Creation's own share of users' writes; it has more while they leave half of it.
const SHARE: f64 = 0.25;

/// What the creator has under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing.
    Idle,
    /// A read of a chunk.
    Reading,
    /// A transaction.
    Writing,
}

/// What a submission needs next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Need {
    /// Its open jobs are to be cancelled.
    Cancel,
    /// Its next jobs are to be created.
    Create,
    /// Its chunks have stopped coming.
    GiveUp,
    /// Chunks of it are of no use any more.
    Sweep,
    /// Nor is its record.
    Forget,
}

/// A chunk whose jobs are being created.
#[derive(Debug)]
struct Work {
    submission: u64,
    chunk: u32,
    templates: Vec<Template>,
    /// Number, template and tasks of each job, in the order of their hashes:
    /// neighbours stand in one bucket, so one write creates several.
    jobs: Vec<(u64, u32, u32)>,
}

impl Work {
    fn new(submission: u64, chunk: u32, first: u64, read: Chunk) -> Self {
        let mut jobs = Vec::new();
        let mut job = first;
        for (template, task_count, count) in read.runs {
            for _ in 0..count {
                jobs.push((job, template, task_count));
                job += 1;
            }
        }
        jobs.sort_by_cached_key(|j| job_hash(j.0));
        Self {
            submission,
            chunk,
            templates: read.templates,
            jobs,
        }
    }
}

/// The creator and its pace.
#[derive(Debug)]
pub(crate) struct BulkCreation {
    stage: Stage,
    work: Option<Work>,
    write_budget: TokenBucket,
    retry_after: Millis,
    inspected_at: Millis,
}

impl BulkCreation {
    pub(crate) fn new(config: &crate::Config, now: Millis) -> Self {
        Self {
            stage: Stage::Idle,
            work: None,
            write_budget: TokenBucket::new(config.user_writes_per_s * SHARE, now),
            retry_after: now,
            inspected_at: f64::NEG_INFINITY,
        }
    }
}

impl BulkCreation {
    pub(crate) fn set_write_rate(&mut self, config: &crate::Config, now: Millis) {
        self.write_budget
            .set_rate(config.user_writes_per_s * SHARE, now);
    }
}

impl Controller {
    /// One step for the submissions: at most one read or transaction at once.
    pub(crate) fn create(&mut self, now: Millis) {
        if self.mirror.submissions.is_empty() {
            return;
        }
        if !self.leader.leads(&self.mirror) {
            // What is under way dies with the lead's revision, or was done by it.
            self.leader.bulk_creation.work = None;
            self.leader.bulk_creation.stage = Stage::Idle;
            return;
        }
        let bulk_creation = &mut self.leader.bulk_creation;
        if bulk_creation.stage != Stage::Idle
            || now < bulk_creation.retry_after
            || now - bulk_creation.inspected_at < INSPECT_MS
            || !self.state_fresh(now)
            || self.lag.now(now) > 300.0
        {
            return;
        }
        match self.next_need(now) {
            None => self.leader.bulk_creation.inspected_at = now,
            Some((Need::Cancel, n)) => self.cancel_some(n, now),
            Some((Need::Create, n)) => self.create_some(n, now),
            Some((Need::GiveUp, n)) => self.change_submission(n, PhaseEvent::GivenUp),
            Some((Need::Sweep, n)) => self.sweep_chunks(n, now),
            Some((Need::Forget, n)) => self.forget_submission(n, now),
        }
    }

    /// The most urgent need, the oldest submission's first.
    fn next_need(&self, now: Millis) -> Option<(Need, u64)> {
        let wall = now + self.wall_offset;
        let need = |r: &SubmissionRecord| {
            let age = wall - r.at as f64;
            Some(match r.phase {
                Phase::Cancelling => Need::Cancel,
                Phase::Creating => Need::Create,
                Phase::Receiving if age > RECEIVE_MS => Need::GiveUp,
                Phase::Receiving => return None,
                _ if r.swept < r.chunks => Need::Sweep,
                Phase::Dropped => Need::Forget,
                _ if age > KEEP_MS && self.mirror.open.range(r.block()).next().is_none() => {
                    Need::Forget
                }
                _ => return None,
            })
        };
        let reported = self.mirror.submissions.iter();
        // What came before its record has been seen too.
        let reported =
            reported.filter(|(_, (_, revision))| *revision <= self.mirror.store_revision);
        let needs = reported.filter_map(|(&n, (r, _))| Some((need(r)?, r.at, n)));
        needs.min().map(|(need, _, n)| (need, n))
    }

    /// Sends a step: a transaction that changes a submission's record.
    fn send_step(&mut self, number: u64, mut commit: Commit) {
        self.mirror.require(&mut commit, Key::Leader);
        self.mirror.require(&mut commit, Key::Submission(number));
        let spent = commit.apply.len() as f64;
        self.leader.bulk_creation.stage = Stage::Writing;
        self.leader.bulk_creation.write_budget.spend(spent);
        self.user_write_budget.spend(spent);
        self.effects
            .push(Effect::Commit(Ticket::BulkCreation, commit));
    }

    fn change_submission(&mut self, number: u64, event: PhaseEvent) {
        let mut record = self.mirror.submissions[&number].0.clone();
        record.phase = record.phase.after(event);
        tracing::info!(name = %record.name, phase = ?record.phase, "a submission");
        let mut commit = Commit::default();
        let key = submission_key(number);
        commit.apply.push(Apply::set(key, &record));
        self.send_step(number, commit);
    }

    /// Whether creation may write now, beside users' other writes.
    fn may_create(&mut self, now: Millis) -> bool {
        self.set_user_rate(now);
        let spare = self.user_write_budget.left(now) >= self.config.user_writes_per_s.max(1.5);
        spare || self.leader.bulk_creation.write_budget.left(now) >= 1.0
    }

    /// Of some jobs in a row, how many a transaction may change by the records that
    /// they stand in; a bucket may have to be divided.
    fn within_ops(&self, jobs: impl Iterator<Item = u64>) -> usize {
        let most = self.config.txn_ops.saturating_sub(1).max(2);
        let (mut homes, mut ops) = (HashSet::new(), 0);
        jobs.take(BATCH)
            .take_while(|&job| {
                let home = self.mirror.home(job);
                if homes.insert(home) {
                    ops += if matches!(home, Key::Job(_)) { 1 } else { 2 };
                }
                ops <= most
            })
            .count()
    }

    /// The transaction that writes as many of these records as fit, with the
    /// submission's own as it is after so many of them.
    fn fitting(
        &self,
        number: u64,
        records: &[Option<(u64, JobRecord)>],
        after: impl Fn(usize) -> SubmissionRecord,
    ) -> Option<Commit> {
        let mut n = records.len();
        while n > 0 {
            let mut commit = Commit::default();
            let own = Apply::set(submission_key(number), &after(n));
            commit.apply.push(own);
            let some = records[..n].iter().flatten().cloned().collect();
            if self.mirror.write_jobs(&mut commit, some, &self.config)
                && commit.bytes() <= STEP_BYTES
            {
                return Some(commit);
            }
            n /= 2;
        }
        None
    }

    fn create_some(&mut self, number: u64, now: Millis) {
        let record = self.mirror.submissions[&number].0.clone();
        let chunk = record.chunk.0;
        let work = self.leader.bulk_creation.work.take();
        let Some(work) = work.filter(|w| w.submission == number && w.chunk == chunk) else {
            self.leader.bulk_creation.stage = Stage::Reading;
            self.effects.push(Effect::ReadChunk(number, chunk));
            return;
        };
        if self.may_create(now) && self.mirror.open.len() < MOST_OPEN {
            self.create_from(&work, &record, now);
        }
        self.leader.bulk_creation.work = Some(work);
    }

    fn create_from(&mut self, work: &Work, record: &SubmissionRecord, now: Millis) {
        let left = work.jobs.get(record.next as usize..).unwrap_or_default();
        let n = self.within_ops(left.iter().map(|j| j.0));
        // None for what cannot be created: it is passed over, so that it does not hold
        // up all that come after it.
        let mut records = Vec::new();
        for &(job, template, task_count) in &left[..n] {
            let template = work.templates.get(template as usize);
            let new = template.and_then(|t| {
                let mut spec = t.spec.clone();
                (spec.id, spec.task_count) = (job_id(job), task_count);
                self.mirror
                    .new_job(spec, t.rules.clone().map(Box::new), record.at)
            });
            // Blocks of ids are handed out once, and only where none is in use.
            let mut new = new.filter(|_| self.mirror.view(job).is_none());
            match &mut new {
                Some(open) => {
                    self.fill_division(open, now);
                }
                None => tracing::error!(job, "a submission's job cannot be created"),
            }
            records.push(new.map(|open| (job, open.record())));
        }
        let after = |n: usize| {
            let mut new = record.clone();
            new.next += n as u64;
            if new.next as usize >= work.jobs.len() {
                new.chunk = (new.chunk.0 + 1, new.chunk.1 + work.jobs.len() as u64);
                new.next = 0;
                if new.chunk.0 >= new.of {
                    new.phase = new.phase.after(PhaseEvent::LastCreated);
                }
            }
            new
        };
        match self.fitting(work.submission, &records, after) {
            Some(commit) => self.send_step(work.submission, commit),
            None => {
                // The buckets have not been read, or a record is too large for one;
                // the latter was refused when it came.
                self.leader.bulk_creation.retry_after = now + 1000.0;
            }
        }
    }

    /// Cancels some of a removed submission's jobs, those with tasks first.
    fn cancel_some(&mut self, number: u64, now: Millis) {
        let record = self.mirror.submissions[&number].0.clone();
        let open = self.mirror.open.range(record.block());
        let mut open: Vec<u64> = open.map(|o| *o.0).take(CANCEL_BATCH).collect();
        if open.is_empty() {
            self.change_submission(number, PhaseEvent::NoneOpen);
            return;
        }
        // Like any cancellation it goes before what can wait, but it is many.
        if self.user_write_budget.left(now) <= -self.user_write_budget.overdraft() {
            return;
        }
        open.sort_by_cached_key(|&job| (self.mirror.assigned(job) == 0, job_hash(job)));
        let n = self.within_ops(open.iter().copied());
        let ended = |&job: &u64| Some((job, self.mirror.open.get(&job)?.ended(End::Cancelled)));
        let records: Vec<Option<(u64, JobRecord)>> = open[..n].iter().map(ended).collect();
        match self.fitting(number, &records, |_| record.clone()) {
            Some(commit) => self.send_step(number, commit),
            None => self.leader.bulk_creation.retry_after = now + 1000.0,
        }
    }

    fn sweep_chunks(&mut self, number: u64, now: Millis) {
        if !self.may_create(now) {
            return;
        }
        let mut record = self.mirror.submissions[&number].0.clone();
        let most = self.config.txn_ops.saturating_sub(1).max(1) as u32;
        let to = record.chunks.min(record.swept + most);
        let mut commit = Commit::default();
        let keys = (record.swept..to).map(|chunk| chunk_key(number, chunk));
        commit.apply.extend(keys.map(Apply::delete));
        record.swept = to;
        commit
            .apply
            .push(Apply::set(submission_key(number), &record));
        self.send_step(number, commit);
    }

    fn forget_submission(&mut self, number: u64, now: Millis) {
        if !self.may_create(now) {
            return;
        }
        let mut commit = Commit::default();
        commit.apply.push(Apply::delete(submission_key(number)));
        self.send_step(number, commit);
    }

    /// Takes a chunk that was asked for; none if it is not there.
    pub fn chunk_read(
        &mut self,
        number: u64,
        chunk: u32,
        answer: Result<Option<Chunk>, ()>,
        now: Millis,
    ) {
        self.notice(now);
        if self.leader.bulk_creation.stage != Stage::Reading {
            return;
        }
        self.leader.bulk_creation.stage = Stage::Idle;
        match (answer, self.mirror.submissions.get(&number)) {
            (Ok(Some(read)), Some((record, _))) => {
                let first = record.chunk.1;
                self.leader.bulk_creation.work = Some(Work::new(number, chunk, first, read));
            }
            (Ok(None), _) => {
                tracing::error!(number, chunk, "a chunk of a submission is missing");
                self.leader.bulk_creation.retry_after = now + 5000.0;
            }
            _ => self.leader.bulk_creation.retry_after = now + 1000.0,
        }
        self.create(now);
    }

    pub(crate) fn bulk_creation_committed(&mut self, outcome: Outcome, now: Millis) {
        self.leader.bulk_creation.stage = Stage::Idle;
        match outcome {
            Outcome::Applied(_) => {
                self.leader.dirty = true;
                for shard in &mut self.shards {
                    shard.dirty = true;
                }
            }
            _ => self.leader.bulk_creation.retry_after = now + self.jitter(100.0, 400.0),
        }
    }

    /// A submission as its user sees it.
    pub fn submission_view(&self, number: u64) -> Option<SubmissionView> {
        let record = &self.mirror.submissions.get(&number)?.0;
        let (mut queued, mut running) = (0, 0);
        for &job in self.mirror.open.range(record.block()).map(|o| o.0) {
            if self.mirror.assigned(job) > 0 {
                running += 1;
            } else {
                queued += 1;
            }
        }
        let created = record.created();
        Some(SubmissionView {
            name: record.name.clone(),
            phase: record.phase,
            first: (record.first != 0).then(|| job_id(record.first)),
            jobs: record.jobs,
            created,
            queued,
            running,
            over: created.saturating_sub(queued + running),
            chunks: record.chunks,
        })
    }
}
