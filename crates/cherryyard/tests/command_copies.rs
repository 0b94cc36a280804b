//! Direct commands that arrive at a worker once more, with the real program over loopback.

use cherryyard_simulation::http_worker::HttpWorker;
use cherryyard_simulation::process::Process;
use cherryyard_simulation::{StateStandIn, World, small_machine_type};
use cherryyard_wire::record::MACHINE_TYPES_KEY;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time within which each condition must hold.
const WAIT: Duration = Duration::from_secs(90);
/// Job whose task fails on one machine and runs on another.
const MOVED: &str = "j-000001";
/// Job that is cancelled.
const CANCELLED: &str = "j-000002";

async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let since = Instant::now();
    while !condition() {
        assert!(since.elapsed() < WAIT, "{what}: not within {WAIT:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the indices of the workers that run a task of this job.
fn runs_on(workers: &[HttpWorker], job: &str) -> Vec<usize> {
    let task = format!("{job}/0");
    let runs = |i: &usize| workers[*i].with(|worker| worker.runs(&task));
    (0..workers.len()).filter(runs).collect()
}

/// Guards against a direct command that was carried out and answered, and that runs a task again when
/// it arrives once more: after the end of the attempt, after its clear, after the task has moved to
/// another machine, after its job was cancelled, and right after its machine has begun anew.
#[tokio::test(flavor = "current_thread")]
async fn copies_of_answered_starts_run_nothing() {
    let mut state = StateStandIn::default();
    state.seed(MACHINE_TYPES_KEY, &[small_machine_type(vec!["a".into()])]);
    let program = Path::new(env!("CARGO_BIN_EXE_cherryyard"));
    let (_service, controller, client) = Process::start_alone(program, state, "").await;
    let mut workers = Vec::new();
    for host in ["host-000000", "host-000001"] {
        let services = [MOVED, CANCELLED];
        workers.push(HttpWorker::start(host, "a", &services, &controller.addr).await);
    }
    for job in [MOVED, CANCELLED] {
        let body = serde_json::to_string(&World::spec(job, "service", 1)).expect("a job");
        let (status, text) = client
            .call_until_available("POST", "/v2/runs", Some(body))
            .await;
        assert_eq!(status, 201, "{text}");
        wait_until("the task runs", || runs_on(&workers, job).len() == 1).await;
    }

    let first = runs_on(&workers, MOVED)[0];
    workers[first].with(|worker| (worker.tasks_fail, worker.run_ms) = (true, 0.0));
    wait_until("the task has moved", || {
        runs_on(&workers, MOVED) == [1 - first]
    })
    .await;
    workers[first].with(|worker| (worker.tasks_fail, worker.run_ms) = (false, f64::INFINITY));
    let path = format!("/v2/runs/{CANCELLED}/cancel");
    let (status, text) = client
        .call_until_available("POST", &path, Some("{}".into()))
        .await;
    assert_eq!(status, 200, "{text}");
    wait_until("the cancelled task has stopped", || {
        runs_on(&workers, CANCELLED).is_empty()
    })
    .await;

    let starts: Vec<_> = workers.iter().map(HttpWorker::executed_starts).collect();
    assert!(!starts[first].is_empty(), "nothing was sent directly");
    let holds_ended =
        |worker: &HttpWorker| worker.with(|worker| worker.tasks.values().any(|task| !task.runs()));
    for when in ["once ended", "after the clear", "after a restart"] {
        if when == "after a restart" {
            workers[first].restart_silently();
        }
        for (worker, starts) in workers.iter().zip(&starts) {
            let statuses = worker.send_copies(starts).await;
            let is_first_executed = statuses.first().is_none_or(|&status| status == 200);
            assert!(is_first_executed, "{when}: {statuses:?}");
        }
        assert_eq!(runs_on(&workers, MOVED), [1 - first], "{when}");
        assert_eq!(runs_on(&workers, CANCELLED), Vec::<usize>::new(), "{when}");
        wait_until("ended attempts are cleared", || {
            !workers.iter().any(holds_ended)
        })
        .await;
    }
}
