//! Heartbeats of workers that report to a controller which does not own their shard.

use super::MAX_MACHINE_NAME_BYTES;
use crate::Millis;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::peers::{KNOWN_LEASES_MS, MISDIRECTED_REPORTS_MS};
use cherryyard_wire::worker::WorkerHeartbeat;

impl Controller {
    /// Returns the label of the controller that holds the newest known lease on a shard, or `None`
    /// if that is this controller or no lease is known.
    pub(super) fn other_owner_label(&self, shard_id: usize, now: Millis) -> Option<String> {
        let stored = self.mirror.shards[shard_id].as_ref();
        let mut newest = stored.map(|lease| (lease.revision, lease.label.clone()));
        let peers = self.peers.iter();
        for peer in peers.filter(|peer| peer.received_within(KNOWN_LEASES_MS, now)) {
            for (shard, token, label) in &peer.heartbeat.leases {
                if *shard as usize == shard_id && newest.as_ref().is_none_or(|n| n.0 < *token) {
                    newest = Some((*token, label.clone()));
                }
            }
        }
        let own_label = &self.config.labels[self.config.own_index];
        newest
            .map(|(_, label)| label)
            .filter(|label| label != own_label)
    }

    /// Records that a worker of another controller's shard reports to this controller, and sends
    /// the worker a status query if one is due.
    pub(super) fn record_misdirected_worker(
        &mut self,
        shard_id: usize,
        heartbeat: &WorkerHeartbeat,
        now: Millis,
    ) {
        if heartbeat.host.len() > MAX_MACHINE_NAME_BYTES
            || !self
                .misdirected
                .can_track(shard_id, &heartbeat.host, &self.mirror.hosts)
        {
            return;
        }
        let owner_alive = self.owner_is_alive(shard_id, now);
        let host = self.mirror.hosts.intern(&heartbeat.host);
        if self
            .misdirected
            .record_report(shard_id, host, owner_alive, now)
        {
            let addr = heartbeat.addr.clone();
            self.effects.push(Effect::QueryStatus { host, addr });
        }
    }

    /// Returns whether the shard's owner is another controller from which a heartbeat was received
    /// within `MISDIRECTED_REPORTS_MS`.
    fn owner_is_alive(&self, shard_id: usize, now: Millis) -> bool {
        let Some(owner) = self.other_owner_label(shard_id, now) else {
            return false;
        };
        let position = self.config.labels.iter().position(|label| *label == owner);
        position.is_some_and(|owner| {
            self.peers
                .received_within(owner, MISDIRECTED_REPORTS_MS, now)
        })
    }
}
