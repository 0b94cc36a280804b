//! Records that controllers keep in the state service, and their keys.
//!
//! All keys start with [`PREFIX`], so one watch over one prefix sees them all.

use crate::RangeSet;
use crate::dependencies::Dependencies;
use crate::job::JobSpec;
use crate::rules::Rules;
use serde::{Deserialize, Serialize};

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
/// The format in which jobs stand in buckets, and their ends go into the history.
pub const BUCKETS: u32 = 2;

/// The format in which new jobs stand in pages of admissions.
pub const ADMISSION_LOG: u32 = 3;
/// The format in which jobs may wait for others.
pub const DEPENDENCIES: u32 = 4;
/// The newest format of records that this build can work with.
pub const NEWEST_FORMAT: u32 = DEPENDENCIES;

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
    format!("c/job/{}", crate::job::job_id(job))
}

/// Key of one page of a shard's assignments.
pub fn assignments_key(shard: usize, page: u32) -> String {
    format!("c/mark/{shard}/{page}")
}

/// Key of what part `shard` may use of team `team`'s limit.
pub fn grant_key(team: usize, shard: usize) -> String {
    format!("c/grant/{team}/{shard}")
}

/// Key of what is known of the images in shard `shard`.
pub fn images_key(shard: usize) -> String {
    format!("c/images/{shard}")
}

/// A parsed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub enum Key {
    Leader,
    MachineTypes,
    Attributes,
    Ids,
    Submission(u64),
    Shard(usize),
    Images(usize),
    Job(u64),
    Bucket(u64),
    AdmissionPage(u64),
    Format,
    Packed,
    Assignment { shard: usize, page: u32 },
    Grant { team: usize, shard: usize },
}

fn hex(word: &str) -> Option<u64> {
    let whole = Some(word).filter(|w| w.len() == 16);
    whole.and_then(|w| u64::from_str_radix(w, 16).ok())
}

impl Key {
    /// Reads a key; `None` for one that this version does not know.
    pub fn parse(key: &str) -> Option<Self> {
        if key == LEADER_KEY {
            return Some(Self::Leader);
        }
        if key == MACHINE_TYPES_KEY {
            return Some(Self::MachineTypes);
        }
        if key == ATTRIBUTES {
            return Some(Self::Attributes);
        }
        if key == IDS {
            return Some(Self::Ids);
        }
        if key == FORMAT {
            return Some(Self::Format);
        }
        if key == PACKED {
            return Some(Self::Packed);
        }
        let mut words = key.strip_prefix(PREFIX)?.split('/');
        let parsed = match words.next()? {
            "part" => Self::Shard(words.next()?.parse().ok()?),
            "images" => Self::Images(words.next()?.parse().ok()?),
            "job" => Self::Job(crate::job::job_number(words.next()?)?),
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

/// Who owns a shard, or leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The controller's name.
    pub label: String,
    /// The newest format of records that it can work with; builds before there
    /// were any say nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub f: Option<u32>,
    /// The number of the process that made it, so that it knows its own though the
    /// answer was lost; earlier builds say nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u64>,
}

impl LeaseRecord {
    /// A lease by the process with this number, which can work with this format.
    pub fn of(label: &str, process: u64, format: u32) -> Self {
        Self {
            label: label.into(),
            f: Some(format),
            n: Some(process),
        }
    }
}

/// Which formats of records are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRecord {
    /// How jobs are kept.
    pub jobs: u32,
    /// Whether new jobs come by pages of admissions, and by these alone.
    #[serde(default, skip_serializing_if = "is_false")]
    pub new: bool,
    /// Whether jobs may wait for others.
    #[serde(default, skip_serializing_if = "is_false")]
    pub dependencies: bool,
}

/// A bucket: the records of some jobs, so that no key need be deleted for each job
/// that is over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BucketRecord {
    /// Jobs that are not over.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub o: Vec<(u64, JobRecord)>,
    /// Jobs that are over: how, how many tasks they had, and the generation.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub e: Vec<(u64, End, u32, u64)>,
    /// What a task of those takes, while some may still be on machines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub u: Vec<(u64, Use)>,
}

/// A job's record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum JobRecord {
    /// The job is over.
    Ended {
        /// How.
        end: End,
        /// How many tasks it has.
        n: u32,
        /// What each of its tasks takes, while some may still be there.
        #[serde(default)]
        r#use: Use,
        /// Its generation in the history; 0 where ends have none.
        #[serde(default, skip_serializing_if = "is_zero")]
        g: u64,
        /// The cancelled job that it needed, if it is cancelled for that.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        by: Option<u64>,
    },
    /// The job is not over.
    Open {
        /// What was submitted.
        spec: Box<JobSpec>,
        /// Time of day at its submission, in milliseconds.
        at: u64,
        /// The division: each shard's task numbers. Empty: not yet divided.
        #[serde(default)]
        div: Vec<RangeSet>,
        /// The zone of all its tasks, where the user asked for one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        zone: Option<String>,
        /// Most tasks per shard and zone, where the user asked for tasks apart.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        caps: Vec<Vec<u32>>,
        /// Where it may run, beyond what the submission's fields say.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rules: Option<Box<Rules>>,
        /// Jobs that it waits for.
        #[serde(default, skip_serializing_if = "Dependencies::is_none")]
        after: Dependencies,
    },
}

fn is_false(x: &bool) -> bool {
    !x
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// All tasks are done.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

/// What a task takes of its team's limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Use {
    /// The team.
    pub team: String,
    /// Cores.
    pub cores: f64,
    /// Accelerators.
    pub acc: f64,
    /// Memory.
    pub ram: f64,
}

/// Assignments of one attempt and incarnation: `[attempt, incarnation, machine, number,
/// machine, number, ...]`, each machine by its place in the page's list. Tasks
/// of a job mostly start together, so this is a few bytes for each.
pub type AssignmentGroup = Vec<u64>;

/// One page of a shard's assignments: of all jobs that have some there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Machines that the assignments name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub h: Vec<String>,
    /// By job's number: its assignments, and its numbers done.
    pub j: Vec<(u64, Vec<AssignmentGroup>, RangeSet)>,
}

/// A page of a shard's assignments as it is stored: packed ([`crate::page`]), or plain as builds
/// before [`DEPENDENCIES`] write it and an empty page always is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoredPage {
    /// Packed.
    Packed {
        /// What [`crate::page::pack`] gives.
        b: String,
    },
    /// Plain.
    Plain(PageRecord),
}

impl StoredPage {
    /// Bytes that packed text takes as JSON beside itself.
    pub const FRAME: usize = 8;

    /// What it says; none if it makes no sense.
    pub fn read(self) -> Option<PageRecord> {
        match self {
            Self::Packed { b } => crate::page::unpack(&b),
            Self::Plain(record) => Some(record),
        }
    }
}

/// What a shard may use of a team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Cores.
    pub cores: f64,
    /// Accelerators.
    pub acc: f64,
}

/// Images that a shard's machines hold, so that a restarted owner knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Images and their sizes.
    pub i: Vec<(String, f64)>,
    /// Machines, and which of the images each holds, last used last. Written by
    /// earlier builds, and still read.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub h: Vec<(String, Vec<usize>)>,
    /// How all machines' names begin.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub p: String,
    /// The same in a few bytes for each machine, so that a large shard's record
    /// stays below the value limit: `rest of the name:images`, each image a
    /// character of [`IMAGE_CHARS`] by its place in `i`, with blanks between.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub m: String,
}

/// Characters that stand for the first 62 images of a record; others are left out.
pub const IMAGE_CHARS: &str = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

impl ImagesRecord {
    /// The record of `held`, a machine and its images each, in at most `most`
    /// bytes of JSON: beyond that the last machines are left out.
    pub fn pack(images: Vec<(String, f64)>, held: &[(&str, Vec<usize>)], most: usize) -> Self {
        let chars = IMAGE_CHARS.as_bytes();
        let common = |a: &str, b: &str| {
            let same = a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b);
            same.count()
        };
        let odd = |name: &str| name.bytes().any(|b| b <= b' ' || b == b':' || b >= 127);
        let held: Vec<_> = held.iter().filter(|h| !odd(h.0)).collect();
        let first = held.first().map_or("", |h| h.0);
        let prefix = held.iter().map(|h| common(first, h.0)).min().unwrap_or(0);
        let mut record = Self {
            p: first[..prefix].to_string(),
            i: images,
            ..Self::default()
        };
        let room = most.saturating_sub(serde_json::to_vec(&record).map_or(most, |v| v.len()) + 10);
        for (name, images) in held {
            if record.m.len() + name.len() - prefix + images.len() + 2 > room {
                break;
            }
            if !record.m.is_empty() {
                record.m.push(' ');
            }
            record.m.push_str(&name[prefix..]);
            record.m.push(':');
            let known = images.iter().filter_map(|&i| chars.get(i));
            record.m.extend(known.map(|&c| char::from(c)));
        }
        record
    }

    /// Machines and the images that each holds, last used last.
    pub fn held(&self) -> impl Iterator<Item = (String, Vec<usize>)> + '_ {
        let packed = self.m.split_ascii_whitespace().filter_map(|one| {
            let (rest, images) = one.split_once(':')?;
            let images = images.chars().filter_map(|c| IMAGE_CHARS.find(c));
            Some((format!("{}{rest}", self.p), images.collect()))
        });
        self.h.iter().cloned().chain(packed)
    }

    /// Whether every image that a machine is said to hold is there.
    pub fn is_sound(&self) -> bool {
        self.held()
            .all(|(_, held)| held.iter().all(|&i| i < self.i.len()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What is packed comes out again; a record too small for all keeps the first
    /// machines, and one of an earlier build is still read.
    #[test]
    fn images_are_packed() {
        let images = vec![("img-01".to_string(), 2.5), ("img-02".to_string(), 4.0)];
        let names: Vec<String> = (0..186).map(|n| format!("host-{n:06}")).collect();
        let held: Vec<(&str, Vec<usize>)> =
            names.iter().map(|n| (n.as_str(), vec![1, 0])).collect();
        let record = ImagesRecord::pack(images.clone(), &held, 4096);
        let read: Vec<_> = record.held().collect();
        assert_eq!(read.len(), 186);
        assert_eq!(read[185], ("host-000185".to_string(), vec![1, 0]));
        let size = |r: &ImagesRecord| serde_json::to_vec(r).unwrap().len();
        assert!(size(&record) < 1600, "{}", size(&record));
        let small = ImagesRecord::pack(images.clone(), &held, 300);
        assert!(size(&small) <= 300 && small.held().count() > 15);
        let old = r#"{"i":[["a",1.0]],"h":[["host-1",[0]]]}"#;
        let old: ImagesRecord = serde_json::from_str(old).unwrap();
        assert_eq!(old.held().next(), Some(("host-1".into(), vec![0])));
        assert!(
            ImagesRecord::pack(images, &[("a b", vec![0])], 4096)
                .m
                .is_empty()
        );
        assert!(old.is_sound());
        let bad = r#"{"i":[["a",1.0]],"p":"h","m":"1:01"}"#;
        assert!(
            !serde_json::from_str::<ImagesRecord>(bad)
                .unwrap()
                .is_sound()
        );
    }
}
