//! Bulk submissions, which submit many jobs under one name: requests of the clients, and
//! records in the state service.
//!
//! A client sends a submission in chunks. Each chunk is a request of its own and durable
//! before the response. With the last chunk either all jobs are accepted or none. Accepted
//! jobs get a contiguous block of ids; the leader creates them from the chunks, as fast as
//! the write budget allows.

use crate::error::{FieldProblem, InvalidField, ReadError};
use crate::job::JobSpec;
pub use crate::limits::{MAX_CHUNKS, MAX_JOBS, NO_ID};
use crate::rules::Rules;
use serde::{Deserialize, Serialize};

/// First job number that is reserved for bulk submissions; users cannot choose it or a higher
/// one.
pub const FIRST_RESERVED_JOB: u64 = 800_000_000_000_000_000;
/// End (exclusive) of the job numbers: ids have at most 18 digits.
pub const END_OF_JOB_NUMBERS: u64 = 1_000_000_000_000_000_000;

/// Returns whether a job number is reserved for bulk submissions.
pub fn is_reserved(job: u64) -> bool {
    job >= FIRST_RESERVED_JOB
}

/// Returns the number of the submission with this name: a hash of the name.
pub fn submission_number(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Returns the key of a submission's record.
pub fn submission_key(number: u64) -> String {
    format!("c/sub/{number:016x}")
}

/// Returns the key of chunk `chunk` of submission `number`. Chunks are outside of the watched
/// prefix [`PREFIX`](crate::record::PREFIX): the leader reads them one at a time when it creates
/// the jobs.
pub fn chunk_key(number: u64, chunk: u32) -> String {
    format!("s/{number:016x}/{chunk:04}")
}

/// Fields that several jobs of a submission share: all but `task_count` and `id`, which each
/// job has of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Template {
    /// Job, with [`NO_ID`] as its id.
    pub spec: JobSpec,
    /// Rules on where the jobs may run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<Rules>,
}

/// Consecutive jobs of a submission.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Templates to which the runs refer.
    #[serde(rename = "t")]
    pub templates: Vec<Template>,
    /// Runs of equal jobs, as (index of the template, number of tasks of each job, number
    /// of jobs).
    #[serde(rename = "r")]
    pub runs: Vec<(u32, u32, u32)>,
}

impl Chunk {
    /// Returns the number of jobs of the chunk.
    pub fn jobs(&self) -> u64 {
        self.runs.iter().map(|run| u64::from(run.2)).sum()
    }

    /// Checks the chunk; the error names the field.
    pub fn check(&self) -> Result<(), InvalidField> {
        for (i, template) in self.templates.iter().enumerate() {
            template.check().map_err(|e| e.within(&format!("t[{i}]")))?;
        }
        for (i, run) in self.runs.iter().enumerate() {
            self.check_run(run)
                .map_err(|problem| InvalidField::new(format!("r[{i}]"), problem))?;
        }
        if self.runs.is_empty() || self.jobs() > MAX_JOBS {
            return Err(InvalidField::new("r", FieldProblem::JobCount));
        }
        Ok(())
    }

    fn check_run(&self, run: &(u32, u32, u32)) -> Result<(), FieldProblem> {
        let &(template, task_count, jobs) = run;
        if template as usize >= self.templates.len() {
            return Err(FieldProblem::NoSuchTemplate);
        }
        if task_count == 0 || task_count > crate::limits::MAX_TASKS {
            return Err(FieldProblem::RunTaskCount);
        }
        if jobs == 0 {
            return Err(FieldProblem::NoJobs);
        }
        Ok(())
    }
}

impl Template {
    /// Checks the template; the error names the field.
    fn check(&self) -> Result<(), InvalidField> {
        self.spec.check()?;
        if self.spec.id != NO_ID {
            return Err(InvalidField::new("id", FieldProblem::NotThePlaceholderId));
        }
        self.rules.iter().try_for_each(Rules::check)
    }
}

/// Request with a chunk, as a client sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkPost {
    /// Name of the submission. Chunks that are sent again under the same name are not queued
    /// a second time.
    pub name: String,
    /// Index of the chunk, from 0.
    pub chunk: u32,
    /// Number of chunks of the submission.
    pub of: u32,
    /// Jobs of the chunk.
    #[serde(flatten)]
    pub jobs: Chunk,
}

impl ChunkPost {
    /// Parses and checks a request; the error names the field.
    pub fn parse(body: &[u8]) -> Result<Self, ReadError> {
        let post: Self = crate::parse_object(body)?;
        check_name(&post.name)?;
        if post.of == 0 || post.of > MAX_CHUNKS || post.chunk >= post.of {
            return Err(InvalidField::new("chunk", FieldProblem::ChunkNumber).into());
        }
        post.jobs.check()?;
        Ok(post)
    }
}

/// Checks the name of a submission.
pub fn check_name(name: &str) -> Result<(), InvalidField> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    if name.is_empty() || name.len() > 64 || !name.bytes().all(plain) {
        return Err(InvalidField::new("name", FieldProblem::NotASubmissionName));
    }
    Ok(())
}

/// Phase of a submission's life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The submission's chunks are being received.
    Receiving,
    /// The submission is accepted, and its jobs are being created.
    Creating,
    /// All jobs of the submission have been created.
    Created,
    /// The submission is being removed: its open jobs are being cancelled.
    Cancelling,
    /// The submission has been removed: none of its jobs is open.
    Cancelled,
    /// The submission was not accepted, and its chunks and record are to be deleted.
    Dropped,
}

/// Event that moves a submission from one phase to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseEvent {
    /// The last chunk was received, and all jobs can run.
    Accepted,
    /// One of the jobs can never run, or no further chunks were received in time.
    Abandoned,
    /// The last job was created.
    LastCreated,
    /// The user removed the submission.
    Removed,
    /// None of the jobs is open any more.
    AllJobsEnded,
}

impl Phase {
    /// Returns the phase after `event`, the same one if the event does not apply. All changes
    /// of a submission's phase go through this function.
    pub fn after(self, event: PhaseEvent) -> Self {
        use Phase::*;
        match (self, event) {
            (Receiving, PhaseEvent::Accepted) => Creating,
            (Receiving, PhaseEvent::Abandoned | PhaseEvent::Removed) => Dropped,
            (Creating, PhaseEvent::LastCreated) => Created,
            (Creating | Created, PhaseEvent::Removed) => Cancelling,
            (Cancelling, PhaseEvent::AllJobsEnded) => Cancelled,
            (unchanged, _) => unchanged,
        }
    }

    /// Returns whether the submission's chunks are no longer needed and may be deleted.
    pub fn chunks_are_deletable(self) -> bool {
        matches!(self, Self::Created | Self::Cancelled | Self::Dropped)
    }
}

/// Record of a submission in the state service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// Name of the submission.
    pub name: String,
    /// Current phase.
    pub phase: Phase,
    /// Time at which the first chunk was received, in milliseconds since the Unix epoch.
    #[serde(rename = "at")]
    pub started_at_ms: u64,
    /// Number of chunks of the submission.
    #[serde(rename = "of")]
    pub chunk_count: u32,
    /// Number of chunks received so far.
    #[serde(rename = "chunks")]
    pub received_chunks: u32,
    /// Number of jobs in the chunks received so far.
    pub jobs: u64,
    /// Number of the first job; 0 before the submission is accepted.
    #[serde(default)]
    pub first: u64,
    /// Index of the chunk from which jobs are being created, and number of its first job.
    #[serde(default)]
    pub chunk: (u32, u64),
    /// Number of jobs of that chunk that have been created, in the order of their hashes
    /// ([`job_hash`](crate::record::job_hash)).
    #[serde(default, rename = "next")]
    pub created_in_chunk: u64,
    /// Number of chunks that have been deleted.
    #[serde(default, rename = "swept")]
    pub deleted_chunks: u32,
}

impl SubmissionRecord {
    /// Returns the range of the jobs' numbers; empty before the submission is accepted.
    pub fn block(&self) -> std::ops::Range<u64> {
        if self.first == 0 {
            return 0..0;
        }
        self.first..self.first + self.jobs
    }

    /// Returns the number of jobs that have been created.
    pub fn created(&self) -> u64 {
        if self.phase == Phase::Created {
            return self.jobs;
        }
        (self.chunk.1 + self.created_in_chunk).saturating_sub(self.first)
    }
}

/// Record of the ids that submissions have been given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdsRecord {
    /// Lowest job number that the next submission can be given; a number below
    /// [`FIRST_RESERVED_JOB`] counts as that.
    pub next: u64,
}

/// Status of a submission, as shown to its user.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionView {
    /// Name of the submission.
    pub name: String,
    /// Current phase.
    pub phase: Phase,
    /// Id of the first job; the other jobs have the ids that follow.
    pub first: Option<String>,
    /// Number of jobs.
    pub jobs: u64,
    /// Number of jobs that have been created.
    pub created: u64,
    /// Number of created jobs without a running task that are not over.
    pub queued: u64,
    /// Number of jobs with a running task.
    pub running: u64,
    /// Number of jobs that are over.
    pub over: u64,
    /// Number of chunks received, so that a client can resume after an interruption.
    pub chunks: u32,
}

/// Response with the limit that a client needs before it sends chunks, and the newest submissions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionList {
    /// Maximum size of the JSON of a chunk's jobs (fields `t` and `r`), in bytes.
    pub chunk_bytes: usize,
    /// Submissions, newest first.
    pub submissions: Vec<SubmissionView>,
}

#[cfg(test)]
mod tests;
