//! The owner of a shard: scheduling cycles of assignments, placement, preemption, commands.
//!
//! What a machine should run follows from the durable assignments alone. A scheduling cycle
//! collects what reports prove, places waiting numbers, and writes both in one
//! transaction; commands are then the difference between assignments and reports.

mod aging;
mod capacity;
mod cycle;
mod failure_attribution;
mod images;
mod oversize;
mod place;
mod preempt;
mod reconciliation;
mod scale_in;
mod search;
mod spot_reclaim;
pub(crate) mod state;

use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use crate::machine::{Machine, MachineEvent, MachineState, PushedStart, Task};
use crate::mirror::OpenJob;
use crate::names::Names;
use crate::needs::Needs;
use crate::pages::{Assignment, Page};
use crate::reachability::Reachability;
use cherryyard_wire::cloud::{Instance, InstanceStatus};
use cherryyard_wire::job::{Rank, Shape};
use cherryyard_wire::peer::{CapacityReport, MachineCapacity, MachinePool};
use cherryyard_wire::record::{self, End, Grant, ImagesRecord, Key};
use cherryyard_wire::state::{Apply, Commit, Json};
use cherryyard_wire::worker::{
    CommandBatch, ExitCause, TaskStatus, WorkerCommand, WorkerHeartbeat, parse_task_name,
    task_name_of,
};
pub(crate) use cycle::Cycle;
use state::{Pending, Preempted};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Bytes that a transaction's values may have together.
const TXN_BYTES: usize = 48 * 1024;
/// Least time between two scheduling cycles of a shard, and between two looks at leases.
const CYCLE_MS: f64 = 100.0;
const QUIET_MS: f64 = 700.0;
const KEEP_MS: f64 = 400.0;
/// Least time between two looks at all assignments for machines not heard of.
const UNHEARD_MS: f64 = 1200.0;
/// Time before placement is tried again where nothing found room and nothing
/// has changed since.
const STUCK_MS: f64 = 400.0;
/// Longest that a service is kept back for another shard, and the fetch that is
/// worth it.
const HAND_OVER_MS: f64 = 1500.0;
const HAND_OVER_FETCH_S: f64 = 4.0;
/// Commands in one message to a worker.
const MAX_COMMANDS: usize = 300;

/// What making room on a machine costs, whom it stops, and where.
type Eviction = (f64, Vec<(Task, u64)>, u32);

impl Machine {
    /// Settles the starts of a direct command. Of an answered or unsent one they are no
    /// longer on their way; of one whose answer was lost they may be, until the incarnation
    /// or the token has changed.
    pub(crate) fn settle_push(&mut self, request: &CommandBatch, lost: bool) {
        for command in &request.commands {
            if let WorkerCommand::Start { task_name, attempt } = command
                && let Some(task) = parse_task_name(task_name)
                && let Some(i) = self
                    .pushed
                    .iter()
                    .position(|s| s.task == task && s.attempt == *attempt && !s.lost)
            {
                let start = self.pushed.remove(i);
                let start = PushedStart { lost, ..start };
                if lost && !self.pushed.contains(&start) {
                    self.pushed.push(start);
                }
            }
        }
    }
}

impl Controller {
    /// What time alone brings about: leases that end, commands that are due.
    fn keep_shard(&mut self, shard_id: usize, now: Millis) {
        if now - self.shards[shard_id].kept_at < KEEP_MS || !self.caught_up() {
            return;
        }
        self.shards[shard_id].kept_at = now;
        self.expire(shard_id, now);
        self.release_silent(shard_id, now);
        self.release_reclaimed(shard_id, now);
        if now - self.shards[shard_id].unheard_at >= UNHEARD_MS {
            self.shards[shard_id].unheard_at = now;
            self.release_unreachable(shard_id, now);
            self.release_with_cancelled_tasks(shard_id, now);
        }
        self.query_machines(shard_id, now);
        self.push_due(shard_id, now);
    }

    /// Whether a shard's share of the write budget has room for a scheduling cycle. Many
    /// reports are served by one scheduling cycle: a write for each, from every owner,
    /// would leave none for users and leases.
    fn cycle_due(&mut self, shard_id: usize, now: Millis) -> bool {
        let shard = &mut self.shards[shard_id];
        let left = shard.budget.left(now);
        // Where nothing waits, completions can wait a moment for each other;
        // what that saves is there when something comes.
        let spacing = if self.mirror.waiting[shard_id].is_empty() {
            QUIET_MS
        } else {
            CYCLE_MS
        };
        if now - shard.planned_at < spacing {
            return false;
        }
        // A service that no round has seen yet need not wait for the budget of
        // completions; what it takes is missing later.
        left >= 1.0 || (left > -shard.budget.overdraft() && shard.queues.any_unseen())
    }

    /// One scheduling cycle of a shard: collects, places, writes.
    pub(crate) fn plan_shard(&mut self, shard_id: usize, now: Millis) {
        let Some(token) = self.owned(shard_id) else {
            return;
        };
        self.keep_shard(shard_id, now);
        if self.shards[shard_id].pending.is_some()
            || self.shards[shard_id].lease.transaction_pending()
            || now < self.shards[shard_id].retry_after
            || self.mirror.store_revision < self.shards[shard_id].wait_revision
            || !self.cycle_due(shard_id, now)
        {
            return;
        }
        self.shards[shard_id].dirty = false;
        self.shards[shard_id].planned_at = now;
        if !self.state_fresh(now) {
            return;
        }
        if let Some(commit) = self.divide_oversized_page(shard_id, token) {
            self.send_cycle(shard_id, commit, Pending::default());
            return;
        }
        let mut cycle = Cycle::new(&self.config, &self.mirror, shard_id);
        let mut pending = Pending::default();
        self.collect(shard_id, now, &mut cycle, &mut pending);
        self.finish(shard_id, &mut cycle);
        // Whether anything new could be placed: a search over all waiting jobs
        // and machines for each report costs more than it finds.
        let events = (
            self.mirror.store_revision,
            self.state_contact.newest_revision(),
        );
        if !cycle.gone.is_empty()
            || self.shards[shard_id].placed_as_of != events
            || now - self.shards[shard_id].placed_at >= STUCK_MS
        {
            self.shards[shard_id].placed_as_of = events;
            self.shards[shard_id].placed_at = now;
            self.place(shard_id, now, &mut cycle, &mut pending);
        }
        if cycle.is_empty() {
            self.compact(shard_id, now, &mut cycle);
        }
        if cycle.is_empty() {
            if let Some(images) = self.images_change(shard_id, now) {
                let mut commit = Commit::default();
                commit.require(record::shard_key(shard_id), token);
                commit.apply.push(images);
                self.send_cycle(shard_id, commit, Pending::default());
            }
            return;
        }
        let mut commit = self.cycle_commit(shard_id, token, &cycle);
        if commit.apply.len() < self.config.txn_ops
            && cycle.bytes() + self.config.page_bytes < TXN_BYTES
        {
            commit.apply.extend(self.images_change(shard_id, now));
        }
        tracing::debug!(
            shard = shard_id,
            writes = commit.apply.len(),
            "a round of marks"
        );
        self.announce_ends(&cycle, now);
        self.send_cycle(shard_id, commit, pending);
    }

    /// Sends a scheduling cycle's transaction; the shard's next scheduling cycle waits for its outcome.
    fn send_cycle(&mut self, shard_id: usize, commit: Commit, pending: Pending) {
        self.shards[shard_id]
            .budget
            .spend(commit.apply.len() as f64);
        self.shards[shard_id].pending = Some(pending);
        self.effects
            .push(Effect::Commit(Ticket::OwnerCycle(shard_id), commit));
    }

    /// Lets leases run out.
    pub(crate) fn expire(&mut self, shard_id: usize, now: Millis) {
        // The worker counts from when it sent the report, on a clock that may
        // be slow while ours is fast.
        let lease = self.config.lease_ms * 1.001 + 50.0;
        for m in self.machines.values_mut().filter(|m| m.shard == shard_id) {
            if !m.lease_over && m.token_ours() && now - m.answered_at > lease {
                m.change(MachineEvent::LeaseOver);
                self.shards[shard_id].touched.insert(m.host);
            }
        }
    }

    /// Takes how an owner's round came out.
    pub(crate) fn owner_committed(&mut self, shard_id: usize, outcome: Outcome, now: Millis) {
        let Some(pending) = self.shards[shard_id].pending.take() else {
            return;
        };
        self.shards[shard_id].dirty = true;
        if !matches!(outcome, Outcome::Applied(_)) {
            self.shards[shard_id].touched.extend(&pending.hosts);
        }
        match outcome {
            Outcome::Applied(_) => {
                self.capacity_changed = true;
                for (job, host) in pending.done {
                    self.note_done(shard_id, job, host);
                }
                for (job, host) in pending.failed {
                    self.note_failed(shard_id, job, host, now);
                }
                self.forget_job_failures(shard_id, now);
                for host in pending.hosts {
                    self.note_images(host);
                    self.push(host, now);
                }
            }
            Outcome::Conflict(store_revision) => {
                // Each failed condition costs write budget too, so the next
                // try waits for the change that made it fail.
                self.shards[shard_id].wait_revision = store_revision;
                self.shards[shard_id].retry_after = now + 30.0;
            }
            Outcome::NoLease => self.shards[shard_id].retry_after = now + 100.0,
            Outcome::Refused | Outcome::Malformed => {
                self.shards[shard_id].retry_after = now + self.jitter(150.0, 400.0);
            }
            Outcome::Unknown => {
                self.shards[shard_id].retry_after = now + self.jitter(100.0, 300.0);
            }
        }
    }

    /// After any message of a machine: the owner's round is due.
    pub(crate) fn after_message(&mut self, host: u32, now: Millis) {
        let Some(m) = self.machines.get(&host) else {
            return;
        };
        let shard_id = m.shard;
        self.shards[shard_id].dirty = true;
        self.shards[shard_id].touched.insert(host);
        if !m.reported.is_empty() {
            self.note_images(host);
        }
        self.plan_shard(shard_id, now);
    }
}
