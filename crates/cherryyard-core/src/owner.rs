//! The owner of a part: rounds of marks, placement, preemption, orders.
//!
//! What a machine should run follows from the durable marks alone. A round
//! collects what reports prove, places waiting numbers, and writes both in one
//! transaction; orders are then the difference between marks and reports.

use crate::machine::{HostEvent, HostState, Machine, PushedStart, Task};
use crate::mirror::{Chunk, Mark, Needs, OpenJob};
use crate::node::{Effect, Node, Outcome, Tenancy, Ticket};
use crate::{Millis, admit};
use cherryyard_wire::cloud::{HostEntry, HostStatus};
use cherryyard_wire::job::{Rank, Shape};
use cherryyard_wire::peer::{MachineRoom, PartReport};
use cherryyard_wire::record::{self, End, Grant, ImagesRecord, Key};
use cherryyard_wire::state::{Apply, Commit};
use cherryyard_wire::worker::{
    Cause, DoRequest, Order, PieceStatus, Report, piece_name, piece_numbers,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Bytes that a transaction's values may have together.
const TXN_BYTES: usize = 48 * 1024;
/// Orders in one message to a worker.
const MAX_ORDERS: usize = 300;

/// A task that is being stopped to make room for another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Preempted {
    attempt: u64,
    for_task: Task,
    until: Millis,
}

/// A job's failures in a part.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobTrouble {
    fails: u32,
    until: Millis,
}

/// What a round will do once its transaction is durable.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pending {
    hosts: BTreeSet<u32>,
    failed: Vec<(u64, u32)>,
    done: Vec<(u64, u32)>,
}

/// One part, as this controller sees it.
#[derive(Debug)]
pub(crate) struct Part {
    pub tenancy: Tenancy,
    pub claiming: bool,
    pub claim_after: Millis,
    pub ownerless_since: Option<Millis>,
    /// Ask for a new token, so that direct starts under this one die.
    pub bump: bool,
    pub dirty: bool,
    pub planned_at: Millis,
    pub pending: Option<Pending>,
    pub retry_after: Millis,
    pub preempted: HashMap<Task, Preempted>,
    /// Machines kept for a task that others were stopped for.
    pub reserved: BTreeMap<u32, (Task, Millis)>,
    pub trouble: HashMap<u64, JobTrouble>,
    pub waiting_since: HashMap<u64, Millis>,
    pub owned_since: Millis,
    pub images_at: Millis,
    pub yields: u32,
    pub wait_epoch: u64,
}

impl Part {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            tenancy: Tenancy::Foreign,
            claiming: false,
            claim_after: now,
            ownerless_since: None,
            bump: false,
            dirty: true,
            planned_at: now,
            pending: None,
            retry_after: now,
            preempted: HashMap::new(),
            reserved: BTreeMap::new(),
            trouble: HashMap::new(),
            waiting_since: HashMap::new(),
            owned_since: now,
            images_at: now,
            yields: 0,
            wait_epoch: 0,
        }
    }

    pub(crate) fn clear(&mut self) {
        self.preempted.clear();
        self.reserved.clear();
        self.waiting_since.clear();
        self.trouble.clear();
        self.bump = false;
    }
}

/// What making room on a machine costs, whom it stops, and where.
type Eviction = (f64, Vec<(Task, u64)>, u32);

/// A round in the making.
struct Round {
    edits: BTreeMap<(u64, u32), Chunk>,
    bytes: usize,
    max_ops: usize,
    ends: BTreeSet<u64>,
}

impl Round {
    /// The chunk to edit, if there is room for one more in the transaction.
    fn edit(&mut self, node: &Node, p: usize, job: u64, chunk: u32) -> Option<&mut Chunk> {
        if !self.edits.contains_key(&(job, chunk)) {
            // One change is kept free for the end of the job itself.
            let ends = if self.ends.contains(&job) { 0 } else { 1 };
            let now = node.mirror.marks.get(&(p, job)).and_then(|m| m.get(&chunk));
            let size = now.map_or(64, |c| 64 + c.marks.len() * 56 + c.done.ranges().len() * 16);
            if self.edits.len() + self.ends.len() + 1 + ends > self.max_ops
                || self.bytes + size > TXN_BYTES
            {
                return None;
            }
            self.bytes += size;
            self.ends.insert(job);
            self.edits
                .insert((job, chunk), now.cloned().unwrap_or_default());
        }
        self.edits.get_mut(&(job, chunk))
    }
}

/// What is known of a marked task.
enum Fate {
    Keep,
    Done,
    Gone { failed: bool },
}

impl Machine {
    /// Takes the starts of an answered or unsent direct command off the list
    /// of those that may yet take effect.
    pub(crate) fn settle_push(&mut self, request: &DoRequest) {
        for order in &request.orders {
            if let Order::Start { piece, attempt } = order
                && let Some(task) = piece_numbers(piece)
                && let Some(i) = self
                    .pushed
                    .iter()
                    .position(|s| s.task == task && s.attempt == *attempt)
            {
                self.pushed.remove(i);
            }
        }
    }
}

impl Node {
    /// Silence after which a machine gets nothing new.
    fn silence_ms(&self) -> f64 {
        self.config.report_ms * 1.25 + 700.0
    }

    /// A machine's whole size, by its type.
    fn whole(&self, m: &Machine) -> Option<Needs> {
        let kind = self.mirror.kinds.iter().find(|k| k.sku == m.kind)?;
        Some(Needs {
            cores: kind.cores,
            acc: kind.accelerators,
            ram: kind.ram_gb,
        })
    }

    /// What is left on a machine, after marks (as edited) and strangers.
    fn free_on(&self, m: &Machine, edited: Option<&Round>) -> Option<Needs> {
        let mut free = self.whole(m)?;
        let marked = |task: Task| -> Option<Mark> {
            if let Some(round) = edited {
                let chunk = task.1 / self.config.chunk;
                if let Some(c) = round.edits.get(&(task.0, chunk)) {
                    return c.marks.get(&task.1).filter(|k| k.host == m.host).copied();
                }
            }
            self.mirror.mark_on(m.host, task)
        };
        for (task, _) in self.mirror.on_host(m.host) {
            if marked(task).is_some() {
                free.take(&self.mirror.uses(task.0)?.1);
            }
        }
        for (&task, seen) in &m.seen {
            if !seen.ended() && marked(task).is_none() {
                // Not ours, or not any more: it takes room until it is gone.
                free.take(&self.mirror.uses(task.0)?.1);
            }
        }
        if let Some(round) = edited {
            for (&(job, _), chunk) in &round.edits {
                for (&number, mark) in &chunk.marks {
                    if mark.host == m.host
                        && self.mirror.mark_on(m.host, (job, number)).is_none()
                        && m.seen.get(&(job, number)).is_none_or(|s| s.ended())
                    {
                        free.take(&self.mirror.uses(job)?.1);
                    }
                }
            }
        }
        Some(free)
    }

    /// What reports prove of a marked task.
    fn fate(&self, job: u64, number: u32, mark: &Mark, now: Millis) -> Fate {
        let Some(m) = self.machines.get(&mark.host) else {
            return Fate::Keep;
        };
        let open = self.mirror.open.contains_key(&job);
        let task = (job, number);
        if m.token_ours()
            && m.newest.0 == mark.session
            && let Some(seen) = m.seen.get(&task)
            && seen.attempt == mark.attempt
            && seen.ended()
        {
            return match seen.cause {
                Some(Cause::Done) => Fate::Done,
                cause => Fate::Gone {
                    failed: !matches!(cause, Some(Cause::Halted | Cause::Busy | Cause::NoRoom)),
                },
            };
        }
        if !m.proven_gone(task, mark.session, mark.attempt) {
            return Fate::Keep;
        }
        // Absent in the same session means that the start has not arrived. It
        // is sent again, as the same attempt, unless nothing should start.
        let may_start = m.state == HostState::Ready
            && m.newest.0 == mark.session
            && !m.lease_over
            && m.recall_at.is_none_or(|at| at - now > 60_000.0);
        if open && may_start {
            Fate::Keep
        } else {
            Fate::Gone { failed: false }
        }
    }

    /// One round of a part: collects, places, writes.
    pub(crate) fn plan_part(&mut self, p: usize, now: Millis) {
        let Some(token) = self.owned(p) else { return };
        if self.parts[p].pending.is_some()
            || self.parts[p].claiming
            || now < self.parts[p].retry_after
            || self.mirror.epoch < self.parts[p].wait_epoch
        {
            return;
        }
        self.parts[p].dirty = false;
        self.parts[p].planned_at = now;
        self.expire(p, now);
        self.return_silent(p, now);
        self.push_due(p, now);
        if !self.state_fresh(now) {
            return;
        }
        let mut round = Round {
            edits: BTreeMap::new(),
            bytes: 0,
            max_ops: self.config.txn_ops,
            ends: BTreeSet::new(),
        };
        let mut pending = Pending::default();
        self.collect(p, now, &mut round, &mut pending);
        self.place(p, now, &mut round, &mut pending);
        let finished = self.finished(p, &round);
        if finished.is_empty() {
            self.sweep_marks(p, &mut round);
        }
        if round.edits.is_empty() && finished.is_empty() {
            if let Some(commit) = self.images_commit(p, token, now) {
                self.parts[p].pending = Some(Pending::default());
                self.effects.push(Effect::Commit(Ticket::Owner(p), commit));
            }
            return;
        }
        let mut commit = self.round_commit(p, token, &round);
        for job in finished {
            self.mirror.require(&mut commit, Key::Job(job));
            let value = serde_json::json!(self.mirror.open[&job].ended(End::Done));
            commit.apply.push(Apply::set(record::job_key(job), value));
        }
        tracing::debug!(part = p, marks = commit.apply.len(), "a round of marks");
        self.parts[p].pending = Some(pending);
        self.effects.push(Effect::Commit(Ticket::Owner(p), commit));
    }

    /// Lets leases run out.
    fn expire(&mut self, p: usize, now: Millis) {
        // The worker counts from when it sent the report, on a clock that may
        // be slow while ours is fast.
        let lease = self.config.lease_ms * 1.001 + 50.0;
        for m in self.machines.values_mut().filter(|m| m.part == p) {
            if !m.lease_over && m.token_ours() && now - m.answered_at > lease {
                m.change(HostEvent::LeaseOver);
            }
        }
    }

    fn collect(&mut self, p: usize, now: Millis, round: &mut Round, pending: &mut Pending) {
        let mut found = Vec::new();
        let mut blocked = false;
        for (&(_, job), chunks) in self.mirror.marks.range((p, 0)..=(p, u64::MAX)) {
            for (&chunk, c) in chunks {
                for (&number, mark) in &c.marks {
                    match self.fate(job, number, mark, now) {
                        Fate::Keep => {
                            blocked |= !self.mirror.open.contains_key(&job)
                                && self.blocked_by_push(job, number, mark, now);
                        }
                        fate => found.push((job, chunk, number, *mark, fate)),
                    }
                }
            }
        }
        if blocked {
            // A start of a job that is over may still be on its way, and only
            // a higher token stops it.
            self.parts[p].bump = true;
        }
        for (job, chunk, number, mark, fate) in found {
            let Some(c) = round.edit(self, p, job, chunk) else {
                break;
            };
            c.marks.remove(&number);
            match fate {
                Fate::Done => {
                    c.done.insert(number);
                    pending.done.push((job, mark.host));
                }
                Fate::Gone { failed: true } => pending.failed.push((job, mark.host)),
                _ => {}
            }
            pending.hosts.insert(mark.host);
        }
    }

    fn blocked_by_push(&self, job: u64, number: u32, mark: &Mark, now: Millis) -> bool {
        self.machines.get(&mark.host).is_some_and(|m| {
            m.token_ours()
                && !m.pushing
                && now >= m.push_after
                && m.pushed
                    .iter()
                    .any(|s| s.task == (job, number) && s.attempt == mark.attempt)
        })
    }

    /// Which of the deadline's multiples the job can still make if its waiting
    /// tasks start now; the later ones only come after all that can still make
    /// an earlier one, so that a job that is late anyway delays no other.
    fn hope(&self, o: &OpenJob, wall: f64) -> usize {
        let Some(due) = o.spec.due_s else { return 0 };
        let once = vec![1.0];
        let times = self
            .config
            .deadline_times
            .get(&o.spec.jobclass)
            .unwrap_or(&once);
        let end = wall + o.spec.expected_s * 1000.0 * 0.8;
        times
            .iter()
            .position(|t| end <= o.at as f64 + due * t * 1000.0)
            .unwrap_or(times.len())
    }

    /// Open jobs with waiting numbers, in the order in which they are served.
    fn queue(&self, p: usize, now: Millis) -> Vec<(u64, cherryyard_wire::RangeSet)> {
        let mut all: Vec<_> = self
            .mirror
            .open
            .iter()
            .filter(|(_, o)| o.divided())
            .filter_map(|(&job, o)| {
                let waiting = self.mirror.waiting(p, job);
                (!waiting.is_empty()).then_some((job, o, waiting))
            })
            .collect();
        let wall = now + self.wall_offset;
        all.sort_by(|a, b| {
            let key = |o: &OpenJob| {
                let sweep = o.spec.shape == Shape::Sweep;
                (std::cmp::Reverse(o.spec.rank), sweep, self.hope(o, wall))
            };
            let work = |job: u64, o: &OpenJob| {
                let left = o.spec.pieces.saturating_sub(self.mirror.done(job));
                f64::from(left) * o.spec.expected_s * o.spec.cores
            };
            key(a.1)
                .cmp(&key(b.1))
                .then(work(a.0, a.1).total_cmp(&work(b.0, b.1)))
                .then(a.1.due_ms().total_cmp(&b.1.due_ms()))
                .then(a.1.at.cmp(&b.1.at))
                .then(a.0.cmp(&b.0))
        });
        all.into_iter()
            .map(|(job, _, waiting)| (job, waiting))
            .collect()
    }

    /// Whether the job's rules allow this machine.
    fn allowed(&self, open: &OpenJob, m: &Machine) -> bool {
        (open.spec.borrowed || !m.spot)
            && admit::allows_kind(&open.spec, &m.kind)
            && open.spec.yard.as_ref().is_none_or(|y| *y == m.zone)
            && open.zone.as_ref().is_none_or(|z| *z == m.zone)
            && (!open.spec.together || open.zone.is_some())
    }

    fn place(&mut self, p: usize, now: Millis, round: &mut Round, pending: &mut Pending) {
        let queue = self.queue(p, now);
        let waiting_jobs: HashSet<u64> = queue.iter().map(|q| q.0).collect();
        let part = &mut self.parts[p];
        part.waiting_since
            .retain(|job, _| waiting_jobs.contains(job));
        part.preempted.retain(|_, x| x.until > now);
        let (mirror, held) = (&self.mirror, &mut part.reserved);
        held.retain(|_, (task, until)| *until > now && mirror.waiting(p, task.0).contains(task.1));
        for &(job, _) in &queue {
            part.waiting_since.entry(job).or_insert(now);
        }
        if queue.is_empty() {
            return;
        }
        let silence = self.silence_ms();
        let mut rooms: Vec<(u32, Needs)> = self
            .machines
            .values()
            .filter(|m| m.part == p && m.usable(now, silence))
            .filter_map(|m| Some((m.host, self.free_on(m, Some(round))?)))
            .collect();
        rooms.sort_by_key(|r| r.0);
        let mut used = self.mirror.usage(p);
        for (&(job, chunk), edited) in &round.edits {
            // What this very round proves gone makes room under the limit too.
            let Some((team, needs)) = self.mirror.uses(job) else {
                continue;
            };
            let before = self.mirror.marks.get(&(p, job)).and_then(|m| m.get(&chunk));
            for number in before.into_iter().flat_map(|c| c.marks.keys()) {
                if !edited.marks.contains_key(number)
                    && let Some(u) = used.get_mut(team as usize)
                {
                    u.take(&needs);
                }
            }
        }
        let mut placed = 0;
        'jobs: for (job, waiting) in &queue {
            let open = &self.mirror.open[job];
            let needs = open.needs();
            let team = open.team as usize;
            let trouble = self.parts[p].trouble.get(job).copied().unwrap_or_default();
            if trouble.until > now {
                continue;
            }
            let team_cfg = self.config.teams[team].clone();
            let grant = self.mirror.grants[team][p].0;
            let mut zones = self.zone_counts(p, *job, round);
            let mut unplaced = Vec::new();
            for number in waiting.iter() {
                if placed >= 300 {
                    break 'jobs;
                }
                if team_cfg.limited() {
                    let after = (used[team].cores + needs.cores, used[team].acc + needs.acc);
                    if (team_cfg.cores_max.is_finite() && after.0 > grant.cores + 1e-6)
                        || (team_cfg.acc_max.is_finite() && after.1 > grant.acc + 1e-6)
                    {
                        continue 'jobs;
                    }
                }
                let kept = self.parts[p]
                    .reserved
                    .iter()
                    .find(|(_, (task, _))| *task == (*job, number))
                    .map(|(&host, _)| host);
                let open = &self.mirror.open[job];
                let best = rooms
                    .iter()
                    .enumerate()
                    .filter(|(_, (host, free))| {
                        let m = &self.machines[host];
                        needs.fits(free)
                            && kept.is_none_or(|k| k == *host)
                            && self.allowed(open, m)
                            && !m.seen.contains_key(&(*job, number))
                            && self.parts[p]
                                .reserved
                                .get(host)
                                .is_none_or(|(task, _)| *task == (*job, number))
                            && self.zone_open(p, open, &m.zone, &zones)
                    })
                    .max_by(|(_, a), (_, b)| {
                        let key = |r: &(u32, Needs)| {
                            let m = &self.machines[&r.0];
                            let image = match open.spec.shape {
                                Shape::Service => m.image(&open.spec.bundle),
                                Shape::Sweep => u8::from(m.has_image(&open.spec.bundle)),
                            };
                            (image, open.spec.borrowed && m.spot)
                        };
                        key(a)
                            .cmp(&key(b))
                            .then(a.1.cores.total_cmp(&b.1.cores))
                            .then(a.1.ram.total_cmp(&b.1.ram))
                            .then(b.0.cmp(&a.0))
                    })
                    .map(|(i, _)| i);
                let Some(i) = best else {
                    unplaced.push(number);
                    if unplaced.len() >= 8 {
                        break;
                    }
                    continue;
                };
                let host = rooms[i].0;
                if open.spec.shape == Shape::Service
                    && kept.is_none()
                    && self.fetch_s(open, host) > 1.5
                {
                    // Where the image is, the replica runs at once; the arrays
                    // there can make way more easily than it can wait.
                    let job = *job;
                    if self.preempt(p, job, &[number], round, now, true) {
                        continue;
                    }
                }
                let m = &self.machines[&host];
                // Above every attempt before: each of those was at most the
                // revision of its own mark, which has been seen since.
                let attempt = self.mirror.epoch.max(self.newest_epoch) + 1;
                let mark = Mark {
                    host,
                    session: m.newest.0,
                    attempt,
                };
                *zones.entry(m.zone.clone()).or_default() += 1;
                let chunk = number / self.config.chunk;
                let Some(c) = round.edit(self, p, *job, chunk) else {
                    break 'jobs;
                };
                c.marks.insert(number, mark);
                rooms[i].1.take(&needs);
                used[team].give(&needs);
                pending.hosts.insert(host);
                placed += 1;
            }
            if !unplaced.is_empty() && self.mirror.open[job].spec.rank > Rank::BestEffort {
                let job = *job;
                self.preempt(p, job, &unplaced, round, now, false);
            }
        }
    }

    fn zone_counts(&self, p: usize, job: u64, round: &Round) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        if self.mirror.open.get(&job).is_none_or(|o| o.caps.is_empty()) {
            return counts;
        }
        if let Some(chunks) = self.mirror.marks.get(&(p, job)) {
            for (chunk, c) in chunks {
                let c = round.edits.get(&(job, *chunk)).unwrap_or(c);
                for mark in c.marks.values() {
                    // A machine that is not known may be in any zone.
                    match self.machines.get(&mark.host) {
                        Some(m) => *counts.entry(m.zone.clone()).or_default() += 1,
                        None => {
                            for z in 0..self.config.zones.len() as u32 {
                                *counts.entry(self.config.zones.name(z).into()).or_default() += 1;
                            }
                        }
                    }
                }
            }
        }
        counts
    }

    fn zone_open(&self, p: usize, o: &OpenJob, zone: &str, counts: &HashMap<String, u32>) -> bool {
        if !o.spec.apart || o.spec.pieces == 1 {
            return true;
        }
        let Some(z) = self.config.zones.get(zone) else {
            return false;
        };
        let cap = o
            .caps
            .get(p)
            .and_then(|c| c.get(z as usize))
            .copied()
            .unwrap_or(0);
        counts.get(zone).copied().unwrap_or(0) < cap
    }

    /// Seconds until the job's image would be on a machine.
    fn fetch_s(&self, open: &OpenJob, host: u32) -> f64 {
        let m = &self.machines[&host];
        if m.image(&open.spec.bundle) == 2 {
            return 0.0;
        }
        let kind = self.mirror.kinds.iter().find(|k| k.sku == m.kind);
        let rate = kind.map_or(0.0, |k| k.fetch_gb_per_s);
        if rate > 0.0 {
            open.spec.image_gb / rate
        } else {
            0.0
        }
    }

    /// Stops less important work so that waiting numbers of `job` fit; with
    /// `holding`, only on machines that hold its image. Says whether a machine
    /// is now kept for any of them.
    fn preempt(
        &mut self,
        p: usize,
        job: u64,
        numbers: &[u32],
        round: &Round,
        now: Millis,
        holding: bool,
    ) -> bool {
        let open = &self.mirror.open[&job];
        let needs = open.needs();
        let totals = self.team_totals();
        let team = open.team as usize;
        let covered: HashSet<Task> = self.parts[p]
            .preempted
            .values()
            .map(|x| x.for_task)
            .collect();
        let silence = self.silence_ms();
        let mut chosen: Vec<(Task, Preempted, u32)> = Vec::new();
        for &number in numbers.iter().take(4) {
            if covered.contains(&(job, number))
                || self.parts[p]
                    .reserved
                    .values()
                    .any(|r| r.0 == (job, number))
            {
                continue;
            }
            // By machine: the work to stop, least lost first.
            let mut best: Option<Eviction> = None;
            for m in self
                .machines
                .values()
                .filter(|m| m.part == p && m.usable(now, silence))
            {
                if !self.allowed(open, m)
                    || (holding && m.image(&open.spec.bundle) < 2)
                    || m.seen.contains_key(&(job, number))
                    || chosen.iter().any(|c| c.2 == m.host)
                    || self.parts[p].reserved.contains_key(&m.host)
                    || !self.zone_open(p, open, &m.zone, &self.zone_counts(p, job, round))
                    || self
                        .mirror
                        .on_host(m.host)
                        .any(|(t, _)| self.parts[p].preempted.contains_key(&t))
                {
                    continue;
                }
                let Some(mut free) = self.free_on(m, Some(round)) else {
                    continue;
                };
                let mut victims: Vec<(Rank, f64, Task, u64, Needs)> = self
                    .mirror
                    .on_host(m.host)
                    .filter_map(|(task, mark)| {
                        let v = self.mirror.open.get(&task.0)?;
                        let lower = v.spec.rank < open.spec.rank;
                        let (vt, t) = (v.team as usize, team);
                        let beyond = vt != t
                            && totals[vt].cores > self.config.teams[vt].cores + 1e-6
                            && totals[t].cores + needs.cores <= self.config.teams[t].cores + 1e-6;
                        // What is marked by a later attempt has lost least.
                        (lower || beyond).then_some((
                            v.spec.rank,
                            -(mark.attempt as f64),
                            task,
                            mark.attempt,
                            v.needs(),
                        ))
                    })
                    .collect();
                victims.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
                let mut list = Vec::new();
                let mut cost = 0.0;
                for (_, age, task, attempt, size) in victims {
                    if needs.fits(&free) {
                        break;
                    }
                    free.give(&size);
                    list.push((task, attempt));
                    cost += 1e6 + age;
                }
                if !needs.fits(&free) || list.is_empty() {
                    continue;
                }
                let image = if m.image(&open.spec.bundle) == 2 {
                    0.0
                } else {
                    1.5e6
                };
                if best.as_ref().is_none_or(|b| cost + image < b.0) {
                    best = Some((cost + image, list, m.host));
                }
            }
            let Some((_, list, host)) = best else { break };
            for (task, attempt) in list {
                let x = Preempted {
                    attempt,
                    for_task: (job, number),
                    until: now + 4000.0,
                };
                chosen.push((task, x, host));
            }
        }
        // All victims of a machine are noted before the first is stopped, and
        // the machine is kept for whom they make room: else the first freed
        // cores went to a waiting task of less importance, over and over.
        let mut hosts = BTreeSet::new();
        for (task, x, host) in chosen {
            tracing::debug!(job, victim = task.0, "stop a task to make room");
            self.parts[p].preempted.insert(task, x);
            self.parts[p].reserved.insert(host, (x.for_task, x.until));
            hosts.insert(host);
        }
        let kept = !hosts.is_empty();
        for host in hosts {
            self.push(host, now);
        }
        kept
    }

    /// What each team uses everywhere.
    fn team_totals(&self) -> Vec<Needs> {
        let mut all = vec![Needs::default(); self.config.teams.len()];
        for p in 0..self.parts.len() {
            for (t, u) in self.mirror.usage(p).iter().enumerate() {
                all[t].give(u);
            }
        }
        all
    }

    /// Jobs whose tasks are all done but which are not over: two parts that
    /// wrote their last done numbers at once did not see each other's. The
    /// first part with marks writes the end.
    fn finished(&self, p: usize, round: &Round) -> Vec<u64> {
        let free = round
            .max_ops
            .saturating_sub(round.edits.len() + round.ends.len());
        self.mirror
            .open
            .iter()
            .filter(|(job, o)| {
                o.spec.shape == Shape::Sweep
                    && self.mirror.done(**job) >= o.spec.pieces
                    && !round.ends.contains(*job)
                    && (0..self.parts.len()).find(|&q| {
                        self.mirror.parts[q].is_some()
                            && self.mirror.marks.contains_key(&(q, **job))
                    }) == Some(p)
            })
            .map(|(&job, _)| job)
            .take(free)
            .collect()
    }

    /// Deletes marks of jobs that are over once nothing of them is left.
    fn sweep_marks(&self, p: usize, round: &mut Round) {
        if !round.edits.is_empty() {
            // Nobody waits for this; it takes its turn when nothing else does.
            return;
        }
        let mut swept = 0;
        for (&(_, job), chunks) in self.mirror.marks.range((p, 0)..=(p, u64::MAX)) {
            if self.mirror.end(job).is_none() {
                continue;
            }
            for (&chunk, c) in chunks {
                if c.marks.is_empty() && swept < 4 {
                    if round.edits.len() + round.ends.len() + 2 > round.max_ops {
                        return;
                    }
                    round.edits.entry((job, chunk)).or_insert_with(|| Chunk {
                        stamp: c.stamp,
                        ..Chunk::default()
                    });
                    swept += 1;
                }
            }
        }
    }

    fn round_commit(&self, p: usize, token: u64, round: &Round) -> Commit {
        let mut commit = Commit::default();
        commit.require(record::part_key(p), token);
        let mut done: BTreeMap<u64, u32> = BTreeMap::new();
        for (&(job, chunk), c) in &round.edits {
            let key = Key::Mark {
                part: p,
                job,
                chunk,
            };
            self.mirror.require(&mut commit, key);
            let before = self.mirror.marks.get(&(p, job)).and_then(|m| m.get(&chunk));
            let gained = c
                .done
                .len()
                .saturating_sub(before.map_or(0, |b| b.done.len()));
            if let Some(open) = self.mirror.open.get(&job) {
                commit.require(record::job_key(job), open.stamp);
                if self.config.teams[open.team as usize].limited() {
                    // A lowering of the grant whose answer was lost may have
                    // been applied; marks made by the old grant must then die.
                    let key = Key::Grant {
                        team: open.team as usize,
                        part: p,
                    };
                    self.mirror.require(&mut commit, key);
                }
                *done.entry(job).or_insert_with(|| self.mirror.done(job)) += gained;
            }
            let over = self.mirror.end(job).is_some();
            if c.marks.is_empty() && (c.done.is_empty() || over) {
                if before.is_some() {
                    commit
                        .apply
                        .push(Apply::delete(record::mark_key(p, job, chunk)));
                }
            } else {
                let value = serde_json::json!(c.record(&self.mirror.hosts));
                commit
                    .apply
                    .push(Apply::set(record::mark_key(p, job, chunk), value));
            }
        }
        for (job, done) in done {
            let open = &self.mirror.open[&job];
            if done >= open.spec.pieces && open.spec.shape == Shape::Sweep {
                // All parts' done numbers only ever grow while the job is
                // open, so an old view of the others is enough.
                let value = serde_json::json!(open.ended(End::Done));
                commit.apply.push(Apply::set(record::job_key(job), value));
            }
        }
        commit
    }

    /// Takes how an owner's round came out.
    pub(crate) fn owner_committed(&mut self, p: usize, outcome: Outcome, now: Millis) {
        let Some(pending) = self.parts[p].pending.take() else {
            return;
        };
        self.parts[p].dirty = true;
        match outcome {
            Outcome::Applied(_) => {
                self.room_changed = true;
                for (job, host) in pending.done {
                    self.parts[p].trouble.remove(&job);
                    if let Some(m) = self.machines.get_mut(&host) {
                        m.failures = 0;
                    }
                }
                for (job, host) in pending.failed {
                    // A machine or a job that fails is left alone for a while,
                    // longer each time, so that a job which fails everywhere
                    // neither spins nor empties the fleet.
                    if let Some(m) = self.machines.get_mut(&host) {
                        m.failures += 1;
                        m.avoid_until = now + 5000.0 * f64::from(1u32 << m.failures.min(5));
                    }
                    let t = self.parts[p].trouble.entry(job).or_default();
                    t.fails += 1;
                    if t.fails >= 3 {
                        t.until = now + 1000.0 * f64::from(1u32 << (t.fails - 3).min(5));
                    }
                }
                for host in pending.hosts {
                    self.note_images(host);
                    self.push(host, now);
                }
            }
            Outcome::Conflict(epoch) => {
                // Each failed condition costs write budget too, so the next
                // try waits for the change that made it fail.
                self.parts[p].wait_epoch = epoch;
                self.parts[p].retry_after = now + 30.0;
            }
            Outcome::NoLease => self.parts[p].retry_after = now + 100.0,
            Outcome::Refused => {
                self.parts[p].retry_after = now + self.jitter(150.0, 400.0);
            }
            Outcome::Unknown => {
                self.parts[p].retry_after = now + self.jitter(100.0, 300.0);
            }
        }
    }

    fn note_images(&mut self, host: u32) {
        let tasks: Vec<Task> = self.mirror.on_host(host).map(|(task, _)| task).collect();
        let Some(m) = self.machines.get_mut(&host) else {
            return;
        };
        let kind = self.mirror.kinds.iter().find(|k| k.sku == m.kind);
        let cache = kind.map_or(0.0, |k| k.cache_gb);
        for task in tasks {
            if let Some(open) = self.mirror.open.get(&task.0) {
                // A task runs, or has completed, only once its image is there.
                let whole = m.seen.get(&task).is_some_and(|s| {
                    matches!(s.status, PieceStatus::Running | PieceStatus::Saving)
                        || s.cause == Some(Cause::Done)
                });
                m.use_image(&open.spec.bundle, open.spec.image_gb, whole, cache);
            }
        }
    }

    /// Takes note of a machine that reports for the first time, with the images
    /// that its owner before knew it to hold.
    pub(crate) fn meet(&mut self, host: u32, p: usize, report: &Report, now: Millis) {
        if self.machines.contains_key(&host) {
            return;
        }
        let mut m = Machine::new(host, p, report, now);
        let record = &self.mirror.images[p].0;
        if let Some((_, held)) = record.h.iter().find(|(name, _)| *name == report.host) {
            for (name, gb) in held.iter().filter_map(|&i| record.i.get(i)) {
                m.use_image(name, *gb, true, f64::INFINITY);
            }
        }
        self.machines.insert(host, m);
    }

    /// The record of the part's images, if it is due and has changed. It costs
    /// a write that others may need more, so it is a rare one.
    fn images_commit(&mut self, p: usize, token: u64, now: Millis) -> Option<Commit> {
        if now - self.parts[p].images_at < 10_000.0 {
            return None;
        }
        self.parts[p].images_at = now;
        let mut record = ImagesRecord::default();
        for m in self
            .machines
            .values()
            .filter(|m| m.part == p && m.token_ours())
        {
            let mut held = Vec::new();
            for image in m.images.iter().filter(|i| i.whole) {
                let known = record.i.iter().position(|(name, _)| *name == image.name);
                held.push(known.unwrap_or_else(|| {
                    record.i.push((image.name.clone(), image.gb));
                    record.i.len() - 1
                }));
            }
            record
                .h
                .push((self.mirror.hosts.name(m.host).to_string(), held));
        }
        let value = serde_json::json!(record);
        if record == self.mirror.images[p].0 || value.to_string().len() > self.config.value_bytes {
            return None;
        }
        let mut commit = Commit::default();
        commit.require(record::part_key(p), token);
        commit.apply.push(Apply::set(record::images_key(p), value));
        Some(commit)
    }

    /// After any message of a machine: the owner's round is due.
    pub(crate) fn after_message(&mut self, host: u32, now: Millis) {
        let Some(m) = self.machines.get(&host) else {
            return;
        };
        let p = m.part;
        self.parts[p].dirty = true;
        if !m.seen.is_empty() {
            self.note_images(host);
        }
        self.plan_part(p, now);
    }

    /// The commands that bring a machine to what its marks say.
    pub(crate) fn orders(&self, host: u32, now: Millis, in_answer: bool) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(m) = self.machines.get(&host) else {
            return orders;
        };
        if !m.token_ours() || !matches!(m.state, HostState::Ready) {
            return orders;
        }
        let p = m.part;
        let fresh = self.state_fresh(now);
        let owned = self.owned(p).is_some();
        for (&(job, number), seen) in &m.seen {
            let task = (job, number);
            let mark = self
                .mirror
                .mark_on(host, task)
                .filter(|k| k.session == m.newest.0 && k.attempt == seen.attempt);
            let piece = || piece_name(job, number);
            if seen.ended() {
                // Cleared only once its end is durable, and only when no start
                // of it is on its way: it would start a second time.
                if in_answer
                    && mark.is_none()
                    && !m.start_pending(task, seen.attempt)
                    && fresh
                    && owned
                {
                    orders.push(Order::Clear {
                        piece: piece(),
                        attempt: seen.attempt,
                    });
                }
                continue;
            }
            let open = self.mirror.open.get(&job);
            match (mark, open) {
                (Some(_), Some(open)) => {
                    let preempted = self.parts[p]
                        .preempted
                        .get(&task)
                        .is_some_and(|x| x.attempt == seen.attempt);
                    let recalled = m.recall_at.is_some_and(|at| {
                        open.spec.snapshot_every_s > 0.0
                            && at - now
                                < open.spec.snapshot_cost_s * 1000.0 + self.config.report_ms * 2.5
                    });
                    if (preempted || recalled) && seen.status != PieceStatus::Saving {
                        let saves = open.spec.snapshot_every_s > 0.0;
                        let wind_down_s = if saves {
                            open.spec.snapshot_cost_s + 1.0
                        } else {
                            0.0
                        };
                        orders.push(Order::Kill {
                            piece: piece(),
                            attempt: seen.attempt,
                            wind_down_s,
                        });
                    }
                }
                // The job is over, or no mark accounts for this attempt. While
                // cut off, a missing mark may only mean an old mirror.
                (_, None) | (None, _) => {
                    if (fresh && owned) || self.mirror.end(job).is_some() {
                        orders.push(Order::Kill {
                            piece: piece(),
                            attempt: seen.attempt,
                            wind_down_s: 0.0,
                        });
                    }
                }
            }
        }
        if fresh && owned && m.recall_at.is_none_or(|at| at - now > 60_000.0) {
            for (task, mark) in self.mirror.on_host(host) {
                if mark.session == m.newest.0
                    && !m.seen.contains_key(&task)
                    && self.mirror.open.contains_key(&task.0)
                {
                    orders.push(Order::Start {
                        piece: piece_name(task.0, task.1),
                        attempt: mark.attempt,
                    });
                }
            }
        }
        orders.truncate(MAX_ORDERS);
        orders
    }

    /// Sends a machine its due commands directly, if there are any.
    pub(crate) fn push(&mut self, host: u32, now: Millis) {
        let Some(m) = self.machines.get(&host) else {
            return;
        };
        let Tenancy::Owned(token) = self.parts[m.part].tenancy else {
            return;
        };
        if m.pushing || now < m.push_after || now - m.heard_at > self.silence_ms() {
            return;
        }
        let orders = self.orders(host, now, false);
        if orders.is_empty() {
            return;
        }
        let Some(m) = self.machines.get_mut(&host) else {
            return;
        };
        m.pushing = true;
        m.push_after = now + 50.0;
        let session = m.newest.0;
        for order in &orders {
            if let Order::Start { piece, attempt } = order
                && let Some(task) = piece_numbers(piece)
                && !m
                    .pushed
                    .iter()
                    .any(|s| s.task == task && s.attempt == *attempt)
            {
                m.pushed.push(PushedStart {
                    task,
                    attempt: *attempt,
                    session,
                });
            }
        }
        tracing::debug!(machine = %m.addr, ?orders, "direct commands");
        let request = DoRequest {
            baton: token,
            tenure: session,
            orders,
        };
        self.effects.push(Effect::Push {
            host,
            addr: m.addr.clone(),
            request,
        });
    }

    /// Pushes to every machine of the part that has due commands.
    fn push_due(&mut self, p: usize, now: Millis) {
        let mut hosts: Vec<u32> = self
            .machines
            .values()
            .filter(|m| m.part == p && !m.pushing && now >= m.push_after)
            .map(|m| m.host)
            .collect();
        hosts.sort_unstable();
        for host in hosts {
            self.push(host, now);
        }
    }

    /// Free room if arrays of ordinary rank or below made way.
    fn yielding(&self, m: &Machine, mut free: Needs) -> (f32, f32, f32) {
        for ((job, _), _) in self.mirror.on_host(m.host) {
            if let Some(o) = self.mirror.open.get(&job)
                && o.spec.shape == Shape::Sweep
                && o.spec.rank <= Rank::Standard
            {
                free.give(&o.needs());
            }
        }
        (free.cores as f32, free.acc as f32, free.ram as f32)
    }

    /// Free room and waiting tasks, for the leader.
    pub(crate) fn part_report(&self, p: usize, now: Millis) -> PartReport {
        let silence = self.silence_ms();
        let mut machines: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.part == p && m.usable(now, silence))
            .collect();
        machines.sort_by_key(|m| m.host);
        let used = self.mirror.usage(p);
        let mut wants = used.clone();
        let mut waiting = Vec::new();
        for (job, set) in self.queue(p, now).into_iter().take(500) {
            let since = self.parts[p]
                .waiting_since
                .get(&job)
                .copied()
                .unwrap_or(now);
            waiting.push((job, set.len(), ((now - since) / 1000.0) as f32));
            if let Some((team, needs)) = self.mirror.uses(job)
                && let Some(w) = wants.get_mut(team as usize)
            {
                let n = f64::from(set.len());
                w.cores += needs.cores * n;
                w.acc += needs.acc * n;
            }
        }
        // A part cannot use more of a limit than its machines have; what it
        // holds beyond that is another part's to use.
        let mut whole = Needs::default();
        for m in &machines {
            whole.give(&self.whole(m).unwrap_or_default());
        }
        for (want, used) in wants.iter_mut().zip(&used) {
            want.cores = want.cores.min(whole.cores).max(used.cores);
            want.acc = want.acc.min(whole.acc).max(used.acc);
        }
        PartReport {
            part: p as u32,
            stamp: self.mirror.stamp(Key::Part(p)),
            machines: machines
                .into_iter()
                .filter_map(|m| {
                    let free = self.free_on(m, None)?;
                    Some(MachineRoom {
                        kind: m.kind.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                        free: (free.cores as f32, free.acc as f32, free.ram as f32),
                        yielding: self.yielding(m, free),
                        images: m
                            .images
                            .iter()
                            .filter(|i| i.whole)
                            .map(|i| i.name.clone())
                            .collect(),
                    })
                })
                .collect(),
            waiting,
            wants: wants
                .iter()
                .enumerate()
                .map(|(t, w)| {
                    (
                        self.config.team_names.name(t as u32).to_string(),
                        w.cores,
                        w.acc,
                    )
                })
                .collect(),
        }
    }

    /// Gives back what the part does not need of teams that are short.
    pub(crate) fn lower_grants(&mut self, short: &[String], now: Millis) {
        for p in 0..self.parts.len() {
            let Some(token) = self.owned(p) else { continue };
            if self.parts[p].pending.is_some() || !self.state_fresh(now) {
                continue;
            }
            let report = self.part_report(p, now);
            let mut commit = Commit::default();
            commit.require(record::part_key(p), token);
            for name in short {
                let Some(t) = self.config.team_names.get(name).map(|t| t as usize) else {
                    continue;
                };
                let (grant, stamp) = self.mirror.grants[t][p];
                let wants = report.wants.get(t).map_or((0.0, 0.0), |w| (w.1, w.2));
                // Never below what is marked: wants include it.
                // Half of the rest is kept, so that the part's next job need not
                // wait for the leader.
                let half = |have: f64, want: f64| {
                    let rest = (have - want) / 2.0;
                    if rest < 1.0 {
                        have.min(want)
                    } else {
                        want + rest
                    }
                };
                let keep = Grant {
                    cores: half(grant.cores, wants.0),
                    acc: half(grant.acc, wants.1),
                };
                if stamp != 0 && (keep.cores < grant.cores - 1e-6 || keep.acc < grant.acc - 1e-6) {
                    commit.require(record::grant_key(t, p), stamp);
                    commit
                        .apply
                        .push(Apply::set(record::grant_key(t, p), serde_json::json!(keep)));
                }
            }
            commit.apply.truncate(self.config.txn_ops);
            if !commit.apply.is_empty() {
                // In the owner's turn, so that no mark is under way meanwhile.
                self.parts[p].pending = Some(Pending::default());
                self.effects.push(Effect::Commit(Ticket::Owner(p), commit));
            }
        }
    }

    /// Machines to return: dead, never up, silent, or of no use.
    pub(crate) fn return_listed(&mut self, now: Millis) {
        let mut release = Vec::new();
        let mut spare: HashMap<usize, (f64, f64)> = HashMap::new();
        for m in self.machines.values() {
            if let (Some(whole), Some(free)) = (self.whole(m), self.free_on(m, None))
                && m.usable(now, self.silence_ms())
            {
                let s = spare.entry(m.part).or_default();
                s.0 += free.cores;
                s.1 += whole.cores;
            }
        }
        let lease = self.config.lease_ms;
        let mut names: Vec<&String> = self.listed.keys().collect();
        names.sort();
        for name in names {
            let entry = &self.listed[name];
            let p = self.config.parting.part(&entry.yard, name);
            if self.owned(p).is_none() || release.len() >= 90 {
                continue;
            }
            let owned_for = now - self.parts[p].owned_since;
            let host = self.mirror.hosts.get(name);
            let machine = host.and_then(|h| self.machines.get(&h));
            let ready_ms = self
                .mirror
                .kinds
                .iter()
                .find(|k| k.sku == entry.host_kind)
                .map_or(60_000.0, |k| k.ready_s * 1000.0);
            let why = match machine {
                Some(m) if m.state == HostState::Gone => None,
                Some(m) if now < m.release_after => None,
                Some(m) if m.state == HostState::Returning => Some("asked before"),
                _ if entry.status == HostStatus::Failed => Some("failed"),
                Some(m) if now - m.heard_at > lease + 15_000.0 => Some("silent"),
                Some(m) if m.failures >= 4 => Some("failing"),
                Some(m) => {
                    let (free, whole) = spare.get(&p).copied().unwrap_or_default();
                    let cores = self.whole(m).map_or(0.0, |w| w.cores);
                    let idle = now - m.busy_at > self.config.tuning.idle_return_s * 1000.0
                        && m.seen.is_empty()
                        && host.is_some_and(|h| self.mirror.on_host(h).next().is_none());
                    if idle && free - cores > 0.6 * whole {
                        spare.entry(p).and_modify(|s| s.0 -= cores);
                        Some("idle")
                    } else {
                        None
                    }
                }
                None if entry.status == HostStatus::Starting => {
                    (entry.held_s * 1000.0 > ready_ms * 5.0 + 30_000.0).then_some("never up")
                }
                None => (owned_for > lease * 2.0 + 20_000.0
                    && entry.held_s * 1000.0 > ready_ms + lease * 2.0 + 20_000.0)
                    .then_some("never heard of"),
            };
            if let Some(why) = why {
                tracing::info!(machine = %name, why, "return a machine");
                release.push(name.clone());
            }
        }
        for name in &release {
            // So that marks of a machine that never reported can be resolved
            // by the answer to its release.
            let entry = &self.listed[name];
            let p = self.config.parting.part(&entry.yard, name);
            let host = self.mirror.hosts.intern(name);
            let m = self
                .machines
                .entry(host)
                .or_insert_with(|| Machine::unheard(host, p, entry, now));
            m.change(HostEvent::ReleaseAsked);
            m.release_after = now + 10_000.0;
        }
        if !release.is_empty() {
            self.effects.push(Effect::Release(release));
        }
        self.return_unlisted(now);
    }

    /// A machine that has fallen silent with replicas on it is released at
    /// once: the answer proves them gone well before the lease would, if the
    /// machine is dead. Arrays wait for the lease, as their machine may come
    /// back with its work. When many are silent, the fault is between us and
    /// them, and nothing is released.
    fn return_silent(&mut self, p: usize, now: Millis) {
        let limit = self.config.report_ms * 1.25 + 2000.0;
        // A machine that merely hangs loses what is left of its lease by this:
        // worth it only where the lease would be waited for much longer.
        if self.config.lease_ms - limit < self.config.report_ms * 3.0
            || !self.state_fresh(now)
            || now - self.parts[p].owned_since < 2.0 * limit
        {
            return;
        }
        let known = |m: &&Machine| m.part == p && m.token_ours();
        let all = self.machines.values().filter(known).count();
        let silent: Vec<u32> = self
            .machines
            .values()
            .filter(known)
            .filter(|m| {
                now - m.heard_at > limit
                    && !m.lease_over
                    && matches!(m.state, HostState::Ready | HostState::Returning)
            })
            .map(|m| m.host)
            .collect();
        if silent.is_empty() || silent.len() > (all / 5).max(1) {
            return;
        }
        let mut release = Vec::new();
        for host in silent {
            let serves = self.mirror.on_host(host).any(|((job, _), _)| {
                self.mirror
                    .open
                    .get(&job)
                    .is_some_and(|o| o.spec.shape == Shape::Service)
            });
            let Some(m) = self.machines.get_mut(&host) else {
                continue;
            };
            if serves && now >= m.release_after {
                let name = self.mirror.hosts.name(host).to_string();
                tracing::info!(machine = %name, "return a silent machine with replicas");
                m.change(HostEvent::ReleaseAsked);
                m.release_after = now + 3000.0;
                release.push(name);
            }
        }
        if !release.is_empty() {
            self.effects.push(Effect::Release(release));
        }
    }

    /// Marks may name machines that neither report nor are listed (they were
    /// taken, or died and were dropped from the list); only a release proves
    /// that nothing of them is left.
    fn return_unlisted(&mut self, now: Millis) {
        let mut release = Vec::new();
        for host in self.mirror.marked_hosts().collect::<Vec<_>>() {
            let name = self.mirror.hosts.name(host).to_string();
            let known = self.machines.get(&host);
            if self.listed.contains_key(&name)
                || known.is_some_and(|m| {
                    m.state == HostState::Gone
                        || now < m.release_after
                        || now - m.heard_at < self.config.lease_ms
                })
            {
                continue;
            }
            let Some(p) = self
                .mirror
                .marks
                .iter()
                .find(|(_, chunks)| {
                    chunks
                        .values()
                        .any(|c| c.marks.values().any(|k| k.host == host))
                })
                .map(|(&(p, _), _)| p)
            else {
                continue;
            };
            // The list is late; a machine that is merely new is not in it yet.
            if self.owned(p).is_none()
                || now - self.parts[p].owned_since
                    < 3.0 * self.config.list_lag_ms + self.config.lease_ms
            {
                continue;
            }
            let m = self.machines.entry(host).or_insert_with(|| {
                let entry = HostEntry {
                    id: name.clone(),
                    addr: String::new(),
                    host_kind: String::new(),
                    yard: String::new(),
                    borrowed: false,
                    status: HostStatus::Other,
                    held_s: 0.0,
                };
                Machine::unheard(host, p, &entry, now)
            });
            m.change(HostEvent::ReleaseAsked);
            m.release_after = now + 10_000.0;
            release.push(name);
        }
        release.truncate(90);
        if !release.is_empty() {
            tracing::info!(?release, "return machines that are marked but not listed");
            self.effects.push(Effect::Release(release));
        }
    }
}
