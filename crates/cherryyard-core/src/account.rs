//! Account of a shard's core-seconds: how the cores of its machines were used, and why cores were
//! idle while tasks waited.
//!
//! The account is sampled: each sample counts every core of the shard once, for the time since the
//! previous sample. It is only reported, and no scheduling decision depends on it.

mod sampling;

use crate::machine::Task;
use crate::{Millis, Mirror};
use cherryyard_wire::job::Shape;
use cherryyard_wire::record::JobOutcome;
use std::collections::HashMap;
use std::str::FromStr;
use strum::{EnumCount, IntoEnumIterator};

/// Number of core-seconds below which a figure is left out of the written account.
const MIN_WRITTEN_CORE_SECONDS: f64 = 0.5;

/// Use of a core-second. The variants from [`Self::Excluded`] on are reasons for idle cores in
/// ascending order of how close a waiting task was to running there: the sampling counts the
/// greatest one over the waiting jobs.
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
    /// Used by running tasks of services.
    Replicas,
    /// Used by tasks of arrays that ran to completion or are still running.
    Arrays,
    /// Used by attempts of tasks that did not complete. Their run time is counted as `Arrays` while
    /// they run, and moved here when they are lost.
    Lost,
    /// Held by tasks whose image is being fetched.
    Fetching,
    /// Held by assigned tasks that no report has shown as started yet.
    Starting,
    /// Held by ended tasks whose assignment is not removed yet.
    Ending,
    /// Used by tasks without an assignment.
    Strays,
    /// Cores of provisioned machines that are not up yet.
    Booting,
    /// Free cores of machines on which no task may be placed: they send no reports, have not
    /// reported under the owner's fencing token yet, are being reclaimed by the cloud or returned
    /// to it, or are avoided after failures.
    Unusable,
    /// Free while no task waited anywhere.
    Spare,
    /// Free while tasks waited only in other shards.
    Elsewhere,
    /// Free while jobs waited to be divided among the shards.
    Undivided,
    /// Reserved for a task for which other tasks were preempted.
    Kept,
    /// Free on a machine on which no waiting task may run.
    Excluded,
    /// Free, but too few for any waiting task that may run on the machine.
    Fragments,
    /// Free while the waiting jobs were held off after failures.
    Troubled,
    /// Free while the teams of the waiting tasks were at their limits.
    Limits,
    /// Free while a task that fits waited for the next scheduling cycle.
    Round,
}

/// Error in reading the text of an account.
#[derive(Debug, thiserror::Error)]
pub enum AccountError {
    /// The text is not a JSON object of numbers.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The account has a figure with an unknown name.
    #[error("{0}: no such figure")]
    UnknownFigure(String),
}

/// Core-seconds by use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreSeconds([f64; CoreUse::COUNT]);

impl CoreSeconds {
    /// Returns the core-seconds of one use.
    pub fn get(&self, core_use: CoreUse) -> f64 {
        self.0[core_use as usize]
    }

    /// Adds core-seconds to one use.
    pub fn count(&mut self, core_use: CoreUse, core_seconds: f64) {
        self.0[core_use as usize] += core_seconds;
    }

    /// Returns the name and core-seconds of each use, in the order of [`CoreUse`].
    pub fn figures(&self) -> impl Iterator<Item = (&'static str, f64)> + '_ {
        CoreUse::iter().map(|core_use| (core_use.into(), self.get(core_use)))
    }

    /// Returns the sum over all uses.
    pub fn total(&self) -> f64 {
        self.0.iter().sum()
    }

    /// Adds the core-seconds of another account.
    pub fn add(&mut self, other: &Self) {
        for (value, added) in self.0.iter_mut().zip(&other.0) {
            *value += added;
        }
    }

    /// Returns the account as one line of JSON: rounded core-seconds by name.
    pub fn to_json(&self) -> String {
        let written = self
            .figures()
            .filter(|(_, s)| s.abs() >= MIN_WRITTEN_CORE_SECONDS);
        let map: serde_json::Map<_, _> = written
            .map(|(name, s)| (name.to_string(), (s.round() as i64).into()))
            .collect();
        serde_json::Value::Object(map).to_string()
    }

    /// Parses the output of [`to_json`](Self::to_json).
    ///
    /// # Errors
    ///
    /// If `text` is not a JSON object of numbers, or has a figure with an unknown name.
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

/// Account of one shard that is being sampled.
#[derive(Clone, Debug, Default)]
pub struct Account {
    sum: CoreSeconds,
    sampled_at: Option<Millis>,
    /// Seconds for which each assigned attempt of an array's task was sampled as running, and its
    /// number of cores.
    run_times: HashMap<(Task, u64), (f64, f64)>,
}

impl Account {
    /// Returns and resets what has been counted since the last call.
    pub fn take(&mut self) -> CoreSeconds {
        std::mem::take(&mut self.sum)
    }

    /// Drops the state of the sampling because the shard has another owner. What has been counted
    /// is kept.
    pub(crate) fn clear(&mut self) {
        self.run_times.clear();
        self.sampled_at = None;
    }

    /// Drops the attempts that are not assigned any more, and moves the run time of those that were
    /// lost from `Arrays` to `Lost`.
    fn settle_ended_attempts(&mut self, shard_id: usize, mirror: &Mirror) {
        let sum = &mut self.sum;
        self.run_times
            .retain(|&(task, attempt), &mut (seconds, cores)| {
                let (job, number) = task;
                let group = mirror.tasks.assignments.get(&(shard_id, job));
                let assigned = group.and_then(|group| group.assignments.get(&number));
                if assigned.is_some_and(|(assignment, _)| assignment.attempt == attempt) {
                    return true;
                }
                let is_done = mirror.end(job) == Some(JobOutcome::Done)
                    || group.is_some_and(|group| group.done.contains(number));
                let open = mirror.open.get(&job);
                let is_service = open.is_some_and(|open| open.spec.shape == Shape::Service);
                // Not lost: the time of a service's task, and that of a task that its user
                // cancelled.
                if !is_done && !is_service && mirror.end(job).is_none() {
                    sum.count(CoreUse::Lost, seconds * cores);
                    sum.count(CoreUse::Arrays, -seconds * cores);
                }
                false
            });
    }
}
