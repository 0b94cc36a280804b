//! Jobs that wait for others: when they are accepted, and the ends of those that are
//! cancelled with a job that they need.

use crate::Millis;
use crate::controller::Controller;
use cherryyard_wire::record::{DEPENDENCIES, FORMAT, FormatRecord, Key};
use cherryyard_wire::state::{Apply, Commit};

/// Time for which every controller has to be able to work with dependencies before the
/// leader stores that: one that is being replaced by an earlier build is noticed by then.
const ABLE_MS: f64 = 3000.0;

impl Controller {
    /// Whether submissions may name jobs that they wait for. All that came before that
    /// was decided has been read.
    pub fn accepts_dependencies(&self) -> bool {
        self.mirror.takes_dependencies()
    }

    /// Jobs may wait for others from now on, once every controller knows of that: an
    /// earlier build would start them at once.
    pub(super) fn begin_dependencies(&mut self, now: Millis) -> Option<Commit> {
        if self.mirror.format.dependencies {
            return None;
        }
        if !self.all_able(DEPENDENCIES) {
            self.leader.able_since = None;
            return None;
        }
        let since = *self.leader.able_since.get_or_insert(now);
        if now - since < ABLE_MS {
            return None;
        }
        tracing::info!("jobs may wait for others; start no earlier build from now on");
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Format);
        let record = FormatRecord {
            jobs: self.mirror.format.jobs.max(1),
            admission_log: self.mirror.format.by_pages,
            dependencies: true,
        };
        commit.apply.push(Apply::set(FORMAT, &record));
        Some(commit)
    }

    /// Stores the ends of jobs that are cancelled with one that they need, as many as fit,
    /// where users' writes leave room for it. Every controller answers so already; with its
    /// end stored a job is not open any more.
    pub(super) fn end_dependents(&mut self, now: Millis) -> Option<Commit> {
        if self.user_write_budget.left(now) < 1.0 {
            return None;
        }
        let mut commit = Commit::default();
        let mut records = Vec::new();
        let jobs: Vec<u64> = self.mirror.cancelled_dependents().collect();
        for job in jobs {
            if records.len() >= self.config.txn_ops {
                break;
            }
            let Some(record) = self.mirror.end_of_dependent(job) else {
                continue;
            };
            records.push((job, record));
            let mut more = Commit::default();
            let records = records.clone();
            if !self.mirror.write_jobs(&mut more, records, &self.config) {
                break;
            }
            commit = more;
        }
        if commit.apply.is_empty() {
            return None;
        }
        self.user_write_budget.spend(commit.apply.len() as f64);
        Some(commit)
    }
}
