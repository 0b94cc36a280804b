use super::*;

fn query(team: u32, demand: f64) -> FlowDemand {
    FlowDemand {
        demand,
        team,
        weight: 1.0,
        least_served: 0.5,
        max_share: 1.0,
    }
}

/// Half of what each asks for, where there is that much; who asks for little is
/// not the worse for another's flood; a guarantee counts whole.
#[test]
fn floors_by_demand_and_guarantee() {
    let two = [query(0, 1900.0), query(0, 8600.0)];
    assert_eq!(fair_share_guarantees(&two, &[0.0], 6000.0), [950.0, 4300.0]);
    assert_eq!(fair_share_guarantees(&two, &[0.0], 3000.0), [950.0, 2050.0]);
    assert_eq!(fair_share_guarantees(&two, &[0.0], 1000.0), [500.0, 500.0]);
    let teams = [query(0, 1500.0), query(1, 20_000.0)];
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
        let shares = weighted_max_min(&claims, &weights, all);
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
