//! Carries out the effects that the core returns.

use super::rejected_transactions::RejectedTransactions;
use super::{App, jittered};
use cherryyard_clients::cloud::CloudError;
use cherryyard_clients::http::RequestError;
use cherryyard_clients::state::{CommitOutcome, StateError};
use cherryyard_clients::worker;
use cherryyard_core::leader::ProvisionError;
use cherryyard_core::{Effect, Outcome, PushOutcome, Ticket};
use cherryyard_wire::cloud::ProvisionRequest;
use cherryyard_wire::history::Level;
use cherryyard_wire::state::Commit;
use cherryyard_wire::worker::CommandBatch;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

/// Pause before [`Outcome::Malformed`] is returned for a transaction that is not sent.
const MALFORMED_PAUSE: Duration = Duration::from_millis(250);
/// Pause after the cloud was unavailable, in milliseconds before jitter.
const CLOUD_PAUSE_MS: u64 = 2500;

impl App {
    /// Starts an effect; its outcome, if it has one, is reported to the core.
    pub(super) fn perform(self: &Arc<Self>, effect: Effect) {
        let app = self.clone();
        match effect {
            Effect::Refresh => self.barriers.request(),
            Effect::Heartbeat => self.heartbeat_requested.notify_one(),
            Effect::Answer(ticket, verdict) => self.pending.deliver_verdict(ticket, verdict),
            Effect::Commit(ticket, commit) => {
                tokio::spawn(async move { app.perform_commit(ticket, commit).await });
            }
            Effect::Push {
                host,
                addr,
                request,
            } => {
                tokio::spawn(async move { app.push_commands(host, &addr, request).await });
            }
            Effect::QueryStatus { host, addr } => {
                tokio::spawn(async move { app.query_status(host, &addr).await });
            }
            Effect::ReadLeaf(level, job) => {
                tokio::spawn(async move { app.read_leaf(level, job).await });
            }
            Effect::ReadChunk(number, chunk) => {
                tokio::spawn(async move { app.read_chunk(number, chunk).await });
            }
            Effect::Release(machines) => {
                tokio::spawn(async move { app.release(machines).await });
            }
            Effect::Provision(request) => {
                tokio::spawn(async move { app.provision(request).await });
            }
        }
    }

    async fn perform_commit(self: Arc<Self>, ticket: Ticket, commit: Commit) {
        let outcome = self.commit(&commit).await;
        self.with(|controller, now| {
            controller.handle_transaction_outcome(ticket, &commit, outcome, now)
        });
        if matches!(ticket, Ticket::AcquireShard(_)) && outcome == Outcome::NoLease {
            tracing::info!("state lease expired before a shard lease could be acquired under it");
        }
    }

    async fn push_commands(self: Arc<Self>, host: u32, addr: &str, request: CommandBatch) {
        let outcome = match worker::send(&self.clients.workers, addr, &request).await {
            Ok(heartbeat) => PushOutcome::Answered(Box::new(heartbeat)),
            Err(RequestError::NotSent) => PushOutcome::Unsent,
            Err(RequestError::NoAnswer | RequestError::ResponseTooLarge) => PushOutcome::Unknown,
        };
        self.with(|controller, now| controller.handle_push_outcome(host, &request, outcome, now));
    }

    async fn query_status(self: Arc<Self>, host: u32, addr: &str) {
        let answer = worker::query(&self.clients.workers, addr).await;
        if let Err(e) = &answer {
            tracing::debug!(addr, "no response to a status query: {e}");
        }
        let answer = answer.ok();
        self.with(|controller, now| controller.handle_status_answer(host, answer.as_ref(), now));
    }

    async fn read_leaf(self: Arc<Self>, level: Level, job: u64) {
        let read = self.clients.state.read_leaf(level, job).await;
        let leaf = read.map_err(|_| ()).map(|read| {
            let leaf = read.leaf;
            leaf.map(|leaf| (leaf.last_job, leaf.revision, leaf.record))
        });
        self.with(|controller, now| controller.leaf_read(leaf, now));
    }

    async fn read_chunk(self: Arc<Self>, number: u64, chunk: u32) {
        let read = self.clients.state.read_chunk(number, chunk).await;
        let read = read.map_err(|_| ());
        self.with(|controller, now| controller.chunk_read(number, chunk, read, now));
    }

    async fn release(self: Arc<Self>, machines: Vec<String>) {
        let released = self.clients.cloud.release(&machines).await.is_ok();
        self.with(|controller, now| controller.handle_release_answer(&machines, released, now));
    }

    async fn provision(self: Arc<Self>, request: ProvisionRequest) {
        let answer = match self.clients.cloud.provision(&request).await {
            Ok(machines) => Ok(machines),
            Err(CloudError::NoCapacity | CloudError::Malformed) => Err(ProvisionError::Refused),
            Err(CloudError::Unavailable) => {
                tokio::time::sleep(jittered(CLOUD_PAUSE_MS)).await;
                Err(ProvisionError::NoAnswer)
            }
        };
        self.with(|controller, now| controller.provisioned(&request, answer, now));
    }

    /// Sends a transaction, unless it exceeds the state service's limits or was rejected as
    /// malformed before.
    pub async fn commit(self: &Arc<Self>, commit: &Commit) -> Outcome {
        let limit_exceeded = self
            .with(|controller, _| controller.config.check_commit(commit))
            .err();
        if self.rejected_transactions().forbids(commit, limit_exceeded) {
            tokio::time::sleep(MALFORMED_PAUSE).await;
            return Outcome::Malformed;
        }
        let sent_at = self.now();
        let outcome = match self.clients.state.commit(commit).await {
            Ok(CommitOutcome::Applied(store_revision)) => Outcome::Applied(store_revision),
            Ok(CommitOutcome::Conflict(store_revision)) => Outcome::Conflict(store_revision),
            Ok(CommitOutcome::NoLease) => Outcome::NoLease,
            Err(StateError::NoAnswer | StateError::InvalidResponse) => return Outcome::Unknown,
            Err(StateError::Malformed) => {
                self.rejected_transactions().remember(commit);
                Outcome::Malformed
            }
            Err(StateError::Busy) => {
                self.with(|controller, now| controller.state_is_busy(now));
                return Outcome::Refused;
            }
            Err(StateError::Unavailable | StateError::Gone) => return Outcome::Refused,
        };
        self.with(|controller, now| controller.state_answered(sent_at, now));
        outcome
    }

    /// Sends a user's transaction, and reports the transaction to the core if it was applied.
    pub async fn commit_for_user(self: &Arc<Self>, commit: &Commit) -> Outcome {
        let outcome = self.commit(commit).await;
        if let Outcome::Applied(store_revision) = outcome {
            self.with(|controller, now| controller.user_committed(commit, store_revision, now));
        }
        outcome
    }

    fn rejected_transactions(&self) -> MutexGuard<'_, RejectedTransactions> {
        self.rejected.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
