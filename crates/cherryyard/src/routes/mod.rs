//! The HTTP interface of users and workers.

mod body;
mod condor;
mod jobs;
mod response;
mod retry;

use crate::app::App;
use body::read_body;
use cherryyard_core::Reply;
use cherryyard_wire::parse_object;
use cherryyard_wire::settings::Limits;
use cherryyard_wire::worker::{Misdirected, WorkerHeartbeat};
pub use jobs::answer_forwarded;
use jobs::{cancel, poll, submit};
use response::ApiResponse;
use salvo::conn::Acceptor;
use salvo::fuse::FuseConfig;
use salvo::http::StatusCode;
use salvo::prelude::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

struct SubmitJob(Arc<App>);
struct PollJob(Arc<App>);
struct CancelJob(Arc<App>);
struct Readiness(Arc<App>);
struct ReceiveHeartbeat(Arc<App>);
struct HistoryCounts(Arc<App>);
struct ReceiveChunk(Arc<App>);
struct ListSubmissions(Arc<App>);
struct PollSubmission(Arc<App>);
struct RemoveSubmission(Arc<App>);
struct ExplainMatch(Arc<App>);

#[async_trait]
impl Handler for ReceiveChunk {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let answer = match read_body(&self.0, req).await {
            Ok(body) => condor::receive(&self.0, &body.text).await,
            Err(answer) => answer,
        };
        self.0.record_latency(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for ListSubmissions {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        condor::list(&self.0).await.write(res);
    }
}

#[async_trait]
impl Handler for PollSubmission {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let name = req.param::<String>("name").unwrap_or_default();
        condor::state(&self.0, &name).await.write(res);
    }
}

#[async_trait]
impl Handler for RemoveSubmission {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let name = req.param::<String>("name").unwrap_or_default();
        condor::remove(&self.0, &name).await.write(res);
    }
}

#[async_trait]
impl Handler for ExplainMatch {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let answer = match read_body(&self.0, req).await {
            Ok(body) => condor::explain(&self.0, &body.text),
            Err(answer) => answer,
        };
        answer.write(res);
    }
}

#[async_trait]
impl Handler for SubmitJob {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let answer = match read_body(&self.0, req).await {
            Ok(body) => submit(&self.0, &body.text).await,
            Err(answer) => answer,
        };
        self.0.record_latency(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for PollJob {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let id = req.param::<String>("id").unwrap_or_default();
        let answer = poll(&self.0, &id).await;
        self.0.record_latency(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for CancelJob {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let id = req.param::<String>("id").unwrap_or_default();
        let answer = cancel(&self.0, &id).await;
        self.0.record_latency(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for Readiness {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let ready = self.0.with(|controller, now| controller.ready(now));
        let answer = if ready {
            ApiResponse::of(StatusCode::OK, &serde_json::json!({ "ready": true }))
        } else {
            ApiResponse::later("not ready: the state service or the machine types are out of reach")
        };
        answer.write(res);
    }
}

#[async_trait]
impl Handler for HistoryCounts {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let counts = self.0.with(|controller, _| controller.history_counts());
        ApiResponse::of(StatusCode::OK, &counts).write(res);
    }
}

#[async_trait]
impl Handler for ReceiveHeartbeat {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let answer = match read_body(&self.0, req).await {
            Ok(body) => receive_heartbeat(&self.0, &body.text),
            Err(answer) => answer,
        };
        answer.write(res);
    }
}

fn receive_heartbeat(app: &Arc<App>, body: &[u8]) -> ApiResponse {
    let heartbeat = match parse_object::<WorkerHeartbeat>(body) {
        Ok(heartbeat) => heartbeat,
        Err(e) => return ApiResponse::bad_request(e),
    };
    match app.with(|controller, now| controller.handle_worker_heartbeat(&heartbeat, now)) {
        Reply::Answer(response) => ApiResponse::of(StatusCode::OK, &response),
        Reply::Elsewhere(owner) => {
            ApiResponse::of(StatusCode::MISDIRECTED_REQUEST, &Misdirected { owner })
        }
        Reply::Unavailable => ApiResponse::later("this part has no owner yet"),
    }
}

/// Most bytes of a head, or of a part of a body, that a connection buffers: the
/// least that hyper allows.
const CONNECTION_BUFFER: usize = 8 * 1024;
/// What a connection takes with its buffers, as measured with 1,125 of them. Again with
/// 1,500 and 4,200 idle ones, kept after three reports each of 600 bytes: 16.7 and 16.5
/// KB; of 4,000 bytes: 21 KB (release build on a developer's machine, growth of VmRSS).
const CONNECTION_BYTES: usize = 16 * 1024;

/// Connections that are served at once: a quarter of the sockets stays free for
/// what this controller connects to itself, and they take at most half of the
/// memory.
///
/// This is a budget, not a fixed limit, and has no floor: 4,096 connections take 67 MB,
/// more than a controller of 53 MB has and all but 5 MB of one of 72 MB. It needs 135 MB and
/// 5,462 sockets to serve so many at once. Further connections wait to be accepted until
/// others are closed.
fn most_connections(limits: &Limits) -> usize {
    (limits.sockets * 3 / 4).min(limits.memory_bytes() / 2 / CONNECTION_BYTES)
}

/// The routes of users and workers; those of the history and of submit files only where the
/// operators' settings turn them on.
fn router(app: &Arc<App>) -> Router {
    let (history, condor) = app.with(|controller, _| {
        let tuning = &controller.config.tuning;
        (tuning.history, tuning.condor)
    });
    let job = Router::with_path("{id}")
        .get(PollJob(app.clone()))
        .push(Router::with_path("cancel").post(CancelJob(app.clone())));
    let mut router = Router::new()
        .push(Router::with_path("ready").get(Readiness(app.clone())))
        .push(Router::with_path("hello").post(ReceiveHeartbeat(app.clone())))
        .push(
            Router::with_path("v2/runs")
                .post(SubmitJob(app.clone()))
                .push(job),
        );
    if history {
        router = router.push(Router::with_path("v2/history").get(HistoryCounts(app.clone())));
    }
    if condor {
        router = router.push(submit_file_router(app));
    }
    router
}

fn submit_file_router(app: &Arc<App>) -> Router {
    let submission = Router::with_path("{name}")
        .get(PollSubmission(app.clone()))
        .push(Router::with_path("cancel").post(RemoveSubmission(app.clone())));
    Router::with_path("v2/condor")
        .post(ReceiveChunk(app.clone()))
        .get(ListSubmissions(app.clone()))
        .push(Router::with_path("match").post(ExplainMatch(app.clone())))
        .push(Router::with_path("submissions").push(submission))
}

/// Serves until the process is killed.
pub async fn serve<A: Acceptor + Send + 'static>(acceptor: A, app: Arc<App>, limits: &Limits) {
    let router = router(&app);
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
