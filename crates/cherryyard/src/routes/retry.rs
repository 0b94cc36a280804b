//! Retries of users' writes.

use std::time::Duration;

/// Attempts to write one user's request to the state service before the user gets a 503.
pub(super) const MAX_ATTEMPTS: u64 = 4;

/// Pauses after the state service refused an attempt. `attempt` counts from 0, and the pause
/// grows with each attempt.
pub(super) async fn pause_after_refusal(attempt: u64) {
    tokio::time::sleep(Duration::from_millis(60 + 60 * attempt)).await;
}
