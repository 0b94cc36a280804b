//! Client of the workers' direct interface.

use crate::http::{Failure, Http};
use cherryyard_wire::parse_object;
use cherryyard_wire::worker::{CommandBatch, WorkerHeartbeat};
use hyper::Method;
use std::time::Duration;

/// Largest report that is read.
const MAX_HEARTBEAT: usize = 1024 * 1024;

/// Asks a worker for its report.
pub async fn query(http: &Http, addr: &str) -> Result<WorkerHeartbeat, Failure> {
    let url = format!("http://{addr}/status");
    let patience = Duration::from_millis(2500);
    let (status, body) = http
        .call(Method::GET, &url, None, patience, MAX_HEARTBEAT)
        .await?;
    match status {
        200 => parse_object(&body).map_err(|e| {
            tracing::warn!(addr, "bad answer of a worker: {e}");
            Failure::Unknown
        }),
        _ => {
            tracing::warn!(addr, status, "a worker refuses a question");
            Err(Failure::Unknown)
        }
    }
}

/// Sends direct commands; 200 and 409 both carry the worker's report.
pub async fn send(
    http: &Http,
    addr: &str,
    request: &CommandBatch,
) -> Result<WorkerHeartbeat, Failure> {
    let body = serde_json::to_vec(request).map_err(|_| Failure::Unsent)?;
    let url = format!("http://{addr}/do");
    let (status, body) = http
        .call(
            Method::POST,
            &url,
            Some(body),
            Duration::from_millis(2500),
            MAX_HEARTBEAT,
        )
        .await?;
    match status {
        200 | 409 => parse_object(&body).map_err(|e| {
            tracing::warn!(addr, "bad answer of a worker: {e}");
            Failure::Unknown
        }),
        _ => {
            tracing::warn!(addr, status, "a worker refuses a direct command");
            Err(Failure::Unknown)
        }
    }
}
