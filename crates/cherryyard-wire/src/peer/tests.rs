use super::*;

fn sender() -> Sender {
    Sender {
        label: "a".into(),
        format: 4,
        build: "0.1.0".into(),
    }
}

/// Sections of unknown kinds are skipped, and those of known kinds are read, so that this build
/// can read the frames of later builds, which may add sections.
#[test]
fn unknown_sections_are_skipped() {
    let response = Message::ForwardResponse(ForwardResponse {
        ticket: 1,
        status: 200,
        retry_after: 0,
        body: "{}".into(),
    });
    let sections = Sections(vec![
        (999, vec![1, 2, 3]),
        (MESSAGE_SECTION, bitcode::encode(&response)),
        (SENDER_SECTION, bitcode::encode(&sender())),
        (1000, Vec::new()),
    ]);
    let frame = decode(&with_version(VERSION, bitcode::encode(&sections))).unwrap();
    assert_eq!(frame.message, Some(response));
    assert_eq!(frame.sender, Some(sender()));
    let unknown_only = Sections(vec![(999, vec![7])]);
    let frame = decode(&with_version(VERSION, bitcode::encode(&unknown_only))).unwrap();
    assert_eq!((frame.message, frame.sender), (None, None));
    let greeting_frame = decode(&greeting(&sender())).unwrap();
    assert_eq!(
        (greeting_frame.message, greeting_frame.sender),
        (None, Some(sender()))
    );
}

/// A truncated frame, or one of an unknown version, is an error and not a panic, and an intact one
/// is read, in both versions. Guards against a controller that crashes on a peer's faulty data.
#[test]
fn malformed_frames_are_refused() {
    let heartbeat = Message::Heartbeat(Box::new(Heartbeat {
        label: "a".into(),
        cut_off: false,
        silent_ms: 400,
        cancelled: vec![412],
        cancellations_cover_ms: 60_000,
        all_cancellations_known: false,
        store_revision: 7,
        leases: vec![(0, 3, "a".into())],
        shards: vec![],
        teams_short_of_grants: vec![],
        handover_candidates: vec![],
        misdirected_workers: vec![],
        number: 3,
        last_received_numbers: vec![(1, 7)],
        fair_share_grants: vec![],
        longest_submission_wait_ms: 0,
        demand: vec![],
    }));
    for payload in [encode_legacy(&heartbeat), encode(&heartbeat, &sender())] {
        let read = decode(&payload).map(|frame| frame.message);
        assert_eq!(read, Ok(Some(heartbeat.clone())));
        for n in 0..payload.len() {
            assert!(decode(&payload[..n]).is_err(), "{n} bytes");
        }
        let mut other_version = payload.clone();
        other_version[0] = 10;
        let refused = decode(&other_version).map_err(|e| e.to_string());
        assert_eq!(
            refused,
            Err("unsupported frame version 10, expected 8 or 9".into())
        );
    }
}
