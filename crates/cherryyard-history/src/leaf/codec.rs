//! The stored form of leaves: a few bytes a job, as varints in base64.

use super::jobs::{FinishedJob, Leaf};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use cherryyard_wire::history::{LAST, LeafRecord};
use cherryyard_wire::record::End;
use integer_encoding::VarInt;

/// The version of the encoding, its first byte.
const VERSION: u8 = 1;
/// Bytes of a record's JSON beside its jobs.
pub(super) const FRAME: usize = 40;
/// Most jobs for which memory is reserved on the word of a record alone.
const MAX_RESERVED_JOBS: u32 = 20_000;

/// What is wrong with a leaf's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeafError {
    /// The jobs are not valid base64.
    #[error("b: not base64")]
    NotBase64,
    /// The jobs' bytes are missing.
    #[error("b: empty")]
    Empty,
    /// The encoding has a version that is not known here.
    #[error("b: written by a later version")]
    LaterVersion,
    /// The jobs' bytes end before the last job does.
    #[error("b: cut off")]
    CutOff,
    /// A number does not fit into its type.
    #[error("b: a number is too large")]
    NumberTooLarge,
    /// A job's number is beyond the largest possible one.
    #[error("b: an id is too large")]
    IdTooLarge,
    /// The jobs are not sorted, or one of them is there twice.
    #[error("b: ids do not rise")]
    IdsNotRising,
    /// A job's day does not fit into its type.
    #[error("b: a day is too large")]
    DayTooLarge,
}

impl Leaf {
    /// The stored record: the first day, then for each job the gap to the number before,
    /// the tasks done with the end as the lowest bit, and the days since the first day,
    /// all as varints. Dense numbers take three bytes a job, those of 18 digits some eight.
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
    /// What is wrong with a record that is damaged, or of a later version.
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
                .filter(|&job| job <= LAST)
                .ok_or(LeafError::IdTooLarge)?;
            if gap == 0 && index > 0 {
                return Err(LeafError::IdsNotRising);
            }
            let done_and_end = varints.next_u64()?;
            let day = first_day.checked_add(varints.next_u32()?);
            jobs.push(FinishedJob {
                job,
                end: if done_and_end & 1 == 1 {
                    End::Cancelled
                } else {
                    End::Done
                },
                done: narrow(done_and_end >> 1)?,
                day: day.ok_or(LeafError::DayTooLarge)?,
            });
            previous = job;
        }
        Ok(Self { jobs })
    }

    /// Most bytes that the JSON of these jobs' record may have.
    pub(super) fn size(jobs: &[FinishedJob]) -> usize {
        let first_day = first_day(jobs);
        let mut previous = 0;
        let mut bytes = 1 + u64::from(first_day).required_space();
        for finished in jobs {
            bytes += (finished.job - previous).required_space()
                + (u64::from(finished.done) << 1).required_space()
                + u64::from(finished.day - first_day).required_space();
            previous = finished.job;
        }
        bytes.div_ceil(3) * 4 + FRAME
    }
}

fn first_day(jobs: &[FinishedJob]) -> u32 {
    jobs.iter().map(|finished| finished.day).min().unwrap_or(0)
}

/// The tasks done, with the end as the lowest bit.
fn done_and_end(finished: &FinishedJob) -> u64 {
    u64::from(finished.done) << 1 | u64::from(finished.end == End::Cancelled)
}

fn narrow(number: u64) -> Result<u32, LeafError> {
    u32::try_from(number).map_err(|_| LeafError::NumberTooLarge)
}

/// Decodes varints one after another.
struct Varints<'a> {
    rest: &'a [u8],
}

impl Varints<'_> {
    fn next_u64(&mut self) -> Result<u64, LeafError> {
        let (number, size) = u64::decode_var(self.rest).ok_or(LeafError::CutOff)?;
        self.rest = self.rest.get(size..).ok_or(LeafError::CutOff)?;
        Ok(number)
    }

    fn next_u32(&mut self) -> Result<u32, LeafError> {
        narrow(self.next_u64()?)
    }
}
