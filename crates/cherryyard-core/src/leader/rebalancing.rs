//! Rebalancing: tasks that have waited for too long in one shard move to shards with free
//! capacity.

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
const HANDED_OVER_MS: f64 = 5000.0;
/// Time after which overdue tasks are looked at again where none could be moved and no
/// shard's capacity has been reported since.
const RETRY_MS: f64 = 500.0;
/// Jobs of which one transaction moves tasks.
const MOST_MOVED: usize = 8;
/// Most bytes of a transaction.
const TRANSACTION_BYTES: usize = 40 * 1024;

/// A service that its shard would rather see elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct HandOver {
    pub(crate) shard_id: usize,
    pub(crate) job: u64,
}

/// A job of which a shard has kept tasks waiting for too long, or that it hands over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Overdue {
    job: u64,
    shard_id: usize,
    is_handed_over: bool,
}

/// Tasks of a job that leave a shard, and how many go to each other one.
#[derive(Clone, Debug)]
struct Move {
    tasks: RangeSet,
    shares: Vec<u32>,
}

/// A look at overdue tasks that found none to move.
#[derive(Clone, Copy, Debug)]
struct FruitlessLook {
    at: Millis,
    /// How many capacity reports had been received.
    reports: u64,
}

/// What the leader remembers of its moves.
#[derive(Debug)]
pub(crate) struct Rebalancing {
    last_fruitless: FruitlessLook,
    /// Services lately handed over: not again at once, or one would go from shard to shard
    /// by reports that are a moment old.
    handed_over: HashMap<u64, Millis>,
}

impl Rebalancing {
    pub(crate) fn new() -> Self {
        Self {
            last_fruitless: FruitlessLook {
                at: f64::NEG_INFINITY,
                reports: 0,
            },
            handed_over: HashMap::new(),
        }
    }

    /// Forgets old hand-overs. A replica whose image only other shards hold is not kept
    /// waiting for the delay: fetching the image would take longer than moving the replica.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.handed_over.retain(|_, at| now - *at < HANDED_OVER_MS);
    }

    /// Whether a look at what is overdue may find something.
    pub(crate) fn is_due(&self, hand_overs: &HashSet<HandOver>, reports: u64, now: Millis) -> bool {
        let last = self.last_fruitless;
        !hand_overs.is_empty() || last.reports != reports || now - last.at >= RETRY_MS
    }

    /// The transaction that moves overdue tasks of some jobs from one shard to others with
    /// free capacity, which is debited.
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
            if !batch.takes(&overdue) {
                continue;
            }
            let Overdue { job, shard_id, .. } = overdue;
            let current = CurrentCapacities::new(reports, mirror, config, now);
            let Some(moving) = current.overflow(job, shard_id) else {
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
            if batch.records.len() >= MOST_MOVED {
                break;
            }
        }
        if batch.records.is_empty() {
            self.last_fruitless = FruitlessLook {
                at: now,
                reports: reports.received(),
            };
            return None;
        }
        Some(batch.commit)
    }

    /// Jobs that their shards hand over, and for which there is room where their images
    /// are.
    fn handed_over(
        &self,
        hand_overs: &HashSet<HandOver>,
        current: &CurrentCapacities<'_>,
    ) -> BTreeSet<Overdue> {
        let mirror = current.mirror;
        let can_move = |&&HandOver { shard_id, job }: &&HandOver| {
            let is_held_elsewhere = |open: &OpenJob| current.held_elsewhere(shard_id, open) >= 1.0;
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

/// The jobs that are handed over with those that have waited for the delay.
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
        match reports.ownerless_since(shard_id) {
            // Nobody reports for the shard, so nobody starts its tasks.
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

/// Moves that go in one transaction.
#[derive(Debug, Default)]
struct MoveBatch {
    commit: Commit,
    records: Vec<(u64, JobRecord)>,
    from: Option<usize>,
}

impl MoveBatch {
    /// Whether a job's tasks may be moved in this transaction. That is from one shard at a
    /// time: its owner's assignments, which the transaction depends on, come all the time.
    fn takes(&self, overdue: &Overdue) -> bool {
        let is_other_shard = self.from.is_some_and(|from| from != overdue.shard_id);
        !is_other_shard && !self.records.iter().any(|record| record.0 == overdue.job)
    }

    /// Adds a job with its tasks moved, if it fits.
    fn add(
        &mut self,
        overdue: &Overdue,
        moved: &OpenJob,
        mirror: &Mirror,
        config: &Config,
    ) -> bool {
        self.records.push((overdue.job, moved.record()));
        let mut attempt = Commit::default();
        // A task that its owner assigns meanwhile is on one of these pages.
        mirror.require_last_page(&mut attempt, overdue.shard_id);
        let fits = mirror.write_jobs(&mut attempt, self.records.clone(), config)
            && attempt.bytes() <= TRANSACTION_BYTES;
        if fits {
            (self.commit, self.from) = (attempt, Some(overdue.shard_id));
        } else {
            self.records.pop();
        }
        fits
    }
}

impl CurrentCapacities<'_> {
    /// Which tasks of a job leave a shard where they wait, and where they go.
    fn overflow(&self, job: u64, shard_id: usize) -> Option<Move> {
        let open = self.mirror.open.get(&job).filter(|open| open.divided())?;
        let unassigned = self.mirror.waiting(shard_id, job)?;
        let mut weights = self.weights(open);
        weights[shard_id] = 0.0;
        if open.spec.apart && open.spec.task_count > 1 {
            // The caps of the first division stay, so that no zone can
            // ever hold more than its half.
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
        // From the end, so that both shards keep few ranges.
        let tasks = unassigned.last(capacity as u32);
        let shares = divide(tasks.len(), &weights);
        Some(Move { tasks, shares })
    }
}

impl Move {
    /// The job with its tasks moved.
    fn applied_to(&self, open: &OpenJob, from: usize) -> OpenJob {
        let mut moved = open.clone();
        moved.division[from] = moved.division[from].minus(&self.tasks);
        let mut left = self.tasks.clone();
        for (shard_id, &share) in self.shares.iter().enumerate() {
            let tasks = left.first(share);
            left = left.minus(&tasks);
            moved.division[shard_id] = moved.division[shard_id].union(&tasks);
        }
        moved
    }
}
