//! Heartbeats between controllers: building ours, and taking those of the peers.
//!
//! A heartbeat carries what the other controllers need to know soon: the leases that the sender
//! knows of, the free capacity of its shards, cancellations, and whether it can reach the state
//! service. It proves nothing by itself: leases and assignments are decided in the state service
//! alone. [`crate::peers`] keeps the newest one of each peer.

use crate::Millis;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::shard_lease::LeaseEvent;
use cherryyard_wire::peer::{CapacityReport, Heartbeat, Sender};

/// Least time between two heartbeats with capacity reports when free capacity has changed.
const CAPACITY_CHANGED_MS: Millis = 900.0;
/// Revisions that a peer may be ahead of our mirror before we read the newest state.
const REVISIONS_BEHIND: u64 = 20;
/// Services to be handed over that a heartbeat names at most.
const MAX_HANDING: usize = 200;

impl Controller {
    /// Takes another controller's heartbeat.
    pub fn heartbeat_in(&mut self, heartbeat: Heartbeat, now: Millis) {
        self.notice(now);
        let Some(peer) = self.place_of(&heartbeat.label) else {
            return;
        };
        if peer == self.config.me {
            return;
        }
        let made_at = self.made_at(&heartbeat);
        if self.peers.is_delayed(peer, &heartbeat, made_at, now) {
            return;
        }
        self.take_known_leases(&heartbeat);
        if heartbeat.store_revision > self.mirror.store_revision + REVISIONS_BEHIND {
            self.effects.push(Effect::Refresh);
        }
        self.leader.dirty |= !heartbeat.handing.is_empty();
        for report in &heartbeat.shards {
            self.leader.hear(report.clone(), now);
        }
        if self.leader.is_label(&self.mirror, &heartbeat.label) && !heartbeat.short.is_empty() {
            self.lower_grants(&heartbeat.short, now);
        }
        self.entitlements_in(peer, &heartbeat, now);
        let covered = self.learn_cancellations(peer, &heartbeat, made_at, now);
        self.peers.receive(peer, heartbeat, made_at, covered, now);
    }

    /// The place of the controller with this name among all.
    pub(crate) fn place_of(&self, label: &str) -> Option<usize> {
        self.config.labels.iter().position(|known| known == label)
    }

    /// Notes which of our leases a peer knows to have been followed by newer ones of others.
    fn take_known_leases(&mut self, heartbeat: &Heartbeat) {
        for (shard, newer, label) in &heartbeat.leases {
            let shard_id = *shard as usize;
            if shard_id < self.shards.len()
                && *label != self.config.labels[self.config.me]
                && let Some(mine) = self.shards[shard_id].lease.held_token()
                && *newer > mine
            {
                tracing::info!(
                    shard = shard_id,
                    mine,
                    newer,
                    "a peer knows of a newer shard lease"
                );
                self.change_shard_lease(shard_id, LeaseEvent::NewerTokenSeen);
                self.effects.push(Effect::Refresh);
            }
        }
    }

    /// The heartbeat that this controller sends the others now. The admission's part is added last, as it
    /// numbers the heartbeat.
    pub fn heartbeat_out(&mut self, now: Millis) -> Heartbeat {
        self.notice(now);
        let shards = self.due_capacity_reports(now);
        let misdirected = self.misdirected.counts(now);
        let demand = self.demand_out();
        let short = self.teams_short_of_grants(now);
        let has_gap = self.mirror.take_gap();
        let new_cancellations = self.mirror.take_new_cancels();
        let (cancelled, reach_ms) =
            self.cancelled
                .list_for_heartbeat(new_cancellations, has_gap, now);
        let cut_off = self.state_contact.is_cut_off(now);
        if cut_off {
            self.cancelled.cut_off_reported(now);
        }
        let mut heartbeat = Heartbeat {
            label: self.config.labels[self.config.me].clone(),
            cut_off,
            silent_ms: self.state_silence_ms(now),
            cancelled,
            reach_ms,
            complete: self.mirror.loaded && self.all_cut_off(now) && self.knows_cancellations(),
            store_revision: self.mirror.store_revision,
            leases: self.known_leases(),
            shards,
            short,
            handing: self.services_to_hand_over(),
            misdirected,
            number: 0,
            heard: Vec::new(),
            shares: Vec::new(),
            intake_ms: self.intake.wait_ms(now) as u32,
            demand,
        };
        self.entitlements_out(&mut heartbeat, now);
        heartbeat
    }

    /// Capacity reports of our shards, if they are due: regularly, and soon after a change.
    fn due_capacity_reports(&mut self, now: Millis) -> Vec<CapacityReport> {
        let interval_ms = self.config.tuning.capacity_report_s * 1000.0;
        let since_last = now - self.reported_at;
        let is_due = since_last >= interval_ms
            || (self.capacity_changed && since_last >= CAPACITY_CHANGED_MS);
        if !is_due {
            return Vec::new();
        }
        self.reported_at = now;
        self.capacity_changed = false;
        let mut reports = Vec::new();
        for shard_id in 0..self.shards.len() {
            if self.owned(shard_id).is_some() {
                reports.push(self.capacity_report(shard_id, now));
            }
        }
        for report in &reports {
            self.leader.hear(report.clone(), now);
        }
        reports
    }

    /// As the leader, the teams that are short of their grants. The leader's own shards give back
    /// what the other owners give back when they receive this.
    fn teams_short_of_grants(&mut self, now: Millis) -> Vec<String> {
        if !self.leader.leads(&self.mirror) {
            return Vec::new();
        }
        let short = self.short_teams(now);
        self.lower_grants(&short, now);
        short
    }

    /// For how long the state service has not answered, in whole milliseconds; the largest
    /// number if it never has. What it took last may have been carried out until it answered.
    fn state_silence_ms(&self, now: Millis) -> u32 {
        let silence = self.state_contact.silence(now);
        if silence.is_finite() {
            silence as u32
        } else {
            u32::MAX
        }
    }

    /// All leases that the mirror shows: shard, token and holder.
    fn known_leases(&self) -> Vec<(u32, u64, String)> {
        let holders = self.mirror.shards.iter().enumerate();
        holders
            .filter_map(|(shard_id, holder)| {
                let holder = holder.as_ref()?;
                Some((shard_id as u32, holder.revision, holder.label.clone()))
            })
            .collect()
    }

    /// Services that our shards keep back for the leader to move, with their shards.
    fn services_to_hand_over(&self) -> Vec<(u32, u64)> {
        let shards = self.shards.iter().enumerate();
        shards
            .flat_map(|(shard_id, shard)| {
                let services = shard.handing.iter();
                services.map(move |&job| (shard_id as u32, job))
            })
            .take(MAX_HANDING)
            .collect()
    }

    /// Whether every other controller says lately that the state service does
    /// not answer it either.
    pub(crate) fn all_cut_off(&self, now: Millis) -> bool {
        self.peers.all_cut_off(self.config.relied_ms(), now)
    }

    /// Controllers that have long acknowledged no heartbeat of ours, though we send them one
    /// twice a second: the connection to each is to be made anew. One that was down, or
    /// behind a cut, may be back and know nothing of the old connection, which shows us
    /// nothing of that for a minute or more. Each is named again after the same time.
    pub fn peers_to_reconnect(&mut self, now: Millis) -> Vec<&str> {
        let mut unacknowledging = Vec::new();
        for peer in self.peers.others() {
            let acknowledged_at = self.named_at(peer).unwrap_or(self.started_at);
            if self.peers.reconnect_due(peer, acknowledged_at, now) {
                unacknowledging.push(self.config.labels[peer].as_str());
            }
        }
        unacknowledging
    }

    /// Takes what another controller says of its build.
    pub fn note_peer_build(&mut self, sender: &Sender, now: Millis) {
        let Some(peer) = self.place_of(&sender.label) else {
            return;
        };
        let format = sender.format;
        if self.peers.note_format(peer, format, now) {
            let (label, build) = (&sender.label, &sender.build);
            tracing::info!(label, build, format, "a controller names its build");
        }
    }
}
