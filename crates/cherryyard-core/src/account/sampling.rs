//! Sampling of the use of a shard's cores, with the reasons for idle ones.

use super::{Account, CoreSeconds, CoreUse};
use crate::Millis;
use crate::controller::Controller;
use crate::machine::{Machine, MachineState};
use crate::mirror::OpenJob;
use crate::needs::Resources;
use cherryyard_wire::cloud::InstanceStatus;
use cherryyard_wire::job::Shape;
use cherryyard_wire::worker::TaskStatus;

/// Shortest time between two samples in milliseconds.
const SAMPLE_MS: f64 = 1000.0;
/// Longest time between two samples that is counted, in milliseconds. In a longer gap the
/// controller was paused, and the use of the cores is unknown.
const MAX_GAP_MS: f64 = 5000.0;
/// Largest number of waiting jobs that are inspected for the reason for idle cores.
const MAX_INSPECTED_JOBS: usize = 40;

/// State of one sample of a shard, by which the time since the previous one is counted.
struct Sample<'a> {
    shard_id: usize,
    now: Millis,
    seconds: f64,
    waiting: Vec<(u64, &'a OpenJob)>,
    /// Resources that each team uses in the shard.
    used: Vec<Resources>,
    /// Cores that waiting tasks of this shard could use, without the idle cores counted so far for
    /// these tasks. No more free cores than this count as idle while tasks wait in the shard.
    usable_here: f64,
    /// This shard's part of the cores that waiting tasks of other shards could use, without the
    /// idle cores counted so far for these tasks.
    usable_elsewhere: f64,
    /// Use that is counted for free cores beyond `usable_here` and `usable_elsewhere`.
    surplus_use: CoreUse,
}

impl Controller {
    /// Samples the shard `shard_id`, if this controller owns it and a sample is due.
    pub(crate) fn sample(&mut self, shard_id: usize, now: Millis) {
        if self.owned_token(shard_id).is_none() {
            return;
        }
        let since = self.shards[shard_id].account.sampled_at;
        let passed = since.map_or(0.0, |at| now - at);
        if since.is_some() && passed < SAMPLE_MS {
            return;
        }
        let mut account = std::mem::take(&mut self.shards[shard_id].account);
        account.sampled_at = Some(now);
        if passed > 0.0 && passed <= MAX_GAP_MS {
            self.count_shard(shard_id, now, passed / 1000.0, &mut account);
        }
        account.settle_ended_attempts(shard_id, &self.mirror);
        self.shards[shard_id].account = account;
    }

    /// Counts every core of a shard once, for the given number of seconds.
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
        let waiting_in_others = others.map(|other| self.waiting_cores(other)).sum::<f64>();
        Sample {
            shard_id,
            now,
            seconds,
            waiting: open.take(MAX_INSPECTED_JOBS).collect(),
            used: self.mirror.usage(shard_id),
            usable_here: self.waiting_cores(shard_id),
            usable_elsewhere: waiting_in_others / self.shards.len() as f64,
            surplus_use: if self.mirror.undivided.is_empty() {
                CoreUse::Spare
            } else {
                CoreUse::Undivided
            },
        }
    }

    /// Counts the free cores of a machine by the reason for which they are free.
    fn count_free(&self, machine: &Machine, sample: &mut Sample, account: &mut Account) {
        let seconds = sample.seconds;
        let free = self
            .free_on(machine, None)
            .map_or(0.0, |free| free.cores.max(0.0));
        if !machine.is_usable(sample.now, self.silence_ms()) {
            account.sum.count(CoreUse::Unusable, free * seconds);
            return;
        }
        let reserved = &self.shards[sample.shard_id].reserved;
        if reserved.contains_key(&machine.host) {
            account.sum.count(CoreUse::Kept, free * seconds);
            return;
        }
        let here = free.min(sample.usable_here);
        if here > 0.0 {
            let reason = self.idle_reason(machine, sample);
            account.sum.count(reason, here * seconds);
            sample.usable_here -= here;
        }
        let elsewhere = (free - here).min(sample.usable_elsewhere);
        sample.usable_elsewhere -= elsewhere;
        account.sum.count(CoreUse::Elsewhere, elsewhere * seconds);
        let rest = free - here - elsewhere;
        account.sum.count(sample.surplus_use, rest * seconds);
    }

    /// Counts the cores of the shard's machines that are provisioned and not up yet.
    fn count_booting(&self, shard_id: usize, seconds: f64, account: &mut Account) {
        for (name, entry) in &self.cloud_machines {
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

    /// Returns the number of cores that the waiting tasks of a shard need.
    fn waiting_cores(&self, shard_id: usize) -> f64 {
        let waiting = self.mirror.tasks.waiting[shard_id].iter();
        let cores = waiting.filter_map(|(job, set)| {
            let open = self.mirror.open.get(job)?;
            Some(f64::from(set.len()) * open.spec.cores)
        });
        cores.sum()
    }

    /// Counts the cores of a machine's tasks.
    fn count_tasks(&self, machine: &Machine, seconds: f64, account: &mut Account) {
        for (task, assignment) in self.mirror.assignments_on(machine.host) {
            let Some((_, needs)) = self.mirror.task_resources(task.0) else {
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
                    let run_time = account
                        .run_times
                        .entry(attempt)
                        .or_insert((0.0, needs.cores));
                    run_time.0 += seconds;
                    CoreUse::Arrays
                }
            };
            account.sum.count(core_use, needs.cores * seconds);
        }
        for (task, reported) in &machine.reported {
            if !reported.ended() && self.mirror.assignment_on(machine.host, *task).is_none() {
                let cores = self
                    .mirror
                    .task_resources(task.0)
                    .map_or(0.0, |(_, needs)| needs.cores);
                account.sum.count(CoreUse::Strays, cores * seconds);
            }
        }
    }

    /// Returns why free cores of a machine are idle while jobs wait: of the reasons for the
    /// inspected jobs the one that is closest to letting a job run there.
    fn idle_reason(&self, machine: &Machine, sample: &Sample) -> CoreUse {
        let free = self.free_on(machine, None).unwrap_or_default();
        let shard_id = sample.shard_id;
        let job_reason = |&(job, open): &(u64, &OpenJob)| {
            let needs = open.needs();
            let failures = self.shards[shard_id].job_failures.get(&job);
            if !self.allowed(open, machine) {
                CoreUse::Excluded
            } else if !needs.fits(&free) {
                CoreUse::Fragments
            } else if failures.is_some_and(|failures| failures.is_on_hold(sample.now)) {
                CoreUse::Troubled
            } else if self.exceeds_grant(shard_id, open.team, &sample.used, &needs) {
                CoreUse::Limits
            } else {
                CoreUse::Round
            }
        };
        let reasons = sample.waiting.iter().map(job_reason);
        reasons.max().unwrap_or(CoreUse::Excluded)
    }

    /// Returns what the account of each shard has counted since the last call, without empty
    /// accounts.
    pub fn accounts(&mut self) -> Vec<(usize, CoreSeconds)> {
        let taken = self.shards.iter_mut().map(|shard| shard.account.take());
        let all = taken.enumerate();
        all.filter(|(_, sum)| sum.total() > 0.0).collect()
    }
}
