//! The leader's work on the admission log, whose pages contain new jobs: it enables the log,
//! divides the undivided jobs, and compacts the pages.

use crate::Millis;
use crate::controller::Controller;
use crate::mirror::OpenJob;
use cherryyard_wire::record::{ADMISSION_LOG, FORMAT_KEY, FormatRecord, Key};
use cherryyard_wire::state::{Change, Commit};
use std::collections::BTreeMap;

/// Least time between two attempts to compact pages.
const COMPACT_MS: f64 = 1000.0;
/// Number of pages up to which pages are not compacted.
const MAX_UNCOMPACTED_PAGES: usize = 3;
/// Writes that must be left of the users' budget for a compaction.
const SPARE_WRITES: f64 = 2.0;
/// Size of a transaction, in bytes, beyond which no further page is divided in it.
const MAX_TRANSACTION_BYTES: usize = 32 * 1024;

impl Controller {
    /// Returns whether every controller runs a build that supports a format. An earlier build
    /// would not see jobs that are stored in this format.
    pub(crate) fn all_support_format(&self, format: u32) -> bool {
        (0..self.config.labels.len()).all(|controller| self.supports_format(controller, format))
    }

    /// Returns whether a controller runs a build that supports a format, according to the lease on
    /// its own shard or to its recent frames.
    fn supports_format(&self, controller: usize, format: u32) -> bool {
        if controller == self.config.own_index {
            return self.config.format >= format;
        }
        let lease = self.mirror.shards[controller].as_ref();
        let lease = lease.filter(|lease| lease.label == self.config.labels[controller]);
        let reported = self.peers.format(controller, self.state_contact.clock());
        lease.is_some_and(|lease| lease.format >= format)
            || reported.is_some_and(|reported| reported >= format)
    }

    /// Returns the transaction that enables the admission log for new jobs, once every controller
    /// can read it.
    pub(crate) fn enable_admission_log(&mut self) -> Option<Commit> {
        if self.mirror.format.uses_admission_log || !self.all_support_format(ADMISSION_LOG) {
            return None;
        }
        tracing::info!("enabling the admission log for new jobs");
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Format);
        let record = FormatRecord {
            jobs: self.mirror.format.jobs.max(1),
            admission_log: true,
            dependencies: self.mirror.format.dependencies,
        };
        commit.changes.push(Change::set(FORMAT_KEY, &record));
        Some(commit)
    }

    /// Returns the transaction that divides undivided jobs, page by page. No assignment depends on
    /// a page's jobs as long as they are undivided.
    pub(crate) fn divide_pages(&mut self, now: Millis) -> Option<Commit> {
        let mut commit = Commit::default();
        for (page, jobs) in self.undivided_by_page() {
            if commit.changes.len() >= self.config.txn_ops || commit.bytes() > MAX_TRANSACTION_BYTES
            {
                break;
            }
            let mut divided = Vec::new();
            for job in jobs {
                let mut open = self.mirror.open[&job].clone();
                if self.divide_job(&mut open, now) {
                    divided.push((job, open));
                }
            }
            self.write_divided(&mut commit, page, &divided);
        }
        (!commit.changes.is_empty()).then_some(commit)
    }

    /// Returns the undivided jobs on pages, by page.
    fn undivided_by_page(&self) -> BTreeMap<u64, Vec<u64>> {
        let mut pages: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        let last = self.mirror.admission_log.last_page();
        for &job in &self.mirror.undivided {
            if self.mirror.is_only_in_admission_log(job)
                && let Some(page) = self.mirror.admission_page_of(job)
                // A write to the last page would only conflict with this controller's pending
                // transaction.
                && !(self.intake.is_writing() && Some(page) == last)
            {
                pages.entry(page).or_default().push(job);
            }
        }
        pages
    }

    /// Adds divided jobs of a page to a transaction.
    fn write_divided(&self, commit: &mut Commit, page: u64, divided: &[(u64, OpenJob)]) {
        let (mirror, config) = (&self.mirror, &self.config);
        if divided.is_empty()
            || mirror.rewrite_page(commit, page, divided, config)
            || !commit.changes.is_empty()
        {
            return;
        }
        // Divisions take space that the page may not have. Then the jobs get records of their own.
        let records = divided.iter().map(|(job, open)| (*job, open.record()));
        let records: Vec<_> = records.take(config.txn_ops).collect();
        for count in (1..=records.len()).rev() {
            let first_records = records[..count].to_vec();
            if mirror.write_jobs(commit, first_records, config) {
                // The transaction depends on the page too. If it were applied late, after the jobs
                // had been divided on the page, it would find no records of them and divide them
                // again.
                mirror.require(commit, Key::AdmissionPage(page));
                break;
            }
        }
    }

    /// Returns the transaction that compacts pages, from time to time and only if users' writes
    /// leave budget for it.
    pub(crate) fn compact_pages(&mut self, now: Millis) -> Option<Commit> {
        let is_idle =
            self.intake.waiting() == 0 && self.user_write_budget.tokens(now) >= SPARE_WRITES;
        if self.mirror.admission_log.len() <= MAX_UNCOMPACTED_PAGES
            || !is_idle
            || now - self.leader.pages_compacted_at < COMPACT_MS
        {
            return None;
        }
        self.leader.pages_compacted_at = now;
        let commit = self.mirror.compact_pages(&self.config)?;
        self.user_write_budget.spend(commit.changes.len() as f64);
        Some(commit)
    }
}
