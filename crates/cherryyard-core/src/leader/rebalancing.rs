//! Rebalancing: tasks that have waited too long in one shard move to shards with free capacity.

use super::capacity_reports::CapacityReports;
use super::current_capacities::CurrentCapacities;
use crate::divide::divide;
use crate::mirror::{Mirror, OpenJob};
use crate::{Config, Millis};
use cherryyard_wire::RangeSet;
use cherryyard_wire::record::JobRecord;
use cherryyard_wire::state::Commit;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Least time between two hand-overs of one service.
const HAND_OVER_INTERVAL_MS: f64 = 5000.0;
/// Time between two searches for tasks to move, if the last one found none and no shard's capacity
/// has been reported since.
const SEARCH_INTERVAL_MS: f64 = 500.0;
/// Largest number of jobs whose tasks one transaction moves.
const MAX_MOVED_JOBS: usize = 8;
/// Largest size of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 40 * 1024;

/// A service that its shard offers to other shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct HandOver {
    pub(crate) shard_id: usize,
    pub(crate) job: u64,
}

/// A job whose tasks have waited too long in a shard, or that the shard hands over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Overdue {
    job: u64,
    shard_id: usize,
    is_handed_over: bool,
}

/// Tasks of a job that leave a shard, and how many of them go to each other shard.
#[derive(Clone, Debug)]
struct Move {
    tasks: RangeSet,
    shares: Vec<u32>,
}

/// A search for tasks to move that found none.
#[derive(Clone, Copy, Debug)]
struct FruitlessSearch {
    at: Millis,
    /// Number of capacity reports that had been received by then.
    reports: u64,
}

/// State of the leader's rebalancing.
#[derive(Debug)]
pub(crate) struct Rebalancing {
    last_fruitless_search: FruitlessSearch,
    /// Services that were recently handed over, and when. They are not handed over again at once:
    /// the reports are slightly outdated, so a service could otherwise pass from shard to shard.
    handed_over: HashMap<u64, Millis>,
}

impl Rebalancing {
    pub(crate) fn new() -> Self {
        Self {
            last_fruitless_search: FruitlessSearch {
                at: f64::NEG_INFINITY,
                reports: 0,
            },
            handed_over: HashMap::new(),
        }
    }

    /// Removes hand-overs that are older than [`HAND_OVER_INTERVAL_MS`].
    pub(crate) fn expire(&mut self, now: Millis) {
        self.handed_over
            .retain(|_, at| now - *at < HAND_OVER_INTERVAL_MS);
    }

    /// Returns whether a search for tasks to move may find any: there are hand-overs, capacity has
    /// been reported since the last fruitless search, or enough time has passed.
    pub(crate) fn is_due(&self, hand_overs: &HashSet<HandOver>, reports: u64, now: Millis) -> bool {
        let last = self.last_fruitless_search;
        !hand_overs.is_empty() || last.reports != reports || now - last.at >= SEARCH_INTERVAL_MS
    }

    /// Returns the transaction that moves overdue tasks of some jobs from one shard to others, and
    /// debits the free capacity of the receiving shards.
    pub(crate) fn step(
        &mut self,
        hand_overs: &HashSet<HandOver>,
        reports: &mut CapacityReports,
        mirror: &Mirror,
        config: &Config,
        now: Millis,
    ) -> Option<Commit> {
        let overdue = {
            let current = CurrentCapacities::new(reports, mirror, config, now);
            let handed_over = self.handed_over(hand_overs, &current);
            with_delayed(handed_over, reports, &current, now)
        };
        let mut batch = MoveBatch::default();
        for overdue in overdue {
            if !batch.accepts(&overdue) {
                continue;
            }
            let Overdue { job, shard_id, .. } = overdue;
            let current = CurrentCapacities::new(reports, mirror, config, now);
            let Some(moving) = current.plan_move(job, shard_id) else {
                continue;
            };
            let moved = moving.applied_to(&mirror.open[&job], shard_id);
            if !batch.add(&overdue, &moved, mirror, config) {
                continue;
            }
            reports.debit(&moving.shares, &moved.needs(), now);
            if overdue.is_handed_over {
                self.handed_over.insert(job, now);
            }
            tracing::debug!(
                job,
                handed_over = overdue.is_handed_over,
                from = shard_id,
                count = moving.tasks.len(),
                "waiting tasks moved"
            );
            if batch.records.len() >= MAX_MOVED_JOBS {
                break;
            }
        }
        if batch.records.is_empty() {
            self.last_fruitless_search = FruitlessSearch {
                at: now,
                reports: reports.received(),
            };
            return None;
        }
        Some(batch.commit)
    }

    /// Returns the jobs that their shards hand over and that fit on machines of other shards which
    /// hold their images. These jobs do not wait for the rebalancing delay: if only other shards
    /// hold a replica's image, fetching the image would take longer than moving the replica.
    fn handed_over(
        &self,
        hand_overs: &HashSet<HandOver>,
        current: &CurrentCapacities<'_>,
    ) -> BTreeSet<Overdue> {
        let mirror = current.mirror;
        let can_move = |&&HandOver { shard_id, job }: &&HandOver| {
            let is_held_elsewhere =
                |open: &OpenJob| current.fitting_elsewhere_with_image(shard_id, open) >= 1.0;
            mirror.waiting(shard_id, job).is_some()
                && !self.handed_over.contains_key(&job)
                && mirror.open.get(&job).is_some_and(is_held_elsewhere)
        };
        hand_overs
            .iter()
            .filter(can_move)
            .map(|&HandOver { shard_id, job }| Overdue {
                job,
                shard_id,
                is_handed_over: true,
            })
            .collect()
    }
}

/// Adds the jobs whose tasks have waited for the rebalancing delay to those that are handed over.
fn with_delayed(
    mut all: BTreeSet<Overdue>,
    reports: &CapacityReports,
    current: &CurrentCapacities<'_>,
    now: Millis,
) -> BTreeSet<Overdue> {
    let mirror = current.mirror;
    let delay_s = current.config.tuning.autoscale_multi_cluster_delay_s;
    for shard_id in current.shards() {
        let mut add = |job: u64| {
            let overdue = |is_handed_over: bool| Overdue {
                job,
                shard_id,
                is_handed_over,
            };
            let waits_here = mirror.waiting(shard_id, job).is_some();
            if waits_here && !all.contains(&overdue(true)) {
                all.insert(overdue(false));
            }
        };
        match reports.unreported_since(shard_id) {
            // The shard has no owner that reports, so none of its tasks is started.
            Some(since) if now - since >= delay_s * 1000.0 => {
                mirror.tasks.waiting[shard_id]
                    .keys()
                    .for_each(|&job| add(job));
            }
            Some(_) => {}
            None => {
                let Some(capacity) = current.of(shard_id) else {
                    continue;
                };
                let passed_s = (now - capacity.at) / 1000.0;
                for &(job, _, waited_s) in &capacity.report.waiting {
                    if f64::from(waited_s) + passed_s >= delay_s {
                        add(job);
                    }
                }
            }
        }
    }
    all
}

/// Moves that are combined in one transaction.
#[derive(Debug, Default)]
struct MoveBatch {
    commit: Commit,
    records: Vec<(u64, JobRecord)>,
    from: Option<usize>,
}

impl MoveBatch {
    /// Returns whether a job's tasks may be moved in this transaction. A transaction moves tasks
    /// from one shard only, because it depends on the assignments of that shard's owner, which
    /// change all the time.
    fn accepts(&self, overdue: &Overdue) -> bool {
        let is_other_shard = self.from.is_some_and(|from| from != overdue.shard_id);
        !is_other_shard && !self.records.iter().any(|record| record.0 == overdue.job)
    }

    /// Adds a job with its tasks moved, if it fits. Returns whether it does.
    fn add(
        &mut self,
        overdue: &Overdue,
        moved: &OpenJob,
        mirror: &Mirror,
        config: &Config,
    ) -> bool {
        self.records.push((overdue.job, moved.record()));
        let mut attempt = Commit::default();
        // If the owner assigns one of the tasks meanwhile, the assignment is on one of these
        // pages.
        mirror.require_last_page(&mut attempt, overdue.shard_id);
        let fits = mirror.write_jobs(&mut attempt, self.records.clone(), config)
            && attempt.bytes() <= MAX_TRANSACTION_BYTES;
        if fits {
            (self.commit, self.from) = (attempt, Some(overdue.shard_id));
        } else {
            self.records.pop();
        }
        fits
    }
}

impl CurrentCapacities<'_> {
    /// Selects the unassigned tasks of a job that leave a shard, and the shards that they move to.
    fn plan_move(&self, job: u64, shard_id: usize) -> Option<Move> {
        let open = self.mirror.open.get(&job).filter(|open| open.divided())?;
        let unassigned = self.mirror.waiting(shard_id, job)?;
        let mut weights = self.weights(open);
        weights[shard_id] = 0.0;
        if open.spec.apart && open.spec.task_count > 1 {
            // The caps of the first division remain, so that no zone can ever hold more than half
            // of the tasks.
            for (other, weight) in weights.iter_mut().enumerate() {
                let cap: u32 = open
                    .zone_caps
                    .get(other)
                    .map_or(0, |zones| zones.iter().sum());
                let has = open.division[other].len();
                *weight = weight.min(f64::from(cap.saturating_sub(has)));
            }
        }
        let capacity: f64 = weights.iter().sum();
        if capacity < 1.0 {
            return None;
        }
        // Tasks are taken from the end, so that both shards keep few ranges.
        let tasks = unassigned.last(capacity as u32);
        let shares = divide(tasks.len(), &weights);
        Some(Move { tasks, shares })
    }
}

impl Move {
    /// Returns the job with its tasks moved.
    fn applied_to(&self, open: &OpenJob, from: usize) -> OpenJob {
        let mut moved = open.clone();
        moved.division[from] = moved.division[from].difference(&self.tasks);
        let mut left = self.tasks.clone();
        for (shard_id, &share) in self.shares.iter().enumerate() {
            let tasks = left.first(share);
            left = left.difference(&tasks);
            moved.division[shard_id] = moved.division[shard_id].union(&tasks);
        }
        moved
    }
}
