//! Submissions, polls and cancellations of single jobs.

use super::response::ApiResponse;
use super::retry::{MAX_ATTEMPTS, pause_after_refusal};
use crate::app::{App, LookupKind, wall_ms};
use cherryyard_core::Outcome;
use cherryyard_core::admission::intake::SubmissionOutcome;
use cherryyard_core::admit::{Reject, admit};
use cherryyard_core::dependencies::{DependencyError, HistoryEnds, Resolution};
use cherryyard_core::mirror::{OpenJob, ended_job_view};
use cherryyard_core::users::UserAnswer;
use cherryyard_wire::condor::{FIRST_RESERVED_JOB, is_reserved};
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::job::{JobSpec, JobStatus, JobView, job_id, job_number};
use cherryyard_wire::parse_object;
use cherryyard_wire::peer::{ForwardResponse, ForwardedSubmission};
use cherryyard_wire::record::JobOutcome;
use cherryyard_wire::rules::{Rules, SubmissionExtensions};
use salvo::http::StatusCode;
use std::sync::Arc;

/// `Retry-After` in seconds if a job could not be looked up in the history.
const LOOKUP_RETRY_S: u32 = 3;

/// `Retry-After` in seconds of a poll that is refused because of the event loop's lag.
const OVERLOADED_RETRY_S: u32 = 5;

fn is_terminal(view: &JobView) -> bool {
    matches!(view.status, JobStatus::Done | JobStatus::Cancelled)
}

/// `Retry-After` in seconds while a cancellation must not be confirmed yet.
const UNCONFIRMED_RETRY_S: u32 = 1;

/// Returns the job's state if it may be reported to the user already; returns none if there is no
/// such job.
async fn lookup(app: &Arc<App>, job: u64) -> Result<Option<JobView>, ApiResponse> {
    let answer_for =
        |caught_up| app.with(|controller, now| controller.poll_answer(job, caught_up, now));
    let answer = match answer_for(false) {
        UserAnswer::Barrier if app.wait_until_caught_up().await => answer_for(true),
        answer => answer,
    };
    match answer {
        UserAnswer::View(view) => return Ok(Some(view)),
        UserAnswer::Barrier => {
            return Err(ApiResponse::retry_later(
                "the state service cannot be reached",
            ));
        }
        UserAnswer::NotYet => return Err(unconfirmed_cancellation()),
        UserAnswer::Unknown => {}
    }
    let Some(result) = app.find_in_history(job, LookupKind::Poll).await else {
        let reason = "old jobs cannot be looked up now";
        return Err(ApiResponse::retry_after(reason, LOOKUP_RETRY_S));
    };
    let cancelled = result
        .finished_job
        .is_some_and(|finished| finished.end == JobOutcome::Cancelled);
    if cancelled && !app.with(|controller, now| controller.may_confirm_cancelled(job, now)) {
        return Err(unconfirmed_cancellation());
    }
    Ok(result
        .finished_job
        .map(|finished| ended_job_view(job, finished.end, finished.done)))
}

/// Returns the response for a cancelled job whose cancellation the other controllers may not have
/// received yet.
fn unconfirmed_cancellation() -> ApiResponse {
    ApiResponse::retry_after(
        "the other controllers may not know it yet",
        UNCONFIRMED_RETRY_S,
    )
}

/// A parsed submission: the job, its number, and its rules.
type Submission = (JobSpec, u64, Option<Rules>);

/// Parses a submission. Returns the response instead if the submission is malformed or its job
/// is known already.
async fn parse_submission(app: &Arc<App>, body: &[u8]) -> Result<Submission, ApiResponse> {
    let spec = JobSpec::parse(body).map_err(ApiResponse::bad_request)?;
    let mut rules = None;
    if app.with(|controller, _| controller.config.tuning.condor) {
        rules = parse_object::<SubmissionExtensions>(body)
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
            Ok(Some(view)) => ApiResponse::job_view(StatusCode::OK, &view),
            Ok(None) => ApiResponse::retry_later("the job's state is not known yet"),
            Err(response) => response,
        });
    }
    if !spec.waits_on.is_empty() && !app.with(|controller, _| controller.accepts_dependencies()) {
        let reason = "waits_on: not all controllers are of a version that knows it";
        return Err(ApiResponse::retry_later(reason));
    }
    Ok((spec, job, rules))
}

/// Resolves the jobs that a submission waits for into the dependencies to store. A job that is
/// not in the mirror is looked for once the mirror has caught up with the state service, because
/// another controller may just have accepted it, and then in the history.
async fn resolve_dependencies(
    app: &Arc<App>,
    spec: &JobSpec,
    job: u64,
) -> Result<Dependencies, ApiResponse> {
    let mut past_ends = HistoryEnds::new();
    let mut caught_up = false;
    loop {
        let unknown = match app
            .with(|controller, _| controller.mirror.resolve_dependencies(spec, &past_ends))
        {
            Resolution::Accepted(dependencies) => return Ok(dependencies),
            Resolution::Never(reason) => return Err(reject(app, job, reason.to_string()).await),
            Resolution::Unknown(need) => need,
        };
        if !caught_up {
            if !app.wait_until_caught_up().await {
                return Err(ApiResponse::retry_later(
                    "the state service cannot be reached",
                ));
            }
            caught_up = true;
            continue;
        }
        let Some(result) = app.find_in_history(unknown, LookupKind::Submission).await else {
            let reason = "old jobs cannot be looked up now";
            return Err(ApiResponse::retry_after(reason, LOOKUP_RETRY_S));
        };
        match result.finished_job {
            Some(finished) => past_ends.insert(unknown, finished.end),
            None => {
                let reason = DependencyError::NeverAccepted(unknown);
                return Err(reject(app, job, reason.to_string()).await);
            }
        };
    }
}

/// Returns the response to a submission that can never run: a refusal, unless another controller
/// has accepted the job already; then the job's state.
async fn reject(app: &Arc<App>, job: u64, reason: String) -> ApiResponse {
    match lookup(app, job).await {
        Ok(Some(view)) => ApiResponse::job_view(StatusCode::OK, &view),
        Ok(None) => ApiResponse::error(StatusCode::UNPROCESSABLE_ENTITY, reason),
        Err(response) => response,
    }
}

/// Handles a user's submission: forwards it to the controller that should write it, or writes
/// it here.
pub(super) async fn submit_job(app: &Arc<App>, body: &[u8]) -> ApiResponse {
    if app.with(|controller, now| controller.refuses_submissions(now)) {
        return ApiResponse::retry_later("this controller is behind");
    }
    let submission = match parse_submission(app, body).await {
        Ok(read) => read,
        Err(response) => return response,
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

/// Writes a submission that another controller has forwarded, and returns the response to that
/// controller.
pub async fn answer_forwarded_submission(
    app: &Arc<App>,
    forwarded: &ForwardedSubmission,
) -> ForwardResponse {
    let response = match parse_submission(app, &forwarded.body).await {
        Ok(submission) => submit_here(app, submission, forwarded.at).await,
        Err(response) => response,
    };
    ForwardResponse {
        ticket: forwarded.ticket,
        status: response.status.as_u16(),
        retry_after: response.retry_after_s,
        body: String::from_utf8_lossy(&response.body).into_owned(),
    }
}

/// Admits a submission and writes it through this controller's core.
async fn submit_here(app: &Arc<App>, submission: Submission, at: u64) -> ApiResponse {
    let (mut spec, job, rules) = submission;
    let (verdict, state_fresh) = app.with(|controller, now| {
        let (mirror, config) = (&controller.mirror, &controller.config);
        let verdict = admit(&mut spec, rules.as_ref(), at, mirror, config);
        (verdict, controller.state_fresh(now))
    });
    if !state_fresh {
        return ApiResponse::retry_later("the state service cannot be reached");
    }
    match verdict {
        Ok(()) => {}
        Err(Reject::NotYet(reason)) => return ApiResponse::retry_later(&reason.to_string()),
        Err(Reject::Malformed(reason)) => return ApiResponse::bad_request(reason),
        Err(Reject::Never(reason)) => return reject(app, job, reason.to_string()).await,
    }
    let spec_with_dependencies = spec.clone();
    spec.waits_on.clear();
    let rules = rules.map(Box::new);
    let new = app.with(|controller, _| controller.mirror.new_job(spec, rules, at));
    let Some(mut open) = new else {
        return ApiResponse::error(StatusCode::UNPROCESSABLE_ENTITY, "owner: unknown team");
    };
    for _ in 0..MAX_ATTEMPTS {
        match offer_once(app, job, &spec_with_dependencies, &mut open).await {
            Attempt::Answered(response) => return response,
            Attempt::Retry => {}
            Attempt::Failed => break,
        }
    }
    ApiResponse::retry_later("the state service did not take the job")
}

/// Outcome of one attempt to write a new job.
enum Attempt {
    /// The response is known.
    Answered(ApiResponse),
    /// The attempt may be repeated.
    Retry,
    /// The job was not written, or the outcome is unknown.
    Failed,
}

/// Offers a new job to the core once, with the dependencies that `spec_with_dependencies`
/// lists.
async fn offer_once(
    app: &Arc<App>,
    job: u64,
    spec_with_dependencies: &JobSpec,
    open: &mut OpenJob,
) -> Attempt {
    // The job may have ended already and be recorded only in the history.
    let Some(result) = app.find_in_history(job, LookupKind::Submission).await else {
        return Attempt::Failed;
    };
    if let Some(finished) = result.finished_job {
        let view = ended_job_view(job, finished.end, finished.done);
        return Attempt::Answered(ApiResponse::job_view(StatusCode::OK, &view));
    }
    if is_reserved(job) && app.with(|controller, _| controller.config.tuning.condor) {
        let reason = format!(
            "id: from {} on they are for submissions",
            job_id(FIRST_RESERVED_JOB)
        );
        return Attempt::Answered(ApiResponse::bad_request(reason));
    }
    open.dependencies = match resolve_dependencies(app, spec_with_dependencies, job).await {
        Ok(dependencies) => dependencies,
        Err(response) => return Attempt::Answered(response),
    };
    let status = if open.dependencies.cancelled_by.is_some() {
        JobStatus::Cancelled
    } else {
        JobStatus::Queued
    };
    match app.offer(job, open.clone(), result.history_revision).await {
        SubmissionOutcome::Stored => {
            let body = serde_json::json!({ "id": spec_with_dependencies.id, "status": status });
            Attempt::Answered(ApiResponse::json(StatusCode::CREATED, &body))
        }
        // Another controller may have accepted the job in the meantime.
        SubmissionOutcome::AlreadyKnown => match lookup(app, job).await {
            Ok(Some(view)) => Attempt::Answered(ApiResponse::job_view(StatusCode::OK, &view)),
            Ok(None) => Attempt::Failed,
            Err(response) => Attempt::Answered(response),
        },
        SubmissionOutcome::Retry => Attempt::Retry,
        SubmissionOutcome::Refused(seconds) => {
            let reason = "too many submissions at once";
            Attempt::Answered(ApiResponse::retry_after(reason, seconds))
        }
        SubmissionOutcome::Failed => Attempt::Failed,
    }
}

/// Returns the state of the job with this id.
pub(super) async fn poll_job(app: &Arc<App>, id: &str) -> ApiResponse {
    let Some(job) = job_number(id) else {
        return ApiResponse::error(StatusCode::NOT_FOUND, "no such job");
    };
    // While the event loop lags, polls whose answer would be too late are refused at once.
    // Terminal states are still returned: they cost no more than a refusal.
    let (view, overloaded) =
        app.with(|controller, now| (controller.mirror.view(job), controller.refuses_polls(now)));
    if overloaded && !view.as_ref().is_some_and(is_terminal) {
        return ApiResponse::retry_after("this controller is behind", OVERLOADED_RETRY_S);
    }
    match lookup(app, job).await {
        Ok(Some(view)) => ApiResponse::job_view(StatusCode::OK, &view),
        Ok(None) => ApiResponse::error(StatusCode::NOT_FOUND, "no such job"),
        Err(response) => response,
    }
}

/// Cancels the job with this id and returns its state.
pub(super) async fn cancel_job(app: &Arc<App>, id: &str) -> ApiResponse {
    let Some(job) = job_number(id) else {
        return ApiResponse::error(StatusCode::NOT_FOUND, "no such job");
    };
    for attempt in 0..MAX_ATTEMPTS {
        match lookup(app, job).await {
            Err(response) => return response,
            Ok(None) => return ApiResponse::error(StatusCode::NOT_FOUND, "no such job"),
            Ok(Some(view)) if is_terminal(&view) => {
                return ApiResponse::job_view(StatusCode::OK, &view);
            }
            Ok(Some(_)) => {}
        }
        let Some(commit) = app.with(|controller, _| controller.cancellation(job)) else {
            continue;
        };
        // A cancellation is counted in the write budget but never refused because of it: the
        // tasks of a cancelled job take resources from all others.
        app.with(|controller, now| controller.spend_user_write(now));
        match app.commit_for_user(&commit).await {
            // Applied: the next look-up returns the new state. Malformed: the next attempt builds
            // a transaction that is divided to fit the limits as known by then.
            Outcome::Applied(_) | Outcome::Conflict(_) | Outcome::Malformed => {}
            Outcome::Refused => pause_after_refusal(attempt).await,
            Outcome::NoLease | Outcome::Unknown => break,
        }
    }
    ApiResponse::retry_later("the state service did not take the cancellation")
}
