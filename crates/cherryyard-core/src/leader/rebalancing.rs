//! Overflow: waiting numbers move to shards with room.

use super::*;
use cherryyard_wire::RangeSet;
use std::collections::BTreeSet;

/// Least time between two hand-overs of one service.
const HANDED_MS: f64 = 5000.0;
/// Time after which overdue tasks are looked at again where none could be moved and no
/// shard's room has been reported since.
const AGAIN_MS: f64 = 500.0;
/// Jobs of which one transaction moves numbers.
const MOST_MOVED: usize = 8;

/// A job of which a shard has kept numbers waiting for too long.
type Overdue = (u64, usize, bool);

impl Controller {
    /// Overflow: a shard that has kept tasks waiting for the delay loses its
    /// unassigned numbers to shards with room for them.
    pub(crate) fn move_waiting(&mut self, now: Millis) -> Option<Commit> {
        // A replica whose image only other shards hold is not kept waiting for
        // the delay: fetching it would take longer than moving it.
        self.leader.handed.retain(|_, at| now - *at < HANDED_MS);
        let handed = self.handed_over();
        let reported = self.leader.capacity_reports_received;
        let (then, at) = self.leader.overflowed;
        if handed.is_empty() && then == reported && now - at < AGAIN_MS {
            return None;
        }
        let mut commit = Commit::default();
        let mut records = Vec::new();
        let mut from = None;
        for (job, shard_id, handed) in self.overdue(&handed, now) {
            // From one shard at a time: its owner's assignments, which the transaction
            // depends on, come all the time.
            if from.is_some_and(|f| f != shard_id) || records.iter().any(|r: &(u64, _)| r.0 == job)
            {
                continue;
            }
            let Some((moving, shares)) = self.shares_of_overflow(job, shard_id, now) else {
                continue;
            };
            let new = self.moved(job, shard_id, &moving, &shares);
            let mut more = records.clone();
            more.push((job, new.record()));
            let mut attempt = Commit::default();
            // A number that its owner assigns meanwhile is in one of these.
            self.mirror.require_last_page(&mut attempt, shard_id);
            if !self
                .mirror
                .write_jobs(&mut attempt, more.clone(), &self.config)
                || attempt.bytes() > 40 * 1024
            {
                continue;
            }
            (commit, records, from) = (attempt, more, Some(shard_id));
            self.give(&shares, &new.needs(), now);
            if handed {
                self.leader.handed.insert(job, now);
            }
            let count = moving.len();
            tracing::debug!(job, handed, from = shard_id, count, "move waiting tasks");
            if records.len() >= MOST_MOVED {
                break;
            }
        }
        if records.is_empty() {
            self.leader.overflowed = (reported, now);
        }
        (!records.is_empty()).then_some(commit)
    }

    /// Services that their shards would rather see elsewhere.
    fn handed_over(&self) -> HashSet<(usize, u64)> {
        let told = self
            .peers
            .iter()
            .flatten()
            .flat_map(|s| &s.heartbeat.handing);
        let ours = self.shards.iter().enumerate();
        let ours = ours
            .flat_map(|(shard_id, shard)| shard.handing.iter().map(move |&job| (shard_id, job)));
        told.map(|h| (h.0 as usize, h.1)).chain(ours).collect()
    }

    /// What has waited for the delay, or is handed over, by job and part.
    fn overdue(&self, handed: &HashSet<(usize, u64)>, now: Millis) -> BTreeSet<Overdue> {
        let delay = self.config.tuning.autoscale_multi_cluster_delay_s;
        let mut all = BTreeSet::new();
        for &(shard_id, job) in handed {
            let open = self.mirror.open.get(&job);
            if self.mirror.waiting(shard_id, job).is_some()
                && !self.leader.handed.contains_key(&job)
                && open.is_some_and(|o| self.held_elsewhere(shard_id, o, now) >= 1.0)
            {
                all.insert((job, shard_id, true));
            }
        }
        for shard_id in 0..self.shards.len() {
            let mut add = |job: u64| {
                let here = self.mirror.waiting(shard_id, job).is_some();
                if here && !all.contains(&(job, shard_id, true)) {
                    all.insert((job, shard_id, false));
                }
            };
            match self.leader.ownerless.get(&shard_id) {
                // Nobody reports for the shard, so nobody starts its numbers.
                Some(&since) if now - since >= delay * 1000.0 => {
                    self.mirror.tasks.waiting[shard_id]
                        .keys()
                        .for_each(|&job| add(job));
                }
                Some(_) => {}
                None => {
                    let Some(r) = self.current_capacity(shard_id, now) else {
                        continue;
                    };
                    let passed = (now - r.at) / 1000.0;
                    let waiting = r.report.waiting.iter();
                    waiting
                        .filter(|w| f64::from(w.2) + passed >= delay)
                        .for_each(|w| add(w.0));
                }
            }
        }
        all
    }

    /// Which numbers of a job leave a shard, and how many go to each other one.
    fn shares_of_overflow(
        &self,
        job: u64,
        shard_id: usize,
        now: Millis,
    ) -> Option<(RangeSet, Vec<u32>)> {
        let open = self.mirror.open.get(&job).filter(|o| o.divided())?;
        let unassigned = self.mirror.waiting(shard_id, job)?;
        let mut w = self.weights(open, now);
        w[shard_id] = 0.0;
        if open.spec.apart && open.spec.task_count > 1 {
            // The caps of the first division stay, so that no zone can
            // ever hold more than its half.
            for (q, weight) in w.iter_mut().enumerate() {
                let cap: u32 = open.zone_caps.get(q).map_or(0, |c| c.iter().sum());
                let has = open.division[q].len();
                *weight = weight.min(f64::from(cap.saturating_sub(has)));
            }
        }
        let capacity: f64 = w.iter().sum();
        if capacity < 1.0 {
            return None;
        }
        // From the end, so that both shards keep few ranges.
        let moving = unassigned.last(capacity as u32);
        let shares = divide(moving.len(), &w);
        Some((moving, shares))
    }

    /// The job with these numbers moved.
    fn moved(&self, job: u64, from: usize, moving: &RangeSet, shares: &[u32]) -> OpenJob {
        let mut new = self.mirror.open[&job].clone();
        new.division[from] = new.division[from].minus(moving);
        let mut left = moving.clone();
        for (q, &n) in shares.iter().enumerate() {
            let set = left.first(n);
            left = left.minus(&set);
            new.division[q] = new.division[q].union(&set);
        }
        new
    }

    /// Notes what has been given out, until the shards report it.
    pub(crate) fn give(&mut self, shares: &[u32], needs: &Needs, now: Millis) {
        for (capacity, &n) in self.leader.capacities.iter_mut().zip(shares) {
            if let Some(capacity) = capacity.as_mut().filter(|_| n > 0) {
                let n = f64::from(n);
                let needs = Needs {
                    cores: needs.cores * n,
                    acc: needs.acc * n,
                    ram: needs.ram * n,
                };
                capacity.debits.push((now, needs));
            }
        }
    }
}
