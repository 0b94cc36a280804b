//! The controller as a state machine: consumes events and produces effects.
//!
//! The caller invokes one method of [`Controller`] for each event, and afterwards executes the
//! effects that [`Controller::effects`] returns. An event is handled in three steps:
//!
//! 1. `Controller::advance_clock` records the time of the event, and detects that the process was
//!    suspended.
//! 2. The method for the event updates the state concerned: the mirror of the state service
//!    ([`crate::mirror`]), the machines, the peers, or the submissions.
//! 3. `Controller::run_decisions` runs the decision steps in a fixed order: leases on shards, leadership,
//!    the scheduling cycles of the shards, the leader's scheduling cycle, and the transactions
//!    that write submissions, history and the jobs of bulk submissions.
//!
//! The methods for each source of events, and the modules that handle them:
//!
//! | source | methods | module |
//! | --- | --- | --- |
//! | the state service | [`handle_load_end`](Controller::handle_load_end), [`handle_watch_response`](Controller::handle_watch_response), [`handle_transaction_outcome`](Controller::handle_transaction_outcome) | here; leases in `lease_acquisition` |
//! | a worker's heartbeat, or its answer to a command or query | `handle_worker_heartbeat`, `handle_push_outcome`, `handle_status_answer` | `worker_heartbeats`, then [`crate::owner`] |
//! | a peer's heartbeat | `handle_peer_heartbeat`, `build_heartbeat` | `heartbeats` |
//! | a user's request | `poll_answer`, `take_user_write`, `forwarding_target` | [`crate::users`], [`crate::admission::intake`] |
//! | the cloud | [`handle_machine_types`](Controller::handle_machine_types), [`handle_machine_list`](Controller::handle_machine_list), [`handle_release_answer`](Controller::handle_release_answer) | here; then [`crate::leader`] and [`crate::owner`] |
//! | time | [`tick`](Controller::tick), [`handle_lag_probe`](Controller::handle_lag_probe) | here |

use crate::admission::demand::Demand;
use crate::admission::entitlements::Entitlements;
use crate::admission::intake::Intake;
use crate::cancelled::Cancellations;
use crate::command_log::{CommandCounts, CommandTrace};
use crate::effects::{Effect, Outcome, Ticket};
use crate::event_loop_lag::EventLoopLag;
use crate::leader::state::Leader;
use crate::machine::{Machine, MachineEvent, MachineState};
use crate::misdirected_workers::MisdirectedWorkers;
use crate::owner::state::Shard;
use crate::peers::Peers;
use crate::state_contact::StateContact;
use crate::token_bucket::TokenBucket;
use crate::{Config, Millis, Mirror};
use cherryyard_wire::cloud::{Instance, MachineType};
use cherryyard_wire::state::{Commit, WatchResponse};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// Time without messages from a machine after which it may be dropped from memory: packets that
/// were delayed in the network have arrived by then.
const FORGET_MS: Millis = 600_000.0;
/// Longest time between two scheduling cycles of a shard.
const SHARD_CYCLE_MS: Millis = 400.0;
/// Longest time between two scheduling cycles of the leader.
const LEADER_CYCLE_MS: Millis = 500.0;
/// Delay between the cloud's answer to the release of a machine and the next attempt to release
/// that machine.
const RELEASE_RETRY_MS: Millis = 2000.0;

/// The complete state of one controller, grouped by concern.
#[derive(Debug)]
pub struct Controller {
    /// The configuration, with the limits of the state service that are in force.
    pub config: Config,
    /// Random number that distinguishes this process from earlier and later processes of the
    /// controller with the same name.
    pub(crate) process_id: u64,
    pub(crate) started_at: Millis,
    pub(crate) rng: StdRng,
    /// Effects since the last call of [`Controller::effects`], in the order of execution.
    pub(crate) effects: Vec<Effect>,

    // The state service.
    /// Local copy of the records in the state service.
    pub mirror: Mirror,
    /// Freshness of the mirror and of the contact with the state service.
    pub(crate) state_contact: StateContact,
    /// The lease of the state service to which this controller's shard and leadership leases are
    /// bound.
    pub(crate) lease_id: Option<u64>,

    // Ownership of shards, and leadership.
    pub(crate) shards: Vec<Shard>,
    pub(crate) machines: BTreeMap<u32, Machine>,
    /// Numbers of commands to workers.
    pub(crate) command_counts: CommandCounts,
    /// Machines and jobs whose commands are logged at the level `info`.
    pub(crate) command_trace: CommandTrace,
    pub(crate) leader: Leader,

    // The other controllers.
    pub(crate) peers: Peers,
    /// Workers that send their heartbeats to this controller although other controllers own
    /// their shards.
    pub(crate) misdirected: MisdirectedWorkers,
    /// Cancellations that controllers report to each other in heartbeats.
    pub(crate) cancelled: Cancellations,
    /// Time at which the free capacity of this controller's shards was last reported.
    pub(crate) capacity_reported_at: Millis,
    /// Whether the free capacity has changed since it was last reported.
    pub(crate) capacity_changed: bool,

    // The cloud.
    pub(crate) machine_types_from_cloud: Option<Vec<MachineType>>,
    /// The newest response of the cloud's machine list, by machine name.
    pub(crate) cloud_machines: HashMap<String, Instance>,
    /// Time at which that response arrived.
    pub(crate) cloud_machines_at: Millis,

    // Users and admission.
    /// Submissions that are not yet written to the state service.
    pub(crate) intake: Intake,
    /// Outcomes of the submissions that this controller has handled.
    pub(crate) submission_counts: Demand,
    /// Fair-share guarantees, and the resources to which they entitle flows.
    pub(crate) entitlements: Entitlements,
    /// Budget of writes to the state service that this controller may make for users.
    pub(crate) user_write_budget: TokenBucket,

    // The process itself.
    /// Delay between the arrival of an event and its handling.
    pub(crate) lag: EventLoopLag,
    /// Total number of machines whose assignments scheduling cycles have inspected: a measure of
    /// the cost of scheduling cycles.
    pub inspected_machines: u64,
    /// Total number of waiting jobs that scheduling cycles have inspected.
    pub inspected_jobs: u64,
    /// Total number of tasks that were proven completed although they were stored as completed.
    pub repeated_completions: u64,
    /// Whether the controller keeps accounts of core-seconds.
    pub accounting: bool,
    /// Time of day minus the steady clock, in milliseconds.
    pub wall_offset: f64,
}

impl Controller {
    /// Creates the controller of a process that starts at `now`. `seed` determines all of its
    /// random numbers.
    pub fn new(config: Config, seed: u64, now: Millis) -> Self {
        let process_id = StdRng::seed_from_u64(seed).random();
        let shard_count = config.shards();
        Self {
            process_id,
            started_at: now,
            rng: StdRng::seed_from_u64(seed),
            effects: Vec::new(),
            mirror: Mirror::new(&config),
            state_contact: StateContact::new(now),
            lease_id: None,
            shards: (0..shard_count)
                .map(|_| Shard::new(config.cycle_writes_per_s, now))
                .collect(),
            machines: BTreeMap::new(),
            command_counts: CommandCounts::default(),
            command_trace: config.tuning.command_trace.clone(),
            leader: Leader::new(&config, now),
            peers: Peers::new(config.own_index, shard_count, now),
            misdirected: MisdirectedWorkers::default(),
            cancelled: Cancellations::new(now),
            capacity_reported_at: f64::NEG_INFINITY,
            capacity_changed: false,
            machine_types_from_cloud: None,
            cloud_machines: HashMap::new(),
            cloud_machines_at: f64::NEG_INFINITY,
            intake: Intake::new(&config, now),
            submission_counts: Demand::new(),
            entitlements: Entitlements::new(process_id),
            user_write_budget: TokenBucket::new(config.user_writes_per_s / shard_count as f64, now),
            lag: EventLoopLag::new(now),
            inspected_machines: 0,
            repeated_completions: 0,
            inspected_jobs: 0,
            accounting: config.tuning.account || tracing::enabled!(tracing::Level::DEBUG),
            wall_offset: 0.0,
            config,
        }
    }

    /// Returns and clears the effects since the last call, in the order of execution.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    // Events of the state service.

    /// Completes a full read of the state, whose first page was requested at `sent_at` and
    /// described revision `store_revision`. The mirror has received the pages one by one before
    /// this call, so that a long read does not delay heartbeats.
    pub fn handle_load_end(&mut self, store_revision: u64, sent_at: Millis, now: Millis) {
        self.advance_clock(now);
        self.mirror.end_load(store_revision);
        self.mirror_changed(sent_at, now);
    }

    /// Handles the response to a watch or barrier request that was sent at `sent_at`.
    pub fn handle_watch_response(&mut self, events: &WatchResponse, sent_at: Millis, now: Millis) {
        self.advance_clock(now);
        let changed = !events.events.is_empty();
        self.mirror.apply_events(events);
        if changed {
            self.mirror_changed(sent_at, now);
        } else {
            self.state_contact.read(sent_at, now);
        }
    }

    /// Reacts to a change of the mirror by a read that was sent at `sent_at`.
    fn mirror_changed(&mut self, sent_at: Millis, now: Millis) {
        self.state_contact.read(sent_at, now);
        for text in self.mirror.take_record_errors() {
            tracing::warn!("ignored an invalid record in the state service: {text}");
        }
        self.check_leases();
        self.mark_all_dirty();
        self.run_decisions(now);
    }

    /// Handles the outcome of a transaction that this controller sent.
    pub fn handle_transaction_outcome(
        &mut self,
        ticket: Ticket,
        commit: &Commit,
        outcome: Outcome,
        now: Millis,
    ) {
        self.advance_clock(now);
        match outcome {
            Outcome::Applied(revision) => self.mirror_commit(commit, revision),
            Outcome::Conflict(_)
            | Outcome::NoLease
            | Outcome::Refused
            | Outcome::Malformed
            | Outcome::Unknown => self.commit_not_applied(ticket, commit, outcome),
        }
        self.finish_transaction(ticket, outcome, now);
        if outcome == Outcome::NoLease {
            self.lease_id = None;
        }
        self.run_decisions(now);
    }

    /// Applies the changes of a committed transaction of this controller to the mirror.
    pub(crate) fn mirror_commit(&mut self, commit: &Commit, revision: u64) {
        self.state_contact.applied(revision);
        self.mirror.apply_committed(commit, revision);
    }

    fn commit_not_applied(&mut self, ticket: Ticket, commit: &Commit, outcome: Outcome) {
        if outcome == Outcome::Malformed {
            self.commit_refused_as_malformed(commit);
        }
        tracing::debug!(?ticket, ?outcome, "transaction not applied");
        self.effects.push(Effect::Refresh);
    }

    /// Passes the outcome of a transaction to the part of the controller that sent it.
    fn finish_transaction(&mut self, ticket: Ticket, outcome: Outcome, now: Millis) {
        match ticket {
            Ticket::AcquireShard(shard) => self.shard_acquire_committed(shard, outcome, now),
            Ticket::OwnerCycle(shard) => self.owner_committed(shard, outcome, now),
            Ticket::ReleaseShard(shard) => self.shard_release_committed(shard, outcome, now),
            Ticket::AcquireLeadership => self.leadership_committed(outcome, now),
            Ticket::LeaderCycle => self.leader_committed(outcome, now),
            Ticket::HistoryCompaction => self.compaction_committed(outcome, now),
            Ticket::BulkCreation => self.bulk_creation_committed(outcome, now),
            Ticket::Admission => self.intake_committed(outcome, now),
        }
    }

    /// Records that the state service answered a request that was sent at `sent_at`.
    pub fn state_answered(&mut self, sent_at: Millis, now: Millis) {
        self.state_contact.answered(sent_at, now);
    }

    /// Sets the lease of the state service to which this controller's shard and leadership leases
    /// are bound, or clears it after its loss.
    pub fn state_lease_changed(&mut self, lease_id: Option<u64>, now: Millis) {
        self.advance_clock(now);
        self.lease_id = lease_id;
        self.run_decisions(now);
    }

    // Events of the cloud.

    /// Handles a response of the cloud that lists its machine types.
    pub fn handle_machine_types(&mut self, machine_types: Vec<MachineType>, now: Millis) {
        self.advance_clock(now);
        if self.mirror.catalog.machine_types_revision == 0 && !machine_types.is_empty() {
            self.mirror.set_machine_types(machine_types.clone());
        }
        self.machine_types_from_cloud = Some(machine_types);
        self.leader.needs_cycle = true;
        self.run_decisions(now);
    }

    /// Handles a response of the cloud that lists its machines.
    pub fn handle_machine_list(&mut self, machines: Vec<Instance>, now: Millis) {
        self.advance_clock(now);
        self.learn_provisioning_times(&machines);
        let by_name = machines.into_iter().map(|entry| (entry.id.clone(), entry));
        self.cloud_machines = by_name.collect();
        self.cloud_machines_at = now;
        self.forget_machines(now);
        self.scale_in_listed(now);
    }

    /// Drops machines from memory that have sent nothing for [`FORGET_MS`], unless they have
    /// assignments or the cloud lists them, which it does until a machine is gone. Machines in
    /// the state [`MachineState::Gone`], whether released by a controller or reclaimed by the
    /// cloud, are dropped although they are still listed: the cloud reclaims some hundreds a day
    /// of a busy fleet.
    fn forget_machines(&mut self, now: Millis) {
        let (mirror, listed) = (&self.mirror, &self.cloud_machines);
        self.machines.retain(|&host, machine| {
            now - machine.last_heard_at < FORGET_MS
                || mirror.assignments_on(host).next().is_some()
                || (machine.state != MachineState::Gone
                    && listed.contains_key(mirror.hosts.name(host)))
        });
    }

    /// Handles the cloud's answer to a release of machines; `ok` means that the cloud accepted it.
    pub fn handle_release_answer(&mut self, names: &[String], ok: bool, now: Millis) {
        self.advance_clock(now);
        for name in names {
            if let Some(host) = self.mirror.hosts.get(name) {
                self.machine_released(host, ok, now);
            }
        }
        self.run_decisions(now);
    }

    fn machine_released(&mut self, host: u32, ok: bool, now: Millis) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let shard = &mut self.shards[machine.shard];
        shard.needs_cycle = true;
        shard.machines_to_inspect.insert(host);
        machine.change(if ok {
            MachineEvent::Released
        } else {
            MachineEvent::ReleaseFailed
        });
        machine.release_after = now + RELEASE_RETRY_MS;
    }

    // Time.

    /// Runs everything that depends on time alone. The caller invokes this every 100 ms.
    pub fn tick(&mut self, now: Millis) {
        self.advance_clock(now);
        self.lag.ticked(now);
        for shard in &mut self.shards {
            if now - shard.planned_at >= SHARD_CYCLE_MS {
                shard.needs_cycle = true;
            }
        }
        self.run_decisions(now);
        if self.accounting {
            for shard_id in 0..self.shards.len() {
                self.sample(shard_id, now);
            }
        }
    }

    /// Records that a probe of the event loop, due at `due`, ran at `now`, after all heartbeats
    /// and requests that arrived before it.
    pub fn handle_lag_probe(&mut self, due: Millis, now: Millis) {
        self.advance_clock(now);
        self.lag.probe_handled(due, now);
    }

    // Steps common to all events.

    /// Records the time of an event, and detects a gap in which the process was suspended. After
    /// a gap all timers are due at once and the state is outdated, so decisions wait for a read
    /// of the state service that was sent after the gap. Otherwise a controller that was
    /// suspended for a minute would consider all its machines silent, and would act as the owner
    /// of shards that it lost long ago.
    pub(crate) fn advance_clock(&mut self, now: Millis) {
        if let Some(gap) = self.state_contact.advance(now) {
            tracing::info!(ms = gap, "process was suspended");
            self.lag.process_suspended(now);
            self.effects.push(Effect::Refresh);
        }
    }

    /// Runs all decision steps in their fixed order, once the mirror is loaded.
    pub(crate) fn run_decisions(&mut self, now: Millis) {
        if !self.mirror.loaded {
            return;
        }
        self.check_leases();
        self.mirror.pass_on_urgency();
        self.requeue_changed(now);
        self.acquire_shards(now);
        self.release_unreachable_shards(now);
        self.acquire_leadership(now);
        for shard_id in 0..self.shards.len() {
            if self.shards[shard_id].needs_cycle {
                self.plan_shard(shard_id, now);
            }
        }
        if self.leader.needs_cycle || now - self.leader.cycle_ran_at >= LEADER_CYCLE_MS {
            self.run_leader_cycle(now);
        }
        self.send_submissions(now);
        self.advance_history_compaction(now);
        self.advance_bulk_creation(now);
    }

    /// Marks all shards and the leader as due for a scheduling cycle.
    pub(crate) fn mark_all_dirty(&mut self) {
        for shard in &mut self.shards {
            shard.needs_cycle = true;
        }
        self.leader.needs_cycle = true;
    }

    /// Returns a random delay, so that controllers whose requests failed together do not retry
    /// together.
    pub(crate) fn jitter(&mut self, from: Millis, to: Millis) -> Millis {
        self.rng.random_range(from..to)
    }

    // Queries by the caller and by other modules.

    /// Returns whether this controller can serve requests: the mirror and the machine types are
    /// loaded, and either the state service answers this controller, or all other controllers
    /// report that the state service does not answer them either.
    pub fn ready(&self, now: Millis) -> bool {
        self.mirror.loaded
            && !self.mirror.catalog.machine_types.is_empty()
            && (self.state_fresh(now) || self.all_cut_off(now))
    }

    /// Returns whether the state service has answered recently, and has been read since this
    /// process was last suspended.
    pub fn state_fresh(&self, now: Millis) -> bool {
        self.state_contact.is_fresh(now)
    }

    /// Returns whether the state service has been read since this process was last suspended.
    pub(crate) fn caught_up(&self) -> bool {
        self.state_contact.caught_up()
    }

    /// Returns the lease of the state service to which this controller's shard and leadership
    /// leases are bound, if there is one.
    pub fn lease_id(&self) -> Option<u64> {
        self.lease_id
    }
}
