//! The HTTP interface of users and workers.

use crate::app::{App, wall_ms};
use bytes::{Bytes, BytesMut};
use cherryyard_core::admit::{Reject, admit};
use cherryyard_core::mirror::OpenJob;
use cherryyard_core::{Outcome, Reply};
use cherryyard_wire::job::{JobSpec, JobStatus, JobView, job_number};
use cherryyard_wire::peer::{Ask, Told};
use cherryyard_wire::record::{End, Key, LEAD, job_key};
use cherryyard_wire::settings::Limits;
use cherryyard_wire::state::{Apply, Commit};
use cherryyard_wire::worker::{Misdirected, Report};
use cherryyard_wire::{MAX_BODY, parse_object};
use http_body_util::BodyExt;
use salvo::conn::Acceptor;
use salvo::fuse::FuseConfig;
use salvo::http::header::HeaderValue;
use salvo::http::{ResBody, StatusCode};
use salvo::prelude::*;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::OwnedSemaphorePermit;

/// Tries of one user's write before the user is told to come back.
const TRIES: u64 = 4;

/// When a poll is to come back that is refused because of lateness.
const BEHIND_RETRY_S: u32 = 5;

/// An answer: a status, a JSON body, and in how many seconds to come back.
struct Answer(StatusCode, Bytes, u32);

impl Answer {
    /// An answer with the JSON of `body`, written once and handed on as it is.
    fn of(status: StatusCode, body: &impl serde::Serialize) -> Self {
        // None of our own types fails to have a JSON form.
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self(status, body.into(), 0)
    }

    fn view(status: StatusCode, view: &JobView) -> Self {
        Self::of(status, view)
    }

    fn error(status: StatusCode, reason: impl Into<String>) -> Self {
        Self::of(status, &serde_json::json!({ "error": reason.into() }))
    }

    fn later(reason: &str) -> Self {
        Self::later_in(reason, 1)
    }

    fn later_in(reason: &str, seconds: u32) -> Self {
        let mut answer = Self::error(StatusCode::SERVICE_UNAVAILABLE, reason);
        answer.2 = seconds;
        answer
    }

    fn write(self, res: &mut Response) {
        res.status_code(self.0);
        if self.2 > 0 {
            res.headers_mut().insert("retry-after", self.2.into());
        }
        let json = HeaderValue::from_static("application/json; charset=utf-8");
        res.headers_mut().insert("content-type", json);
        res.body(ResBody::Once(self.1));
    }
}

/// A body, and the room it takes of what all bodies may take at once.
struct Held {
    text: Bytes,
    _room: Option<OwnedSemaphorePermit>,
}

/// Reads a body of at most [`MAX_BODY`] bytes. What is too large, or comes when
/// all bodies that are being read or worked on take the room that there is, is
/// refused before it is read: a flood of large or slow bodies must not end the
/// process for memory.
async fn body(app: &App, req: &mut Request) -> Result<Held, Answer> {
    let too_large = || {
        let text = "the body is larger than 64 KiB";
        Answer::error(StatusCode::PAYLOAD_TOO_LARGE, text)
    };
    let length = req.header::<usize>("content-length");
    if length.unwrap_or(0) > MAX_BODY {
        return Err(too_large());
    }
    let mut held = Held {
        text: Bytes::new(),
        _room: None,
    };
    let mut rest = BytesMut::new();
    let mut body = req.take_body();
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|_| Answer::error(StatusCode::BAD_REQUEST, "the body cannot be read"))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if rest.len() + data.len() > MAX_BODY {
            return Err(too_large());
        }
        let room = app.bodies.clone();
        let Ok(room) = room.try_acquire_many_owned(data.len() as u32) else {
            return Err(Answer::later("too many requests at once"));
        };
        match &mut held._room {
            Some(held) => held.merge(room),
            none => *none = Some(room),
        }
        // Most bodies come whole, and are not copied.
        if rest.is_empty() && length == Some(data.len()) {
            held.text = data;
            return Ok(held);
        }
        rest.extend_from_slice(&data);
    }
    held.text = rest.freeze();
    Ok(held)
}

struct Submit(Arc<App>);
struct Poll(Arc<App>);
struct Cancel(Arc<App>);
struct Ready(Arc<App>);
struct Hello(Arc<App>);

#[async_trait]
impl Handler for Submit {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let answer = match body(&self.0, req).await {
            Ok(body) => submit(&self.0, &body.text).await,
            Err(answer) => answer,
        };
        self.0.took(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for Poll {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let id = req.param::<String>("id").unwrap_or_default();
        let answer = poll(&self.0, &id).await;
        self.0.took(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for Cancel {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let id = req.param::<String>("id").unwrap_or_default();
        let answer = cancel(&self.0, &id).await;
        self.0.took(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for Ready {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let ready = self.0.with(|n, now| n.ready(now));
        let answer = if ready {
            Answer::of(StatusCode::OK, &serde_json::json!({ "ready": true }))
        } else {
            Answer::later("not ready: the state service or the machine types are out of reach")
        };
        answer.write(res);
    }
}

#[async_trait]
impl Handler for Hello {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let answer = match body(&self.0, req).await {
            Err(answer) => answer,
            Ok(body) => match parse_object::<Report>(&body.text) {
                Err(e) => Answer::error(StatusCode::BAD_REQUEST, e),
                Ok(report) => match self.0.with(|n, now| n.report(&report, now)) {
                    Reply::Answer(a) => Answer::of(StatusCode::OK, &a),
                    Reply::Elsewhere(foreman) => {
                        Answer::of(StatusCode::MISDIRECTED_REQUEST, &Misdirected { foreman })
                    }
                    Reply::Unavailable => Answer::later("this part has no owner yet"),
                },
            },
        };
        answer.write(res);
    }
}

fn terminal(view: &JobView) -> bool {
    matches!(view.status, JobStatus::Done | JobStatus::Cancelled)
}

/// The job's view: a final state at once, any other after a barrier.
async fn look_up(app: &Arc<App>, job: u64) -> Result<Option<JobView>, Answer> {
    if let Some(view) = app.with(|n, _| n.mirror.view(job))
        && terminal(&view)
    {
        return Ok(Some(view));
    }
    if !app.caught_up().await {
        return Err(Answer::later("the state service cannot be reached"));
    }
    Ok(app.with(|n, _| n.mirror.view(job)))
}

/// Reads a submission, and answers it if its job is known already.
async fn read_submission(app: &Arc<App>, body: &[u8]) -> Result<(JobSpec, u64), Answer> {
    let spec = JobSpec::parse(body).map_err(|e| Answer::error(StatusCode::BAD_REQUEST, e))?;
    let Some(job) = job_number(&spec.id) else {
        return Err(Answer::error(StatusCode::BAD_REQUEST, "id: not a job id"));
    };
    if app.with(|n, _| n.mirror.view(job)).is_some() {
        return Err(match look_up(app, job).await {
            Ok(Some(view)) => Answer::view(StatusCode::OK, &view),
            Ok(None) => Answer::later("the job's state is not known yet"),
            Err(answer) => answer,
        });
    }
    Ok((spec, job))
}

async fn submit(app: &Arc<App>, body: &[u8]) -> Answer {
    if app.with(|n, now| n.refuses_submissions(now)) {
        return Answer::later("this controller is behind");
    }
    let (spec, job) = match read_submission(app, body).await {
        Ok(read) => read,
        Err(answer) => return answer,
    };
    let at = wall_ms() as u64;
    if let Some(told) = app.ask(body, at).await
        && let Ok(status) = StatusCode::from_u16(told.status)
    {
        return Answer(status, told.body.into(), told.retry_after);
    }
    submit_here(app, spec, job, at).await
}

/// Writes a submission that another controller has passed on.
pub async fn answer_ask(app: &Arc<App>, ask: &Ask) -> Told {
    let answer = match read_submission(app, &ask.body).await {
        Ok((spec, job)) => submit_here(app, spec, job, ask.at).await,
        Err(answer) => answer,
    };
    Told {
        ticket: ask.ticket,
        status: answer.0.as_u16(),
        retry_after: answer.2,
        body: String::from_utf8_lossy(&answer.1).into_owned(),
    }
}

async fn submit_here(app: &Arc<App>, mut spec: JobSpec, job: u64, at: u64) -> Answer {
    let (verdict, fresh) =
        app.with(|n, now| (admit(&mut spec, &n.mirror, &n.config), n.state_fresh(now)));
    if !fresh {
        return Answer::later("the state service cannot be reached");
    }
    match verdict {
        Ok(()) => {}
        Err(Reject::NotYet(why)) => return Answer::later(why),
        Err(Reject::Malformed(why)) => return Answer::error(StatusCode::BAD_REQUEST, why),
        Err(Reject::Never(why)) => {
            // Accepted elsewhere, it must not be refused here.
            return match look_up(app, job).await {
                Ok(Some(view)) => Answer::view(StatusCode::OK, &view),
                Ok(None) => Answer::error(StatusCode::UNPROCESSABLE_ENTITY, why),
                Err(answer) => answer,
            };
        }
    }
    if let Err(seconds) = app.with(|n, now| n.take_user_write(now)) {
        return Answer::later_in("too many submissions at once", seconds);
    }
    let id = spec.id.clone();
    let mut open = OpenJob {
        stamp: 0,
        team: app
            .with(|n, _| n.config.team_names.get(&spec.owner))
            .unwrap_or(0),
        spec,
        at,
        div: Vec::new(),
        zone: None,
        caps: Vec::new(),
    };
    for attempt in 0..TRIES {
        let mut commit = Commit::default();
        commit.require(job_key(job), 0);
        app.with(|n, now| {
            open.div = Vec::new();
            if let Some(stamp) = n.lead_stamp()
                && attempt == 0
            {
                n.divide_at_once(&mut open, now);
                if open.divided() {
                    commit.require(LEAD, stamp);
                }
            }
        });
        commit.apply.push(Apply::set(job_key(job), &open.record()));
        match app.commit(&commit).await {
            Outcome::Applied(epoch) => {
                app.with(|n, now| n.user_committed(&commit, epoch, now));
                return Answer::of(
                    StatusCode::CREATED,
                    &serde_json::json!({ "id": id, "status": "queued" }),
                );
            }
            Outcome::Conflict(_) => match look_up(app, job).await {
                Ok(Some(view)) => return Answer::view(StatusCode::OK, &view),
                Ok(None) => {}
                Err(answer) => return answer,
            },
            Outcome::Refused => {
                tokio::time::sleep(Duration::from_millis(60 + 60 * attempt)).await;
            }
            Outcome::NoLease | Outcome::Unknown => break,
        }
    }
    Answer::later("the state service did not take the job")
}

async fn poll(app: &Arc<App>, id: &str) -> Answer {
    let Some(job) = job_number(id) else {
        return Answer::error(StatusCode::NOT_FOUND, "no such job");
    };
    // Behind with reports: what would be too late is refused at once, but for
    // final states, which cost no more than a refusal.
    let (view, behind) = app.with(|n, now| (n.mirror.view(job), n.refuses_polls(now)));
    if behind && !view.as_ref().is_some_and(terminal) {
        return Answer::later_in("this controller is behind", BEHIND_RETRY_S);
    }
    match look_up(app, job).await {
        Ok(Some(view)) => Answer::view(StatusCode::OK, &view),
        Ok(None) => Answer::error(StatusCode::NOT_FOUND, "no such job"),
        Err(answer) => answer,
    }
}

async fn cancel(app: &Arc<App>, id: &str) -> Answer {
    let Some(job) = job_number(id) else {
        return Answer::error(StatusCode::NOT_FOUND, "no such job");
    };
    for attempt in 0..TRIES {
        match look_up(app, job).await {
            Err(answer) => return answer,
            Ok(None) => return Answer::error(StatusCode::NOT_FOUND, "no such job"),
            Ok(Some(view)) if terminal(&view) => return Answer::view(StatusCode::OK, &view),
            Ok(Some(_)) => {}
        }
        let commit = app.with(|n, _| {
            let open = n.mirror.open.get(&job)?;
            let mut commit = Commit::default();
            n.mirror.require(&mut commit, Key::Job(job));
            let record = open.ended(End::Cancelled);
            commit.apply.push(Apply::set(job_key(job), &record));
            Some(commit)
        });
        let Some(commit) = commit else { continue };
        // Never refused for the pace: what runs for a cancelled job is in
        // everybody's way.
        app.with(|n, now| n.spend_user_write(now));
        match app.commit(&commit).await {
            Outcome::Applied(epoch) => app.with(|n, now| n.user_committed(&commit, epoch, now)),
            Outcome::Conflict(_) => {}
            Outcome::Refused => {
                tokio::time::sleep(Duration::from_millis(60 + 60 * attempt)).await;
            }
            Outcome::NoLease | Outcome::Unknown => break,
        }
    }
    Answer::later("the state service did not take the cancellation")
}

/// Most bytes of a head, or of a piece of a body, that a connection buffers: the
/// least that hyper allows.
const CONNECTION_BUFFER: usize = 8 * 1024;
/// What a connection takes with its buffers, as measured with 1,125 of them.
const CONNECTION_BYTES: usize = 16 * 1024;

/// Connections that are served at once: a quarter of the sockets stays free for
/// what this controller connects to itself, and they take at most half of the
/// memory.
fn most_connections(limits: &Limits) -> usize {
    (limits.sockets * 3 / 4).min(limits.memory_bytes() / 2 / CONNECTION_BYTES)
}

/// Serves until the process is killed.
pub async fn serve<A: Acceptor + Send + 'static>(acceptor: A, app: Arc<App>, limits: &Limits) {
    let router = Router::new()
        .push(Router::with_path("ready").get(Ready(app.clone())))
        .push(Router::with_path("hello").post(Hello(app.clone())))
        .push(
            Router::with_path("v2/runs").post(Submit(app.clone())).push(
                Router::with_path("{id}")
                    .get(Poll(app.clone()))
                    .push(Router::with_path("cancel").post(Cancel(app))),
            ),
        );
    // Slow or idle clients cost a bounded amount.
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(Duration::from_secs(30))
        .with_connection_idle_timeout(Duration::from_secs(60))
        .with_request_body_timeout(Duration::from_secs(5))
        .with_write_stall_timeout(Duration::from_secs(10));
    let mut server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(most_connections(limits));
    server.http1_mut().max_buf_size(CONNECTION_BUFFER);
    server.serve(router).await;
}
