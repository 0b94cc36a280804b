//! Workers' reports and direct commands, as a controller takes them.

use crate::Millis;
use crate::config::MAX_MACHINES;
use crate::controller::Controller;
use crate::effects::{Effect, PushOutcome, Reply};
use crate::machine::{Freshness, Machine, MachineState, PushedStart};
use crate::peers::{KNOWN_LEASES_MS, MISDIRECTED_REPORTS_MS};
use crate::reachability::{Reachability, ReachabilityEvent};
use cherryyard_wire::record::End;
use cherryyard_wire::worker::{
    CommandBatch, HeartbeatResponse, TaskStatus, WorkerCommand, WorkerHeartbeat, parse_task_name,
};

/// Questions to machines under way at once.
const MAX_QUERIES: usize = 16;
/// Longest name of a machine that is taken, in bytes.
const MAX_HOST_NAME: usize = 100;
/// How much longer than its lease a silent machine is still asked.
const LOST_MS: f64 = 15_000.0;

impl Controller {
    /// The token under which reports of shard `shard_id` are answered now, if any.
    fn answering(&self, shard_id: usize, now: Millis) -> Option<u64> {
        let token = self.shards[shard_id].lease.held_token()?;
        // Guards against a cancellation that this controller cannot see: the
        // workers' leases must end in time. If nobody can reach the state
        // service, nobody can take a cancellation either; what was taken before the
        // last of them lost it, those who took it have told.
        let bound = self.config.cut_off_bound_ms();
        let outage = || self.all_cut_off(now) && self.knows_cancellations();
        (self.state_contact.read_age(now) <= bound || outage()).then_some(token)
    }

    /// Who takes reports of shard `shard_id`, if it is someone else.
    fn owner_elsewhere(&self, shard_id: usize, now: Millis) -> Option<String> {
        let mut best = self.mirror.shards[shard_id]
            .as_ref()
            .map(|c| (c.revision, c.label.clone()));
        let peers = self.peers.iter();
        for peer in peers.filter(|peer| peer.received_within(KNOWN_LEASES_MS, now)) {
            for (shard, token, label) in &peer.heartbeat.leases {
                if *shard as usize == shard_id && best.as_ref().is_none_or(|b| b.0 < *token) {
                    best = Some((*token, label.clone()));
                }
            }
        }
        best.map(|b| b.1)
            .filter(|label| *label != self.config.labels[self.config.me])
    }

    /// Notes that a worker of another controller's shard reports here, and queries it if that
    /// tells more.
    fn note_misdirected_worker(&mut self, shard_id: usize, report: &WorkerHeartbeat, now: Millis) {
        if report.host.len() > MAX_HOST_NAME
            || !self
                .misdirected
                .can_track(shard_id, &report.host, &self.mirror.hosts)
        {
            return;
        }
        let owner = self.owner_elsewhere(shard_id, now);
        let owner = owner.and_then(|label| self.config.labels.iter().position(|l| *l == label));
        let owner_alive = owner.is_some_and(|owner| {
            self.peers
                .received_within(owner, MISDIRECTED_REPORTS_MS, now)
        });
        let host = self.mirror.hosts.intern(&report.host);
        if self.misdirected.reported(shard_id, host, owner_alive, now) {
            let addr = report.addr.clone();
            self.effects.push(Effect::QueryStatus { host, addr });
        }
    }

    /// Takes a worker's report.
    pub fn report(&mut self, report: &WorkerHeartbeat, now: Millis) -> Reply {
        match self.answer_report(report, now) {
            Reply::Answer(mut answer) => {
                self.stop_cancelled(report, &mut answer);
                Reply::Answer(answer)
            }
            other => other,
        }
    }

    /// An answer renews the lease of all that is on the machine, whatever its state and
    /// whichever token it shows: so it stops what is known to be over. An owner that has
    /// just claimed its shard answered, without commands, a machine that showed the token
    /// before, and ended; the cancelled task had a lease more.
    fn stop_cancelled(&self, report: &WorkerHeartbeat, answer: &mut HeartbeatResponse) {
        for reported in &report.tasks {
            let task = parse_task_name(&reported.task_name);
            let over = |job| {
                self.cancelled.is_announced(job) || self.mirror.end(job) == Some(End::Cancelled)
            };
            let stopped = answer.commands.iter().any(
                |o| matches!(o, WorkerCommand::Kill { task_name: stopped, attempt, .. } if *stopped == reported.task_name && *attempt == reported.attempt),
            );
            if reported.status != TaskStatus::Ended && !stopped && task.is_some_and(|t| over(t.0)) {
                answer.commands.push(WorkerCommand::Kill {
                    task_name: reported.task_name.clone(),
                    attempt: reported.attempt,
                    grace_period_s: 0.0,
                });
            }
        }
    }

    fn answer_report(&mut self, report: &WorkerHeartbeat, now: Millis) -> Reply {
        self.notice(now);
        let shard_id = self.config.shard_map.shard(&report.zone, &report.host);
        let Some(token) = self.answering(shard_id, now) else {
            self.note_misdirected_worker(shard_id, report, now);
            if self.may_extend_lease(shard_id, report, now) {
                tracing::debug!(host = %report.host, "vouch for a lease");
                return Reply::Answer(HeartbeatResponse {
                    fencing_token: report.fencing_token,
                    commands: Vec::new(),
                });
            }
            return match self.owner_elsewhere(shard_id, now) {
                Some(label) => Reply::Elsewhere(Some(label)),
                None => Reply::Unavailable,
            };
        };
        if report.fencing_token > token {
            // Somebody has a newer token; an answer of ours would be dropped
            // and only hold the worker here.
            self.effects.push(Effect::Refresh);
            return Reply::Elsewhere(self.owner_elsewhere(shard_id, now));
        }
        if self.machines.len() >= MAX_MACHINES || report.host.len() > MAX_HOST_NAME {
            return Reply::Unavailable;
        }
        let host = self.mirror.hosts.intern(&report.host);
        self.meet(host, shard_id, report, now);
        let Some(machine) = self.machines.get_mut(&host) else {
            return Reply::Unavailable;
        };
        if machine.state == MachineState::Gone {
            return Reply::Unavailable;
        }
        let blind = self.state_contact.read_age(now) > self.config.cut_off_bound_ms() / 2.0;
        let cancelled = |job: u64| {
            self.cancelled.is_announced(job) || self.mirror.end(job) == Some(End::Cancelled)
        };
        let arrives = |s: &PushedStart| {
            // Where the attempt is known it has no effect.
            let reported = machine.reported.get(&s.task);
            cancelled(s.task.0) && reported.is_none_or(|reported| reported.attempt != s.attempt)
        };
        if blind && machine.pushed.iter().any(arrives) {
            // A start of a cancelled job may yet arrive there, and while the state service
            // does not answer nobody can get the token that would stop it: its incarnation
            // has to end.
            return Reply::Unavailable;
        }
        if machine.anew {
            // It, or a copy of what it said in the life before: it is asked. Starts are
            // sent directly only, as a report without the task would not tell that one
            // in the answer to another has not arrived.
            (machine.answered_at, machine.last_heard_at) = (now, now);
            machine.old_in_a_row = machine.old_in_a_row.max(2);
            self.query_machines(shard_id, now);
            let mut commands = self.reconcile(host, now, true);
            commands.retain(|o| !matches!(o, WorkerCommand::Start { .. }));
            return Reply::Answer(HeartbeatResponse {
                fencing_token: token,
                commands,
            });
        }
        let before = (machine.state, machine.reachability.is_reachable());
        let heard = machine.hear(report, token, now);
        // The answer to an older report renews the lease, if at all, from when that was
        // sent, before the newest message: a late copy keeps no dead machine alive.
        machine.answered_at = match heard {
            Freshness::Old => machine.answered_at.max(machine.last_heard_at),
            Freshness::Same | Freshness::New => now,
        };
        // A new owner's machines are told of as they come, or the leader gives
        // the shard nothing until its next regular report.
        self.capacity_changed |= (machine.state, machine.reachability.is_reachable()) != before;
        if heard == Freshness::Old {
            return Reply::Answer(HeartbeatResponse {
                fencing_token: token,
                commands: Vec::new(),
            });
        }
        // The worker has one report under way at a time, so a newer one shows
        // that the last answer was executed or dropped.
        machine.check_offered(now);
        if heard == Freshness::New {
            self.after_message(host, now);
        }
        let commands = self.reconcile(host, now, true);
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.offered = commands
                .iter()
                .filter_map(|o| match o {
                    WorkerCommand::Start { task_name, attempt } => {
                        Some((parse_task_name(task_name)?, *attempt))
                    }
                    _ => None,
                })
                .collect();
        }
        Reply::Answer(HeartbeatResponse {
            fencing_token: token,
            commands,
        })
    }

    /// Takes how a direct command came out.
    pub fn pushed(&mut self, host: u32, request: &CommandBatch, outcome: PushOutcome, now: Millis) {
        self.notice(now);
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let shard_id = machine.shard;
        machine.pushing = false;
        let how = match &outcome {
            PushOutcome::Answered(report) => format!("answered in session {}", report.incarnation),
            PushOutcome::Unsent => "not sent".into(),
            PushOutcome::Unknown => "no answer".into(),
        };
        tracing::debug!(machine = %machine.addr, incarnation = request.incarnation, how, "direct commands came out");
        match outcome {
            PushOutcome::Answered(report) => {
                machine.settle_push(request, false);
                machine.reached(ReachabilityEvent::Reflected, now);
                let Some(token) = self.shards[shard_id].lease.held_token() else {
                    return;
                };
                if machine.hear(&report, token, now) != Freshness::Old {
                    self.after_message(host, now);
                }
                self.push(host, now);
            }
            PushOutcome::Unsent => {
                machine.settle_push(request, false);
                machine.reached(ReachabilityEvent::Missed, now);
                machine.push_after = now + 500.0;
            }
            PushOutcome::Unknown => {
                machine.settle_push(request, true);
                machine.reached(ReachabilityEvent::Missed, now);
                machine.push_after = now + 1000.0;
            }
        }
    }

    /// Asks machines directly whose reports leave something open.
    pub(crate) fn query_machines(&mut self, shard_id: usize, now: Millis) {
        let shard = |m: &&mut Machine| m.shard == shard_id;
        let lost_ms = self.config.lease_ms + LOST_MS;
        let mut left =
            MAX_QUERIES.saturating_sub(self.machines.values().filter(|m| m.query_pending).count());
        for m in self.machines.values_mut().filter(shard) {
            if left == 0 {
                return;
            }
            if m.query_due(lost_ms, now) {
                left -= 1;
                m.query_pending = true;
                m.queried = (now, m.newest);
                let (host, addr) = (m.host, m.addr.clone());
                self.effects.push(Effect::QueryStatus { host, addr });
            }
        }
    }

    /// Takes the answer to a direct question, or that there was none.
    pub fn queried(&mut self, host: u32, answer: Option<&WorkerHeartbeat>, now: Millis) {
        self.notice(now);
        let last = self
            .mirror
            .store_revision
            .max(self.state_contact.newest_revision())
            + 1;
        self.misdirected.queried(host, answer.is_some());
        let Some(m) = self.machines.get_mut(&host) else {
            return;
        };
        m.query_pending = false;
        let shard_id = m.shard;
        let Some(token) = self.shards[shard_id].lease.held_token() else {
            return;
        };
        let Some(report) = answer else {
            let before = m.reachability;
            m.reached(ReachabilityEvent::NoAnswer, now);
            if m.reachability != before && matches!(m.reachability, Reachability::Unreachable(_)) {
                m.given_up = (m.newest.0, last);
            }
            self.shards[shard_id].touched.insert(host);
            return;
        };
        self.capacity_changed |= !m.reachability.is_reachable();
        if m.answered(report, token, last, now) != Freshness::Old {
            self.after_message(host, now);
        }
    }
}
