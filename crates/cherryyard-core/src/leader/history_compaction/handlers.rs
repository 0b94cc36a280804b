//! The controller's steps of history compaction.

use super::transactions::{close_generation, compactor_transaction, delete_archived_records};
use super::{
    BUSY_RETRY_MS, DAY_MS, HistoryCounts, Pending, READ_RETRY_MS,
    finished_jobs_of_closed_generations, may_compact_now,
};
use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use cherryyard_history::{Leaf, ReadFailed, Step, StoredLeaf};
use cherryyard_wire::history::{LeafRecord, Level};
use cherryyard_wire::record::{BUCKETS, Key};
use cherryyard_wire::state::Commit;

/// Event-loop lag beyond which no step is made.
const MAX_LAG_MS: f64 = 300.0;

impl Controller {
    /// Makes one step of history compaction, if this controller leads. At most one read or
    /// transaction is pending at a time, and its share of the write budget leaves the rest to
    /// other writes.
    pub(crate) fn advance_history_compaction(&mut self, now: Millis) {
        if !self.config.tuning.history {
            return;
        }
        if !self.leader.leads(&self.mirror) {
            self.leader.history_compaction.compactor.stop();
            return;
        }
        if !self.leader.history_compaction.is_ready(now)
            || !self.state_fresh(now)
            || self.lag.current(now) > MAX_LAG_MS
        {
            return;
        }
        let compaction = &mut self.leader.history_compaction;
        if compaction.is_idle_until_next_scan(now) {
            return;
        }
        if !may_compact_now(&self.mirror, &self.config) {
            compaction.retry_after = now + BUSY_RETRY_MS;
            return;
        }
        if self.mirror.format.jobs < BUCKETS {
            self.enable_buckets();
            return;
        }
        compaction
            .compactor
            .set_limits(self.config.page_bytes, self.config.txn_ops);
        compaction.compactor.resume(self.mirror.history_progress);
        if compaction.compactor.is_idle() {
            compaction.scanned_at = now;
            self.next_batch(now);
        }
        self.step_compactor();
    }

    /// Enables buckets for job records, once every controller can read them.
    fn enable_buckets(&mut self) {
        if self.all_support_format(BUCKETS) {
            tracing::info!(
                "enabling buckets for job records, and compaction of finished jobs into the history"
            );
            let commit = self.mirror.enable_buckets(self.config.txn_ops);
            self.send_other_transaction(commit);
        }
    }

    /// Begins to compact a closed generation of finished jobs, or closes the current one if that
    /// is due.
    fn next_batch(&mut self, now: Millis) {
        let record = self.mirror.history_progress;
        let compaction = &mut self.leader.history_compaction;
        if let Some(done) = record.closed_generation_to_compact() {
            // All finished jobs of a closed generation were written before the record that closed
            // it, so they are known once the state up to that record has been read.
            let closed_at_revision = self.mirror.history_progress_revision;
            if self.mirror.store_revision >= closed_at_revision {
                let day = ((now + self.wall_offset) / DAY_MS).max(0.0) as u32;
                let jobs = finished_jobs_of_closed_generations(&self.mirror, &record, done, day);
                tracing::info!(jobs = jobs.len(), done, "history compaction started");
                compaction
                    .compactor
                    .begin(done, closed_at_revision, jobs, day);
            }
        } else if compaction.should_close_generation(&self.mirror, &self.config, now) {
            compaction.small_batch_at = now;
            self.send_other_transaction(close_generation(&self.mirror));
        }
    }

    /// Carries out the compactor's next step.
    fn step_compactor(&mut self) {
        let compaction = &mut self.leader.history_compaction;
        match compaction.compactor.step() {
            Step::Nothing if compaction.pending == Pending::Nothing => {
                if let Some(commit) = delete_archived_records(&self.mirror, &self.config) {
                    // More deletions may follow at once, as fast as the rate limit allows.
                    compaction.scanned_at = f64::NEG_INFINITY;
                    self.send_other_transaction(commit);
                }
            }
            Step::Nothing => {}
            Step::Read(level, job) => {
                compaction.begin_read();
                self.effects.push(Effect::ReadLeaf(level, job));
            }
            Step::Write(write) => {
                let commit = compactor_transaction(write, &self.mirror);
                self.send_compaction(Pending::Compactor, commit);
            }
        }
    }

    /// Sends a transaction that the compactor did not request.
    fn send_other_transaction(&mut self, mut commit: Commit) {
        self.mirror.require(&mut commit, Key::Leader);
        self.send_compaction(Pending::Other, commit);
    }

    fn send_compaction(&mut self, pending: Pending, commit: Commit) {
        let changes = commit.changes.len();
        self.leader.history_compaction.begin_write(pending, changes);
        self.effects
            .push(Effect::Commit(Ticket::HistoryCompaction, commit));
    }

    /// Handles the answer to a read of a leaf: its last possible job number, revision and record,
    /// or none if there is no such leaf.
    pub fn leaf_read(&mut self, answer: Result<Option<(u64, u64, LeafRecord)>, ()>, now: Millis) {
        self.advance_clock(now);
        let compaction = &mut self.leader.history_compaction;
        if compaction.pending != Pending::Compactor {
            return;
        }
        compaction.pending = Pending::Nothing;
        let leaf = match answer {
            Ok(Some((last, revision, record))) => match Leaf::from_record(&record) {
                Ok(leaf) => Ok(Some(StoredLeaf {
                    last,
                    revision,
                    leaf,
                })),
                Err(error) => {
                    tracing::error!(
                        last,
                        "malformed leaf of the history, left unchanged: {error}"
                    );
                    Err(ReadFailed)
                }
            },
            Ok(None) => Ok(None),
            Err(()) => Err(ReadFailed),
        };
        if leaf.is_err() {
            compaction.retry_after = now + READ_RETRY_MS;
        }
        compaction.compactor.read(leaf);
        self.advance_history_compaction(now);
    }

    /// Handles the outcome of a transaction of history compaction.
    pub(crate) fn compaction_committed(&mut self, outcome: Outcome, now: Millis) {
        let is_applied = matches!(outcome, Outcome::Applied(_));
        self.leader.history_compaction.committed(is_applied, now);
    }

    /// Returns how many jobs are open, finished and still watched, finished with records of their
    /// own, and (approximately) in each run of the history.
    pub fn history_counts(&self) -> HistoryCounts {
        let record = self.mirror.history_progress;
        HistoryCounts {
            format: self.mirror.format.jobs.max(1),
            open: self.mirror.open.len(),
            recent: self.mirror.ended_count(),
            to_move: self.mirror.ended_jobs_with_own_record().count(),
            packed: record.jobs_in_runs[0] + record.jobs_in_runs[1],
            runs: record.jobs_in_runs,
            generation: record.generation(),
            spilling: record.merging_runs,
            buckets: self.mirror.bucket_count(),
        }
    }

    /// Order in which the runs are searched for a job. It finds every job, because a job is in the
    /// large run before it leaves the small one.
    pub const LOOKUP_ORDER: [Level; 2] = [Level::Small, Level::Large];
}
