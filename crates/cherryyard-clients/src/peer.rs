//! Messages between controllers, over length-delimited frames.

use bytes::Bytes;
use cherryyard_wire::peer::{
    Frame, MAX_FRAME, Message, Sender, VERSION, decode, encode, encode_legacy, greeting,
};
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, mpsc, watch};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Time without a frame after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Connections that are accepted at once.
const MAX_CONNECTIONS: usize = 32;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of writing one frame.
const SEND_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause between two connections to the same controller.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream)
}

/// A message on its way to other controllers, encoded once for each version of frames
/// that they read.
#[derive(Debug)]
pub struct OutgoingMessage {
    message: Message,
    sender: Arc<Sender>,
    legacy: OnceLock<Bytes>,
    current: OnceLock<Bytes>,
}

impl OutgoingMessage {
    /// A message of this controller.
    pub fn new(message: Message, sender: Arc<Sender>) -> Arc<Self> {
        Arc::new(Self {
            message,
            sender,
            legacy: OnceLock::new(),
            current: OnceLock::new(),
        })
    }

    /// The frame's payload: with sections where the receiver has greeted, else as earlier
    /// builds read it.
    fn payload(&self, greeted: bool) -> Bytes {
        let payload = if greeted {
            self.current
                .get_or_init(|| encode(&self.message, &self.sender).into())
        } else {
            self.legacy
                .get_or_init(|| encode_legacy(&self.message).into())
        };
        payload.clone()
    }
}

/// The newest heartbeat, once there is one.
pub type Heartbeats = watch::Receiver<Option<Arc<OutgoingMessage>>>;

/// Whether a frame that came back on our own connection is a greeting.
fn is_greeting(payload: &[u8]) -> bool {
    payload.first() == Some(&VERSION) && decode(payload).is_ok_and(|frame| frame.sender.is_some())
}

/// Sends each new heartbeat, and other messages, to the controller at `addr`, for ever.
/// Opens a new connection on `reconnect`: one whose other end is gone without closing it
/// accepts writes for a minute or more.
pub async fn send(
    addr: SocketAddr,
    mut heartbeats: Heartbeats,
    mut others: mpsc::Receiver<Arc<OutgoingMessage>>,
    reconnect: Arc<Notify>,
) {
    loop {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        if let Ok(Ok(stream)) = connect.await {
            // Nobody waits any more for what was queued while there was no connection.
            while others.try_recv().is_ok() {}
            heartbeats.mark_changed();
            // A request to reconnect meant the connection before this one.
            let _ = reconnect.notified().now_or_never();
            let end = serve_connection(stream, &mut heartbeats, &mut others, &reconnect).await;
            if end == ConnectionEnd::NoMoreMessages {
                return;
            }
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Why a connection to another controller is not used any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// It failed, was closed, or is to be replaced.
    Lost,
    /// This process has stopped sending messages.
    NoMoreMessages,
}

/// Sends messages on one connection until it ends.
async fn serve_connection(
    stream: TcpStream,
    heartbeats: &mut Heartbeats,
    others: &mut mpsc::Receiver<Arc<OutgoingMessage>>,
    reconnect: &Notify,
) -> ConnectionEnd {
    let mut frames = framed(stream);
    let mut greeted = false;
    loop {
        let next = tokio::select! {
            () = reconnect.notified() => return ConnectionEnd::Lost,
            changed = heartbeats.changed() => match changed {
                Ok(()) => heartbeats.borrow_and_update().clone(),
                Err(_) => return ConnectionEnd::NoMoreMessages,
            },
            other = others.recv() => match other {
                Some(message) => Some(message),
                None => return ConnectionEnd::NoMoreMessages,
            },
            received = frames.next() => match received {
                Some(Ok(payload)) => {
                    greeted |= is_greeting(&payload);
                    continue;
                }
                // The other end has closed the connection.
                Some(Err(_)) | None => return ConnectionEnd::Lost,
            },
        };
        let Some(next) = next else { continue };
        let payload = next.payload(greeted);
        let sent = tokio::time::timeout(SEND_TIMEOUT, frames.send(payload)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return ConnectionEnd::Lost;
        }
    }
}

/// Greets every controller that connects, and hands its frames to `on_frame`; an invalid
/// frame ends its connection.
pub async fn receive(
    listener: TcpListener,
    sender: Arc<Sender>,
    on_frame: impl Fn(Frame) + Clone + Send + 'static,
) {
    let greeting = Bytes::from(greeting(&sender));
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        let on_frame = on_frame.clone();
        let greeting = greeting.clone();
        tokio::spawn(async move {
            let mut frames = framed(stream);
            // A few bytes into an empty buffer: this waits for nobody.
            if frames.send(greeting).await.is_err() {
                return;
            }
            while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE_TIMEOUT, frames.next()).await
            {
                match decode(&frame) {
                    Ok(frame) => on_frame(frame),
                    Err(e) => {
                        tracing::warn!(%from, "controller connection closed for an invalid frame: {e}");
                        break;
                    }
                }
            }
            drop(slot);
        });
    }
}

#[cfg(test)]
mod tests;
