//! Execution of the effects that controllers request: each at once, in the order of the
//! requests.

use super::World;
use cherryyard_core::Effect;
use cherryyard_core::leader::ProvisionError;
use cherryyard_wire::cloud::ProvisionRequest;
use cherryyard_wire::condor::chunk_key;
use cherryyard_wire::history::Level;

/// Maximum number of rounds in which a controller's effects cause further ones at the same
/// time.
const MAX_EFFECT_ROUNDS: usize = 100;

impl World {
    /// Executes a controller's effects and those that follow from them, until there are none.
    pub(super) fn apply_effects(&mut self, i: usize) {
        for _ in 0..MAX_EFFECT_ROUNDS {
            let Some(controller) = &mut self.controllers[i] else {
                return;
            };
            let effects = controller.effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                self.apply_effect(i, effect);
            }
        }
    }

    fn apply_effect(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Commit(ticket, commit) => self.commit(i, ticket, &commit),
            Effect::Push {
                host,
                addr,
                request,
            } => self.push(i, host, &addr, request),
            Effect::QueryStatus { host, addr } => self.query_status(i, host, &addr),
            Effect::Release(machines) => self.release(i, &machines),
            Effect::Provision(request) => self.request_provision(i, request),
            Effect::ReadLeaf(level, job) => self.read_leaf(i, level, job),
            Effect::ReadChunk(number, chunk) => self.read_chunk(i, number, chunk),
            Effect::Answer(ticket, verdict) => {
                self.submissions.verdicts.insert(ticket, verdict);
            }
            Effect::Refresh | Effect::Heartbeat => {}
        }
    }

    /// Releases machines on a controller's request, unless the cloud is down.
    fn release(&mut self, i: usize, machines: &[String]) {
        let is_released = !self.cloud.down;
        if is_released {
            for name in machines {
                self.trace_line(format!("node-{i} releases {name}"));
                self.workers.remove(name);
                self.cloud.booting.remove(name);
            }
        } else {
            self.cloud.releases_failed += 1;
        }
        if let Some(controller) = &mut self.controllers[i] {
            controller.handle_release_answer(machines, is_released, self.now);
        }
    }

    fn request_provision(&mut self, i: usize, request: ProvisionRequest) {
        let machines = self.provision(&request).ok_or(ProvisionError::Refused);
        if self.cloud.lose_provision_responses {
            let incarnation = self.processes.incarnation(i);
            self.cloud.drop_response(i, incarnation, request, self.now);
        } else if let Some(controller) = &mut self.controllers[i] {
            controller.provisioned(&request, machines, self.now);
        }
    }

    fn read_leaf(&mut self, i: usize, level: Level, job: u64) {
        let leaf = if self.state_link.refused.contains(&i) {
            Err(())
        } else {
            Ok(self.state.leaf(level, job))
        };
        if let Some(controller) = &mut self.controllers[i] {
            controller.leaf_read(leaf, self.now);
        }
    }

    fn read_chunk(&mut self, i: usize, number: u64, chunk: u32) {
        let read = if self.state_link.refused.contains(&i) {
            Err(())
        } else {
            let stored = self.state.get(&chunk_key(number, chunk));
            Ok(stored.map(|(value, _)| value.read().expect("a chunk")))
        };
        if let Some(controller) = &mut self.controllers[i] {
            controller.chunk_read(number, chunk, read, self.now);
        }
    }
}
