//! Compaction of a shard's pages, in cycles that have nothing else to write.

use super::{Cycle, EditedPage};
use crate::Mirror;

impl Cycle {
    /// Deletes one page without any needed entries, or moves the remaining entries of one small
    /// page into the last page.
    pub(in crate::owner) fn compact_pages(&mut self, mirror: &Mirror) {
        let Some(last) = mirror.last_page(self.shard) else {
            return;
        };
        for (&number, stored) in &mirror.tasks.pages[self.shard] {
            let Some(EditedPage { page, bytes }) = self.edit(mirror, number) else {
                return;
            };
            let bytes = *bytes;
            if number == 0 && stored.jobs.is_empty() {
                // The first page is kept even if it is empty.
                self.edits.clear();
                continue;
            }
            if page.jobs.is_empty()
                || (number != last && self.move_into_last(mirror, number, bytes, last))
            {
                return;
            }
            self.edits.clear();
        }
    }

    /// Moves the entries of a page into the last one, if they take less than a quarter of a page
    /// and fit there. Returns whether they were moved.
    fn move_into_last(&mut self, mirror: &Mirror, number: u32, bytes: usize, last: u32) -> bool {
        if bytes * 4 >= self.page_bytes {
            return false;
        }
        let max_bytes = self.page_bytes;
        let has_capacity = self
            .edit(mirror, last)
            .is_some_and(|into| into.bytes + bytes <= max_bytes);
        if !has_capacity {
            return false;
        }
        let Some(from) = self.edits.get_mut(&number) else {
            return false;
        };
        let jobs = std::mem::take(&mut from.page.jobs);
        let Some(into) = self.edits.get_mut(&last) else {
            return false;
        };
        for (job, moved) in jobs {
            let job_tasks = into.page.jobs.entry(job).or_default();
            job_tasks.assignments.extend(moved.assignments);
            job_tasks.done = job_tasks.done.union(&moved.done);
        }
        into.bytes += bytes;
        self.log_growth(mirror, number, last);
        true
    }

    /// Logs that the merged page is larger than a page may be: its longer lists of machines and
    /// attempts make the indices in its entries longer.
    fn log_growth(&self, mirror: &Mirror, moved: u32, last: u32) {
        let Some(merged) = self.edits.get(&last) else {
            return;
        };
        let bytes = merged.page.bytes(&mirror.hosts, self.format);
        if bytes > self.page_bytes {
            tracing::info!(
                shard = self.shard,
                page = last,
                moved,
                estimated = merged.bytes,
                bytes,
                limit = self.page_bytes,
                "merged page exceeds the page limit"
            );
        }
    }
}
