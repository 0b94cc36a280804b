//! Pages of new jobs: many submissions with one put.
//!
//! A page holds jobs as they came, in their order; what many of them have in common
//! stands there once. A job's own record (or its bucket's), once there is one, counts
//! instead of what the page says of it.

use crate::RangeSet;
use crate::dependencies::Dependencies;
use crate::job::{JobSpec, Rank, Shape, job_id};
use crate::rules::Rules;
use serde::{Deserialize, Serialize};

/// What jobs of one kind have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Common {
    /// Class.
    pub c: String,
    /// Team.
    pub o: String,
    /// Shape.
    pub s: Shape,
    /// Rank.
    pub r: Rank,
    /// Allowed machine types.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub k: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub y: Option<String>,
    /// Bits: tasks together, tasks apart, spot machines allowed.
    pub f: u8,
    /// Accelerators of a task.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub a: f64,
    /// Interval and cost of checkpoints.
    #[serde(default, skip_serializing_if = "is_none")]
    pub p: (f64, f64),
}

fn is_zero(x: &f64) -> bool {
    *x == 0.0
}

fn is_none(x: &(f64, f64)) -> bool {
    *x == (0.0, 0.0)
}

/// What few jobs have: their zone, caps, rules and dependencies.
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

/// One job: its number, the place of what it has in common, the time of day at its
/// submission less the page's, how many tasks, cores and memory of each, its image and
/// that one's size, the estimate of a task's run time and when it is due, the division
/// as part, first and last number each (empty: not divided), and what few jobs have.
pub type Row = (
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

/// A page of new jobs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AdmissionPageRecord {
    /// From when the rows' times count, in milliseconds of the day's clock.
    pub at: u64,
    /// What some of them have in common.
    #[serde(default)]
    pub c: Vec<Common>,
    /// The jobs.
    #[serde(default)]
    pub j: Vec<Row>,
}

/// A job as a page holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
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
        let bit = |set: bool, n: u8| u8::from(set) << n;
        let common = Common {
            c: spec.job_class.clone(),
            o: spec.team.clone(),
            s: spec.shape,
            r: spec.rank,
            k: spec.machine_types.clone(),
            y: spec.zone.clone(),
            f: bit(spec.together, 0) | bit(spec.apart, 1) | bit(spec.spot, 2),
            a: spec.accelerators,
            p: (spec.snapshot_every_s, spec.snapshot_cost_s),
        };
        let place = self.c.iter().position(|c| *c == common);
        let place = place.unwrap_or_else(|| {
            self.c.push(common);
            self.c.len() - 1
        });
        if self.j.is_empty() {
            self.at = at;
        }
        // The clocks of those who took the jobs differ a little.
        if at < self.at {
            let earlier = self.at - at;
            self.j.iter_mut().for_each(|row| row.2 += earlier);
            self.at = at;
        }
        let ranges = div.iter().enumerate().flat_map(|(p, set)| {
            let ranges = set.ranges().iter();
            ranges.map(move |r| (p as u32, r.0, r.1))
        });
        self.j.push((
            job,
            place as u32,
            at - self.at,
            spec.task_count,
            spec.cores,
            spec.ram_gb,
            spec.image.clone(),
            spec.image_gb,
            spec.expected_s,
            spec.due_s,
            ranges.collect(),
            (rest != Rest::default()).then(|| Box::new(rest)),
        ));
    }

    /// The jobs, for so many shards; none if the page makes no sense.
    pub fn read(self, shards: usize) -> Option<Vec<Arrival>> {
        let (start, common) = (self.at, self.c);
        let arrival = |row: Row| {
            let (job, place, after, task_count, cores, ram_gb, image, image_gb, expected_s, ..) =
                row;
            let c = common.get(place as usize)?.clone();
            let mut div = Vec::new();
            for (p, first, last) in row.10 {
                div.resize(shards, RangeSet::new());
                let set = div.get_mut(p as usize)?;
                *set = set.union(&RangeSet::span(first, last));
            }
            let spec = JobSpec {
                id: job_id(job),
                job_class: c.c,
                team: c.o,
                shape: c.s,
                rank: c.r,
                task_count,
                cores,
                accelerators: c.a,
                ram_gb,
                image,
                image_gb,
                machine_types: c.k,
                zone: c.y,
                together: c.f & 1 != 0,
                apart: c.f & 2 != 0,
                spot: c.f & 4 != 0,
                expected_s,
                snapshot_every_s: c.p.0,
                snapshot_cost_s: c.p.1,
                due_s: row.9,
                waits_on: Vec::new(),
            };
            Some(Arrival {
                job,
                spec,
                at: start.saturating_add(after),
                div,
                rest: row.11.map(|r| *r).unwrap_or_default(),
            })
        };
        self.j.into_iter().map(arrival).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What goes in comes out again, and forty replicas of one class fit into 4 KiB.
    #[test]
    fn pages_are_small_and_complete() {
        let text = br#"{"id":"j-1000000","jobclass":"calendar-api","owner":"schedules",
            "shape":"service","rank":"high","pieces":1,"cores":1.0,"accelerators":0.0,
            "ram_gb":1.2,"bundle":"img-07","image_gb":2.517,"kinds_of_host":null,"yard":null,
            "together":false,"apart":true,"borrowed":true,"expected_s":0.0,
            "snapshot_every_s":0.0,"snapshot_cost_s":0.0,"due_s":null}"#;
        let spec = JobSpec::parse(text).unwrap();
        let mut page = AdmissionPageRecord::default();
        let mut all = Vec::new();
        for n in 0..40 {
            let mut spec = spec.clone();
            spec.id = job_id(1_000_000 + n);
            let mut div = vec![RangeSet::new(); 7];
            div[n as usize % 7] = RangeSet::span(0, 0);
            let rest = Rest {
                zone: (n == 3).then(|| "a".into()),
                ..Rest::default()
            };
            // The first two are a moment older than the page.
            let at = 1_790_000_000_000 + (n * 37 + 5) % 60;
            page.push(1_000_000 + n, &spec, at, &div, rest.clone());
            let job = 1_000_000 + n;
            all.push(Arrival {
                job,
                spec,
                at,
                div,
                rest,
            });
        }
        let text = serde_json::to_vec(&page).unwrap();
        assert!(text.len() < 4000, "{}", text.len());
        let read: AdmissionPageRecord = serde_json::from_slice(&text).unwrap();
        assert_eq!(read.read(7), Some(all));
        let mut bad = page.clone();
        bad.j[0].1 = 9;
        assert_eq!(bad.read(7), None);
        assert_eq!(page.read(3), None, "a part that there is not");
    }
}
