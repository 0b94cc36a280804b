//! Submissions that wait for a verdict: of another controller, or of the core.

use super::App;
use cherryyard_clients::peer::OutgoingMessage;
use cherryyard_core::admission::intake::{Submission, SubmissionOutcome};
use cherryyard_core::mirror::OpenJob;
use cherryyard_wire::peer::{ForwardResponse, ForwardedSubmission, Message};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest that a forwarded submission waits before it is written here.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest that the core's verdict is waited for.
const OFFER_TIMEOUT: Duration = Duration::from_millis(4000);
/// Longest that a forwarded submission waits where it cannot be written here.
const FORWARD_ONLY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Whoever waits for a result, by ticket.
type Waiting<T> = Mutex<HashMap<u64, oneshot::Sender<T>>>;

/// Submissions that wait for a verdict.
#[derive(Debug)]
pub(crate) struct PendingSubmissions {
    /// Forwarded ones, which wait for the other controller's response.
    forwarded: Waiting<ForwardResponse>,
    /// Those handed to the core, which wait for its verdict.
    offered: Waiting<SubmissionOutcome>,
    next_ticket: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PendingSubmissions {
    /// None yet. Tickets begin anywhere: a late response to an earlier process of this
    /// controller must find nobody waiting.
    pub(crate) fn new() -> Self {
        Self {
            forwarded: Mutex::default(),
            offered: Mutex::default(),
            next_ticket: AtomicU64::new(rand::random()),
        }
    }

    fn take_ticket(&self) -> u64 {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Hands another controller's response to whoever waits for it.
    pub(super) fn receive(&self, response: ForwardResponse) {
        if let Some(reply_to) = lock(&self.forwarded).remove(&response.ticket) {
            // The one who waits may have given up.
            let _ = reply_to.send(response);
        }
    }

    /// Hands the core's verdict to whoever waits for it.
    pub(super) fn reply(&self, ticket: u64, verdict: SubmissionOutcome) {
        if let Some(reply_to) = lock(&self.offered).remove(&ticket) {
            // The one who waits may have given up.
            let _ = reply_to.send(verdict);
        }
    }
}

impl App {
    /// Has another controller write a submission, if one should; none if it is
    /// to be written here after all.
    pub async fn forward(self: &Arc<Self>, body: &[u8], at: u64) -> Option<ForwardResponse> {
        let (queue, timeout, label) = self.with(|controller, now| {
            let target = controller.forwarding_target(now)?;
            let queue = self.peers.queues.get(target)?;
            let timeout = if controller.state_fresh(now) {
                // Where many wait there, to write it here too would only be in the way.
                FORWARD_TIMEOUT + Duration::from_millis(2 * controller.intake_ms(target).min(200))
            } else {
                FORWARD_ONLY_TIMEOUT
            };
            Some((
                queue,
                timeout,
                controller.config.labels[controller.config.me].clone(),
            ))
        })?;
        let ticket = self.pending.take_ticket();
        let query = ForwardedSubmission {
            label,
            ticket,
            at,
            body: body.to_vec(),
        };
        let (reply_to, reply) = oneshot::channel();
        lock(&self.pending.forwarded).insert(ticket, reply_to);
        let sent = queue.try_send(OutgoingMessage::new(
            Message::ForwardedSubmission(query),
            self.peers.sender.clone(),
        ));
        let reply = match sent {
            Ok(()) => tokio::time::timeout(timeout, reply)
                .await
                .ok()
                .and_then(Result::ok),
            Err(_) => None,
        };
        lock(&self.pending.forwarded).remove(&ticket);
        reply
    }

    /// Hands a new job to the core, and waits for its verdict. The job was not in the history
    /// as of its record's revision `moved`.
    pub async fn offer(self: &Arc<Self>, job: u64, open: OpenJob, moved: u64) -> SubmissionOutcome {
        let ticket = self.pending.take_ticket();
        let (reply_to, reply) = oneshot::channel();
        lock(&self.pending.offered).insert(ticket, reply_to);
        let offer = Submission {
            ticket,
            job,
            open,
            history_revision: moved,
        };
        self.with(|controller, now| controller.submit(offer, now));
        let reply = tokio::time::timeout(OFFER_TIMEOUT, reply).await;
        lock(&self.pending.offered).remove(&ticket);
        reply
            .ok()
            .and_then(Result::ok)
            .unwrap_or(SubmissionOutcome::Failed)
    }
}
