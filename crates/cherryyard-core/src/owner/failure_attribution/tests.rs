use super::*;

/// A faulty array of a hundred tasks on four machines must be attributed to the job after three
/// machines and count as one strike, not a hundred. Holds must double up to a bound, with jitter.
/// Guards against a faulty job being held against its machines, or being held off for too long
/// because many of its tasks fail at once.
#[test]
fn a_job_is_blamed_after_three_machines() {
    let mut t = JobFailures::new(0.0);
    let verdicts: Vec<Verdict> = (0..100)
        .map(|i| t.failed(i % 4, 0.5, f64::from(i)))
        .collect();
    assert_eq!(verdicts[..2], [Verdict::Machine, Verdict::Machine]);
    assert_eq!(verdicts[2], Verdict::JobNow);
    assert!(verdicts[3..].iter().all(|v| *v == Verdict::Job));
    assert!(t.held_off(1001.0) && !t.held_off(1002.0));
    let mut now = 1002.0;
    let mut waits = Vec::new();
    for jitter in [0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.0, 0.999] {
        t.failed(9, jitter, now);
        let FailureAttribution::Quarantined { until, .. } = t.attribution else {
            panic!("not blamed")
        };
        waits.push(((until - now) / 1000.0).round());
        now = until;
    }
    assert_eq!(waits, [2.0, 4.0, 8.0, 16.0, 32.0, 32.0, 24.0, 40.0]);
}

/// Repeated failures on a single machine must not quarantine the job, because they may be the
/// machine's fault.
#[test]
fn one_machine_blames_no_job() {
    let mut t = JobFailures::new(0.0);
    for i in 0..50 {
        assert_eq!(t.failed(7, 0.5, f64::from(i)), Verdict::Machine);
    }
    assert!(!t.is_quarantined());
}
