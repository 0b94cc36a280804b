use super::*;
use cherryyard_wire::record::End;

fn leaf(jobs: &[u64]) -> Leaf {
    let past = |&job| FinishedJob {
        job,
        end: End::Done,
        done: 1,
        day: 1,
    };
    Leaf::new(jobs.iter().map(past).collect())
}

/// What is found counts for ever; what is missing only within the ids that
/// the leaf was asked for, and only until the history moves.
#[test]
fn silence_counts_until_the_history_moves() {
    let mut c = LeafCache::new(1000);
    c.put(Level::Small, 50, 100, 7, leaf(&[60, 90]));
    assert!(matches!(c.lookup(Level::Small, 60, 9), Lookup::Finished(_)));
    assert_eq!(c.lookup(Level::Small, 61, 7), Lookup::Absent(7));
    assert_eq!(c.lookup(Level::Small, 61, 8), Lookup::Unknown);
    assert_eq!(
        c.lookup(Level::Small, 49, 7),
        Lookup::Unknown,
        "not asked for"
    );
    assert_eq!(c.lookup(Level::Small, 101, 7), Lookup::Unknown);
    assert_eq!(c.lookup(Level::Large, 61, 7), Lookup::Unknown);
    c.put(Level::Small, 80, 100, 7, leaf(&[60, 90]));
    assert_eq!(
        c.lookup(Level::Small, 61, 7),
        Lookup::Absent(7),
        "still covers"
    );
    c.put(Level::Small, 80, 100, 9, leaf(&[60, 90]));
    assert_eq!(c.lookup(Level::Small, 61, 9), Lookup::Unknown);
}

/// The bound holds whatever comes, and the least recently used goes first.
#[test]
fn the_bound_holds() {
    let mut c = LeafCache::new(100);
    for i in 0..50u64 {
        let ids: Vec<u64> = (0..10).map(|k| i * 100 + k).collect();
        c.put(Level::Large, i * 100, i * 100 + 99, 1, leaf(&ids));
        assert!(c.len() <= 100);
        c.lookup(Level::Large, 0, 1);
    }
    assert!(matches!(c.lookup(Level::Large, 0, 1), Lookup::Finished(_)));
    assert_eq!(c.lookup(Level::Large, 1000, 1), Lookup::Unknown);
    assert_eq!(c.order.len(), c.leaves.len());
}
