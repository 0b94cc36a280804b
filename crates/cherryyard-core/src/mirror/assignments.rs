//! Tasks in the mirror: what pages of assignments say, by page, by job and by machine, and
//! what is left to be started.

use super::Mirror;
use crate::needs::Needs;
use crate::pages::{Assignment, JobAssignments, Page, PageFormat};
use cherryyard_wire::RangeSet;
use cherryyard_wire::record::Key;
use cherryyard_wire::state::Commit;
use std::collections::{BTreeMap, HashMap};

/// Assignments and what follows from them. Only the mirror writes it.
#[derive(Clone, Debug)]
pub struct TaskTable {
    /// Pages of assignments, by shard. New assignments go into a shard's last page or the one
    /// after it, so these two tell whether any have been made.
    pub pages: Vec<BTreeMap<u32, Page>>,
    /// What the pages say, by shard and job.
    pub assignments: BTreeMap<(usize, u64), JobAssignments>,
    /// Numbers that are neither done nor assigned, by shard and job; none empty.
    pub waiting: Vec<BTreeMap<u64, RangeSet>>,
    /// Shards and jobs of which what waits has changed since the last look.
    waiting_changes: Vec<(usize, u64)>,
    /// By machine's index: each cycle and heartbeat looks here for many machines.
    by_machine: Vec<BTreeMap<(u64, u32), Assignment>>,
    /// How many tasks are done, by job; none 0.
    done_counts: HashMap<u64, u32>,
}

impl TaskTable {
    /// An empty one for so many shards.
    pub(super) fn new(shards: usize) -> Self {
        Self {
            pages: vec![BTreeMap::new(); shards],
            assignments: BTreeMap::new(),
            waiting: vec![BTreeMap::new(); shards],
            waiting_changes: Vec::new(),
            by_machine: Vec::new(),
            done_counts: HashMap::new(),
        }
    }

    fn shard_count(&self) -> usize {
        self.pages.len()
    }

    /// The revision of a page's key, 0 if there is no such page.
    pub(super) fn page_revision(&self, shard: usize, page: u32) -> u64 {
        let pages = self.pages.get(shard);
        let page = pages.and_then(|pages| pages.get(&page));
        page.map_or(0, |page| page.revision)
    }

    /// Replaces a page; gives back the jobs of which it says something else now.
    fn set_page(&mut self, shard: usize, page: u32, new: Option<Page>) -> Vec<u64> {
        let Some(pages) = self.pages.get_mut(shard) else {
            return Vec::new();
        };
        let old = pages.remove(&page).unwrap_or_default();
        let new = new.unwrap_or_default();
        let differing = new
            .jobs
            .iter()
            .filter(|(job, now)| old.jobs.get(job) != Some(*now));
        let mut changed: Vec<u64> = differing.map(|(&job, _)| job).collect();
        changed.extend(old.jobs.keys().filter(|job| !new.jobs.contains_key(job)));
        if new.revision != 0 {
            pages.insert(page, new);
        }
        changed
    }

    /// Sums up anew what the shard's pages say of a job.
    fn refresh_assignments(&mut self, shard: usize, job: u64) {
        let new = self.sum_pages(shard, job);
        let old = self.assignments.remove(&(shard, job)).unwrap_or_default();
        self.index_by_machine(job, &old, &new);
        if new.done.len() != old.done.len() {
            // What is left of the job decides its place, in all shards.
            self.note_waiting_change(job);
        }
        let total = self.done_counts.entry(job).or_default();
        *total = (*total + new.done.len()).saturating_sub(old.done.len());
        if *total == 0 {
            self.done_counts.remove(&job);
        }
        if !new.assignments.is_empty() || !new.done.is_empty() {
            self.assignments.insert((shard, job), new);
        }
    }

    fn sum_pages(&self, shard: usize, job: u64) -> JobAssignments {
        let mut sum = JobAssignments::default();
        for (&page, record) in &self.pages[shard] {
            if let Some(page_job) = record.jobs.get(&job) {
                let assignments = page_job.assignments.iter();
                let with_page = assignments.map(|(&number, &one)| (number, (one, page)));
                sum.assignments.extend(with_page);
                sum.done = sum.done.union(&page_job.done);
            }
        }
        sum
    }

    /// Takes over the difference between two sums of a job into the index by machine.
    fn index_by_machine(&mut self, job: u64, old: &JobAssignments, new: &JobAssignments) {
        for (&number, (assignment, _)) in &old.assignments {
            let now = new.assignments.get(&number);
            if now.is_none_or(|(now, _)| now != assignment)
                && let Some(tasks) = self.by_machine.get_mut(assignment.host as usize)
            {
                tasks.remove(&(job, number));
            }
        }
        for (&number, &(assignment, _)) in &new.assignments {
            let before = old.assignments.get(&number);
            if before.is_none_or(|(before, _)| *before != assignment) {
                let machine = assignment.host as usize;
                if self.by_machine.len() <= machine {
                    self.by_machine.resize_with(machine + 1, BTreeMap::new);
                }
                self.by_machine[machine].insert((job, number), assignment);
            }
        }
    }

    /// Works out anew which of a job's numbers in a shard are neither done nor assigned.
    pub(super) fn refresh_waiting(&mut self, shard: usize, job: u64, share: Option<&RangeSet>) {
        let left = match (share, self.assignments.get(&(shard, job))) {
            (None, _) => RangeSet::new(),
            (Some(share), None) => share.clone(),
            (Some(share), Some(here)) => {
                let assigned: RangeSet = here.assignments.keys().copied().collect();
                share.minus(&here.done).minus(&assigned)
            }
        };
        let waits = !left.is_empty();
        let waited = if waits {
            self.waiting[shard].insert(job, left).is_some()
        } else {
            self.waiting[shard].remove(&job).is_some()
        };
        if waited || waits {
            self.waiting_changes.push((shard, job));
        }
    }

    /// Notes that something about a job has changed that decides its place among what
    /// waits, wherever some of it waits.
    pub(super) fn note_waiting_change(&mut self, job: u64) {
        for shard in 0..self.shard_count() {
            if self.waiting[shard].contains_key(&job) {
                self.waiting_changes.push((shard, job));
            }
        }
    }

    /// Whether pages of any shard name the job.
    pub(super) fn names(&self, job: u64) -> bool {
        (0..self.shard_count()).any(|shard| self.assignments.contains_key(&(shard, job)))
    }

    fn machine_tasks(&self, host: u32) -> Option<&BTreeMap<(u64, u32), Assignment>> {
        self.by_machine.get(host as usize)
    }
}

impl Mirror {
    /// Replaces a page of assignments.
    pub(super) fn set_page(&mut self, shard: usize, page: u32, new: Option<Page>) {
        for job in self.tasks.set_page(shard, page, new) {
            self.tasks.refresh_assignments(shard, job);
            self.refresh_waiting(shard, job);
            self.refresh_complete(job);
        }
    }

    /// After a change of a job's division or of its assignments in a shard.
    pub(super) fn refresh_waiting(&mut self, shard: usize, job: u64) {
        let open = self.open.get(&job);
        let share = open.and_then(|open| open.division.get(shard));
        self.tasks.refresh_waiting(shard, job, share);
    }

    /// How pages are stored: packed once every controller can read that.
    pub(crate) fn page_format(&self) -> PageFormat {
        if self.takes_dependencies() {
            PageFormat::Packed
        } else {
            PageFormat::Plain
        }
    }

    /// The shard's last page, and the one after it: new assignments go nowhere else.
    pub fn last_page(&self, shard: usize) -> Option<u32> {
        let pages = self.tasks.pages.get(shard)?;
        pages.last_key_value().map(|(&page, _)| page)
    }

    /// Adds the conditions that the shard has got no assignment that is not known here.
    ///
    /// Page 0 is never deleted once it is there, and a new page is made by a transaction
    /// that writes the last one anew: so that "absent" never holds again for one that is
    /// carried out late.
    pub(crate) fn require_last_page(&self, commit: &mut Commit, shard: usize) {
        let last = self.last_page(shard);
        let next = last.map_or(0, |page| page + 1);
        for page in last.into_iter().chain([next]) {
            self.require(commit, Key::Assignment { shard, page });
        }
    }

    /// The shard that an assignment on a machine belongs to.
    pub fn shard_of_assignment(&self, host: u32) -> Option<usize> {
        let (job, number) = *self.tasks.machine_tasks(host)?.keys().next()?;
        (0..self.shards.len()).find(|&shard| {
            let here = self.tasks.assignments.get(&(shard, job));
            here.and_then(|here| here.assignments.get(&number))
                .is_some_and(|(assignment, _)| assignment.host == host)
        })
    }

    /// The assignments on a machine, by job and number.
    pub fn on_host(&self, host: u32) -> impl Iterator<Item = ((u64, u32), Assignment)> + '_ {
        let tasks = self.tasks.machine_tasks(host).into_iter().flatten();
        tasks.map(|(&task, &assignment)| (task, assignment))
    }

    /// The assignment of a task on a machine.
    pub fn assignment_on(&self, host: u32, task: (u64, u32)) -> Option<Assignment> {
        self.tasks.machine_tasks(host)?.get(&task).copied()
    }

    /// The machines that carry assignments.
    pub fn assigned_hosts(&self) -> impl Iterator<Item = u32> + '_ {
        let machines = self.tasks.by_machine.iter().enumerate();
        let assigned = machines.filter(|(_, tasks)| !tasks.is_empty());
        assigned.map(|(host, _)| host as u32)
    }

    /// A shard's numbers of a job that are neither done nor assigned, if there are any.
    pub fn waiting(&self, shard: usize, job: u64) -> Option<&RangeSet> {
        self.tasks.waiting.get(shard)?.get(&job)
    }

    /// Shards and jobs of which what waits has changed since the last call.
    pub fn take_waiting_changes(&mut self) -> Vec<(usize, u64)> {
        std::mem::take(&mut self.tasks.waiting_changes)
    }

    /// How many of a job's tasks are done.
    pub fn done(&self, job: u64) -> u32 {
        self.tasks.done_counts.get(&job).copied().unwrap_or(0)
    }

    /// How many tasks of a job are assigned, in all shards.
    pub fn assigned(&self, job: u64) -> u32 {
        (0..self.shards.len())
            .filter_map(|shard| self.tasks.assignments.get(&(shard, job)))
            .map(|here| here.assignments.len() as u32)
            .sum()
    }

    /// What each team uses in `shard`: from assignment to proven gone.
    pub fn usage(&self, shard: usize) -> Vec<Needs> {
        let mut used = vec![Needs::default(); self.teams.len()];
        let in_shard = (shard, 0)..=(shard, u64::MAX);
        for (&(_, job), here) in self.tasks.assignments.range(in_shard) {
            let count = here.assignments.len();
            if count == 0 {
                continue;
            }
            if let Some((team, needs)) = self.uses(job)
                && let Some(used) = used.get_mut(team as usize)
            {
                let count = count as f64;
                used.give(&Needs {
                    cores: needs.cores * count,
                    acc: needs.acc * count,
                    ram: needs.ram * count,
                });
            }
        }
        used
    }
}
