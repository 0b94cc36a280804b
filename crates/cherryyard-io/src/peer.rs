//! Messages between controllers, over length-delimited frames.

use bytes::Bytes;
use cherryyard_wire::peer::{MAX_FRAME, Message, decode};
use futures_util::{FutureExt, SinkExt, StreamExt};
use std::net::SocketAddr;
use std::sync::Arc;
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

/// Sends each new beat, and other messages, to the controller at `addr`, for ever. Makes
/// the connection `anew` when told so: one whose other end is gone without a word takes
/// what is written for a minute or more.
pub async fn send(
    addr: SocketAddr,
    mut beats: watch::Receiver<Bytes>,
    mut others: mpsc::Receiver<Bytes>,
    anew: Arc<Notify>,
) {
    loop {
        let connect = tokio::time::timeout(Duration::from_millis(1000), TcpStream::connect(addr));
        if let Ok(Ok(stream)) = connect.await {
            let mut frames = framed(stream);
            // Nobody waits any more for what came while there was no connection.
            while others.try_recv().is_ok() {}
            beats.mark_changed();
            // What was said of the connection before.
            let _ = anew.notified().now_or_never();
            loop {
                let next = tokio::select! {
                    () = anew.notified() => break,
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

#[cfg(test)]
mod tests {
    use super::*;

    /// A connection whose other end says nothing and closes nothing is made anew when
    /// that is asked for, once for each time.
    #[test]
    fn a_dead_connection_is_made_anew() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let addr = listener.local_addr().expect("its address");
            let (_beats, beat) = watch::channel(Bytes::from_static(b"beat"));
            let (_others, other) = mpsc::channel(1);
            let anew = Arc::new(Notify::new());
            tokio::spawn(send(addr, beat, other, anew.clone()));
            let mut held = Vec::new();
            for _ in 0..3 {
                let (stream, _) = listener.accept().await.expect("a connection");
                let mut frames = framed(stream);
                let first = frames.next().await.expect("a frame").expect("a good frame");
                assert_eq!(&first[..], b"beat", "told at once what is newest");
                held.push(frames);
                anew.notify_one();
            }
        });
    }
}
