use super::*;
use cherryyard_wire::record::JobOutcome;

fn leaf(jobs: &[u64]) -> Leaf {
    let finished = |&job| FinishedJob {
        job,
        end: JobOutcome::Done,
        done: 1,
        day: 1,
    };
    Leaf::new(jobs.iter().map(finished).collect())
}

/// Guards against answers from outdated or partial leaves: a job found stays finished
/// forever, but the absence of a job is valid only within the job numbers that were read, and
/// only until the history changes.
#[test]
fn absence_is_valid_until_the_history_changes() {
    let mut cache = LeafCache::new(1000);
    cache.put(Level::Small, 50, 100, 7, leaf(&[60, 90]));
    assert!(matches!(
        cache.lookup(Level::Small, 60, 9),
        Lookup::Finished(_)
    ));
    assert_eq!(cache.lookup(Level::Small, 61, 7), Lookup::Absent(7));
    assert_eq!(cache.lookup(Level::Small, 61, 8), Lookup::Unknown);
    assert_eq!(
        cache.lookup(Level::Small, 49, 7),
        Lookup::Unknown,
        "outside of the job numbers that were read"
    );
    assert_eq!(cache.lookup(Level::Small, 101, 7), Lookup::Unknown);
    assert_eq!(cache.lookup(Level::Large, 61, 7), Lookup::Unknown);
    cache.put(Level::Small, 80, 100, 7, leaf(&[60, 90]));
    assert_eq!(
        cache.lookup(Level::Small, 61, 7),
        Lookup::Absent(7),
        "covered by the replaced read"
    );
    cache.put(Level::Small, 80, 100, 9, leaf(&[60, 90]));
    assert_eq!(cache.lookup(Level::Small, 61, 9), Lookup::Unknown);
}

/// Guards against a cache that exceeds its capacity or evicts recently used leaves.
#[test]
fn entries_never_exceed_the_capacity() {
    let mut cache = LeafCache::new(100);
    for i in 0..50u64 {
        let jobs: Vec<u64> = (0..10).map(|k| i * 100 + k).collect();
        cache.put(Level::Large, i * 100, i * 100 + 99, 1, leaf(&jobs));
        assert!(cache.len() <= 100);
        cache.lookup(Level::Large, 0, 1);
    }
    assert!(matches!(
        cache.lookup(Level::Large, 0, 1),
        Lookup::Finished(_)
    ));
    assert_eq!(cache.lookup(Level::Large, 1000, 1), Lookup::Unknown);
    assert_eq!(cache.keys.len(), cache.leaves.len());
}
