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

/// Time without a frame after which a connection is dropped.
const IDLE: Duration = Duration::from_secs(6);
/// Connections taken at once.
const MAX_CONNECTIONS: usize = 32;

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream)
}

/// A message on its way to other controllers, encoded once for each version of frames
/// that they read.
#[derive(Debug)]
pub struct Outgoing {
    message: Message,
    sender: Arc<Sender>,
    legacy: OnceLock<Bytes>,
    current: OnceLock<Bytes>,
}

impl Outgoing {
    /// A message of this controller.
    pub fn new(message: Message, sender: Arc<Sender>) -> Arc<Self> {
        Arc::new(Self {
            message,
            sender,
            legacy: OnceLock::new(),
            current: OnceLock::new(),
        })
    }

    /// The frame's payload, for who has been greeted with version 9 or not.
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
pub type Heartbeats = watch::Receiver<Option<Arc<Outgoing>>>;

/// Whether a frame that came back on our own connection is a greeting.
fn is_greeting(payload: &[u8]) -> bool {
    payload.first() == Some(&VERSION) && decode(payload).is_ok_and(|frame| frame.sender.is_some())
}

/// Sends each new heartbeat, and other messages, to the controller at `addr`, for ever. Makes
/// the connection `anew` when told so: one whose other end is gone without a word takes
/// what is written for a minute or more.
pub async fn send(
    addr: SocketAddr,
    mut heartbeats: Heartbeats,
    mut others: mpsc::Receiver<Arc<Outgoing>>,
    anew: Arc<Notify>,
) {
    loop {
        let connect = tokio::time::timeout(Duration::from_millis(1000), TcpStream::connect(addr));
        if let Ok(Ok(stream)) = connect.await {
            let mut frames = framed(stream);
            // Nobody waits any more for what came while there was no connection.
            while others.try_recv().is_ok() {}
            heartbeats.mark_changed();
            // What was said of the connection before.
            let _ = anew.notified().now_or_never();
            let mut greeted = false;
            loop {
                let next = tokio::select! {
                    () = anew.notified() => break,
                    changed = heartbeats.changed() => match changed {
                        Ok(()) => heartbeats.borrow_and_update().clone(),
                        Err(_) => return,
                    },
                    other = others.recv() => match other {
                        Some(message) => Some(message),
                        None => return,
                    },
                    back = frames.next() => match back {
                        Some(Ok(payload)) => {
                            greeted |= is_greeting(&payload);
                            continue;
                        }
                        // The other end has closed the connection.
                        Some(Err(_)) | None => break,
                    },
                };
                let Some(next) = next else { continue };
                let payload = next.payload(greeted);
                let sent = tokio::time::timeout(Duration::from_millis(1500), frames.send(payload));
                if !matches!(sent.await, Ok(Ok(()))) {
                    break;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Greets whoever connects, and takes frames from there; a bad frame ends its
/// connection.
pub async fn take(
    listener: TcpListener,
    sender: Arc<Sender>,
    take: impl Fn(Frame) + Clone + Send + 'static,
) {
    let greeting = Bytes::from(greeting(&sender));
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        let take = take.clone();
        let greeting = greeting.clone();
        tokio::spawn(async move {
            let mut frames = framed(stream);
            // A few bytes into an empty buffer: this waits for nobody.
            if frames.send(greeting).await.is_err() {
                return;
            }
            while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE, frames.next()).await {
                match decode(&frame) {
                    Ok(frame) => take(frame),
                    Err(e) => {
                        tracing::warn!(%from, "dropped a controller's connection: {e}");
                        break;
                    }
                }
            }
            drop(slot);
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use cherryyard_wire::peer::ForwardResponse;

    /// A connection whose other end says nothing and closes nothing is made anew when
    /// that is asked for, once for each time. On each the other end is spoken to as one
    /// of an earlier build until it greets.
    #[test]
    fn a_dead_connection_is_made_anew() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("its address");
            let message = Message::ForwardResponse(ForwardResponse {
                ticket: 7,
                status: 200,
                retry_after: 0,
                body: String::new(),
            });
            let sender = Arc::new(Sender {
                label: "a".into(),
                format: 4,
                build: "test".into(),
            });
            let first = Outgoing::new(message.clone(), sender.clone());
            let (heartbeats, heartbeat) = watch::channel(Some(first));
            let (_others, other) = mpsc::channel(1);
            let anew = Arc::new(Notify::new());
            tokio::spawn(send(addr, heartbeat, other, anew.clone()));
            let mut held = Vec::new();
            for _ in 0..3 {
                let (stream, _) = listener.accept().await.expect("a connection");
                let mut frames = framed(stream);
                let first = frames.next().await.expect("a frame").expect("a good frame");
                let read = decode(&first).expect("a known version");
                assert_eq!(read.message.as_ref(), Some(&message), "told at once");
                assert_eq!(
                    read.sender, None,
                    "not greeted yet, so as earlier builds read"
                );
                // This one greets.
                let hello = Bytes::from(greeting(&sender));
                frames.send(hello).await.expect("a greeting");
                tokio::time::sleep(Duration::from_millis(50)).await;
                let next = Outgoing::new(message.clone(), sender.clone());
                heartbeats.send(Some(next)).expect("a listener");
                let next = frames.next().await.expect("a frame").expect("a good frame");
                let read = decode(&next).expect("a known version");
                assert_eq!(read.sender.as_ref(), Some(&*sender), "greeted");
                held.push(frames);
                anew.notify_one();
            }
        });
    }
}
