//! Workers that report to a controller which does not own their shard.

use super::{MAX_HOST_NAME, MAX_MACHINES, MAX_QUERIES};
use crate::Millis;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::peers::MisdirectedWorker;
use cherryyard_wire::worker::WorkerHeartbeat;

/// Silence after which what another controller has said of leases does not count any more.
const PEER_LEASES_MS: f64 = 5000.0;
/// Silence up to which another controller counts as running.
const PEER_RUNNING_MS: f64 = 2000.0;
/// Time between two queries to a misdirected worker.
const QUERY_INTERVAL_MS: f64 = 3000.0;

impl Controller {
    /// Who answers heartbeats of a shard, if it is another controller: the holder of the
    /// newest lease that is known.
    pub(super) fn owner_elsewhere(&self, shard_id: usize, now: Millis) -> Option<String> {
        let stored = self.mirror.shards[shard_id].as_ref();
        let mut newest = stored.map(|lease| (lease.revision, lease.label.clone()));
        for peer in self.peers.iter().flatten() {
            if now - peer.last_heard_at >= PEER_LEASES_MS {
                continue;
            }
            for (shard, token, label) in &peer.heartbeat.leases {
                if *shard as usize == shard_id && newest.as_ref().is_none_or(|n| n.0 < *token) {
                    newest = Some((*token, label.clone()));
                }
            }
        }
        let own_label = &self.config.labels[self.config.me];
        newest
            .map(|(_, label)| label)
            .filter(|label| label != own_label)
    }

    /// Notes that a worker of another owner's shard reports here. It may have lost its owner,
    /// or receive nothing from anybody and try one after the other: then no other owner would
    /// do better. So it is queried, unless the owner does not run anyway.
    pub(super) fn note_misdirected_worker(
        &mut self,
        shard_id: usize,
        heartbeat: &WorkerHeartbeat,
        now: Millis,
    ) {
        if heartbeat.host.len() > MAX_HOST_NAME
            || !self.can_track_misdirected(shard_id, &heartbeat.host)
        {
            return;
        }
        let owner_runs = self.owner_runs(shard_id, now);
        let host = self.mirror.hosts.intern(&heartbeat.host);
        let known = self.misdirected.get(&(shard_id, host));
        let is_due = known.is_none_or(|worker| {
            !worker.is_reachable
                && !worker.query_pending
                && now - worker.asked_at > QUERY_INTERVAL_MS
        });
        // Counted only where it decides: there may be thousands.
        let query = owner_runs && is_due && self.misdirected_queries() < MAX_QUERIES;
        let worker = self
            .misdirected
            .entry((shard_id, host))
            .or_insert(MisdirectedWorker {
                at: now,
                asked_at: f64::NEG_INFINITY,
                query_pending: false,
                is_reachable: false,
            });
        worker.at = now;
        if query {
            worker.query_pending = true;
            worker.asked_at = now;
            let addr = heartbeat.addr.clone();
            self.effects.push(Effect::QueryStatus { host, addr });
        }
    }

    /// Whether the shard's owner is another controller that has been heard of lately.
    fn owner_runs(&self, shard_id: usize, now: Millis) -> bool {
        let Some(owner) = self.owner_elsewhere(shard_id, now) else {
            return false;
        };
        let mut labels = self.config.labels.iter();
        let peer = labels
            .position(|label| *label == owner)
            .and_then(|i| self.peers[i].as_ref());
        peer.is_some_and(|peer| now - peer.last_heard_at < PEER_RUNNING_MS)
    }

    /// Queries to misdirected workers that are under way.
    fn misdirected_queries(&self) -> usize {
        self.misdirected
            .values()
            .filter(|worker| worker.query_pending)
            .count()
    }

    /// Whether a misdirected worker is known or may become so; says in the log once that it
    /// may not.
    fn can_track_misdirected(&mut self, shard_id: usize, host: &str) -> bool {
        if self.misdirected.len() < MAX_MACHINES {
            return true;
        }
        if !std::mem::replace(&mut self.misdirected_full_logged, true) {
            let limit = MAX_MACHINES;
            tracing::warn!(
                limit,
                "too many misdirected workers: further ones are not counted"
            );
        }
        let host = self.mirror.hosts.get(host);
        host.is_some_and(|host| self.misdirected.contains_key(&(shard_id, host)))
    }
}
