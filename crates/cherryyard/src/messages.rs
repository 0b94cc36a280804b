//! What comes from other controllers.

use crate::app::{App, wall_ms};
use crate::routes;
use cherryyard_io::peer::Outgoing;
use cherryyard_wire::peer::{Frame, Message};
use std::sync::Arc;

/// Age at which a submission passed on is not carried out any more.
const ASK_STALE_MS: f64 = 5000.0;

impl App {
    /// Takes another controller's frame.
    pub fn take_frame(self: &Arc<Self>, frame: Frame) {
        if let Some(sender) = frame.sender {
            self.with(|n, now| n.peer_runs(&sender, now));
        }
        if let Some(message) = frame.message {
            self.take_message(message);
        }
    }

    fn take_message(self: &Arc<Self>, message: Message) {
        match message {
            Message::Heartbeat(heartbeat) => self.with(|n, now| n.heartbeat_in(*heartbeat, now)),
            Message::Told(told) => {
                if let Some(tell) = self.waiting_for_answers().remove(&told.ticket) {
                    // The one who asked may have given up.
                    let _ = tell.send(told);
                }
            }
            Message::Ask(ask) => {
                // Packets may be held back for minutes; the user has long asked
                // again, or given up.
                if (wall_ms() - ask.at as f64).abs() > ASK_STALE_MS {
                    return;
                }
                let app = self.clone();
                tokio::spawn(async move {
                    let told = routes::answer_ask(&app, &ask).await;
                    if let Some(to) = app.peers.get(&ask.label) {
                        // Full: the other side writes it itself.
                        let told = Outgoing::new(Message::Told(told), app.sender.clone());
                        let _ = to.try_send(told);
                    }
                });
            }
        }
    }
}
