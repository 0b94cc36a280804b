//! Scale-in: releases of listed machines that are dead, never came up, are silent, are unreachable,
//! fail their tasks, or are idle.

use super::failure_attribution::FAULTY_MACHINE_FAILURES;
use super::release::{MAX_RELEASED, ReleaseReason};
use crate::Millis;
use crate::controller::Controller;
use crate::leader::provisioning_times::ProvisioningProgress;
use crate::machine::{Machine, MachineState};
use crate::reachability::Reachability;
use cherryyard_wire::cloud::{Instance, InstanceStatus};

/// Time beyond its lease for which a machine may be unreachable before it is released.
const UNREACHABLE_AFTER_LEASE_MS: f64 = 30_000.0;
/// Time beyond its lease for which a machine may be silent before it is released.
const SILENT_AFTER_LEASE_MS: f64 = 15_000.0;
/// Time beyond two leases that a listed machine may take to report to its owner.
const FIRST_REPORT_MS: f64 = 20_000.0;
/// Share of a shard's cores that must stay free when idle machines are released.
const MIN_FREE_SHARE: f64 = 0.6;

/// Capacity and reachability of a shard's machines, updated as idle ones are chosen for release.
#[derive(Clone, Copy, Debug, Default)]
struct ShardUsage {
    /// Free and total cores of the usable machines.
    free_cores: f64,
    cores: f64,
    unreachable_machines: usize,
    machines: usize,
}

impl ShardUsage {
    /// Returns whether few enough machines are unreachable for the machines to be at fault. If many
    /// are, the fault is in the network between this controller and the machines.
    fn few_unreachable(&self) -> bool {
        self.machines > 0 && self.unreachable_machines <= (self.machines / 5).max(1)
    }
}

/// A listed machine that is to be released.
struct ListedRelease {
    name: String,
    shard_id: usize,
    reason: ReleaseReason,
}

impl Controller {
    /// Releases listed machines that are dead, never came up, are silent, are unreachable, fail
    /// their tasks, or are idle, and machines with assignments that are not listed.
    pub(crate) fn scale_in_listed(&mut self, now: Millis) {
        // After this process was suspended, other controllers may have acquired its shards, which
        // shows only once the state has been read again.
        if !self.caught_up() {
            return;
        }
        let mut released = Vec::new();
        for ListedRelease {
            name,
            shard_id,
            reason,
        } in self.choose_releases(now)
        {
            let host = self.mirror.hosts.intern(&name);
            released.push(self.note_release_request(host, shard_id, reason, now));
        }
        self.send_release(released);
        self.release_unlisted(now);
    }

    /// Returns the listed machines to release.
    fn choose_releases(&self, now: Millis) -> Vec<ListedRelease> {
        let mut usage = self.shard_usage(now);
        let mut names: Vec<&String> = self.cloud_machines.keys().collect();
        names.sort();
        let mut released = Vec::new();
        for name in names {
            if released.len() >= MAX_RELEASED {
                break;
            }
            let entry = &self.cloud_machines[name];
            let shard_id = self.config.shard_map.shard(&entry.zone, name);
            if self.owned_token(shard_id).is_none() {
                continue;
            }
            if let Some(reason) = self.release_reason(name, entry, &mut usage[shard_id], now) {
                let name = name.clone();
                released.push(ListedRelease {
                    name,
                    shard_id,
                    reason,
                });
            }
        }
        released
    }

    fn shard_usage(&self, now: Millis) -> Vec<ShardUsage> {
        let mut usage = vec![ShardUsage::default(); self.shards.len()];
        for machine in self.machines.values() {
            let shard = &mut usage[machine.shard];
            shard.machines += 1;
            if matches!(machine.reachability, Reachability::Unreachable(_)) {
                shard.unreachable_machines += 1;
            }
            if let (Some(total), Some(free)) =
                (self.total_capacity(machine), self.free_on(machine, None))
                && machine.is_usable(now, self.silence_ms())
            {
                shard.free_cores += free.cores;
                shard.cores += total.cores;
            }
        }
        usage
    }

    /// Returns the reason to release a listed machine of an owned shard now, if there is one.
    fn release_reason(
        &self,
        name: &str,
        entry: &Instance,
        usage: &mut ShardUsage,
        now: Millis,
    ) -> Option<ReleaseReason> {
        let host = self.mirror.hosts.get(name);
        match host.and_then(|host| self.machines.get(&host)) {
            Some(machine) => self.release_reason_of_known(machine, entry, usage, now),
            None => self.release_reason_of_unreported(name, entry, now),
        }
    }

    /// Returns the reason to release a machine that has reported or whose release was requested
    /// before, if there is one.
    fn release_reason_of_known(
        &self,
        machine: &Machine,
        entry: &Instance,
        usage: &mut ShardUsage,
        now: Millis,
    ) -> Option<ReleaseReason> {
        if machine.state == MachineState::Gone || now < machine.release_after {
            return None;
        }
        if machine.state == MachineState::Returning {
            return Some(ReleaseReason::RequestedBefore);
        }
        if entry.status == InstanceStatus::Failed {
            return Some(ReleaseReason::Failed);
        }
        let silence_limit = self.config.lease_ms + SILENT_AFTER_LEASE_MS;
        if now - machine.last_heard_at > silence_limit
            && self.lag.time_without_lag(now) > silence_limit
        {
            return Some(ReleaseReason::Silent);
        }
        if machine.failures() >= FAULTY_MACHINE_FAILURES {
            return Some(ReleaseReason::Failing);
        }
        if self.is_long_unreachable(machine, now) && usage.few_unreachable() {
            return Some(ReleaseReason::Unreachable);
        }
        let cores = self
            .total_capacity(machine)
            .map_or(0.0, |total| total.cores);
        if self.is_idle(machine, now) && usage.free_cores - cores > MIN_FREE_SHARE * usage.cores {
            usage.free_cores -= cores;
            return Some(ReleaseReason::Idle);
        }
        None
    }

    /// Returns the reason to release a machine that is listed and has never reported, if there is
    /// one.
    fn release_reason_of_unreported(
        &self,
        name: &str,
        entry: &Instance,
        now: Millis,
    ) -> Option<ReleaseReason> {
        match entry.status {
            InstanceStatus::Failed => Some(ReleaseReason::Failed),
            InstanceStatus::Starting => (self.provisioning_progress(entry)
                == ProvisioningProgress::Failed)
                .then_some(ReleaseReason::NeverUp),
            InstanceStatus::Running | InstanceStatus::Other => {
                let shard_id = self.config.shard_map.shard(&entry.zone, name);
                let owned_for = now - self.shards[shard_id].lease.held_since();
                let max_wait_ms = self.config.lease_ms * 2.0 + FIRST_REPORT_MS;
                let ready_ms = self.ready_s(&entry.machine_type) * 1000.0;
                (owned_for > max_wait_ms && entry.held_s * 1000.0 > ready_ms + max_wait_ms)
                    .then_some(ReleaseReason::NeverReported)
            }
        }
    }

    /// Returns whether a machine has been unreachable for so long that it should be released.
    fn is_long_unreachable(&self, machine: &Machine, now: Millis) -> bool {
        match machine.reachability {
            Reachability::Unreachable(since) => {
                now - since > self.config.lease_ms + UNREACHABLE_AFTER_LEASE_MS
            }
            Reachability::Reachable(_) | Reachability::Suspected(_) => false,
        }
    }

    /// Returns whether a machine has had neither tasks nor assignments for a long time.
    fn is_idle(&self, machine: &Machine, now: Millis) -> bool {
        now - machine.busy_at > self.config.tuning.idle_return_s * 1000.0
            && !machine.has_tasks()
            && self.mirror.assignments_on(machine.host).next().is_none()
    }

    /// Releases machines that have assignments but neither report nor are listed, because they were
    /// reclaimed, or died and were dropped from the list. Only a release proves that none of their
    /// tasks remain.
    fn release_unlisted(&mut self, now: Millis) {
        let mut released: Vec<String> = Vec::new();
        for host in self.mirror.assigned_hosts().collect::<Vec<_>>() {
            if released.len() >= MAX_RELEASED {
                break;
            }
            if let Some(shard_id) = self.shard_of_unlisted(host, now) {
                let reason = ReleaseReason::NotListed;
                released.push(self.note_release_request(host, shard_id, reason, now));
            }
        }
        self.send_release(released);
    }

    /// Returns the owned shard of a machine that has assignments and is unexpectedly missing from
    /// the list, if its release can be requested.
    fn shard_of_unlisted(&self, host: u32, now: Millis) -> Option<usize> {
        let is_known = self.machines.get(&host).is_some_and(|machine| {
            machine.state == MachineState::Gone
                || now < machine.release_after
                || now - machine.last_heard_at < self.config.lease_ms
        });
        if is_known
            || self
                .cloud_machines
                .contains_key(self.mirror.hosts.name(host))
        {
            return None;
        }
        let shard_id = self.mirror.shard_of_assignment(host)?;
        self.owned_token(shard_id)?;
        // The list is delayed, so a new machine may not be listed yet.
        let owned_for = now - self.shards[shard_id].lease.held_since();
        let list_delay = 3.0 * self.config.list_lag_ms + self.config.lease_ms;
        (owned_for >= list_delay).then_some(shard_id)
    }
}
