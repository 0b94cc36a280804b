use super::*;

/// Guards against a status that changes too early or too late: a flow goes ahead of rank only after
/// 30 s below its guarantee, and ceases only after 30 s of ample coverage.
#[test]
fn flow_below_its_guarantee_for_a_window_goes_ahead() {
    let mut status = FairShareStatus::Served;
    let mut transitions = Vec::new();
    for s in 0..300 {
        let running = match s {
            60..80 => 10.0,
            90..150 | 170..175 => 40.0,
            ..220 => 97.0,
            _ => 130.0,
        };
        let before = status.name();
        let now = f64::from(s) * 1000.0;
        status = status.after(Coverage::of(running, 500.0, 100.0), 30_000.0, now);
        if status.name() != before {
            transitions.push(format!("{s} {}", status.name()));
        }
    }
    let expected = [
        "60 short",
        "80 served",
        "90 short",
        "120 ahead",
        "150 easing",
        "170 ahead",
        "175 easing",
        "249 served",
    ];
    assert_eq!(transitions, expected);
    assert_eq!(
        Coverage::of(10.0, 0.0, 100.0),
        Coverage::Ample,
        "it asks for no more"
    );
}
