//! How pages of the admission log that few jobs depend on are deleted or joined.

use super::Mirror;
use super::admission_log::{MOST_ROWS, PageDraft};
use crate::Config;
use cherryyard_wire::record::{Key, admission_log_key};
use cherryyard_wire::state::{Apply, Commit};

/// Changes that the deletion of a page takes, and that its joining with another takes.
const DELETE_CHANGES: usize = 2;
const JOIN_CHANGES: usize = 3;

/// A page that may be joined with a later one.
#[derive(Clone, Copy)]
struct SparsePage {
    page: u64,
    jobs: usize,
}

impl Mirror {
    /// The transaction that tidies the pages, if there is something to compact: pages of
    /// which no job depends any more are deleted, and what little is left of two goes
    /// into one. Never the last: it shows what has been added. The first is emptied.
    pub(crate) fn compact_pages(&self, config: &Config) -> Option<Commit> {
        let mut commit = Commit::default();
        let last = self.admission_log.last_page()?;
        let mut sparse: Option<SparsePage> = None;
        for (&page, known) in self.admission_log.pages().range(..last) {
            if known.foreign {
                continue;
            }
            let capacity = config.txn_ops.saturating_sub(commit.apply.len());
            if capacity < DELETE_CHANGES {
                break;
            }
            let here = known.jobs.iter().filter(|job| self.in_page(**job)).count();
            if page == 0 {
                if here == 0 && !known.jobs.is_empty() {
                    self.require(&mut commit, Key::AdmissionPage(0));
                    commit.apply.push(PageDraft::new(config).apply(0));
                }
            } else if here == 0 {
                // One that is written for this is not joined in the same transaction.
                sparse = sparse.filter(|earlier| earlier.page + 1 != page);
                self.delete_page(&mut commit, page, config);
            } else if here <= MOST_ROWS / 4 {
                // Into the later of the two: one who reads page by page meanwhile
                // finds its jobs in one or the other.
                match sparse.take() {
                    Some(earlier)
                        if earlier.jobs + here <= MOST_ROWS / 2 && capacity >= JOIN_CHANGES =>
                    {
                        if self.join_pages(&mut commit, earlier.page, page, config) {
                            break;
                        }
                    }
                    _ => sparse = Some(SparsePage { page, jobs: here }),
                }
            }
        }
        (!commit.apply.is_empty()).then_some(commit)
    }

    /// Adds to a transaction what deletes a page; false if that cannot be done. A
    /// transaction that was to make this page, and is carried out late, depends on the page
    /// before: that is changed, if it is there.
    fn delete_page(&self, commit: &mut Commit, page: u64, config: &Config) -> bool {
        let is_changed = |page: u64| {
            let key = admission_log_key(page);
            commit.apply.iter().any(|change| change.key() == key)
        };
        let before = page.checked_sub(1);
        let is_known = |page: &u64| self.admission_log.get(*page).is_some();
        let before = before.filter(|page| is_known(page) && !is_changed(*page));
        if let Some(before) = before {
            let Some(draft) = self.draft(before, config) else {
                return false;
            };
            self.require(commit, Key::AdmissionPage(before));
            commit.apply.push(draft.apply(before));
        }
        self.require(commit, Key::AdmissionPage(page));
        commit.apply.push(Apply::delete(admission_log_key(page)));
        true
    }

    /// Adds to a transaction what moves a page's jobs into another; false, and nothing
    /// added, if that cannot be done.
    fn join_pages(&self, commit: &mut Commit, from: u64, into: u64, config: &Config) -> bool {
        let moving = self.admission_log.get(from);
        let (Some(moving), Some(mut draft)) = (moving, self.draft(into, config)) else {
            return false;
        };
        let mut here = moving.jobs.iter().filter(|job| self.in_page(**job));
        let fits = here.all(|&job| {
            let open = self.open.get(&job);
            open.is_some_and(|open| draft.push(job, open))
        });
        if !fits {
            return false;
        }
        // First what comes, then what goes: a reader of the changes loses no job.
        let mut joined = commit.clone();
        self.require(&mut joined, Key::AdmissionPage(into));
        joined.apply.push(draft.apply(into));
        let deleted = self.delete_page(&mut joined, from, config);
        if deleted {
            *commit = joined;
        }
        deleted
    }
}
