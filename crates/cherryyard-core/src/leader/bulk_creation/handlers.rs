//! The controller's steps of bulk creation.

use super::chunk::{ChunkJob, ChunkJobs};
use super::transactions::{
    MaybeRecord, chunk_deletion, jobs_within_limit, record_after, records_that_fit,
    submission_write,
};
use super::{ChunkRead, NextStep, PendingStep, RETRY_MS, Stage, most_urgent};
use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use cherryyard_wire::condor::{
    Chunk, PhaseEvent, SubmissionRecord, SubmissionView, submission_key,
};
use cherryyard_wire::job::job_id;
use cherryyard_wire::record::{JobOutcome, Key, job_hash};
use cherryyard_wire::state::{Change, Commit};

/// Number of open jobs at which creation waits for some to finish: a submission takes little
/// memory, open jobs do not.
const MAX_OPEN_JOBS: usize = 20_000;
/// Largest number of a removed submission's open jobs that one step considers.
const CANCEL_BATCH: usize = 5000;
/// Event-loop lag beyond which no step is made.
const MAX_LAG_MS: f64 = 300.0;

impl Controller {
    /// Makes one step for the submissions. At most one read or transaction is pending at a time.
    pub(crate) fn advance_bulk_creation(&mut self, now: Millis) {
        if self.mirror.submissions.is_empty() {
            return;
        }
        if !self.leader.leads(&self.mirror) {
            self.leader.bulk_creation.stop();
            return;
        }
        if !self.leader.bulk_creation.is_due(now)
            || !self.state_fresh(now)
            || self.lag.current(now) > MAX_LAG_MS
        {
            return;
        }
        let Some(PendingStep {
            step, submission, ..
        }) = most_urgent(&self.mirror, now + self.wall_offset)
        else {
            self.leader.bulk_creation.searched_at = now;
            return;
        };
        match step {
            NextStep::Cancel => self.cancel_next_jobs(submission, now),
            NextStep::Create => self.create_next_jobs(submission, now),
            NextStep::Abandon => self.change_phase(submission, PhaseEvent::Abandoned),
            NextStep::DeleteChunks => self.delete_chunks(submission, now),
            NextStep::DeleteRecord => self.delete_submission_record(submission, now),
        }
    }

    /// Sends a step, which is a transaction that changes a submission's record.
    fn send_step(&mut self, submission: u64, mut commit: Commit) {
        self.mirror.require(&mut commit, Key::Leader);
        self.mirror
            .require(&mut commit, Key::Submission(submission));
        let spent = commit.changes.len() as f64;
        self.leader.bulk_creation.stage = Stage::Writing;
        self.leader.bulk_creation.write_budget.spend(spent);
        self.user_write_budget.spend(spent);
        self.effects
            .push(Effect::Commit(Ticket::BulkCreation, commit));
    }

    /// Sends a step, or tries again later if none could be made: the buckets have not been read,
    /// or a record is too large for a transaction (such a submission is refused when it arrives).
    fn send_or_retry(&mut self, submission: u64, commit: Option<Commit>, now: Millis) {
        match commit {
            Some(commit) => self.send_step(submission, commit),
            None => self.leader.bulk_creation.retry_after = now + RETRY_MS,
        }
    }

    fn submission_record(&self, submission: u64) -> SubmissionRecord {
        self.mirror.submissions[&submission].0.clone()
    }

    fn change_phase(&mut self, submission: u64, event: PhaseEvent) {
        let mut record = self.submission_record(submission);
        record.phase = record.phase.after(event);
        tracing::info!(name = %record.name, phase = ?record.phase, "submission phase changed");
        self.send_step(submission, submission_write(submission, &record));
    }

    /// Returns whether creation may write now, in addition to users' other writes.
    fn may_create(&mut self, now: Millis) -> bool {
        self.set_user_rate(now);
        let has_spare =
            self.user_write_budget.tokens(now) >= self.config.user_writes_per_s.max(1.5);
        has_spare || self.leader.bulk_creation.write_budget.tokens(now) >= 1.0
    }

    /// Creates a submission's next jobs, or reads the chunk that describes them.
    fn create_next_jobs(&mut self, submission: u64, now: Millis) {
        let record = self.submission_record(submission);
        let (chunk, _) = record.chunk;
        let bulk_creation = &mut self.leader.bulk_creation;
        let Some(jobs) = bulk_creation.take_chunk(submission, chunk) else {
            bulk_creation.stage = Stage::Reading;
            self.effects.push(Effect::ReadChunk(submission, chunk));
            return;
        };
        if self.may_create(now) && self.mirror.open.len() < MAX_OPEN_JOBS {
            self.create_from_chunk(&jobs, &record, now);
        }
        self.leader.bulk_creation.chunk = Some(jobs);
    }

    fn create_from_chunk(&mut self, chunk: &ChunkJobs, record: &SubmissionRecord, now: Millis) {
        let remaining = chunk.remaining(record.created_in_chunk);
        let numbers = remaining.iter().map(|chunk_job| chunk_job.job);
        let count = jobs_within_limit(numbers, &self.mirror, &self.config);
        let records: Vec<MaybeRecord> = remaining[..count]
            .iter()
            .map(|chunk_job| self.new_record(chunk, chunk_job, record.started_at_ms, now))
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

    /// Returns the record of a job that a chunk describes, with the job divided, or none if the
    /// job cannot be created. `at` is the time at which its submission arrived.
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
        // Blocks of ids are allocated only once, and only if none of their ids is in use.
        let Some(mut open) = new.filter(|_| self.mirror.status(job).is_none()) else {
            tracing::error!(job, "a submission's job cannot be created");
            return None;
        };
        self.divide_job(&mut open, now);
        Some((job, open.record()))
    }

    /// Cancels some of a removed submission's jobs, those with assigned tasks first.
    fn cancel_next_jobs(&mut self, submission: u64, now: Millis) {
        let record = self.submission_record(submission);
        let open = self.mirror.open.range(record.block());
        let mut jobs: Vec<u64> = open.map(|(&job, _)| job).take(CANCEL_BATCH).collect();
        if jobs.is_empty() {
            self.change_phase(submission, PhaseEvent::AllJobsEnded);
            return;
        }
        // Like every cancellation, this step takes precedence over writes that can wait and may
        // overdraw the budget. It consists of many writes, so the overdraft is limited.
        if self.user_write_budget.tokens(now) <= -self.user_write_budget.overdraft() {
            return;
        }
        jobs.sort_by_cached_key(|&job| (self.mirror.assigned(job) == 0, job_hash(job)));
        let count = jobs_within_limit(jobs.iter().copied(), &self.mirror, &self.config);
        let ended = |&job: &u64| {
            Some((
                job,
                self.mirror.open.get(&job)?.ended(JobOutcome::Cancelled),
            ))
        };
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

    fn delete_chunks(&mut self, submission: u64, now: Millis) {
        if self.may_create(now) {
            let record = self.submission_record(submission);
            let commit = chunk_deletion(submission, record, &self.config);
            self.send_step(submission, commit);
        }
    }

    fn delete_submission_record(&mut self, submission: u64, now: Millis) {
        if self.may_create(now) {
            let mut commit = Commit::default();
            commit
                .changes
                .push(Change::delete(submission_key(submission)));
            self.send_step(submission, commit);
        }
    }

    /// Handles the answer to a read of a chunk, which is none if the chunk does not exist.
    pub fn chunk_read(
        &mut self,
        number: u64,
        chunk: u32,
        answer: Result<Option<Chunk>, ()>,
        now: Millis,
    ) {
        self.advance_clock(now);
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
        self.advance_bulk_creation(now);
    }

    /// Handles the outcome of a step.
    pub(crate) fn bulk_creation_committed(&mut self, outcome: Outcome, now: Millis) {
        self.leader.bulk_creation.stage = Stage::Idle;
        if matches!(outcome, Outcome::Applied(_)) {
            self.leader.needs_cycle = true;
            for shard in &mut self.shards {
                shard.needs_cycle = true;
            }
        } else {
            let retry_after = now + self.jitter(100.0, 400.0);
            self.leader.bulk_creation.retry_after = retry_after;
        }
    }

    /// Returns a submission as shown to its user.
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
            chunks: record.received_chunks,
        })
    }
}
