use super::FairQueue;

/// Each gets its weight's part of what is served while both wait, all of it while
/// the other does not, and nothing for the time that it was silent.
#[test]
fn turns_follow_weights() {
    let mut turns = FairQueue::default();
    let weights = [1.0, 3.0];
    let mut serve = |n: usize, waiting: &[u16]| {
        let mut counts = [0; 2];
        for _ in 0..n {
            let flow = turns.next(waiting.iter().copied()).unwrap();
            counts[flow as usize] += 1;
            turns.serve(flow, 1.0, weights[flow as usize]);
        }
        counts
    };
    assert_eq!(serve(40, &[0, 1]), [10, 30]);
    assert_eq!(serve(500, &[0]), [500, 0]);
    let mut after = turns.clone();
    after.join(1);
    let mut counts = [0; 2];
    for _ in 0..40 {
        let flow = after.next([0, 1].into_iter()).unwrap();
        counts[flow as usize] += 1;
        after.serve(flow, 1.0, weights[flow as usize]);
    }
    assert!((29..=31).contains(&counts[1]), "{counts:?}");
}
