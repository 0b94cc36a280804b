//! The controller's handlers for admission: they connect the types of this module to the rest of
//! the controller and turn their results into effects.

use super::allowance::{has_lapsed, may_grant};
use super::entitlements::usage::{FlowUse, demand_by_flow, running_in_shard, usage_by_flow};
use super::entitlements::{
    Acknowledgement, OwnerEntitlement, ReceivedAllowance, ShardOwner, StatusChange,
    granted_allowance,
};
use super::fair_share_guarantee::fair_share_guarantees;
use super::flows::Flow;
use super::intake::{IntakeEvent, Submission};
use super::submission::WaitingSubmission;
use crate::Millis;
use crate::controller::Controller;
use crate::effects::{Effect, Outcome, Ticket};
use crate::machine::Task;
use crate::mirror::MAX_JOBS_PER_PAGE;
use cherryyard_wire::peer::{DemandReport, Heartbeat};
use cherryyard_wire::record::{BUCKETS, Key};
use cherryyard_wire::state::Commit;
use std::collections::HashSet;

/// Form in which new jobs are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AdmissionForm {
    /// Pages of the admission log.
    Page,
    /// One record for each job.
    Records,
    /// Undecided: the admission log is in use, but not all jobs from before it have been read yet.
    NotKnown,
}

/// Intake of submissions.
impl Controller {
    /// Queues a submission or refuses it. The answer follows as an effect, possibly during this
    /// call.
    pub fn submit(&mut self, offer: Submission, now: Millis) {
        self.advance_clock(now);
        self.submission_counts
            .count_submitted(offer.open.flow, offer.job);
        let is_queued = self.intake.enqueue(
            offer,
            &self.config,
            &mut self.submission_counts,
            &mut self.effects,
            now,
        );
        if is_queued {
            self.send_submissions(now);
        }
    }

    /// Refuses expired submissions, and sends a transaction with queued ones unless one is under
    /// way, the state service is out of reach or the budget for users' writes is spent.
    pub(crate) fn send_submissions(&mut self, now: Millis) {
        self.intake.end_delay(self.mirror.store_revision, now);
        self.intake.refuse_expired(
            &self.config,
            &mut self.submission_counts,
            &mut self.effects,
            now,
        );
        if !self.intake.is_ready() || !self.state_fresh(now) {
            return;
        }
        self.set_user_rate(now);
        if self.user_write_budget.tokens(now) < 1.0 {
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
            self.user_write_budget.spend(commit.changes.len() as f64);
            self.effects.push(Effect::Commit(Ticket::Admission, commit));
        }
    }

    fn admission_form(&self) -> AdmissionForm {
        if self.mirror.is_admission_log_ready() {
            // The leader writes pages all the time. Other controllers receive few submissions
            // while there is a leader, and their pages would conflict with its pages and with one
            // another's.
            let few = self.intake.has_few() && self.leadership_token().is_none();
            if few && self.mirror.format.jobs < BUCKETS {
                AdmissionForm::Records
            } else {
                AdmissionForm::Page
            }
        } else if self.mirror.format.uses_admission_log {
            AdmissionForm::NotKnown
        } else {
            AdmissionForm::Records
        }
    }

    /// Returns a transaction with a page of the next submissions, divided among the shards if this
    /// controller is the leader.
    fn admit_by_page(&mut self) -> Commit {
        let mut commit = Commit::default();
        let mut batch = self.next_submissions(MAX_JOBS_PER_PAGE);
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

    /// Returns a transaction with one record for each of the next submissions. This form is used
    /// until the admission log is in use, and for the few submissions at a controller that is not
    /// the leader.
    fn admit_by_records(&mut self, now: Millis) -> Commit {
        let affordable = self.user_write_budget.tokens(now) as usize;
        let max_count = self.config.txn_ops.min(affordable);
        let mut batch = self.next_submissions(max_count.max(1));
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

    fn next_submissions(&mut self, max_count: usize) -> Vec<WaitingSubmission> {
        let weights = self.flow_weights();
        self.intake
            .next_batch(max_count, &weights, &self.mirror, &mut self.effects)
    }

    /// Returns the weight of each flow, by index.
    fn flow_weights(&self) -> Vec<f64> {
        let flows = &self.mirror.flows;
        let classes = (0..flows.len()).map(|flow| flows.class(flow as Flow));
        let admission = &self.config.tuning.admission;
        classes.map(|class| admission.of(class).weight).collect()
    }

    /// Divides submissions among the shards if this controller is the leader; the transaction then
    /// requires the leader's lease. At another controller the submissions stay undivided.
    fn divide_batch(&mut self, batch: &mut [WaitingSubmission], commit: &mut Commit) {
        let now = self.state_contact.clock();
        let Some(token) = self.leadership_token().filter(|_| self.state_fresh(now)) else {
            for waiting in batch {
                waiting.submission.open.division = Vec::new();
                waiting.divided_under = None;
            }
            return;
        };
        for waiting in batch {
            let open = &mut waiting.submission.open;
            // A retry keeps its division: a second one would count twice against the capacity.
            if open.dependencies.never_waited() && waiting.divided_under != Some(token) {
                open.division = Vec::new();
                self.divide_job(open, now);
                waiting.divided_under = Some(token);
            }
        }
        self.mirror.require(commit, Key::Leader);
    }

    /// Handles the outcome of the transaction with submissions.
    pub(crate) fn intake_committed(&mut self, outcome: Outcome, now: Millis) {
        let event = match outcome {
            Outcome::Applied(_) => IntakeEvent::Answered,
            // Another controller has added jobs, maybe one of these: wait for that revision.
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
        self.intake.committed(
            outcome,
            event,
            &mut self.submission_counts,
            &mut self.effects,
        );
        if matches!(outcome, Outcome::Applied(_)) {
            for shard in &mut self.shards {
                shard.needs_cycle = true;
            }
            self.leader.needs_cycle = true;
        }
    }

    /// Returns the counts of submissions at all controllers since the last call, as class, team and
    /// `[offered, taken, refused]`. Controllers report totals, so that a heartbeat that is lost or
    /// arrives twice changes nothing; the totals of a restarted controller begin at 0.
    pub fn demand_report(&mut self) -> Vec<(String, String, [u64; 3])> {
        let own_reports = self.demand_reports();
        let peers = self.peers.enumerate();
        let peer_reports = peers.map(|(i, peer)| (i, peer.heartbeat.demand.as_slice()));
        let counted = peer_reports.chain([(self.config.own_index, own_reports.as_slice())]);
        self.submission_counts
            .since_last_report(counted, &self.config.team_names)
    }

    /// Returns this controller's counts of submissions for its heartbeat.
    pub(crate) fn demand_reports(&self) -> Vec<DemandReport> {
        self.submission_counts.reports(&self.mirror.flows)
    }
}

/// Fair-share entitlements of flows.
impl Controller {
    /// Reviews the fair-share status of all flows and divides their guarantees, if this controller
    /// is the leader and the next review is due.
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
        let may_grant = may_grant(
            self.leader.leading_since(),
            self.state_contact.read_sent_at(),
            now,
        );
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
            Some(owner) if owner == self.config.own_index => false,
            Some(owner) => {
                let received_at = self.entitlements.last_received_at(owner);
                received_at.is_none_or(|at| has_lapsed(at, now))
            }
            None => true,
        };
        ShardOwner {
            token: self.mirror.revision(Key::Shard(shard_id)),
            has_lapsed,
            is_own: self.owned_token(shard_id).is_some(),
        }
    }

    /// Returns whether a flow is served ahead of rank, by the status that this controller last
    /// computed or received from the leader.
    pub(crate) fn is_ahead(&self, flow: Flow, now: Millis) -> bool {
        let window_ms = self.fair_share_window_ms();
        self.entitlements.is_ahead(flow, window_ms, now)
    }

    /// Returns how many cores of each flow this controller may start ahead of rank in a shard that
    /// it owns, and how many cores of these flows it may preempt for others. `gone` are tasks that
    /// a scheduling cycle has proven not to run any more; they do not count as running.
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

    /// Returns the earliest time at which another controller can have created `heartbeat`: when
    /// this controller sent the heartbeat that it acknowledges. The result is negative infinity if
    /// that was too long ago, or by an earlier process of this controller.
    pub(crate) fn earliest_created_at(&self, heartbeat: &Heartbeat) -> Millis {
        let acknowledgement = self
            .entitlements
            .acknowledgement(heartbeat, self.config.own_index);
        acknowledgement.sent_at.unwrap_or(f64::NEG_INFINITY)
    }

    /// Returns when this controller sent the latest of its heartbeats that a peer has acknowledged.
    pub(crate) fn last_acknowledged_at(&self, peer: usize) -> Option<Millis> {
        self.entitlements.last_acknowledged_at(peer)
    }

    /// Numbers a heartbeat and, if this controller is the leader, adds the allowances that it
    /// grants.
    pub(crate) fn write_entitlements(&mut self, heartbeat: &mut Heartbeat, now: Millis) {
        self.entitlements.number_heartbeat(heartbeat, now);
        if self.leader.leads(&self.mirror) {
            self.entitlements
                .write_grants(heartbeat, &self.mirror.flows);
        }
    }

    /// Handles the acknowledgement in a peer's heartbeat and, if the peer is the leader, the
    /// allowances that it grants.
    pub(crate) fn read_entitlements(&mut self, peer: usize, heartbeat: &Heartbeat, now: Millis) {
        let me = self.config.own_index;
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
        } else if self.leader.is_held_by(&self.mirror, &heartbeat.label) {
            self.receive_grants(heartbeat, acknowledgement, now);
        }
    }

    fn receive_grants(
        &mut self,
        heartbeat: &Heartbeat,
        acknowledgement: Acknowledgement,
        now: Millis,
    ) {
        let mut ahead = Vec::new();
        let mut granted = Vec::new();
        for share in &heartbeat.fair_share_grants {
            if share.team as usize >= self.config.teams.len() {
                continue;
            }
            let flow = self.mirror.flows.intern(share.team, &share.class);
            ahead.push((flow, f64::from(share.guarantee_cores)));
            let Some(sent_at) = acknowledgement.sent_at else {
                continue;
            };
            for grant in &share.shard_grants {
                let shard_id = grant.shard as usize;
                let allowance = granted_allowance(grant, heartbeat.number, sent_at);
                if shard_id < self.shards.len()
                    && self.owned_token(shard_id) == Some(allowance.leases.shard_token)
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
