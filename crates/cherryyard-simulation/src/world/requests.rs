//! Users' requests as controllers handle them: sequential or concurrent, at any controller,
//! with delays and losses between the steps, as in the program's HTTP routes.
//!
//! This module defines a request and how users send it. The steps that a request takes at its
//! controller are in [`serve`] and, for submissions, in [`admission`]; [`judge`] checks the
//! responses; [`odd`] creates invalid and redundant requests.

use super::{STEP_MS, World};
use crate::seeded_draws;
use cherryyard_core::Outcome;
use cherryyard_wire::job::{JobSpec, JobStatus, JobView};
use cherryyard_wire::state::{Commit, WatchResponse};
use std::collections::{BTreeMap, BTreeSet};

mod admission;
mod judge;
mod odd;
mod serve;

/// Time for which a user repeats an unanswered request.
const RETRY_WINDOW_MS: f64 = 60_000.0;
/// Time after which a user asks the next controller.
const RETRY_DELAY_MS: f64 = 1000.0;

/// The request that a user sends about a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Question {
    /// Requests the job's status.
    Poll,
    /// Submits the job with this body.
    Submit(Vec<u8>),
    /// Cancels the job.
    Cancel,
}

/// The response that a user gets, with its HTTP status.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// 201: the job was accepted by this request.
    Taken,
    /// 200: the job's status.
    View(JobView),
    /// 404: the job is unknown.
    Unknown,
    /// 400: the request is malformed.
    Malformed,
    /// 422: the job can never run.
    Never,
    /// 503, or no response.
    Later,
}

/// Phase of a job's life, as far as a response shows it; later phases are larger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum JobPhase {
    Unknown,
    Accepted,
    Ended,
}

impl Response {
    /// Returns the phase of the job's life that this response shows; none if it shows none.
    fn phase(&self) -> Option<JobPhase> {
        match self {
            Self::Unknown => Some(JobPhase::Unknown),
            Self::Taken => Some(JobPhase::Accepted),
            Self::View(view) => match view.status {
                JobStatus::Queued | JobStatus::Running => Some(JobPhase::Accepted),
                JobStatus::Done | JobStatus::Cancelled => Some(JobPhase::Ended),
            },
            Self::Malformed | Self::Never | Self::Later => None,
        }
    }

    /// Returns whether the response shows that the job has been accepted.
    fn is_accepted(&self) -> bool {
        self.phase() > Some(JobPhase::Unknown)
    }

    /// Returns the job's status that the response contains, if any.
    fn status(&self) -> Option<JobStatus> {
        match self {
            Self::View(view) => Some(view.status),
            Self::Taken | Self::Unknown | Self::Malformed | Self::Never | Self::Later => None,
        }
    }
}

/// Progress of a request.
#[derive(Clone, Debug)]
enum Stage {
    /// On its way to its controller.
    Sent { arrives_at: f64 },
    /// Waiting for its controller's next read of the state.
    Barrier { reads_at: f64 },
    /// The controller's read of the state is in progress.
    Reading {
        due: f64,
        sent_at: f64,
        response: WatchResponse,
    },
    /// The controller has read all changes up to the time of the request.
    CaughtUp,
    /// Forwarded to another controller as the request with this number.
    Forwarded { request: u64, until: f64 },
    /// Handed to the controller's core, which decides on the submission.
    Offered { ticket: u64, until: f64 },
    /// The transaction that the request needs is in progress.
    Committing {
        due: f64,
        commit: Commit,
        outcome: Outcome,
    },
    /// The response is on its way to the sender.
    Answered { due: f64, response: Response },
}

impl Stage {
    /// Returns when the request can take its next step, if that depends on time alone.
    fn next_step_at(&self) -> Option<f64> {
        match self {
            Self::Sent { arrives_at: due }
            | Self::Barrier { reads_at: due }
            | Self::Reading { due, .. }
            | Self::Committing { due, .. }
            | Self::Answered { due, .. } => Some(*due),
            Self::CaughtUp | Self::Forwarded { .. } | Self::Offered { .. } => None,
        }
    }
}

/// The sender of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    /// A user who sends the request once.
    User,
    /// A user who repeats the request until there is a response.
    InsistentUser,
    /// Another controller, which forwards a user's submission.
    Controller,
}

/// State of the read barrier that a submission needs if it depends on a job that the controller
/// does not find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DependencyBarrier {
    NotNeeded,
    Awaited,
    Passed,
}

#[derive(Clone, Debug)]
struct Request {
    /// Sequence number of the sending, in the order of all requests that users sent and
    /// responses that they received.
    sequence: u64,
    /// Time at which the user sent the first of the repeated requests.
    first_sent_at: f64,
    /// Time at which this request was sent.
    sent_at: f64,
    sender: Sender,
    controller: usize,
    /// Incarnation of the controller that the request arrived at; none before its arrival.
    incarnation: Option<u64>,
    id: String,
    question: Question,
    stage: Stage,
    /// Whether a submission is answered with 422 if its job is unknown.
    is_refused: bool,
    dependency_barrier: DependencyBarrier,
    /// Number of attempts to write for this request.
    write_attempts: u32,
}

/// A response about a job, and when its user received it.
#[derive(Clone, Debug)]
struct Answer {
    sequence: u64,
    response: Response,
}

/// Users' requests in progress, and the responses that users have received.
pub struct Requests {
    open: BTreeMap<u64, Request>,
    last_request_number: u64,
    sequence: u64,
    draw: Box<dyn FnMut(u64) -> u64>,
    /// Responses that each job's user has received, by job id.
    answered: BTreeMap<String, Vec<Answer>>,
    /// Whether users, as soon as they are told that a job is accepted, done or cancelled, poll
    /// the job at all controllers at once and repeat the submission; some also cancel the job.
    pub query_all_controllers: bool,
    /// Fault injection for tests of the checker: polls of open jobs are answered without a read
    /// barrier.
    pub without_barrier: bool,
    /// Fault injection for tests of the checker: submissions are accepted without admission
    /// checks.
    pub without_admission: bool,
    /// Fault injection for tests of the checker: accepted jobs lose their dependencies, so that
    /// they neither wait for them nor are cancelled with them.
    pub without_dependencies: bool,
    /// Whether users occasionally send invalid and redundant requests.
    pub odd_requests: bool,
    /// Jobs whose users were told that they are accepted, until [`crate::Users`] has recorded
    /// them.
    pub accepted: Vec<JobSpec>,
    /// Ids of the jobs whose cancellation was requested.
    pub cancelling: BTreeSet<String>,
    /// Ids of submitted jobs that cannot run, or that lack a field.
    pub impossible: BTreeSet<String>,
    /// Number of responses that have been checked.
    pub checked_responses: usize,
    /// Responses to requests that are not repeated, by the requests' numbers.
    pub answers: BTreeMap<u64, Response>,
}

impl std::fmt::Debug for Requests {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Requests")
            .field("open", &self.open)
            .field("answered", &self.answered)
            .finish_non_exhaustive()
    }
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            open: BTreeMap::new(),
            last_request_number: 0,
            sequence: 0,
            draw: Box::new(seeded_draws(1)),
            answered: BTreeMap::new(),
            query_all_controllers: false,
            without_barrier: false,
            without_admission: false,
            without_dependencies: false,
            odd_requests: false,
            accepted: Vec::new(),
            cancelling: BTreeSet::new(),
            impossible: BTreeSet::new(),
            checked_responses: 0,
            answers: BTreeMap::new(),
        }
    }
}

impl Requests {
    /// Sets the seed of the draws that decide delays, the order of requests, odd requests, and
    /// which jobs are cancelled with [`Self::query_all_controllers`].
    pub fn seed(&mut self, seed: u64) {
        self.draw = Box::new(seeded_draws(seed));
    }

    /// Returns whether a job's user has been told that the job is accepted.
    pub fn knows_accepted(&self, id: &str) -> bool {
        let answered = self.answered.get(id);
        answered.is_some_and(|all| all.iter().any(|answer| answer.response.is_accepted()))
    }

    /// Returns the number of requests in progress.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Draws the duration of one network hop in milliseconds: up to two steps of the clock.
    fn draw_hop_ms(&mut self) -> f64 {
        (self.draw)(3) as f64 * STEP_MS
    }

    /// Draws an index below `count`.
    fn draw_index(&mut self, count: usize) -> usize {
        (self.draw)(count as u64) as usize
    }

    /// Returns the next sequence number in the order of all that users send and receive.
    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}

impl World {
    /// Sends a user's request to controller `i`, and for up to a minute to the next one after
    /// each response 503 or missing response. Returns the number of the first request.
    pub fn request_until_answered(&mut self, i: usize, id: &str, question: Question) -> u64 {
        self.send_request(i, id, question, Sender::InsistentUser)
    }

    /// Sends a user's request to controller `i` once, and returns its number.
    pub fn request_once(&mut self, i: usize, id: &str, question: Question) -> u64 {
        self.send_request(i, id, question, Sender::User)
    }

    /// Submits a job to controller `i`, and repeats the submission as
    /// [`World::request_until_answered`] does until the job is accepted or refused for good.
    pub fn submit_at(&mut self, i: usize, spec: &JobSpec) -> u64 {
        let body = serde_json::to_vec(spec).expect("a job");
        self.request_until_answered(i, &spec.id, Question::Submit(body))
    }

    /// Returns whether a job's cancellation was requested.
    pub fn asked_to_cancel(&self, id: &str) -> bool {
        self.requests.cancelling.contains(id)
    }

    /// Sends a request, and returns its number.
    fn send_request(&mut self, i: usize, id: &str, question: Question, sender: Sender) -> u64 {
        if question == Question::Cancel {
            self.requests.cancelling.insert(id.into());
        }
        if let Question::Submit(body) = &question
            && let Ok(spec) = JobSpec::parse(body)
        {
            self.checker.record_spec(&spec);
        }
        let arrives_at = self.now + self.requests.draw_hop_ms();
        let request = Request {
            sequence: self.requests.next_sequence(),
            first_sent_at: self.now,
            sent_at: self.now,
            sender,
            controller: i,
            incarnation: None,
            id: id.into(),
            question,
            stage: Stage::Sent { arrives_at },
            is_refused: false,
            dependency_barrier: DependencyBarrier::NotNeeded,
            write_attempts: 0,
        };
        self.requests.last_request_number += 1;
        self.requests
            .open
            .insert(self.requests.last_request_number, request);
        self.requests.last_request_number
    }

    /// Delivers a response to the sender of its request.
    fn receive_response(&mut self, number: u64, request: Request, response: Response) {
        if request.sender == Sender::Controller {
            self.requests.answers.insert(number, response);
            return;
        }
        self.judge(&request, &response);
        if request.sender == Sender::User {
            self.requests.answers.insert(number, response);
        } else if response == Response::Later && self.now - request.first_sent_at < RETRY_WINDOW_MS
        {
            self.send_again(&request);
        }
    }

    /// Repeats an unanswered request at the next controller.
    fn send_again(&mut self, request: &Request) {
        let next = (request.controller + 1) % self.controllers.len();
        let question = request.question.clone();
        let number = self.send_request(next, &request.id, question, Sender::InsistentUser);
        let sent_at = self.now + RETRY_DELAY_MS;
        if let Some(retried) = self.requests.open.get_mut(&number) {
            retried.first_sent_at = request.first_sent_at;
            retried.sent_at = sent_at;
            retried.stage = Stage::Sent {
                arrives_at: sent_at,
            };
        }
    }
}
