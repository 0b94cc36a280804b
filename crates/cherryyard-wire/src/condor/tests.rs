use super::*;
use serde_json::json;

fn template() -> serde_json::Value {
    json!({ "spec": { "id": NO_ID, "jobclass": "condor", "owner": "posting",
        "shape": "sweep", "rank": "standard", "pieces": 1, "cores": 1.0,
        "accelerators": 0.0, "ram_gb": 1.0, "bundle": "img", "image_gb": 0.0,
        "together": false, "apart": false, "borrowed": false, "expected_s": 0.0,
        "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0 } })
}

/// A malformed chunk is refused, and the error names the field. Guards against checks that are
/// missing, and against errors with the wrong path.
#[test]
fn errors_of_malformed_chunks_name_the_field() {
    let valid = json!({ "name": "june", "chunk": 0, "of": 2, "t": [template()],
        "r": [[0, 3, 20_000]] });
    let post = ChunkPost::parse(valid.to_string().as_bytes()).unwrap();
    assert_eq!(post.jobs.jobs(), 20_000);
    for (field, value) in [
        ("name", json!("a b")),
        ("name", json!("")),
        ("chunk", json!(2)),
        ("of", json!(5000)),
        ("r", json!([])),
        ("r", json!([[1, 1, 1]])),
        ("r", json!([[0, 0, 1]])),
        ("r", json!([[0, 1, 4_000_000_000u32]])),
        ("t", json!([7])),
    ] {
        let mut body = valid.clone();
        body[field] = value.clone();
        let error = ChunkPost::parse(body.to_string().as_bytes())
            .unwrap_err()
            .to_string();
        assert!(error.contains(field), "{field} = {value}: {error}");
    }
    let mut with_id = valid.clone();
    with_id["t"][0]["spec"]["id"] = json!("j-000412");
    let error = ChunkPost::parse(with_id.to_string().as_bytes())
        .unwrap_err()
        .to_string();
    assert!(error.contains("t[0].id"), "{error}");
}

/// No event moves an accepted submission to a phase in which its jobs are lost, or a removed
/// one back to a phase in which jobs are created.
#[test]
fn phases_only_go_forward() {
    use PhaseEvent::*;
    let events = [Accepted, Abandoned, LastCreated, Removed, AllJobsEnded];
    for event in events {
        for final_phase in [Phase::Cancelled, Phase::Dropped] {
            assert_eq!(final_phase.after(event), final_phase);
        }
        for accepted in [Phase::Creating, Phase::Created, Phase::Cancelling] {
            assert!(!matches!(
                accepted.after(event),
                Phase::Dropped | Phase::Receiving
            ));
        }
        assert_ne!(Phase::Cancelling.after(event), Phase::Created);
    }
}
