//! Users' requests as controllers take them: one after the other or many at once, at any
//! controller, with time and losses between each step, as in the program's routes.
//!
//! Here is what a request is and how users send one. The steps that it takes at its
//! controller are in [`serve`] and, for submissions, in [`admission`]; its answer is judged
//! in [`judge`]; [`odd`] makes requests that make no sense.

use super::{STEP, World};
use crate::draws;
use cherryyard_core::Outcome;
use cherryyard_wire::job::{JobSpec, JobStatus, JobView};
use cherryyard_wire::state::{Commit, WatchResponse};
use std::collections::{BTreeMap, BTreeSet};

mod admission;
mod judge;
mod odd;
mod serve;

/// For how long a user asks again.
const INSIST_MS: f64 = 60_000.0;
/// After what time a user asks the next controller.
const RETRY_MS: f64 = 1000.0;

/// What a user asks of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Question {
    /// How it is.
    Poll,
    /// To take it, as in this body.
    Submit(Vec<u8>),
    /// To cancel it.
    Cancel,
}

/// What a user is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// 201.
    Taken,
    /// 200.
    View(JobView),
    /// 404.
    Unknown,
    /// 400.
    Malformed,
    /// 422.
    Never,
    /// 503, or no answer.
    Later,
}

/// How far a job has come in its life, by an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Age {
    Unknown,
    Accepted,
    Over,
}

impl Response {
    /// How late in its job's life this answer is; none if it tells nothing of that.
    fn age(&self) -> Option<Age> {
        match self {
            Self::Unknown => Some(Age::Unknown),
            Self::Taken => Some(Age::Accepted),
            Self::View(view) => match view.status {
                JobStatus::Queued | JobStatus::Running => Some(Age::Accepted),
                JobStatus::Done | JobStatus::Cancelled => Some(Age::Over),
            },
            Self::Malformed | Self::Never | Self::Later => None,
        }
    }

    /// Whether it says that the job is or was accepted.
    fn is_accepted(&self) -> bool {
        self.age() > Some(Age::Unknown)
    }

    /// The status that it tells.
    fn status(&self) -> Option<JobStatus> {
        match self {
            Self::View(view) => Some(view.status),
            Self::Taken | Self::Unknown | Self::Malformed | Self::Never | Self::Later => None,
        }
    }
}

/// Where a request stands.
#[derive(Clone, Debug)]
enum Stage {
    /// On its way to its controller.
    Sent { arrives: f64 },
    /// Waits for the next read of the state.
    Barrier { reads_at: f64 },
    /// That read is under way.
    Reading {
        due: f64,
        sent_at: f64,
        response: WatchResponse,
    },
    /// Everything up to the request has been read.
    CaughtUp,
    /// Forwarded to another controller by a request of this number.
    Forwarded { request: u64, until: f64 },
    /// Handed to the controller's core.
    Offered { ticket: u64, until: f64 },
    /// Its transaction is under way.
    Committing {
        due: f64,
        commit: Commit,
        outcome: Outcome,
    },
    /// The answer is on its way to the user.
    Answered { due: f64, response: Response },
}

impl Stage {
    /// When the next step can be taken, if that is a matter of time alone.
    fn next_step_at(&self) -> Option<f64> {
        match self {
            Self::Sent { arrives: due }
            | Self::Barrier { reads_at: due }
            | Self::Reading { due, .. }
            | Self::Committing { due, .. }
            | Self::Answered { due, .. } => Some(*due),
            Self::CaughtUp | Self::Forwarded { .. } | Self::Offered { .. } => None,
        }
    }
}

/// Who has sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sender {
    /// A user who asks once.
    User,
    /// A user who asks again until there is an answer.
    InsistentUser,
    /// Another controller, on behalf of its user.
    Controller,
}

/// Whether a submission waits for a barrier because it names a job that is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DependencyBarrier {
    NotNeeded,
    Awaited,
    Passed,
}

#[derive(Clone, Debug)]
struct Request {
    /// When it was sent, in the order of all that users sent and were told.
    moment: u64,
    /// When its user first asked.
    first_sent_at: f64,
    /// When it was sent.
    sent_at: f64,
    sender: Sender,
    controller: usize,
    /// Which incarnation of its controller it has come to.
    incarnation: Option<u64>,
    id: String,
    question: Question,
    stage: Stage,
    /// Whether a submission is to be answered 422 if its job is unknown.
    is_refused: bool,
    dependency_barrier: DependencyBarrier,
    /// Tries to write.
    tries: u32,
}

/// What a job's user has been told, and when.
#[derive(Clone, Debug)]
struct Answer {
    moment: u64,
    response: Response,
}

/// Users' requests under way, and what they have been told.
pub struct Requests {
    open: BTreeMap<u64, Request>,
    next: u64,
    moment: u64,
    draw: Box<dyn FnMut(u64) -> u64>,
    /// What each job's user has been told.
    answered: BTreeMap<String, Vec<Answer>>,
    /// Whether users ask at all controllers at once, and repeat the submission, as soon
    /// as they are told that a job is accepted, done or cancelled; some cancel.
    pub close_looks: bool,
    /// A broken build for tests of the checker: open jobs are answered without a barrier.
    pub without_barrier: bool,
    /// Another one: nothing is checked at the door.
    pub without_admission: bool,
    /// Another one: what a job waits for is forgotten, or never told to be cancelled.
    pub without_dependencies: bool,
    /// Whether users send odd requests now and then.
    pub odd: bool,
    /// Jobs that were accepted, until they have been taken note of.
    pub accepted: Vec<JobSpec>,
    /// Jobs whose users have asked for their cancellation.
    pub cancelling: BTreeSet<String>,
    /// Jobs that cannot run, or of which a field is missing.
    pub impossible: BTreeSet<String>,
    /// How many answers have been judged.
    pub judged: usize,
    /// Answers to requests that nobody insists on, by number.
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
            next: 0,
            moment: 0,
            draw: Box::new(draws(1)),
            answered: BTreeMap::new(),
            close_looks: false,
            without_barrier: false,
            without_admission: false,
            without_dependencies: false,
            odd: false,
            accepted: Vec::new(),
            cancelling: BTreeSet::new(),
            impossible: BTreeSet::new(),
            judged: 0,
            answers: BTreeMap::new(),
        }
    }
}

impl Requests {
    /// Draws by a seed what comes between a request and its answer.
    pub fn seed(&mut self, seed: u64) {
        self.draw = Box::new(draws(seed));
    }

    /// Whether a job's user has been told that it is accepted.
    pub fn knows_accepted(&self, id: &str) -> bool {
        let answered = self.answered.get(id);
        answered.is_some_and(|all| all.iter().any(|answer| answer.response.is_accepted()))
    }

    /// How many are under way.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Draws the time of one hop: up to two steps of the clock.
    fn hop(&mut self) -> f64 {
        (self.draw)(3) as f64 * STEP
    }

    /// Draws one of so many controllers.
    fn draw_index(&mut self, count: usize) -> usize {
        (self.draw)(count as u64) as usize
    }

    /// The next moment in the order of all that users send and are told.
    fn next_moment(&mut self) -> u64 {
        self.moment += 1;
        self.moment
    }
}

impl World {
    /// A user asks controller `i`, and the next one after each answer that is none, for a
    /// minute.
    pub fn insist(&mut self, i: usize, id: &str, question: Question) -> u64 {
        self.send_request(i, id, question, Sender::InsistentUser)
    }

    /// A user asks controller `i` once.
    pub fn ask_once(&mut self, i: usize, id: &str, question: Question) -> u64 {
        self.send_request(i, id, question, Sender::User)
    }

    /// A user submits a job to controller `i` until it is taken or refused for good.
    pub fn submit_at(&mut self, i: usize, spec: &JobSpec) -> u64 {
        let body = serde_json::to_vec(spec).expect("a job");
        self.insist(i, &spec.id, Question::Submit(body))
    }

    /// Whether a job's user has asked for its cancellation.
    pub fn asked_to_cancel(&self, id: &str) -> bool {
        self.requests.cancelling.contains(id)
    }

    /// Sends a request; gives its number.
    fn send_request(&mut self, i: usize, id: &str, question: Question, sender: Sender) -> u64 {
        if question == Question::Cancel {
            self.requests.cancelling.insert(id.into());
        }
        if let Question::Submit(body) = &question
            && let Ok(spec) = JobSpec::parse(body)
        {
            self.checker.note(&spec);
        }
        let arrives = self.now + self.requests.hop();
        let request = Request {
            moment: self.requests.next_moment(),
            first_sent_at: self.now,
            sent_at: self.now,
            sender,
            controller: i,
            incarnation: None,
            id: id.into(),
            question,
            stage: Stage::Sent { arrives },
            is_refused: false,
            dependency_barrier: DependencyBarrier::NotNeeded,
            tries: 0,
        };
        self.requests.next += 1;
        self.requests.open.insert(self.requests.next, request);
        self.requests.next
    }

    /// An answer arrives at whoever sent the request.
    fn receive(&mut self, number: u64, request: Request, response: Response) {
        if request.sender == Sender::Controller {
            self.requests.answers.insert(number, response);
            return;
        }
        self.judge(&request, &response);
        if request.sender == Sender::User {
            self.requests.answers.insert(number, response);
        } else if response == Response::Later && self.now - request.first_sent_at < INSIST_MS {
            self.send_again(&request);
        }
    }

    /// A user who got no answer asks the next controller.
    fn send_again(&mut self, request: &Request) {
        let next = (request.controller + 1) % self.controllers.len();
        let question = request.question.clone();
        let number = self.send_request(next, &request.id, question, Sender::InsistentUser);
        let sent_at = self.now + RETRY_MS;
        if let Some(again) = self.requests.open.get_mut(&number) {
            again.first_sent_at = request.first_sent_at;
            again.sent_at = sent_at;
            again.stage = Stage::Sent { arrives: sent_at };
        }
    }
}
