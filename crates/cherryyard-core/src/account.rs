//! An account of a shard's core-seconds: what its machines' cores did, and why
//! those that did nothing were idle while something waited.
//!
//! It is sampled: each sample counts every core of the shard once, for the time
//! since the sample before. Nothing depends on it.

mod sampling;

use crate::machine::Task;
use crate::{Millis, Mirror};
use cherryyard_wire::job::Shape;
use cherryyard_wire::record::End;
use std::collections::HashMap;
use std::str::FromStr;
use strum::{EnumCount, IntoEnumIterator};

/// Figures below this many core-seconds are left out where they are written.
const LEAST_WRITTEN: f64 = 0.5;

/// What a core-second went to. Those with a reason for idle cores are in the order
/// in which they come nearer to letting a waiting task run.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    strum::EnumCount,
    strum::EnumIter,
    strum::EnumString,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum CoreUse {
    /// Services' tasks that ran.
    Replicas,
    /// Arrays' tasks that ran to completion, or still run.
    Arrays,
    /// Run time of attempts that did not complete. It was counted as `Arrays`
    /// while they ran, and is taken out of that when they are lost.
    Lost,
    /// Waiting for an image.
    Fetching,
    /// Assigned, the start not yet seen in a report.
    Starting,
    /// Over, the assignment not yet taken back.
    Ending,
    /// Tasks without an assignment.
    Strays,
    /// Machines provisioned and not yet up.
    Booting,
    /// Free cores of machines that are silent, recalled, unconfirmed, being
    /// returned, or left alone after failures.
    Unusable,
    /// Free while nothing waited anywhere.
    Spare,
    /// Free while tasks waited in other shards only.
    Elsewhere,
    /// Free while jobs waited to be divided.
    Undivided,
    /// Kept for a task that others were stopped for.
    Kept,
    /// Free where no waiting task may run.
    Excluded,
    /// Free, and too small for every waiting task that may run there.
    Fragments,
    /// Free while the waiting jobs were held back after failures.
    Troubled,
    /// Free while the waiting tasks' teams were at their limits.
    Limits,
    /// Free while a task that fits waited for the next round.
    Round,
}

/// Why the text of an account could not be read.
#[derive(Debug, thiserror::Error)]
pub enum AccountError {
    /// It is not a JSON object of numbers.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// It has a figure that is not known.
    #[error("{0}: no such figure")]
    UnknownFigure(String),
}

/// Core-seconds by what they went to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreSeconds([f64; CoreUse::COUNT]);

impl CoreSeconds {
    /// What went to one thing.
    pub fn get(&self, core_use: CoreUse) -> f64 {
        self.0[core_use as usize]
    }

    /// Counts core-seconds.
    pub fn count(&mut self, core_use: CoreUse, core_seconds: f64) {
        self.0[core_use as usize] += core_seconds;
    }

    /// Each figure by name, in the order of the account.
    pub fn figures(&self) -> impl Iterator<Item = (&'static str, f64)> + '_ {
        CoreUse::iter().map(|core_use| (core_use.into(), self.get(core_use)))
    }

    /// All core-seconds together.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Adds another account.
    pub fn add(&mut self, other: &Self) {
        for (mine, theirs) in self.0.iter_mut().zip(&other.0) {
            *mine += theirs;
        }
    }

    /// The account as a line of JSON, whole core-seconds by name.
    pub fn to_json(&self) -> String {
        let written = self.figures().filter(|(_, s)| s.abs() >= LEAST_WRITTEN);
        let map: serde_json::Map<_, _> = written
            .map(|(name, s)| (name.to_string(), (s.round() as i64).into()))
            .collect();
        serde_json::Value::Object(map).to_string()
    }

    /// Reads what [`to_json`](Self::to_json) wrote.
    ///
    /// # Errors
    ///
    /// If it is no account, or has a figure that is not known.
    pub fn from_json(text: &str) -> Result<Self, AccountError> {
        let map: HashMap<String, f64> = serde_json::from_str(text)?;
        let mut sum = Self::default();
        for (name, core_seconds) in map {
            let Ok(core_use) = CoreUse::from_str(&name) else {
                return Err(AccountError::UnknownFigure(name));
            };
            sum.count(core_use, core_seconds);
        }
        Ok(sum)
    }
}

/// A shard's account in the making.
#[derive(Clone, Debug, Default)]
pub struct Account {
    sum: CoreSeconds,
    sampled_at: Option<Millis>,
    /// How long each assigned attempt has been seen to run, and its cores.
    ran: HashMap<(Task, u64), (f64, f64)>,
}

impl Account {
    /// What has been counted since the last call.
    pub fn take(&mut self) -> CoreSeconds {
        std::mem::take(&mut self.sum)
    }

    /// Starts anew: the shard has another owner.
    pub(crate) fn clear(&mut self) {
        self.ran.clear();
        self.sampled_at = None;
    }

    /// Attempts without an assignment any more were either of use or lost.
    fn settle(&mut self, shard_id: usize, mirror: &Mirror) {
        let sum = &mut self.sum;
        self.ran.retain(|&(task, attempt), &mut (seconds, cores)| {
            let (job, number) = task;
            let here = mirror.tasks.assignments.get(&(shard_id, job));
            let assigned = here.and_then(|here| here.assignments.get(&number));
            if assigned.is_some_and(|(assignment, _)| assignment.attempt == attempt) {
                return true;
            }
            let is_done = mirror.end(job) == Some(End::Done)
                || here.is_some_and(|here| here.done.contains(number));
            let open = mirror.open.get(&job);
            let is_service = open.is_some_and(|open| open.spec.shape == Shape::Service);
            // A service's task was of use while it ran; so is what its user ended.
            if !is_done && !is_service && mirror.end(job).is_none() {
                sum.count(CoreUse::Lost, seconds * cores);
                sum.count(CoreUse::Arrays, -seconds * cores);
            }
            false
        });
    }
}
