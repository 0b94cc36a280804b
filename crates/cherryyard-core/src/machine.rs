//! One machine as its shard's owner sees it.

use crate::Millis;
use crate::reachability::{Reachability, ReachabilityEvent};
use cherryyard_wire::cloud::Instance;
use cherryyard_wire::worker::{
    ExitCause, TaskReport, TaskStatus, WorkerHeartbeat, parse_task_name,
};
use std::collections::{BTreeMap, BTreeSet};

/// How long after the time it was last_reported a recalled machine counts as taken.
const TAKEN_MS: f64 = 1000.0;
/// Least time before it is taken at which something is still started on a machine.
const LAST_START_MS: f64 = 60_000.0;

/// A task: its job's number and its own.
pub type Task = (u64, u32);

/// Where a machine stands with its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Has not reported under our token: nothing is known of it that counts.
    Unconfirmed,
    /// Reports under our token.
    Ready,
    /// Its last answered report is older than its lease: its tasks are gone.
    Expired,
    /// A release has been asked for.
    Returning,
    /// The cloud has answered the release: it and all on it are gone.
    Gone,
}

/// What moves a machine from one state to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineEvent {
    /// A report that carries our token.
    Confirmed,
    /// Its lease has run out.
    LeaseOver,
    /// We have asked the cloud to take it back.
    ReleaseAsked,
    /// The cloud has refused or not answered.
    ReleaseFailed,
    /// The cloud has answered 200.
    Released,
    /// Our token has changed, so nothing reported under the old one counts.
    TokenChanged,
}

/// A task as a worker last reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedTask {
    /// The attempt.
    pub attempt: u64,
    /// Its state.
    pub status: TaskStatus,
    /// Why it ended.
    pub cause: Option<ExitCause>,
}

impl ReportedTask {
    fn of(reported: &TaskReport) -> Self {
        Self {
            attempt: reported.attempt,
            status: reported.status,
            cause: reported.cause,
        }
    }

    /// Whether the task is over.
    pub fn ended(&self) -> bool {
        self.status == TaskStatus::Ended
    }
}

/// What a message last_reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Nothing: a newer one came before it.
    Old,
    /// That all is as before.
    Same,
    /// Something else than the one before.
    New,
}

/// A start that was sent directly and may yet take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PushedStart {
    /// The task.
    pub task: Task,
    /// The attempt.
    pub attempt: u64,
    /// The incarnation it was sent to, and under which token.
    pub incarnation: u64,
    /// See `incarnation`.
    pub token: u64,
    /// Whether its answer was lost. It may arrive at any later time, also after the same
    /// start was sent again and answered.
    pub lost: bool,
}

/// An image on a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct Image {
    /// Its name.
    pub name: String,
    /// Its size.
    pub gb: f64,
    /// Whether it is there, not on its way.
    pub whole: bool,
}

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
    /// Its part.
    pub shard: usize,
    /// Where it stands.
    pub state: MachineState,
    /// Session and sequence number of the newest message.
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
    /// When a report of it was last answered 200.
    pub answered_at: Millis,
    /// Whether what we send it arrives.
    pub reachability: Reachability,
    /// When it became unreachable: its incarnation, and the last attempt up to then. Whatever
    /// was assigned here before and is not there is given up, also if it hears again.
    pub(crate) given_up: (u64, u64),
    /// When it was last asked directly, and what was the newest message then.
    pub(crate) queried: (Millis, (u64, u64)),
    /// Whether a question is under way.
    pub(crate) query_pending: bool,
    /// Reports in a row that were older than one before them.
    pub(crate) old_in_a_row: u32,
    /// Attempts up to this one are of a life before: the worker began anew.
    pub(crate) born_after: u64,
    /// It began anew under our present token. Copies of reports of its life before may
    /// still come, and would look newer than its own: only its direct answers count.
    pub(crate) anew: bool,
    /// Starts sent directly whose task_outcome is not known.
    pub pushed: Vec<PushedStart>,
    /// Starts in the answer to the newest report.
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
    /// A machine of which nothing is known but what `report` says it is.
    pub fn new(host: u32, shard: usize, report: &WorkerHeartbeat, now: Millis) -> Self {
        Self {
            host,
            addr: report.addr.clone(),
            machine_type: report.machine_type.clone(),
            zone: report.zone.clone(),
            spot: report.spot,
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
            old_in_a_row: 0,
            born_after: 0,
            anew: false,
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
        let report = WorkerHeartbeat {
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
        Self::new(host, shard, &report, now)
    }

    /// The one place where a machine's state changes.
    pub fn change(&mut self, event: MachineEvent) {
        use MachineEvent::*;
        use MachineState::*;
        match event {
            LeaseOver => self.lease_over = self.token_ours(),
            Confirmed | TokenChanged => self.lease_over = false,
            _ => {}
        }
        if event == TokenChanged {
            self.confirmed_token = 0;
            // No copy shows the new one.
            self.anew = false;
        }
        self.state = match (self.state, event) {
            (Gone, _) | (_, Released) => Gone,
            (_, ReleaseAsked) => Returning,
            // Never back to Ready by itself: the release may yet take effect.
            (Returning, Confirmed | LeaseOver | ReleaseFailed) => Returning,
            (Returning, TokenChanged) => Returning,
            (_, TokenChanged) => Unconfirmed,
            (_, Confirmed) => Ready,
            (Ready | Expired, LeaseOver) => Expired,
            // Silence of a machine that has never shown our token proves
            // nothing: its old owner may still be answering it.
            (Unconfirmed, LeaseOver) => Unconfirmed,
            (state, ReleaseFailed) => state,
        };
    }

    /// Takes a message if it is newer than what is known; says what it last_reported.
    ///
    /// Most reports tell that all is as before: they are compared, and leave
    /// the list of tasks as it is (a fifth of all processor time, before).
    pub fn hear(&mut self, report: &WorkerHeartbeat, own_token: u64, now: Millis) -> Freshness {
        let order = (report.incarnation, report.sequence);
        if order <= self.newest {
            self.old_in_a_row += 1;
            return Freshness::Old;
        }
        self.old_in_a_row = 0;
        if self.reports_the_same(report, own_token) {
            self.newest = order;
            self.last_heard_at = now;
            if !self.reported.is_empty() {
                self.busy_at = now;
            }
            return Freshness::Same;
        }
        if report.incarnation > self.newest.0 || report.fencing_token > self.token {
            // Direct commands to an older incarnation, or under a lower token than
            // the worker has seen, can no longer take effect.
            // (One that began anew comes from token 0 to the one that they were sent under.)
            let (incarnation, token) = (report.incarnation, report.fencing_token);
            self.pushed
                .retain(|p| p.incarnation >= incarnation && p.token >= token);
        }
        if report.fencing_token == own_token && self.token < own_token {
            self.reached(ReachabilityEvent::Reflected, now);
        } else if report.fencing_token < own_token && self.confirmed_token == own_token {
            // The last one was answered with our token.
            self.reached(ReachabilityEvent::Missed, now);
        } else if report.incarnation > self.newest.0 && self.newest.0 > 0 {
            self.reached(ReachabilityEvent::NewSession, now);
        }
        if report.incarnation > self.newest.0 {
            // A incarnation has its whole lease from when it began, which was at the latest
            // now: a direct answer last_reported of it though no report was answered for long, and
            // what was then started there was taken for lost at once, by the lease before.
            self.answered_at = now;
        }
        self.newest = order;
        self.take(report, own_token, now);
        Freshness::New
    }

    /// Takes over what a message tells.
    pub(crate) fn take(&mut self, report: &WorkerHeartbeat, own_token: u64, now: Millis) {
        self.token = report.fencing_token;
        self.confirmed_token = own_token;
        self.last_heard_at = now;
        self.addr.clone_from(&report.addr);
        // Only ever nearer: an assignment that a late transaction takes back for it must not be
        // started again meanwhile.
        let reclaim_at = report.reclaim_in_s.map(|s| now + s.max(0.0) * 1000.0);
        self.reclaim_at = match (reclaim_at, self.reclaim_at) {
            (Some(new), Some(old)) => Some(new.min(old)),
            (new, _) => new,
        };
        self.reported.clear();
        self.last_reported.clear();
        for reported in &report.tasks {
            if let Some(task) = parse_task_name(&reported.task_name) {
                let reported = ReportedTask::of(reported);
                self.last_reported.push((task, reported));
                // The same task twice: the one still there counts.
                let place = self.reported.entry(task).or_insert(reported);
                if place.ended() {
                    *place = reported;
                }
            }
        }
        self.note_runs(now);
        if !self.reported.is_empty() {
            self.busy_at = now;
        }
        if report.fencing_token == own_token {
            self.change(MachineEvent::Confirmed);
        }
    }

    /// Keeps the times of tasks that go on running, or have just ended.
    fn note_runs(&mut self, now: Millis) {
        let reported = &self.reported;
        self.runs
            .retain(|task, run| reported.get(task).is_some_and(|s| s.attempt == run.0));
        for (&task, s) in reported {
            if s.status == TaskStatus::Running {
                self.runs.entry(task).or_insert((s.attempt, now));
            }
        }
    }

    /// For how long an attempt has been seen to run.
    pub fn ran_ms(&self, task: Task, attempt: u64, now: Millis) -> Option<Millis> {
        let run = self.runs.get(&task).filter(|run| run.0 == attempt);
        run.map(|run| now - run.1)
    }

    /// Whether the cloud takes the machine so soon that nothing more is started there.
    pub fn is_reclaimed_soon(&self, now: Millis) -> bool {
        self.reclaim_at.is_some_and(|at| at - now <= LAST_START_MS)
    }

    /// Whether the cloud has said it would take the machine by now, and nothing
    /// has been heard of it for longer than a report takes.
    pub fn taken(&self, now: Millis, silence_ms: f64) -> bool {
        self.reclaim_at.is_some_and(|at| now > at + TAKEN_MS)
            && now - self.last_heard_at > silence_ms
    }

    /// Whether a report differs in nothing that matters from the last one. It
    /// matters while a start may be on its way that it shows or does not show.
    fn reports_the_same(&self, report: &WorkerHeartbeat, own_token: u64) -> bool {
        self.state == MachineState::Ready
            && !self.lease_over
            && report.incarnation == self.newest.0
            && report.fencing_token == self.token
            && own_token == self.token
            && own_token == self.confirmed_token
            && report.reclaim_in_s.is_none()
            && self.reclaim_at.is_none()
            && self.pushed.iter().all(|start| start.lost)
            && self.offered.is_empty()
            && report.addr == self.addr
            && report.tasks.len() == self.last_reported.len()
            && report
                .tasks
                .iter()
                .zip(&self.last_reported)
                .all(|(reported, last_reported)| {
                    last_reported.1 == ReportedTask::of(reported)
                        && parse_task_name(&reported.task_name) == Some(last_reported.0)
                })
    }

    /// Whether a start of this attempt may yet take effect.
    pub fn start_pending(&self, task: Task, attempt: u64) -> bool {
        self.pushed
            .iter()
            .any(|p| p.task == task && p.attempt == attempt)
            || self.offered.contains(&(task, attempt))
    }

    /// Whether a task with this assignment is proven not to be on the machine, nor
    /// able to come back there.
    pub fn proven_gone(&self, task: Task, incarnation: u64, attempt: u64) -> bool {
        // A machine that hung beyond its lease may carry out what was sent to it before it
        // sees that its incarnation is over: then only its release, or a newer incarnation, is proof.
        if self.lease_over && incarnation <= self.newest.0 && !self.start_pending(task, attempt) {
            return true;
        }
        if self.born_after > 0 && self.of_life_before(task, incarnation, attempt) {
            return true;
        }
        match self.state {
            MachineState::Gone => true,
            MachineState::Unconfirmed | MachineState::Expired => false,
            MachineState::Ready | MachineState::Returning => {
                // Returning may follow Unconfirmed; only a report that carries
                // our token counts.
                // An assignment older than our token in a incarnation that has yet to come is of a
                // life before of the worker: it was there before it showed the token.
                self.token_ours()
                    && (incarnation < self.newest.0
                        || (incarnation > self.newest.0 && attempt <= self.token)
                        || (incarnation == self.newest.0
                            && !self.start_pending(task, attempt)
                            && self
                                .reported
                                .get(&task)
                                .is_none_or(|s| s.attempt != attempt || s.ended())))
            }
        }
    }

    /// Whether the newest message carried the token that is ours now.
    pub fn token_ours(&self) -> bool {
        self.confirmed_token != 0 && self.token == self.confirmed_token
    }

    /// Notes that an image was used, and drops what no longer fits the cache.
    pub fn use_image(&mut self, name: &str, gb: f64, whole: bool, cache_gb: f64) {
        let before = self.images.iter().position(|i| i.name == name);
        let before = before.map(|i| self.images.remove(i));
        let whole = whole || before.is_some_and(|i| i.whole);
        self.images.push(Image {
            name: name.to_string(),
            gb,
            whole,
        });
        let mut total: f64 = self.images.iter().map(|i| i.gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).gb;
        }
    }

    /// 2 if the machine holds an image, 1 if it fetches it, else 0.
    pub fn image(&self, name: &str) -> u8 {
        self.images
            .iter()
            .find(|i| i.name == name)
            .map_or(0, |i| 1 + u8::from(i.whole))
    }

    /// Whether the machine holds or fetches an image.
    pub fn has_image(&self, name: &str) -> bool {
        self.image(name) > 0
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
