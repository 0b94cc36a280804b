//! Where a job may run, beyond what the protocol's fields can say: an addition to a
//! submission (`"rules": {...}`) and to a job's record, which other readers ignore.
//!
//! A *pool* is a machine type in a zone, ordinary or spot. Rules name pools outright,
//! or by match expressions that are evaluated against each pool's attributes, or both:
//! then a pool must satisfy both. `machine_types`, `zone` and `spot` count as well.

use crate::error::{AttributeError, AttributeProblem, FieldProblem, InvalidField};
pub use crate::limits::{MAX_ATTRIBUTES, MAX_BLOCKS, MAX_EXPRESSION};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Pools that a job may run in: all of these types in all of these zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PoolBlock {
    /// Machine types; absent: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "kinds")]
    pub machine_types: Option<Vec<String>>,
    /// Zones; absent: any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "yards")]
    pub zones: Option<Vec<String>>,
    /// Spot machines only, or ordinary ones only; absent: both.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "borrowed")]
    pub spot: Option<bool>,
    /// Lower ones are preferred; of a pool in several blocks the lowest counts.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub tier: u32,
}

fn is_zero(n: &u32) -> bool {
    *n == 0
}

/// A job's rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// Pools, of which each must be in one; empty: any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "cells")]
    pub pools: Vec<PoolBlock>,
    /// An expression over a pool's attributes that must be true.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requirements: Option<String>,
    /// An expression over a pool's attributes: the larger, the more preferred.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<String>,
}

impl Rules {
    /// Whether they say nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Checks the bounds; the error names the field. Whether the expressions parse
    /// is for whoever evaluates them.
    pub fn check(&self) -> Result<(), InvalidField> {
        for (name, text) in [("requirements", &self.requirements), ("rank", &self.rank)] {
            if text.as_ref().is_some_and(|t| t.len() > MAX_EXPRESSION) {
                let path = format!("rules.{name}");
                return Err(InvalidField::new(path, FieldProblem::ExpressionTooLong));
            }
        }
        if self.pools.len() > MAX_BLOCKS {
            return Err(InvalidField::new(
                "rules.cells",
                FieldProblem::TooManyBlocks,
            ));
        }
        Ok(())
    }
}

/// What of a submission the protocol does not know.
#[derive(Debug, Default, Deserialize)]
pub struct Additions {
    /// Where it may run.
    #[serde(default)]
    pub rules: Option<Rules>,
}

/// Attributes of machines by name, as operators set them: booleans, numbers, strings,
/// or lists of these.
pub type Group = BTreeMap<String, serde_json::Value>;

/// Operators' own attributes of machines: a type's count before those of all
/// machines, a zone's before its types'.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Attributes {
    /// Of all machines.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub all: Group,
    /// Of a type's machines.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    #[serde(rename = "kinds")]
    pub machine_types: BTreeMap<String, Group>,
    /// Of a zone's machines.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub zones: BTreeMap<String, Group>,
}

/// Attributes that every machine has; operators cannot set them.
pub const BUILT_IN: [&str; 12] = [
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
    /// Checks names, values and bounds; the error names the attribute.
    pub fn check(&self) -> Result<(), AttributeError> {
        check_group("all", &self.all)?;
        for (name, group) in self.machine_types.iter().chain(&self.zones) {
            check_group(name, group)?;
        }
        Ok(())
    }
}

fn check_group(group_name: &str, group: &Group) -> Result<(), AttributeError> {
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
    let letter_first = bytes
        .next()
        .is_some_and(|b| b.is_ascii_alphabetic() || b == b'_');
    if !letter_first || !bytes.all(|b| b.is_ascii_alphanumeric() || b == b'_') {
        return Err(AttributeProblem::NotAName);
    }
    if BUILT_IN.iter().any(|b| b.eq_ignore_ascii_case(name)) {
        return Err(AttributeProblem::BuiltIn);
    }
    let plain = |v: &serde_json::Value| v.is_boolean() || v.is_number() || v.is_string();
    let plain_list = value.as_array().is_some_and(|list| list.iter().all(plain));
    if !plain(value) && !plain_list {
        return Err(AttributeProblem::NotPlain);
    }
    Ok(())
}

#[cfg(test)]
mod tests;
