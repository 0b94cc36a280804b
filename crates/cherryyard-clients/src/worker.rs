//! Client for the workers' HTTP interface.

use crate::http::{HttpClient, RequestError};
use cherryyard_wire::parse_object;
use cherryyard_wire::worker::{CommandBatch, WorkerHeartbeat};
use hyper::Method;
use std::time::Duration;

/// Timeout of a status query and of a command batch.
const TIMEOUT: Duration = Duration::from_millis(2500);
/// Largest heartbeat in a response that is read, in bytes.
const MAX_HEARTBEAT: usize = 1024 * 1024;

/// Queries a worker for a heartbeat with the status of its tasks.
pub async fn query(http: &HttpClient, addr: &str) -> Result<WorkerHeartbeat, RequestError> {
    let url = format!("http://{addr}/status");
    let (status, body) = http
        .call(Method::GET, &url, None, TIMEOUT, MAX_HEARTBEAT)
        .await?;
    match status {
        200 => parse_object(&body).map_err(|e| {
            tracing::warn!(addr, "invalid response from a worker: {e}");
            RequestError::NoAnswer
        }),
        _ => {
            tracing::warn!(addr, status, "status query refused by a worker");
            Err(RequestError::NoAnswer)
        }
    }
}

/// Sends commands to a worker directly, instead of in the response to its heartbeat. A response
/// with 200 or 409 contains the worker's heartbeat.
pub async fn send(
    http: &HttpClient,
    addr: &str,
    request: &CommandBatch,
) -> Result<WorkerHeartbeat, RequestError> {
    let body = serde_json::to_vec(request).map_err(|_| RequestError::NotSent)?;
    let url = format!("http://{addr}/do");
    let (status, body) = http
        .call(Method::POST, &url, Some(body), TIMEOUT, MAX_HEARTBEAT)
        .await?;
    match status {
        200 | 409 => parse_object(&body).map_err(|e| {
            tracing::warn!(addr, "invalid response from a worker: {e}");
            RequestError::NoAnswer
        }),
        _ => {
            tracing::warn!(addr, status, "commands refused by a worker");
            Err(RequestError::NoAnswer)
        }
    }
}
