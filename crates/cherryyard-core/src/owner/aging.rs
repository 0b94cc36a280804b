//! The oldest job of each flow that has not begun: it goes first, and where only cracks
//! are free a machine is kept for it.
//!
//! Within a flow the least work goes first, so while small jobs keep coming a large one
//! would never begin. All controllers see which jobs have begun, so they agree on whose
//! turn it is without a word; only its first task goes ahead of the others, and then the
//! turn is the next one's. A task belongs to one shard, so one owner at the most keeps a
//! machine for it.

use super::*;
use crate::admission::flows::Flow;
use crate::admission::queue::Queues;

/// Longest that a shard's rest of a team's limit is kept for a task, and then for so long
/// not: whoever else waits for it must not wait for minutes.
const REST_MS: f64 = 45_000.0;

/// Teams whose rest of the limit in a shard is kept for a job whose turn it is.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeptRests(HashMap<usize, (u64, Millis)>);

impl KeptRests {
    /// Whether a team's rest is kept for a job now.
    pub(crate) fn keep(&mut self, team: usize, job: u64, now: Millis) -> bool {
        let kept = self.0.entry(team).or_insert((job, now));
        if kept.0 != job || now - kept.1 > 2.0 * REST_MS {
            *kept = (job, now);
        }
        now - kept.1 < REST_MS
    }
}

impl Controller {
    /// What each team's services use of the shard, which does not come free by itself.
    pub(crate) fn held_by_services(&self, shard_id: usize) -> Vec<Needs> {
        let mut held = vec![Needs::default(); self.config.teams.len()];
        for (&(_, job), assignments) in self
            .mirror
            .tasks
            .assignments
            .range((shard_id, 0)..=(shard_id, u64::MAX))
        {
            if let Some(open) = self.mirror.open.get(&job)
                && open.spec.shape == Shape::Service
                && let Some(held) = held.get_mut(open.team as usize)
            {
                (0..assignments.assignments.len()).for_each(|_| held.give(&open.needs()));
            }
        }
        held
    }

    /// Whether any task of a job has been started, anywhere.
    pub(crate) fn begun(&self, job: u64) -> bool {
        self.mirror.assigned(job) + self.mirror.done(job) > 0
    }

    /// Gives each flow's turn to its oldest job that has not begun.
    pub(crate) fn reserve_for_oldest(&mut self, shard_id: usize, now: Millis) {
        let wall = now + self.wall_offset;
        let turn_ms = self.config.tuning.admission.turn_s * 1000.0;
        let mut queues = std::mem::take(&mut self.shards[shard_id].queues);
        // Where a job that fails everywhere had the turn, none other ever would.
        let over = |job: u64| {
            let job_failures = self.shards[shard_id].job_failures.get(&job);
            self.begun(job) || job_failures.is_some_and(|t| t.is_quarantined())
        };
        let changed = queues.reserve_for_oldest(|at| wall - at as f64 >= turn_ms, over);
        self.shards[shard_id].queues = queues;
        for job in changed {
            self.requeue(shard_id, job, now);
        }
        let lost_ms = self.config.lease_ms;
        let shard = &mut self.shards[shard_id];
        let (queues, mirror, machines) = (&shard.queues, &self.mirror, &self.machines);
        shard.kept.retain(|&flow, (task, host)| {
            queues.turn(flow) == Some(task.0)
                && machines.get(host).is_some_and(|m| m.usable(now, lost_ms))
                && mirror
                    .waiting(shard_id, task.0)
                    .is_some_and(|w| w.contains(task.1))
        });
    }

    /// Whether a machine is kept for another job that is at least as important.
    pub(crate) fn kept_from(&self, shard_id: usize, host: u32, open: &OpenJob) -> bool {
        let mut kept = self.shards[shard_id].kept.values().filter(|k| k.1 == host);
        kept.any(|&((job, _), _)| {
            let other = self.mirror.open.get(&job);
            other.is_some_and(|o| o.spec.id != open.spec.id && o.rank() >= open.rank())
        })
    }

    /// Keeps a machine for a task whose flow's turn it is, if no machine has room for it
    /// but one would have once its arrays are done: the one with the most free. One a
    /// flow, and a tenth of the shard's machines in all.
    pub(crate) fn keep_machine(
        &mut self,
        shard_id: usize,
        flow: Flow,
        task: Task,
        queues: &Queues,
        zones: &HashMap<String, u32>,
        now: Millis,
    ) {
        let silence = self.silence_ms();
        let shard = &self.shards[shard_id];
        if queues.turn(flow) != Some(task.0) || shard.kept.contains_key(&flow) {
            return;
        }
        let Some(open) = self.mirror.open.get(&task.0) else {
            return;
        };
        let needs = open.needs();
        let usable = |m: &&Machine| m.shard == shard_id && m.usable(now, silence);
        let all = self.machines.values().filter(usable).count();
        if shard.kept.len() >= (all / 10).max(1) {
            return;
        }
        let will_have = |m: &Machine| {
            let mut free = self.free_on(m, None)?;
            let now_free = free.cores;
            for ((job, _), _) in self.mirror.on_host(m.host) {
                if let Some(o) = self.mirror.open.get(&job)
                    && o.spec.shape == Shape::Array
                {
                    free.give(&o.needs());
                }
            }
            needs.fits(&free).then_some(now_free)
        };
        let best = self
            .machines
            .values()
            .filter(usable)
            .filter(|m| {
                self.allowed(open, m)
                    && !shard.reserved.contains_key(&m.host)
                    && shard.kept.values().all(|k| k.1 != m.host)
                    && self.zone_open(shard_id, open, &m.zone, zones)
            })
            .filter_map(|m| Some((will_have(m)?, m.host)))
            .max_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        if let Some((free, host)) = best {
            let machine = self.mirror.hosts.name(host);
            tracing::info!(
                job = task.0,
                machine,
                free,
                "keep a machine for a job that has long not begun"
            );
            self.shards[shard_id].kept.insert(flow, (task, host));
        }
    }
}
