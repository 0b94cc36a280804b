use super::*;

/// Guards against jobs whose polls time out again and again because newer jobs are polled all
/// the time. A hundred jobs are polled every five seconds, a new job joins every 600 ms, and
/// one look-up is served every 500 ms. Each of the hundred jobs must be answered within 60 s,
/// although a poll itself waits for at most 1.5 s.
#[test]
fn repeated_polls_keep_the_position_of_a_job() {
    let mut lookup_queue = LookupQueue::default();
    let mut answered: HashMap<u64, u64> = HashMap::new();
    for now in (0..75_000u64).step_by(500) {
        for job in 0..100 + now / 600 {
            let first_polled_at = u64::saturating_sub(job, 99) * 600;
            if !answered.contains_key(&job)
                && (now + job * 500) % 5000 == 0
                && first_polled_at <= now
            {
                lookup_queue.add_poll(job, (), now);
            }
        }
        if let Some((job, _)) = lookup_queue.next(now) {
            answered.insert(job, now);
        }
    }
    let first_hundred = (0..100).filter_map(|job| answered.get(&job));
    assert_eq!(first_hundred.clone().count(), 100);
    assert!(
        first_hundred.max().is_some_and(|at| *at < 60_000),
        "{answered:?}"
    );
}

/// Guards against unbounded growth in a flood of polls: beyond the bound the newest jobs are
/// dropped, and the job that was polled first keeps its position.
#[test]
fn newest_jobs_are_dropped_beyond_the_bound() {
    let mut lookup_queue = LookupQueue::default();
    for job in 0..5000 {
        lookup_queue.add_poll(job, (), job);
    }
    assert_eq!(lookup_queue.jobs.len(), MAX_JOBS);
    assert_eq!(lookup_queue.next(5000).map(|n| n.0), Some(0));
    assert_eq!(
        lookup_queue.next(90_000),
        None,
        "the last poll of each job is too old"
    );
}
