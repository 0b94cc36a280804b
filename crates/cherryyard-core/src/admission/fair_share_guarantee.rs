//! Computation of fair-share guarantees: the least number of cores that each flow is to run.
//!
//! The claim of a flow is the larger of two numbers: the fraction of its demand that is to be
//! served whatever its rank, limited to a share of all cores so that rank decides about the rest;
//! and the part of its demand that its team's guarantee covers. If all claims fit into the
//! available cores, they are the guarantees. Otherwise the cores are divided by weighted max-min
//! fairness: a small claim is met in full, and no flow gets more by claiming more.

/// Demand of one flow, and the parameters of its claim.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FlowDemand {
    /// Cores of the flow's running tasks, and of those waiting tasks that its team's limit allows.
    pub demand: f64,
    /// Index of the flow's team.
    pub team: u32,
    /// Weight of the flow if not all claims can be met.
    pub weight: f64,
    /// Fraction of the demand that is to be served whatever the rank.
    pub least_served: f64,
    /// Upper limit of that part of the demand, as a fraction of all cores.
    pub max_share: f64,
}

/// Returns the guarantee of each flow in cores, given the guarantees of the teams by index and the
/// number of all cores.
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

/// Returns the claim of a flow: its guarantee if all claims can be met.
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

/// Returns the weighted max-min fair shares of `total`, each at most its claim.
pub fn weighted_max_min(claims: &[f64], weights: &[f64], total: f64) -> Vec<f64> {
    let mut shares = vec![0.0; claims.len()];
    // By claim per unit of weight: shares that grow in proportion to the weights meet the claims in
    // this order.
    let mut order: Vec<usize> = (0..claims.len()).filter(|&i| weights[i] > 0.0).collect();
    order.sort_by(|&a, &b| (claims[a] / weights[a]).total_cmp(&(claims[b] / weights[b])));
    let mut remaining = total.max(0.0);
    let mut remaining_weight: f64 = order.iter().map(|&i| weights[i]).sum();
    for i in order {
        let weighted_share = remaining * weights[i] / remaining_weight;
        shares[i] = claims[i].min(weighted_share).max(0.0);
        remaining -= shares[i];
        remaining_weight -= weights[i];
    }
    shares
}

#[cfg(test)]
mod tests;
