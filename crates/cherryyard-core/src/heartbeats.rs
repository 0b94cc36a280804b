//! What controllers tell each other.

use crate::Millis;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::shard_lease::LeaseEvent;
use cherryyard_wire::peer::{CapacityReport, Heartbeat, Sender};

impl Controller {
    /// Whether every other controller says lately that the state service does
    /// not answer it either.
    pub(crate) fn all_cut_off(&self, now: Millis) -> bool {
        self.peers.all_cut_off(self.config.relied_ms(), now)
    }

    /// Controllers that have for long named no message of ours, though we send them one
    /// twice a second: the connection to each is to be made anew. One that was down, or
    /// behind a cut, may be back and know nothing of the old connection, which tells us
    /// nothing for a minute or more. Each is told of again after the same time.
    pub fn deaf_peers(&mut self, now: Millis) -> Vec<&str> {
        let mut deaf = Vec::new();
        for peer in self.peers.others() {
            let acknowledged_at = self.named_at(peer).unwrap_or(self.started_at);
            if self.peers.reconnect_due(peer, acknowledged_at, now) {
                deaf.push(self.config.labels[peer].as_str());
            }
        }
        deaf
    }

    /// Takes what another controller says of its build.
    pub fn peer_runs(&mut self, sender: &Sender, now: Millis) {
        let Some(i) = self.config.labels.iter().position(|l| *l == sender.label) else {
            return;
        };
        let format = sender.format;
        if self.peers.note_format(i, format, now) {
            let (label, build) = (&sender.label, &sender.build);
            tracing::info!(label, build, format, "a controller names its build");
        }
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
        if self.peers.is_delayed(i, &heartbeat, made_at, now) {
            return;
        }
        for (shard, token, label) in &heartbeat.leases {
            let shard_id = *shard as usize;
            if shard_id < self.shards.len()
                && *label != self.config.labels[self.config.me]
                && let Some(mine) = self.shards[shard_id].lease.held_token()
                && *token > mine
            {
                tracing::info!(
                    shard = shard_id,
                    mine,
                    newer = token,
                    "a peer knows of a newer shard lease"
                );
                self.change_shard_lease(shard_id, LeaseEvent::NewerTokenSeen);
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
        if self.leader.is_label(&self.mirror, &heartbeat.label) && !heartbeat.short.is_empty() {
            self.lower_grants(&heartbeat.short, now);
        }
        self.entitlements_in(i, &heartbeat, now);
        let covered = self.learn_cancellations(i, &heartbeat, made_at, now);
        self.peers.receive(i, heartbeat, made_at, covered, now);
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
        let misdirected = self.misdirected.counts(now);
        let demand = self.demand_out();
        let mut short = Vec::new();
        if self.leader.leads(&self.mirror) {
            short = self.short_teams(now);
            // The leader's own shard gives back as the others do.
            self.lower_grants(&short, now);
        }
        let gap = self.mirror.has_gap();
        let (cancelled, reach_ms) = self.cancelled.tell(self.mirror.new_cancels(), gap, now);
        let cut_off = self.state_contact.is_cut_off(now);
        // What it took last may have been carried out until it answered.
        let silent = self.state_contact.silence(now);
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
