//! The controller's steps of history compaction.

use super::transactions::{close_generation, compactor_transaction, sweep};
use super::{BUSY_MS, DAY_MS, HistoryCounts, Pending, READ_RETRY_MS, closed_ends, is_calm};
use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use cherryyard_history::{Leaf, ReadFailed, Step, StoredLeaf};
use cherryyard_wire::history::{LeafRecord, Level};
use cherryyard_wire::record::{BUCKETS, Key};
use cherryyard_wire::state::Commit;

/// Lag of the event loop beyond which no step is made.
const MOST_LAG_MS: f64 = 300.0;

impl Controller {
    /// One step of the history's leader: at most one read or transaction at once,
    /// within a share of the write budget that leaves the rest to all else.
    pub(crate) fn pack(&mut self, now: Millis) {
        if !self.config.tuning.history {
            return;
        }
        if !self.leader.leads(&self.mirror) {
            self.leader.history_compaction.compactor.stop();
            return;
        }
        if !self.leader.history_compaction.is_ready(now)
            || !self.state_fresh(now)
            || self.lag.now(now) > MOST_LAG_MS
        {
            return;
        }
        let compaction = &mut self.leader.history_compaction;
        if compaction.is_resting(now) {
            return;
        }
        if !is_calm(&self.mirror, &self.config) {
            compaction.retry_after = now + BUSY_MS;
            return;
        }
        if self.mirror.format.jobs < BUCKETS {
            self.begin_buckets();
            return;
        }
        compaction
            .compactor
            .set_limits(self.config.page_bytes, self.config.txn_ops);
        compaction.compactor.resume(self.mirror.packed);
        if compaction.compactor.is_idle() {
            compaction.inspected_at = now;
            self.next_batch(now);
        }
        self.step_packer();
    }

    /// Jobs go into buckets from now on, once every controller can read them.
    fn begin_buckets(&mut self) {
        if self.all_able(BUCKETS) {
            tracing::info!("jobs go into buckets, and when they are over into the history");
            let commit = self.mirror.begin_buckets(self.config.txn_ops);
            self.send_other_transaction(commit);
        }
    }

    /// Closes a generation that has enough ends, or compacts one that is closed.
    fn next_batch(&mut self, now: Millis) {
        let record = self.mirror.packed;
        let compaction = &mut self.leader.history_compaction;
        if let Some(done) = record.to_fold() {
            // Every end of a closed generation came before the record that closed
            // it, so it is seen once all up to that record is.
            let own = self.mirror.packed_revision;
            if self.mirror.store_revision >= own {
                let day = ((now + self.wall_offset) / DAY_MS).max(0.0) as u32;
                let jobs = closed_ends(&self.mirror, &record, done, day);
                tracing::info!(jobs = jobs.len(), done, "history compaction started");
                compaction.compactor.begin(done, own, jobs, day);
            }
        } else if compaction.should_close_generation(&self.mirror, &self.config, now) {
            compaction.small_batch_at = now;
            self.send_other_transaction(close_generation(&self.mirror));
        }
    }

    /// Carries out what the packer wants next.
    fn step_packer(&mut self) {
        let compaction = &mut self.leader.history_compaction;
        match compaction.compactor.step() {
            Step::Nothing if compaction.pending == Pending::Nothing => {
                if let Some(commit) = sweep(&self.mirror, &self.config) {
                    // More may follow at once, as fast as the pace allows.
                    compaction.inspected_at = f64::NEG_INFINITY;
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

    /// Sends a transaction that is not the compactor's own.
    fn send_other_transaction(&mut self, mut commit: Commit) {
        self.mirror.require(&mut commit, Key::Leader);
        self.send_compaction(Pending::Other, commit);
    }

    fn send_compaction(&mut self, pending: Pending, commit: Commit) {
        let changes = commit.apply.len();
        self.leader.history_compaction.begin_write(pending, changes);
        self.effects
            .push(Effect::Commit(Ticket::HistoryCompaction, commit));
    }

    /// Takes the leaf that was asked for: its last possible id, revision and record;
    /// none if there is no such leaf.
    pub fn leaf_read(&mut self, answer: Result<Option<(u64, u64, LeafRecord)>, ()>, now: Millis) {
        self.notice(now);
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
                Err(e) => {
                    tracing::error!(last, "a bad leaf of the history, left as it is: {e}");
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
        self.pack(now);
    }

    /// Takes how a transaction of the compaction came out.
    pub(crate) fn compaction_committed(&mut self, outcome: Outcome, now: Millis) {
        let is_applied = matches!(outcome, Outcome::Applied(_));
        self.leader.history_compaction.committed(is_applied, now);
    }

    /// How many jobs are open, over and still watched, in records of their own
    /// though over, and (about) in each run of the history.
    pub fn history_counts(&self) -> HistoryCounts {
        let record = self.mirror.packed;
        HistoryCounts {
            format: self.mirror.format.jobs.max(1),
            open: self.mirror.open.len(),
            recent: self.mirror.ended_count(),
            to_move: self.mirror.own_ends().count(),
            packed: record.jobs_in_runs[0] + record.jobs_in_runs[1],
            runs: record.jobs_in_runs,
            generation: record.generation(),
            spilling: record.spilling,
            buckets: self.mirror.bucket_count(),
        }
    }

    /// Runs in which a level's leaves are looked for, in the order that finds every
    /// job: it is in the large run before it leaves the small one.
    pub const LOOKUP_ORDER: [Level; 2] = [Level::Small, Level::Large];
}
