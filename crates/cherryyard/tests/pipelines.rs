//! Jobs that wait for other jobs, with the real program over loopback and its command line.

use cherryyard_simulation::http::HttpState;
use cherryyard_simulation::process::{self, Client, Process};
use cherryyard_simulation::{StateStandIn, World, small_machine_type};
use cherryyard_wire::record::MACHINE_TYPES_KEY;
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

/// Largest number of attempts of a command.
const MAX_COMMAND_ATTEMPTS: usize = 30;
/// Time between two attempts of a command.
const COMMAND_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Starts a controller and its state service, which holds one machine type.
async fn start() -> (HttpState, Process, Client) {
    let mut state = StateStandIn::default();
    state.seed(MACHINE_TYPES_KEY, &[small_machine_type(vec!["a".into()])]);
    let program = Path::new(env!("CARGO_BIN_EXE_cherryyard"));
    Process::start_alone(program, state, "").await
}

/// Returns the body of a submission with this value of `waits_on`.
fn body(id: &str, waits_on: &Value) -> String {
    let mut value = serde_json::to_value(World::spec(id, "sweep", 2)).expect("a job");
    value["waits_on"] = waits_on.clone();
    value.to_string()
}

/// Guards against wrong statuses of submissions by their `waits_on`: an invalid value or an unknown
/// job must be refused with a reason that names it, and a valid list is stored sorted and without
/// duplicates.
#[tokio::test(flavor = "current_thread")]
async fn submissions_are_accepted_or_refused_by_waits_on() {
    let (_service, _controller, client) = start().await;
    let none = [Value::Null, json!([])];
    for (n, no_dependencies) in none.iter().enumerate() {
        let text = body(&format!("j-00000{n}"), no_dependencies);
        let (status, text) = client
            .call_until_available("POST", "/v2/runs", Some(text))
            .await;
        assert_eq!(status, 201, "{text}");
    }
    let too_many: Vec<String> = (0..65).map(|n| format!("j-{n:06}")).collect();
    let refused = [
        (json!("j-000001"), 400, "waits_on"),
        (json!([7]), 400, "waits_on[0]"),
        (json!(["j-000001", "job-2"]), 400, "waits_on[1]"),
        (json!(too_many), 400, "65 jobs"),
        (json!(["j-000001", "j-000077"]), 422, "j-000077"),
        (json!(["j-000009"]), 422, "j-000009"),
    ];
    for (waits_on, expected, reason) in refused {
        let text = body("j-000009", &waits_on);
        let (status, text) = client
            .call_until_available("POST", "/v2/runs", Some(text))
            .await;
        assert_eq!(status, expected, "{waits_on}: {text}");
        assert!(text.contains(reason), "{waits_on}: {text}");
    }
    let text = body("j-000009", &json!(["j-000001", "j-000000", "j-000001"]));
    let (status, text) = client
        .call_until_available("POST", "/v2/runs", Some(text))
        .await;
    assert_eq!(status, 201, "{text}");
    let (_, text) = client
        .call_until_available("GET", "/v2/runs/j-000009", None)
        .await;
    let view: Value = serde_json::from_str(&text).expect("a view");
    assert_eq!(view["status"], "queued");
    assert_eq!(view["waits_on"], json!(["j-000000", "j-000001"]));
}

/// Guards against a command line that loses `--waits-on` or does not show for which jobs a job waits
/// and with which job it was cancelled.
#[tokio::test(flavor = "current_thread")]
async fn the_command_line() {
    let (_service, controller, client) = start().await;
    let dir = std::env::temp_dir().join(format!("cherryyard-pipe-{}", process::free_port()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let addr = controller.addr.clone();
    let unavailable = format!("{addr}: 503 ");
    let run_once = async |args: &[&str]| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_cherryyard"));
        command
            .arg(args[0])
            .args(["--server", &addr])
            .args(&args[1..]);
        let out = tokio::task::spawn_blocking(move || command.output()).await;
        let out = out.expect("a thread").expect("the program");
        let text = |b: &[u8]| String::from_utf8_lossy(b).into_owned();
        (out.status.code(), text(&out.stdout) + &text(&out.stderr))
    };
    // Repeats a command after the status 503, as users do.
    let run = async |args: &[&str]| {
        for _ in 0..MAX_COMMAND_ATTEMPTS {
            let (code, out) = run_once(args).await;
            if !out.contains(&unavailable) {
                return (code, out);
            }
            tokio::time::sleep(COMMAND_RETRY_INTERVAL).await;
        }
        panic!("{args:?}: no response other than 503");
    };
    let mut files = Vec::new();
    for n in 1..=2 {
        let file = dir.join(format!("{n}.json"));
        let text = body(&format!("j-00000{n}"), &Value::Null);
        std::fs::write(&file, text).expect("a job");
        files.push(file.to_str().expect("a path").to_string());
    }
    // Dependencies are accepted a few seconds after the start.
    let first = body("j-000001", &Value::Null);
    client
        .call_until_available("POST", "/v2/runs", Some(first))
        .await;
    let dependent = body("j-000008", &json!(["j-000001"]));
    client
        .call_until_available("POST", "/v2/runs", Some(dependent))
        .await;
    let (code, out) = run(&["submit", &files[1], "--waits-on", "j-1"]).await;
    assert!(
        code == Some(1) && out.contains("--waits-on: waits_on[0]"),
        "{out}"
    );
    let (code, out) = run(&["submit", &files[1], "--waits-on", "j-000001"]).await;
    assert!(code == Some(0) && out.contains("queued"), "{out}");
    let (_, out) = run(&["status", "j-000002"]).await;
    assert!(out.contains(r#""waits_on":["j-000001"]"#), "{out}");
    let (code, out) = run(&["cancel", "j-000001"]).await;
    assert!(code == Some(0) && out.contains("cancelled"), "{out}");
    let (_, out) = run(&["status", "j-000002"]).await;
    assert!(
        out.contains(r#""status":"cancelled""#) && out.contains(r#""cancelled_by":"j-000001""#),
        "{out}"
    );
    let _ = std::fs::remove_dir_all(&dir);
}
