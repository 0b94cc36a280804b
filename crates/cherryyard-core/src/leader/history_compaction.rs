//! Jobs that are over go into the history: the leader's part of it.
//!
//! The packer (`cherryyard_history`) says what to read and write; here are the
//! batches that it is given, the format that it needs, and the pace.

use super::*;
use crate::token_bucket::TokenBucket;
use cherryyard_history::{Limits, Packer, Past, Step, Write};
use cherryyard_wire::history::{LeafRecord, Level};
use cherryyard_wire::record::BUCKETS;

/// Time between two small batches, while ends in records of their own are left.
const SMALL_BATCH_MS: f64 = 60_000.0;
/// Times that a batch may be in the small run of leaves before that is spilled.
const SPILL_BATCHES: u64 = 32;
/// Time between two looks for a calm moment.
const BUSY_MS: f64 = 250.0;
/// Batches that may wait for one.
const OVERDUE_BATCHES: usize = 2;
/// Least time between two looks at all ends, while there is nothing to do.
const INSPECT_MS: f64 = 1000.0;
const DAY_MS: f64 = 86_400_000.0;

/// What the leader's packer has under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Under {
    Nothing,
    /// A read, or a transaction of the packer's own.
    Packer,
    /// Another transaction for it.
    Other,
}

/// The leader's packer and its pace.
#[derive(Debug)]
pub(crate) struct HistoryCompaction {
    packer: Packer,
    write_budget: TokenBucket,
    /// Reads of leaves: a fold that is done again finds what it would write there
    /// already, and would read leaf after leaf without a pause.
    reads: TokenBucket,
    under: Under,
    retry_after: Millis,
    small_batch_at: Millis,
    inspected_at: Millis,
}

impl HistoryCompaction {
    pub(crate) fn new(config: &crate::Config, now: Millis) -> Self {
        Self {
            packer: Packer::new(Limits {
                leaf_bytes: config.page_bytes,
                txn_ops: config.txn_ops,
                small_run: SPILL_BATCHES * config.tuning.history_batch as u64,
                keep_days: config.tuning.history_keep_days,
            }),
            write_budget: TokenBucket::new(config.history_writes_per_s, now),
            reads: TokenBucket::new(config.history_reads_per_s, now),
            under: Under::Nothing,
            retry_after: now,
            small_batch_at: now,
            inspected_at: f64::NEG_INFINITY,
        }
    }

    pub(crate) fn set_write_rate(&mut self, config: &crate::Config, now: Millis) {
        self.write_budget.set_rate(config.history_writes_per_s, now);
    }

    /// Whether the budgets have room for another read or transaction.
    fn may_step(&mut self, now: Millis) -> bool {
        now >= self.retry_after && self.write_budget.left(now) >= 1.0 && self.reads.left(now) >= 1.0
    }

    fn begin_read(&mut self) {
        self.under = Under::Packer;
        self.reads.spend(1.0);
    }
}

impl Controller {
    /// One step of the history's leader: at most one read or transaction at once,
    /// within a share of the write budget that leaves the rest to all else.
    pub(crate) fn pack(&mut self, now: Millis) {
        if !self.config.tuning.history {
            return;
        }
        if !self.leader.leads(&self.mirror) {
            self.leader.history_compaction.packer.stop();
            return;
        }
        let history_compaction = &mut self.leader.history_compaction;
        if history_compaction.under != Under::Nothing
            || !history_compaction.may_step(now)
            || !self.state_fresh(now)
            || self.lag.now(now) > 300.0
        {
            return;
        }
        let idle = self.leader.history_compaction.packer.is_idle();
        if idle && now - self.leader.history_compaction.inspected_at < INSPECT_MS {
            return;
        }
        if !self.calm() {
            self.leader.history_compaction.retry_after = now + BUSY_MS;
            return;
        }
        if self.mirror.format.jobs < BUCKETS {
            if self.all_able(BUCKETS) {
                tracing::info!("jobs go into buckets, and when they are over into the history");
                let commit = self.mirror.begin_buckets(self.config.txn_ops);
                self.commit_other(commit);
            }
            return;
        }
        let record = self.mirror.packed;
        let (leaf_bytes, txn_ops) = (self.config.page_bytes, self.config.txn_ops);
        let packer = &mut self.leader.history_compaction.packer;
        packer.set_limits(leaf_bytes, txn_ops);
        packer.resume(record);
        if self.leader.history_compaction.packer.is_idle() {
            self.leader.history_compaction.inspected_at = now;
            self.next_batch(now);
        }
        match self.leader.history_compaction.packer.step() {
            Step::Nothing if self.leader.history_compaction.under == Under::Nothing => self.sweep(),
            Step::Nothing => {}
            Step::Read(level, job) => {
                self.leader.history_compaction.begin_read();
                self.effects.push(Effect::ReadLeaf(level, job));
            }
            Step::Write(write) => {
                let commit = self.compaction_commit(write);
                self.leader.history_compaction.under = Under::Packer;
                let history_compaction = &mut self.leader.history_compaction;
                history_compaction
                    .write_budget
                    .spend(commit.apply.len() as f64);
                self.effects
                    .push(Effect::Commit(Ticket::HistoryCompaction, commit));
            }
        }
    }

    /// Whether the history may have its share of the write budget now: while tasks
    /// wait for assignments, or jobs for their division, it waits too, but for a while
    /// only, as ends take memory until they are folded. (With batches of 300 a day of
    /// restarts had three times as many requests refused.)
    fn calm(&self) -> bool {
        let overdue =
            self.mirror.ended_count() > OVERDUE_BATCHES * self.config.tuning.history_batch;
        let waits = self.mirror.tasks.waiting.iter().any(|w| !w.is_empty());
        overdue || !waits && self.mirror.undivided.is_empty()
    }

    /// Closes a generation that has enough ends, or folds one that is closed.
    fn next_batch(&mut self, now: Millis) {
        let record = self.mirror.packed;
        if let Some(done) = record.to_fold() {
            // Every end of a closed generation came before the record that closed
            // it, so it is seen once all up to that record is.
            let own = self.mirror.packed_revision;
            if self.mirror.store_revision >= own {
                let day = ((now + self.wall_offset) / DAY_MS).max(0.0) as u32;
                let ends = self.mirror.ended_jobs().filter(|(_, e)| {
                    if e.revision != 0 {
                        e.revision > record.own && e.revision <= own
                    } else {
                        e.generation > record.gen_done && e.generation <= done
                    }
                });
                let jobs: Vec<Past> = ends
                    .map(|(job, e)| Past {
                        job,
                        end: e.end,
                        done: if e.end == End::Done { e.task_count } else { 0 },
                        day,
                    })
                    .collect();
                tracing::info!(jobs = jobs.len(), done, "fold ends into the history");
                self.leader
                    .history_compaction
                    .packer
                    .begin(done, own, jobs, day);
            }
            return;
        }
        let (mut fresh, mut own) = (0, false);
        for (_, e) in self.mirror.ended_jobs() {
            let new_own = e.revision > record.own;
            fresh += usize::from(new_own || e.revision == 0 && e.generation > record.gen_done);
            own |= new_own;
        }
        let history_compaction = &mut self.leader.history_compaction;
        let small = own && now - history_compaction.small_batch_at >= SMALL_BATCH_MS;
        if fresh >= self.config.tuning.history_batch || small {
            history_compaction.small_batch_at = now;
            let mut closed = record;
            closed.gen_now = record.generation() + 1;
            let mut commit = Commit::default();
            self.mirror.require(&mut commit, Key::Packed);
            commit.apply.push(Apply::set(record::PACKED, &closed));
            self.commit_other(commit);
        }
    }

    fn commit_other(&mut self, mut commit: Commit) {
        self.mirror.require(&mut commit, Key::Leader);
        let history_compaction = &mut self.leader.history_compaction;
        history_compaction.under = Under::Other;
        history_compaction
            .write_budget
            .spend(commit.apply.len() as f64);
        self.effects
            .push(Effect::Commit(Ticket::HistoryCompaction, commit));
    }

    fn compaction_commit(&self, write: Write) -> Commit {
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Leader);
        for (key, revision) in write.when {
            commit.require(key, revision);
        }
        for (key, leaf) in write.put {
            commit.apply.push(Apply::set(key, &leaf));
        }
        let deleted = write.delete.into_iter().map(Apply::delete);
        commit.apply.extend(deleted);
        if let Some(record) = write.record {
            self.mirror.require(&mut commit, Key::Packed);
            commit.apply.push(Apply::set(record::PACKED, &record));
        }
        commit
    }

    /// Deletes records of their own whose ends are in the history, a few at once:
    /// what earlier builds left.
    fn sweep(&mut self) {
        let own = self.mirror.packed.own;
        if self.mirror.store_revision < self.mirror.packed_revision {
            // Jobs may have come that wait for one of them.
            return;
        }
        let gone: Vec<(u64, u64)> = self
            .mirror
            .own_ends()
            .filter(|(job, e)| e.revision <= own && !self.mirror.named_in_pages(*job))
            .filter(|(job, _)| !self.mirror.has_dependents(*job))
            .map(|(job, e)| (job, e.revision))
            .take(self.config.txn_ops)
            .collect();
        if gone.is_empty() {
            return;
        }
        // More may follow at once, as fast as the pace allows.
        self.leader.history_compaction.inspected_at = f64::NEG_INFINITY;
        let mut commit = Commit::default();
        for (job, revision) in gone {
            commit.require(record::job_key(job), revision);
            commit.apply.push(Apply::delete(record::job_key(job)));
        }
        self.commit_other(commit);
    }

    /// Takes the leaf that was asked for: its last possible id, revision and record;
    /// none if there is no such leaf.
    pub fn leaf_read(&mut self, answer: Result<Option<(u64, u64, LeafRecord)>, ()>, now: Millis) {
        self.notice(now);
        if self.leader.history_compaction.under != Under::Packer {
            return;
        }
        self.leader.history_compaction.under = Under::Nothing;
        let leaf = match answer {
            Ok(Some((last, revision, record))) => {
                match cherryyard_history::Leaf::of_record(&record) {
                    Ok(leaf) => Ok(Some((last, revision, leaf))),
                    Err(e) => {
                        tracing::error!(last, "a bad leaf of the history, left as it is: {e}");
                        Err(())
                    }
                }
            }
            Ok(None) => Ok(None),
            Err(()) => Err(()),
        };
        let history_compaction = &mut self.leader.history_compaction;
        if leaf.is_err() {
            history_compaction.retry_after = now + 1000.0;
        }
        history_compaction.packer.read(leaf);
        self.pack(now);
    }

    pub(crate) fn compaction_committed(&mut self, outcome: Outcome, now: Millis) {
        let applied = matches!(outcome, Outcome::Applied(_));
        let history_compaction = &mut self.leader.history_compaction;
        if std::mem::replace(&mut history_compaction.under, Under::Nothing) == Under::Packer {
            history_compaction.packer.written(applied);
        }
        if !applied {
            history_compaction.retry_after = now + 300.0;
        }
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
            packed: record.n[0] + record.n[1],
            runs: record.n,
            generation: record.generation(),
            spilling: record.spilling,
            buckets: self.mirror.bucket_count(),
        }
    }

    /// Runs in which a level's leaves are looked for, in the order that finds every
    /// job: it is in the large run before it leaves the small one.
    pub const LOOKUP_ORDER: [Level; 2] = [Level::Small, Level::Large];
}

/// What an operator sees of the history.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub struct HistoryCounts {
    /// The format of jobs' records.
    pub format: u32,
    /// Jobs that are not over.
    pub open: usize,
    /// Jobs that are over and still watched by controllers.
    pub recent: usize,
    /// Of these, those that earlier builds' records hold and that are still to be moved.
    pub to_move: usize,
    /// About how many jobs are in the history.
    pub packed: u64,
    /// The same for each run of leaves.
    pub runs: [u64; 2],
    /// The generation of ends written now.
    pub generation: u64,
    /// Whether the small run is being spilled into the large one.
    pub spilling: bool,
    /// Buckets that jobs stand in.
    pub buckets: usize,
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Reads keep within a share of the request budget of their own. They were paced
    /// by the writes between them only, and a fold that is done again after its
    /// leader's end finds its leaves written: it read all of them without a pause.
    #[test]
    fn reads_of_leaves_are_paced() {
        let text = include_bytes!("../../../../examples/controller.json");
        let settings = cherryyard_wire::settings::Settings::parse(text).unwrap();
        let config = crate::Config::new(&settings, crate::Tuning::default());
        let mut history_compaction = HistoryCompaction::new(&config, 0.0);
        let mut reads = 0;
        for now in 0..60_000 {
            if history_compaction.may_step(f64::from(now)) {
                history_compaction.begin_read();
                reads += 1;
            }
        }
        let most = config.history_reads_per_s * 62.0;
        assert!(reads > 30 && f64::from(reads) <= most, "{reads}, {most}");
    }
}
