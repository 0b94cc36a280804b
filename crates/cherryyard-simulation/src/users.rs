//! Users of a cluster, who submit jobs, poll accepted jobs, and check at the end of a scenario
//! that the jobs were served.

use crate::worker::job_id_of;
use crate::{Fault, World};
use cherryyard_core::admission::intake::SubmissionOutcome;
use cherryyard_wire::job::{JobSpec, JobStatus, JobView, Shape, job_number};
use std::collections::{BTreeMap, BTreeSet};

mod capacity;
mod verdict;

/// Interval at which a job is polled.
const POLL_INTERVAL_MS: f64 = 5000.0;
/// Time after which a user repeats an unanswered submission, at the next controller.
const RESUBMIT_DELAY_MS: f64 = 5000.0;
/// Maximum number of controllers at which a poll is attempted.
const POLL_ATTEMPTS: usize = 3;

/// An accepted job and what its user has observed.
#[derive(Clone, Debug)]
struct Job {
    class: String,
    team: String,
    /// Cores of all tasks together.
    cores: f64,
    task_count: u32,
    is_service: bool,
    /// Time at which the job was accepted, or at which all its dependencies were complete if
    /// that is later.
    accepted_at: f64,
    polled_at: f64,
    answered_at: f64,
    /// Time at which one of the job's tasks was first seen on a machine.
    first_task_at: Option<f64>,
    is_done: bool,
    is_cancelled: bool,
    /// Tasks that have been seen running on a machine or have completed.
    started: BTreeSet<String>,
    /// Time since which no further task has started although there was capacity for one.
    waiting_since: Option<f64>,
    /// Periods in which a task waited too long although there was capacity for it.
    waits: Vec<Wait>,
}

/// A period in which a task waited although there was capacity for it.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: f64,
    until: f64,
}

/// A submitted job that has not yet been accepted.
#[derive(Clone, Debug)]
struct PendingSubmission {
    spec: JobSpec,
    controller: usize,
    ticket: u64,
    /// Time at which the user submits the job to the next controller.
    resubmit_at: f64,
}

/// The users of a cluster, and what they have observed of their jobs.
#[derive(Debug, Default)]
pub struct Users {
    jobs: BTreeMap<String, Job>,
    pending: Vec<PendingSubmission>,
    cancelled: BTreeSet<String>,
    next_controller: usize,
    /// Fault injection for tests of this checker: polls of this job are never answered.
    pub unanswered_job: Option<String>,
    /// Longest time between two answers to polls of a job, in milliseconds.
    pub longest_unanswered_ms: f64,
    /// Rule violations that the answers to polls have shown.
    pub violations: Vec<String>,
}

impl Users {
    /// Submits a job by writing it directly to the state service, so that it is accepted at
    /// once.
    pub fn submit(&mut self, world: &mut World, spec: &JobSpec) {
        world.submit(spec);
        self.record_accepted(world, spec);
    }

    /// Submits a job to controller `i`, and to the next one whenever a controller does not
    /// accept it or does not answer, until one of them accepts it.
    pub fn submit_via(&mut self, world: &mut World, i: usize, spec: &JobSpec) {
        let ticket = world.submit_to_core(i, spec, None);
        self.pending.push(PendingSubmission {
            spec: spec.clone(),
            controller: i,
            ticket,
            resubmit_at: world.now + RESUBMIT_DELAY_MS,
        });
    }

    fn resubmit_pending(&mut self, world: &mut World) {
        for pending in std::mem::take(&mut self.pending) {
            match world.submissions.verdicts.get(&pending.ticket) {
                Some(SubmissionOutcome::Stored | SubmissionOutcome::AlreadyKnown) => {
                    self.record_accepted(world, &pending.spec)
                }
                None if world.now < pending.resubmit_at => self.pending.push(pending),
                None
                | Some(
                    SubmissionOutcome::Retry
                    | SubmissionOutcome::Refused(_)
                    | SubmissionOutcome::Failed,
                ) => {
                    let next_controller = (pending.controller + 1) % world.controllers.len();
                    self.submit_via(world, next_controller, &pending.spec);
                }
            }
        }
    }

    fn record_accepted(&mut self, world: &World, spec: &JobSpec) {
        let job = Job {
            class: spec.job_class.clone(),
            team: spec.team.clone(),
            cores: spec.cores * f64::from(spec.task_count),
            task_count: spec.task_count,
            is_service: spec.shape == Shape::Service,
            accepted_at: world.now,
            polled_at: world.now,
            answered_at: world.now,
            first_task_at: None,
            is_done: false,
            is_cancelled: self.cancelled.contains(&spec.id),
            started: BTreeSet::new(),
            waiting_since: None,
            waits: Vec::new(),
        };
        self.jobs.entry(spec.id.clone()).or_insert(job);
    }

    /// Records the jobs that were accepted by requests of [`World::insist`], and which jobs may
    /// be cancelled.
    fn record_answers(&mut self, world: &mut World) {
        for spec in std::mem::take(&mut world.requests.accepted) {
            self.record_accepted(world, &spec);
        }
        for (id, job) in &mut self.jobs {
            job.is_cancelled |= world.may_be_cancelled(id);
            if !world.dependencies_complete(id) {
                // The job's waiting times are measured from the completion of its dependencies.
                job.accepted_at = world.now;
            }
        }
    }

    /// Cancels a job through controller `i`; the cancellation takes effect at once.
    pub fn cancel(&mut self, world: &mut World, i: usize, id: &str) {
        world.cancel(i, id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_cancelled = true;
        }
    }

    /// Requests a job's cancellation, first from controller `i`, until a controller confirms
    /// its outcome.
    pub fn cancel_until_confirmed(&mut self, world: &mut World, i: usize, id: &str) {
        world.cancel_until_confirmed(i, id);
        self.cancelled.insert(id.to_string());
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_cancelled = true;
        }
    }

    /// Advances the clock in steps of half a second; after each step resubmits pending jobs,
    /// polls, and records waiting tasks.
    pub fn run(&mut self, world: &mut World, seconds: f64) {
        for _ in 0..(seconds * 2.0).round() as usize {
            world.run(0.5);
            self.resubmit_pending(world);
            self.record_answers(world);
            self.poll_due(world);
            self.record_waits(world);
        }
    }

    /// Polls the jobs that are due, and records which jobs have a task on a machine.
    fn poll_due(&mut self, world: &mut World) {
        let on_machines: BTreeSet<String> = world
            .workers
            .values()
            .flat_map(|worker| worker.tasks.keys())
            .map(|task_name| job_id_of(task_name).to_string())
            .collect();
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.first_task_at.is_none() && on_machines.contains(&id) {
                job.first_task_at = Some(world.now);
            }
            if world.now - job.polled_at >= POLL_INTERVAL_MS {
                job.polled_at = world.now;
                self.poll(world, &id);
            }
        }
    }

    /// Polls a job at up to three controllers, until one answers.
    fn poll(&mut self, world: &mut World, id: &str) {
        self.next_controller += 1;
        if self.unanswered_job.as_deref() == Some(id) {
            return;
        }
        match (0..POLL_ATTEMPTS).find_map(|k| poll_at(world, self.next_controller + k, id)) {
            Some(Some(view)) => self.record_view(world, id, &view),
            Some(None) => self
                .violations
                .push(format!("{id} was accepted and is unknown")),
            None => {}
        }
    }

    /// Checks the answer to a poll against the job's completed tasks and earlier answers, and
    /// records it.
    fn record_view(&mut self, world: &World, id: &str, view: &JobView) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        self.longest_unanswered_ms = self.longest_unanswered_ms.max(world.now - job.answered_at);
        job.answered_at = world.now;
        let is_done = view.status == JobStatus::Done;
        let is_complete =
            (0..job.task_count).all(|n| world.checker.completed.contains(&format!("{id}/{n}")));
        if is_done && !is_complete {
            self.violations
                .push(format!("{id} is called done before it is"));
        }
        if job.is_done && !is_done {
            self.violations
                .push(format!("{id} was done and is not any more"));
        }
        job.is_done |= is_done;
    }

    /// Returns the longest time, of all jobs that were not cancelled, from a job's acceptance
    /// until one of its tasks was on a machine, in milliseconds. Jobs without such a task count
    /// until now.
    pub fn longest_wait(&self, world: &World) -> f64 {
        let open = self.jobs.values().filter(|job| !job.is_cancelled);
        let waits = open.map(|job| job.first_task_at.unwrap_or(world.now) - job.accepted_at);
        waits.fold(0.0, f64::max)
    }

    /// Ends all faults, lets 200 s pass in which the cluster can recover, and returns all rule
    /// violations: those found so far, jobs whose polls are not answered, tasks that waited
    /// although machines were free, and groups of jobs that were not served.
    pub fn recover_and_check(&mut self, world: &mut World) -> Vec<String> {
        Fault::finish_all(world);
        let faults_ended_at = world.now;
        for _ in 0..40 {
            self.run(world, 5.0);
            world.list_machines();
        }
        let mut violations = world.violations.clone();
        violations.extend(self.violations_since(world, faults_ended_at));
        violations
    }
}

/// Polls a job at the `k`-th of the controllers that can handle requests. Returns none if the
/// controller gives no answer, and `Some(None)` if the job is unknown to it.
fn poll_at(world: &mut World, k: usize, id: &str) -> Option<Option<JobView>> {
    let now = world.now;
    let available = |world: &World, i: usize| {
        let controller = world.controllers[i]
            .as_ref()
            .filter(|_| !world.processes.frozen.contains(&i));
        controller.is_some_and(|c| c.ready(now) && !c.refuses_polls(now))
    };
    let available: Vec<usize> = (0..world.controllers.len())
        .filter(|&i| available(world, i))
        .collect();
    let i = *available.get(k % available.len().max(1))?;
    if world.state_link.refused.contains(&i) {
        // Without the state service only final states are answered: they need no read barrier.
        let controller = world.controllers[i].as_ref()?;
        let view = controller.mirror.view(job_number(id)?)?;
        let is_final = matches!(view.status, JobStatus::Done | JobStatus::Cancelled);
        return is_final.then_some(Some(view));
    }
    Some(world.view_with_history(i, id))
}
