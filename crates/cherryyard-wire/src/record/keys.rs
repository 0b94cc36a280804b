//! Keys of the records in the state service.
//!
//! All keys that a mirror watches start with [`PREFIX`], so one watch over one prefix sees
//! them all.

use crate::job_id::{job_id, job_number};

/// Start of every key.
pub const PREFIX: &str = "c/";
/// The leader's lease.
pub const LEADER_KEY: &str = "c/lead";
/// The machine types, for a start while the cloud is down.
pub const MACHINE_TYPES_KEY: &str = "c/kinds";

/// Operators' own attributes of machines.
pub const ATTRIBUTES: &str = "c/attributes";
/// Ids handed out to submissions of many jobs.
pub const IDS: &str = "c/ids";
/// Which formats of records are in use; absent: the first.
pub const FORMAT: &str = "c/format";
/// How far the history of jobs that are over goes.
pub const PACKED: &str = "c/packed";

/// Key of a page of new jobs. Their order is that of the keys.
pub fn admission_log_key(page: u64) -> String {
    format!("c/new/{page:016x}")
}

/// Key of the bucket of jobs whose hashes begin at `from`. It holds those up to
/// the next bucket's.
pub fn bucket_key(from: u64) -> String {
    format!("c/jobs/{from:016x}")
}

/// Where a job stands among the buckets.
pub fn job_hash(job: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&job.to_be_bytes())
}

/// Key of shard `shard`'s lease.
pub fn shard_key(shard: usize) -> String {
    format!("c/part/{shard}")
}

/// Key of a job.
pub fn job_key(job: u64) -> String {
    format!("c/job/{}", job_id(job))
}

/// Key of one page of a shard's assignments.
pub fn assignments_key(shard: usize, page: u32) -> String {
    format!("c/mark/{shard}/{page}")
}

/// Key of what shard `shard` may use of team `team`'s limit.
pub fn grant_key(team: usize, shard: usize) -> String {
    format!("c/grant/{team}/{shard}")
}

/// Key of what is known of the images in shard `shard`.
pub fn images_key(shard: usize) -> String {
    format!("c/images/{shard}")
}

/// A parsed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// The lease on leadership.
    Leader,
    /// The machine types.
    MachineTypes,
    /// Operators' own attributes of machines.
    Attributes,
    /// Ids handed out to bulk submissions.
    Ids,
    /// A bulk submission, by its number.
    Submission(u64),
    /// The lease on a shard.
    Shard(usize),
    /// The images in a shard.
    Images(usize),
    /// A job, by its number.
    Job(u64),
    /// A bucket of jobs, by the first hash that it holds.
    Bucket(u64),
    /// A page of the admission log.
    AdmissionPage(u64),
    /// The formats of records in use.
    Format,
    /// How far the history goes.
    Packed,
    /// A page of a shard's assignments.
    Assignment {
        /// The shard.
        shard: usize,
        /// The page's number.
        page: u32,
    },
    /// What a shard may use of a team's limit.
    Grant {
        /// The team, by its index in the settings.
        team: usize,
        /// The shard.
        shard: usize,
    },
}

/// Reads a number of 16 hexadecimal digits.
fn hex(digits: &str) -> Option<u64> {
    if digits.len() != 16 {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

impl Key {
    /// Reads a key; `None` for one that this version does not know.
    pub fn parse(key: &str) -> Option<Self> {
        match key {
            LEADER_KEY => return Some(Self::Leader),
            MACHINE_TYPES_KEY => return Some(Self::MachineTypes),
            ATTRIBUTES => return Some(Self::Attributes),
            IDS => return Some(Self::Ids),
            FORMAT => return Some(Self::Format),
            PACKED => return Some(Self::Packed),
            _ => {}
        }
        let mut words = key.strip_prefix(PREFIX)?.split('/');
        let parsed = match words.next()? {
            "part" => Self::Shard(words.next()?.parse().ok()?),
            "images" => Self::Images(words.next()?.parse().ok()?),
            "job" => Self::Job(job_number(words.next()?)?),
            "jobs" => Self::Bucket(hex(words.next()?)?),
            "new" => Self::AdmissionPage(hex(words.next()?)?),
            "sub" => Self::Submission(hex(words.next()?)?),
            "mark" => Self::Assignment {
                shard: words.next()?.parse().ok()?,
                page: words.next()?.parse().ok()?,
            },
            "grant" => Self::Grant {
                team: words.next()?.parse().ok()?,
                shard: words.next()?.parse().ok()?,
            },
            _ => return None,
        };
        words.next().is_none().then_some(parsed)
    }
}
