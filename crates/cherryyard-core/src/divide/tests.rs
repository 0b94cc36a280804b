use super::divide;

/// The paper's examples, and the edges of the rounding rule.
#[test]
fn paper_examples_and_rounding() {
    assert_eq!(
        divide(8, &[1.0, 5.0, 2.0]),
        [1, 5, 2],
        "DynamicWeighted, minReplicas"
    );
    assert_eq!(
        divide(24, &[1.0, 5.0, 2.0]),
        [3, 15, 6],
        "DynamicWeighted, maxReplicas"
    );
    assert_eq!(
        divide(10, &[1.0, 2.0, 3.0]),
        [1, 4, 5],
        "StaticWeighted, maxReplicas"
    );
    assert_eq!(
        divide(4, &[50.0, 50.0]),
        [2, 2],
        "scaling up by availableReplicas"
    );
    assert_eq!(
        divide(10, &[98.0, 1.0, 1.0]),
        [8, 1, 1],
        "below 1 becomes 1"
    );
    assert_eq!(
        divide(10, &[98.0, 2.0, 0.0]),
        [9, 1, 0],
        "no room, no share"
    );
    assert_eq!(
        divide(1, &[3.0, 4.0, 4.0]),
        [0, 1, 0],
        "one task, the roomiest part"
    );
    assert_eq!(
        divide(2, &[1.0, 2.0, 3.0]),
        [0, 1, 1],
        "fewer tasks than parts"
    );
    assert_eq!(divide(5, &[0.0, 0.0]), [0, 0], "no room at all");
}

/// Nothing is lost or made up, whatever the weights.
#[test]
fn shares_add_up() {
    for n in 0..200u32 {
        for k in 1..6u32 {
            let w: Vec<f64> = (0..k)
                .map(|i| f64::from((n * 7 + i * i * 13) % 11))
                .collect();
            let given: u32 = divide(n, &w).iter().sum();
            let some = w.iter().any(|&x| x > 0.0);
            assert_eq!(given, if some { n } else { 0 }, "{n} by {w:?}");
        }
    }
}
