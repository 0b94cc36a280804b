//! Rules on where a job may run, which the fields of [`JobSpec`](crate::job::JobSpec) cannot
//! express. Rules are an addition to a submission (`"rules": {...}`) and to a job's record;
//! readers without support for rules ignore that field.
//!
//! A *pool* is a machine type in a zone, either ordinary or spot. Rules list pools explicitly, or
//! select them by match expressions that are evaluated against each pool's attributes. With both,
//! a pool must satisfy both. The fields `machine_types`, `zone` and `spot` of the job apply too.

use crate::error::{AttributeError, AttributeProblem, FieldProblem, InvalidField};
pub use crate::limits::{MAX_ATTRIBUTES, MAX_EXPRESSION, MAX_POOL_BLOCKS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Block of pools in which a job may run: all given machine types in all given zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PoolBlock {
    /// Machine types; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "kinds")]
    pub machine_types: Option<Vec<String>>,
    /// Zones; `None`: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "yards")]
    pub zones: Option<Vec<String>>,
    /// Whether the block contains only spot machines, or only ordinary ones; `None`: both.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "borrowed")]
    pub spot: Option<bool>,
    /// Preference: pools of a lower tier are preferred. A pool in several blocks has the lowest
    /// tier of these.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tier: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// Rules of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// Blocks of allowed pools; empty: any pool is allowed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "cells")]
    pub pools: Vec<PoolBlock>,
    /// Expression over a pool's attributes that must be true.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requirements: Option<String>,
    /// Expression over a pool's attributes; pools for which its value is larger are preferred.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<String>,
}

impl Rules {
    /// Returns whether the rules do not restrict anything and state no preference.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Checks the limits; the error names the field. Does not check whether the expressions can be
    /// parsed: their evaluator does.
    pub fn check(&self) -> Result<(), InvalidField> {
        for (name, text) in [("requirements", &self.requirements), ("rank", &self.rank)] {
            if text.as_ref().is_some_and(|t| t.len() > MAX_EXPRESSION) {
                let path = format!("rules.{name}");
                return Err(InvalidField::new(path, FieldProblem::ExpressionTooLong));
            }
        }
        if self.pools.len() > MAX_POOL_BLOCKS {
            return Err(InvalidField::new(
                "rules.cells",
                FieldProblem::TooManyBlocks,
            ));
        }
        Ok(())
    }
}

/// Fields of a submission that are not in [`JobSpec`](crate::job::JobSpec).
#[derive(Debug, Default, Deserialize)]
pub struct SubmissionExtensions {
    /// Rules on where the job may run.
    #[serde(default)]
    pub rules: Option<Rules>,
}

/// Custom attributes of a group of machines, by name. Values are booleans, numbers, strings, or
/// lists of these.
pub type AttributeGroup = BTreeMap<String, serde_json::Value>;

/// Custom machine attributes, set by operators. Attributes of a zone take precedence over those of
/// a machine type, and these over those of all machines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attributes {
    /// Attributes of all machines.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub all: AttributeGroup,
    /// Attributes of the machines of a type, by type.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "kinds")]
    pub machine_types: BTreeMap<String, AttributeGroup>,
    /// Attributes of the machines in a zone, by zone.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub zones: BTreeMap<String, AttributeGroup>,
}

/// Names of the attributes that every machine has and that operators cannot set.
pub const BUILT_IN_ATTRIBUTES: [&str; 12] = [
    "MyType",
    "MachineType",
    "Zone",
    "Spot",
    "Cpus",
    "TotalCpus",
    "Memory",
    "TotalMemory",
    "GPUs",
    "TotalGPUs",
    "FetchRate",
    "ImageCache",
];

impl Attributes {
    /// Checks names, values and limits; the error names the attribute.
    pub fn check(&self) -> Result<(), AttributeError> {
        check_group("all", &self.all)?;
        for (name, group) in self.machine_types.iter().chain(&self.zones) {
            check_group(name, group)?;
        }
        Ok(())
    }
}

fn check_group(group_name: &str, group: &AttributeGroup) -> Result<(), AttributeError> {
    if group.len() > MAX_ATTRIBUTES {
        return Err(AttributeError::TooMany {
            group: group_name.into(),
        });
    }
    for (name, value) in group {
        check_attribute(name, value).map_err(|problem| AttributeError::Invalid {
            name: name.clone(),
            group: group_name.into(),
            problem,
        })?;
    }
    Ok(())
}

fn check_attribute(name: &str, value: &serde_json::Value) -> Result<(), AttributeProblem> {
    let mut bytes = name.bytes();
    let starts_as_identifier = bytes
        .next()
        .is_some_and(|b| b.is_ascii_alphabetic() || b == b'_');
    if !starts_as_identifier || !bytes.all(|b| b.is_ascii_alphanumeric() || b == b'_') {
        return Err(AttributeProblem::NotAnIdentifier);
    }
    if BUILT_IN_ATTRIBUTES
        .iter()
        .any(|b| b.eq_ignore_ascii_case(name))
    {
        return Err(AttributeProblem::BuiltIn);
    }
    let is_scalar = |v: &serde_json::Value| v.is_boolean() || v.is_number() || v.is_string();
    let is_scalar_list = value
        .as_array()
        .is_some_and(|list| list.iter().all(is_scalar));
    if !is_scalar(value) && !is_scalar_list {
        return Err(AttributeProblem::UnsupportedType);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
