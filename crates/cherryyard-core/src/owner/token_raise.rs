//! Renewal of a shard's lease under a higher token, so that ended attempts can be cleared.
//!
//! An attempt that was started directly stays on its worker, ended, until the worker has shown a
//! higher token than that of the start: only then is a late copy of the start refused.

use crate::Millis;
use crate::controller::Controller;
use crate::machine::MAX_DIRECT_STARTS;

/// Time under one token after which ended attempts make the owner renew the lease. Each renewal
/// costs a write, and a heartbeat of each worker.
const UNCLEARED_MS: f64 = 30_000.0;
/// Number of direct starts to one machine that makes the owner renew the lease as soon as it may.
const MANY_DIRECT_STARTS: usize = MAX_DIRECT_STARTS / 2;

impl Controller {
    /// Requests a renewal of the shard's lease under a higher token if attempts wait to be cleared,
    /// at most once in half a worker's lease: workers report a higher token no more often.
    pub(super) fn raise_token_if_due(&mut self, shard_id: usize, now: Millis) {
        let lease = &self.shards[shard_id].lease;
        let Some(token) = lease.held_token() else {
            return;
        };
        let token_age = now - lease.token_since();
        if token_age < self.config.lease_ms / 2.0
            || lease.wants_new_token()
            || !self.state_fresh(now)
        {
            return;
        }
        let is_old = token_age >= UNCLEARED_MS || self.shards[shard_id].is_held_up_by_clear;
        let mut machines = self.machines.values().filter(|m| m.shard == shard_id);
        let is_due = machines.any(|machine| {
            machine.direct_starts_under(token) >= MANY_DIRECT_STARTS
                || (is_old && machine.has_uncleared_under(token))
        });
        if is_due {
            self.shards[shard_id].lease.want_new_token();
        }
    }
}
