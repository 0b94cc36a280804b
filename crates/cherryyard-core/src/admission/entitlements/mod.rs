//! State of the fair-share entitlements: the leader computes them, and the owners of shards apply
//! them.
//!
//! Once a second (twice a second while a flow is ahead of rank) the leader compares the running and
//! waiting cores of each flow with its fair-share guarantee. If a flow has run less for long
//! enough, the leader divides the guarantee into allowances for the owners ([`division`]), which
//! are sent in heartbeats ([`heartbeat_numbers`]). An owner without an allowance in force starts
//! nothing ahead of rank, and still preempts no tasks of a flow that the leader last reported as
//! ahead of rank until that report is a window old. Both are the conservative choices.

mod division;
mod heartbeat_numbers;
pub(crate) mod usage;

use super::allowance::{Allowance, GrantLeases};
use super::fair_share_status::{Coverage, FairShareStatus};
use super::flows::{Flow, Flows};
use crate::Millis;
use cherryyard_wire::peer::{FlowGrant, Heartbeat, ShardGrant};
pub(crate) use division::ShardOwner;
use division::{Accounts, FlowShard, divide_guarantee, update_leases};
use heartbeat_numbers::HeartbeatNumbers;
use std::collections::{BTreeMap, HashMap};
use usage::FlowUse;

/// Time between two reviews by the leader in milliseconds while no flow is ahead of rank.
const REVIEW_INTERVAL_MS: f64 = 1000.0;
/// Time between two reviews by the leader in milliseconds while a flow is ahead of rank.
const REVIEW_INTERVAL_AHEAD_MS: f64 = 500.0;

/// Fair-share status and guarantee of a flow.
#[derive(Clone, Copy, Debug)]
struct FairShare {
    status: FairShareStatus,
    /// Guarantee in cores.
    guarantee: f64,
}

/// Fair share of a flow that no review has covered yet.
const SERVED: FairShare = FairShare {
    status: FairShareStatus::Served,
    guarantee: 0.0,
};

/// Limits on what the owner of a shard may do for flows that are ahead of rank, in cores by flow.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnerEntitlement {
    /// Cores of the flow that the owner may start ahead of rank.
    pub start: HashMap<Flow, f64>,
    /// Cores of the flow that the owner may preempt for others. Flows that are not in this map may
    /// be preempted as their rank allows.
    pub stop: HashMap<Flow, f64>,
}

/// Allowance that the leader has granted for a shard of this controller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReceivedAllowance {
    pub(crate) flow: Flow,
    pub(crate) shard_id: usize,
    pub(crate) allowance: Allowance<Millis>,
}

/// A change of whether a flow is served ahead of rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StatusChange {
    pub(crate) flow: Flow,
    pub(crate) before: FairShareStatus,
    pub(crate) after: FairShareStatus,
    /// Cores of the flow's running tasks.
    pub(crate) running: f64,
    /// Cores of the flow's waiting tasks.
    pub(crate) waiting: f64,
    /// Fair-share guarantee in cores.
    pub(crate) guarantee: f64,
}

/// The heartbeat of this controller that a peer has acknowledged as the last one received.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Acknowledgement {
    pub(crate) number: Option<u64>,
    /// Time at which this controller sent that heartbeat, if the time is still kept.
    pub(crate) sent_at: Option<Millis>,
}

/// Fair shares of all flows, the allowances that this controller grants as the leader, and those
/// that it holds as an owner.
#[derive(Debug, Default)]
pub(crate) struct Entitlements {
    /// Fair share by flow.
    fair_shares: Vec<FairShare>,
    /// Time at which the fair shares were last computed here or received from the leader.
    updated_at: Option<Millis>,
    reviewed_at: Option<Millis>,
    /// Accounts of what this controller has granted as the leader.
    accounts: Accounts,
    /// Allowances that were granted for this controller's shards.
    allowances: BTreeMap<FlowShard, Allowance<Millis>>,
    heartbeats: HeartbeatNumbers,
}

impl Entitlements {
    /// Creates the state without fair shares; heartbeats are numbered from the random `number`.
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

    /// Returns whether a flow is served ahead of rank, by information that is at most a window old.
    pub(crate) fn is_ahead(&self, flow: Flow, window_ms: f64, now: Millis) -> bool {
        let is_current = self.updated_at.is_some_and(|at| now - at <= window_ms);
        is_current && self.status(flow).is_ahead()
    }

    /// Returns whether the leader's next review is due.
    pub(crate) fn review_due(&self, now: Millis) -> bool {
        let any_ahead = self.fair_shares.iter().any(|share| share.status.is_ahead());
        let interval = if any_ahead {
            REVIEW_INTERVAL_AHEAD_MS
        } else {
            REVIEW_INTERVAL_MS
        };
        self.reviewed_at.is_none_or(|at| now - at >= interval)
    }

    /// Updates the status of each flow with the guarantees that the leader has computed. Returns
    /// the flows that have begun or ceased to be served ahead of rank.
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
            if after.is_ahead() != before.is_ahead() {
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

    /// Divides the guarantees of flows that are ahead of rank into allowances. `may_grant` is
    /// whether this leader may change allowances now.
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
            if !self.status(flow).is_ahead() {
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
        self.grant_own_shards(owners, number, now);
    }

    /// Sets the allowances of the leader's own shards, which need no heartbeat to be acknowledged.
    fn grant_own_shards(&mut self, owners: &[ShardOwner], number: u64, now: Millis) {
        for (&key, account) in &mut self.accounts {
            if !owners[key.1].is_own {
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

    /// Returns what this controller may start and preempt in a shard that it owns of the flows in
    /// `ahead`, given the cores that each flow runs there.
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

    /// Numbers a heartbeat, and acknowledges in it the last one received from each other
    /// controller.
    pub(crate) fn number_heartbeat(&mut self, heartbeat: &mut Heartbeat, now: Millis) {
        heartbeat.number = self.heartbeats.send(now);
        heartbeat.last_received_numbers = self.heartbeats.received_numbers().collect();
    }

    /// Adds the leader's grants to a heartbeat.
    pub(crate) fn write_grants(&self, heartbeat: &mut Heartbeat, flows: &Flows) {
        for (index, share) in self.fair_shares.iter().enumerate() {
            if !share.status.is_ahead() {
                continue;
            }
            let flow = index as Flow;
            let accounts = self.accounts.range((flow, 0)..=(flow, usize::MAX));
            let levels = accounts.map(|(&(_, shard_id), account)| ShardGrant {
                shard: shard_id as u32,
                lease_tokens: (account.leases.leader_token, account.leases.shard_token),
                amount_millicores: account.current(),
            });
            heartbeat.fair_share_grants.push(FlowGrant {
                class: flows.class(flow).into(),
                team: flows.team(flow),
                guarantee_cores: share.guarantee as f32,
                shard_grants: levels.collect(),
            });
        }
    }

    /// Records a peer's heartbeat and the acknowledgement in it for this controller, whose index is
    /// `own_index`.
    pub(crate) fn heartbeat_received(
        &mut self,
        peer: usize,
        heartbeat: &Heartbeat,
        own_index: usize,
        now: Millis,
    ) -> Acknowledgement {
        self.heartbeats.received(peer, heartbeat.number, now);
        let acknowledgement = self.acknowledgement(heartbeat, own_index);
        if let Some(sent_at) = acknowledgement.sent_at {
            self.heartbeats.acknowledged(peer, sent_at);
        }
        acknowledgement
    }

    /// Returns which heartbeat of this controller, whose index is `own_index`, a peer's heartbeat
    /// acknowledges.
    pub(crate) fn acknowledgement(
        &self,
        heartbeat: &Heartbeat,
        own_index: usize,
    ) -> Acknowledgement {
        let number = heartbeat
            .last_received_numbers
            .iter()
            .find(|entry| entry.0 == own_index as u32);
        let number = number.map(|entry| entry.1);
        Acknowledgement {
            number,
            sent_at: number.and_then(|number| self.heartbeats.sent_at(number)),
        }
    }

    /// Returns when this controller sent the latest of its heartbeats that a peer has acknowledged.
    pub(crate) fn last_acknowledged_at(&self, peer: usize) -> Option<Millis> {
        self.heartbeats.last_acknowledged_at(peer)
    }

    /// Returns when the last heartbeat of a peer was received.
    pub(crate) fn last_received_at(&self, peer: usize) -> Option<Millis> {
        self.heartbeats.last_received_at(peer)
    }

    /// Records that the owner of the shards for which `owned` holds has received the leader's
    /// heartbeat with this number.
    pub(crate) fn grants_acknowledged(&mut self, number: u64, owned: impl Fn(usize) -> bool) {
        for ((_, shard_id), account) in &mut self.accounts {
            if owned(*shard_id) {
                account.acknowledged(number);
            }
        }
    }

    /// Applies a heartbeat of the leader: `ahead` are the flows that are ahead of rank with their
    /// guarantees in cores, `granted` the allowances for shards of this controller. All other flows
    /// count as served from now on, and their allowances are dropped.
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

/// Returns the allowance that heartbeat `number` of the leader grants. `sent_at` is when this
/// controller sent the heartbeat that the leader's acknowledges; the lifetime counts from then.
pub(crate) fn granted_allowance(
    grant: &ShardGrant,
    number: u64,
    sent_at: Millis,
) -> Allowance<Millis> {
    Allowance {
        leases: GrantLeases {
            leader_token: grant.lease_tokens.0,
            shard_token: grant.lease_tokens.1,
        },
        number,
        amount: grant.amount_millicores,
        from: sent_at,
    }
}
