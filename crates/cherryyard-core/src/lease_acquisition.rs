//! Acquisition, renewal, loss and release of the leases on shards.
//!
//! Each controller is the preferred owner of the shard with its own index, and acquires the lease
//! on that shard whenever no controller holds it. It acquires the lease on any other shard that
//! has had no owner for a while. When a peer holds the lease on a shard, the preferred owner takes
//! over the lease once it has run for `MIN_UPTIME_FOR_TAKEOVER_MS`. A controller releases the
//! lease on a shard whose workers cannot reach it but do reach a peer.
//! [`ShardLease`](crate::shard_lease::ShardLease) holds the state of each lease.

use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use crate::machine::{MachineEvent, MachineState};
use crate::mirror::LeaseHolder;
use crate::peers::SUCCESSION_MS;
use crate::shard_lease::{LeaseEvent, LeasePhase};
use cherryyard_wire::record::{self, Key, LeaseRecord};
use cherryyard_wire::state::{Change, Commit, Json};

/// Time since its start after which a controller takes over its preferred shard from a peer.
const MIN_UPTIME_FOR_TAKEOVER_MS: Millis = 12_000.0;
/// Additional time that each further controller in the order of succession waits before it
/// acquires the lease on a shard without an owner.
const SUCCESSION_STEP_MS: Millis = 400.0;
/// Additional time that all other controllers wait while the shard's preferred owner is alive.
const PREFERRED_OWNER_ALIVE_MS: Millis = 2500.0;
/// Number of heartbeat intervals that, together with [`SILENCE_MARGIN_MS`], must pass without a
/// heartbeat before a worker counts as unable to reach its shard's owner.
const SILENCE_HEARTBEAT_INTERVALS: f64 = 1.25;
/// Margin that is added to the time of [`SILENCE_HEARTBEAT_INTERVALS`].
const SILENCE_MARGIN_MS: Millis = 2000.0;

/// Holder of a shard's lease as the state service shows it.
enum StoredHolder {
    /// This process, or an earlier process of the controller with the same name.
    ThisController,
    Peer,
    Unheld,
}

/// Numbers of a shard's workers by the controller that receives their heartbeats.
struct WorkerCounts {
    /// Workers whose heartbeats should arrive at this controller.
    expected: u32,
    /// Expected workers whose heartbeats have stopped.
    silent: u32,
    /// Workers that send their heartbeats to peers and are reachable by these.
    misdirected: u32,
}

impl WorkerCounts {
    /// Returns whether at least half of the expected workers are silent.
    fn most_are_silent(&self) -> bool {
        self.silent * 2 >= self.expected && self.expected > 0
    }

    /// Returns whether the workers would be served better if a peer owned the shard: at least half
    /// of the expected workers are silent, and at least two workers, and a third of the number
    /// expected, reach peers.
    fn favor_peer_as_owner(&self) -> bool {
        self.expected >= 2
            && self.silent * 2 >= self.expected
            && self.misdirected >= 2
            && self.misdirected * 3 >= self.expected
    }
}

impl Controller {
    /// Updates the phases of all leases to what the state service shows.
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

    /// Adopts the leases of this very process that the mirror shows, even if the answers to their
    /// transactions have not arrived: where only the answer was lost, acquiring the lease again
    /// would take no less time, and the shard would have no owner until then. A lease of an earlier
    /// process of the same controller is not adopted, because the commands which that process
    /// sent under the lease are unknown.
    fn adopt_own_leases(&mut self) {
        let own_token = |holder: &Option<LeaseHolder>| {
            holder
                .as_ref()
                .filter(|holder| holder.process == Some(self.process_id))
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
            if !is_known && !lease.is_backing_off(now) {
                self.change_shard_lease(shard_id, LeaseEvent::Acquired(token));
            }
        }
        if let Some(token) = leader_token
            && !self.leader.leadership.leads_under(token)
        {
            self.become_leader(token, now);
        }
    }

    /// Applies an event to a shard's lease, and the consequences of a change of its phase to the
    /// shard's machines and queues. Every change of the phase goes through this function.
    pub(crate) fn change_shard_lease(&mut self, shard_id: usize, event: LeaseEvent) {
        let now = self.state_contact.clock();
        let was_held = self.shards[shard_id].lease.held_token().is_some();
        match self.shards[shard_id].lease.change(event, now) {
            Some(LeasePhase::NotHeld) => {
                self.machines.retain(|_, machine| machine.shard != shard_id);
                self.shards[shard_id].clear();
            }
            Some(LeasePhase::Held(token)) if was_held => self.token_raised(shard_id, token),
            Some(LeasePhase::Held(token)) => {
                tracing::info!(shard = shard_id, token, "shard lease acquired");
                self.shards[shard_id].needs_cycle = true;
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

    /// Applies the renewal of a held lease under a higher token: workers that see it refuse all that
    /// was sent to them before. What machines have shown under the earlier tokens stays proven,
    /// because no other controller has commanded them since.
    fn token_raised(&mut self, shard_id: usize, token: u64) {
        tracing::info!(
            shard = shard_id,
            token,
            "shard lease renewed under a new token"
        );
        self.command_counts.token_raises += 1;
        self.shards[shard_id].needs_cycle = true;
        self.capacity_changed = true;
        self.effects.push(Effect::Heartbeat);
    }

    /// Returns the shard's token, if this controller holds the lease and the mirror is as recent
    /// as the lease.
    pub(crate) fn owned_token(&self, shard_id: usize) -> Option<u64> {
        let token = self.shards[shard_id].lease.held_token()?;
        // Before the mirror has reached the revision of the lease, it may lack the last
        // assignments of the previous owner.
        let mirror_is_current = self.mirror.revision(Key::Shard(shard_id)) == token
            && self.mirror.store_revision >= token;
        mirror_is_current.then_some(token)
    }

    /// Sends a transaction for each lease that is due to be acquired or renewed, and for each
    /// lease that was acquired too late and is due to be released.
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

    /// Returns the token of a lease under this controller's name whose transaction was applied
    /// late, after the backoff that follows a release began: this controller does not adopt such
    /// a lease, so the shard would have no active owner.
    fn late_lease(&self, shard_id: usize, now: Millis) -> Option<u64> {
        let shard = &self.shards[shard_id];
        let holder = self.mirror.shards[shard_id].as_ref()?;
        let is_late = holder.label == self.config.labels[self.config.own_index]
            && shard.lease.is_backing_off_untried(now)
            && now >= shard.retry_at
            && !shard.lease.transaction_pending()
            && self.state_fresh(now);
        is_late.then_some(holder.revision)
    }

    /// Returns whether the shard's lease is to be acquired, or renewed under a new token, now.
    fn wants_lease(&mut self, shard_id: usize, now: Millis) -> bool {
        let holder = self.stored_holder(shard_id);
        // A renewal makes a scheduling cycle in flight fail, as this names the earlier token.
        let is_cycle_pending = self.shards[shard_id].pending.is_some();
        let lease = &mut self.shards[shard_id].lease;
        if !lease.may_acquire(now) {
            return false;
        }
        let is_held = lease.last_token().is_some();
        match holder {
            StoredHolder::ThisController if is_held => lease.wants_new_token() && !is_cycle_pending,
            // An earlier process of this controller acquired the lease, and has ended.
            StoredHolder::ThisController => {
                lease.note_owner();
                true
            }
            // The preferred owner takes over the lease without asking the present owner, which
            // then sees the newer lease and redirects the workers.
            StoredHolder::Peer => {
                lease.note_owner();
                shard_id == self.config.own_index
                    && now - self.started_at > MIN_UPTIME_FOR_TAKEOVER_MS
                    && self.state_fresh(now)
            }
            StoredHolder::Unheld => {
                lease.note_no_owner(now) >= self.succession_delay(shard_id, now)
            }
        }
    }

    fn stored_holder(&self, shard_id: usize) -> StoredHolder {
        match &self.mirror.shards[shard_id] {
            Some(holder) if holder.label == self.config.labels[self.config.own_index] => {
                StoredHolder::ThisController
            }
            Some(_) => StoredHolder::Peer,
            None => StoredHolder::Unheld,
        }
    }

    /// Returns the time for which a shard must have had no owner before this controller acquires
    /// its lease: none for the preferred owner, and a longer one for each further controller in
    /// the order of succession.
    fn succession_delay(&self, shard_id: usize, now: Millis) -> Millis {
        let me = self.config.own_index;
        if shard_id == me {
            return 0.0;
        }
        let count = self.shards.len();
        let rank = ((me + count - shard_id) % count) as f64;
        let preferred_owner_is_alive =
            self.peers
                .reaches_state_within(shard_id, SUCCESSION_MS, now);
        rank * SUCCESSION_STEP_MS
            + if preferred_owner_is_alive {
                PREFERRED_OWNER_ALIVE_MS
            } else {
                0.0
            }
    }

    fn acquire_shard(&mut self, shard_id: usize, lease_id: u64) {
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Shard(shard_id));
        let label = &self.config.labels[self.config.own_index];
        let holder = LeaseRecord::of(label, self.process_id, self.config.format);
        commit.changes.push(Change::Set {
            set: record::shard_key(shard_id),
            value: Json::of(&holder),
            lease_id: Some(lease_id),
        });
        self.shards[shard_id].lease.acquire_sent();
        self.change_shard_lease(shard_id, LeaseEvent::AcquireSent);
        self.effects
            .push(Effect::Commit(Ticket::AcquireShard(shard_id), commit));
    }

    /// Handles the outcome of a transaction that acquires or renews a shard's lease.
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

    /// Releases the lease on each shard whose workers cannot reach this controller but do reach a
    /// peer. As long as this controller reaches the state service its lease on the shard would
    /// not expire, while the leases of all the shard's workers would.
    pub(crate) fn release_unreachable_shards(&mut self, now: Millis) {
        let silence_ms = self.config.report_ms * SILENCE_HEARTBEAT_INTERVALS + SILENCE_MARGIN_MS;
        for shard_id in 0..self.shards.len() {
            let Some(token) = self.releasable(shard_id, silence_ms, now) else {
                continue;
            };
            let counts = self.count_workers(shard_id, silence_ms, now);
            let (silent, elsewhere) = (counts.silent, counts.misdirected);
            if counts.most_are_silent() {
                let all = counts.expected;
                let shard = shard_id;
                tracing::debug!(
                    shard,
                    all,
                    silent,
                    elsewhere,
                    "at least half of the shard's workers send no heartbeats"
                );
            }
            if counts.favor_peer_as_owner() {
                let shard = shard_id;
                tracing::info!(
                    shard,
                    silent,
                    elsewhere,
                    "releasing shard lease: its workers send their heartbeats to other controllers"
                );
                self.release_shard(shard_id, token);
            }
        }
    }

    /// Returns the shard's token, if this controller has owned the shard for long enough to have
    /// received its workers' heartbeats, no transaction for the shard is in flight, and the
    /// view of the state service is fresh.
    fn releasable(&self, shard_id: usize, silence_ms: Millis, now: Millis) -> Option<u64> {
        let token = self.owned_token(shard_id)?;
        let shard = &self.shards[shard_id];
        let is_settled = !shard.lease.transaction_pending()
            && shard.pending.is_none()
            && now - shard.lease.held_since() >= 2.0 * silence_ms
            && self.state_fresh(now);
        is_settled.then_some(token)
    }

    fn count_workers(&self, shard_id: usize, silence_ms: Millis, now: Millis) -> WorkerCounts {
        let mut counts = WorkerCounts {
            expected: 0,
            silent: 0,
            misdirected: self.peers.misdirected_workers(shard_id, now),
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
            .changes
            .push(Change::delete(record::shard_key(shard_id)));
        self.shards[shard_id].lease.release_sent();
        self.effects
            .push(Effect::Commit(Ticket::ReleaseShard(shard_id), commit));
    }

    /// Handles the outcome of a transaction that releases a shard's lease.
    pub(crate) fn shard_release_committed(
        &mut self,
        shard_id: usize,
        outcome: Outcome,
        now: Millis,
    ) {
        self.shards[shard_id].lease.transaction_ended();
        if self.shards[shard_id].lease.is_backing_off(now) {
            // The transaction released a late lease: it is sent again if the state service still
            // shows that lease after a short delay.
            self.shards[shard_id].retry_at = now + self.jitter(200.0, 500.0);
        } else if let Outcome::Applied(_) = outcome {
            self.shards[shard_id].lease.released(now);
            self.change_shard_lease(shard_id, LeaseEvent::Lost);
        }
    }
}
