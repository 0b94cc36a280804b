//! DynamicWeighted division of a job's tasks among the shards.

/// What exact shares may differ from whole numbers by rounding.
const ROUNDING: f64 = 1e-9;

/// Divides `tasks` by `weights`; the shares add up to `tasks`.
///
/// Shares are rounded down, and what is left goes to the shards that lost a
/// fraction, larger weights first, as in the paper's StaticWeighted example
/// (10 by 1:2:3 is 1, 4, 5). Then a share below 1 becomes 1 where the weight
/// is above 0, taken from the largest share, as long as that leaves it 1.
/// All weights 0: nothing is given out.
pub fn divide(tasks: u32, weights: &[f64]) -> Vec<u32> {
    let total: f64 = weights.iter().sum();
    let mut shares = vec![0u32; weights.len()];
    if total <= 0.0 || tasks == 0 {
        return shares;
    }
    let mut largest_first: Vec<usize> = (0..weights.len()).filter(|&i| weights[i] > 0.0).collect();
    largest_first.sort_by(|&a, &b| weights[b].total_cmp(&weights[a]).then(a.cmp(&b)));
    let mut remaining = tasks;
    let mut lost_fraction = vec![false; weights.len()];
    for &i in &largest_first {
        let exact = f64::from(tasks) * weights[i] / total;
        shares[i] = ((exact + ROUNDING).floor() as u32).min(remaining);
        lost_fraction[i] = exact - f64::from(shares[i]) > ROUNDING;
        remaining -= shares[i];
    }
    for only_fractions in [true, false] {
        for &i in &largest_first {
            if remaining > 0 && (lost_fraction[i] || !only_fractions) {
                shares[i] += 1;
                remaining -= 1;
            }
        }
    }
    if let Some(&first) = largest_first.first() {
        shares[first] += remaining;
    }
    raise_to_one(&mut shares, &largest_first);
    shares
}

/// Raises shares below 1 to 1, each taken from the largest share as long as that is above
/// 1.
fn raise_to_one(shares: &mut [u32], largest_first: &[usize]) {
    for &i in largest_first {
        if shares[i] == 0
            && let Some(&from) = largest_first.iter().max_by_key(|&&k| shares[k])
            && shares[from] > 1
        {
            shares[from] -= 1;
            shares[i] = 1;
        }
    }
}

#[cfg(test)]
mod tests;
