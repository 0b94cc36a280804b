//! Bodies of requests, within their bounds.

use super::response::ApiResponse;
use crate::app::App;
use bytes::{Bytes, BytesMut};
use cherryyard_wire::MAX_BODY;
use http_body_util::BodyExt;
use salvo::http::StatusCode;
use salvo::prelude::*;
use tokio::sync::OwnedSemaphorePermit;

/// A body, and its share of the bytes that all bodies may take at once.
pub(super) struct RequestBody {
    pub text: Bytes,
    permit: Option<OwnedSemaphorePermit>,
}

impl RequestBody {
    /// Takes `bytes` of what all bodies may take at once.
    fn reserve(&mut self, app: &App, bytes: usize) -> Result<(), ApiResponse> {
        let budget = app.body_bytes.clone();
        let Ok(permit) = budget.try_acquire_many_owned(bytes as u32) else {
            return Err(ApiResponse::later("too many requests at once"));
        };
        match &mut self.permit {
            Some(held) => held.merge(permit),
            none => *none = Some(permit),
        }
        Ok(())
    }
}

fn too_large() -> ApiResponse {
    let text = "the body is larger than 64 KiB";
    ApiResponse::error(StatusCode::PAYLOAD_TOO_LARGE, text)
}

/// Reads a body of at most [`MAX_BODY`] bytes. What is too large, or comes when
/// all bodies that are being read or worked on take the bytes that there are, is
/// refused before it is read: a flood of large or slow bodies must not end the
/// process for memory.
pub(super) async fn read_body(app: &App, req: &mut Request) -> Result<RequestBody, ApiResponse> {
    let length = req.header::<usize>("content-length");
    if length.unwrap_or(0) > MAX_BODY {
        return Err(too_large());
    }
    let mut read = RequestBody {
        text: Bytes::new(),
        permit: None,
    };
    let mut rest = BytesMut::new();
    let mut body = req.take_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ApiResponse::bad_request("the body cannot be read"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if rest.len() + data.len() > MAX_BODY {
            return Err(too_large());
        }
        read.reserve(app, data.len())?;
        // Most bodies come whole, and are not copied.
        if rest.is_empty() && length == Some(data.len()) {
            read.text = data;
            return Ok(read);
        }
        rest.extend_from_slice(&data);
    }
    read.text = rest.freeze();
    Ok(read)
}
