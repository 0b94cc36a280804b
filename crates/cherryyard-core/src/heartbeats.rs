//! Heartbeats between controllers: builds those of this controller and handles those of its peers.
//!
//! A heartbeat carries what the other controllers need with little delay: the leases that the
//! sender's mirror shows, the free capacity of its shards, cancellations, and whether the sender
//! can reach the state service. A heartbeat never decides who holds a lease or where a task is
//! assigned: only the records in the state service do. [`crate::peers`] keeps the newest heartbeat
//! of each peer.

use crate::Millis;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::shard_lease::LeaseEvent;
use cherryyard_wire::peer::{CapacityReport, Heartbeat, Sender};

/// Shortest time between two capacity reports when the free capacity has changed.
const CHANGED_CAPACITY_REPORT_MS: Millis = 900.0;
/// Number of revisions by which a peer may be ahead of the mirror before this controller reads the
/// newest state.
const MAX_REVISIONS_BEHIND: u64 = 20;
/// Largest number of services to be handed over that a heartbeat lists.
const MAX_HANDOVERS_LISTED: usize = 200;

impl Controller {
    /// Handles another controller's heartbeat.
    pub fn handle_peer_heartbeat(&mut self, heartbeat: Heartbeat, now: Millis) {
        self.advance_clock(now);
        let Some(peer) = self.controller_index(&heartbeat.label) else {
            return;
        };
        if peer == self.config.own_index {
            return;
        }
        let earliest_created_at = self.earliest_created_at(&heartbeat);
        if self
            .peers
            .is_delayed(peer, &heartbeat, earliest_created_at, now)
        {
            return;
        }
        self.detect_superseded_leases(&heartbeat);
        if heartbeat.store_revision > self.mirror.store_revision + MAX_REVISIONS_BEHIND {
            self.effects.push(Effect::Refresh);
        }
        self.leader.needs_cycle |= !heartbeat.handover_candidates.is_empty();
        for report in &heartbeat.shards {
            self.leader.record_capacity_report(report.clone(), now);
        }
        if self.leader.is_held_by(&self.mirror, &heartbeat.label)
            && !heartbeat.teams_short_of_grants.is_empty()
        {
            self.lower_grants(&heartbeat.teams_short_of_grants, now);
        }
        self.read_entitlements(peer, &heartbeat, now);
        let coverage = self.learn_cancellations(peer, &heartbeat, earliest_created_at, now);
        self.peers
            .receive(peer, heartbeat, earliest_created_at, coverage, now);
    }

    /// Returns the index of the controller with this name in the order on which all controllers
    /// agree.
    pub(crate) fn controller_index(&self, label: &str) -> Option<usize> {
        self.config.labels.iter().position(|known| known == label)
    }

    /// Marks the leases of this controller as superseded for which a peer reports a newer lease of
    /// another controller.
    fn detect_superseded_leases(&mut self, heartbeat: &Heartbeat) {
        for (shard, newer, label) in &heartbeat.leases {
            let shard_id = *shard as usize;
            if shard_id < self.shards.len()
                && *label != self.config.labels[self.config.own_index]
                && let Some(mine) = self.shards[shard_id].lease.held_token()
                && *newer > mine
            {
                tracing::info!(
                    shard = shard_id,
                    mine,
                    newer,
                    "a peer reports a newer shard lease"
                );
                self.change_shard_lease(shard_id, LeaseEvent::NewerTokenSeen);
                self.effects.push(Effect::Refresh);
            }
        }
    }

    /// Builds the heartbeat that this controller sends to all others now. The fields of the
    /// admission module are filled in last, together with the heartbeat's number.
    pub fn build_heartbeat(&mut self, now: Millis) -> Heartbeat {
        self.advance_clock(now);
        let shards = self.due_capacity_reports(now);
        let misdirected_workers = self.misdirected.counts(now);
        let demand = self.demand_reports();
        let teams_short_of_grants = self.teams_short_of_grants(now);
        let has_gap = self.mirror.take_missed_ends();
        let new_cancellations = self.mirror.take_new_cancellations();
        let (cancelled, cancellations_cover_ms) =
            self.cancelled
                .list_for_heartbeat(new_cancellations, has_gap, now);
        let cut_off = self.state_contact.is_cut_off(now);
        if cut_off {
            self.cancelled.cut_off_reported(now);
        }
        let mut heartbeat = Heartbeat {
            label: self.config.labels[self.config.own_index].clone(),
            cut_off,
            silent_ms: self.state_silence_ms(now),
            cancelled,
            cancellations_cover_ms,
            all_cancellations_known: self.mirror.loaded
                && self.all_cut_off(now)
                && self.knows_cancellations(),
            store_revision: self.mirror.store_revision,
            leases: self.known_leases(),
            shards,
            teams_short_of_grants,
            handover_candidates: self.handover_candidates(),
            misdirected_workers,
            number: 0,
            last_received_numbers: Vec::new(),
            fair_share_grants: Vec::new(),
            longest_submission_wait_ms: self.intake.wait_ms(now) as u32,
            demand,
        };
        self.write_entitlements(&mut heartbeat, now);
        heartbeat
    }

    /// Returns capacity reports of the shards that this controller owns, if reports are due: at
    /// the configured interval, and [`CHANGED_CAPACITY_REPORT_MS`] after the last ones if the free
    /// capacity has changed since.
    fn due_capacity_reports(&mut self, now: Millis) -> Vec<CapacityReport> {
        let interval_ms = self.config.tuning.capacity_report_s * 1000.0;
        let since_last = now - self.capacity_reported_at;
        let is_due = since_last >= interval_ms
            || (self.capacity_changed && since_last >= CHANGED_CAPACITY_REPORT_MS);
        if !is_due {
            return Vec::new();
        }
        self.capacity_reported_at = now;
        self.capacity_changed = false;
        let mut reports = Vec::new();
        for shard_id in 0..self.shards.len() {
            if self.owned_token(shard_id).is_some() {
                reports.push(self.capacity_report(shard_id, now));
            }
        }
        for report in &reports {
            self.leader.record_capacity_report(report.clone(), now);
        }
        reports
    }

    /// Returns the teams that are short of their grants, if this controller leads. Lowers the
    /// grants of the leader's own shards as the owners of the other shards lower theirs when they
    /// receive these teams in the heartbeat.
    fn teams_short_of_grants(&mut self, now: Millis) -> Vec<String> {
        if !self.leader.leads(&self.mirror) {
            return Vec::new();
        }
        let short = self.short_teams(now);
        self.lower_grants(&short, now);
        short
    }

    /// Returns the time since the state service last answered, in whole milliseconds;
    /// [`u32::MAX`] if it never has. The time counts from the answer, because the state service
    /// may have executed the last request at any time until it answered.
    fn state_silence_ms(&self, now: Millis) -> u32 {
        let silence = self.state_contact.silence(now);
        if silence.is_finite() {
            silence as u32
        } else {
            u32::MAX
        }
    }

    /// Returns all leases on shards that the mirror shows: shard, token and holder.
    fn known_leases(&self) -> Vec<(u32, u64, String)> {
        let holders = self.mirror.shards.iter().enumerate();
        holders
            .filter_map(|(shard_id, holder)| {
                let holder = holder.as_ref()?;
                Some((shard_id as u32, holder.revision, holder.label.clone()))
            })
            .collect()
    }

    /// Returns the services that this controller's shards hold back for the leader to move to other
    /// shards, with their present shards; at most [`MAX_HANDOVERS_LISTED`].
    fn handover_candidates(&self) -> Vec<(u32, u64)> {
        let shards = self.shards.iter().enumerate();
        shards
            .flat_map(|(shard_id, shard)| {
                let services = shard.handover_candidates.iter();
                services.map(move |&job| (shard_id as u32, job))
            })
            .take(MAX_HANDOVERS_LISTED)
            .collect()
    }

    /// Returns whether every other controller has recently reported that it is cut off from the
    /// state service.
    pub(crate) fn all_cut_off(&self, now: Millis) -> bool {
        self.peers
            .all_cut_off(self.config.heartbeat_validity_ms(), now)
    }

    /// Returns the controllers to which the connections are due to be reestablished, because they
    /// have long acknowledged no heartbeat, although this controller sends one twice a second. A
    /// controller that was down or partitioned may be back without the old connection, while this
    /// side of the connection shows no error for a minute or more. A controller that still
    /// acknowledges nothing is returned again after the same time.
    pub fn peers_to_reconnect(&mut self, now: Millis) -> Vec<&str> {
        let mut unresponsive = Vec::new();
        for peer in self.peers.others() {
            let acknowledged_at = self.last_acknowledged_at(peer).unwrap_or(self.started_at);
            if self.peers.reconnect_due(peer, acknowledged_at, now) {
                unresponsive.push(self.config.labels[peer].as_str());
            }
        }
        unresponsive
    }

    /// Records the build and the record format that another controller reports of itself.
    pub fn note_peer_build(&mut self, sender: &Sender, now: Millis) {
        let Some(peer) = self.controller_index(&sender.label) else {
            return;
        };
        let format = sender.format;
        if self.peers.note_format(peer, format, now) {
            let (label, build) = (&sender.label, &sender.build);
            tracing::info!(label, build, format, "peer reported its build");
        }
    }
}
