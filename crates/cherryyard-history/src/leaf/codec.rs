//! Encodes and decodes the stored form of leaves: a few bytes per job, as varints in
//! base64.

use super::jobs::{FinishedJob, Leaf};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use cherryyard_wire::history::{LeafRecord, MAX_JOB_NUMBER};
use cherryyard_wire::record::JobOutcome;
use integer_encoding::VarInt;

/// The version of the encoding, which is its first byte.
const VERSION: u8 = 1;
/// Bytes of a record's JSON other than its base64 text.
pub(super) const RECORD_OVERHEAD_BYTES: usize = 40;
/// Upper bound on the jobs for which a decoder reserves memory based on a record's own
/// count, which may be damaged.
const MAX_RESERVED_JOBS: u32 = 20_000;

/// Faults of a leaf's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeafError {
    /// The jobs are not valid base64.
    #[error("b: not base64")]
    NotBase64,
    /// The encoded bytes are empty: even the version is missing.
    #[error("b: empty")]
    Empty,
    /// The version of the encoding is unknown to this program: a later one wrote the record.
    #[error("b: written by a later version")]
    LaterVersion,
    /// The encoded bytes end before the last job does.
    #[error("b: truncated")]
    Truncated,
    /// A number does not fit into its type.
    #[error("b: a number is too large")]
    NumberTooLarge,
    /// A job's number exceeds the largest possible one.
    #[error("b: a job id is too large")]
    IdTooLarge,
    /// The jobs are not sorted, or one of them occurs twice.
    #[error("b: job ids are not in increasing order")]
    IdsNotIncreasing,
    /// A job's day does not fit into its type.
    #[error("b: a day is too large")]
    DayTooLarge,
}

impl Leaf {
    /// Encodes the leaf as a stored record: the first day, then for each job the difference
    /// to the job number before, the number of done tasks with the end in the lowest bit,
    /// and the days since the first day, all as varints. Dense job numbers take three bytes
    /// per job, sparse ones of 18 digits about eight.
    pub fn to_record(&self) -> LeafRecord {
        let mut bytes = vec![VERSION];
        let mut put = |number: u64| bytes.extend(number.encode_var_vec());
        let first_day = first_day(&self.jobs);
        put(first_day.into());
        let mut previous = 0;
        for finished in &self.jobs {
            put(finished.job - previous);
            put(done_and_end(finished));
            put(u64::from(finished.day - first_day));
            previous = finished.job;
        }
        LeafRecord {
            job_count: self.jobs.len() as u32,
            base64: BASE64.encode(&bytes),
        }
    }

    /// Decodes a stored record.
    ///
    /// # Errors
    ///
    /// Returns the fault of a record that is damaged, or written by a later version.
    pub fn from_record(record: &LeafRecord) -> Result<Self, LeafError> {
        let bytes = BASE64
            .decode(&record.base64)
            .map_err(|_| LeafError::NotBase64)?;
        let (&version, encoded) = bytes.split_first().ok_or(LeafError::Empty)?;
        if version != VERSION {
            return Err(LeafError::LaterVersion);
        }
        let mut varints = Varints { rest: encoded };
        let first_day = varints.next_u32()?;
        let mut jobs = Vec::with_capacity(record.job_count.min(MAX_RESERVED_JOBS) as usize);
        let mut previous = 0u64;
        for index in 0..record.job_count {
            let gap = varints.next_u64()?;
            let job = previous
                .checked_add(gap)
                .filter(|&job| job <= MAX_JOB_NUMBER)
                .ok_or(LeafError::IdTooLarge)?;
            if gap == 0 && index > 0 {
                return Err(LeafError::IdsNotIncreasing);
            }
            let done_and_end = varints.next_u64()?;
            let day = first_day.checked_add(varints.next_u32()?);
            jobs.push(FinishedJob {
                job,
                end: if done_and_end & 1 == 1 {
                    JobOutcome::Cancelled
                } else {
                    JobOutcome::Done
                },
                done: to_u32(done_and_end >> 1)?,
                day: day.ok_or(LeafError::DayTooLarge)?,
            });
            previous = job;
        }
        Ok(Self { jobs })
    }

    /// Returns an upper bound on the bytes of the JSON of these jobs' record.
    pub(super) fn max_json_bytes(jobs: &[FinishedJob]) -> usize {
        let first_day = first_day(jobs);
        let mut previous = 0;
        let mut bytes = 1 + u64::from(first_day).required_space();
        for finished in jobs {
            bytes += (finished.job - previous).required_space()
                + (u64::from(finished.done) << 1).required_space()
                + u64::from(finished.day - first_day).required_space();
            previous = finished.job;
        }
        bytes.div_ceil(3) * 4 + RECORD_OVERHEAD_BYTES
    }
}

fn first_day(jobs: &[FinishedJob]) -> u32 {
    jobs.iter().map(|finished| finished.day).min().unwrap_or(0)
}

/// Returns the number of done tasks, shifted left by one bit, with the end in the lowest
/// bit.
fn done_and_end(finished: &FinishedJob) -> u64 {
    u64::from(finished.done) << 1 | u64::from(finished.end == JobOutcome::Cancelled)
}

fn to_u32(number: u64) -> Result<u32, LeafError> {
    u32::try_from(number).map_err(|_| LeafError::NumberTooLarge)
}

/// Decodes consecutive varints.
struct Varints<'a> {
    rest: &'a [u8],
}

impl Varints<'_> {
    fn next_u64(&mut self) -> Result<u64, LeafError> {
        let (number, size) = u64::decode_var(self.rest).ok_or(LeafError::Truncated)?;
        self.rest = self.rest.get(size..).ok_or(LeafError::Truncated)?;
        Ok(number)
    }

    fn next_u32(&mut self) -> Result<u32, LeafError> {
        to_u32(self.next_u64()?)
    }
}
