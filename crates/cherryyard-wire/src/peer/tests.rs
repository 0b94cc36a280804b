use super::*;

fn sender() -> Sender {
    Sender {
        label: "a".into(),
        format: 4,
        build: "0.1.0".into(),
    }
}

/// Sections of a kind that is not known are passed over, and what is known is read.
#[test]
fn unknown_sections_are_passed_over() {
    let told = Message::ForwardResponse(ForwardResponse {
        ticket: 1,
        status: 200,
        retry_after: 0,
        body: "{}".into(),
    });
    let sections = Sections(vec![
        (999, vec![1, 2, 3]),
        (MESSAGE_SECTION, bitcode::encode(&told)),
        (SENDER_SECTION, bitcode::encode(&sender())),
        (1000, Vec::new()),
    ]);
    let frame = decode(&versioned(VERSION, bitcode::encode(&sections))).unwrap();
    assert_eq!(frame.message, Some(told));
    assert_eq!(frame.sender, Some(sender()));
    let later = Sections(vec![(999, vec![7])]);
    let frame = decode(&versioned(VERSION, bitcode::encode(&later))).unwrap();
    assert_eq!((frame.message, frame.sender), (None, None));
    let greeted = decode(&greeting(&sender())).unwrap();
    assert_eq!((greeted.message, greeted.sender), (None, Some(sender())));
}

/// A truncated, foreign or random frame is an error, never a panic.
#[test]
fn bad_frames_are_refused() {
    let heartbeat = Message::Heartbeat(Box::new(Heartbeat {
        label: "a".into(),
        cut_off: false,
        silent_ms: 400,
        cancelled: vec![412],
        reach_ms: 60_000,
        complete: false,
        store_revision: 7,
        leases: vec![(0, 3, "a".into())],
        shards: vec![],
        short: vec![],
        handing: vec![],
        misdirected: vec![],
        number: 3,
        heard: vec![(1, 7)],
        shares: vec![],
        intake_ms: 0,
        demand: vec![],
    }));
    for whole in [encode_legacy(&heartbeat), encode(&heartbeat, &sender())] {
        let read = decode(&whole).map(|frame| frame.message);
        assert_eq!(read, Ok(Some(heartbeat.clone())));
        for n in 0..whole.len() {
            assert!(decode(&whole[..n]).is_err(), "{n} bytes");
        }
        let mut foreign = whole.clone();
        foreign[0] = 10;
        let refused = decode(&foreign).map_err(|e| e.to_string());
        assert_eq!(refused, Err("version 10 instead of 8 or 9".into()));
    }
}
