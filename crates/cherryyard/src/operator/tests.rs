use super::parse;
use cherryyard_core::command_log::CommandTrace;

/// Guards against attributes that are lost or assigned to the wrong machine type or zone: both
/// are given as blocks with a label. Attributes that every machine has cannot be set.
#[test]
fn attributes_are_read_from_labelled_blocks() {
    let text = r#"
            condor = true
            machines { OpSys = "LINUX" }
            machine_type "g8" {
              Software = ["ledger-4", "solver"]
              Licensed = true
            }
            zone "lahore-east" { Department = "posting" }
        "#;
    let tuning = parse(text).unwrap();
    assert!(tuning.condor && tuning.attributes.all["OpSys"] == "LINUX");
    assert_eq!(tuning.attributes.machine_types["g8"]["Licensed"], true);
    assert_eq!(
        tuning.attributes.zones["lahore-east"]["Department"],
        "posting"
    );
    let error = parse("machine_type \"g8\" { Cpus = 3 }")
        .unwrap_err()
        .to_string();
    assert!(error.contains("Cpus of g8"), "{error}");
}

/// Guards against admission settings out of range or of a wrong name, whose errors must name the
/// field, and against wrong defaults of classes.
#[test]
fn admission_settings_are_checked() {
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
    let admission = parse(text).unwrap().admission;
    let of = |class: &str| {
        (
            admission.of(class).weight,
            admission.of(class).least_served,
            admission.of(class).max_share,
        )
    };
    assert_eq!(
        (admission.default_class.least_served, admission.window_s),
        (0.5, 30.0)
    );
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

/// Guards against errors that do not name the field or span several lines, and against wrong
/// defaults of fields that are left out.
#[test]
fn hcl_errors_name_the_field() {
    let tuning = parse("headroom_share = 0.5\nroom_report_s = 2\n").unwrap();
    assert_eq!(
        (
            tuning.headroom_share,
            tuning.capacity_report_s,
            tuning.idle_return_s
        ),
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

/// Guards against a trace block that names no valid job, or is ignored.
#[test]
fn the_trace_block_names_machines_and_jobs() {
    let trace = |text: &str| parse(text).map(|tuning| tuning.command_trace);
    assert_eq!(trace("").unwrap(), CommandTrace::default());
    let both = "trace {\nmachines = [\"host-000091\"]\njobs = [\"j-850998\"]\n}";
    let both = trace(both).unwrap();
    assert_eq!(both.machines, ["host-000091".to_string()].into());
    assert_eq!(both.jobs, [850_998].into());
    assert_eq!(
        trace("trace { jobs = [\"850998\"] }")
            .unwrap_err()
            .to_string(),
        "trace.jobs: `850998` is not a job id such as j-000412"
    );
}
