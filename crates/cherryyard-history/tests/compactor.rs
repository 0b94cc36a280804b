//! The compactor against a store: every cut, every reader, late transactions.

use cherryyard_history::{
    Compactor, FinishedJob, Leaf, Level, Limits, Phase, ReadFailed, Step, StoredLeaf, Transaction,
    leaf_key, leaf_of_key,
};
use cherryyard_wire::history::{LeafRecord, PackedRecord};
use cherryyard_wire::record::End;
use std::collections::BTreeMap;

/// Keys, stamps, and the leader's claim, on which every write depends.
#[derive(Clone, Default)]
struct Store {
    leaves: BTreeMap<String, (LeafRecord, u64)>,
    record: (PackedRecord, u64),
    epoch: u64,
    lead: u64,
    writes: usize,
}

impl Store {
    fn apply(&mut self, write: &Transaction, lead: u64, record_stamp: u64) -> bool {
        let stamp = |key: &str| self.leaves.get(key).map_or(0, |l| l.1);
        let holds = write
            .preconditions
            .iter()
            .all(|p| stamp(&p.key) == p.revision);
        let recorded = write.record.is_none() || self.record.1 == record_stamp;
        if lead != self.lead || !holds || !recorded {
            return false;
        }
        self.epoch += 1;
        for (key, leaf) in &write.put {
            self.leaves.insert(key.clone(), (leaf.clone(), self.epoch));
        }
        for key in &write.delete {
            self.leaves.remove(key);
        }
        if let Some(record) = write.record {
            self.record = (record, self.epoch);
        }
        self.writes += write.put.len() + write.delete.len() + usize::from(write.record.is_some());
        true
    }

    fn leaf(&self, level: Level, job: u64) -> Option<StoredLeaf> {
        let (key, (record, stamp)) = self.leaves.range(leaf_key(level, job)..).next()?;
        let last = leaf_of_key(level, key)?;
        Some(StoredLeaf {
            last,
            revision: *stamp,
            leaf: Leaf::from_record(record).unwrap(),
        })
    }

    fn has(&self, level: Level, job: u64) -> bool {
        self.leaf(level, job)
            .is_some_and(|l| l.leaf.find(job).is_some())
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
            End::Cancelled
        } else {
            End::Done
        },
        done: i as u32,
        day: 1,
    };
    (0..12).map(job).collect()
}

/// Archives three batches, the last of which leads to a compaction, with the leader ending at
/// transaction `cut` (before it is applied, or after). Returns every state of the
/// store in turn, the transaction that was held back, and the final store.
fn play(cut: Option<(usize, bool)>) -> (Vec<Store>, Option<(Transaction, u64, u64)>, Store) {
    let mut store = Store {
        lead: 1,
        ..Store::default()
    };
    let mut states = vec![store.clone()];
    let mut held = None;
    let mut sent = 0;
    let mut compactor = Compactor::new(limits(30));
    for round in 0..3u64 {
        loop {
            compactor.resume(store.record.0);
            if compactor.is_idle() {
                if store.record.0.gen_done > round {
                    break;
                }
                compactor.begin(round + 1, 0, batch(round), 1);
            }
            match compactor.step() {
                Step::Nothing => {}
                Step::Read(level, job) => compactor.read(Ok(store.leaf(level, job))),
                Step::Write(write) => {
                    sent += 1;
                    let (lead, stamp) = (store.lead, store.record.1);
                    let ends = cut.filter(|c| c.0 == sent);
                    if ends.is_none_or(|c| c.1) {
                        assert!(store.apply(&write, lead, stamp), "{write:?}");
                        states.push(store.clone());
                    }
                    if let Some((_, applied)) = ends {
                        held = (!applied).then_some((write, lead, stamp));
                        store.lead += 1;
                        compactor = Compactor::new(limits(30));
                    } else {
                        compactor.written(true);
                    }
                }
            }
        }
    }
    (states, held, store)
}

/// Whatever the position of a cut, and however a reader's two reads fall between
/// the compactor's writes: a job is found in the small run, then in the large one, as
/// soon as the record says that its generation is there. A transaction of the
/// leader before, held back, changes nothing whenever it arrives.
#[test]
fn every_cut_and_every_reader() {
    let whole = play(None).0.len();
    assert!(whole > 15, "{whole} states");
    let mut cuts = vec![None];
    cuts.extend((1..whole).flat_map(|n| [Some((n, false)), Some((n, true))]));
    for cut in cuts {
        let (states, held, last) = play(cut);
        for round in 0..3u64 {
            let jobs = batch(round);
            for (i, first) in states.iter().enumerate() {
                if first.record.0.gen_done <= round {
                    continue;
                }
                for past in &jobs {
                    if first.has(Level::Small, past.job) {
                        continue;
                    }
                    let later = &states[i..];
                    assert!(
                        later.iter().all(|s| s.has(Level::Large, past.job)),
                        "{cut:?}: {} is in neither run",
                        past.job
                    );
                }
            }
        }
        assert_eq!(last.record.0.jobs_in_runs, [0, 36], "{cut:?}");
        assert!(!last.record.0.spilling);
        if let Some((write, lead, stamp)) = held {
            for state in states.iter().filter(|s| s.lead != lead) {
                assert!(!state.clone().apply(&write, lead, stamp), "{cut:?}");
            }
        }
    }
}

/// Reads that fail and transactions that conflict are tried again from what is
/// there; a compactor that stops forgets what it had under way.
#[test]
fn failures_are_tried_again() {
    let mut store = Store {
        lead: 1,
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
            Step::Write(write) => {
                failures += 1;
                let stamp = store.record.1;
                let applied = store.apply(&write, 1, stamp);
                // Applied, but the answer was lost.
                compactor.written(applied && failures % 3 == 0);
            }
        }
        assert!(failures < 500);
    }
    assert!(batch(0).iter().all(|p| store.has(Level::Small, p.job)));
    compactor.begin(2, 0, batch(1), 1);
    assert!(matches!(compactor.step(), Step::Read(..)));
    compactor.stop();
    assert_eq!(compactor.phase(), &Phase::Idle);
    compactor.read(Ok(None));
    assert_eq!(compactor.step(), Step::Nothing);
}

/// Writes a job, amortised, at full size: ids of up to 18 digits in no order, leaves
/// of 4 KiB, batches of 8,192, a history of 600,000.
#[test]
fn writes_a_job_stay_below_a_fifth() {
    let mut store = Store {
        lead: 1,
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
                    end: End::Done,
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
                Step::Write(write) => {
                    let stamp = store.record.1;
                    let applied = store.apply(&write, 1, stamp);
                    compactor.written(applied);
                }
            }
        }
    }
    let writes = store.writes as f64 / jobs as f64;
    println!("{writes:.3} writes a job");
    assert!(writes < 0.2, "{writes} writes a job");
    assert_eq!(store.record.0.jobs_in_runs.iter().sum::<u64>(), jobs as u64);
}

/// Batches in the leaf of before.
const OLD_BATCHES: u64 = 14;

/// Archives a batch in a store whose one leaf was written under larger limits; the leader
/// ends with transaction `cut`, before it is applied or after.
fn merge_into_a_large_leaf(txn_ops: usize, cut: Option<(usize, bool)>) -> Store {
    let mut store = Store {
        lead: 1,
        ..Store::default()
    };
    let old: Vec<FinishedJob> = (0..OLD_BATCHES).flat_map(batch).collect();
    let leaf = Leaf::new(old);
    let key = leaf_key(Level::Small, cherryyard_wire::history::LAST);
    store.leaves.insert(key, (leaf.to_record(), 1));
    store.epoch = 1;
    let lower = Limits {
        txn_ops,
        ..limits(10_000)
    };
    let mut compactor = Compactor::new(lower);
    let mut sent = 0;
    for steps in 0.. {
        assert!(steps < 5000, "it never ends");
        compactor.resume(store.record.0);
        if compactor.is_idle() {
            if store.record.0.gen_done > 0 {
                break;
            }
            compactor.begin(1, 0, batch(50), 1);
        }
        match compactor.step() {
            Step::Nothing => {}
            Step::Read(level, job) => compactor.read(Ok(store.leaf(level, job))),
            Step::Write(write) => {
                assert!(write.put.len() <= txn_ops, "{} changes", write.put.len());
                assert!(write.preconditions.len() + 2 <= txn_ops * 4);
                let large = |put: &&(String, LeafRecord)| put.1.base64.len() > 120;
                assert_eq!(write.put.iter().find(large), None);
                sent += 1;
                let ends = cut.filter(|c| c.0 == sent);
                if ends.is_none_or(|c| c.1) {
                    assert!(store.apply(&write, store.lead, store.record.1), "{write:?}");
                    for past in (0..OLD_BATCHES).flat_map(batch) {
                        assert!(store.has(Level::Small, past.job), "{} is lost", past.job);
                    }
                }
                if ends.is_some() {
                    store.lead += 1;
                    compactor = Compactor::new(lower);
                } else {
                    compactor.written(true);
                }
            }
        }
    }
    store
}

/// A leaf that was written under larger limits is divided in as many transactions as it
/// takes, whenever a leader ends, and no job is missing from its place in between.
#[test]
fn a_leaf_of_larger_limits_is_divided_in_steps() {
    for txn_ops in [2, 4] {
        let whole = merge_into_a_large_leaf(txn_ops, None);
        assert!(whole.leaves.len() > 6, "{} leaves", whole.leaves.len());
        for cut in (1..12).flat_map(|n| [(n, false), (n, true)]) {
            let store = merge_into_a_large_leaf(txn_ops, Some(cut));
            for past in (0..OLD_BATCHES).chain([50]).flat_map(batch) {
                assert!(store.has(Level::Small, past.job), "{cut:?}: {}", past.job);
            }
        }
    }
}
