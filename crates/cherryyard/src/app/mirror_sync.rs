//! Keeps the mirror in sync with the state service: one full read, then a watch.

use super::repeated_failures::RepeatedFailures;
use super::{App, jittered};
use cherryyard_clients::state::StateError;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Keys of a full read that are loaded before the task yields to others.
const LOAD_STEP: usize = 100;
/// Pause between two pages of a full read: without it a long read would use up the requests
/// that lease renewals need.
const PAGE_PAUSE: Duration = Duration::from_millis(60);
/// Pause after a failed full read, in milliseconds before jitter.
const LOAD_RETRY_MS: u64 = 500;
/// Pause after a failed watch, in milliseconds before jitter.
const WATCH_RETRY_MS: u64 = 400;

impl App {
    /// Reads the whole state into the mirror, page by page; returns the number of keys, and
    /// the revision that the first page describes. There may be very many keys, as ended jobs
    /// are kept forever.
    async fn load(self: &Arc<Self>) -> Result<(usize, u64), StateError> {
        let (mut keys, mut first, mut last) = (0, None, None);
        self.with(|controller, _| controller.mirror.begin_load());
        loop {
            let page = self.clients.state.read_page(last.as_deref()).await?;
            let store_revision = *first.get_or_insert(page.store_revision);
            for pairs in page.pairs.chunks(LOAD_STEP) {
                self.with(|controller, _| controller.mirror.apply_read_page(pairs));
                tokio::task::yield_now().await;
            }
            keys += page.pairs.len();
            last = page.pairs.into_iter().last().map(|p| p.key);
            if !page.truncated || last.is_none() {
                return Ok((keys, store_revision));
            }
            tokio::time::sleep(PAGE_PAUSE).await;
        }
    }

    /// Keeps the mirror in sync: a full read, then a watch; starts over with a full read when
    /// the watch cannot continue.
    pub(crate) async fn sync_mirror(self: Arc<Self>) {
        let mut failures = RepeatedFailures::default();
        loop {
            self.load_with_retries(&mut failures).await;
            self.watch_until_gone().await;
        }
    }

    /// Retries a full read until one succeeds.
    async fn load_with_retries(self: &Arc<Self>, failures: &mut RepeatedFailures) {
        loop {
            let sent_at = self.now();
            match self.load().await {
                Ok((keys, store_revision)) => {
                    self.with(|controller, now| {
                        controller.handle_load_end(store_revision, sent_at, now)
                    });
                    let failed = failures.record_success();
                    tracing::info!(keys, store_revision, failed, "state loaded");
                    return;
                }
                Err(e) => {
                    if let Some(times) = failures.record_failure(Instant::now()) {
                        tracing::info!(times, "failed to load the state: {e}");
                    }
                    tokio::time::sleep(jittered(LOAD_RETRY_MS)).await;
                }
            }
        }
    }

    /// Applies changes from a watch until the state service no longer has the changes since the
    /// mirror's revision, or they are too many for one response.
    async fn watch_until_gone(self: &Arc<Self>) {
        loop {
            let sent_at = self.now();
            let since = self.with(|controller, _| controller.mirror.store_revision);
            let wait_ms = self.intervals.watch_wait_ms;
            match self.clients.state.watch(since, wait_ms).await {
                Ok(events) => {
                    self.with(|controller, now| {
                        controller.handle_watch_response(&events, sent_at, now)
                    });
                    tokio::time::sleep(self.intervals.read).await;
                }
                Err(StateError::Gone) => {
                    tracing::info!(since, "watch cannot continue, loading the state again");
                    return;
                }
                Err(e) => {
                    tracing::debug!("watch failed: {e}");
                    tokio::time::sleep(jittered(WATCH_RETRY_MS)).await;
                }
            }
        }
    }
}
