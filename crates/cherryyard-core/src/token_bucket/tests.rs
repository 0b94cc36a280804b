use super::TokenBucket;

/// A flood is let through at the rate, and the rest is spread over the
/// time that it will take.
#[test]
fn a_flood_is_spread() {
    let mut write_budget = TokenBucket::new(4.0, 0.0);
    write_budget.left(2000.0);
    let answers: Vec<_> = (0..40).map(|_| write_budget.take(2000.0)).collect();
    assert_eq!(answers.iter().filter(|a| a.is_ok()).count(), 8);
    let last = |n: u32| answers.iter().filter(|a| **a == Err(n)).count();
    assert_eq!((last(1), last(4), last(8), last(9)), (4, 4, 4, 0));
    let later = (0..40)
        .filter(|_| write_budget.take(4000.0).is_ok())
        .count();
    assert_eq!(later, 8);
}
