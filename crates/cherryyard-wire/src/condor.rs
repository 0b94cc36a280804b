//! Submissions of many jobs at once: what clients send, and the records that they
//! become.
//!
//! A submission has a name and comes in chunks, each a request of its own that is
//! durable before it is answered. With the last one all of its jobs are accepted, or
//! none is. They get a block of ids of their own, and are created from the chunks at
//! the pace of the write budget, by whoever leads.

use crate::error::{FieldProblem, InvalidField, ReadError};
use crate::job::JobSpec;
pub use crate::limits::{MAX_CHUNKS, MAX_JOBS, NO_ID};
use crate::rules::Rules;
use serde::{Deserialize, Serialize};

/// Ids from here on are for submissions' jobs; users cannot choose them.
pub const FIRST_ID: u64 = 800_000_000_000_000_000;
/// Ids end before this.
pub const END_ID: u64 = 1_000_000_000_000_000_000;

/// Whether an id is one that only submissions get.
pub fn is_reserved(job: u64) -> bool {
    job >= FIRST_ID
}

/// A submission's number, from its name.
pub fn submission_number(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

/// Key of a submission.
pub fn submission_key(number: u64) -> String {
    format!("c/sub/{number:016x}")
}

/// Key of one of its chunks. Nobody watches these: they are read one at a time by
/// whoever creates the jobs.
pub fn chunk_key(number: u64, chunk: u32) -> String {
    format!("s/{number:016x}/{chunk:04}")
}

/// What a submission's jobs have in common; `task_count` and `id` are each job's own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Template {
    /// The job.
    pub spec: JobSpec,
    /// Where it may run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<Rules>,
}

/// Some of a submission's jobs, in their order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Chunk {
    /// Templates that they use.
    #[serde(rename = "t")]
    pub templates: Vec<Template>,
    /// Runs of equal jobs: the template's index, how many tasks each has, and how many
    /// jobs there are.
    #[serde(rename = "r")]
    pub runs: Vec<(u32, u32, u32)>,
}

impl Chunk {
    /// How many jobs it stands for.
    pub fn jobs(&self) -> u64 {
        self.runs.iter().map(|run| u64::from(run.2)).sum()
    }

    /// Checks it; the error names the field.
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
    /// Checks it; the error names the field.
    fn check(&self) -> Result<(), InvalidField> {
        self.spec.check()?;
        if self.spec.id != NO_ID {
            return Err(InvalidField::new("id", FieldProblem::NotThePlaceholderId));
        }
        self.rules.iter().try_for_each(Rules::check)
    }
}

/// A chunk as a client sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChunkPost {
    /// The submission's name: what is sent again under it is not queued again.
    pub name: String,
    /// Which chunk this is, from 0.
    pub chunk: u32,
    /// How many there are.
    pub of: u32,
    /// The chunk.
    #[serde(flatten)]
    pub jobs: Chunk,
}

impl ChunkPost {
    /// Reads and checks one; the error names the field.
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

/// Checks a submission's name.
pub fn check_name(name: &str) -> Result<(), InvalidField> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    if name.is_empty() || name.len() > 64 || !name.bytes().all(plain) {
        return Err(InvalidField::new("name", FieldProblem::NotASubmissionName));
    }
    Ok(())
}

/// Where a submission stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Its chunks are coming.
    Receiving,
    /// Accepted: its jobs are being created.
    Creating,
    /// All of its jobs have been created.
    Created,
    /// It is being removed: those of its jobs that are open are cancelled.
    Cancelling,
    /// It has been removed.
    Cancelled,
    /// It was never accepted, and goes.
    Dropped,
}

/// What moves a submission from one phase to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PhaseEvent {
    /// Its last chunk has come, and all of its jobs can run.
    Accepted,
    /// One of its jobs can never run, or its chunks have stopped coming.
    GivenUp,
    /// Its last job has been created.
    LastCreated,
    /// Its user has removed it.
    Removed,
    /// None of its jobs is open any more.
    NoneOpen,
}

impl Phase {
    /// The one place where a submission's phase changes.
    pub fn after(self, event: PhaseEvent) -> Self {
        use Phase::*;
        match (self, event) {
            (Receiving, PhaseEvent::Accepted) => Creating,
            (Receiving, PhaseEvent::GivenUp | PhaseEvent::Removed) => Dropped,
            (Creating, PhaseEvent::LastCreated) => Created,
            (Creating | Created, PhaseEvent::Removed) => Cancelling,
            (Cancelling, PhaseEvent::NoneOpen) => Cancelled,
            (same, _) => same,
        }
    }

    /// Whether its chunks are of no use any more.
    pub fn chunks_may_go(self) -> bool {
        matches!(self, Self::Created | Self::Cancelled | Self::Dropped)
    }
}

/// A submission's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionRecord {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub phase: Phase,
    /// Time of day at its first chunk, in milliseconds.
    pub at: u64,
    /// How many chunks it has, and how many have come.
    pub of: u32,
    /// How many have come.
    pub chunks: u32,
    /// How many jobs they stand for.
    pub jobs: u64,
    /// The number of its first job, once it is accepted.
    #[serde(default)]
    pub first: u64,
    /// The chunk that jobs are created from, and the number of the first of its jobs.
    #[serde(default)]
    pub chunk: (u32, u64),
    /// How many of that chunk's jobs have been created, in the order of their hashes.
    #[serde(default)]
    pub next: u64,
    /// How many of its chunks have been deleted.
    #[serde(default)]
    pub swept: u32,
}

impl SubmissionRecord {
    /// Numbers of its jobs; none before it is accepted.
    pub fn block(&self) -> std::ops::Range<u64> {
        if self.first == 0 {
            return 0..0;
        }
        self.first..self.first + self.jobs
    }

    /// How many of its jobs have been created.
    pub fn created(&self) -> u64 {
        if self.phase == Phase::Created {
            return self.jobs;
        }
        (self.chunk.1 + self.next).saturating_sub(self.first)
    }
}

/// Ids handed out to submissions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdsRecord {
    /// The next one.
    pub next: u64,
}

/// A submission as its user sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionView {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub phase: Phase,
    /// The id of its first job; the others follow.
    pub first: Option<String>,
    /// How many jobs it has.
    pub jobs: u64,
    /// How many of them have been created.
    pub created: u64,
    /// Of these, those of which no task runs.
    pub queued: u64,
    /// Those of which some task runs.
    pub running: u64,
    /// Those that are over.
    pub over: u64,
    /// How many chunks have come, for a client that goes on.
    pub chunks: u32,
}

/// What a client must know before it sends a submission, and what there is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmissionList {
    /// Most bytes of a chunk's JSON (`t` and `r`).
    pub chunk_bytes: usize,
    /// Submissions, the newest first.
    pub submissions: Vec<SubmissionView>,
}

#[cfg(test)]
mod tests;
