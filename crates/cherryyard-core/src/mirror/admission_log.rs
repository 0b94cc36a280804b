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
//! and who deletes another changes the page before it, if that is still there
//! (`admission_compaction`).
//!
//! What is stored of a job elsewhere, in a record of its own or in a bucket, counts
//! instead of its page: its end, or a division that has changed. A job without such a
//! record is as its page says, and whoever depends on that depends on the record's
//! absence (or on the bucket, where there are buckets).

use super::job_containers::{JobContainer, JobContainers};
use super::record_error::RecordProblem;
use super::{Mirror, OpenJob};
use crate::Config;
use cherryyard_wire::admission_log::{AdmissionPageRecord, AdmittedJob, Rest};
use cherryyard_wire::record::{BUCKETS, Key, admission_log_key};
use cherryyard_wire::state::{Apply, Commit, Json};
use std::collections::{BTreeMap, BTreeSet};

/// Largest page, whatever the value limit: each goes to all controllers whenever a
/// job is added to it.
const MAX_PAGE_BYTES: usize = 4096;
/// Most jobs of a page.
pub const MOST_ROWS: usize = 64;
/// Bytes that a page's record takes beside its rows.
const FRAME_BYTES: usize = 50;
/// Bytes that a row may take more once others have come: later rows' times have more digits.
const ROW_RESERVE_BYTES: usize = 12;
/// Conditions that a job takes with the two on pages.
const JOB_CONDITIONS: usize = 3;

/// A page of new jobs as the mirror knows it.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPage {
    /// Revision of its key.
    pub revision: u64,
    /// Its jobs.
    pub jobs: BTreeSet<u64>,
    /// Whether it names a team that is not in our settings: it is left as it is.
    pub(super) foreign: bool,
}

impl JobContainer for AdmissionPage {
    fn jobs(&self) -> &BTreeSet<u64> {
        &self.jobs
    }
}

/// Which job came by which page. Written by this module alone.
#[derive(Clone, Debug, Default)]
pub struct AdmissionLog {
    pages: JobContainers<AdmissionPage>,
}

impl AdmissionLog {
    /// How many pages there are.
    pub fn len(&self) -> usize {
        self.pages().len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.pages().is_empty()
    }

    /// The number of the last page.
    pub fn last_page(&self) -> Option<u64> {
        self.pages().last_key_value().map(|(&page, _)| page)
    }

    /// A page.
    pub(super) fn get(&self, page: u64) -> Option<&AdmissionPage> {
        self.pages.get(page)
    }

    /// A page that may be written anew.
    fn writable(&self, page: u64) -> Option<&AdmissionPage> {
        self.get(page).filter(|known| !known.foreign)
    }

    /// All pages, in order.
    pub(super) fn pages(&self) -> &BTreeMap<u64, AdmissionPage> {
        self.pages.all()
    }
}

/// A page in the making.
#[derive(Debug)]
pub(super) struct PageDraft {
    record: AdmissionPageRecord,
    bytes: usize,
    max_bytes: usize,
}

impl PageDraft {
    /// An empty one, of the largest size that the settings allow.
    pub fn new(config: &Config) -> Self {
        Self {
            record: AdmissionPageRecord::default(),
            bytes: 0,
            max_bytes: config.value_bytes.min(MAX_PAGE_BYTES),
        }
    }

    /// Adds a job; false, and nothing added, if there is no room for it.
    pub fn push(&mut self, job: u64, open: &OpenJob) -> bool {
        let mut single = AdmissionPageRecord::default();
        Self::add_row(&mut single, job, open);
        let size = |text: Option<Vec<u8>>| text.map_or(self.max_bytes, |text| text.len() + 1);
        let mut bytes = size(serde_json::to_vec(&single.jobs).ok()) + ROW_RESERVE_BYTES;
        if !self.record.common.contains(&single.common[0]) {
            bytes += size(serde_json::to_vec(&single.common).ok());
        }
        let is_full = self.record.jobs.len() >= MOST_ROWS;
        if is_full || self.bytes + bytes + FRAME_BYTES > self.max_bytes {
            return false;
        }
        self.bytes += bytes;
        Self::add_row(&mut self.record, job, open);
        true
    }

    fn add_row(record: &mut AdmissionPageRecord, job: u64, open: &OpenJob) {
        let rest = Rest {
            zone: open.zone.clone(),
            caps: open.zone_caps.clone(),
            rules: open.rules.as_ref().map(|(rules, _)| rules.clone()),
            after: open.dependencies.clone(),
        };
        record.push(job, &open.spec, open.submitted_at, &open.division, rest);
    }

    fn is_empty(&self) -> bool {
        self.record.jobs.is_empty()
    }

    /// The change that stores it.
    pub fn apply(&self, page: u64) -> Apply {
        Apply::put(admission_log_key(page), Json::of(&self.record))
    }
}

impl Mirror {
    /// Whether new jobs come by pages, and all that came before is known: a job that
    /// was added otherwise just before the pages began must not be missed.
    pub fn takes_pages(&self) -> bool {
        self.format.by_pages && self.store_revision >= self.format.revision
    }

    /// Whether jobs may wait for others, and all that came before that was decided is
    /// known.
    pub fn takes_dependencies(&self) -> bool {
        self.format.dependencies && self.store_revision >= self.format.revision
    }

    /// Whether an open job is as its page says.
    pub fn in_page(&self, job: u64) -> bool {
        let open = self.open.get(&job);
        open.is_some_and(|open| open.revision == 0) && !self.buckets.holds(job)
    }

    /// The page that names a job, if any does.
    pub fn page_of(&self, job: u64) -> Option<u64> {
        self.admission_log.pages.number_of(job)
    }

    pub(super) fn put_admission_page(
        &mut self,
        page: u64,
        record: AdmissionPageRecord,
        revision: u64,
    ) -> Result<(), RecordProblem> {
        let arrivals = record.read(self.shards.len());
        let arrivals = arrivals.ok_or(RecordProblem::BadRows)?;
        let mut new = AdmissionPage {
            revision,
            ..AdmissionPage::default()
        };
        for arrival in arrivals {
            let job = arrival.job;
            new.jobs.insert(job);
            new.foreign |= self.teams.get(&arrival.spec.team).is_none();
            self.admission_log.pages.assign(job, page);
            // What has been stored of it since counts.
            if !self.ended.contains(job) && (!self.open.contains_key(&job) || self.in_page(job)) {
                self.put_arrival(arrival);
            }
        }
        let gone = self.admission_log.pages.replace(page, new);
        self.drop_unnamed(&gone);
        Ok(())
    }

    fn put_arrival(&mut self, arrival: AdmittedJob) {
        let job = arrival.job;
        let known = self.open.get(&job);
        if known.is_some_and(|open| open.division == arrival.div) {
            return;
        }
        let rules = arrival.rest.rules;
        if let Some(new) = self.new_job(arrival.spec, rules, arrival.at) {
            let open = OpenJob {
                division: arrival.div,
                zone: arrival.rest.zone,
                zone_caps: arrival.rest.caps,
                dependencies: arrival.rest.after,
                ..new
            };
            self.insert_open(job, open);
            self.refresh_job(job);
        }
    }

    pub(super) fn drop_admission_page(&mut self, page: u64) {
        let gone = self.admission_log.pages.remove(page);
        self.drop_unnamed(&gone);
    }

    /// Of jobs that no page names any more, drops those that nothing else is stored of.
    fn drop_unnamed(&mut self, gone: &[u64]) {
        for &job in gone {
            if self.in_page(job) {
                self.drop_job(job);
            }
        }
    }

    /// A page with what still depends on it; none if it is not ours to write anew.
    pub(super) fn draft(&self, page: u64, config: &Config) -> Option<PageDraft> {
        let known = self.admission_log.writable(page)?;
        let mut draft = PageDraft::new(config);
        // What has a record of its own need not be named any longer.
        let mut here = known.jobs.iter().filter(|job| self.in_page(**job));
        let fits = here.all(|&job| draft.push(job, &self.open[&job]));
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
        let last = self.admission_log.last_page();
        let next = last.map_or(0, |page| page + 1);
        let drafted = last.and_then(|page| Some((page, self.draft(page, config)?)));
        let (mut page, mut draft) = drafted.unwrap_or_else(|| (next, PageDraft::new(config)));
        let mut added = 0;
        for (job, open) in jobs {
            let conditions = commit.when.len() + JOB_CONDITIONS;
            if self.format.jobs < BUCKETS && conditions > config.max_conditions() {
                break;
            }
            if !draft.push(job, open) {
                if added > 0 || draft.is_empty() {
                    break;
                }
                // The last page is full: a new one.
                (page, draft) = (next, PageDraft::new(config));
                if !draft.push(job, open) {
                    break;
                }
            }
            added += 1;
            if self.format.jobs < BUCKETS {
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
        let last = self.admission_log.last_page();
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
        let Some(known) = self.admission_log.writable(page) else {
            return false;
        };
        let mut draft = PageDraft::new(config);
        for &job in &known.jobs {
            let new = changed.iter().find(|(changed_job, _)| *changed_job == job);
            let old = self.open.get(&job).filter(|_| self.in_page(job));
            if let Some(open) = new.map(|(_, open)| open).or(old)
                && !draft.push(job, open)
            {
                return false;
            }
        }
        self.require(commit, Key::AdmissionPage(page));
        commit.apply.push(draft.apply(page));
        true
    }
}
