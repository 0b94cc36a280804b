//! Client of the state service.

use crate::http::{Failure, Http};
use cherryyard_wire::condor::{Chunk, chunk_key};
use cherryyard_wire::history::{LeafRecord, Level, leaf_of_key, since_key};
use cherryyard_wire::parse_object;
use cherryyard_wire::record::PREFIX;
use cherryyard_wire::state::{Commit, LeaseGrant, Page, Pair, StoreRevision, WatchResponse};
use hyper::Method;
use std::time::Duration;

/// Largest answer that is read: a page of a full read has at most 512 KiB, and
/// what a watch tells beyond this is read in pages instead. With the values
/// taken out of it, it is held twice.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// Why a call has no result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// Refused as too much; try later.
    #[error("too many requests")]
    Busy,
    /// Not executed.
    #[error("unavailable")]
    Unavailable,
    /// What was asked for is gone: an old watch, or an ended lease.
    #[error("gone")]
    Gone,
    /// No answer; it may yet be executed.
    #[error("no answer")]
    Unknown,
    /// The answer makes no sense.
    #[error("a bad answer")]
    Bad,
    /// The request is malformed, or beyond the service's limits: not executed.
    #[error("a malformed request")]
    Malformed,
}

/// How a transaction came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Committed {
    /// Applied at this revision.
    Applied(u64),
    /// A condition failed as of this revision.
    Conflict(u64),
    /// Its lease is over.
    NoLease,
}

/// A leaf's last possible id, its revision, and its record.
pub type LeafAt = (u64, u64, LeafRecord);

/// The state service.
#[derive(Clone, Debug)]
pub struct State {
    http: Http,
    base: String,
}

fn failed(status: u16) -> StateError {
    match status {
        429 => StateError::Busy,
        404 | 410 => StateError::Gone,
        500.. => StateError::Unavailable,
        _ => StateError::Bad,
    }
}

impl From<Failure> for StateError {
    fn from(f: Failure) -> Self {
        match f {
            Failure::Unsent => Self::Unavailable,
            Failure::Unknown | Failure::TooLarge => Self::Unknown,
        }
    }
}

impl State {
    /// The state service at `addr`.
    pub fn new(http: Http, addr: &str) -> Self {
        Self {
            http,
            base: format!("http://{addr}"),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout_ms: u64,
    ) -> Result<(u16, bytes::Bytes), StateError> {
        let url = format!("{}{path}", self.base);
        let timeout = Duration::from_millis(timeout_ms);
        Ok(self
            .http
            .call(method, &url, body, timeout, MAX_ANSWER)
            .await?)
    }

    fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StateError> {
        parse_object(body).map_err(|e| {
            tracing::warn!("bad answer of the state service: {e}");
            StateError::Bad
        })
    }

    /// Reads a page of all that is under our prefix, after `since`.
    pub async fn read_page(&self, since: Option<&str>) -> Result<Page, StateError> {
        let since = since.map(|key| format!("&since={key}")).unwrap_or_default();
        let path = format!("/store?starts={PREFIX}{since}&page=1000");
        let (status, body) = self.call(Method::GET, &path, None, 3000).await?;
        if status != 200 {
            return Err(failed(status));
        }
        Self::read(&body)
    }

    /// Reads the first leaf of a run of the history whose last possible id is `job`
    /// or later: the revision that this describes, and the leaf's last possible id,
    /// revision and record, if there is one.
    pub async fn read_leaf(
        &self,
        level: Level,
        job: u64,
    ) -> Result<(u64, Option<LeafAt>), StateError> {
        let since = since_key(level, job);
        let since = since.map(|key| format!("&since={key}")).unwrap_or_default();
        let path = format!("/store?starts={}{since}&page=1", level.prefix());
        let (status, body) = self.call(Method::GET, &path, None, 1500).await?;
        if status != 200 {
            return Err(failed(status));
        }
        let page: Page = Self::read(&body)?;
        let Some(pair) = page.pairs.first() else {
            return Ok((page.store_revision, None));
        };
        let last = leaf_of_key(level, &pair.key).ok_or(StateError::Bad)?;
        let record = pair.v.read().map_err(|e| {
            tracing::error!("a bad leaf of the history: {}: {e}", pair.key);
            StateError::Bad
        })?;
        Ok((page.store_revision, Some((last, pair.revision, record))))
    }

    /// Reads a chunk of a submission, if it is there.
    pub async fn read_chunk(&self, number: u64, chunk: u32) -> Result<Option<Chunk>, StateError> {
        let path = format!("/store/{}", chunk_key(number, chunk));
        let (status, body) = self.call(Method::GET, &path, None, 1500).await?;
        match status {
            200 => {
                let pair: Pair = Self::read(&body)?;
                let chunk = pair.v.read().map_err(|e| {
                    tracing::error!("a bad chunk of a submission: {}: {e}", pair.key);
                    StateError::Bad
                })?;
                Ok(Some(chunk))
            }
            404 => Ok(None),
            other => Err(failed(other)),
        }
    }

    /// Waits up to `wait_ms` for changes after `since`.
    pub async fn follow(&self, since: u64, wait_ms: u64) -> Result<WatchResponse, StateError> {
        let path = format!("/follow?starts={PREFIX}&since={since}&wait_ms={wait_ms}");
        let url = format!("{}{path}", self.base);
        let timeout = Duration::from_millis(wait_ms + 1500);
        let answer = self
            .http
            .call(Method::GET, &url, None, timeout, MAX_ANSWER)
            .await;
        let (status, body) = match answer {
            // Asked for again, it would be as large, for ever.
            Err(Failure::TooLarge) => return Err(StateError::Gone),
            answer => answer?,
        };
        if status != 200 {
            return Err(failed(status));
        }
        Self::read(&body)
    }

    /// Sends a transaction.
    pub async fn commit(&self, commit: &Commit) -> Result<Committed, StateError> {
        let body = serde_json::to_vec(commit).map_err(|_| StateError::Bad)?;
        let (status, body) = self.call(Method::POST, "/commit", Some(body), 2000).await?;
        match status {
            200 => Ok(Committed::Applied(
                Self::read::<StoreRevision>(&body)?.store_revision,
            )),
            409 => Ok(Committed::Conflict(
                Self::read::<StoreRevision>(&body)?.store_revision,
            )),
            400 => {
                let text = String::from_utf8_lossy(&body);
                if text.contains("no such lease") || text.contains("hold") {
                    return Ok(Committed::NoLease);
                }
                tracing::debug!(%text, "the state service calls a transaction malformed");
                Err(StateError::Malformed)
            }
            other => Err(failed(other)),
        }
    }

    /// Gets a lease.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64, StateError> {
        let body = serde_json::json!({ "ttl_ms": ttl_ms })
            .to_string()
            .into_bytes();
        let (status, body) = self.call(Method::POST, "/holds", Some(body), 2000).await?;
        if status != 200 {
            return Err(failed(status));
        }
        Ok(Self::read::<LeaseGrant>(&body)?.lease_id)
    }

    /// Renews a lease.
    pub async fn renew_lease(&self, lease_id: u64) -> Result<(), StateError> {
        let path = format!("/holds/{lease_id}/touch");
        let (status, _) = self
            .call(Method::POST, &path, Some(b"{}".to_vec()), 1500)
            .await?;
        if status == 200 {
            Ok(())
        } else {
            Err(failed(status))
        }
    }
}
