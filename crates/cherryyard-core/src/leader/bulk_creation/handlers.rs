//! The controller's steps of bulk creation.

use super::chunk::{ChunkJob, ChunkJobs};
use super::transactions::{
    MaybeRecord, jobs_within_limit, record_after, records_that_fit, submission_write, sweep,
};
use super::{ChunkRead, Need, Needy, RETRY_MS, Stage, most_urgent};
use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use cherryyard_wire::condor::{
    Chunk, PhaseEvent, SubmissionRecord, SubmissionView, submission_key,
};
use cherryyard_wire::job::job_id;
use cherryyard_wire::record::{End, Key, job_hash};
use cherryyard_wire::state::{Apply, Commit};

/// Open jobs beyond which creation waits for some to be over: a submission is kept in
/// little memory, open jobs are not.
const MOST_OPEN: usize = 20_000;
/// Open jobs of a removed submission that are looked at for one step.
const CANCEL_BATCH: usize = 5000;
/// Lag of the event loop beyond which no step is made.
const MOST_LAG_MS: f64 = 300.0;

impl Controller {
    /// One step for the submissions: at most one read or transaction at once.
    pub(crate) fn create(&mut self, now: Millis) {
        if self.mirror.submissions.is_empty() {
            return;
        }
        if !self.leader.leads(&self.mirror) {
            self.leader.bulk_creation.stop();
            return;
        }
        if !self.leader.bulk_creation.is_due(now)
            || !self.state_fresh(now)
            || self.lag.now(now) > MOST_LAG_MS
        {
            return;
        }
        let Some(Needy {
            need, submission, ..
        }) = most_urgent(&self.mirror, now + self.wall_offset)
        else {
            self.leader.bulk_creation.inspected_at = now;
            return;
        };
        match need {
            Need::Cancel => self.cancel_some(submission, now),
            Need::Create => self.create_some(submission, now),
            Need::GiveUp => self.change_submission(submission, PhaseEvent::GivenUp),
            Need::Sweep => self.sweep_chunks(submission, now),
            Need::Forget => self.forget_submission(submission, now),
        }
    }

    /// Sends a step: a transaction that changes a submission's record.
    fn send_step(&mut self, submission: u64, mut commit: Commit) {
        self.mirror.require(&mut commit, Key::Leader);
        self.mirror
            .require(&mut commit, Key::Submission(submission));
        let spent = commit.apply.len() as f64;
        self.leader.bulk_creation.stage = Stage::Writing;
        self.leader.bulk_creation.write_budget.spend(spent);
        self.user_write_budget.spend(spent);
        self.effects
            .push(Effect::Commit(Ticket::BulkCreation, commit));
    }

    /// Sends a step, or tries again later if none could be made: the buckets have not been
    /// read, or a record is too large for one (which was refused when it came).
    fn send_or_retry(&mut self, submission: u64, commit: Option<Commit>, now: Millis) {
        match commit {
            Some(commit) => self.send_step(submission, commit),
            None => self.leader.bulk_creation.retry_after = now + RETRY_MS,
        }
    }

    fn submission_record(&self, submission: u64) -> SubmissionRecord {
        self.mirror.submissions[&submission].0.clone()
    }

    fn change_submission(&mut self, submission: u64, event: PhaseEvent) {
        let mut record = self.submission_record(submission);
        record.phase = record.phase.after(event);
        tracing::info!(name = %record.name, phase = ?record.phase, "submission phase changed");
        self.send_step(submission, submission_write(submission, &record));
    }

    /// Whether creation may write now, beside users' other writes.
    fn may_create(&mut self, now: Millis) -> bool {
        self.set_user_rate(now);
        let spare = self.user_write_budget.left(now) >= self.config.user_writes_per_s.max(1.5);
        spare || self.leader.bulk_creation.write_budget.left(now) >= 1.0
    }

    /// Creates a submission's next jobs, or reads the chunk with them.
    fn create_some(&mut self, submission: u64, now: Millis) {
        let record = self.submission_record(submission);
        let (chunk, _) = record.chunk;
        let bulk_creation = &mut self.leader.bulk_creation;
        let Some(jobs) = bulk_creation.take_chunk(submission, chunk) else {
            bulk_creation.stage = Stage::Reading;
            self.effects.push(Effect::ReadChunk(submission, chunk));
            return;
        };
        if self.may_create(now) && self.mirror.open.len() < MOST_OPEN {
            self.create_from(&jobs, &record, now);
        }
        self.leader.bulk_creation.chunk = Some(jobs);
    }

    fn create_from(&mut self, chunk: &ChunkJobs, record: &SubmissionRecord, now: Millis) {
        let left = chunk.from(record.next);
        let numbers = left.iter().map(|chunk_job| chunk_job.job);
        let count = jobs_within_limit(numbers, &self.mirror, &self.config);
        let records: Vec<MaybeRecord> = left[..count]
            .iter()
            .map(|chunk_job| self.new_record(chunk, chunk_job, record.at, now))
            .collect();
        let commit = records_that_fit(
            chunk.submission,
            &records,
            |created| record_after(record, chunk, created),
            &self.mirror,
            &self.config,
        );
        self.send_or_retry(chunk.submission, commit, now);
    }

    /// The record of a job that a chunk describes, divided; `at` is when its submission
    /// came.
    fn new_record(
        &mut self,
        chunk: &ChunkJobs,
        chunk_job: &ChunkJob,
        at: u64,
        now: Millis,
    ) -> MaybeRecord {
        let job = chunk_job.job;
        let new = chunk.template(chunk_job).and_then(|template| {
            let mut spec = template.spec.clone();
            (spec.id, spec.task_count) = (job_id(job), chunk_job.task_count);
            let rules = template.rules.clone().map(Box::new);
            self.mirror.new_job(spec, rules, at)
        });
        // Blocks of ids are handed out once, and only where none is in use.
        let Some(mut open) = new.filter(|_| self.mirror.view(job).is_none()) else {
            tracing::error!(job, "a submission's job cannot be created");
            return None;
        };
        self.fill_division(&mut open, now);
        Some((job, open.record()))
    }

    /// Cancels some of a removed submission's jobs, those with tasks first.
    fn cancel_some(&mut self, submission: u64, now: Millis) {
        let record = self.submission_record(submission);
        let open = self.mirror.open.range(record.block());
        let mut jobs: Vec<u64> = open.map(|(&job, _)| job).take(CANCEL_BATCH).collect();
        if jobs.is_empty() {
            self.change_submission(submission, PhaseEvent::NoneOpen);
            return;
        }
        // Like any cancellation it goes before what can wait, but it is many.
        if self.user_write_budget.left(now) <= -self.user_write_budget.overdraft() {
            return;
        }
        jobs.sort_by_cached_key(|&job| (self.mirror.assigned(job) == 0, job_hash(job)));
        let count = jobs_within_limit(jobs.iter().copied(), &self.mirror, &self.config);
        let ended = |&job: &u64| Some((job, self.mirror.open.get(&job)?.ended(End::Cancelled)));
        let records: Vec<MaybeRecord> = jobs[..count].iter().map(ended).collect();
        let commit = records_that_fit(
            submission,
            &records,
            |_| record.clone(),
            &self.mirror,
            &self.config,
        );
        self.send_or_retry(submission, commit, now);
    }

    fn sweep_chunks(&mut self, submission: u64, now: Millis) {
        if self.may_create(now) {
            let record = self.submission_record(submission);
            let commit = sweep(submission, record, &self.config);
            self.send_step(submission, commit);
        }
    }

    fn forget_submission(&mut self, submission: u64, now: Millis) {
        if self.may_create(now) {
            let mut commit = Commit::default();
            commit.apply.push(Apply::delete(submission_key(submission)));
            self.send_step(submission, commit);
        }
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
        if !self.leader.bulk_creation.is_reading() {
            return;
        }
        let read = match (answer, self.mirror.submissions.get(&number)) {
            (Ok(Some(read)), Some((record, _))) => {
                let (_, first) = record.chunk;
                ChunkRead::Found(ChunkJobs::new(number, chunk, first, read))
            }
            (Ok(None), _) => {
                tracing::error!(number, chunk, "a chunk of a submission is missing");
                ChunkRead::Missing
            }
            (Ok(Some(_)), None) | (Err(()), _) => ChunkRead::Failed,
        };
        self.leader.bulk_creation.chunk_read(read, now);
        self.create(now);
    }

    /// Takes how a step came out.
    pub(crate) fn bulk_creation_committed(&mut self, outcome: Outcome, now: Millis) {
        self.leader.bulk_creation.stage = Stage::Idle;
        if matches!(outcome, Outcome::Applied(_)) {
            self.leader.dirty = true;
            for shard in &mut self.shards {
                shard.dirty = true;
            }
        } else {
            let retry_after = now + self.jitter(100.0, 400.0);
            self.leader.bulk_creation.retry_after = retry_after;
        }
    }

    /// A submission as its user sees it.
    pub fn submission_view(&self, number: u64) -> Option<SubmissionView> {
        let record = &self.mirror.submissions.get(&number)?.0;
        let (mut queued, mut running) = (0, 0);
        for &job in self.mirror.open.range(record.block()).map(|open| open.0) {
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
