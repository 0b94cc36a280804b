//! Users who ask for a job's cancellation until they are told that it is over.

use super::state_link::catch_up;
use super::{Question, World};
use cherryyard_core::Outcome;
use cherryyard_wire::job::{JobStatus, job_number};

/// After what time a user asks the next controller.
const RETRY_MS: f64 = 1000.0;

/// A user who asks for a cancellation: whom next, when, and of which job.
#[derive(Debug)]
pub(super) struct PendingCancellation {
    controller: usize,
    due: f64,
    id: String,
}

/// What a user is told of a cancellation in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Final {
    Cancelled,
    Done,
}

impl Final {
    fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Done => "done",
        }
    }
}

impl World {
    /// A user asks for a cancellation, first at controller `i`, and again at the next
    /// one until the answer is that the job is cancelled or done.
    pub fn ask_cancel(&mut self, i: usize, id: &str) {
        self.say(format!("{id}: a cancellation is asked for at node-{i}"));
        self.requests.cancelling.insert(id.into());
        self.cancel_later(i, self.now, id);
        self.retry_cancellations();
    }

    fn cancel_later(&mut self, controller: usize, due: f64, id: &str) {
        self.submissions.cancellations.push(PendingCancellation {
            controller,
            due,
            id: id.into(),
        });
    }

    /// Users whose last attempt is long enough ago ask again.
    pub(super) fn retry_cancellations(&mut self) {
        let now = self.now;
        for pending in std::mem::take(&mut self.submissions.cancellations) {
            if now < pending.due {
                self.submissions.cancellations.push(pending);
                continue;
            }
            let PendingCancellation { controller, id, .. } = pending;
            if let Some(how) = self.cancel_at(controller, &id) {
                let outcome = how.name();
                self.say(format!(
                    "{id}: node-{controller} tells its user that it is {outcome}"
                ));
                if how == Final::Cancelled {
                    self.submissions.cancelled_at.insert(id, now);
                }
            } else {
                let next = (controller + 1) % self.controllers.len();
                self.cancel_later(next, now + RETRY_MS, &id);
            }
        }
    }

    /// What controller `i` answers a user who asks for a cancellation, if it is final.
    fn cancel_at(&mut self, i: usize, id: &str) -> Option<Final> {
        let job = job_number(id)?;
        let now = self.now;
        if self.processes.frozen.contains(&i) {
            return None;
        }
        let controller = self.controllers[i].as_mut().filter(|c| c.mirror.loaded)?;
        if !self.state_link.refused.contains(&i) {
            catch_up(controller, &self.state, now);
            if let Some(commit) = controller.cancellation(job)
                && let Outcome::Applied(revision) = self.commit_for_user(&commit)
            {
                self.controllers[i]
                    .as_mut()?
                    .user_committed(&commit, revision, now);
            }
        }
        let controller = self.controllers[i].as_mut()?;
        let how = match controller.mirror.view(job)?.status {
            JobStatus::Cancelled => controller
                .may_confirm_cancelled(job, now)
                .then_some(Final::Cancelled),
            JobStatus::Done => Some(Final::Done),
            JobStatus::Queued | JobStatus::Running => None,
        };
        self.apply_effects(i);
        how
    }

    /// A user's cancellation through controller `i` takes effect. The user is told at
    /// once, if that may be, or asks again.
    pub fn cancel(&mut self, i: usize, id: &str) {
        let job = job_number(id).expect("a good id");
        let now = self.now;
        let store_revision = self.state.store_revision();
        let controller = self.controllers[i].as_mut().expect("a running controller");
        catch_up(controller, &self.state, now);
        let commit = controller.cancellation(job).expect("an open job");
        let outcome = self.state.commit(&commit);
        self.requests.cancelling.insert(id.into());
        if let Outcome::Applied(revision) = outcome {
            controller.user_committed(&commit, revision, now);
        }
        assert!(
            matches!(outcome, Outcome::Applied(revision) if revision > store_revision),
            "{outcome:?}"
        );
        if controller.may_confirm_cancelled(job, now) {
            self.submissions.cancelled_at.insert(id.to_string(), now);
        } else {
            self.cancel_later(i, now + RETRY_MS, id);
        }
        self.say(format!("{id} cancelled through node-{i}"));
    }

    /// Of the jobs that have just ended, some are cancelled at this moment.
    pub(super) fn cancel_some_ended_jobs(&mut self) {
        for id in self.checker.take_ended() {
            let percent = self.submissions.cancel_at_end_percent;
            if percent > 0 && (self.state_link.draw)(100) < percent {
                let i = (self.state_link.draw)(self.controllers.len() as u64) as usize;
                self.insist(i, &id, Question::Cancel);
            }
        }
    }
}
