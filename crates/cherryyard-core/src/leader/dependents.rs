//! Jobs that wait for others: enabling their submission, and ending those that are cancelled with
//! a job that they depend on.

use crate::Millis;
use crate::controller::Controller;
use cherryyard_wire::record::{DEPENDENCIES, FORMAT_KEY, FormatRecord, Key};
use cherryyard_wire::state::{Change, Commit};

/// Time for which every controller must have supported dependencies before the leader enables
/// them. A controller that is being replaced by an earlier build is noticed within this time.
const SUPPORTED_MS: f64 = 3000.0;

impl Controller {
    /// Returns whether submissions may name jobs that they wait for, and all state from before
    /// that was enabled has been read.
    pub fn accepts_dependencies(&self) -> bool {
        self.mirror.are_dependencies_ready()
    }

    /// Returns the transaction that enables dependencies, once every controller supports them. An
    /// earlier build would start dependent jobs at once.
    pub(super) fn enable_dependencies(&mut self, now: Millis) -> Option<Commit> {
        if self.mirror.format.dependencies {
            return None;
        }
        if !self.all_support_format(DEPENDENCIES) {
            self.leader.dependencies_supported_since = None;
            return None;
        }
        let since = *self.leader.dependencies_supported_since.get_or_insert(now);
        if now - since < SUPPORTED_MS {
            return None;
        }
        tracing::info!(
            "enabling dependencies between jobs; do not start earlier builds from now on"
        );
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Format);
        let record = FormatRecord {
            jobs: self.mirror.format.jobs.max(1),
            admission_log: self.mirror.format.uses_admission_log,
            dependencies: true,
        };
        commit.changes.push(Change::set(FORMAT_KEY, &record));
        Some(commit)
    }

    /// Returns the transaction that stores the ends of jobs that are cancelled with a job that
    /// they depend on, as many as fit and only if users' writes leave budget for it. Every
    /// controller already reports these jobs as cancelled; once its end is stored, a job is no
    /// longer open.
    pub(super) fn end_dependents(&mut self, now: Millis) -> Option<Commit> {
        if self.user_write_budget.tokens(now) < 1.0 {
            return None;
        }
        let mut commit = Commit::default();
        let mut records = Vec::new();
        for job in self.mirror.cancelled_dependents().take(self.config.txn_ops) {
            let Some(record) = self.mirror.end_of_dependent(job) else {
                continue;
            };
            records.push((job, record));
            let mut attempt = Commit::default();
            let records = records.clone();
            if !self.mirror.write_jobs(&mut attempt, records, &self.config) {
                break;
            }
            commit = attempt;
        }
        if commit.changes.is_empty() {
            return None;
        }
        self.user_write_budget.spend(commit.changes.len() as f64);
        Some(commit)
    }
}
