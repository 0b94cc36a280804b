//! Metrics that a controller logs periodically.

use super::App;
use cherryyard_core::command_log::CommandCounts;
use cherryyard_core::mirror::DependencySteps;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

/// Time between two log lines of the core-seconds account.
const ACCOUNT_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two log lines of request latencies, look-ups and submissions.
const LATENCY_INTERVAL: Duration = Duration::from_secs(60);

impl App {
    /// Records the latency of a user's request that arrived at `since`.
    pub fn record_latency(&self, since: Instant) {
        let ms = since.elapsed().as_millis() as u64;
        let mut latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        latency.saturating_record(ms.max(1));
    }

    /// Logs every ten seconds how the cores of the shards owned by this controller were used.
    pub(crate) async fn log_account(self: Arc<Self>) {
        loop {
            tokio::time::sleep(ACCOUNT_INTERVAL).await;
            for (shard, cores) in self.with(|controller, _| controller.accounts()) {
                tracing::info!(shard, cores = %cores.to_json(), "account");
            }
        }
    }

    /// Logs the outcomes of submissions by class and team. Only the leader logs them, for all
    /// controllers.
    fn log_submissions(self: &Arc<Self>) {
        let (is_leader, report) = self.with(|controller, _| {
            (
                controller.leadership_token().is_some(),
                controller.demand_report(),
            )
        });
        for (class, team, [offered, taken, refused]) in report {
            if is_leader {
                tracing::info!(class, team, offered, taken, refused, "submissions");
            }
        }
    }

    /// Logs the steps of walks over dependencies of jobs since `previous`, if there were any, and
    /// the number of jobs whose priority or deadline has not been passed on yet. Returns the steps
    /// since the start of the process.
    fn log_dependencies(self: &Arc<Self>, previous: DependencySteps) -> DependencySteps {
        let (steps, urgency_backlog) = self.with(|controller, _| {
            let mirror = &controller.mirror;
            (mirror.dependency_steps(), mirror.urgency_backlog())
        });
        if steps != previous {
            tracing::info!(
                urgency = steps.urgency - previous.urgency,
                order = steps.order - previous.order,
                cancellation = steps.cancellation - previous.cancellation,
                readiness = steps.readiness - previous.readiness,
                urgency_backlog,
                "steps over dependencies of jobs"
            );
        }
        steps
    }

    /// Logs the commands to workers since `previous`, if there were any. Returns their numbers
    /// since the start of the process.
    fn log_command_counts(self: &Arc<Self>, previous: CommandCounts) -> CommandCounts {
        let counts = self.with(|controller, _| controller.command_counts());
        if counts != previous {
            tracing::info!(
                starts = counts.starts - previous.starts,
                repeated_starts = counts.repeated_starts - previous.repeated_starts,
                heartbeat_requests = counts.heartbeat_requests - previous.heartbeat_requests,
                stops = counts.kills - previous.kills,
                clears = counts.clears - previous.clears,
                refused = counts.refused - previous.refused,
                token_raises = counts.token_raises - previous.token_raises,
                unassigned_stops = counts.unassigned_kills - previous.unassigned_kills,
                worker_restarts = counts.worker_restarts - previous.worker_restarts,
                "commands to workers"
            );
        }
        counts
    }

    /// Logs the tasks that completed again since `previous`, if there were any. Returns their
    /// number since the start of the process.
    fn log_repeated_completions(self: &Arc<Self>, previous: u64) -> u64 {
        let repeated = self.with(|controller, _| controller.repeated_completions);
        if repeated != previous {
            let tasks = repeated - previous;
            tracing::info!(tasks, "tasks completed again");
        }
        repeated
    }

    /// Logs every minute the latencies of users' requests, the outcomes of look-ups and
    /// submissions, the work for dependencies of jobs, the commands to workers, and tasks that
    /// completed again.
    pub(crate) async fn log_latency(self: Arc<Self>) {
        let mut dependency_steps = DependencySteps::default();
        let mut command_counts = CommandCounts::default();
        let mut repeated_completions = 0;
        loop {
            tokio::time::sleep(LATENCY_INTERVAL).await;
            self.log_lookups();
            self.log_submissions();
            dependency_steps = self.log_dependencies(dependency_steps);
            command_counts = self.log_command_counts(command_counts);
            repeated_completions = self.log_repeated_completions(repeated_completions);
            let mut latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
            if !latency.is_empty() {
                tracing::info!(
                    requests = latency.len(),
                    p50_ms = latency.value_at_quantile(0.5),
                    p95_ms = latency.value_at_quantile(0.95),
                    max_ms = latency.max(),
                    "users' requests"
                );
                latency.reset();
            }
        }
    }
}
