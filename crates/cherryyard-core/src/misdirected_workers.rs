//! Workers of other controllers' shards that report here.
//!
//! Such a worker may have lost the way to its owner, or it receives nothing from anybody and
//! goes from one controller to the next: then no other owner would do better. So a sample of
//! them is queried directly, and heartbeats tell the other controllers how many of each
//! shard's workers can be reached here.

use crate::Millis;
use crate::config::MAX_MACHINES;
use crate::names::Names;
use std::collections::BTreeMap;

/// How long a report counts: a worker that cannot reach its owner waits 4 s there, 1 s more,
/// and is sent there again.
const COUNTED_MS: Millis = 6000.0;
/// Time between two queries to a worker that has not been reached.
const QUERY_AGAIN_MS: Millis = 3000.0;
/// Queries under way at once.
const MAX_QUERIES: usize = 16;

/// What is known of whether a misdirected worker can be reached from here.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Query {
    /// It has not been queried.
    NotSent,
    /// A query, sent then, is under way.
    Pending(Millis),
    /// The last query, sent then, was not answered.
    Unanswered(Millis),
    /// It has answered; a later query, if any, is not needed.
    Answered,
}

impl Query {
    fn is_due(self, now: Millis) -> bool {
        match self {
            Self::NotSent => true,
            Self::Unanswered(sent_at) => now - sent_at > QUERY_AGAIN_MS,
            Self::Pending(_) | Self::Answered => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct MisdirectedWorker {
    last_report_at: Millis,
    query: Query,
}

/// A shard's misdirected workers.
#[derive(Clone, Copy, Debug, Default)]
struct ShardCount {
    reporting: u32,
    /// Of them, those whose query has come out.
    queried: u32,
    /// Of those, the ones that answered.
    reachable: u32,
}

/// The misdirected workers that have reported lately, by shard and machine.
#[derive(Debug, Default)]
pub(crate) struct MisdirectedWorkers {
    workers: BTreeMap<(usize, u32), MisdirectedWorker>,
    /// Whether the log says that further ones are not counted.
    full_logged: bool,
}

impl MisdirectedWorkers {
    /// Whether a worker is known or may become so; says in the log once that it may not.
    pub(crate) fn can_track(&mut self, shard_id: usize, name: &str, machines: &Names) -> bool {
        if self.workers.len() < MAX_MACHINES {
            return true;
        }
        if !std::mem::replace(&mut self.full_logged, true) {
            tracing::warn!(
                most = MAX_MACHINES,
                "too many workers of other shards report here; further ones are not counted"
            );
        }
        let machine = machines.get(name);
        machine.is_some_and(|machine| self.workers.contains_key(&(shard_id, machine)))
    }

    /// Takes a report of a worker; returns whether to query it directly, which is of use only
    /// while its owner is alive.
    pub(crate) fn reported(
        &mut self,
        shard_id: usize,
        machine: u32,
        owner_alive: bool,
        now: Millis,
    ) -> bool {
        let key = (shard_id, machine);
        let known = self.workers.get(&key).map(|worker| worker.query);
        let before = known.unwrap_or(Query::NotSent);
        // Pending queries are counted only where that decides: there may be thousands of workers.
        let sends = owner_alive && before.is_due(now) && self.pending_queries() < MAX_QUERIES;
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

    /// Takes how a query to a machine came out.
    pub(crate) fn queried(&mut self, machine: u32, answered: bool) {
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

    /// How many misdirected workers of each shard can be reached from here. Not all are
    /// queried, as they may come by the hundred at once: those that were stand for them.
    pub(crate) fn counts(&mut self, now: Millis) -> Vec<(u32, u32)> {
        self.workers
            .retain(|_, worker| now - worker.last_report_at < COUNTED_MS);
        let mut counts: BTreeMap<usize, ShardCount> = BTreeMap::new();
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
        let estimate = |count: ShardCount| count.reporting * count.reachable / count.queried;
        sampled
            .map(|(shard_id, count)| (shard_id as u32, estimate(count)))
            .collect()
    }
}
