//! Direct commands: a machine's due kills are sent to its worker at once, without waiting for its
//! next heartbeat. The network may deliver a copy of a direct command at any later time, also to a
//! worker that has restarted since, so none of them starts a task.

use super::heartbeat_request::heartbeat_request;
use super::reconciliation::CommandChannel;
use crate::Millis;
use crate::command_log::DueCommand;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::machine::Machine;
use crate::reachability::Reachability;
use cherryyard_wire::worker::{CommandBatch, WorkerCommand};

/// Minimum time between two batches of direct commands to a machine.
const PUSH_INTERVAL_MS: f64 = 50.0;

impl Controller {
    /// Sends a machine its due kills directly, if there are any, and otherwise a request for a
    /// heartbeat, if one is due.
    pub(crate) fn push(&mut self, host: u32, now: Millis) {
        let Some(machine) = self.machines.get(&host) else {
            return;
        };
        let Some(token) = self.shards[machine.shard].lease.held_token() else {
            return;
        };
        if machine.pushing
            || now < machine.push_after
            || now - machine.last_heard_at > self.silence_ms()
            || matches!(machine.reachability, Reachability::Unreachable(_))
        {
            return;
        }
        let commands = self.direct_commands(host, token, now);
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        if commands.is_empty() {
            return;
        }
        let request = CommandBatch {
            fencing_token: token,
            incarnation: machine.newest.0,
            commands,
        };
        machine.pushing = true;
        machine.push_after = now + PUSH_INTERVAL_MS;
        let addr = machine.addr.clone();
        self.effects.push(Effect::Push {
            host,
            addr,
            request,
        });
    }

    /// Returns the commands that are to be sent to a machine directly, and logs them.
    fn direct_commands(&mut self, host: u32, token: u64, now: Millis) -> Vec<WorkerCommand> {
        let due = self.reconcile(host, now, CommandChannel::Direct);
        if !due.is_empty() {
            self.log_commands(host, token, CommandChannel::Direct, &due, now);
            return due.into_iter().map(DueCommand::to_command).collect();
        }
        let machine = self.machines.get(&host);
        if !machine.is_some_and(|machine| self.needs_heartbeat(machine, token, now)) {
            return Vec::new();
        }
        self.log_heartbeat_request(host, token);
        vec![heartbeat_request()]
    }

    /// Sends direct commands to each machine of the shard that has commands due.
    pub(crate) fn push_due(&mut self, shard_id: usize, now: Millis) {
        let due = |m: &&Machine| m.shard == shard_id && !m.pushing && now >= m.push_after;
        let hosts: Vec<u32> = self.machines.values().filter(due).map(|m| m.host).collect();
        for host in hosts {
            self.push(host, now);
        }
    }
}
