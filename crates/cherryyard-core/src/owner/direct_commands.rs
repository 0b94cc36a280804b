//! Direct commands: a machine's due commands are sent to its worker at once, without waiting for
//! its next heartbeat.

use super::reconciliation::CommandChannel;
use crate::Millis;
use crate::command_log::DueCommand;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::machine::Machine;
use crate::reachability::Reachability;
use cherryyard_wire::worker::CommandBatch;

/// Minimum time between two batches of direct commands to a machine.
const PUSH_INTERVAL_MS: f64 = 50.0;

impl Controller {
    /// Sends a machine its due commands directly, if there are any.
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
        let due = self.reconcile(host, now, CommandChannel::Direct);
        if due.is_empty() {
            return;
        }
        self.count_repeated_starts(host, &due);
        self.log_commands(host, token, CommandChannel::Direct, &due, now);
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let commands = due.into_iter().map(DueCommand::to_command).collect();
        let request = CommandBatch {
            fencing_token: token,
            incarnation: machine.newest.0,
            commands,
        };
        machine.pushing = true;
        machine.push_after = now + PUSH_INTERVAL_MS;
        machine.note_direct_starts(&request);
        let addr = machine.addr.clone();
        self.effects.push(Effect::Push {
            host,
            addr,
            request,
        });
    }

    /// Counts the starts among direct commands whose earlier start got no answer.
    fn count_repeated_starts(&mut self, host: u32, due: &[DueCommand]) {
        let Some(machine) = self.machines.get(&host) else {
            return;
        };
        let was_sent = |due: &&DueCommand| {
            let mut earlier = machine.direct_starts_of(due.task, due.attempt);
            earlier.next().is_some()
        };
        let starts = due.iter().filter(|due| due.is_start());
        let repeated = starts.filter(was_sent);
        self.command_counts.repeated_starts += repeated.count() as u64;
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
