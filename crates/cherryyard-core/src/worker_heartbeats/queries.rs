//! Status queries: direct requests to machines whose heartbeats do not show whether commands arrive
//! or whether the worker has restarted.

use super::MAX_QUERIES_IN_FLIGHT;
use crate::Millis;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::machine::Freshness;
use crate::reachability::{Reachability, ReachabilityEvent};
use cherryyard_wire::worker::WorkerHeartbeat;

/// Time beyond its lease during which a silent machine is still queried.
const QUERIED_AFTER_LEASE_MS: f64 = 15_000.0;

impl Controller {
    /// Sends status queries to the machines of a shard that are due one, within the limit of
    /// queries in flight.
    pub(crate) fn query_machines(&mut self, shard_id: usize, now: Millis) {
        let query_silence_limit_ms = self.config.lease_ms + QUERIED_AFTER_LEASE_MS;
        let pending = self.machines.values().filter(|m| m.query_pending).count();
        let mut queries_left = MAX_QUERIES_IN_FLIGHT.saturating_sub(pending);
        for machine in self.machines.values_mut() {
            if queries_left == 0 {
                return;
            }
            if machine.shard == shard_id && machine.query_due(query_silence_limit_ms, now) {
                queries_left -= 1;
                machine.query_pending = true;
                machine.last_query = (now, machine.newest);
                let (host, addr) = (machine.host, machine.addr.clone());
                self.effects.push(Effect::QueryStatus { host, addr });
            }
        }
    }

    /// Returns an attempt number higher than that of every earlier assignment: each of those was at
    /// most the revision of its own assignment, and that revision has been seen since.
    pub(crate) fn newest_attempt(&self) -> u64 {
        let known = self.mirror.store_revision;
        known.max(self.state_contact.newest_revision()) + 1
    }

    /// Handles the answer to a status query; `None` means that the query was not answered.
    pub fn handle_status_answer(
        &mut self,
        host: u32,
        answer: Option<&WorkerHeartbeat>,
        now: Millis,
    ) {
        self.advance_clock(now);
        self.misdirected.record_query_result(host, answer.is_some());
        let newest_attempt = self.newest_attempt();
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        machine.query_pending = false;
        let shard_id = machine.shard;
        let Some(own) = self.shards[shard_id].lease.tokens() else {
            return;
        };
        let Some(status) = answer else {
            let before = machine.reachability;
            machine.note_reachability(ReachabilityEvent::NoAnswer, now);
            let is_unreachable = matches!(machine.reachability, Reachability::Unreachable(_));
            if machine.reachability != before && is_unreachable {
                machine.abandon_up_to(newest_attempt);
            }
            self.shards[shard_id].machines_to_inspect.insert(host);
            return;
        };
        self.capacity_changed |= !machine.reachability.is_reachable();
        self.command_counts.worker_restarts += u64::from(machine.shows_restart(status));
        let freshness = machine.receive_status(status, own, newest_attempt, now);
        if machine.may_precede_restart(own.current) {
            // The worker's heartbeats are evaluated, and answered with starts, once they show a
            // higher token.
            self.shards[shard_id].lease.want_new_token();
        }
        if freshness != Freshness::Stale {
            self.handle_message_arrival(host, now);
        }
    }
}
