//! HTTP requests from the command line to a controller.

use cherryyard_clients::http::{HttpClient, RequestError};
use cherryyard_wire::MAX_BODY;
use salvo::http::Method;
use std::time::Duration;
use thiserror::Error;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Error of a request to a controller.
#[derive(Debug, Error)]
pub enum ServerError {
    /// No response was received.
    #[error("{server}: {source}")]
    NoResponse {
        /// The controller's address.
        server: String,
        /// Cause, which says whether the request may have taken effect.
        source: RequestError,
    },
    /// The controller refused the request.
    #[error("{server}: {status} {text}")]
    Refused {
        /// The controller's address.
        server: String,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        text: String,
    },
}

/// A response of any status.
pub struct ServerResponse {
    /// HTTP status.
    pub status: u16,
    /// Body without leading and trailing whitespace.
    pub text: String,
}

/// Sends a request and returns the response, whatever its status.
pub async fn request(
    method: Method,
    server: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<ServerResponse, ServerError> {
    let http = HttpClient::new(CONNECT_TIMEOUT, 1);
    let url = format!("http://{server}{path}");
    let response = http
        .call(method, &url, body, REQUEST_TIMEOUT, MAX_BODY)
        .await;
    let (status, body) = response.map_err(|source| ServerError::NoResponse {
        server: server.into(),
        source,
    })?;
    Ok(ServerResponse {
        status,
        text: String::from_utf8_lossy(&body).trim().to_string(),
    })
}

/// Sends a request and returns the body of its response; a status of 300 or above is an error.
pub async fn query(
    method: Method,
    server: &str,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<String, ServerError> {
    let response = request(method, server, path, body).await?;
    if response.status < 300 {
        return Ok(response.text);
    }
    Err(ServerError::Refused {
        server: server.into(),
        status: response.status,
        text: response.text,
    })
}
