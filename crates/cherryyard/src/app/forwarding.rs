//! Submissions: passed on to another controller, or handed to the core.

use super::App;
use cherryyard_clients::peer::OutgoingMessage;
use cherryyard_core::admission::intake::{Offer, Verdict};
use cherryyard_core::mirror::OpenJob;
use cherryyard_wire::peer::{ForwardResponse, ForwardedSubmission, Message};
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest that a submission passed on waits before it is written here.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest that a verdict of our own core is waited for.
const OFFER_TIMEOUT: Duration = Duration::from_millis(4000);
/// Longest that it waits where it cannot be written here.
const FORWARD_ONLY_TIMEOUT: Duration = Duration::from_millis(1500);

impl App {
    /// Has another controller write a submission, if one should; none if it is
    /// to be written here after all.
    pub async fn query(self: &Arc<Self>, body: &[u8], at: u64) -> Option<ForwardResponse> {
        let (to, patience, label) = self.with(|n, now| {
            let whom = n.forwarding_target(now)?;
            let to = self.peers.get(whom)?;
            let patience = if n.state_fresh(now) {
                // Where many wait there, to write it here too would only be in the way.
                FORWARD_TIMEOUT + Duration::from_millis(2 * n.intake_ms(whom).min(200))
            } else {
                FORWARD_ONLY_TIMEOUT
            };
            Some((to, patience, n.config.labels[n.config.me].clone()))
        })?;
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let query = ForwardedSubmission {
            label,
            ticket,
            at,
            body: body.to_vec(),
        };
        let (reply_to, reply) = oneshot::channel();
        self.waiting_for_answers().insert(ticket, reply_to);
        let sent = to.try_send(OutgoingMessage::new(
            Message::ForwardedSubmission(query),
            self.sender.clone(),
        ));
        let reply = match sent {
            Ok(()) => tokio::time::timeout(patience, reply)
                .await
                .ok()
                .and_then(Result::ok),
            Err(_) => None,
        };
        self.waiting_for_answers().remove(&ticket);
        reply
    }

    /// Hands a new job to the core, and waits for what becomes of it.
    pub async fn offer(self: &Arc<Self>, job: u64, open: OpenJob, moved: u64) -> Verdict {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (reply_to, reply) = oneshot::channel();
        self.offers().insert(ticket, reply_to);
        let offer = Offer {
            ticket,
            job,
            open,
            moved,
        };
        self.with(|n, now| n.offer(offer, now));
        let reply = tokio::time::timeout(OFFER_TIMEOUT, reply).await;
        self.offers().remove(&ticket);
        reply.ok().and_then(Result::ok).unwrap_or(Verdict::Failed)
    }

    pub(crate) fn reply_verdict(&self, ticket: u64, verdict: Verdict) {
        if let Some(reply_to) = self.offers().remove(&ticket) {
            // The one who waits may have given up.
            let _ = reply_to.send(verdict);
        }
    }

    fn offers(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Verdict>>> {
        self.offers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn waiting_for_answers(
        &self,
    ) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<ForwardResponse>>> {
        self.queried.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
