//! Construction of a scheduling cycle's transaction.
//!
//! A shard's assignments are stored in pages that each hold assignments of many jobs, so that one
//! cycle costs a write or two however many jobs it touches. New assignments go into the last page
//! or into a new one after it: the leader's moves depend on these two pages alone. The numbers of
//! completed tasks stay in their page until their job is over.

mod commit;
mod compaction;

use super::TXN_BYTES;
use crate::machine::Task;
use crate::pages::{Assignment, Page, PageFormat};
use crate::{Config, Mirror};
use cherryyard_wire::RangeSet;
use std::collections::{BTreeMap, BTreeSet, HashSet};

/// Number of conditions in every cycle's transaction: the shard's lease, and the history record for
/// jobs that end.
const FIXED_CONDITIONS: usize = 2;

/// A page with the cycle's changes.
struct EditedPage {
    page: Page,
    /// Estimated size of the page in bytes.
    bytes: usize,
}

/// A scheduling cycle under construction.
pub(crate) struct Cycle {
    shard: usize,
    max_ops: usize,
    max_conditions: usize,
    page_bytes: usize,
    format: PageFormat,
    edits: BTreeMap<u32, EditedPage>,
    /// Number of the page that takes new assignments.
    last_page: Option<u32>,
    /// Jobs that get new assignments, and those of their teams that have limits.
    jobs: BTreeSet<u64>,
    teams: BTreeSet<u32>,
    /// Whether the rules of any of these jobs depend on machine attributes.
    has_rules: bool,
    /// Jobs that the cycle ends.
    ends: BTreeSet<u64>,
    /// Numbers of the tasks that the cycle proves completed, by job.
    completed: BTreeMap<u64, RangeSet>,
    /// Tasks whose assignments the cycle withdraws.
    pub(crate) withdrawn: HashSet<Task>,
    /// Tasks that the cycle assigns, by machine.
    pub(crate) assigned: BTreeMap<u32, Vec<Task>>,
}

impl Cycle {
    pub(crate) fn new(config: &Config, mirror: &Mirror, shard: usize) -> Self {
        Self {
            shard,
            max_ops: config.txn_ops,
            max_conditions: config.max_conditions(),
            page_bytes: config.page_bytes,
            format: mirror.page_format(),
            edits: BTreeMap::new(),
            last_page: mirror.last_page(shard),
            jobs: BTreeSet::new(),
            teams: BTreeSet::new(),
            has_rules: false,
            ends: BTreeSet::new(),
            completed: BTreeMap::new(),
            withdrawn: HashSet::new(),
            assigned: BTreeMap::new(),
        }
    }

    /// Returns the estimated size of the edited pages in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.edits.values().map(|edited| edited.bytes).sum()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.edits.is_empty() && self.ends.is_empty()
    }

    /// Returns whether the transaction can take a number of further changes and conditions.
    fn fits(&self, ops: usize, conditions: usize) -> bool {
        let conditions = conditions
            + FIXED_CONDITIONS
            + self.edits.len()
            + self.jobs.union(&self.ends).count()
            + self.teams.len()
            + usize::from(self.has_rules);
        self.edits.len() + self.ends.len() + ops <= self.max_ops
            && conditions <= self.max_conditions
    }

    /// Returns a page for editing, or `None` if the transaction cannot take another page.
    fn edit(&mut self, mirror: &Mirror, number: u32) -> Option<&mut EditedPage> {
        if !self.edits.contains_key(&number) {
            if !self.fits(1, 1) || self.bytes() + self.page_bytes > TXN_BYTES {
                return None;
            }
            let page = mirror.needed_entries(self.shard, number);
            let bytes = page.bytes(&mirror.hosts, self.format);
            self.edits.insert(number, EditedPage { page, bytes });
        }
        self.edits.get_mut(&number)
    }

    /// Removes an assignment from its page; returns false if the removal has to wait for another
    /// cycle.
    pub(super) fn unassign(
        &mut self,
        mirror: &Mirror,
        task: Task,
        page: u32,
        is_done: bool,
    ) -> bool {
        let (job, number) = task;
        let is_over = mirror.end(job).is_some();
        let Some(EditedPage { page, .. }) = self.edit(mirror, page) else {
            return false;
        };
        if let Some(job_tasks) = page.jobs.get_mut(&job) {
            job_tasks.assignments.remove(&number);
            if is_done && !is_over {
                job_tasks.done.insert(number);
            }
            if job_tasks.assignments.is_empty() && (job_tasks.done.is_empty() || is_over) {
                page.jobs.remove(&job);
            }
        }
        self.withdrawn.insert(task);
        if is_done && !is_over {
            self.completed.entry(job).or_default().insert(number);
        }
        true
    }

    /// Adds an assignment to the last page or to a new one; returns false if the assignment has to
    /// wait for another cycle. `limited_team` is the job's team if that has a limit.
    pub(super) fn assign(
        &mut self,
        mirror: &Mirror,
        task: Task,
        assignment: Assignment,
        limited_team: Option<u32>,
    ) -> bool {
        let (job, number) = task;
        let open = mirror.open.get(&job);
        let has_rules = open.is_some_and(|open| open.rules.is_some());
        let new_conditions = usize::from(!self.jobs.contains(&job))
            + usize::from(limited_team.is_some_and(|team| !self.teams.contains(&team)))
            + usize::from(has_rules && !self.has_rules);
        if !self.fits(0, new_conditions) {
            return false;
        }
        let more_bytes =
            Page::assignment_bytes(job, number, &assignment, &mirror.hosts, self.format);
        let Some(page_number) = self.page_with_capacity(mirror, more_bytes) else {
            return false;
        };
        // Checked again, because a new page has added a condition.
        if !self.fits(0, new_conditions) {
            return false;
        }
        self.last_page = Some(page_number);
        let Some(EditedPage { page, bytes }) = self.edits.get_mut(&page_number) else {
            return false;
        };
        *bytes += more_bytes;
        let job_tasks = page.jobs.entry(job).or_default();
        job_tasks.assignments.insert(number, assignment);
        self.jobs.insert(job);
        self.teams.extend(limited_team);
        self.has_rules |= has_rules;
        self.assigned.entry(assignment.host).or_default().push(task);
        true
    }

    /// Returns the number of the page that can take an assignment of `more_bytes`, which is the
    /// last page or a new one, and opens that page for editing. Returns `None` if the transaction
    /// cannot take the page.
    fn page_with_capacity(&mut self, mirror: &Mirror, more_bytes: usize) -> Option<u32> {
        let (format, max_bytes) = (self.format, self.page_bytes);
        let number = self.last_page.unwrap_or(0);
        let EditedPage { page, bytes } = self.edit(mirror, number)?;
        if *bytes + more_bytes > max_bytes {
            // The size is an estimate; assignments removed in this cycle may have freed bytes.
            *bytes = page.bytes(&mirror.hosts, format);
        }
        // An empty page takes an assignment even if that alone exceeds the size limit.
        if *bytes + more_bytes <= max_bytes || page.jobs.is_empty() {
            return Some(number);
        }
        self.edit(mirror, number + 1)?;
        Some(number + 1)
    }

    /// Returns how many assignments of a job this cycle withdraws.
    pub(super) fn withdrawn_of(&self, job: u64) -> usize {
        self.withdrawn.iter().filter(|task| task.0 == job).count()
    }

    /// Returns the numbers of the tasks proven completed, by job, and clears them.
    pub(super) fn take_completed(&mut self) -> BTreeMap<u64, RangeSet> {
        std::mem::take(&mut self.completed)
    }

    /// Ends a job, unless the transaction cannot take the change.
    pub(super) fn end(&mut self, job: u64) {
        if self.fits(1, 1) {
            self.ends.insert(job);
        }
    }

    /// Returns the jobs that the cycle ends.
    pub(super) fn ends(&self) -> &BTreeSet<u64> {
        &self.ends
    }
}
