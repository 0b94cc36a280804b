//! Fair-share entitlements in force: worked out by the leader, acted on by owners.
//!
//! Once a second (twice while a flow is ahead of rank) the leader compares what each flow
//! runs and has waiting with its fair-share guarantee. Where a flow has long had less, the
//! leader divides the guarantee into allowances for the owners ([`division`]), which travel
//! in heartbeats ([`heartbeat_numbers`]). An owner without an allowance in force starts
//! nothing ahead of rank, and for a while goes on preempting nothing of such a flow: it
//! errs on the careful side.

mod division;
mod heartbeat_numbers;
pub(crate) mod usage;

use super::allowance::{Allowance, GrantLeases};
use super::fair_share_status::{Coverage, FairShareStatus};
use super::flows::{Flow, Flows};
use crate::Millis;
use cherryyard_wire::peer::{FlowShare, Heartbeat, LevelGrant};
pub(crate) use division::ShardOwner;
use division::{Accounts, FlowShard, divide_guarantee, update_leases};
use heartbeat_numbers::HeartbeatNumbers;
use std::collections::{BTreeMap, HashMap};
use usage::FlowUse;

/// Time between two reviews by the leader, and the same while a flow is ahead of rank.
const REVIEW_MS: f64 = 1000.0;
const REVIEW_AHEAD_MS: f64 = 500.0;

/// A flow's fair-share guarantee, and whether it has that.
#[derive(Clone, Copy, Debug)]
struct FairShare {
    status: FairShareStatus,
    /// In cores.
    guarantee: f64,
}

const SERVED: FairShare = FairShare {
    status: FairShareStatus::Served,
    guarantee: 0.0,
};

/// What an owner may do for and to flows that are ahead of rank, in cores.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerEntitlement {
    /// Start ahead of rank.
    pub start: HashMap<Flow, f64>,
    /// Stop for others; flows that are not here may be stopped as their rank allows.
    pub stop: HashMap<Flow, f64>,
}

/// An allowance that the leader has granted a shard of ours.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedAllowance {
    pub(crate) flow: Flow,
    pub(crate) shard_id: usize,
    pub(crate) allowance: Allowance<Millis>,
}

/// A change of whether a flow goes ahead of rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatusChange {
    pub(crate) flow: Flow,
    pub(crate) before: FairShareStatus,
    pub(crate) after: FairShareStatus,
    /// All in cores.
    pub(crate) running: f64,
    pub(crate) waiting: f64,
    pub(crate) guarantee: f64,
}

/// Which of our heartbeats another controller has named as the last that it received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acknowledgement {
    pub(crate) number: Option<u64>,
    /// When we sent it, if that is still remembered.
    pub(crate) sent_at: Option<Millis>,
}

/// Fair shares of all flows, and the allowances granted and held by them.
#[derive(Debug, Default)]
pub(crate) struct Entitlements {
    /// By flow.
    fair_shares: Vec<FairShare>,
    /// When the fair shares were last worked out here or received from the leader.
    updated_at: Option<Millis>,
    reviewed_at: Option<Millis>,
    /// The leader's accounts of what it has granted.
    accounts: Accounts,
    /// What our own shards have been granted.
    allowances: BTreeMap<FlowShard, Allowance<Millis>>,
    heartbeats: HeartbeatNumbers,
}

impl Entitlements {
    /// Heartbeats are numbered from `number` on.
    pub(crate) fn new(number: u64) -> Self {
        Self {
            heartbeats: HeartbeatNumbers::new(number),
            ..Self::default()
        }
    }

    fn status(&self, flow: Flow) -> FairShareStatus {
        let known = self.fair_shares.get(flow as usize);
        known.map_or(FairShareStatus::Served, |share| share.status)
    }

    fn set(&mut self, flow: Flow, fair_share: FairShare) {
        let index = flow as usize;
        if self.fair_shares.len() <= index {
            self.fair_shares.resize(index + 1, SERVED);
        }
        self.fair_shares[index] = fair_share;
    }

    /// Whether a flow goes ahead of rank, as far as is known here.
    pub(crate) fn is_ahead(&self, flow: Flow, window_ms: f64, now: Millis) -> bool {
        let is_current = self.updated_at.is_some_and(|at| now - at <= window_ms);
        is_current && self.status(flow).ahead()
    }

    /// Whether the leader's next review is due.
    pub(crate) fn review_due(&self, now: Millis) -> bool {
        let any_ahead = self.fair_shares.iter().any(|share| share.status.ahead());
        let interval = if any_ahead {
            REVIEW_AHEAD_MS
        } else {
            REVIEW_MS
        };
        self.reviewed_at.is_none_or(|at| now - at >= interval)
    }

    /// Takes the fair-share guarantees that a review of the leader has worked out; says
    /// which flows have begun or ceased to go ahead of rank.
    pub(crate) fn review(
        &mut self,
        usage: &[FlowUse],
        guarantees: &[f64],
        window_ms: f64,
        now: Millis,
    ) -> Vec<StatusChange> {
        self.reviewed_at = Some(now);
        let mut changes = Vec::new();
        for (index, (used, &guarantee)) in usage.iter().zip(guarantees).enumerate() {
            let flow = index as Flow;
            let running = used.total_running();
            let waiting = used.total_waiting();
            let before = self.status(flow);
            let coverage = Coverage::of(running, waiting, guarantee);
            let after = before.after(coverage, window_ms, now);
            if after.ahead() != before.ahead() {
                changes.push(StatusChange {
                    flow,
                    before,
                    after,
                    running,
                    waiting,
                    guarantee,
                });
            }
            let status = after;
            self.set(flow, FairShare { status, guarantee });
        }
        self.updated_at = Some(now);
        changes
    }

    /// Divides the guarantees of flows that are ahead of rank into allowances; `may_grant`:
    /// whether this leader may change any.
    pub(crate) fn divide_guarantees(
        &mut self,
        usage: &[FlowUse],
        leader_token: u64,
        owners: &[ShardOwner],
        may_grant: bool,
        now: Millis,
    ) {
        let number = self.heartbeats.next();
        for (index, used) in usage.iter().enumerate() {
            let flow = index as Flow;
            if !self.status(flow).ahead() {
                self.accounts.retain(|key, _| key.0 != flow);
                self.allowances.retain(|key, _| key.0 != flow);
                continue;
            }
            update_leases(&mut self.accounts, flow, leader_token, owners);
            if may_grant {
                let guarantee = self.fair_shares[index].guarantee;
                divide_guarantee(&mut self.accounts, flow, used, guarantee, owners, number);
            }
        }
        self.grant_ours(owners, number, now);
    }

    /// Our own shards need no heartbeat to have their allowances.
    fn grant_ours(&mut self, owners: &[ShardOwner], number: u64, now: Millis) {
        for (&key, account) in &mut self.accounts {
            if !owners[key.1].is_ours {
                continue;
            }
            let allowance = Allowance {
                leases: account.leases,
                number,
                amount: account.current(),
                from: now,
            };
            self.allowances.insert(key, allowance);
            account.acknowledged(number);
        }
    }

    /// What the owner of a shard of ours may start and stop of flows that are ahead of
    /// rank and run so many cores there.
    pub(crate) fn owner_entitlement(
        &self,
        ahead: &[Flow],
        shard_id: usize,
        shard_token: u64,
        running: &HashMap<Flow, f64>,
        now: Millis,
    ) -> OwnerEntitlement {
        let mut entitlement = OwnerEntitlement::default();
        for &flow in ahead {
            let allowance = self.allowances.get(&(flow, shard_id));
            let allowance = allowance.and_then(|allowance| allowance.in_force(shard_token, now));
            let allowed = allowance.map(|amount| amount as f64 / 1000.0);
            let running = running.get(&flow).copied().unwrap_or(0.0);
            let start = allowed.map_or(0.0, |allowed| allowed - running);
            let stop = allowed.map_or(0.0, |allowed| running - allowed);
            entitlement.start.insert(flow, start.max(0.0));
            entitlement.stop.insert(flow, stop.max(0.0));
        }
        entitlement
    }

    /// Numbers a heartbeat, and names in it the last one received of each controller.
    pub(crate) fn number_heartbeat(&mut self, heartbeat: &mut Heartbeat, now: Millis) {
        heartbeat.number = self.heartbeats.send(now);
        heartbeat.heard = self.heartbeats.received_numbers().collect();
    }

    /// Puts the leader's grants into a heartbeat.
    pub(crate) fn write_grants(&self, heartbeat: &mut Heartbeat, flows: &Flows) {
        for (index, share) in self.fair_shares.iter().enumerate() {
            if !share.status.ahead() {
                continue;
            }
            let flow = index as Flow;
            let accounts = self.accounts.range((flow, 0)..=(flow, usize::MAX));
            let levels = accounts.map(|(&(_, shard_id), account)| LevelGrant {
                shard: shard_id as u32,
                under: (account.leases.leader_token, account.leases.shard_token),
                level: account.current(),
            });
            heartbeat.shares.push(FlowShare {
                class: flows.class(flow).into(),
                team: flows.team(flow),
                floor: share.guarantee as f32,
                levels: levels.collect(),
            });
        }
    }

    /// Notes that another controller's heartbeat has come, and which of ours (`me`) it
    /// names.
    pub(crate) fn heartbeat_received(
        &mut self,
        peer: usize,
        heartbeat: &Heartbeat,
        me: usize,
        now: Millis,
    ) -> Acknowledgement {
        self.heartbeats.received(peer, heartbeat.number, now);
        let acknowledgement = self.acknowledgement(heartbeat, me);
        if let Some(sent_at) = acknowledgement.sent_at {
            self.heartbeats.acknowledged(peer, sent_at);
        }
        acknowledgement
    }

    /// Which of our heartbeats (`me`) another one names.
    pub(crate) fn acknowledgement(&self, heartbeat: &Heartbeat, me: usize) -> Acknowledgement {
        let number = heartbeat.heard.iter().find(|h| h.0 == me as u32);
        let number = number.map(|h| h.1);
        Acknowledgement {
            number,
            sent_at: number.and_then(|number| self.heartbeats.sent_at(number)),
        }
    }

    /// When we sent the last of our heartbeats that another controller has named.
    pub(crate) fn last_acknowledged_at(&self, peer: usize) -> Option<Millis> {
        self.heartbeats.last_acknowledged_at(peer)
    }

    /// When a heartbeat of another controller last came.
    pub(crate) fn last_received_at(&self, peer: usize) -> Option<Millis> {
        self.heartbeats.last_received_at(peer)
    }

    /// Owners of the shards for which `owned` says so have received the leader's
    /// heartbeat of this number.
    pub(crate) fn grants_acknowledged(&mut self, number: u64, owned: impl Fn(usize) -> bool) {
        for ((_, shard_id), account) in &mut self.accounts {
            if owned(*shard_id) {
                account.acknowledged(number);
            }
        }
    }

    /// Takes from the leader which flows are ahead of rank, with their fair-share
    /// guarantees, and the allowances that it has granted to shards of ours.
    pub(crate) fn grants_received(
        &mut self,
        ahead: &[(Flow, f64)],
        granted: &[ReceivedAllowance],
        now: Millis,
    ) {
        self.updated_at = Some(now);
        for &(flow, guarantee) in ahead {
            let status = FairShareStatus::Ahead;
            self.set(flow, FairShare { status, guarantee });
        }
        for grant in granted {
            let key = (grant.flow, grant.shard_id);
            let known = self.allowances.get(&key).copied();
            let newer = Allowance::newer(known, grant.allowance);
            self.allowances.insert(key, newer);
        }
        let is_ahead = |flow: Flow| ahead.iter().any(|a| a.0 == flow);
        for (index, share) in self.fair_shares.iter_mut().enumerate() {
            if !is_ahead(index as Flow) {
                share.status = FairShareStatus::Served;
            }
        }
        self.allowances.retain(|(flow, _), _| is_ahead(*flow));
    }
}

/// The allowance that a heartbeat of the leader grants, if it is the answer to one that we
/// sent at `sent_at`.
pub(crate) fn granted_allowance(
    grant: &LevelGrant,
    number: u64,
    sent_at: Millis,
) -> Allowance<Millis> {
    Allowance {
        leases: GrantLeases {
            leader_token: grant.under.0,
            shard_token: grant.under.1,
        },
        number,
        amount: grant.level,
        from: sent_at,
    }
}
