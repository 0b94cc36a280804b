//! A state service that is late, and users who ask until they are told.

use super::World;
use crate::draws;
use cherryyard_core::{Outcome, Ticket};
use cherryyard_wire::job::{JobStatus, job_number};
use cherryyard_wire::state::Commit;

/// How long a controller waits for the answer to a transaction.
const COMMIT_MS: f64 = 2000.0;

/// What one request takes of a service that takes `most_ms` at most.
pub(super) fn slow(most_ms: f64, draw: &mut dyn FnMut(u64) -> u64) -> f64 {
    most_ms / 2.0 + draw(most_ms as u64 / 2 + 1) as f64
}

impl World {
    /// Draws what is late by a seed.
    pub fn seed_late(&mut self, seed: u64) {
        self.late_draw = Box::new(draws(seed));
    }

    /// A transaction comes to the state service, which may be late with it.
    pub(super) fn late_commit(&mut self, commit: &Commit) -> Outcome {
        if self.lost_answers > 0 && (self.late_draw)(100) < self.lost_answers {
            self.state.commit_within_limits(commit);
            return Outcome::Unknown;
        }
        if self.late_writes == 0 || (self.late_draw)(100) >= self.late_writes {
            return self.state.commit_within_limits(commit);
        }
        if (self.late_draw)(4) == 0 {
            self.state.commit_within_limits(commit);
        } else {
            let at = self.now + 2000.0 + (self.late_draw)(10_000) as f64;
            self.on_the_way.push((at, commit.clone()));
        }
        Outcome::Unknown
    }

    /// Carries out what is due of the late transactions.
    pub(super) fn carry_out(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.on_the_way.extract_if(.., |c| c.0 <= now).collect();
        for (_, commit) in due {
            self.state.commit_within_limits(&commit);
        }
    }

    /// The answer to a transaction of a slow service: what it was, or none in time.
    pub(super) fn slow_answer(&mut self, i: usize, ticket: Ticket, commit: &Commit, out: Outcome) {
        let takes = slow(self.slow_ms, &mut self.late_draw);
        let out = if takes > COMMIT_MS {
            Outcome::Unknown
        } else {
            out
        };
        let at = self.now + takes.min(COMMIT_MS);
        let life = self.lives[i];
        self.answers
            .push((at, i, life, ticket, commit.clone(), out));
    }

    /// Delivers what a slow service answers by now. One that refuses a controller leaves
    /// what was answered before on its way.
    pub(super) fn answer_late(&mut self) {
        let now = self.now;
        let frozen = self.frozen.clone();
        let due: Vec<_> = self
            .answers
            .extract_if(.., |a| a.0 <= now && !frozen.contains(&a.1))
            .collect();
        for (_, i, life, ticket, commit, outcome) in due {
            if let Some(controller) = self.controllers[i]
                .as_mut()
                .filter(|_| self.lives[i] == life)
            {
                controller.committed(ticket, &commit, outcome, now);
                self.effects(i);
            }
        }
        let due: Vec<_> = self
            .reads
            .extract_if(.., |i, r| r.0 <= now && !frozen.contains(i))
            .collect();
        for (i, (_, sent_at, read)) in due {
            if let Some(controller) = &mut self.controllers[i] {
                controller.events(&read, sent_at, now);
                self.effects(i);
            }
        }
    }

    /// A user asks for a cancellation, first at controller `i`, and again at the next
    /// one until the answer is that the job is cancelled or done.
    pub fn ask_cancel(&mut self, i: usize, id: &str) {
        self.say(format!("{id}: a cancellation is asked for at node-{i}"));
        self.requests.cancelling.insert(id.into());
        self.asking.push((i, self.now, id.to_string()));
        self.ask_again();
    }

    pub(super) fn ask_again(&mut self) {
        let now = self.now;
        for (i, at, id) in std::mem::take(&mut self.asking) {
            if now < at {
                self.asking.push((i, at, id));
            } else if let Some(how) = self.cancel_at(i, &id) {
                self.say(format!("{id}: node-{i} tells its user that it is {how}"));
                if how == "cancelled" {
                    self.cancelled_at.insert(id, now);
                }
            } else {
                let next = (i + 1) % self.controllers.len();
                self.asking.push((next, now + 1000.0, id));
            }
        }
    }

    /// What controller `i` answers a user who asks for a cancellation, if it is final.
    fn cancel_at(&mut self, i: usize, id: &str) -> Option<&'static str> {
        let job = job_number(id)?;
        let now = self.now;
        if self.frozen.contains(&i) {
            return None;
        }
        let controller = self.controllers[i].as_mut().filter(|n| n.mirror.loaded)?;
        if !self.refused.contains(&i) {
            let events = self.state.events(controller.mirror.store_revision);
            controller.events(&events, now, now);
            if let Some(commit) = controller.cancellation(job)
                && let Outcome::Applied(e) = self.late_commit(&commit)
            {
                self.controllers[i]
                    .as_mut()?
                    .user_committed(&commit, e, now);
            }
        }
        let controller = self.controllers[i].as_mut()?;
        let how = match controller.mirror.view(job)?.status {
            JobStatus::Cancelled if controller.may_confirm_cancelled(job, now) => Some("cancelled"),
            JobStatus::Done => Some("done"),
            _ => None,
        };
        self.effects(i);
        how
    }
}
