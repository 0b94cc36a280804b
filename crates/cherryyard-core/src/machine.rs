//! One machine as its shard's owner sees it.

mod images;
mod messages;
mod proofs;
mod state;
mod tasks;

use crate::Millis;
use crate::reachability::{Reachability, ReachabilityEvent};
use cherryyard_wire::cloud::{Instance, MachineType};
use cherryyard_wire::worker::WorkerHeartbeat;
pub use images::{Image, ImageState};
pub use messages::Freshness;
pub use state::{MachineEvent, MachineState};
use std::collections::{BTreeMap, BTreeSet};
pub use tasks::{PushedStart, ReportedTask, Task};

/// How long after the time that was announced a reclaimed machine counts as taken.
const TAKEN_MS: f64 = 1000.0;
/// Least time before it is taken at which something is still started on a machine.
const LAST_START_MS: f64 = 60_000.0;
/// Messages in a row older than one before them after which a machine is queried.
const STALE_BEFORE_QUERY: u32 = 2;
/// Time between two queries after such messages: of a worker that has restarted, and of others.
const RESTARTED_QUERY_MS: f64 = 300.0;
const STALE_QUERY_MS: f64 = 1000.0;

/// One machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its index among machine names.
    pub host: u32,
    /// Where it takes direct commands.
    pub addr: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Its shard.
    pub shard: usize,
    /// Where it stands.
    pub state: MachineState,
    /// Incarnation and sequence number of the newest message.
    pub newest: (u64, u64),
    /// The token in the newest message.
    pub token: u64,
    /// The owner's token when the newest message came; 0 before any.
    pub confirmed_token: u64,
    /// Its tasks in the newest message.
    pub reported: BTreeMap<Task, ReportedTask>,
    /// The same as the message listed it, to compare the next with.
    last_reported: Vec<(Task, ReportedTask)>,
    /// Since when its tasks have been seen to run, by attempt.
    pub runs: BTreeMap<Task, (u64, Millis)>,
    /// Whether its lease has run out with nobody but us able to renew it.
    pub lease_over: bool,
    /// When it will be taken away, if it has said so.
    pub reclaim_at: Option<Millis>,
    /// When a message last came.
    pub last_heard_at: Millis,
    /// When a heartbeat of it was last answered 200.
    pub answered_at: Millis,
    /// Whether what we send it arrives.
    pub reachability: Reachability,
    /// When it became unreachable: its incarnation, and the last attempt up to then. Whatever
    /// was assigned here before and is not there is given up, also if it is reachable again.
    pub(crate) given_up: (u64, u64),
    /// When it was last queried, and what was the newest message then.
    pub(crate) queried: (Millis, (u64, u64)),
    /// Whether a query is under way.
    pub(crate) query_pending: bool,
    /// Messages in a row that were older than one before them.
    pub(crate) stale_in_a_row: u32,
    /// Attempts up to this one are from before the worker's last restart within a lease.
    pub(crate) restarted_after: u64,
    /// It has restarted under our present token. Copies of messages from before may
    /// still come, and would look newer than its own: only its direct answers count.
    pub(crate) has_restarted: bool,
    /// Starts sent directly whose outcome is not known.
    pub pushed: Vec<PushedStart>,
    /// Starts in the answer to the newest heartbeat.
    pub offered: Vec<(Task, u64)>,
    /// Whether a direct command is under way.
    pub pushing: bool,
    /// No direct command before this time.
    pub push_after: Millis,
    /// Images it has or fetches, the most recently used last.
    pub images: Vec<Image>,
    /// Not used for new tasks before this time, after failures.
    pub avoid_until: Millis,
    /// Failures without a completion in between of jobs that complete elsewhere.
    pub failures: u32,
    /// Jobs that have failed here and have yet to complete anything: they or the
    /// machine may be at fault.
    pub(crate) suspected: BTreeSet<u64>,
    /// When it last had a task.
    pub busy_at: Millis,
    /// When it may be released again after a failed try.
    pub release_after: Millis,
    /// When we first heard of it.
    pub since: Millis,
}

impl Machine {
    /// A machine of which nothing is known but what `heartbeat` says it is.
    pub fn new(host: u32, shard: usize, heartbeat: &WorkerHeartbeat, now: Millis) -> Self {
        Self {
            host,
            addr: heartbeat.addr.clone(),
            machine_type: heartbeat.machine_type.clone(),
            zone: heartbeat.zone.clone(),
            spot: heartbeat.spot,
            shard,
            state: MachineState::Unconfirmed,
            newest: (0, 0),
            token: 0,
            confirmed_token: 0,
            reported: BTreeMap::new(),
            last_reported: Vec::new(),
            runs: BTreeMap::new(),
            lease_over: false,
            reclaim_at: None,
            last_heard_at: now,
            answered_at: now,
            reachability: Reachability::Reachable(0),
            given_up: (0, 0),
            queried: (f64::NEG_INFINITY, (0, 0)),
            query_pending: false,
            stale_in_a_row: 0,
            restarted_after: 0,
            has_restarted: false,
            pushed: Vec::new(),
            offered: Vec::new(),
            pushing: false,
            push_after: now,
            images: Vec::new(),
            avoid_until: 0.0,
            failures: 0,
            suspected: BTreeSet::new(),
            busy_at: now,
            release_after: now,
            since: now,
        }
    }

    /// A machine that has not reported, as the cloud lists it.
    pub fn unheard(host: u32, shard: usize, entry: &Instance, now: Millis) -> Self {
        let heartbeat = WorkerHeartbeat {
            host: entry.id.clone(),
            addr: entry.addr.clone(),
            machine_type: entry.machine_type.clone(),
            zone: entry.zone.clone(),
            spot: entry.spot,
            incarnation: 0,
            sequence: 0,
            fencing_token: 0,
            reclaim_in_s: None,
            tasks: Vec::new(),
        };
        Self::new(host, shard, &heartbeat, now)
    }

    /// Its type among those of the cloud, if it is known.
    pub(crate) fn type_in<'a>(&self, machine_types: &'a [MachineType]) -> Option<&'a MachineType> {
        machine_types.iter().find(|t| t.sku == self.machine_type)
    }

    /// The one place where a machine's state changes.
    pub fn change(&mut self, event: MachineEvent) {
        match event {
            MachineEvent::LeaseOver => self.lease_over = self.shows_our_token(),
            MachineEvent::Confirmed => self.lease_over = false,
            MachineEvent::TokenChanged => {
                self.lease_over = false;
                self.confirmed_token = 0;
                // No copy of an earlier message shows the new one.
                self.has_restarted = false;
            }
            MachineEvent::ReleaseAsked | MachineEvent::ReleaseFailed | MachineEvent::Released => {}
        }
        self.state = self.state.after(event);
    }

    /// The one place where its reachability changes.
    pub(crate) fn note_reachability(&mut self, event: ReachabilityEvent, now: Millis) {
        let after = self.reachability.after(event, now);
        match (self.reachability, after) {
            (Reachability::Doubted(_), Reachability::Unreachable(_)) => {
                tracing::info!(machine = %self.addr, "machine reports but is unreachable");
            }
            (Reachability::Unreachable(since), Reachability::Reachable(_)) => {
                tracing::info!(machine = %self.addr, after_ms = now - since, "machine reachable again");
            }
            _ => {}
        }
        self.reachability = after;
    }

    /// Whether it is to be queried now. One that has been silent for `lost_ms` is not.
    pub(crate) fn query_due(&self, lost_ms: f64, now: Millis) -> bool {
        let since = now - self.queried.0;
        let interval = self.reachability.query_interval_ms();
        let is_doubted = interval.is_some_and(|interval| since >= interval)
            && now - self.last_heard_at < lost_ms;
        // A copy that came late, or a worker that has restarted: only it can tell.
        let stale_interval = if self.has_restarted {
            RESTARTED_QUERY_MS
        } else {
            STALE_QUERY_MS
        };
        let is_stale = self.stale_in_a_row >= STALE_BEFORE_QUERY && since >= stale_interval;
        !self.query_pending
            && (is_doubted || is_stale)
            && matches!(
                self.state,
                MachineState::Unconfirmed | MachineState::Ready | MachineState::Expired
            )
    }

    /// Has its worker queried as soon as that is possible.
    pub(crate) fn request_query(&mut self) {
        self.stale_in_a_row = self.stale_in_a_row.max(STALE_BEFORE_QUERY);
    }

    /// Whether the cloud takes the machine so soon that nothing more is started there.
    pub fn is_reclaimed_soon(&self, now: Millis) -> bool {
        self.reclaim_at.is_some_and(|at| at - now <= LAST_START_MS)
    }

    /// Whether the cloud has said it would take the machine by now, and nothing
    /// has been heard of it for longer than a heartbeat takes.
    pub fn is_taken_by_now(&self, now: Millis, silence_ms: f64) -> bool {
        self.reclaim_at.is_some_and(|at| now > at + TAKEN_MS)
            && now - self.last_heard_at > silence_ms
    }

    /// Whether new tasks may be placed here.
    pub fn usable(&self, now: Millis, silence_ms: f64) -> bool {
        self.state == MachineState::Ready
            && self.reachability.is_reachable()
            && self.reclaim_at.is_none()
            && now - self.last_heard_at <= silence_ms
            && now >= self.avoid_until
    }
}
