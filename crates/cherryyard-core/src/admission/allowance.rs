//! Fair-share guarantees divided among owners, so that all of them together never act on
//! more than there is.
//!
//! Each owner has an *allowance* for a flow: up to so many cores of it in its shard it may
//! start ahead of rank, and down to so many it may stop for others. Both it decides by
//! what its own shard runs, at once and on its own (a demarcation protocol: a bound over
//! all is kept by bounds for each). The leader divides a guarantee into allowances, and
//! moves them where the flow runs and waits. Several owners act at once, on old messages,
//! and controllers end, are cut off, and go on after a freeze; so:
//!
//! - Every heartbeat between controllers is numbered and names the last one received of
//!   each other. Until an owner has named a heartbeat, the leader counts the highest
//!   allowance of that one and all since; it raises one only by what is left beside all
//!   these.
//! - An allowance is good for a time that its owner counts from when it sent the heartbeat
//!   that the leader had last received of it; the leader, from when it received that. So
//!   the owner's time is over first, however long messages take.
//! - A leader grants allowances only while it has lately seen its own lease, and a new one
//!   not before all that its predecessor can have granted is over.
//! - An allowance is under the leader's lease and the shard's: nobody takes one of an
//!   earlier leader after one of a later, and a shard's next owner has none of the last
//!   one's, whose transactions die with its lease.
//!
//! Amounts are in thousandths of a core, so that sums are exact.

use std::collections::VecDeque;

/// Thousandths of a core.
pub type Amount = u64;

/// For how long an owner may go by what it was granted, in milliseconds.
pub const ALLOWANCE_LIFETIME_MS: u32 = 3000;
/// For how long a leader may go by what it has seen of its own lease, in milliseconds.
pub const LEASE_SEEN_LIFETIME_MS: u32 = 3000;
/// Added to an allowance's lifetime by the leader, as clocks go at different rates.
const CLOCK_DRIFT_MS: u32 = ALLOWANCE_LIFETIME_MS / 50;
/// Grants that an owner may be sent before it has acknowledged any.
const MAX_UNACKNOWLEDGED: usize = 6;

/// A time, by whatever clock: only differences and order count.
pub trait Time: Copy + PartialOrd {
    /// Whether this time is at least `span` after `earlier`.
    fn is_after(self, earlier: Self, span: u32) -> bool;
}

impl Time for f64 {
    fn is_after(self, earlier: Self, span: u32) -> bool {
        self - earlier >= f64::from(span)
    }
}

/// Under which leases an allowance was granted: the leader's and the shard's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct GrantLeases {
    /// Fencing token of the leader's lease.
    pub leader_token: u64,
    /// Fencing token of the shard's lease.
    pub shard_token: u64,
}

/// An allowance in heartbeats to an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    /// The first heartbeat with it.
    number: u64,
    amount: Amount,
}

/// What a leader has granted the owner of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AllowanceAccount {
    /// Under which leases.
    pub leases: GrantLeases,
    /// Grants since the one that the owner is known to have.
    grants: VecDeque<Grant>,
}

impl AllowanceAccount {
    /// Goes over to other leases.
    pub fn switch_leases(&mut self, leases: GrantLeases) {
        if self.leases != leases {
            *self = Self {
                leases,
                grants: VecDeque::new(),
            };
        }
    }

    /// The allowance granted last.
    pub fn current(&self) -> Amount {
        self.grants.back().map_or(0, |grant| grant.amount)
    }

    /// The highest allowance that the owner may act on.
    pub fn highest(&self) -> Amount {
        let amounts = self.grants.iter().map(|grant| grant.amount);
        amounts.max().unwrap_or(0)
    }

    /// Grants an allowance from heartbeat `number` on; not if too many grants wait to be
    /// acknowledged.
    pub fn grant(&mut self, number: u64, amount: Amount) {
        if self.current() == amount || self.grants.len() >= MAX_UNACKNOWLEDGED {
            return;
        }
        match self.grants.back_mut() {
            // The heartbeat has not gone yet.
            Some(last) if last.number == number => last.amount = amount,
            _ => self.grants.push_back(Grant { number, amount }),
        }
    }

    /// The owner has named heartbeat `number` as received.
    pub fn acknowledged(&mut self, number: u64) {
        while self.grants.get(1).is_some_and(|next| next.number <= number) {
            self.grants.pop_front();
        }
    }

    /// The owner's time is over: it has not been heard of for too long.
    pub fn lapse(&mut self) {
        self.grants.clear();
    }
}

/// By how much one account may be raised, of a bound over all of them.
pub fn remaining<'a>(
    bound: Amount,
    accounts: impl Iterator<Item = &'a AllowanceAccount>,
) -> Amount {
    bound.saturating_sub(accounts.map(AllowanceAccount::highest).sum())
}

/// Whether a leader may grant allowances now: it has lately seen its lease, and its
/// predecessor's allowances are over. `since` is when it learnt that its lease was applied,
/// `lease_seen` when it sent the last request whose answer showed it.
pub fn may_grant<T: Time>(since: T, lease_seen: T, now: T) -> bool {
    let predecessor_lifetime = ALLOWANCE_LIFETIME_MS + LEASE_SEEN_LIFETIME_MS + CLOCK_DRIFT_MS;
    now.is_after(since, predecessor_lifetime) && !now.is_after(lease_seen, LEASE_SEEN_LIFETIME_MS)
}

/// Whether an owner that was last heard of then can have no allowance any more.
pub fn has_lapsed<T: Time>(heard_at: T, now: T) -> bool {
    now.is_after(heard_at, ALLOWANCE_LIFETIME_MS + CLOCK_DRIFT_MS)
}

/// An owner's allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Allowance<T> {
    /// Under which leases.
    pub leases: GrantLeases,
    /// As of which of the leader's heartbeats.
    pub number: u64,
    /// How much it is.
    pub amount: Amount,
    /// From when its lifetime counts.
    pub from: T,
}

impl<T: Time> Allowance<T> {
    /// The allowance after the leader has granted a new one, when it had received what we
    /// sent at `from`. What is older than what is known changes nothing.
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

    /// The allowance of the owner of the shard with this lease, if it is still in force.
    pub fn in_force(&self, shard_token: u64, now: T) -> Option<Amount> {
        let is_current = self.leases.shard_token == shard_token
            && !now.is_after(self.from, ALLOWANCE_LIFETIME_MS);
        is_current.then_some(self.amount)
    }
}
