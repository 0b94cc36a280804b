//! Whether a job can ever run here.

use crate::{Config, Mirror};
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::job::{JobSpec, Shape};
use cherryyard_wire::rules::Rules;
use std::collections::BTreeSet;

/// Why a submission is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reject {
    /// It is malformed.
    Malformed(String),
    /// It can never run.
    Never(String),
    /// That cannot be decided yet.
    NotYet(&'static str),
}

/// Whether a task of the job fits an empty machine of this type.
pub fn fits_machine_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.cores <= machine_type.cores + 1e-9
        && spec.accelerators <= machine_type.accelerators + 1e-9
        && spec.ram_gb <= machine_type.ram_gb + 1e-9
        && allows_machine_type(spec, &machine_type.sku)
}

/// Whether the job allows this type.
pub fn allows_machine_type(spec: &JobSpec, sku: &str) -> bool {
    spec.machine_types
        .as_ref()
        .is_none_or(|k| k.iter().any(|name| name == sku))
}

/// Checks a submission made at `at`, and drops what the record need not keep.
pub fn admit(
    spec: &mut JobSpec,
    rules: Option<&Rules>,
    at: u64,
    mirror: &Mirror,
    config: &Config,
) -> Result<(), Reject> {
    if mirror.machine_types.is_empty() {
        return Err(Reject::NotYet("the machine types are not known yet"));
    }
    let never = |text: String| Err(Reject::Never(text));
    let Some(team) = config.team_names.get(&spec.team) else {
        return never(format!("owner: unknown team `{}`", spec.team));
    };
    if let Some(zone) = &spec.zone
        && config.zones.get(zone).is_none()
    {
        return never(format!("yard: unknown zone `{zone}`"));
    }
    if let Some(machine_types) = &mut spec.machine_types {
        // Unknown types can run nothing, and a record has a limited size.
        machine_types.retain(|name| mirror.machine_types.iter().any(|k| k.sku == *name));
        machine_types.sort();
        machine_types.dedup();
    }
    let mut zones: BTreeSet<&str> = mirror
        .machine_types
        .iter()
        .filter(|k| fits_machine_type(spec, k))
        .flat_map(|k| k.zones.iter().map(String::as_str))
        .filter(|z| spec.zone.as_deref().is_none_or(|y| y == *z))
        .collect();
    if zones.is_empty() {
        return never("kinds_of_host: a task fits no allowed machine type".into());
    }
    if let Some(rules) = rules {
        let pools = mirror.matcher.evaluate(rules, at);
        let pools = pools.map_err(Reject::Malformed)?;
        let runs = |machine_type: &MachineType, zone: &str| {
            let tier = |spot| pools.tier(&machine_type.sku, zone, spot);
            fits_machine_type(spec, machine_type)
                && (tier(false).is_some() || spec.spot && tier(true).is_some())
        };
        zones.retain(|zone| {
            mirror
                .machine_types
                .iter()
                .any(|machine_type| runs(machine_type, zone))
        });
        if zones.is_empty() {
            let why = mirror
                .matcher
                .explain(spec, rules, &mirror.machine_types, at);
            return never(why.map_or_else(|e| e, |w| w.told()));
        }
    }
    if spec.apart && spec.task_count > 1 && (spec.together || zones.len() < 2) {
        return never("apart: the tasks would have to be in one zone".into());
    }
    let team = &config.teams[team as usize];
    let count = if spec.shape == Shape::Service {
        f64::from(spec.task_count)
    } else {
        1.0
    };
    if spec.cores * count > team.cores_max + 1e-9 {
        return never("cores: more than the team's limit".into());
    }
    if spec.accelerators * count > team.acc_max + 1e-9 {
        return never("accelerators: more than the team's limit".into());
    }
    let size = |v: serde_json::Result<Vec<u8>>| v.map_or(usize::MAX / 4, |v| v.len());
    // Ids are stored as numbers, which are shorter.
    let size = size(serde_json::to_vec(&spec)) + rules.map_or(0, |r| size(serde_json::to_vec(r)));
    if size + 300 > config.value_bytes {
        return Err(Reject::Malformed(
            "bundle, waits_on: the job's names are too long, or too many, to keep".into(),
        ));
    }
    Ok(())
}
