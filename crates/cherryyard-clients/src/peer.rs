//! Exchange of messages between controllers as length-delimited frames over TCP.

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

/// Time without a frame after which the receiver closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Most incoming connections that are served at once.
const MAX_CONNECTIONS: usize = 32;
/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout of writing one frame.
const SEND_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause between two connection attempts to the same controller.
const RECONNECT_PAUSE: Duration = Duration::from_millis(300);
/// Pause after an incoming connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Wraps a connection in a codec for frames of at most [`MAX_FRAME`] bytes.
fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream)
}

/// A message to other controllers, encoded at most once for each version of frames that they
/// read.
#[derive(Debug)]
pub struct OutgoingMessage {
    message: Message,
    sender: Arc<Sender>,
    /// Payload that earlier builds read.
    legacy: OnceLock<Bytes>,
    /// Payload of the current version of frames.
    current: OnceLock<Bytes>,
}

impl OutgoingMessage {
    /// Returns a message of this controller, which `sender` describes.
    pub fn new(message: Message, sender: Arc<Sender>) -> Arc<Self> {
        Arc::new(Self {
            message,
            sender,
            legacy: OnceLock::new(),
            current: OnceLock::new(),
        })
    }

    /// Returns the frame's payload: of the current version, with sections, if the receiver has sent
    /// a greeting, else in the format that earlier builds read.
    fn payload(&self, greeting_received: bool) -> Bytes {
        let payload = if greeting_received {
            self.current
                .get_or_init(|| encode(&self.message, &self.sender).into())
        } else {
            self.legacy
                .get_or_init(|| encode_legacy(&self.message).into())
        };
        payload.clone()
    }
}

/// Channel with this controller's newest heartbeat; none until there is one.
pub type Heartbeats = watch::Receiver<Option<Arc<OutgoingMessage>>>;

/// Returns whether a frame received on an outgoing connection is a greeting.
fn is_greeting(payload: &[u8]) -> bool {
    payload.first() == Some(&VERSION) && decode(payload).is_ok_and(|frame| frame.sender.is_some())
}

/// Sends each new heartbeat and the messages in `others` to the controller at `addr` until a
/// channel is closed. Opens a new connection when `reconnect` is signalled: if the other end is
/// gone without closing the connection, writes to it succeed for a minute or more.
pub async fn send(
    addr: SocketAddr,
    mut heartbeats: Heartbeats,
    mut others: mpsc::Receiver<Arc<OutgoingMessage>>,
    reconnect: Arc<Notify>,
) {
    loop {
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        if let Ok(Ok(stream)) = connect.await {
            // Drops messages queued while there was no connection: their senders no longer wait for
            // a response.
            while others.try_recv().is_ok() {}
            heartbeats.mark_changed();
            // A pending signal to reconnect refers to the previous connection.
            let _ = reconnect.notified().now_or_never();
            let end = serve_connection(stream, &mut heartbeats, &mut others, &reconnect).await;
            if end == ConnectionEnd::NoMoreMessages {
                return;
            }
        }
        tokio::time::sleep(RECONNECT_PAUSE).await;
    }
}

/// Reason why a connection to another controller is no longer used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// The connection failed, was closed, or is to be replaced.
    Lost,
    /// A channel of outgoing messages is closed: this process sends no more.
    NoMoreMessages,
}

/// Sends messages on one connection until it ends; returns why it ended.
async fn serve_connection(
    stream: TcpStream,
    heartbeats: &mut Heartbeats,
    others: &mut mpsc::Receiver<Arc<OutgoingMessage>>,
    reconnect: &Notify,
) -> ConnectionEnd {
    let mut frames = framed(stream);
    let mut greeting_received = false;
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
                    greeting_received |= is_greeting(&payload);
                    continue;
                }
                // The connection failed, or the other end has closed it.
                Some(Err(_)) | None => return ConnectionEnd::Lost,
            },
        };
        let Some(next) = next else { continue };
        let payload = next.payload(greeting_received);
        let sent = tokio::time::timeout(SEND_TIMEOUT, frames.send(payload)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return ConnectionEnd::Lost;
        }
    }
}

/// Accepts connections from other controllers, sends each a greeting, and passes the received
/// frames to `on_frame`. An invalid frame closes its connection.
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
            // The greeting is a few bytes and the socket's buffer is empty, so this does not block.
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
