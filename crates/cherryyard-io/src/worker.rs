//! Client of the workers' direct interface.

use crate::http::{Failure, Http};
use cherryyard_wire::parse_object;
use cherryyard_wire::worker::{DoRequest, Report};
use hyper::Method;
use std::time::Duration;

/// Sends direct commands; 200 and 409 both carry the worker's report.
pub async fn send(http: &Http, addr: &str, request: &DoRequest) -> Result<Report, Failure> {
    let body = serde_json::to_vec(request).map_err(|_| Failure::Unsent)?;
    let url = format!("http://{addr}/do");
    let (status, body) = http
        .call(
            Method::POST,
            &url,
            Some(body),
            Duration::from_millis(2500),
            1024 * 1024,
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
