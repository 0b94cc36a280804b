//! Records of jobs, and the buckets that hold many of them under one key.

use crate::RangeSet;
use crate::dependencies::Dependencies;
use crate::job::JobSpec;
use crate::rules::Rules;
use serde::{Deserialize, Serialize};

/// A bucket: the records of some jobs, so that no key need be deleted for each job
/// that is over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BucketRecord {
    /// Jobs that are not over.
    #[serde(default, rename = "o", skip_serializing_if = "Vec::is_empty")]
    pub open: Vec<(u64, JobRecord)>,
    /// Jobs that are over: job number, how it ended, how many tasks it had, and its
    /// generation in the history.
    #[serde(default, rename = "e", skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<(u64, End, u32, u64)>,
    /// What a task of those takes, while some may still be on machines.
    #[serde(default, rename = "u", skip_serializing_if = "Vec::is_empty")]
    pub usage: Vec<(u64, TaskUsage)>,
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
        #[serde(rename = "n")]
        task_count: u32,
        /// What each of its tasks takes, while some may still be there.
        #[serde(default, rename = "use")]
        usage: TaskUsage,
        /// Its generation in the history; 0 where ends have none.
        #[serde(default, rename = "g", skip_serializing_if = "is_zero")]
        generation: u64,
        /// The cancelled job that it needed, if it is cancelled for that.
        #[serde(default, rename = "by", skip_serializing_if = "Option::is_none")]
        cancelled_by: Option<u64>,
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

/// What one task counts against its team's limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// The team.
    pub team: String,
    /// Cores.
    pub cores: f64,
    /// Accelerators.
    #[serde(rename = "acc")]
    pub accelerators: f64,
    /// Memory in GB.
    #[serde(rename = "ram")]
    pub ram_gb: f64,
}
