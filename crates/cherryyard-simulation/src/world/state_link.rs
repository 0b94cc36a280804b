//! Connection between the controllers and the state service: refusals, latency, lost responses,
//! and transactions that are held back or delayed.

use super::World;
use crate::{StateStandIn, seeded_draws};
use cherryyard_core::{Controller, Outcome, Ticket};
use cherryyard_wire::state::{Commit, WatchResponse};
use std::collections::{BTreeMap, BTreeSet};

/// Timeout of a controller for the outcome of a transaction.
pub(super) const COMMIT_TIMEOUT_MS: f64 = 2000.0;
/// Duration of a controller's state lease.
const STATE_LEASE_MS: f64 = 5000.0;
/// Delay of a delayed transaction: the minimum, and the range of the random part that is added.
const DELAY_MS: (f64, u64) = (2000.0, 10_000);

/// Connection between the controllers and the state service.
pub struct StateLink {
    /// Controllers whose requests the state service refuses.
    pub refused: BTreeSet<usize>,
    /// Maximum latency of a read or a transaction; each takes between half of it and all of it.
    /// 0 means no latency.
    pub latency_ms: f64,
    /// Percentage of the transactions that get no response. One in four of them is applied at
    /// once, the others 2 to 12 s later, possibly after newer ones.
    pub delayed_percent: u64,
    /// Percentage of the transactions that are applied at once and whose responses are lost.
    pub lost_response_percent: u64,
    /// Controllers whose transactions as shard owners are held back and get no response.
    pub hold_owner_commits: BTreeSet<usize>,
    /// Whether the leader's transactions are held back and get no response.
    pub hold_leader_commits: bool,
    /// Controllers whose admission transactions are held back and get no response.
    pub hold_admission_commits: BTreeSet<usize>,
    /// Transactions that are held back.
    pub held_commits: Vec<Commit>,
    /// Transaction of history compaction with which its controller crashes.
    pub compaction_crash: Option<CrashPoint>,
    /// Number of transactions of history compaction so far.
    pub compaction_commits: usize,
    /// Transaction of the creation of a submission's jobs with which its controller crashes.
    pub creation_crash: Option<CrashPoint>,
    /// Number of transactions that created submissions' jobs so far.
    pub creation_commits: usize,
    pub(super) draw: Box<dyn FnMut(u64) -> u64>,
    delayed_commits: Vec<DelayedCommit>,
    /// Reads in progress, by controller.
    pending_reads: BTreeMap<usize, PendingRead>,
    pending_outcomes: Vec<PendingOutcome>,
}

/// The transaction with which a controller crashes.
#[derive(Clone, Copy, Debug)]
pub struct CrashPoint {
    /// Number of the transaction among those of its kind, from 1.
    pub commit: usize,
    /// Whether the transaction is applied before the crash; if not, it is held back.
    pub applied: bool,
}

/// A delayed transaction, and the time at which it is applied.
struct DelayedCommit {
    due: f64,
    commit: Commit,
}

/// A read in progress: when its response arrives, when the read was sent, and what the response
/// contains.
struct PendingRead {
    due: f64,
    sent_at: f64,
    response: WatchResponse,
}

/// The response to a transaction that is on its way to one incarnation of a controller.
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
            draw: Box::new(seeded_draws(1)),
            delayed_commits: Vec::new(),
            pending_reads: BTreeMap::new(),
            pending_outcomes: Vec::new(),
        }
    }
}

impl StateLink {
    /// Sets the seed of the draws that decide latencies and which transactions are delayed or
    /// lose their responses.
    pub fn seed(&mut self, seed: u64) {
        self.draw = Box::new(seeded_draws(seed));
    }

    /// Draws the latency of one request to a slow service, in milliseconds.
    fn draw_latency_ms(&mut self) -> f64 {
        self.latency_ms / 2.0 + (self.draw)(self.latency_ms as u64 / 2 + 1) as f64
    }

    /// Draws the latency of one request if the service is slow; none if it is not.
    pub(super) fn latency(&mut self) -> Option<f64> {
        (self.latency_ms > 0.0).then(|| self.draw_latency_ms())
    }

    /// Reads the state for a controller: all of it after a start, else the changes. A slow
    /// service responds later.
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

    /// Drops a controller's read in progress, because its process has ended.
    pub(super) fn drop_read(&mut self, controller: usize) {
        self.pending_reads.remove(&controller);
    }

    /// Passes a transaction to the state service, which may delay it or lose its response.
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
            let (min_ms, range_ms) = DELAY_MS;
            let due = now + min_ms + (self.draw)(range_ms) as f64;
            let commit = commit.clone();
            self.delayed_commits.push(DelayedCommit { due, commit });
        }
        Outcome::Unknown
    }

    /// Returns whether a controller's transaction is held back.
    fn holds_back(&self, controller: usize, ticket: Ticket) -> bool {
        (self.hold_owner_commits.contains(&controller) && matches!(ticket, Ticket::OwnerCycle(_)))
            || (self.hold_leader_commits && ticket == Ticket::LeaderCycle)
            || (self.hold_admission_commits.contains(&controller) && ticket == Ticket::Admission)
    }

    /// Counts a transaction, and returns the crash point if the controller crashes with it.
    fn count_commit(&mut self, ticket: Ticket) -> Option<CrashPoint> {
        let (count, crash) = match ticket {
            Ticket::HistoryCompaction => (&mut self.compaction_commits, self.compaction_crash),
            Ticket::BulkCreation => (&mut self.creation_commits, self.creation_crash),
            _ => return None,
        };
        *count += 1;
        crash.filter(|crash| crash.commit == *count)
    }

    /// Schedules the response to a transaction of a slow service. If the latency exceeds the
    /// controller's timeout, the outcome is unknown to the controller.
    fn delay_outcome(
        &mut self,
        controller: usize,
        incarnation: u64,
        ticket: Ticket,
        commit: &Commit,
        outcome: Outcome,
        now: f64,
    ) {
        let response_ms = self.draw_latency_ms();
        let is_late = response_ms > COMMIT_TIMEOUT_MS;
        self.pending_outcomes.push(PendingOutcome {
            due: now + response_ms.min(COMMIT_TIMEOUT_MS),
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

/// Loads the whole state into a controller that has just started.
pub(super) fn load(controller: &mut Controller, state: &StateStandIn, now: f64) {
    controller.mirror.begin_load();
    controller.mirror.apply_read_page(&state.pairs());
    controller.handle_load_end(state.store_revision(), now, now);
}

/// Delivers all changes of the state to a controller at once.
pub(super) fn catch_up(controller: &mut Controller, state: &StateStandIn, now: f64) {
    let events = state.events(controller.mirror.store_revision);
    controller.handle_watch_response(&events, now, now);
}

/// Renews a controller's state lease, or grants a new one if it has none or it has expired.
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
    /// Sets the seed of the draws that decide latencies and which transactions are delayed or
    /// lose their responses.
    pub fn seed_state_link(&mut self, seed: u64) {
        self.state_link.seed(seed);
    }

    /// Passes a user's transaction to the state service.
    pub(super) fn commit_for_user(&mut self, commit: &Commit) -> Outcome {
        self.state_link.commit(&mut self.state, commit, self.now)
    }

    /// Passes a controller's transaction to the state service, unless it is refused or held
    /// back, and the outcome to the controller.
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
            let keys: Vec<&str> = commit.changes.iter().map(|a| a.key()).collect();
            self.trace_line(format!("node-{i} claims {}: {outcome:?}", keys.join(" ")));
        }
        if self.state_link.latency_ms > 0.0 && outcome != Outcome::Refused {
            let incarnation = self.processes.incarnation(i);
            self.state_link
                .delay_outcome(i, incarnation, ticket, commit, outcome, now);
        } else if let Some(controller) = &mut self.controllers[i] {
            controller.handle_transaction_outcome(ticket, commit, outcome, now);
        }
    }

    /// Kills a controller before or after its transaction is applied; the response never
    /// arrives.
    fn crash_in_commit(&mut self, i: usize, commit: &Commit, crash: CrashPoint) {
        if crash.applied {
            self.state.commit(commit);
        } else {
            self.state_link.held_commits.push(commit.clone());
        }
        self.kill(i);
    }

    /// Applies the delayed transactions that are due.
    pub(super) fn apply_delayed_commits(&mut self) {
        let now = self.now;
        let delayed = &mut self.state_link.delayed_commits;
        for delayed in delayed.extract_if(.., |c| c.due <= now) {
            self.state.commit_within_limits(&delayed.commit);
        }
    }

    /// Delivers the responses of a slow service that are due, except to paused controllers.
    /// Responses that were sent before the service began to refuse a controller are still
    /// delivered.
    pub(super) fn deliver_state_responses(&mut self) {
        let now = self.now;
        let frozen = self.processes.frozen.clone();
        for due in self.state_link.take_due_outcomes(&frozen, now) {
            if let Some(controller) =
                self.controller_of_incarnation(due.controller, due.incarnation)
            {
                controller.handle_transaction_outcome(due.ticket, &due.commit, due.outcome, now);
                self.apply_effects(due.controller);
            }
        }
        for (i, read) in self.state_link.take_due_reads(&frozen, now) {
            if let Some(controller) = &mut self.controllers[i] {
                controller.handle_watch_response(&read.response, read.sent_at, now);
                self.apply_effects(i);
            }
        }
    }

    /// Applies the transactions that were held back, and returns their outcomes.
    pub fn apply_held_commits(&mut self) -> Vec<Outcome> {
        std::mem::take(&mut self.state_link.held_commits)
            .iter()
            .map(|commit| self.state.commit(commit))
            .collect()
    }
}
