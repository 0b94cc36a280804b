//! HTTP/1.1 client that the clients of the external services and of the workers share.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// Error of a request without a usable response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// No connection was established, so the request has no effect.
    #[error("not sent")]
    NotSent,
    /// No complete response was received: the request may have taken effect, or may still do so.
    #[error("no answer")]
    NoAnswer,
    /// The response is larger than the caller's bound; the server has handled the request.
    #[error("too large an answer")]
    ResponseTooLarge,
}

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP/1.1 client that keeps connections open between requests.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Returns a client whose connection attempts time out after `connect_timeout`, and which keeps
    /// at most `idle_per_host` idle connections to each host.
    pub fn new(connect_timeout: Duration, idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(idle_per_host)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads the whole response, whose body may have at most `max_bytes`, both
    /// within `timeout`. Returns the status and the body.
    pub async fn call(
        &self,
        method: hyper::Method,
        url: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<(u16, Bytes), RequestError> {
        let mut request = hyper::Request::builder().method(method).uri(url);
        if body.is_some() {
            request = request.header(hyper::header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|_| RequestError::NotSent)?;
        let response = tokio::time::timeout(timeout, self.exchange(request, max_bytes)).await;
        response.unwrap_or(Err(RequestError::NoAnswer))
    }

    /// Sends a request and reads the response, without a timeout.
    async fn exchange(
        &self,
        request: hyper::Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<(u16, Bytes), RequestError> {
        let response = self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                RequestError::NotSent
            } else {
                RequestError::NoAnswer
            }
        })?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), max_bytes);
        let body = body.collect().await.map_err(|e| {
            if e.is::<LengthLimitError>() {
                RequestError::ResponseTooLarge
            } else {
                RequestError::NoAnswer
            }
        })?;
        Ok((status, body.to_bytes()))
    }
}
