use super::*;
use serde_json::{Value, json};

fn valid_submission() -> Value {
    json!({
        "id": "j-000412", "jobclass": "train", "owner": "vision", "shape": "sweep",
        "rank": "high", "pieces": 16, "cores": 8.0, "accelerators": 0, "ram_gb": 64.0,
        "bundle": "img-07", "image_gb": 6.2, "kinds_of_host": null, "together": false,
        "apart": false, "borrowed": true, "expected_s": 0.0, "snapshot_every_s": 0,
        "snapshot_cost_s": 0, "due_s": null, "colour": "ignored"
    })
}

/// A malformed submission is refused, and the error names the field, whether its value is of the
/// wrong type, out of bounds or missing.
#[test]
fn errors_of_malformed_submissions_name_the_field() {
    assert!(JobSpec::parse(valid_submission().to_string().as_bytes()).is_ok());
    let cases = [
        ("id", json!("job-1")),
        ("id", json!("j-12")),
        ("id", json!("j-0000412")),
        ("id", json!(null)),
        ("shape", json!("gang")),
        ("rank", json!("urgent")),
        ("pieces", json!(0)),
        ("pieces", json!(100_001)),
        ("pieces", json!(-1)),
        ("pieces", json!(1.5)),
        ("cores", json!(0)),
        ("cores", json!(-2.0)),
        ("cores", json!("8")),
        ("ram_gb", json!(-1)),
        ("image_gb", json!(-0.1)),
        ("expected_s", json!(-1)),
        ("due_s", json!(-5)),
        ("due_s", json!("soon")),
        ("together", json!(1)),
        ("kinds_of_host", json!(["g8", 3])),
        ("bundle", json!("")),
        ("owner", json!("x".repeat(201))),
    ];
    for (field, value) in cases {
        let mut body = valid_submission();
        body[field] = value.clone();
        let error = JobSpec::parse(body.to_string().as_bytes())
            .unwrap_err()
            .to_string();
        assert!(error.contains(field), "{field} = {value}: {error}");
        let mut without = valid_submission();
        without.as_object_mut().unwrap().remove(field);
        let missing = JobSpec::parse(without.to_string().as_bytes());
        let optional = matches!(field, "due_s" | "kinds_of_host");
        assert_eq!(missing.is_ok(), optional, "without {field}");
    }
    for text in [
        "",
        "[]",
        "7",
        "{",
        "null",
        "[\"j-000412\"]",
        "{\"cores\":1e999}",
    ] {
        assert!(JobSpec::parse(text.as_bytes()).is_err(), "{text}");
    }
}
