//! Admission check of a submission: whether it is well formed and its job can ever run in this
//! cluster.

use crate::pools::{Explanation, RulesError};
use crate::{Config, Mirror};
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::job::{JobSpec, Shape};
use cherryyard_wire::rules::Rules;
use std::collections::BTreeSet;
use thiserror::Error;

/// Difference of cores, accelerators or gigabytes below which two amounts count as equal.
const TOLERANCE: f64 = 1e-9;
/// Bytes of a job's record in addition to the submission.
const RECORD_OVERHEAD_BYTES: usize = 300;

/// Reason for which a submission is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Reject {
    /// The submission is malformed.
    #[error(transparent)]
    Malformed(Malformed),
    /// The job can never run.
    #[error(transparent)]
    Never(NeverRuns),
    /// The check is not possible yet, because information is missing.
    #[error(transparent)]
    NotYet(NotYet),
}

/// Fault in a malformed submission.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Malformed {
    /// The job's rules cannot be evaluated.
    #[error(transparent)]
    Rules(#[from] RulesError),
    /// The job's record would be larger than the state service accepts.
    #[error("bundle, waits_on: the job's names are too long, or too many, to keep")]
    TooLong,
    /// The job is part of a submission of many jobs and depends on other jobs.
    #[error("waits_on: jobs of a submission cannot wait for others")]
    WaitsInSubmission,
    /// The reason applies to one of the submission's templates.
    #[error("t[{template}].{reason}")]
    InTemplate {
        /// The template's index.
        template: usize,
        /// Fault in the template.
        reason: Box<Malformed>,
    },
}

/// Reason for which a job can never run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NeverRuns {
    /// The settings do not contain the job's team.
    #[error("owner: unknown team `{0}`")]
    UnknownTeam(String),
    /// The settings do not contain the job's zone.
    #[error("yard: unknown zone `{0}`")]
    UnknownZone(String),
    /// A task of the job fits no machine type that the job allows.
    #[error("kinds_of_host: a task fits no allowed machine type")]
    NoMachineType,
    /// The job's rules allow no pool with a machine type that a task of the job fits.
    #[error("{}", .0.summary())]
    NoPool(Box<Explanation>),
    /// The job's rules allow no such pool, and evaluating the rules for an explanation failed.
    #[error(transparent)]
    Rules(RulesError),
    /// The job's tasks have to be in different zones, but only one zone is possible for all of
    /// them.
    #[error("apart: the tasks would have to be in one zone")]
    OneZone,
    /// The job needs more cores than its team may use.
    #[error("cores: more than the team's limit")]
    CoresOverLimit,
    /// The job needs more accelerators than its team may use.
    #[error("accelerators: more than the team's limit")]
    AcceleratorsOverLimit,
    /// The reason applies to one of the submission's templates.
    #[error("t[{template}].{reason}")]
    InTemplate {
        /// The template's index.
        template: usize,
        /// Reason for which a job of the template can never run.
        reason: Box<NeverRuns>,
    },
}

/// Reason for which it cannot be decided yet whether a job can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum NotYet {
    /// The list of machine types has not been read yet.
    #[error("the machine types are not known yet")]
    NoMachineTypes,
}

impl Reject {
    /// Returns the same reason for a job of the submission's template with this index.
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

/// Returns whether a task of the job fits an empty machine of a type that the job allows.
pub fn fits_machine_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.cores <= machine_type.cores + TOLERANCE
        && spec.accelerators <= machine_type.accelerators + TOLERANCE
        && spec.ram_gb <= machine_type.ram_gb + TOLERANCE
        && allows_machine_type(spec, &machine_type.sku)
}

/// Returns whether the job allows machines of the type `sku`.
pub fn allows_machine_type(spec: &JobSpec, sku: &str) -> bool {
    let allowed = spec.machine_types.as_ref();
    allowed.is_none_or(|allowed| allowed.iter().any(|name| name == sku))
}

/// Checks a submission made at `submitted_at`, and removes from it the machine types that its
/// record need not contain.
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

/// Removes machine types that do not exist from the allowed ones: they cannot run anything, and the
/// size of a record is limited.
fn drop_unknown_types(spec: &mut JobSpec, machine_types: &[MachineType]) {
    if let Some(allowed) = &mut spec.machine_types {
        allowed.retain(|name| machine_types.iter().any(|known| known.sku == *name));
        allowed.sort();
        allowed.dedup();
    }
}

/// Returns the zones that the job allows and that have a machine type which a task fits.
fn zones_that_fit<'a>(spec: &JobSpec, machine_types: &'a [MachineType]) -> BTreeSet<&'a str> {
    machine_types
        .iter()
        .filter(|machine_type| fits_machine_type(spec, machine_type))
        .flat_map(|machine_type| machine_type.zones.iter().map(String::as_str))
        .filter(|zone| {
            spec.zone
                .as_deref()
                .is_none_or(|requested| requested == *zone)
        })
        .collect()
}

/// Keeps the zones with a pool that the rules allow and a task fits; returns an error if none is
/// left.
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
    let can_run = |machine_type: &MachineType, zone: &str| {
        let allows = |spot| pools.tier(&machine_type.sku, zone, spot).is_some();
        fits_machine_type(spec, machine_type) && (allows(false) || spec.spot && allows(true))
    };
    zones.retain(|zone| machine_types.iter().any(|known| can_run(known, zone)));
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

/// Checks the team's limit: all tasks of a service together have to be within it, but only one task
/// of an array.
fn check_team_limit(spec: &JobSpec, team: u32, config: &Config) -> Result<(), NeverRuns> {
    let team = &config.teams[team as usize];
    let count = match spec.shape {
        Shape::Service => f64::from(spec.task_count),
        Shape::Array => 1.0,
    };
    if spec.cores * count > team.cores_max + TOLERANCE {
        return Err(NeverRuns::CoresOverLimit);
    }
    if spec.accelerators * count > team.accelerators_max + TOLERANCE {
        return Err(NeverRuns::AcceleratorsOverLimit);
    }
    Ok(())
}

/// Checks that the job's record will fit into a value of the state service. The record stores ids
/// as numbers, which are shorter than in the submission.
fn check_size(spec: &JobSpec, rules: Option<&Rules>, config: &Config) -> Result<(), Malformed> {
    let size = |text: serde_json::Result<Vec<u8>>| text.map_or(usize::MAX / 4, |text| text.len());
    let rules_size = rules.map_or(0, |rules| size(serde_json::to_vec(rules)));
    let size = size(serde_json::to_vec(spec)) + rules_size;
    if size + RECORD_OVERHEAD_BYTES > config.value_bytes {
        return Err(Malformed::TooLong);
    }
    Ok(())
}
