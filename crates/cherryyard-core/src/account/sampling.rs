//! Samples of a shard's cores, and why those that do nothing are idle.

use super::{Account, CoreSeconds, CoreUse};
use crate::Millis;
use crate::controller::Controller;
use crate::machine::{Machine, MachineState};
use crate::mirror::OpenJob;
use crate::needs::Needs;
use cherryyard_wire::cloud::InstanceStatus;
use cherryyard_wire::job::Shape;
use cherryyard_wire::worker::TaskStatus;

/// Least time between two samples.
const SAMPLE_MS: f64 = 1000.0;
/// Longer gaps are not this account's to fill: the controller stood still.
const GAP_MS: f64 = 5000.0;
/// Waiting jobs that are looked at to tell why a machine is idle.
const MAX_INSPECTED_JOBS: usize = 40;

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
                let mut machine_types = self.mirror.catalog.machine_types.iter();
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
