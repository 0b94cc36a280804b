//! What comes from other controllers.

use crate::app::{App, wall_ms};
use crate::routes;
use bytes::Bytes;
use cherryyard_wire::peer::{Message, encode};
use std::sync::Arc;

/// Age at which a submission passed on is not carried out any more.
const ASK_STALE_MS: f64 = 5000.0;

impl App {
    /// Takes another controller's message.
    pub fn take_message(self: &Arc<Self>, message: Message) {
        match message {
            Message::Beat(beat) => self.with(|n, now| n.beat_in(*beat, now)),
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
                        let _ = to.try_send(Bytes::from(encode(&Message::Told(told))));
                    }
                });
            }
        }
    }
}
