//! Users' writes and polls: who takes them, when they are refused, and what is answered.

use crate::Millis;
use crate::controller::Controller;
use crate::peers::FORWARDING_MS;
use cherryyard_wire::job::{JobStatus, JobView};
use cherryyard_wire::record::End;
use cherryyard_wire::state::Commit;

/// Part of its users' writes that a controller lends to the leader.
const LENT_SHARE: f64 = 0.6;
/// How long a leader goes by what a controller has last acknowledged.
const LENT_MS: Millis = 2000.0;
/// How long a leader goes by what it last saw of its lease.
const LEADS_MS: Millis = 3000.0;
/// How much longer than the other side's a time is waited for: clocks drift apart.
const LENT_DRIFT: f64 = 1.25;
const LEADS_DRIFT: f64 = 1.01;

/// Event-loop lag above which polls are refused at once: with the wait for a barrier
/// they would be answered when nobody waits any more.
const MAX_POLL_LAG_MS: Millis = 600.0;
/// Event-loop lag above which submissions are refused.
const MAX_SUBMISSION_LAG_MS: Millis = 1500.0;

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
            // Other controllers may count on our having confirmed it to nobody.
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
        let is_written = self.mirror.write_jobs(&mut commit, records, &self.config);
        is_written.then_some(commit)
    }

    /// Sets the rate at which this controller may make users' writes, which leave room
    /// for leases and assignments. Each has an even part of the budget, and lends most of it to
    /// the leader, to whom submissions are forwarded, while the two receive each other's heartbeats.
    ///
    /// No part is used twice. A leader uses what a controller lends for a time after it
    /// sent the last heartbeat that this one has acknowledged; the lender takes it back a longer
    /// time after it received that heartbeat. And a leader uses anything lent only for a time
    /// after it last saw itself lead, its successor not before that time has passed.
    pub(crate) fn set_user_rate(&mut self, now: Millis) {
        let even_part = self.config.user_writes_per_s / self.shards.len() as f64;
        let parts = if self.leader.leads(&self.mirror) {
            1.0 + LENT_SHARE * self.lenders(now) as f64
        } else if self.lends_to_leader(now) {
            1.0 - LENT_SHARE
        } else {
            1.0
        };
        self.user_write_budget.set_rate(even_part * parts, now);
    }

    /// As the leader: how many controllers lend it their users' writes.
    fn lenders(&self, now: Millis) -> usize {
        let sees_itself_lead = self.state_contact.read_age(now) <= LEADS_MS && self.caught_up();
        let predecessor_is_over = now - self.leader.since() >= LEADS_MS * LEADS_DRIFT;
        if !sees_itself_lead || !predecessor_is_over {
            return 0;
        }
        let lends = |peer: &usize| {
            self.named_at(*peer)
                .is_some_and(|named_at| now - named_at <= LENT_MS)
        };
        self.peers.others().filter(lends).count()
    }

    /// Whether this controller, which does not lead, lends its users' writes to the leader.
    fn lends_to_leader(&self, now: Millis) -> bool {
        let holder = self.mirror.leader_lease.as_ref();
        let leader = holder.and_then(|holder| self.place_of(&holder.label));
        let silence = leader.and_then(|leader| self.peers.silence(leader, now));
        silence.is_some_and(|silence| silence <= LENT_MS * LENT_DRIFT)
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
        let is_able = |peer: &usize| {
            *peer != self.config.me && self.peers.has_state_within(*peer, FORWARDING_MS, now)
        };
        let labels = &self.config.labels;
        let leader = (0..labels.len())
            .find(|&place| self.leader.is_label(&self.mirror, &labels[place]))
            .filter(is_able);
        let target = match leader {
            Some(leader) => Some(leader),
            None if self.state_fresh(now) => None,
            None => (0..labels.len()).find(is_able),
        };
        target.map(|place| labels[place].as_str())
    }

    /// How long, in milliseconds, submissions forwarded to a controller may take there, beyond
    /// what is usual, by its last heartbeat.
    pub fn intake_ms(&self, label: &str) -> u64 {
        let peer = self.place_of(label).and_then(|place| self.peers.get(place));
        peer.map_or(0, |peer| u64::from(peer.heartbeat.intake_ms))
    }

    /// Takes a user's transaction (a cancellation, or a chunk of a submission) that was applied
    /// at this revision.
    pub fn user_committed(&mut self, commit: &Commit, store_revision: u64, now: Millis) {
        self.notice(now);
        self.mirror_commit(commit, store_revision);
        self.mark_all_dirty();
        self.run(now);
    }

    /// Whether users' polls are refused for now.
    pub fn refuses_polls(&self, now: Millis) -> bool {
        self.lag.now(now) > MAX_POLL_LAG_MS
    }

    /// Whether submissions are refused for now.
    pub fn refuses_submissions(&self, now: Millis) -> bool {
        self.lag.now(now) > MAX_SUBMISSION_LAG_MS
    }
}
