//! Operators' settings: an optional HCL file in addition to the platform's settings file.

use cherryyard_core::Tuning;
use cherryyard_core::command_log::CommandTrace;
use cherryyard_core::config::{Admission, ClassShare};
use cherryyard_wire::error::AttributeError;
use cherryyard_wire::job::job_number;
use cherryyard_wire::rules::{AttributeGroup, Attributes};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use thiserror::Error;

/// Error in operators' settings.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum OperatorError {
    /// The file is not valid HCL, or has unknown fields or wrong types.
    #[error("{reason}")]
    Unreadable {
        /// Message of the HCL parser, on one line.
        reason: String,
    },
    /// A number is out of its range.
    #[error("{field}: must be from {from} to {to}")]
    OutOfRange {
        /// Path of the field.
        field: String,
        /// Smallest allowed value.
        from: f64,
        /// Largest allowed value.
        to: f64,
    },
    /// A traced job has no valid id.
    #[error("trace.jobs: `{id}` is not a job id such as j-000412")]
    NotAJobId {
        /// The text in place of the id.
        id: String,
    },
    /// An attribute of machines is invalid.
    #[error(transparent)]
    Attribute(#[from] AttributeError),
}

/// Fields of the file, all of them optional.
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
    #[serde(default)]
    trace: TraceFile,
    /// Attributes of all machines.
    #[serde(default)]
    machines: AttributeGroup,
    /// Attributes of machines by machine type.
    #[serde(default)]
    machine_type: BTreeMap<String, AttributeGroup>,
    /// Attributes of machines by zone.
    #[serde(default)]
    zone: BTreeMap<String, AttributeGroup>,
}

/// Block with the fair-share guarantees of job classes, which decide whose jobs are served when
/// there is not capacity for all.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct AdmissionFile {
    least_served: Option<f64>,
    share: Option<f64>,
    window_s: Option<f64>,
    turn_s: Option<f64>,
    /// Settings of single job classes, which override those above.
    #[serde(default)]
    class: BTreeMap<String, ClassFile>,
}

/// Block that names the machines and jobs whose commands are logged at the level `info`.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct TraceFile {
    #[serde(default)]
    machines: BTreeSet<String>,
    #[serde(default)]
    jobs: Vec<String>,
}

/// Block with the settings of one job class.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClassFile {
    weight: Option<f64>,
    least_served: Option<f64>,
    share: Option<f64>,
}

/// Returns the number if it is within the range, else an error that names the field.
fn check_range(
    field: &str,
    number: f64,
    range: &RangeInclusive<f64>,
) -> Result<f64, OperatorError> {
    if range.contains(&number) {
        return Ok(number);
    }
    Err(OperatorError::OutOfRange {
        field: field.into(),
        from: *range.start(),
        to: *range.end(),
    })
}

/// Checks the settings of a class (`name` is their path); those left out are taken from
/// `defaults`.
fn class_share(
    name: &str,
    file: &ClassFile,
    defaults: ClassShare,
) -> Result<ClassShare, OperatorError> {
    let read = |field: &str, number: Option<f64>, default: f64, range: RangeInclusive<f64>| {
        let number = number.map(|number| check_range(&format!("{name}.{field}"), number, &range));
        number.unwrap_or(Ok(default))
    };
    Ok(ClassShare {
        weight: read("weight", file.weight, defaults.weight, 0.01..=100.0)?,
        least_served: read(
            "least_served",
            file.least_served,
            defaults.least_served,
            0.0..=1.0,
        )?,
        max_share: read("share", file.share, defaults.max_share, 0.0..=1.0)?,
    })
}

/// Checks the admission block and fills in defaults.
fn admission(file: AdmissionFile) -> Result<Admission, OperatorError> {
    let mut admission = Admission::default();
    let all = ClassFile {
        weight: None,
        least_served: file.least_served,
        share: file.share,
    };
    admission.default_class = class_share("admission", &all, admission.default_class)?;
    if let Some(number) = file.turn_s {
        admission.aging_s = check_range("admission.turn_s", number, &(1.0..=3600.0))?;
    }
    if let Some(number) = file.window_s {
        admission.window_s = check_range("admission.window_s", number, &(1.0..=600.0))?;
    }
    for (class, own) in file.class {
        let name = format!("admission.class.{class}");
        let own = class_share(&name, &own, admission.default_class)?;
        admission.classes.insert(class, own);
    }
    Ok(admission)
}

/// Checks the trace block.
fn command_trace(file: TraceFile) -> Result<CommandTrace, OperatorError> {
    let number = |id: String| job_number(&id).ok_or(OperatorError::NotAJobId { id });
    Ok(CommandTrace {
        machines: file.machines,
        jobs: file
            .jobs
            .into_iter()
            .map(number)
            .collect::<Result<_, _>>()?,
    })
}

/// Parses operators' settings; errors name the field.
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
            *target = check_range(name, number, &range)?;
        }
    }
    tuning.history_keep_days = keep_days as u32;
    tuning.history = file.history.unwrap_or(tuning.history);
    tuning.account = file.account.unwrap_or(tuning.account);
    tuning.condor = file.condor.unwrap_or(tuning.condor);
    tuning.admission = admission(file.admission)?;
    tuning.command_trace = command_trace(file.trace)?;
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
