//! Releases of unresponsive machines before their leases prove their tasks gone, or because no
//! lease can: silent machines with services or cancelled tasks, and machines that have not reached
//! a shard's new owner.

use super::release::{MAX_RELEASED, ReleaseReason};
use crate::Millis;
use crate::controller::Controller;
use crate::machine::{Machine, MachineState, Task};
use crate::reachability::Reachability;
use cherryyard_wire::job::Shape;
use cherryyard_wire::record::JobOutcome;

/// Share of the time limit for stopping a cancelled job's tasks after which a silent machine that
/// may run one is released.
const CANCELLED_RELEASE_SHARE: f64 = 0.7;
/// Share of that time limit after which a new owner waits no longer for such a machine than for one
/// that has reported.
const CANCELLED_LATE_SHARE: f64 = 0.8;
/// Number of heartbeat intervals after which the next heartbeat is overdue.
const OVERDUE_HEARTBEATS: f64 = 1.25;
/// Time that a heartbeat may take to arrive before its machine counts as overdue, and as silent.
const OVERDUE_MS: f64 = 250.0;
const SILENT_MS: f64 = 2000.0;
/// Minimum gain of a release over waiting for the end of the lease, in heartbeat intervals.
const MIN_GAIN: f64 = 2.0;
/// Minimum gain of a release that, if the machine merely hangs, would lose tasks other than
/// services'.
const MIN_GAIN_WITH_ARRAYS: f64 = 3.0;
/// Time after which the release of a silent machine with services may be requested again.
const SERVICES_RETRY_MS: f64 = 3000.0;
/// Time that a machine may take to reach a new owner, in addition to a heartbeat that gets no
/// answer.
const REACH_OWNER_MS: f64 = 8000.0;
/// Time after that limit during which a new owner releases machines that have not reached it.
const NEW_OWNER_RELEASE_MS: f64 = 60_000.0;

/// Number of a shard's machines by the time of their last message.
#[derive(Clone, Copy, Debug, Default)]
struct ContactCounts {
    machines: usize,
    /// Machines whose heartbeat is overdue but whose lease has not expired.
    overdue: usize,
    /// Machines with a recent message.
    recent: usize,
}

impl ContactCounts {
    /// Returns whether only a few machines are silent. If many are, the fault is in the network
    /// between this controller and the machines.
    fn only_few_silent(&self) -> bool {
        let others = self.machines.saturating_sub(self.overdue);
        self.overdue <= (self.machines / 5).max(1) && self.recent * 4 >= others
    }
}

impl Controller {
    /// Releases silent machines with tasks of services at once: if such a machine is dead, the
    /// answer proves the tasks gone well before the lease would. Machines that run only arrays wait
    /// for the end of the lease, because they may come back with their work. If many machines are
    /// silent, none is released.
    pub(crate) fn release_silent(&mut self, shard_id: usize, now: Millis) {
        let limit = self.config.report_ms * OVERDUE_HEARTBEATS + SILENT_MS;
        // A release costs a machine that merely hangs the rest of its lease. This is worthwhile
        // only if the end of the lease is much later, or somewhat later if only services would be
        // lost.
        let gain = (self.config.lease_ms - limit) / self.config.report_ms;
        // Heartbeats that are processed late because this controller is delayed do not count as
        // silence.
        if gain < MIN_GAIN
            || !self.state_fresh(now)
            || now - self.shards[shard_id].lease.held_since() < 2.0 * limit
            || self.lag.time_without_lag(now) < limit
        {
            return;
        }
        let silent: Vec<u32> = self
            .confirmed_machines(shard_id)
            .filter(|m| {
                now - m.last_heard_at > limit
                    && !m.lease_over
                    && matches!(m.state, MachineState::Ready | MachineState::Returning)
            })
            .map(|m| m.host)
            .collect();
        if silent.is_empty() || !self.contact_counts(shard_id, now).only_few_silent() {
            return;
        }
        let mut released = Vec::new();
        for host in silent {
            if !self.is_release_worthwhile(host, gain) || released.len() >= MAX_RELEASED {
                continue;
            }
            if let Some(machine) = self.machines.get_mut(&host)
                && now >= machine.release_after
            {
                machine.request_release(now + SERVICES_RETRY_MS);
                let name = self.mirror.hosts.name(host).to_string();
                let reason = ReleaseReason::SilentWithServices.text();
                tracing::info!(machine = %name, shard = shard_id, reason, "instance release requested");
                released.push(name);
            }
        }
        self.send_release(released);
    }

    /// Returns a shard's machines whose newest message carries the current token.
    fn confirmed_machines(&self, shard_id: usize) -> impl Iterator<Item = &Machine> {
        self.machines
            .values()
            .filter(move |m| m.shard == shard_id && m.shows_own_token())
    }

    /// Counts a shard's overdue machines and those with a recent message.
    ///
    /// Machines become silent one after the other, as each misses its next heartbeat, so the first
    /// few of a group that a partition cuts off look like isolated failures. Therefore machines
    /// that are just overdue count as well, and most others must have reported recently. Without
    /// this, an owner cut off from its workers released 37 machines with their services before it
    /// saw that all were silent.
    fn contact_counts(&self, shard_id: usize, now: Millis) -> ContactCounts {
        let machines = self.confirmed_machines(shard_id).count();
        let overdue_ms = self.config.report_ms * OVERDUE_HEARTBEATS + OVERDUE_MS;
        // With few machines it may happen by chance that none reports for half of the interval.
        let recent_ms = self.config.report_ms * if machines > 8 { 0.5 } else { 0.9 };
        let mut contact = ContactCounts {
            machines,
            ..ContactCounts::default()
        };
        for machine in self.confirmed_machines(shard_id) {
            let silence = now - machine.last_heard_at;
            contact.overdue += usize::from(silence > overdue_ms && !machine.lease_over);
            contact.recent += usize::from(silence < recent_ms);
        }
        contact
    }

    /// Returns whether a machine has tasks of services, and no arrays unless the release gains
    /// enough time.
    fn is_release_worthwhile(&self, host: u32, gain: f64) -> bool {
        let (mut services, mut others) = (0, 0);
        for ((job, _), _) in self.mirror.assignments_on(host) {
            match self.mirror.open.get(&job).map(|open| open.spec.shape) {
                Some(Shape::Service) => services += 1,
                Some(Shape::Array) => others += 1,
                None => {}
            }
        }
        services > 0 && (others == 0 || gain >= MIN_GAIN_WITH_ARRAYS)
    }

    /// Returns the time that a machine with assignments may take to reach a new owner: a heartbeat
    /// without an answer, one or two attempts at other controllers, and the next heartbeat.
    fn reach_owner_ms(&self) -> f64 {
        self.config.report_ms * OVERDUE_HEARTBEATS + REACH_OWNER_MS
    }

    /// Returns the silence after which a machine is released because of a task of this job, or
    /// `None` if the job is not cancelled or enough time is left.
    fn silence_for_cancelled(&self, job: u64, now: Millis) -> Option<Millis> {
        if self.mirror.end(job) != Some(JobOutcome::Cancelled)
            || self.mirror.is_newly_cancelled(job)
        {
            return None;
        }
        // If the time of the cancellation is no longer known here, it was long ago or is unknown to
        // all controllers.
        let learnt_at = self.cancelled.known_since(job);
        match learnt_at.map(|at| (now - at) / self.config.cancel_ms) {
            Some(passed) if passed <= CANCELLED_RELEASE_SHARE => None,
            Some(passed) if passed > CANCELLED_LATE_SHARE => Some(self.silence_ms()),
            _ => Some(self.reach_owner_ms()),
        }
    }

    /// Releases silent machines whose assignment of a cancelled job is not proven gone, before the
    /// time limit for stopping the job's tasks is over.
    ///
    /// A machine that hangs may, when it resumes and before it notices that its incarnation is
    /// over, execute a start that a previous owner of an earlier build sent it directly. If the
    /// start's job has been cancelled meanwhile, only the release of the machine stops it, because
    /// no newer token reaches the machine. (Under the same owner the end of the lease is proof
    /// enough.)
    pub(crate) fn release_with_cancelled_tasks(&mut self, shard_id: usize, now: Millis) {
        if !self.state_fresh(now) {
            return;
        }
        let hosts: Vec<u32> = self
            .mirror
            .assigned_hosts()
            .filter(|&host| self.is_silent_with_cancelled(host, shard_id, now))
            .filter(|&host| self.mirror.shard_of_assignment(host) == Some(shard_id))
            .take(MAX_RELEASED)
            .collect();
        let reason = ReleaseReason::SilentWithCancelledTasks;
        self.release_hosts(hosts, shard_id, reason, now);
    }

    /// Returns whether a machine has been silent for too long for a cancelled task that it may run.
    fn is_silent_with_cancelled(&self, host: u32, shard_id: usize, now: Millis) -> bool {
        let silent = now - self.silent_since(host, shard_id, now);
        if silent <= 0.0 {
            return false;
        }
        let mut limits = self
            .mirror
            .assignments_on(host)
            .filter_map(|(task, _): (Task, _)| self.silence_for_cancelled(task.0, now));
        limits.any(|limit| silent > limit)
    }

    /// Returns the time since which no message of a machine has arrived, or the time at which this
    /// controller acquired the shard or was last delayed, if that is later. Returns `now` if the
    /// machine is gone or its release was requested recently.
    fn silent_since(&self, host: u32, shard_id: usize, now: Millis) -> Millis {
        let held_since = self.shards[shard_id].lease.held_since();
        let punctual_since = now - self.lag.time_without_lag(now);
        match self.machines.get(&host) {
            Some(m) if m.state == MachineState::Gone || now < m.release_after => now,
            Some(m) => m.last_heard_at.max(held_since).max(punctual_since),
            None => held_since.max(punctual_since),
        }
    }

    /// Releases the few machines that have not reached a new owner once all others have.
    ///
    /// A machine that was lost while its shard had no owner, or just before, has never shown the
    /// new owner's token, so there is no lease whose end would prove its tasks gone; only the
    /// release does. While many machines are missing, they still report to the previous owner or
    /// the network is at fault.
    pub(crate) fn release_not_reaching_owner(&mut self, shard_id: usize, now: Millis) {
        let limit = self.reach_owner_ms();
        let owned_for = now - self.shards[shard_id].lease.held_since();
        if owned_for < limit
            || owned_for > limit + NEW_OWNER_RELEASE_MS
            || self.lag.time_without_lag(now) < limit
            || !self.state_fresh(now)
        {
            return;
        }
        let mut assigned = 0;
        let mut missing = Vec::new();
        for host in self.mirror.assigned_hosts() {
            let machine = self.machines.get(&host);
            if machine.is_some_and(|m| m.shard != shard_id) {
                continue;
            }
            if machine.is_some_and(|m| has_reached_owner(m, limit, now)) {
                assigned += 1;
            } else if self.mirror.shard_of_assignment(host) == Some(shard_id) {
                assigned += 1;
                missing.push(host);
            }
        }
        if missing.len() * 5 <= assigned {
            missing.truncate(MAX_RELEASED);
            let reason = ReleaseReason::HasNotReachedOwner;
            self.release_hosts(missing, shard_id, reason, now);
        }
    }
}

/// Returns whether a machine has shown the current token, may still do so, or is being released.
fn has_reached_owner(machine: &Machine, limit: Millis, now: Millis) -> bool {
    // An unreachable machine that reports will never show the current token.
    let may_show_token = now - machine.last_heard_at < limit
        && !matches!(machine.reachability, Reachability::Unreachable(_));
    machine.shows_own_token()
        || machine.state == MachineState::Gone
        || now < machine.release_after
        || may_show_token
}
