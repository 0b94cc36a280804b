//! Whether a job can ever run here.

use crate::pools::{Explanation, RulesError};
use crate::{Config, Mirror};
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::job::{JobSpec, Shape};
use cherryyard_wire::rules::Rules;
use std::collections::BTreeSet;
use thiserror::Error;

/// Amounts that differ by less are alike.
const TOLERANCE: f64 = 1e-9;
/// Bytes that a job's record takes beside what was submitted.
const RECORD_FRAME_BYTES: usize = 300;

/// Why a submission is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Reject {
    /// It is malformed.
    #[error(transparent)]
    Malformed(Malformed),
    /// It can never run.
    #[error(transparent)]
    Never(NeverRuns),
    /// That cannot be decided yet.
    #[error(transparent)]
    NotYet(NotYet),
}

/// What is malformed in a submission.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Malformed {
    /// Its rules cannot be evaluated.
    #[error(transparent)]
    Rules(#[from] RulesError),
    /// Its record would not fit into the state service.
    #[error("bundle, waits_on: the job's names are too long, or too many, to keep")]
    TooLong,
    /// It is a job of a submission of many jobs, and waits for others.
    #[error("waits_on: jobs of a submission cannot wait for others")]
    WaitsInSubmission,
    /// It is one of several templates.
    #[error("t[{template}].{reason}")]
    InTemplate {
        /// The template's index.
        template: usize,
        /// What is malformed in it.
        reason: Box<Malformed>,
    },
}

/// Why a job can never run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NeverRuns {
    /// The settings do not have its team.
    #[error("owner: unknown team `{0}`")]
    UnknownTeam(String),
    /// The settings do not have its zone.
    #[error("yard: unknown zone `{0}`")]
    UnknownZone(String),
    /// A task of it fits no machine type that it allows.
    #[error("kinds_of_host: a task fits no allowed machine type")]
    NoMachineType,
    /// Its rules allow no pool in which a task of it fits.
    #[error("{}", .0.summary())]
    NoPool(Box<Explanation>),
    /// The same, and why cannot be explained.
    #[error(transparent)]
    Rules(RulesError),
    /// Its tasks are to be apart, and all of them would have to be in one zone.
    #[error("apart: the tasks would have to be in one zone")]
    OneZone,
    /// It takes more cores than its team may use.
    #[error("cores: more than the team's limit")]
    CoresOverLimit,
    /// It takes more accelerators than its team may use.
    #[error("accelerators: more than the team's limit")]
    AcceleratorsOverLimit,
    /// It is one of several templates.
    #[error("t[{template}].{reason}")]
    InTemplate {
        /// The template's index.
        template: usize,
        /// Why a job of it can never run.
        reason: Box<NeverRuns>,
    },
}

/// Why it cannot be decided yet whether a job can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotYet {
    /// No machine types have been read.
    #[error("the machine types are not known yet")]
    NoMachineTypes,
}

impl Reject {
    /// The same, for a job of a submission's template.
    pub fn in_template(self, template: usize) -> Self {
        match self {
            Self::Malformed(reason) => Self::Malformed(Malformed::InTemplate {
                template,
                reason: Box::new(reason),
            }),
            Self::Never(reason) => Self::Never(NeverRuns::InTemplate {
                template,
                reason: Box::new(reason),
            }),
            Self::NotYet(reason) => Self::NotYet(reason),
        }
    }
}

/// Whether a task of the job fits an empty machine of this type.
pub fn fits_machine_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.cores <= machine_type.cores + TOLERANCE
        && spec.accelerators <= machine_type.accelerators + TOLERANCE
        && spec.ram_gb <= machine_type.ram_gb + TOLERANCE
        && allows_machine_type(spec, &machine_type.sku)
}

/// Whether the job allows this type.
pub fn allows_machine_type(spec: &JobSpec, sku: &str) -> bool {
    let allowed = spec.machine_types.as_ref();
    allowed.is_none_or(|allowed| allowed.iter().any(|name| name == sku))
}

/// Checks a submission made at `submitted_at`, and drops what the record need not keep.
pub fn admit(
    spec: &mut JobSpec,
    rules: Option<&Rules>,
    submitted_at: u64,
    mirror: &Mirror,
    config: &Config,
) -> Result<(), Reject> {
    if mirror.catalog.machine_types.is_empty() {
        return Err(Reject::NotYet(NotYet::NoMachineTypes));
    }
    let Some(team) = config.team_names.get(&spec.team) else {
        return Err(Reject::Never(NeverRuns::UnknownTeam(spec.team.clone())));
    };
    if let Some(zone) = &spec.zone
        && config.zones.get(zone).is_none()
    {
        return Err(Reject::Never(NeverRuns::UnknownZone(zone.clone())));
    }
    drop_unknown_types(spec, &mirror.catalog.machine_types);
    let mut zones = zones_that_fit(spec, &mirror.catalog.machine_types);
    if zones.is_empty() {
        return Err(Reject::Never(NeverRuns::NoMachineType));
    }
    if let Some(rules) = rules {
        retain_allowed_zones(&mut zones, spec, rules, submitted_at, mirror)?;
    }
    if spec.apart && spec.task_count > 1 && (spec.together || zones.len() < 2) {
        return Err(Reject::Never(NeverRuns::OneZone));
    }
    check_team_limit(spec, team, config).map_err(Reject::Never)?;
    check_size(spec, rules, config).map_err(Reject::Malformed)
}

/// Unknown types can run nothing, and a record has a limited size.
fn drop_unknown_types(spec: &mut JobSpec, machine_types: &[MachineType]) {
    if let Some(allowed) = &mut spec.machine_types {
        allowed.retain(|name| machine_types.iter().any(|known| known.sku == *name));
        allowed.sort();
        allowed.dedup();
    }
}

/// Zones that have a machine type which a task fits.
fn zones_that_fit<'a>(spec: &JobSpec, machine_types: &'a [MachineType]) -> BTreeSet<&'a str> {
    machine_types
        .iter()
        .filter(|machine_type| fits_machine_type(spec, machine_type))
        .flat_map(|machine_type| machine_type.zones.iter().map(String::as_str))
        .filter(|zone| spec.zone.as_deref().is_none_or(|asked| asked == *zone))
        .collect()
}

/// Keeps the zones that have a pool which the rules allow and a task fits.
fn retain_allowed_zones(
    zones: &mut BTreeSet<&str>,
    spec: &JobSpec,
    rules: &Rules,
    submitted_at: u64,
    mirror: &Mirror,
) -> Result<(), Reject> {
    let machine_types = &mirror.catalog.machine_types;
    let pools = mirror.catalog.matcher.evaluate(rules, submitted_at);
    let pools = pools.map_err(|error| Reject::Malformed(error.into()))?;
    let runs = |machine_type: &MachineType, zone: &str| {
        let allows = |spot| pools.tier(&machine_type.sku, zone, spot).is_some();
        fits_machine_type(spec, machine_type) && (allows(false) || spec.spot && allows(true))
    };
    zones.retain(|zone| machine_types.iter().any(|known| runs(known, zone)));
    if !zones.is_empty() {
        return Ok(());
    }
    let explained = mirror
        .catalog
        .matcher
        .explain(spec, rules, machine_types, submitted_at);
    Err(Reject::Never(match explained {
        Ok(explanation) => NeverRuns::NoPool(Box::new(explanation)),
        Err(error) => NeverRuns::Rules(error),
    }))
}

/// All of a service's tasks have to fit the team's limit, and one of an array's.
fn check_team_limit(spec: &JobSpec, team: u32, config: &Config) -> Result<(), NeverRuns> {
    let team = &config.teams[team as usize];
    let count = match spec.shape {
        Shape::Service => f64::from(spec.task_count),
        Shape::Array => 1.0,
    };
    if spec.cores * count > team.cores_max + TOLERANCE {
        return Err(NeverRuns::CoresOverLimit);
    }
    if spec.accelerators * count > team.acc_max + TOLERANCE {
        return Err(NeverRuns::AcceleratorsOverLimit);
    }
    Ok(())
}

/// Ids are stored as numbers, which are shorter.
fn check_size(spec: &JobSpec, rules: Option<&Rules>, config: &Config) -> Result<(), Malformed> {
    let size = |text: serde_json::Result<Vec<u8>>| text.map_or(usize::MAX / 4, |text| text.len());
    let rules_size = rules.map_or(0, |rules| size(serde_json::to_vec(rules)));
    let size = size(serde_json::to_vec(spec)) + rules_size;
    if size + RECORD_FRAME_BYTES > config.value_bytes {
        return Err(Malformed::TooLong);
    }
    Ok(())
}
