//! Messages of other controllers.

use super::{App, wall_ms};
use crate::routes;
use cherryyard_clients::peer::OutgoingMessage;
use cherryyard_wire::peer::{ForwardedSubmission, Frame, Message};
use std::sync::Arc;

/// Age at which a forwarded submission is not carried out any more, in milliseconds.
const FORWARD_STALE_MS: f64 = 5000.0;

impl App {
    /// Takes another controller's frame.
    pub fn receive_frame(self: &Arc<Self>, frame: Frame) {
        if let Some(sender) = frame.sender {
            self.with(|controller, now| controller.note_peer_build(&sender, now));
        }
        if let Some(message) = frame.message {
            self.receive_message(message);
        }
    }

    fn receive_message(self: &Arc<Self>, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => {
                self.with(|controller, now| controller.heartbeat_in(*heartbeat, now));
            }
            Message::ForwardResponse(response) => self.pending.receive(response),
            Message::ForwardedSubmission(submission) => self.receive_forwarded(submission),
        }
    }

    fn receive_forwarded(self: &Arc<Self>, submission: ForwardedSubmission) {
        // Packets may be held back for minutes; the user has long asked again, or
        // given up.
        if (wall_ms() - submission.at as f64).abs() > FORWARD_STALE_MS {
            return;
        }
        let app = self.clone();
        tokio::spawn(async move {
            let response = routes::answer_forwarded(&app, &submission).await;
            if let Some(queue) = app.peers.queues.get(&submission.label) {
                let response = Message::ForwardResponse(response);
                let response = OutgoingMessage::new(response, app.peers.sender.clone());
                // Full: the other controller writes the submission itself.
                let _ = queue.try_send(response);
            }
        });
    }
}
