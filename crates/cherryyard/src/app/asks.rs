//! Submissions: passed on to another controller, or handed to the core.

use super::App;
use cherryyard_core::admission::intake::{Offer, Verdict};
use cherryyard_core::mirror::OpenJob;
use cherryyard_io::peer::Outgoing;
use cherryyard_wire::peer::{Ask, Message, Told};
use std::collections::HashMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// Longest that a submission passed on waits before it is written here.
const ASK_PATIENCE: Duration = Duration::from_millis(250);
/// Longest that a verdict of our own core is waited for.
const OFFER_PATIENCE: Duration = Duration::from_millis(4000);
/// Longest that it waits where it cannot be written here.
const ASK_ONLY_PATIENCE: Duration = Duration::from_millis(1500);

impl App {
    /// Has another controller write a submission, if one should; none if it is
    /// to be written here after all.
    pub async fn ask(self: &Arc<Self>, body: &[u8], at: u64) -> Option<Told> {
        let (to, patience, label) = self.with(|n, now| {
            let whom = n.whom_to_ask(now)?;
            let to = self.peers.get(whom)?;
            let patience = if n.state_fresh(now) {
                // Where many wait there, to write it here too would only be in the way.
                ASK_PATIENCE + Duration::from_millis(2 * n.intake_ms(whom).min(200))
            } else {
                ASK_ONLY_PATIENCE
            };
            Some((to, patience, n.config.labels[n.config.me].clone()))
        })?;
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let ask = Ask {
            label,
            ticket,
            at,
            body: body.to_vec(),
        };
        let (tell, told) = oneshot::channel();
        self.waiting_for_answers().insert(ticket, tell);
        let sent = to.try_send(Outgoing::new(Message::Ask(ask), self.sender.clone()));
        let told = match sent {
            Ok(()) => tokio::time::timeout(patience, told)
                .await
                .ok()
                .and_then(Result::ok),
            Err(_) => None,
        };
        self.waiting_for_answers().remove(&ticket);
        told
    }

    /// Hands a new job to the core, and waits for what becomes of it.
    pub async fn offer(self: &Arc<Self>, job: u64, open: OpenJob, moved: u64) -> Verdict {
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let (tell, told) = oneshot::channel();
        self.offers().insert(ticket, tell);
        let offer = Offer {
            ticket,
            job,
            open,
            moved,
        };
        self.with(|n, now| n.offer(offer, now));
        let told = tokio::time::timeout(OFFER_PATIENCE, told).await;
        self.offers().remove(&ticket);
        told.ok().and_then(Result::ok).unwrap_or(Verdict::Failed)
    }

    pub(crate) fn tell_verdict(&self, ticket: u64, verdict: Verdict) {
        if let Some(tell) = self.offers().remove(&ticket) {
            // The one who waits may have given up.
            let _ = tell.send(verdict);
        }
    }

    fn offers(&self) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Verdict>>> {
        self.offers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn waiting_for_answers(
        &self,
    ) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Told>>> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
