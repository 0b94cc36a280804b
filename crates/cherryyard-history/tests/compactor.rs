//! Runs the compactor against a store, with leaders that crash at every transaction,
//! readers at every moment, and delayed transactions.

use cherryyard_history::{
    Compactor, FinishedJob, Leaf, Level, Limits, Phase, ReadFailed, Step, StoredLeaf, Transaction,
    last_job_of_leaf_key, leaf_key,
};
use cherryyard_wire::history::{HistoryProgressRecord, LeafRecord};
use cherryyard_wire::record::JobOutcome;
use std::collections::BTreeMap;

/// Simulated state service: leaves and the history's record with their revisions, and the
/// leader's epoch, on which every write depends.
#[derive(Clone, Default)]
struct Store {
    leaves: BTreeMap<String, (LeafRecord, u64)>,
    record: (HistoryProgressRecord, u64),
    last_revision: u64,
    leader_epoch: u64,
    writes: usize,
}

impl Store {
    fn apply(
        &mut self,
        transaction: &Transaction,
        leader_epoch: u64,
        record_revision: u64,
    ) -> bool {
        let revision = |key: &str| self.leaves.get(key).map_or(0, |stored| stored.1);
        let preconditions_hold = transaction
            .preconditions
            .iter()
            .all(|precondition| revision(&precondition.key) == precondition.revision);
        let record_unchanged = transaction.record.is_none() || self.record.1 == record_revision;
        if leader_epoch != self.leader_epoch || !preconditions_hold || !record_unchanged {
            return false;
        }
        self.last_revision += 1;
        for (key, leaf) in &transaction.put {
            self.leaves
                .insert(key.clone(), (leaf.clone(), self.last_revision));
        }
        for key in &transaction.delete {
            self.leaves.remove(key);
        }
        if let Some(record) = transaction.record {
            self.record = (record, self.last_revision);
        }
        self.writes += transaction.put.len()
            + transaction.delete.len()
            + usize::from(transaction.record.is_some());
        true
    }

    fn leaf(&self, level: Level, job: u64) -> Option<StoredLeaf> {
        let (key, (record, revision)) = self.leaves.range(leaf_key(level, job)..).next()?;
        let last = last_job_of_leaf_key(level, key)?;
        Some(StoredLeaf {
            last,
            revision: *revision,
            leaf: Leaf::from_record(record).unwrap(),
        })
    }

    fn contains(&self, level: Level, job: u64) -> bool {
        self.leaf(level, job)
            .is_some_and(|stored| stored.leaf.find(job).is_some())
    }
}

fn limits(small_run: u64) -> Limits {
    Limits {
        leaf_bytes: 120,
        txn_ops: 3,
        small_run,
        keep_days: 0,
    }
}

fn batch(round: u64) -> Vec<FinishedJob> {
    let job = |i: u64| FinishedJob {
        job: (i * 48_271 + round * 69_621) % 100_003,
        end: if i.is_multiple_of(3) {
            JobOutcome::Cancelled
        } else {
            JobOutcome::Done
        },
        done: i as u32,
        day: 1,
    };
    (0..12).map(job).collect()
}

/// Archives three batches, the last of which starts a compaction; the leader crashes at
/// transaction `crash` (before it is applied, or after). Returns every state of the store
/// in order, the transaction that was not applied, and the final store.
fn archive_three_batches(
    crash: Option<(usize, bool)>,
) -> (Vec<Store>, Option<(Transaction, u64, u64)>, Store) {
    let mut store = Store {
        leader_epoch: 1,
        ..Store::default()
    };
    let mut states = vec![store.clone()];
    let mut not_applied = None;
    let mut sent = 0;
    let mut compactor = Compactor::new(limits(30));
    for round in 0..3u64 {
        loop {
            compactor.resume(store.record.0);
            if compactor.is_idle() {
                if store.record.0.archived_generation > round {
                    break;
                }
                compactor.begin(round + 1, 0, batch(round), 1);
            }
            match compactor.step() {
                Step::Nothing => {}
                Step::Read(level, job) => compactor.read(Ok(store.leaf(level, job))),
                Step::Write(transaction) => {
                    sent += 1;
                    let (leader_epoch, revision) = (store.leader_epoch, store.record.1);
                    let crashes_here = crash.filter(|crash| crash.0 == sent);
                    if crashes_here.is_none_or(|crash| crash.1) {
                        assert!(
                            store.apply(&transaction, leader_epoch, revision),
                            "{transaction:?}"
                        );
                        states.push(store.clone());
                    }
                    if let Some((_, applied)) = crashes_here {
                        not_applied = (!applied).then_some((transaction, leader_epoch, revision));
                        store.leader_epoch += 1;
                        compactor = Compactor::new(limits(30));
                    } else {
                        compactor.written(true);
                    }
                }
            }
        }
    }
    (states, not_applied, store)
}

/// Guards against finished jobs that a look-up misses: whichever transaction the leader
/// crashes at, and however a reader's two reads fall between the compactor's writes, a job
/// is found in the small run, then in the large one, as soon as the history's record
/// includes its generation. A delayed transaction of a former leader changes nothing,
/// whenever it arrives.
#[test]
fn jobs_are_found_after_any_crash_and_between_any_two_reads() {
    let uninterrupted = archive_three_batches(None).0.len();
    assert!(uninterrupted > 15, "{uninterrupted} states");
    let mut crashes = vec![None];
    crashes.extend((1..uninterrupted).flat_map(|n| [Some((n, false)), Some((n, true))]));
    for crash in crashes {
        let (states, not_applied, last) = archive_three_batches(crash);
        for round in 0..3u64 {
            let jobs = batch(round);
            for (i, first) in states.iter().enumerate() {
                if first.record.0.archived_generation <= round {
                    continue;
                }
                for finished in &jobs {
                    if first.contains(Level::Small, finished.job) {
                        continue;
                    }
                    let later = &states[i..];
                    assert!(
                        later.iter().all(|s| s.contains(Level::Large, finished.job)),
                        "{crash:?}: {} is in neither run",
                        finished.job
                    );
                }
            }
        }
        assert_eq!(last.record.0.jobs_in_runs, [0, 36], "{crash:?}");
        assert!(!last.record.0.merging_runs);
        if let Some((transaction, leader_epoch, revision)) = not_applied {
            for state in states.iter().filter(|s| s.leader_epoch != leader_epoch) {
                assert!(
                    !state.clone().apply(&transaction, leader_epoch, revision),
                    "{crash:?}"
                );
            }
        }
    }
}

/// Guards against jobs lost to failed reads and conflicting transactions, which must be
/// repeated from the stored state, and against a stopped compactor that continues its
/// earlier work.
#[test]
fn failed_reads_and_writes_are_retried() {
    let mut store = Store {
        leader_epoch: 1,
        ..Store::default()
    };
    let mut compactor = Compactor::new(limits(1000));
    compactor.begin(1, 0, batch(0), 1);
    let mut failures = 0;
    while !compactor.is_idle() {
        match compactor.step() {
            Step::Nothing => {}
            Step::Read(level, job) => {
                failures += 1;
                compactor.read(if failures % 2 == 0 {
                    Ok(store.leaf(level, job))
                } else {
                    Err(ReadFailed)
                });
            }
            Step::Write(transaction) => {
                failures += 1;
                let revision = store.record.1;
                let applied = store.apply(&transaction, 1, revision);
                // The transaction may have been applied although its answer is lost.
                compactor.written(applied && failures % 3 == 0);
            }
        }
        assert!(failures < 500);
    }
    assert!(
        batch(0)
            .iter()
            .all(|finished| store.contains(Level::Small, finished.job))
    );
    compactor.begin(2, 0, batch(1), 1);
    assert!(matches!(compactor.step(), Step::Read(..)));
    compactor.stop();
    assert_eq!(compactor.phase(), &Phase::Idle);
    compactor.read(Ok(None));
    assert_eq!(compactor.step(), Step::Nothing);
}

/// Guards against write amplification. Measures the amortised writes per job at full size:
/// with job numbers of up to 18 digits in no order, leaves of 4 KiB, batches of 8,192 jobs
/// and a history of about 600,000 jobs.
#[test]
fn writes_per_job_stay_below_one_fifth() {
    let mut store = Store {
        leader_epoch: 1,
        ..Store::default()
    };
    let mut compactor = Compactor::new(Limits {
        leaf_bytes: 4032,
        txn_ops: 8,
        small_run: 32 * 8192,
        keep_days: 0,
    });
    let (mut id, mut jobs) = (1u64, 0);
    for round in 0..72 {
        let ends: Vec<FinishedJob> = (0..8192u64)
            .map(|_| {
                id = id.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                FinishedJob {
                    job: (id >> 5) % 1_000_000_000_000_000_000,
                    end: JobOutcome::Done,
                    done: 50,
                    day: 20_000 + round,
                }
            })
            .collect();
        jobs += ends.len();
        compactor.resume(store.record.0);
        compactor.begin(u64::from(round) + 1, 0, ends, 20_000 + round);
        while !compactor.is_idle() {
            match compactor.step() {
                Step::Nothing => {}
                Step::Read(level, job) => compactor.read(Ok(store.leaf(level, job))),
                Step::Write(transaction) => {
                    let revision = store.record.1;
                    let applied = store.apply(&transaction, 1, revision);
                    compactor.written(applied);
                }
            }
        }
    }
    let writes = store.writes as f64 / jobs as f64;
    println!("{writes:.3} writes per job");
    assert!(writes < 0.2, "{writes} writes per job");
    assert_eq!(store.record.0.jobs_in_runs.iter().sum::<u64>(), jobs as u64);
}

/// Number of batches in the leaf that was written under larger limits.
const OLD_BATCHES: u64 = 14;

/// Archives a batch in a store whose one leaf was written under larger limits; the leader
/// crashes at transaction `crash`, before it is applied or after.
fn merge_into_an_oversized_leaf(txn_ops: usize, crash: Option<(usize, bool)>) -> Store {
    let mut store = Store {
        leader_epoch: 1,
        ..Store::default()
    };
    let old: Vec<FinishedJob> = (0..OLD_BATCHES).flat_map(batch).collect();
    let leaf = Leaf::new(old);
    let key = leaf_key(Level::Small, cherryyard_wire::history::MAX_JOB_NUMBER);
    store.leaves.insert(key, (leaf.to_record(), 1));
    store.last_revision = 1;
    let lower_limits = Limits {
        txn_ops,
        ..limits(10_000)
    };
    let mut compactor = Compactor::new(lower_limits);
    let mut sent = 0;
    for steps in 0.. {
        assert!(steps < 5000, "the batch is never archived");
        compactor.resume(store.record.0);
        if compactor.is_idle() {
            if store.record.0.archived_generation > 0 {
                break;
            }
            compactor.begin(1, 0, batch(50), 1);
        }
        match compactor.step() {
            Step::Nothing => {}
            Step::Read(level, job) => compactor.read(Ok(store.leaf(level, job))),
            Step::Write(transaction) => {
                assert!(
                    transaction.put.len() <= txn_ops,
                    "{} changes",
                    transaction.put.len()
                );
                assert!(transaction.preconditions.len() + 2 <= txn_ops * 4);
                let oversized = |put: &&(String, LeafRecord)| put.1.base64.len() > 120;
                assert_eq!(transaction.put.iter().find(oversized), None);
                sent += 1;
                let crashes_here = crash.filter(|crash| crash.0 == sent);
                if crashes_here.is_none_or(|crash| crash.1) {
                    assert!(
                        store.apply(&transaction, store.leader_epoch, store.record.1),
                        "{transaction:?}"
                    );
                    for finished in (0..OLD_BATCHES).flat_map(batch) {
                        assert!(
                            store.contains(Level::Small, finished.job),
                            "{} is lost",
                            finished.job
                        );
                    }
                }
                if crashes_here.is_some() {
                    store.leader_epoch += 1;
                    compactor = Compactor::new(lower_limits);
                } else {
                    compactor.written(true);
                }
            }
        }
    }
    store
}

/// Guards against jobs that are missing while an oversized leaf is split: a leaf that was
/// written under larger limits takes several transactions, and the leader may crash at any
/// of them.
#[test]
fn an_oversized_leaf_is_split_over_several_transactions() {
    for txn_ops in [2, 4] {
        let uninterrupted = merge_into_an_oversized_leaf(txn_ops, None);
        assert!(
            uninterrupted.leaves.len() > 6,
            "{} leaves",
            uninterrupted.leaves.len()
        );
        for crash in (1..12).flat_map(|n| [(n, false), (n, true)]) {
            let store = merge_into_an_oversized_leaf(txn_ops, Some(crash));
            for finished in (0..OLD_BATCHES).chain([50]).flat_map(batch) {
                assert!(
                    store.contains(Level::Small, finished.job),
                    "{crash:?}: {}",
                    finished.job
                );
            }
        }
    }
}
