//! Model of how the leader divides a fair-share guarantee between the owners of two shards.
//!
//! A leader grants allowances to the owners by messages. If it raises one owner's allowance before
//! the other owner applies a lower one, or if a successor grants while allowances of its
//! predecessor are still in force, the two owners together may act on more than the guarantee. The
//! model explores every interleaving of a leader and its successor, two owners, messages that
//! arrive immediately, late or never, and a leader that continues without noticing that it has lost
//! its lease. It checks that the allowances in force together never exceed the guarantee.
//!
//! The rules under test are the functions of `admission::allowance` that the controller uses. Each
//! mutant omits one rule, and the model must find a violation with it.

use cherryyard_core::admission::allowance::{
    ALLOWANCE_LIFETIME_MS, Allowance, AllowanceAccount, GrantLeases, Time, has_lapsed, may_grant,
    remaining,
};
use pathfinding::directed::bfs::bfs_reach;

/// A point in time, counted in lifetimes of an allowance.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, PartialOrd, Ord)]
struct Step(u8);

impl Time for Step {
    fn is_after(self, earlier: Self, span: u32) -> bool {
        u32::from(self.0.saturating_sub(earlier.0)) * ALLOWANCE_LIFETIME_MS >= span
    }
}

/// Guarantee that is divided between the two owners.
const GUARANTEE: u64 = 2;
/// Fencing token of each shard's lease.
const SHARD_TOKEN: u64 = 9;
/// First step of a run. The first leader has led since step 0; the second may begin to lead at any
/// step of the run.
const FIRST_STEP: u8 = 4;
/// Last step of a run.
const LAST_STEP: u8 = 9;
/// Number of its last messages for which an owner records when they were sent.
const REMEMBERED_MESSAGES: u64 = 4;
/// Number of states at which a run is aborted; the runs of this file need far fewer.
const MAX_STATES: usize = 12_000_000;

/// The rule that is omitted.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OmittedRule {
    Nothing,
    /// The highest grant counts against the guarantee until a lower one is acknowledged.
    Acknowledgement,
    /// A new leader waits until the grants of its predecessor have expired.
    SuccessorWaits,
    /// A leader grants only if it has recently read its own lease from the state service.
    LeaseSeen,
    /// The lifetime of an allowance starts when the owner sent the message that the leader
    /// acknowledges with the grant.
    CountFromSending,
    /// Messages older than the newest one are ignored.
    MessageOrder,
}

/// Number and time of arrival of the last message received from a sender.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Received {
    number: u64,
    at: Step,
}

/// A controller that leads, or may become the leader.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Leader {
    /// Fencing token of its leadership lease.
    token: u64,
    /// Whether the controller assumes that it leads.
    leads: bool,
    /// Time since which the controller leads.
    leads_since: Step,
    /// Time at which the controller last read its own lease from the state service.
    lease_seen_at: Step,
    /// Allowances granted to each owner.
    accounts: [AllowanceAccount; 2],
    /// Number of the last message that it sent.
    number: u64,
    /// Last message received from each owner.
    received: [Received; 2],
}

/// The owner of a shard.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Owner {
    /// The newest allowance received.
    allowance: Option<Allowance<Step>>,
    /// Number of the last message that it sent.
    number: u64,
    /// Times at which its last messages were sent, by `sent_index` of their numbers.
    sent_at: [Step; REMEMBERED_MESSAGES as usize],
    /// Number of the last message received from each leader.
    received: [u64; 2],
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Message {
    /// Message from a leader that grants an allowance to an owner.
    Granted {
        leader: usize,
        owner: usize,
        number: u64,
        leader_token: u64,
        amount: u64,
        /// Number of the last message that the leader has received from the owner.
        received: u64,
    },
    /// Message from an owner that acknowledges messages of a leader.
    Acknowledged {
        owner: usize,
        leader: usize,
        number: u64,
        /// Number of the last message that the owner has received from the leader.
        received: u64,
    },
}

/// Number of messages that may still be sent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Budget {
    leader_messages: u8,
    owner_messages: u8,
    /// Messages of both kinds that may be delayed in the network.
    delayed: u8,
}

impl Budget {
    fn new(leader_messages: u8, owner_messages: u8, delayed: u8) -> Self {
        Self {
            leader_messages,
            owner_messages,
            delayed,
        }
    }
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    now: Step,
    /// Token of the leadership lease in the state service.
    leader_lease_token: u64,
    leaders: [Leader; 2],
    owners: [Owner; 2],
    delayed_message: Option<Message>,
    budget: Budget,
}

fn initial_state(budget: Budget) -> State {
    let first_step = Step(FIRST_STEP);
    let leader = |token| Leader {
        token,
        leads: token == 1,
        leads_since: Step(0),
        lease_seen_at: first_step,
        accounts: Default::default(),
        number: 0,
        received: [Received {
            number: 0,
            at: first_step,
        }; 2],
    };
    let owner = Owner {
        allowance: None,
        number: 0,
        sent_at: [first_step; REMEMBERED_MESSAGES as usize],
        received: [0; 2],
    };
    State {
        now: first_step,
        leader_lease_token: 1,
        leaders: [leader(1), leader(2)],
        owners: [owner.clone(), owner],
        delayed_message: None,
        budget,
    }
}

/// Returns the index in `Owner::sent_at` of the message with this number.
fn sent_index(number: u64) -> usize {
    (number % REMEMBERED_MESSAGES) as usize
}

impl State {
    /// Returns the sum of the allowances in force, on which the owners may act.
    fn in_force(&self) -> u64 {
        let owners = self.owners.iter();
        let allowances =
            owners.filter_map(|owner| owner.allowance?.in_force(SHARD_TOKEN, self.now));
        allowances.sum()
    }

    /// Lets a leader grant the allowances that it wants, as far as the rules permit.
    fn update_grants(&mut self, leader: usize, wanted: [u64; 2], omitted: OmittedRule) {
        let now = self.now;
        let leader = &mut self.leaders[leader];
        for owner in 0..2 {
            leader.accounts[owner].switch_leases(GrantLeases {
                leader_token: leader.token,
                shard_token: SHARD_TOKEN,
            });
            if has_lapsed(leader.received[owner].at, now) {
                leader.accounts[owner].lapse();
            }
        }
        let leads_since = if omitted == OmittedRule::SuccessorWaits {
            Step(0)
        } else {
            leader.leads_since
        };
        let lease_seen_at = if omitted == OmittedRule::LeaseSeen {
            now
        } else {
            leader.lease_seen_at
        };
        if !may_grant(leads_since, lease_seen_at, now) {
            return;
        }
        let mut order = [0, 1];
        order.sort_by_key(|&owner| wanted[owner] > leader.accounts[owner].current());
        for owner in order {
            if has_lapsed(leader.received[owner].at, now) {
                continue;
            }
            let accounts = &leader.accounts;
            let current = accounts[owner].current();
            let limit = if omitted == OmittedRule::Acknowledgement {
                let granted = accounts.iter().map(AllowanceAccount::current).sum();
                current + GUARANTEE.saturating_sub(granted)
            } else {
                current.max(accounts[owner].highest()) + remaining(GUARANTEE, accounts.iter())
            };
            let number = leader.number + 1;
            leader.accounts[owner].grant(number, wanted[owner].min(limit));
        }
    }

    /// Returns the next message of a leader to an owner.
    fn grant_message(&mut self, leader: usize, owner: usize) -> Message {
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

    /// Returns the next message of an owner to a leader.
    fn acknowledgement_message(&mut self, owner: usize, leader: usize) -> Message {
        let sender = &mut self.owners[owner];
        sender.number += 1;
        sender.sent_at[sent_index(sender.number)] = self.now;
        Message::Acknowledged {
            owner,
            leader,
            number: sender.number,
            received: sender.received[leader],
        }
    }

    /// Delivers a message to its receiver.
    fn deliver(&mut self, message: &Message, omitted: OmittedRule) {
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
                // The owner no longer remembers when it sent the acknowledged message.
                if received + REMEMBERED_MESSAGES - 1 < owner.number {
                    return;
                }
                let from = if omitted == OmittedRule::CountFromSending {
                    self.now
                } else {
                    owner.sent_at[sent_index(received)]
                };
                let new = Allowance {
                    leases: GrantLeases {
                        leader_token,
                        shard_token: SHARD_TOKEN,
                    },
                    number,
                    amount,
                    from,
                };
                owner.allowance = Some(if omitted == OmittedRule::MessageOrder {
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

    /// Lets a leader read the leadership lease from the state service.
    fn read_lease(&mut self, leader: usize) {
        let leader = &mut self.leaders[leader];
        if self.leader_lease_token == leader.token {
            leader.lease_seen_at = self.now;
        } else {
            leader.leads = false;
        }
    }

    /// Replaces the first leader by the second in the state service.
    fn change_leader(&mut self) {
        self.leader_lease_token = 2;
        let successor = &mut self.leaders[1];
        successor.leads = true;
        successor.leads_since = self.now;
        successor.lease_seen_at = self.now;
    }

    /// Sends a message, which is delivered immediately or delayed.
    fn send(&mut self, message: Message, is_delayed: bool, omitted: OmittedRule) {
        if is_delayed {
            self.budget.delayed -= 1;
            self.delayed_message = Some(message);
        } else {
            self.deliver(&message, omitted);
        }
    }

    /// Returns the possible values of `is_delayed` for the next message.
    fn deliveries(&self) -> &'static [bool] {
        if self.budget.delayed > 0 && self.delayed_message.is_none() {
            &[false, true]
        } else {
            &[false]
        }
    }

    /// Returns the states that may follow this one; none once the guarantee is exceeded.
    fn next_states(&self, omitted: OmittedRule) -> Vec<State> {
        let mut successors = Vec::new();
        if self.in_force() > GUARANTEE {
            return successors;
        }
        let mut add = |apply: &dyn Fn(&mut State)| {
            let mut next = self.clone();
            apply(&mut next);
            if next != *self {
                successors.push(next);
            }
        };
        if self.now.0 < LAST_STEP {
            add(&|state| state.now.0 += 1);
        }
        for leader in (0..2).filter(|&leader| self.leaders[leader].leads) {
            add(&|state| state.read_lease(leader));
        }
        if self.leader_lease_token == 1 {
            add(&State::change_leader);
        }
        for (leader, owner) in [(0, 0), (0, 1), (1, 0), (1, 1)] {
            for &is_delayed in self.deliveries() {
                if self.leaders[leader].leads && self.budget.leader_messages > 0 {
                    for wanted in [[2, 0], [0, 2]] {
                        add(&|state| {
                            state.update_grants(leader, wanted, omitted);
                            state.budget.leader_messages -= 1;
                            let message = state.grant_message(leader, owner);
                            state.send(message, is_delayed, omitted);
                        });
                    }
                }
                if self.budget.owner_messages > 0 {
                    add(&|state| {
                        state.budget.owner_messages -= 1;
                        let message = state.acknowledgement_message(owner, leader);
                        state.send(message, is_delayed, omitted);
                    });
                }
            }
        }
        if let Some(message) = &self.delayed_message {
            add(&|state| {
                state.delayed_message = None;
                state.deliver(message, omitted);
            });
        }
        successors
    }
}

/// Returns whether a state exceeds the guarantee, and the number of states explored up to it.
fn explore(budget: Budget, omitted: OmittedRule) -> (bool, usize) {
    let mut count = 0;
    for state in bfs_reach(initial_state(budget), |state| state.next_states(omitted)) {
        count += 1;
        assert!(count < MAX_STATES, "more states than MAX_STATES");
        if state.in_force() > GUARANTEE {
            return (true, count);
        }
    }
    (false, count)
}

/// No interleaving of the messages puts allowances above the guarantee into force.
#[test]
fn allowances_never_exceed_the_guarantee() {
    let (exceeded, states) = explore(Budget::new(2, 1, 1), OmittedRule::Nothing);
    println!("{states} states");
    assert!(!exceeded);
    assert!(states > 100_000, "{states}");
}

/// Explores more messages than `allowances_never_exceed_the_guarantee`; takes minutes.
#[test]
#[ignore = "takes minutes"]
fn allowances_with_more_messages() {
    let (exceeded, states) = explore(Budget::new(2, 2, 1), OmittedRule::Nothing);
    println!("{states} states");
    assert!(!exceeded);
}

/// The guarantee is exceeded if any of the rules is omitted.
#[test]
fn each_rule_is_needed() {
    let mutants = [
        (
            "an allowance is raised before the other owner acknowledges a lower one",
            OmittedRule::Acknowledgement,
        ),
        ("a successor does not wait", OmittedRule::SuccessorWaits),
        (
            "a leader relies on an old read of its lease",
            OmittedRule::LeaseSeen,
        ),
        (
            "the lifetime of an allowance starts on receipt",
            OmittedRule::CountFromSending,
        ),
        (
            "messages are applied in any order",
            OmittedRule::MessageOrder,
        ),
    ];
    for (name, omitted) in mutants {
        let violated = [(3, 2, 1), (4, 2, 1), (4, 3, 1)].into_iter().any(
            |(leader_messages, owner_messages, delayed)| {
                explore(
                    Budget::new(leader_messages, owner_messages, delayed),
                    omitted,
                )
                .0
            },
        );
        assert!(violated, "{name}");
    }
}
