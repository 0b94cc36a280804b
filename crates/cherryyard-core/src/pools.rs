//! Pools: machine types by zone, ordinary or spot, and which of them a job's rules
//! allow and prefer.
//!
//! Rules are evaluated against what all controllers know alike: the machine types and
//! operators' attributes as the state service holds them. Nothing of it is kept in a
//! job's record, so a change of an attribute costs one write, and what waits follows it.

use crate::admit::{allows_machine_type, fits_machine_type};
use cherryyard_classad::{Ad, Expr, Names, Scope, Value};
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::job::JobSpec;
use cherryyard_wire::rules::{Attributes, Rules};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Most tiers of preference; what is liked less is all alike.
const MAX_TIERS: usize = 16;
/// Rules whose pools are kept: a flood of jobs from one file has a few.
const MAX_KNOWN: usize = 512;
/// Pools that an explanation calls near.
const MAX_NEAR: usize = 5;

/// The pools that a job's rules allow, each with its tier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolSet {
    /// By type and zone: of ordinary machines, and of spot ones.
    tiers: BTreeMap<String, BTreeMap<String, [Option<u16>; 2]>>,
    count: u16,
}

impl PoolSet {
    /// How much a pool is preferred, 0 the most; none if it is excluded.
    pub fn tier(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u16> {
        self.tiers.get(machine_type)?.get(zone)?[usize::from(spot)]
    }

    /// How many tiers there are.
    pub fn tiers(&self) -> u16 {
        self.count
    }

    fn add(&mut self, pool: &MachinePool, tier: u16) {
        let zones = self.tiers.entry(pool.machine_type.clone()).or_default();
        zones.entry(pool.zone.clone()).or_default()[usize::from(pool.spot)] = Some(tier);
        self.count = self.count.max(tier + 1);
    }
}

/// One pool and its attributes.
#[derive(Clone, Debug)]
struct MachinePool {
    machine_type: String,
    zone: String,
    spot: bool,
    ad: Ad,
}

impl MachinePool {
    fn name(&self) -> String {
        let pool = if self.spot { "spot" } else { "ordinary" };
        format!("{} in {} ({pool})", self.machine_type, self.zone)
    }
}

/// Evaluates rules.
#[derive(Clone, Debug, Default)]
pub struct Matcher {
    names: Names,
    pools: Vec<MachinePool>,
    known: HashMap<Rules, Arc<PoolSet>>,
}

/// Rules whose expressions have been read.
struct Read {
    names: Names,
    requirements: Option<Expr>,
    rank: Option<Expr>,
}

/// Which pools a job may run in, and why not in others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Pools in which it may run and fits, the most preferred first.
    pub matching: Vec<String>,
    /// Attributes that its expressions name and no machine has.
    pub unknown: Vec<String>,
    /// Those that lack least, and what they lack.
    pub near: Vec<(String, Vec<String>)>,
}

impl Explanation {
    /// In a line, for an answer that refuses the job.
    pub fn told(&self) -> String {
        let mut text = String::from("rules: no machine matches");
        if !self.unknown.is_empty() {
            text += &format!("; no machine advertises {}", self.unknown.join(", "));
        }
        if let Some((pool, lacks)) = self.near.first() {
            text += &format!("; nearest: {pool}, but {}", lacks.join(", and "));
        }
        text
    }
}

fn value_of(json: &serde_json::Value) -> Value {
    match json {
        serde_json::Value::Bool(b) => Value::Bool(*b),
        serde_json::Value::Number(n) => match n.as_i64() {
            Some(i) => Value::Int(i),
            None => n.as_f64().map_or(Value::Error, Value::Real),
        },
        serde_json::Value::String(s) => Value::text(s),
        serde_json::Value::Array(all) => Value::List(all.iter().map(value_of).collect()),
        _ => Value::Undefined,
    }
}

/// Whole numbers as such: expressions compare `Cpus =?= 8`.
fn number(x: f64) -> Value {
    if x.fract() == 0.0 && x.abs() < 1e15 {
        Value::Int(x as i64)
    } else {
        Value::Real(x)
    }
}

impl Matcher {
    /// One for these types and attributes.
    pub fn new(machine_types: &[MachineType], attributes: &Attributes) -> Self {
        let mut names = Names::default();
        let mut pools = Vec::new();
        for machine_type in machine_types {
            for zone in &machine_type.zones {
                for spot in [false, true] {
                    let mut ad = Ad::default();
                    let mut set = |name: &str, value| ad.set_value(names.intern(name), value);
                    let groups = [
                        Some(&attributes.all),
                        attributes.machine_types.get(&machine_type.sku),
                        attributes.zones.get(zone),
                    ];
                    for (name, value) in groups.into_iter().flatten().flatten() {
                        set(name, value_of(value));
                    }
                    set("MyType", Value::text("Machine"));
                    set("MachineType", Value::text(&machine_type.sku));
                    set("Zone", Value::text(zone));
                    set("Spot", Value::Bool(spot));
                    for name in ["Cpus", "TotalCpus"] {
                        set(name, number(machine_type.cores));
                    }
                    for name in ["Memory", "TotalMemory"] {
                        set(name, number(machine_type.ram_gb * 1024.0));
                    }
                    for name in ["GPUs", "TotalGPUs"] {
                        set(name, number(machine_type.accelerators));
                    }
                    set("FetchRate", number(machine_type.fetch_gb_per_s));
                    set("ImageCache", number(machine_type.cache_gb));
                    pools.push(MachinePool {
                        machine_type: machine_type.sku.clone(),
                        zone: zone.clone(),
                        spot,
                        ad,
                    });
                }
            }
        }
        Self {
            names,
            pools,
            known: HashMap::new(),
        }
    }

    fn read(&self, rules: &Rules) -> Result<Read, String> {
        rules.check().map_err(|e| e.to_string())?;
        let mut names = self.names.clone();
        let mut parse = |name: &str, text: &Option<String>| {
            let expr = text.as_ref().map(|t| Expr::parse(t, &mut names));
            expr.transpose().map_err(|e| format!("rules.{name}: {e}"))
        };
        let requirements = parse("requirements", &rules.requirements)?;
        let rank = parse("rank", &rules.rank)?;
        Ok(Read {
            names,
            requirements,
            rank,
        })
    }

    /// The tier of the first block that holds a pool.
    fn block_tier(rules: &Rules, pool: &MachinePool) -> Option<u32> {
        if rules.pools.is_empty() {
            return Some(0);
        }
        let within = |all: &Option<Vec<String>>, one: &String| {
            all.as_ref().is_none_or(|all| all.contains(one))
        };
        let holds = rules.pools.iter().filter(|b| {
            within(&b.machine_types, &pool.machine_type)
                && within(&b.zones, &pool.zone)
                && b.spot.is_none_or(|spot| spot == pool.spot)
        });
        holds.map(|b| b.tier).min()
    }

    /// What a job's rules come to, for a job submitted at `at` (milliseconds of the
    /// day's clock, which is what `time()` says in them); the error names the field.
    pub fn evaluate(&self, rules: &Rules, at: u64) -> Result<PoolSet, String> {
        Ok(self.pools_of(rules, &self.read(rules)?, at))
    }

    fn pools_of(&self, rules: &Rules, read: &Read, at: u64) -> PoolSet {
        let my = Ad::default();
        let mut liked: Vec<(&MachinePool, u32, f64)> = Vec::new();
        for pool in &self.pools {
            let scope = Scope {
                my: &my,
                target: Some(&pool.ad),
                now: (at / 1000) as i64,
            };
            let Some(tier) = Self::block_tier(rules, pool) else {
                continue;
            };
            if read.requirements.as_ref().is_some_and(|e| !scope.holds(e)) {
                continue;
            }
            // What is no number counts as 0, as published.
            let rank = read.rank.as_ref().and_then(|e| scope.evaluate(e).real());
            let rank = rank.filter(|r| r.is_finite()).unwrap_or(0.0);
            liked.push((pool, tier, rank));
        }
        liked.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.1.cmp(&b.1)));
        let mut set = PoolSet::default();
        let mut tier = 0;
        for (i, one) in liked.iter().enumerate() {
            let less = i > 0 && (liked[i - 1].1, liked[i - 1].2) != (one.1, one.2);
            if less && tier + 1 < MAX_TIERS as u16 {
                tier += 1;
            }
            set.add(one.0, tier);
        }
        set
    }

    /// The same, kept for other jobs with the same rules. Rules that cannot be read
    /// allow nothing: they were read when the job was admitted, by another build.
    pub fn pools(&mut self, rules: &Rules, at: u64) -> Arc<PoolSet> {
        if let Some(known) = self.known.get(rules) {
            return known.clone();
        }
        let pools = self.evaluate(rules, at).unwrap_or_else(|e| {
            tracing::warn!("a job's rules cannot be read, and it runs nowhere: {e}");
            PoolSet::default()
        });
        let pools = Arc::new(pools);
        let texts = [&rules.requirements, &rules.rank];
        let timely = |t: &String| t.to_ascii_lowercase().contains("time");
        if !texts.into_iter().flatten().any(timely) {
            if self.known.len() >= MAX_KNOWN {
                self.known.clear();
            }
            self.known.insert(rules.clone(), pools.clone());
        }
        pools
    }

    /// Which pools a job may run in, which attributes it names in vain, and what
    /// the nearest of the others lack.
    pub fn explain(
        &self,
        spec: &JobSpec,
        rules: &Rules,
        machine_types: &[MachineType],
        at: u64,
    ) -> Result<Explanation, String> {
        let read = self.read(rules)?;
        let set = self.pools_of(rules, &read, at);
        let clauses: Vec<Expr> = read
            .requirements
            .as_ref()
            .map_or_else(Vec::new, Expr::clauses);
        let mut unknown: Vec<String> = Vec::new();
        for expr in read.requirements.iter().chain(&read.rank) {
            for name in expr.attributes() {
                let text = read.names.name(name).to_string();
                if !unknown.contains(&text) && self.pools.iter().all(|c| c.ad.get(name).is_none()) {
                    unknown.push(text);
                }
            }
        }
        let my = Ad::default();
        let mut matching: Vec<(u16, String)> = Vec::new();
        let mut near: Vec<(String, Vec<String>)> = Vec::new();
        for pool in &self.pools {
            let mut lacks = Vec::new();
            let machine_type = machine_types.iter().find(|k| k.sku == pool.machine_type);
            if !machine_type.is_some_and(|k| fits_machine_type(spec, k)) {
                lacks.push(if allows_machine_type(spec, &pool.machine_type) {
                    "a task does not fit".to_string()
                } else {
                    "kinds_of_host excludes it".to_string()
                });
            }
            if spec.zone.as_ref().is_some_and(|y| *y != pool.zone) {
                lacks.push("yard excludes it".into());
            }
            if pool.spot && !spec.spot {
                lacks.push("the job may not use spot machines".into());
            }
            if Self::block_tier(rules, pool).is_none() {
                lacks.push("rules.cells exclude it".into());
            }
            let scope = Scope {
                my: &my,
                target: Some(&pool.ad),
                now: (at / 1000) as i64,
            };
            for clause in &clauses {
                let value = scope.evaluate(clause);
                if value.truth() != Some(true) {
                    lacks.push(format!("`{}` is {value}", clause.print(&read.names)));
                }
            }
            match set.tier(&pool.machine_type, &pool.zone, pool.spot) {
                Some(tier) if lacks.is_empty() => matching.push((tier, pool.name())),
                _ => near.push((pool.name(), lacks)),
            }
        }
        matching.sort();
        near.sort_by_key(|n| n.1.len());
        near.truncate(MAX_NEAR);
        Ok(Explanation {
            matching: matching.into_iter().map(|m| m.1).collect(),
            unknown,
            near,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kind(sku: &str, cores: f64, zones: &[&str]) -> MachineType {
        let text = serde_json::json!({ "sku": sku, "cores": cores, "ram_gb": 4.0 * cores,
            "fetch_gb_per_s": 0.5, "yards": zones });
        serde_json::from_value(text).unwrap()
    }

    fn matcher() -> (Matcher, Vec<MachineType>) {
        let machine_types = vec![kind("m4", 4.0, &["a", "b"]), kind("m8", 8.0, &["b", "c"])];
        let attributes = serde_json::json!({
            "all": { "OpSys": "LINUX" },
            "kinds": { "m8": { "Department": "posting" } },
            "zones": { "c": { "Department": "ledger", "Racks": [3, 4] } } });
        let attributes: Attributes = serde_json::from_value(attributes).unwrap();
        attributes.check().unwrap();
        (Matcher::new(&machine_types, &attributes), machine_types)
    }

    fn rules(requirements: &str, rank: &str) -> Rules {
        let text = |t: &str| (!t.is_empty()).then(|| t.to_string());
        Rules {
            requirements: text(requirements),
            rank: text(rank),
            ..Rules::default()
        }
    }

    /// Pools that are no product of types and zones, attributes by type and zone, and
    /// what an unknown attribute gives.
    #[test]
    fn requirements_choose_cells() {
        let (m, _) = matcher();
        let all = |r: &Rules| {
            let set = m.evaluate(r, 0).unwrap();
            let mut text = String::new();
            for pool in &m.pools {
                if let Some(t) = set.tier(&pool.machine_type, &pool.zone, pool.spot) {
                    let spot = if pool.spot { "*" } else { "" };
                    text += &format!("{}/{}{spot}:{t} ", pool.machine_type, pool.zone);
                }
            }
            text.trim_end().to_string()
        };
        let table = [
            (
                "(MachineType == \"m4\" && Zone == \"a\" || Cpus >= 8 && Zone == \"c\") && !Spot",
                "",
                "m4/a:0 m8/c:0",
            ),
            ("TARGET.Department == \"POSTING\"", "", "m8/b:0 m8/b*:0"),
            ("member(4, Racks) && Spot", "", "m8/c*:0"),
            ("HasGluster", "", ""),
            (
                "HasGluster =!= true && Memory == 16 * 1024 && Spot == false",
                "",
                "m4/a:0 m4/b:0",
            ),
            ("!Spot", "Cpus", "m4/a:1 m4/b:1 m8/b:0 m8/c:0"),
            (
                "!Spot",
                "(Zone == \"b\") * 10 + NoSuch",
                "m4/a:0 m4/b:0 m8/b:0 m8/c:0",
            ),
            ("!Spot && time() == 7", "", ""),
        ];
        for (requirements, rank, pools) in table {
            assert_eq!(all(&rules(requirements, rank)), pools, "{requirements}");
        }
        assert_eq!(
            m.evaluate(&rules("time() == 7", ""), 7_900)
                .unwrap()
                .tiers(),
            1
        );
        let blocks = serde_json::json!({ "cells": [
            { "kinds": ["m8"], "borrowed": false, "tier": 1 }, { "yards": ["a"] } ],
            "requirements": "Zone != \"c\"" });
        let blocks: Rules = serde_json::from_value(blocks).unwrap();
        assert_eq!(all(&blocks), "m4/a:0 m4/a*:0 m8/b:1");
        let error = m.evaluate(&rules("Cpus >=", ""), 0).unwrap_err();
        assert!(error.starts_with("rules.requirements: 1:8:"), "{error}");
    }

    /// A user is told which attribute no machine has, and what the nearest lack.
    #[test]
    fn what_matches_nothing_is_explained() {
        let (m, machine_types) = matcher();
        let spec = serde_json::json!({ "id": "j-000001", "jobclass": "c", "owner": "t",
            "shape": "sweep", "rank": "standard", "pieces": 1, "cores": 6.0,
            "accelerators": 0.0, "ram_gb": 1.0, "bundle": "b", "image_gb": 0.0,
            "together": false, "apart": false, "borrowed": false, "expected_s": 1.0,
            "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0 });
        let spec: JobSpec = serde_json::from_value(spec).unwrap();
        let why = |text: &str| {
            m.explain(&spec, &rules(text, ""), &machine_types, 0)
                .unwrap()
        };
        let none = why("HasGluster && Department == \"posting\" && OpSys == \"LINUX\"");
        assert_eq!(none.matching, Vec::<String>::new());
        assert_eq!(
            none.told(),
            "rules: no machine matches; no machine advertises HasGluster; nearest: \
             m8 in b (ordinary), but `HasGluster` is undefined"
        );
        let some = why("Zone != \"b\"");
        assert_eq!(some.matching, ["m8 in c (ordinary)"]);
        assert_eq!(some.near[0].1, ["a task does not fit"]);
    }
}
