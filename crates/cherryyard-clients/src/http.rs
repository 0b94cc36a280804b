//! One HTTP/1.1 client for all outside services.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use std::time::Duration;

/// How a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// No connection was made, so it has no effect.
    #[error("not sent")]
    Unsent,
    /// No whole answer: it may have taken effect, or may yet.
    #[error("no answer")]
    Unknown,
    /// The answer is larger than what is read; the request has taken effect.
    #[error("too large an answer")]
    TooLarge,
}

/// A client with kept connections.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Http {
    /// A client that gives a connection attempt `connect` time.
    pub fn new(connect: Duration, idle_per_host: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(idle_per_host)
            .build(connector);
        Self { client }
    }

    /// Sends a request and reads its whole answer of at most `max` bytes.
    pub async fn call(
        &self,
        method: hyper::Method,
        url: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
        max: usize,
    ) -> Result<(u16, Bytes), Failure> {
        let mut request = hyper::Request::builder().method(method).uri(url);
        if body.is_some() {
            request = request.header(hyper::header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .map_err(|_| Failure::Unsent)?;
        let whole = async {
            let answer = self.client.request(request).await.map_err(|e| {
                if e.is_connect() {
                    Failure::Unsent
                } else {
                    Failure::Unknown
                }
            })?;
            let status = answer.status().as_u16();
            let body = Limited::new(answer.into_body(), max)
                .collect()
                .await
                .map_err(|e| {
                    if e.is::<LengthLimitError>() {
                        Failure::TooLarge
                    } else {
                        Failure::Unknown
                    }
                })?
                .to_bytes();
            Ok((status, body))
        };
        tokio::time::timeout(timeout, whole)
            .await
            .unwrap_or(Err(Failure::Unknown))
    }
}
