//! Division of assignment pages that are larger than the state service's current limit.
//!
//! A page that was written under a larger limit can still be read but not rewritten, and dividing
//! it may take more changes than fit into one transaction. So it is divided in steps: first its
//! entries are copied into new pages, as many at a time as a transaction can write, and once every
//! entry has a copy the page is deleted.
//!
//! A page is in division as long as it holds a task that a later page holds too. That is stored,
//! so it does not depend on the page's size, on the limit, or on which controller owns the shard.
//! While a page is in division, nothing of the shard is assigned or withdrawn, so the copies stay
//! equal to the originals. Every step depends on the page's revision, so no delayed step can be
//! applied after the page is deleted.
//!
//! Earlier builds asked for the page's size in each step, and went on assigning and withdrawing
//! tasks once a page in division was small enough. Where the two entries of a task differ
//! therefore, the one that supersedes the other is kept.

use super::TXN_BYTES;
use crate::controller::Controller;
use crate::names::Names;
use crate::pages::{Assignment, Page, PageFormat, PageJob};
use cherryyard_wire::RangeSet;
use cherryyard_wire::record::{self, Key};
use cherryyard_wire::state::{Change, Commit};

/// One step of the division of a page.
pub(super) struct DivisionStep {
    /// Number of the page that is divided.
    pub(super) page: u32,
    pub(super) commit: Commit,
}

impl Controller {
    /// Returns the next step of dividing the shard's page that is in division, or else its first
    /// oversized page; `None` if there is neither.
    pub(super) fn next_division_step(&self, shard_id: usize, token: u64) -> Option<DivisionStep> {
        let page_in_division = self.mirror.page_in_division(shard_id);
        let (number, page) = match page_in_division {
            Some(number) => (number, self.mirror.needed_entries(shard_id, number)),
            None => self.oversized_page(shard_id)?,
        };
        let mut commit = Commit::default();
        commit.require(record::shard_key(shard_id), token);
        let source = Key::Assignment {
            shard: shard_id,
            page: number,
        };
        self.mirror.require(&mut commit, source);
        let copies = self.copies(&self.without_copies(shard_id, number, page));
        if copies.is_empty() {
            commit.changes.push(delete_page(shard_id, number));
            tracing::info!(shard = shard_id, page = number, "oversized page divided");
            return Some(DivisionStep {
                page: number,
                commit,
            });
        }
        tracing::info!(
            shard = shard_id,
            page = number,
            is_first_step = page_in_division.is_none(),
            bytes = self.stored_page_bytes(shard_id, number),
            limit = self.config.page_bytes,
            copies = copies.len(),
            "oversized page copied"
        );
        let format = self.mirror.page_format();
        let first = self.mirror.last_page(shard_id).map_or(0, |last| last + 1);
        for (copy, number) in copies.iter().zip(first..) {
            let key = Key::Assignment {
                shard: shard_id,
                page: number,
            };
            self.mirror.require(&mut commit, key);
            let stored = copy.stored(&self.mirror.hosts, format);
            let key = record::assignments_key(shard_id, number);
            commit.changes.push(Change::set(key, &stored));
        }
        Some(DivisionStep {
            page: number,
            commit,
        })
    }

    /// Returns the size of a page as it is stored, in bytes.
    fn stored_page_bytes(&self, shard_id: usize, number: u32) -> usize {
        let page = self.mirror.tasks.pages[shard_id].get(&number);
        page.map_or(0, |page| page.max_stored_bytes)
    }

    /// Returns the shard's first page that is too large to be rewritten, without the ended jobs
    /// that have no assignments in it.
    fn oversized_page(&self, shard_id: usize) -> Option<(u32, Page)> {
        let max_bytes = self.config.page_bytes;
        let format = self.mirror.page_format();
        self.mirror.tasks.pages[shard_id]
            .iter()
            .find_map(|(&number, page)| {
                // Skips pages whose upper bound or exact size is within the limit, which are almost
                // all.
                if page.max_stored_bytes <= max_bytes
                    || page.bytes(&self.mirror.hosts, format) <= max_bytes
                {
                    return None;
                }
                let page = self.mirror.needed_entries(shard_id, number);
                (page.bytes(&self.mirror.hosts, format) > max_bytes).then_some((number, page))
            })
    }

    /// Returns the entries of a page that none of the shard's other pages holds or supersedes.
    fn without_copies(&self, shard_id: usize, number: u32, mut page: Page) -> Page {
        let others = || {
            let all = self.mirror.tasks.pages[shard_id].iter();
            all.filter(|other| *other.0 != number).map(|other| other.1)
        };
        for (job, job_tasks) in &mut page.jobs {
            for copy in others().filter_map(|other| other.jobs.get(job)) {
                log_superseded(shard_id, number, *job, job_tasks, copy);
                job_tasks
                    .assignments
                    .retain(|&number, assignment| !copy.supersedes(number, assignment));
                job_tasks.done = job_tasks.done.difference(&copy.done);
            }
        }
        page.jobs.retain(|_, job_tasks| {
            !(job_tasks.assignments.is_empty() && job_tasks.done.is_empty())
        });
        page
    }

    /// Returns new pages with as many of a page's entries as one transaction can write.
    fn copies(&self, page: &Page) -> Vec<Page> {
        let max_pages = self.config.txn_ops.min(TXN_BYTES / self.config.page_bytes);
        let mut plan = PagePlan {
            hosts: &self.mirror.hosts,
            format: self.mirror.page_format(),
            max_bytes: self.config.page_bytes,
            max_pages: max_pages.max(1),
            pages: Vec::new(),
            bytes: 0,
        };
        for (&job, job_tasks) in &page.jobs {
            for range in job_tasks.done.ranges() {
                if !plan.push_done(job, *range) {
                    return plan.pages;
                }
            }
            for (&number, &assignment) in &job_tasks.assignments {
                if !plan.push_assignment(job, number, assignment) {
                    return plan.pages;
                }
            }
        }
        plan.pages
    }
}

/// Logs the tasks of a page in division of which another page does not hold an equal entry, but
/// one that supersedes it.
fn log_superseded(shard: usize, page: u32, job: u64, entries: &PageJob, copy: &PageJob) {
    let differing = entries.assignments.iter().filter(|(number, assignment)| {
        copy.supersedes(**number, assignment) && copy.assignments.get(number) != Some(assignment)
    });
    let numbers: Vec<u32> = differing.map(|(&number, _)| number).collect();
    if !numbers.is_empty() {
        tracing::warn!(
            shard,
            page,
            job,
            ?numbers,
            "superseded assignments in a divided page"
        );
    }
}

/// Returns the change that deletes a page; the first page is replaced by an empty one.
fn delete_page(shard_id: usize, number: u32) -> Change {
    let key = record::assignments_key(shard_id, number);
    if number == 0 {
        let empty = Page::default().stored(&Names::default(), PageFormat::Plain);
        return Change::set(key, &empty);
    }
    Change::delete(key)
}

/// New pages that are filled one after the other.
struct PagePlan<'a> {
    hosts: &'a Names,
    format: PageFormat,
    max_bytes: usize,
    max_pages: usize,
    pages: Vec<Page>,
    /// Estimated size of the last page in bytes.
    bytes: usize,
}

impl PagePlan<'_> {
    /// Size of an empty page in bytes.
    const EMPTY_BYTES: usize = 20;
    /// Maximum number of bytes that a range of completed task numbers adds: its job and both ends.
    const RANGE_BYTES: usize = 60;

    fn push_done(&mut self, job: u64, range: (u32, u32)) -> bool {
        let Some(page) = self.capacity_for(Self::RANGE_BYTES) else {
            return false;
        };
        let job_tasks = page.jobs.entry(job).or_default();
        job_tasks.done = job_tasks
            .done
            .union(&RangeSet::from_range(range.0, range.1));
        true
    }

    fn push_assignment(&mut self, job: u64, number: u32, assignment: Assignment) -> bool {
        let bytes = Page::assignment_bytes(job, number, &assignment, self.hosts, self.format);
        let Some(page) = self.capacity_for(bytes) else {
            return false;
        };
        let job_tasks = page.jobs.entry(job).or_default();
        job_tasks.assignments.insert(number, assignment);
        true
    }

    /// Returns the page that can take `bytes` more bytes, which is the last one or a new one, or
    /// `None` if all pages are full.
    fn capacity_for(&mut self, bytes: usize) -> Option<&mut Page> {
        if self.pages.is_empty() || self.bytes + bytes > self.max_bytes {
            let exact = self
                .pages
                .last()
                .map(|page| page.bytes(self.hosts, self.format));
            match exact.filter(|exact| exact + bytes <= self.max_bytes) {
                // The estimate counts the job and the machine for each entry; entries that share
                // them take fewer bytes.
                Some(exact) => self.bytes = exact,
                None if self.pages.len() >= self.max_pages => return None,
                None => {
                    self.pages.push(Page::default());
                    self.bytes = Self::EMPTY_BYTES;
                }
            }
        }
        self.bytes += bytes;
        self.pages.last_mut()
    }
}
