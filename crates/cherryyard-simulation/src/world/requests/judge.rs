//! Checks of the responses to users: no controller may answer a request with an older state of
//! a job than the user had been told, by any controller, before sending that request.

use super::super::World;
use super::{Answer, JobPhase, Question, Request, Response};
use cherryyard_wire::job::JobStatus;
use std::collections::BTreeSet;

/// Number of jobs with concurrent requests to all controllers of which one, on average, is
/// cancelled.
const JOBS_PER_CANCELLATION: u64 = 4;

impl World {
    /// Checks a response against what its user had been told when sending the request, and
    /// records it.
    pub(super) fn judge(&mut self, request: &Request, response: &Response) {
        let id = &request.id;
        self.requests.checked_responses += 1;
        let sequence = self.requests.next_sequence();
        let previous = self.requests.answered.entry(id.clone()).or_default();
        let previous = previous.clone();
        let mut violations = self.contradictions(request, response, &previous);
        violations.extend(self.wrong_status(request, response));
        violations.extend(conflicting_ends(&previous, response));
        for text in violations {
            self.record_violation(format!("{id}: {text}"));
        }
        if response.phase().is_some() {
            self.record_answer(id, &previous, sequence, response);
        }
    }

    /// Returns the contradictions between a response and what its user had been told when
    /// sending the request.
    fn contradictions(
        &self,
        request: &Request,
        response: &Response,
        previous: &[Answer],
    ) -> Vec<String> {
        let (id, controller) = (&request.id, request.controller);
        let phase_when_sent = latest_phase(previous, request.sequence);
        let mut violations = Vec::new();
        if response.phase().is_some() && response.phase() < phase_when_sent {
            violations.push(format!(
                "node-{controller} answers {response:?} after something newer"
            ));
        }
        if response.is_accepted() && self.requests.impossible.contains(id) {
            violations.push("it is taken though it cannot run".into());
        }
        if response.is_accepted() && self.submitted(id).is_none() {
            violations.push("nobody submitted it".into());
        }
        if matches!(response, Response::Malformed | Response::Never)
            && phase_when_sent > Some(JobPhase::Unknown)
        {
            violations.push(format!(
                "accepted, and node-{controller} answers {response:?}"
            ));
        }
        violations
    }

    /// Returns a contradiction between the status in a response and what has happened to the
    /// job.
    fn wrong_status(&self, request: &Request, response: &Response) -> Option<String> {
        let id = &request.id;
        match response.status()? {
            JobStatus::Cancelled if !self.may_be_cancelled(id) => {
                Some("it is called cancelled, and nobody asked for that".into())
            }
            JobStatus::Done if !self.is_complete(id) => {
                Some("it is called done before it is".into())
            }
            status if self.outlives_cancelled_dependency(id, status, request.sent_at) => {
                Some(format!("called {status:?} long after what it needs"))
            }
            JobStatus::Queued | JobStatus::Running | JobStatus::Done | JobStatus::Cancelled => None,
        }
    }

    /// Records the response that a user received. With
    /// [`super::Requests::query_all_controllers`], a new phase of the job's life causes requests to
    /// all controllers.
    fn record_answer(&mut self, id: &str, previous: &[Answer], sequence: u64, response: &Response) {
        if response.status() == Some(JobStatus::Cancelled) {
            let cancelled_at = self.submissions.cancelled_at.entry(id.into());
            cancelled_at.or_insert(self.now);
        }
        // A later response with the same phase and status adds no information.
        let is_same = |answer: &Answer| {
            answer.response.phase() == response.phase()
                && answer.response.status() == response.status()
        };
        if !previous.iter().any(is_same) {
            let answered = self.requests.answered.entry(id.into()).or_default();
            answered.push(Answer {
                sequence,
                response: response.clone(),
            });
        }
        let latest = latest_phase(previous, u64::MAX);
        let is_new_phase = response.phase() > latest && *response != Response::Unknown;
        if is_new_phase
            && latest <= Some(JobPhase::Unknown)
            && let Some(spec) = self.submitted(id).cloned()
        {
            self.requests.accepted.push(spec);
        }
        if is_new_phase && self.requests.query_all_controllers {
            self.query_all_controllers(id);
        }
    }

    /// Polls a job twice at each controller and repeats its submission there, all at once; one
    /// in four of these jobs is cancelled as well.
    fn query_all_controllers(&mut self, id: &str) {
        let body = self.submitted(id).map(serde_json::to_vec);
        for i in 0..self.controllers.len() {
            self.request_once(i, id, Question::Poll);
            self.request_once(i, id, Question::Poll);
            if let Some(Ok(body)) = &body {
                self.request_once(i, id, Question::Submit(body.clone()));
            }
        }
        if (self.requests.draw)(JOBS_PER_CANCELLATION) == 0 {
            let i = self.requests.draw_index(self.controllers.len());
            self.request_until_answered(i, id, Question::Cancel);
        }
    }
}

/// Returns the latest phase of the job's life that a user had been told before a sequence
/// number.
fn latest_phase(previous: &[Answer], before: u64) -> Option<JobPhase> {
    let answered = previous.iter().filter(|answer| answer.sequence < before);
    answered.filter_map(|answer| answer.response.phase()).max()
}

/// Returns a violation if a job has been reported both as done and as cancelled.
fn conflicting_ends(previous: &[Answer], response: &Response) -> Option<String> {
    let responses = previous.iter().map(|answer| &answer.response);
    let ends = responses
        .chain([response])
        .filter_map(Response::status)
        .filter(|status| matches!(status, JobStatus::Done | JobStatus::Cancelled))
        .map(|status| format!("{status:?}"));
    let ends: BTreeSet<String> = ends.collect();
    (ends.len() > 1).then(|| "it is called done and cancelled".into())
}
