//! A model of how floors are divided, checked over every interleaving: a leader and its
//! successor, two owners, messages that come at once, late or never, a leader that goes
//! on without knowing that it is none any more. What is checked: what the two owners may
//! act on at any time is together never more than the floor.
//!
//! The rules are the ones in use (`admission::ledger`); each mutant leaves one out and
//! must be caught.

use cherryyard_core::admission::ledger::{
    Account, LIFE, Level, Time, Under, is_over, left, may_give,
};
use pathfinding::directed::bfs::bfs_reach;

/// A time in steps of an owner's time.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
struct T(u8);

impl Time for T {
    fn is_after(self, earlier: Self, span: u32) -> bool {
        u32::from(self.0.saturating_sub(earlier.0)) * LIFE >= span
    }
}

const FLOOR: u64 = 2;
const SHARD: u64 = 9;
/// The first leader has led for long; the second may begin to lead at any time.
const START: u8 = 4;
const END: u8 = 9;
/// States beyond which a run is given up; none of these comes near.
const MOST: usize = 12_000_000;

#[derive(Clone, Copy, Default)]
struct Mutant {
    unnamed: bool,
    no_wait: bool,
    no_seen: bool,
    from_receipt: bool,
    any_order: bool,
    never_over: bool,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Leader {
    /// Its claim, and whether it believes that it leads.
    revision: u64,
    leads: bool,
    since: T,
    seen: T,
    accounts: [Account; 2],
    number: u64,
    /// The last message heard of each owner, and when.
    heard: [(u64, T); 2],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Owner {
    level: Option<Level<T>>,
    number: u64,
    /// When its last messages went.
    sent: [T; 4],
    /// The last number heard of each leader.
    heard: [u64; 2],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Message {
    /// From a leader: its number, claim and level, and which of the owner's it has heard.
    Told(usize, usize, u64, u64, u64, u64),
    /// From an owner: its number, and which of the leader's it has heard.
    Named(usize, usize, u64, u64),
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    t: T,
    /// The claim in the state service.
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
        level: None,
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
            .filter_map(|o| o.level?.now(SHARD, self.t));
        levels.sum()
    }

    /// A leader's look: it wants these levels, and gives what it may.
    fn look(&mut self, i: usize, want: [u64; 2], m: Mutant) {
        let t = self.t;
        let l = &mut self.leaders[i];
        let since = if m.no_wait { T(0) } else { l.since };
        let seen = if m.no_seen { t } else { l.seen };
        for p in 0..2 {
            l.accounts[p].meet(Under {
                leader_token: l.revision,
                shard: SHARD,
            });
            if is_over(l.heard[p].1, t) && !m.never_over {
                l.accounts[p].lapse();
            }
        }
        if !may_give(since, seen, t) {
            return;
        }
        let mut order = [0, 1];
        order.sort_by_key(|&p| want[p] > l.accounts[p].level());
        for p in order {
            if is_over(l.heard[p].1, t) && !m.never_over {
                continue;
            }
            let more = if m.unnamed {
                FLOOR.saturating_sub(l.accounts.iter().map(Account::level).sum())
            } else {
                left(FLOOR, l.accounts.iter())
            };
            let base = if m.unnamed {
                l.accounts[p].level()
            } else {
                l.accounts[p].level().max(l.accounts[p].high())
            };
            l.accounts[p].set(l.number + 1, want[p].min(base + more));
        }
    }

    fn tell(&mut self, i: usize, p: usize) -> Message {
        let l = &mut self.leaders[i];
        l.number += 1;
        Message::Told(
            i,
            p,
            l.number,
            l.revision,
            l.accounts[p].level(),
            l.heard[p].0,
        )
    }

    fn name(&mut self, p: usize, i: usize) -> Message {
        let o = &mut self.owners[p];
        o.number += 1;
        o.sent[o.number as usize % 4] = self.t;
        Message::Named(p, i, o.number, o.heard[i])
    }

    fn deliver(&mut self, message: &Message, m: Mutant) {
        match *message {
            Message::Told(i, p, number, lead, level, heard) => {
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
                let under = Under {
                    leader_token: lead,
                    shard: SHARD,
                };
                let new = Level {
                    under,
                    number,
                    level,
                    from,
                };
                o.level = Some(if m.any_order {
                    new
                } else {
                    Level::told(o.level, new)
                });
                o.heard[i] = o.heard[i].max(number);
            }
            Message::Named(p, i, number, named) => {
                let l = &mut self.leaders[i];
                if number > l.heard[p].0 {
                    l.heard[p] = (number, self.t);
                }
                l.accounts[p].named(named);
            }
        }
    }

    fn next(&self, m: Mutant) -> Vec<State> {
        let mut all = Vec::new();
        if self.in_force() > FLOOR {
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
            // It reads the state service, and sees whose claim there is.
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
                            s.look(i, want, m);
                            s.left.0 -= 1;
                            let message = s.tell(i, p);
                            s.deliver(&message, m);
                        });
                        if self.left.2 > 0 && self.held.is_none() {
                            add(&|s| {
                                s.look(i, want, m);
                                (s.left.0, s.left.2) = (s.left.0 - 1, s.left.2 - 1);
                                s.held = Some(s.tell(i, p));
                            });
                        }
                    }
                }
                if self.left.1 > 0 {
                    add(&|s| {
                        s.left.1 -= 1;
                        let message = s.name(p, i);
                        s.deliver(&message, m);
                    });
                    if self.left.2 > 0 && self.held.is_none() {
                        add(&|s| {
                            (s.left.1, s.left.2) = (s.left.1 - 1, s.left.2 - 1);
                            s.held = Some(s.name(p, i));
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
        if state.in_force() > FLOOR {
            return (true, count);
        }
    }
    (false, count)
}

/// No interleaving gives the owners more than the floor.
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
            "raised before the lowered was named",
            Mutant {
                unnamed: true,
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
            "a leader that goes by an old look",
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
