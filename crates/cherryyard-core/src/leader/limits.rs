//! Team limits, divided among the shards as grants.

use crate::Millis;
use crate::config::Team;
use crate::controller::Controller;
use crate::needs::Needs;
use cherryyard_wire::record::{self, Grant, Key};
use cherryyard_wire::state::{Apply, Commit};

/// Differences of amounts below this are rounding.
const ROUNDING: f64 = 1e-6;

/// A shard's grant after more has been handed out.
#[derive(Clone, Copy, Debug)]
struct ChangedGrant {
    shard_id: usize,
    grant: Grant,
}

/// A limit, or 0 where there is none.
fn finite(limit: f64) -> f64 {
    if limit.is_finite() { limit } else { 0.0 }
}

/// What is left of a team's limits beside grants.
fn unallocated<'a>(team: &Team, grants: impl Iterator<Item = &'a Grant>) -> Grant {
    let mut held = Grant::default();
    for grant in grants {
        held.cores += grant.cores;
        held.acc += grant.acc;
    }
    Grant {
        cores: finite(team.cores_max) - held.cores,
        acc: finite(team.acc_max) - held.acc,
    }
}

/// Whether a grant and what is free of the team's limit let one more task with these
/// `needs` start beside what is `used`.
fn is_enough(team: &Team, used: &Needs, needs: &Needs, grant: &Grant, free: &Grant) -> bool {
    let within =
        |used: f64, more: f64, granted: f64, free: f64| used + more <= granted + free + ROUNDING;
    (team.cores_max.is_infinite() || within(used.cores, needs.cores, grant.cores, free.cores))
        && (team.acc_max.is_infinite() || within(used.acc, needs.acc, grant.acc, free.acc))
}

impl Controller {
    /// Teams whose limit is spread so that some shard lacks capacity under it.
    pub(crate) fn short_teams(&self, now: Millis) -> Vec<String> {
        let teams = self.config.teams.iter().enumerate();
        let limited = teams.filter(|(_, team)| team.limited());
        let short = limited.filter(|&(index, team)| {
            (0..self.shards.len()).any(|shard_id| self.lacks_grant(index, team, shard_id, now))
        });
        let names = short.map(|(index, _)| self.config.team_names.name(index as u32));
        names.map(str::to_string).collect()
    }

    /// Whether a shard wants more of a team's limits than it holds.
    fn lacks_grant(&self, index: usize, team: &Team, shard_id: usize, now: Millis) -> bool {
        let grant = self.mirror.grants[index][shard_id].0;
        let capacity = self.current_capacity(shard_id, now);
        let wants = capacity.and_then(|capacity| capacity.report.wants.get(index));
        wants.is_some_and(|&(_, cores, acc)| {
            cores > grant.cores + ROUNDING && team.cores_max.is_finite()
                || acc > grant.acc + ROUNDING && team.acc_max.is_finite()
        })
    }

    /// Hands out what nobody holds of the teams' limits.
    pub(crate) fn hand_out_grants(&mut self, now: Millis) -> Option<Commit> {
        let shards = self.shards.len();
        let mut commit = Commit::default();
        for (index, team) in self.config.teams.iter().enumerate() {
            if !team.limited() {
                continue;
            }
            // All of the team's grants, and the leader's lease.
            if commit.when.len() + shards + 1 > self.config.max_conditions() {
                break;
            }
            let mut changes = self.raised_grants(index, team, now);
            // What has no room in this transaction goes with a later one: with more shards
            // than changes, a team with a limit once got nothing at all.
            changes.truncate(self.config.txn_ops.saturating_sub(commit.apply.len()));
            if changes.is_empty() {
                continue;
            }
            // Depends on every shard's grant, so that the sum stays within the
            // limit whoever else writes.
            for shard in 0..shards {
                let key = Key::Grant { team: index, shard };
                self.mirror.require(&mut commit, key);
            }
            for change in changes {
                let key = record::grant_key(index, change.shard_id);
                commit.apply.push(Apply::set(key, &change.grant));
            }
        }
        (!commit.apply.is_empty()).then_some(commit)
    }

    /// The grants of a team that are to be raised: at first all to an even part of the
    /// limits, later those of shards that can start more.
    fn raised_grants(&self, index: usize, team: &Team, now: Millis) -> Vec<ChangedGrant> {
        let grants = &self.mirror.grants[index];
        if grants.iter().all(|grant| grant.1 == 0) {
            return self.first_grants(index, team);
        }
        let mut free = unallocated(team, grants.iter().map(|grant| &grant.0));
        let mut changes = Vec::new();
        for (shard_id, (grant, _)) in grants.iter().enumerate() {
            let Some(more) = self.more_for(index, team, shard_id, &free, now) else {
                continue;
            };
            free.cores -= more.cores;
            free.acc -= more.acc;
            let raised = Grant {
                cores: grant.cores + more.cores,
                acc: grant.acc + more.acc,
            };
            if raised.cores > grant.cores + ROUNDING || raised.acc > grant.acc + ROUNDING {
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
                    acc: grant.acc + finite(team.acc_max) / shards,
                },
            })
            .collect()
    }

    /// What a shard gets of what is free of a team's limits, if it wants more and that lets
    /// one more of its waiting tasks start. Less is kept until there is enough: shards give
    /// back what they cannot use.
    fn more_for(
        &self,
        index: usize,
        team: &Team,
        shard_id: usize,
        free: &Grant,
        now: Millis,
    ) -> Option<Grant> {
        let grant = &self.mirror.grants[index][shard_id].0;
        let capacity = self.current_capacity(shard_id, now)?;
        let &(_, wanted_cores, wanted_acc) = capacity.report.wants.get(index)?;
        if wanted_cores <= grant.cores + ROUNDING && wanted_acc <= grant.acc + ROUNDING {
            return None;
        }
        let least = self.least_waiting(shard_id, index)?;
        let used = self.mirror.usage(shard_id)[index];
        is_enough(team, &used, &least, grant, free).then(|| Grant {
            cores: (wanted_cores - grant.cores).min(free.cores).max(0.0),
            acc: (wanted_acc - grant.acc).min(free.acc).max(0.0),
        })
    }
}
