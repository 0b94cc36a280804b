//! A model of how fair-share guarantees are divided, checked over every interleaving: a leader and its
//! successor, two owners, messages that come at once, late or never, a leader that goes
//! on without knowing that it is none any more. What is checked: what the two owners may
//! act on at any time is together never more than the guarantee.
//!
//! The rules are the ones in use (`admission::allowance`); each mutant leaves one out and
//! must be caught.

use cherryyard_core::admission::allowance::{
    ALLOWANCE_LIFETIME_MS, Allowance, AllowanceAccount, GrantLeases, Time, has_lapsed, may_grant,
    remaining,
};
use pathfinding::directed::bfs::bfs_reach;

/// A time in steps of an owner's time.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
struct T(u8);

impl Time for T {
    fn is_after(self, earlier: Self, span: u32) -> bool {
        u32::from(self.0.saturating_sub(earlier.0)) * ALLOWANCE_LIFETIME_MS >= span
    }
}

const GUARANTEE: u64 = 2;
const SHARD: u64 = 9;
/// The first leader has led for long; the second may begin to lead at any time.
const START: u8 = 4;
const END: u8 = 9;
/// States beyond which a run is given up; none of these comes near.
const MOST: usize = 12_000_000;

#[derive(Clone, Copy, Default)]
struct Mutant {
    unacknowledged: bool,
    no_wait: bool,
    no_seen: bool,
    from_receipt: bool,
    any_order: bool,
    never_over: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Leader {
    /// Its lease, and whether it believes that it leads.
    revision: u64,
    leads: bool,
    since: T,
    seen: T,
    accounts: [AllowanceAccount; 2],
    number: u64,
    /// The last message heard of each owner, and when.
    heard: [(u64, T); 2],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Owner {
    allowance: Option<Allowance<T>>,
    number: u64,
    /// When its last messages went.
    sent: [T; 4],
    /// The last number heard of each leader.
    heard: [u64; 2],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Message {
    /// From a leader: its number, lease and grant, and which of the owner's it has received.
    Granted(usize, usize, u64, u64, u64, u64),
    /// From an owner: its number, and which of the leader's it has received.
    Acknowledged(usize, usize, u64, u64),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    t: T,
    /// The lease in the state service.
    lead: u64,
    leaders: [Leader; 2],
    owners: [Owner; 2],
    held: Option<Message>,
    /// Messages that may yet go: of leaders, of owners, held back.
    left: (u8, u8, u8),
}

fn start(left: (u8, u8, u8)) -> State {
    let leader = |revision| Leader {
        revision,
        leads: revision == 1,
        since: T(0),
        seen: T(START),
        accounts: Default::default(),
        number: 0,
        heard: [(0, T(START)); 2],
    };
    let owner = Owner {
        allowance: None,
        number: 0,
        sent: [T(START); 4],
        heard: [0; 2],
    };
    State {
        t: T(START),
        lead: 1,
        leaders: [leader(1), leader(2)],
        owners: [owner.clone(), owner],
        held: None,
        left,
    }
}

impl State {
    /// What the owners may act on.
    fn in_force(&self) -> u64 {
        let levels = self
            .owners
            .iter()
            .filter_map(|o| o.allowance?.in_force(SHARD, self.t));
        levels.sum()
    }

    /// A leader's review: it wants these allowances, and grants what it may.
    fn review(&mut self, i: usize, want: [u64; 2], m: Mutant) {
        let t = self.t;
        let l = &mut self.leaders[i];
        let since = if m.no_wait { T(0) } else { l.since };
        let seen = if m.no_seen { t } else { l.seen };
        for p in 0..2 {
            l.accounts[p].switch_leases(GrantLeases {
                leader_token: l.revision,
                shard_token: SHARD,
            });
            if has_lapsed(l.heard[p].1, t) && !m.never_over {
                l.accounts[p].lapse();
            }
        }
        if !may_grant(since, seen, t) {
            return;
        }
        let mut order = [0, 1];
        order.sort_by_key(|&p| want[p] > l.accounts[p].current());
        for p in order {
            if has_lapsed(l.heard[p].1, t) && !m.never_over {
                continue;
            }
            let more = if m.unacknowledged {
                GUARANTEE.saturating_sub(l.accounts.iter().map(AllowanceAccount::current).sum())
            } else {
                remaining(GUARANTEE, l.accounts.iter())
            };
            let base = if m.unacknowledged {
                l.accounts[p].current()
            } else {
                l.accounts[p].current().max(l.accounts[p].highest())
            };
            l.accounts[p].grant(l.number + 1, want[p].min(base + more));
        }
    }

    fn grant(&mut self, i: usize, p: usize) -> Message {
        let l = &mut self.leaders[i];
        l.number += 1;
        Message::Granted(
            i,
            p,
            l.number,
            l.revision,
            l.accounts[p].current(),
            l.heard[p].0,
        )
    }

    fn acknowledge(&mut self, p: usize, i: usize) -> Message {
        let o = &mut self.owners[p];
        o.number += 1;
        o.sent[o.number as usize % 4] = self.t;
        Message::Acknowledged(p, i, o.number, o.heard[i])
    }

    fn deliver(&mut self, message: &Message, m: Mutant) {
        match *message {
            Message::Granted(i, p, number, lead, amount, heard) => {
                let o = &mut self.owners[p];
                // Numbers that went too long ago are not remembered.
                if heard + 3 < o.number {
                    return;
                }
                let from = if m.from_receipt {
                    self.t
                } else {
                    o.sent[heard as usize % 4]
                };
                let leases = GrantLeases {
                    leader_token: lead,
                    shard_token: SHARD,
                };
                let new = Allowance {
                    leases,
                    number,
                    amount,
                    from,
                };
                o.allowance = Some(if m.any_order {
                    new
                } else {
                    Allowance::newer(o.allowance, new)
                });
                o.heard[i] = o.heard[i].max(number);
            }
            Message::Acknowledged(p, i, number, named) => {
                let l = &mut self.leaders[i];
                if number > l.heard[p].0 {
                    l.heard[p] = (number, self.t);
                }
                l.accounts[p].acknowledged(named);
            }
        }
    }

    fn next(&self, m: Mutant) -> Vec<State> {
        let mut all = Vec::new();
        if self.in_force() > GUARANTEE {
            return all;
        }
        let mut add = |work: &dyn Fn(&mut State)| {
            let mut next = self.clone();
            work(&mut next);
            if next != *self {
                all.push(next);
            }
        };
        if self.t.0 < END {
            add(&|s| s.t.0 += 1);
        }
        for i in 0..2 {
            // It reads the state service, and sees whose lease there is.
            if self.leaders[i].leads {
                add(&|s| {
                    let t = s.t;
                    if s.lead == s.leaders[i].revision {
                        s.leaders[i].seen = t;
                    } else {
                        s.leaders[i].leads = false;
                    }
                });
            }
        }
        if self.lead == 1 {
            add(&|s| {
                (s.lead, s.leaders[1].leads) = (2, true);
                (s.leaders[1].since, s.leaders[1].seen) = (s.t, s.t);
            });
        }
        for i in 0..2 {
            for p in 0..2 {
                if self.leaders[i].leads && self.left.0 > 0 {
                    for want in [[2, 0], [0, 2]] {
                        add(&|s| {
                            s.review(i, want, m);
                            s.left.0 -= 1;
                            let message = s.grant(i, p);
                            s.deliver(&message, m);
                        });
                        if self.left.2 > 0 && self.held.is_none() {
                            add(&|s| {
                                s.review(i, want, m);
                                (s.left.0, s.left.2) = (s.left.0 - 1, s.left.2 - 1);
                                s.held = Some(s.grant(i, p));
                            });
                        }
                    }
                }
                if self.left.1 > 0 {
                    add(&|s| {
                        s.left.1 -= 1;
                        let message = s.acknowledge(p, i);
                        s.deliver(&message, m);
                    });
                    if self.left.2 > 0 && self.held.is_none() {
                        add(&|s| {
                            (s.left.1, s.left.2) = (s.left.1 - 1, s.left.2 - 1);
                            s.held = Some(s.acknowledge(p, i));
                        });
                    }
                }
            }
        }
        if let Some(message) = &self.held {
            add(&|s| {
                s.held = None;
                s.deliver(message, m);
            });
        }
        all
    }
}

/// Whether any state breaks the bound, and how many there are.
fn explore(left: (u8, u8, u8), m: Mutant) -> (bool, usize) {
    let mut count = 0;
    for state in bfs_reach(start(left), |s| s.next(m)) {
        count += 1;
        assert!(count < MOST, "too many states");
        if state.in_force() > GUARANTEE {
            return (true, count);
        }
    }
    (false, count)
}

/// No interleaving gives the owners more than the guarantee.
#[test]
fn levels_never_exceed_the_floor() {
    let (broken, states) = explore((2, 1, 1), Mutant::default());
    println!("{states} states");
    assert!(!broken);
    assert!(states > 100_000, "{states}");
}

/// The same with more messages; takes minutes.
#[test]
#[ignore = "takes minutes"]
fn levels_with_more_messages() {
    let (broken, states) = explore((2, 2, 1), Mutant::default());
    println!("{states} states");
    assert!(!broken);
}

/// Each rule is needed: without it the bound breaks.
#[test]
fn each_rule_is_needed() {
    let none = Mutant::default();
    let mutants = [
        (
            "raised before the lowered was acknowledged",
            Mutant {
                unacknowledged: true,
                ..none
            },
        ),
        (
            "a successor that does not wait",
            Mutant {
                no_wait: true,
                ..none
            },
        ),
        (
            "a leader that goes by an old read",
            Mutant {
                no_seen: true,
                ..none
            },
        ),
        (
            "time counted from receipt",
            Mutant {
                from_receipt: true,
                ..none
            },
        ),
        (
            "messages taken in any order",
            Mutant {
                any_order: true,
                ..none
            },
        ),
    ];
    for (name, m) in mutants {
        let found = [(3, 2, 1), (4, 2, 1), (4, 3, 1)]
            .into_iter()
            .any(|left| explore(left, m).0);
        assert!(found, "{name}");
    }
}
