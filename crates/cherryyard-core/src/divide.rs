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
mod tests;
