//! An account of a shard's core-seconds: what its machines' cores did, and why
//! those that did nothing were idle while something waited.
//!
//! It is sampled: each sample counts every core of the shard once, for the time
//! since the sample before. Nothing depends on it.

use crate::controller::Controller;
use crate::machine::{Machine, MachineState, Task};
use crate::mirror::OpenJob;
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
const JOBS: usize = 40;

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

/// Core-seconds by what they went to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CoreSeconds([f64; CoreUse::COUNT]);

impl CoreSeconds {
    /// What went to one thing.
    pub fn get(&self, core_use: CoreUse) -> f64 {
        self.0[core_use as usize]
    }

    /// Counts core-seconds.
    pub fn count(&mut self, core_use: CoreUse, s: f64) {
        self.0[core_use as usize] += s;
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
        let all = self.figures().filter(|f| f.1.abs() >= 0.5);
        let map: serde_json::Map<_, _> = all
            .map(|(name, s)| (name.to_string(), (s.round() as i64).into()))
            .collect();
        serde_json::Value::Object(map).to_string()
    }

    /// Reads what [`to_json`](Self::to_json) wrote; figures that are not known
    /// are named in the error.
    pub fn from_json(text: &str) -> Result<Self, String> {
        let map: HashMap<String, f64> = serde_json::from_str(text).map_err(|e| e.to_string())?;
        let mut sum = Self::default();
        for (name, s) in map {
            let core_use =
                CoreUse::from_str(&name).map_err(|_| format!("{name}: no such figure"))?;
            sum.count(core_use, s);
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
        self.ran.retain(|&(task, attempt), &mut (s, cores)| {
            let (job, number) = task;
            let assignments = mirror.tasks.assignments.get(&(shard_id, job));
            let assigned = assignments.and_then(|m| m.assignments.get(&number));
            if assigned.is_some_and(|(m, _)| m.attempt == attempt) {
                return true;
            }
            let done = mirror.end(job) == Some(End::Done)
                || assignments.is_some_and(|m| m.done.contains(number));
            let service = mirror
                .open
                .get(&job)
                .is_some_and(|o| o.spec.shape == Shape::Service);
            // A replica was of use while it ran; so is what its user ended.
            if !done && !service && mirror.end(job).is_none() {
                sum.count(CoreUse::Lost, s * cores);
                sum.count(CoreUse::Arrays, -s * cores);
            }
            false
        });
    }
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
            self.count(shard_id, now, passed / 1000.0, &mut account);
        }
        account.settle(shard_id, &self.mirror);
        self.shards[shard_id].account = account;
    }

    fn count(&self, shard_id: usize, now: Millis, s: f64, account: &mut Account) {
        let silence = self.silence_ms();
        let waiting: Vec<(u64, &OpenJob)> = self.mirror.tasks.waiting[shard_id]
            .keys()
            .filter_map(|job| Some((*job, self.mirror.open.get(job)?)))
            .take(JOBS)
            .collect();
        let undivided = !self.mirror.undivided.is_empty();
        // Room is idle while something waits only as far as that could fill it.
        let mut wanted = self.wanted(shard_id);
        let others = (0..self.shards.len()).filter(|&q| q != shard_id);
        let mut elsewhere = others.map(|q| self.wanted(q)).sum::<f64>() / self.shards.len() as f64;
        let used = self.mirror.usage(shard_id);
        for m in self.machines.values().filter(|m| m.shard == shard_id) {
            if m.state == MachineState::Gone {
                continue;
            }
            self.count_tasks(m, s, account);
            let free = self.free_on(m, None).map_or(0.0, |f| f.cores.max(0.0));
            if !m.usable(now, silence) {
                account.sum.count(CoreUse::Unusable, free * s);
                continue;
            }
            if self.shards[shard_id].reserved.contains_key(&m.host) {
                account.sum.count(CoreUse::Kept, free * s);
                continue;
            }
            let here = free.min(wanted);
            if here > 0.0 {
                let why = self.why_idle(shard_id, m, &waiting, &used, now);
                account.sum.count(why, here * s);
                wanted -= here;
            }
            let there = (free - here).min(elsewhere);
            elsewhere -= there;
            account.sum.count(CoreUse::Elsewhere, there * s);
            let rest = if undivided {
                CoreUse::Undivided
            } else {
                CoreUse::Spare
            };
            account.sum.count(rest, (free - here - there) * s);
        }
        for (name, entry) in &self.listed {
            if entry.status == InstanceStatus::Starting
                && self.config.shard_map.shard(&entry.zone, name) == shard_id
            {
                let machine_type = self
                    .mirror
                    .catalog
                    .machine_types
                    .iter()
                    .find(|k| k.sku == entry.machine_type);
                let cores = machine_type.map_or(0.0, |k| k.cores);
                account.sum.count(CoreUse::Booting, cores * s);
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

    fn count_tasks(&self, m: &Machine, s: f64, account: &mut Account) {
        for (task, assignment) in self.mirror.on_host(m.host) {
            let Some((_, needs)) = self.mirror.uses(task.0) else {
                continue;
            };
            let cores = needs.cores * s;
            let reported = m
                .reported
                .get(&task)
                .filter(|t| t.attempt == assignment.attempt);
            let open = self.mirror.open.get(&task.0);
            let service = open.is_some_and(|o| o.spec.shape == Shape::Service);
            let core_use = match reported.map(|t| t.status) {
                None => CoreUse::Starting,
                Some(TaskStatus::Fetching) => CoreUse::Fetching,
                Some(TaskStatus::Ended) => CoreUse::Ending,
                Some(_) if service => CoreUse::Replicas,
                Some(_) => {
                    let key = (task, assignment.attempt);
                    account.ran.entry(key).or_insert((0.0, needs.cores)).0 += s;
                    CoreUse::Arrays
                }
            };
            account.sum.count(core_use, cores);
        }
        for (task, reported) in &m.reported {
            if !reported.ended() && self.mirror.assignment_on(m.host, *task).is_none() {
                let cores = self.mirror.uses(task.0).map_or(0.0, |u| u.1.cores);
                account.sum.count(CoreUse::Strays, cores * s);
            }
        }
    }

    /// The reason that comes nearest to letting one of them run there.
    fn why_idle(
        &self,
        shard_id: usize,
        m: &Machine,
        waiting: &[(u64, &OpenJob)],
        used: &[crate::needs::Needs],
        now: Millis,
    ) -> CoreUse {
        let free = self.free_on(m, None).unwrap_or_default();
        let why = |&(job, open): &(u64, &OpenJob)| {
            let needs = open.needs();
            let at_limit = self.beyond_grant(shard_id, open.team, used, &needs);
            let job_failures = self.shards[shard_id].job_failures.get(&job);
            if !self.allowed(open, m) {
                CoreUse::Excluded
            } else if !needs.fits(&free) {
                CoreUse::Fragments
            } else if job_failures.is_some_and(|t| t.held_off(now)) {
                CoreUse::Troubled
            } else if at_limit {
                CoreUse::Limits
            } else {
                CoreUse::Round
            }
        };
        waiting.iter().map(why).max().unwrap_or(CoreUse::Excluded)
    }

    /// What each part of ours has counted since the last call.
    pub fn accounts(&mut self) -> Vec<(usize, CoreSeconds)> {
        let taken = self.shards.iter_mut().map(|shard| shard.account.take());
        let all = taken.enumerate();
        all.filter(|(_, sum)| sum.total() > 0.0).collect()
    }
}
