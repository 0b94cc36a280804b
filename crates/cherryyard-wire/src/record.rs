//! Records that controllers keep in the state service, and their keys.
//!
//! All keys start with [`PREFIX`], so one watch over one prefix sees them all.

use crate::RangeSet;
use crate::job::JobSpec;
use serde::{Deserialize, Serialize};

/// Start of every key.
pub const PREFIX: &str = "c/";
/// The leader's claim.
pub const LEAD: &str = "c/lead";
/// The machine types, for a start while the cloud is down.
pub const KINDS: &str = "c/kinds";

/// Key of part `part`'s claim.
pub fn part_key(part: usize) -> String {
    format!("c/part/{part}")
}

/// Key of a job.
pub fn job_key(job: u64) -> String {
    format!("c/job/{}", crate::job::job_id(job))
}

/// Key of one page of a part's marks.
pub fn mark_key(part: usize, page: u32) -> String {
    format!("c/mark/{part}/{page}")
}

/// Key of what part `part` may use of team `team`'s limit.
pub fn grant_key(team: usize, part: usize) -> String {
    format!("c/grant/{team}/{part}")
}

/// Key of what is known of the images in part `part`.
pub fn images_key(part: usize) -> String {
    format!("c/images/{part}")
}

/// A parsed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[allow(missing_docs)]
pub enum Key {
    Lead,
    Kinds,
    Part(usize),
    Images(usize),
    Job(u64),
    Mark { part: usize, page: u32 },
    Grant { team: usize, part: usize },
}

impl Key {
    /// Reads a key; `None` for one that this version does not know.
    pub fn parse(key: &str) -> Option<Self> {
        if key == LEAD {
            return Some(Self::Lead);
        }
        if key == KINDS {
            return Some(Self::Kinds);
        }
        let mut words = key.strip_prefix(PREFIX)?.split('/');
        let parsed = match words.next()? {
            "part" => Self::Part(words.next()?.parse().ok()?),
            "images" => Self::Images(words.next()?.parse().ok()?),
            "job" => Self::Job(crate::job::job_number(words.next()?)?),
            "mark" => Self::Mark {
                part: words.next()?.parse().ok()?,
                page: words.next()?.parse().ok()?,
            },
            "grant" => Self::Grant {
                team: words.next()?.parse().ok()?,
                part: words.next()?.parse().ok()?,
            },
            _ => return None,
        };
        words.next().is_none().then_some(parsed)
    }
}

/// Who owns a part, or leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The controller's name.
    pub label: String,
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
    },
    /// The job is not over.
    Open {
        /// What was submitted.
        spec: Box<JobSpec>,
        /// Time of day at its submission, in milliseconds.
        at: u64,
        /// The division: each part's task numbers. Empty: not yet divided.
        #[serde(default)]
        div: Vec<RangeSet>,
        /// The zone of all its tasks, where the user asked for one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        zone: Option<String>,
        /// Most tasks per part and zone, where the user asked for tasks apart.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        caps: Vec<Vec<u32>>,
    },
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

/// Marks of one attempt and session: `[attempt, session, machine, number,
/// machine, number, ...]`, each machine by its place in the page's list. Tasks
/// of a job mostly start together, so this is a few bytes for each.
pub type MarkGroup = Vec<u64>;

/// One page of a part's marks: of all jobs that have some there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PageRecord {
    /// Machines that the marks name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub h: Vec<String>,
    /// By job's number: its marks, and its numbers done.
    pub j: Vec<(u64, Vec<MarkGroup>, RangeSet)>,
}

/// What a part may use of a team's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Cores.
    pub cores: f64,
    /// Accelerators.
    pub acc: f64,
}

/// Images that a part's machines hold, so that a restarted owner knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Images and their sizes.
    pub i: Vec<(String, f64)>,
    /// Machines, and which of the images each holds, last used last.
    pub h: Vec<(String, Vec<usize>)>,
}
