//! Read barriers: a request waits until the mirror holds everything that was durable in the
//! state service when the request arrived.

use super::App;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};

/// Longest time that a user's request waits for the state service.
const BARRIER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most requests that wait for a barrier at once.
const MAX_WAITING: usize = 2000;

/// Requests that wait for the next read of the state service.
#[derive(Debug, Default)]
pub(crate) struct Barriers {
    /// Reply channels of the waiting requests; each receives whether the read succeeded.
    waiting: Mutex<Vec<oneshot::Sender<bool>>>,
    read_requested: Notify,
}

impl Barriers {
    /// Requests a read of the newest state from the task that serves barriers.
    pub(super) fn request(&self) {
        self.read_requested.notify_one();
    }

    /// Registers a waiting request; returns none if [`MAX_WAITING`] requests wait already.
    fn register(&self) -> Option<oneshot::Receiver<bool>> {
        let (reply_sender, reply) = oneshot::channel();
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if waiting.len() >= MAX_WAITING {
            return None;
        }
        waiting.push(reply_sender);
        Some(reply)
    }

    /// Removes and returns all waiting requests.
    fn take_waiting(&self) -> Vec<oneshot::Sender<bool>> {
        let mut waiting = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *waiting)
    }
}

impl App {
    /// Waits until the mirror holds everything that was durable when this method was called;
    /// returns false if that does not happen within [`BARRIER_TIMEOUT`]. One read serves all
    /// waiting requests.
    pub async fn wait_until_caught_up(self: &Arc<Self>) -> bool {
        let Some(reply) = self.barriers.register() else {
            return false;
        };
        self.barriers.request();
        matches!(
            tokio::time::timeout(BARRIER_TIMEOUT, reply).await,
            Ok(Ok(true))
        )
    }

    /// Reads the newest state whenever a request waits for it, at most once per read interval.
    pub(crate) async fn serve_barriers(self: Arc<Self>) {
        loop {
            self.barriers.read_requested.notified().await;
            let waiting = self.barriers.take_waiting();
            let succeeded = self.read_newest().await;
            for reply_sender in waiting {
                // Fails if the request has timed out.
                let _ = reply_sender.send(succeeded);
            }
            let pause = if succeeded {
                self.intervals.read
            } else {
                self.intervals.read * 2
            };
            tokio::time::sleep(pause).await;
        }
    }

    /// Brings the mirror up to the newest state; returns whether that succeeded.
    async fn read_newest(self: &Arc<Self>) -> bool {
        let sent_at = self.now();
        let (loaded, since) = self.with(|controller, _| {
            let mirror = &controller.mirror;
            (mirror.loaded, mirror.store_revision)
        });
        if !loaded {
            return false;
        }
        match self.clients.state.watch(since, 0).await {
            Ok(events) => {
                self.with(|controller, now| {
                    controller.handle_watch_response(&events, sent_at, now)
                });
                true
            }
            Err(_) => false,
        }
    }
}
