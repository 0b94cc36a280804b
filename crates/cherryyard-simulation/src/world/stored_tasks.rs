//! Checks of the stored records: a job that is stored as done has no unfinished task, and each
//! task of a shard has one entry in its pages, except that a page in division and its copies hold
//! equal entries.

use super::World;
use cherryyard_wire::job_id::job_id;
use cherryyard_wire::page::StoredPage;
use cherryyard_wire::record::{BucketRecord, JobOutcome, JobRecord, Key, PageRecord};
use cherryyard_wire::state::WatchEvent;
use std::collections::{BTreeMap, BTreeSet};

/// Stored state of a task in a page.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Entry {
    Assigned { attempt: u64, machine: String },
    Completed,
}

/// Entries of one page, or of all pages of a shard, by job and task number.
type Entries = BTreeMap<(u64, u32), BTreeSet<Entry>>;

/// Pages of the shards, and the jobs that are stored as done, as of the last check.
#[derive(Debug, Default)]
pub(super) struct StoredTasks {
    /// Number of the store's changes that have been checked.
    checked_changes: usize,
    pages: BTreeMap<usize, BTreeMap<u32, Entries>>,
    ended: BTreeSet<u64>,
}

impl StoredTasks {
    /// Applies a change of the store.
    fn apply(&mut self, change: &WatchEvent) {
        let Some((shard, page)) = changed_page(change) else {
            return;
        };
        let pages = self.pages.entry(shard).or_default();
        if change.delete.is_some() {
            pages.remove(&page);
        } else {
            let stored: StoredPage = change.value.read().expect("a page");
            pages.insert(page, entries(&stored.read().expect("a valid page")));
        }
    }

    /// Returns the entries of all pages of a shard.
    fn shard_entries(&self, shard: usize) -> Entries {
        let mut all = Entries::new();
        for page in self
            .pages
            .get(&shard)
            .into_iter()
            .flat_map(BTreeMap::values)
        {
            for (task, entries) in page {
                let entries = entries.iter().cloned();
                all.entry(*task).or_default().extend(entries);
            }
        }
        all
    }

    /// Returns whether a task stands in two pages of a shard.
    fn is_in_division(&self, shard: usize) -> bool {
        let mut seen = BTreeSet::new();
        let pages = self
            .pages
            .get(&shard)
            .into_iter()
            .flat_map(BTreeMap::values);
        pages
            .flat_map(BTreeMap::keys)
            .any(|task| !seen.insert(task))
    }
}

/// Returns the shard and the number of the page that a change writes or deletes.
fn changed_page(change: &WatchEvent) -> Option<(usize, u32)> {
    let key = change.set.as_ref().or(change.delete.as_ref())?;
    match Key::parse(key)? {
        Key::Assignment { shard, page } => Some((shard, page)),
        _ => None,
    }
}

/// Returns the entries of a stored page.
fn entries(page: &PageRecord) -> Entries {
    let mut all = Entries::new();
    for (job, groups, completed) in &page.jobs {
        for group in groups {
            for pair in group[2..].chunks_exact(2) {
                let machine = page.machines[pair[0] as usize].clone();
                let assigned = Entry::Assigned {
                    attempt: group[0],
                    machine,
                };
                all.entry((*job, pair[1] as u32))
                    .or_default()
                    .insert(assigned);
            }
        }
        for number in completed.iter() {
            all.entry((*job, number))
                .or_default()
                .insert(Entry::Completed);
        }
    }
    all
}

/// Returns the jobs that a change stores as ended, with their outcomes.
fn stored_ends(change: &WatchEvent) -> Vec<(u64, JobOutcome)> {
    match change.set.as_deref().and_then(Key::parse) {
        Some(Key::Job(job)) => match change.value.read() {
            Ok(JobRecord::Ended { end, .. }) => vec![(job, end)],
            _ => Vec::new(),
        },
        Some(Key::Bucket(_)) => {
            let bucket: BucketRecord = change.value.read().expect("a bucket");
            let ended = bucket.ended.iter();
            ended.map(|&(job, end, ..)| (job, end)).collect()
        }
        _ => Vec::new(),
    }
}

impl World {
    /// Returns whether a task stands in two pages of a shard: a page is being divided.
    pub fn is_in_division(&self, shard: usize) -> bool {
        self.stored_tasks.is_in_division(shard)
    }

    /// Checks the changes of the store since the last step.
    pub(super) fn check_stored_tasks(&mut self) {
        let changes = self.state.changes_after(self.stored_tasks.checked_changes);
        let changes = changes.to_vec();
        self.stored_tasks.checked_changes += changes.len();
        // All changes of one transaction take effect together.
        for transaction in changes.chunk_by(|a, b| a.revision == b.revision) {
            self.check_transaction(transaction);
        }
    }

    fn check_transaction(&mut self, changes: &[WatchEvent]) {
        for (job, end) in changes.iter().flat_map(stored_ends) {
            if self.stored_tasks.ended.insert(job) && end == JobOutcome::Done {
                self.check_stored_end(&job_id(job));
            }
        }
        let changed = changes.iter().filter_map(changed_page);
        let shards: BTreeSet<usize> = changed.map(|(shard, _)| shard).collect();
        let in_division = shards
            .iter()
            .filter(|&&shard| self.stored_tasks.is_in_division(shard))
            .map(|&shard| (shard, self.stored_tasks.shard_entries(shard)));
        let in_division: BTreeMap<usize, Entries> = in_division.collect();
        changes
            .iter()
            .for_each(|change| self.stored_tasks.apply(change));
        for shard in shards {
            self.check_pages(shard, in_division.get(&shard));
        }
    }

    /// Checks that each task of a job that is stored as done has completed.
    fn check_stored_end(&mut self, id: &str) {
        if self.submitted(id).is_some() && !self.is_complete(id) {
            self.record_violation(format!("{id} is stored as done before it is"));
        }
    }

    /// Checks a shard's pages after a change. `in_division` has their entries before the change
    /// if a page was in division then: of those only ended jobs' may go until it is divided.
    fn check_pages(&mut self, shard: usize, in_division: Option<&Entries>) {
        let entries = self.stored_tasks.shard_entries(shard);
        for ((job, number), entries) in &entries {
            if entries.len() > 1 {
                let id = job_id(*job);
                self.record_violation(format!("{id}/{number} is stored as {entries:?}"));
            }
        }
        let Some(before) = in_division else {
            return;
        };
        let is_open = |(job, _): &&(u64, u32)| !self.stored_tasks.ended.contains(job);
        let kept = before
            .keys()
            .filter(is_open)
            .all(|task| entries.contains_key(task));
        let added = entries
            .iter()
            .any(|(task, entry)| before.get(task) != Some(entry));
        if !kept || added {
            self.record_violation(format!("shard {shard} changes while a page is divided"));
        }
    }
}
