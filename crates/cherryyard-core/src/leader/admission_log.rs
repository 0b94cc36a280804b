//! Pages of new jobs: the leader begins them, divides what came undivided, tidies.

use super::*;
use cherryyard_wire::record::{ADMISSION_LOG, FORMAT, FormatRecord};
use std::collections::BTreeMap;

/// Least time between two looks for pages to compact.
const COMPACT_MS: f64 = 1000.0;
/// For how long what a controller has said of its build counts.
const SAID_MS: f64 = 3000.0;
/// Pages that are left alone.
const FEW: usize = 3;

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
        let holder = self.mirror.shards[i].as_ref();
        let acquired = holder.filter(|c| c.label == self.config.labels[i]);
        let said = self.peer_formats[i].filter(|said| self.clock - said.at <= SAID_MS);
        acquired.is_some_and(|c| c.format >= format) || said.is_some_and(|s| s.format >= format)
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
            new: true,
            dependencies: self.mirror.format.dependencies,
        };
        commit.apply.push(Apply::set(FORMAT, &record));
        Some(commit)
    }

    /// Divides jobs that came undivided, page by page: as long as they are, no assignment
    /// depends on them.
    pub(crate) fn divide_pages(&mut self, now: Millis) -> Option<Commit> {
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
        let mut commit = Commit::default();
        for (page, jobs) in pages {
            if commit.apply.len() >= self.config.txn_ops || commit.bytes() > 32 * 1024 {
                break;
            }
            let mut changed = Vec::new();
            for job in jobs {
                let mut open = self.mirror.open[&job].clone();
                if self.fill_division(&mut open, now) {
                    changed.push((job, open));
                }
            }
            if !changed.is_empty()
                && !self
                    .mirror
                    .rewrite_page(&mut commit, page, &changed, &self.config)
                && commit.apply.is_empty()
            {
                // Divisions take room that the page may not have: records of their own.
                let records = changed.iter().map(|(job, open)| (*job, open.record()));
                let records: Vec<_> = records.take(self.config.txn_ops).collect();
                for n in (1..=records.len()).rev() {
                    let some = records[..n].to_vec();
                    if self.mirror.write_jobs(&mut commit, some, &self.config) {
                        // On the page too: carried out late, after they have been divided
                        // there, it would find no records of them and divide them again.
                        self.mirror.require(&mut commit, Key::AdmissionPage(page));
                        break;
                    }
                }
            }
        }
        (!commit.apply.is_empty()).then_some(commit)
    }

    /// Tidies pages now and then, where users leave room for it.
    pub(crate) fn compact_pages(&mut self, now: Millis) -> Option<Commit> {
        let idle = self.intake.waiting() == 0 && self.user_write_budget.left(now) >= 2.0;
        if self.mirror.admission_log.len() <= FEW
            || !idle
            || now - self.leader.compacted_at < COMPACT_MS
        {
            return None;
        }
        self.leader.compacted_at = now;
        let commit = self.mirror.compact_pages(&self.config)?;
        self.user_write_budget.spend(commit.apply.len() as f64);
        Some(commit)
    }
}
