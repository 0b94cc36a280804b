//! Reads of the state: the first one, the watch, and barriers.

use super::repeats::Repeats;
use super::{App, jittered};
use cherryyard_clients::state::StateError;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Longest that a user's request waits for the state service.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Keys of a full read that are taken before others have their turn.
const LOAD_STEP: usize = 100;
/// Requests that may wait for a barrier at once.
const MAX_WAITING: usize = 2000;

impl App {
    /// Waits until the mirror holds everything that was durable when this was
    /// called. One read serves all who wait.
    pub async fn caught_up(self: &Arc<Self>) -> bool {
        let (reply_to, reply) = oneshot::channel();
        {
            let mut waiting = self.barrier.lock().unwrap_or_else(PoisonError::into_inner);
            if waiting.len() >= MAX_WAITING {
                return false;
            }
            waiting.push(reply_to);
        }
        self.barrier_wanted.notify_one();
        matches!(tokio::time::timeout(PATIENCE, reply).await, Ok(Ok(true)))
    }

    /// Reads the newest state whenever someone waits for it.
    pub(crate) async fn serve_barriers(self: Arc<Self>) {
        loop {
            self.barrier_wanted.notified().await;
            let waiting = {
                let mut all = self.barrier.lock().unwrap_or_else(PoisonError::into_inner);
                std::mem::take(&mut *all)
            };
            let sent_at = self.now();
            let (loaded, since) = self.with(|n, _| (n.mirror.loaded, n.mirror.store_revision));
            let good = loaded
                && match self.state.follow(since, 0).await {
                    Ok(events) => {
                        self.with(|n, now| n.events(&events, sent_at, now));
                        true
                    }
                    Err(_) => false,
                };
            for reply_to in waiting {
                // The one who waits may have given up.
                let _ = reply_to.send(good);
            }
            let read_interval = if good {
                self.read_interval
            } else {
                self.read_interval * 2
            };
            tokio::time::sleep(read_interval).await;
        }
    }

    /// Reads all of the state into the mirror, piece by piece; says how many
    /// keys there are, and which revision the first page described. Jobs that
    /// are over stay for ever, so there may be very many.
    pub(crate) async fn load(self: &Arc<Self>) -> Result<(usize, u64), StateError> {
        let (mut keys, mut first, mut last) = (0, None, None);
        self.with(|n, _| n.mirror.begin_load());
        loop {
            let page = self.state.read_page(last.as_deref()).await?;
            let store_revision = *first.get_or_insert(page.store_revision);
            for some in page.pairs.chunks(LOAD_STEP) {
                self.with(|n, _| n.mirror.load_some(some));
                tokio::task::yield_now().await;
            }
            keys += page.pairs.len();
            last = page.pairs.into_iter().last().map(|p| p.key);
            if !page.truncated || last.is_none() {
                return Ok((keys, store_revision));
            }
            // A long read spends requests that renewals need too.
            tokio::time::sleep(Duration::from_millis(60)).await;
        }
    }

    /// Keeps the mirror: one full read, then one watch.
    pub(crate) async fn mirror(self: Arc<Self>) {
        let mut reload = true;
        let mut failures = Repeats::default();
        loop {
            let sent_at = self.now();
            if reload {
                match self.load().await {
                    Ok((keys, store_revision)) => {
                        self.with(|n, now| n.loaded(store_revision, sent_at, now));
                        tracing::info!(
                            keys,
                            store_revision,
                            failed = failures.worked(),
                            "read the state"
                        );
                        reload = false;
                    }
                    Err(e) => {
                        if let Some(times) = failures.failed(Instant::now()) {
                            tracing::info!(times, "cannot read the state: {e}");
                        }
                        tokio::time::sleep(jittered(500)).await;
                    }
                }
                continue;
            }
            let since = self.with(|n, _| n.mirror.store_revision);
            match self.state.follow(since, self.follow_ms).await {
                Ok(events) => {
                    self.with(|n, now| n.events(&events, sent_at, now));
                    tokio::time::sleep(self.read_interval).await;
                }
                Err(StateError::Gone) => {
                    tracing::info!(since, "the watch is too old, reading everything again");
                    reload = true;
                }
                Err(e) => {
                    tracing::debug!("the watch failed: {e}");
                    tokio::time::sleep(jittered(400)).await;
                }
            }
        }
    }
}
