//! Workers' heartbeats that arrive more than once, also long after newer ones.

use super::World;
use cherryyard_wire::record::LEADER_KEY;
use cherryyard_wire::worker::WorkerHeartbeat;
use std::collections::BTreeMap;

/// Copies of workers' heartbeats, and when they arrive.
#[derive(Debug, Default)]
pub struct HeartbeatDuplicates {
    /// Copies of all heartbeats come once more, this late, to the same controller and the
    /// one after it.
    pub delay_ms: Option<f64>,
    pending: Vec<Duplicate>,
    /// A copy of each machine's next heartbeat is kept for the next leader: it comes to
    /// every controller as soon as the lead has changed hands.
    pub for_next_leader: bool,
    /// Or so much later, when the new leader has acted.
    pub next_leader_wait_ms: f64,
    next_leader_due: Option<f64>,
    kept: BTreeMap<String, WorkerHeartbeat>,
    /// The leadership record's revision when this was last looked at.
    last_leadership: Option<u64>,
}

#[derive(Debug)]
struct Duplicate {
    due: f64,
    controller: usize,
    heartbeat: WorkerHeartbeat,
}

impl HeartbeatDuplicates {
    /// Copies a heartbeat that a machine sends to one of so many controllers.
    pub(super) fn copy(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        controller: usize,
        controllers: usize,
        now: f64,
    ) {
        if self.for_next_leader {
            let kept = self.kept.entry(heartbeat.host.clone());
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

    /// The heartbeats that were kept for the next leader, if it is time for them.
    fn take_kept(
        &mut self,
        leadership: Option<u64>,
        now: f64,
    ) -> BTreeMap<String, WorkerHeartbeat> {
        if leadership.is_some() && leadership != self.last_leadership {
            self.last_leadership = leadership;
            self.next_leader_due = Some(now + self.next_leader_wait_ms);
        }
        if self.next_leader_due.is_none_or(|due| now < due) {
            return BTreeMap::new();
        }
        self.next_leader_due = None;
        std::mem::take(&mut self.kept)
    }
}

impl World {
    /// Copies of heartbeats that were kept for the next leader come to every controller.
    pub(super) fn deliver_heartbeats_kept_for_next_leader(&mut self) {
        let leadership = self.state.get(LEADER_KEY).map(|(_, revision)| revision);
        for (name, heartbeat) in self.duplicates.take_kept(leadership, self.now) {
            self.say(format!("an old report of {name} comes to all"));
            for i in 0..self.controllers.len() {
                self.deliver_duplicate(i, &heartbeat);
            }
        }
    }

    /// Copies of heartbeats whose time has come.
    pub(super) fn deliver_duplicates(&mut self) {
        for duplicate in self.duplicates.take_due(self.now) {
            self.deliver_duplicate(duplicate.controller, &duplicate.heartbeat);
        }
    }

    /// A copy of a heartbeat comes to a controller; no worker waits for the response.
    fn deliver_duplicate(&mut self, controller: usize, heartbeat: &WorkerHeartbeat) {
        self.deliver_heartbeat(controller, heartbeat, f64::NAN);
    }
}
