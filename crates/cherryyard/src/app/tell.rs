//! What a controller tells of itself in its log.

use super::App;
use std::sync::{Arc, PoisonError};
use std::time::{Duration, Instant};

impl App {
    /// Notes how long a user's request took.
    pub fn took(&self, since: Instant) {
        let ms = since.elapsed().as_millis() as u64;
        let mut latency = self.latency.lock().unwrap_or_else(PoisonError::into_inner);
        latency.saturating_record(ms.max(1));
    }

    /// Tells now and then what the cores of our shards did.
    pub(crate) async fn log_account(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_secs(10)).await;
            for (shard, cores) in self.with(|n, _| n.accounts()) {
                tracing::info!(shard, cores = %cores.to_json(), "account");
            }
        }
    }

    /// Tells what has become of submissions; one who hears all controllers is enough.
    fn log_submissions(self: &Arc<Self>) {
        let (leads, report) = self.with(|n, _| (n.leadership_token().is_some(), n.demand_report()));
        for (class, team, [offered, taken, refused]) in report {
            if leads {
                tracing::info!(class, team, offered, taken, refused, "submissions");
            }
        }
    }

    /// Tells now and then how long users' requests take.
    pub(crate) async fn log_latency(self: Arc<Self>) {
        loop {
            tokio::time::sleep(Duration::from_secs(60)).await;
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
