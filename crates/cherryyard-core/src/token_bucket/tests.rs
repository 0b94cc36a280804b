use super::TokenBucket;

/// Guards against refused callers that all retry at the same time: a burst is admitted at the
/// rate, and the retries of the rest are spread over the time that serving them takes.
#[test]
fn retries_of_a_burst_are_spread() {
    let mut write_budget = TokenBucket::new(4.0, 0.0);
    write_budget.tokens(2000.0);
    let answers: Vec<_> = (0..40).map(|_| write_budget.take(2000.0)).collect();
    assert_eq!(answers.iter().filter(|a| a.is_ok()).count(), 8);
    let retries_after = |n: u32| answers.iter().filter(|a| **a == Err(n)).count();
    assert_eq!(
        (
            retries_after(1),
            retries_after(4),
            retries_after(8),
            retries_after(9)
        ),
        (4, 4, 4, 0)
    );
    let admitted_later = (0..40)
        .filter(|_| write_budget.take(4000.0).is_ok())
        .count();
    assert_eq!(admitted_later, 8);
}
