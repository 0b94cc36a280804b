//! What a scheduling cycle proves of assigned tasks, and the transaction it writes.
//!
//! A shard's assignments stand in pages, each with assignments of many jobs, so that one
//! round costs a write or two however many jobs it touches. New assignments go into
//! the last page, or a new one after it: the leader's moves depend on these two
//! alone. What is done stays in its page until its job is over.

use super::*;
use crate::pages::PageFormat;
use crate::{Config, Mirror};

/// Time after which a scheduling cycle looks at all of a shard's machines, in case that
/// something has changed without a message.
const INSPECT_MS: f64 = 5000.0;
/// Least time between two looks for pages that can go.
const COMPACT_MS: f64 = 1000.0;

/// A scheduling cycle in the making.
pub(crate) struct Cycle {
    shard: usize,
    max_ops: usize,
    max_conditions: usize,
    page_bytes: usize,
    format: PageFormat,
    /// Pages as they will be, and about how many bytes each takes.
    edits: BTreeMap<u32, (Page, usize)>,
    last: Option<u32>,
    /// Jobs that get new assignments, and their teams with limits.
    jobs: BTreeSet<u64>,
    teams: BTreeSet<u32>,
    /// Whether any of these jobs' rules depend on machines' attributes.
    ruled: bool,
    ends: BTreeSet<u64>,
    gained: BTreeMap<u64, u32>,
    /// Assignments that go, and assignments that come, by machine.
    pub gone: HashSet<Task>,
    pub put: BTreeMap<u32, Vec<Task>>,
}

/// What is known of a assigned task.
pub(crate) enum TaskOutcome {
    Keep,
    Done,
    Gone { failed: bool },
}

impl Cycle {
    pub fn new(config: &Config, mirror: &Mirror, shard: usize) -> Self {
        Self {
            shard,
            max_ops: config.txn_ops,
            max_conditions: config.max_conditions(),
            page_bytes: config.page_bytes,
            format: mirror.page_format(),
            edits: BTreeMap::new(),
            last: mirror.last_page(shard),
            jobs: BTreeSet::new(),
            teams: BTreeSet::new(),
            ruled: false,
            ends: BTreeSet::new(),
            gained: BTreeMap::new(),
            gone: HashSet::new(),
            put: BTreeMap::new(),
        }
    }

    /// About how many bytes the pages take.
    pub fn bytes(&self) -> usize {
        self.edits.values().map(|e| e.1).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.edits.is_empty() && self.ends.is_empty()
    }

    fn fits(&self, ops: usize, conditions: usize) -> bool {
        self.edits.len() + self.ends.len() + ops <= self.max_ops
            // The lease, and the history's record for what is over.
            && 2 + self.edits.len()
                + self.jobs.union(&self.ends).count()
                + self.teams.len()
                + usize::from(self.ruled)
                + conditions
                <= self.max_conditions
    }

    /// The page to edit, if the transaction has room for it.
    fn edit(&mut self, mirror: &Mirror, number: u32) -> Option<&mut (Page, usize)> {
        if !self.edits.contains_key(&number) {
            if !self.fits(1, 1) || self.bytes() + self.page_bytes > TXN_BYTES {
                return None;
            }
            let mut page = mirror.pages[self.shard]
                .get(&number)
                .cloned()
                .unwrap_or_default();
            page.jobs
                .retain(|&job, j| mirror.end(job).is_none() || !j.assignments.is_empty());
            let bytes = page.bytes(&mirror.hosts, self.format);
            self.edits.insert(number, (page, bytes));
        }
        self.edits.get_mut(&number)
    }

    /// Takes an assignment out of its page; false if that must wait for another round.
    fn unassign(&mut self, mirror: &Mirror, task: Task, page: u32, done: bool) -> bool {
        let (job, number) = task;
        let over = mirror.end(job).is_some();
        let Some((page, _)) = self.edit(mirror, page) else {
            return false;
        };
        if let Some(j) = page.jobs.get_mut(&job) {
            j.assignments.remove(&number);
            if done && !over {
                j.done.insert(number);
            }
            if j.assignments.is_empty() && (j.done.is_empty() || over) {
                page.jobs.remove(&job);
            }
        }
        self.gone.insert(task);
        if done && !over {
            *self.gained.entry(job).or_default() += 1;
        }
        true
    }

    /// Puts an assignment into the last page, or a new one; false if that must wait.
    pub fn assign(
        &mut self,
        mirror: &Mirror,
        task: Task,
        assignment: Assignment,
        team: Option<u32>,
    ) -> bool {
        let (job, number) = task;
        let ruled = mirror.open.get(&job).is_some_and(|o| o.rules.is_some());
        let fresh = usize::from(!self.jobs.contains(&job))
            + usize::from(team.is_some_and(|t| !self.teams.contains(&t)))
            + usize::from(ruled && !self.ruled);
        if !self.fits(0, fresh) {
            return false;
        }
        let format = self.format;
        let more = Page::assignment_bytes(job, number, &assignment, &mirror.hosts, format);
        let most = self.page_bytes;
        let mut at = self.last.unwrap_or(0);
        let Some((page, bytes)) = self.edit(mirror, at) else {
            return false;
        };
        if *bytes + more > most {
            // Assignments that went in this round have made room.
            *bytes = page.bytes(&mirror.hosts, format);
        }
        // A page of a single assignment is written however small the limit is.
        if *bytes + more > most && !page.jobs.is_empty() {
            at += 1;
            if self.edit(mirror, at).is_none() {
                return false;
            }
        }
        // The conditions once more: a new page took one.
        if !self.fits(0, fresh) {
            return false;
        }
        self.last = Some(at);
        let Some((page, bytes)) = self.edits.get_mut(&at) else {
            return false;
        };
        *bytes += more;
        page.jobs
            .entry(job)
            .or_default()
            .assignments
            .insert(number, assignment);
        self.jobs.insert(job);
        self.teams.extend(team);
        self.ruled |= ruled;
        self.put.entry(assignment.host).or_default().push(task);
        true
    }

    /// How many of a job's assignments this round takes out.
    pub fn gone_of(&self, job: u64) -> usize {
        self.gone.iter().filter(|task| task.0 == job).count()
    }

    /// Whether this round ends the job.
    fn end(&mut self, job: u64) {
        if self.fits(1, 1) {
            self.ends.insert(job);
        }
    }
}

impl Controller {
    /// What reports prove of a assigned task.
    pub(crate) fn task_outcome(
        &self,
        job: u64,
        number: u32,
        assignment: &Assignment,
        now: Millis,
    ) -> TaskOutcome {
        let Some(m) = self.machines.get(&assignment.host) else {
            return TaskOutcome::Keep;
        };
        let open = self.mirror.open.contains_key(&job);
        let task = (job, number);
        if m.token_ours()
            && m.newest.0 == assignment.incarnation
            && let Some(reported) = m.reported.get(&task)
            && reported.attempt == assignment.attempt
            && reported.ended()
        {
            return match reported.cause {
                Some(ExitCause::Done) => TaskOutcome::Done,
                cause => TaskOutcome::Gone {
                    failed: !matches!(
                        cause,
                        Some(ExitCause::Halted | ExitCause::Busy | ExitCause::NoCapacity)
                    ),
                },
            };
        }
        if !m.proven_gone(task, assignment.incarnation, assignment.attempt) {
            return TaskOutcome::Keep;
        }
        // Absent in the same incarnation means that the start has not arrived. It
        // is sent again, as the same attempt, unless nothing should start.
        let may_start = m.state == MachineState::Ready
            && m.newest.0 == assignment.incarnation
            && !m.lease_over
            && !m.gave_up(assignment.incarnation, assignment.attempt)
            && m.reclaim_at.is_none_or(|at| at - now > 60_000.0);
        if open && may_start {
            TaskOutcome::Keep
        } else {
            TaskOutcome::Gone { failed: false }
        }
    }

    /// Takes what reports prove into the scheduling cycle.
    pub(crate) fn collect(
        &mut self,
        shard_id: usize,
        now: Millis,
        cycle: &mut Cycle,
        pending: &mut Pending,
    ) {
        let mut hosts = std::mem::take(&mut self.shards[shard_id].touched);
        if now - self.shards[shard_id].inspected_at >= INSPECT_MS {
            self.shards[shard_id].inspected_at = now;
            hosts = self
                .machines
                .values()
                .filter(|m| m.shard == shard_id)
                .map(|m| m.host)
                .collect();
        }
        let mut blocked = false;
        let mut left = BTreeSet::new();
        self.inspected_machines += hosts.len() as u64;
        for host in hosts {
            for (task, assignment) in self.mirror.on_host(host) {
                let (job, number) = task;
                let place = self.mirror.assignments.get(&(shard_id, job));
                let Some(&(_, page)) = place.and_then(|m| m.assignments.get(&number)) else {
                    continue;
                };
                let task_outcome = self.task_outcome(job, number, &assignment, now);
                if matches!(task_outcome, TaskOutcome::Keep) {
                    let m = self.machines.get(&host);
                    let of_life_before = m.is_some_and(|m| assignment.attempt <= m.born_after);
                    blocked |= (of_life_before || !self.mirror.open.contains_key(&job))
                        && self.blocked_by_push(job, number, &assignment, now);
                    continue;
                }
                let done = matches!(task_outcome, TaskOutcome::Done);
                if !cycle.unassign(&self.mirror, task, page, done) {
                    left.insert(host);
                    continue;
                }
                if !done && self.mirror.open.contains_key(&job) {
                    let reported = self.machines.get(&host).and_then(|m| m.reported.get(&task));
                    let cause = reported.and_then(|s| s.cause);
                    let machine = self.mirror.hosts.name(host);
                    let m = self.machines.get(&host);
                    let newest = m.map_or((0, 0), |m| m.newest);
                    let over = m.is_some_and(|m| m.lease_over);
                    let state = m.map(|m| m.state);
                    let (attempt, incarnation) = (assignment.attempt, assignment.incarnation);
                    tracing::debug!(
                        job,
                        number,
                        machine,
                        attempt,
                        incarnation,
                        ?newest,
                        over,
                        ?state,
                        ?cause,
                        "a task is lost"
                    );
                }
                if done {
                    let m = self.machines.get(&host);
                    if let Some(ran) = m.and_then(|m| m.ran_ms(task, assignment.attempt, now)) {
                        let sum = self.shards[shard_id].ran.entry(job).or_default();
                        *sum = (sum.0 + 1, sum.1 + ran);
                    }
                    pending.done.push((job, host));
                } else if matches!(task_outcome, TaskOutcome::Gone { failed: true }) {
                    pending.failed.push((job, host));
                }
                pending.hosts.insert(host);
            }
        }
        let open = &self.mirror.open;
        self.shards[shard_id]
            .ran
            .retain(|job, _| open.contains_key(job));
        if !left.is_empty() {
            self.shards[shard_id].dirty = true;
            self.shards[shard_id].touched.extend(left);
        }
        if blocked {
            // A start of a job that is over may still be on its way, and only
            // a higher token stops it.
            self.shards[shard_id].lease.want_new_token();
        }
    }

    pub(crate) fn blocked_by_push(
        &self,
        job: u64,
        number: u32,
        assignment: &Assignment,
        now: Millis,
    ) -> bool {
        self.machines.get(&assignment.host).is_some_and(|m| {
            m.token_ours()
                && !m.pushing
                && now >= m.push_after
                && m.pushed
                    .iter()
                    .any(|s| s.task == (job, number) && s.attempt == assignment.attempt)
        })
    }

    /// Ends the jobs whose last tasks this round proves done, and those whose
    /// tasks are all done but which are not over: two shards that wrote their
    /// last done numbers at once did not see each other's. The first part with
    /// assignments writes that end.
    pub(crate) fn finish(&self, shard_id: usize, cycle: &mut Cycle) {
        for (job, gained) in std::mem::take(&mut cycle.gained) {
            // All shards' done numbers only ever grow while the job is open, so
            // an old view of the others is enough.
            let done = self.mirror.done(job) + gained;
            if let Some(open) = self.mirror.open.get(&job)
                && open.spec.shape == Shape::Array
                && done >= open.spec.task_count
            {
                cycle.end(job);
            }
        }
        for &job in &self.mirror.complete {
            let first = (0..self.shards.len()).find(|&q| {
                self.mirror.shards[q].is_some() && self.mirror.assignments.contains_key(&(q, job))
            });
            if first == Some(shard_id) {
                cycle.end(job);
            }
        }
    }

    /// When there is nothing else to write: drops a page of which nothing is
    /// needed any more, or moves what is left of one into the last.
    pub(crate) fn compact(&mut self, shard_id: usize, now: Millis, cycle: &mut Cycle) {
        if self.shards[shard_id].budget.left(now) < 2.0
            || now - self.shards[shard_id].compacted_at < COMPACT_MS
        {
            return;
        }
        self.shards[shard_id].compacted_at = now;
        let most = cycle.page_bytes;
        let Some(last) = self.mirror.last_page(shard_id) else {
            return;
        };
        for &number in self.mirror.pages[shard_id].keys() {
            let Some((page, bytes)) = cycle.edit(&self.mirror, number) else {
                return;
            };
            let stored = self.mirror.pages[shard_id].get(&number);
            if number == 0 && stored.is_some_and(|page| page.jobs.is_empty()) {
                // The first page stays, empty.
                cycle.edits.clear();
                continue;
            }
            if page.jobs.is_empty() {
                return;
            }
            let (jobs, bytes) = (page.jobs.clone(), *bytes);
            if number != last
                && bytes * 4 < most
                && let Some((into, held)) = cycle.edit(&self.mirror, last)
                && *held + bytes <= most
            {
                for (job, j) in jobs {
                    let there = into.jobs.entry(job).or_default();
                    there.assignments.extend(j.assignments);
                    there.done = there.done.union(&j.done);
                }
                *held += bytes;
                if let Some((page, _)) = cycle.edits.get_mut(&number) {
                    page.jobs.clear();
                }
                return;
            }
            cycle.edits.clear();
        }
    }

    /// Says how long the jobs took that a scheduling cycle ends.
    pub(crate) fn announce_ends(&self, cycle: &Cycle, now: Millis) {
        for job in &cycle.ends {
            if let Some(open) = self.mirror.open.get(job) {
                let age_s = (now + self.wall_offset - open.ready_at() as f64) / 1000.0;
                let late_s = (now + self.wall_offset - open.due_ms()) / 1000.0;
                tracing::debug!(
                    job,
                    age_s,
                    late_s,
                    tasks = open.spec.task_count,
                    "a job is done"
                );
            }
        }
    }

    pub(crate) fn cycle_commit(&self, shard_id: usize, token: u64, cycle: &Cycle) -> Commit {
        let mut commit = Commit::default();
        commit.require(record::shard_key(shard_id), token);
        for (&page, (new, _)) in &cycle.edits {
            self.mirror.require(
                &mut commit,
                Key::Assignment {
                    shard: shard_id,
                    page,
                },
            );
            let key = record::assignments_key(shard_id, page);
            if !new.jobs.is_empty() || page == 0 {
                let stored = new.stored(&self.mirror.hosts, cycle.format);
                commit.apply.push(Apply::set(key, &stored));
            } else if self.mirror.pages[shard_id].contains_key(&page) {
                commit.apply.push(Apply::delete(key));
            }
        }
        // New assignments depend on the division and on the job's being open. What is
        // proven done or gone is so whatever has become of the job.
        for &job in &cycle.jobs {
            self.mirror.require(&mut commit, Key::Job(job));
        }
        if cycle.ruled {
            // Placed by attributes as they were: if an operator has changed them
            // meanwhile, it is decided anew.
            self.mirror.require(&mut commit, Key::Attributes);
        }
        for &team in &cycle.teams {
            // A lowering of the grant whose answer was lost may have been
            // applied; assignments made by the old grant must then die.
            let team = team as usize;
            self.mirror.require(
                &mut commit,
                Key::Grant {
                    team,
                    shard: shard_id,
                },
            );
        }
        let ends = cycle.ends.iter().filter_map(|&job| {
            let open = self.mirror.open.get(&job)?;
            Some((job, open.ended(End::Done)))
        });
        // Ends are smaller than the records that they replace, and each was counted
        // as a change of its own: they fit.
        self.mirror
            .write_jobs(&mut commit, ends.collect(), &self.config);
        commit
    }
}
