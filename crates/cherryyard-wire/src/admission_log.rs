//! Pages of the admission log: one put to the state service records many submissions.
//!
//! A page holds jobs in the order in which they were added; fields that many of them share
//! are stored once per page. Once a job has a record of its own, or one in a bucket, that
//! record takes precedence over the job's row in the page.

use crate::RangeSet;
use crate::dependencies::Dependencies;
use crate::job::{JobSpec, Rank, Shape, job_id};
use crate::rules::Rules;
use serde::{Deserialize, Serialize, Serializer};

/// Fields that many jobs of a page share; each row refers to them by index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommonFields {
    /// Class of the jobs.
    #[serde(rename = "c")]
    pub job_class: String,
    /// Team that owns the jobs.
    #[serde(rename = "o")]
    pub team: String,
    /// Shape of the jobs: array or service.
    #[serde(rename = "s")]
    pub shape: Shape,
    /// Priority of the jobs.
    #[serde(rename = "r")]
    pub rank: Rank,
    /// Allowed machine types; `None`: any.
    #[serde(default, rename = "k", skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// Only allowed zone; `None`: any zone is allowed.
    #[serde(default, rename = "y", skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Bit set of `TOGETHER_FLAG`, `APART_FLAG` and `SPOT_FLAG`.
    #[serde(rename = "f")]
    pub flags: u8,
    /// Accelerators per task.
    #[serde(default, rename = "a", skip_serializing_if = "is_zero")]
    pub accelerators: f64,
    /// Interval between checkpoints and duration of a checkpoint, in seconds.
    #[serde(default, rename = "p", skip_serializing_if = "no_checkpoints")]
    pub checkpoint_s: (f64, f64),
}

/// Flag of jobs whose tasks must all run in one zone.
const TOGETHER_FLAG: u8 = 1;
/// Flag of jobs whose tasks are spread over zones and shards.
const APART_FLAG: u8 = 2;
/// Flag of jobs that may run on spot machines.
const SPOT_FLAG: u8 = 4;

fn is_zero(amount: &f64) -> bool {
    *amount == 0.0
}

fn no_checkpoints(checkpoint_s: &(f64, f64)) -> bool {
    *checkpoint_s == (0.0, 0.0)
}

impl CommonFields {
    fn from_spec(spec: &JobSpec) -> Self {
        let flag = |set: bool, bit: u8| if set { bit } else { 0 };
        Self {
            job_class: spec.job_class.clone(),
            team: spec.team.clone(),
            shape: spec.shape,
            rank: spec.rank,
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            flags: flag(spec.together, TOGETHER_FLAG)
                | flag(spec.apart, APART_FLAG)
                | flag(spec.spot, SPOT_FLAG),
            accelerators: spec.accelerators,
            checkpoint_s: (spec.snapshot_every_s, spec.snapshot_cost_s),
        }
    }
}

/// Fields that only few jobs have: chosen zone, caps, rules and dependencies.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UncommonFields {
    /// Zone chosen for all tasks of a job that must run in one zone (`JobSpec::together`).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Maximum number of tasks per shard and, within it, per zone, for a job whose tasks
    /// are spread (`JobSpec::apart`).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub caps: Vec<Vec<u32>>,
    /// Rules on where the job may run, in addition to the fields of its [`JobSpec`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<Box<Rules>>,
    /// Dependencies of the job on other jobs.
    #[serde(default, skip_serializing_if = "Dependencies::never_waited")]
    pub after: Dependencies,
}

/// One job of a page. Its JSON is the array of its fields, in the order of declaration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "RowFields")]
pub struct AdmissionRow {
    /// Number of the job.
    pub job: u64,
    /// Index of the job's [`CommonFields`] in the page.
    pub common: u32,
    /// Time of the submission, in milliseconds after [`AdmissionPageRecord::at`].
    pub after_ms: u64,
    /// Number of tasks.
    pub task_count: u32,
    /// Cores per task.
    pub cores: f64,
    /// Memory per task, in GB.
    pub ram_gb: f64,
    /// Name of the image.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Estimated run time of a task, in seconds.
    pub expected_s: f64,
    /// Deadline, in seconds after the submission.
    pub due_s: Option<f64>,
    /// Division of the tasks among shards, as (shard, first task number, last task number);
    /// empty: not yet divided.
    pub division: Vec<(u32, u32, u32)>,
    /// Fields that only few jobs have; `None`: all have their defaults.
    pub rest: Option<Box<UncommonFields>>,
}

/// Fields of an [`AdmissionRow`] in the order of the JSON array.
type RowFields = (
    u64,
    u32,
    u64,
    u32,
    f64,
    f64,
    String,
    f64,
    f64,
    Option<f64>,
    Vec<(u32, u32, u32)>,
    Option<Box<UncommonFields>>,
);

impl From<RowFields> for AdmissionRow {
    fn from(fields: RowFields) -> Self {
        Self {
            job: fields.0,
            common: fields.1,
            after_ms: fields.2,
            task_count: fields.3,
            cores: fields.4,
            ram_gb: fields.5,
            image: fields.6,
            image_gb: fields.7,
            expected_s: fields.8,
            due_s: fields.9,
            division: fields.10,
            rest: fields.11,
        }
    }
}

impl Serialize for AdmissionRow {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let fields = (
            self.job,
            self.common,
            self.after_ms,
            self.task_count,
            self.cores,
            self.ram_gb,
            &self.image,
            self.image_gb,
            self.expected_s,
            self.due_s,
            &self.division,
            &self.rest,
        );
        fields.serialize(serializer)
    }
}

/// Page of the admission log, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionPageRecord {
    /// Earliest submission time of the page's jobs, in milliseconds since the Unix epoch.
    pub at: u64,
    /// Shared fields, to which the rows refer by index.
    #[serde(default, rename = "c")]
    pub common: Vec<CommonFields>,
    /// Rows, one per job.
    #[serde(default, rename = "j")]
    pub jobs: Vec<AdmissionRow>,
}

/// Job as read from a page, with the shared fields filled in.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedJob {
    /// Number of the job.
    pub job: u64,
    /// Submitted job.
    pub spec: JobSpec,
    /// Time of the submission, in milliseconds since the Unix epoch.
    pub submitted_at_ms: u64,
    /// Division: the task numbers of each shard, by shard; empty: not yet divided.
    pub division: Vec<RangeSet>,
    /// Fields that only few jobs have.
    pub rest: UncommonFields,
}

impl AdmissionPageRecord {
    /// Appends a job, submitted at `at` (milliseconds since the Unix epoch).
    pub fn push(
        &mut self,
        job: u64,
        spec: &JobSpec,
        at: u64,
        div: &[RangeSet],
        rest: UncommonFields,
    ) {
        let common = CommonFields::from_spec(spec);
        let existing = self.common.iter().position(|fields| *fields == common);
        let common = existing.unwrap_or_else(|| {
            self.common.push(common);
            self.common.len() - 1
        });
        if self.jobs.is_empty() {
            self.at = at;
        }
        // Jobs are not always added in the order of their submission times, as the clocks
        // of the controllers that accepted them differ slightly.
        if at < self.at {
            let earlier = self.at - at;
            self.jobs.iter_mut().for_each(|row| row.after_ms += earlier);
            self.at = at;
        }
        let division = div.iter().enumerate().flat_map(|(shard, set)| {
            let ranges = set.ranges().iter();
            ranges.map(move |&(first, last)| (shard as u32, first, last))
        });
        self.jobs.push(AdmissionRow {
            job,
            common: common as u32,
            after_ms: at - self.at,
            task_count: spec.task_count,
            cores: spec.cores,
            ram_gb: spec.ram_gb,
            image: spec.image.clone(),
            image_gb: spec.image_gb,
            expected_s: spec.expected_s,
            due_s: spec.due_s,
            division: division.collect(),
            rest: (rest != UncommonFields::default()).then(|| Box::new(rest)),
        });
    }

    /// Returns the page's jobs, for a cluster of `shards` shards; `None` if a row refers to
    /// shared fields or to a shard that do not exist.
    pub fn read(self, shards: usize) -> Option<Vec<AdmittedJob>> {
        let (start, common) = (self.at, self.common);
        let rows = self.jobs.into_iter();
        rows.map(|row| {
            let fields = common.get(row.common as usize)?.clone();
            row.into_admitted_job(fields, start, shards)
        })
        .collect()
    }
}

impl AdmissionRow {
    /// Converts the row into the job, given its shared fields and the page's earliest
    /// submission time `start`.
    fn into_admitted_job(
        self,
        common: CommonFields,
        start: u64,
        shards: usize,
    ) -> Option<AdmittedJob> {
        let mut div = Vec::new();
        for (shard, first, last) in self.division {
            div.resize(shards, RangeSet::new());
            let set = div.get_mut(shard as usize)?;
            *set = set.union(&RangeSet::from_range(first, last));
        }
        let spec = JobSpec {
            id: job_id(self.job),
            job_class: common.job_class,
            team: common.team,
            shape: common.shape,
            rank: common.rank,
            task_count: self.task_count,
            cores: self.cores,
            accelerators: common.accelerators,
            ram_gb: self.ram_gb,
            image: self.image,
            image_gb: self.image_gb,
            machine_types: common.machine_types,
            zone: common.zone,
            together: common.flags & TOGETHER_FLAG != 0,
            apart: common.flags & APART_FLAG != 0,
            spot: common.flags & SPOT_FLAG != 0,
            expected_s: self.expected_s,
            snapshot_every_s: common.checkpoint_s.0,
            snapshot_cost_s: common.checkpoint_s.1,
            due_s: self.due_s,
            waits_on: Vec::new(),
        };
        Some(AdmittedJob {
            job: self.job,
            spec,
            submitted_at_ms: start.saturating_add(self.after_ms),
            division: div,
            rest: self.rest.map(|rest| *rest).unwrap_or_default(),
        })
    }
}

#[cfg(test)]
mod tests;
