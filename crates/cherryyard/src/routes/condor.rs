//! Submissions of many jobs: their chunks, their state, their removal, and which
//! machines a job could run on.

use super::answer::Answer;
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
use std::time::Duration;

/// Tries of a write before the client is told to come back.
const TRIES: u64 = 4;
/// Submissions that may be under way at once, and when to come back for others.
const MOST_UNDER_WAY: usize = 64;
const UNDER_WAY_RETRY_S: u32 = 20;
/// Submissions that a list names.
const MOST_LISTED: usize = 100;
/// Leaves of the history that are read to find a block of ids that none uses.
const MOST_READS: usize = 16;

fn bad(why: impl Into<String>) -> Answer {
    Answer::error(StatusCode::BAD_REQUEST, why)
}

/// A submission's state, with this status.
fn view(controller: &Controller, number: u64, status: StatusCode) -> Answer {
    match controller.submission_view(number) {
        Some(view) => Answer::of(status, &view),
        None => Answer::error(StatusCode::NOT_FOUND, "no such submission"),
    }
}

/// What is to be done with a chunk.
enum Next {
    /// Nothing: the answer.
    UserAnswer(Answer),
    /// This is to be written, and then answered with the state.
    Write(Commit, StatusCode),
    /// This is to be written; whatever becomes of it, this is the answer.
    GiveUp(Commit, Answer),
}

/// Checks that all of a chunk's jobs can run.
fn admit_chunk(controller: &Controller, post: &mut ChunkPost, at: u64) -> Result<(), Reject> {
    for i in 0..post.jobs.t.len() {
        let uses = post.jobs.r.iter().filter(|r| r.0 as usize == i);
        let task_count = uses.map(|r| r.1).max().unwrap_or(1);
        let Template { spec, rules } = &mut post.jobs.t[i];
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

fn decide(
    controller: &Controller,
    post: &mut ChunkPost,
    at: u64,
    free: Option<(u64, u64)>,
) -> Next {
    let number = submission_number(&post.name);
    let known = controller
        .mirror
        .submissions
        .get(&number)
        .map(|s| s.0.clone());
    let conflict = |why: String| Next::UserAnswer(Answer::error(StatusCode::CONFLICT, why));
    let mut record = match known {
        Some(r) if r.name != post.name => {
            return conflict("name: another one has the same number; choose one anew".into());
        }
        Some(r) if r.phase == Phase::Dropped => {
            return Next::UserAnswer(Answer::later(
                "what was sent under this name is being dropped",
            ));
        }
        Some(r) if r.phase != Phase::Receiving => {
            return Next::UserAnswer(view(controller, number, StatusCode::OK));
        }
        Some(r) if r.of != post.of => {
            return conflict(format!("of: the chunks before said {}", r.of));
        }
        Some(r) if post.chunk < r.chunks => {
            return Next::UserAnswer(view(controller, number, StatusCode::ACCEPTED));
        }
        Some(r) => r,
        None => {
            let all = controller.mirror.submissions.values();
            let busy = |r: &SubmissionRecord| matches!(r.phase, Phase::Receiving | Phase::Creating);
            if all.filter(|s| busy(&s.0)).count() >= MOST_UNDER_WAY {
                let why = "too many submissions are under way";
                return Next::UserAnswer(Answer::later_in(why, UNDER_WAY_RETRY_S));
            }
            SubmissionRecord {
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
            }
        }
    };
    if post.chunk != record.chunks {
        return conflict(format!("chunk: {} is the next one", record.chunks));
    }
    let mut commit = Commit::default();
    controller
        .mirror
        .require(&mut commit, Key::Submission(number));
    let key = submission_key(number);
    let before = record.clone();
    let refuse = |answer: Answer| {
        if before.chunks == 0 {
            return Next::UserAnswer(answer);
        }
        // One of its jobs can never run: nothing of it is queued.
        let mut dropped = before.clone();
        dropped.phase = dropped.phase.after(PhaseEvent::GivenUp);
        let mut commit = Commit::default();
        controller
            .mirror
            .require(&mut commit, Key::Submission(number));
        commit.apply.push(Apply::set(key.clone(), &dropped));
        Next::GiveUp(commit, answer)
    };
    match admit_chunk(controller, post, record.at) {
        Ok(()) => {}
        Err(Reject::NotYet(why)) => return Next::UserAnswer(Answer::later(&why.to_string())),
        Err(Reject::Malformed(why)) => return refuse(bad(why.to_string())),
        Err(Reject::Never(why)) => {
            return refuse(Answer::error(
                StatusCode::UNPROCESSABLE_ENTITY,
                why.to_string(),
            ));
        }
    }
    let chunk = Json::of(&post.jobs);
    if chunk.text().len() > controller.config.value_bytes {
        let why = format!("larger than {} bytes", controller.config.value_bytes);
        return refuse(Answer::error(StatusCode::PAYLOAD_TOO_LARGE, why));
    }
    record.jobs += post.jobs.jobs();
    if record.jobs > MAX_JOBS {
        return refuse(bad(format!("r: more than {MAX_JOBS} jobs")));
    }
    commit
        .apply
        .push(Apply::put(chunk_key(number, record.chunks), chunk));
    record.chunks += 1;
    let mut status = StatusCode::ACCEPTED;
    if record.chunks == record.of {
        let Some((first, moved)) = free else {
            return Next::UserAnswer(Answer::later("no block of ids could be found"));
        };
        status = StatusCode::CREATED;
        record.phase = record.phase.after(PhaseEvent::Accepted);
        record.first = first;
        record.chunk = (0, first);
        controller.mirror.require(&mut commit, Key::Ids);
        let next = first + record.jobs;
        commit.apply.push(Apply::set(IDS, &IdsRecord { next }));
        if moved > 0 {
            // What no leaf named may have come into one since.
            commit.require(cherryyard_wire::record::PACKED, moved);
        }
    }
    commit.apply.push(Apply::set(key, &record));
    Next::Write(commit, status)
}

/// A block of ids that no job has, and as of which revision of the history's record:
/// before submissions were turned on, users could choose any id.
async fn free_block(app: &Arc<App>, jobs: u64) -> Option<(u64, u64)> {
    let (mut first, moved, any) = app.with(|n, _| {
        let next = n.mirror.ids.next.max(FIRST_ID);
        (next, n.mirror.packed_revision, n.mirror.packed.any())
    });
    let mut reads = 0;
    'block: while first + jobs < END_ID {
        if app.with(|n, _| n.mirror.knows_any(first..first + jobs)) {
            first += jobs;
            continue;
        }
        for level in Controller::LOOKUP_ORDER.into_iter().filter(|_| any) {
            let mut from = first;
            while from < first + jobs {
                reads += 1;
                if reads > MOST_READS {
                    return None;
                }
                let (_, leaf) = app.state.read_leaf(level, from).await.ok()?;
                let Some((last, _, record)) = leaf else { break };
                let leaf = Leaf::of_record(&record).ok()?;
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

/// Takes a chunk.
pub(super) async fn receive(app: &Arc<App>, body: &[u8]) -> Answer {
    if app.with(|n, now| n.refuses_submissions(now)) {
        return Answer::later("this controller is behind");
    }
    let mut post = match ChunkPost::parse(body) {
        Ok(post) => post,
        Err(e) => return bad(e),
    };
    let number = submission_number(&post.name);
    let at = wall_ms() as u64;
    let mut paid = false;
    for attempt in 0..TRIES {
        if !app.caught_up().await {
            return Answer::later("the state service cannot be reached");
        }
        let mut free = None;
        if post.chunk + 1 == post.of {
            let before = app.with(|n, _| n.mirror.submissions.get(&number).map_or(0, |s| s.0.jobs));
            free = free_block(app, before + post.jobs.jobs()).await;
        }
        let (commit, status) = match app.with(|n, _| decide(n, &mut post, at, free)) {
            Next::UserAnswer(answer) => return answer,
            Next::GiveUp(commit, answer) => {
                // If this is lost, it is given up later for its silence.
                let outcome = app.commit(&commit).await;
                if let Outcome::Applied(store_revision) = outcome {
                    app.with(|n, now| n.user_committed(&commit, store_revision, now));
                }
                return answer;
            }
            Next::Write(commit, status) => (commit, status),
        };
        if !paid && let Err(seconds) = app.with(|n, now| n.take_user_write(now)) {
            return Answer::later_in("too many submissions at once", seconds);
        }
        if !paid {
            // The chunk was one write; its submission's record is another.
            app.with(|n, now| n.spend_user_write(now));
            paid = true;
        }
        match app.commit(&commit).await {
            Outcome::Applied(store_revision) => {
                app.with(|n, now| n.user_committed(&commit, store_revision, now));
                return app.with(|n, _| view(n, number, status));
            }
            Outcome::Conflict(_) => {}
            Outcome::Refused => {
                tokio::time::sleep(Duration::from_millis(60 + 60 * attempt)).await;
            }
            Outcome::NoLease | Outcome::Unknown | Outcome::Malformed => break,
        }
    }
    Answer::later("the state service did not take the chunk")
}

/// Tells a submission's state.
pub(super) async fn state(app: &Arc<App>, name: &str) -> Answer {
    if let Err(e) = check_name(name) {
        return Answer::error(StatusCode::NOT_FOUND, e);
    }
    if !app.caught_up().await {
        return Answer::later("the state service cannot be reached");
    }
    app.with(|n, _| view(n, submission_number(name), StatusCode::OK))
}

/// Lists submissions, the newest first.
pub(super) async fn list(app: &Arc<App>) -> Answer {
    if !app.caught_up().await {
        return Answer::later("the state service cannot be reached");
    }
    app.with(|n, _| {
        let all = n.mirror.submissions.iter();
        let mut all: Vec<(u64, u64)> = all.map(|(&k, (r, _))| (r.at, k)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        let views = all.into_iter().take(MOST_LISTED);
        let list = SubmissionList {
            // Admission may lengthen a chunk: it pools and spells out.
            chunk_bytes: n.config.value_bytes.saturating_sub(64),
            submissions: views.filter_map(|(_, k)| n.submission_view(k)).collect(),
        };
        Answer::of(StatusCode::OK, &list)
    })
}

/// Removes a submission: 200 once all of its jobs are over, 202 before.
pub(super) async fn remove(app: &Arc<App>, name: &str) -> Answer {
    let number = submission_number(name);
    for attempt in 0..TRIES {
        if !app.caught_up().await {
            return Answer::later("the state service cannot be reached");
        }
        let step = app.with(|n, _| {
            let record = n.mirror.submissions.get(&number).map(|s| s.0.clone());
            let mut record = record.ok_or(StatusCode::OK)?;
            let after = record.phase.after(PhaseEvent::Removed);
            if after == record.phase {
                let under_way = after == Phase::Cancelling;
                return Err(if under_way {
                    StatusCode::ACCEPTED
                } else {
                    StatusCode::OK
                });
            }
            record.phase = after;
            let mut commit = Commit::default();
            n.mirror.require(&mut commit, Key::Submission(number));
            commit
                .apply
                .push(Apply::set(submission_key(number), &record));
            Ok(commit)
        });
        let commit = match step {
            Ok(commit) => commit,
            Err(status) => return app.with(|n, _| view(n, number, status)),
        };
        // Like any cancellation never refused for the read_interval.
        app.with(|n, now| n.spend_user_write(now));
        match app.commit(&commit).await {
            Outcome::Applied(store_revision) => {
                app.with(|n, now| n.user_committed(&commit, store_revision, now));
                return app.with(|n, _| view(n, number, StatusCode::ACCEPTED));
            }
            Outcome::Conflict(_) => {}
            Outcome::Refused => {
                tokio::time::sleep(Duration::from_millis(60 + 60 * attempt)).await;
            }
            Outcome::NoLease | Outcome::Unknown | Outcome::Malformed => break,
        }
    }
    Answer::later("the state service did not take the removal")
}

/// Tells which machines a job could run on, and what others lack.
pub(super) fn explain(app: &Arc<App>, body: &[u8]) -> Answer {
    let template = match parse_object::<Template>(body) {
        Ok(template) => template,
        Err(e) => return bad(e),
    };
    if let Err(e) = template.spec.check() {
        return bad(e);
    }
    let rules: Rules = template.rules.unwrap_or_default();
    let at = wall_ms() as u64;
    app.with(|n, _| {
        if n.mirror.catalog.machine_types.is_empty() {
            return Answer::later("the machine types are not known yet");
        }
        let all = &n.mirror.catalog.machine_types;
        match n
            .mirror
            .catalog
            .matcher
            .explain(&template.spec, &rules, all, at)
        {
            Ok(explanation) => Answer::of(StatusCode::OK, &explanation),
            Err(error) => bad(error.to_string()),
        }
    })
}
