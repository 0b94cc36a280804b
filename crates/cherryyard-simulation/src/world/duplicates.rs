//! Duplicated worker heartbeats, which may arrive long after newer ones.

use super::World;
use cherryyard_wire::record::LEADER_KEY;
use cherryyard_wire::worker::WorkerHeartbeat;
use std::collections::BTreeMap;

/// Copies of workers' heartbeats, and the times at which they are delivered.
#[derive(Debug, Default)]
pub struct HeartbeatDuplicates {
    /// Delay after which a copy of each heartbeat is delivered to the same controller and to
    /// the one after it; none: no such copies.
    pub delay_ms: Option<f64>,
    pending: Vec<Duplicate>,
    /// Whether a copy of each machine's next heartbeat is kept until the leader changes, and is
    /// then delivered to every controller.
    pub keep_for_next_leader: bool,
    /// Delay after the change of the leader until the kept heartbeats are delivered, so that
    /// the new leader can act before it receives them.
    pub next_leader_delay_ms: f64,
    next_leader_due: Option<f64>,
    kept_heartbeats: BTreeMap<String, WorkerHeartbeat>,
    /// Revision of the leadership record when the latest change of the leader was seen.
    last_leader_revision: Option<u64>,
}

#[derive(Debug)]
struct Duplicate {
    due: f64,
    controller: usize,
    heartbeat: WorkerHeartbeat,
}

impl HeartbeatDuplicates {
    /// Copies a heartbeat that a machine sends to `controller`, where `controllers` is the
    /// number of controllers.
    pub(super) fn copy(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        controller: usize,
        controllers: usize,
        now: f64,
    ) {
        if self.keep_for_next_leader {
            let kept = self.kept_heartbeats.entry(heartbeat.host.clone());
            kept.or_insert_with(|| heartbeat.clone());
        }
        if let Some(delay_ms) = self.delay_ms {
            for controller in [controller, (controller + 1) % controllers] {
                self.pending.push(Duplicate {
                    due: now + delay_ms,
                    controller,
                    heartbeat: heartbeat.clone(),
                });
            }
        }
    }

    fn take_due(&mut self, now: f64) -> Vec<Duplicate> {
        self.pending.extract_if(.., |d| d.due <= now).collect()
    }

    /// Returns the heartbeats that were kept for the next leader once their delivery is due
    /// after a change of the leader; else none.
    fn take_kept_heartbeats(
        &mut self,
        leader_revision: Option<u64>,
        now: f64,
    ) -> BTreeMap<String, WorkerHeartbeat> {
        if leader_revision.is_some() && leader_revision != self.last_leader_revision {
            self.last_leader_revision = leader_revision;
            self.next_leader_due = Some(now + self.next_leader_delay_ms);
        }
        if self.next_leader_due.is_none_or(|due| now < due) {
            return BTreeMap::new();
        }
        self.next_leader_due = None;
        std::mem::take(&mut self.kept_heartbeats)
    }
}

impl World {
    /// Delivers the heartbeats that were kept for the next leader to every controller, once
    /// they are due.
    pub(super) fn deliver_kept_heartbeats(&mut self) {
        let leader_revision = self.state.get(LEADER_KEY).map(|(_, revision)| revision);
        for (name, heartbeat) in self
            .duplicates
            .take_kept_heartbeats(leader_revision, self.now)
        {
            self.trace_line(format!("an old report of {name} comes to all"));
            for i in 0..self.controllers.len() {
                self.deliver_duplicate(i, &heartbeat);
            }
        }
    }

    /// Delivers the copies of heartbeats that are due.
    pub(super) fn deliver_duplicates(&mut self) {
        for duplicate in self.duplicates.take_due(self.now) {
            self.deliver_duplicate(duplicate.controller, &duplicate.heartbeat);
        }
    }

    /// Delivers a copy of a heartbeat to a controller. The time of sending is NaN, which equals
    /// no time at which a worker awaits a response, so that the response is dropped.
    fn deliver_duplicate(&mut self, controller: usize, heartbeat: &WorkerHeartbeat) {
        self.deliver_heartbeat(controller, heartbeat, f64::NAN);
    }
}
