//! The leader's cycle: how a controller becomes the leader, and the steps of a cycle in order.

use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use crate::peers::SUCCESSION_MS;
use cherryyard_wire::record::{self, Key, LeaseRecord};
use cherryyard_wire::state::{Change, Commit, Json};

/// Time without a heartbeat after which a leader is replaced.
const LEADER_SILENCE_MS: f64 = 1800.0;
/// Additional time for each controller that precedes this one in the succession.
const SUCCESSION_STEP_MS: f64 = 500.0;
/// Time after the start of this controller during which it replaces no silent leader.
const STARTUP_GRACE_MS: f64 = 4000.0;
/// Time between the attempts of two controllers while no controller leads.
const LEADERLESS_STEP_MS: f64 = 150.0;
/// Time after a conflict before the next transaction.
const CONFLICT_MS: f64 = 30.0;

/// Acquisition of the leadership.
impl Controller {
    /// Sends a transaction that acquires the leader lease, if this controller should lead.
    pub(crate) fn acquire_leadership(&mut self, now: Millis) {
        let Some(lease_id) = self.lease_id else {
            return;
        };
        if !self.leader.leadership.may_acquire(now) {
            return;
        }
        let is_wanted = self.wants_leadership(now);
        if self.mirror.leader_lease.is_some() {
            self.leader.leadership.record_leader();
        }
        if !is_wanted || !self.state_fresh(now) {
            return;
        }
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Leader);
        let label = &self.config.labels[self.config.own_index];
        let holder = LeaseRecord::of(label, self.process_id, self.config.format);
        commit.changes.push(Change::Set {
            set: record::LEADER_KEY.into(),
            value: Json::of(&holder),
            lease_id: Some(lease_id),
        });
        self.leader.leadership.sent();
        self.effects
            .push(Effect::Commit(Ticket::AcquireLeadership, commit));
    }

    /// Returns whether this controller should try to acquire the leadership.
    fn wants_leadership(&mut self, now: Millis) -> bool {
        match &self.mirror.leader_lease {
            Some(lease) if lease.label == self.config.labels[self.config.own_index] => {
                !self.leader.leadership.leads_under(lease.revision)
            }
            Some(lease) => self.should_replace_leader(&lease.label, now),
            None => {
                let controllers = self.shards.len();
                let first = self.mirror.store_revision as usize % controllers;
                let rank = (self.config.own_index + controllers - first) % controllers;
                let leaderless_ms = self.leader.leadership.leaderless_ms(now);
                leaderless_ms >= LEADERLESS_STEP_MS * rank as f64
            }
        }
    }

    /// Returns whether the leader has been silent for so long that this controller should replace
    /// it. A silent leader is replaced before its lease expires. That is safe, because its writes
    /// carry its lease's token.
    fn should_replace_leader(&self, label: &str, now: Millis) -> bool {
        let up_ms = now - self.started_at;
        let mut labels = self.config.labels.iter();
        let leader = labels.position(|known| known == label);
        let silence_ms = leader.and_then(|index| self.peers.silence(index, now));
        let rank = self.successor_rank(label, now);
        let limit_ms = LEADER_SILENCE_MS + SUCCESSION_STEP_MS * rank as f64;
        // A controller that receives no heartbeats at all cannot distinguish a dead leader from a
        // partition between the controllers. The state service can, by the leader's lease. Without
        // this check the leadership passed from one controller to the next, again and again.
        let any_peer_received = self.peers.any_received_within(SUCCESSION_MS, now);
        any_peer_received
            && match silence_ms {
                Some(silence_ms) => silence_ms > limit_ms && up_ms > STARTUP_GRACE_MS,
                None => up_ms > STARTUP_GRACE_MS + limit_ms,
            }
    }

    /// Returns how many reachable controllers precede this one in the succession of controller
    /// `predecessor`.
    pub(crate) fn successor_rank(&self, predecessor: &str, now: Millis) -> usize {
        let controllers = self.config.labels.len();
        let mut labels = self.config.labels.iter();
        let from = labels.position(|label| label == predecessor).unwrap_or(0);
        let is_reachable = |index: &usize| self.peers.received_within(*index, SUCCESSION_MS, now);
        (1..controllers)
            .map(|step| (from + step) % controllers)
            .take_while(|&index| index != self.config.own_index)
            .filter(is_reachable)
            .count()
    }

    /// Handles the outcome of a transaction that acquires the leader lease.
    pub(crate) fn leadership_committed(&mut self, outcome: Outcome, now: Millis) {
        if let Outcome::Applied(token) = outcome {
            self.become_leader(token, now);
        } else {
            let acquire_after = now + self.jitter(300.0, 900.0);
            self.leader.leadership.failed(acquire_after);
        }
        self.leader.needs_cycle = true;
    }

    /// Makes this controller the leader under the lease with this token. A repeated call for the
    /// same lease has no effect: it would restart the numbering of provisioning requests, which are
    /// numbered within a lease.
    pub(crate) fn become_leader(&mut self, token: u64, now: Millis) {
        if !self.leader.leadership.acquired(token, now) {
            return;
        }
        tracing::info!(token, "leadership acquired");
        self.leader.scale_out.start_leading(now);
        self.effects.push(Effect::Heartbeat);
    }

    /// Returns the token of the leader lease if this controller leads. A division at submission
    /// depends on this token.
    pub fn leadership_token(&self) -> Option<u64> {
        let leads = self.leader.leads(&self.mirror);
        leads.then(|| self.mirror.revision(Key::Leader))
    }
}

/// Scheduling cycle of the leader.
impl Controller {
    /// Runs one scheduling cycle of the leader.
    pub(crate) fn run_leader_cycle(&mut self, now: Millis) {
        self.leader.cycle_ran_at = now;
        let store_revision = self.mirror.store_revision;
        let transaction = &self.leader.cycle_transaction;
        if !self.leader.leads(&self.mirror)
            || !transaction.may_begin(store_revision, now)
            || !self.state_fresh(now)
        {
            return;
        }
        self.leader.needs_cycle = false;
        for shard_id in 0..self.shards.len() {
            let is_current = self.current_capacity(shard_id, now).is_some();
            self.leader
                .capacities
                .record_current(shard_id, is_current, now);
        }
        self.assume_capacities(now);
        self.review_fair_shares(now);
        if let Some(mut commit) = self.next_leader_transaction(now) {
            self.mirror.require(&mut commit, Key::Leader);
            self.leader.cycle_transaction.sent(now);
            self.effects
                .push(Effect::Commit(Ticket::LeaderCycle, commit));
        }
        self.scale_out(now);
    }

    /// Returns the transaction of the first of the leader's tasks that has something to write.
    fn next_leader_transaction(&mut self, now: Millis) -> Option<Commit> {
        self.store_machine_types()
            .or_else(|| self.store_attributes())
            .or_else(|| self.enable_admission_log())
            .or_else(|| self.enable_dependencies(now))
            .or_else(|| self.divide_new(now))
            .or_else(|| self.hand_out_grants(now))
            .or_else(|| self.move_waiting(now))
            .or_else(|| self.end_dependents(now))
            .or_else(|| self.compact_pages(now))
    }

    /// Handles the outcome of a cycle's transaction.
    pub(crate) fn leader_committed(&mut self, outcome: Outcome, now: Millis) {
        let sent_at = self.leader.cycle_transaction.answered();
        self.leader.needs_cycle = true;
        match outcome {
            Outcome::Applied(_) | Outcome::NoLease | Outcome::Unknown => {}
            // The divisions were not applied. With their debits, the next attempt would find less
            // capacity.
            Outcome::Conflict(_) | Outcome::Refused | Outcome::Malformed => {
                self.leader.capacities.revoke_debits(sent_at);
            }
        }
        match outcome {
            Outcome::Applied(_) => {
                for shard in &mut self.shards {
                    shard.needs_cycle = true;
                }
            }
            Outcome::Conflict(store_revision) => {
                let transaction = &mut self.leader.cycle_transaction;
                transaction.await_revision(store_revision);
                transaction.retry_after(now + CONFLICT_MS);
            }
            Outcome::NoLease | Outcome::Refused | Outcome::Malformed | Outcome::Unknown => {
                let retry_after = now + self.jitter(150.0, 400.0);
                self.leader.cycle_transaction.retry_after(retry_after);
            }
        }
    }
}

/// Settings that all controllers read from the state service.
impl Controller {
    /// Stores the machine types that the cloud last listed, if they have changed.
    fn store_machine_types(&mut self) -> Option<Commit> {
        let mut machine_types = self.machine_types_from_cloud.take()?;
        for machine_type in &mut machine_types {
            // Prices change all the time, and nothing here depends on them.
            (machine_type.price, machine_type.low_price) = (0.0, 0.0);
        }
        let is_stored = self.mirror.catalog.machine_types_revision != 0;
        if is_stored && self.mirror.catalog.machine_types == machine_types {
            return None;
        }
        let value = Json::of(&machine_types);
        if value.text().len() > self.config.value_bytes {
            tracing::warn!(
                "machine types not stored: they exceed the value size limit of the state service"
            );
            return None;
        }
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::MachineTypes);
        let put = Change::put(record::MACHINE_TYPES_KEY, value);
        commit.changes.push(put);
        Some(commit)
    }

    /// Stores the operators' attributes of machines if they differ from this leader's
    /// configuration file. All controllers use the stored attributes.
    fn store_attributes(&mut self) -> Option<Commit> {
        let attributes = &self.config.tuning.attributes;
        if !self.config.tuning.condor || self.mirror.catalog.attributes == *attributes {
            return None;
        }
        let value = Json::of(attributes);
        if value.text().len() > self.config.value_bytes {
            if !self.leader.attributes_warning_logged {
                self.leader.attributes_warning_logged = true;
                tracing::warn!(
                    "operators' attributes not in effect: they exceed the value size limit of the state service"
                );
            }
            return None;
        }
        tracing::info!("storing operators' attributes of machines");
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Attributes);
        commit
            .changes
            .push(Change::put(record::ATTRIBUTES_KEY, value));
        Some(commit)
    }
}
