//! Wire formats of cherryyard.
//!
//! This crate alone defines all data that crosses a process boundary: the settings file, users'
//! jobs, workers' heartbeats and commands, the messages of the cloud and of the state service,
//! the records in the state service, and the frames that controllers exchange. The crate does
//! no I/O, so clients can use it too.

pub mod admission_log;
pub mod cloud;
pub mod condor;
pub mod dependencies;
pub mod error;
pub mod history;
pub mod job;
pub mod job_id;
pub mod limits;
pub mod page;
pub mod peer;
pub mod ranges;
pub mod record;
pub mod rules;
pub mod settings;
pub mod state;
pub mod worker;

pub use error::{FieldProblem, InvalidField, ParseError, ReadError};
pub use ranges::RangeSet;

/// Maximum size of a request body, and of a line of a response, in bytes.
pub const MAX_BODY: usize = 64 * 1024;

/// Parses `text` as a JSON object of type `T`; the error names the field.
///
/// Refuses arrays, although serde would accept them for a struct.
pub fn parse_object<T: serde::de::DeserializeOwned>(text: &[u8]) -> Result<T, ParseError> {
    let first = text.iter().find(|b| !b.is_ascii_whitespace());
    if first == Some(&b'{')
        && let Ok(object) = serde_json::from_slice(text)
    {
        return Ok(object);
    }
    explain_parse_failure(text)
}

/// Parses `text` a second time, with a slower parser that records the path, so that the error
/// names the field.
fn explain_parse_failure<T: serde::de::DeserializeOwned>(text: &[u8]) -> Result<T, ParseError> {
    let value: serde_json::Value =
        serde_json::from_slice(text).map_err(|e| ParseError::NotJson {
            reason: e.to_string(),
        })?;
    if !value.is_object() {
        return Err(ParseError::NotAnObject);
    }
    serde_path_to_error::deserialize(value).map_err(|e| {
        let path = e.path().to_string();
        let reason = e.into_inner().to_string();
        if path == "." {
            ParseError::Object { reason }
        } else {
            ParseError::Field { path, reason }
        }
    })
}
