//! Steps of submissions: how a controller forwards, checks and accepts them.

use super::super::World;
use super::super::machines::controller_of_label;
use super::{DependencyBarrier, Question, Request, Response, Sender, Stage};
use cherryyard_core::Controller;
use cherryyard_core::admission::intake::Submission;
use cherryyard_core::admit::{Reject, admit};
use cherryyard_core::dependencies::{HistoryEnds, Resolution};
use cherryyard_history::Leaf;
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::job::{JobSpec, job_number};
use cherryyard_wire::record::JobOutcome;

/// Timeout of a controller for the response of the controller that it forwarded a submission
/// to.
const FORWARD_TIMEOUT_MS: f64 = 250.0;
/// Timeout for a forwarded submission while the state service refuses the forwarding
/// controller.
const REFUSED_FORWARD_TIMEOUT_MS: f64 = FORWARD_TIMEOUT_MS * 6.0;
/// Timeout of a controller for the decision of its core on a submission.
const OFFER_TIMEOUT_MS: f64 = 4000.0;

impl World {
    /// Handles the arrival of a request at its controller; returns the response, or none if
    /// there is none yet.
    pub(super) fn handle_arrival(&mut self, request: &mut Request) -> Option<Response> {
        let now = self.now;
        let controller = self.controller(request.controller);
        if !controller.mirror.loaded || controller.mirror.catalog.machine_types.is_empty() {
            return Some(Response::Later);
        }
        let Question::Submit(body) = &request.question else {
            return self.look_up(request, false);
        };
        let is_forwarded = request.sender == Sender::Controller;
        if !is_forwarded && controller.refuses_submissions(now) {
            return Some(Response::Later);
        }
        let Ok(spec) = JobSpec::parse(body) else {
            return Some(Response::Malformed);
        };
        let job = job_number(&spec.id)?;
        if controller.mirror.view(job).is_some() {
            return self.look_up(request, false);
        }
        if !spec.waits_on.is_empty() && !controller.accepts_dependencies() {
            return Some(Response::Later);
        }
        let target = controller.forwarding_target(now).filter(|_| !is_forwarded);
        let target = target.and_then(controller_of_label);
        let reached = target.filter(|&k| self.controllers_connected(request.controller, k));
        if let Some(k) = reached.filter(|&k| self.controllers[k].is_some()) {
            self.forward(request, k);
            return None;
        }
        self.offer_locally(request)
    }

    /// Forwards a submission to another controller.
    fn forward(&mut self, request: &mut Request, target: usize) {
        let question = request.question.clone();
        let forwarded = self.send_request(target, &request.id, question, Sender::Controller);
        if let Some(forwarded) = self.requests.open.get_mut(&forwarded) {
            forwarded.sequence = request.sequence;
        }
        let timeout_ms = if self.state_link.refused.contains(&request.controller) {
            REFUSED_FORWARD_TIMEOUT_MS
        } else {
            FORWARD_TIMEOUT_MS
        };
        request.stage = Stage::Forwarded {
            request: forwarded,
            until: self.now + timeout_ms,
        };
    }

    /// Checks a submission, and hands it to the core of the controller that received it.
    /// Returns the response, or none if there is none yet.
    pub(super) fn offer_locally(&mut self, request: &mut Request) -> Option<Response> {
        let now = self.now;
        let Question::Submit(body) = &request.question else {
            return Some(Response::Later);
        };
        let mut spec = JobSpec::parse(body).ok()?;
        let job = job_number(&spec.id)?;
        request.write_attempts += 1;
        if let Err(response) = self.check_admission(request, &mut spec) {
            return response;
        }
        let after = match self.resolve_dependencies(request, &spec) {
            Ok(after) => after,
            Err(response) => return response,
        };
        spec.waits_on.clear();
        let controller = self.controllers[request.controller]
            .as_mut()
            .expect("the controller is up");
        let Some(mut open) = controller.mirror.new_job(spec, None, now as u64) else {
            return Some(Response::Never);
        };
        if !self.requests.without_dependencies {
            open.dependencies = after;
        }
        let offer = Submission {
            ticket: self.submissions.next_ticket(),
            job,
            open,
            history_revision: controller.mirror.history_progress_revision,
        };
        request.stage = Stage::Offered {
            ticket: offer.ticket,
            until: now + OFFER_TIMEOUT_MS,
        };
        controller.submit(offer, now);
        self.apply_effects(request.controller);
        None
    }

    /// Checks whether a submission passes admission; if not, fails with the response, or with
    /// none if the request has to wait first.
    fn check_admission(
        &mut self,
        request: &mut Request,
        spec: &mut JobSpec,
    ) -> Result<(), Option<Response>> {
        let now = self.now;
        let controller = self.controller(request.controller);
        let (mirror, config) = (&controller.mirror, &controller.config);
        let admitted = admit(spec, None, now as u64, mirror, config);
        if !controller.state_fresh(now) {
            return Err(Some(Response::Later));
        }
        match admitted {
            _ if self.requests.without_admission => Ok(()),
            Ok(()) => Ok(()),
            Err(Reject::NotYet(_)) => Err(Some(Response::Later)),
            Err(Reject::Malformed(_)) => Err(Some(Response::Malformed)),
            Err(Reject::Never(_)) => {
                request.is_refused = true;
                Err(self.look_up(request, false))
            }
        }
    }

    /// Resolves a submission's dependencies; if that is not possible, fails with the response,
    /// or with none if the request has to wait first.
    fn resolve_dependencies(
        &mut self,
        request: &mut Request,
        spec: &JobSpec,
    ) -> Result<Dependencies, Option<Response>> {
        let mut past = HistoryEnds::new();
        loop {
            let controller = self.controller(request.controller);
            let unknown = match controller.mirror.resolve_dependencies(spec, &past) {
                Resolution::Accepted(after) => return Ok(after),
                Resolution::Unknown(_)
                    if request.dependency_barrier == DependencyBarrier::NotNeeded =>
                {
                    request.dependency_barrier = DependencyBarrier::Awaited;
                    self.await_barrier(request);
                    return Err(None);
                }
                Resolution::Unknown(need) => Some(need),
                Resolution::Never(_) => None,
            };
            let found = unknown.and_then(|need| Some((need, self.past_end(need)?)));
            let Some((need, end)) = found else {
                request.is_refused = true;
                return Err(self.look_up(request, false));
            };
            past.insert(need, end);
        }
    }

    /// Returns how a job ended, if it is in the history.
    fn past_end(&self, job: u64) -> Option<JobOutcome> {
        Controller::LOOKUP_ORDER.iter().find_map(|&level| {
            let (_, _, record) = self.state.leaf(level, job)?;
            let leaf = Leaf::from_record(&record).ok()?;
            leaf.find(job).map(|past| past.end)
        })
    }
}
