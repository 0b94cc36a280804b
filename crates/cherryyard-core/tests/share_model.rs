//! A model of how fair-share guarantees are divided, checked over every interleaving: a
//! leader and its successor, two owners, messages that come at once, late or never, a leader
//! that goes on without knowing that it is none any more. What is checked: what the two
//! owners may act on at any time is together never more than the guarantee.
//!
//! The rules are the ones in use (`admission::allowance`); each mutant leaves one out and
//! must be caught.

use cherryyard_core::admission::allowance::{
    ALLOWANCE_LIFETIME_MS, Allowance, AllowanceAccount, GrantLeases, Time, has_lapsed, may_grant,
    remaining,
};
use pathfinding::directed::bfs::bfs_reach;

/// A time in steps of an allowance's lifetime.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
struct Step(u8);

impl Time for Step {
    fn is_after(self, earlier: Self, span: u32) -> bool {
        u32::from(self.0.saturating_sub(earlier.0)) * ALLOWANCE_LIFETIME_MS >= span
    }
}

const GUARANTEE: u64 = 2;
/// The token of each shard's lease.
const SHARD: u64 = 9;
/// The first leader has led for long; the second may begin to lead at any time.
const START: u8 = 4;
const END: u8 = 9;
/// Heartbeats of which an owner remembers when they were sent.
const REMEMBERED: u64 = 4;
/// States beyond which a run is given up; none of these comes near.
const MOST: usize = 12_000_000;

/// A rule that is left out.
#[derive(Clone, Copy, PartialEq, Eq)]
enum LeftOut {
    Nothing,
    /// Grants count until they are acknowledged.
    Acknowledgement,
    /// A new leader waits until its predecessor's grants are over.
    SuccessorWaits,
    /// A leader grants only while it has lately seen its lease.
    LeaseSeen,
    /// An owner's time counts from when it sent what the leader had received.
    CountFromSending,
    /// Old messages change nothing.
    MessageOrder,
}

/// A message as last received: its number, and when.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Received {
    number: u64,
    at: Step,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Leader {
    /// Its lease, and whether it believes that it leads.
    token: u64,
    leads: bool,
    since: Step,
    lease_seen: Step,
    accounts: [AllowanceAccount; 2],
    /// The number of its last message.
    number: u64,
    /// The last message received of each owner.
    received: [Received; 2],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Owner {
    allowance: Option<Allowance<Step>>,
    /// The number of its last message.
    number: u64,
    /// When its last messages were sent.
    sent: [Step; REMEMBERED as usize],
    /// The last number received of each leader.
    received: [u64; 2],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Message {
    /// From a leader to an owner.
    Granted {
        leader: usize,
        owner: usize,
        number: u64,
        leader_token: u64,
        amount: u64,
        /// The owner's last message that it has received.
        received: u64,
    },
    /// From an owner to a leader.
    Acknowledged {
        owner: usize,
        leader: usize,
        number: u64,
        /// The leader's last message that it has received.
        received: u64,
    },
}

/// Messages that may yet be sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Budget {
    of_leaders: u8,
    of_owners: u8,
    /// Of both, such as are held back on their way.
    held_back: u8,
}

impl Budget {
    fn new(of_leaders: u8, of_owners: u8, held_back: u8) -> Self {
        Self {
            of_leaders,
            of_owners,
            held_back,
        }
    }
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    now: Step,
    /// The token of the leader's lease in the state service.
    lease: u64,
    leaders: [Leader; 2],
    owners: [Owner; 2],
    held_back: Option<Message>,
    budget: Budget,
}

fn start(budget: Budget) -> State {
    let start = Step(START);
    let leader = |token| Leader {
        token,
        leads: token == 1,
        since: Step(0),
        lease_seen: start,
        accounts: Default::default(),
        number: 0,
        received: [Received {
            number: 0,
            at: start,
        }; 2],
    };
    let owner = Owner {
        allowance: None,
        number: 0,
        sent: [start; REMEMBERED as usize],
        received: [0; 2],
    };
    State {
        now: start,
        lease: 1,
        leaders: [leader(1), leader(2)],
        owners: [owner.clone(), owner],
        held_back: None,
        budget,
    }
}

/// The place among an owner's last messages of one with this number.
fn sent_index(number: u64) -> usize {
    (number % REMEMBERED) as usize
}

impl State {
    /// What the owners may act on.
    fn in_force(&self) -> u64 {
        let owners = self.owners.iter();
        let allowances = owners.filter_map(|owner| owner.allowance?.in_force(SHARD, self.now));
        allowances.sum()
    }

    /// A leader's review: it wants these allowances, and grants what it may.
    fn review(&mut self, leader: usize, want: [u64; 2], left_out: LeftOut) {
        let now = self.now;
        let leader = &mut self.leaders[leader];
        for owner in 0..2 {
            leader.accounts[owner].switch_leases(GrantLeases {
                leader_token: leader.token,
                shard_token: SHARD,
            });
            if has_lapsed(leader.received[owner].at, now) {
                leader.accounts[owner].lapse();
            }
        }
        let since = if left_out == LeftOut::SuccessorWaits {
            Step(0)
        } else {
            leader.since
        };
        let lease_seen = if left_out == LeftOut::LeaseSeen {
            now
        } else {
            leader.lease_seen
        };
        if !may_grant(since, lease_seen, now) {
            return;
        }
        let mut order = [0, 1];
        order.sort_by_key(|&owner| want[owner] > leader.accounts[owner].current());
        for owner in order {
            if has_lapsed(leader.received[owner].at, now) {
                continue;
            }
            let accounts = &leader.accounts;
            let current = accounts[owner].current();
            let most = if left_out == LeftOut::Acknowledgement {
                let granted = accounts.iter().map(AllowanceAccount::current).sum();
                current + GUARANTEE.saturating_sub(granted)
            } else {
                current.max(accounts[owner].highest()) + remaining(GUARANTEE, accounts.iter())
            };
            let number = leader.number + 1;
            leader.accounts[owner].grant(number, want[owner].min(most));
        }
    }

    /// A leader's message to an owner.
    fn grant(&mut self, leader: usize, owner: usize) -> Message {
        let sender = &mut self.leaders[leader];
        sender.number += 1;
        Message::Granted {
            leader,
            owner,
            number: sender.number,
            leader_token: sender.token,
            amount: sender.accounts[owner].current(),
            received: sender.received[owner].number,
        }
    }

    /// An owner's message to a leader.
    fn acknowledge(&mut self, owner: usize, leader: usize) -> Message {
        let sender = &mut self.owners[owner];
        sender.number += 1;
        sender.sent[sent_index(sender.number)] = self.now;
        Message::Acknowledged {
            owner,
            leader,
            number: sender.number,
            received: sender.received[leader],
        }
    }

    fn deliver(&mut self, message: &Message, left_out: LeftOut) {
        match *message {
            Message::Granted {
                leader,
                owner,
                number,
                leader_token,
                amount,
                received,
            } => {
                let owner = &mut self.owners[owner];
                // Numbers that were sent too long ago are not remembered.
                if received + REMEMBERED - 1 < owner.number {
                    return;
                }
                let from = if left_out == LeftOut::CountFromSending {
                    self.now
                } else {
                    owner.sent[sent_index(received)]
                };
                let new = Allowance {
                    leases: GrantLeases {
                        leader_token,
                        shard_token: SHARD,
                    },
                    number,
                    amount,
                    from,
                };
                owner.allowance = Some(if left_out == LeftOut::MessageOrder {
                    new
                } else {
                    Allowance::newer(owner.allowance, new)
                });
                owner.received[leader] = owner.received[leader].max(number);
            }
            Message::Acknowledged {
                owner,
                leader,
                number,
                received,
            } => {
                let leader = &mut self.leaders[leader];
                if number > leader.received[owner].number {
                    let at = self.now;
                    leader.received[owner] = Received { number, at };
                }
                leader.accounts[owner].acknowledged(received);
            }
        }
    }

    /// A leader reads the state service, and sees whose lease there is.
    fn read_lease(&mut self, leader: usize) {
        let leader = &mut self.leaders[leader];
        if self.lease == leader.token {
            leader.lease_seen = self.now;
        } else {
            leader.leads = false;
        }
    }

    /// The second leader follows the first.
    fn change_leader(&mut self) {
        self.lease = 2;
        let successor = &mut self.leaders[1];
        successor.leads = true;
        successor.since = self.now;
        successor.lease_seen = self.now;
    }

    /// A message is delivered at once, or held back.
    fn send(&mut self, message: Message, is_held_back: bool, left_out: LeftOut) {
        if is_held_back {
            self.budget.held_back -= 1;
            self.held_back = Some(message);
        } else {
            self.deliver(&message, left_out);
        }
    }

    /// Whether the next message may be held back, and may not be.
    fn deliveries(&self) -> &'static [bool] {
        if self.budget.held_back > 0 && self.held_back.is_none() {
            &[false, true]
        } else {
            &[false]
        }
    }

    fn next(&self, left_out: LeftOut) -> Vec<State> {
        let mut all = Vec::new();
        if self.in_force() > GUARANTEE {
            return all;
        }
        let mut add = |change: &dyn Fn(&mut State)| {
            let mut next = self.clone();
            change(&mut next);
            if next != *self {
                all.push(next);
            }
        };
        if self.now.0 < END {
            add(&|state| state.now.0 += 1);
        }
        for leader in (0..2).filter(|&leader| self.leaders[leader].leads) {
            add(&|state| state.read_lease(leader));
        }
        if self.lease == 1 {
            add(&State::change_leader);
        }
        for (leader, owner) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            for &is_held_back in self.deliveries() {
                if self.leaders[leader].leads && self.budget.of_leaders > 0 {
                    for want in [[2, 0], [0, 2]] {
                        add(&|state| {
                            state.review(leader, want, left_out);
                            state.budget.of_leaders -= 1;
                            let message = state.grant(leader, owner);
                            state.send(message, is_held_back, left_out);
                        });
                    }
                }
                if self.budget.of_owners > 0 {
                    add(&|state| {
                        state.budget.of_owners -= 1;
                        let message = state.acknowledge(owner, leader);
                        state.send(message, is_held_back, left_out);
                    });
                }
            }
        }
        if let Some(message) = &self.held_back {
            add(&|state| {
                state.held_back = None;
                state.deliver(message, left_out);
            });
        }
        all
    }
}

/// Whether any state breaks the bound, and how many there are.
fn explore(budget: Budget, left_out: LeftOut) -> (bool, usize) {
    let mut count = 0;
    for state in bfs_reach(start(budget), |state| state.next(left_out)) {
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
    let (broken, states) = explore(Budget::new(2, 1, 1), LeftOut::Nothing);
    println!("{states} states");
    assert!(!broken);
    assert!(states > 100_000, "{states}");
}

/// The same with more messages; takes minutes.
#[test]
#[ignore = "takes minutes"]
fn levels_with_more_messages() {
    let (broken, states) = explore(Budget::new(2, 2, 1), LeftOut::Nothing);
    println!("{states} states");
    assert!(!broken);
}

/// Each rule is needed: without it the bound breaks.
#[test]
fn each_rule_is_needed() {
    let mutants = [
        (
            "raised before the lowered was acknowledged",
            LeftOut::Acknowledgement,
        ),
        ("a successor that does not wait", LeftOut::SuccessorWaits),
        ("a leader that goes by an old read", LeftOut::LeaseSeen),
        ("time counted from receipt", LeftOut::CountFromSending),
        ("messages taken in any order", LeftOut::MessageOrder),
    ];
    for (name, left_out) in mutants {
        let found = [(3, 2, 1), (4, 2, 1), (4, 3, 1)].into_iter().any(
            |(of_leaders, of_owners, held_back)| {
                explore(Budget::new(of_leaders, of_owners, held_back), left_out).0
            },
        );
        assert!(found, "{name}");
    }
}
