use super::*;

/// A hundred jobs are asked for every five seconds, newer ones all the time, and one
/// look-up goes a half second: each is answered after as long as there are before
/// it, none later, though nobody waits for more than 1.5 s.
#[test]
fn a_job_asked_for_again_comes_nearer() {
    let mut lookup_queue = LookupQueue::default();
    let mut answered: HashMap<u64, u64> = HashMap::new();
    for now in (0..75_000u64).step_by(500) {
        for job in 0..100 + now / 600 {
            let came = u64::saturating_sub(job, 99) * 600;
            if !answered.contains_key(&job) && (now + job * 500) % 5000 == 0 && came <= now {
                lookup_queue.query(job, (), now);
            }
        }
        if let Some((job, _)) = lookup_queue.next(now) {
            answered.insert(job, now);
        }
    }
    let old = (0..100).filter_map(|job| answered.get(&job));
    assert_eq!(old.clone().count(), 100);
    assert!(old.max().is_some_and(|at| *at < 60_000), "{answered:?}");
}

/// What is remembered is bounded, and whoever came first stays.
#[test]
fn a_flood_makes_way() {
    let mut lookup_queue = LookupQueue::default();
    for job in 0..5000 {
        lookup_queue.query(job, (), job);
    }
    assert_eq!(lookup_queue.jobs.len(), MAX_JOBS);
    assert_eq!(lookup_queue.next(5000).map(|n| n.0), Some(0));
    assert_eq!(lookup_queue.next(90_000), None, "nobody asks any more");
}
