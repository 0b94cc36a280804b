//! The controller's handlers of what concerns admission: they pass to the types of this
//! module what these need of the rest, and carry out what comes of it.

use super::allowance::{has_lapsed, may_grant};
use super::entitlements::usage::{FlowUse, demand_by_flow, running_in_shard, usage_by_flow};
use super::entitlements::{
    Acknowledgement, OwnerEntitlement, ReceivedAllowance, ShardOwner, StatusChange,
    granted_allowance,
};
use super::fair_share_guarantee::fair_share_guarantees;
use super::flows::Flow;
use super::intake::{IntakeEvent, Offer};
use super::submission::Waiting;
use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use crate::machine::Task;
use crate::mirror::MOST_ROWS;
use cherryyard_wire::peer::{DemandReport, Heartbeat};
use cherryyard_wire::record::{BUCKETS, Key};
use cherryyard_wire::state::Commit;
use std::collections::HashSet;

/// How new jobs are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AdmissionForm {
    /// On pages of the admission log.
    Page,
    /// In records of their own.
    Records,
    /// Pages have begun, and what came before is not all known yet.
    NotKnown,
}

/// Submissions.
impl Controller {
    /// Takes a submission; the answer follows as an effect, maybe at once.
    pub fn offer(&mut self, offer: Offer, now: Millis) {
        self.notice(now);
        self.demand.offered(offer.open.flow, offer.job);
        let is_queued = self.intake.offer(
            offer,
            &self.config,
            &mut self.demand,
            &mut self.effects,
            now,
        );
        if is_queued {
            self.take_in(now);
        }
    }

    /// Sends what waits, if it is time.
    pub(crate) fn take_in(&mut self, now: Millis) {
        self.intake.end_delay(self.mirror.store_revision, now);
        self.intake
            .refuse_expired(&self.config, &mut self.demand, &mut self.effects, now);
        if !self.intake.is_ready() || !self.state_fresh(now) {
            return;
        }
        self.set_user_rate(now);
        if self.user_write_budget.left(now) < 1.0 {
            return;
        }
        let commit = match self.admission_form() {
            AdmissionForm::Page => self.admit_by_page(),
            AdmissionForm::Records => self.admit_by_records(now),
            AdmissionForm::NotKnown => {
                self.effects.push(Effect::Refresh);
                return;
            }
        };
        if self.intake.send(now) {
            self.user_write_budget.spend(commit.apply.len() as f64);
            self.effects.push(Effect::Commit(Ticket::Admission, commit));
        }
    }

    fn admission_form(&self) -> AdmissionForm {
        if self.mirror.takes_pages() {
            // The leader writes pages all the time; the others, to whom few come while
            // there is one, would only get into its way and each other's.
            let few = self.intake.has_few() && self.leadership_token().is_none();
            if few && self.mirror.format.jobs < BUCKETS {
                AdmissionForm::Records
            } else {
                AdmissionForm::Page
            }
        } else if self.mirror.format.by_pages {
            AdmissionForm::NotKnown
        } else {
            AdmissionForm::Records
        }
    }

    /// A page with the next submissions, divided if this controller leads.
    fn admit_by_page(&mut self) -> Commit {
        let mut commit = Commit::default();
        let mut batch = self.next_submissions(MOST_ROWS);
        if batch.is_empty() {
            return commit;
        }
        self.divide_batch(&mut batch, &mut commit);
        self.intake.write_page(
            batch,
            &mut commit,
            &self.mirror,
            &self.config,
            &mut self.effects,
        );
        commit
    }

    /// Records of their own for the next submissions: before there are pages, and where
    /// few come to a controller that does not lead.
    fn admit_by_records(&mut self, now: Millis) -> Commit {
        let affordable = self.user_write_budget.left(now) as usize;
        let most = self.config.txn_ops.min(affordable);
        let mut batch = self.next_submissions(most.max(1));
        let mut commit = Commit::default();
        if batch.is_empty() {
            return commit;
        }
        self.divide_batch(&mut batch, &mut commit);
        self.intake.write_records(
            batch,
            &commit,
            &self.mirror,
            &self.config,
            &mut self.effects,
        )
    }

    fn next_submissions(&mut self, most: usize) -> Vec<Waiting> {
        let weights = self.flow_weights();
        self.intake
            .next_batch(most, &weights, &self.mirror, &mut self.effects)
    }

    /// The flows' weights, by index.
    fn flow_weights(&self) -> Vec<f64> {
        let flows = &self.mirror.flows;
        let classes = (0..flows.len()).map(|flow| flows.class(flow as Flow));
        let admission = &self.config.tuning.admission;
        classes.map(|class| admission.of(class).weight).collect()
    }

    /// Divides submissions among the shards if this controller leads, in a transaction
    /// that then depends on its lease.
    fn divide_batch(&mut self, batch: &mut [Waiting], commit: &mut Commit) {
        let now = self.state_contact.clock();
        let Some(token) = self.leadership_token().filter(|_| self.state_fresh(now)) else {
            for waiting in batch {
                waiting.offer.open.division = Vec::new();
                waiting.divided_under = None;
            }
            return;
        };
        for waiting in batch {
            let open = &mut waiting.offer.open;
            // Not again for another try: it would be counted twice against the capacity.
            if open.dependencies.is_none() && waiting.divided_under != Some(token) {
                open.division = Vec::new();
                self.fill_division(open, now);
                waiting.divided_under = Some(token);
            }
        }
        self.mirror.require(commit, Key::Leader);
    }

    /// Takes how the transaction with submissions came out.
    pub(crate) fn intake_committed(&mut self, outcome: Outcome, now: Millis) {
        let event = match outcome {
            Outcome::Applied(_) => IntakeEvent::Answered,
            // Somebody else has added jobs, or one of these: wait until that is seen.
            Outcome::Conflict(store_revision) => IntakeEvent::Delayed {
                until: now + self.jitter(5.0, 40.0),
                store_revision,
            },
            Outcome::NoLease | Outcome::Refused | Outcome::Malformed | Outcome::Unknown => {
                IntakeEvent::Delayed {
                    until: now + self.jitter(60.0, 180.0),
                    store_revision: 0,
                }
            }
        };
        self.intake
            .committed(outcome, event, &mut self.demand, &mut self.effects);
        if matches!(outcome, Outcome::Applied(_)) {
            for shard in &mut self.shards {
                shard.dirty = true;
            }
            self.leader.dirty = true;
        }
    }

    /// What has become of submissions at all controllers since the last call, by class
    /// and team: offered, taken, refused. What is counted is totals, so a heartbeat that is
    /// lost or comes twice changes nothing, and a controller that starts anew begins at
    /// nought.
    pub fn demand_report(&mut self) -> Vec<(String, String, [u64; 3])> {
        let ours = self.demand_out();
        let peers = self.peers.enumerate();
        let theirs = peers.map(|(i, peer)| (i, peer.heartbeat.demand.as_slice()));
        let counted = theirs.chain([(self.config.me, ours.as_slice())]);
        self.demand
            .since_last_report(counted, &self.config.team_names)
    }

    /// What has become of submissions here.
    pub(crate) fn demand_out(&self) -> Vec<DemandReport> {
        self.demand.reports(&self.mirror.flows)
    }
}

/// Fair-share entitlements.
impl Controller {
    /// The leader's review of what every flow has.
    pub(crate) fn review_fair_shares(&mut self, now: Millis) {
        let is_leader = self.leader.leads(&self.mirror) && self.state_fresh(now);
        if !is_leader || !self.entitlements.review_due(now) {
            return;
        }
        let usage = usage_by_flow(&self.mirror, self.shards.len());
        let demands = demand_by_flow(&usage, &self.mirror, &self.config);
        let team_guarantees: Vec<f64> = self.config.teams.iter().map(|team| team.cores).collect();
        let cores = self.leader.total_cores(&self.mirror.catalog.machine_types);
        let guarantees = fair_share_guarantees(&demands, &team_guarantees, cores);
        let window_ms = self.fair_share_window_ms();
        let changes = self
            .entitlements
            .review(&usage, &guarantees, window_ms, now);
        for change in &changes {
            self.log_status_change(change);
        }
        self.divide_guarantees(&usage, now);
    }

    fn fair_share_window_ms(&self) -> f64 {
        self.config.tuning.admission.window_s * 1000.0
    }

    fn log_status_change(&self, change: &StatusChange) {
        let flows = &self.mirror.flows;
        tracing::info!(
            class = flows.class(change.flow),
            team = self.config.team_names.name(flows.team(change.flow)),
            running = change.running.round(),
            guarantee = change.guarantee.round(),
            waiting = change.waiting.round(),
            from = change.before.name(),
            to = change.after.name(),
            "fair-share status changed"
        );
    }

    fn divide_guarantees(&mut self, usage: &[FlowUse], now: Millis) {
        let owners: Vec<ShardOwner> = (0..self.shards.len())
            .map(|shard_id| self.shard_owner(shard_id, now))
            .collect();
        let leader_token = self.mirror.revision(Key::Leader);
        let may_grant = may_grant(self.leader.since(), self.state_contact.read_sent_at(), now);
        self.entitlements
            .divide_guarantees(usage, leader_token, &owners, may_grant, now);
    }

    fn shard_owner(&self, shard_id: usize, now: Millis) -> ShardOwner {
        let lease = self.mirror.shards[shard_id].as_ref();
        let owner = lease.and_then(|lease| {
            let mut labels = self.config.labels.iter();
            labels.position(|label| *label == lease.label)
        });
        let has_lapsed = match owner {
            Some(owner) if owner == self.config.me => false,
            Some(owner) => {
                let received_at = self.entitlements.last_received_at(owner);
                received_at.is_none_or(|at| has_lapsed(at, now))
            }
            None => true,
        };
        ShardOwner {
            token: self.mirror.revision(Key::Shard(shard_id)),
            has_lapsed,
            is_ours: self.owned(shard_id).is_some(),
        }
    }

    /// Whether a flow goes ahead of rank, as far as is known here.
    pub(crate) fn is_ahead(&self, flow: Flow, now: Millis) -> bool {
        let window_ms = self.fair_share_window_ms();
        self.entitlements.is_ahead(flow, window_ms, now)
    }

    /// What the owner of a shard of ours may start ahead of rank, by flow, and what it may
    /// stop of those flows for others; `gone` are tasks that a scheduling cycle has proven
    /// gone.
    pub(crate) fn allowances(
        &self,
        shard_id: usize,
        gone: &HashSet<Task>,
        now: Millis,
    ) -> OwnerEntitlement {
        let flows = (0..self.mirror.flows.len()).map(|flow| flow as Flow);
        let ahead: Vec<Flow> = flows.filter(|&flow| self.is_ahead(flow, now)).collect();
        if ahead.is_empty() {
            return OwnerEntitlement::default();
        }
        let running = running_in_shard(&self.mirror, shard_id, gone);
        let token = self.mirror.revision(Key::Shard(shard_id));
        self.entitlements
            .owner_entitlement(&ahead, shard_id, token, &running, now)
    }

    /// When a heartbeat was made at the earliest: when ours was sent that it names. If that
    /// is long ago, or was by a process of ours before, nothing is known.
    pub(crate) fn made_at(&self, heartbeat: &Heartbeat) -> Millis {
        let acknowledgement = self.entitlements.acknowledgement(heartbeat, self.config.me);
        acknowledgement.sent_at.unwrap_or(f64::NEG_INFINITY)
    }

    /// When the last of our heartbeats was sent that another controller has named.
    pub(crate) fn named_at(&self, peer: usize) -> Option<Millis> {
        self.entitlements.last_acknowledged_at(peer)
    }

    /// Numbers a heartbeat, and adds what this controller grants if it leads.
    pub(crate) fn entitlements_out(&mut self, heartbeat: &mut Heartbeat, now: Millis) {
        self.entitlements.number_heartbeat(heartbeat, now);
        if self.leader.leads(&self.mirror) {
            self.entitlements
                .write_grants(heartbeat, &self.mirror.flows);
        }
    }

    /// Takes what another controller's heartbeat acknowledges, and grants if it leads.
    pub(crate) fn entitlements_in(&mut self, peer: usize, heartbeat: &Heartbeat, now: Millis) {
        let me = self.config.me;
        let acknowledgement = self
            .entitlements
            .heartbeat_received(peer, heartbeat, me, now);
        if self.leader.leads(&self.mirror) {
            if let Some(number) = acknowledgement.number {
                let label = &self.config.labels[peer];
                let shards = &self.mirror.shards;
                let owned = |shard_id: usize| {
                    let lease = shards[shard_id].as_ref();
                    lease.map(|lease| &lease.label) == Some(label)
                };
                self.entitlements.grants_acknowledged(number, owned);
            }
        } else if self.leader.is_label(&self.mirror, &heartbeat.label) {
            self.take_grants(heartbeat, acknowledgement, now);
        }
    }

    fn take_grants(
        &mut self,
        heartbeat: &Heartbeat,
        acknowledgement: Acknowledgement,
        now: Millis,
    ) {
        let mut ahead = Vec::new();
        let mut granted = Vec::new();
        for share in &heartbeat.shares {
            if share.team as usize >= self.config.teams.len() {
                continue;
            }
            let flow = self.mirror.flows.intern(share.team, &share.class);
            ahead.push((flow, f64::from(share.floor)));
            let Some(sent_at) = acknowledgement.sent_at else {
                continue;
            };
            for grant in &share.levels {
                let shard_id = grant.shard as usize;
                let allowance = granted_allowance(grant, heartbeat.number, sent_at);
                if shard_id < self.shards.len()
                    && self.owned(shard_id) == Some(allowance.leases.shard_token)
                {
                    granted.push(ReceivedAllowance {
                        flow,
                        shard_id,
                        allowance,
                    });
                }
            }
        }
        self.entitlements.grants_received(&ahead, &granted, now);
    }
}
