//! Where a job may run, beyond what the protocol's fields can say: an addition to a
//! submission (`"rules": {...}`) and to a job's record, which other readers ignore.
//!
//! A *pool* is a machine type in a zone, ordinary or spot. Rules name pools outright,
//! or by match expressions that are evaluated against each pool's attributes, or both:
//! then a pool must satisfy both. `machine_types`, `zone` and `spot` count as well.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest expression in a job's rules.
pub const MAX_EXPRESSION: usize = 2048;
/// Most blocks of pools.
pub const MAX_BLOCKS: usize = 64;
/// Most attributes in one group of operators' own.
pub const MAX_ATTRIBUTES: usize = 64;

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
    pub fn check(&self) -> Result<(), String> {
        for (name, text) in [("requirements", &self.requirements), ("rank", &self.rank)] {
            if text.as_ref().is_some_and(|t| t.len() > MAX_EXPRESSION) {
                return Err(format!("rules.{name}: more than {MAX_EXPRESSION} bytes"));
            }
        }
        if self.pools.len() > MAX_BLOCKS {
            return Err(format!("rules.cells: more than {MAX_BLOCKS} blocks"));
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
    pub fn check(&self) -> Result<(), String> {
        let all = [("all", &self.all)].into_iter();
        let named = self.machine_types.iter().chain(&self.zones);
        let groups = all.chain(named.map(|(name, group)| (name.as_str(), group)));
        for (of, group) in groups {
            if group.len() > MAX_ATTRIBUTES {
                return Err(format!(
                    "attributes of {of}: more than {MAX_ATTRIBUTES} of them"
                ));
            }
            for (name, value) in group {
                let bad = |what: &str| Err(format!("attribute {name} of {of}: {what}"));
                let mut bytes = name.bytes();
                let first = bytes
                    .next()
                    .is_some_and(|b| b.is_ascii_alphabetic() || b == b'_');
                if !first || !bytes.all(|b| b.is_ascii_alphanumeric() || b == b'_') {
                    return bad("not a name");
                }
                if BUILT_IN.iter().any(|b| b.eq_ignore_ascii_case(name)) {
                    return bad("every machine has it, and it cannot be set");
                }
                let plain =
                    |v: &serde_json::Value| v.is_boolean() || v.is_number() || v.is_string();
                let list = value.as_array().is_some_and(|l| l.iter().all(plain));
                if !plain(value) && !list {
                    return bad("must be a boolean, a number, a string, or a list of these");
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What operators write wrongly is named.
    #[test]
    fn attributes_are_checked() {
        let read = |text: &str| serde_json::from_str::<Attributes>(text).unwrap().check();
        assert_eq!(read(r#"{"all":{"OpSys":"LINUX","Slots":[1,2]}}"#), Ok(()));
        for (text, said) in [
            (r#"{"all":{"a b":1}}"#, "attribute a b of all: not a name"),
            (r#"{"kinds":{"g8":{"zone":"a"}}}"#, "zone of g8: every"),
            (r#"{"zones":{"a":{"Rack":null}}}"#, "Rack of a: must be"),
            (r#"{"zones":{"a":{"Rack":[[1]]}}}"#, "Rack of a: must be"),
        ] {
            let error = read(text).unwrap_err();
            assert!(error.contains(said), "{text}: {error}");
        }
    }
}
