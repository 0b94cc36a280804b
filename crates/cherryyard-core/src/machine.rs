//! State of one machine as its shard's owner sees it.

mod images;
mod messages;
mod proofs;
mod state;
mod tasks;

use crate::Millis;
use crate::reachability::{Reachability, ReachabilityEvent};
use cherryyard_wire::cloud::{Instance, MachineType};
use cherryyard_wire::peer::MachinePool;
use cherryyard_wire::worker::WorkerHeartbeat;
pub use images::{Image, ImageState};
pub use messages::Freshness;
pub use state::{MachineEvent, MachineState, OwnTokens};
use std::collections::{BTreeMap, BTreeSet};
pub use tasks::{ReportedTask, Task};

#[cfg(test)]
mod tests;

/// Time after the announced reclaim at which a machine counts as taken by the cloud.
const RECLAIMED_AFTER_MS: f64 = 1000.0;
/// Minimum time left before a reclaim for starting another task on a machine.
const MIN_LEFT_FOR_START_MS: f64 = 60_000.0;
/// Number of consecutive stale messages, which are older than the newest one, after which a machine
/// is queried.
const STALE_MESSAGES_BEFORE_QUERY: u32 = 2;
/// Minimum time between two queries that follow stale messages: to a worker that has restarted, and
/// to any other.
const RESTARTED_QUERY_MS: f64 = 300.0;
const STALE_QUERY_MS: f64 = 1000.0;

/// A machine with its last report, its lease, and the commands in flight to it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Index of the machine's name in the interned machine names.
    pub host: u32,
    /// Address at which the worker accepts direct commands and status queries.
    pub addr: String,
    /// Type and zone of the machine, and whether it is a spot machine; `None` as long as neither a
    /// message of the machine nor the cloud's list has told them.
    pub pool: Option<MachinePool>,
    /// Index of the shard that the machine belongs to.
    pub shard: usize,
    /// Lifecycle state under the current owner.
    pub state: MachineState,
    /// Incarnation and sequence number of the newest message.
    pub newest: (u64, u64),
    /// Fencing token in the newest message.
    pub token: u64,
    /// Whether the newest message shows a token of the owner's present holding of the shard's lease.
    is_confirmed: bool,
    /// First token of the owner's holding of the lease when the newest message arrived; 0 before the
    /// first message and after a change of the owner.
    answered_under: u64,
    /// Tasks in the newest message.
    pub reported: BTreeMap<Task, ReportedTask>,
    /// Tasks of the newest message in their original order, for comparison with the next message.
    last_reported: Vec<(Task, ReportedTask)>,
    /// Running attempt of each task, and the time at which it was first seen running.
    pub runs: BTreeMap<Task, (u64, Millis)>,
    /// Whether the machine's lease has expired while only this owner could have renewed it.
    pub lease_over: bool,
    /// Time at which the cloud will reclaim the machine, if the machine has announced one.
    pub reclaim_at: Option<Millis>,
    /// Time at which the newest message arrived, or the last heartbeat if the worker has restarted.
    pub last_heard_at: Millis,
    /// Time at which the newest heartbeat arrived, at the latest `last_heard_at`. Direct answers do
    /// not count: only the answer to a heartbeat can carry a start.
    pub heartbeat_at: Millis,
    /// Time until which the next heartbeat is expected without a request for it, because the worker
    /// has yet to report a change.
    pub(crate) heartbeat_awaited_until: Millis,
    /// Time from which the machine's lease is counted: that of the last answer to one of its
    /// heartbeats, or of the first message from a newer incarnation or a restarted worker.
    pub answered_at: Millis,
    /// State of knowledge on whether messages to the machine arrive.
    pub reachability: Reachability,
    /// Incarnation in which the machine last became unreachable, and the highest attempt up to
    /// then. Assignments up to these that are not on the machine are abandoned, even if the machine
    /// becomes reachable again.
    pub(crate) abandoned_up_to: (u64, u64),
    /// Time of the last query, and the newest message known when it was sent.
    pub(crate) last_query: (Millis, (u64, u64)),
    /// Whether a query is in flight.
    pub(crate) query_pending: bool,
    /// Number of consecutive messages that were older than the newest one.
    pub(crate) consecutive_stale: u32,
    /// Highest attempt from before the worker's last restart within a lease; 0 if there was none.
    pub(crate) last_attempt_before_restart: u64,
    /// The owner's token when it noticed that the worker had restarted under it. Delayed copies of
    /// messages from before the restart may still arrive and would look newer than the worker's new
    /// messages, so heartbeats that do not show a higher token are not evaluated; direct answers are.
    pub(crate) restarted_under: Option<u64>,
    /// Task and attempt of the starts in the answer to the newest heartbeat.
    pub offered_starts: Vec<(Task, u64)>,
    /// Whether a direct command is in flight.
    pub pushing: bool,
    /// Time before which no direct command is sent.
    pub push_after: Millis,
    /// Images that the machine holds or fetches, in order of use with the most recently used last.
    pub images: Vec<Image>,
    /// Time until which no new tasks are placed on the machine, because tasks have failed on it.
    pub avoid_until: Millis,
    /// Number of failures since the last completed task, of jobs that complete on other machines.
    pub failures: u32,
    /// Jobs that have failed on this machine and have not completed any task yet: either the job or
    /// the machine may be at fault.
    pub(crate) unattributed_jobs: BTreeSet<u64>,
    /// Time at which the machine last had a task.
    pub busy_at: Millis,
    /// Time before which no release of the machine is requested again.
    pub release_after: Millis,
    /// Time at which this controller first learned of the machine.
    pub first_seen_at: Millis,
}

impl Machine {
    /// Creates a machine with the identity that `heartbeat` gives and no other known state.
    pub fn new(host: u32, shard: usize, heartbeat: &WorkerHeartbeat, now: Millis) -> Self {
        Self {
            addr: heartbeat.addr.clone(),
            pool: Some(heartbeat.pool()),
            ..Self::of_unknown_pool(host, shard, now)
        }
    }

    /// Creates a machine that has not reported, from its entry in the cloud's list.
    pub fn from_listing(host: u32, shard: usize, entry: &Instance, now: Millis) -> Self {
        Self {
            addr: entry.addr.clone(),
            pool: Some(entry.pool()),
            ..Self::of_unknown_pool(host, shard, now)
        }
    }

    /// Creates a machine of which only the name and the shard are known.
    pub fn of_unknown_pool(host: u32, shard: usize, now: Millis) -> Self {
        Self {
            host,
            addr: String::new(),
            pool: None,
            shard,
            state: MachineState::Unconfirmed,
            newest: (0, 0),
            token: 0,
            is_confirmed: false,
            answered_under: 0,
            reported: BTreeMap::new(),
            last_reported: Vec::new(),
            runs: BTreeMap::new(),
            lease_over: false,
            reclaim_at: None,
            last_heard_at: now,
            heartbeat_at: now,
            heartbeat_awaited_until: now,
            answered_at: now,
            reachability: Reachability::Reachable(0),
            abandoned_up_to: (0, 0),
            last_query: (f64::NEG_INFINITY, (0, 0)),
            query_pending: false,
            consecutive_stale: 0,
            last_attempt_before_restart: 0,
            restarted_under: None,
            offered_starts: Vec::new(),
            pushing: false,
            push_after: now,
            images: Vec::new(),
            avoid_until: 0.0,
            failures: 0,
            unattributed_jobs: BTreeSet::new(),
            busy_at: now,
            release_after: now,
            first_seen_at: now,
        }
    }

    /// Returns the machine's type among `machine_types`, if it is known and listed there.
    pub(crate) fn type_in<'a>(&self, machine_types: &'a [MachineType]) -> Option<&'a MachineType> {
        let pool = self.pool.as_ref()?;
        machine_types.iter().find(|t| t.sku == pool.machine_type)
    }

    /// Returns the zone of the machine, if it is known.
    pub(crate) fn zone(&self) -> Option<&str> {
        self.pool.as_ref().map(|pool| pool.zone.as_str())
    }

    /// Applies an event to the machine's state. No other function changes the state.
    pub fn change(&mut self, event: MachineEvent) {
        match event {
            MachineEvent::LeaseExpired => self.lease_over = self.shows_own_token(),
            MachineEvent::Confirmed => self.lease_over = false,
            MachineEvent::TokenChanged => {
                self.lease_over = false;
                self.is_confirmed = false;
                self.answered_under = 0;
                // Messages sent before this change carry older tokens, so delayed copies of them
                // cannot be mistaken for messages under the new token.
                self.restarted_under = None;
            }
            MachineEvent::ReleaseRequested
            | MachineEvent::ReleaseFailed
            | MachineEvent::Released => {}
        }
        self.state = self.state.after(event);
    }

    /// Applies an event to the machine's reachability. No other function changes the reachability.
    pub(crate) fn note_reachability(&mut self, event: ReachabilityEvent, now: Millis) {
        let after = self.reachability.after(event, now);
        match (self.reachability, after) {
            (Reachability::Suspected(_), Reachability::Unreachable(_)) => {
                tracing::info!(machine = %self.addr, "machine reports but is unreachable");
            }
            (Reachability::Unreachable(since), Reachability::Reachable(_)) => {
                tracing::info!(machine = %self.addr, after_ms = now - since, "machine reachable again");
            }
            _ => {}
        }
        self.reachability = after;
    }

    /// Gives up the assignments up to this attempt in the newest incarnation that are not on the
    /// machine and not on their way.
    pub(crate) fn abandon_up_to(&mut self, attempt: u64) {
        self.abandoned_up_to = (self.newest.0, attempt);
    }

    /// Returns whether a query to the machine is due, because the machine may be unreachable or
    /// because stale messages have arrived. The first reason no longer applies once the machine has
    /// been silent for `silence_limit_ms`.
    pub(crate) fn query_due(&self, silence_limit_ms: f64, now: Millis) -> bool {
        let since = now - self.last_query.0;
        let interval = self.reachability.query_interval_ms();
        let is_suspected = interval.is_some_and(|interval| since >= interval)
            && now - self.last_heard_at < silence_limit_ms;
        // Stale messages are either delayed copies or come from a worker that has restarted; only a
        // direct answer of the worker distinguishes the two.
        let stale_interval = if self.may_precede_restart(self.token) {
            RESTARTED_QUERY_MS
        } else {
            STALE_QUERY_MS
        };
        let is_stale =
            self.consecutive_stale >= STALE_MESSAGES_BEFORE_QUERY && since >= stale_interval;
        !self.query_pending
            && (is_suspected || is_stale)
            && matches!(
                self.state,
                MachineState::Unconfirmed | MachineState::Ready | MachineState::Expired
            )
    }

    /// Returns whether a message that shows `token` may be from before the worker's restart.
    pub(crate) fn may_precede_restart(&self, token: u64) -> bool {
        self.restarted_under
            .is_some_and(|restarted_under| token <= restarted_under)
    }

    /// Makes a query to the worker due as soon as the minimum time since the last query has passed.
    pub(crate) fn request_query(&mut self) {
        self.consecutive_stale = self.consecutive_stale.max(STALE_MESSAGES_BEFORE_QUERY);
    }

    /// Returns whether the cloud reclaims the machine so soon that no task is started on it.
    pub fn is_reclaimed_soon(&self, now: Millis) -> bool {
        self.reclaim_at
            .is_some_and(|at| at - now <= MIN_LEFT_FOR_START_MS)
    }

    /// Returns whether the machine counts as taken by the cloud after its announced reclaim, and no
    /// message has arrived for longer than `silence_ms`.
    pub fn is_past_reclaim(&self, now: Millis, silence_ms: f64) -> bool {
        self.reclaim_at
            .is_some_and(|at| now > at + RECLAIMED_AFTER_MS)
            && now - self.last_heard_at > silence_ms
    }

    /// Returns whether new tasks may be placed on the machine.
    pub fn is_usable(&self, now: Millis, silence_ms: f64) -> bool {
        self.state == MachineState::Ready
            && self.reachability.is_reachable()
            && self.reclaim_at.is_none()
            && now - self.heartbeat_at <= silence_ms
            && now >= self.avoid_until
    }
}
