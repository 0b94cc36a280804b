//! Messages between controllers, over length-delimited frames.

use bytes::Bytes;
use cherryyard_wire::peer::{MAX_FRAME, Message, decode};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, watch};
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

/// Sends each new beat, and other messages, to the controller at `addr`, for ever.
pub async fn send(
    addr: SocketAddr,
    mut beats: watch::Receiver<Bytes>,
    mut others: mpsc::Receiver<Bytes>,
) {
    loop {
        let connect = tokio::time::timeout(Duration::from_millis(1000), TcpStream::connect(addr));
        if let Ok(Ok(stream)) = connect.await {
            let mut frames = framed(stream);
            // Nobody waits any more for what came while there was no connection.
            while others.try_recv().is_ok() {}
            beats.mark_changed();
            loop {
                let next = tokio::select! {
                    changed = beats.changed() => match changed {
                        Ok(()) => beats.borrow_and_update().clone(),
                        Err(_) => return,
                    },
                    other = others.recv() => match other {
                        Some(message) => message,
                        None => return,
                    },
                };
                if next.is_empty() {
                    continue;
                }
                let sent = tokio::time::timeout(Duration::from_millis(1500), frames.send(next));
                if !matches!(sent.await, Ok(Ok(()))) {
                    break;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Takes messages from whoever connects; a bad frame ends its connection.
pub async fn take(listener: TcpListener, take: impl Fn(Message) + Clone + Send + 'static) {
    let slots = std::sync::Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            continue;
        };
        let take = take.clone();
        tokio::spawn(async move {
            let mut frames = framed(stream);
            while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE, frames.next()).await {
                match decode(&frame) {
                    Ok(message) => take(message),
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
