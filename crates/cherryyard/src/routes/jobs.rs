//! Submissions, polls and cancellations.

use super::answer::Answer;
use crate::app::{App, LookupKind, wall_ms};
use cherryyard_core::Outcome;
use cherryyard_core::admission::intake::Verdict;
use cherryyard_core::admit::{Reject, admit};
use cherryyard_core::dependencies::{DependencyError, PastEnds, Resolution};
use cherryyard_core::mirror::over;
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
use std::time::Duration;

/// Tries of one user's write before the user is told to come back.
const TRIES: u64 = 4;

/// When a poll of an old or unknown job is to come back that is not looked up.
const LOOKUP_RETRY_S: u32 = 3;

/// When a poll is to come back that is refused because of event_loop_lag.
const BEHIND_RETRY_S: u32 = 5;

fn terminal(view: &JobView) -> bool {
    matches!(view.status, JobStatus::Done | JobStatus::Cancelled)
}

/// When a user is to come back who cannot be told yet that a job is cancelled.
const UNTOLD_RETRY_S: u32 = 1;

/// The job's view, as far as its user may be told.
async fn lookup(app: &Arc<App>, job: u64) -> Result<Option<JobView>, Answer> {
    let tell = |caught_up| app.with(|n, now| n.answer_for(job, caught_up, now));
    let told = match tell(false) {
        UserAnswer::Barrier if app.caught_up().await => tell(true),
        told => told,
    };
    match told {
        UserAnswer::View(view) => return Ok(Some(view)),
        UserAnswer::Barrier => return Err(Answer::later("the state service cannot be reached")),
        UserAnswer::NotYet => return Err(not_yet()),
        UserAnswer::Unknown => {}
    }
    let Some(found) = app.find_in_history(job, LookupKind::Poll).await else {
        let why = "old jobs cannot be looked up now";
        return Err(Answer::later_in(why, LOOKUP_RETRY_S));
    };
    let cancelled = found.past.is_some_and(|p| p.end == End::Cancelled);
    if cancelled && !app.with(|n, now| n.may_confirm_cancelled(job, now)) {
        return Err(not_yet());
    }
    Ok(found.past.map(|p| over(job, p.end, p.done)))
}

/// The answer while a job is cancelled and the other controllers may not know it.
fn not_yet() -> Answer {
    Answer::later_in("the other controllers may not know it yet", UNTOLD_RETRY_S)
}

/// A submission as it was read: the job, its number, and its rules.
type Submission = (JobSpec, u64, Option<Rules>);

/// Reads a submission, and answers it if its job is known already.
async fn read_submission(app: &Arc<App>, body: &[u8]) -> Result<Submission, Answer> {
    let bad = |e: String| Answer::error(StatusCode::BAD_REQUEST, e);
    let spec = JobSpec::parse(body).map_err(bad)?;
    let mut rules = None;
    if app.with(|n, _| n.config.tuning.condor) {
        rules = parse_object::<Additions>(body).map_err(bad)?.rules;
        rules = rules.filter(|r| !r.is_empty());
    }
    let Some(job) = job_number(&spec.id) else {
        return Err(Answer::error(StatusCode::BAD_REQUEST, "id: not a job id"));
    };
    if app.with(|n, _| n.mirror.view(job)).is_some() {
        return Err(match lookup(app, job).await {
            Ok(Some(view)) => Answer::view(StatusCode::OK, &view),
            Ok(None) => Answer::later("the job's state is not known yet"),
            Err(answer) => answer,
        });
    }
    if !spec.waits_on.is_empty() && !app.with(|n, _| n.accepts_dependencies()) {
        let why = "waits_on: not all controllers are of a version that knows it";
        return Err(Answer::later(why));
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
) -> Result<Dependencies, Answer> {
    let mut past = PastEnds::new();
    let mut caught_up = false;
    loop {
        let unknown = match app.with(|n, _| n.mirror.resolve_dependencies(spec, &past)) {
            Resolution::Accepted(after) => return Ok(after),
            Resolution::Never(why) => return Err(never(app, job, why.to_string()).await),
            Resolution::Unknown(need) => need,
        };
        if !caught_up {
            if !app.caught_up().await {
                return Err(Answer::later("the state service cannot be reached"));
            }
            caught_up = true;
            continue;
        }
        let Some(found) = app.find_in_history(unknown, LookupKind::Submission).await else {
            let why = "old jobs cannot be looked up now";
            return Err(Answer::later_in(why, LOOKUP_RETRY_S));
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
async fn never(app: &Arc<App>, job: u64, why: String) -> Answer {
    match lookup(app, job).await {
        Ok(Some(view)) => Answer::view(StatusCode::OK, &view),
        Ok(None) => Answer::error(StatusCode::UNPROCESSABLE_ENTITY, why),
        Err(answer) => answer,
    }
}

pub(super) async fn submit(app: &Arc<App>, body: &[u8]) -> Answer {
    if app.with(|n, now| n.refuses_submissions(now)) {
        return Answer::later("this controller is behind");
    }
    let submission = match read_submission(app, body).await {
        Ok(read) => read,
        Err(answer) => return answer,
    };
    let at = wall_ms() as u64;
    if let Some(told) = app.query(body, at).await
        && let Ok(status) = StatusCode::from_u16(told.status)
    {
        return Answer(status, told.body.into(), told.retry_after);
    }
    submit_here(app, submission, at).await
}

/// Writes a submission that another controller has passed on.
pub async fn answer_forwarded(app: &Arc<App>, query: &ForwardedSubmission) -> ForwardResponse {
    let answer = match read_submission(app, &query.body).await {
        Ok(submission) => submit_here(app, submission, query.at).await,
        Err(answer) => answer,
    };
    ForwardResponse {
        ticket: query.ticket,
        status: answer.0.as_u16(),
        retry_after: answer.2,
        body: String::from_utf8_lossy(&answer.1).into_owned(),
    }
}

async fn submit_here(app: &Arc<App>, submission: Submission, at: u64) -> Answer {
    let (mut spec, job, rules) = submission;
    let (verdict, fresh) = app.with(|n, now| {
        let verdict = admit(&mut spec, rules.as_ref(), at, &n.mirror, &n.config);
        (verdict, n.state_fresh(now))
    });
    if !fresh {
        return Answer::later("the state service cannot be reached");
    }
    match verdict {
        Ok(()) => {}
        Err(Reject::NotYet(why)) => return Answer::later(&why.to_string()),
        Err(Reject::Malformed(why)) => {
            return Answer::error(StatusCode::BAD_REQUEST, why.to_string());
        }
        Err(Reject::Never(why)) => return never(app, job, why.to_string()).await,
    }
    let id = spec.id.clone();
    let named = spec.clone();
    spec.waits_on.clear();
    let new = app.with(|n, _| n.mirror.new_job(spec, rules.map(Box::new), at));
    let Some(mut open) = new else {
        return Answer::error(StatusCode::UNPROCESSABLE_ENTITY, "owner: unknown team");
    };
    for _ in 0..TRIES {
        // It may be over, and only the history may know it.
        let Some(found) = app.find_in_history(job, LookupKind::Submission).await else {
            break;
        };
        if let Some(p) = found.past {
            return Answer::view(StatusCode::OK, &over(job, p.end, p.done));
        }
        if is_reserved(job) && app.with(|n, _| n.config.tuning.condor) {
            let why = format!("id: from {} on they are for submissions", job_id(FIRST_ID));
            return Answer::error(StatusCode::BAD_REQUEST, why);
        }
        open.dependencies = match resolve_dependencies(app, &named, job).await {
            Ok(after) => after,
            Err(answer) => return answer,
        };
        let status = if open.dependencies.cancelled_by.is_some() {
            JobStatus::Cancelled
        } else {
            JobStatus::Queued
        };
        match app.offer(job, open.clone(), found.moved).await {
            Verdict::Taken => {
                let body = serde_json::json!({ "id": id, "status": status });
                return Answer::of(StatusCode::CREATED, &body);
            }
            // Another controller may have taken it meanwhile.
            Verdict::Known => {
                return match lookup(app, job).await {
                    Ok(Some(view)) => Answer::view(StatusCode::OK, &view),
                    Ok(None) => break,
                    Err(answer) => answer,
                };
            }
            Verdict::Retry => {}
            Verdict::Busy(seconds) => {
                return Answer::later_in("too many submissions at once", seconds);
            }
            Verdict::Failed => break,
        }
    }
    Answer::later("the state service did not take the job")
}

pub(super) async fn poll(app: &Arc<App>, id: &str) -> Answer {
    let Some(job) = job_number(id) else {
        return Answer::error(StatusCode::NOT_FOUND, "no such job");
    };
    // Behind with reports: what would be too late is refused at once, but for
    // final states, which cost no more than a refusal.
    let (view, behind) = app.with(|n, now| (n.mirror.view(job), n.refuses_polls(now)));
    if behind && !view.as_ref().is_some_and(terminal) {
        return Answer::later_in("this controller is behind", BEHIND_RETRY_S);
    }
    match lookup(app, job).await {
        Ok(Some(view)) => Answer::view(StatusCode::OK, &view),
        Ok(None) => Answer::error(StatusCode::NOT_FOUND, "no such job"),
        Err(answer) => answer,
    }
}

pub(super) async fn cancel(app: &Arc<App>, id: &str) -> Answer {
    let Some(job) = job_number(id) else {
        return Answer::error(StatusCode::NOT_FOUND, "no such job");
    };
    for attempt in 0..TRIES {
        match lookup(app, job).await {
            Err(answer) => return answer,
            Ok(None) => return Answer::error(StatusCode::NOT_FOUND, "no such job"),
            Ok(Some(view)) if terminal(&view) => return Answer::view(StatusCode::OK, &view),
            Ok(Some(_)) => {}
        }
        let Some(commit) = app.with(|n, _| n.cancellation(job)) else {
            continue;
        };
        // Never refused for the read_interval: what runs for a cancelled job is in
        // everybody's way.
        app.with(|n, now| n.spend_user_write(now));
        match app.commit(&commit).await {
            Outcome::Applied(store_revision) => {
                app.with(|n, now| n.user_committed(&commit, store_revision, now))
            }
            // Malformed: it is divided as the limits now are.
            Outcome::Conflict(_) | Outcome::Malformed => {}
            Outcome::Refused => {
                tokio::time::sleep(Duration::from_millis(60 + 60 * attempt)).await;
            }
            Outcome::NoLease | Outcome::Unknown => break,
        }
    }
    Answer::later("the state service did not take the cancellation")
}
