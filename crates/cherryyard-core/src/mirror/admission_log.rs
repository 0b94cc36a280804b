//! The admission log: pages of newly accepted jobs, and the transactions that change them.
//!
//! A new job is added to the last page or to a new page after it. In the format in which jobs
//! have keys of their own, it may also be added by a record under its own key. All these
//! transactions depend on the revision of the last page, on the absence of a page after it, and
//! on the absence of a record of the job itself. So a controller that adds a job has read all
//! jobs that were added to pages before, and the job has not been added in another way: no job is
//! added twice. One put of a page can add many jobs, and transactions that add jobs by records of
//! their own do not conflict with each other.
//!
//! A transaction whose response was lost may be applied after later transactions. A key that it
//! requires to be absent must not be absent again by then. Therefore the last page and page 0 are
//! never deleted, and deleting another page also rewrites the page before it, if that one still
//! exists (`admission_compaction`).
//!
//! A job's own record or its entry in a bucket (its end, or a changed division) takes precedence
//! over its page. A job without such a record is as its page describes it, and a transaction that
//! relies on that depends on the absence of the record (or on the revision of the bucket, in the
//! format with buckets).

use super::job_containers::{JobContainer, JobContainers};
use super::record_error::RecordProblem;
use super::{Mirror, OpenJob};
use crate::Config;
use cherryyard_wire::admission_log::{AdmissionPageRecord, AdmittedJob, UncommonFields};
use cherryyard_wire::record::{BUCKETS, Key, admission_log_key};
use cherryyard_wire::state::{Change, Commit, Json};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum size of a page, even if the value limit is higher: all controllers receive the whole
/// page whenever a job is added to it.
const MAX_PAGE_BYTES: usize = 4096;
/// Maximum number of jobs on a page.
pub const MAX_JOBS_PER_PAGE: usize = 64;
/// Bytes that the record of a page takes besides its rows and common fields.
const PAGE_OVERHEAD_BYTES: usize = 50;
/// Bytes by which a row may be larger than if it were the only one: submission times are relative
/// to the page's time, so those of later rows have more digits.
const ROW_GROWTH_BYTES: usize = 12;
/// Number of conditions for one more job, the unchanged last page, and the absence of the next
/// page.
const JOB_AND_PAGE_CONDITIONS: usize = 3;

/// Page of the admission log as the mirror holds it.
#[derive(Clone, Debug, Default)]
pub struct AdmissionPage {
    /// Revision of the page's key.
    pub revision: u64,
    /// Numbers of the jobs that the page lists.
    pub jobs: BTreeSet<u64>,
    /// Whether the page names a team that is not in this controller's settings; such a page is
    /// never rewritten.
    pub(super) has_unknown_team: bool,
}

impl JobContainer for AdmissionPage {
    fn jobs(&self) -> &BTreeSet<u64> {
        &self.jobs
    }
}

/// Pages of the admission log, with an index by job. Written only by this module.
#[derive(Clone, Debug, Default)]
pub struct AdmissionLog {
    pages: JobContainers<AdmissionPage>,
}

impl AdmissionLog {
    /// Returns the number of pages.
    pub fn len(&self) -> usize {
        self.pages().len()
    }

    /// Returns whether there are no pages.
    pub fn is_empty(&self) -> bool {
        self.pages().is_empty()
    }

    /// Returns the number of the last page.
    pub fn last_page(&self) -> Option<u64> {
        self.pages().last_key_value().map(|(&page, _)| page)
    }

    /// Returns a page by its number.
    pub(super) fn get(&self, page: u64) -> Option<&AdmissionPage> {
        self.pages.get(page)
    }

    /// Returns a page that may be rewritten.
    fn writable(&self, page: u64) -> Option<&AdmissionPage> {
        self.get(page).filter(|existing| !existing.has_unknown_team)
    }

    /// Returns all pages, in order.
    pub(super) fn pages(&self) -> &BTreeMap<u64, AdmissionPage> {
        self.pages.all()
    }
}

/// Page that is being put together, with its estimated size.
#[derive(Debug)]
pub(super) struct PageDraft {
    record: AdmissionPageRecord,
    bytes: usize,
    max_bytes: usize,
}

impl PageDraft {
    /// Returns an empty draft with the maximum size that the settings allow.
    pub fn new(config: &Config) -> Self {
        Self {
            record: AdmissionPageRecord::default(),
            bytes: 0,
            max_bytes: config.value_bytes.min(MAX_PAGE_BYTES),
        }
    }

    /// Adds a job; returns false, and adds nothing, if the page has no space for it.
    pub fn push(&mut self, job: u64, open: &OpenJob) -> bool {
        let mut single = AdmissionPageRecord::default();
        Self::add_row(&mut single, job, open);
        let size = |text: Option<Vec<u8>>| text.map_or(self.max_bytes, |text| text.len() + 1);
        let mut bytes = size(serde_json::to_vec(&single.jobs).ok()) + ROW_GROWTH_BYTES;
        if !self.record.common.contains(&single.common[0]) {
            bytes += size(serde_json::to_vec(&single.common).ok());
        }
        let is_full = self.record.jobs.len() >= MAX_JOBS_PER_PAGE;
        if is_full || self.bytes + bytes + PAGE_OVERHEAD_BYTES > self.max_bytes {
            return false;
        }
        self.bytes += bytes;
        Self::add_row(&mut self.record, job, open);
        true
    }

    fn add_row(record: &mut AdmissionPageRecord, job: u64, open: &OpenJob) {
        let rest = UncommonFields {
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

    /// Returns the change that stores the draft as the given page.
    pub fn apply(&self, page: u64) -> Change {
        Change::put(admission_log_key(page), Json::of(&self.record))
    }
}

impl Mirror {
    /// Returns whether new jobs are added to the admission log, and the mirror has read up to the
    /// change that introduced it: a job that was added in another way just before must not be
    /// missed.
    pub fn is_admission_log_ready(&self) -> bool {
        self.format.uses_admission_log && self.store_revision >= self.format.revision
    }

    /// Returns whether jobs may depend on other jobs, and the mirror has read up to the change
    /// that allowed this.
    pub fn are_dependencies_ready(&self) -> bool {
        self.format.dependencies && self.store_revision >= self.format.revision
    }

    /// Returns whether an open job is stored only on a page of the admission log, without a record
    /// of its own or an entry in a bucket.
    pub fn is_only_in_admission_log(&self, job: u64) -> bool {
        let open = self.open.get(&job);
        open.is_some_and(|open| open.revision == 0) && !self.buckets.holds(job)
    }

    /// Returns the number of the page that lists a job, if there is one.
    pub fn admission_page_of(&self, job: u64) -> Option<u64> {
        self.admission_log.pages.number_of(job)
    }

    pub(super) fn put_admission_page(
        &mut self,
        page: u64,
        record: AdmissionPageRecord,
        revision: u64,
    ) -> Result<(), RecordProblem> {
        let admitted_jobs = record.read(self.shards.len());
        let admitted_jobs = admitted_jobs.ok_or(RecordProblem::BadRows)?;
        let mut new = AdmissionPage {
            revision,
            ..AdmissionPage::default()
        };
        for admitted in admitted_jobs {
            let job = admitted.job;
            new.jobs.insert(job);
            new.has_unknown_team |= self.teams.get(&admitted.spec.team).is_none();
            self.admission_log.pages.assign(job, page);
            // The job's own record or its entry in a bucket takes precedence.
            if !self.ended.contains(job)
                && (!self.open.contains_key(&job) || self.is_only_in_admission_log(job))
            {
                self.put_admitted_job(admitted);
            }
        }
        let unlisted = self.admission_log.pages.replace(page, new);
        self.drop_unlisted(&unlisted);
        Ok(())
    }

    fn put_admitted_job(&mut self, admitted: AdmittedJob) {
        let job = admitted.job;
        let existing = self.open.get(&job);
        if existing.is_some_and(|open| open.division == admitted.division) {
            return;
        }
        let rules = admitted.rest.rules;
        if let Some(new) = self.new_job(admitted.spec, rules, admitted.submitted_at_ms) {
            let open = OpenJob {
                division: admitted.division,
                zone: admitted.rest.zone,
                zone_caps: admitted.rest.caps,
                dependencies: admitted.rest.after,
                ..new
            };
            self.insert_open(job, open);
            self.refresh_job(job);
        }
    }

    pub(super) fn drop_admission_page(&mut self, page: u64) {
        let unlisted = self.admission_log.pages.remove(page);
        self.drop_unlisted(&unlisted);
    }

    /// Drops those of the given jobs, which no page lists any more, that have no other record.
    fn drop_unlisted(&mut self, unlisted: &[u64]) {
        for &job in unlisted {
            if self.is_only_in_admission_log(job) {
                self.drop_job(job);
            }
        }
    }

    /// Returns a draft of a page with the jobs that are stored only there; none if the page may not
    /// be rewritten or the jobs do not fit.
    pub(super) fn draft(&self, page: u64, config: &Config) -> Option<PageDraft> {
        let existing = self.admission_log.writable(page)?;
        let mut draft = PageDraft::new(config);
        // Jobs with another record need not be listed any longer.
        let mut remaining = existing
            .jobs
            .iter()
            .filter(|job| self.is_only_in_admission_log(**job));
        let fits = remaining.all(|&job| draft.push(job, &self.open[&job]));
        fits.then_some(draft)
    }

    /// Adds as many of the new jobs as fit on one page to a transaction, and returns their number.
    /// The jobs must be distinct, and this mirror must not hold any of them.
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
            let conditions = commit.conditions.len() + JOB_AND_PAGE_CONDITIONS;
            if self.format.jobs < BUCKETS && conditions > config.max_conditions() {
                break;
            }
            if !draft.push(job, open) {
                if added > 0 || draft.is_empty() {
                    break;
                }
                // The last page is full, so a new one is started.
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
        self.require_admission_log_unchanged(commit);
        if added > 0 {
            commit.changes.push(draft.apply(page));
        }
        added
    }

    /// Adds the conditions that no job has been added to a page since this mirror was updated: the
    /// last page is unchanged, and there is none after it.
    pub(crate) fn require_admission_log_unchanged(&self, commit: &mut Commit) {
        let last = self.admission_log.last_page();
        if let Some(last) = last {
            self.require(commit, Key::AdmissionPage(last));
        }
        self.require(commit, Key::AdmissionPage(last.map_or(0, |page| page + 1)));
    }

    /// Adds the rewrite of a page with the given jobs changed to a transaction; returns false, and
    /// adds nothing, if the page may not be rewritten or has no space for the changes.
    pub(crate) fn rewrite_page(
        &self,
        commit: &mut Commit,
        page: u64,
        changed: &[(u64, OpenJob)],
        config: &Config,
    ) -> bool {
        let Some(existing) = self.admission_log.writable(page) else {
            return false;
        };
        let mut draft = PageDraft::new(config);
        for &job in &existing.jobs {
            let new = changed.iter().find(|(changed_job, _)| *changed_job == job);
            let old = self
                .open
                .get(&job)
                .filter(|_| self.is_only_in_admission_log(job));
            if let Some(open) = new.map(|(_, open)| open).or(old)
                && !draft.push(job, open)
            {
                return false;
            }
        }
        self.require(commit, Key::AdmissionPage(page));
        commit.changes.push(draft.apply(page));
        true
    }
}
