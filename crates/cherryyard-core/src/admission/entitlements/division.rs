//! The leader's division of fair-share guarantees into allowances for the owners: where a
//! flow runs, and what is left of its guarantee where it waits.

use super::usage::FlowUse;
use crate::admission::allowance::{AllowanceAccount, Amount, GrantLeases, remaining};
use crate::admission::flows::Flow;
use std::collections::BTreeMap;

/// A flow's allowance in a shard.
pub(super) type FlowShard = (Flow, usize);
/// The leader's accounts of what it has granted.
pub(super) type Accounts = BTreeMap<FlowShard, AllowanceAccount>;

/// An allowance is changed only by more than the flow's guarantee over this: each change has
/// to be acknowledged before the next.
const LEAST_CHANGE_DIVISOR: Amount = 50;

/// What the leader knows of a shard's owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShardOwner {
    /// The token of the shard's lease.
    pub(crate) token: u64,
    /// Whether there is none, or none from whom anything was heard for so long that its
    /// allowances have lapsed.
    pub(crate) has_lapsed: bool,
    /// Whether it is this controller.
    pub(crate) is_ours: bool,
}

/// Thousandths of a core.
fn amount(cores: f64) -> Amount {
    (cores.max(0.0) * 1000.0).round() as Amount
}

/// Moves a flow's accounts to the leases that are in force, and ends those of owners that
/// have not been heard of for too long.
pub(super) fn update_leases(
    accounts: &mut Accounts,
    flow: Flow,
    leader_token: u64,
    owners: &[ShardOwner],
) {
    for (shard_id, owner) in owners.iter().enumerate() {
        let account = accounts.entry((flow, shard_id)).or_default();
        account.switch_leases(GrantLeases {
            leader_token,
            shard_token: owner.token,
        });
        if owner.has_lapsed {
            account.lapse();
        }
    }
}

/// The allowance that a shard should have.
#[derive(Clone, Copy, Debug)]
struct WantedAllowance {
    shard_id: usize,
    amount: Amount,
}

/// What each shard with an owner should have of a flow's guarantee.
fn wanted_allowances(
    used: &FlowUse,
    guarantee: f64,
    owners: &[ShardOwner],
) -> Vec<WantedAllowance> {
    let running = used.total_running();
    let waiting = used.total_waiting();
    let live = (0..owners.len()).filter(|&shard_id| !owners[shard_id].has_lapsed);
    live.map(|shard_id| {
        let here = used.running[shard_id] * (guarantee / running.max(1e-9)).min(1.0);
        let unused = (guarantee - running).max(0.0);
        let more = unused * used.waiting[shard_id] / waiting.max(1e-9);
        WantedAllowance {
            shard_id,
            amount: amount(here + more),
        }
    })
    .collect()
}

/// Divides a flow's guarantee into allowances, as far as their sum stays within it
/// whatever the owners have received; they go with heartbeat `number`.
pub(super) fn divide_guarantee(
    accounts: &mut Accounts,
    flow: Flow,
    used: &FlowUse,
    guarantee: f64,
    owners: &[ShardOwner],
    number: u64,
) {
    let mut wanted = wanted_allowances(used, guarantee, owners);
    // Lower allowances first: what they leave can be granted only once that has been
    // acknowledged.
    wanted.sort_by_key(|want| want.amount > accounts[&(flow, want.shard_id)].current());
    let guarantee = amount(guarantee);
    for want in wanted {
        let of_flow = accounts.range((flow, 0)..=(flow, usize::MAX));
        let more = remaining(guarantee, of_flow.map(|(_, account)| account));
        let Some(account) = accounts.get_mut(&(flow, want.shard_id)) else {
            continue;
        };
        let current = account.current();
        if want.amount.abs_diff(current) > guarantee / LEAST_CHANGE_DIVISOR {
            let most = current.max(account.highest()) + more;
            account.grant(number, want.amount.min(most));
        }
    }
}
