//! Records of jobs, and of buckets, which hold many jobs under one key.

use crate::RangeSet;
use crate::dependencies::Dependencies;
use crate::job::JobSpec;
use crate::rules::Rules;
use serde::{Deserialize, Serialize};

/// Bucket: the records of many jobs under one key, so that no key has to be deleted for each
/// job that has ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BucketRecord {
    /// Numbers and records of the jobs that have not ended.
    #[serde(default, rename = "o", skip_serializing_if = "Vec::is_empty")]
    pub open: Vec<(u64, JobRecord)>,
    /// Jobs that have ended: job number, how the job ended, how many tasks it had, and the
    /// generation of the history that its end belongs to.
    #[serde(default, rename = "e", skip_serializing_if = "Vec::is_empty")]
    pub ended: Vec<(u64, JobOutcome, u32, u64)>,
    /// Job number and usage per task of ended jobs of which tasks may still be on machines.
    #[serde(default, rename = "u", skip_serializing_if = "Vec::is_empty")]
    pub usage: Vec<(u64, TaskUsage)>,
}

/// Record of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum JobRecord {
    /// Record of a job that has ended.
    Ended {
        /// Way in which the job ended.
        end: JobOutcome,
        /// Number of the job's tasks.
        #[serde(rename = "n")]
        task_count: u32,
        /// Resources that each task counts against the team's limit while it may still be on a
        /// machine.
        #[serde(default, rename = "use")]
        usage: TaskUsage,
        /// Generation of the history that the end belongs to; 0 in records written before the
        /// format [`BUCKETS`](super::BUCKETS) was in use.
        #[serde(default, rename = "g", skip_serializing_if = "is_zero")]
        generation: u64,
        /// Number of the cancelled job that this one depended on, if it was cancelled for that
        /// reason.
        #[serde(default, rename = "by", skip_serializing_if = "Option::is_none")]
        cancelled_by: Option<u64>,
    },
    /// Record of a job that has not ended.
    Open {
        /// Job as it was submitted.
        spec: Box<JobSpec>,
        /// Time of the submission, in milliseconds since the Unix epoch.
        #[serde(rename = "at")]
        submitted_at_ms: u64,
        /// Division of the job: each shard's task numbers; empty until the leader has divided
        /// the job.
        #[serde(default, rename = "div")]
        division: Vec<RangeSet>,
        /// Zone in which all tasks run, if the user asked for a single zone.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        zone: Option<String>,
        /// Maximum number of tasks by shard and zone, if the user asked for tasks to be spread;
        /// otherwise empty.
        #[serde(default, rename = "caps", skip_serializing_if = "Vec::is_empty")]
        zone_caps: Vec<Vec<u32>>,
        /// Placement rules beyond the fields of the submission.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rules: Option<Box<Rules>>,
        /// Jobs that this one depends on.
        #[serde(
            default,
            rename = "after",
            skip_serializing_if = "Dependencies::never_waited"
        )]
        dependencies: Dependencies,
    },
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

/// Way in which a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobOutcome {
    /// All tasks were completed.
    Done,
    /// The job was cancelled, by its user or because a job that it depended on was cancelled.
    Cancelled,
}

/// Resources that one task counts against its team's limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// Name of the team.
    pub team: String,
    /// Number of cores.
    pub cores: f64,
    /// Number of accelerators.
    #[serde(rename = "acc")]
    pub accelerators: f64,
    /// Memory in GB.
    #[serde(rename = "ram")]
    pub ram_gb: f64,
}
