//! Operators' own settings, in HCL.

use cherryyard_core::Tuning;
use cherryyard_core::config::{Admission, ClassShare};
use cherryyard_wire::rules::{Attributes, Group};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// The file's fields; each may be left out.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    autoscale_multi_cluster_delay_s: Option<f64>,
    #[serde(rename = "room_report_s")]
    capacity_report_s: Option<f64>,
    headroom_share: Option<f64>,
    idle_return_s: Option<f64>,
    account: Option<bool>,
    history: Option<bool>,
    history_keep_days: Option<f64>,
    condor: Option<bool>,
    #[serde(default)]
    admission: AdmissionFile,
    /// Attributes of all machines.
    #[serde(default)]
    machines: Group,
    /// Attributes of a type's machines, by type.
    #[serde(default)]
    machine_type: BTreeMap<String, Group>,
    /// Attributes of a zone's machines, by zone.
    #[serde(default)]
    zone: BTreeMap<String, Group>,
}

/// Who is served when not all can be.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct AdmissionFile {
    least_served: Option<f64>,
    share: Option<f64>,
    window_s: Option<f64>,
    turn_s: Option<f64>,
    /// By class.
    #[serde(default)]
    class: BTreeMap<String, ClassFile>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFile {
    weight: Option<f64>,
    least_served: Option<f64>,
    share: Option<f64>,
}

/// A number within its range, or an error that names the field.
fn within(name: &str, x: f64, range: &RangeInclusive<f64>) -> Result<f64, String> {
    if range.contains(&x) {
        return Ok(x);
    }
    let (from, to) = (range.start(), range.end());
    Err(format!("{name}: must be from {from} to {to}"))
}

fn class_share(name: &str, file: &ClassFile, from: ClassShare) -> Result<ClassShare, String> {
    let read = |field: &str, x: Option<f64>, otherwise: f64, range: RangeInclusive<f64>| {
        let x = x.map(|x| within(&format!("{name}.{field}"), x, &range));
        x.unwrap_or(Ok(otherwise))
    };
    Ok(ClassShare {
        weight: read("weight", file.weight, from.weight, 0.01..=100.0)?,
        least: read("least_served", file.least_served, from.least, 0.0..=1.0)?,
        share: read("share", file.share, from.share, 0.0..=1.0)?,
    })
}

fn admission(file: AdmissionFile) -> Result<Admission, String> {
    let mut admission = Admission::default();
    let all = ClassFile {
        weight: None,
        least_served: file.least_served,
        share: file.share,
    };
    admission.all = class_share("admission", &all, admission.all)?;
    if let Some(x) = file.turn_s {
        admission.turn_s = within("admission.turn_s", x, &(1.0..=3600.0))?;
    }
    if let Some(x) = file.window_s {
        admission.window_s = within("admission.window_s", x, &(1.0..=600.0))?;
    }
    for (class, own) in file.class {
        let name = format!("admission.class.{class}");
        let own = class_share(&name, &own, admission.all)?;
        admission.classes.insert(class, own);
    }
    Ok(admission)
}

/// Reads operators' settings; the error names the field.
pub fn parse(text: &str) -> Result<Tuning, String> {
    let file: File = hcl::from_str(text).map_err(|e| e.to_string().replace('\n', " "))?;
    let mut tuning = Tuning::default();
    let mut keep_days = 0.0;
    let fields = [
        (
            "autoscale_multi_cluster_delay_s",
            file.autoscale_multi_cluster_delay_s,
            &mut tuning.autoscale_multi_cluster_delay_s,
            0.0..=3600.0,
        ),
        (
            "room_report_s",
            file.capacity_report_s,
            &mut tuning.capacity_report_s,
            0.5..=60.0,
        ),
        (
            "headroom_share",
            file.headroom_share,
            &mut tuning.headroom_share,
            0.0..=1.0,
        ),
        (
            "idle_return_s",
            file.idle_return_s,
            &mut tuning.idle_return_s,
            10.0..=86_400.0,
        ),
        (
            "history_keep_days",
            file.history_keep_days,
            &mut keep_days,
            0.0..=36_500.0,
        ),
    ];
    for (name, value, place, range) in fields {
        if let Some(x) = value {
            *place = within(name, x, &range)?;
        }
    }
    tuning.history_keep_days = keep_days as u32;
    tuning.history = file.history.unwrap_or(tuning.history);
    tuning.account = file.account.unwrap_or(tuning.account);
    tuning.condor = file.condor.unwrap_or(tuning.condor);
    tuning.admission = admission(file.admission)?;
    tuning.attributes = Attributes {
        all: file.machines,
        machine_types: file.machine_type,
        zones: file.zone,
    };
    tuning.attributes.check().map_err(|e| e.to_string())?;
    Ok(tuning)
}

#[cfg(test)]
mod tests {
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
        let error = parse("machine_type \"g8\" { Cpus = 3 }").unwrap_err();
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
        let error = |text: &str| parse(text).unwrap_err();
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
        .map(|text| parse(text).unwrap_err())
        .collect();
        assert_eq!(errors[0], "headroom_share: must be from 0 to 1");
        assert!(errors[1].contains("much"), "{}", errors[1]);
        assert!(errors[2].contains("head_room"), "{}", errors[2]);
        assert!(!errors[3].contains('\n'), "{}", errors[3]);
    }
}
