//! Free capacity of a shard's machines, and what the leader is told of it.

use super::*;
use crate::admission::queue::Place;

/// Waiting jobs that the leader is told of, in the order of service.
const MAX_REPORTED_JOBS: usize = 500;
/// For how long a shard keeps the rest of a grant that none of its waiting tasks can use.
const STUCK_GRANT_MS: f64 = 2000.0;

impl Controller {
    /// Silence after which a machine gets nothing new.
    pub(crate) fn silence_ms(&self) -> f64 {
        self.config.report_ms * 1.25 + 700.0
    }

    /// A machine's whole size, by its type.
    pub(crate) fn whole(&self, m: &Machine) -> Option<Needs> {
        let machine_type = self
            .mirror
            .catalog
            .machine_types
            .iter()
            .find(|k| k.sku == m.machine_type)?;
        Some(Needs {
            cores: machine_type.cores,
            acc: machine_type.accelerators,
            ram: machine_type.ram_gb,
        })
    }

    /// What is left on a machine, after assignments (as the scheduling cycle leaves them) and
    /// strangers.
    pub(crate) fn free_on(&self, m: &Machine, cycle: Option<&Cycle>) -> Option<Needs> {
        let mut free = self.whole(m)?;
        let gone = |task: &Task| cycle.is_some_and(|r| r.gone.contains(task));
        for (task, _) in self.mirror.on_host(m.host) {
            if !gone(&task) {
                free.take(&self.mirror.uses(task.0)?.1);
            }
        }
        for (task, reported) in &m.reported {
            if !reported.ended()
                && (gone(task) || self.mirror.assignment_on(m.host, *task).is_none())
            {
                // Not ours, or not any more: it takes room until it is gone.
                free.take(&self.mirror.uses(task.0)?.1);
            }
        }
        for task in cycle.and_then(|r| r.put.get(&m.host)).into_iter().flatten() {
            if m.reported.get(task).is_none_or(|s| s.ended()) {
                free.take(&self.mirror.uses(task.0)?.1);
            }
        }
        Some(free)
    }

    /// Free capacity if arrays of ordinary rank or below made way.
    pub(crate) fn yielding(&self, m: &Machine, mut free: Needs) -> (f32, f32, f32) {
        for ((job, _), _) in self.mirror.on_host(m.host) {
            if let Some(o) = self.mirror.open.get(&job).filter(|o| o.makes_way()) {
                free.give(&o.needs());
            }
        }
        (free.cores as f32, free.acc as f32, free.ram as f32)
    }

    /// Free capacity and waiting tasks, for the leader.
    pub(crate) fn capacity_report(&self, shard_id: usize, now: Millis) -> CapacityReport {
        let silence = self.silence_ms();
        let mut machines: Vec<&Machine> = self
            .machines
            .values()
            .filter(|m| m.shard == shard_id && m.usable(now, silence))
            .collect();
        machines.sort_by_key(|m| m.host);
        let used = self.mirror.usage(shard_id);
        let mut wants = used.clone();
        let mut waiting = Vec::new();
        let mut service_order = self.shards[shard_id].queues.service_order();
        let first = std::iter::from_fn(|| service_order.step()).take(MAX_REPORTED_JOBS);
        for (_, Place { job, .. }) in first {
            let count = self
                .mirror
                .waiting(shard_id, job)
                .map_or(0, |set| set.len());
            let since = self.shards[shard_id].queues.since(job).unwrap_or(now);
            waiting.push((job, count, ((now - since) / 1000.0) as f32));
            if let Some((team, needs)) = self.mirror.uses(job)
                && let Some(w) = wants.get_mut(team as usize)
            {
                let n = f64::from(count);
                w.cores += needs.cores * n;
                w.acc += needs.acc * n;
            }
        }
        // A shard cannot use more of a limit than its machines have; what it
        // holds beyond that is another shard's to use.
        let mut whole = Needs::default();
        for m in &machines {
            whole.give(&self.whole(m).unwrap_or_default());
        }
        for (want, used) in wants.iter_mut().zip(&used) {
            want.cores = want.cores.min(whole.cores).max(used.cores);
            want.acc = want.acc.min(whole.acc).max(used.acc);
        }
        let (mut pools, mut images) = (Vec::new(), Names::default());
        let capacities = machines
            .into_iter()
            .filter_map(|m| {
                let free = self.free_on(m, None)?;
                let same = |s: &MachinePool| {
                    s.machine_type == m.machine_type && s.zone == m.zone && s.spot == m.spot
                };
                let pool = pools.iter().position(same).unwrap_or_else(|| {
                    pools.push(MachinePool {
                        machine_type: m.machine_type.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                    });
                    pools.len() - 1
                });
                let held = m.images.iter().filter(|i| i.whole);
                Some(MachineCapacity {
                    pool: pool.try_into().ok()?,
                    free: (free.cores as f32, free.acc as f32, free.ram as f32),
                    yielding: self.yielding(m, free),
                    images: held
                        .filter_map(|i| images.intern(&i.name).try_into().ok())
                        .collect(),
                })
            })
            .collect();
        CapacityReport {
            shard: shard_id as u32,
            revision: self.mirror.revision(Key::Shard(shard_id)),
            machines: capacities,
            pools,
            images: (0..images.len() as u32)
                .map(|i| images.name(i).to_string())
                .collect(),
            waiting,
            wants: wants
                .iter()
                .enumerate()
                .map(|(t, w)| {
                    (
                        self.config.team_names.name(t as u32).to_string(),
                        w.cores,
                        w.acc,
                    )
                })
                .collect(),
        }
    }

    /// What one more of a team's waiting tasks takes in a shard, at least.
    pub(crate) fn least_waiting(&self, shard_id: usize, team: usize) -> Option<Needs> {
        let waiting = self.mirror.tasks.waiting[shard_id].keys();
        let open = waiting.filter_map(|job| self.mirror.open.get(job));
        let needs = open.filter(|o| o.team as usize == team).map(OpenJob::needs);
        needs.reduce(|a, b| Needs {
            cores: a.cores.min(b.cores),
            acc: a.acc.min(b.acc),
            ram: a.ram.min(b.ram),
        })
    }

    /// Whether tasks of a team wait in the shard, and what is left of its grant has for some
    /// time been too little for any of them: shards' rests are of use only together.
    fn rest_is_stuck(&mut self, shard_id: usize, team: usize, used: &[Needs], now: Millis) -> bool {
        let least = self.least_waiting(shard_id, team);
        let stuck =
            least.is_some_and(|least| self.beyond_grant(shard_id, team as u32, used, &least));
        let since = &mut self.shards[shard_id].stuck_grants;
        if !stuck {
            since.remove(&team);
            return false;
        }
        now - *since.entry(team).or_insert(now) >= STUCK_GRANT_MS
    }

    /// Gives back what the shard does not need of teams that are short.
    pub(crate) fn lower_grants(&mut self, short: &[String], now: Millis) {
        for shard_id in 0..self.shards.len() {
            let Some(token) = self.owned(shard_id) else {
                continue;
            };
            if self.shards[shard_id].pending.is_some() || !self.state_fresh(now) {
                continue;
            }
            let report = self.capacity_report(shard_id, now);
            let used = self.mirror.usage(shard_id);
            let mut commit = Commit::default();
            commit.require(record::shard_key(shard_id), token);
            for name in short {
                // The grant, and the last page and the one after it.
                if commit.apply.len() >= self.config.txn_ops
                    || commit.when.len() + 3 > self.config.max_conditions()
                {
                    break;
                }
                let Some(t) = self.config.team_names.get(name).map(|t| t as usize) else {
                    continue;
                };
                let (grant, revision) = self.mirror.grants[t][shard_id];
                let wants = report.wants.get(t).map_or((0.0, 0.0), |w| (w.1, w.2));
                // Never below what is assigned: wants include it.
                // Half of the rest is kept, so that the shard's next job need not
                // wait for the leader.
                let half = |have: f64, want: f64| {
                    let rest = (have - want) / 2.0;
                    if rest < 1.0 {
                        have.min(want)
                    } else {
                        want + rest
                    }
                };
                let keep = if self.rest_is_stuck(shard_id, t, &used, now) {
                    Grant {
                        cores: used[t].cores.min(grant.cores),
                        acc: used[t].acc.min(grant.acc),
                    }
                } else {
                    Grant {
                        cores: half(grant.cores, wants.0),
                        acc: half(grant.acc, wants.1),
                    }
                };
                if revision != 0 && (keep.cores < grant.cores - 1e-6 || keep.acc < grant.acc - 1e-6)
                {
                    commit.require(record::grant_key(t, shard_id), revision);
                    commit
                        .apply
                        .push(Apply::set(record::grant_key(t, shard_id), &keep));
                }
            }
            if !commit.apply.is_empty() {
                // On no assignment having been made since, as the leader's moves are: where the
                // answer is lost this may be carried out after later scheduling cycles, which count
                // on the grant as it was and do not change it.
                self.mirror.require_last_page(&mut commit, shard_id);
                // In the owner's turn, so that no assignment is under way meanwhile.
                self.shards[shard_id].pending = Some(Pending::default());
                self.effects
                    .push(Effect::Commit(Ticket::OwnerCycle(shard_id), commit));
            }
        }
    }
}
