use super::*;

/// A short dip changes nothing; half a minute of it does, until there has been plenty
/// for as long.
#[test]
fn who_has_long_had_too_little_goes_ahead() {
    let mut status = FairShareStatus::Served;
    let mut story = Vec::new();
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
            story.push(format!("{s} {}", status.name()));
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
    assert_eq!(story, expected);
    assert_eq!(
        Coverage::of(10.0, 0.0, 100.0),
        Coverage::Ample,
        "it asks for no more"
    );
}
