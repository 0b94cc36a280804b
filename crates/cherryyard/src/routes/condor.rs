//! Submissions of many jobs from HTCondor submit files: receipt of their chunks, queries of
//! their state, their removal, and an explanation of which machines a job could run on.

use super::response::ApiResponse;
use super::retry::{MAX_ATTEMPTS, pause_after_refusal};
use crate::app::{App, wall_ms};
use cherryyard_core::admit::{Malformed, Reject, admit};
use cherryyard_core::{Controller, Outcome};
use cherryyard_history::Leaf;
use cherryyard_wire::condor::{
    ChunkPost, END_OF_JOB_NUMBERS, FIRST_RESERVED_JOB, IdsRecord, MAX_JOBS, Phase, PhaseEvent,
    SubmissionList, SubmissionRecord, Template, check_name, chunk_key, submission_key,
    submission_number,
};
use cherryyard_wire::parse_object;
use cherryyard_wire::record::{IDS_KEY, Key};
use cherryyard_wire::rules::Rules;
use cherryyard_wire::state::{Change, Commit, Json};
use salvo::http::StatusCode;
use std::sync::Arc;

/// Most submissions that are being received or created at once.
const MAX_IN_PROGRESS: usize = 64;
/// `Retry-After` in seconds of a submission beyond that limit.
const IN_PROGRESS_RETRY_S: u32 = 20;
/// Most submissions that a list contains.
const MAX_LISTED: usize = 100;
/// Most leaves of the history that are read to find a free block of job ids.
const MAX_LEAF_READS: usize = 16;

/// Returns a response with a submission's state and the given status, or a 404.
fn submission_response(controller: &Controller, number: u64, status: StatusCode) -> ApiResponse {
    match controller.submission_view(number) {
        Some(view) => ApiResponse::json(status, &view),
        None => ApiResponse::error(StatusCode::NOT_FOUND, "no such submission"),
    }
}

/// Action to take for a received chunk.
enum ChunkAction {
    /// Send this response and write nothing.
    Respond(ApiResponse),
    /// Commit the transaction, then respond with the submission's state and this status.
    Commit(Commit, StatusCode),
    /// Commit the transaction, which drops the submission; send this response whatever the
    /// outcome.
    Drop(Commit, ApiResponse),
}

/// Checks that all jobs of a chunk can run. Each template is checked with the largest task
/// count among its jobs.
fn admit_chunk(controller: &Controller, post: &mut ChunkPost, at: u64) -> Result<(), Reject> {
    for i in 0..post.jobs.templates.len() {
        let runs = post.jobs.runs.iter().filter(|r| r.0 as usize == i);
        let task_count = runs.map(|r| r.1).max().unwrap_or(1);
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

/// Returns the submission's record to which a chunk is added, or the response to send if the
/// chunk must not be added.
fn record_for_chunk(
    controller: &Controller,
    post: &ChunkPost,
    at: u64,
) -> Result<SubmissionRecord, ApiResponse> {
    let number = submission_number(&post.name);
    let conflict = |reason: String| Err(ApiResponse::error(StatusCode::CONFLICT, reason));
    let known = controller.mirror.submissions.get(&number);
    let record = match known.map(|submission| submission.0.clone()) {
        Some(known) if known.name != post.name => {
            return conflict("name: another one has the same number; choose one anew".into());
        }
        Some(known) if known.phase == Phase::Dropped => {
            let reason = "what was sent under this name is being dropped";
            return Err(ApiResponse::retry_later(reason));
        }
        Some(known) if known.phase != Phase::Receiving => {
            return Err(submission_response(controller, number, StatusCode::OK));
        }
        Some(known) if known.chunk_count != post.of => {
            return conflict(format!("of: the chunks before said {}", known.chunk_count));
        }
        Some(known) if post.chunk < known.received_chunks => {
            return Err(submission_response(
                controller,
                number,
                StatusCode::ACCEPTED,
            ));
        }
        Some(known) => known,
        None => new_record(controller, post, at)?,
    };
    if post.chunk != record.received_chunks {
        return conflict(format!("chunk: {} is the next one", record.received_chunks));
    }
    Ok(record)
}

/// Returns the record of a new submission, or a refusal if too many are in progress.
fn new_record(
    controller: &Controller,
    post: &ChunkPost,
    at: u64,
) -> Result<SubmissionRecord, ApiResponse> {
    let all = controller.mirror.submissions.values();
    let in_progress = all.filter(|s| matches!(s.0.phase, Phase::Receiving | Phase::Creating));
    if in_progress.count() >= MAX_IN_PROGRESS {
        let reason = "too many submissions are under way";
        return Err(ApiResponse::retry_after(reason, IN_PROGRESS_RETRY_S));
    }
    Ok(SubmissionRecord {
        name: post.name.clone(),
        phase: Phase::Receiving,
        started_at_ms: at,
        chunk_count: post.of,
        received_chunks: 0,
        jobs: 0,
        first: 0,
        chunk: (0, 0),
        created_in_chunk: 0,
        deleted_chunks: 0,
    })
}

/// Refuses a chunk, and with it the whole submission, of which no job is queued then. Chunks
/// that were stored before are dropped.
fn refuse_submission(
    controller: &Controller,
    before: &SubmissionRecord,
    response: ApiResponse,
) -> ChunkAction {
    if before.received_chunks == 0 {
        return ChunkAction::Respond(response);
    }
    let number = submission_number(&before.name);
    let mut dropped = before.clone();
    dropped.phase = dropped.phase.after(PhaseEvent::Abandoned);
    let mut commit = Commit::default();
    controller
        .mirror
        .require(&mut commit, Key::Submission(number));
    let key = submission_key(number);
    commit.changes.push(Change::set(key, &dropped));
    ChunkAction::Drop(commit, response)
}

/// Returns the refusal of a chunk that is too large, or with which its submission has too many
/// jobs; `jobs` is the submission's number of jobs including the chunk's.
fn chunk_refusal(controller: &Controller, chunk: &Json, jobs: u64) -> Option<ApiResponse> {
    if chunk.text().len() > controller.config.value_bytes {
        let reason = format!("larger than {} bytes", controller.config.value_bytes);
        return Some(ApiResponse::error(StatusCode::PAYLOAD_TOO_LARGE, reason));
    }
    if jobs > MAX_JOBS {
        let reason = format!("r: more than {MAX_JOBS} jobs");
        return Some(ApiResponse::bad_request(reason));
    }
    None
}

/// Decides what to do with a chunk that was received at the wall-clock time `at`. If this is the
/// submission's last chunk, `free_ids` is the block of ids for its jobs, as returned by
/// [`free_block`].
fn decide(
    controller: &Controller,
    post: &mut ChunkPost,
    at: u64,
    free_ids: Option<(u64, u64)>,
) -> ChunkAction {
    let mut record = match record_for_chunk(controller, post, at) {
        Ok(record) => record,
        Err(response) => return ChunkAction::Respond(response),
    };
    match admit_chunk(controller, post, record.started_at_ms) {
        Ok(()) => {}
        Err(Reject::NotYet(reason)) => {
            return ChunkAction::Respond(ApiResponse::retry_later(&reason.to_string()));
        }
        Err(Reject::Malformed(reason)) => {
            return refuse_submission(controller, &record, ApiResponse::bad_request(reason));
        }
        Err(Reject::Never(reason)) => {
            let response = ApiResponse::error(StatusCode::UNPROCESSABLE_ENTITY, reason.to_string());
            return refuse_submission(controller, &record, response);
        }
    }
    let chunk = Json::of(&post.jobs);
    let jobs = record.jobs + post.jobs.jobs();
    if let Some(response) = chunk_refusal(controller, &chunk, jobs) {
        return refuse_submission(controller, &record, response);
    }
    let number = submission_number(&post.name);
    let mut commit = Commit::default();
    controller
        .mirror
        .require(&mut commit, Key::Submission(number));
    commit.changes.push(Change::put(
        chunk_key(number, record.received_chunks),
        chunk,
    ));
    record.jobs = jobs;
    record.received_chunks += 1;
    let mut status = StatusCode::ACCEPTED;
    if record.received_chunks == record.chunk_count {
        let Some(free_ids) = free_ids else {
            return ChunkAction::Respond(ApiResponse::retry_later(
                "no block of ids could be found",
            ));
        };
        accept_submission(controller, &mut record, free_ids, &mut commit);
        status = StatusCode::CREATED;
    }
    commit
        .changes
        .push(Change::set(submission_key(number), &record));
    ChunkAction::Commit(commit, status)
}

/// Accepts a submission whose chunks have all been received. Its jobs get the block of ids that
/// begins at `first`, which was free as of the history record's revision given second (0: there
/// is no history).
fn accept_submission(
    controller: &Controller,
    record: &mut SubmissionRecord,
    (first, history_revision): (u64, u64),
    commit: &mut Commit,
) {
    record.phase = record.phase.after(PhaseEvent::Accepted);
    record.first = first;
    record.chunk = (0, first);
    controller.mirror.require(commit, Key::Ids);
    let next = first + record.jobs;
    commit
        .changes
        .push(Change::set(IDS_KEY, &IdsRecord { next }));
    if history_revision > 0 {
        // The transaction fails if the history's record has changed since: jobs with ids of this
        // block may have been added to a leaf.
        commit.require(
            cherryyard_wire::record::HISTORY_PROGRESS_KEY,
            history_revision,
        );
    }
}

/// Finds a block of `jobs` ids that no job has; returns its first id, and the revision of the
/// history's record as of which the block was free. Jobs in this range of ids may exist because
/// users could choose any id before submit files were enabled.
async fn free_block(app: &Arc<App>, jobs: u64) -> Option<(u64, u64)> {
    let (mut first, history_revision, has_history) = app.with(|controller, _| {
        let next = controller.mirror.ids.next.max(FIRST_RESERVED_JOB);
        (
            next,
            controller.mirror.history_progress_revision,
            controller.mirror.history_progress.may_have_jobs(),
        )
    });
    let mut reads = 0;
    'block: while first + jobs < END_OF_JOB_NUMBERS {
        if app.with(|controller, _| controller.mirror.has_any_job(first..first + jobs)) {
            first += jobs;
            continue;
        }
        for level in Controller::LOOKUP_ORDER.into_iter().filter(|_| has_history) {
            let mut from = first;
            while from < first + jobs {
                reads += 1;
                if reads > MAX_LEAF_READS {
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
        return Some((first, history_revision));
    }
    None
}

/// Receives a chunk of a submission, and accepts the submission with its last chunk.
pub(super) async fn receive_chunk(app: &Arc<App>, body: &[u8]) -> ApiResponse {
    if app.with(|controller, now| controller.refuses_submissions(now)) {
        return ApiResponse::retry_later("this controller is behind");
    }
    let mut post = match ChunkPost::parse(body) {
        Ok(post) => post,
        Err(e) => return ApiResponse::bad_request(e),
    };
    let number = submission_number(&post.name);
    let at = wall_ms() as u64;
    let mut write_charged = false;
    for attempt in 0..MAX_ATTEMPTS {
        if !app.wait_until_caught_up().await {
            return ApiResponse::retry_later("the state service cannot be reached");
        }
        let free_ids = free_block_for(app, &post).await;
        let action = app.with(|controller, _| decide(controller, &mut post, at, free_ids));
        let (commit, status) = match action {
            ChunkAction::Respond(response) => return response,
            ChunkAction::Drop(commit, response) => {
                // If the commit fails, the submission is dropped later because no further chunk
                // arrives.
                app.commit_for_user(&commit).await;
                return response;
            }
            ChunkAction::Commit(commit, status) => (commit, status),
        };
        if !write_charged {
            if let Err(seconds) = app.with(|controller, now| controller.take_user_write(now)) {
                return ApiResponse::retry_after("too many submissions at once", seconds);
            }
            // The budget check above paid for the chunk's write; the submission's record is a
            // second write.
            app.with(|controller, now| controller.spend_user_write(now));
            write_charged = true;
        }
        match app.commit_for_user(&commit).await {
            Outcome::Applied(_) => {
                return app.with(|controller, _| submission_response(controller, number, status));
            }
            Outcome::Conflict(_) => {}
            Outcome::Refused => pause_after_refusal(attempt).await,
            Outcome::NoLease | Outcome::Unknown | Outcome::Malformed => break,
        }
    }
    ApiResponse::retry_later("the state service did not take the chunk")
}

/// Finds a block of ids for a submission if `post` is its last chunk.
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

/// Returns a submission's state.
pub(super) async fn submission_state(app: &Arc<App>, name: &str) -> ApiResponse {
    if let Err(e) = check_name(name) {
        return ApiResponse::error(StatusCode::NOT_FOUND, e.to_string());
    }
    if !app.wait_until_caught_up().await {
        return ApiResponse::retry_later("the state service cannot be reached");
    }
    app.with(|controller, _| {
        submission_response(controller, submission_number(name), StatusCode::OK)
    })
}

/// Lists the newest submissions, newest first.
pub(super) async fn list_submissions(app: &Arc<App>) -> ApiResponse {
    if !app.wait_until_caught_up().await {
        return ApiResponse::retry_later("the state service cannot be reached");
    }
    app.with(|controller, _| {
        let all = controller.mirror.submissions.iter();
        let mut all: Vec<(u64, u64)> = all.map(|(&k, (r, _))| (r.started_at_ms, k)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let views = all.into_iter().take(MAX_LISTED);
        let list = SubmissionList {
            // Leaves 64 bytes because a chunk must fit into a value of the state service as it is
            // after admission, which may be longer than the chunk that was sent: admission sets
            // the task count of each template, and numbers are written out (`1` as `1.0`).
            chunk_bytes: controller.config.value_bytes.saturating_sub(64),
            submissions: views
                .filter_map(|(_, number)| controller.submission_view(number))
                .collect(),
        };
        ApiResponse::json(StatusCode::OK, &list)
    })
}

/// Removes a submission; responds with 202 when the removal is recorded and while jobs are being
/// cancelled, and with 200 once all of its jobs are over or the submission is dropped.
pub(super) async fn remove_submission(app: &Arc<App>, name: &str) -> ApiResponse {
    let number = submission_number(name);
    for attempt in 0..MAX_ATTEMPTS {
        if !app.wait_until_caught_up().await {
            return ApiResponse::retry_later("the state service cannot be reached");
        }
        let commit = match app.with(|controller, _| removal_commit(controller, number)) {
            Ok(commit) => commit,
            Err(status) => {
                return app.with(|controller, _| submission_response(controller, number, status));
            }
        };
        // A cancellation is counted in the write budget but never refused because of it.
        app.with(|controller, now| controller.spend_user_write(now));
        match app.commit_for_user(&commit).await {
            Outcome::Applied(_) => {
                return app.with(|controller, _| {
                    submission_response(controller, number, StatusCode::ACCEPTED)
                });
            }
            Outcome::Conflict(_) => {}
            Outcome::Refused => pause_after_refusal(attempt).await,
            Outcome::NoLease | Outcome::Unknown | Outcome::Malformed => break,
        }
    }
    ApiResponse::retry_later("the state service did not take the removal")
}

/// Returns the transaction that removes a submission, or the status of the response if there is
/// nothing to write.
fn removal_commit(controller: &Controller, number: u64) -> Result<Commit, StatusCode> {
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
    commit.changes.push(Change::set(key, &record));
    Ok(commit)
}

/// Explains which machines a job could run on, and what the others lack.
pub(super) fn explain_match(app: &Arc<App>, body: &[u8]) -> ApiResponse {
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
            return ApiResponse::retry_later("the machine types are not known yet");
        }
        let all = &controller.mirror.catalog.machine_types;
        match controller
            .mirror
            .catalog
            .matcher
            .explain(&template.spec, &rules, all, at)
        {
            Ok(explanation) => ApiResponse::json(StatusCode::OK, &explanation),
            Err(e) => ApiResponse::bad_request(e),
        }
    })
}
