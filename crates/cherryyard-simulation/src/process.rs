//! Runs the real program as a process on the loopback interface, and provides an HTTP client
//! for it.

use crate::StateStandIn;
use crate::http::{Budgets, HttpState};
use cherryyard_clients::http::HttpClient;
use serde_json::{Value, json};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Timeout of a client's connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a client's request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of idle connections that a client keeps open.
const IDLE_CONNECTIONS: usize = 50;
/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 65_536;
/// Maximum number of attempts of [`Client::call_until_available`].
const MAX_ATTEMPTS: usize = 300;
/// Time between two attempts of [`Client::call_until_available`].
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Returns a TCP port of the loopback interface that is free at the moment.
pub fn free_port() -> u16 {
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    socket
        .local_addr()
        .expect("the address of the listener")
        .port()
}

/// Returns the settings of a single controller without peers, whose state service is at the
/// address `state`.
pub fn settings(state: &str) -> Value {
    let free_addr = || format!("127.0.0.1:{}", free_port());
    json!({
        "label": "controller-0", "domain": "a", "public_addr": free_addr(),
        "peer_listen": free_addr(), "known": [],
        "services": { "cloud": free_addr(), "state": state },
        "cluster": {
            "zones": ["a"], "teams": [{ "name": "team" }],
            "workers": { "report_s": 2.0, "lease_s": 10.0, "cancel_s": 40.0 },
            "state": { "rps": 400.0, "write_rps": 100.0, "value_kb": 4.0, "txn_ops": 8 },
            "cloud": { "rps": 4.0, "list_lag_s": 6.0 },
            "limits": { "memory_mb": 64.0, "sockets": 1500 },
        },
    })
}

/// A running controller process. Dropping the value kills the process and deletes its settings.
#[derive(Debug)]
pub struct Process {
    child: Child,
    dir: PathBuf,
    /// Address at which users and workers reach the controller.
    pub addr: String,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: they mean that the process or the folder no longer exists.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Process {
    /// Starts the program with these controller settings and the text of the operators'
    /// settings file.
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

    /// Starts a state service with the contents of `state` and a single controller that uses
    /// it, and waits until the controller is ready.
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

    /// Returns the process's peak resident memory (`VmHWM`) in MB; 0 if it cannot be read.
    pub fn memory_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|l| l.starts_with("VmHWM"));
        let kb = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
        kb.unwrap_or(0.0) / 1024.0
    }

    /// Returns an HTTP client of this controller.
    pub fn client(&self) -> Client {
        Client {
            http: HttpClient::new(CONNECT_TIMEOUT, IDLE_CONNECTIONS),
            addr: self.addr.clone(),
        }
    }
}

/// An HTTP client of a controller.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient,
    addr: String,
}

impl Client {
    /// Sends a request and returns the status and body of its response; the status is 0 if
    /// there is no response.
    pub async fn call(&self, method: &str, path: &str, body: Option<String>) -> (u16, String) {
        let url = format!("http://{}{path}", self.addr);
        let method = method.parse().expect("a method");
        let body = body.map(String::into_bytes);
        let response = self
            .http
            .call(method, &url, body, REQUEST_TIMEOUT, MAX_RESPONSE_BYTES)
            .await;
        let (status, body) = response.unwrap_or_default();
        (status, String::from_utf8_lossy(&body).into_owned())
    }

    /// Sends a request as [`Client::call`] does, and repeats it every 100 ms until there is a
    /// response other than 503. Panics after 300 attempts.
    pub async fn call_until_available(
        &self,
        method: &str,
        path: &str,
        body: Option<String>,
    ) -> (u16, String) {
        for _ in 0..MAX_ATTEMPTS {
            let (status, text) = self.call(method, path, body.clone()).await;
            if status != 503 && status != 0 {
                return (status, text);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        panic!("{method} {path}: no response other than 503");
    }

    /// Waits until the controller reports that it is ready.
    pub async fn ready(&self) {
        self.call_until_available("GET", "/ready", None).await;
    }
}
