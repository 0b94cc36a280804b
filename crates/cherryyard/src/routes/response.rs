//! Responses to users and workers.

use bytes::Bytes;
use cherryyard_wire::job::JobView;
use salvo::http::{HeaderValue, ResBody, StatusCode};
use salvo::prelude::*;

/// A response with a JSON body.
pub(super) struct ApiResponse {
    pub status: StatusCode,
    /// The body, in JSON.
    pub body: Bytes,
    /// `Retry-After` in seconds; 0: none.
    pub retry_after_s: u32,
}

impl ApiResponse {
    /// A response with the JSON of `body`, serialized once and sent as it is.
    pub(super) fn of(status: StatusCode, body: &impl serde::Serialize) -> Self {
        // None of our own types fails to have a JSON form.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self {
            status,
            body: body.into(),
            retry_after_s: 0,
        }
    }

    /// A job's state.
    pub(super) fn view(status: StatusCode, view: &JobView) -> Self {
        Self::of(status, view)
    }

    /// A refusal with its reason.
    pub(super) fn error(status: StatusCode, reason: impl Into<String>) -> Self {
        Self::of(status, &serde_json::json!({ "error": reason.into() }))
    }

    /// A refusal of the request as malformed.
    pub(super) fn bad_request(reason: impl ToString) -> Self {
        Self::error(StatusCode::BAD_REQUEST, reason.to_string())
    }

    /// A refusal for now: to be tried again in a second.
    pub(super) fn later(reason: &str) -> Self {
        Self::later_in(reason, 1)
    }

    /// A refusal for now: to be tried again in so many seconds.
    pub(super) fn later_in(reason: &str, seconds: u32) -> Self {
        Self {
            retry_after_s: seconds,
            ..Self::error(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    pub(super) fn write(self, res: &mut Response) {
        res.status_code(self.status);
        if self.retry_after_s > 0 {
            res.headers_mut()
                .insert("retry-after", self.retry_after_s.into());
        }
        let json = HeaderValue::from_static("application/json; charset=utf-8");
        res.headers_mut().insert("content-type", json);
        res.body(ResBody::Once(self.body));
    }
}
