//! Reading of request bodies, within a bound for each body and a budget for all of them.

use super::response::ApiResponse;
use crate::app::App;
use bytes::{Bytes, BytesMut};
use cherryyard_wire::MAX_BODY;
use http_body_util::BodyExt;
use salvo::http::StatusCode;
use salvo::prelude::*;
use tokio::sync::OwnedSemaphorePermit;

/// A body, and its share of the byte budget of all bodies.
pub(super) struct RequestBody {
    pub text: Bytes,
    /// Part of the budget that this body holds; released when the body is dropped.
    permit: Option<OwnedSemaphorePermit>,
}

impl RequestBody {
    /// Reserves `bytes` of the budget of all bodies; fails if so many are not free.
    fn reserve(&mut self, app: &App, bytes: usize) -> Result<(), ApiResponse> {
        let budget = app.body_bytes.clone();
        let Ok(permit) = budget.try_acquire_many_owned(bytes as u32) else {
            return Err(ApiResponse::retry_later("too many requests at once"));
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

/// Reads a body of at most [`MAX_BODY`] bytes. A body that is too large is refused, and so is
/// one that arrives while the bodies being read or processed use up the budget: a flood of large
/// or slow bodies must not exhaust the memory of the process.
pub(super) async fn read_body(app: &App, req: &mut Request) -> Result<RequestBody, ApiResponse> {
    let length = req.header::<usize>("content-length");
    if length.unwrap_or(0) > MAX_BODY {
        return Err(too_large());
    }
    let mut read = RequestBody {
        text: Bytes::new(),
        permit: None,
    };
    let mut received = BytesMut::new();
    let mut body = req.take_body();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ApiResponse::bad_request("the body cannot be read"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if received.len() + data.len() > MAX_BODY {
            return Err(too_large());
        }
        read.reserve(app, data.len())?;
        // Most bodies arrive in one frame and are not copied.
        if received.is_empty() && length == Some(data.len()) {
            read.text = data;
            return Ok(read);
        }
        received.extend_from_slice(&data);
    }
    read.text = received.freeze();
    Ok(read)
}
