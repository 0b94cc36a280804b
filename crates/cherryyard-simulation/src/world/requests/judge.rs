//! Answers, judged by when their requests were sent and when they came: whatever a user
//! had been told by any controller before sending a request, no controller may answer
//! something older.

use super::super::World;
use super::{Age, Answer, Question, Request, Response};
use cherryyard_wire::job::JobStatus;
use std::collections::BTreeSet;

/// Of so many jobs whose users look closely, one is cancelled.
const CANCEL_ONE_IN: u64 = 4;

impl World {
    /// Judges an answer by what its user knew when it was asked for, and notes it.
    pub(super) fn judge(&mut self, request: &Request, response: &Response) {
        let id = &request.id;
        self.requests.judged += 1;
        let moment = self.requests.next_moment();
        let known = self.requests.answered.entry(id.clone()).or_default();
        let known = known.clone();
        let mut wrong = self.contradictions(request, response, &known);
        wrong.extend(self.wrong_status(request, response));
        wrong.extend(two_ends(&known, response));
        for text in wrong {
            self.note_violation(format!("{id}: {text}"));
        }
        if response.age().is_some() {
            self.note_answer(id, &known, moment, response);
        }
    }

    /// What an answer says against what its user knew when it was asked for.
    fn contradictions(
        &self,
        request: &Request,
        response: &Response,
        known: &[Answer],
    ) -> Vec<String> {
        let (id, controller) = (&request.id, request.controller);
        let then = newest_age(known, request.moment);
        let mut wrong = Vec::new();
        if response.age().is_some() && response.age() < then {
            wrong.push(format!(
                "node-{controller} answers {response:?} after something newer"
            ));
        }
        if response.is_accepted() && self.requests.impossible.contains(id) {
            wrong.push("it is taken though it cannot run".into());
        }
        if response.is_accepted() && self.submitted(id).is_none() {
            wrong.push("nobody submitted it".into());
        }
        if matches!(response, Response::Malformed | Response::Never) && then > Some(Age::Unknown) {
            wrong.push(format!(
                "accepted, and node-{controller} answers {response:?}"
            ));
        }
        wrong
    }

    /// What an answer says against what has happened to the job.
    fn wrong_status(&self, request: &Request, response: &Response) -> Option<String> {
        let id = &request.id;
        match response.status()? {
            JobStatus::Cancelled if !self.may_be_cancelled(id) => {
                Some("it is called cancelled, and nobody asked for that".into())
            }
            JobStatus::Done if !self.is_complete(id) => {
                Some("it is called done before it is".into())
            }
            status if self.is_orphaned(id, status, request.sent_at) => {
                Some(format!("called {status:?} long after what it needs"))
            }
            JobStatus::Queued | JobStatus::Running | JobStatus::Done | JobStatus::Cancelled => None,
        }
    }

    /// Notes what a user has been told; one who learns something new may look closely.
    fn note_answer(&mut self, id: &str, known: &[Answer], moment: u64, response: &Response) {
        if response.status() == Some(JobStatus::Cancelled) {
            let cancelled_at = self.submissions.cancelled_at.entry(id.into());
            cancelled_at.or_insert(self.now);
        }
        // The first of each says as much as all.
        let says_the_same = |answer: &Answer| {
            answer.response.age() == response.age() && answer.response.status() == response.status()
        };
        if !known.iter().any(says_the_same) {
            let answered = self.requests.answered.entry(id.into()).or_default();
            answered.push(Answer {
                moment,
                response: response.clone(),
            });
        }
        let newest = newest_age(known, u64::MAX);
        let is_news = response.age() > newest && *response != Response::Unknown;
        if is_news
            && newest <= Some(Age::Unknown)
            && let Some(spec) = self.submitted(id).cloned()
        {
            self.requests.accepted.push(spec);
        }
        if is_news && self.requests.close_looks {
            self.look_closely(id);
        }
    }

    /// Its user asks at all controllers at once, twice, and repeats the submission; one
    /// in four cancels.
    fn look_closely(&mut self, id: &str) {
        let body = self.submitted(id).map(serde_json::to_vec);
        for i in 0..self.controllers.len() {
            self.ask_once(i, id, Question::Poll);
            self.ask_once(i, id, Question::Poll);
            if let Some(Ok(body)) = &body {
                self.ask_once(i, id, Question::Submit(body.clone()));
            }
        }
        if (self.requests.draw)(CANCEL_ONE_IN) == 0 {
            let i = self.requests.draw_index(self.controllers.len());
            self.insist(i, id, Question::Cancel);
        }
    }
}

/// The latest age that a user had been told before a moment.
fn newest_age(known: &[Answer], before: u64) -> Option<Age> {
    let answered = known.iter().filter(|answer| answer.moment < before);
    answered.filter_map(|answer| answer.response.age()).max()
}

/// Whether a job has been called both done and cancelled.
fn two_ends(known: &[Answer], response: &Response) -> Option<String> {
    let responses = known.iter().map(|answer| &answer.response);
    let ends = responses
        .chain([response])
        .filter_map(Response::status)
        .filter(|status| matches!(status, JobStatus::Done | JobStatus::Cancelled))
        .map(|status| format!("{status:?}"));
    let ends: BTreeSet<String> = ends.collect();
    (ends.len() > 1).then(|| "it is called done and cancelled".into())
}
