//! Retries of users' writes.

use std::time::Duration;

/// Attempts of one user's write before the user gets a 503.
pub(super) const MAX_ATTEMPTS: u64 = 4;

/// Waits after the state service refused an attempt, longer after each; they count from 0.
pub(super) async fn pause_after_refusal(attempt: u64) {
    tokio::time::sleep(Duration::from_millis(60 + 60 * attempt)).await;
}
