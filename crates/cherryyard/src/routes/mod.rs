//! The HTTP interface of users and workers.

mod answer;
mod condor;
mod jobs;

use crate::app::App;
use answer::{Answer, body};
use cherryyard_core::Reply;
use cherryyard_wire::parse_object;
use cherryyard_wire::settings::Limits;
use cherryyard_wire::worker::{Misdirected, WorkerHeartbeat};
pub use jobs::answer_forwarded;
use jobs::{cancel, poll, submit};
use salvo::conn::Acceptor;
use salvo::fuse::FuseConfig;
use salvo::http::StatusCode;
use salvo::prelude::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Submit(Arc<App>);
struct Poll(Arc<App>);
struct Cancel(Arc<App>);
struct Ready(Arc<App>);
struct Hello(Arc<App>);
struct History(Arc<App>);
struct Receive(Arc<App>);
struct Submissions(Arc<App>);
struct SubmissionState(Arc<App>);
struct Remove(Arc<App>);
struct Explain(Arc<App>);

#[async_trait]
impl Handler for Receive {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let answer = match body(&self.0, req).await {
            Ok(body) => condor::receive(&self.0, &body.text).await,
            Err(answer) => answer,
        };
        self.0.record_latency(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for Submissions {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        condor::list(&self.0).await.write(res);
    }
}

#[async_trait]
impl Handler for SubmissionState {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let name = req.param::<String>("name").unwrap_or_default();
        condor::state(&self.0, &name).await.write(res);
    }
}

#[async_trait]
impl Handler for Remove {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let name = req.param::<String>("name").unwrap_or_default();
        condor::remove(&self.0, &name).await.write(res);
    }
}

#[async_trait]
impl Handler for Explain {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let answer = match body(&self.0, req).await {
            Ok(body) => condor::explain(&self.0, &body.text),
            Err(answer) => answer,
        };
        answer.write(res);
    }
}

#[async_trait]
impl Handler for Submit {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let answer = match body(&self.0, req).await {
            Ok(body) => submit(&self.0, &body.text).await,
            Err(answer) => answer,
        };
        self.0.record_latency(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for Poll {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let id = req.param::<String>("id").unwrap_or_default();
        let answer = poll(&self.0, &id).await;
        self.0.record_latency(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for Cancel {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let since = Instant::now();
        let id = req.param::<String>("id").unwrap_or_default();
        let answer = cancel(&self.0, &id).await;
        self.0.record_latency(since);
        answer.write(res);
    }
}

#[async_trait]
impl Handler for Ready {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let ready = self.0.with(|controller, now| controller.ready(now));
        let answer = if ready {
            Answer::of(StatusCode::OK, &serde_json::json!({ "ready": true }))
        } else {
            Answer::later("not ready: the state service or the machine types are out of reach")
        };
        answer.write(res);
    }
}

#[async_trait]
impl Handler for History {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let counts = self.0.with(|controller, _| controller.history_counts());
        Answer::of(StatusCode::OK, &counts).write(res);
    }
}

#[async_trait]
impl Handler for Hello {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let answer = match body(&self.0, req).await {
            Err(answer) => answer,
            Ok(body) => match parse_object::<WorkerHeartbeat>(&body.text) {
                Err(e) => Answer::error(StatusCode::BAD_REQUEST, e.to_string()),
                Ok(report) => match self
                    .0
                    .with(|controller, now| controller.report(&report, now))
                {
                    Reply::Answer(a) => Answer::of(StatusCode::OK, &a),
                    Reply::Elsewhere(owner) => {
                        Answer::of(StatusCode::MISDIRECTED_REQUEST, &Misdirected { owner })
                    }
                    Reply::Unavailable => Answer::later("this part has no owner yet"),
                },
            },
        };
        answer.write(res);
    }
}

/// Most bytes of a head, or of a piece of a body, that a connection buffers: the
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

/// Serves until the process is killed.
pub async fn serve<A: Acceptor + Send + 'static>(acceptor: A, app: Arc<App>, limits: &Limits) {
    let (history, condor) = app.with(|controller, _| {
        (
            controller.config.tuning.history,
            controller.config.tuning.condor,
        )
    });
    let mut router = Router::new()
        .push(Router::with_path("ready").get(Ready(app.clone())))
        .push(Router::with_path("hello").post(Hello(app.clone())))
        .push(
            Router::with_path("v2/runs").post(Submit(app.clone())).push(
                Router::with_path("{id}")
                    .get(Poll(app.clone()))
                    .push(Router::with_path("cancel").post(Cancel(app.clone()))),
            ),
        );
    if history {
        router = router.push(Router::with_path("v2/history").get(History(app.clone())));
    }
    if condor {
        let one = Router::with_path("{name}")
            .get(SubmissionState(app.clone()))
            .push(Router::with_path("cancel").post(Remove(app.clone())));
        router = router.push(
            Router::with_path("v2/condor")
                .post(Receive(app.clone()))
                .get(Submissions(app.clone()))
                .push(Router::with_path("match").post(Explain(app)))
                .push(Router::with_path("submissions").push(one)),
        );
    }
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
