//! Handling of messages from other controllers.

use super::{App, wall_ms};
use crate::routes;
use cherryyard_clients::peer::OutgoingMessage;
use cherryyard_wire::peer::{ForwardedSubmission, Frame, Message};
use std::sync::Arc;

/// Age in milliseconds beyond which a forwarded submission is ignored: packets may be held
/// back for minutes, and by then the user has retried or given up.
const MAX_FORWARDED_AGE_MS: f64 = 5000.0;

impl App {
    /// Handles a frame from another controller.
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
                self.with(|controller, now| controller.handle_peer_heartbeat(*heartbeat, now));
            }
            Message::ForwardResponse(response) => self.pending.deliver_response(response),
            Message::ForwardedSubmission(submission) => {
                self.receive_forwarded_submission(submission)
            }
        }
    }

    fn receive_forwarded_submission(self: &Arc<Self>, submission: ForwardedSubmission) {
        if (wall_ms() - submission.at as f64).abs() > MAX_FORWARDED_AGE_MS {
            return;
        }
        let app = self.clone();
        tokio::spawn(async move {
            let response = routes::answer_forwarded_submission(&app, &submission).await;
            if let Some(queue) = app.peers.queues.get(&submission.label) {
                let response = Message::ForwardResponse(response);
                let response = OutgoingMessage::new(response, app.peers.sender.clone());
                // If the queue is full, the other controller times out and writes the submission
                // itself.
                let _ = queue.try_send(response);
            }
        });
    }
}
