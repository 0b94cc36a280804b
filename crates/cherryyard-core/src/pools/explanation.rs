//! Explanations for users of why a job may run in some pools and not in others.

use super::{MachinePool, Matcher, ParsedRules, RulesError};
use crate::admit::{allows_machine_type, fits_machine_type};
use cherryyard_classad::{Ad, Expr};
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::job::JobSpec;
use cherryyard_wire::rules::Rules;
use serde::{Deserialize, Serialize};

/// Largest number of pools that an explanation lists as near.
const MAX_NEAR: usize = 5;

/// Explanation of which pools a job may run in, and why not in the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Pools that the job may use and that its tasks fit, the most preferred first.
    pub matching: Vec<String>,
    /// Attributes that the job's expressions name and no machine has.
    pub unknown: Vec<String>,
    /// Other pools with the fewest unmet conditions, and these conditions.
    pub near: Vec<(String, Vec<String>)>,
}

impl Explanation {
    /// Returns a summary in one line, for the response that refuses the job.
    pub fn summary(&self) -> String {
        let mut text = String::from("rules: no machine matches");
        if !self.unknown.is_empty() {
            text += &format!("; no machine advertises {}", self.unknown.join(", "));
        }
        if let Some((pool, unmet)) = self.near.first() {
            text += &format!("; nearest: {pool}, but {}", unmet.join(", and "));
        }
        text
    }
}

impl Matcher {
    /// Explains which pools a job may run in, which attributes in its expressions no machine has,
    /// and which conditions the nearest other pools do not meet.
    pub fn explain(
        &self,
        spec: &JobSpec,
        rules: &Rules,
        machine_types: &[MachineType],
        submitted_at: u64,
    ) -> Result<Explanation, RulesError> {
        let parsed = self.parse(rules)?;
        let set = self.pools_of(rules, &parsed, submitted_at);
        let requirements = parsed.requirements.as_ref();
        let clauses: Vec<Expr> = requirements.map_or_else(Vec::new, Expr::clauses);
        let job_ad = Ad::default();
        let mut matching: Vec<(u16, String)> = Vec::new();
        let mut near: Vec<(String, Vec<String>)> = Vec::new();
        for pool in &self.pools {
            let mut unmet = unmet_by_spec(spec, pool, machine_types);
            if Self::block_tier(rules, pool).is_none() {
                unmet.push("rules.cells exclude it".into());
            }
            let scope = pool.scope(&job_ad, submitted_at);
            for clause in &clauses {
                let value = scope.evaluate(clause);
                if value.truth() != Some(true) {
                    unmet.push(format!("`{}` is {value}", clause.print(&parsed.names)));
                }
            }
            match set.tier(&pool.machine_type, &pool.zone, pool.spot) {
                Some(tier) if unmet.is_empty() => matching.push((tier, pool.name())),
                _ => near.push((pool.name(), unmet)),
            }
        }
        matching.sort();
        near.sort_by_key(|(_, unmet)| unmet.len());
        near.truncate(MAX_NEAR);
        Ok(Explanation {
            matching: matching.into_iter().map(|(_, name)| name).collect(),
            unknown: self.unknown_attributes(&parsed),
            near,
        })
    }

    /// Returns the attributes that expressions name and no pool has, in the order of their first
    /// use.
    fn unknown_attributes(&self, parsed: &ParsedRules) -> Vec<String> {
        let mut unknown: Vec<String> = Vec::new();
        for expr in parsed.requirements.iter().chain(&parsed.rank) {
            for name in expr.attributes() {
                let text = parsed.names.name(name).to_string();
                let in_no_pool = || self.pools.iter().all(|pool| pool.ad.get(name).is_none());
                if !unknown.contains(&text) && in_no_pool() {
                    unknown.push(text);
                }
            }
        }
        unknown
    }
}

/// Returns the conditions of the submission's own fields that a pool does not meet.
fn unmet_by_spec(spec: &JobSpec, pool: &MachinePool, machine_types: &[MachineType]) -> Vec<String> {
    let mut unmet = Vec::new();
    let mut known = machine_types.iter();
    let machine_type = known.find(|known| known.sku == pool.machine_type);
    if !machine_type.is_some_and(|machine_type| fits_machine_type(spec, machine_type)) {
        unmet.push(if allows_machine_type(spec, &pool.machine_type) {
            "a task does not fit".to_string()
        } else {
            "kinds_of_host excludes it".to_string()
        });
    }
    if spec.zone.as_ref().is_some_and(|zone| *zone != pool.zone) {
        unmet.push("yard excludes it".into());
    }
    if pool.spot && !spec.spot {
        unmet.push("the job may not use spot machines".into());
    }
    unmet
}
