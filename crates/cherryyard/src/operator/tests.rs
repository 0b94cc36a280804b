use super::parse;

/// Attributes by type and zone are blocks with a label.
#[test]
fn attributes_are_blocks() {
    let text = r#"
            condor = true
            machines { OpSys = "LINUX" }
            machine_type "g8" {
              Software = ["ledger-4", "solver"]
              Licensed = true
            }
            zone "lahore-east" { Department = "posting" }
        "#;
    let t = parse(text).unwrap();
    assert!(t.condor && t.attributes.all["OpSys"] == "LINUX");
    assert_eq!(t.attributes.machine_types["g8"]["Licensed"], true);
    assert_eq!(t.attributes.zones["lahore-east"]["Department"], "posting");
    let error = parse("machine_type \"g8\" { Cpus = 3 }")
        .unwrap_err()
        .to_string();
    assert!(error.contains("Cpus of g8"), "{error}");
}

/// Floors and weights are checked, each by its name.
#[test]
fn admission_is_checked() {
    let text = r#"
            admission {
              least_served = 0.5
              class "calendar-api" {
                weight = 2
                least_served = 0.8
              }
              class "street-rebuild" { weight = 3 }
            }
        "#;
    let a = parse(text).unwrap().admission;
    let of = |class: &str| (a.of(class).weight, a.of(class).least, a.of(class).share);
    assert_eq!((a.all.least, a.window_s), (0.5, 30.0));
    assert_eq!(of("calendar-api"), (2.0, 0.8, 0.25));
    assert_eq!(of("street-rebuild"), (3.0, 0.5, 0.25));
    assert_eq!(of("another"), (1.0, 0.5, 0.25));
    let error = |text: &str| parse(text).unwrap_err().to_string();
    assert_eq!(
        error("admission {\nclass \"x\" {\nweight = 0\n}\n}"),
        "admission.class.x.weight: must be from 0.01 to 100"
    );
    assert!(error("admission { least = 0.5 }").contains("least"));
    assert!(error("admission { window_s = 0 }").contains("window_s"));
}

/// Errors name the field; what is left out keeps its default.
#[test]
fn hcl_is_checked() {
    let t = parse("headroom_share = 0.5\nroom_report_s = 2\n").unwrap();
    assert_eq!(
        (t.headroom_share, t.capacity_report_s, t.idle_return_s),
        (0.5, 2.0, 150.0)
    );
    let errors: Vec<String> = [
        "headroom_share = 2",
        "headroom_share = \"much\"",
        "head_room = 1",
        "headroom_share = = 1",
    ]
    .iter()
    .map(|text| parse(text).unwrap_err().to_string())
    .collect();
    assert_eq!(errors[0], "headroom_share: must be from 0 to 1");
    assert!(errors[1].contains("much"), "{}", errors[1]);
    assert!(errors[2].contains("head_room"), "{}", errors[2]);
    assert!(!errors[3].contains('\n'), "{}", errors[3]);
}
