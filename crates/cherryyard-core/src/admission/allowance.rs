//! Division of a flow's fair-share guarantee among the owners of shards, so that all owners
//! together never use more than the guarantee.
//!
//! An *allowance* is a number of cores of one flow in one shard. The owner of the shard, which is
//! the controller that holds its lease, may start tasks of the flow ahead of rank (before jobs of
//! higher rank) until the flow runs on that many cores of the shard, and may preempt tasks of the
//! flow for other jobs until that many are left. The owner decides both from what its own shard
//! runs, without asking another controller. This is a demarcation protocol: a bound on a sum holds
//! because each summand has a bound of its own. The leader divides the guarantee into allowances
//! and moves them to the shards in which the flow runs and waits. Owners act concurrently and on
//! old messages, and controllers may crash, be partitioned or resume after a pause. Therefore:
//!
//! - Every heartbeat between controllers has a number and acknowledges the last heartbeat
//!   received from each other controller. The leader counts, for each owner, the highest of the
//!   allowance in the last acknowledged heartbeat and all allowances sent since. It raises an
//!   allowance only by what these leave of the guarantee.
//! - An allowance has a lifetime. Its owner measures it from when it sent the last heartbeat that
//!   the leader had received from it, the leader from when it received that heartbeat. The
//!   lifetime thus ends at the owner first, however long messages take.
//! - A leader grants allowances only if it has recently seen its own lease in the state service,
//!   and a new leader only once everything that its predecessor can have granted has expired.
//! - An allowance is bound to the leases of the leader and of the shard. An owner does not replace
//!   an allowance of a later leader by one of an earlier leader, and the next owner of a shard
//!   does not inherit the allowances of the previous owner, whose transactions fail without the
//!   lease.
//!
//! Amounts are in thousandths of a core, so that sums are exact.

use std::collections::VecDeque;

/// Amount of cores in thousandths of a core.
pub type Amount = u64;

/// Lifetime of an allowance as its owner measures it, in milliseconds.
pub const ALLOWANCE_LIFETIME_MS: u32 = 3000;
/// Longest time for which a leader may rely on the last time that it saw its own lease, in
/// milliseconds.
pub const LEASE_SEEN_LIFETIME_MS: u32 = 3000;
/// Time that the leader adds to the lifetime of an allowance, in milliseconds, because clocks run
/// at different rates.
const CLOCK_DRIFT_MS: u32 = ALLOWANCE_LIFETIME_MS / 50;
/// Largest number of grants in an account: the last acknowledged one, if there is one, and those
/// that are not acknowledged yet. A full account takes no further grant before an acknowledgement.
const MAX_GRANTS: usize = 6;

/// A reading of any clock of which only differences and order are used.
pub trait Time: Copy + PartialOrd {
    /// Returns whether this time is at least `span` milliseconds after `earlier`.
    fn is_after(self, earlier: Self, span: u32) -> bool;
}

impl Time for f64 {
    fn is_after(self, earlier: Self, span: u32) -> bool {
        self - earlier >= f64::from(span)
    }
}

/// Leases that an allowance is bound to: the leader's and the shard's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GrantLeases {
    /// Fencing token of the leader's lease.
    pub leader_token: u64,
    /// Fencing token of the shard's lease.
    pub shard_token: u64,
}

/// An allowance that the leader has sent to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    /// Number of the first heartbeat that carries the allowance.
    number: u64,
    amount: Amount,
}

/// The leader's record of what it has granted to the owner of a shard for one flow.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AllowanceAccount {
    /// Leases that the grants are bound to.
    pub leases: GrantLeases,
    /// Grants in the order of their heartbeats, from the last one that the owner has acknowledged.
    grants: VecDeque<Grant>,
}

impl AllowanceAccount {
    /// Binds the account to `leases`; if they differ from the present ones, drops all grants.
    pub fn switch_leases(&mut self, leases: GrantLeases) {
        if self.leases != leases {
            *self = Self {
                leases,
                grants: VecDeque::new(),
            };
        }
    }

    /// Returns the allowance granted last, or 0 without a grant.
    pub fn current(&self) -> Amount {
        self.grants.back().map_or(0, |grant| grant.amount)
    }

    /// Returns the highest allowance that the owner may be using.
    pub fn highest(&self) -> Amount {
        let amounts = self.grants.iter().map(|grant| grant.amount);
        amounts.max().unwrap_or(0)
    }

    /// Grants an allowance of `amount` from heartbeat `number` on. Does nothing if the allowance is
    /// that large already or the account holds `MAX_GRANTS` grants.
    pub fn grant(&mut self, number: u64, amount: Amount) {
        if self.current() == amount || self.grants.len() >= MAX_GRANTS {
            return;
        }
        match self.grants.back_mut() {
            // That heartbeat has not been sent yet.
            Some(last) if last.number == number => last.amount = amount,
            _ => self.grants.push_back(Grant { number, amount }),
        }
    }

    /// Drops the grants that the owner has replaced, given that it has received heartbeat `number`.
    pub fn acknowledged(&mut self, number: u64) {
        while self.grants.get(1).is_some_and(|next| next.number <= number) {
            self.grants.pop_front();
        }
    }

    /// Drops all grants, because the leader has received no heartbeat from the owner for longer
    /// than an allowance lasts.
    pub fn lapse(&mut self) {
        self.grants.clear();
    }
}

/// Returns how much of `bound` is left beside the highest allowances of all `accounts`, by which
/// one of them may be raised.
pub fn remaining<'a>(
    bound: Amount,
    accounts: impl Iterator<Item = &'a AllowanceAccount>,
) -> Amount {
    bound.saturating_sub(accounts.map(AllowanceAccount::highest).sum())
}

/// Returns whether a leader may grant allowances now: it has recently seen its own lease, and all
/// allowances of its predecessor have expired. `since` is when it learnt that its lease was
/// committed, `lease_seen` when it sent the last request whose answer showed the lease.
pub fn may_grant<T: Time>(since: T, lease_seen: T, now: T) -> bool {
    let predecessor_lifetime = ALLOWANCE_LIFETIME_MS + LEASE_SEEN_LIFETIME_MS + CLOCK_DRIFT_MS;
    now.is_after(since, predecessor_lifetime) && !now.is_after(lease_seen, LEASE_SEEN_LIFETIME_MS)
}

/// Returns whether all allowances of an owner have expired, given that the leader received the last
/// heartbeat from this owner at `heard_at`.
pub fn has_lapsed<T: Time>(heard_at: T, now: T) -> bool {
    now.is_after(heard_at, ALLOWANCE_LIFETIME_MS + CLOCK_DRIFT_MS)
}

/// An allowance as its owner holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Allowance<T> {
    /// Leases that the allowance is bound to.
    pub leases: GrantLeases,
    /// Number of the leader's heartbeat that carried the allowance.
    pub number: u64,
    /// Size of the allowance.
    pub amount: Amount,
    /// Start of the allowance's lifetime.
    pub from: T,
}

impl<T: Time> Allowance<T> {
    /// Returns the allowance that the owner holds after it has received `new`: the one with the
    /// higher token of the leader's lease; if these are equal, with the higher token of the shard's
    /// lease; if these are equal too, with the higher heartbeat number. Under the same leases the
    /// start of the lifetime never moves back.
    pub fn newer(known: Option<Self>, new: Self) -> Self {
        match known {
            Some(known) if (known.leases, known.number) > (new.leases, new.number) => known,
            Some(known) if known.leases == new.leases && known.from > new.from => Self {
                from: known.from,
                ..new
            },
            _ => new,
        }
    }

    /// Returns the amount if the allowance is bound to the shard's lease with this token and its
    /// lifetime is not over.
    pub fn in_force(&self, shard_token: u64, now: T) -> Option<Amount> {
        let is_current = self.leases.shard_token == shard_token
            && !now.is_after(self.from, ALLOWANCE_LIFETIME_MS);
        is_current.then_some(self.amount)
    }
}
