//! Team limits, divided among the shards as grants.

use crate::Millis;
use crate::config::Team;
use crate::controller::Controller;
use crate::needs::Resources;
use cherryyard_wire::record::{self, Grant, Key};
use cherryyard_wire::state::{Change, Commit};

/// Tolerance for rounding errors in amounts.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// A shard's grant after an increase.
#[derive(Clone, Copy, Debug)]
struct ChangedGrant {
    shard_id: usize,
    grant: Grant,
}

/// Returns a limit, or 0 if it is infinite.
fn finite(limit: f64) -> f64 {
    if limit.is_finite() { limit } else { 0.0 }
}

/// Returns the part of a team's limits that no shard has been granted.
fn unallocated<'a>(team: &Team, grants: impl Iterator<Item = &'a Grant>) -> Grant {
    let mut total_granted = Grant::default();
    for grant in grants {
        total_granted.cores += grant.cores;
        total_granted.accelerators += grant.accelerators;
    }
    Grant {
        cores: finite(team.cores_max) - total_granted.cores,
        accelerators: finite(team.accelerators_max) - total_granted.accelerators,
    }
}

/// Returns whether a grant and the unallocated part of the team's limits allow one more task with
/// these `needs` to start in addition to what is `used`.
fn allows_one_more_task(
    team: &Team,
    used: &Resources,
    needs: &Resources,
    grant: &Grant,
    free: &Grant,
) -> bool {
    let within = |used: f64, more: f64, granted: f64, free: f64| {
        used + more <= granted + free + ROUNDING_TOLERANCE
    };
    (team.cores_max.is_infinite() || within(used.cores, needs.cores, grant.cores, free.cores))
        && (team.accelerators_max.is_infinite()
            || within(
                used.accelerators,
                needs.accelerators,
                grant.accelerators,
                free.accelerators,
            ))
}

impl Controller {
    /// Returns the names of the teams of whose limits some shard wants more than its grant.
    pub(crate) fn short_teams(&self, now: Millis) -> Vec<String> {
        let teams = self.config.teams.iter().enumerate();
        let limited = teams.filter(|(_, team)| team.limited());
        let short = limited.filter(|&(index, team)| {
            (0..self.shards.len()).any(|shard_id| self.lacks_grant(index, team, shard_id, now))
        });
        let names = short.map(|(index, _)| self.config.team_names.name(index as u32));
        names.map(str::to_string).collect()
    }

    /// Returns whether a shard wants more of a team's limits than its grant.
    fn lacks_grant(&self, index: usize, team: &Team, shard_id: usize, now: Millis) -> bool {
        let grant = self.mirror.grants[index][shard_id].0;
        let capacity = self.current_capacity(shard_id, now);
        let wants = capacity.and_then(|capacity| capacity.report.team_demand.get(index));
        wants.is_some_and(|&(_, cores, accelerators)| {
            cores > grant.cores + ROUNDING_TOLERANCE && team.cores_max.is_finite()
                || accelerators > grant.accelerators + ROUNDING_TOLERANCE
                    && team.accelerators_max.is_finite()
        })
    }

    /// Returns the transaction that grants shards more of the unallocated parts of the teams'
    /// limits.
    pub(crate) fn hand_out_grants(&mut self, now: Millis) -> Option<Commit> {
        let shards = self.shards.len();
        let mut commit = Commit::default();
        for (index, team) in self.config.teams.iter().enumerate() {
            if !team.limited() {
                continue;
            }
            // The transaction requires all of the team's grants and the leader's lease.
            if commit.conditions.len() + shards + 1 > self.config.max_conditions() {
                break;
            }
            let mut changes = self.raised_grants(index, team, now);
            // Changes that do not fit into this transaction are left to a later one. If all of a
            // team's changes had to fit into one transaction, a team with a limit would get no
            // grant at all when there are more shards than changes in a transaction.
            changes.truncate(self.config.txn_ops.saturating_sub(commit.changes.len()));
            if changes.is_empty() {
                continue;
            }
            // The transaction depends on every shard's grant, so that their sum stays within the
            // limit whatever other controllers write.
            for shard in 0..shards {
                let key = Key::Grant { team: index, shard };
                self.mirror.require(&mut commit, key);
            }
            for change in changes {
                let key = record::grant_key(index, change.shard_id);
                commit.changes.push(Change::set(key, &change.grant));
            }
        }
        (!commit.changes.is_empty()).then_some(commit)
    }

    /// Returns the grants of a team that are to be raised: at first all, by an even part of the
    /// limits, later those of shards that can start more tasks.
    fn raised_grants(&self, index: usize, team: &Team, now: Millis) -> Vec<ChangedGrant> {
        let grants = &self.mirror.grants[index];
        if grants.iter().all(|grant| grant.1 == 0) {
            return self.first_grants(index, team);
        }
        let mut free = unallocated(team, grants.iter().map(|grant| &grant.0));
        let mut changes = Vec::new();
        for (shard_id, (grant, _)) in grants.iter().enumerate() {
            let Some(more) = self.increase_for(index, team, shard_id, &free, now) else {
                continue;
            };
            free.cores -= more.cores;
            free.accelerators -= more.accelerators;
            let raised = Grant {
                cores: grant.cores + more.cores,
                accelerators: grant.accelerators + more.accelerators,
            };
            if raised.cores > grant.cores + ROUNDING_TOLERANCE
                || raised.accelerators > grant.accelerators + ROUNDING_TOLERANCE
            {
                changes.push(ChangedGrant {
                    shard_id,
                    grant: raised,
                });
            }
        }
        changes
    }

    fn first_grants(&self, index: usize, team: &Team) -> Vec<ChangedGrant> {
        let shards = self.shards.len() as f64;
        let grants = self.mirror.grants[index].iter().enumerate();
        grants
            .map(|(shard_id, (grant, _))| ChangedGrant {
                shard_id,
                grant: Grant {
                    cores: grant.cores + finite(team.cores_max) / shards,
                    accelerators: grant.accelerators + finite(team.accelerators_max) / shards,
                },
            })
            .collect()
    }

    /// Returns what a shard is granted of the unallocated part of a team's limits, if the shard
    /// wants more and the increase allows one more of its waiting tasks to start. Smaller amounts
    /// are kept until there is enough, as shards give back what they cannot use.
    fn increase_for(
        &self,
        index: usize,
        team: &Team,
        shard_id: usize,
        free: &Grant,
        now: Millis,
    ) -> Option<Grant> {
        let grant = &self.mirror.grants[index][shard_id].0;
        let capacity = self.current_capacity(shard_id, now)?;
        let &(_, wanted_cores, wanted_accelerators) = capacity.report.team_demand.get(index)?;
        if wanted_cores <= grant.cores + ROUNDING_TOLERANCE
            && wanted_accelerators <= grant.accelerators + ROUNDING_TOLERANCE
        {
            return None;
        }
        let least = self.least_waiting(shard_id, index)?;
        let used = self.mirror.usage(shard_id)[index];
        allows_one_more_task(team, &used, &least, grant, free).then(|| Grant {
            cores: (wanted_cores - grant.cores).min(free.cores).max(0.0),
            accelerators: (wanted_accelerators - grant.accelerators)
                .min(free.accelerators)
                .max(0.0),
        })
    }
}
