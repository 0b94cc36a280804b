//! Answers, and bodies of requests within their bounds.

use crate::app::App;
use bytes::{Bytes, BytesMut};
use cherryyard_wire::MAX_BODY;
use cherryyard_wire::job::JobView;
use http_body_util::BodyExt;
use salvo::http::{HeaderValue, ResBody, StatusCode};
use salvo::prelude::*;
use tokio::sync::OwnedSemaphorePermit;

/// An answer: a status, a JSON body, and in how many seconds to come back.
pub(super) struct Answer(pub StatusCode, pub Bytes, pub u32);

impl Answer {
    /// An answer with the JSON of `body`, written once and handed on as it is.
    pub(super) fn of(status: StatusCode, body: &impl serde::Serialize) -> Self {
        // None of our own types fails to have a JSON form.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self(status, body.into(), 0)
    }

    pub(super) fn view(status: StatusCode, view: &JobView) -> Self {
        Self::of(status, view)
    }

    pub(super) fn error(status: StatusCode, reason: impl Into<String>) -> Self {
        Self::of(status, &serde_json::json!({ "error": reason.into() }))
    }

    pub(super) fn later(reason: &str) -> Self {
        Self::later_in(reason, 1)
    }

    pub(super) fn later_in(reason: &str, seconds: u32) -> Self {
        let mut answer = Self::error(StatusCode::SERVICE_UNAVAILABLE, reason);
        answer.2 = seconds;
        answer
    }

    pub(super) fn write(self, res: &mut Response) {
        res.status_code(self.0);
        if self.2 > 0 {
            res.headers_mut().insert("retry-after", self.2.into());
        }
        let json = HeaderValue::from_static("application/json; charset=utf-8");
        res.headers_mut().insert("content-type", json);
        res.body(ResBody::Once(self.1));
    }
}

/// A body, and the room it takes of what all bodies may take at once.
pub(super) struct Held {
    pub text: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Reads a body of at most [`MAX_BODY`] bytes. What is too large, or comes when
/// all bodies that are being read or worked on take the room that there is, is
/// refused before it is read: a flood of large or slow bodies must not end the
/// process for memory.
pub(super) async fn body(app: &App, req: &mut Request) -> Result<Held, Answer> {
    let too_large = || {
        let text = "the body is larger than 64 KiB";
        Answer::error(StatusCode::PAYLOAD_TOO_LARGE, text)
    };
    let length = req.header::<usize>("content-length");
    if length.unwrap_or(0) > MAX_BODY {
        return Err(too_large());
    }
    let mut held = Held {
        text: Bytes::new(),
        _permit: None,
    };
    let mut rest = BytesMut::new();
    let mut body = req.take_body();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|_| Answer::error(StatusCode::BAD_REQUEST, "the body cannot be read"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if rest.len() + data.len() > MAX_BODY {
            return Err(too_large());
        }
        let capacity = app.body_bytes.clone();
        let Ok(capacity) = capacity.try_acquire_many_owned(data.len() as u32) else {
            return Err(Answer::later("too many requests at once"));
        };
        match &mut held._permit {
            Some(held) => held.merge(capacity),
            none => *none = Some(capacity),
        }
        // Most bodies come whole, and are not copied.
        if rest.is_empty() && length == Some(data.len()) {
            held.text = data;
            return Ok(held);
        }
        rest.extend_from_slice(&data);
    }
    held.text = rest.freeze();
    Ok(held)
}
