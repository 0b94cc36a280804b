//! Leaves: sorted jobs in a few bytes each.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use cherryyard_wire::history::{LAST, LeafRecord};
use cherryyard_wire::record::End;
use integer_encoding::VarInt;

/// A job that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Past {
    /// Its number.
    pub job: u64,
    /// How it ended.
    pub end: End,
    /// How many tasks were done.
    pub done: u32,
    /// The day on which it was packed, counted from 1970.
    pub day: u32,
}

/// The jobs of one leaf, sorted by number, each once.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leaf {
    jobs: Vec<Past>,
}

/// What stands before a leaf's jobs: the version of their encoding.
const VERSION: u8 = 1;
/// Bytes of a leaf's record beside its jobs.
const FRAME: usize = 40;

impl Leaf {
    /// A leaf of these jobs; of two of one number the first counts.
    pub fn of(mut jobs: Vec<Past>) -> Self {
        jobs.sort_by_key(|p| p.job);
        jobs.dedup_by_key(|p| p.job);
        Self { jobs }
    }

    /// The jobs, in order.
    pub fn jobs(&self) -> &[Past] {
        &self.jobs
    }

    /// How the job ended, if it is here.
    pub fn find(&self, job: u64) -> Option<&Past> {
        let at = self.jobs.binary_search_by_key(&job, |p| p.job).ok()?;
        self.jobs.get(at)
    }

    /// Drops the jobs up to this number.
    pub(crate) fn drop_up_to(&mut self, job: u64) {
        self.jobs.retain(|p| p.job > job);
    }

    /// The record: for each job the gap to the one before, the tasks done with
    /// the end as lowest bit, and the days since the first one's, as varints.
    /// Dense ids take three bytes a job, ids of 18 digits some eight.
    pub fn record(&self) -> LeafRecord {
        let mut bytes = vec![VERSION];
        let base = self.jobs.iter().map(|p| p.day).min().unwrap_or(0);
        let mut put = |n: u64| bytes.extend(n.encode_var_vec());
        put(base.into());
        let mut before = 0;
        for p in &self.jobs {
            put(p.job - before);
            put(u64::from(p.done) << 1 | u64::from(p.end == End::Cancelled));
            put(u64::from(p.day - base));
            before = p.job;
        }
        LeafRecord {
            n: self.jobs.len() as u32,
            b: BASE64.encode(&bytes),
        }
    }

    /// Reads a record; the error says what is wrong.
    pub fn of_record(record: &LeafRecord) -> Result<Self, &'static str> {
        let bytes = BASE64.decode(&record.b).map_err(|_| "b: not base64")?;
        let (&version, mut rest) = bytes.split_first().ok_or("b: empty")?;
        if version != VERSION {
            return Err("b: written by a later version");
        }
        let mut take = || -> Result<u64, &'static str> {
            let (n, size) = u64::decode_var(rest).ok_or("b: cut off")?;
            rest = rest.get(size..).ok_or("b: cut off")?;
            Ok(n)
        };
        let small = |n: u64| u32::try_from(n).map_err(|_| "b: a number is too large");
        let base = small(take()?)?;
        let mut jobs = Vec::with_capacity(record.n.min(20_000) as usize);
        let mut before = 0u64;
        for i in 0..record.n {
            let gap = take()?;
            let job = before.checked_add(gap).filter(|&job| job <= LAST);
            let job = job.ok_or("b: an id is too large")?;
            if gap == 0 && i > 0 {
                return Err("b: ids do not rise");
            }
            let word = take()?;
            let end = if word & 1 == 1 {
                End::Cancelled
            } else {
                End::Done
            };
            let day = base.checked_add(small(take()?)?);
            jobs.push(Past {
                job,
                end,
                done: small(word >> 1)?,
                day: day.ok_or("b: a day is too large")?,
            });
            before = job;
        }
        Ok(Self { jobs })
    }

    /// Most bytes of the record's JSON.
    fn size(jobs: &[Past]) -> usize {
        let base = jobs.iter().map(|p| p.day).min().unwrap_or(0);
        let mut before = 0;
        let mut bytes = 1 + u64::from(base).required_space();
        for p in jobs {
            bytes += (p.job - before).required_space()
                + (u64::from(p.done) << 1).required_space()
                + u64::from(p.day - base).required_space();
            before = p.job;
        }
        bytes.div_ceil(3) * 4 + FRAME
    }

    /// Divides a leaf into as few as fit into `most` bytes each, of about the same
    /// size; a leaf of a single job is never divided.
    fn divide(self, most: usize) -> Vec<Self> {
        let size = Self::size(&self.jobs);
        if size <= most || self.jobs.len() < 2 {
            return vec![self];
        }
        let pieces = size.div_ceil(most.max(1)).max(2).min(self.jobs.len());
        let each = self.jobs.len().div_ceil(pieces);
        let chunks = self.jobs.chunks(each);
        chunks
            .flat_map(|jobs| {
                Self {
                    jobs: jobs.to_vec(),
                }
                .divide(most)
            })
            .collect()
    }
}

/// Adds jobs to a leaf; what is there already stays as it is, and what was packed
/// before `oldest` (a day) is dropped. Returns the leaves, of at most `most` bytes
/// each; none if nothing changes.
pub fn fold(leaf: &Leaf, more: &[Past], oldest: u32, most: usize) -> Vec<Leaf> {
    let new: Vec<Past> = more
        .iter()
        .filter(|p| leaf.find(p.job).is_none())
        .copied()
        .collect();
    if new.is_empty() {
        return Vec::new();
    }
    let kept = leaf.jobs.iter().filter(|p| p.day >= oldest).copied();
    let all = Leaf::of(kept.chain(new).collect());
    all.divide(most)
}

#[cfg(test)]
mod tests;
