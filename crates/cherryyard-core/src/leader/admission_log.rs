//! Pages of the admission log, by which new jobs come: the leader begins them, divides
//! what came undivided, and compacts them.

use crate::Millis;
use crate::controller::Controller;
use crate::mirror::OpenJob;
use cherryyard_wire::record::{ADMISSION_LOG, FORMAT, FormatRecord, Key};
use cherryyard_wire::state::{Apply, Commit};
use std::collections::BTreeMap;

/// Least time between two looks for pages to compact.
const COMPACT_MS: f64 = 1000.0;
/// Pages that are left alone.
const FEW_PAGES: usize = 3;
/// Users' writes that must be left for a compaction.
const SPARE_WRITES: f64 = 2.0;
/// Bytes of a transaction beyond which no further page is divided.
const TRANSACTION_BYTES: usize = 32 * 1024;

impl Controller {
    /// Whether every controller runs a build that can work with a format. An earlier one
    /// would not see the jobs in it.
    pub(crate) fn all_able(&self, format: u32) -> bool {
        (0..self.config.labels.len()).all(|i| self.is_able(i, format))
    }

    /// Whether a controller runs a build that can work with a format, by the lease on its
    /// own shard, or by what it has lately said in frames.
    fn is_able(&self, i: usize, format: u32) -> bool {
        if i == self.config.me {
            return self.config.format >= format;
        }
        let lease = self.mirror.shards[i].as_ref();
        let lease = lease.filter(|lease| lease.label == self.config.labels[i]);
        let told = self.peers.format(i, self.state_contact.clock());
        lease.is_some_and(|lease| lease.format >= format) || told.is_some_and(|told| told >= format)
    }

    /// New jobs come by pages from now on, once every controller can read them.
    pub(crate) fn begin_pages(&mut self) -> Option<Commit> {
        if self.mirror.format.by_pages || !self.all_able(ADMISSION_LOG) {
            return None;
        }
        tracing::info!("new jobs come by pages");
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Format);
        let record = FormatRecord {
            jobs: self.mirror.format.jobs.max(1),
            admission_log: true,
            dependencies: self.mirror.format.dependencies,
        };
        commit.apply.push(Apply::set(FORMAT, &record));
        Some(commit)
    }

    /// Divides jobs that came undivided, page by page: as long as they are, no assignment
    /// depends on them.
    pub(crate) fn divide_pages(&mut self, now: Millis) -> Option<Commit> {
        let mut commit = Commit::default();
        for (page, jobs) in self.undivided_by_page() {
            if commit.apply.len() >= self.config.txn_ops || commit.bytes() > TRANSACTION_BYTES {
                break;
            }
            let mut divided = Vec::new();
            for job in jobs {
                let mut open = self.mirror.open[&job].clone();
                if self.fill_division(&mut open, now) {
                    divided.push((job, open));
                }
            }
            self.write_divided(&mut commit, page, &divided);
        }
        (!commit.apply.is_empty()).then_some(commit)
    }

    /// Undivided jobs that stand on pages, by page.
    fn undivided_by_page(&self) -> BTreeMap<u64, Vec<u64>> {
        let mut pages: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
        let last = self.mirror.admission_log.last_page();
        for &job in &self.mirror.undivided {
            if self.mirror.in_page(job)
                && let Some(page) = self.mirror.page_of(job)
                // Where our own transaction is under way, this would only conflict.
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
            || !commit.apply.is_empty()
        {
            return;
        }
        // Divisions take room that the page may not have: records of their own.
        let records = divided.iter().map(|(job, open)| (*job, open.record()));
        let records: Vec<_> = records.take(config.txn_ops).collect();
        for count in (1..=records.len()).rev() {
            let some = records[..count].to_vec();
            if mirror.write_jobs(commit, some, config) {
                // On the page too: carried out late, after they have been divided
                // there, it would find no records of them and divide them again.
                mirror.require(commit, Key::AdmissionPage(page));
                break;
            }
        }
    }

    /// Compacts pages now and then, where users leave room for it.
    pub(crate) fn compact_pages(&mut self, now: Millis) -> Option<Commit> {
        let is_idle =
            self.intake.waiting() == 0 && self.user_write_budget.left(now) >= SPARE_WRITES;
        if self.mirror.admission_log.len() <= FEW_PAGES
            || !is_idle
            || now - self.leader.pages_compacted_at < COMPACT_MS
        {
            return None;
        }
        self.leader.pages_compacted_at = now;
        let commit = self.mirror.compact_pages(&self.config)?;
        self.user_write_budget.spend(commit.apply.len() as f64);
        Some(commit)
    }
}
