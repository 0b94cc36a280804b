//! HTTP responses to users and workers.

use bytes::Bytes;
use cherryyard_wire::job::JobView;
use salvo::http::{HeaderValue, ResBody, StatusCode};
use salvo::prelude::*;

/// A response with a JSON body.
pub(super) struct ApiResponse {
    pub status: StatusCode,
    /// The body, in JSON.
    pub body: Bytes,
    /// Value of the `Retry-After` header in seconds; 0 if the response has none.
    pub retry_after_s: u32,
}

impl ApiResponse {
    /// Returns a response whose body is the JSON of `body`.
    pub(super) fn json(status: StatusCode, body: &impl serde::Serialize) -> Self {
        // Serialization of this project's own types does not fail.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self {
            status,
            body: body.into(),
            retry_after_s: 0,
        }
    }

    /// Returns a response with a job's state.
    pub(super) fn job_view(status: StatusCode, view: &JobView) -> Self {
        Self::json(status, view)
    }

    /// Returns a refusal with its reason.
    pub(super) fn error(status: StatusCode, reason: impl Into<String>) -> Self {
        Self::json(status, &serde_json::json!({ "error": reason.into() }))
    }

    /// Returns a refusal of a malformed request.
    pub(super) fn bad_request(reason: impl ToString) -> Self {
        Self::error(StatusCode::BAD_REQUEST, reason.to_string())
    }

    /// Returns a temporary refusal (503) that asks the client to retry after a second.
    pub(super) fn retry_later(reason: &str) -> Self {
        Self::retry_after(reason, 1)
    }

    /// Returns a temporary refusal (503) that asks the client to retry after `seconds`.
    pub(super) fn retry_after(reason: &str, seconds: u32) -> Self {
        Self {
            retry_after_s: seconds,
            ..Self::error(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// Writes this response's status, headers and body to `res`.
    pub(super) fn write(self, res: &mut Response) {
        res.status_code(self.status);
        if self.retry_after_s > 0 {
            res.headers_mut()
                .insert("retry-after", self.retry_after_s.into());
        }
        let content_type = HeaderValue::from_static("application/json; charset=utf-8");
        res.headers_mut().insert("content-type", content_type);
        res.body(ResBody::Once(self.body));
    }
}
