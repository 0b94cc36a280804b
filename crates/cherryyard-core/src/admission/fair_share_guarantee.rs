//! Fair-share guarantees: the cores that each flow is to have at least.
//!
//! Claims come first: the part of a flow's demand that is to be served whatever its rank,
//! but no more than a share of all cores, as rank is to count beyond that; and what its
//! team's guarantee covers. Where the claims fit, they are the flows' guarantees. Where
//! they don't, what there is is filled up from the bottom, by weight (weighted max-min
//! fairness): a flow that asks for little gets it, and nobody gets more by asking for more.

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
    pub least_served: f64,
    /// The most that this may be, as a part of all cores.
    pub max_share: f64,
}

/// The flows' guarantees, given their teams' guarantees and all cores that there are.
pub fn fair_share_guarantees(
    demands: &[FlowDemand],
    team_guarantees: &[f64],
    cores: f64,
) -> Vec<f64> {
    let claims: Vec<f64> = demands
        .iter()
        .map(|flow| claim(flow, demands, team_guarantees, cores))
        .collect();
    let weights: Vec<f64> = demands.iter().map(|flow| flow.weight).collect();
    weighted_max_min(&claims, &weights, cores)
}

/// What a flow is to have if there is enough.
fn claim(flow: &FlowDemand, demands: &[FlowDemand], team_guarantees: &[f64], cores: f64) -> f64 {
    let of_team = demands.iter().filter(|other| other.team == flow.team);
    let team_demand: f64 = of_team.map(|other| other.demand).sum();
    let team_guarantee = team_guarantees.get(flow.team as usize).copied();
    let team_guarantee = team_guarantee.unwrap_or(0.0);
    let covered_by_team = if team_demand > team_guarantee {
        flow.demand * team_guarantee / team_demand
    } else {
        flow.demand
    };
    let least = (flow.demand * flow.least_served).min(cores * flow.max_share);
    least.max(covered_by_team)
}

/// Weighted max-min shares of `total`, each at most its claim.
pub fn weighted_max_min(claims: &[f64], weights: &[f64], total: f64) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    // In the order in which a rising share, times their weights, fills them.
    let mut order: Vec<usize> = (0..claims.len()).filter(|&i| weights[i] > 0.0).collect();
    order.sort_by(|&a, &b| (claims[a] / weights[a]).total_cmp(&(claims[b] / weights[b])));
    let mut remaining = total.max(0.0);
    let mut remaining_weight: f64 = order.iter().map(|&i| weights[i]).sum();
    for i in order {
        let by_weight = remaining * weights[i] / remaining_weight;
        shares[i] = claims[i].min(by_weight).max(0.0);
        remaining -= shares[i];
        remaining_weight -= weights[i];
    }
    shares
}

#[cfg(test)]
mod tests;
