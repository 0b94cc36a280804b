//! Division of a job's tasks among the shards by dynamic weights (DynamicWeighted).

/// Tolerance for rounding errors in exact shares.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Divides `tasks` in proportion to `weights`. The shares add up to `tasks`, except that all are 0
/// if all weights are 0.
///
/// Shares are rounded down, and the remaining tasks go to the shards that lost a fraction, larger
/// weights first, as in the paper's StaticWeighted example (10 by 1:2:3 is 1, 4, 5). Then each
/// share of 0 whose weight is above 0 is raised to 1, taken from the largest share as long as that
/// keeps at least 1.
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
        shares[i] = ((exact + ROUNDING_TOLERANCE).floor() as u32).min(remaining);
        lost_fraction[i] = exact - f64::from(shares[i]) > ROUNDING_TOLERANCE;
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

/// Raises shares of 0 to 1, each taken from the largest share as long as that is above 1.
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
