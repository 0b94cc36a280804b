//! Tasks in the mirror: assignments by page, by job and by machine, and the tasks that are still to
//! be started.

use super::Mirror;
use crate::needs::Resources;
use crate::pages::{Assignment, JobAssignments, Page, PageFormat, PageJob};
use cherryyard_wire::RangeSet;
use cherryyard_wire::record::Key;
use cherryyard_wire::state::Commit;
use std::collections::{BTreeMap, HashMap};

/// Assignments of tasks, and the state derived from them. Written only by the mirror.
#[derive(Clone, Debug)]
pub struct TaskTable {
    /// Pages of assignments, by shard. New assignments are written to a shard's last page or to the
    /// page after it, so the revisions of these two show whether any have been made.
    pub pages: Vec<BTreeMap<u32, Page>>,
    /// Assignments and completed tasks on all pages, by shard and job.
    pub assignments: BTreeMap<(usize, u64), JobAssignments>,
    /// Numbers of the tasks that are neither completed nor assigned, by shard and job; empty sets
    /// are left out.
    pub waiting: Vec<BTreeMap<u64, RangeSet>>,
    /// Shards and jobs whose waiting tasks have changed since the last call of
    /// `take_waiting_changes`.
    waiting_changes: Vec<(usize, u64)>,
    /// Assignments by machine index, then job and task number. Kept as an index, since each
    /// cycle and each heartbeat look up many machines.
    by_machine: Vec<BTreeMap<(u64, u32), Assignment>>,
    /// First page of each job that holds a task which a later page of the shard holds too. There
    /// is one only while a page is being divided.
    first_shared_pages: BTreeMap<(usize, u64), u32>,
    /// Numbers of the tasks that are completed in any shard, by job; empty sets are left out.
    completed: HashMap<u64, RangeSet>,
}

/// Returns the first page that holds a task which a later page holds too.
fn first_shared_page(pages: &[(u32, &PageJob)]) -> Option<u32> {
    if pages.len() < 2 {
        return None;
    }
    let mut first = None;
    let mut later = RangeSet::new();
    for (page, entries) in pages.iter().rev() {
        let numbers = entries.numbers();
        if numbers.difference(&later).len() < numbers.len() {
            first = Some(*page);
        }
        later = later.union(&numbers);
    }
    first
}

/// Merges a job's entries in all pages of a shard. If pages differ on a task, its completion
/// counts before an assignment, and a newer attempt before an older one: an attempt is only
/// assigned once the ones before it are proven to be gone.
fn merge_pages(pages: &[(u32, &PageJob)]) -> JobAssignments {
    let mut merged = JobAssignments::default();
    for (page, entries) in pages {
        for (&number, &assignment) in &entries.assignments {
            let known = merged.assignments.get(&number);
            if known.is_none_or(|(known, _)| known.attempt <= assignment.attempt) {
                merged.assignments.insert(number, (assignment, *page));
            }
        }
        merged.done = merged.done.union(&entries.done);
    }
    if pages.len() > 1 {
        let done = &merged.done;
        merged
            .assignments
            .retain(|&number, _| !done.contains(number));
    }
    merged
}

impl TaskTable {
    /// Returns an empty table for the given number of shards.
    pub(super) fn new(shards: usize) -> Self {
        Self {
            pages: vec![BTreeMap::new(); shards],
            assignments: BTreeMap::new(),
            waiting: vec![BTreeMap::new(); shards],
            waiting_changes: Vec::new(),
            by_machine: Vec::new(),
            first_shared_pages: BTreeMap::new(),
            completed: HashMap::new(),
        }
    }

    fn shard_count(&self) -> usize {
        self.pages.len()
    }

    /// Returns the revision of a page's key, 0 if there is no such page.
    pub(super) fn page_revision(&self, shard: usize, page: u32) -> u64 {
        let pages = self.pages.get(shard);
        let page = pages.and_then(|pages| pages.get(&page));
        page.map_or(0, |page| page.revision)
    }

    /// Replaces or removes a page; returns the jobs whose entries have changed.
    fn set_page(&mut self, shard: usize, page: u32, new: Option<Page>) -> Vec<u64> {
        let Some(pages) = self.pages.get_mut(shard) else {
            return Vec::new();
        };
        let old = pages.remove(&page).unwrap_or_default();
        let new = new.unwrap_or_default();
        let differing = new
            .jobs
            .iter()
            .filter(|(job, current)| old.jobs.get(job) != Some(*current));
        let mut changed: Vec<u64> = differing.map(|(&job, _)| job).collect();
        changed.extend(old.jobs.keys().filter(|job| !new.jobs.contains_key(job)));
        if new.revision != 0 {
            pages.insert(page, new);
        }
        changed
    }

    /// Recomputes a job's assignments and completed tasks from all pages of a shard.
    fn refresh_assignments(&mut self, shard: usize, job: u64) {
        let pages = self.job_pages(shard, job);
        let new = merge_pages(&pages);
        let shared_page = first_shared_page(&pages);
        match shared_page {
            Some(page) => self.first_shared_pages.insert((shard, job), page),
            None => self.first_shared_pages.remove(&(shard, job)),
        };
        let old = self.assignments.remove(&(shard, job)).unwrap_or_default();
        self.index_by_machine(job, &old, &new);
        let is_completion_changed = new.done != old.done;
        if !new.assignments.is_empty() || !new.done.is_empty() {
            self.assignments.insert((shard, job), new);
        }
        if is_completion_changed {
            self.refresh_completed(job);
            // The position of a job among the waiting jobs of every shard depends on how much work
            // it has left.
            self.note_waiting_change(job);
        }
    }

    /// Recomputes which of a job's tasks are completed. A task counts once, however many shards
    /// name it.
    fn refresh_completed(&mut self, job: u64) {
        let completed = (0..self.shard_count())
            .filter_map(|shard| self.assignments.get(&(shard, job)))
            .fold(RangeSet::new(), |all, in_shard| all.union(&in_shard.done));
        if completed.is_empty() {
            self.completed.remove(&job);
        } else {
            self.completed.insert(job, completed);
        }
    }

    /// Returns a job's entries in the pages of a shard, in the order of the pages.
    fn job_pages(&self, shard: usize, job: u64) -> Vec<(u32, &PageJob)> {
        let pages = self.pages[shard].iter();
        let with_job = pages.filter_map(|(&page, record)| Some((page, record.jobs.get(&job)?)));
        with_job.collect()
    }

    /// Returns the first page of a shard that holds a task which a later page holds too.
    fn first_shared_page(&self, shard: usize) -> Option<u32> {
        let in_shard = (shard, 0)..=(shard, u64::MAX);
        let pages = self.first_shared_pages.range(in_shard);
        pages.map(|(_, &page)| page).min()
    }

    /// Updates the index by machine with the difference between a job's old and new assignments.
    fn index_by_machine(&mut self, job: u64, old: &JobAssignments, new: &JobAssignments) {
        for (&number, (assignment, _)) in &old.assignments {
            let current = new.assignments.get(&number);
            if current.is_none_or(|(current, _)| current != assignment)
                && let Some(tasks) = self.by_machine.get_mut(assignment.host as usize)
            {
                tasks.remove(&(job, number));
            }
        }
        for (&number, &(assignment, _)) in &new.assignments {
            let previous = old.assignments.get(&number);
            if previous.is_none_or(|(previous, _)| *previous != assignment) {
                let machine = assignment.host as usize;
                if self.by_machine.len() <= machine {
                    self.by_machine.resize_with(machine + 1, BTreeMap::new);
                }
                self.by_machine[machine].insert((job, number), assignment);
            }
        }
    }

    /// Recomputes which of a job's tasks in a shard are neither completed nor assigned; `share` is
    /// the shard's part of the job's division.
    pub(super) fn refresh_waiting(&mut self, shard: usize, job: u64, share: Option<&RangeSet>) {
        let unassigned = match (share, self.assignments.get(&(shard, job))) {
            (None, _) => RangeSet::new(),
            (Some(share), None) => share.clone(),
            (Some(share), Some(job_assignments)) => {
                let assigned: RangeSet = job_assignments.assignments.keys().copied().collect();
                share
                    .difference(&job_assignments.done)
                    .difference(&assigned)
            }
        };
        let is_waiting = !unassigned.is_empty();
        let was_waiting = if is_waiting {
            self.waiting[shard].insert(job, unassigned).is_some()
        } else {
            self.waiting[shard].remove(&job).is_some()
        };
        if was_waiting || is_waiting {
            self.waiting_changes.push((shard, job));
        }
    }

    /// Records a change that may move a job to another position among the waiting jobs, for every
    /// shard in which tasks of the job wait.
    pub(super) fn note_waiting_change(&mut self, job: u64) {
        for shard in 0..self.shard_count() {
            if self.waiting[shard].contains_key(&job) {
                self.waiting_changes.push((shard, job));
            }
        }
    }

    /// Returns whether a page of any shard lists the job.
    pub(super) fn has_job(&self, job: u64) -> bool {
        (0..self.shard_count()).any(|shard| self.assignments.contains_key(&(shard, job)))
    }

    fn machine_tasks(&self, host: u32) -> Option<&BTreeMap<(u64, u32), Assignment>> {
        self.by_machine.get(host as usize)
    }
}

impl Mirror {
    /// Replaces or removes a page of assignments, and updates the state derived from it.
    pub(super) fn set_page(&mut self, shard: usize, page: u32, new: Option<Page>) {
        for job in self.tasks.set_page(shard, page, new) {
            self.tasks.refresh_assignments(shard, job);
            self.refresh_waiting(shard, job);
            self.refresh_complete(job);
        }
    }

    /// Recomputes a job's waiting tasks in a shard, after a change of its division or of its
    /// assignments there.
    pub(super) fn refresh_waiting(&mut self, shard: usize, job: u64) {
        let open = self.open.get(&job);
        let share = open.and_then(|open| open.division.get(shard));
        self.tasks.refresh_waiting(shard, job, share);
    }

    /// Returns the format for storing pages: packed as soon as every controller can read it.
    pub(crate) fn page_format(&self) -> PageFormat {
        if self.are_dependencies_ready() {
            PageFormat::Packed
        } else {
            PageFormat::Plain
        }
    }

    /// Returns a page without the ended jobs that have no assignments in it.
    pub(crate) fn needed_entries(&self, shard: usize, number: u32) -> Page {
        let stored = self.tasks.pages[shard].get(&number);
        let mut page = stored.cloned().unwrap_or_default();
        page.jobs
            .retain(|&job, entries| self.end(job).is_none() || !entries.assignments.is_empty());
        page
    }

    /// Returns the shard's page that is being divided: it holds tasks of which a later page holds
    /// copies.
    pub fn page_in_division(&self, shard: usize) -> Option<u32> {
        self.tasks.first_shared_page(shard)
    }

    /// Returns the number of the shard's last page. New assignments are written only to this page
    /// or to the one after it.
    pub fn last_page(&self, shard: usize) -> Option<u32> {
        let pages = self.tasks.pages.get(shard)?;
        pages.last_key_value().map(|(&page, _)| page)
    }

    /// Adds the conditions that the shard has no assignment that this mirror does not hold: its
    /// last page is unchanged, and there is none after it.
    ///
    /// A transaction may be applied late, and a page that it requires to be absent must not be
    /// absent again by then. Therefore page 0 is never deleted once it exists, and the transaction
    /// that creates a new page also rewrites the last one.
    pub(crate) fn require_last_page(&self, commit: &mut Commit, shard: usize) {
        let last = self.last_page(shard);
        let next = last.map_or(0, |page| page + 1);
        for page in last.into_iter().chain([next]) {
            self.require(commit, Key::Assignment { shard, page });
        }
    }

    /// Returns the shard that the first assignment on a machine belongs to, if there is one.
    pub fn shard_of_assignment(&self, host: u32) -> Option<usize> {
        let (job, number) = *self.tasks.machine_tasks(host)?.keys().next()?;
        (0..self.shards.len()).find(|&shard| {
            let job_assignments = self.tasks.assignments.get(&(shard, job));
            job_assignments
                .and_then(|job_assignments| job_assignments.assignments.get(&number))
                .is_some_and(|(assignment, _)| assignment.host == host)
        })
    }

    /// Returns the assignments on a machine, by job and task number.
    pub fn assignments_on(&self, host: u32) -> impl Iterator<Item = ((u64, u32), Assignment)> + '_ {
        let tasks = self.tasks.machine_tasks(host).into_iter().flatten();
        tasks.map(|(&task, &assignment)| (task, assignment))
    }

    /// Returns the assignment of a task on a machine, if it is assigned there.
    pub fn assignment_on(&self, host: u32, task: (u64, u32)) -> Option<Assignment> {
        self.tasks.machine_tasks(host)?.get(&task).copied()
    }

    /// Returns the machines that have assignments.
    pub fn assigned_hosts(&self) -> impl Iterator<Item = u32> + '_ {
        let machines = self.tasks.by_machine.iter().enumerate();
        let assigned = machines.filter(|(_, tasks)| !tasks.is_empty());
        assigned.map(|(host, _)| host as u32)
    }

    /// Returns the numbers of a job's tasks in a shard that are neither completed nor assigned, if
    /// there are any.
    pub fn waiting(&self, shard: usize, job: u64) -> Option<&RangeSet> {
        self.tasks.waiting.get(shard)?.get(&job)
    }

    /// Returns the shards and jobs whose waiting tasks have changed since the last call.
    pub fn take_waiting_changes(&mut self) -> Vec<(usize, u64)> {
        std::mem::take(&mut self.tasks.waiting_changes)
    }

    /// Returns the number of a job's completed tasks.
    pub fn done(&self, job: u64) -> u32 {
        self.completed(job).map_or(0, RangeSet::len)
    }

    /// Returns the numbers of a job's completed tasks, if there are any.
    pub fn completed(&self, job: u64) -> Option<&RangeSet> {
        self.tasks.completed.get(&job)
    }

    /// Returns the number of a job's assigned tasks in all shards.
    pub fn assigned(&self, job: u64) -> u32 {
        (0..self.shards.len())
            .filter_map(|shard| self.tasks.assignments.get(&(shard, job)))
            .map(|job_assignments| job_assignments.assignments.len() as u32)
            .sum()
    }

    /// Returns the resources that each team uses in `shard`. A task counts from its assignment
    /// until it is proven to be gone.
    pub fn usage(&self, shard: usize) -> Vec<Resources> {
        let mut used = vec![Resources::default(); self.teams.len()];
        let in_shard = (shard, 0)..=(shard, u64::MAX);
        for (&(_, job), job_assignments) in self.tasks.assignments.range(in_shard) {
            let count = job_assignments.assignments.len();
            if count == 0 {
                continue;
            }
            if let Some((team, needs)) = self.task_resources(job)
                && let Some(used) = used.get_mut(team as usize)
            {
                let count = count as f64;
                used.add(&Resources {
                    cores: needs.cores * count,
                    accelerators: needs.accelerators * count,
                    ram_gb: needs.ram_gb * count,
                });
            }
        }
        used
    }
}

#[cfg(test)]
mod tests;
