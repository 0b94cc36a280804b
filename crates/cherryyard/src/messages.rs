//! What comes from other controllers.

use crate::app::{App, wall_ms};
use crate::routes;
use cherryyard_clients::peer::Outgoing;
use cherryyard_wire::peer::{Frame, Message};
use std::sync::Arc;

/// Age at which a submission passed on is not carried out any more.
const FORWARD_STALE_MS: f64 = 5000.0;

impl App {
    /// Takes another controller's frame.
    pub fn take_frame(self: &Arc<Self>, frame: Frame) {
        if let Some(sender) = frame.sender {
            self.with(|n, now| n.note_peer_build(&sender, now));
        }
        if let Some(message) = frame.message {
            self.take_message(message);
        }
    }

    fn take_message(self: &Arc<Self>, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.with(|n, now| n.heartbeat_in(*heartbeat, now)),
            Message::ForwardResponse(reply) => {
                if let Some(reply_to) = self.waiting_for_answers().remove(&reply.ticket) {
                    // The one who asked may have given up.
                    let _ = reply_to.send(reply);
                }
            }
            Message::ForwardedSubmission(query) => {
                // Packets may be held back for minutes; the user has long asked
                // again, or given up.
                if (wall_ms() - query.at as f64).abs() > FORWARD_STALE_MS {
                    return;
                }
                let app = self.clone();
                tokio::spawn(async move {
                    let reply = routes::answer_forwarded(&app, &query).await;
                    if let Some(to) = app.peers.get(&query.label) {
                        // Full: the other side writes it itself.
                        let reply =
                            Outgoing::new(Message::ForwardResponse(reply), app.sender.clone());
                        let _ = to.try_send(reply);
                    }
                });
            }
        }
    }
}
