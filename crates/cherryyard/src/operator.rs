//! Operators' own settings, in HCL.

use cherryyard_core::Tuning;
use cherryyard_wire::rules::{Attributes, Group};
use serde::Deserialize;
use std::collections::BTreeMap;

/// The file's fields; each may be left out.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    autoscale_multi_cluster_delay_s: Option<f64>,
    room_report_s: Option<f64>,
    headroom_share: Option<f64>,
    idle_return_s: Option<f64>,
    account: Option<bool>,
    history: Option<bool>,
    history_keep_days: Option<f64>,
    condor: Option<bool>,
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
            file.room_report_s,
            &mut tuning.room_report_s,
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
            if !range.contains(&x) {
                return Err(format!(
                    "{name}: must be from {} to {}",
                    range.start(),
                    range.end()
                ));
            }
            *place = x;
        }
    }
    tuning.history_keep_days = keep_days as u32;
    tuning.history = file.history.unwrap_or(tuning.history);
    tuning.account = file.account.unwrap_or(tuning.account);
    tuning.condor = file.condor.unwrap_or(tuning.condor);
    tuning.attributes = Attributes {
        all: file.machines,
        kinds: file.machine_type,
        zones: file.zone,
    };
    tuning.attributes.check()?;
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
        assert_eq!(t.attributes.kinds["g8"]["Licensed"], true);
        assert_eq!(t.attributes.zones["lahore-east"]["Department"], "posting");
        let error = parse("machine_type \"g8\" { Cpus = 3 }").unwrap_err();
        assert!(error.contains("Cpus of g8"), "{error}");
    }

    /// Errors name the field; what is left out keeps its default.
    #[test]
    fn hcl_is_checked() {
        let t = parse("headroom_share = 0.5\nroom_report_s = 2\n").unwrap();
        assert_eq!(
            (t.headroom_share, t.room_report_s, t.idle_return_s),
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
