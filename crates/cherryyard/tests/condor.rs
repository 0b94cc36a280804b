//! The real program with submissions of many jobs turned on, over loopback.

use cherryyard_simulation::http::HttpState;
use cherryyard_simulation::process::{self, Client, Process};
use cherryyard_simulation::{StateStandIn, World, small_machine_type};
use cherryyard_wire::condor::{NO_ID, Phase, SubmissionView};
use cherryyard_wire::record::MACHINE_TYPES_KEY;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

const OPERATOR: &str = r#"
condor = true
zone "a" { Department = "posting" }
"#;

async fn start() -> (HttpState, Process, Client) {
    let mut state = StateStandIn::default();
    state.seed(MACHINE_TYPES_KEY, &[small_machine_type(vec!["a".into()])]);
    let program = Path::new(env!("CARGO_BIN_EXE_cherryyard"));
    Process::start_alone(program, state, OPERATOR).await
}

fn chunk(name: &str, chunk: u32, of: u32, requirements: Value) -> Option<String> {
    let spec = World::spec(NO_ID, "sweep", 1);
    let post = json!({ "name": name, "chunk": chunk, "of": of,
        "t": [{ "spec": spec, "rules": { "requirements": requirements } }], "r": [[0, 1, 40]] });
    Some(post.to_string())
}

async fn view(client: &Client, name: &str) -> SubmissionView {
    let path = format!("/v2/condor/submissions/{name}");
    let (status, body) = client.insist("GET", &path, None).await;
    assert_eq!(status, 200, "{body}");
    serde_json::from_str(&body).expect("a view")
}

/// The submission once it has come to this phase, or as it is after some time.
async fn reaches(client: &Client, name: &str, phase: Phase) -> SubmissionView {
    for _ in 0..200 {
        let reported = view(client, name).await;
        if reported.phase == phase {
            return reported;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    view(client, name).await
}

/// A submission comes in chunks and is accepted with the last; what comes again is
/// known; one with a job that can never run is refused as one; a removal ends it.
#[tokio::test]
async fn a_submission_from_chunk_to_removal() {
    let (service, _controller, client) = start().await;
    let post = async |body| client.insist("POST", "/v2/condor", body).await;
    let good = || json!("Department == \"POSTING\" && MY.Foo =?= undefined");
    // Attributes are stored by the leader first.
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
    let first: SubmissionView = serde_json::from_str(&body).expect("a view");
    assert_eq!((first.jobs, first.chunks), (120, 3));
    for again in 0..3 {
        let (status, _) = post(chunk("june", again, 3, good())).await;
        assert_eq!(status, 200);
    }
    // Users cannot choose its ids, and see its jobs as any others.
    let id = first.first.expect("an id");
    let known = serde_json::to_string(&World::spec(&id, "sweep", 1)).ok();
    let mut last = World::spec(&id, "sweep", 1);
    last.id = "j-899999999999999999".into();
    let unknown = serde_json::to_string(&last).ok();
    let created = reaches(&client, "june", Phase::Created).await;
    assert_eq!((created.created, created.queued), (120, 120));
    assert_eq!(client.insist("POST", "/v2/runs", known).await.0, 200);
    assert_eq!(client.insist("POST", "/v2/runs", unknown).await.0, 400);

    // One of whose jobs can never run.
    let bad = || json!("HasGluster && Department == \"posting\"");
    assert_eq!(post(chunk("july", 0, 2, good())).await.0, 202);
    let (status, body) = post(chunk("july", 1, 2, bad())).await;
    assert_eq!(status, 422, "{body}");
    assert!(body.contains("no machine advertises HasGluster"), "{body}");
    let (status, body) = post(chunk("august", 0, 1, json!("1 +"))).await;
    assert_eq!(status, 400, "{body}");
    assert!(body.contains("t[0].rules.requirements: 1:4"), "{body}");

    let path = "/v2/condor/submissions/june/cancel";
    let (status, body) = client.insist("POST", path, Some("{}".into())).await;
    assert_eq!(status, 202, "{body}");
    let gone = reaches(&client, "june", Phase::Cancelled).await;
    assert_eq!((gone.phase, gone.over), (Phase::Cancelled, 120));
    assert_eq!(client.insist("POST", path, Some("{}".into())).await.0, 200);
    let (_, list) = client.insist("GET", "/v2/condor", None).await;
    assert!(
        list.contains("june") && list.contains("chunk_bytes"),
        "{list}"
    );
    // What was refused is swept, and its name may be used anew.
    for _ in 0..200 {
        let (status, _) = post(chunk("july", 0, 1, good())).await;
        if status == 201 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the name of a refused submission stays taken");
}

/// The command line against a running controller: what would be queued, what is, which
/// machines match, the same file twice under one name, removal, and an error's place.
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
    let described = dir.join("jobs.json");
    let described = described.to_str().expect("a path");
    for _ in 0..2 {
        let args = [
            "submit",
            path,
            "--server",
            &addr,
            "--name",
            "june",
            "--describe",
            described,
        ];
        let (code, out) = run(&args).await;
        assert!(
            code == Some(0) && out.contains("300 job(s) submitted to cluster june"),
            "{out}"
        );
    }
    let lines = std::fs::read_to_string(described).expect("descriptions");
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
