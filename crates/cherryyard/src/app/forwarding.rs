//! Submissions that wait for a response from another controller or a verdict of the core.

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

/// Time that a forwarded submission waits for a response before this controller writes the
/// submission itself.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that a submission waits for the core's verdict.
const OFFER_TIMEOUT: Duration = Duration::from_millis(4000);
/// Time that a forwarded submission waits for a response while this controller cannot write
/// to the state service itself.
const FORWARD_ONLY_TIMEOUT: Duration = Duration::from_millis(1500);

/// Reply channels of submissions that wait for a result, by ticket.
type PendingReplies<T> = Mutex<HashMap<u64, oneshot::Sender<T>>>;

/// Submissions that wait for a verdict.
#[derive(Debug)]
pub(crate) struct PendingSubmissions {
    /// Forwarded submissions, which wait for the other controller's response.
    forwarded: PendingReplies<ForwardResponse>,
    /// Submissions offered to the core, which wait for its verdict.
    offered: PendingReplies<SubmissionOutcome>,
    next_ticket: AtomicU64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl PendingSubmissions {
    /// Returns an empty collection. The first ticket is random, so that a late response to an
    /// earlier process of this controller does not match a waiting submission.
    pub(crate) fn new() -> Self {
        Self {
            forwarded: Mutex::default(),
            offered: Mutex::default(),
            next_ticket: AtomicU64::new(rand::random()),
        }
    }

    fn issue_ticket(&self) -> u64 {
        self.next_ticket.fetch_add(1, Ordering::Relaxed)
    }

    /// Passes another controller's response on to the submission that waits for it.
    pub(super) fn deliver_response(&self, response: ForwardResponse) {
        if let Some(reply_sender) = lock(&self.forwarded).remove(&response.ticket) {
            // Fails if the submission has timed out.
            let _ = reply_sender.send(response);
        }
    }

    /// Passes the core's verdict on to the submission that waits for it.
    pub(super) fn deliver_verdict(&self, ticket: u64, verdict: SubmissionOutcome) {
        if let Some(reply_sender) = lock(&self.offered).remove(&ticket) {
            // Fails if the submission has timed out.
            let _ = reply_sender.send(verdict);
        }
    }
}

impl App {
    /// Forwards a submission to the controller that should write it, and returns that
    /// controller's response; returns none if this controller has to write the submission
    /// itself.
    pub async fn forward(self: &Arc<Self>, body: &[u8], at: u64) -> Option<ForwardResponse> {
        let (queue, timeout, label) = self.with(|controller, now| {
            let target = controller.forwarding_target(now)?;
            let queue = self.peers.queues.get(target)?;
            let timeout = if controller.state_fresh(now) {
                // The timeout grows with the time that submissions take at the target: while many
                // wait there, a second write of the same submission would only add load.
                FORWARD_TIMEOUT
                    + Duration::from_millis(2 * controller.forwarded_delay_ms(target).min(200))
            } else {
                FORWARD_ONLY_TIMEOUT
            };
            Some((
                queue,
                timeout,
                controller.config.labels[controller.config.own_index].clone(),
            ))
        })?;
        let ticket = self.pending.issue_ticket();
        let submission = ForwardedSubmission {
            label,
            ticket,
            at,
            body: body.to_vec(),
        };
        let (reply_sender, reply) = oneshot::channel();
        lock(&self.pending.forwarded).insert(ticket, reply_sender);
        let sent = queue.try_send(OutgoingMessage::new(
            Message::ForwardedSubmission(submission),
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

    /// Offers a new job to the core, and waits for its verdict. `history_revision` is the revision
    /// of the history's record as of which the job was not in the history.
    pub async fn offer(
        self: &Arc<Self>,
        job: u64,
        open: OpenJob,
        history_revision: u64,
    ) -> SubmissionOutcome {
        let ticket = self.pending.issue_ticket();
        let (reply_sender, reply) = oneshot::channel();
        lock(&self.pending.offered).insert(ticket, reply_sender);
        let offer = Submission {
            ticket,
            job,
            open,
            history_revision,
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
