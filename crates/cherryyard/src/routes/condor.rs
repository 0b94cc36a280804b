//! Submissions of many jobs: their chunks, their state, their removal, and which
//! machines a job could run on.

use super::response::ApiResponse;
use super::retry::{MAX_ATTEMPTS, pause_after_refusal};
use crate::app::{App, wall_ms};
use cherryyard_core::admit::{Malformed, Reject, admit};
use cherryyard_core::{Controller, Outcome};
use cherryyard_history::Leaf;
use cherryyard_wire::condor::{
    ChunkPost, END_ID, FIRST_ID, IdsRecord, MAX_JOBS, Phase, PhaseEvent, SubmissionList,
    SubmissionRecord, Template, check_name, chunk_key, submission_key, submission_number,
};
use cherryyard_wire::parse_object;
use cherryyard_wire::record::{IDS, Key};
use cherryyard_wire::rules::Rules;
use cherryyard_wire::state::{Apply, Commit, Json};
use salvo::http::StatusCode;
use std::sync::Arc;

/// Submissions that may be under way at once, and when to come back for others.
const MAX_UNDER_WAY: usize = 64;
const UNDER_WAY_RETRY_S: u32 = 20;
/// Submissions that a list names.
const MAX_LISTED: usize = 100;
/// Leaves of the history that are read to find a block of ids that none uses.
const MAX_READS: usize = 16;

/// A submission's state, with this status.
fn view(controller: &Controller, number: u64, status: StatusCode) -> ApiResponse {
    match controller.submission_view(number) {
        Some(view) => ApiResponse::of(status, &view),
        None => ApiResponse::error(StatusCode::NOT_FOUND, "no such submission"),
    }
}

/// What is to be done with a chunk that was received.
enum ChunkAction {
    /// Only this response is to be sent.
    Respond(ApiResponse),
    /// This is to be committed, and then answered with the submission's state.
    Commit(Commit, StatusCode),
    /// This is to be committed; whatever the outcome, this is the response.
    Drop(Commit, ApiResponse),
}

/// Checks that all of a chunk's jobs can run.
fn admit_chunk(controller: &Controller, post: &mut ChunkPost, at: u64) -> Result<(), Reject> {
    for i in 0..post.jobs.templates.len() {
        let uses = post.jobs.runs.iter().filter(|r| r.0 as usize == i);
        let task_count = uses.map(|r| r.1).max().unwrap_or(1);
        let Template { spec, rules } = &mut post.jobs.templates[i];
        spec.task_count = task_count;
        if !spec.waits_on.is_empty() {
            return Err(Reject::Malformed(Malformed::WaitsInSubmission).in_template(i));
        }
        let rules = rules.as_ref().filter(|r| !r.is_empty());
        admit(spec, rules, at, &controller.mirror, &controller.config)
            .map_err(|reject| reject.in_template(i))?;
    }
    Ok(())
}

/// The record that a chunk adds to; or the response, if it is not to be added.
fn record_of(
    controller: &Controller,
    post: &ChunkPost,
    at: u64,
) -> Result<SubmissionRecord, ApiResponse> {
    let number = submission_number(&post.name);
    let conflict = |why: String| Err(ApiResponse::error(StatusCode::CONFLICT, why));
    let known = controller.mirror.submissions.get(&number);
    let record = match known.map(|submission| submission.0.clone()) {
        Some(known) if known.name != post.name => {
            return conflict("name: another one has the same number; choose one anew".into());
        }
        Some(known) if known.phase == Phase::Dropped => {
            let why = "what was sent under this name is being dropped";
            return Err(ApiResponse::later(why));
        }
        Some(known) if known.phase != Phase::Receiving => {
            return Err(view(controller, number, StatusCode::OK));
        }
        Some(known) if known.of != post.of => {
            return conflict(format!("of: the chunks before said {}", known.of));
        }
        Some(known) if post.chunk < known.chunks => {
            return Err(view(controller, number, StatusCode::ACCEPTED));
        }
        Some(known) => known,
        None => new_record(controller, post, at)?,
    };
    if post.chunk != record.chunks {
        return conflict(format!("chunk: {} is the next one", record.chunks));
    }
    Ok(record)
}

/// The record of a new submission, unless too many are under way.
fn new_record(
    controller: &Controller,
    post: &ChunkPost,
    at: u64,
) -> Result<SubmissionRecord, ApiResponse> {
    let all = controller.mirror.submissions.values();
    let under_way = all.filter(|s| matches!(s.0.phase, Phase::Receiving | Phase::Creating));
    if under_way.count() >= MAX_UNDER_WAY {
        let why = "too many submissions are under way";
        return Err(ApiResponse::later_in(why, UNDER_WAY_RETRY_S));
    }
    Ok(SubmissionRecord {
        name: post.name.clone(),
        phase: Phase::Receiving,
        at,
        of: post.of,
        chunks: 0,
        jobs: 0,
        first: 0,
        chunk: (0, 0),
        next: 0,
        swept: 0,
    })
}

/// Refuses a chunk: none of its submission's jobs is queued.
fn refuse(controller: &Controller, before: &SubmissionRecord, answer: ApiResponse) -> ChunkAction {
    if before.chunks == 0 {
        return ChunkAction::Respond(answer);
    }
    let number = submission_number(&before.name);
    let mut dropped = before.clone();
    dropped.phase = dropped.phase.after(PhaseEvent::GivenUp);
    let mut commit = Commit::default();
    controller
        .mirror
        .require(&mut commit, Key::Submission(number));
    let key = submission_key(number);
    commit.apply.push(Apply::set(key, &dropped));
    ChunkAction::Drop(commit, answer)
}

/// Why a chunk cannot be added, if so; `jobs` is how many its submission has with it.
fn chunk_refusal(controller: &Controller, chunk: &Json, jobs: u64) -> Option<ApiResponse> {
    if chunk.text().len() > controller.config.value_bytes {
        let why = format!("larger than {} bytes", controller.config.value_bytes);
        return Some(ApiResponse::error(StatusCode::PAYLOAD_TOO_LARGE, why));
    }
    if jobs > MAX_JOBS {
        let why = format!("r: more than {MAX_JOBS} jobs");
        return Some(ApiResponse::bad_request(why));
    }
    None
}

/// Decides on a chunk that was received at the time of day `at`; `free` is a block of ids
/// for its submission, if it is the last one.
fn decide(
    controller: &Controller,
    post: &mut ChunkPost,
    at: u64,
    free: Option<(u64, u64)>,
) -> ChunkAction {
    let mut record = match record_of(controller, post, at) {
        Ok(record) => record,
        Err(answer) => return ChunkAction::Respond(answer),
    };
    match admit_chunk(controller, post, record.at) {
        Ok(()) => {}
        Err(Reject::NotYet(why)) => {
            return ChunkAction::Respond(ApiResponse::later(&why.to_string()));
        }
        Err(Reject::Malformed(why)) => {
            return refuse(controller, &record, ApiResponse::bad_request(why));
        }
        Err(Reject::Never(why)) => {
            let answer = ApiResponse::error(StatusCode::UNPROCESSABLE_ENTITY, why.to_string());
            return refuse(controller, &record, answer);
        }
    }
    let chunk = Json::of(&post.jobs);
    let jobs = record.jobs + post.jobs.jobs();
    if let Some(answer) = chunk_refusal(controller, &chunk, jobs) {
        return refuse(controller, &record, answer);
    }
    let number = submission_number(&post.name);
    let mut commit = Commit::default();
    controller
        .mirror
        .require(&mut commit, Key::Submission(number));
    commit
        .apply
        .push(Apply::put(chunk_key(number, record.chunks), chunk));
    record.jobs = jobs;
    record.chunks += 1;
    let mut status = StatusCode::ACCEPTED;
    if record.chunks == record.of {
        let Some(free) = free else {
            return ChunkAction::Respond(ApiResponse::later("no block of ids could be found"));
        };
        accept(controller, &mut record, free, &mut commit);
        status = StatusCode::CREATED;
    }
    commit
        .apply
        .push(Apply::set(submission_key(number), &record));
    ChunkAction::Commit(commit, status)
}

/// Accepts a submission whose chunks have all come: it gets the block of ids that begins
/// at `first`, free as of revision `moved` of the history's record.
fn accept(
    controller: &Controller,
    record: &mut SubmissionRecord,
    (first, moved): (u64, u64),
    commit: &mut Commit,
) {
    record.phase = record.phase.after(PhaseEvent::Accepted);
    record.first = first;
    record.chunk = (0, first);
    controller.mirror.require(commit, Key::Ids);
    let next = first + record.jobs;
    commit.apply.push(Apply::set(IDS, &IdsRecord { next }));
    if moved > 0 {
        // What no leaf named may have come into one since.
        commit.require(cherryyard_wire::record::PACKED, moved);
    }
}

/// A block of ids that no job has, and as of which revision of the history's record:
/// before submissions were turned on, users could choose any id.
async fn free_block(app: &Arc<App>, jobs: u64) -> Option<(u64, u64)> {
    let (mut first, moved, any) = app.with(|controller, _| {
        let next = controller.mirror.ids.next.max(FIRST_ID);
        (
            next,
            controller.mirror.packed_revision,
            controller.mirror.packed.any(),
        )
    });
    let mut reads = 0;
    'block: while first + jobs < END_ID {
        if app.with(|controller, _| controller.mirror.knows_any(first..first + jobs)) {
            first += jobs;
            continue;
        }
        for level in Controller::LOOKUP_ORDER.into_iter().filter(|_| any) {
            let mut from = first;
            while from < first + jobs {
                reads += 1;
                if reads > MAX_READS {
                    return None;
                }
                let read = app.clients.state.read_leaf(level, from).await.ok()?;
                let Some(stored) = read.leaf else { break };
                let last = stored.last_job;
                let leaf = Leaf::from_record(&stored.record).ok()?;
                let block = first..first + jobs;
                if leaf.jobs().iter().any(|p| block.contains(&p.job)) {
                    first = last + 1;
                    continue 'block;
                }
                from = last + 1;
            }
        }
        return Some((first, moved));
    }
    None
}

/// Receives a chunk.
pub(super) async fn receive(app: &Arc<App>, body: &[u8]) -> ApiResponse {
    if app.with(|controller, now| controller.refuses_submissions(now)) {
        return ApiResponse::later("this controller is behind");
    }
    let mut post = match ChunkPost::parse(body) {
        Ok(post) => post,
        Err(e) => return ApiResponse::bad_request(e),
    };
    let number = submission_number(&post.name);
    let at = wall_ms() as u64;
    let mut paid = false;
    for attempt in 0..MAX_ATTEMPTS {
        if !app.caught_up().await {
            return ApiResponse::later("the state service cannot be reached");
        }
        let free = free_block_for(app, &post).await;
        let action = app.with(|controller, _| decide(controller, &mut post, at, free));
        let (commit, status) = match action {
            ChunkAction::Respond(answer) => return answer,
            ChunkAction::Drop(commit, answer) => {
                // If this is lost, it is given up later, as no chunk follows.
                app.commit_for_user(&commit).await;
                return answer;
            }
            ChunkAction::Commit(commit, status) => (commit, status),
        };
        if !paid {
            if let Err(seconds) = app.with(|controller, now| controller.take_user_write(now)) {
                return ApiResponse::later_in("too many submissions at once", seconds);
            }
            // The chunk was one write; its submission's record is another.
            app.with(|controller, now| controller.spend_user_write(now));
            paid = true;
        }
        match app.commit_for_user(&commit).await {
            Outcome::Applied(_) => {
                return app.with(|controller, _| view(controller, number, status));
            }
            Outcome::Conflict(_) => {}
            Outcome::Refused => pause_after_refusal(attempt).await,
            Outcome::NoLease | Outcome::Unknown | Outcome::Malformed => break,
        }
    }
    ApiResponse::later("the state service did not take the chunk")
}

/// A block of ids for the submission whose last chunk this is.
async fn free_block_for(app: &Arc<App>, post: &ChunkPost) -> Option<(u64, u64)> {
    if post.chunk + 1 != post.of {
        return None;
    }
    let number = submission_number(&post.name);
    let before = app.with(|controller, _| {
        let known = controller.mirror.submissions.get(&number);
        known.map_or(0, |submission| submission.0.jobs)
    });
    free_block(app, before + post.jobs.jobs()).await
}

/// A submission's state.
pub(super) async fn state(app: &Arc<App>, name: &str) -> ApiResponse {
    if let Err(e) = check_name(name) {
        return ApiResponse::error(StatusCode::NOT_FOUND, e.to_string());
    }
    if !app.caught_up().await {
        return ApiResponse::later("the state service cannot be reached");
    }
    app.with(|controller, _| view(controller, submission_number(name), StatusCode::OK))
}

/// Lists submissions, the newest first.
pub(super) async fn list(app: &Arc<App>) -> ApiResponse {
    if !app.caught_up().await {
        return ApiResponse::later("the state service cannot be reached");
    }
    app.with(|controller, _| {
        let all = controller.mirror.submissions.iter();
        let mut all: Vec<(u64, u64)> = all.map(|(&k, (r, _))| (r.at, k)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let views = all.into_iter().take(MAX_LISTED);
        let list = SubmissionList {
            // Admission may lengthen a chunk: it pools and spells out.
            chunk_bytes: controller.config.value_bytes.saturating_sub(64),
            submissions: views
                .filter_map(|(_, k)| controller.submission_view(k))
                .collect(),
        };
        ApiResponse::of(StatusCode::OK, &list)
    })
}

/// Removes a submission: 200 once all of its jobs are over, 202 before.
pub(super) async fn remove(app: &Arc<App>, name: &str) -> ApiResponse {
    let number = submission_number(name);
    for attempt in 0..MAX_ATTEMPTS {
        if !app.caught_up().await {
            return ApiResponse::later("the state service cannot be reached");
        }
        let commit = match app.with(|controller, _| removal(controller, number)) {
            Ok(commit) => commit,
            Err(status) => return app.with(|controller, _| view(controller, number, status)),
        };
        // Like any cancellation never refused for the write budget.
        app.with(|controller, now| controller.spend_user_write(now));
        match app.commit_for_user(&commit).await {
            Outcome::Applied(_) => {
                return app.with(|controller, _| view(controller, number, StatusCode::ACCEPTED));
            }
            Outcome::Conflict(_) => {}
            Outcome::Refused => pause_after_refusal(attempt).await,
            Outcome::NoLease | Outcome::Unknown | Outcome::Malformed => break,
        }
    }
    ApiResponse::later("the state service did not take the removal")
}

/// The transaction that removes a submission; or the status of the response, if there is
/// nothing to be written.
fn removal(controller: &Controller, number: u64) -> Result<Commit, StatusCode> {
    let known = controller.mirror.submissions.get(&number);
    let mut record = known.map(|s| s.0.clone()).ok_or(StatusCode::OK)?;
    let after = record.phase.after(PhaseEvent::Removed);
    if after == record.phase {
        return Err(match after {
            Phase::Cancelling => StatusCode::ACCEPTED,
            Phase::Receiving
            | Phase::Creating
            | Phase::Created
            | Phase::Cancelled
            | Phase::Dropped => StatusCode::OK,
        });
    }
    record.phase = after;
    let mut commit = Commit::default();
    controller
        .mirror
        .require(&mut commit, Key::Submission(number));
    let key = submission_key(number);
    commit.apply.push(Apply::set(key, &record));
    Ok(commit)
}

/// Which machines a job could run on, and what others lack.
pub(super) fn explain(app: &Arc<App>, body: &[u8]) -> ApiResponse {
    let template = match parse_object::<Template>(body) {
        Ok(template) => template,
        Err(e) => return ApiResponse::bad_request(e),
    };
    if let Err(e) = template.spec.check() {
        return ApiResponse::bad_request(e);
    }
    let rules: Rules = template.rules.unwrap_or_default();
    let at = wall_ms() as u64;
    app.with(|controller, _| {
        if controller.mirror.catalog.machine_types.is_empty() {
            return ApiResponse::later("the machine types are not known yet");
        }
        let all = &controller.mirror.catalog.machine_types;
        match controller
            .mirror
            .catalog
            .matcher
            .explain(&template.spec, &rules, all, at)
        {
            Ok(explanation) => ApiResponse::of(StatusCode::OK, &explanation),
            Err(e) => ApiResponse::bad_request(e),
        }
    })
}
