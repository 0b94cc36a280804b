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
mod tests {
    use super::*;

    fn query(team: u32, demand: f64) -> FlowDemand {
        FlowDemand {
            demand,
            team,
            weight: 1.0,
            least: 0.5,
            share: 1.0,
        }
    }

    /// Half of what each asks for, where there is that much; who asks for little is
    /// not the worse for another's flood; a guarantee counts whole.
    #[test]
    fn floors_by_demand_and_guarantee() {
        let two = [query(0, 1900.0), query(0, 8600.0)];
        assert_eq!(floors(&two, &[0.0], 6000.0), [950.0, 4300.0]);
        assert_eq!(floors(&two, &[0.0], 3000.0), [950.0, 2050.0]);
        assert_eq!(floors(&two, &[0.0], 1000.0), [500.0, 500.0]);
        let teams = [query(0, 1500.0), query(1, 20_000.0)];
        assert_eq!(
            floors(&teams, &[1800.0, 3000.0], 12_000.0),
            [1500.0, 10_000.0]
        );
        assert_eq!(floors(&teams, &[1800.0, 3000.0], 4000.0), [1500.0, 2500.0]);
        let mut capped = two;
        capped[0].share = 0.25;
        assert_eq!(floors(&capped, &[0.0], 2000.0), [500.0, 1500.0]);
        let mut weighted = two;
        weighted[1].weight = 3.0;
        assert_eq!(floors(&weighted, &[0.0], 1000.0), [250.0, 750.0]);
        assert_eq!(floors(&[], &[], 10.0), Vec::<f64>::new());
    }

    /// Never more than there is, never more than claimed, and nothing left while
    /// somebody claims more.
    #[test]
    fn shares_fill_what_there_is() {
        for seed in 0..500u32 {
            let n = 1 + seed % 7;
            let x = |i: u32, k: u32| f64::from((seed * 31 + i * 17 * k + 7) % 23);
            let claims: Vec<f64> = (0..n).map(|i| x(i, 3) * 10.0).collect();
            let weights: Vec<f64> = (0..n).map(|i| 0.5 + x(i, 5)).collect();
            let all = x(9, 2) * 20.0;
            let shares = fill(&claims, &weights, all);
            let sum: f64 = shares.iter().sum();
            let claimed: f64 = claims.iter().sum();
            assert!(
                (sum - all.min(claimed)).abs() < 1e-6,
                "{claims:?} {all} {shares:?}"
            );
            assert!(
                shares
                    .iter()
                    .zip(&claims)
                    .all(|(s, c)| *s <= c + 1e-9 && *s >= 0.0)
            );
        }
    }
}
