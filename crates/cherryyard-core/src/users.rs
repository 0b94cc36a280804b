//! Users' writes and polls: who takes them, when they are refused, and what is told.

use crate::Millis;
use crate::controller::Controller;
use crate::peers::FORWARDING_MS;
use cherryyard_wire::job::{JobStatus, JobView};
use cherryyard_wire::record::End;
use cherryyard_wire::state::Commit;

/// Part of its users' writes that a controller lends to the leader.
const LENT_SHARE: f64 = 0.6;
/// How long a leader goes by what a controller has last named.
const LENT_MS: f64 = 2000.0;
/// How long a leader goes by what it last saw of its lease.
const LEADS_MS: f64 = 3000.0;

/// Lateness above which polls are refused at once: with the wait for a barrier
/// they would be answered when nobody waits any more.
const POLLS_MS: f64 = 600.0;
/// Lateness above which submissions are.
const SUBMISSIONS_MS: f64 = 1500.0;

/// What a user can be told of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum UserAnswer {
    /// This.
    View(JobView),
    /// Nothing yet: first all has to be read that was durable when the user asked.
    Barrier,
    /// Nothing yet: the other controllers may not know that it is cancelled.
    NotYet,
    /// It is open or over nowhere but, maybe, in the history.
    Unknown,
}

impl Controller {
    /// What a user can be told of a job: a final state at once, any other only if all
    /// that was durable when the user asked has been read (`caught_up`).
    pub fn answer_for(&self, job: u64, caught_up: bool, now: Millis) -> UserAnswer {
        let view = self.mirror.view(job);
        match view.map(|view| (view.status, view)) {
            // Other controllers may count on our having told nobody.
            // One that never had a task is in nobody's way.
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

    /// The transaction that cancels a job, if it is open here and can be written.
    pub fn cancellation(&self, job: u64) -> Option<Commit> {
        let record = self.mirror.open.get(&job)?.ended(End::Cancelled);
        let mut commit = Commit::default();
        let records = vec![(job, record)];
        let written = self.mirror.write_jobs(&mut commit, records, &self.config);
        written.then_some(commit)
    }

    /// Sets the rate at which this controller may make users' writes, which leave room
    /// for leases and assignments. Each has an even part of the budget, and lends most of it to
    /// the leader, to whom submissions are passed on, while the two hear each other.
    ///
    /// No part is used twice. A leader uses what a controller lends for a time after it
    /// sent the last message that this one has named; the lender takes it back a longer
    /// time after it heard that message. And a leader uses anything lent only for a time
    /// after it last saw itself lead, its successor not before that time has passed.
    pub(crate) fn set_user_rate(&mut self, now: Millis) {
        let even = self.config.user_writes_per_s / self.shards.len() as f64;
        let me = self.config.me;
        let rate = if self.leader.leads(&self.mirror) {
            let reported = self.state_contact.read_age(now) <= LEADS_MS && self.caught_up();
            let waited = now - self.leader.since >= LEADS_MS * 1.01;
            let lends = |i: &usize| self.named_at(*i).is_some_and(|at| now - at <= LENT_MS);
            let lenders = (0..self.shards.len()).filter(|&i| i != me).filter(lends);
            let lenders = if reported && waited {
                lenders.count()
            } else {
                0
            };
            even * (1.0 + LENT_SHARE * lenders as f64)
        } else {
            let label = self.mirror.leader_lease.as_ref().map(|c| &c.label);
            let leader = self.config.labels.iter().position(|l| Some(l) == label);
            let silence = leader.and_then(|peer| self.peers.silence(peer, now));
            let lent = silence.is_some_and(|silence| silence <= LENT_MS * 1.25);
            even * if lent { 1.0 - LENT_SHARE } else { 1.0 }
        };
        self.user_write_budget.set_rate(rate, now);
    }

    /// Whether a chunk of a submission may go to the state service now; if not, after
    /// how many seconds to come back.
    pub fn take_user_write(&mut self, now: Millis) -> Result<(), u32> {
        self.set_user_rate(now);
        self.user_write_budget.take(now)
    }

    /// Notes a user's write that cannot wait.
    pub fn spend_user_write(&mut self, now: Millis) {
        if self.user_write_budget.left(now) > -self.user_write_budget.overdraft() {
            self.user_write_budget.spend(1.0);
        }
    }

    /// Who should write a submission instead of this controller: the leader,
    /// as it divides the job in the same write; or, if the state service does
    /// not answer here, anyone whom it answers.
    pub fn forwarding_target(&self, now: Millis) -> Option<&str> {
        if self.leader.leads(&self.mirror) && self.state_fresh(now) {
            return None;
        }
        let able =
            |i: &usize| *i != self.config.me && self.peers.has_state_within(*i, FORWARDING_MS, now);
        let all = 0..self.config.labels.len();
        let leader = all
            .clone()
            .find(|&i| self.leader.is_label(&self.mirror, &self.config.labels[i]));
        let whom = match leader.filter(able) {
            Some(i) => Some(i),
            None if self.state_fresh(now) => None,
            None => all.into_iter().find(able),
        };
        whom.map(|i| self.config.labels[i].as_str())
    }

    /// How long submissions passed on to a controller may take there, beyond what is
    /// usual, by what it last told.
    pub fn intake_ms(&self, label: &str) -> u64 {
        let i = self.config.labels.iter().position(|l| l == label);
        let peer = i.and_then(|i| self.peers.get(i));
        peer.map_or(0, |p| u64::from(p.heartbeat.intake_ms))
    }

    /// Takes a user's transaction (a cancellation, or a chunk of a submission).
    pub fn user_committed(&mut self, commit: &Commit, store_revision: u64, now: Millis) {
        self.notice(now);
        self.state_contact.applied(store_revision);
        self.mirror.committed(commit, store_revision);
        for shard in &mut self.shards {
            shard.dirty = true;
        }
        self.leader.dirty = true;
        self.run(now);
    }

    /// Whether users' polls are refused for now.
    pub fn refuses_polls(&self, now: Millis) -> bool {
        self.lag.now(now) > POLLS_MS
    }

    /// Whether submissions are refused for now.
    pub fn refuses_submissions(&self, now: Millis) -> bool {
        self.lag.now(now) > SUBMISSIONS_MS
    }
}
