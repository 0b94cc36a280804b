//! What controllers tell each other.

use crate::Millis;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::peers::{PeerFormat, PeerState};
use crate::shard_lease::{ShardLease, ShardLeaseEvent};
use cherryyard_wire::peer::{CapacityReport, Heartbeat, Sender};
use std::collections::BTreeMap;

/// How long nothing of what we send a controller may be named by it.
const DEAF_MS: f64 = 3000.0;
/// How long a report counts that came to one who does not own its machine: a worker that
/// cannot reach its owner waits 4 s there, 1 s more, and is sent there again.
const MISDIRECTED_MS: f64 = 6000.0;
/// How long after a newer heartbeat an older one is taken for one that was held back. One who
/// began anew counts from anywhere, but names ours of since then.
const OLD_CONNECTION_MS: f64 = 3000.0;

impl Controller {
    /// Whether every other controller says lately that the state service does
    /// not answer it either.
    pub(crate) fn all_cut_off(&self, now: Millis) -> bool {
        (0..self.peers.len())
            .filter(|&i| i != self.config.me)
            .all(|i| {
                self.peers[i].as_ref().is_some_and(|peer| {
                    now - peer.made_at <= self.config.relied_ms() && peer.heartbeat.cut_off
                })
            })
    }

    /// Controllers that have for long named no message of ours, though we send them one
    /// twice a second: the connection to each is to be made anew. One that was down, or
    /// behind a cut, may be back and know nothing of the old connection, which tells us
    /// nothing for a minute or more. Each is told of again after the same time.
    pub fn deaf_peers(&mut self, now: Millis) -> Vec<&str> {
        let me = self.config.me;
        let mut deaf = Vec::new();
        for i in (0..self.peers.len()).filter(|&i| i != me) {
            let named = self.named_at(i).unwrap_or(self.started_at);
            let since = self.reconnected_at[i].max(named);
            if now - since > DEAF_MS {
                self.reconnected_at[i] = now;
                deaf.push(i);
            }
        }
        let labels = &self.config.labels;
        deaf.into_iter().map(|i| labels[i].as_str()).collect()
    }

    /// Takes what another controller says of its build.
    pub fn peer_runs(&mut self, sender: &Sender, now: Millis) {
        let Some(i) = self.config.labels.iter().position(|l| *l == sender.label) else {
            return;
        };
        let format = sender.format;
        if self.peer_formats[i].is_none_or(|known| known.format != format) {
            let (label, build) = (&sender.label, &sender.build);
            tracing::info!(label, build, format, "a controller names its build");
        }
        self.peer_formats[i] = Some(PeerFormat { format, at: now });
    }

    /// Takes another controller's heartbeat.
    pub fn heartbeat_in(&mut self, heartbeat: Heartbeat, now: Millis) {
        self.notice(now);
        let Some(i) = self
            .config
            .labels
            .iter()
            .position(|l| *l == heartbeat.label)
        else {
            return;
        };
        if i == self.config.me {
            return;
        }
        let made_at = self.made_at(&heartbeat);
        let older = |peer: &PeerState| {
            heartbeat.number < peer.heartbeat.number
                && made_at <= peer.made_at
                && now - peer.last_heard_at < OLD_CONNECTION_MS
        };
        if self.peers[i].as_ref().is_some_and(older) {
            // Held back on a connection that has been given up since.
            return;
        }
        for (shard, token, label) in &heartbeat.leases {
            let shard_id = *shard as usize;
            if shard_id < self.shards.len()
                && *label != self.config.labels[self.config.me]
                && let ShardLease::Held(mine) = self.shards[shard_id].lease
                && *token > mine
            {
                tracing::info!(
                    shard = shard_id,
                    mine,
                    newer = token,
                    "a peer knows of a newer claim"
                );
                self.change_shard_lease(shard_id, ShardLeaseEvent::NewerTokenSeen);
                self.effects.push(Effect::Refresh);
            }
        }
        if heartbeat.store_revision > self.mirror.store_revision + 20 {
            self.effects.push(Effect::Refresh);
        }
        self.leader.dirty |= !heartbeat.handing.is_empty();
        for report in &heartbeat.shards {
            self.leader.hear(report.clone(), now);
        }
        let up_since = match &self.peers[i] {
            Some(peer) if now - peer.last_heard_at < 3000.0 => peer.up_since,
            _ => now,
        };
        if self.leader.is_label(&self.mirror, &heartbeat.label) && !heartbeat.short.is_empty() {
            self.lower_grants(&heartbeat.short, now);
        }
        self.entitlements_in(i, &heartbeat, now);
        let covered = self.learn_cancellations(i, &heartbeat, made_at, now);
        let before = self.peers[i].as_ref();
        self.peers[i] = Some(PeerState {
            made_at: before.map_or(made_at, |peer| peer.made_at.max(made_at)),
            heartbeat,
            last_heard_at: now,
            up_since,
            covered,
        });
    }

    /// How many workers of others' shards report here and hear, by shard. Not all are
    /// asked, as they may come by the hundred at once: those that were stand for them.
    fn misdirected_counts(&mut self, now: Millis) -> Vec<(u32, u32)> {
        self.misdirected
            .retain(|_, worker| now - worker.at < MISDIRECTED_MS);
        let mut counts: BTreeMap<usize, (u32, u32, u32)> = BTreeMap::new();
        for (&(shard_id, _), worker) in &self.misdirected {
            let (all, queried, hear) = counts.entry(shard_id).or_default();
            *all += 1;
            *queried += u32::from(worker.asked_at.is_finite() && !worker.query_pending);
            *hear += u32::from(worker.is_reachable);
        }
        let told = counts.into_iter().filter(|c| c.1.1 > 0);
        told.map(|(shard_id, (all, queried, hear))| (shard_id as u32, all * hear / queried))
            .collect()
    }

    /// What this controller tells the others now.
    pub fn heartbeat_out(&mut self, now: Millis) -> Heartbeat {
        self.notice(now);
        let every = self.config.tuning.capacity_report_s * 1000.0;
        let due = now - self.reported_at;
        let mut shards: Vec<CapacityReport> = Vec::new();
        if due >= every || (self.capacity_changed && due >= 900.0) {
            self.reported_at = now;
            self.capacity_changed = false;
            for shard_id in 0..self.shards.len() {
                if self.owned(shard_id).is_some() {
                    shards.push(self.capacity_report(shard_id, now));
                }
            }
            for report in &shards {
                self.leader.hear(report.clone(), now);
            }
        }
        let misdirected = self.misdirected_counts(now);
        let demand = self.demand_out();
        let mut short = Vec::new();
        if self.leader.leads(&self.mirror) {
            short = self.short_teams(now);
            // The leader's own shard gives back as the others do.
            self.lower_grants(&short, now);
        }
        let gap = self.mirror.take_gap();
        let (cancelled, reach_ms) = self
            .cancelled
            .tell(self.mirror.take_new_cancels(), gap, now);
        let cut_off = now - self.state_ok_at > 2500.0;
        // What it took last may have been carried out until it answered.
        let silent = now - self.state_answered_at;
        if cut_off {
            self.cancelled.announced_cut_off(now);
        }
        let mut heartbeat = Heartbeat {
            silent_ms: if silent.is_finite() {
                silent as u32
            } else {
                u32::MAX
            },
            cancelled,
            reach_ms,
            complete: self.mirror.loaded && self.all_cut_off(now) && self.knows_cancellations(),
            handing: (0..self.shards.len())
                .flat_map(|shard_id| {
                    self.shards[shard_id]
                        .handing
                        .iter()
                        .map(move |&job| (shard_id as u32, job))
                })
                .take(200)
                .collect(),
            misdirected,
            label: self.config.labels[self.config.me].clone(),
            cut_off,
            store_revision: self.mirror.store_revision,
            leases: (0..self.shards.len())
                .filter_map(|shard_id| {
                    let c = self.mirror.shards[shard_id].as_ref()?;
                    Some((shard_id as u32, c.revision, c.label.clone()))
                })
                .collect(),
            shards,
            short,
            number: 0,
            heard: Vec::new(),
            shares: Vec::new(),
            intake_ms: self.intake.wait_ms(now) as u32,
            demand,
        };
        self.entitlements_out(&mut heartbeat, now);
        heartbeat
    }
}
