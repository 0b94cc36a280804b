//! HTTP interface for users and workers.

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
pub use jobs::answer_forwarded_submission;
use jobs::{cancel_job, poll_job, submit_job};
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
        let received_at = Instant::now();
        let response = match read_body(&self.0, req).await {
            Ok(body) => condor::receive_chunk(&self.0, &body.text).await,
            Err(response) => response,
        };
        self.0.record_latency(received_at);
        response.write(res);
    }
}

#[async_trait]
impl Handler for ListSubmissions {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        condor::list_submissions(&self.0).await.write(res);
    }
}

#[async_trait]
impl Handler for PollSubmission {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let name = req.param::<String>("name").unwrap_or_default();
        condor::submission_state(&self.0, &name).await.write(res);
    }
}

#[async_trait]
impl Handler for RemoveSubmission {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let name = req.param::<String>("name").unwrap_or_default();
        condor::remove_submission(&self.0, &name).await.write(res);
    }
}

#[async_trait]
impl Handler for ExplainMatch {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let response = match read_body(&self.0, req).await {
            Ok(body) => condor::explain_match(&self.0, &body.text),
            Err(response) => response,
        };
        response.write(res);
    }
}

#[async_trait]
impl Handler for SubmitJob {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let received_at = Instant::now();
        let response = match read_body(&self.0, req).await {
            Ok(body) => submit_job(&self.0, &body.text).await,
            Err(response) => response,
        };
        self.0.record_latency(received_at);
        response.write(res);
    }
}

#[async_trait]
impl Handler for PollJob {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let received_at = Instant::now();
        let id = req.param::<String>("id").unwrap_or_default();
        let response = poll_job(&self.0, &id).await;
        self.0.record_latency(received_at);
        response.write(res);
    }
}

#[async_trait]
impl Handler for CancelJob {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let received_at = Instant::now();
        let id = req.param::<String>("id").unwrap_or_default();
        let response = cancel_job(&self.0, &id).await;
        self.0.record_latency(received_at);
        response.write(res);
    }
}

#[async_trait]
impl Handler for Readiness {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let ready = self.0.with(|controller, now| controller.ready(now));
        let response = if ready {
            ApiResponse::json(StatusCode::OK, &serde_json::json!({ "ready": true }))
        } else {
            ApiResponse::retry_later(
                "not ready: the state service or the machine types are out of reach",
            )
        };
        response.write(res);
    }
}

#[async_trait]
impl Handler for HistoryCounts {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let counts = self.0.with(|controller, _| controller.history_counts());
        ApiResponse::json(StatusCode::OK, &counts).write(res);
    }
}

#[async_trait]
impl Handler for ReceiveHeartbeat {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let response = match read_body(&self.0, req).await {
            Ok(body) => receive_heartbeat(&self.0, &body.text),
            Err(response) => response,
        };
        response.write(res);
    }
}

/// Handles a worker's heartbeat and returns the response to it.
fn receive_heartbeat(app: &Arc<App>, body: &[u8]) -> ApiResponse {
    let heartbeat = match parse_object::<WorkerHeartbeat>(body) {
        Ok(heartbeat) => heartbeat,
        Err(e) => return ApiResponse::bad_request(e),
    };
    match app.with(|controller, now| controller.handle_worker_heartbeat(&heartbeat, now)) {
        Reply::Answer(response) => ApiResponse::json(StatusCode::OK, &response),
        Reply::Misdirected(owner) => {
            ApiResponse::json(StatusCode::MISDIRECTED_REQUEST, &Misdirected { owner })
        }
        Reply::Unavailable => ApiResponse::retry_later("this part has no owner yet"),
    }
}

/// Most bytes of a request head, or of a part of a body, that a connection buffers: the smallest
/// size that hyper allows.
const CONNECTION_BUFFER: usize = 8 * 1024;
/// Memory that a connection takes with its buffers, in bytes, with 1,125 connections. In a release
/// build VmRSS grows by 16.7 KB (with 1,500 connections) or 16.5 KB (with 4,200) for each
/// connection that is idle after three heartbeats of 600 bytes, and by 21 KB after three of 4,000
/// bytes.
const CONNECTION_BYTES: usize = 16 * 1024;

/// Returns how many connections are served at once. A quarter of the sockets stays free for
/// this controller's own outgoing connections, and the served connections take at most half of
/// the memory.
///
/// The result depends on the limits and has no lower bound: 4,096 connections take 67 MB, which
/// is more than the memory of a controller with 53 MB and all but 5 MB of one with 72 MB. To
/// serve 4,096 at once takes 135 MB and 5,462 sockets. Further connections wait to be accepted
/// until others are closed.
fn connection_limit(limits: &Limits) -> usize {
    (limits.sockets * 3 / 4).min(limits.memory_bytes() / 2 / CONNECTION_BYTES)
}

/// Returns the routes for users and workers. The routes of the history and of submit files exist
/// only if the operators' settings enable them.
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

/// Returns the routes for submissions from HTCondor submit files.
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

/// Serves requests until the process is killed.
pub async fn serve<A: Acceptor + Send + 'static>(acceptor: A, app: Arc<App>, limits: &Limits) {
    let router = router(&app);
    // Timeouts bound the cost of slow or idle clients.
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(Duration::from_secs(30))
        .with_connection_idle_timeout(Duration::from_secs(60))
        .with_request_body_timeout(Duration::from_secs(5))
        .with_write_stall_timeout(Duration::from_secs(10));
    let mut server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(connection_limit(limits));
    server.http1_mut().max_buf_size(CONNECTION_BUFFER);
    server.serve(router).await;
}
