use super::*;

/// Invalid names and values of custom machine attributes are refused, and the error names the
/// attribute and its group.
#[test]
fn attributes_are_checked() {
    let read = |text: &str| serde_json::from_str::<Attributes>(text).unwrap().check();
    assert_eq!(read(r#"{"all":{"OpSys":"LINUX","Slots":[1,2]}}"#), Ok(()));
    for (text, message) in [
        (r#"{"all":{"a b":1}}"#, "attribute a b of all: not a name"),
        (r#"{"kinds":{"g8":{"zone":"a"}}}"#, "zone of g8: every"),
        (r#"{"zones":{"a":{"Rack":null}}}"#, "Rack of a: must be"),
        (r#"{"zones":{"a":{"Rack":[[1]]}}}"#, "Rack of a: must be"),
    ] {
        let error = read(text).unwrap_err().to_string();
        assert!(error.contains(message), "{text}: {error}");
    }
}
