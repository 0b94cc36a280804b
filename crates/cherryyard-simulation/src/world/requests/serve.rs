//! Steps that a request takes at its controller.

use super::super::World;
use super::super::state_link::COMMIT_TIMEOUT_MS;
use super::{DependencyBarrier, Question, Request, Response, Stage};
use cherryyard_core::admission::intake::SubmissionOutcome;
use cherryyard_core::users::UserAnswer;
use cherryyard_core::{Controller, Outcome};
use cherryyard_wire::job::{JobStatus, job_number};
use cherryyard_wire::state::{Commit, WatchResponse};

/// Timeout of a user for the response to a request.
const USER_TIMEOUT_MS: f64 = 5000.0;
/// Maximum delay in milliseconds between a request for a read barrier and the read.
const MAX_BARRIER_DELAY_MS: u64 = 100;
/// Maximum number of attempts to write for one request.
const MAX_WRITE_ATTEMPTS: u32 = 4;

impl World {
    /// Advances all requests as far as possible at this time, in a random order.
    pub(in crate::world) fn serve_requests(&mut self) {
        for number in self.draw_order() {
            self.serve_request(number);
        }
    }

    fn draw_order(&mut self) -> Vec<u64> {
        let mut order: Vec<u64> = self.requests.open.keys().copied().collect();
        for k in (1..order.len()).rev() {
            let other = self.requests.draw_index(k + 1);
            order.swap(k, other);
        }
        order
    }

    fn serve_request(&mut self, number: u64) {
        while let Some(mut request) = self.requests.open.remove(&number) {
            let has_advanced = self.advance_request(&mut request);
            if let Stage::Answered { due, response } = &request.stage
                && *due <= self.now
            {
                let response = response.clone();
                self.receive_response(number, request, response);
                return;
            }
            self.requests.open.insert(number, request);
            if !has_advanced {
                return;
            }
        }
    }

    /// Advances a request by one step; returns false if it cannot take one now.
    fn advance_request(&mut self, request: &mut Request) -> bool {
        let now = self.now;
        if matches!(request.stage, Stage::Answered { .. }) {
            return false;
        }
        if now - request.sent_at > USER_TIMEOUT_MS {
            request.stage = no_answer(now);
            return true;
        }
        if self.processes.frozen.contains(&request.controller) {
            return false;
        }
        if !self.is_connected(request) {
            request.stage = no_answer(now);
            return true;
        }
        if request.stage.next_step_at().is_some_and(|at| at > now) {
            return false;
        }
        match request.stage.clone() {
            Stage::Sent { .. } => {
                request.incarnation = Some(self.processes.incarnation(request.controller));
                let response = self.handle_arrival(request);
                self.answer(request, response)
            }
            Stage::Barrier { .. } => self.begin_read(request),
            Stage::Reading {
                sent_at, response, ..
            } => self.end_read(request, sent_at, &response),
            Stage::CaughtUp => self.continue_after_barrier(request),
            Stage::Forwarded {
                request: other,
                until,
            } => self.await_forwarded(request, other, until),
            Stage::Offered { ticket, until } => self.await_verdict(request, ticket, until),
            Stage::Committing {
                commit, outcome, ..
            } => self.end_commit(request, &commit, outcome),
            Stage::Answered { .. } => false,
        }
    }

    /// Returns whether the controller process that the request arrived at still runs; the
    /// connection ends with the process.
    fn is_connected(&self, request: &Request) -> bool {
        let current = self.processes.incarnation(request.controller);
        self.controllers[request.controller].is_some()
            && request.incarnation.is_none_or(|known| known == current)
    }

    /// Sends the response, if there is one.
    fn answer(&mut self, request: &mut Request, response: Option<Response>) -> bool {
        if let Some(response) = response {
            let due = self.now + self.requests.draw_hop_ms();
            request.stage = Stage::Answered { due, response };
        }
        true
    }

    /// Draws the duration of a read or a transaction for a user's request, in milliseconds.
    fn draw_state_ms(&mut self) -> f64 {
        let latency = self.state_link.latency();
        latency.unwrap_or_else(|| self.requests.draw_hop_ms())
    }

    pub(super) fn controller(&self, i: usize) -> &Controller {
        self.controllers[i].as_ref().expect("the controller is up")
    }

    pub(super) fn controller_mut(&mut self, i: usize) -> &mut Controller {
        self.controllers[i].as_mut().expect("the controller is up")
    }

    /// Makes a request wait until its controller reads the state again.
    pub(super) fn await_barrier(&mut self, request: &mut Request) {
        let reads_at = self.now + (self.requests.draw)(MAX_BARRIER_DELAY_MS) as f64;
        request.stage = Stage::Barrier { reads_at };
    }

    fn begin_read(&mut self, request: &mut Request) -> bool {
        let i = request.controller;
        if self.state_link.refused.contains(&i) || !self.controller(i).mirror.loaded {
            return self.answer(request, Some(Response::Later));
        }
        let response = self.state.events(self.controller(i).mirror.store_revision);
        request.stage = Stage::Reading {
            due: self.now + self.draw_state_ms(),
            sent_at: self.now,
            response,
        };
        true
    }

    fn end_read(&mut self, request: &mut Request, sent_at: f64, read: &WatchResponse) -> bool {
        let now = self.now;
        self.controller_mut(request.controller)
            .handle_watch_response(read, sent_at, now);
        self.apply_effects(request.controller);
        request.stage = Stage::CaughtUp;
        true
    }

    fn continue_after_barrier(&mut self, request: &mut Request) -> bool {
        let response = if request.dependency_barrier == DependencyBarrier::Awaited {
            request.dependency_barrier = DependencyBarrier::Passed;
            self.offer_locally(request)
        } else {
            self.look_up(request, true)
        };
        self.answer(request, response)
    }

    /// Passes on the response of the controller that a submission was forwarded to; returns
    /// false while there is none. After a timeout the submission is handled by the forwarding
    /// controller itself, although the other controller may write it too.
    fn await_forwarded(&mut self, request: &mut Request, other: u64, until: f64) -> bool {
        if let Some(response) = self.requests.answers.remove(&other) {
            return self.answer(request, Some(response));
        }
        if until > self.now {
            return false;
        }
        let response = self.offer_locally(request);
        self.answer(request, response)
    }

    /// Handles the decision of the controller's core on a submission.
    fn await_verdict(&mut self, request: &mut Request, ticket: u64, until: f64) -> bool {
        let verdict = self.submissions.verdicts.remove(&ticket);
        let response = match verdict {
            None if until > self.now => return false,
            Some(SubmissionOutcome::Stored) => Some(Response::Taken),
            Some(SubmissionOutcome::AlreadyKnown) => self.look_up(request, false),
            Some(SubmissionOutcome::Retry) if request.write_attempts < MAX_WRITE_ATTEMPTS => {
                self.offer_locally(request)
            }
            None
            | Some(
                SubmissionOutcome::Retry
                | SubmissionOutcome::Refused(_)
                | SubmissionOutcome::Failed,
            ) => Some(Response::Later),
        };
        self.answer(request, response)
    }

    /// Handles the outcome of a cancellation's transaction.
    fn end_commit(&mut self, request: &mut Request, commit: &Commit, outcome: Outcome) -> bool {
        let now = self.now;
        if let Outcome::Applied(revision) = outcome {
            self.controller_mut(request.controller)
                .user_committed(commit, revision, now);
            self.apply_effects(request.controller);
        }
        let response = match outcome {
            Outcome::NoLease | Outcome::Unknown => Some(Response::Later),
            Outcome::Applied(_) | Outcome::Conflict(_) | Outcome::Refused | Outcome::Malformed => {
                self.look_up(request, false)
            }
        };
        self.answer(request, response)
    }

    /// Returns the response that the controller can give now; none if the request has to wait
    /// first.
    pub(super) fn look_up(
        &mut self,
        request: &mut Request,
        is_caught_up: bool,
    ) -> Option<Response> {
        let now = self.now;
        let Some(job) = job_number(&request.id) else {
            return Some(Response::Unknown);
        };
        let controller = self.controller(request.controller);
        if request.question == Question::Poll && controller.refuses_polls(now) {
            return Some(Response::Later);
        }
        let needs_no_barrier = is_caught_up || self.requests.without_barrier;
        let view = match controller.poll_answer(job, needs_no_barrier, now) {
            UserAnswer::Barrier => {
                self.await_barrier(request);
                return None;
            }
            UserAnswer::NotYet => return Some(Response::Later),
            UserAnswer::Unknown if request.is_refused => return Some(Response::Never),
            UserAnswer::Unknown if matches!(request.question, Question::Submit(_)) => {
                return Some(Response::Later);
            }
            UserAnswer::Unknown => return Some(Response::Unknown),
            UserAnswer::View(view) => view,
        };
        let is_over = matches!(view.status, JobStatus::Done | JobStatus::Cancelled);
        if request.question != Question::Cancel || is_over {
            return Some(Response::View(view));
        }
        self.commit_cancellation(request, job)
    }

    /// Starts the transaction that cancels a job.
    fn commit_cancellation(&mut self, request: &mut Request, job: u64) -> Option<Response> {
        if request.write_attempts >= MAX_WRITE_ATTEMPTS {
            return Some(Response::Later);
        }
        request.write_attempts += 1;
        let Some(commit) = self.controller(request.controller).cancellation(job) else {
            return self.look_up(request, false);
        };
        let outcome = if self.state_link.refused.contains(&request.controller) {
            Outcome::Refused
        } else {
            self.commit_for_user(&commit)
        };
        request.stage = Stage::Committing {
            due: self.now + self.draw_state_ms().min(COMMIT_TIMEOUT_MS),
            commit,
            outcome,
        };
        None
    }
}

/// Returns the stage of a request whose user has timed out or whose connection has ended.
fn no_answer(now: f64) -> Stage {
    Stage::Answered {
        due: now,
        response: Response::Later,
    }
}
