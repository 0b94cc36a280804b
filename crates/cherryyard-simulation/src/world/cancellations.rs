//! Users who request a job's cancellation repeatedly until a controller confirms that the job
//! is cancelled or done.

use super::state_link::catch_up;
use super::{Question, World};
use cherryyard_core::Outcome;
use cherryyard_wire::job::{JobStatus, job_number};

/// Time after which a user asks the next controller.
const RETRY_DELAY_MS: f64 = 1000.0;

/// A requested cancellation: the controller that is asked next, the time of that request, and
/// the job's id.
#[derive(Debug)]
pub(super) struct PendingCancellation {
    controller: usize,
    due: f64,
    id: String,
}

/// Final status of a job, as reported to its user.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FinalStatus {
    Cancelled,
    Done,
}

impl FinalStatus {
    fn name(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Done => "done",
        }
    }
}

impl World {
    /// Requests a cancellation on behalf of a user, first from controller `i` and then from the
    /// next ones, until the answer is that the job is cancelled or done.
    pub fn cancel_until_confirmed(&mut self, i: usize, id: &str) {
        self.trace_line(format!("{id}: a cancellation is asked for at node-{i}"));
        self.requests.cancelling.insert(id.into());
        self.schedule_cancellation(i, self.now, id);
        self.retry_cancellations();
    }

    fn schedule_cancellation(&mut self, controller: usize, due: f64, id: &str) {
        self.submissions.cancellations.push(PendingCancellation {
            controller,
            due,
            id: id.into(),
        });
    }

    /// Repeats the requests for cancellations that are due.
    pub(super) fn retry_cancellations(&mut self) {
        let now = self.now;
        for pending in std::mem::take(&mut self.submissions.cancellations) {
            if now < pending.due {
                self.submissions.cancellations.push(pending);
                continue;
            }
            let PendingCancellation { controller, id, .. } = pending;
            if let Some(final_status) = self.request_cancellation(controller, &id) {
                let outcome = final_status.name();
                self.trace_line(format!(
                    "{id}: node-{controller} tells its user that it is {outcome}"
                ));
                if final_status == FinalStatus::Cancelled {
                    self.submissions.cancelled_at.insert(id, now);
                }
            } else {
                let next = (controller + 1) % self.controllers.len();
                self.schedule_cancellation(next, now + RETRY_DELAY_MS, &id);
            }
        }
    }

    /// Returns what controller `i` answers to a request for cancellation, if the answer is
    /// final.
    fn request_cancellation(&mut self, i: usize, id: &str) -> Option<FinalStatus> {
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
        let final_status = match controller.mirror.view(job)?.status {
            JobStatus::Cancelled => controller
                .may_confirm_cancelled(job, now)
                .then_some(FinalStatus::Cancelled),
            JobStatus::Done => Some(FinalStatus::Done),
            JobStatus::Queued | JobStatus::Running => None,
        };
        self.apply_effects(i);
        final_status
    }

    /// Cancels a job through controller `i`. The user gets the confirmation at once if the
    /// controller may give it; else the request is repeated.
    pub fn cancel(&mut self, i: usize, id: &str) {
        let job = job_number(id).expect("a valid job id");
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
            self.schedule_cancellation(i, now + RETRY_DELAY_MS, id);
        }
        self.trace_line(format!("{id} cancelled through node-{i}"));
    }

    /// Cancels the configured percentage of the jobs that have just ended, drawn at random.
    pub(super) fn cancel_some_ended_jobs(&mut self) {
        for id in self.checker.take_ended() {
            let percent = self.submissions.cancel_at_end_percent;
            if percent > 0 && (self.state_link.draw)(100) < percent {
                let i = (self.state_link.draw)(self.controllers.len() as u64) as usize;
                self.request_until_answered(i, &id, Question::Cancel);
            }
        }
    }
}
