//! Pools: machine types by zone, ordinary or spot, and which of them a job's rules
//! allow and prefer.
//!
//! Rules are evaluated against what all controllers know alike: the machine types and
//! operators' attributes as the state service holds them. Nothing of it is kept in a
//! job's record, so a change of an attribute costs one write, and what waits follows it.

mod explanation;
#[cfg(test)]
mod tests;

use cherryyard_classad::{Ad, Expr, Names, ParseError, Scope, Value};
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::rules::{Attributes, Rules};
pub use explanation::Explanation;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use thiserror::Error;

/// Most tiers of preference; what is liked less is all alike.
const MAX_TIERS: u16 = 16;
/// Rules whose pools are kept: a flood of jobs from one file has a few.
const MAX_KNOWN: usize = 512;
/// Memory is given in MB in expressions.
const MB_PER_GB: f64 = 1024.0;
/// Whole numbers up to here are written as such.
const MAX_WHOLE: f64 = 1e15;

/// Why rules cannot be evaluated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RulesError {
    /// They are larger than they may be, or no rules at all.
    #[error("{0}")]
    Malformed(String),
    /// An expression cannot be parsed.
    #[error("rules.{field}: {error}")]
    Expression {
        /// The field that holds it.
        field: &'static str,
        /// What is wrong with it.
        error: ParseError,
    },
}

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
    fn new(
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        attributes: &Attributes,
        names: &mut Names,
    ) -> Self {
        let mut ad = Ad::default();
        let mut set = |name: &str, value| ad.set_value(names.intern(name), value);
        let operators_own = [
            Some(&attributes.all),
            attributes.machine_types.get(&machine_type.sku),
            attributes.zones.get(zone),
        ];
        for (name, value) in operators_own.into_iter().flatten().flatten() {
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
            set(name, number(machine_type.ram_gb * MB_PER_GB));
        }
        for name in ["GPUs", "TotalGPUs"] {
            set(name, number(machine_type.accelerators));
        }
        set("FetchRate", number(machine_type.fetch_gb_per_s));
        set("ImageCache", number(machine_type.cache_gb));
        Self {
            machine_type: machine_type.sku.clone(),
            zone: zone.to_string(),
            spot,
            ad,
        }
    }

    fn name(&self) -> String {
        let sort = if self.spot { "spot" } else { "ordinary" };
        format!("{} in {} ({sort})", self.machine_type, self.zone)
    }

    /// What an expression of a job sees that was submitted at `submitted_at`.
    fn scope<'a>(&'a self, job_ad: &'a Ad, submitted_at: u64) -> Scope<'a> {
        Scope {
            my: job_ad,
            target: Some(&self.ad),
            now: (submitted_at / 1000) as i64,
        }
    }
}

/// A pool that rules allow, with what decides how much they prefer it.
struct AllowedPool<'a> {
    pool: &'a MachinePool,
    /// Of the blocks of rules that hold it, the lowest.
    block_tier: u32,
    /// By the rules' expression; more is better.
    rank: f64,
}

impl AllowedPool<'_> {
    fn is_liked_as(&self, other: &Self) -> bool {
        (self.block_tier, self.rank) == (other.block_tier, other.rank)
    }
}

/// Evaluates rules.
#[derive(Clone, Debug, Default)]
pub struct Matcher {
    names: Names,
    pools: Vec<MachinePool>,
    known: HashMap<Rules, Arc<PoolSet>>,
}

/// Rules whose expressions have been parsed.
struct ParsedRules {
    names: Names,
    requirements: Option<Expr>,
    rank: Option<Expr>,
}

/// An attribute's value, given as JSON.
fn value_of(json: &serde_json::Value) -> Value {
    match json {
        serde_json::Value::Bool(value) => Value::Bool(*value),
        serde_json::Value::Number(value) => match value.as_i64() {
            Some(whole) => Value::Int(whole),
            None => value.as_f64().map_or(Value::Error, Value::Real),
        },
        serde_json::Value::String(value) => Value::text(value),
        serde_json::Value::Array(values) => Value::List(values.iter().map(value_of).collect()),
        serde_json::Value::Null | serde_json::Value::Object(_) => Value::Undefined,
    }
}

/// Whole numbers as such: expressions compare `Cpus =?= 8`.
fn number(value: f64) -> Value {
    if value.fract() == 0.0 && value.abs() < MAX_WHOLE {
        Value::Int(value as i64)
    } else {
        Value::Real(value)
    }
}

/// Whether rules say something else at another time.
fn depends_on_time(rules: &Rules) -> bool {
    let expressions = [&rules.requirements, &rules.rank];
    let names_time = |text: &String| text.to_ascii_lowercase().contains("time");
    expressions.into_iter().flatten().any(names_time)
}

impl Matcher {
    /// One for these types and attributes.
    pub fn new(machine_types: &[MachineType], attributes: &Attributes) -> Self {
        let mut names = Names::default();
        let mut pools = Vec::new();
        for machine_type in machine_types {
            for zone in &machine_type.zones {
                for spot in [false, true] {
                    let pool = MachinePool::new(machine_type, zone, spot, attributes, &mut names);
                    pools.push(pool);
                }
            }
        }
        Self {
            names,
            pools,
            known: HashMap::new(),
        }
    }

    fn parse(&self, rules: &Rules) -> Result<ParsedRules, RulesError> {
        rules
            .check()
            .map_err(|error| RulesError::Malformed(error.to_string()))?;
        let mut names = self.names.clone();
        let mut parse = |field, text: &Option<String>| {
            let expr = text.as_ref().map(|text| Expr::parse(text, &mut names));
            expr.transpose()
                .map_err(|error| RulesError::Expression { field, error })
        };
        let requirements = parse("requirements", &rules.requirements)?;
        let rank = parse("rank", &rules.rank)?;
        Ok(ParsedRules {
            names,
            requirements,
            rank,
        })
    }

    /// The lowest tier of the blocks that hold a pool.
    fn block_tier(rules: &Rules, pool: &MachinePool) -> Option<u32> {
        if rules.pools.is_empty() {
            return Some(0);
        }
        let within = |listed: &Option<Vec<String>>, name: &String| {
            listed.as_ref().is_none_or(|listed| listed.contains(name))
        };
        let holding = rules.pools.iter().filter(|block| {
            within(&block.machine_types, &pool.machine_type)
                && within(&block.zones, &pool.zone)
                && block.spot.is_none_or(|spot| spot == pool.spot)
        });
        holding.map(|block| block.tier).min()
    }

    /// What a job's rules come to, for a job submitted at `submitted_at` (milliseconds of
    /// the day's clock, which is what `time()` says in them).
    pub fn evaluate(&self, rules: &Rules, submitted_at: u64) -> Result<PoolSet, RulesError> {
        Ok(self.pools_of(rules, &self.parse(rules)?, submitted_at))
    }

    fn pools_of(&self, rules: &Rules, parsed: &ParsedRules, submitted_at: u64) -> PoolSet {
        let mut allowed = self.allowed_pools(rules, parsed, submitted_at);
        allowed.sort_by(|a, b| {
            let by_rank = b.rank.total_cmp(&a.rank);
            by_rank.then(a.block_tier.cmp(&b.block_tier))
        });
        let mut set = PoolSet::default();
        let mut tier = 0;
        for (i, one) in allowed.iter().enumerate() {
            let liked_less = i > 0 && !allowed[i - 1].is_liked_as(one);
            if liked_less && tier + 1 < MAX_TIERS {
                tier += 1;
            }
            set.add(one.pool, tier);
        }
        set
    }

    fn allowed_pools(
        &self,
        rules: &Rules,
        parsed: &ParsedRules,
        submitted_at: u64,
    ) -> Vec<AllowedPool<'_>> {
        let job_ad = Ad::default();
        let mut allowed = Vec::new();
        for pool in &self.pools {
            let scope = pool.scope(&job_ad, submitted_at);
            let Some(block_tier) = Self::block_tier(rules, pool) else {
                continue;
            };
            let requirements = parsed.requirements.as_ref();
            if requirements.is_some_and(|requirements| !scope.holds(requirements)) {
                continue;
            }
            // What is no number counts as 0, as published.
            let rank = parsed.rank.as_ref();
            let rank = rank.and_then(|rank| scope.evaluate(rank).real());
            let rank = rank.filter(|rank| rank.is_finite()).unwrap_or(0.0);
            allowed.push(AllowedPool {
                pool,
                block_tier,
                rank,
            });
        }
        allowed
    }

    /// The same, kept for other jobs with the same rules. Rules that cannot be read
    /// allow nothing: they were read when the job was admitted, by another build.
    pub fn pools(&mut self, rules: &Rules, submitted_at: u64) -> Arc<PoolSet> {
        if let Some(known) = self.known.get(rules) {
            return known.clone();
        }
        let pools = self.evaluate(rules, submitted_at);
        let pools = Arc::new(pools.unwrap_or_else(|error| {
            tracing::warn!(%error, "job rules cannot be evaluated, job runs nowhere");
            PoolSet::default()
        }));
        if !depends_on_time(rules) {
            if self.known.len() >= MAX_KNOWN {
                self.known.clear();
            }
            self.known.insert(rules.clone(), pools.clone());
        }
        pools
    }
}
