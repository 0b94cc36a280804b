//! Figures of a controller that it logs periodically.

use super::App;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

/// Time between two log lines of the account of core-seconds.
const ACCOUNT_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two log lines of requests, look-ups and submissions.
const LATENCY_INTERVAL: Duration = Duration::from_secs(60);

impl App {
    /// Counts how long a user's request took.
    pub fn record_latency(&self, since: Instant) {
        let ms = since.elapsed().as_millis() as u64;
        let mut latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        latency.saturating_record(ms.max(1));
    }

    /// Logs every ten seconds what the cores of the shards owned here did.
    pub(crate) async fn log_account(self: Arc<Self>) {
        loop {
            tokio::time::sleep(ACCOUNT_INTERVAL).await;
            for (shard, cores) in self.with(|controller, _| controller.accounts()) {
                tracing::info!(shard, cores = %cores.to_json(), "account");
            }
        }
    }

    /// Logs what has become of submissions: the leader does so for all controllers.
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

    /// Logs every minute how long users' requests take, and what came of look-ups and
    /// submissions.
    pub(crate) async fn log_latency(self: Arc<Self>) {
        loop {
            tokio::time::sleep(LATENCY_INTERVAL).await;
            self.log_lookups();
            self.log_submissions();
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
