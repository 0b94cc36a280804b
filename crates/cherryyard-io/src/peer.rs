//! Beats between controllers, over length-delimited frames.

use bytes::Bytes;
use cherryyard_wire::peer::{Beat, MAX_FRAME, decode};
use futures_util::{SinkExt, StreamExt};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
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

/// Sends each new beat to the controller at `addr`, for ever.
pub async fn send_beats(addr: SocketAddr, mut beats: watch::Receiver<Bytes>) {
    loop {
        let connect = tokio::time::timeout(Duration::from_millis(1000), TcpStream::connect(addr));
        if let Ok(Ok(stream)) = connect.await {
            let mut frames = framed(stream);
            loop {
                let beat = beats.borrow_and_update().clone();
                if !beat.is_empty() {
                    let sent = tokio::time::timeout(Duration::from_millis(1500), frames.send(beat));
                    if !matches!(sent.await, Ok(Ok(()))) {
                        break;
                    }
                }
                if beats.changed().await.is_err() {
                    return;
                }
            }
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}

/// Takes beats from whoever connects; a bad frame ends its connection.
pub async fn take_beats(listener: TcpListener, take: impl Fn(Beat) + Clone + Send + 'static) {
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
                    Ok(beat) => take(beat),
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
