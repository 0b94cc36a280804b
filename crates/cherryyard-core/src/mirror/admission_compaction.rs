//! Compaction of the admission log: deletes pages whose jobs are all stored elsewhere or are gone,
//! and joins pages with few remaining jobs.

use super::Mirror;
use super::admission_log::{MAX_JOBS_PER_PAGE, PageDraft};
use crate::Config;
use cherryyard_wire::record::{Key, admission_log_key};
use cherryyard_wire::state::{Change, Commit};

/// Maximum number of changes for deleting a page: the deletion, and the rewrite of the page
/// before it.
const CHANGES_PER_DELETION: usize = 2;
/// Maximum number of changes for joining two pages: the rewrite of the target, and the changes for
/// deleting the other page.
const CHANGES_PER_JOIN: usize = 3;

/// Page with few remaining jobs, which may be joined with a later one.
#[derive(Clone, Copy)]
struct SparsePage {
    page: u64,
    jobs: usize,
}

impl Mirror {
    /// Returns the transaction that compacts the admission log, if there is anything to compact.
    /// The transaction deletes pages whose jobs all have other records or are gone, and joins two
    /// pages on which few jobs remain. The last page is left unchanged, since transactions that add
    /// jobs depend on its revision to detect other additions. Page 0 is emptied instead of deleted.
    pub(crate) fn compact_pages(&self, config: &Config) -> Option<Commit> {
        let mut commit = Commit::default();
        let last = self.admission_log.last_page()?;
        let mut sparse: Option<SparsePage> = None;
        for (&page, existing) in self.admission_log.pages().range(..last) {
            if existing.has_unknown_team {
                continue;
            }
            let capacity = config.txn_ops.saturating_sub(commit.changes.len());
            if capacity < CHANGES_PER_DELETION {
                break;
            }
            let remaining = existing
                .jobs
                .iter()
                .filter(|job| self.is_only_in_admission_log(**job))
                .count();
            if page == 0 {
                if remaining == 0 && !existing.jobs.is_empty() {
                    self.require(&mut commit, Key::AdmissionPage(0));
                    commit.changes.push(PageDraft::new(config).apply(0));
                }
            } else if remaining == 0 {
                // The deletion rewrites the page before it, so that page is not joined in the
                // same transaction.
                sparse = sparse.filter(|earlier| earlier.page + 1 != page);
                self.delete_page(&mut commit, page, config);
            } else if remaining <= MAX_JOBS_PER_PAGE / 4 {
                // The jobs move to the later of the two pages: a full read in progress, which
                // reads keys in order, then finds them on at least one of the pages.
                match sparse.take() {
                    Some(earlier)
                        if earlier.jobs + remaining <= MAX_JOBS_PER_PAGE / 2
                            && capacity >= CHANGES_PER_JOIN =>
                    {
                        if self.join_pages(&mut commit, earlier.page, page, config) {
                            break;
                        }
                    }
                    _ => {
                        sparse = Some(SparsePage {
                            page,
                            jobs: remaining,
                        })
                    }
                }
            }
        }
        (!commit.changes.is_empty()).then_some(commit)
    }

    /// Adds the deletion of a page to a transaction; returns false, and adds nothing, if the page
    /// before it cannot be rewritten. A transaction that creates this page may still be applied
    /// late. Such a transaction depends on the revision of the page before, so that page is
    /// rewritten too, if it exists and the transaction does not change it already.
    fn delete_page(&self, commit: &mut Commit, page: u64, config: &Config) -> bool {
        let is_changed = |page: u64| {
            let key = admission_log_key(page);
            commit.changes.iter().any(|change| change.key() == key)
        };
        let previous = page.checked_sub(1);
        let is_known = |page: &u64| self.admission_log.get(*page).is_some();
        let previous = previous.filter(|page| is_known(page) && !is_changed(*page));
        if let Some(previous) = previous {
            let Some(draft) = self.draft(previous, config) else {
                return false;
            };
            self.require(commit, Key::AdmissionPage(previous));
            commit.changes.push(draft.apply(previous));
        }
        self.require(commit, Key::AdmissionPage(page));
        commit.changes.push(Change::delete(admission_log_key(page)));
        true
    }

    /// Adds the changes that move the remaining jobs of one page to another to a transaction;
    /// returns false, and adds nothing, if the jobs do not fit or a page cannot be rewritten.
    fn join_pages(&self, commit: &mut Commit, from: u64, into: u64, config: &Config) -> bool {
        let moved = self.admission_log.get(from);
        let (Some(moved), Some(mut draft)) = (moved, self.draft(into, config)) else {
            return false;
        };
        let mut remaining = moved
            .jobs
            .iter()
            .filter(|job| self.is_only_in_admission_log(**job));
        let fits = remaining.all(|&job| {
            let open = self.open.get(&job);
            open.is_some_and(|open| draft.push(job, open))
        });
        if !fits {
            return false;
        }
        // The put comes before the deletion, so that a mirror that applies the changes in order
        // never drops the moved jobs.
        let mut joined = commit.clone();
        self.require(&mut joined, Key::AdmissionPage(into));
        joined.changes.push(draft.apply(into));
        let deleted = self.delete_page(&mut joined, from, config);
        if deleted {
            *commit = joined;
        }
        deleted
    }
}
