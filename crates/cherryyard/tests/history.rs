//! The real program with a simulated state service over loopback: polls of old and unknown jobs,
//! and a flood of polls for unknown jobs.

use cherryyard_history::{FinishedJob, Leaf, Level, leaf_key};
use cherryyard_simulation::http::{Budgets, HttpState};
use cherryyard_simulation::process::{self, Client, Process};
use cherryyard_simulation::{StateStandIn, World, small_machine_type};
use cherryyard_wire::history::{HistoryProgressRecord, MAX_JOB_NUMBER};
use cherryyard_wire::job::{JobStatus, JobView, job_id};
use cherryyard_wire::record::{
    BUCKETS, BucketRecord, FORMAT_KEY, FormatRecord, HISTORY_PROGRESS_KEY, JobOutcome,
    MACHINE_TYPES_KEY, bucket_key,
};
use std::path::Path;

/// Returns a store whose history holds the ended jobs 10, 20 (cancelled) and 30 in the large run.
fn store() -> StateStandIn {
    let mut state = StateStandIn::default();
    let machine_type = small_machine_type(vec!["a".into()]);
    state.seed(MACHINE_TYPES_KEY, &[machine_type]);
    state.seed(
        FORMAT_KEY,
        &FormatRecord {
            jobs: BUCKETS,
            admission_log: false,
            dependencies: false,
        },
    );
    state.seed(&bucket_key(0), &BucketRecord::default());
    let record = HistoryProgressRecord {
        current_generation: 2,
        archived_generation: 1,
        jobs_in_runs: [0, 3],
        ..HistoryProgressRecord::default()
    };
    state.seed(HISTORY_PROGRESS_KEY, &record);
    let finished_job = |job| FinishedJob {
        job,
        end: if job == 20 {
            JobOutcome::Cancelled
        } else {
            JobOutcome::Done
        },
        done: 4,
        day: 1,
    };
    let leaf = Leaf::new([10, 20, 30].map(finished_job).to_vec());
    state.seed(&leaf_key(Level::Large, MAX_JOB_NUMBER), &leaf.to_record());
    state
}

/// Polls a job; returns the HTTP status and the job's status.
async fn poll(client: &Client, job: u64) -> (u16, Option<JobStatus>) {
    let path = format!("/v2/runs/{}", job_id(job));
    let (status, body) = client.call("GET", &path, None).await;
    let view: Option<JobView> = serde_json::from_str(&body).ok();
    (status, view.map(|v| v.status))
}

/// Submits a job, again until the response is not a 503; returns the response.
async fn submit(client: &Client, job: u64) -> (u16, String) {
    let spec = World::spec(&job_id(job), "sweep", 1);
    let body = serde_json::json!(spec).to_string();
    client
        .call_until_available("POST", "/v2/runs", Some(body))
        .await
}

/// Guards against old jobs that are not found or are run again, against unknown jobs that do not
/// get a 404, and against a flood of polls for unknown jobs that delays submissions or uses more
/// requests than the state service allows. Each poll of the flood must get a 404 or 503.
#[tokio::test]
async fn polls_of_old_and_unknown_jobs_and_a_flood() {
    let budgets = Budgets {
        rps: 400.0,
        write_rps: 100.0,
    };
    let service = HttpState::new(store(), budgets);
    let addr = service.serve().await;
    let program = Path::new(env!("CARGO_BIN_EXE_cherryyard"));
    let settings = process::settings(&addr.to_string());
    let controller = Process::start(program, &settings, "history = true\n");
    let client = controller.client();
    client.ready().await;
    assert_eq!(poll(&client, 10).await, (200, Some(JobStatus::Done)));
    assert_eq!(poll(&client, 20).await, (200, Some(JobStatus::Cancelled)));
    assert_eq!(poll(&client, 11).await.0, 404);
    let (status, body) = submit(&client, 30).await;
    assert_eq!(status, 200, "{body}");
    assert!(body.contains("done"), "{body}");
    let path = format!("/v2/runs/{}/cancel", job_id(20));
    assert_eq!(client.call("POST", &path, Some("{}".into())).await.0, 200);

    let flood: Vec<_> = (0..300u64)
        .map(|i| {
            let client = client.clone();
            tokio::spawn(async move { poll(&client, 1_000_000 + i * 7_919).await.0 })
        })
        .collect();
    assert_eq!(submit(&client, 40).await.0, 201);
    let mut statuses = Vec::new();
    for poll in flood {
        statuses.push(poll.await.expect("an answer"));
    }
    assert!(
        statuses.iter().all(|status| [404, 503].contains(status)),
        "{statuses:?}"
    );
    assert!(statuses.contains(&404));
    let (status, counts) = client.call("GET", "/v2/history", None).await;
    assert_eq!(status, 200);
    assert!(counts.contains("\"open\":1"), "{counts}");
    // The requests to the state service stayed within its budget: at most a tenth were refused.
    let queried = service.requests();
    assert!(queried.refused * 10 <= queried.all, "{queried:?}");
    assert_eq!(poll(&client, 10).await, (200, Some(JobStatus::Done)));
}
