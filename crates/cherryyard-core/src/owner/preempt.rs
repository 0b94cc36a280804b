//! Preemption: which less important work makes room.

use super::search::Search;
use super::*;
use crate::admission::flows::Flow;

/// Whose work in a shard could make way at all.
pub(crate) struct Preemptible {
    lowest: Option<Rank>,
    /// Teams with work there that use more than their guarantee.
    beyond: BTreeSet<u32>,
}

impl Controller {
    /// Looked at once a scheduling cycle: where nothing could make way, no machine need be
    /// searched for each job that waits.
    pub(crate) fn preemptible(&self, shard_id: usize, totals: &[Needs]) -> Preemptible {
        let mut found = Preemptible {
            lowest: None,
            beyond: BTreeSet::new(),
        };
        for (&(_, job), m) in self
            .mirror
            .tasks
            .assignments
            .range((shard_id, 0)..=(shard_id, u64::MAX))
        {
            let Some(open) = self
                .mirror
                .open
                .get(&job)
                .filter(|_| !m.assignments.is_empty())
            else {
                continue;
            };
            let rank = open.rank().min(open.spec.rank);
            found.lowest = Some(found.lowest.map_or(rank, |r| r.min(rank)));
            let team = open.team as usize;
            if totals[team].cores > self.config.teams[team].cores + 1e-6 {
                found.beyond.insert(open.team);
            }
        }
        found
    }

    /// Whether anything could make way for a job.
    pub(crate) fn may_preempt(&self, open: &OpenJob, found: &Preemptible) -> bool {
        found.lowest.is_some_and(|rank| rank < open.rank())
            || found.beyond.iter().any(|&t| t != open.team)
    }

    /// Stops less important work so that waiting numbers of `job` fit; with
    /// `holding`, only on machines that hold its image. Says whether a machine
    /// is now kept for any of them.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn preempt(
        &mut self,
        shard_id: usize,
        job: u64,
        numbers: &[u32],
        cycle: &Cycle,
        now: Millis,
        holding: bool,
        totals: &[Needs],
        search: &mut Search,
        may_stop: &mut HashMap<Flow, f64>,
    ) -> bool {
        let open = &self.mirror.open[&job];
        if search.is_firm(open, holding) {
            return false;
        }
        let needs = open.needs();
        let team = open.team as usize;
        let covered: HashSet<Task> = self.shards[shard_id]
            .preempted
            .values()
            .map(|x| x.for_task)
            .collect();
        let silence = self.silence_ms();
        let zones = self.zone_counts(shard_id, job, cycle);
        let mut chosen: Vec<(Task, Preempted, u32)> = Vec::new();
        for &number in numbers.iter().take(4) {
            if covered.contains(&(job, number))
                || self.shards[shard_id]
                    .reserved
                    .values()
                    .any(|r| r.0 == (job, number))
            {
                continue;
            }
            // By machine: the work to stop, least lost first.
            let mut best: Option<Eviction> = None;
            for m in self
                .machines
                .values()
                .filter(|m| m.shard == shard_id && m.usable(now, silence))
            {
                if !self.allowed(open, m)
                    || (holding && m.image(&open.spec.image) < 2)
                    || m.reported.contains_key(&(job, number))
                    || chosen.iter().any(|c| c.2 == m.host)
                    || self.shards[shard_id].reserved.contains_key(&m.host)
                    || self.kept_from(shard_id, m.host, open)
                    || !self.zone_open(shard_id, open, &m.zone, &zones)
                    || self
                        .mirror
                        .on_host(m.host)
                        .any(|(t, _)| self.shards[shard_id].preempted.contains_key(&t))
                {
                    continue;
                }
                let Some(mut free) = self.free_on(m, Some(cycle)) else {
                    continue;
                };
                let mut victims: Vec<(Rank, f64, Task, u64, Needs, Flow)> = self
                    .mirror
                    .on_host(m.host)
                    .filter_map(|(task, assignment)| {
                        let v = self.mirror.open.get(&task.0)?;
                        let lower = open.goes_before(v);
                        let (vt, t) = (v.team as usize, team);
                        let beyond = vt != t
                            && totals[vt].cores > self.config.teams[vt].cores + 1e-6
                            && totals[t].cores + needs.cores <= self.config.teams[t].cores + 1e-6;
                        // What is assigned by a later attempt has lost least.
                        (lower || beyond).then_some((
                            v.rank(),
                            -(assignment.attempt as f64),
                            task,
                            assignment.attempt,
                            v.needs(),
                            v.flow,
                        ))
                    })
                    .collect();
                victims.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
                let mut list = Vec::new();
                let mut cost = 0.0;
                // Of flows that have long had too little, no more than is allowed.
                let mut left = may_stop.clone();
                for (_, age, task, attempt, size, flow) in victims {
                    if needs.fits(&free) {
                        break;
                    }
                    if let Some(left) = left.get_mut(&flow) {
                        if *left < size.cores {
                            continue;
                        }
                        *left -= size.cores;
                    }
                    free.give(&size);
                    list.push((task, attempt));
                    cost += 1e6 + age;
                }
                if !needs.fits(&free) || list.is_empty() {
                    continue;
                }
                let image = if m.image(&open.spec.image) == 2 {
                    0.0
                } else {
                    1.5e6
                };
                if best.as_ref().is_none_or(|b| cost + image < b.0) {
                    best = Some((cost + image, list, m.host));
                }
            }
            let Some((_, list, host)) = best else {
                search.firm(open, holding);
                break;
            };
            for (task, attempt) in list {
                if let Some(v) = self.mirror.open.get(&task.0)
                    && let Some(left) = may_stop.get_mut(&v.flow)
                {
                    *left -= v.spec.cores;
                }
                let x = Preempted {
                    attempt,
                    for_task: (job, number),
                    until: now + 4000.0,
                };
                chosen.push((task, x, host));
            }
        }
        // All victims of a machine are noted before the first is stopped, and
        // the machine is kept for whom they make room: else the first freed
        // cores went to a waiting task of less importance, over and over.
        let mut hosts = BTreeSet::new();
        for (task, x, host) in chosen {
            tracing::debug!(job, victim = task.0, "stop a task to make room");
            self.shards[shard_id].preempted.insert(task, x);
            self.shards[shard_id]
                .reserved
                .insert(host, (x.for_task, x.until));
            hosts.insert(host);
        }
        let kept = !hosts.is_empty();
        for host in hosts {
            self.push(host, now);
        }
        kept
    }

    /// What each team uses everywhere.
    pub(crate) fn team_totals(&self) -> Vec<Needs> {
        let mut all = vec![Needs::default(); self.config.teams.len()];
        for shard_id in 0..self.shards.len() {
            for (t, u) in self.mirror.usage(shard_id).iter().enumerate() {
                all[t].give(u);
            }
        }
        all
    }
}
