//! Claims on parts: made, renewed under a new token, and given up.

use crate::Millis;
use crate::effects::{Effect, Ticket};
use crate::leader::state::LeadPhase;
use crate::machine::HostState;
use crate::mirror::ClaimState;
use crate::node::Node;
use crate::tenancy::{Tenancy, TenancyEvent};
use cherryyard_wire::record::{self, Claim, Key};
use cherryyard_wire::state::{Apply, Commit, Json};

impl Node {
    /// Takes claims of this very process that the state shows, whether they have been
    /// answered or not: where only the answer was lost, a claim made anew would get its
    /// answer no sooner, and a part went without an owner until one came. A claim of a
    /// process before, under the same name, is none of ours: what that one sent under it
    /// nobody knows.
    pub(crate) fn take_own_claims(&mut self) {
        let ours = |claim: &Option<ClaimState>| {
            let claim = claim.as_ref().filter(|c| c.process == Some(self.process));
            claim.map(|c| c.stamp).filter(|s| self.mirror.epoch >= *s)
        };
        let parts: Vec<Option<u64>> = self.mirror.parts.iter().map(ours).collect();
        let lead = ours(&self.mirror.lead);
        for (p, stamp) in parts.into_iter().enumerate() {
            let Some(stamp) = stamp else { continue };
            let held = match self.parts[p].tenancy {
                Tenancy::Owned(s) | Tenancy::Deposed(s) => s >= stamp,
                Tenancy::Foreign | Tenancy::Claiming => false,
            };
            if !held && self.clock >= self.parts[p].away_until {
                self.change_tenancy(p, TenancyEvent::ClaimApplied(stamp));
            }
        }
        if let Some(stamp) = lead
            && self.leader.phase != LeadPhase::Leading(stamp)
        {
            self.leads_by(stamp, self.clock);
        }
    }

    pub(crate) fn claim_parts(&mut self, now: Millis) {
        let Some(hold) = self.hold else { return };
        let me = self.config.me;
        let n = self.parts.len();
        for p in 0..n {
            let label = &self.config.labels[me];
            let part = &self.parts[p];
            let ours = self.mirror.parts[p].as_ref().filter(|c| c.label == *label);
            if let Some(stamp) = ours.map(|c| c.stamp)
                && now < part.away_until.min(part.claim_after)
                && now >= part.retry_after
                && !part.claiming
                && self.state_fresh(now)
            {
                // A claim of ours that was carried out late, after the part had been given
                // up: nobody would serve it.
                self.give_back(p, stamp);
                continue;
            }
            if part.claiming || now < part.claim_after {
                continue;
            }
            let (bump, tenancy) = (part.bump, part.tenancy);
            let owned = matches!(tenancy, Tenancy::Owned(_) | Tenancy::Deposed(_));
            let claim = self.mirror.parts[p].as_ref();
            if claim.is_some() && (!owned || claim.is_some_and(|c| c.label != *label)) {
                self.parts[p].ownerless_since = None;
            }
            let wanted = match claim {
                // Our label, but not by this process: what held it is dead.
                Some(c) if c.label == *label => !owned || bump,
                // Home asks for its part by taking it, once it has settled in;
                // the adopter sees the newer claim and sends workers over.
                Some(_) => p == me && now - self.started_at > 12_000.0 && self.state_fresh(now),
                None => {
                    let since = *self.parts[p].ownerless_since.get_or_insert(now);
                    let home_alive = self.peers[p]
                        .as_ref()
                        .is_some_and(|s| now - s.heard_at < 1500.0 && !s.heartbeat.cut_off);
                    let rank = ((me + n - p) % n) as f64;
                    let wait = if p == me {
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
            self.mirror.require(&mut commit, Key::Part(p));
            let claim = Claim::of(&self.config.labels[me], self.process, self.config.format);
            commit.apply.push(Apply::Set {
                set: record::part_key(p),
                v: Json::of(&claim),
                hold: Some(hold),
            });
            self.parts[p].claiming = true;
            self.parts[p].bump = false;
            self.change_tenancy(p, TenancyEvent::ClaimSent);
            self.effects.push(Effect::Commit(Ticket::Claim(p), commit));
        }
    }

    /// Gives up a part whose workers cannot reach this controller but do reach
    /// another: the state service alone would keep the claim alive while every
    /// lease in the part runs out.
    pub(crate) fn yield_parts(&mut self, now: Millis) {
        let limit = self.config.report_ms * 1.25 + 2000.0;
        for p in 0..self.parts.len() {
            let Some(token) = self.owned(p) else { continue };
            if self.parts[p].claiming
                || self.parts[p].pending.is_some()
                || now - self.parts[p].owned_since < 2.0 * limit
                || !self.state_fresh(now)
            {
                continue;
            }
            let mut all = 0u32;
            let mut silent = 0u32;
            for m in self
                .machines
                .values()
                .filter(|m| m.part == p && matches!(m.state, HostState::Ready | HostState::Expired))
            {
                all += 1;
                silent += u32::from(now - m.heard_at > limit);
            }
            let elsewhere = self
                .peers
                .iter()
                .flatten()
                .filter(|s| now - s.heard_at < 2000.0 && !s.heartbeat.cut_off)
                .flat_map(|s| &s.heartbeat.strays)
                .filter(|x| x.0 as usize == p)
                // Each goes from one controller to the next: none hears them all.
                .map(|x| x.1)
                .sum::<u32>();
            if silent * 2 >= all && all > 0 {
                tracing::debug!(
                    part = p,
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
                part = p,
                silent,
                elsewhere,
                "give up a part whose workers report elsewhere"
            );
            self.give_back(p, token);
        }
    }

    fn give_back(&mut self, p: usize, token: u64) {
        let mut commit = Commit::default();
        commit.require(record::part_key(p), token);
        commit.apply.push(Apply::delete(record::part_key(p)));
        self.parts[p].claiming = true;
        self.effects.push(Effect::Commit(Ticket::Yield(p), commit));
    }
}
