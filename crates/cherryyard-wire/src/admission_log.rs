//! Pages of new jobs: many submissions with one put.
//!
//! A page holds jobs as they came, in their order; what many of them have in common
//! stands there once. A job's own record (or its bucket's), once there is one, counts
//! instead of what the page says of it.

use crate::RangeSet;
use crate::dependencies::Dependencies;
use crate::job::{JobSpec, Rank, Shape, job_id};
use crate::rules::Rules;
use serde::{Deserialize, Serialize, Serializer};

/// What many jobs of a page have in common; each row names it by its index.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommonFields {
    /// Class.
    #[serde(rename = "c")]
    pub job_class: String,
    /// Team.
    #[serde(rename = "o")]
    pub team: String,
    /// Shape.
    #[serde(rename = "s")]
    pub shape: Shape,
    /// Rank.
    #[serde(rename = "r")]
    pub rank: Rank,
    /// Allowed machine types.
    #[serde(default, rename = "k", skip_serializing_if = "Option::is_none")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(default, rename = "y", skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Bits: [`TOGETHER_FLAG`], [`APART_FLAG`] and [`SPOT_FLAG`].
    #[serde(rename = "f")]
    pub flags: u8,
    /// Accelerators of a task.
    #[serde(default, rename = "a", skip_serializing_if = "is_zero")]
    pub accelerators: f64,
    /// Interval and cost of checkpoints, in seconds.
    #[serde(default, rename = "p", skip_serializing_if = "no_checkpoints")]
    pub checkpoint_s: (f64, f64),
}

/// All tasks are to run in one zone.
const TOGETHER_FLAG: u8 = 1;
/// Tasks are to be spread over zones and shards.
const APART_FLAG: u8 = 2;
/// Spot machines are allowed.
const SPOT_FLAG: u8 = 4;

fn is_zero(amount: &f64) -> bool {
    *amount == 0.0
}

fn no_checkpoints(checkpoint_s: &(f64, f64)) -> bool {
    *checkpoint_s == (0.0, 0.0)
}

impl CommonFields {
    fn of(spec: &JobSpec) -> Self {
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

/// What few jobs have: a zone, caps, rules and dependencies.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rest {
    /// The zone of all tasks, where the user asked for one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Most tasks per shard and zone, where the user asked for tasks apart.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub caps: Vec<Vec<u32>>,
    /// Where it may run, beyond what the submission's fields say.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rules: Option<Box<Rules>>,
    /// Jobs that it waits for.
    #[serde(default, skip_serializing_if = "Dependencies::is_none")]
    pub after: Dependencies,
}

/// One job of a page. In JSON it is the array of its fields, in their order.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(from = "RowFields")]
pub struct AdmissionRow {
    /// The job's number.
    pub job: u64,
    /// Index of its [`CommonFields`] in the page.
    pub common: u32,
    /// Time of day at its submission less the page's, in milliseconds.
    pub after_ms: u64,
    /// How many tasks it has.
    pub task_count: u32,
    /// Cores of a task.
    pub cores: f64,
    /// Memory of a task, in GB.
    pub ram_gb: f64,
    /// Its image.
    pub image: String,
    /// The image's size, in GB.
    pub image_gb: f64,
    /// The estimate of a task's run time, in seconds.
    pub expected_s: f64,
    /// When it is due, in seconds after its submission.
    pub due_s: Option<f64>,
    /// The division: shard, first and last task number each; empty: not divided.
    pub division: Vec<(u32, u32, u32)>,
    /// What few jobs have.
    pub rest: Option<Box<Rest>>,
}

/// An [`AdmissionRow`] as JSON holds it.
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
    Option<Box<Rest>>,
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

/// A page of new jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionPageRecord {
    /// The time of day from which the rows' times count, in milliseconds.
    pub at: u64,
    /// What some of them have in common.
    #[serde(default, rename = "c")]
    pub common: Vec<CommonFields>,
    /// The jobs.
    #[serde(default, rename = "j")]
    pub jobs: Vec<AdmissionRow>,
}

/// A job as a page holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmittedJob {
    /// Its number.
    pub job: u64,
    /// What was submitted.
    pub spec: JobSpec,
    /// Time of day at its submission, in milliseconds.
    pub at: u64,
    /// The division; empty if there is none yet.
    pub div: Vec<RangeSet>,
    /// What few jobs have.
    pub rest: Rest,
}

impl AdmissionPageRecord {
    /// Adds a job.
    pub fn push(&mut self, job: u64, spec: &JobSpec, at: u64, div: &[RangeSet], rest: Rest) {
        let common = CommonFields::of(spec);
        let known = self.common.iter().position(|fields| *fields == common);
        let common = known.unwrap_or_else(|| {
            self.common.push(common);
            self.common.len() - 1
        });
        if self.jobs.is_empty() {
            self.at = at;
        }
        // The clocks of the controllers that accepted the jobs differ a little.
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
            rest: (rest != Rest::default()).then(|| Box::new(rest)),
        });
    }

    /// The jobs, for so many shards; none if the page makes no sense.
    pub fn read(self, shards: usize) -> Option<Vec<AdmittedJob>> {
        let (start, common) = (self.at, self.common);
        let rows = self.jobs.into_iter();
        rows.map(|row| {
            let fields = common.get(row.common as usize)?.clone();
            row.admitted(fields, start, shards)
        })
        .collect()
    }
}

impl AdmissionRow {
    /// The job that the row stands for, in a page that begins at `start`.
    fn admitted(self, common: CommonFields, start: u64, shards: usize) -> Option<AdmittedJob> {
        let mut div = Vec::new();
        for (shard, first, last) in self.division {
            div.resize(shards, RangeSet::new());
            let set = div.get_mut(shard as usize)?;
            *set = set.union(&RangeSet::span(first, last));
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
            at: start.saturating_add(self.after_ms),
            div,
            rest: self.rest.map(|rest| *rest).unwrap_or_default(),
        })
    }
}

#[cfg(test)]
mod tests;
