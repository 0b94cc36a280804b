//! Floors: what each flow is to have at least, of what there is.
//!
//! Claims come first: the part of a flow's demand that is to be served whatever its
//! rank, but no more than a share of all there is, as rank is to count beyond that; and
//! what its team's guarantee covers. Where the
//! claims fit, they are the floors. Where they don't, what there is is filled up from
//! the bottom, by weight (weighted max-min fairness): a flow that asks for little gets
//! it, and nobody gets more by asking for more.

/// What one flow asks for, in cores.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FlowDemand {
    /// What runs and what waits.
    pub demand: f64,
    /// Its team, by index.
    pub team: u32,
    /// Its weight where there is too little.
    pub weight: f64,
    /// The part of its demand that is to be served.
    pub least: f64,
    /// The most that this may be, as a part of all cores.
    pub share: f64,
}

/// The flows' floors, given their teams' guarantees and all cores that there are.
pub fn floors(queries: &[FlowDemand], guarantees: &[f64], cores: f64) -> Vec<f64> {
    let of_team = |team: u32| {
        let same = queries.iter().filter(move |a| a.team == team);
        same.map(|a| a.demand).sum::<f64>()
    };
    let claims: Vec<f64> = queries
        .iter()
        .map(|a| {
            let (all, guarantee) = (of_team(a.team), guarantees.get(a.team as usize));
            let guarantee = guarantee.copied().unwrap_or(0.0);
            let guaranteed = if all > guarantee {
                a.demand * guarantee / all
            } else {
                a.demand
            };
            let least = (a.demand * a.least).min(cores * a.share);
            least.max(guaranteed)
        })
        .collect();
    let weights: Vec<f64> = queries.iter().map(|a| a.weight).collect();
    fill(&claims, &weights, cores)
}

/// Weighted max-min shares of `all`, each at most its claim.
pub fn fill(claims: &[f64], weights: &[f64], all: f64) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    // In the order in which a rising level, times their weights, fills them.
    let mut order: Vec<usize> = (0..claims.len()).filter(|&i| weights[i] > 0.0).collect();
    order.sort_by(|&a, &b| (claims[a] / weights[a]).total_cmp(&(claims[b] / weights[b])));
    let mut left = all.max(0.0);
    let mut weight: f64 = order.iter().map(|&i| weights[i]).sum();
    for i in order {
        shares[i] = claims[i].min(left * weights[i] / weight).max(0.0);
        left -= shares[i];
        weight -= weights[i];
    }
    shares
}

#[cfg(test)]
mod tests;
