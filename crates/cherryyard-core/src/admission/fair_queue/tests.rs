use super::FairQueue;

/// Guards against unfair service: flows that both wait are served in proportion to their weights, a
/// flow that waits alone gets everything, and a flow gets no extra service for time spent idle.
#[test]
fn service_follows_weights() {
    let mut queue = FairQueue::default();
    let weights = [1.0, 3.0];
    let mut serve = |n: usize, waiting: &[u16]| {
        let mut counts = [0; 2];
        for _ in 0..n {
            let flow = queue.next(waiting.iter().copied()).unwrap();
            counts[flow as usize] += 1;
            queue.serve(flow, 1.0, weights[flow as usize]);
        }
        counts
    };
    assert_eq!(serve(40, &[0, 1]), [10, 30]);
    assert_eq!(serve(500, &[0]), [500, 0]);
    let mut after = queue.clone();
    after.join(1);
    let mut counts = [0; 2];
    for _ in 0..40 {
        let flow = after.next([0, 1].into_iter()).unwrap();
        counts[flow as usize] += 1;
        after.serve(flow, 1.0, weights[flow as usize]);
    }
    assert!((29..=31).contains(&counts[1]), "{counts:?}");
}
