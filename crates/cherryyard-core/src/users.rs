//! Users' writes and polls: who takes them, and when they are refused.

use crate::Millis;
use crate::node::Node;
use cherryyard_wire::state::Commit;

/// Part of users' writes that is the leader's.
const LEADERS_PART: f64 = 0.6;
/// How long a leader goes by what it last saw of its claim.
const LEADS_MS: f64 = 3000.0;

/// Lateness above which polls are refused at once: with the wait for a barrier
/// they would be answered when nobody waits any more.
const POLLS_MS: f64 = 600.0;
/// Lateness above which submissions are.
const SUBMISSIONS_MS: f64 = 1500.0;

impl Node {
    /// Sets the rate at which this controller may make users' writes, which leave room
    /// for claims and marks. The leader, to whom submissions are passed on, has most of
    /// the budget; each controller has a small part of the rest, whoever leads.
    ///
    /// Two never have the leader's part at once: a leader uses it only for a time after
    /// it last saw itself lead, and its successor not before that time has passed.
    pub(crate) fn set_user_rate(&mut self, now: Millis) {
        let all = self.config.user_writes_per_s;
        let mut rate = all * (1.0 - LEADERS_PART) / self.parts.len() as f64;
        let seen = now - self.seen_at <= LEADS_MS && self.caught_up();
        if self.leader.leads(&self.mirror) && seen && now - self.leader.since >= LEADS_MS * 1.01 {
            rate += all * LEADERS_PART;
        }
        self.user_pace.set_rate(rate, now);
    }

    /// Whether a chunk of a submission may go to the state service now; if not, after
    /// how many seconds to come back.
    pub fn take_user_write(&mut self, now: Millis) -> Result<(), u32> {
        self.set_user_rate(now);
        self.user_pace.take(now)
    }

    /// Notes a user's write that cannot wait.
    pub fn spend_user_write(&mut self, now: Millis) {
        if self.user_pace.left(now) > -self.user_pace.overdraft() {
            self.user_pace.spend(1.0);
        }
    }

    /// Who should write a submission instead of this controller: the leader,
    /// as it divides the job in the same write; or, if the state service does
    /// not answer here, anyone whom it answers.
    pub fn whom_to_ask(&self, now: Millis) -> Option<&str> {
        if self.leader.leads(&self.mirror) && self.state_fresh(now) {
            return None;
        }
        let able = |i: &usize| {
            *i != self.config.me
                && self.peers[*i]
                    .as_ref()
                    .is_some_and(|p| now - p.heard_at < 1200.0 && !p.beat.cut_off)
        };
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
        let peer = i.and_then(|i| self.peers[i].as_ref());
        peer.map_or(0, |p| u64::from(p.beat.intake_ms))
    }

    /// Takes a user's transaction (a cancellation, or a chunk of a submission).
    pub fn user_committed(&mut self, commit: &Commit, epoch: u64, now: Millis) {
        self.notice(now);
        self.newest_epoch = self.newest_epoch.max(epoch);
        self.mirror.committed(commit, epoch);
        for part in &mut self.parts {
            part.dirty = true;
        }
        self.leader.dirty = true;
        self.run(now);
    }

    /// Whether users' polls are refused for now.
    pub fn refuses_polls(&self, now: Millis) -> bool {
        self.lateness.now(now) > POLLS_MS
    }

    /// Whether submissions are refused for now.
    pub fn refuses_submissions(&self, now: Millis) -> bool {
        self.lateness.now(now) > SUBMISSIONS_MS
    }
}
