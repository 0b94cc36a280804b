use super::divide;

/// Checks the paper's examples, and the edge cases of the rounding rule.
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
        "shares below 1 become 1"
    );
    assert_eq!(
        divide(10, &[98.0, 2.0, 0.0]),
        [9, 1, 0],
        "no share where the weight is 0"
    );
    assert_eq!(
        divide(1, &[3.0, 4.0, 4.0]),
        [0, 1, 0],
        "one task, the largest weight"
    );
    assert_eq!(
        divide(2, &[1.0, 2.0, 3.0]),
        [0, 1, 1],
        "fewer tasks than shards"
    );
    assert_eq!(divide(5, &[0.0, 0.0]), [0, 0], "all weights are 0");
}

/// Guards against lost or additional tasks, whatever the weights are.
#[test]
fn shares_add_up() {
    for tasks in 0..200u32 {
        for shards in 1..6u32 {
            let weights: Vec<f64> = (0..shards)
                .map(|i| f64::from((tasks * 7 + i * i * 13) % 11))
                .collect();
            let divided: u32 = divide(tasks, &weights).iter().sum();
            let any_positive = weights.iter().any(|&x| x > 0.0);
            assert_eq!(
                divided,
                if any_positive { tasks } else { 0 },
                "{tasks} by {weights:?}"
            );
        }
    }
}
