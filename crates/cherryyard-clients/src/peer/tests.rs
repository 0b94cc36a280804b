use super::*;
use cherryyard_wire::peer::ForwardResponse;

/// Guards against a sender that keeps using a dead connection, whose other end neither responds nor
/// closes it: each signal to reconnect must open exactly one new connection. On each connection,
/// frames must be in the format of earlier builds until the other end has sent a greeting.
#[test]
fn a_dead_connection_is_replaced_on_a_signal() {
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
        let mut open_connections = Vec::new();
        for _ in 0..3 {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut frames = framed(stream);
            let first = frames.next().await.expect("a frame").expect("a good frame");
            let received = decode(&first).expect("a known version");
            assert_eq!(
                received.message.as_ref(),
                Some(&message),
                "the newest heartbeat is sent at once"
            );
            assert_eq!(
                received.sender, None,
                "no greeting received yet, so in the format of earlier builds"
            );
            // The other end sends its greeting.
            let greeting_payload = Bytes::from(greeting(&sender));
            frames.send(greeting_payload).await.expect("a greeting");
            tokio::time::sleep(Duration::from_millis(50)).await;
            let next = OutgoingMessage::new(message.clone(), sender.clone());
            heartbeats.send(Some(next)).expect("a listener");
            let next = frames.next().await.expect("a frame").expect("a good frame");
            let received = decode(&next).expect("a known version");
            assert_eq!(received.sender.as_ref(), Some(&*sender), "greeted");
            open_connections.push(frames);
            reconnect.notify_one();
        }
    });
}
