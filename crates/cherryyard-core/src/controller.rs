//! One controller: leases, reports, heartbeats, and what ties the rest together.

use crate::admission::demand::Demand;
use crate::admission::entitlements::Entitlements;
use crate::admission::intake::Intake;
use crate::cancelled::Cancelled;
use crate::effects::{Effect, Outcome, Ticket};
use crate::event_loop_lag::EventLoopLag;
use crate::leader::state::Leader;
use crate::machine::{Machine, MachineEvent, MachineState};
use crate::owner::state::Shard;
use crate::peers::{MisdirectedWorker, PeerFormat, PeerState};
use crate::shard_lease::{ShardLease, ShardLeaseEvent};
use crate::token_bucket::TokenBucket;
use crate::{Config, Millis, Mirror};
use cherryyard_wire::cloud::{Instance, MachineType};
use cherryyard_wire::record::Key;
use cherryyard_wire::state::{Commit, WatchResponse};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// Silence after which a machine that is not there any more is forgotten: by then
/// no packet of it is held back.
const FORGET_MS: f64 = 600_000.0;
/// Longer gaps between two events mean that this controller stood still: there is
/// a tick every tenth of a second.
const STOOD_STILL_MS: f64 = 2000.0;

/// One controller.
#[derive(Debug)]
pub struct Controller {
    /// What it was configured with.
    pub config: Config,
    /// This process's number, among all that have run under its name.
    pub(crate) process: u64,
    /// What the state service holds.
    pub mirror: Mirror,
    pub(crate) shards: Vec<Shard>,
    pub(crate) machines: BTreeMap<u32, Machine>,
    pub(crate) leader: Leader,
    pub(crate) peers: Vec<Option<PeerState>>,
    /// What the other controllers' builds can work with, as they say in frames; earlier
    /// builds say nothing.
    pub(crate) peer_formats: Vec<Option<PeerFormat>>,
    /// When the connection to each other controller was last to be made anew.
    pub(crate) reconnected_at: Vec<Millis>,
    pub(crate) lease_id: Option<u64>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) rng: StdRng,
    /// When a request was sent that the state service has answered.
    pub(crate) state_ok_at: Millis,
    /// When an answer of the state service last came.
    pub(crate) state_answered_at: Millis,
    /// When the newest read of the state was sent.
    pub(crate) state_read_at: Millis,
    pub(crate) started_at: Millis,
    pub(crate) reported_at: Millis,
    pub(crate) capacity_changed: bool,
    pub(crate) machine_types_from_cloud: Option<Vec<MachineType>>,
    pub(crate) listed: HashMap<String, Instance>,
    pub(crate) listed_at: Millis,
    /// How far behind this controller is with what waits for it.
    pub(crate) lag: EventLoopLag,
    /// The newest revision known, from the mirror or from our own transactions.
    pub(crate) newest_revision: u64,
    /// The time of the event at hand.
    pub(crate) clock: Millis,
    /// When this controller last started, or went on after it had stood still.
    pub(crate) woke_at: Millis,
    /// Workers of others' shards that reported here, by shard and machine.
    pub(crate) misdirected: BTreeMap<(usize, u32), MisdirectedWorker>,
    /// Whether the log says that further ones are not counted.
    pub(crate) misdirected_full_logged: bool,
    /// Users' writes that this controller may make.
    pub(crate) user_write_budget: TokenBucket,
    /// Machines whose assignments scheduling cycles have looked at so far: what scheduling cycles cost.
    pub inspected_machines: u64,
    /// Waiting jobs that scheduling cycles have looked at so far.
    pub inspected_jobs: u64,
    /// Cancellations that are told and were told.
    pub(crate) cancelled: Cancelled,
    /// Floors, and rights by them.
    pub(crate) entitlements: Entitlements,
    /// Submissions on their way into the state service.
    pub(crate) intake: Intake,
    /// What has become of submissions here.
    pub(crate) demand: Demand,
    /// Whether accounts of core-seconds are kept.
    pub accounting: bool,
    /// Time of day less steady clock, in milliseconds.
    pub wall_offset: f64,
}

impl Controller {
    /// A controller that has just started.
    pub fn new(config: Config, seed: u64, now: Millis) -> Self {
        let mirror = Mirror::new(&config);
        let shards = (0..config.shards())
            .map(|_| Shard::new(config.cycle_writes_per_s, now))
            .collect();
        let peers = vec![None; config.shards()];
        let number = StdRng::seed_from_u64(seed).random();
        let rng = StdRng::seed_from_u64(seed);
        Self {
            leader: Leader::new(&config, now),
            mirror,
            shards,
            machines: BTreeMap::new(),
            reconnected_at: vec![now; peers.len()],
            peer_formats: vec![None; peers.len()],
            peers,
            lease_id: None,
            effects: Vec::new(),
            rng,
            state_ok_at: f64::NEG_INFINITY,
            state_answered_at: f64::NEG_INFINITY,
            state_read_at: f64::NEG_INFINITY,
            started_at: now,
            reported_at: f64::NEG_INFINITY,
            capacity_changed: false,
            machine_types_from_cloud: None,
            listed: HashMap::new(),
            listed_at: f64::NEG_INFINITY,
            lag: EventLoopLag::new(now),
            newest_revision: 0,
            clock: now,
            woke_at: now,
            misdirected: BTreeMap::new(),
            misdirected_full_logged: false,
            user_write_budget: TokenBucket::new(
                config.user_writes_per_s / config.shards() as f64,
                now,
            ),
            inspected_machines: 0,
            inspected_jobs: 0,
            cancelled: Cancelled::new(now),
            entitlements: Entitlements::new(number),
            process: number,
            intake: Intake::new(&config, now),
            demand: Demand::new(),
            accounting: config.tuning.account || tracing::enabled!(tracing::Level::DEBUG),
            wall_offset: 0.0,
            config,
        }
    }

    /// What the core wants done since the last call.
    pub fn effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Notes the time of an event. After a gap all timers are due at once and all
    /// that is known is old: nothing is decided before a read of the state that
    /// was sent since, or a controller that stood still for a minute took all its
    /// machines for silent, and shards long lost for its own.
    pub(crate) fn notice(&mut self, now: Millis) {
        if now - self.clock > STOOD_STILL_MS {
            tracing::info!(ms = now - self.clock, "stood still");
            self.woke_at = now;
            self.lag.stood_still(now);
            self.effects.push(Effect::Refresh);
        }
        self.clock = self.clock.max(now);
    }

    /// Whether the state has been read since this controller last stood still.
    pub(crate) fn caught_up(&self) -> bool {
        self.state_read_at >= self.woke_at
    }

    /// Ends a full read of the state whose first page was asked for at `sent_at`
    /// and described revision `store_revision`. Its pieces went to the mirror before: a
    /// long read must not keep reports waiting.
    pub fn loaded(&mut self, store_revision: u64, sent_at: Millis, now: Millis) {
        self.notice(now);
        self.mirror.end_load(store_revision);
        self.after_state(sent_at, now);
    }

    /// Takes what a watch or barrier told; its request was sent at `sent_at`.
    pub fn events(&mut self, events: &WatchResponse, sent_at: Millis, now: Millis) {
        self.notice(now);
        let changed = !events.events.is_empty();
        self.mirror.events(events);
        self.state_answered(sent_at, now);
        self.state_read_at = self.state_read_at.max(sent_at);
        if changed {
            self.after_state(sent_at, now);
        }
    }

    fn after_state(&mut self, sent_at: Millis, now: Millis) {
        self.state_answered(sent_at, now);
        self.state_read_at = self.state_read_at.max(sent_at);
        for text in self.mirror.take_record_errors() {
            tracing::warn!("ignored a bad record in the state service: {text}");
        }
        self.check_leases();
        for shard in &mut self.shards {
            shard.dirty = true;
        }
        self.leader.dirty = true;
        self.run(now);
    }

    fn check_leases(&mut self) {
        self.adopt_own_leases();
        for shard_id in 0..self.shards.len() {
            if let ShardLease::Held(token) | ShardLease::Superseded(token) =
                self.shards[shard_id].lease
                && self.mirror.revision(Key::Shard(shard_id)) != token
            {
                tracing::info!(shard = shard_id, token, "lost the claim on a part");
                self.change_shard_lease(shard_id, ShardLeaseEvent::Lost);
            }
        }
        self.leader.check_leadership(&self.mirror);
    }

    /// The one place through which a shard's standing changes.
    pub(crate) fn change_shard_lease(&mut self, shard_id: usize, event: ShardLeaseEvent) {
        let before = self.shards[shard_id].lease;
        let after = before.after(event);
        if before == after {
            return;
        }
        self.shards[shard_id].lease = after;
        match after {
            ShardLease::NotHeld => {
                self.machines.retain(|_, m| m.shard != shard_id);
                self.shards[shard_id].clear();
            }
            ShardLease::Held(token) => {
                tracing::info!(shard = shard_id, token, "own a part");
                self.shards[shard_id].dirty = true;
                self.shards[shard_id].owned_since = self.clock;
                if !matches!(before, ShardLease::Held(_)) {
                    self.shards[shard_id].held_since = self.clock;
                }
                self.queue_all(shard_id, self.clock);
                self.capacity_changed = true;
                for m in self.machines.values_mut().filter(|m| m.shard == shard_id) {
                    m.change(MachineEvent::TokenChanged);
                }
                self.effects.push(Effect::Heartbeat);
            }
            ShardLease::Acquiring | ShardLease::Superseded(_) => {}
        }
    }

    /// Notes that the state service has answered a request sent at `sent_at`.
    pub fn state_answered(&mut self, sent_at: Millis, now: Millis) {
        self.state_ok_at = self.state_ok_at.max(sent_at);
        self.state_answered_at = self.state_answered_at.max(now);
    }

    /// Takes the state lease under which leases are made, or its loss.
    pub fn state_lease_changed(&mut self, lease_id: Option<u64>, now: Millis) {
        self.notice(now);
        self.lease_id = lease_id;
        self.run(now);
    }

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

    /// Whether the state service has answered lately.
    pub fn state_fresh(&self, now: Millis) -> bool {
        now - self.state_ok_at <= 3000.0 && self.caught_up()
    }

    /// Whether this controller can take requests: it holds a first read, and
    /// either the state service answers it, or it answers nobody.
    pub fn ready(&self, now: Millis) -> bool {
        self.mirror.loaded
            && !self.mirror.catalog.machine_types.is_empty()
            && (self.state_fresh(now) || self.all_cut_off(now))
    }

    /// The shard's token, if this controller owns it beyond doubt.
    pub(crate) fn owned(&self, shard_id: usize) -> Option<u64> {
        match self.shards[shard_id].lease {
            // Before the mirror has caught up with the lease, the last assignments of
            // the owner before may be missing from it.
            ShardLease::Held(token)
                if self.mirror.revision(Key::Shard(shard_id)) == token
                    && self.mirror.store_revision >= token =>
            {
                Some(token)
            }
            _ => None,
        }
    }

    /// Takes how a transaction came out.
    pub fn committed(&mut self, ticket: Ticket, commit: &Commit, outcome: Outcome, now: Millis) {
        self.notice(now);
        if let Outcome::Applied(store_revision) = outcome {
            self.newest_revision = self.newest_revision.max(store_revision);
            self.mirror.committed(commit, store_revision);
        } else {
            if outcome == Outcome::Malformed {
                self.commit_refused_as_malformed(commit);
            }
            tracing::debug!(?ticket, ?outcome, "a transaction was not applied");
            self.effects.push(Effect::Refresh);
        }
        match ticket {
            Ticket::AcquireShard(shard_id) => {
                self.shards[shard_id].acquiring = false;
                match outcome {
                    Outcome::Applied(store_revision) => {
                        self.change_shard_lease(
                            shard_id,
                            ShardLeaseEvent::Acquired(store_revision),
                        );
                    }
                    _ => {
                        self.shards[shard_id].acquire_after = now + self.jitter(200.0, 500.0);
                        self.change_shard_lease(shard_id, ShardLeaseEvent::AcquireFailed);
                    }
                }
            }
            Ticket::OwnerCycle(shard_id) => self.owner_committed(shard_id, outcome, now),
            Ticket::ReleaseShard(shard_id) => {
                self.shards[shard_id].acquiring = false;
                if now < self.shards[shard_id].away_until {
                    self.shards[shard_id].retry_after = now + self.jitter(200.0, 500.0);
                } else if let Outcome::Applied(_) = outcome {
                    let shard = &mut self.shards[shard_id];
                    shard.yields += 1;
                    shard.acquire_after = now + 20_000.0 * f64::from(1u32 << shard.yields.min(3));
                    shard.away_until = shard.acquire_after;
                    self.change_shard_lease(shard_id, ShardLeaseEvent::Lost);
                }
            }
            Ticket::AcquireLeadership => self.leadership_committed(outcome, now),
            Ticket::LeaderCycle => self.leader_committed(outcome, now),
            Ticket::HistoryCompaction => self.compaction_committed(outcome, now),
            Ticket::BulkCreation => self.bulk_creation_committed(outcome, now),
            Ticket::Admission => self.intake_committed(outcome, now),
        }
        if outcome == Outcome::NoLease {
            self.lease_id = None;
        }
        self.run(now);
    }

    pub(crate) fn jitter(&mut self, from: f64, to: f64) -> f64 {
        self.rng.random_range(from..to)
    }

    /// Notes that a task which became due at `due` has had its turn now, behind
    /// all reports and requests that came before.
    pub fn queue_passed(&mut self, due: Millis, now: Millis) {
        self.notice(now);
        self.lag.passed(due, now);
    }

    /// The state lease in use.
    pub fn lease_id(&self) -> Option<u64> {
        self.lease_id
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Millis) {
        self.notice(now);
        self.lag.ticked(now);
        for shard in &mut self.shards {
            if now - shard.planned_at >= 400.0 {
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
        if self.leader.dirty || now - self.leader.planned_at >= 500.0 {
            self.plan_leader(now);
        }
        self.take_in(now);
        self.pack(now);
        self.create(now);
    }

    /// Takes a reading of the cloud's machine list.
    pub fn listed(&mut self, hosts: Vec<Instance>, now: Millis) {
        self.notice(now);
        self.learn_provisioning_times(&hosts);
        self.listed = hosts.into_iter().map(|h| (h.id.clone(), h)).collect();
        self.listed_at = now;
        // Machines long gone are forgotten, unless something still names them:
        // those released, and those that the cloud took (a list shows a machine
        // until it is gone). Of the latter a busy fleet has some hundreds a day.
        let (mirror, listed) = (&self.mirror, &self.listed);
        self.machines.retain(|&host, m| {
            now - m.last_heard_at < FORGET_MS
                || mirror.on_host(host).next().is_some()
                || (m.state != MachineState::Gone && listed.contains_key(mirror.hosts.name(host)))
        });
        self.scale_in_listed(now);
    }

    /// Takes the answer to a release.
    pub fn released(&mut self, hosts: &[String], ok: bool, now: Millis) {
        self.notice(now);
        for name in hosts {
            let Some(host) = self.mirror.hosts.get(name) else {
                continue;
            };
            if let Some(shard) = self.machines.get(&host).map(|m| m.shard) {
                self.shards[shard].dirty = true;
                self.shards[shard].touched.insert(host);
            }
            if let Some(m) = self.machines.get_mut(&host) {
                m.change(if ok {
                    MachineEvent::Released
                } else {
                    MachineEvent::ReleaseFailed
                });
                m.release_after = now + 2000.0;
            }
        }
        self.run(now);
    }
}
