//! Workers of other controllers' shards that report to this controller.
//!
//! Such a worker either cannot reach its owner, or receives nothing from any controller and tries
//! one after the other, in which case a change of owner would not help. To distinguish the two, a
//! sample of these workers is queried directly, and heartbeats report to the other controllers how
//! many of each shard's workers can be reached from this controller.

use crate::Millis;
use crate::config::MAX_MACHINES;
use crate::names::Names;
use std::collections::BTreeMap;

/// Time for which a report counts. A worker that cannot reach its owner waits there for 4 s, waits
/// 1 s more, and is then redirected to the owner again.
const REPORT_VALID_MS: Millis = 6000.0;
/// Time before an unanswered query to a worker is repeated.
const QUERY_RETRY_MS: Millis = 3000.0;
/// Maximum number of queries in flight at once.
const MAX_QUERIES_IN_FLIGHT: usize = 16;

/// Result of querying a misdirected worker.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Query {
    /// No query has been sent.
    NotSent,
    /// A query is in flight; holds the time at which it was sent.
    Pending(Millis),
    /// The last query was not answered; holds the time at which it was sent.
    Unanswered(Millis),
    /// The worker has answered a query, so no further query is sent.
    Answered,
}

impl Query {
    fn is_due(self, now: Millis) -> bool {
        match self {
            Self::NotSent => true,
            Self::Unanswered(sent_at) => now - sent_at > QUERY_RETRY_MS,
            Self::Pending(_) | Self::Answered => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct MisdirectedWorker {
    last_report_at: Millis,
    query: Query,
}

/// Number of a shard's misdirected workers by the result of their queries.
#[derive(Clone, Copy, Debug, Default)]
struct ShardCounts {
    reporting: u32,
    /// Number of reporting workers whose query has been answered or has failed.
    queried: u32,
    /// Number of queried workers that answered.
    reachable: u32,
}

/// Misdirected workers that have reported recently, by shard and machine.
#[derive(Debug, Default)]
pub(crate) struct MisdirectedWorkers {
    workers: BTreeMap<(usize, u32), MisdirectedWorker>,
    /// Whether the warning about workers that are not counted has been logged.
    limit_logged: bool,
}

impl MisdirectedWorkers {
    /// Returns whether a worker is tracked or there is space to track it. Logs a warning the first
    /// time there is none.
    pub(crate) fn can_track(&mut self, shard_id: usize, name: &str, machines: &Names) -> bool {
        if self.workers.len() < MAX_MACHINES {
            return true;
        }
        if !std::mem::replace(&mut self.limit_logged, true) {
            tracing::warn!(
                most = MAX_MACHINES,
                "too many workers of other controllers' shards report to this controller; further ones are not counted"
            );
        }
        let machine = machines.get(name);
        machine.is_some_and(|machine| self.workers.contains_key(&(shard_id, machine)))
    }

    /// Records a report of a worker, and returns whether to query the worker directly. Queries are
    /// useful only while the worker's owner is alive.
    pub(crate) fn record_report(
        &mut self,
        shard_id: usize,
        machine: u32,
        owner_alive: bool,
        now: Millis,
    ) -> bool {
        let key = (shard_id, machine);
        let known = self.workers.get(&key).map(|worker| worker.query);
        let before = known.unwrap_or(Query::NotSent);
        // The pending queries are counted last, because that iterates over all workers, of which
        // there may be thousands.
        let sends =
            owner_alive && before.is_due(now) && self.pending_queries() < MAX_QUERIES_IN_FLIGHT;
        let worker = MisdirectedWorker {
            last_report_at: now,
            query: if sends { Query::Pending(now) } else { before },
        };
        self.workers.insert(key, worker);
        sends
    }

    fn pending_queries(&self) -> usize {
        let workers = self.workers.values();
        workers
            .filter(|worker| matches!(worker.query, Query::Pending(_)))
            .count()
    }

    /// Records whether a query to a machine was answered.
    pub(crate) fn record_query_result(&mut self, machine: u32, answered: bool) {
        for (&(_, queried), worker) in &mut self.workers {
            if queried == machine
                && let Query::Pending(sent_at) = worker.query
            {
                worker.query = if answered {
                    Query::Answered
                } else {
                    Query::Unanswered(sent_at)
                };
            }
        }
    }

    /// Returns how many misdirected workers of each shard can be reached from this controller.
    /// Hundreds of workers may report at once and not all are queried, so the number is
    /// extrapolated from those that were.
    pub(crate) fn counts(&mut self, now: Millis) -> Vec<(u32, u32)> {
        self.workers
            .retain(|_, worker| now - worker.last_report_at < REPORT_VALID_MS);
        let mut counts: BTreeMap<usize, ShardCounts> = BTreeMap::new();
        for (&(shard_id, _), worker) in &self.workers {
            let count = counts.entry(shard_id).or_default();
            count.reporting += 1;
            match worker.query {
                Query::NotSent | Query::Pending(_) => {}
                Query::Unanswered(_) => count.queried += 1,
                Query::Answered => {
                    count.queried += 1;
                    count.reachable += 1;
                }
            }
        }
        let sampled = counts.into_iter().filter(|(_, count)| count.queried > 0);
        let estimate = |count: ShardCounts| count.reporting * count.reachable / count.queried;
        sampled
            .map(|(shard_id, count)| (shard_id as u32, estimate(count)))
            .collect()
    }
}
