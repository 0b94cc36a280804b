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
            job_count: self.jobs.len() as u32,
            base64: BASE64.encode(&bytes),
        }
    }

    /// Reads a record; the error says what is wrong.
    pub fn of_record(record: &LeafRecord) -> Result<Self, &'static str> {
        let bytes = BASE64.decode(&record.base64).map_err(|_| "b: not base64")?;
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
        let mut jobs = Vec::with_capacity(record.job_count.min(20_000) as usize);
        let mut before = 0u64;
        for i in 0..record.job_count {
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn past() -> impl Strategy<Value = Past> {
        (0..=LAST, any::<bool>(), 0u32..100_000, 20_000u32..20_400).prop_map(
            |(job, over, done, day)| Past {
                job,
                end: if over { End::Done } else { End::Cancelled },
                done,
                day,
            },
        )
    }

    proptest! {
        /// What is written is read again, whatever the ids; the size is never
        /// more than was reckoned; folding loses nothing and keeps the order.
        #[test]
        fn leaves_come_back(
            old in prop::collection::vec(past(), 0..300),
            new in prop::collection::vec(past(), 1..300),
            most in 200usize..4000,
        ) {
            let leaf = Leaf::of(old.clone());
            let record = leaf.record();
            prop_assert_eq!(Leaf::of_record(&record).unwrap(), leaf.clone());
            let json = record.base64.len() + FRAME;
            prop_assert!(json <= Leaf::size(leaf.jobs()) + 4);
            let new = Leaf::of(new);
            let pieces = fold(&leaf, new.jobs(), 0, most);
            let count = new.jobs().iter().filter(|p| leaf.find(p.job).is_none()).count();
            let all: Vec<Past> = pieces.iter().flat_map(|p| p.jobs().to_vec()).collect();
            if count > 0 {
                prop_assert_eq!(all.len(), leaf.jobs().len() + count);
                prop_assert!(all.is_sorted_by_key(|p| p.job));
                for p in &pieces {
                    prop_assert!(Leaf::size(p.jobs()) <= most || p.jobs().len() == 1);
                }
                for p in &old {
                    prop_assert!(pieces.iter().any(|leaf| leaf.find(p.job).is_some()));
                }
            }
            // Folded again, nothing changes: a fold cut off may be repeated.
            for piece in &pieces {
                let part: Vec<Past> = new.jobs().iter().filter(|p| piece.find(p.job).is_some()).copied().collect();
                prop_assert!(fold(piece, &part, 0, most).is_empty());
            }
        }

        /// No record that is damaged does more than fail.
        #[test]
        fn damaged_records_are_refused(n in 0u32..5000, b in "[A-Za-z0-9+/]{0,200}") {
            let _ = Leaf::of_record(&LeafRecord { job_count: n, base64: b });
        }
    }

    /// Dense ids take a few bytes, sparse ones not many more.
    #[test]
    fn bytes_a_job() {
        let job = |i: u64, gap: u64| Past {
            job: i * gap,
            end: End::Done,
            done: 50,
            day: 20_423,
        };
        for (gap, most) in [(1, 4.1), (1_000_000_000_000, 11.0)] {
            let leaf = Leaf::of((0..400).map(|i| job(i, gap)).collect());
            let bytes = leaf.record().base64.len() as f64 / 400.0;
            assert!(bytes < most, "{gap}: {bytes}");
        }
        let old = fold(&Leaf::of(vec![job(1, 1)]), &[job(2, 1)], 20_424, 1000);
        assert_eq!(old[0].jobs().len(), 1, "what is too old is dropped");
    }
}
