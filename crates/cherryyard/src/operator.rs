//! Operators' own settings: an HCL file beside the platform's settings.

use cherryyard_core::Tuning;
use cherryyard_core::config::{Admission, ClassShare};
use cherryyard_wire::error::AttributeError;
use cherryyard_wire::rules::{Attributes, Group};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use thiserror::Error;

/// Why operators' settings are refused.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum OperatorError {
    /// The file is no HCL, or has other fields or types.
    #[error("{reason}")]
    Unreadable {
        /// What the HCL reader says, on one line.
        reason: String,
    },
    /// A number is out of its range.
    #[error("{field}: must be from {from} to {to}")]
    OutOfRange {
        /// The field's path.
        field: String,
        /// The least value.
        from: f64,
        /// The largest value.
        to: f64,
    },
    /// An attribute of machines is refused.
    #[error(transparent)]
    Attribute(#[from] AttributeError),
}

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
fn within(field: &str, number: f64, range: &RangeInclusive<f64>) -> Result<f64, OperatorError> {
    if range.contains(&number) {
        return Ok(number);
    }
    Err(OperatorError::OutOfRange {
        field: field.into(),
        from: *range.start(),
        to: *range.end(),
    })
}

fn class_share(
    name: &str,
    file: &ClassFile,
    from: ClassShare,
) -> Result<ClassShare, OperatorError> {
    let read = |field: &str, number: Option<f64>, default: f64, range: RangeInclusive<f64>| {
        let number = number.map(|number| within(&format!("{name}.{field}"), number, &range));
        number.unwrap_or(Ok(default))
    };
    Ok(ClassShare {
        weight: read("weight", file.weight, from.weight, 0.01..=100.0)?,
        least: read("least_served", file.least_served, from.least, 0.0..=1.0)?,
        share: read("share", file.share, from.share, 0.0..=1.0)?,
    })
}

fn admission(file: AdmissionFile) -> Result<Admission, OperatorError> {
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
pub fn parse(text: &str) -> Result<Tuning, OperatorError> {
    let file: File = hcl::from_str(text).map_err(|e| OperatorError::Unreadable {
        reason: e.to_string().replace('\n', " "),
    })?;
    let mut tuning = Tuning::default();
    let mut keep_days = 0.0;
    let number_fields = [
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
    for (name, number, target, range) in number_fields {
        if let Some(number) = number {
            *target = within(name, number, &range)?;
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
    tuning.attributes.check()?;
    Ok(tuning)
}

#[cfg(test)]
mod tests;
