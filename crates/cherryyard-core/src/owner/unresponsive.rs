//! Machines that are released before their leases prove their tasks gone, or because no lease
//! can: those that are silent with services or cancelled tasks, and those that have not found
//! a shard's new owner.

use super::release::{MAX_RELEASED, ReleaseReason};
use crate::Millis;
use crate::controller::Controller;
use crate::machine::{Machine, MachineState, Task};
use crate::reachability::Reachability;
use cherryyard_wire::job::Shape;
use cherryyard_wire::record::End;

/// Which share of the time that a cancelled job's tasks have may pass before a machine is
/// released that may have one and is silent.
const CANCELLED_SHARE: f64 = 0.7;
/// The share from which on a new owner waits no longer for such a machine than for one that
/// it has heard of.
const CANCELLED_LATE: f64 = 0.8;
/// Intervals between heartbeats after which the next is overdue.
const OVERDUE_HEARTBEATS: f64 = 1.25;
/// What a heartbeat may take to arrive before its machine counts as overdue, and as silent.
const OVERDUE_MS: f64 = 250.0;
const SILENT_MS: f64 = 2000.0;
/// Least heartbeats that a release must come sooner than the end of the lease to be worth it.
const MIN_GAIN: f64 = 2.0;
/// The same where not only services would be lost if the machine merely hangs.
const MIN_GAIN_WITH_ARRAYS: f64 = 3.0;
/// Time after which the release of a silent machine with services may be requested again.
const SERVICES_RETRY_MS: f64 = 3000.0;
/// What a machine may take to find a new owner, beyond a heartbeat that gets no answer.
const FIND_OWNER_MS: f64 = 8000.0;
/// For how long after that a new owner releases machines that have not found it.
const NEW_OWNER_MS: f64 = 60_000.0;

/// A shard's machines by when they were last heard of.
#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    machines: usize,
    /// Whose heartbeat is overdue, and whose lease is not over.
    overdue: usize,
    /// Heard of lately.
    recent: usize,
}

impl Contact {
    /// Whether silence is that of a few: when many are silent, the fault is between us and
    /// them.
    fn is_good(&self) -> bool {
        let others = self.machines.saturating_sub(self.overdue);
        self.overdue <= (self.machines / 5).max(1) && self.recent * 4 >= others
    }
}

impl Controller {
    /// A machine that has fallen silent with services' tasks on it is released at
    /// once: the answer proves them gone well before the lease would, if the
    /// machine is dead. Arrays wait for the lease, as their machine may come
    /// back with its work. When many are silent, nothing is released.
    pub(crate) fn release_silent(&mut self, shard_id: usize, now: Millis) {
        let limit = self.config.report_ms * OVERDUE_HEARTBEATS + SILENT_MS;
        // A machine that merely hangs loses what is left of its lease by this:
        // worth it only where the lease would be waited for much longer, or
        // somewhat longer if there are only services to lose.
        let gain = (self.config.lease_ms - limit) / self.config.report_ms;
        // Heartbeats that wait because this controller is late are no silence.
        if gain < MIN_GAIN
            || !self.state_fresh(now)
            || now - self.shards[shard_id].lease.token_since() < 2.0 * limit
            || self.lag.punctual_for(now) < limit
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
        if silent.is_empty() || !self.contact(shard_id, now).is_good() {
            return;
        }
        let mut released = Vec::new();
        for host in silent {
            if !self.loses_services(host, gain) || released.len() >= MAX_RELEASED {
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

    /// A shard's machines whose newest message carried our token.
    fn confirmed_machines(&self, shard_id: usize) -> impl Iterator<Item = &Machine> {
        self.machines
            .values()
            .filter(move |m| m.shard == shard_id && m.shows_our_token())
    }

    /// Machines fall silent one after the other, as each heartbeat would have been
    /// due: of those that a partition takes together the first few look like a few. So
    /// those just overdue count too, and most others must have been heard of
    /// lately: an owner that had lost its workers released 37 machines with their
    /// services before it saw that all were silent.
    fn contact(&self, shard_id: usize, now: Millis) -> Contact {
        let machines = self.confirmed_machines(shard_id).count();
        let overdue_ms = self.config.report_ms * OVERDUE_HEARTBEATS + OVERDUE_MS;
        // Of a few machines none may report for half of that time, by chance.
        let recent_ms = self.config.report_ms * if machines > 8 { 0.5 } else { 0.9 };
        let mut contact = Contact {
            machines,
            ..Contact::default()
        };
        for machine in self.confirmed_machines(shard_id) {
            let silence = now - machine.last_heard_at;
            contact.overdue += usize::from(silence > overdue_ms && !machine.lease_over);
            contact.recent += usize::from(silence < recent_ms);
        }
        contact
    }

    /// Whether a machine has services' tasks, and no others unless the release gains enough.
    fn loses_services(&self, host: u32, gain: f64) -> bool {
        let (mut services, mut others) = (0, 0);
        for ((job, _), _) in self.mirror.on_host(host) {
            match self.mirror.open.get(&job).map(|open| open.spec.shape) {
                Some(Shape::Service) => services += 1,
                Some(Shape::Array) => others += 1,
                None => {}
            }
        }
        services > 0 && (others == 0 || gain >= MIN_GAIN_WITH_ARRAYS)
    }

    /// How long a machine with assignments may take to find a new owner: a heartbeat that
    /// gets no answer, a try or two elsewhere, and the next.
    fn find_owner_ms(&self) -> f64 {
        self.config.report_ms * OVERDUE_HEARTBEATS + FIND_OWNER_MS
    }

    /// For how long a machine has to be silent to be released for a task of this job, if
    /// it is cancelled and its time is running out.
    fn silence_for_cancelled(&self, job: u64, now: Millis) -> Option<Millis> {
        if self.mirror.end(job) != Some(End::Cancelled) || self.mirror.is_new_cancel(job) {
            return None;
        }
        // Where that is no longer known it is long ago, or nobody knows.
        let learnt_at = self.cancelled.learnt_at(job);
        match learnt_at.map(|at| (now - at) / self.config.cancel_ms) {
            Some(passed) if passed <= CANCELLED_SHARE => None,
            Some(passed) if passed > CANCELLED_LATE => Some(self.silence_ms()),
            _ => Some(self.find_owner_ms()),
        }
    }

    /// A machine that hangs may carry out, when it goes on and before it sees that its
    /// incarnation is over, a start that was sent to it before, by an owner before us too. If
    /// its job has been cancelled meanwhile only the machine's release stops that, as no
    /// token of ours gets there. So a silent machine whose assignment of a cancelled job is not
    /// proven gone is released before that job's time is over. (Where the owner stays the
    /// same the end of the lease proves it, but for such a start.)
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

    /// Whether a machine has been silent for too long for a cancelled task that it may have.
    fn is_silent_with_cancelled(&self, host: u32, shard_id: usize, now: Millis) -> bool {
        let silent = now - self.silent_since(host, shard_id, now);
        if silent <= 0.0 {
            return false;
        }
        let mut limits = self
            .mirror
            .on_host(host)
            .filter_map(|(task, _): (Task, _)| self.silence_for_cancelled(task.0, now));
        limits.any(|limit| silent > limit)
    }

    /// Since when nothing has been heard of a machine that should have been.
    fn silent_since(&self, host: u32, shard_id: usize, now: Millis) -> Millis {
        let held_since = self.shards[shard_id].lease.held_since();
        let punctual_since = now - self.lag.punctual_for(now);
        match self.machines.get(&host) {
            Some(m) if m.state == MachineState::Gone || now < m.release_after => now,
            Some(m) => m.last_heard_at.max(held_since).max(punctual_since),
            None => held_since.max(punctual_since),
        }
    }

    /// A machine that was lost while its shard had no owner, or just before, has
    /// never shown the new owner its token: no lease of it can be waited for.
    /// Once all others have found the new owner, the few that have not are
    /// released, as only that proves what was on them gone. While many have not
    /// come, they are with the old owner, or the network is at fault.
    pub(crate) fn release_without_owner(&mut self, shard_id: usize, now: Millis) {
        let limit = self.find_owner_ms();
        let owned_for = now - self.shards[shard_id].lease.token_since();
        if owned_for < limit
            || owned_for > limit + NEW_OWNER_MS
            || self.lag.punctual_for(now) < limit
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
            if machine.is_some_and(|m| has_found_owner(m, limit, now)) {
                assigned += 1;
            } else if self.mirror.shard_of_assignment(host) == Some(shard_id) {
                assigned += 1;
                missing.push(host);
            }
        }
        if missing.len() * 5 <= assigned {
            missing.truncate(MAX_RELEASED);
            let reason = ReleaseReason::HasNotFoundOwner;
            self.release_hosts(missing, shard_id, reason, now);
        }
    }
}

/// Whether a machine has shown our token or may yet, or is being released.
fn has_found_owner(machine: &Machine, limit: Millis, now: Millis) -> bool {
    // One that reports but is unreachable will never show our token.
    let may_yet = now - machine.last_heard_at < limit
        && !matches!(machine.reachability, Reachability::Unreachable(_));
    machine.shows_our_token()
        || machine.state == MachineState::Gone
        || now < machine.release_after
        || may_yet
}
