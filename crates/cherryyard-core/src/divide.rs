//! DynamicWeighted division of a job's tasks among the shards.

/// Divides `n` tasks by `weights`; the shares add up to `n`.
///
/// Shares are rounded down, and what is left goes to the shards that lost a
/// fraction, larger weights first, as in the paper's StaticWeighted example
/// (10 by 1:2:3 is 1, 4, 5). Then a share below 1 becomes 1 where the weight
/// is above 0, taken from the largest share, as long as that leaves it 1.
/// All weights 0: nothing is given out.
pub fn divide(n: u32, weights: &[f64]) -> Vec<u32> {
    let total: f64 = weights.iter().sum();
    let mut shares = vec![0u32; weights.len()];
    if total <= 0.0 || n == 0 {
        return shares;
    }
    let mut order: Vec<usize> = (0..weights.len()).filter(|&i| weights[i] > 0.0).collect();
    order.sort_by(|&a, &b| weights[b].total_cmp(&weights[a]).then(a.cmp(&b)));
    let mut left = n;
    let mut fraction = vec![false; weights.len()];
    for &i in &order {
        let exact = f64::from(n) * weights[i] / total;
        shares[i] = ((exact + 1e-9).floor() as u32).min(left);
        fraction[i] = exact - f64::from(shares[i]) > 1e-9;
        left -= shares[i];
    }
    for pass in [true, false] {
        for &i in &order {
            if left > 0 && (fraction[i] || !pass) {
                shares[i] += 1;
                left -= 1;
            }
        }
    }
    if let Some(&first) = order.first() {
        shares[first] += left;
    }
    for &i in &order {
        if shares[i] == 0
            && let Some(&from) = order.iter().max_by_key(|&&k| shares[k])
            && shares[from] > 1
        {
            shares[from] -= 1;
            shares[i] = 1;
        }
    }
    shares
}

#[cfg(test)]
mod tests {
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
}
