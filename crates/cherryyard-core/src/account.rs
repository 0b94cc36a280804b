//! An account of a shard's core-seconds: what its machines' cores did, and why
//! those that did nothing were idle while something waited.
//!
//! It is sampled: each sample counts every core of the shard once, for the time
//! since the sample before. Nothing depends on it.

use crate::controller::Controller;
use crate::machine::{Machine, MachineState, Task};
use crate::mirror::OpenJob;
use crate::needs::Needs;
use crate::{Millis, Mirror};
use cherryyard_wire::cloud::InstanceStatus;
use cherryyard_wire::job::Shape;
use cherryyard_wire::record::End;
use cherryyard_wire::worker::TaskStatus;
use std::collections::HashMap;
use std::str::FromStr;
use strum::{EnumCount, IntoEnumIterator};

/// Least time between two samples.
const SAMPLE_MS: f64 = 1000.0;
/// Longer gaps are not this account's to fill: the controller stood still.
const GAP_MS: f64 = 5000.0;
/// Waiting jobs that are looked at to tell why a machine is idle.
const MAX_INSPECTED_JOBS: usize = 40;
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

/// One sample of a shard: what the time since the last one is counted by.
struct Sample<'a> {
    shard_id: usize,
    now: Millis,
    seconds: f64,
    waiting: Vec<(u64, &'a OpenJob)>,
    /// What each team uses in the shard.
    used: Vec<Needs>,
    /// Cores that waiting tasks of this shard, and of the others, could fill and that have
    /// not been counted as idle yet: capacity is idle while something waits only as far as
    /// that could fill it.
    wanted_here: f64,
    wanted_elsewhere: f64,
    /// What idle cores count as that nothing divided could fill.
    rest: CoreUse,
}

impl Controller {
    /// Takes a sample of shard `shard_id`, if it is ours and one is due.
    pub(crate) fn sample(&mut self, shard_id: usize, now: Millis) {
        if self.owned(shard_id).is_none() {
            return;
        }
        let since = self.shards[shard_id].account.sampled_at;
        let passed = since.map_or(0.0, |at| now - at);
        if since.is_some() && passed < SAMPLE_MS {
            return;
        }
        let mut account = std::mem::take(&mut self.shards[shard_id].account);
        account.sampled_at = Some(now);
        if passed > 0.0 && passed <= GAP_MS {
            self.count_shard(shard_id, now, passed / 1000.0, &mut account);
        }
        account.settle(shard_id, &self.mirror);
        self.shards[shard_id].account = account;
    }

    /// Counts every core of a shard once, for some seconds.
    fn count_shard(&self, shard_id: usize, now: Millis, seconds: f64, account: &mut Account) {
        let mut sample = self.begin_sample(shard_id, now, seconds);
        for machine in self.machines.values() {
            if machine.shard == shard_id && machine.state != MachineState::Gone {
                self.count_tasks(machine, seconds, account);
                self.count_free(machine, &mut sample, account);
            }
        }
        self.count_booting(shard_id, seconds, account);
    }

    fn begin_sample(&self, shard_id: usize, now: Millis, seconds: f64) -> Sample<'_> {
        let waiting = self.mirror.tasks.waiting[shard_id].keys();
        let open = waiting.filter_map(|job| Some((*job, self.mirror.open.get(job)?)));
        let others = (0..self.shards.len()).filter(|&other| other != shard_id);
        let wanted_by_others = others.map(|other| self.wanted(other)).sum::<f64>();
        Sample {
            shard_id,
            now,
            seconds,
            waiting: open.take(MAX_INSPECTED_JOBS).collect(),
            used: self.mirror.usage(shard_id),
            wanted_here: self.wanted(shard_id),
            wanted_elsewhere: wanted_by_others / self.shards.len() as f64,
            rest: if self.mirror.undivided.is_empty() {
                CoreUse::Spare
            } else {
                CoreUse::Undivided
            },
        }
    }

    /// Counts a machine's free cores, by why they are free.
    fn count_free(&self, machine: &Machine, sample: &mut Sample, account: &mut Account) {
        let seconds = sample.seconds;
        let free = self
            .free_on(machine, None)
            .map_or(0.0, |free| free.cores.max(0.0));
        if !machine.usable(sample.now, self.silence_ms()) {
            account.sum.count(CoreUse::Unusable, free * seconds);
            return;
        }
        let reserved = &self.shards[sample.shard_id].reserved;
        if reserved.contains_key(&machine.host) {
            account.sum.count(CoreUse::Kept, free * seconds);
            return;
        }
        let here = free.min(sample.wanted_here);
        if here > 0.0 {
            let reason = self.why_idle(machine, sample);
            account.sum.count(reason, here * seconds);
            sample.wanted_here -= here;
        }
        let elsewhere = (free - here).min(sample.wanted_elsewhere);
        sample.wanted_elsewhere -= elsewhere;
        account.sum.count(CoreUse::Elsewhere, elsewhere * seconds);
        let rest = free - here - elsewhere;
        account.sum.count(sample.rest, rest * seconds);
    }

    /// Counts machines of the shard that were provisioned and are not up yet.
    fn count_booting(&self, shard_id: usize, seconds: f64, account: &mut Account) {
        for (name, entry) in &self.listed {
            if entry.status == InstanceStatus::Starting
                && self.config.shard_map.shard(&entry.zone, name) == shard_id
            {
                let mut machine_types = self.mirror.machine_types.iter();
                let machine_type = machine_types.find(|t| t.sku == entry.machine_type);
                let cores = machine_type.map_or(0.0, |t| t.cores);
                account.sum.count(CoreUse::Booting, cores * seconds);
            }
        }
    }

    /// Cores that the waiting tasks of a shard take.
    fn wanted(&self, shard_id: usize) -> f64 {
        let waiting = self.mirror.tasks.waiting[shard_id].iter();
        let cores = waiting.filter_map(|(job, set)| {
            let open = self.mirror.open.get(job)?;
            Some(f64::from(set.len()) * open.spec.cores)
        });
        cores.sum()
    }

    /// Counts the cores of a machine's tasks.
    fn count_tasks(&self, machine: &Machine, seconds: f64, account: &mut Account) {
        for (task, assignment) in self.mirror.on_host(machine.host) {
            let Some((_, needs)) = self.mirror.uses(task.0) else {
                continue;
            };
            let reported = machine.reported.get(&task);
            let reported = reported.filter(|reported| reported.attempt == assignment.attempt);
            let open = self.mirror.open.get(&task.0);
            let is_service = open.is_some_and(|open| open.spec.shape == Shape::Service);
            let core_use = match reported.map(|reported| reported.status) {
                None => CoreUse::Starting,
                Some(TaskStatus::Fetching) => CoreUse::Fetching,
                Some(TaskStatus::Ended) => CoreUse::Ending,
                Some(TaskStatus::Running | TaskStatus::Saving | TaskStatus::Other)
                    if is_service =>
                {
                    CoreUse::Replicas
                }
                Some(TaskStatus::Running | TaskStatus::Saving | TaskStatus::Other) => {
                    let attempt = (task, assignment.attempt);
                    let ran = account.ran.entry(attempt).or_insert((0.0, needs.cores));
                    ran.0 += seconds;
                    CoreUse::Arrays
                }
            };
            account.sum.count(core_use, needs.cores * seconds);
        }
        for (task, reported) in &machine.reported {
            if !reported.ended() && self.mirror.assignment_on(machine.host, *task).is_none() {
                let cores = self
                    .mirror
                    .uses(task.0)
                    .map_or(0.0, |(_, needs)| needs.cores);
                account.sum.count(CoreUse::Strays, cores * seconds);
            }
        }
    }

    /// Why free cores of a machine are idle while jobs wait: the reason that comes nearest to
    /// letting one of them run there.
    fn why_idle(&self, machine: &Machine, sample: &Sample) -> CoreUse {
        let free = self.free_on(machine, None).unwrap_or_default();
        let shard_id = sample.shard_id;
        let why = |&(job, open): &(u64, &OpenJob)| {
            let needs = open.needs();
            let failures = self.shards[shard_id].job_failures.get(&job);
            if !self.allowed(open, machine) {
                CoreUse::Excluded
            } else if !needs.fits(&free) {
                CoreUse::Fragments
            } else if failures.is_some_and(|failures| failures.held_off(sample.now)) {
                CoreUse::Troubled
            } else if self.beyond_grant(shard_id, open.team, &sample.used, &needs) {
                CoreUse::Limits
            } else {
                CoreUse::Round
            }
        };
        let reasons = sample.waiting.iter().map(why);
        reasons.max().unwrap_or(CoreUse::Excluded)
    }

    /// What each shard of ours has counted since the last call.
    pub fn accounts(&mut self) -> Vec<(usize, CoreSeconds)> {
        let taken = self.shards.iter_mut().map(|shard| shard.account.take());
        let all = taken.enumerate();
        all.filter(|(_, sum)| sum.total() > 0.0).collect()
    }
}
