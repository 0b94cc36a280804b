//! Schedule of an owner's work: scheduling cycles, their outcomes, and timed maintenance.

use super::TXN_BYTES;
use super::cycle::Cycle;
use super::state::PendingCycle;
use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use crate::machine::{Machine, MachineEvent};
use cherryyard_wire::record;
use cherryyard_wire::state::Commit;

/// Minimum time between two scheduling cycles of a shard.
const CYCLE_INTERVAL_MS: f64 = 100.0;
/// Minimum time between two scheduling cycles of a shard without waiting tasks.
const QUIET_CYCLE_INTERVAL_MS: f64 = 700.0;
/// Minimum time between two checks of worker leases and due commands.
const MAINTENANCE_INTERVAL_MS: f64 = 400.0;
/// Minimum time between two scans of all assignments for silent machines.
const SILENCE_SCAN_MS: f64 = 1200.0;
/// Time before placement is tried again if nothing could be placed and nothing has changed since.
const PLACEMENT_RETRY_MS: f64 = 400.0;
/// Minimum time between two searches for pages to compact.
const COMPACTION_INTERVAL_MS: f64 = 1000.0;
/// Minimum write budget for starting a compaction, in changes.
const MIN_COMPACTION_BUDGET: f64 = 2.0;
/// Factor and margin by which a worker's lease may last longer than by this controller's clock: the
/// worker counts from when it sent the heartbeat, on a clock that may be slow while this one is
/// fast.
const CLOCK_DRIFT: f64 = 1.001;
const LEASE_MARGIN_MS: f64 = 50.0;
/// Delay before the next cycle after a failed condition, and after a refusal because the state
/// lease that the transaction named had ended.
const CONFLICT_RETRY_MS: f64 = 30.0;
const NO_LEASE_RETRY_MS: f64 = 100.0;

impl Controller {
    /// Runs a scheduling cycle of a shard if one is due: collects, places and writes.
    pub(crate) fn plan_shard(&mut self, shard_id: usize, now: Millis) {
        let Some(token) = self.owned_token(shard_id) else {
            return;
        };
        self.maintain_shard(shard_id, now);
        if !self.may_plan(shard_id, now) {
            return;
        }
        self.shards[shard_id].needs_cycle = false;
        self.shards[shard_id].planned_at = now;
        if !self.state_fresh(now) {
            return;
        }
        if let Some(step) = self.next_division_step(shard_id, token) {
            let pending = PendingCycle {
                divided_page: Some(step.page),
                ..PendingCycle::default()
            };
            self.send_cycle(shard_id, step.commit, pending);
            return;
        }
        let (cycle, pending) = self.plan_cycle(shard_id, now);
        if cycle.is_empty() {
            self.send_images(shard_id, token, now);
            return;
        }
        let mut commit = self.cycle_commit(shard_id, token, &cycle);
        if commit.changes.len() < self.config.txn_ops
            && cycle.bytes() + self.config.page_bytes < TXN_BYTES
        {
            commit
                .changes
                .extend(self.images_record_change(shard_id, now));
        }
        let writes = commit.changes.len();
        tracing::debug!(shard = shard_id, writes, "scheduling cycle written");
        self.log_ends(&cycle, now);
        self.send_cycle(shard_id, commit, pending);
    }

    /// Runs the timed maintenance of a shard: expires leases, releases machines, and sends due
    /// queries and commands.
    fn maintain_shard(&mut self, shard_id: usize, now: Millis) {
        if now - self.shards[shard_id].maintained_at < MAINTENANCE_INTERVAL_MS || !self.caught_up()
        {
            return;
        }
        self.shards[shard_id].maintained_at = now;
        self.expire_leases(shard_id, now);
        self.abandon_unoffered(shard_id, now);
        self.release_silent(shard_id, now);
        self.release_reclaimed(shard_id, now);
        if now - self.shards[shard_id].silence_scanned_at >= SILENCE_SCAN_MS {
            self.shards[shard_id].silence_scanned_at = now;
            self.release_not_reaching_owner(shard_id, now);
            self.release_with_cancelled_tasks(shard_id, now);
        }
        self.query_machines(shard_id, now);
        self.push_due(shard_id, now);
    }

    /// Expires the leases of workers whose heartbeats have not been answered for the length of a
    /// lease.
    fn expire_leases(&mut self, shard_id: usize, now: Millis) {
        let lease = self.config.lease_ms * CLOCK_DRIFT + LEASE_MARGIN_MS;
        let shard = &mut self.shards[shard_id];
        for machine in self.machines.values_mut() {
            if machine.shard == shard_id
                && !machine.lease_over
                && machine.shows_own_token()
                && now - machine.answered_at > lease
            {
                machine.change(MachineEvent::LeaseExpired);
                shard.machines_to_inspect.insert(machine.host);
            }
        }
    }

    /// Gives up the assignments that machines have not been offered and cannot be, because no
    /// heartbeat of theirs arrives to be answered; direct answers may still arrive. Messages of such
    /// a machine prove the attempts absent, so that they can start elsewhere.
    fn abandon_unoffered(&mut self, shard_id: usize, now: Millis) {
        let silence = self.silence_ms();
        if self.lag.time_without_lag(now) < silence {
            return;
        }
        let is_waiting = |machine: &&Machine| {
            machine.shard == shard_id
                && machine.shows_own_token()
                && now - machine.heartbeat_at > silence
                && self.has_starts_due(machine, now)
        };
        let waiting = self.machines.values().filter(is_waiting);
        let hosts: Vec<u32> = waiting.map(|machine| machine.host).collect();
        let newest_attempt = self.newest_attempt();
        for host in hosts {
            if let Some(machine) = self.machines.get_mut(&host) {
                machine.abandon_up_to(newest_attempt);
                tracing::debug!(machine = %machine.addr, "no heartbeat arrives to be answered with starts");
            }
            self.shards[shard_id].machines_to_inspect.insert(host);
            self.shards[shard_id].needs_cycle = true;
        }
    }

    /// Returns whether a scheduling cycle may be planned now.
    fn may_plan(&mut self, shard_id: usize, now: Millis) -> bool {
        let shard = &self.shards[shard_id];
        shard.pending.is_none()
            && !shard.lease.transaction_pending()
            && now >= shard.retry_at
            && self.mirror.store_revision >= shard.wait_revision
            && self.cycle_due(shard_id, now)
    }

    /// Returns whether the shard's share of the write budget and the time since the last cycle
    /// permit a scheduling cycle. One cycle serves many heartbeats: a write for each heartbeat from
    /// every owner would leave no writes for users and leases.
    fn cycle_due(&mut self, shard_id: usize, now: Millis) -> bool {
        let shard = &mut self.shards[shard_id];
        let left = shard.budget.tokens(now);
        // Without waiting tasks the completions of several tasks can share one cycle, and the
        // budget that this saves is available once tasks wait.
        let min_interval_ms = if self.mirror.tasks.waiting[shard_id].is_empty() {
            QUIET_CYCLE_INTERVAL_MS
        } else {
            CYCLE_INTERVAL_MS
        };
        if now - shard.planned_at < min_interval_ms {
            return false;
        }
        // A service that no cycle has looked at yet may overdraw the budget instead of waiting for
        // it; the overdraft is made up by later cycles.
        left >= 1.0 || (left > -shard.budget.overdraft() && shard.queues.has_uninspected_services())
    }

    /// Plans a cycle: collects proven ends, places tasks, and compacts pages if there is nothing
    /// else to write.
    fn plan_cycle(&mut self, shard_id: usize, now: Millis) -> (Cycle, PendingCycle) {
        let mut cycle = Cycle::new(&self.config, &self.mirror, shard_id);
        let mut pending = PendingCycle::default();
        self.collect(shard_id, now, &mut cycle, &mut pending);
        self.end_jobs(shard_id, &mut cycle);
        if self.placement_due(shard_id, &cycle, now) {
            self.place(shard_id, now, &mut cycle, &mut pending);
        }
        if cycle.is_empty() && self.compaction_due(shard_id, now) {
            cycle.compact_pages(&self.mirror);
        }
        (cycle, pending)
    }

    /// Returns whether placement may find something new. A search over all waiting jobs and
    /// machines for each heartbeat would cost more than it finds.
    fn placement_due(&mut self, shard_id: usize, cycle: &Cycle, now: Millis) -> bool {
        let shard = &mut self.shards[shard_id];
        let events = (
            self.mirror.store_revision,
            self.state_contact.newest_revision(),
        );
        let is_due = !cycle.withdrawn.is_empty()
            || shard.placed_at_revisions != events
            || now - shard.placed_at >= PLACEMENT_RETRY_MS;
        if is_due {
            shard.placed_at_revisions = events;
            shard.placed_at = now;
        }
        is_due
    }

    /// Returns whether a cycle without other changes may compact pages, and if so restarts the
    /// interval.
    fn compaction_due(&mut self, shard_id: usize, now: Millis) -> bool {
        let shard = &mut self.shards[shard_id];
        let is_due = shard.budget.tokens(now) >= MIN_COMPACTION_BUDGET
            && now - shard.compacted_at >= COMPACTION_INTERVAL_MS;
        if is_due {
            shard.compacted_at = now;
        }
        is_due
    }

    /// Writes the record of the shard's images in a transaction of its own, if it is due.
    fn send_images(&mut self, shard_id: usize, token: u64, now: Millis) {
        if let Some(images) = self.images_record_change(shard_id, now) {
            let mut commit = Commit::default();
            commit.require(record::shard_key(shard_id), token);
            commit.changes.push(images);
            self.send_cycle(shard_id, commit, PendingCycle::default());
        }
    }

    /// Sends a scheduling cycle's transaction. The shard's next cycle waits for the outcome.
    fn send_cycle(&mut self, shard_id: usize, commit: Commit, pending: PendingCycle) {
        let shard = &mut self.shards[shard_id];
        shard.budget.spend(commit.changes.len() as f64);
        shard.pending = Some(pending);
        self.effects
            .push(Effect::Commit(Ticket::OwnerCycle(shard_id), commit));
    }

    /// Handles the outcome of an owner's scheduling cycle.
    pub(crate) fn owner_committed(&mut self, shard_id: usize, outcome: Outcome, now: Millis) {
        let shard = &mut self.shards[shard_id];
        let Some(pending) = shard.pending.take() else {
            return;
        };
        shard.needs_cycle = true;
        if !matches!(outcome, Outcome::Applied(_)) {
            shard.machines_to_inspect.extend(&pending.hosts);
        }
        if let Some(page) = pending.divided_page {
            tracing::info!(
                shard = shard_id,
                page,
                ?outcome,
                "page division step answered"
            );
        }
        match outcome {
            Outcome::Applied(_) => self.cycle_applied(shard_id, pending, now),
            Outcome::Conflict(store_revision) => {
                // A failed condition uses write budget too, so the next attempt waits for the
                // change that made the condition fail.
                shard.wait_revision = store_revision;
                shard.retry_at = now + CONFLICT_RETRY_MS;
            }
            Outcome::NoLease => shard.retry_at = now + NO_LEASE_RETRY_MS,
            Outcome::Refused | Outcome::Malformed => {
                self.shards[shard_id].retry_at = now + self.jitter(150.0, 400.0);
            }
            Outcome::Unknown => {
                self.shards[shard_id].retry_at = now + self.jitter(100.0, 300.0);
            }
        }
    }

    /// Handles a durable cycle: attributes failures, records images, and sends commands.
    fn cycle_applied(&mut self, shard_id: usize, pending: PendingCycle, now: Millis) {
        self.capacity_changed = true;
        for (job, host) in pending.done {
            self.record_completion(shard_id, job, host);
        }
        for (job, host) in pending.failed {
            self.attribute_failure(shard_id, job, host, now);
        }
        self.forget_job_failures(shard_id, now);
        for host in pending.hosts {
            self.record_image_use(host);
            self.push(host, now);
        }
    }

    /// Handles the arrival of a machine's message: marks its shard for a scheduling cycle, and
    /// plans the cycle if one is due.
    pub(crate) fn handle_message_arrival(&mut self, host: u32, now: Millis) {
        let Some(machine) = self.machines.get(&host) else {
            return;
        };
        let shard_id = machine.shard;
        self.shards[shard_id].needs_cycle = true;
        self.shards[shard_id].machines_to_inspect.insert(host);
        if !machine.reported.is_empty() {
            self.record_image_use(host);
        }
        self.plan_shard(shard_id, now);
    }
}
