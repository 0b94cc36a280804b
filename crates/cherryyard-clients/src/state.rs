//! Client for the state service.

use crate::http::{HttpClient, RequestError};
use cherryyard_wire::condor::{Chunk, chunk_key};
use cherryyard_wire::history::{LeafRecord, Level, key_before_leaf, last_job_of_leaf_key};
use cherryyard_wire::parse_object;
use cherryyard_wire::record::PREFIX;
use cherryyard_wire::state::{Commit, LeaseGrant, Page, Pair, StoreRevision, WatchResponse};
use hyper::Method;
use std::time::Duration;

/// Largest response that is read, in bytes. A page of a full read has at most 512 KiB. A watch
/// response beyond this maximum is replaced by a full read in pages. While the values are taken
/// out of a response, it is in memory twice.
const MAX_RESPONSE: usize = 4 * 1024 * 1024;
/// Keys per page of a full read.
const PAGE_SIZE: usize = 1000;
/// Timeout of one page of a full read.
const PAGE_TIMEOUT: Duration = Duration::from_millis(3000);
/// Timeout of a read of one key, and of a lease renewal.
const KEY_TIMEOUT: Duration = Duration::from_millis(1500);
/// Timeout of a transaction, and of a lease grant.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time added to a watch's wait for changes to get the timeout of its request.
const WATCH_GRACE: Duration = Duration::from_millis(1500);

/// Error of a call to the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StateError {
    /// The service refused the request because there were too many; try again later.
    #[error("too many requests")]
    Busy,
    /// The service is unavailable; the request was not executed.
    #[error("unavailable")]
    Unavailable,
    /// The requested object no longer exists: the changes since a watch's start, or a lease that has
    /// ended.
    #[error("gone")]
    Gone,
    /// No complete response was received; the request may have been executed, or may still be.
    #[error("no response")]
    NoAnswer,
    /// The response cannot be parsed, or has an unexpected status.
    #[error("invalid response")]
    InvalidResponse,
    /// The request is malformed or exceeds the service's limits; it was not executed.
    #[error("malformed request")]
    Malformed,
}

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction was applied at this revision.
    Applied(u64),
    /// A condition failed as of this revision.
    Conflict(u64),
    /// The transaction's lease has ended.
    NoLease,
}

/// Result of a read of a run of the history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafRead {
    /// Revision of the store that the read describes.
    pub store_revision: u64,
    /// First leaf that may hold the requested job or a later one, if there is one.
    pub leaf: Option<StoredLeaf>,
}

/// A leaf of the history as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLeaf {
    /// Largest job number that can be in the leaf.
    pub last_job: u64,
    /// Revision of the leaf's key.
    pub revision: u64,
    /// Record of the leaf.
    pub record: LeafRecord,
}

/// Client for the state service.
#[derive(Clone, Debug)]
pub struct StateClient {
    http: HttpClient,
    base_url: String,
}

/// Returns the error for an unsuccessful HTTP status.
fn status_error(status: u16) -> StateError {
    match status {
        429 => StateError::Busy,
        404 | 410 => StateError::Gone,
        500.. => StateError::Unavailable,
        _ => StateError::InvalidResponse,
    }
}

impl From<RequestError> for StateError {
    fn from(error: RequestError) -> Self {
        match error {
            RequestError::NotSent => Self::Unavailable,
            RequestError::NoAnswer | RequestError::ResponseTooLarge => Self::NoAnswer,
        }
    }
}

impl StateClient {
    /// Returns a client for the state service at `addr`.
    pub fn new(http: HttpClient, addr: &str) -> Self {
        Self {
            http,
            base_url: format!("http://{addr}"),
        }
    }

    /// Sends a request; returns the status and the body of the response.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        timeout: Duration,
    ) -> Result<(u16, bytes::Bytes), StateError> {
        let url = format!("{}{path}", self.base_url);
        Ok(self
            .http
            .call(method, &url, body, timeout, MAX_RESPONSE)
            .await?)
    }

    /// Parses the body of a response.
    fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, StateError> {
        parse_object(body).map_err(|e| {
            tracing::warn!("invalid response from the state service: {e}");
            StateError::InvalidResponse
        })
    }

    /// Reads a page of all keys under [`PREFIX`], from the first key after `since` on.
    pub async fn read_page(&self, since: Option<&str>) -> Result<Page, StateError> {
        let since = since.map(|key| format!("&since={key}")).unwrap_or_default();
        let path = format!("/store?starts={PREFIX}{since}&page={PAGE_SIZE}");
        let (status, body) = self.call(Method::GET, &path, None, PAGE_TIMEOUT).await?;
        if status != 200 {
            return Err(status_error(status));
        }
        Self::parse(&body)
    }

    /// Reads the first leaf of a run of the history whose largest possible job number is `job` or
    /// higher.
    pub async fn read_leaf(&self, level: Level, job: u64) -> Result<LeafRead, StateError> {
        let since = key_before_leaf(level, job);
        let since = since.map(|key| format!("&since={key}")).unwrap_or_default();
        let path = format!("/store?starts={}{since}&page=1", level.prefix());
        let (status, body) = self.call(Method::GET, &path, None, KEY_TIMEOUT).await?;
        if status != 200 {
            return Err(status_error(status));
        }
        let page: Page = Self::parse(&body)?;
        let store_revision = page.store_revision;
        let Some(pair) = page.pairs.first() else {
            let leaf = None;
            return Ok(LeafRead {
                store_revision,
                leaf,
            });
        };
        let last_job = last_job_of_leaf_key(level, &pair.key).ok_or(StateError::InvalidResponse)?;
        let record = pair.value.read().map_err(|e| {
            tracing::error!("invalid leaf of the history: {}: {e}", pair.key);
            StateError::InvalidResponse
        })?;
        let leaf = Some(StoredLeaf {
            last_job,
            revision: pair.revision,
            record,
        });
        Ok(LeafRead {
            store_revision,
            leaf,
        })
    }

    /// Reads a chunk of a submission; returns none if there is no such chunk.
    pub async fn read_chunk(&self, number: u64, chunk: u32) -> Result<Option<Chunk>, StateError> {
        let path = format!("/store/{}", chunk_key(number, chunk));
        let (status, body) = self.call(Method::GET, &path, None, KEY_TIMEOUT).await?;
        match status {
            200 => {
                let pair: Pair = Self::parse(&body)?;
                let chunk = pair.value.read().map_err(|e| {
                    tracing::error!("invalid chunk of a submission: {}: {e}", pair.key);
                    StateError::InvalidResponse
                })?;
                Ok(Some(chunk))
            }
            404 => Ok(None),
            other => Err(status_error(other)),
        }
    }

    /// Waits up to `wait_ms` milliseconds for changes after the revision `since`.
    pub async fn watch(&self, since: u64, wait_ms: u64) -> Result<WatchResponse, StateError> {
        let path = format!("/follow?starts={PREFIX}&since={since}&wait_ms={wait_ms}");
        let url = format!("{}{path}", self.base_url);
        let timeout = Duration::from_millis(wait_ms) + WATCH_GRACE;
        let response = self
            .http
            .call(Method::GET, &url, None, timeout, MAX_RESPONSE)
            .await;
        let (status, body) = match response {
            // A retry would get the same large response, so the caller has to do a full read.
            Err(RequestError::ResponseTooLarge) => return Err(StateError::Gone),
            response => response?,
        };
        if status != 200 {
            return Err(status_error(status));
        }
        Self::parse(&body)
    }

    /// Sends a transaction.
    pub async fn commit(&self, commit: &Commit) -> Result<CommitOutcome, StateError> {
        let body = serde_json::to_vec(commit).map_err(|_| StateError::InvalidResponse)?;
        let (status, body) = self
            .call(Method::POST, "/commit", Some(body), COMMIT_TIMEOUT)
            .await?;
        match status {
            200 => Ok(CommitOutcome::Applied(
                Self::parse::<StoreRevision>(&body)?.store_revision,
            )),
            409 => Ok(CommitOutcome::Conflict(
                Self::parse::<StoreRevision>(&body)?.store_revision,
            )),
            400 => {
                let text = String::from_utf8_lossy(&body);
                if text.contains("no such lease") || text.contains("hold") {
                    return Ok(CommitOutcome::NoLease);
                }
                tracing::debug!(%text, "transaction rejected by the state service as malformed");
                Err(StateError::Malformed)
            }
            other => Err(status_error(other)),
        }
    }

    /// Requests a lease that ends `ttl_ms` milliseconds after its last renewal; returns its id.
    pub async fn grant_lease(&self, ttl_ms: u64) -> Result<u64, StateError> {
        let body = serde_json::json!({ "ttl_ms": ttl_ms })
            .to_string()
            .into_bytes();
        let (status, body) = self
            .call(Method::POST, "/holds", Some(body), COMMIT_TIMEOUT)
            .await?;
        if status != 200 {
            return Err(status_error(status));
        }
        Ok(Self::parse::<LeaseGrant>(&body)?.lease_id)
    }

    /// Renews a lease.
    pub async fn renew_lease(&self, lease_id: u64) -> Result<(), StateError> {
        let path = format!("/holds/{lease_id}/touch");
        let (status, _) = self
            .call(Method::POST, &path, Some(b"{}".to_vec()), KEY_TIMEOUT)
            .await?;
        if status == 200 {
            Ok(())
        } else {
            Err(status_error(status))
        }
    }
}
