//! Pools of machines, each a machine type in a zone, ordinary or spot, and which of them a job's
//! rules allow and prefer.
//!
//! Rules are evaluated against data that is the same at all controllers: the machine types and
//! operators' attributes that the state service stores. None of it is copied into a job's record,
//! so a change of an attribute costs one write and applies to waiting jobs too.

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

/// Largest number of preference tiers; all less preferred pools share the last tier.
const MAX_TIERS: u16 = 16;
/// Largest number of rules whose pools are cached. A burst of jobs from one submit file has only a
/// few different rules.
const MAX_CACHED_RULES: usize = 512;
/// Megabytes per gigabyte; expressions use memory in MB.
const MB_PER_GB: f64 = 1024.0;
/// Absolute value below which whole numbers become integers in expressions.
const MAX_INTEGER: f64 = 1e15;

/// Reason why rules cannot be evaluated.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RulesError {
    /// The rules do not pass their check, for example because an expression is too long.
    #[error("{0}")]
    Malformed(String),
    /// An expression cannot be parsed.
    #[error("rules.{field}: {error}")]
    Expression {
        /// Field that contains the expression.
        field: &'static str,
        /// Error in the expression.
        error: ParseError,
    },
}

/// Pools that a job's rules allow, each with its preference tier.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct PoolSet {
    /// Tiers by machine type and zone, of the ordinary pool and of the spot pool.
    tiers: BTreeMap<String, BTreeMap<String, [Option<u16>; 2]>>,
    tier_count: u16,
}

impl PoolSet {
    /// Returns the preference tier of a pool, 0 for the most preferred, or none if the pool is
    /// excluded.
    pub fn tier(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u16> {
        self.tiers.get(machine_type)?.get(zone)?[usize::from(spot)]
    }

    /// Returns the number of tiers.
    pub fn tiers(&self) -> u16 {
        self.tier_count
    }

    fn add(&mut self, pool: &MachinePool, tier: u16) {
        let zones = self.tiers.entry(pool.machine_type.clone()).or_default();
        zones.entry(pool.zone.clone()).or_default()[usize::from(pool.spot)] = Some(tier);
        self.tier_count = self.tier_count.max(tier + 1);
    }
}

/// A pool and its attributes.
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
        let operator_attributes = [
            Some(&attributes.all),
            attributes.machine_types.get(&machine_type.sku),
            attributes.zones.get(zone),
        ];
        for (name, value) in operator_attributes.into_iter().flatten().flatten() {
            set(name, value_from_json(value));
        }
        set("MyType", Value::text("Machine"));
        set("MachineType", Value::text(&machine_type.sku));
        set("Zone", Value::text(zone));
        set("Spot", Value::Bool(spot));
        for name in ["Cpus", "TotalCpus"] {
            set(name, value_from_number(machine_type.cores));
        }
        for name in ["Memory", "TotalMemory"] {
            set(name, value_from_number(machine_type.ram_gb * MB_PER_GB));
        }
        for name in ["GPUs", "TotalGPUs"] {
            set(name, value_from_number(machine_type.accelerators));
        }
        set("FetchRate", value_from_number(machine_type.fetch_gb_per_s));
        set("ImageCache", value_from_number(machine_type.cache_gb));
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

    /// Returns the scope in which the expressions of a job submitted at `submitted_at` (in
    /// wall-clock milliseconds) are evaluated.
    fn scope<'a>(&'a self, job_ad: &'a Ad, submitted_at: u64) -> Scope<'a> {
        Scope {
            my: job_ad,
            target: Some(&self.ad),
            now: (submitted_at / 1000) as i64,
        }
    }
}

/// A pool that rules allow, with the criteria that decide its preference.
struct AllowedPool<'a> {
    pool: &'a MachinePool,
    /// Lowest tier of the rules' blocks that contain the pool.
    block_tier: u32,
    /// Value of the rules' rank expression; a higher one is preferred.
    rank: f64,
}

impl AllowedPool<'_> {
    fn is_equally_preferred(&self, other: &Self) -> bool {
        (self.block_tier, self.rank) == (other.block_tier, other.rank)
    }
}

/// Evaluator of rules, with a cache of results.
#[derive(Clone, Debug, Default)]
pub struct Matcher {
    names: Names,
    pools: Vec<MachinePool>,
    cache: HashMap<Rules, Arc<PoolSet>>,
}

/// Rules whose expressions have been parsed.
struct ParsedRules {
    names: Names,
    requirements: Option<Expr>,
    rank: Option<Expr>,
}

/// Converts an attribute's value from JSON.
fn value_from_json(json: &serde_json::Value) -> Value {
    match json {
        serde_json::Value::Bool(value) => Value::Bool(*value),
        serde_json::Value::Number(value) => match value.as_i64() {
            Some(whole) => Value::Int(whole),
            None => value.as_f64().map_or(Value::Error, Value::Real),
        },
        serde_json::Value::String(value) => Value::text(value),
        serde_json::Value::Array(values) => {
            Value::List(values.iter().map(value_from_json).collect())
        }
        serde_json::Value::Null | serde_json::Value::Object(_) => Value::Undefined,
    }
}

/// Converts a number, whole ones to integers, so that a comparison such as `Cpus =?= 8` holds.
fn value_from_number(value: f64) -> Value {
    if value.fract() == 0.0 && value.abs() < MAX_INTEGER {
        Value::Int(value as i64)
    } else {
        Value::Real(value)
    }
}

/// Returns whether the result of the rules may change with time: an expression contains "time".
fn depends_on_time(rules: &Rules) -> bool {
    let expressions = [&rules.requirements, &rules.rank];
    let mentions_time = |text: &String| text.to_ascii_lowercase().contains("time");
    expressions.into_iter().flatten().any(mentions_time)
}

impl Matcher {
    /// Creates a matcher for these machine types and operators' attributes.
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
            cache: HashMap::new(),
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

    /// Returns the lowest tier of the rules' blocks that contain a pool, or none if no block does.
    /// Rules without blocks contain all pools, in tier 0.
    fn block_tier(rules: &Rules, pool: &MachinePool) -> Option<u32> {
        if rules.pools.is_empty() {
            return Some(0);
        }
        let includes = |listed: &Option<Vec<String>>, name: &String| {
            listed.as_ref().is_none_or(|listed| listed.contains(name))
        };
        let containing = rules.pools.iter().filter(|block| {
            includes(&block.machine_types, &pool.machine_type)
                && includes(&block.zones, &pool.zone)
                && block.spot.is_none_or(|spot| spot == pool.spot)
        });
        containing.map(|block| block.tier).min()
    }

    /// Evaluates the rules of a job submitted at `submitted_at`, in wall-clock milliseconds. In
    /// their expressions, `time()` returns this time in seconds.
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
        for (i, allowed_pool) in allowed.iter().enumerate() {
            let is_less_preferred = i > 0 && !allowed[i - 1].is_equally_preferred(allowed_pool);
            if is_less_preferred && tier + 1 < MAX_TIERS {
                tier += 1;
            }
            set.add(allowed_pool.pool, tier);
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
            // A rank that is not a finite number counts as 0, as published.
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

    /// Returns the pools that rules allow, and caches them for other jobs with the same rules
    /// unless the rules depend on time. Rules that cannot be evaluated allow no pool: another
    /// build accepted them when the job was admitted.
    pub fn pools(&mut self, rules: &Rules, submitted_at: u64) -> Arc<PoolSet> {
        if let Some(cached) = self.cache.get(rules) {
            return cached.clone();
        }
        let pools = self.evaluate(rules, submitted_at);
        let pools = Arc::new(pools.unwrap_or_else(|error| {
            tracing::warn!(%error, "job rules cannot be evaluated, job runs nowhere");
            PoolSet::default()
        }));
        if !depends_on_time(rules) {
            if self.cache.len() >= MAX_CACHED_RULES {
                self.cache.clear();
            }
            self.cache.insert(rules.clone(), pools.clone());
        }
        pools
    }
}
