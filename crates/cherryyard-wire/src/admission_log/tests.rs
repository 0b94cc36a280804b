use super::*;

/// Forty jobs that share all common fields take less than 4000 bytes of JSON, and the page
/// read back from it contains the same jobs. Guards against shared fields that are stored per
/// job, and against submission times that are lost when a job is older than the page. A row
/// that refers to unknown shared fields or to an unknown shard is refused.
#[test]
fn pages_are_small_and_complete() {
    let text = br#"{"id":"j-1000000","jobclass":"calendar-api","owner":"schedules",
            "shape":"service","rank":"high","pieces":1,"cores":1.0,"accelerators":0.0,
            "ram_gb":1.2,"bundle":"img-07","image_gb":2.517,"kinds_of_host":null,"yard":null,
            "together":false,"apart":true,"borrowed":true,"expected_s":0.0,
            "snapshot_every_s":0.0,"snapshot_cost_s":0.0,"due_s":null}"#;
    let spec = JobSpec::parse(text).unwrap();
    let mut page = AdmissionPageRecord::default();
    let mut expected = Vec::new();
    for n in 0..40 {
        let mut spec = spec.clone();
        spec.id = job_id(1_000_000 + n);
        let mut div = vec![RangeSet::new(); 7];
        div[n as usize % 7] = RangeSet::from_range(0, 0);
        let rest = UncommonFields {
            zone: (n == 3).then(|| "a".into()),
            ..UncommonFields::default()
        };
        // Some jobs are older than the first one, so that the page's time has to be lowered.
        let at = 1_790_000_000_000 + (n * 37 + 5) % 60;
        page.push(1_000_000 + n, &spec, at, &div, rest.clone());
        let job = 1_000_000 + n;
        expected.push(AdmittedJob {
            job,
            spec,
            submitted_at_ms: at,
            division: div,
            rest,
        });
    }
    let text = serde_json::to_vec(&page).unwrap();
    assert!(text.len() < 4000, "{}", text.len());
    let read: AdmissionPageRecord = serde_json::from_slice(&text).unwrap();
    assert_eq!(read.read(7), Some(expected));
    let mut invalid = page.clone();
    invalid.jobs[0].common = 9;
    assert_eq!(invalid.read(7), None);
    assert_eq!(page.read(3), None, "a shard that does not exist");
}
