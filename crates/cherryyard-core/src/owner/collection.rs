//! Collection: the part of a scheduling cycle that withdraws assignments whose attempts have ended,
//! as machines' messages prove.

use super::cycle::Cycle;
use super::state::PendingCycle;
use crate::Millis;
use crate::controller::Controller;
use crate::machine::{MachineState, Task};
use crate::pages::Assignment;
use cherryyard_wire::worker::ExitCause;
use std::collections::BTreeSet;

/// Time between two scheduling cycles that inspect all machines of a shard, in case something has
/// changed without a message.
const INSPECT_MS: f64 = 5000.0;

/// Proven outcome of an assigned attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProvenEnd {
    /// The attempt has completed.
    Done,
    /// The attempt has failed.
    Failed,
    /// The attempt was stopped or is gone with its machine, and counts as a failure of neither the
    /// job nor the machine.
    Lost,
}

/// Collection in progress: the cycle that is being filled, and what is applied to the shard
/// afterwards.
struct Collection<'a> {
    cycle: &'a mut Cycle,
    pending: &'a mut PendingCycle,
    /// Machines with ended assignments that do not fit into this cycle's transaction.
    deferred: BTreeSet<u32>,
    /// Run times of completed tasks, with their jobs.
    runs: Vec<(u64, Millis)>,
}

impl Controller {
    /// Adds to a scheduling cycle what machines' messages prove of the shard's assignments.
    pub(super) fn collect(
        &mut self,
        shard_id: usize,
        now: Millis,
        cycle: &mut Cycle,
        pending: &mut PendingCycle,
    ) {
        let hosts = self.hosts_to_inspect(shard_id, now);
        self.inspected_machines += hosts.len() as u64;
        let mut collection = Collection {
            cycle,
            pending,
            deferred: BTreeSet::new(),
            runs: Vec::new(),
        };
        for host in hosts {
            for (task, assignment) in self.mirror.assignments_on(host) {
                self.collect_task(shard_id, task, &assignment, now, &mut collection);
            }
        }
        let Collection { deferred, runs, .. } = collection;
        let shard = &mut self.shards[shard_id];
        shard.needs_cycle |= !deferred.is_empty();
        shard.machines_to_inspect.extend(deferred);
        for (job, run_ms) in runs {
            let (tasks, sum) = shard.completed_runs.entry(job).or_default();
            *tasks += 1;
            *sum += run_ms;
        }
        let open = &self.mirror.open;
        shard.completed_runs.retain(|job, _| open.contains_key(job));
    }

    /// Returns the machines whose assignments the cycle inspects.
    fn hosts_to_inspect(&mut self, shard_id: usize, now: Millis) -> BTreeSet<u32> {
        let shard = &mut self.shards[shard_id];
        let machines_to_inspect = std::mem::take(&mut shard.machines_to_inspect);
        if now - shard.inspected_at < INSPECT_MS {
            return machines_to_inspect;
        }
        shard.inspected_at = now;
        let machines = self.machines.values();
        let of_shard = machines.filter(|m| m.shard == shard_id);
        of_shard.map(|m| m.host).collect()
    }

    /// Adds to the cycle what is proven of one assigned task.
    fn collect_task(
        &self,
        shard_id: usize,
        task: Task,
        assignment: &Assignment,
        now: Millis,
        collection: &mut Collection,
    ) {
        let (job, number) = task;
        let host = assignment.host;
        let job_tasks = self.mirror.tasks.assignments.get(&(shard_id, job));
        let Some(&(_, page)) = job_tasks.and_then(|job_tasks| job_tasks.assignments.get(&number))
        else {
            return;
        };
        let Some(end) = self.proven_end(task, assignment, now) else {
            return;
        };
        let is_done = end == ProvenEnd::Done;
        let cycle = &mut *collection.cycle;
        if !cycle.unassign(&self.mirror, task, page, is_done) {
            collection.deferred.insert(host);
            return;
        }
        match end {
            ProvenEnd::Done => {
                let machine = self.machines.get(&host);
                let run_ms = machine.and_then(|m| m.ran_ms(task, assignment.attempt, now));
                collection.runs.extend(run_ms.map(|ms| (job, ms)));
                tracing::debug!(
                    shard = shard_id,
                    page,
                    job,
                    number,
                    machine = self.mirror.hosts.name(host),
                    attempt = assignment.attempt,
                    "task completed"
                );
                collection.pending.done.push((job, host));
            }
            ProvenEnd::Failed => {
                self.log_lost(task, assignment);
                collection.pending.failed.push((job, host));
            }
            ProvenEnd::Lost => self.log_lost(task, assignment),
        }
        collection.pending.hosts.insert(host);
    }

    /// Returns the proven outcome of an assigned attempt, or `None` if none is proven.
    fn proven_end(&self, task: Task, assignment: &Assignment, now: Millis) -> Option<ProvenEnd> {
        let machine = self.machines.get(&assignment.host)?;
        if machine.shows_own_token()
            && machine.newest.0 == assignment.incarnation
            && let Some(reported) = machine.reported.get(&task)
            && reported.attempt == assignment.attempt
            && reported.ended()
        {
            return Some(match reported.cause {
                Some(ExitCause::Done) => ProvenEnd::Done,
                Some(ExitCause::Halted | ExitCause::Busy | ExitCause::NoCapacity) => {
                    ProvenEnd::Lost
                }
                Some(ExitCause::Error | ExitCause::NoSuchTask | ExitCause::Other) | None => {
                    ProvenEnd::Failed
                }
            });
        }
        if !machine.proven_gone(task, assignment.incarnation, assignment.attempt) {
            return None;
        }
        // A task that is absent from the same incarnation was never started: the start has not
        // arrived. It is sent again, as the same attempt, unless the machine must not start
        // anything.
        let may_start = machine.state == MachineState::Ready
            && machine.newest.0 == assignment.incarnation
            && !machine.lease_over
            && !machine.is_abandoned(assignment.incarnation, assignment.attempt)
            && !machine.is_reclaimed_soon(now);
        let is_open = self.mirror.open.contains_key(&task.0);
        (!is_open || !may_start).then_some(ProvenEnd::Lost)
    }

    fn log_lost(&self, task: Task, assignment: &Assignment) {
        let (job, number) = task;
        if !self.mirror.open.contains_key(&job) {
            return;
        }
        let machine = self.machines.get(&assignment.host);
        let reported = machine.and_then(|m| m.reported.get(&task));
        tracing::debug!(
            job,
            number,
            machine = self.mirror.hosts.name(assignment.host),
            attempt = assignment.attempt,
            incarnation = assignment.incarnation,
            newest = ?machine.map(|m| m.newest),
            lease_over = machine.is_some_and(|m| m.lease_over),
            state = ?machine.map(|m| m.state),
            cause = ?reported.and_then(|reported| reported.cause),
            "task attempt lost"
        );
    }
}
