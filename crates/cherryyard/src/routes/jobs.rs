//! Submissions, polls and cancellations.

use super::response::ApiResponse;
use super::retry::{MAX_ATTEMPTS, pause_after_refusal};
use crate::app::{App, LookupKind, wall_ms};
use cherryyard_core::Outcome;
use cherryyard_core::admission::intake::SubmissionOutcome;
use cherryyard_core::admit::{Reject, admit};
use cherryyard_core::dependencies::{DependencyError, PastEnds, Resolution};
use cherryyard_core::mirror::{OpenJob, over};
use cherryyard_core::users::UserAnswer;
use cherryyard_wire::condor::{FIRST_ID, is_reserved};
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::job::{JobSpec, JobStatus, JobView, job_id, job_number};
use cherryyard_wire::parse_object;
use cherryyard_wire::peer::{ForwardResponse, ForwardedSubmission};
use cherryyard_wire::record::End;
use cherryyard_wire::rules::{Additions, Rules};
use salvo::http::StatusCode;
use std::sync::Arc;

/// `Retry-After` in seconds of a poll of an old or unknown job that is not looked up.
const LOOKUP_RETRY_S: u32 = 3;

/// `Retry-After` in seconds of a poll that is refused for the event loop's lag.
const BEHIND_RETRY_S: u32 = 5;

fn is_terminal(view: &JobView) -> bool {
    matches!(view.status, JobStatus::Done | JobStatus::Cancelled)
}

/// `Retry-After` in seconds while a cancellation may not be confirmed yet.
const UNCONFIRMED_RETRY_S: u32 = 1;

/// The job's state, as far as its user may know it.
async fn lookup(app: &Arc<App>, job: u64) -> Result<Option<JobView>, ApiResponse> {
    let answer_for =
        |caught_up| app.with(|controller, now| controller.answer_for(job, caught_up, now));
    let answer = match answer_for(false) {
        UserAnswer::Barrier if app.caught_up().await => answer_for(true),
        answer => answer,
    };
    match answer {
        UserAnswer::View(view) => return Ok(Some(view)),
        UserAnswer::Barrier => {
            return Err(ApiResponse::later("the state service cannot be reached"));
        }
        UserAnswer::NotYet => return Err(not_yet()),
        UserAnswer::Unknown => {}
    }
    let Some(found) = app.find_in_history(job, LookupKind::Poll).await else {
        let why = "old jobs cannot be looked up now";
        return Err(ApiResponse::later_in(why, LOOKUP_RETRY_S));
    };
    let cancelled = found.past.is_some_and(|p| p.end == End::Cancelled);
    if cancelled && !app.with(|controller, now| controller.may_confirm_cancelled(job, now)) {
        return Err(not_yet());
    }
    Ok(found.past.map(|p| over(job, p.end, p.done)))
}

/// The answer while a job is cancelled and the other controllers may not know it.
fn not_yet() -> ApiResponse {
    ApiResponse::later_in(
        "the other controllers may not know it yet",
        UNCONFIRMED_RETRY_S,
    )
}

/// A submission as it was read: the job, its number, and its rules.
type Submission = (JobSpec, u64, Option<Rules>);

/// Reads a submission, and answers it if its job is known already.
async fn read_submission(app: &Arc<App>, body: &[u8]) -> Result<Submission, ApiResponse> {
    let spec = JobSpec::parse(body).map_err(ApiResponse::bad_request)?;
    let mut rules = None;
    if app.with(|controller, _| controller.config.tuning.condor) {
        rules = parse_object::<Additions>(body)
            .map_err(ApiResponse::bad_request)?
            .rules;
        rules = rules.filter(|r| !r.is_empty());
    }
    let Some(job) = job_number(&spec.id) else {
        return Err(ApiResponse::bad_request("id: not a job id"));
    };
    if app
        .with(|controller, _| controller.mirror.view(job))
        .is_some()
    {
        return Err(match lookup(app, job).await {
            Ok(Some(view)) => ApiResponse::view(StatusCode::OK, &view),
            Ok(None) => ApiResponse::later("the job's state is not known yet"),
            Err(answer) => answer,
        });
    }
    if !spec.waits_on.is_empty() && !app.with(|controller, _| controller.accepts_dependencies()) {
        let why = "waits_on: not all controllers are of a version that knows it";
        return Err(ApiResponse::later(why));
    }
    Ok((spec, job, rules))
}

/// What is stored of the jobs that a submission names. One that is not known here is
/// looked for in all that was durable when this was asked for, and in the history:
/// another controller may have accepted it a moment ago.
async fn resolve_dependencies(
    app: &Arc<App>,
    spec: &JobSpec,
    job: u64,
) -> Result<Dependencies, ApiResponse> {
    let mut past = PastEnds::new();
    let mut caught_up = false;
    loop {
        let unknown =
            match app.with(|controller, _| controller.mirror.resolve_dependencies(spec, &past)) {
                Resolution::Accepted(after) => return Ok(after),
                Resolution::Never(why) => return Err(never(app, job, why.to_string()).await),
                Resolution::Unknown(need) => need,
            };
        if !caught_up {
            if !app.caught_up().await {
                return Err(ApiResponse::later("the state service cannot be reached"));
            }
            caught_up = true;
            continue;
        }
        let Some(found) = app.find_in_history(unknown, LookupKind::Submission).await else {
            let why = "old jobs cannot be looked up now";
            return Err(ApiResponse::later_in(why, LOOKUP_RETRY_S));
        };
        match found.past {
            Some(p) => past.insert(unknown, p.end),
            None => {
                let why = DependencyError::NeverAccepted(unknown);
                return Err(never(app, job, why.to_string()).await);
            }
        };
    }
}

/// The answer to a submission that can never run: accepted elsewhere, it must not be
/// refused here.
async fn never(app: &Arc<App>, job: u64, why: String) -> ApiResponse {
    match lookup(app, job).await {
        Ok(Some(view)) => ApiResponse::view(StatusCode::OK, &view),
        Ok(None) => ApiResponse::error(StatusCode::UNPROCESSABLE_ENTITY, why),
        Err(answer) => answer,
    }
}

pub(super) async fn submit(app: &Arc<App>, body: &[u8]) -> ApiResponse {
    if app.with(|controller, now| controller.refuses_submissions(now)) {
        return ApiResponse::later("this controller is behind");
    }
    let submission = match read_submission(app, body).await {
        Ok(read) => read,
        Err(answer) => return answer,
    };
    let at = wall_ms() as u64;
    if let Some(response) = app.forward(body, at).await
        && let Ok(status) = StatusCode::from_u16(response.status)
    {
        return ApiResponse {
            status,
            body: response.body.into(),
            retry_after_s: response.retry_after,
        };
    }
    submit_here(app, submission, at).await
}

/// Writes a submission that another controller has forwarded.
pub async fn answer_forwarded(app: &Arc<App>, forwarded: &ForwardedSubmission) -> ForwardResponse {
    let answer = match read_submission(app, &forwarded.body).await {
        Ok(submission) => submit_here(app, submission, forwarded.at).await,
        Err(answer) => answer,
    };
    ForwardResponse {
        ticket: forwarded.ticket,
        status: answer.status.as_u16(),
        retry_after: answer.retry_after_s,
        body: String::from_utf8_lossy(&answer.body).into_owned(),
    }
}

async fn submit_here(app: &Arc<App>, submission: Submission, at: u64) -> ApiResponse {
    let (mut spec, job, rules) = submission;
    let (verdict, fresh) = app.with(|controller, now| {
        let (mirror, config) = (&controller.mirror, &controller.config);
        let verdict = admit(&mut spec, rules.as_ref(), at, mirror, config);
        (verdict, controller.state_fresh(now))
    });
    if !fresh {
        return ApiResponse::later("the state service cannot be reached");
    }
    match verdict {
        Ok(()) => {}
        Err(Reject::NotYet(why)) => return ApiResponse::later(&why.to_string()),
        Err(Reject::Malformed(why)) => return ApiResponse::bad_request(why),
        Err(Reject::Never(why)) => return never(app, job, why.to_string()).await,
    }
    let named = spec.clone();
    spec.waits_on.clear();
    let rules = rules.map(Box::new);
    let new = app.with(|controller, _| controller.mirror.new_job(spec, rules, at));
    let Some(mut open) = new else {
        return ApiResponse::error(StatusCode::UNPROCESSABLE_ENTITY, "owner: unknown team");
    };
    for _ in 0..MAX_ATTEMPTS {
        match offer_once(app, job, &named, &mut open).await {
            Attempt::Answered(answer) => return answer,
            Attempt::Retry => {}
            Attempt::Failed => break,
        }
    }
    ApiResponse::later("the state service did not take the job")
}

/// What came of one attempt to write a new job.
enum Attempt {
    Answered(ApiResponse),
    Retry,
    Failed,
}

/// Offers a new job to the core once, with the dependencies that `named` asks for.
async fn offer_once(app: &Arc<App>, job: u64, named: &JobSpec, open: &mut OpenJob) -> Attempt {
    // It may be over, and only the history may know it.
    let Some(found) = app.find_in_history(job, LookupKind::Submission).await else {
        return Attempt::Failed;
    };
    if let Some(past) = found.past {
        let view = over(job, past.end, past.done);
        return Attempt::Answered(ApiResponse::view(StatusCode::OK, &view));
    }
    if is_reserved(job) && app.with(|controller, _| controller.config.tuning.condor) {
        let why = format!("id: from {} on they are for submissions", job_id(FIRST_ID));
        return Attempt::Answered(ApiResponse::bad_request(why));
    }
    open.dependencies = match resolve_dependencies(app, named, job).await {
        Ok(after) => after,
        Err(answer) => return Attempt::Answered(answer),
    };
    let status = if open.dependencies.cancelled_by.is_some() {
        JobStatus::Cancelled
    } else {
        JobStatus::Queued
    };
    match app.offer(job, open.clone(), found.moved).await {
        SubmissionOutcome::Stored => {
            let body = serde_json::json!({ "id": named.id, "status": status });
            Attempt::Answered(ApiResponse::of(StatusCode::CREATED, &body))
        }
        // Another controller may have accepted it meanwhile.
        SubmissionOutcome::AlreadyKnown => match lookup(app, job).await {
            Ok(Some(view)) => Attempt::Answered(ApiResponse::view(StatusCode::OK, &view)),
            Ok(None) => Attempt::Failed,
            Err(answer) => Attempt::Answered(answer),
        },
        SubmissionOutcome::Retry => Attempt::Retry,
        SubmissionOutcome::Refused(seconds) => {
            let why = "too many submissions at once";
            Attempt::Answered(ApiResponse::later_in(why, seconds))
        }
        SubmissionOutcome::Failed => Attempt::Failed,
    }
}

pub(super) async fn poll(app: &Arc<App>, id: &str) -> ApiResponse {
    let Some(job) = job_number(id) else {
        return ApiResponse::error(StatusCode::NOT_FOUND, "no such job");
    };
    // Behind with reports: what would be too late is refused at once, but for
    // final states, which cost no more than a refusal.
    let (view, behind) =
        app.with(|controller, now| (controller.mirror.view(job), controller.refuses_polls(now)));
    if behind && !view.as_ref().is_some_and(is_terminal) {
        return ApiResponse::later_in("this controller is behind", BEHIND_RETRY_S);
    }
    match lookup(app, job).await {
        Ok(Some(view)) => ApiResponse::view(StatusCode::OK, &view),
        Ok(None) => ApiResponse::error(StatusCode::NOT_FOUND, "no such job"),
        Err(answer) => answer,
    }
}

pub(super) async fn cancel(app: &Arc<App>, id: &str) -> ApiResponse {
    let Some(job) = job_number(id) else {
        return ApiResponse::error(StatusCode::NOT_FOUND, "no such job");
    };
    for attempt in 0..MAX_ATTEMPTS {
        match lookup(app, job).await {
            Err(answer) => return answer,
            Ok(None) => return ApiResponse::error(StatusCode::NOT_FOUND, "no such job"),
            Ok(Some(view)) if is_terminal(&view) => {
                return ApiResponse::view(StatusCode::OK, &view);
            }
            Ok(Some(_)) => {}
        }
        let Some(commit) = app.with(|controller, _| controller.cancellation(job)) else {
            continue;
        };
        // Never refused for the write budget: what runs for a cancelled job is in
        // everybody's way.
        app.with(|controller, now| controller.spend_user_write(now));
        match app.commit_for_user(&commit).await {
            // Applied: the next look-up says so. Malformed: it is divided as the limits now
            // are.
            Outcome::Applied(_) | Outcome::Conflict(_) | Outcome::Malformed => {}
            Outcome::Refused => pause_after_refusal(attempt).await,
            Outcome::NoLease | Outcome::Unknown => break,
        }
    }
    ApiResponse::later("the state service did not take the cancellation")
}
