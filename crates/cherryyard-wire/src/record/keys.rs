//! Keys of the records in the state service.
//!
//! All keys that a controller's mirror watches start with [`PREFIX`], so a single watch of this
//! prefix reports the changes of all of them.

use crate::job_id::{job_id, job_number};

/// Prefix of every key in this module.
pub const PREFIX: &str = "c/";
/// Key of the lease on leadership.
pub const LEADER_KEY: &str = "c/lead";
/// Key of the machine types, which are stored so that controllers can start while the cloud is
/// down.
pub const MACHINE_TYPES_KEY: &str = "c/kinds";

/// Key of the attributes of machines that operators define.
pub const ATTRIBUTES_KEY: &str = "c/attributes";
/// Key of the record of ids allocated to bulk submissions.
pub const IDS_KEY: &str = "c/ids";
/// Key of the record of the formats in use; while it is absent, the first format is in use.
pub const FORMAT_KEY: &str = "c/format";
/// Key of the record of the progress of moving ended jobs to the history.
pub const HISTORY_PROGRESS_KEY: &str = "c/packed";

/// Returns the key of a page of the admission log. The order of the keys is that of the page
/// numbers.
pub fn admission_log_key(page: u64) -> String {
    format!("c/new/{page:016x}")
}

/// Returns the key of the bucket whose first hash is `from`. The bucket holds the jobs with
/// hashes from this one up to, but not including, the first hash of the next bucket.
pub fn bucket_key(from: u64) -> String {
    format!("c/jobs/{from:016x}")
}

/// Returns the hash that decides which bucket a job belongs to.
pub fn job_hash(job: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&job.to_be_bytes())
}

/// Returns the key of the lease on shard `shard`.
pub fn shard_key(shard: usize) -> String {
    format!("c/part/{shard}")
}

/// Returns the key of a job's own record.
pub fn job_key(job: u64) -> String {
    format!("c/job/{}", job_id(job))
}

/// Returns the key of a page of a shard's assignments.
pub fn assignments_key(shard: usize, page: u32) -> String {
    format!("c/mark/{shard}/{page}")
}

/// Returns the key of the part of team `team`'s limit that shard `shard` may use.
pub fn grant_key(team: usize, shard: usize) -> String {
    format!("c/grant/{team}/{shard}")
}

/// Returns the key of the record of the images that machines of shard `shard` hold.
pub fn images_key(shard: usize) -> String {
    format!("c/images/{shard}")
}

/// Parsed key of a record in the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// Lease on leadership.
    Leader,
    /// Machine types.
    MachineTypes,
    /// Attributes of machines that operators define.
    Attributes,
    /// Ids allocated to bulk submissions.
    Ids,
    /// Bulk submission, by its number.
    Submission(u64),
    /// Lease on a shard.
    Shard(usize),
    /// Images that the machines of a shard hold.
    Images(usize),
    /// Record of a single job, by the number of the job.
    Job(u64),
    /// Bucket of jobs, by its first hash.
    Bucket(u64),
    /// Page of the admission log, by its number.
    AdmissionPage(u64),
    /// Formats of records in use.
    Format,
    /// Progress of moving ended jobs to the history.
    HistoryProgress,
    /// Page of a shard's assignments.
    Assignment {
        /// Number of the shard.
        shard: usize,
        /// Number of the page.
        page: u32,
    },
    /// Part of a team's limit that a shard may use.
    Grant {
        /// Index of the team in the settings.
        team: usize,
        /// Number of the shard.
        shard: usize,
    },
}

/// Parses a number of exactly 16 hexadecimal digits.
fn parse_hex(digits: &str) -> Option<u64> {
    if digits.len() != 16 {
        return None;
    }
    u64::from_str_radix(digits, 16).ok()
}

impl Key {
    /// Parses a key; returns `None` for a key that this version does not support.
    pub fn parse(key: &str) -> Option<Self> {
        match key {
            LEADER_KEY => return Some(Self::Leader),
            MACHINE_TYPES_KEY => return Some(Self::MachineTypes),
            ATTRIBUTES_KEY => return Some(Self::Attributes),
            IDS_KEY => return Some(Self::Ids),
            FORMAT_KEY => return Some(Self::Format),
            HISTORY_PROGRESS_KEY => return Some(Self::HistoryProgress),
            _ => {}
        }
        let mut segments = key.strip_prefix(PREFIX)?.split('/');
        let parsed = match segments.next()? {
            "part" => Self::Shard(segments.next()?.parse().ok()?),
            "images" => Self::Images(segments.next()?.parse().ok()?),
            "job" => Self::Job(job_number(segments.next()?)?),
            "jobs" => Self::Bucket(parse_hex(segments.next()?)?),
            "new" => Self::AdmissionPage(parse_hex(segments.next()?)?),
            "sub" => Self::Submission(parse_hex(segments.next()?)?),
            "mark" => Self::Assignment {
                shard: segments.next()?.parse().ok()?,
                page: segments.next()?.parse().ok()?,
            },
            "grant" => Self::Grant {
                team: segments.next()?.parse().ok()?,
                shard: segments.next()?.parse().ok()?,
            },
            _ => return None,
        };
        segments.next().is_none().then_some(parsed)
    }
}
