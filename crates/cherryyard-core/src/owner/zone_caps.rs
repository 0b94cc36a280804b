//! Caps on the number of a job's tasks by zone, for jobs whose tasks must be apart.

use super::cycle::Cycle;
use crate::controller::Controller;
use crate::machine::Machine;
use crate::mirror::OpenJob;
use std::collections::HashMap;

/// Number of a job's tasks by the zones of their machines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ZoneCounts {
    /// Tasks on machines whose zone is known.
    by_zone: HashMap<String, u32>,
    /// Tasks on machines whose zone is unknown.
    unknown: u32,
}

impl ZoneCounts {
    /// Counts a task on a machine of this zone, or of an unknown one if `zone` is `None`.
    pub(super) fn add(&mut self, zone: Option<&str>) {
        match zone {
            Some(zone) => *self.by_zone.entry(zone.to_string()).or_default() += 1,
            None => self.unknown += 1,
        }
    }

    /// Returns the largest number of tasks that may be in a zone. A machine whose zone is unknown
    /// may be in any zone, so its tasks count in each of them.
    pub(super) fn largest_in(&self, zone: &str) -> u32 {
        self.by_zone.get(zone).copied().unwrap_or(0) + self.unknown
    }
}

impl Controller {
    /// Returns the number of a job's tasks in each zone after the cycle. The tasks are counted only
    /// for jobs with caps by zone.
    pub(super) fn zone_counts(&self, shard_id: usize, job: u64, cycle: &Cycle) -> ZoneCounts {
        let mut counts = ZoneCounts::default();
        let open = self.mirror.open.get(&job);
        if open.is_none_or(|open| open.zone_caps.is_empty()) {
            return counts;
        }
        if let Some(job_tasks) = self.mirror.tasks.assignments.get(&(shard_id, job)) {
            for (&number, (assignment, _)) in &job_tasks.assignments {
                if !cycle.withdrawn.contains(&(job, number)) {
                    counts.add(self.zone_of(assignment.host));
                }
            }
        }
        for (&host, tasks) in &cycle.assigned {
            for _ in tasks.iter().filter(|task| task.0 == job) {
                counts.add(self.zone_of(host));
            }
        }
        counts
    }

    /// Returns the zone of a machine, if the machine or the cloud's list has told it.
    fn zone_of(&self, host: u32) -> Option<&str> {
        let machine = self.machines.get(&host);
        machine.and_then(Machine::zone).or_else(|| {
            let entry = self.cloud_machines.get(self.mirror.hosts.name(host))?;
            Some(entry.zone.as_str())
        })
    }

    /// Returns whether the job's rules and its caps by zone allow one more task on a machine.
    pub(super) fn may_take_one_more(
        &self,
        shard_id: usize,
        open: &OpenJob,
        machine: &Machine,
        counts: &ZoneCounts,
    ) -> bool {
        self.allowed(open, machine) && self.is_within_zone_cap(shard_id, open, machine, counts)
    }

    /// Returns whether the shard may start one more task of a job in a machine's zone.
    fn is_within_zone_cap(
        &self,
        shard_id: usize,
        open: &OpenJob,
        machine: &Machine,
        counts: &ZoneCounts,
    ) -> bool {
        if !open.spec.apart || open.spec.task_count == 1 {
            return true;
        }
        let Some(zone) = machine.zone() else {
            return false;
        };
        let cap = self.zone_cap(shard_id, open, zone);
        cap.is_some_and(|cap| counts.largest_in(zone) < cap)
    }

    /// Returns how many tasks of a job the shard may have in a zone, or `None` if the job has no cap
    /// there.
    fn zone_cap(&self, shard_id: usize, open: &OpenJob, zone: &str) -> Option<u32> {
        let zone_index = self.config.zones.get(zone)?;
        let caps = open.zone_caps.get(shard_id)?;
        caps.get(zone_index as usize).copied()
    }

    /// Logs what a task of a job with caps by zone is placed by: the cap, and the zones in which the
    /// job's other tasks in the shard are counted.
    pub(super) fn log_zone_cap(
        &self,
        (job, number): (u64, u32),
        host: u32,
        counts: &ZoneCounts,
        cycle: &Cycle,
    ) {
        let open = &self.mirror.open[&job];
        if open.zone_caps.is_empty() {
            return;
        }
        let machine = &self.machines[&host];
        let cap_in = |zone| self.zone_cap(machine.shard, open, zone);
        tracing::debug!(
            shard = machine.shard,
            job,
            number,
            machine = self.mirror.hosts.name(host),
            zone = machine.zone(),
            cap = machine.zone().and_then(cap_in),
            ?counts,
            withdrawn = cycle.withdrawn_of(job),
            "task placed under a cap by zone"
        );
    }
}

#[cfg(test)]
mod tests;
