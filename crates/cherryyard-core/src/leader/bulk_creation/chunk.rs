//! A chunk of a submission, from which jobs are created.

use cherryyard_wire::condor::{Chunk, Template};
use cherryyard_wire::record::job_hash;

/// A job that a chunk describes.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChunkJob {
    /// Number of the job.
    pub(super) job: u64,
    /// Index of the job's template in the chunk.
    pub(super) template: u32,
    pub(super) task_count: u32,
}

/// The jobs of a chunk.
#[derive(Debug)]
pub(super) struct ChunkJobs {
    pub(super) submission: u64,
    chunk: u32,
    templates: Vec<Template>,
    /// Jobs in the order of their hashes. Neighbours are stored in the same bucket, so one write
    /// creates several of them.
    pub(super) jobs: Vec<ChunkJob>,
}

impl ChunkJobs {
    /// Expands a chunk into its jobs, numbered from `first` on.
    pub(super) fn new(submission: u64, chunk: u32, first: u64, read: Chunk) -> Self {
        let mut jobs = Vec::new();
        let mut job = first;
        for (template, task_count, count) in read.runs {
            for _ in 0..count {
                jobs.push(ChunkJob {
                    job,
                    template,
                    task_count,
                });
                job += 1;
            }
        }
        jobs.sort_by_cached_key(|chunk_job| job_hash(chunk_job.job));
        Self {
            submission,
            chunk,
            templates: read.templates,
            jobs,
        }
    }

    /// Returns whether this is the given chunk of the given submission.
    pub(super) fn is_of(&self, submission: u64, chunk: u32) -> bool {
        self.submission == submission && self.chunk == chunk
    }

    /// Returns the jobs after the first `created` ones.
    pub(super) fn remaining(&self, created: u64) -> &[ChunkJob] {
        self.jobs.get(created as usize..).unwrap_or_default()
    }

    pub(super) fn template(&self, job: &ChunkJob) -> Option<&Template> {
        self.templates.get(job.template as usize)
    }
}
