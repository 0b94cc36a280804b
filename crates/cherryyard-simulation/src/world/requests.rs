//! Users' requests as controllers take them: one after the other or many at once, at any
//! controller, with time and losses between each step, as in the program's routes.
//!
//! What a user is told is judged by when the request was sent and when the answer came:
//! whatever that user had been told by any controller before sending it, no controller
//! may answer something older.

use super::{STEP, World, slow};
use crate::draws;
use cherryyard_core::admission::intake::{Offer, Verdict};
use cherryyard_core::admit::{Reject, admit};
use cherryyard_core::dependencies::{PastEnds, Resolution};
use cherryyard_core::users::UserAnswer;
use cherryyard_core::{Controller, Outcome};
use cherryyard_history::Leaf;
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::job::{JobSpec, JobStatus, JobView, job_number};
use cherryyard_wire::record::End;
use cherryyard_wire::state::{Commit, WatchResponse};
use std::collections::{BTreeMap, BTreeSet};

/// How long a user waits for an answer.
const PATIENCE_MS: f64 = 5000.0;
/// For how long a user asks again.
const INSIST_MS: f64 = 60_000.0;
/// How long a controller waits for one it has passed a submission on to.
const PASSED_MS: f64 = 250.0;
/// Most time between a request for a barrier and its read.
const PACE_MS: u64 = 100;
/// Tries of one user's write.
const TRIES: u32 = 4;

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

/// Where a request stands.
#[derive(Clone, Debug)]
enum Stage {
    /// On its way to its controller, until then.
    Sent(f64),
    /// Waits for the next read of the state, and whether a view must follow.
    Barrier(f64),
    /// That read is under way: when it comes, when it was sent, what it tells.
    Reading(f64, f64, WatchResponse),
    /// Everything up to the request has been read.
    CaughtUp,
    /// Passed on to another controller by this request, until then.
    Passed(u64, f64),
    /// Handed to the core, until then.
    Offered(u64, f64),
    /// Its transaction is under way.
    Committing(f64, Commit, Outcome),
    /// The answer is on its way to the user.
    Answered(f64, Response),
}

#[derive(Clone, Debug)]
struct Request {
    /// When it was sent, in the order of all that users sent and were told.
    moment: u64,
    /// When its user first asked, and when it was sent.
    first: f64,
    sent_at: f64,
    /// Its controller, and which start of it.
    controller: usize,
    life: Option<u64>,
    id: String,
    question: Question,
    stage: Stage,
    /// What follows a view: a submission is to be answered 422 if the job is unknown.
    refusing: bool,
    /// Whether a submission waits for a barrier because it names a job that is not known,
    /// and whether it has had one.
    resolving: bool,
    resolved: bool,
    tries: u32,
    /// Whether its user asks again until there is an answer.
    insists: bool,
    /// Whether another controller has passed it on: its user is that one's.
    passed: bool,
}

/// Users' requests under way, and what they have been told.
pub struct Requests {
    open: BTreeMap<u64, Request>,
    next: u64,
    moment: u64,
    draw: Box<dyn FnMut(u64) -> u64>,
    /// What each job's user has been told, and when.
    answered: BTreeMap<String, Vec<(u64, Response)>>,
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
            .field("told", &self.answered)
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
        answered.is_some_and(|all| all.iter().any(|k| age(&k.1) > Some(0)))
    }

    /// How many are under way.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Up to two steps of the clock.
    fn hop(&mut self) -> f64 {
        (self.draw)(3) as f64 * STEP
    }
}

/// How late in its job's life an answer is; none if it tells nothing of that.
fn age(response: &Response) -> Option<u8> {
    match response {
        Response::Unknown => Some(0),
        Response::Taken => Some(1),
        Response::View(view) => match view.status {
            JobStatus::Queued | JobStatus::Running => Some(1),
            JobStatus::Done | JobStatus::Cancelled => Some(2),
        },
        Response::Malformed | Response::Never | Response::Later => None,
    }
}

impl World {
    /// A user asks controller `i`, and the next one after each answer that is none, for a
    /// minute.
    pub fn insist(&mut self, i: usize, id: &str, question: Question) -> u64 {
        self.request(i, id, question, true)
    }

    /// A user asks controller `i` once.
    pub fn ask_once(&mut self, i: usize, id: &str, question: Question) -> u64 {
        self.request(i, id, question, false)
    }

    /// A user submits a job to controller `i` until it is taken or refused for good.
    pub fn submit_at(&mut self, i: usize, spec: &JobSpec) -> u64 {
        let body = serde_json::to_vec(spec).expect("a job");
        self.insist(i, &spec.id, Question::Submit(body))
    }

    fn request(&mut self, i: usize, id: &str, question: Question, insists: bool) -> u64 {
        if question == Question::Cancel {
            self.requests.cancelling.insert(id.into());
        }
        if let Question::Submit(body) = &question
            && let Ok(spec) = JobSpec::parse(body)
        {
            self.note(&spec);
        }
        let arrives = self.now + self.requests.hop();
        self.requests.moment += 1;
        self.requests.next += 1;
        let request = Request {
            moment: self.requests.moment,
            first: self.now,
            sent_at: self.now,
            controller: i,
            life: None,
            id: id.into(),
            question,
            stage: Stage::Sent(arrives),
            refusing: false,
            resolving: false,
            resolved: false,
            tries: 0,
            insists,
            passed: false,
        };
        self.requests.open.insert(self.requests.next, request);
        self.requests.next
    }

    /// Takes all requests as far as they go by now, in a drawn order.
    pub(super) fn serve_requests(&mut self) {
        let mut order: Vec<u64> = self.requests.open.keys().copied().collect();
        for k in (1..order.len()).rev() {
            let other = (self.requests.draw)(k as u64 + 1) as usize;
            order.swap(k, other);
        }
        for number in order {
            while let Some(mut request) = self.requests.open.remove(&number) {
                let moved = self.advance(&mut request);
                let over = matches!(request.stage, Stage::Answered(at, _) if at <= self.now);
                if !over {
                    self.requests.open.insert(number, request);
                } else if let Stage::Answered(_, response) = request.stage.clone() {
                    self.receive(number, request, response);
                    break;
                }
                if !moved {
                    break;
                }
            }
        }
    }

    /// One step of a request; false if there is none by now.
    fn advance(&mut self, r: &mut Request) -> bool {
        let now = self.now;
        if matches!(r.stage, Stage::Answered(..)) {
            return false;
        }
        if now - r.sent_at > PATIENCE_MS {
            r.stage = Stage::Answered(now, Response::Later);
            return true;
        }
        let i = r.controller;
        if self.frozen.contains(&i) {
            return false;
        }
        // Its connection ends with the process.
        let up = self.controllers[i].is_some() && r.life.is_none_or(|life| life == self.lives[i]);
        if !up {
            r.stage = Stage::Answered(now, Response::Later);
            return true;
        }
        match r.stage.clone() {
            Stage::Sent(at) if at <= now => {
                r.life = Some(self.lives[i]);
                let response = self.arrives(r);
                self.go_on(r, response)
            }
            Stage::Barrier(at) if at <= now => {
                if self.refused.contains(&i) || !self.controller(i).mirror.loaded {
                    let response = Some(Response::Later);
                    return self.go_on(r, response);
                }
                let read = self.state.events(self.controller(i).mirror.store_revision);
                let takes = if self.slow_ms > 0.0 {
                    slow(self.slow_ms, &mut self.late_draw)
                } else {
                    self.requests.hop()
                };
                r.stage = Stage::Reading(now + takes, now, read);
                true
            }
            Stage::Reading(at, sent_at, read) if at <= now => {
                let controller = self.controllers[i].as_mut().expect("it is up");
                controller.events(&read, sent_at, now);
                self.effects(i);
                r.stage = Stage::CaughtUp;
                true
            }
            Stage::CaughtUp if std::mem::take(&mut r.resolving) => {
                r.resolved = true;
                let response = self.offered_here(r);
                self.go_on(r, response)
            }
            Stage::CaughtUp => {
                let response = self.looked_up(r, true);
                self.go_on(r, response)
            }
            Stage::Passed(other, until) => {
                if let Some(response) = self.requests.answers.remove(&other) {
                    return self.go_on(r, Some(response));
                }
                if until > now {
                    return false;
                }
                // Written here after all; the other may write it too.
                let response = self.offered_here(r);
                self.go_on(r, response)
            }
            Stage::Offered(ticket, until) => {
                let verdict = self.verdicts.remove(&ticket);
                let response = match verdict {
                    None if until > now => return false,
                    Some(Verdict::Taken) => Some(Response::Taken),
                    Some(Verdict::Known) => self.looked_up(r, false),
                    Some(Verdict::Retry) if r.tries < TRIES => self.offered_here(r),
                    _ => Some(Response::Later),
                };
                self.go_on(r, response)
            }
            Stage::Committing(at, commit, outcome) if at <= now => {
                if let Outcome::Applied(e) = outcome {
                    let controller = self.controllers[i].as_mut().expect("it is up");
                    controller.user_committed(&commit, e, now);
                    self.effects(i);
                }
                let response = match outcome {
                    Outcome::NoLease | Outcome::Unknown => Some(Response::Later),
                    _ => self.looked_up(r, false),
                };
                self.go_on(r, response)
            }
            _ => false,
        }
    }

    /// Sends the answer, if there is one.
    fn go_on(&mut self, r: &mut Request, response: Option<Response>) -> bool {
        if let Some(response) = response {
            r.stage = Stage::Answered(self.now + self.requests.hop(), response);
        }
        true
    }

    fn controller(&self, i: usize) -> &Controller {
        self.controllers[i].as_ref().expect("it is up")
    }

    /// A request arrives: its answer, or none yet.
    fn arrives(&mut self, r: &mut Request) -> Option<Response> {
        let now = self.now;
        let controller = self.controller(r.controller);
        if !controller.mirror.loaded || controller.mirror.catalog.machine_types.is_empty() {
            return Some(Response::Later);
        }
        let Question::Submit(body) = &r.question else {
            return self.looked_up(r, false);
        };
        if !r.passed && controller.refuses_submissions(now) {
            return Some(Response::Later);
        }
        let Ok(spec) = JobSpec::parse(body) else {
            return Some(Response::Malformed);
        };
        let job = job_number(&spec.id)?;
        if controller.mirror.view(job).is_some() {
            return self.looked_up(r, false);
        }
        if !spec.waits_on.is_empty() && !controller.accepts_dependencies() {
            return Some(Response::Later);
        }
        let whom = controller.forwarding_target(now).filter(|_| !r.passed);
        let whom = whom.and_then(|l| l.trim_start_matches("node-").parse::<usize>().ok());
        let reached = whom.filter(|&k| self.hear_each_other(r.controller, k));
        if let Some(k) = reached.filter(|&k| self.controllers[k].is_some()) {
            let (id, question) = (r.id.clone(), r.question.clone());
            let other = self.request(k, &id, question, false);
            let patience = if self.refused.contains(&r.controller) {
                PASSED_MS * 6.0
            } else {
                PASSED_MS
            };
            if let Some(other) = self.requests.open.get_mut(&other) {
                other.passed = true;
                other.moment = r.moment;
            }
            r.stage = Stage::Passed(other, now + patience);
            return None;
        }
        self.offered_here(r)
    }

    /// Hands a submission to the core of the controller that it came to.
    fn offered_here(&mut self, r: &mut Request) -> Option<Response> {
        let now = self.now;
        let Question::Submit(body) = &r.question else {
            return Some(Response::Later);
        };
        let mut spec = JobSpec::parse(body).ok()?;
        let job = job_number(&spec.id)?;
        r.tries += 1;
        let controller = self.controller(r.controller);
        let verdict = admit(
            &mut spec,
            None,
            now as u64,
            &controller.mirror,
            &controller.config,
        );
        if !controller.state_fresh(now) {
            return Some(Response::Later);
        }
        match verdict {
            _ if self.requests.without_admission => {}
            Ok(()) => {}
            Err(Reject::NotYet(_)) => return Some(Response::Later),
            Err(Reject::Malformed(_)) => return Some(Response::Malformed),
            Err(Reject::Never(_)) => {
                r.refusing = true;
                return self.looked_up(r, false);
            }
        }
        let after = match self.resolve_dependencies(r, &spec) {
            Ok(after) => after,
            Err(response) => return response,
        };
        spec.waits_on.clear();
        let controller = self.controllers[r.controller].as_mut().expect("it is up");
        let Some(mut open) = controller.mirror.new_job(spec, None, now as u64) else {
            return Some(Response::Never);
        };
        if !self.requests.without_dependencies {
            open.dependencies = after;
        }
        self.tickets += 1;
        let offer = Offer {
            ticket: self.tickets,
            job,
            open,
            moved: controller.mirror.packed_revision,
        };
        r.stage = Stage::Offered(offer.ticket, now + 4000.0);
        controller.offer(offer, now);
        self.effects(r.controller);
        None
    }

    /// What a submission's dependencies come to; or what its user is told, if not first
    /// something must come.
    fn resolve_dependencies(
        &mut self,
        r: &mut Request,
        spec: &JobSpec,
    ) -> Result<Dependencies, Option<Response>> {
        let mut past = PastEnds::new();
        loop {
            let unknown = match self
                .controller(r.controller)
                .mirror
                .resolve_dependencies(spec, &past)
            {
                Resolution::Accepted(after) => return Ok(after),
                Resolution::Unknown(_) if !r.resolved => {
                    r.resolving = true;
                    r.stage = Stage::Barrier(self.now + (self.requests.draw)(PACE_MS) as f64);
                    return Err(None);
                }
                Resolution::Unknown(need) => Some(need),
                Resolution::Never(_) => None,
            };
            let found = unknown.and_then(|need| Some((need, self.past_end(need)?)));
            let Some((need, end)) = found else {
                r.refusing = true;
                return Err(self.looked_up(r, false));
            };
            past.insert(need, end);
        }
    }

    /// How a job ended that is only in the history.
    fn past_end(&self, job: u64) -> Option<End> {
        Controller::LOOKUP_ORDER.iter().find_map(|&level| {
            let (_, _, record) = self.state.leaf(level, job)?;
            let leaf = Leaf::of_record(&record).ok()?;
            leaf.find(job).map(|past| past.end)
        })
    }

    /// What its user can be told of the job now; none if first something must come.
    fn looked_up(&mut self, r: &mut Request, caught_up: bool) -> Option<Response> {
        let now = self.now;
        let Some(job) = job_number(&r.id) else {
            return Some(Response::Unknown);
        };
        let controller = self.controller(r.controller);
        if r.question == Question::Poll && controller.refuses_polls(now) {
            return Some(Response::Later);
        }
        let view = match controller.answer_for(job, caught_up || self.requests.without_barrier, now)
        {
            UserAnswer::Barrier => {
                let at = now + (self.requests.draw)(PACE_MS) as f64;
                r.stage = Stage::Barrier(at);
                return None;
            }
            UserAnswer::NotYet => return Some(Response::Later),
            UserAnswer::Unknown if r.refusing => return Some(Response::Never),
            UserAnswer::Unknown if matches!(r.question, Question::Submit(_)) => {
                return Some(Response::Later);
            }
            UserAnswer::Unknown => return Some(Response::Unknown),
            UserAnswer::View(view) => view,
        };
        let over = matches!(view.status, JobStatus::Done | JobStatus::Cancelled);
        if r.question != Question::Cancel || over {
            return Some(Response::View(view));
        }
        if r.tries >= TRIES {
            return Some(Response::Later);
        }
        r.tries += 1;
        let Some(commit) = self.controller(r.controller).cancellation(job) else {
            return self.looked_up(r, false);
        };
        let outcome = if self.refused.contains(&r.controller) {
            Outcome::Refused
        } else {
            self.late_commit(&commit)
        };
        let takes = if self.slow_ms > 0.0 {
            slow(self.slow_ms, &mut self.late_draw)
        } else {
            self.requests.hop()
        };
        r.stage = Stage::Committing(now + takes.min(2000.0), commit, outcome);
        None
    }

    /// A user is told.
    fn receive(&mut self, number: u64, r: Request, response: Response) {
        if r.passed {
            self.requests.answers.insert(number, response);
            return;
        }
        self.judge(&r, &response);
        if response == Response::Later && r.insists && self.now - r.first < INSIST_MS {
            let next = (r.controller + 1) % self.controllers.len();
            let again = self.request(next, &r.id, r.question.clone(), true);
            if let Some(again) = self.requests.open.get_mut(&again) {
                again.first = r.first;
                again.sent_at = self.now + 1000.0;
                again.stage = Stage::Sent(self.now + 1000.0);
            }
            return;
        }
        if !r.insists {
            self.requests.answers.insert(number, response);
        }
    }

    /// Judges an answer by what its user knew when it was asked for.
    fn judge(&mut self, r: &Request, response: &Response) {
        let (id, controller) = (r.id.clone(), r.controller);
        self.requests.moment += 1;
        self.requests.judged += 1;
        let moment = self.requests.moment;
        let known = self
            .requests
            .answered
            .entry(id.clone())
            .or_default()
            .clone();
        let newest = |before: u64| {
            let answered = known.iter().filter(|k| k.0 < before);
            answered.filter_map(|k| age(&k.1)).max()
        };
        let (then, ever) = (newest(r.moment), newest(u64::MAX));
        let status = |response: &Response| match response {
            Response::View(view) => Some(view.status),
            _ => None,
        };
        let mut wrong = Vec::new();
        if let Some(age) = age(response) {
            if then.is_some_and(|then| age < then) {
                wrong.push(format!(
                    "node-{controller} answers {response:?} after something newer"
                ));
            }
            if age > 0 && self.requests.impossible.contains(&id) {
                wrong.push("it is taken though it cannot run".into());
            }
            if age > 0 && self.submitted(&id).is_none() {
                wrong.push("nobody submitted it".into());
            }
        }
        if matches!(response, Response::Malformed | Response::Never)
            && then.is_some_and(|then| then > 0)
        {
            wrong.push(format!(
                "accepted, and node-{controller} answers {response:?}"
            ));
        }
        match status(response) {
            Some(JobStatus::Cancelled) if !self.may_be_cancelled(&id) => {
                wrong.push("it is called cancelled, and nobody asked for that".into());
            }
            Some(JobStatus::Done) if !self.is_complete(&id) => {
                wrong.push("it is called done before it is".into());
            }
            Some(status) if self.is_orphaned(&id, status, r.sent_at) => {
                wrong.push(format!("called {status:?} long after what it needs"));
            }
            _ => {}
        }
        let finals = known
            .iter()
            .map(|k| &k.1)
            .chain([response])
            .filter_map(status);
        let finals: BTreeSet<String> = finals
            .filter(|s| matches!(s, JobStatus::Done | JobStatus::Cancelled))
            .map(|s| format!("{s:?}"))
            .collect();
        if finals.len() > 1 {
            wrong.push("it is called done and cancelled".into());
        }
        for text in wrong {
            self.breaks(format!("{id}: {text}"));
        }
        if age(response).is_none() {
            return;
        }
        let first = age(response) > ever && *response != Response::Unknown;
        if status(response) == Some(JobStatus::Cancelled) {
            let now = self.now;
            self.cancelled_at.entry(id.clone()).or_insert(now);
        }
        // The first of each says as much as all.
        let same =
            |k: &(u64, Response)| age(&k.1) == age(response) && status(&k.1) == status(response);
        if !known.iter().any(same) {
            let list = self.requests.answered.entry(id.clone()).or_default();
            list.push((moment, response.clone()));
        }
        if ever.unwrap_or(0) == 0
            && first
            && let Some(spec) = self.submitted(&id).cloned()
        {
            self.requests.accepted.push(spec);
        }
        if first && self.requests.close_looks {
            self.look_closely(&id);
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
        if (self.requests.draw)(4) == 0 {
            let i = (self.requests.draw)(self.controllers.len() as u64) as usize;
            self.insist(i, id, Question::Cancel);
        }
    }

    /// Users repeat submissions of what is open or over, with other fields too, cancel
    /// what is over, and send what fits no machine or lacks a field.
    pub(super) fn send_odd_requests(&mut self) {
        if !self.requests.odd || (self.requests.draw)(10) != 0 {
            return;
        }
        // Only of what is taken: before, another submission of the job would be its first.
        let taken = |answered: &Vec<(u64, Response)>| answered.iter().any(|k| age(&k.1) > Some(0));
        let known = self.requests.answered.iter().filter(|t| taken(t.1));
        let known: Vec<String> = known.map(|t| t.0.clone()).collect();
        let i = (self.requests.draw)(self.controllers.len() as u64) as usize;
        let machine_type = (self.requests.draw)(8);
        let at = (self.requests.draw)(known.len().max(1) as u64) as usize;
        let Some(id) = known
            .get(at)
            .filter(|id| !self.requests.impossible.contains(*id))
        else {
            return;
        };
        let Some(spec) = self.submitted(id).cloned() else {
            return;
        };
        let body = |spec: &JobSpec| serde_json::to_vec(spec).expect("a job");
        match machine_type {
            0 | 1 => drop(self.ask_once(i, id, Question::Submit(body(&spec)))),
            2 => {
                let mut other = spec;
                (other.task_count, other.cores) = (other.task_count + 3, 0.5);
                self.ask_once(i, id, Question::Submit(body(&other)));
            }
            3 if self.asked_to_cancel(id) => drop(self.ask_once(i, id, Question::Cancel)),
            4 => drop(self.ask_once(i, "j-990000", Question::Poll)),
            5 | 6 => {
                let mut never = spec;
                never.id = format!("j-{:06}", 980_000 + self.requests.next);
                match (self.requests.draw)(4) {
                    0 => never.cores = 64.0,
                    1 => never.team = "nobody".into(),
                    2 => never.machine_types = Some(vec!["m99".into()]),
                    _ => never.zone = Some("nowhere".into()),
                }
                self.requests.impossible.insert(never.id.clone());
                self.insist(i, &never.id.clone(), Question::Submit(body(&never)));
            }
            7 => {
                let mut value = serde_json::to_value(&spec).expect("a job");
                let id = format!("j-{:06}", 980_000 + self.requests.next);
                value["id"] = id.clone().into();
                let fields = ["cores", "pieces", "rank", "owner", "together"];
                let field = fields[(self.requests.draw)(5) as usize];
                value.as_object_mut().expect("an object").remove(field);
                self.requests.impossible.insert(id.clone());
                let text = value.to_string().into_bytes();
                self.insist(i, &id, Question::Submit(text));
            }
            _ => {}
        }
    }

    /// Whether a job's user has asked for its cancellation.
    pub fn asked_to_cancel(&self, id: &str) -> bool {
        self.requests.cancelling.contains(id)
    }
}
