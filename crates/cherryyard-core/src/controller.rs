//! One controller, from outside: events go in, effects come out.
//!
//! Whoever runs a [`Controller`] calls one of its methods for each event, and afterwards takes
//! what is to be done from [`Controller::effects`]. An event is handled in three steps:
//!
//! 1. `Controller::notice` takes its time, and detects that the process stood still.
//! 2. The event's own part brings the state up to date: the mirror of the state service
//!    ([`crate::mirror`]), the machines, the peers, or the submissions.
//! 3. `Controller::run` lets each concern decide in a fixed order what follows: leases on
//!    shards, leadership, the scheduling cycles of the shards, that of the leader, and the
//!    transactions that write submissions and history.
//!
//! Where to read on, by event:
//!
//! | event | methods | module |
//! | --- | --- | --- |
//! | the state service | [`loaded`](Controller::loaded), [`events`](Controller::events), [`committed`](Controller::committed) | here; leases in `lease_acquisition` |
//! | a worker's heartbeat, or answer | `report`, `pushed`, `queried` | `worker_heartbeats`, then [`crate::owner`] |
//! | a peer's heartbeat | `heartbeat_in`, `heartbeat_out` | `heartbeats` |
//! | a user's request | `answer_for`, `take_user_write`, `forwarding_target` | [`crate::users`], [`crate::admission::intake`] |
//! | the cloud | [`machine_types`](Controller::machine_types), [`listed`](Controller::listed), [`released`](Controller::released) | here; then [`crate::leader`] and [`crate::owner`] |
//! | time | [`tick`](Controller::tick), [`queue_passed`](Controller::queue_passed) | here |

use crate::admission::demand::Demand;
use crate::admission::entitlements::Entitlements;
use crate::admission::intake::Intake;
use crate::cancelled::Cancellations;
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

/// Silence after which a machine that is not there any more is forgotten: by then
/// no packet of it is held back.
const FORGET_MS: Millis = 600_000.0;
/// Longest time between two scheduling cycles of a shard, and between two of the leader.
const SHARD_CYCLE_MS: Millis = 400.0;
const LEADER_CYCLE_MS: Millis = 500.0;
/// Time after the answer to a release before the machine may be released again.
const RELEASE_AGAIN_MS: Millis = 2000.0;

/// One controller: all that it knows, by concern.
#[derive(Debug)]
pub struct Controller {
    /// What it was configured with.
    pub config: Config,
    /// This process's number, among all that have run under its name.
    pub(crate) process: u64,
    pub(crate) started_at: Millis,
    pub(crate) rng: StdRng,
    /// What is to be done, in order, since [`Controller::effects`] was last called.
    pub(crate) effects: Vec<Effect>,

    // The state service.
    /// What the state service holds.
    pub mirror: Mirror,
    /// How fresh that is.
    pub(crate) state_contact: StateContact,
    /// The state lease to which our records of leases are bound.
    pub(crate) lease_id: Option<u64>,

    // This controller as an owner of shards, and as the leader.
    pub(crate) shards: Vec<Shard>,
    pub(crate) machines: BTreeMap<u32, Machine>,
    pub(crate) leader: Leader,

    // The other controllers.
    pub(crate) peers: Peers,
    /// Workers of other controllers' shards that report here.
    pub(crate) misdirected: MisdirectedWorkers,
    /// Cancellations that controllers tell each other.
    pub(crate) cancelled: Cancellations,
    /// When our shards' free capacity was last reported, and whether it has changed since.
    pub(crate) reported_at: Millis,
    pub(crate) capacity_changed: bool,

    // The cloud.
    pub(crate) machine_types_from_cloud: Option<Vec<MachineType>>,
    /// The newest reading of its machine list, by name, and when that was.
    pub(crate) listed: HashMap<String, Instance>,
    pub(crate) listed_at: Millis,

    // Users and admission.
    /// Submissions on their way into the state service.
    pub(crate) intake: Intake,
    /// What has become of submissions here.
    pub(crate) demand: Demand,
    /// Fair-share guarantees, and what flows are entitled to by them.
    pub(crate) entitlements: Entitlements,
    /// Users' writes that this controller may make.
    pub(crate) user_write_budget: TokenBucket,

    // How this process itself does.
    /// How far behind this controller is with what waits for it.
    pub(crate) lag: EventLoopLag,
    /// Machines whose assignments scheduling cycles have looked at so far: what scheduling
    /// cycles cost.
    pub inspected_machines: u64,
    /// Waiting jobs that scheduling cycles have looked at so far.
    pub inspected_jobs: u64,
    /// Whether accounts of core-seconds are kept.
    pub accounting: bool,
    /// Time of day less steady clock, in milliseconds.
    pub wall_offset: f64,
}

impl Controller {
    /// A controller that has just started. `seed` decides all that it draws at random.
    pub fn new(config: Config, seed: u64, now: Millis) -> Self {
        let process = StdRng::seed_from_u64(seed).random();
        let shard_count = config.shards();
        Self {
            process,
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
            leader: Leader::new(&config, now),
            peers: Peers::new(config.me, shard_count, now),
            misdirected: MisdirectedWorkers::default(),
            cancelled: Cancellations::new(now),
            reported_at: f64::NEG_INFINITY,
            capacity_changed: false,
            machine_types_from_cloud: None,
            listed: HashMap::new(),
            listed_at: f64::NEG_INFINITY,
            intake: Intake::new(&config, now),
            demand: Demand::new(),
            entitlements: Entitlements::new(process),
            user_write_budget: TokenBucket::new(config.user_writes_per_s / shard_count as f64, now),
            lag: EventLoopLag::new(now),
            inspected_machines: 0,
            inspected_jobs: 0,
            accounting: config.tuning.account || tracing::enabled!(tracing::Level::DEBUG),
            wall_offset: 0.0,
            config,
        }
    }

    /// What is to be done since the last call, in order.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    // Events of the state service.

    /// Ends a full read of the state whose first page was asked for at `sent_at`
    /// and described revision `store_revision`. Its pages went to the mirror before: a
    /// long read must not keep heartbeats waiting.
    pub fn loaded(&mut self, store_revision: u64, sent_at: Millis, now: Millis) {
        self.notice(now);
        self.mirror.end_load(store_revision);
        self.state_read(sent_at, now);
    }

    /// Takes the answer to a watch or barrier request that was sent at `sent_at`.
    pub fn events(&mut self, events: &WatchResponse, sent_at: Millis, now: Millis) {
        self.notice(now);
        let changed = !events.events.is_empty();
        self.mirror.events(events);
        if changed {
            self.state_read(sent_at, now);
        } else {
            self.state_contact.read(sent_at, now);
        }
    }

    /// The mirror has changed by a read that was sent at `sent_at`.
    fn state_read(&mut self, sent_at: Millis, now: Millis) {
        self.state_contact.read(sent_at, now);
        for text in self.mirror.take_record_errors() {
            tracing::warn!("ignored a bad record in the state service: {text}");
        }
        self.check_leases();
        self.mark_all_dirty();
        self.run(now);
    }

    /// Takes how a transaction of ours came out.
    pub fn committed(&mut self, ticket: Ticket, commit: &Commit, outcome: Outcome, now: Millis) {
        self.notice(now);
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
        self.run(now);
    }

    /// Takes over into the mirror what a transaction of ours has changed.
    pub(crate) fn mirror_commit(&mut self, commit: &Commit, revision: u64) {
        self.state_contact.applied(revision);
        self.mirror.committed(commit, revision);
    }

    fn commit_not_applied(&mut self, ticket: Ticket, commit: &Commit, outcome: Outcome) {
        if outcome == Outcome::Malformed {
            self.commit_refused_as_malformed(commit);
        }
        tracing::debug!(?ticket, ?outcome, "a transaction was not applied");
        self.effects.push(Effect::Refresh);
    }

    /// Tells the concern that sent a transaction how it came out.
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

    /// Notes that the state service has answered a request sent at `sent_at`.
    pub fn state_answered(&mut self, sent_at: Millis, now: Millis) {
        self.state_contact.answered(sent_at, now);
    }

    /// Takes the state lease to which our records of leases are bound, or its loss.
    pub fn state_lease_changed(&mut self, lease_id: Option<u64>, now: Millis) {
        self.notice(now);
        self.lease_id = lease_id;
        self.run(now);
    }

    // Events of the cloud.

    /// Takes machine types from the cloud.
    pub fn machine_types(&mut self, machine_types: Vec<MachineType>, now: Millis) {
        self.notice(now);
        if self.mirror.catalog.machine_types_revision == 0 && !machine_types.is_empty() {
            self.mirror.set_machine_types(machine_types.clone());
        }
        self.machine_types_from_cloud = Some(machine_types);
        self.leader.dirty = true;
        self.run(now);
    }

    /// Takes a reading of the cloud's machine list.
    pub fn listed(&mut self, machines: Vec<Instance>, now: Millis) {
        self.notice(now);
        self.learn_provisioning_times(&machines);
        let by_name = machines.into_iter().map(|entry| (entry.id.clone(), entry));
        self.listed = by_name.collect();
        self.listed_at = now;
        self.forget_machines(now);
        self.scale_in_listed(now);
    }

    /// Forgets machines that have long been silent, unless something still names them:
    /// assignments, or the list, which shows a machine until it is gone. What is gone by our
    /// release or was taken by the cloud is forgotten though it is listed: of the latter a busy
    /// fleet has some hundreds a day.
    fn forget_machines(&mut self, now: Millis) {
        let (mirror, listed) = (&self.mirror, &self.listed);
        self.machines.retain(|&host, machine| {
            now - machine.last_heard_at < FORGET_MS
                || mirror.on_host(host).next().is_some()
                || (machine.state != MachineState::Gone
                    && listed.contains_key(mirror.hosts.name(host)))
        });
    }

    /// Takes the answer to a release of machines: whether the cloud has taken it.
    pub fn released(&mut self, names: &[String], ok: bool, now: Millis) {
        self.notice(now);
        for name in names {
            if let Some(host) = self.mirror.hosts.get(name) {
                self.machine_released(host, ok, now);
            }
        }
        self.run(now);
    }

    fn machine_released(&mut self, host: u32, ok: bool, now: Millis) {
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let shard = &mut self.shards[machine.shard];
        shard.dirty = true;
        shard.touched.insert(host);
        machine.change(if ok {
            MachineEvent::Released
        } else {
            MachineEvent::ReleaseFailed
        });
        machine.release_after = now + RELEASE_AGAIN_MS;
    }

    // Time.

    /// Lets time pass: to be called every tenth of a second.
    pub fn tick(&mut self, now: Millis) {
        self.notice(now);
        self.lag.ticked(now);
        for shard in &mut self.shards {
            if now - shard.planned_at >= SHARD_CYCLE_MS {
                shard.dirty = true;
            }
        }
        self.run(now);
        if self.accounting {
            for shard_id in 0..self.shards.len() {
                self.sample(shard_id, now);
            }
        }
    }

    /// Notes that a task of the event loop which became due at `due` has been run now, behind
    /// all heartbeats and requests that came before.
    pub fn queue_passed(&mut self, due: Millis, now: Millis) {
        self.notice(now);
        self.lag.passed(due, now);
    }

    // What is common to all events.

    /// Notes the time of an event. After a gap all timers are due at once and all that is known
    /// is old: nothing is decided before a read of the state that was sent since. A controller
    /// that stood still for a minute would take all its machines for silent, and shards long
    /// lost for its own.
    pub(crate) fn notice(&mut self, now: Millis) {
        if let Some(gap) = self.state_contact.advance(now) {
            tracing::info!(ms = gap, "stood still");
            self.lag.stood_still(now);
            self.effects.push(Effect::Refresh);
        }
    }

    /// Lets each concern decide what follows from what is known now.
    pub(crate) fn run(&mut self, now: Millis) {
        if !self.mirror.loaded {
            return;
        }
        self.check_leases();
        self.requeue_changed(now);
        self.acquire_shards(now);
        self.release_unreachable_shards(now);
        self.acquire_leadership(now);
        for shard_id in 0..self.shards.len() {
            if self.shards[shard_id].dirty {
                self.plan_shard(shard_id, now);
            }
        }
        if self.leader.dirty || now - self.leader.planned_at >= LEADER_CYCLE_MS {
            self.plan_leader(now);
        }
        self.take_in(now);
        self.pack(now);
        self.create(now);
    }

    /// Has all scheduling cycles, the leader's included, look at what has changed.
    pub(crate) fn mark_all_dirty(&mut self) {
        for shard in &mut self.shards {
            shard.dirty = true;
        }
        self.leader.dirty = true;
    }

    /// A random time, by which controllers that were refused together do not come back together.
    pub(crate) fn jitter(&mut self, from: Millis, to: Millis) -> Millis {
        self.rng.random_range(from..to)
    }

    // What others ask.

    /// Whether this controller can take requests: it holds a first read, and
    /// either the state service answers it, or it answers nobody.
    pub fn ready(&self, now: Millis) -> bool {
        self.mirror.loaded
            && !self.mirror.catalog.machine_types.is_empty()
            && (self.state_fresh(now) || self.all_cut_off(now))
    }

    /// Whether the state service has answered lately, and has been read since this controller
    /// last stood still.
    pub fn state_fresh(&self, now: Millis) -> bool {
        self.state_contact.is_fresh(now)
    }

    /// Whether the state has been read since this controller last stood still.
    pub(crate) fn caught_up(&self) -> bool {
        self.state_contact.caught_up()
    }

    /// The state lease in use.
    pub fn lease_id(&self) -> Option<u64> {
        self.lease_id
    }
}
