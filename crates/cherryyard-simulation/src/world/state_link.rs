//! The way between controllers and the state service: refusals, latency, responses that
//! are lost, and transactions that are held back or delayed.

use super::World;
use crate::{StateStandIn, draws};
use cherryyard_core::{Controller, Outcome, Ticket};
use cherryyard_wire::state::{Commit, WatchResponse};
use std::collections::{BTreeMap, BTreeSet};

/// How long a controller waits for the outcome of a transaction.
pub(super) const COMMIT_TIMEOUT_MS: f64 = 2000.0;
/// How long a controller's state lease lasts.
const STATE_LEASE_MS: f64 = 5000.0;
/// Least and most time by which a transaction is delayed.
const DELAY_MS: (f64, u64) = (2000.0, 10_000);

/// The way between controllers and the state service.
pub struct StateLink {
    /// Controllers that the state service refuses.
    pub refused: BTreeSet<usize>,
    /// How long the state service takes for a read or a transaction, at most; each takes
    /// between half of it and all.
    pub latency_ms: f64,
    /// Of a hundred transactions, how many get no response and are carried out 2 to 12 s
    /// later, after newer ones; one in four of them at once.
    pub delayed_percent: u64,
    /// Of a hundred transactions, how many are carried out at once and get no response.
    pub lost_response_percent: u64,
    /// Controllers whose transactions as shard owners get no response and are held back.
    pub hold_owner_commits: BTreeSet<usize>,
    /// The leader's transactions get no response and are held back.
    pub hold_leader_commits: bool,
    /// Controllers whose admissions get no response and are held back.
    pub hold_admission_commits: BTreeSet<usize>,
    /// Transactions held back.
    pub held_commits: Vec<Commit>,
    /// Which of the transactions of history compaction its controller ends with.
    pub compaction_crash: Option<CrashPoint>,
    /// Transactions of history compaction so far.
    pub compaction_commits: usize,
    /// Which of the transactions that create a submission's jobs its controller ends with.
    pub creation_crash: Option<CrashPoint>,
    /// Transactions that created submissions' jobs so far.
    pub creation_commits: usize,
    pub(super) draw: Box<dyn FnMut(u64) -> u64>,
    delayed_commits: Vec<DelayedCommit>,
    /// Reads under way, by controller.
    pending_reads: BTreeMap<usize, PendingRead>,
    pending_outcomes: Vec<PendingOutcome>,
}

/// A controller ends with one of its transactions.
#[derive(Clone, Copy, Debug)]
pub struct CrashPoint {
    /// The how manieth of its kind, from 1.
    pub commit: usize,
    /// Whether the transaction is applied before; else it is held back.
    pub applied: bool,
}

/// A transaction on its way, and when it is carried out.
struct DelayedCommit {
    due: f64,
    commit: Commit,
}

/// A read under way: when its response comes, when it was sent, what it contains.
struct PendingRead {
    due: f64,
    sent_at: f64,
    response: WatchResponse,
}

/// The response to a transaction under way, for one incarnation of a controller.
struct PendingOutcome {
    due: f64,
    controller: usize,
    incarnation: u64,
    ticket: Ticket,
    commit: Commit,
    outcome: Outcome,
}

impl Default for StateLink {
    fn default() -> Self {
        Self {
            refused: BTreeSet::new(),
            latency_ms: 0.0,
            delayed_percent: 0,
            lost_response_percent: 0,
            hold_owner_commits: BTreeSet::new(),
            hold_leader_commits: false,
            hold_admission_commits: BTreeSet::new(),
            held_commits: Vec::new(),
            compaction_crash: None,
            compaction_commits: 0,
            creation_crash: None,
            creation_commits: 0,
            draw: Box::new(draws(1)),
            delayed_commits: Vec::new(),
            pending_reads: BTreeMap::new(),
            pending_outcomes: Vec::new(),
        }
    }
}

impl StateLink {
    /// Draws by a seed what is delayed or lost, and latencies.
    pub fn seed(&mut self, seed: u64) {
        self.draw = Box::new(draws(seed));
    }

    /// What one request takes of a service that is slow, in milliseconds.
    fn draw_latency_ms(&mut self) -> f64 {
        self.latency_ms / 2.0 + (self.draw)(self.latency_ms as u64 / 2 + 1) as f64
    }

    /// What one request takes, if the service is slow.
    pub(super) fn latency(&mut self) -> Option<f64> {
        (self.latency_ms > 0.0).then(|| self.draw_latency_ms())
    }

    /// A controller reads what is new; from a slow service the response comes later.
    pub(super) fn read(
        &mut self,
        i: usize,
        state: &StateStandIn,
        controller: &mut Controller,
        now: f64,
    ) {
        if !controller.mirror.loaded {
            load(controller, state, now);
        } else if self.latency_ms == 0.0 {
            catch_up(controller, state, now);
        } else if !self.pending_reads.contains_key(&i) {
            let due = now + self.draw_latency_ms();
            let response = state.events(controller.mirror.store_revision);
            let read = PendingRead {
                due,
                sent_at: now,
                response,
            };
            self.pending_reads.insert(i, read);
        }
    }

    /// A controller's read ends with its process.
    pub(super) fn forget_read(&mut self, controller: usize) {
        self.pending_reads.remove(&controller);
    }

    /// A transaction comes to the state service, which may be late with it.
    pub(super) fn commit(
        &mut self,
        state: &mut StateStandIn,
        commit: &Commit,
        now: f64,
    ) -> Outcome {
        if self.lost_response_percent > 0 && (self.draw)(100) < self.lost_response_percent {
            state.commit_within_limits(commit);
            return Outcome::Unknown;
        }
        if self.delayed_percent == 0 || (self.draw)(100) >= self.delayed_percent {
            return state.commit_within_limits(commit);
        }
        if (self.draw)(4) == 0 {
            state.commit_within_limits(commit);
        } else {
            let (least, most) = DELAY_MS;
            let due = now + least + (self.draw)(most) as f64;
            let commit = commit.clone();
            self.delayed_commits.push(DelayedCommit { due, commit });
        }
        Outcome::Unknown
    }

    /// Whether a controller's transaction is held back.
    fn holds_back(&self, controller: usize, ticket: Ticket) -> bool {
        (self.hold_owner_commits.contains(&controller) && matches!(ticket, Ticket::OwnerCycle(_)))
            || (self.hold_leader_commits && ticket == Ticket::LeaderCycle)
            || (self.hold_admission_commits.contains(&controller) && ticket == Ticket::Admission)
    }

    /// Counts a transaction; whether its controller ends with it.
    fn count_commit(&mut self, ticket: Ticket) -> Option<CrashPoint> {
        let (count, crash) = match ticket {
            Ticket::HistoryCompaction => (&mut self.compaction_commits, self.compaction_crash),
            Ticket::BulkCreation => (&mut self.creation_commits, self.creation_crash),
            _ => return None,
        };
        *count += 1;
        crash.filter(|crash| crash.commit == *count)
    }

    /// The response to a transaction of a slow service: its outcome, or none in time.
    fn delay_outcome(
        &mut self,
        controller: usize,
        incarnation: u64,
        ticket: Ticket,
        commit: &Commit,
        outcome: Outcome,
        now: f64,
    ) {
        let takes = self.draw_latency_ms();
        let is_late = takes > COMMIT_TIMEOUT_MS;
        self.pending_outcomes.push(PendingOutcome {
            due: now + takes.min(COMMIT_TIMEOUT_MS),
            controller,
            incarnation,
            ticket,
            commit: commit.clone(),
            outcome: if is_late { Outcome::Unknown } else { outcome },
        });
    }

    fn take_due_outcomes(&mut self, frozen: &BTreeSet<usize>, now: f64) -> Vec<PendingOutcome> {
        let is_due = |o: &mut PendingOutcome| o.due <= now && !frozen.contains(&o.controller);
        self.pending_outcomes.extract_if(.., is_due).collect()
    }

    fn take_due_reads(&mut self, frozen: &BTreeSet<usize>, now: f64) -> Vec<(usize, PendingRead)> {
        let is_due = |i: &usize, read: &mut PendingRead| read.due <= now && !frozen.contains(i);
        self.pending_reads.extract_if(.., is_due).collect()
    }
}

/// A controller that has just started reads the whole state.
pub(super) fn load(controller: &mut Controller, state: &StateStandIn, now: f64) {
    controller.mirror.begin_load();
    controller.mirror.load_some(&state.pairs());
    controller.loaded(state.store_revision(), now, now);
}

/// A controller reads at once all that has changed.
pub(super) fn catch_up(controller: &mut Controller, state: &StateStandIn, now: f64) {
    let events = state.events(controller.mirror.store_revision);
    controller.events(&events, now, now);
}

/// A controller keeps its state lease, or gets a new one.
pub(super) fn renew_state_lease(state: &mut StateStandIn, controller: &mut Controller, now: f64) {
    let until = now + STATE_LEASE_MS;
    let is_renewed = controller
        .lease_id()
        .is_some_and(|lease_id| state.renew_lease(lease_id, until));
    if !is_renewed {
        controller.state_lease_changed(Some(state.grant_lease(until)), now);
    }
}

impl World {
    /// Draws by a seed what the state service delays or loses.
    pub fn seed_late(&mut self, seed: u64) {
        self.state_link.seed(seed);
    }

    /// A user's transaction through a controller comes to the state service.
    pub(super) fn commit_for_user(&mut self, commit: &Commit) -> Outcome {
        self.state_link.commit(&mut self.state, commit, self.now)
    }

    /// A controller sends a transaction.
    pub(super) fn commit(&mut self, i: usize, ticket: Ticket, commit: &Commit) {
        let now = self.now;
        if let Some(crash) = self.state_link.count_commit(ticket) {
            self.crash_in_commit(i, commit, crash);
            return;
        }
        let outcome = if self.state_link.refused.contains(&i) {
            Outcome::Refused
        } else if self.state_link.holds_back(i, ticket) {
            self.state_link.held_commits.push(commit.clone());
            Outcome::Unknown
        } else {
            self.state_link.commit(&mut self.state, commit, now)
        };
        if matches!(ticket, Ticket::AcquireShard(_)) {
            let keys: Vec<&str> = commit.apply.iter().map(|a| a.key()).collect();
            self.say(format!("node-{i} claims {}: {outcome:?}", keys.join(" ")));
        }
        if self.state_link.latency_ms > 0.0 && outcome != Outcome::Refused {
            let incarnation = self.processes.incarnation(i);
            self.state_link
                .delay_outcome(i, incarnation, ticket, commit, outcome, now);
        } else if let Some(controller) = &mut self.controllers[i] {
            controller.committed(ticket, commit, outcome, now);
        }
    }

    /// A controller ends before its transaction is applied, or after; the response never
    /// arrives.
    fn crash_in_commit(&mut self, i: usize, commit: &Commit, crash: CrashPoint) {
        if crash.applied {
            self.state.commit(commit);
        } else {
            self.state_link.held_commits.push(commit.clone());
        }
        self.kill(i);
    }

    /// Carries out the delayed transactions that are due.
    pub(super) fn apply_delayed_commits(&mut self) {
        let now = self.now;
        let delayed = &mut self.state_link.delayed_commits;
        for delayed in delayed.extract_if(.., |c| c.due <= now) {
            self.state.commit_within_limits(&delayed.commit);
        }
    }

    /// Delivers what a slow service responds by now. One that refuses a controller leaves
    /// what was answered before on its way.
    pub(super) fn deliver_state_responses(&mut self) {
        let now = self.now;
        let frozen = self.processes.frozen.clone();
        for due in self.state_link.take_due_outcomes(&frozen, now) {
            if let Some(controller) = self.same_controller(due.controller, due.incarnation) {
                controller.committed(due.ticket, &due.commit, due.outcome, now);
                self.apply_effects(due.controller);
            }
        }
        for (i, read) in self.state_link.take_due_reads(&frozen, now) {
            if let Some(controller) = &mut self.controllers[i] {
                controller.events(&read.response, read.sent_at, now);
                self.apply_effects(i);
            }
        }
    }

    /// Applies the transactions that were held back; says how they came out.
    pub fn deliver_commits(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.state_link.held_commits)
            .iter()
            .map(|commit| self.state.commit(commit))
            .collect()
    }
}
