//! Submissions from HTCondor submit files (`condor = true`), with the real program over loopback
//! and its command line.

use cherryyard_simulation::http::HttpState;
use cherryyard_simulation::process::{self, Client, Process};
use cherryyard_simulation::{StateStandIn, World, small_machine_type};
use cherryyard_wire::condor::{NO_ID, Phase, SubmissionView};
use cherryyard_wire::record::MACHINE_TYPES_KEY;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

/// Operators' settings of the controller.
const OPERATOR: &str = r#"
condor = true
zone "a" { Department = "posting" }
"#;

/// Starts a controller and its state service, which holds one machine type, in the zone `a`.
async fn start() -> (HttpState, Process, Client) {
    let mut state = StateStandIn::default();
    state.seed(MACHINE_TYPES_KEY, &[small_machine_type(vec!["a".into()])]);
    let program = Path::new(env!("CARGO_BIN_EXE_cherryyard"));
    Process::start_alone(program, state, OPERATOR).await
}

/// Returns the body of a chunk with 40 jobs of one task each.
fn chunk(name: &str, chunk: u32, of: u32, requirements: Value) -> Option<String> {
    let spec = World::spec(NO_ID, "sweep", 1);
    let post = json!({ "name": name, "chunk": chunk, "of": of,
        "t": [{ "spec": spec, "rules": { "requirements": requirements } }], "r": [[0, 1, 40]] });
    Some(post.to_string())
}

/// Returns the state of a submission.
async fn view(client: &Client, name: &str) -> SubmissionView {
    let path = format!("/v2/condor/submissions/{name}");
    let (status, body) = client.call_until_available("GET", &path, None).await;
    assert_eq!(status, 200, "{body}");
    serde_json::from_str(&body).expect("a view")
}

/// Waits until a submission reaches a phase; returns its state then, or its last state after about
/// ten seconds.
async fn wait_for_phase(client: &Client, name: &str, phase: Phase) -> SubmissionView {
    for _ in 0..200 {
        let reported = view(client, name).await;
        if reported.phase == phase {
            return reported;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    view(client, name).await
}

/// Guards against chunks that are lost, taken out of order or queued twice when they are sent
/// again, against a submission of which only some jobs are queued because one of them can never
/// run, and against a removal that leaves jobs open.
#[tokio::test]
async fn a_submission_from_its_first_chunk_to_its_removal() {
    let (service, _controller, client) = start().await;
    let post = async |body| {
        client
            .call_until_available("POST", "/v2/condor", body)
            .await
    };
    let good = || json!("Department == \"POSTING\" && MY.Foo =?= undefined");
    // The leader has to store the machines' attributes before requirements can match them.
    for _ in 0..100 {
        if service.with(|s| s.get("c/attributes").is_some()) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(post(chunk("june", 1, 3, good())).await.0, 409);
    assert_eq!(post(chunk("june", 0, 3, good())).await.0, 202);
    assert_eq!(post(chunk("june", 0, 3, good())).await.0, 202);
    assert_eq!(post(chunk("june", 2, 3, good())).await.0, 409);
    assert_eq!(post(chunk("june", 1, 3, good())).await.0, 202);
    let (status, body) = post(chunk("june", 2, 3, good())).await;
    assert_eq!(status, 201, "{body}");
    let accepted: SubmissionView = serde_json::from_str(&body).expect("a view");
    assert_eq!((accepted.jobs, accepted.chunks), (120, 3));
    for chunk_number in 0..3 {
        let (status, _) = post(chunk("june", chunk_number, 3, good())).await;
        assert_eq!(status, 200);
    }
    // Users can poll and resubmit jobs of a submission like any other job, but cannot choose ids
    // from the range that is reserved for submissions.
    let id = accepted.first.expect("an id");
    let job_of_submission = serde_json::to_string(&World::spec(&id, "sweep", 1)).ok();
    let mut reserved = World::spec(&id, "sweep", 1);
    reserved.id = "j-899999999999999999".into();
    let job_with_reserved_id = serde_json::to_string(&reserved).ok();
    let created = wait_for_phase(&client, "june", Phase::Created).await;
    assert_eq!((created.created, created.queued), (120, 120));
    assert_eq!(
        client
            .call_until_available("POST", "/v2/runs", job_of_submission)
            .await
            .0,
        200
    );
    assert_eq!(
        client
            .call_until_available("POST", "/v2/runs", job_with_reserved_id)
            .await
            .0,
        400
    );

    // A submission with a job that can never run is refused as a whole.
    let bad = || json!("HasGluster && Department == \"posting\"");
    assert_eq!(post(chunk("july", 0, 2, good())).await.0, 202);
    let (status, body) = post(chunk("july", 1, 2, bad())).await;
    assert_eq!(status, 422, "{body}");
    assert!(body.contains("no machine advertises HasGluster"), "{body}");
    let (status, body) = post(chunk("august", 0, 1, json!("1 +"))).await;
    assert_eq!(status, 400, "{body}");
    assert!(body.contains("t[0].rules.requirements: 1:4"), "{body}");

    let path = "/v2/condor/submissions/june/cancel";
    let (status, body) = client
        .call_until_available("POST", path, Some("{}".into()))
        .await;
    assert_eq!(status, 202, "{body}");
    let removed = wait_for_phase(&client, "june", Phase::Cancelled).await;
    assert_eq!((removed.phase, removed.over), (Phase::Cancelled, 120));
    assert_eq!(
        client
            .call_until_available("POST", path, Some("{}".into()))
            .await
            .0,
        200
    );
    let (_, list) = client.call_until_available("GET", "/v2/condor", None).await;
    assert!(
        list.contains("june") && list.contains("chunk_bytes"),
        "{list}"
    );
    // A refused submission is deleted after a while, and its name may be used again.
    for _ in 0..200 {
        let (status, _) = post(chunk("july", 0, 1, good())).await;
        if status == 201 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the name of a refused submission stays taken");
}

/// Guards against errors of the command line with a running controller: a dry run, a match, the
/// same file submitted twice under one name (queued once), the list, the removal, and the place
/// of an error in a submit file.
#[tokio::test]
async fn the_command_line() {
    let (_service, controller, _client) = start().await;
    let dir = std::env::temp_dir().join(format!("cherryyard-sub-{}", process::free_port()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let file = dir.join("june.sub");
    let text = "executable = post\naccounting_group = team\nrequest_memory = 1G\n\
                requirements = Department == \"posting\"\narguments = $(ledger) $(Process)\n\
                queue ledger from ledgers.txt\n";
    std::fs::write(&file, text).expect("a submit file");
    let ledgers: String = (0..300).map(|i| format!("ledger-{i}\n")).collect();
    std::fs::write(dir.join("ledgers.txt"), ledgers).expect("items");
    let addr = controller.addr.clone();
    let run = async |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cherryyard"));
        command.arg("condor").args(args);
        let out = tokio::task::spawn_blocking(move || command.output()).await;
        let out = out.expect("a thread").expect("the program");
        let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
        (out.status.code(), text(&out.stdout) + &text(&out.stderr))
    };
    let path = file.to_str().expect("a path");
    let (code, out) = run(&["submit", path, "--dry-run"]).await;
    assert!(
        code == Some(0) && out.contains("300 proc(s) as 300 job(s)"),
        "{out}"
    );
    let (code, out) = run(&["match", path, "--server", &addr]).await;
    assert!(
        code == Some(0) && out.contains("matches m4 in a (ordinary)"),
        "{out}"
    );
    let descriptions = dir.join("jobs.json");
    let descriptions = descriptions.to_str().expect("a path");
    for _ in 0..2 {
        let args = [
            "submit",
            path,
            "--server",
            &addr,
            "--name",
            "june",
            "--describe",
            descriptions,
        ];
        let (code, out) = run(&args).await;
        assert!(
            code == Some(0) && out.contains("300 job(s) submitted to cluster june"),
            "{out}"
        );
    }
    let lines = std::fs::read_to_string(descriptions).expect("descriptions");
    assert_eq!(lines.lines().count(), 300);
    assert!(
        lines.contains("\"arguments\":\"ledger-7 $(Process)\""),
        "{lines}"
    );
    let (code, out) = run(&["q", "--server", &addr]).await;
    assert!(
        code == Some(0) && out.matches("june").count() == 1 && out.contains("300"),
        "{out}"
    );
    let (code, out) = run(&["rm", "june", "--server", &addr]).await;
    assert!(code == Some(0) && out.contains("june"), "{out}");
    let (code, _) = run(&["q", "none", "--server", &addr]).await;
    assert_eq!(code, Some(1));
    std::fs::write(&file, text.replace("== \"posting\"", "== && 3")).expect("a submit file");
    let (code, out) = run(&["submit", path, "--dry-run"]).await;
    assert_eq!(code, Some(1));
    assert!(out.contains("line 4, column") && out.contains('╰'), "{out}");
    std::fs::remove_dir_all(dir).expect("a folder");
}
