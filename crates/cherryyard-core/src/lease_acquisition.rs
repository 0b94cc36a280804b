//! Leases on shards: acquired, renewed under a new token, lost, and released.
//!
//! A controller acquires the lease on its home shard, and that on any other shard that has
//! been without an owner for a while; the home controller takes its shard back once it has
//! settled in. It releases a shard whose workers cannot reach it but do reach a peer.
//! [`ShardLease`](crate::shard_lease::ShardLease) has the state of each lease.

use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use crate::machine::{MachineEvent, MachineState};
use crate::mirror::LeaseHolder;
use crate::peers::SUCCESSION_MS;
use crate::shard_lease::{LeaseEvent, LeasePhase};
use cherryyard_wire::record::{self, Key, LeaseRecord};
use cherryyard_wire::state::{Apply, Commit, Json};

/// Time after its start from which a controller takes its home shard back from a peer.
const SETTLED_MS: Millis = 12_000.0;
/// How much longer each further controller waits before it takes a shard without an owner.
const SUCCESSOR_STEP_MS: Millis = 400.0;
/// How much longer all others wait while the home controller is alive.
const HOME_ALIVE_MS: Millis = 2500.0;
/// Silence after which a worker counts as unable to reach its owner: this many times the time
/// between its reports, and a margin.
const SILENT_REPORTS: f64 = 1.25;
const SILENT_MARGIN_MS: Millis = 2000.0;

/// Who holds a shard's lease, as the state service shows it.
enum StoredHolder {
    /// A process of this controller, maybe an earlier one.
    Us,
    Peer,
    Nobody,
}

/// A shard's workers, by whether their reports arrive at its owner.
struct WorkerCounts {
    /// All whose reports should arrive.
    expected: u32,
    /// Of them, those that are silent here.
    silent: u32,
    /// Those that report to peers and can be reached by them.
    elsewhere: u32,
}

impl WorkerCounts {
    fn most_are_silent(&self) -> bool {
        self.silent * 2 >= self.expected && self.expected > 0
    }

    /// Whether a peer would do better as the shard's owner.
    fn are_better_elsewhere(&self) -> bool {
        self.expected >= 2
            && self.silent * 2 >= self.expected
            && self.elsewhere >= 2
            && self.elsewhere * 3 >= self.expected
    }
}

impl Controller {
    /// Brings the phases of all leases in line with what the state service shows.
    pub(crate) fn check_leases(&mut self) {
        self.adopt_own_leases();
        for shard_id in 0..self.shards.len() {
            if let Some(token) = self.shards[shard_id].lease.last_token()
                && self.mirror.revision(Key::Shard(shard_id)) != token
            {
                tracing::info!(shard = shard_id, token, "shard lease lost");
                self.change_shard_lease(shard_id, LeaseEvent::Lost);
            }
        }
        self.leader.check_leadership(&self.mirror);
    }

    /// Takes leases of this very process that the state shows, whether their transactions have
    /// been answered or not: where only the answer was lost, a new lease would get its answer
    /// no sooner, and the shard would have no owner until then. A lease of an earlier process
    /// of the same name is not adopted: nobody knows what that process sent under it.
    fn adopt_own_leases(&mut self) {
        let own_token = |holder: &Option<LeaseHolder>| {
            holder
                .as_ref()
                .filter(|holder| holder.process == Some(self.process))
                .map(|holder| holder.revision)
                .filter(|token| self.mirror.store_revision >= *token)
        };
        let shard_tokens: Vec<Option<u64>> = self.mirror.shards.iter().map(own_token).collect();
        let leader_token = own_token(&self.mirror.leader_lease);
        let now = self.state_contact.clock();
        for (shard_id, token) in shard_tokens.into_iter().enumerate() {
            let Some(token) = token else { continue };
            let lease = &self.shards[shard_id].lease;
            let is_known = lease.last_token().is_some_and(|known| known >= token);
            if !is_known && !lease.is_left(now) {
                self.change_shard_lease(shard_id, LeaseEvent::Acquired(token));
            }
        }
        if let Some(token) = leader_token
            && !self.leader.leadership.leads_by(token)
        {
            self.become_leader(token, now);
        }
    }

    /// The one place through which the phase of a shard's lease changes.
    pub(crate) fn change_shard_lease(&mut self, shard_id: usize, event: LeaseEvent) {
        let now = self.state_contact.clock();
        match self.shards[shard_id].lease.change(event, now) {
            Some(LeasePhase::NotHeld) => {
                self.machines.retain(|_, machine| machine.shard != shard_id);
                self.shards[shard_id].clear();
            }
            Some(LeasePhase::Held(token)) => {
                tracing::info!(shard = shard_id, token, "shard lease acquired");
                self.shards[shard_id].dirty = true;
                self.queue_all(shard_id, now);
                self.capacity_changed = true;
                let machines = self.machines.values_mut();
                for machine in machines.filter(|machine| machine.shard == shard_id) {
                    machine.change(MachineEvent::TokenChanged);
                }
                self.effects.push(Effect::Heartbeat);
            }
            Some(LeasePhase::Acquiring | LeasePhase::Superseded(_)) | None => {}
        }
    }

    /// The shard's token, if this controller owns it beyond doubt.
    pub(crate) fn owned(&self, shard_id: usize) -> Option<u64> {
        let token = self.shards[shard_id].lease.held_token()?;
        // Before the mirror has caught up with the lease, the last assignments of the owner
        // before may be missing from it.
        let mirror_is_current = self.mirror.revision(Key::Shard(shard_id)) == token
            && self.mirror.store_revision >= token;
        mirror_is_current.then_some(token)
    }

    /// Sends a transaction for each lease that is due to be acquired, renewed or, where it was
    /// acquired late, released.
    pub(crate) fn acquire_shards(&mut self, now: Millis) {
        let Some(lease_id) = self.lease_id else {
            return;
        };
        for shard_id in 0..self.shards.len() {
            if let Some(token) = self.late_lease(shard_id, now) {
                self.release_shard(shard_id, token);
            } else if self.wants_lease(shard_id, now) {
                self.acquire_shard(shard_id, lease_id);
            }
        }
    }

    /// The token of a lease of ours whose transaction was carried out late, after the shard had
    /// been left to others: nobody would serve it.
    fn late_lease(&self, shard_id: usize, now: Millis) -> Option<u64> {
        let shard = &self.shards[shard_id];
        let holder = self.mirror.shards[shard_id].as_ref()?;
        let is_late = holder.label == self.config.labels[self.config.me]
            && shard.lease.is_left_untried(now)
            && now >= shard.retry_after
            && !shard.lease.transaction_pending()
            && self.state_fresh(now);
        is_late.then_some(holder.revision)
    }

    /// Whether the shard's lease is to be acquired, or renewed under a new token, now.
    fn wants_lease(&mut self, shard_id: usize, now: Millis) -> bool {
        let holder = self.stored_holder(shard_id);
        let lease = &mut self.shards[shard_id].lease;
        if !lease.may_acquire(now) {
            return false;
        }
        let is_held = lease.last_token().is_some();
        match holder {
            StoredHolder::Us if is_held => lease.wants_new_token(),
            // Our label, but not this process: what held it is dead.
            StoredHolder::Us => {
                lease.has_owner();
                true
            }
            // The home controller asks for its shard by taking it, once it has settled in; the
            // owner sees the newer lease and sends the workers over.
            StoredHolder::Peer => {
                lease.has_owner();
                shard_id == self.config.me
                    && now - self.started_at > SETTLED_MS
                    && self.state_fresh(now)
            }
            StoredHolder::Nobody => lease.has_no_owner(now) >= self.succession_delay(shard_id, now),
        }
    }

    fn stored_holder(&self, shard_id: usize) -> StoredHolder {
        match &self.mirror.shards[shard_id] {
            Some(holder) if holder.label == self.config.labels[self.config.me] => StoredHolder::Us,
            Some(_) => StoredHolder::Peer,
            None => StoredHolder::Nobody,
        }
    }

    /// How long a shard must have had no owner before this controller takes it: the home
    /// controller at once, the others one after the other.
    fn succession_delay(&self, shard_id: usize, now: Millis) -> Millis {
        let me = self.config.me;
        if shard_id == me {
            return 0.0;
        }
        let count = self.shards.len();
        let rank = ((me + count - shard_id) % count) as f64;
        let home_alive = self.peers.has_state_within(shard_id, SUCCESSION_MS, now);
        rank * SUCCESSOR_STEP_MS + if home_alive { HOME_ALIVE_MS } else { 0.0 }
    }

    fn acquire_shard(&mut self, shard_id: usize, lease_id: u64) {
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Shard(shard_id));
        let label = &self.config.labels[self.config.me];
        let holder = LeaseRecord::of(label, self.process, self.config.format);
        commit.apply.push(Apply::Set {
            set: record::shard_key(shard_id),
            value: Json::of(&holder),
            lease_id: Some(lease_id),
        });
        self.shards[shard_id].lease.acquire_sent();
        self.change_shard_lease(shard_id, LeaseEvent::AcquireSent);
        self.effects
            .push(Effect::Commit(Ticket::AcquireShard(shard_id), commit));
    }

    /// Takes how a transaction that acquires or renews a lease came out.
    pub(crate) fn shard_acquire_committed(
        &mut self,
        shard_id: usize,
        outcome: Outcome,
        now: Millis,
    ) {
        self.shards[shard_id].lease.transaction_ended();
        match outcome {
            Outcome::Applied(token) => {
                self.change_shard_lease(shard_id, LeaseEvent::Acquired(token));
            }
            Outcome::Conflict(_)
            | Outcome::NoLease
            | Outcome::Refused
            | Outcome::Malformed
            | Outcome::Unknown => {
                let retry_at = now + self.jitter(200.0, 500.0);
                self.shards[shard_id].lease.retry_acquire_after(retry_at);
                self.change_shard_lease(shard_id, LeaseEvent::AcquireFailed);
            }
        }
    }

    /// Releases each shard whose workers cannot reach this controller but do reach a peer: the
    /// state service alone would keep the shard's lease alive while the leases of all its
    /// workers expire.
    pub(crate) fn release_unreachable_shards(&mut self, now: Millis) {
        let silence_ms = self.config.report_ms * SILENT_REPORTS + SILENT_MARGIN_MS;
        for shard_id in 0..self.shards.len() {
            let Some(token) = self.releasable(shard_id, silence_ms, now) else {
                continue;
            };
            let counts = self.count_workers(shard_id, silence_ms, now);
            let (silent, elsewhere) = (counts.silent, counts.elsewhere);
            if counts.most_are_silent() {
                let all = counts.expected;
                let shard = shard_id;
                tracing::debug!(shard, all, silent, elsewhere, "most workers are silent");
            }
            if counts.are_better_elsewhere() {
                let shard = shard_id;
                tracing::info!(
                    shard,
                    silent,
                    elsewhere,
                    "releasing shard lease: its workers report elsewhere"
                );
                self.release_shard(shard_id, token);
            }
        }
    }

    /// The shard's token, if this controller has owned it for long enough to receive its workers'
    /// heartbeats, and nothing else is under way.
    fn releasable(&self, shard_id: usize, silence_ms: Millis, now: Millis) -> Option<u64> {
        let token = self.owned(shard_id)?;
        let shard = &self.shards[shard_id];
        let is_settled = !shard.lease.transaction_pending()
            && shard.pending.is_none()
            && now - shard.lease.token_since() >= 2.0 * silence_ms
            && self.state_fresh(now);
        is_settled.then_some(token)
    }

    fn count_workers(&self, shard_id: usize, silence_ms: Millis, now: Millis) -> WorkerCounts {
        let mut counts = WorkerCounts {
            expected: 0,
            silent: 0,
            elsewhere: self.peers.misdirected_workers(shard_id, now),
        };
        for machine in self.machines.values() {
            if machine.shard == shard_id
                && matches!(machine.state, MachineState::Ready | MachineState::Expired)
            {
                counts.expected += 1;
                counts.silent += u32::from(now - machine.last_heard_at > silence_ms);
            }
        }
        counts
    }

    fn release_shard(&mut self, shard_id: usize, token: u64) {
        let mut commit = Commit::default();
        commit.require(record::shard_key(shard_id), token);
        commit
            .apply
            .push(Apply::delete(record::shard_key(shard_id)));
        self.shards[shard_id].lease.release_sent();
        self.effects
            .push(Effect::Commit(Ticket::ReleaseShard(shard_id), commit));
    }

    /// Takes how a transaction that releases a lease came out.
    pub(crate) fn shard_release_committed(
        &mut self,
        shard_id: usize,
        outcome: Outcome,
        now: Millis,
    ) {
        self.shards[shard_id].lease.transaction_ended();
        if self.shards[shard_id].lease.is_left(now) {
            // It was a late lease: it is released again if the state still shows it then.
            self.shards[shard_id].retry_after = now + self.jitter(200.0, 500.0);
        } else if let Outcome::Applied(_) = outcome {
            self.shards[shard_id].lease.released(now);
            self.change_shard_lease(shard_id, LeaseEvent::Lost);
        }
    }
}
