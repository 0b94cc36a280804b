//! Compatibility with the version in production, during an upgrade in which both run.
//!
//! `production/samples.txt` contains records and frames as that version wrote them, at the commit
//! that `deploy/service.toml` named first. This build must read each sample, and must write the
//! same bytes as long as such a version may read them.

use cherryyard_wire::RangeSet;
use cherryyard_wire::admission_log::{AdmissionPageRecord, UncommonFields};
use cherryyard_wire::job::{JobSpec, job_id};
use cherryyard_wire::page::StoredPage;
use cherryyard_wire::peer::{
    CapacityReport, DemandReport, FlowGrant, ForwardResponse, ForwardedSubmission, Heartbeat,
    MachineCapacity, MachinePool, Message, ShardGrant, decode, encode_legacy,
};
use cherryyard_wire::record::{
    ADMISSION_LOG, BucketRecord, FormatRecord, Grant, ImagesRecord, JobOutcome, JobRecord,
    LeaseRecord, PageRecord,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

/// Returns the sample with this name.
fn sample(name: &str) -> &'static str {
    let all = include_str!("production/samples.txt");
    let mut lines = all.lines().filter_map(|line| line.split_once(' '));
    let found = lines.find(|line| line.0 == name);
    found.unwrap_or_else(|| panic!("no sample of {name}")).1
}

fn decode_hex(hex: &str) -> Vec<u8> {
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hex");
    (0..hex.len()).step_by(2).map(digits).collect()
}

/// Asserts that a JSON sample is read as `value`, and that `value` is written as the sample.
fn assert_json_sample<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let read: T = serde_json::from_str(sample(name)).expect(name);
    assert_eq!(&read, value, "{name} as it is read");
    let written = serde_json::to_string(value).expect(name);
    assert_eq!(written, sample(name), "{name} as it is written");
}

/// Asserts that a frame sample is read as `message`, and that `message` is written as the sample.
fn assert_frame_sample(name: &str, message: &Message) {
    let payload = decode_hex(sample(name));
    let frame = decode(&payload).expect(name);
    assert_eq!(
        frame.message.as_ref(),
        Some(message),
        "{name} as it is read"
    );
    assert_eq!(frame.sender, None, "{name}");
    assert_eq!(encode_legacy(message), payload, "{name} as it is sent");
}

fn spec(job: u64) -> JobSpec {
    let value = serde_json::json!({
        "id": job_id(job), "jobclass": "ledger-extract", "owner": "member-care",
        "shape": "sweep", "rank": "best_effort", "pieces": 6, "cores": 1.0,
        "accelerators": 0.0, "ram_gb": 3.2, "bundle": "img-02", "image_gb": 1.0,
        "kinds_of_host": ["qanat-4"], "yard": null, "together": false, "apart": false,
        "borrowed": true, "expected_s": 15.0, "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0, "due_s": 90.5
    });
    JobSpec::parse(value.to_string().as_bytes()).expect("a valid job")
}

fn open_job(job: u64, at: u64, div: Vec<RangeSet>) -> JobRecord {
    JobRecord::Open {
        spec: Box::new(spec(job)),
        submitted_at_ms: at,
        division: div,
        zone: None,
        zone_caps: Vec::new(),
        rules: None,
        dependencies: Default::default(),
    }
}

fn division() -> Vec<RangeSet> {
    vec![
        RangeSet::from_range(0, 3),
        RangeSet::new(),
        RangeSet::from_range(4, 5),
    ]
}

#[test]
fn frames_of_production_are_compatible() {
    let heartbeat = Heartbeat {
        label: "orchard-1".into(),
        cut_off: true,
        silent_ms: 400,
        cancelled: vec![412, 398_405],
        cancellations_cover_ms: 60_000,
        all_cancellations_known: true,
        store_revision: 70_123,
        leases: vec![(0, 3, "orchard-0".into()), (2, 41, "orchard-2".into())],
        shards: vec![CapacityReport {
            shard: 2,
            revision: 41,
            pools: vec![MachinePool {
                machine_type: "qanat-4".into(),
                zone: "lahore-east".into(),
                spot: true,
            }],
            images: vec!["img-02".into()],
            machines: vec![MachineCapacity {
                pool: 0,
                free: (1.5, 0.0, 8.25),
                free_if_preempted: (4.0, 0.0, 16.0),
                images: vec![0],
            }],
            waiting: vec![(412, 7, 2.5)],
            team_demand: vec![("member-care".into(), 12.0, 0.0)],
        }],
        teams_short_of_grants: vec!["servicing".into()],
        handover_candidates: vec![(1, 77)],
        misdirected_workers: vec![(0, 3)],
        number: 9,
        last_received_numbers: vec![(0, 7), (2, 8)],
        fair_share_grants: vec![FlowGrant {
            class: "ledger-extract".into(),
            team: 1,
            guarantee_cores: 12.5,
            shard_grants: vec![ShardGrant {
                shard: 2,
                lease_tokens: (40, 41),
                amount_millicores: 12_500,
            }],
        }],
        longest_submission_wait_ms: 12,
        demand: vec![DemandReport {
            class: "ledger-extract".into(),
            team: 1,
            submitted: 5,
            accepted: 4,
            refused: 1,
        }],
    };
    assert_frame_sample("beat", &Message::Heartbeat(Box::new(heartbeat)));
    let forwarded = ForwardedSubmission {
        label: "orchard-1".into(),
        ticket: 99,
        at: 1_790_000_000_000,
        body: br#"{"id":"j-000412"}"#.to_vec(),
    };
    assert_frame_sample("ask", &Message::ForwardedSubmission(forwarded));
    let response = ForwardResponse {
        ticket: 99,
        status: 201,
        retry_after: 0,
        body: r#"{"id":"j-000412","status":"queued"}"#.into(),
    };
    assert_frame_sample("told", &Message::ForwardResponse(response));
}

#[test]
fn job_records_of_production_are_compatible() {
    assert_json_sample("open", &open_job(412, 1_790_000_000_000, division()));
    let undivided = JobRecord::Open {
        spec: Box::new(spec(413)),
        submitted_at_ms: 1_790_000_000_000,
        division: Vec::new(),
        zone: Some("lahore-east".into()),
        zone_caps: vec![vec![1, 2]],
        rules: None,
        dependencies: Default::default(),
    };
    assert_json_sample("undivided", &undivided);
    let usage = cherryyard_wire::record::TaskUsage {
        team: "member-care".into(),
        cores: 1.0,
        accelerators: 0.0,
        ram_gb: 3.2,
    };
    let ended = JobRecord::Ended {
        end: JobOutcome::Done,
        task_count: 6,
        usage: usage.clone(),
        generation: 0,
        cancelled_by: None,
    };
    assert_json_sample("ended", &ended);
    let bucket = BucketRecord {
        open: vec![(412, open_job(412, 7, Vec::new()))],
        ended: vec![(398_405, JobOutcome::Cancelled, 6, 3)],
        usage: vec![(398_405, usage)],
    };
    assert_json_sample("bucket", &bucket);
    let mut page = AdmissionPageRecord::default();
    let rest = UncommonFields {
        zone: Some("lahore-east".into()),
        ..UncommonFields::default()
    };
    let at = 1_790_000_000_000;
    page.push(
        412,
        &spec(412),
        at + 500,
        &division(),
        UncommonFields::default(),
    );
    page.push(398_405, &spec(398_405), at, &[], rest);
    assert_json_sample("arrivals", &page);
}

#[test]
fn other_records_of_production_are_compatible() {
    // The leases that this build acquires contain the number of a newer format, which earlier
    // builds can read, as it is a number too.
    assert_json_sample(
        "claim",
        &LeaseRecord::of("orchard-1", 123_456_789, ADMISSION_LOG),
    );
    let format = FormatRecord {
        jobs: 1,
        admission_log: true,
        dependencies: false,
    };
    assert_json_sample("format", &format);
    let grant = Grant {
        cores: 12.5,
        accelerators: 0.0,
    };
    assert_json_sample("grant", &grant);
    let held = [("host-000231", vec![0]), ("host-000007", vec![])];
    let images = ImagesRecord::pack(vec![("img-02".into(), 1.0)], &held, 4096);
    assert_json_sample("images", &images);
    let page = PageRecord {
        machines: vec!["host-000231".into(), "host-000007".into()],
        jobs: vec![
            (
                412,
                vec![vec![88, 1, 0, 0, 1, 3], vec![91, 2, 1, 4]],
                [1u32, 2].into_iter().collect(),
            ),
            (398_405, Vec::new(), RangeSet::from_range(0, 5)),
        ],
    };
    assert_json_sample("page", &StoredPage::Plain(page));
    assert_json_sample("empty", &StoredPage::Plain(PageRecord::default()));
}
