//! The real program as a process on loopback, and a client of it.

use crate::StateStandIn;
use crate::http::{Budgets, HttpState};
use cherryyard_clients::http::HttpClient;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// How long a client waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client waits for a response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle connections that a client keeps.
const IDLE_CONNECTIONS: usize = 50;
/// Most bytes of a response.
const MOST_RESPONSE_BYTES: usize = 65_536;
/// Tries of a client that insists, and the time between two.
const MOST_TRIES: usize = 300;
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A port that nobody listens on.
pub fn free_port() -> u16 {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("its address").port()
}

/// Settings of a controller alone, with its state service at `state`.
pub fn settings(state: &str) -> Value {
    let here = || format!("127.0.0.1:{}", free_port());
    json!({
        "label": "controller-0", "domain": "a", "public_addr": here(),
        "peer_listen": here(), "known": [],
        "services": { "cloud": here(), "state": state },
        "cluster": {
            "zones": ["a"], "teams": [{ "name": "team" }],
            "workers": { "report_s": 2.0, "lease_s": 10.0, "cancel_s": 40.0 },
            "state": { "rps": 400.0, "write_rps": 100.0, "value_kb": 4.0, "txn_ops": 8 },
            "cloud": { "rps": 4.0, "list_lag_s": 6.0 },
            "limits": { "memory_mb": 64.0, "sockets": 1500 },
        },
    })
}

/// A running controller, ended when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    dir: PathBuf,
    /// Where users and workers reach it.
    pub addr: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        // If one of these fails, it is gone already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Process {
    /// Starts the program with these settings and operators' settings.
    pub fn start(program: &Path, settings: &Value, operator: &str) -> Self {
        let addr = settings["public_addr"].as_str().expect("an address");
        let suffix = addr.replace([':', '.'], "-");
        let dir = std::env::temp_dir().join(format!("cherryyard-{suffix}"));
        std::fs::create_dir_all(&dir).expect("a folder for settings");
        let (config, operators) = (dir.join("controller.json"), dir.join("operator.hcl"));
        std::fs::write(&config, settings.to_string()).expect("a settings file");
        std::fs::write(&operators, operator).expect("an operators' file");
        let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "error".into());
        let child = Command::new(program)
            .arg("--config")
            .arg(&config)
            .arg("--operator")
            .arg(&operators)
            .env("LOG_LEVEL", level)
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap_or_else(|e| panic!("{}: {e}", program.display()));
        Self {
            child,
            dir,
            addr: addr.into(),
        }
    }

    /// Starts a controller alone on a state service whose store has these contents, and
    /// waits until it is ready.
    pub async fn start_alone(
        program: &Path,
        state: StateStandIn,
        operator: &str,
    ) -> (HttpState, Self, Client) {
        let budgets = Budgets {
            rps: 400.0,
            write_rps: 100.0,
        };
        let service = HttpState::new(state, budgets);
        let addr = service.serve().await;
        let controller = Self::start(program, &settings(&addr.to_string()), operator);
        let client = controller.client();
        client.ready().await;
        (service, controller, client)
    }

    /// Most memory that it has taken, in MB.
    pub fn memory_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmHWM"));
        let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }

    /// A client of it.
    pub fn client(&self) -> Client {
        Client {
            http: HttpClient::new(CONNECT_TIMEOUT, IDLE_CONNECTIONS),
            addr: self.addr.clone(),
        }
    }
}

/// A client of a controller.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    addr: String,
}

impl Client {
    /// A request's status and response; 0 if there is none.
    pub async fn call(&self, method: &str, path: &str, body: Option<String>) -> (u16, String) {
        let url = format!("http://{}{path}", self.addr);
        let method = method.parse().expect("a method");
        let body = body.map(String::into_bytes);
        let response = self
            .http
            .call(method, &url, body, REQUEST_TIMEOUT, MOST_RESPONSE_BYTES)
            .await;
        let (status, body) = response.unwrap_or_default();
        (status, String::from_utf8_lossy(&body).into_owned())
    }

    /// The same, again and again until there is a response other than 503.
    pub async fn insist(&self, method: &str, path: &str, body: Option<String>) -> (u16, String) {
        for _ in 0..MOST_TRIES {
            let (status, text) = self.call(method, path, body.clone()).await;
            if status != 503 && status != 0 {
                return (status, text);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        panic!("{method} {path}: never taken");
    }

    /// Waits until the controller is ready.
    pub async fn ready(&self) {
        self.insist("GET", "/ready", None).await;
    }
}
