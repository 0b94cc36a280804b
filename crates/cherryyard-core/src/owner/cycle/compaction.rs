//! Compaction of a shard's pages, when its cycle has nothing else to write.

use super::{Cycle, EditedPage};
use crate::Mirror;

impl Cycle {
    /// Drops a page of which nothing is needed any more, or moves what is left of one into
    /// the last.
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
                // The first page stays, empty.
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

    /// Moves what a page holds into the last one, if it is little and there is room.
    fn move_into_last(&mut self, mirror: &Mirror, number: u32, bytes: usize, last: u32) -> bool {
        if bytes * 4 >= self.page_bytes {
            return false;
        }
        let most = self.page_bytes;
        let has_room = self
            .edit(mirror, last)
            .is_some_and(|into| into.bytes + bytes <= most);
        if !has_room {
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
            let here = into.page.jobs.entry(job).or_default();
            here.assignments.extend(moved.assignments);
            here.done = here.done.union(&moved.done);
        }
        into.bytes += bytes;
        true
    }
}
