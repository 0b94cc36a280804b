//! Users' writes and polls: which controller writes a submission, when requests are refused, and
//! the answers to polls.

use crate::Millis;
use crate::controller::Controller;
use crate::peers::FORWARDING_MS;
use cherryyard_wire::job::{JobStatus, JobView};
use cherryyard_wire::record::JobOutcome;
use cherryyard_wire::state::Commit;

/// Share of its part of the budget for users' writes that a controller lends to the leader.
const LENT_SHARE: f64 = 0.6;
/// Longest time in milliseconds for which a leader uses the budget lent by a controller, from when
/// the leader sent the last heartbeat that this controller has acknowledged.
const LOAN_MS: Millis = 2000.0;
/// Longest time in milliseconds for which a leader relies on the last time that it saw its own
/// lease.
const LEASE_SEEN_MS: Millis = 3000.0;
/// Factor by which a lender waits longer than [`LOAN_MS`], as clocks drift apart.
const LOAN_DRIFT_FACTOR: f64 = 1.25;
/// Factor by which a new leader waits longer than [`LEASE_SEEN_MS`], as clocks drift apart.
const LEASE_SEEN_DRIFT_FACTOR: f64 = 1.01;

/// Event-loop lag in milliseconds above which polls are refused at once: together with the wait for
/// a barrier the answer would come after the user has given up.
const MAX_POLL_LAG_MS: Millis = 600.0;
/// Event-loop lag in milliseconds above which submissions are refused.
const MAX_SUBMISSION_LAG_MS: Millis = 1500.0;

/// Answer to a user's poll of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum UserAnswer {
    /// The status of the job.
    View(JobView),
    /// No answer yet: everything that was durable when the poll arrived has to be read first.
    Barrier,
    /// No answer yet: the other controllers may not have learnt that the job is cancelled.
    NotYet,
    /// The job is not known, except perhaps in the history.
    Unknown,
}

impl Controller {
    /// Returns the answer to a poll of a job. A final status is returned at once, any other only if
    /// everything that was durable when the poll arrived has been read (`caught_up`).
    pub fn poll_answer(&self, job: u64, caught_up: bool, now: Millis) -> UserAnswer {
        let view = self.mirror.view(job);
        match view.map(|view| (view.status, view)) {
            // Other controllers may rely on the cancellation not being confirmed to any user yet.
            // This does not matter for a job that was cancelled with a job that it depends on,
            // because such a job has never had a task.
            Some((JobStatus::Cancelled, view))
                if view.cancelled_by.is_none() && !self.may_confirm_cancelled(job, now) =>
            {
                UserAnswer::NotYet
            }
            Some((JobStatus::Done | JobStatus::Cancelled, view)) => UserAnswer::View(view),
            _ if !caught_up => UserAnswer::Barrier,
            Some((_, view)) => UserAnswer::View(view),
            None => UserAnswer::Unknown,
        }
    }

    /// Returns the transaction that cancels a job, if the job is open in this mirror and the record
    /// can be written.
    pub fn cancellation(&self, job: u64) -> Option<Commit> {
        let record = self.mirror.open.get(&job)?.ended(JobOutcome::Cancelled);
        let mut commit = Commit::default();
        let records = vec![(job, record)];
        let is_written = self.mirror.write_jobs(&mut commit, records, &self.config);
        is_written.then_some(commit)
    }

    /// Sets the rate at which this controller may write for users. The budget for users' writes
    /// leaves capacity for leases and assignments. Each controller has an equal part of it and,
    /// while it and the leader receive each other's heartbeats, lends most of that part to the
    /// leader, to which submissions are forwarded.
    ///
    /// No part of the budget is used twice. The leader uses what a controller lends for a limited
    /// time from when it sent the last heartbeat that this controller has acknowledged; the lender
    /// uses it again only after a longer time from when it received that heartbeat. A leader uses
    /// lent budget only for a limited time after it last saw its own lease, and its successor waits
    /// for longer than that before it uses any.
    pub(crate) fn set_user_rate(&mut self, now: Millis) {
        let equal_part = self.config.user_writes_per_s / self.shards.len() as f64;
        let parts = if self.leader.leads(&self.mirror) {
            1.0 + LENT_SHARE * self.lender_count(now) as f64
        } else if self.lends_to_leader(now) {
            1.0 - LENT_SHARE
        } else {
            1.0
        };
        self.user_write_budget.set_rate(equal_part * parts, now);
    }

    /// Returns how many controllers lend budget to this controller, which is the leader.
    fn lender_count(&self, now: Millis) -> usize {
        let has_seen_lease = self.state_contact.read_age(now) <= LEASE_SEEN_MS && self.caught_up();
        let is_predecessor_over =
            now - self.leader.leading_since() >= LEASE_SEEN_MS * LEASE_SEEN_DRIFT_FACTOR;
        if !has_seen_lease || !is_predecessor_over {
            return 0;
        }
        let lends = |peer: &usize| {
            self.last_acknowledged_at(*peer)
                .is_some_and(|last_acknowledged_at| now - last_acknowledged_at <= LOAN_MS)
        };
        self.peers.others().filter(lends).count()
    }

    /// Returns whether this controller, which is not the leader, lends budget to the leader.
    fn lends_to_leader(&self, now: Millis) -> bool {
        let lease = self.mirror.leader_lease.as_ref();
        let leader = lease.and_then(|lease| self.controller_index(&lease.label));
        let silence = leader.and_then(|leader| self.peers.silence(leader, now));
        silence.is_some_and(|silence| silence <= LOAN_MS * LOAN_DRIFT_FACTOR)
    }

    /// Spends budget for the write of one chunk of a submission.
    ///
    /// # Errors
    ///
    /// If the budget is spent: the number of seconds after which the user is to retry.
    pub fn take_user_write(&mut self, now: Millis) -> Result<(), u32> {
        self.set_user_rate(now);
        self.user_write_budget.take(now)
    }

    /// Spends budget for a user's write that is made even if the budget is spent.
    pub fn spend_user_write(&mut self, now: Millis) {
        if self.user_write_budget.tokens(now) > -self.user_write_budget.overdraft() {
            self.user_write_budget.spend(1.0);
        }
    }

    /// Returns the label of the controller that should write a submission instead of this one: the
    /// leader, as it divides the job among the shards in the same transaction; or, if the state
    /// service does not answer this controller, any controller that it answers.
    pub fn forwarding_target(&self, now: Millis) -> Option<&str> {
        if self.leader.leads(&self.mirror) && self.state_fresh(now) {
            return None;
        }
        let is_able = |peer: &usize| {
            *peer != self.config.own_index
                && self.peers.reaches_state_within(*peer, FORWARDING_MS, now)
        };
        let labels = &self.config.labels;
        let leader = (0..labels.len())
            .find(|&index| self.leader.is_held_by(&self.mirror, &labels[index]))
            .filter(is_able);
        let target = match leader {
            Some(leader) => Some(leader),
            None if self.state_fresh(now) => None,
            None => (0..labels.len()).find(is_able),
        };
        target.map(|index| labels[index].as_str())
    }

    /// Returns how much longer than usual a submission forwarded to the controller `label` may take
    /// there, in milliseconds: the wait of the oldest submission queued there, by the controller's
    /// last heartbeat.
    pub fn forwarded_delay_ms(&self, label: &str) -> u64 {
        let peer = self
            .controller_index(label)
            .and_then(|index| self.peers.get(index));
        peer.map_or(0, |peer| {
            u64::from(peer.heartbeat.longest_submission_wait_ms)
        })
    }

    /// Applies to the mirror a user's transaction (a cancellation or a chunk of a submission) that
    /// was committed at `store_revision`, and runs the scheduling that follows from it.
    pub fn user_committed(&mut self, commit: &Commit, store_revision: u64, now: Millis) {
        self.advance_clock(now);
        self.mirror_commit(commit, store_revision);
        self.mark_all_dirty();
        self.run_decisions(now);
    }

    /// Returns whether users' polls are refused at present, because the event loop lags.
    pub fn refuses_polls(&self, now: Millis) -> bool {
        self.lag.current(now) > MAX_POLL_LAG_MS
    }

    /// Returns whether submissions are refused at present, because the event loop lags.
    pub fn refuses_submissions(&self, now: Millis) -> bool {
        self.lag.current(now) > MAX_SUBMISSION_LAG_MS
    }
}
