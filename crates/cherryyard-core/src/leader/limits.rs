//! Team limits, handed out to the shards.

use super::*;

impl Controller {
    /// Teams whose limit is spread so that some shard lacks room under it.
    pub(crate) fn short_teams(&self, now: Millis) -> Vec<String> {
        let mut short = Vec::new();
        for (t, team) in self.config.teams.iter().enumerate() {
            if !team.limited() {
                continue;
            }
            let lacking = (0..self.shards.len()).any(|shard_id| {
                let grant = self.mirror.grants[t][shard_id].0;
                self.current_capacity(shard_id, now).is_some_and(|r| {
                    r.report.wants.get(t).is_some_and(|w| {
                        w.1 > grant.cores + 1e-6 && team.cores_max.is_finite()
                            || w.2 > grant.acc + 1e-6 && team.acc_max.is_finite()
                    })
                })
            });
            if lacking {
                short.push(self.config.team_names.name(t as u32).to_string());
            }
        }
        short
    }

    /// Whether a shard's grant with what is free of the team's limit lets one more of its
    /// waiting tasks start. Less is kept until there is enough: shards give back what they
    /// cannot use.
    fn is_enough(&self, t: usize, shard_id: usize, grant: &Grant, free: &Grant) -> bool {
        let team = &self.config.teams[t];
        let Some(least) = self.least_waiting(shard_id, t) else {
            return false;
        };
        let used = self.mirror.usage(shard_id)[t];
        (team.cores_max.is_infinite()
            || used.cores + least.cores <= grant.cores + free.cores + 1e-6)
            && (team.acc_max.is_infinite() || used.acc + least.acc <= grant.acc + free.acc + 1e-6)
    }

    /// Hands out what nobody holds of the teams' limits.
    pub(crate) fn hand_out_grants(&mut self, now: Millis) -> Option<Commit> {
        let n = self.shards.len();
        let mut commit = Commit::default();
        for t in 0..self.config.teams.len() {
            let team = &self.config.teams[t];
            if !team.limited() {
                continue;
            }
            // All of the team's grants, and the lead.
            if commit.when.len() + n + 1 > self.config.max_conditions() {
                break;
            }
            let grants = &self.mirror.grants[t];
            let fresh = grants.iter().all(|g| g.1 == 0);
            let held: Grant = grants.iter().fold(Grant::default(), |a, g| Grant {
                cores: a.cores + g.0.cores,
                acc: a.acc + g.0.acc,
            });
            let most = |x: f64| if x.is_finite() { x } else { 0.0 };
            let mut free_cores = most(team.cores_max) - held.cores;
            let mut free_acc = most(team.acc_max) - held.acc;
            let mut changes = Vec::new();
            for (shard_id, (grant, _)) in grants.iter().enumerate() {
                let mut new = *grant;
                if fresh {
                    new.cores += most(team.cores_max) / n as f64;
                    new.acc += most(team.acc_max) / n as f64;
                } else if let Some(r) = self.current_capacity(shard_id, now)
                    && let Some(w) = r.report.wants.get(t)
                {
                    let wants = w.1 > new.cores + 1e-6 || w.2 > new.acc + 1e-6;
                    let free = Grant {
                        cores: free_cores,
                        acc: free_acc,
                    };
                    if !wants || !self.is_enough(t, shard_id, &new, &free) {
                        continue;
                    }
                    let more = (w.1 - new.cores).min(free_cores).max(0.0);
                    let more_acc = (w.2 - new.acc).min(free_acc).max(0.0);
                    new.cores += more;
                    new.acc += more_acc;
                    free_cores -= more;
                    free_acc -= more_acc;
                }
                if fresh || new.cores > grant.cores + 1e-6 || new.acc > grant.acc + 1e-6 {
                    changes.push((shard_id, new));
                }
            }
            // What has no room in this transaction goes with a later one: with more shards
            // than changes, a team with a limit once got nothing at all.
            changes.truncate(self.config.txn_ops.saturating_sub(commit.apply.len()));
            if changes.is_empty() {
                continue;
            }
            // Depends on every shard's grant, so that the sum stays within the
            // limit whoever else writes.
            for shard_id in 0..n {
                self.mirror.require(
                    &mut commit,
                    Key::Grant {
                        team: t,
                        shard: shard_id,
                    },
                );
            }
            for (shard_id, grant) in changes {
                commit
                    .apply
                    .push(Apply::set(record::grant_key(t, shard_id), &grant));
            }
        }
        (!commit.apply.is_empty()).then_some(commit)
    }
}
