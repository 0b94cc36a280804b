use super::*;

fn flow_demand(team: u32, demand: f64) -> FlowDemand {
    FlowDemand {
        demand,
        team,
        weight: 1.0,
        least_served: 0.5,
        max_share: 1.0,
    }
}

/// Guards against wrong guarantees: half of each demand if there are enough cores, small demands
/// unharmed by large ones if not, and the demand that a team's guarantee covers counted in full.
#[test]
fn guarantees_follow_demand_and_team_guarantees() {
    let two = [flow_demand(0, 1900.0), flow_demand(0, 8600.0)];
    assert_eq!(fair_share_guarantees(&two, &[0.0], 6000.0), [950.0, 4300.0]);
    assert_eq!(fair_share_guarantees(&two, &[0.0], 3000.0), [950.0, 2050.0]);
    assert_eq!(fair_share_guarantees(&two, &[0.0], 1000.0), [500.0, 500.0]);
    let teams = [flow_demand(0, 1500.0), flow_demand(1, 20_000.0)];
    assert_eq!(
        fair_share_guarantees(&teams, &[1800.0, 3000.0], 12_000.0),
        [1500.0, 10_000.0]
    );
    assert_eq!(
        fair_share_guarantees(&teams, &[1800.0, 3000.0], 4000.0),
        [1500.0, 2500.0]
    );
    let mut capped = two;
    capped[0].max_share = 0.25;
    assert_eq!(
        fair_share_guarantees(&capped, &[0.0], 2000.0),
        [500.0, 1500.0]
    );
    let mut weighted = two;
    weighted[1].weight = 3.0;
    assert_eq!(
        fair_share_guarantees(&weighted, &[0.0], 1000.0),
        [250.0, 750.0]
    );
    assert_eq!(fair_share_guarantees(&[], &[], 10.0), Vec::<f64>::new());
}

/// Guards against shares whose sum is above the total, that are above their claims, or that leave
/// cores unused while a claim is not met.
#[test]
fn shares_use_the_whole_total() {
    for seed in 0..500u32 {
        let n = 1 + seed % 7;
        let x = |i: u32, k: u32| f64::from((seed * 31 + i * 17 * k + 7) % 23);
        let claims: Vec<f64> = (0..n).map(|i| x(i, 3) * 10.0).collect();
        let weights: Vec<f64> = (0..n).map(|i| 0.5 + x(i, 5)).collect();
        let total = x(9, 2) * 20.0;
        let shares = weighted_max_min(&claims, &weights, total);
        let sum: f64 = shares.iter().sum();
        let claimed: f64 = claims.iter().sum();
        assert!(
            (sum - total.min(claimed)).abs() < 1e-6,
            "{claims:?} {total} {shares:?}"
        );
        assert!(
            shares
                .iter()
                .zip(&claims)
                .all(|(s, c)| *s <= c + 1e-9 && *s >= 0.0)
        );
    }
}
