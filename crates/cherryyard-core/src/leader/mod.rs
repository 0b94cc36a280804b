//! The leader: divides jobs among the shards, moves what waits, hands out team
//! limits, scales out machines.

mod admission_log;
mod assumed;
mod bulk_creation;
mod dependents;
mod division;
pub(crate) mod history_compaction;
mod limits;
pub(crate) mod provisioning_times;
mod rebalancing;
mod scale_out;
pub(crate) mod state;

pub use history_compaction::HistoryCounts;

use crate::controller::Controller;
use crate::divide::divide;
use crate::effects::{Effect, Outcome, Ticket};
use crate::mirror::OpenJob;
use crate::needs::Needs;
use crate::peers::SUCCESSION_MS;
use crate::{Millis, admit};
use cherryyard_wire::RangeSet;
use cherryyard_wire::cloud::{Instance, InstanceStatus, MachineType, ProvisionRequest};
use cherryyard_wire::job::{Rank, Shape};
use cherryyard_wire::peer::{CapacityReport, MachineCapacity, MachinePool};
use cherryyard_wire::record::{self, End, Grant, Key, LeaseRecord};
use cherryyard_wire::state::{Apply, Commit, Json};
use state::{LeadershipEvent, LeadershipPhase, ProvisionedBatch, ShardCapacity};
use std::collections::HashSet;

impl Controller {
    pub(crate) fn acquire_leadership(&mut self, now: Millis) {
        let Some(lease_id) = self.lease_id else {
            return;
        };
        let me = self.config.me;
        let n = self.shards.len();
        if self.leader.phase == LeadershipPhase::Acquiring || now < self.leader.acquire_after {
            return;
        }
        let label = &self.config.labels[me];
        let wanted = match &self.mirror.leader_lease {
            Some(c) if c.label == *label => {
                !matches!(self.leader.phase, LeadershipPhase::Leading(s) if s == c.revision)
            }
            Some(c) => {
                // A leader that has fallen silent is replaced before its lease
                // is over. That is safe, as its writes carry its lease's token.
                let silent = self
                    .config
                    .labels
                    .iter()
                    .position(|l| *l == c.label)
                    .and_then(|peer| self.peers.silence(peer, now));
                let rank = self.successor_rank(&c.label, now);
                let limit = 1800.0 + 500.0 * rank as f64;
                // Who hears nobody at all cannot tell a dead leader from a cut
                // between controllers; the state service tells, by its lease.
                // Else the lead went round among all, again and again.
                let anyone = self.peers.any_received_within(SUCCESSION_MS, now);
                match silent.filter(|_| anyone) {
                    Some(ms) => ms > limit && now - self.started_at > 4000.0,
                    None => silent.is_none() && anyone && now - self.started_at > 4000.0 + limit,
                }
            }
            None => {
                let since = *self.leader.leaderless_since.get_or_insert(now);
                now - since
                    >= 150.0 * ((me + n - (self.mirror.store_revision as usize % n)) % n) as f64
            }
        };
        if self.mirror.leader_lease.is_some() {
            self.leader.leaderless_since = None;
        }
        if !wanted || !self.state_fresh(now) {
            return;
        }
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Leader);
        let holder = LeaseRecord::of(&self.config.labels[me], self.process, self.config.format);
        commit.apply.push(Apply::Set {
            set: record::LEADER_KEY.into(),
            v: Json::of(&holder),
            lease_id: Some(lease_id),
        });
        if matches!(self.leader.phase, LeadershipPhase::Leading(_)) {
            self.leader.phase = self.leader.phase.after(LeadershipEvent::Gone);
        }
        self.leader.phase = self.leader.phase.after(LeadershipEvent::Sent);
        self.effects
            .push(Effect::Commit(Ticket::AcquireLeadership, commit));
    }

    /// This controller's place among those that could follow `gone`.
    pub(crate) fn successor_rank(&self, gone: &str, now: Millis) -> usize {
        let n = self.config.labels.len();
        let from = self
            .config
            .labels
            .iter()
            .position(|l| l == gone)
            .unwrap_or(0);
        (1..n)
            .map(|k| (from + k) % n)
            .take_while(|&i| i != self.config.me)
            .filter(|&i| self.peers.received_within(i, SUCCESSION_MS, now))
            .count()
    }

    pub(crate) fn leadership_committed(&mut self, outcome: Outcome, now: Millis) {
        match outcome {
            Outcome::Applied(token) => self.become_leader(token, now),
            _ => {
                self.leader.phase = self.leader.phase.after(LeadershipEvent::Failed);
                self.leader.acquire_after = now + self.jitter(300.0, 900.0);
            }
        }
        self.leader.dirty = true;
    }

    /// We lead by this lease. Once only: names of provisioning requests are counted from there.
    pub(crate) fn become_leader(&mut self, token: u64, now: Millis) {
        if self.leader.leadership_token == token {
            return;
        }
        tracing::info!(token, "lead");
        self.leader.leadership_token = token;
        self.leader.phase = self.leader.phase.after(LeadershipEvent::Applied(token));
        self.leader.since = now;
        self.leader.provision_after = now + 5000.0;
        self.leader.provisioning = None;
        self.leader.provision_counter = 0;
        self.leader.acquire_after = now + 8000.0;
        self.effects.push(Effect::Heartbeat);
    }

    pub(crate) fn leader_committed(&mut self, outcome: Outcome, now: Millis) {
        self.leader.pending = false;
        self.leader.dirty = true;
        if matches!(
            outcome,
            Outcome::Conflict(_) | Outcome::Refused | Outcome::Malformed
        ) {
            // What it gave out was not given: the next try would find less room.
            let sent_at = self.leader.sent_at;
            for capacity in self.leader.capacities.iter_mut().flatten() {
                capacity.debits.retain(|d| d.0 != sent_at);
            }
        }
        match outcome {
            Outcome::Applied(_) => {
                for shard in &mut self.shards {
                    shard.dirty = true;
                }
            }
            Outcome::Conflict(store_revision) => {
                self.leader.wait_revision = store_revision;
                self.leader.retry_after = now + 30.0;
            }
            _ => self.leader.retry_after = now + self.jitter(150.0, 400.0),
        }
    }

    /// One scheduling cycle of the leader.
    pub(crate) fn plan_leader(&mut self, now: Millis) {
        self.leader.planned_at = now;
        if !self.leader.leads(&self.mirror)
            || self.leader.pending
            || now < self.leader.retry_after
            || self.mirror.store_revision < self.leader.wait_revision
            || !self.state_fresh(now)
        {
            return;
        }
        self.leader.dirty = false;
        for shard_id in 0..self.shards.len() {
            if self.current_capacity(shard_id, now).is_some() {
                self.leader.ownerless.remove(&shard_id);
            } else {
                self.leader.ownerless.entry(shard_id).or_insert(now);
            }
        }
        self.assume_capacities(now);
        self.review(now);
        let commit = self
            .store_machine_types()
            .or_else(|| self.store_attributes())
            .or_else(|| self.begin_pages())
            .or_else(|| self.begin_dependencies(now))
            .or_else(|| self.divide_new(now))
            .or_else(|| self.hand_out_grants(now))
            .or_else(|| self.move_waiting(now))
            .or_else(|| self.end_dependents(now))
            .or_else(|| self.compact_pages(now));
        if let Some(mut commit) = commit {
            self.mirror.require(&mut commit, Key::Leader);
            self.leader.pending = true;
            self.leader.sent_at = now;
            self.effects
                .push(Effect::Commit(Ticket::LeaderCycle, commit));
        }
        self.scale_out(now);
    }

    pub(crate) fn store_machine_types(&mut self) -> Option<Commit> {
        let machine_types = self.machine_types_from_cloud.take()?;
        let mut named = machine_types.clone();
        for machine_type in &mut named {
            // Prices move all the time, and nothing here depends on them.
            (machine_type.price, machine_type.low_price) = (0.0, 0.0);
        }
        if self.mirror.machine_types_revision != 0 && self.mirror.machine_types == named {
            return None;
        }
        let value = Json::of(&named);
        if value.text().len() > self.config.value_bytes {
            tracing::warn!("the machine types are too many to keep in the state service");
            return None;
        }
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::MachineTypes);
        commit
            .apply
            .push(Apply::put(record::MACHINE_TYPES_KEY, value));
        Some(commit)
    }

    /// Operators' attributes of machines, if they are not as this leader's file has
    /// them: all controllers decide by what is stored.
    pub(crate) fn store_attributes(&mut self) -> Option<Commit> {
        let own = &self.config.tuning.attributes;
        if !self.config.tuning.condor || self.mirror.attributes == *own {
            return None;
        }
        let value = Json::of(own);
        if value.text().len() > self.config.value_bytes {
            if !self.leader.warned {
                self.leader.warned = true;
                tracing::warn!("operators' attributes are too many to keep, and do not count");
            }
            return None;
        }
        tracing::info!("operators' attributes of machines are stored");
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Attributes);
        commit.apply.push(Apply::put(record::ATTRIBUTES, value));
        Some(commit)
    }

    /// The lease's token that a division at submission depends on.
    pub fn leadership_token(&self) -> Option<u64> {
        self.leader
            .leads(&self.mirror)
            .then(|| self.mirror.revision(Key::Leader))
    }
}
