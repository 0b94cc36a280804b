//! Division of fair-share guarantees into allowances by the leader: each shard gets the part of a
//! flow's guarantee that the flow runs there, and the unused rest goes to the shards in which it
//! waits.

use super::usage::FlowUse;
use crate::admission::allowance::{AllowanceAccount, Amount, GrantLeases, remaining};
use crate::admission::flows::Flow;
use std::collections::BTreeMap;

/// Key of an allowance: a flow and the id of a shard.
pub(super) type FlowShard = (Flow, usize);
/// Accounts of what the leader has granted, by flow and shard.
pub(super) type Accounts = BTreeMap<FlowShard, AllowanceAccount>;

/// Divisor of a flow's guarantee that gives the threshold for a change: the leader changes an
/// allowance only if the wanted amount differs from it by more than this part of the guarantee,
/// because each change has to be acknowledged and an account holds a limited number of grants.
const MIN_CHANGE_DIVISOR: Amount = 50;

/// State of a shard's owner, as recorded by the leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShardOwner {
    /// Fencing token of the shard's lease.
    pub(crate) token: u64,
    /// Whether the shard has no owner, or one whose last heartbeat is so old that all its
    /// allowances have expired.
    pub(crate) has_lapsed: bool,
    /// Whether the owner is this controller.
    pub(crate) is_own: bool,
}

/// Converts cores to thousandths of a core.
fn amount(cores: f64) -> Amount {
    (cores.max(0.0) * 1000.0).round() as Amount
}

/// Binds the accounts of a flow to the leases in force, and drops the grants of owners whose
/// allowances have expired.
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

/// Allowance that a shard should have.
#[derive(Clone, Copy, Debug)]
struct WantedAllowance {
    shard_id: usize,
    amount: Amount,
}

/// Returns the part of a flow's guarantee that each shard with a live owner should have.
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
        let additional = unused * used.waiting[shard_id] / waiting.max(1e-9);
        WantedAllowance {
            shard_id,
            amount: amount(here + additional),
        }
    })
    .collect()
}

/// Divides a flow's guarantee into allowances that are sent with heartbeat `number`. Their sum
/// stays within the guarantee whichever of the grants the owners have received.
pub(super) fn divide_guarantee(
    accounts: &mut Accounts,
    flow: Flow,
    used: &FlowUse,
    guarantee: f64,
    owners: &[ShardOwner],
    number: u64,
) {
    let mut wanted = wanted_allowances(used, guarantee, owners);
    // Allowances that shrink come first. The cores that they give up are granted to other
    // shards only after the owner has acknowledged the smaller allowance.
    wanted.sort_by_key(|target| target.amount > accounts[&(flow, target.shard_id)].current());
    let guarantee = amount(guarantee);
    for target in wanted {
        let of_flow = accounts.range((flow, 0)..=(flow, usize::MAX));
        let available = remaining(guarantee, of_flow.map(|(_, account)| account));
        let Some(account) = accounts.get_mut(&(flow, target.shard_id)) else {
            continue;
        };
        let current = account.current();
        if target.amount.abs_diff(current) > guarantee / MIN_CHANGE_DIVISOR {
            let max_amount = current.max(account.highest()) + available;
            account.grant(number, target.amount.min(max_amount));
        }
    }
}
