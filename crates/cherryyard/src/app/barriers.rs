//! Barriers: a request waits until the mirror holds all that was durable when it asked.

use super::App;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Longest that a user's request waits for the state service.
const BARRIER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Requests that may wait for a barrier at once.
const MAX_WAITING: usize = 2000;

/// Requests that wait for the next read of the state.
#[derive(Debug, Default)]
pub(crate) struct Barriers {
    /// Each receives whether the read succeeded.
    waiting: Mutex<Vec<oneshot::Sender<bool>>>,
    read_wanted: Notify,
}

impl Barriers {
    /// Requests a read of the newest state.
    pub(super) fn request(&self) {
        self.read_wanted.notify_one();
    }

    /// Registers a request that waits; none if too many do.
    fn wait(&self) -> Option<oneshot::Receiver<bool>> {
        let (reply_to, reply) = oneshot::channel();
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() >= MAX_WAITING {
            return None;
        }
        waiting.push(reply_to);
        Some(reply)
    }

    fn take_waiting(&self) -> Vec<oneshot::Sender<bool>> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *waiting)
    }
}

impl App {
    /// Waits until the mirror holds everything that was durable when this was called;
    /// false if it does not within a time. One read serves all who wait.
    pub async fn caught_up(self: &Arc<Self>) -> bool {
        let Some(reply) = self.barriers.wait() else {
            return false;
        };
        self.barriers.request();
        matches!(
            tokio::time::timeout(BARRIER_TIMEOUT, reply).await,
            Ok(Ok(true))
        )
    }

    /// Reads the newest state whenever a request waits for it.
    pub(crate) async fn serve_barriers(self: Arc<Self>) {
        loop {
            self.barriers.read_wanted.notified().await;
            let waiting = self.barriers.take_waiting();
            let succeeded = self.read_newest().await;
            for reply_to in waiting {
                // The one who waits may have given up.
                let _ = reply_to.send(succeeded);
            }
            let pause = if succeeded {
                self.intervals.read
            } else {
                self.intervals.read * 2
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Brings the mirror up to the newest state; whether that succeeded.
    async fn read_newest(self: &Arc<Self>) -> bool {
        let sent_at = self.now();
        let (loaded, since) = self.with(|controller, _| {
            let mirror = &controller.mirror;
            (mirror.loaded, mirror.store_revision)
        });
        if !loaded {
            return false;
        }
        match self.clients.state.follow(since, 0).await {
            Ok(events) => {
                self.with(|controller, now| controller.events(&events, sent_at, now));
                true
            }
            Err(_) => false,
        }
    }
}
