//! Leases on shards: made, renewed under a new token, and given up.

use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Ticket};
use crate::leader::state::LeadershipPhase;
use crate::machine::MachineState;
use crate::mirror::LeaseHolder;
use crate::shard_lease::{ShardLease, ShardLeaseEvent};
use cherryyard_wire::record::{self, Key, LeaseRecord};
use cherryyard_wire::state::{Apply, Commit, Json};

impl Controller {
    /// Takes leases of this very process that the state shows, whether they have been
    /// answered or not: where only the answer was lost, a lease made anew would get its
    /// answer no sooner, and a shard went without an owner until one came. A lease of a
    /// process before, under the same name, is none of ours: what that one sent under it
    /// nobody knows.
    pub(crate) fn adopt_own_leases(&mut self) {
        let ours = |holder: &Option<LeaseHolder>| {
            let holder = holder.as_ref().filter(|c| c.process == Some(self.process));
            holder
                .map(|c| c.revision)
                .filter(|s| self.mirror.store_revision >= *s)
        };
        let shards: Vec<Option<u64>> = self.mirror.shards.iter().map(ours).collect();
        let leader_lease = ours(&self.mirror.leader_lease);
        for (shard_id, token) in shards.into_iter().enumerate() {
            let Some(token) = token else { continue };
            let held = match self.shards[shard_id].lease {
                ShardLease::Held(s) | ShardLease::Superseded(s) => s >= token,
                ShardLease::NotHeld | ShardLease::Acquiring => false,
            };
            if !held && self.clock >= self.shards[shard_id].away_until {
                self.change_shard_lease(shard_id, ShardLeaseEvent::Acquired(token));
            }
        }
        if let Some(token) = leader_lease
            && self.leader.phase != LeadershipPhase::Leading(token)
        {
            self.become_leader(token, self.clock);
        }
    }

    pub(crate) fn acquire_shards(&mut self, now: Millis) {
        let Some(lease_id) = self.lease_id else {
            return;
        };
        let me = self.config.me;
        let n = self.shards.len();
        for shard_id in 0..n {
            let label = &self.config.labels[me];
            let shard = &self.shards[shard_id];
            let ours = self.mirror.shards[shard_id]
                .as_ref()
                .filter(|c| c.label == *label);
            if let Some(token) = ours.map(|c| c.revision)
                && now < shard.away_until.min(shard.acquire_after)
                && now >= shard.retry_after
                && !shard.acquiring
                && self.state_fresh(now)
            {
                // A lease of ours that was carried out late, after the shard had been given
                // up: nobody would serve it.
                self.release_shard(shard_id, token);
                continue;
            }
            if shard.acquiring || now < shard.acquire_after {
                continue;
            }
            let (bump, lease) = (shard.bump, shard.lease);
            let owned = matches!(lease, ShardLease::Held(_) | ShardLease::Superseded(_));
            let holder = self.mirror.shards[shard_id].as_ref();
            if holder.is_some() && (!owned || holder.is_some_and(|c| c.label != *label)) {
                self.shards[shard_id].ownerless_since = None;
            }
            let wanted = match holder {
                // Our label, but not by this process: what held it is dead.
                Some(c) if c.label == *label => !owned || bump,
                // Home asks for its shard by taking it, once it has settled in;
                // the adopter sees the newer lease and sends workers over.
                Some(_) => {
                    shard_id == me && now - self.started_at > 12_000.0 && self.state_fresh(now)
                }
                None => {
                    let since = *self.shards[shard_id].ownerless_since.get_or_insert(now);
                    let home_alive = self.peers[shard_id]
                        .as_ref()
                        .is_some_and(|s| now - s.last_heard_at < 1500.0 && !s.heartbeat.cut_off);
                    let rank = ((me + n - shard_id) % n) as f64;
                    let wait = if shard_id == me {
                        0.0
                    } else {
                        rank * 400.0 + if home_alive { 2500.0 } else { 0.0 }
                    };
                    now - since >= wait
                }
            };
            if !wanted {
                continue;
            }
            let mut commit = Commit::default();
            self.mirror.require(&mut commit, Key::Shard(shard_id));
            let holder = LeaseRecord::of(&self.config.labels[me], self.process, self.config.format);
            commit.apply.push(Apply::Set {
                set: record::shard_key(shard_id),
                value: Json::of(&holder),
                lease_id: Some(lease_id),
            });
            self.shards[shard_id].acquiring = true;
            self.shards[shard_id].bump = false;
            self.change_shard_lease(shard_id, ShardLeaseEvent::AcquireSent);
            self.effects
                .push(Effect::Commit(Ticket::AcquireShard(shard_id), commit));
        }
    }

    /// Gives up a shard whose workers cannot reach this controller but do reach
    /// another: the state service alone would keep the lease alive while every
    /// lease in the shard runs out.
    pub(crate) fn release_unreachable_shards(&mut self, now: Millis) {
        let limit = self.config.report_ms * 1.25 + 2000.0;
        for shard_id in 0..self.shards.len() {
            let Some(token) = self.owned(shard_id) else {
                continue;
            };
            if self.shards[shard_id].acquiring
                || self.shards[shard_id].pending.is_some()
                || now - self.shards[shard_id].owned_since < 2.0 * limit
                || !self.state_fresh(now)
            {
                continue;
            }
            let mut all = 0u32;
            let mut silent = 0u32;
            for m in self.machines.values().filter(|m| {
                m.shard == shard_id
                    && matches!(m.state, MachineState::Ready | MachineState::Expired)
            }) {
                all += 1;
                silent += u32::from(now - m.last_heard_at > limit);
            }
            let elsewhere = self
                .peers
                .iter()
                .flatten()
                .filter(|s| now - s.last_heard_at < 2000.0 && !s.heartbeat.cut_off)
                .flat_map(|s| &s.heartbeat.misdirected)
                .filter(|x| x.0 as usize == shard_id)
                // Each goes from one controller to the next: none hears them all.
                .map(|x| x.1)
                .sum::<u32>();
            if silent * 2 >= all && all > 0 {
                tracing::debug!(
                    shard = shard_id,
                    all,
                    silent,
                    elsewhere,
                    "most workers of a part are silent"
                );
            }
            if all < 2 || silent * 2 < all || elsewhere < 2 || elsewhere * 3 < all {
                continue;
            }
            tracing::info!(
                shard = shard_id,
                silent,
                elsewhere,
                "give up a part whose workers report elsewhere"
            );
            self.release_shard(shard_id, token);
        }
    }

    fn release_shard(&mut self, shard_id: usize, token: u64) {
        let mut commit = Commit::default();
        commit.require(record::shard_key(shard_id), token);
        commit
            .apply
            .push(Apply::delete(record::shard_key(shard_id)));
        self.shards[shard_id].acquiring = true;
        self.effects
            .push(Effect::Commit(Ticket::ReleaseShard(shard_id), commit));
    }
}
