//! Commands: what brings a machine to what its assignments say.

use super::*;

impl Controller {
    /// The commands that bring a machine to what its assignments say.
    pub(crate) fn reconcile(&self, host: u32, now: Millis, in_answer: bool) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let Some(m) = self.machines.get(&host) else {
            return commands;
        };
        // A machine that is being returned is answered for as long as the cloud does not
        // release it: what is cancelled there must be stopped all the same.
        if !m.token_ours() || !matches!(m.state, MachineState::Ready | MachineState::Returning) {
            return commands;
        }
        let shard_id = m.shard;
        let fresh = self.state_fresh(now);
        let owned = self.owned(shard_id).is_some();
        for (&(job, number), reported) in &m.reported {
            let task = (job, number);
            let assignment = self
                .mirror
                .assignment_on(host, task)
                .filter(|k| k.incarnation == m.newest.0 && k.attempt == reported.attempt);
            let task_name = || task_name_of(job, number);
            if reported.ended() {
                // Cleared only once its end is durable, and only when no start
                // of it is on its way: it would start a second time.
                if in_answer
                    && assignment.is_none()
                    && !m.start_pending(task, reported.attempt)
                    && fresh
                    && owned
                {
                    commands.push(WorkerCommand::Clear {
                        task_name: task_name(),
                        attempt: reported.attempt,
                    });
                }
                continue;
            }
            // Others may know that it is cancelled before the state service tells us.
            let told = self.cancelled.is_announced(job);
            let open = self.mirror.open.get(&job).filter(|_| !told);
            match (assignment, open) {
                (Some(_), Some(open)) => {
                    let preempted = self.shards[shard_id]
                        .preempted
                        .get(&task)
                        .is_some_and(|x| x.attempt == reported.attempt && x.until > now);
                    let recalled = m.reclaim_at.is_some_and(|at| {
                        open.spec.snapshot_every_s > 0.0
                            && at - now
                                < open.spec.snapshot_cost_s * 1000.0 + self.config.report_ms * 2.5
                    });
                    let doomed =
                        fresh && owned && self.doomed(m, task, reported.attempt, open, now);
                    if (preempted || recalled || doomed) && reported.status != TaskStatus::Saving {
                        let saves = open.spec.snapshot_every_s > 0.0;
                        let grace_period_s = if saves {
                            open.spec.snapshot_cost_s + 1.0
                        } else {
                            0.0
                        };
                        commands.push(WorkerCommand::Kill {
                            task_name: task_name(),
                            attempt: reported.attempt,
                            grace_period_s,
                        });
                    }
                }
                // The job is over, or no assignment accounts for this attempt. While
                // cut off, a missing assignment may only mean an old mirror.
                (_, None) | (None, _) => {
                    if (fresh && owned) || told || self.mirror.end(job).is_some() {
                        commands.push(WorkerCommand::Kill {
                            task_name: task_name(),
                            attempt: reported.attempt,
                            grace_period_s: 0.0,
                        });
                    }
                }
            }
        }
        let ready = m.state == MachineState::Ready;
        if ready && fresh && owned && m.reclaim_at.is_none_or(|at| at - now > 60_000.0) {
            for (task, assignment) in self.mirror.on_host(host) {
                // Of what was given up no start is sent: only then a report without the
                // task proves that it is not there.
                if assignment.incarnation == m.newest.0
                    && !m.gave_up(assignment.incarnation, assignment.attempt)
                    && !m.reported.contains_key(&task)
                    && self.mirror.open.contains_key(&task.0)
                {
                    commands.push(WorkerCommand::Start {
                        task_name: task_name_of(task.0, task.1),
                        attempt: assignment.attempt,
                    });
                }
            }
        }
        commands.truncate(MAX_COMMANDS);
        commands
    }

    /// Sends a machine its due commands directly, if there are any.
    pub(crate) fn push(&mut self, host: u32, now: Millis) {
        let Some(m) = self.machines.get(&host) else {
            return;
        };
        let Some(token) = self.shards[m.shard].lease.held_token() else {
            return;
        };
        if m.pushing
            || now < m.push_after
            || now - m.last_heard_at > self.silence_ms()
            || matches!(m.reachability, Reachability::Unreachable(_))
        {
            return;
        }
        let commands = self.reconcile(host, now, false);
        if commands.is_empty() {
            return;
        }
        let Some(m) = self.machines.get_mut(&host) else {
            return;
        };
        m.pushing = true;
        m.push_after = now + 50.0;
        let incarnation = m.newest.0;
        for command in &commands {
            if let WorkerCommand::Start { task_name, attempt } = command
                && let Some(task) = parse_task_name(task_name)
            {
                m.pushed.push(PushedStart {
                    task,
                    attempt: *attempt,
                    incarnation,
                    token,
                    lost: false,
                });
            }
        }
        tracing::debug!(machine = %m.addr, ?commands, "direct commands");
        let request = CommandBatch {
            fencing_token: token,
            incarnation,
            commands,
        };
        self.effects.push(Effect::Push {
            host,
            addr: m.addr.clone(),
            request,
        });
    }

    /// Pushes to every machine of the shard that has due commands.
    pub(crate) fn push_due(&mut self, shard_id: usize, now: Millis) {
        let mut hosts: Vec<u32> = self
            .machines
            .values()
            .filter(|m| m.shard == shard_id && !m.pushing && now >= m.push_after)
            .map(|m| m.host)
            .collect();
        hosts.sort_unstable();
        for host in hosts {
            self.push(host, now);
        }
    }
}
