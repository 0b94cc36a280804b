use super::*;

/// A faulty array of a hundred tasks on four machines must be attributed to the job after three
/// machines and count as one strike, not a hundred. Holds must double up to a bound, with jitter.
/// Guards against a faulty job being held against its machines, or being held off for too long
/// because many of its tasks fail at once.
#[test]
fn job_is_quarantined_after_failures_on_three_machines() {
    let mut failures = JobFailures::new(0.0);
    let verdicts: Vec<Verdict> = (0..100)
        .map(|i| failures.record(i % 4, 0.5, f64::from(i)))
        .collect();
    assert_eq!(verdicts[..2], [Verdict::Machine, Verdict::Machine]);
    assert_eq!(verdicts[2], Verdict::JobEstablished);
    assert!(verdicts[3..].iter().all(|v| *v == Verdict::Job));
    assert!(failures.is_on_hold(1001.0) && !failures.is_on_hold(1002.0));
    let mut now = 1002.0;
    let mut waits = Vec::new();
    for jitter in [0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.0, 0.999] {
        failures.record(9, jitter, now);
        let FailureAttribution::Quarantined { until, .. } = failures.attribution else {
            panic!("not quarantined")
        };
        waits.push(((until - now) / 1000.0).round());
        now = until;
    }
    assert_eq!(waits, [2.0, 4.0, 8.0, 16.0, 32.0, 32.0, 24.0, 40.0]);
}

/// Repeated failures on a single machine must not quarantine the job, because they may be the
/// machine's fault.
#[test]
fn failures_on_one_machine_do_not_quarantine_a_job() {
    let mut failures = JobFailures::new(0.0);
    for i in 0..50 {
        assert_eq!(failures.record(7, 0.5, f64::from(i)), Verdict::Machine);
    }
    assert!(!failures.is_quarantined());
}
