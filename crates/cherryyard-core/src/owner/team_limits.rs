//! Team limits: a shard starts tasks only within its grants of the teams' limits, and returns the
//! parts of the grants that it does not need.

use super::placement::{Candidate, Placement};
use super::state::PendingCycle;
use crate::Millis;
use crate::admission::queue::Queues;
use crate::controller::Controller;
use crate::effects::{Effect, Ticket};
use crate::mirror::OpenJob;
use crate::needs::Resources;
use cherryyard_wire::job::Shape;
use cherryyard_wire::peer::CapacityReport;
use cherryyard_wire::record::{self, Grant};
use cherryyard_wire::state::{Change, Commit};

/// Time for which a shard keeps the remainder of a grant that none of its waiting tasks fits into.
const UNUSABLE_REMAINDER_MS: f64 = 2000.0;
/// Tolerance for rounding in comparisons of cores and accelerators.
const ROUNDING: f64 = 1e-6;
/// Maximum number of conditions for lowering a grant: the grant, the last page and the one after
/// it.
const CONDITIONS_OF_GRANT: usize = 3;

impl Controller {
    /// Returns whether a task of the job may start under its team's grant in the shard: the grant
    /// is large enough, and its remainder is not kept for another job. If the grant is too small
    /// and the job is the oldest of its flow that has not started, the remainder is kept for the
    /// job, unless the team's services alone leave too little or it has been kept for too long.
    pub(super) fn may_start(
        &mut self,
        placement: &mut Placement,
        candidate: &Candidate,
        queues: &Queues,
    ) -> bool {
        let (job, team) = (candidate.job, candidate.team as usize);
        let kept_for = placement.remainder_kept_for.get(&team);
        if kept_for.is_some_and(|other| *other != job) {
            return false;
        }
        let shard_id = placement.shard_id;
        if !self.exceeds_grant(shard_id, candidate.team, &placement.used, &candidate.needs) {
            return true;
        }
        // Otherwise smaller tasks would take each released part of the grant before it adds up to
        // enough for this job.
        if queues.oldest_job(candidate.flow) == Some(job)
            && !self.has_started(job)
            && self.fits_beside_services(shard_id, candidate)
            && self.shards[shard_id]
                .kept_remainders
                .keep(team, job, placement.now)
        {
            placement.remainder_kept_for.insert(team, job);
        }
        false
    }

    /// Returns whether a task would be within its team's grant once the shard's arrays are done.
    fn fits_beside_services(&self, shard_id: usize, candidate: &Candidate) -> bool {
        let held = self.held_by_services(shard_id);
        !self.exceeds_grant(shard_id, candidate.team, &held, &candidate.needs)
    }

    /// Returns the capacity that each team's services use in the shard, which is not released by
    /// itself.
    fn held_by_services(&self, shard_id: usize) -> Vec<Resources> {
        let mut held = vec![Resources::default(); self.config.teams.len()];
        let assigned = self
            .mirror
            .tasks
            .assignments
            .range((shard_id, 0)..=(shard_id, u64::MAX));
        for (&(_, job), job_tasks) in assigned {
            if let Some(open) = self.mirror.open.get(&job)
                && open.spec.shape == Shape::Service
                && let Some(held) = held.get_mut(open.team as usize)
            {
                (0..job_tasks.assignments.len()).for_each(|_| held.add(&open.needs()));
            }
        }
        held
    }

    /// Returns whether one more task would exceed the team's grant in the shard, given what each
    /// team uses there now.
    pub(crate) fn exceeds_grant(
        &self,
        shard_id: usize,
        team: u32,
        used: &[Resources],
        more: &Resources,
    ) -> bool {
        let team = team as usize;
        let limits = &self.config.teams[team];
        let (grant, _) = &self.mirror.grants[team][shard_id];
        let used = &used[team];
        limits.cores_max.is_finite() && used.cores + more.cores > grant.cores + ROUNDING
            || limits.accelerators_max.is_finite()
                && used.accelerators + more.accelerators > grant.accelerators + ROUNDING
    }

    /// Returns the smallest amount of each resource that any of a team's waiting tasks in a shard
    /// needs.
    pub(crate) fn least_waiting(&self, shard_id: usize, team: usize) -> Option<Resources> {
        let waiting = self.mirror.tasks.waiting[shard_id].keys();
        let open = waiting.filter_map(|job| self.mirror.open.get(job));
        let of_team = open.filter(|open| open.team as usize == team);
        of_team.map(OpenJob::needs).reduce(|a, b| Resources {
            cores: a.cores.min(b.cores),
            accelerators: a.accelerators.min(b.accelerators),
            ram_gb: a.ram_gb.min(b.ram_gb),
        })
    }

    /// Returns whether tasks of a team wait in the shard while the remainder of its grant has for
    /// some time been too small for any of them. Such remainders of several shards are only useful
    /// if they are combined.
    fn remainder_is_unusable(
        &mut self,
        shard_id: usize,
        team: usize,
        used: &[Resources],
        now: Millis,
    ) -> bool {
        let least = self.least_waiting(shard_id, team);
        let is_unusable =
            least.is_some_and(|least| self.exceeds_grant(shard_id, team as u32, used, &least));
        let unusable_since = &mut self.shards[shard_id].unusable_remainders;
        if !is_unusable {
            unusable_since.remove(&team);
            return false;
        }
        now - *unusable_since.entry(team).or_insert(now) >= UNUSABLE_REMAINDER_MS
    }

    /// Lowers the grants of owned shards for teams of which another shard wants more than its
    /// grant, by the parts that these shards do not need.
    pub(crate) fn lower_grants(&mut self, short_teams: &[String], now: Millis) {
        for shard_id in 0..self.shards.len() {
            let Some(token) = self.owned_token(shard_id) else {
                continue;
            };
            if self.shards[shard_id].pending.is_some() || !self.state_fresh(now) {
                continue;
            }
            let mut commit = self.lowered_grants(shard_id, token, short_teams, now);
            if !commit.changes.is_empty() {
                // Requires that no assignment has been made since, as the leader's moves do: if the
                // answer is lost, this transaction may be applied after later scheduling cycles,
                // which rely on the old grant and do not change it.
                self.mirror.require_last_page(&mut commit, shard_id);
                // Takes the place of a scheduling cycle, so that no assignment is in flight at the
                // same time.
                self.shards[shard_id].pending = Some(PendingCycle::default());
                self.effects
                    .push(Effect::Commit(Ticket::OwnerCycle(shard_id), commit));
            }
        }
    }

    /// Returns the transaction that lowers a shard's grants of the teams in `short_teams`; it has
    /// no changes if the shard needs all of its grants.
    fn lowered_grants(
        &mut self,
        shard_id: usize,
        token: u64,
        short_teams: &[String],
        now: Millis,
    ) -> Commit {
        let report = self.capacity_report(shard_id, now);
        let used = self.mirror.usage(shard_id);
        let mut commit = Commit::default();
        commit.require(record::shard_key(shard_id), token);
        for name in short_teams {
            if commit.changes.len() >= self.config.txn_ops
                || commit.conditions.len() + CONDITIONS_OF_GRANT > self.config.max_conditions()
            {
                break;
            }
            let Some(team) = self.config.team_names.get(name).map(|team| team as usize) else {
                continue;
            };
            let (grant, revision) = self.mirror.grants[team][shard_id];
            let is_unusable = self.remainder_is_unusable(shard_id, team, &used, now);
            let kept = if is_unusable {
                Grant {
                    cores: used[team].cores.min(grant.cores),
                    accelerators: used[team].accelerators.min(grant.accelerators),
                }
            } else {
                needed_grant(&grant, &report, team)
            };
            let is_lower = kept.cores < grant.cores - ROUNDING
                || kept.accelerators < grant.accelerators - ROUNDING;
            if revision != 0 && is_lower {
                let key = record::grant_key(team, shard_id);
                commit.require(key.clone(), revision);
                commit.changes.push(Change::set(key, &kept));
            }
        }
        commit
    }
}

/// Returns the part of a grant that a shard keeps: what it wants, which is never below what is
/// assigned, and half of the rest, so that its next job need not wait for the leader.
fn needed_grant(grant: &Grant, report: &CapacityReport, team: usize) -> Grant {
    let (cores, accelerators) = report
        .team_demand
        .get(team)
        .map_or((0.0, 0.0), |w| (w.1, w.2));
    let kept = |have: f64, want: f64| {
        let half_of_remainder = (have - want) / 2.0;
        if half_of_remainder < 1.0 {
            have.min(want)
        } else {
            want + half_of_remainder
        }
    };
    Grant {
        cores: kept(grant.cores, cores),
        accelerators: kept(grant.accelerators, accelerators),
    }
}
