//! Pages of new jobs in the mirror, and the transactions that change them.
//!
//! A new job comes by the last page, or by a new one after it; or, where jobs have
//! records of their own, by such a record. All these transactions depend on the last
//! page's revision and on there being none after it, and on the absence of a record of the
//! job's own. So whoever adds a job has seen all that were added by pages before, and
//! that it was not added otherwise: no job comes twice. One put can carry many, and
//! records do not get into each other's way.
//!
//! A transaction without an answer may be carried out after later ones. So that what it
//! took for absent is not absent once more, the last page and page 0 are never deleted,
//! and who deletes another changes the page before it, if that is still there.
//!
//! What is stored of a job elsewhere, in a record of its own or in a bucket, counts
//! instead of its page: its end, or a division that has changed. A job without such a
//! record is as its page says, and whoever depends on that depends on the record's
//! absence (or on the bucket, where there are buckets).

use super::{Mirror, OpenJob};
use crate::Config;
use cherryyard_wire::admission_log::{AdmissionPageRecord, AdmittedJob, Rest};
use cherryyard_wire::record::{BUCKETS, Key, admission_log_key};
use cherryyard_wire::state::{Apply, Commit, Json};
use std::collections::BTreeSet;

/// Largest page, whatever the value limit: each is told to all controllers whenever a
/// job is added to it.
const MOST_BYTES: usize = 4096;
/// Most jobs of a page.
pub const MOST_ROWS: usize = 64;

/// Changes that the deletion of a page takes, and that its joining with another takes.
const DELETE_CHANGES: usize = 2;
const JOIN_CHANGES: usize = 3;

/// A page of new jobs as the mirror knows it.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPage {
    /// Revision of its key.
    pub revision: u64,
    /// Its jobs.
    pub jobs: BTreeSet<u64>,
    /// Whether it names a team that is not in our settings: it is left as it is.
    foreign: bool,
}

/// A page in the making.
#[derive(Debug, Default)]
pub struct Draft {
    record: AdmissionPageRecord,
    bytes: usize,
}

impl Draft {
    /// Adds a job if there is room for it.
    fn push(&mut self, job: u64, open: &OpenJob, most: usize) -> bool {
        let mut one = AdmissionPageRecord::default();
        let add = |record: &mut AdmissionPageRecord| {
            let rest = Rest {
                zone: open.zone.clone(),
                caps: open.caps.clone(),
                rules: open.rules.as_ref().map(|r| r.0.clone()),
                after: open.after.clone(),
            };
            record.push(job, &open.spec, open.at, &open.div, rest);
        };
        add(&mut one);
        let known = self.record.common.contains(&one.common[0]);
        let size = |x: Option<Vec<u8>>| x.map_or(most, |text| text.len() + 1);
        // Later rows' times have more digits.
        let mut bytes = size(serde_json::to_vec(&one.jobs).ok()) + 12;
        if !known {
            bytes += size(serde_json::to_vec(&one.common).ok());
        }
        if self.record.jobs.len() >= MOST_ROWS || self.bytes + bytes + 50 > most {
            return false;
        }
        self.bytes += bytes;
        add(&mut self.record);
        true
    }

    fn apply(&self, page: u64) -> Apply {
        Apply::put(admission_log_key(page), Json::of(&self.record))
    }
}

fn page_bytes(config: &Config) -> usize {
    config.value_bytes.min(MOST_BYTES)
}

impl Mirror {
    /// Whether new jobs come by pages, and all that came before is known: a job that
    /// was added otherwise just before the pages began must not be missed.
    pub fn takes_pages(&self) -> bool {
        self.by_pages && self.store_revision >= self.format_revision
    }

    /// Whether jobs may wait for others, and all that came before that was decided is
    /// known.
    pub fn takes_dependencies(&self) -> bool {
        self.dependencies && self.store_revision >= self.format_revision
    }

    /// Whether an open job is as its page says.
    pub fn in_page(&self, job: u64) -> bool {
        let open = self.open.get(&job);
        open.is_some_and(|o| o.revision == 0) && !self.bucket_of.contains_key(&job)
    }

    /// The page that names a job, if any does.
    pub fn page_of(&self, job: u64) -> Option<u64> {
        self.arrived.get(&job).copied()
    }

    pub(super) fn put_admission_page(
        &mut self,
        page: u64,
        record: AdmissionPageRecord,
        revision: u64,
    ) -> Result<(), String> {
        let all = record.read(self.shards.len()).ok_or("bad rows")?;
        let mut new = AdmissionPage {
            revision,
            ..AdmissionPage::default()
        };
        for arrival in all {
            let job = arrival.job;
            new.jobs.insert(job);
            new.foreign |= self.teams.get(&arrival.spec.team).is_none();
            self.arrived.insert(job, page);
            // What has been stored of it since counts.
            if !self.ended.contains_key(&job)
                && (!self.open.contains_key(&job) || self.in_page(job))
            {
                self.put_admission(arrival);
            }
        }
        let old = self.admission_log.insert(page, new).unwrap_or_default();
        self.drop_admission_page(page, old.jobs);
        Ok(())
    }

    fn put_admission(&mut self, arrival: AdmittedJob) {
        let job = arrival.job;
        if self.open.get(&job).is_some_and(|o| o.div == arrival.div) {
            return;
        }
        let rules = arrival.rest.rules;
        if let Some(new) = self.new_job(arrival.spec, rules, arrival.at) {
            let open = OpenJob {
                div: arrival.div,
                zone: arrival.rest.zone,
                caps: arrival.rest.caps,
                after: arrival.rest.after,
                ..new
            };
            self.insert_open(job, open);
            self.refresh_job(job);
        }
    }

    pub(super) fn drop_page(&mut self, page: u64) {
        let old = self.admission_log.remove(&page).unwrap_or_default();
        self.drop_admission_page(page, old.jobs);
    }

    /// Of a page's jobs before, those that it does not name any more and that have not
    /// gone to another.
    fn drop_admission_page(&mut self, page: u64, before: BTreeSet<u64>) {
        for job in before {
            let named = |a: &AdmissionPage| a.jobs.contains(&job);
            if self.arrived.get(&job) == Some(&page)
                && !self.admission_log.get(&page).is_some_and(named)
            {
                self.arrived.remove(&job);
                if self.in_page(job) {
                    self.drop_job(job);
                }
            }
        }
    }

    /// A page with what still depends on it; none if it is not ours to write anew.
    fn draft(&self, page: u64, most: usize) -> Option<Draft> {
        let known = self.admission_log.get(&page).filter(|a| !a.foreign)?;
        let mut draft = Draft::default();
        // What has a record of its own need not be named any longer.
        let mut here = known.jobs.iter().filter(|job| self.in_page(**job));
        let fits = here.all(|&job| draft.push(job, &self.open[&job], most));
        fits.then_some(draft)
    }

    /// Adds to a transaction what adds new jobs, as many of these as fit into one
    /// page; says how many. They must not be known to this mirror, nor twice among
    /// them.
    pub fn add_jobs<'a>(
        &self,
        commit: &mut Commit,
        jobs: impl Iterator<Item = (u64, &'a OpenJob)>,
        config: &Config,
    ) -> usize {
        let most = page_bytes(config);
        let last = self.admission_log.last_key_value().map(|(&page, _)| page);
        let after = last.map_or(0, |page| page + 1);
        let drafted = last.and_then(|page| Some((page, self.draft(page, most)?)));
        let (mut page, mut draft) = drafted.unwrap_or((after, Draft::default()));
        let mut added = 0;
        for (job, open) in jobs {
            // Its own condition, and the two on pages.
            if self.format < BUCKETS && commit.when.len() + 3 > config.max_conditions() {
                break;
            }
            if !draft.push(job, open, most) {
                if added > 0 || draft.record.jobs.is_empty() {
                    break;
                }
                // The last page is full: a new one.
                (page, draft) = (after, Draft::default());
                if !draft.push(job, open, most) {
                    break;
                }
            }
            added += 1;
            if self.format < BUCKETS {
                self.require(commit, Key::Job(job));
            }
        }
        self.require_pages(commit);
        if added > 0 {
            commit.apply.push(draft.apply(page));
        }
        added
    }

    /// Adds the conditions that no job has come by a page that is not known here.
    pub(crate) fn require_pages(&self, commit: &mut Commit) {
        let last = self.admission_log.last_key_value().map(|(&page, _)| page);
        if let Some(last) = last {
            self.require(commit, Key::AdmissionPage(last));
        }
        self.require(commit, Key::AdmissionPage(last.map_or(0, |page| page + 1)));
    }

    /// Adds to a transaction what writes a page anew with these jobs changed; false if
    /// it has no room for that.
    pub(crate) fn rewrite_page(
        &self,
        commit: &mut Commit,
        page: u64,
        changed: &[(u64, OpenJob)],
        config: &Config,
    ) -> bool {
        let most = page_bytes(config);
        let Some(known) = self.admission_log.get(&page).filter(|a| !a.foreign) else {
            return false;
        };
        let mut draft = Draft::default();
        for &job in &known.jobs {
            let new = changed.iter().find(|c| c.0 == job).map(|c| &c.1);
            let old = self.open.get(&job).filter(|_| self.in_page(job));
            if let Some(open) = new.or(old)
                && !draft.push(job, open, most)
            {
                return false;
            }
        }
        self.require(commit, Key::AdmissionPage(page));
        commit.apply.push(draft.apply(page));
        true
    }

    /// Adds to a transaction what deletes a page. One that was to make this page, and is
    /// carried out late, depends on the page before: that is changed, if it is there.
    fn delete_page(&self, commit: &mut Commit, page: u64, config: &Config) -> bool {
        let changed = |at: u64| {
            let key = admission_log_key(at);
            commit.apply.iter().any(|a| a.key() == key)
        };
        let before = page.checked_sub(1);
        let before = before.filter(|at| self.admission_log.contains_key(at) && !changed(*at));
        if let Some(before) = before {
            let Some(draft) = self.draft(before, page_bytes(config)) else {
                return false;
            };
            self.require(commit, Key::AdmissionPage(before));
            commit.apply.push(draft.apply(before));
        }
        self.require(commit, Key::AdmissionPage(page));
        commit.apply.push(Apply::delete(admission_log_key(page)));
        true
    }

    /// The transaction that tidies the pages, if there is something to compact: pages of
    /// which no job depends any more are deleted, and what little is left of two goes
    /// into one. Never the last: it shows what has been added. The first is emptied.
    pub(crate) fn compact_pages(&self, config: &Config) -> Option<Commit> {
        let mut commit = Commit::default();
        let last = *self.admission_log.last_key_value()?.0;
        let mut left: Option<(u64, usize)> = None;
        for (&page, known) in self.admission_log.range(..last).filter(|(_, a)| !a.foreign) {
            let capacity = config.txn_ops.saturating_sub(commit.apply.len());
            if capacity < DELETE_CHANGES {
                break;
            }
            let here = known.jobs.iter().filter(|job| self.in_page(**job)).count();
            if page == 0 {
                if here == 0 && !known.jobs.is_empty() {
                    self.require(&mut commit, Key::AdmissionPage(0));
                    commit.apply.push(Draft::default().apply(0));
                }
            } else if here == 0 {
                // One that is written for this is not joined in the same transaction.
                left = left.filter(|l| l.0 + 1 != page);
                self.delete_page(&mut commit, page, config);
            } else if here <= MOST_ROWS / 4 {
                // Into the later of the two: one who reads page by page meanwhile
                // finds its jobs in one or the other.
                match left.take() {
                    Some((earlier, n)) if n + here <= MOST_ROWS / 2 && capacity >= JOIN_CHANGES => {
                        if self.join_pages(&mut commit, earlier, page, config) {
                            break;
                        }
                    }
                    _ => left = Some((page, here)),
                }
            }
        }
        (!commit.apply.is_empty()).then_some(commit)
    }

    fn join_pages(&self, commit: &mut Commit, from: u64, into: u64, config: &Config) -> bool {
        let most = page_bytes(config);
        let Some(mut draft) = self.draft(into, most) else {
            return false;
        };
        let moving = &self.admission_log[&from].jobs;
        let fits = moving.iter().filter(|job| self.in_page(**job)).all(|&job| {
            let open = self.open.get(&job);
            open.is_some_and(|open| draft.push(job, open, most))
        });
        // First what comes, then what goes: a reader of the changes loses no job.
        let mut joined = commit.clone();
        self.require(&mut joined, Key::AdmissionPage(into));
        joined.apply.push(draft.apply(into));
        let fits = fits && self.delete_page(&mut joined, from, config);
        if fits {
            *commit = joined;
        }
        fits
    }
}
