//! Floors divided among owners, so that all of them together never act on more than
//! there is.
//!
//! Each owner has a *level* for a flow: up to so many cores of it in its shard it may
//! start ahead of rank, and down to so many it may stop for others. Both it decides by
//! what its own shard runs, at once and on its own (a demarcation protocol: a bound over
//! all is kept by bounds for each). The leader divides a floor into levels, and moves
//! them where the flow runs and waits. Several owners act at once, on old watch events, and
//! controllers end, are cut off, and go on after a freeze; so:
//!
//! - Every message between controllers is numbered and names the last one heard of each
//!   other. Until an owner has named a message, the leader counts the highest level of
//!   that one and all since; it raises one only by what is left beside all these.
//! - A level is good for a time that its owner counts from when it sent the message that
//!   the leader had last heard of it; the leader, from when it heard that. So the owner's
//!   time is over first, however long messages take.
//! - A leader gives levels only while it has lately seen its own lease, and a new one not
//!   before all that its predecessor can have given is over.
//! - A level is under the leader's lease and the shard's: nobody takes one of an earlier
//!   leader after one of a later, and a shard's next owner has none of the last one's,
//!   whose transactions die with its lease.
//!
//! Amounts are in thousandths of a core, so that sums are exact.

use std::collections::VecDeque;

/// Thousandths of a core.
pub type Amount = u64;

/// For how long an owner may go by what it was granted, in milliseconds.
pub const LIFE: u32 = 3000;
/// For how long a leader may go by what it has seen of its own lease.
pub const SEEN: u32 = 3000;
/// Levels that an owner may be granted before it has named any message.
const MOST_UNNAMED: usize = 6;

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

/// Under which leases a level was given: the leader's and the shard's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Under {
    /// Revision of the leader's lease.
    pub leader_token: u64,
    /// Revision of the shard's lease.
    pub shard: u64,
}

/// What a leader has granted the owner of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Account {
    /// Under which leases.
    pub under: Under,
    /// Levels since the one that the owner is known to have, each with the number of
    /// the first message that granted it.
    granted: VecDeque<(u64, Amount)>,
}

impl Account {
    /// Goes over to other leases.
    pub fn meet(&mut self, under: Under) {
        if self.under != under {
            *self = Self {
                under,
                granted: VecDeque::new(),
            };
        }
    }

    /// The level now.
    pub fn level(&self) -> Amount {
        self.granted.back().map_or(0, |t| t.1)
    }

    /// The highest level that the owner may act on.
    pub fn high(&self) -> Amount {
        self.granted.iter().map(|t| t.1).max().unwrap_or(0)
    }

    /// Tells a level from message `number` on; not if too many wait to be named.
    pub fn set(&mut self, number: u64, level: Amount) {
        if self.level() == level || self.granted.len() >= MOST_UNNAMED {
            return;
        }
        match self.granted.back_mut() {
            // The message has not gone yet.
            Some(last) if last.0 == number => last.1 = level,
            _ => self.granted.push_back((number, level)),
        }
    }

    /// The owner has named message `number`.
    pub fn named(&mut self, number: u64) {
        while self.granted.get(1).is_some_and(|next| next.0 <= number) {
            self.granted.pop_front();
        }
    }

    /// The owner's time is over: it has not been heard of for too long.
    pub fn lapse(&mut self) {
        self.granted.clear();
    }
}

/// By how much one account may be raised, of a bound over all of them.
pub fn left<'a>(bound: Amount, accounts: impl Iterator<Item = &'a Account>) -> Amount {
    bound.saturating_sub(accounts.map(Account::high).sum())
}

/// Whether a leader may give levels now: it has lately seen its lease, and its
/// predecessor's levels are over. `since` is when it learnt that its lease was applied,
/// `reported` when it sent the last request whose answer showed it.
pub fn may_give<T: Time>(since: T, reported: T, now: T) -> bool {
    now.is_after(since, LIFE + SEEN + LIFE / 50) && !now.is_after(reported, SEEN)
}

/// Whether an owner that was last heard of then can have no level any more.
pub fn is_over<T: Time>(heard: T, now: T) -> bool {
    // A little more, as clocks go at different rates.
    now.is_after(heard, LIFE + LIFE / 50)
}

/// An owner's level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Level<T> {
    /// Under which leases.
    pub under: Under,
    /// As of which of the leader's messages.
    pub number: u64,
    /// The level.
    pub level: Amount,
    /// From when its time counts.
    pub from: T,
}

impl<T: Time> Level<T> {
    /// The leader has granted a level, when it had heard what we sent at `from`. What is
    /// older than what is known changes nothing.
    pub fn told(known: Option<Self>, new: Self) -> Self {
        match known {
            Some(k) if (k.under, k.number) > (new.under, new.number) => k,
            Some(k) if k.under == new.under && k.from > new.from => Self {
                from: k.from,
                ..new
            },
            _ => new,
        }
    }

    /// The level for the owner of the shard with this lease, if it still counts.
    pub fn now(&self, shard: u64, now: T) -> Option<Amount> {
        let good = self.under.shard == shard && !now.is_after(self.from, LIFE);
        good.then_some(self.level)
    }
}
