//! Placement: the part of a scheduling cycle that assigns waiting tasks to machines, in the order
//! of service.

mod progress;

use super::cycle::Cycle;
use super::failure_attribution::JobFailures;
use super::fit::FitRequest;
use super::preempt::PreemptionRequest;
use super::preemptible::EvictionScope;
use super::search::{SearchBudget, UnmetNeeds};
use super::state::PendingCycle;
use super::zone_caps::ZoneCounts;
use crate::Millis;
use crate::admission::flows::Flow;
use crate::admission::queue::Queues;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::machine::{Machine, Task};
use crate::mirror::OpenJob;
use crate::needs::Resources;
use crate::pages::Assignment;
use cherryyard_wire::RangeSet;
use cherryyard_wire::job::Shape;
pub(super) use progress::{Candidate, Placement};
use std::collections::{BTreeSet, HashMap};

/// Maximum number of tasks that one scheduling cycle places.
const MAX_PLACED: usize = 300;
/// Number of a job's tasks without a suitable machine after which the rest of the job is skipped.
const MAX_UNPLACED: usize = 8;
/// Number of a job's tasks for which preemption is tried if no machine has capacity for any of
/// them.
const MAX_TASKS_TO_PREEMPT_FOR: usize = 4;

/// Next step after a job has been tried.
enum NextStep {
    /// Continue with the next job.
    NextJob,
    /// Continue with the next job, and try this one again at its regular place.
    RetryJob,
    /// Stop, because the cycle takes no more assignments.
    Stop,
}

impl Controller {
    /// Assigns waiting tasks of a shard to its machines.
    pub(crate) fn place(
        &mut self,
        shard_id: usize,
        now: Millis,
        cycle: &mut Cycle,
        pending: &mut PendingCycle,
    ) {
        self.requeue_changed(now);
        self.requeue_changed_by_time(shard_id, now);
        self.drop_old_reservations(shard_id, now);
        let shard = &mut self.shards[shard_id];
        if shard.queues.is_empty() {
            shard.handover_candidates.clear();
            return;
        }
        shard.queues.mark_inspected();
        self.requeue_late_share(shard_id, now);
        self.prioritize_oldest_jobs(shard_id, now);
        // The queues are taken out so that `self` can be borrowed meanwhile, and put back at the
        // end. Nothing in between uses those of the shard.
        let mut queues = std::mem::take(&mut self.shards[shard_id].queues);
        self.place_queued(shard_id, now, &mut queues, cycle, pending);
        self.shards[shard_id].queues = queues;
    }

    /// Drops expired preemptions, and reservations that have expired or whose task no longer waits.
    fn drop_old_reservations(&mut self, shard_id: usize, now: Millis) {
        let shard = &mut self.shards[shard_id];
        shard.preempted.retain(|_, stopped| stopped.until > now);
        let mirror = &self.mirror;
        shard.reserved.retain(|_, reservation| {
            let (job, number) = reservation.for_task;
            let waiting = mirror.waiting(shard_id, job);
            reservation.until > now && waiting.is_some_and(|waiting| waiting.contains(number))
        });
    }

    fn place_queued(
        &mut self,
        shard_id: usize,
        now: Millis,
        queues: &mut Queues,
        cycle: &mut Cycle,
        pending: &mut PendingCycle,
    ) {
        let mut placement = self.begin_placement(shard_id, cycle, now);
        let mut service_order = queues.service_order();
        for &flow in placement.ahead_cores.keys() {
            service_order.set_ahead(flow, true);
        }
        while let Some((flow, place)) = service_order.next_job() {
            self.inspected_jobs += 1;
            // The job counts as stuck until one of its tasks is placed.
            if placement.search_budget.count_inspected(flow, place) {
                service_order.close_flow(flow);
            }
            let Some(needs) = self.needs_of_waiting_job(shard_id, place.job) else {
                continue;
            };
            if placement.is_beyond_allowance(flow, &needs) {
                // The allowance is too small for a task of this job, so the rest of the flow goes
                // on at its regular place.
                service_order.set_ahead(flow, false);
                service_order.put_back(flow, place);
                continue;
            }
            let Some(candidate) = self.candidate(&placement, flow, place.job, queues, cycle) else {
                continue;
            };
            if !self.may_start(&mut placement, &candidate, queues) {
                continue;
            }
            match self.place_job(&mut placement, &candidate, queues, cycle, pending) {
                NextStep::NextJob => {}
                NextStep::RetryJob => {
                    service_order.set_ahead(flow, false);
                    service_order.put_back(flow, place);
                }
                NextStep::Stop => break,
            }
        }
        self.end_placement(placement, queues);
    }

    fn begin_placement(&self, shard_id: usize, cycle: &Cycle, now: Millis) -> Placement {
        let allowances = self.allowances(shard_id, &cycle.withdrawn, now);
        let mut ahead_cores = allowances.start;
        ahead_cores.retain(|_, cores| *cores > 0.0);
        Placement {
            shard_id,
            now,
            capacities: self.free_capacities(shard_id, cycle, now),
            used: self.usage_after(shard_id, cycle),
            preemption: self.begin_preemption(shard_id, allowances.stop),
            unmet_needs: UnmetNeeds::default(),
            handed_over: BTreeSet::new(),
            placed: 0,
            ahead_cores,
            search_budget: SearchBudget::default(),
            started_cores: HashMap::new(),
            remainder_kept_for: HashMap::new(),
            last_tried: HashMap::new(),
        }
    }

    /// Returns the free capacity of a shard's usable machines, in the order of the machines.
    fn free_capacities(
        &self,
        shard_id: usize,
        cycle: &Cycle,
        now: Millis,
    ) -> Vec<(u32, Resources)> {
        let silence = self.silence_ms();
        let usable = |m: &&Machine| m.shard == shard_id && m.is_usable(now, silence);
        let free = |m: &Machine| Some((m.host, self.free_on(m, Some(cycle))?));
        let usable_machines = self.machines.values().filter(usable);
        usable_machines.filter_map(free).collect()
    }

    /// Returns what each team uses in a shard, without the tasks that the cycle withdraws, since
    /// their capacity counts as free under the team's limit too.
    fn usage_after(&self, shard_id: usize, cycle: &Cycle) -> Vec<Resources> {
        let mut used = self.mirror.usage(shard_id);
        for task in &cycle.withdrawn {
            if let Some((team, needs)) = self.mirror.task_resources(task.0)
                && let Some(used) = used.get_mut(team as usize)
            {
                used.subtract(&needs);
            }
        }
        used
    }

    /// Returns the capacity that a task of a job needs, or `None` if the job does not wait in the
    /// shard.
    fn needs_of_waiting_job(&self, shard_id: usize, job: u64) -> Option<Resources> {
        self.mirror.waiting(shard_id, job)?;
        self.mirror.open.get(&job).map(OpenJob::needs)
    }

    /// Returns a waiting job with its state for this cycle, or `None` if none of its tasks may be
    /// tried now.
    fn candidate(
        &self,
        placement: &Placement,
        flow: Flow,
        job: u64,
        queues: &Queues,
        cycle: &Cycle,
    ) -> Option<Candidate> {
        let shard_id = placement.shard_id;
        let open = self.mirror.open.get(&job)?;
        let mut waiting = self.mirror.waiting(shard_id, job)?.clone();
        let failures = self.shards[shard_id].job_failures.get(&job);
        if failures.is_some_and(|failures| failures.is_on_hold(placement.now)) {
            return None;
        }
        let is_quarantined = failures.is_some_and(JobFailures::is_quarantined);
        if is_quarantined && self.has_assigned_tasks(shard_id, job, cycle) {
            return None;
        }
        if let Some(&last) = placement.last_tried.get(&job) {
            waiting = waiting.difference(&RangeSet::from_range(0, last));
        }
        let team = open.team;
        let is_limited = self.config.teams[team as usize].limited();
        Some(Candidate {
            job,
            flow,
            team,
            limited_team: is_limited.then_some(team),
            needs: open.needs(),
            is_service: open.spec.shape == Shape::Service,
            waiting_since: queues.since(job),
            waiting,
            is_quarantined,
            failed_on: failures
                .filter(|failures| !failures.is_quarantined())
                .map(|failures| failures.hosts.clone()),
        })
    }

    /// Returns whether a job has assignments in a shard that the cycle does not withdraw. Tasks of
    /// a quarantined job are tried one at a time.
    fn has_assigned_tasks(&self, shard_id: usize, job: u64, cycle: &Cycle) -> bool {
        let job_tasks = self.mirror.tasks.assignments.get(&(shard_id, job));
        job_tasks.is_some_and(|job_tasks| job_tasks.assignments.len() > cycle.withdrawn_of(job))
    }

    /// Places the waiting tasks of a job as far as there is capacity.
    fn place_job(
        &mut self,
        placement: &mut Placement,
        candidate: &Candidate,
        queues: &Queues,
        cycle: &mut Cycle,
        pending: &mut PendingCycle,
    ) -> NextStep {
        let (shard_id, job, needs) = (placement.shard_id, candidate.job, &candidate.needs);
        let waiting = &candidate.waiting;
        let mut zones = self.zone_counts(shard_id, job, cycle);
        let mut unplaced = Vec::new();
        for number in waiting.iter() {
            if placement.placed >= MAX_PLACED {
                return NextStep::Stop;
            }
            if self.exceeds_grant(shard_id, candidate.team, &placement.used, needs) {
                return NextStep::NextJob;
            }
            if placement.unmet_needs.is_unmet(needs) {
                let rest = waiting.iter().filter(|n| *n >= number);
                unplaced.extend(rest.take(MAX_TASKS_TO_PREEMPT_FOR));
                break;
            }
            let reserved_host = self.reserved_host(shard_id, (job, number));
            let request = self.fit_request(placement, candidate, number, reserved_host, &zones);
            let Some(capacity) = self.best_fit(&request, &placement.capacities) else {
                unplaced.push(number);
                if placement.fits_nowhere(needs) || unplaced.len() >= MAX_UNPLACED {
                    let rest = waiting.iter().filter(|n| *n > number);
                    unplaced.extend(rest.take(MAX_TASKS_TO_PREEMPT_FOR - 1));
                    break;
                }
                continue;
            };
            let host = placement.capacities[capacity].0;
            if candidate.is_service
                && reserved_host.is_none()
                && self.prefer_elsewhere(placement, candidate, number, host, cycle)
            {
                continue;
            }
            self.log_zone_cap((job, number), host, &zones, cycle);
            zones.add(self.machines[&host].zone());
            if !self.assign(placement, candidate, number, capacity, cycle, pending) {
                return NextStep::Stop;
            }
            if placement.use_allowance(candidate.flow, needs.cores) {
                placement.last_tried.insert(job, number);
                return NextStep::RetryJob;
            }
            if candidate.is_quarantined {
                return NextStep::NextJob;
            }
        }
        self.free_capacity_for(placement, candidate, &unplaced, queues, &zones, cycle);
        NextStep::NextJob
    }

    /// Returns the machine that is reserved for a task because others were preempted there for it.
    fn reserved_host(&self, shard_id: usize, task: Task) -> Option<u32> {
        let mut reserved = self.shards[shard_id].reserved.iter();
        reserved
            .find(|(_, reservation)| reservation.for_task == task)
            .map(|(host, _)| *host)
    }

    /// Returns the search criteria for a task of a candidate.
    fn fit_request<'a>(
        &'a self,
        placement: &Placement,
        candidate: &'a Candidate,
        number: u32,
        reserved_host: Option<u32>,
        zones: &'a ZoneCounts,
    ) -> FitRequest<'a> {
        FitRequest {
            shard_id: placement.shard_id,
            task: (candidate.job, number),
            open: &self.mirror.open[&candidate.job],
            needs: candidate.needs,
            failed_on: candidate.failed_on.as_ref(),
            reserved_host,
            zones,
        }
    }

    /// Assigns a task to a machine; returns false if the scheduling cycle takes no more
    /// assignments.
    fn assign(
        &mut self,
        placement: &mut Placement,
        candidate: &Candidate,
        number: u32,
        capacity: usize,
        cycle: &mut Cycle,
        pending: &mut PendingCycle,
    ) -> bool {
        let (host, free) = &mut placement.capacities[capacity];
        let host = *host;
        let assignment = Assignment {
            host,
            incarnation: self.machines[&host].newest.0,
            attempt: self.newest_attempt(),
        };
        let task = (candidate.job, number);
        if !cycle.assign(&self.mirror, task, assignment, candidate.limited_team) {
            self.shards[placement.shard_id].needs_cycle = true;
            return false;
        }
        if candidate.is_service {
            self.log_service_placed(candidate, host, placement.now);
        }
        free.subtract(&candidate.needs);
        placement.used[candidate.team as usize].add(&candidate.needs);
        placement.placed += 1;
        placement.search_budget.note_placed(candidate.flow);
        let started = placement.started_cores.entry(candidate.flow);
        *started.or_insert(0.0) += candidate.needs.cores;
        pending.hosts.insert(host);
        true
    }

    fn log_service_placed(&self, candidate: &Candidate, host: u32, now: Millis) {
        let job = candidate.job;
        let open = &self.mirror.open[&job];
        let waited = candidate.waiting_since.map(|at| now - at);
        let age = now + self.wall_offset - open.submitted_at as f64;
        let fetch_s = self.fetch_s(open, host);
        tracing::debug!(job, host, fetch_s, ?waited, age, "service task placed");
    }

    /// Frees capacity for tasks that no machine could take: keeps a machine for the oldest job of
    /// its flow, and preempts less important tasks.
    fn free_capacity_for(
        &mut self,
        placement: &mut Placement,
        candidate: &Candidate,
        unplaced: &[u32],
        queues: &Queues,
        zones: &ZoneCounts,
        cycle: &Cycle,
    ) {
        let (shard_id, job, now) = (placement.shard_id, candidate.job, placement.now);
        let Some(&first) = unplaced.first() else {
            return;
        };
        if queues.oldest_job(candidate.flow) == Some(job) {
            self.keep_machine(shard_id, candidate.flow, (job, first), zones, now);
        }
        let open = &self.mirror.open[&job];
        if placement.preemption.is_possible_for(open) {
            let request = PreemptionRequest {
                shard_id,
                job,
                numbers: unplaced,
                scope: EvictionScope::AnyMachine,
            };
            self.preempt(&request, &mut placement.preemption, cycle, now);
        }
    }

    fn end_placement(&mut self, placement: Placement, queues: &mut Queues) {
        for (flow, cores) in placement.started_cores {
            queues.credit_started_cores(flow, cores);
        }
        for (flow, others, last) in placement.search_budget.closed_flows() {
            queues.save_cursor(flow, others, last);
        }
        let handed_over = placement.handed_over;
        let shard = &mut self.shards[placement.shard_id];
        if !handed_over.is_empty() && handed_over != shard.handover_candidates {
            self.effects.push(Effect::Heartbeat);
            self.leader.needs_cycle = true;
        }
        shard.handover_candidates = handed_over;
    }
}
