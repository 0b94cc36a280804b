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
        let first = OutgoingMessage::new(message.clone(), sender.clone());
        let (heartbeats, heartbeat) = watch::channel(Some(first));
        let (_others, other) = mpsc::channel(1);
        let reconnect = Arc::new(Notify::new());
        tokio::spawn(send(addr, heartbeat, other, reconnect.clone()));
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
            let next = OutgoingMessage::new(message.clone(), sender.clone());
            heartbeats.send(Some(next)).expect("a listener");
            let next = frames.next().await.expect("a frame").expect("a good frame");
            let read = decode(&next).expect("a known version");
            assert_eq!(read.sender.as_ref(), Some(&*sender), "greeted");
            held.push(frames);
            reconnect.notify_one();
        }
    });
}
