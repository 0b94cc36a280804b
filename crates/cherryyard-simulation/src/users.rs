//! Users of a cluster: they submit, poll what was accepted, and judge at the end of a
//! scenario.

use crate::worker::job_of;
use crate::{Fault, World};
use cherryyard_core::admission::intake::Verdict;
use cherryyard_wire::job::{JobSpec, JobStatus, JobView, Shape, job_number};
use std::collections::{BTreeMap, BTreeSet};

mod capacity;
mod verdict;

/// Time between two polls of a job.
const POLL_MS: f64 = 5000.0;
/// After what time a user submits again, at the next controller.
const SUBMIT_AGAIN_MS: f64 = 5000.0;
/// Tries of a poll at different controllers.
const TRIES: usize = 3;

/// A job that was accepted.
#[derive(Clone, Debug)]
struct Job {
    class: String,
    team: String,
    /// Of all its tasks.
    cores: f64,
    task_count: u32,
    is_service: bool,
    /// When it was accepted, or all that it needs was complete.
    accepted_at: f64,
    polled_at: f64,
    answered_at: f64,
    /// When one of its tasks was first seen on a machine.
    begun_at: Option<f64>,
    is_done: bool,
    is_cancelled: bool,
    /// Its tasks that have been seen on a machine or completed.
    started: BTreeSet<String>,
    /// Since when no further task has started though there was room.
    waits_since: Option<f64>,
    /// Times for which that was too long.
    waits: Vec<Wait>,
}

/// A time for which a task waited though there was room.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: f64,
    until: f64,
}

/// A job that is yet to be taken.
#[derive(Clone, Debug)]
struct PendingSubmission {
    spec: JobSpec,
    controller: usize,
    ticket: u64,
    /// When its user asks the next controller.
    again_at: f64,
}

/// The users of a cluster.
#[derive(Debug, Default)]
pub struct Users {
    jobs: BTreeMap<String, Job>,
    pending: Vec<PendingSubmission>,
    cancelled: BTreeSet<String>,
    next: usize,
    /// A broken build for tests of this checker: never answers polls of this job.
    pub never_answers: Option<String>,
    /// Longest time that a job went without an answer, in milliseconds.
    pub longest: f64,
    /// Rules seen broken by what polls were answered.
    pub broken: Vec<String>,
}

impl Users {
    /// Submits a job, which is accepted.
    pub fn submit(&mut self, w: &mut World, spec: &JobSpec) {
        w.submit(spec);
        self.accepted(w, spec);
    }

    /// Asks controller `i` to take a job, and the next one if that does not answer, until
    /// one has taken it.
    pub fn ask(&mut self, w: &mut World, i: usize, spec: &JobSpec) {
        let ticket = w.offer(i, spec, None);
        self.pending.push(PendingSubmission {
            spec: spec.clone(),
            controller: i,
            ticket,
            again_at: w.now + SUBMIT_AGAIN_MS,
        });
    }

    fn submit_again(&mut self, w: &mut World) {
        for pending in std::mem::take(&mut self.pending) {
            match w.submissions.verdicts.get(&pending.ticket) {
                Some(Verdict::Taken | Verdict::Known) => self.accepted(w, &pending.spec),
                None if w.now < pending.again_at => self.pending.push(pending),
                None | Some(Verdict::Retry | Verdict::Busy(_) | Verdict::Failed) => {
                    let next = (pending.controller + 1) % w.controllers.len();
                    self.ask(w, next, &pending.spec);
                }
            }
        }
    }

    fn accepted(&mut self, w: &World, spec: &JobSpec) {
        let job = Job {
            class: spec.job_class.clone(),
            team: spec.team.clone(),
            cores: spec.cores * f64::from(spec.task_count),
            task_count: spec.task_count,
            is_service: spec.shape == Shape::Service,
            accepted_at: w.now,
            polled_at: w.now,
            answered_at: w.now,
            begun_at: None,
            is_done: false,
            is_cancelled: self.cancelled.contains(&spec.id),
            started: BTreeSet::new(),
            waits_since: None,
            waits: Vec::new(),
        };
        self.jobs.entry(spec.id.clone()).or_insert(job);
    }

    /// Notes what the users of `World::insist` have been told and have asked.
    fn note_answers(&mut self, w: &mut World) {
        for spec in std::mem::take(&mut w.requests.accepted) {
            self.accepted(w, &spec);
        }
        for (id, job) in &mut self.jobs {
            job.is_cancelled |= w.may_be_cancelled(id);
            if !w.needs_are_complete(id) {
                // Its times count from then on.
                job.accepted_at = w.now;
            }
        }
    }

    /// Cancels a job through controller `i`.
    pub fn cancel(&mut self, w: &mut World, i: usize, id: &str) {
        w.cancel(i, id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_cancelled = true;
        }
    }

    /// Asks for a job's cancellation, first controller `i`, until one has told.
    pub fn ask_cancel(&mut self, w: &mut World, i: usize, id: &str) {
        w.ask_cancel(i, id);
        self.cancelled.insert(id.to_string());
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_cancelled = true;
        }
    }

    /// Lets time pass in steps of half a second, and polls.
    pub fn run(&mut self, w: &mut World, seconds: f64) {
        for _ in 0..(seconds * 2.0).round() as usize {
            w.run(0.5);
            self.submit_again(w);
            self.note_answers(w);
            self.poll_all(w);
            self.note_waits(w);
        }
    }

    /// Polls the jobs whose time it is, and notes which have begun.
    fn poll_all(&mut self, w: &mut World) {
        let on_machines: BTreeSet<String> = w
            .workers
            .values()
            .flat_map(|worker| worker.tasks.keys())
            .map(|task_name| job_of(task_name).to_string())
            .collect();
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.begun_at.is_none() && on_machines.contains(&id) {
                job.begun_at = Some(w.now);
            }
            if w.now - job.polled_at >= POLL_MS {
                job.polled_at = w.now;
                self.poll(w, &id);
            }
        }
    }

    /// Polls a job at some controllers, until one answers.
    fn poll(&mut self, w: &mut World, id: &str) {
        self.next += 1;
        if self.never_answers.as_deref() == Some(id) {
            return;
        }
        match (0..TRIES).find_map(|k| poll_at(w, self.next + k, id)) {
            Some(Some(view)) => self.note_view(w, id, &view),
            Some(None) => self
                .broken
                .push(format!("{id} was accepted and is unknown")),
            None => {}
        }
    }

    /// Judges and notes what a poll was answered.
    fn note_view(&mut self, w: &World, id: &str, view: &JobView) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        self.longest = self.longest.max(w.now - job.answered_at);
        job.answered_at = w.now;
        let is_done = view.status == JobStatus::Done;
        let is_complete =
            (0..job.task_count).all(|n| w.checker.completed.contains(&format!("{id}/{n}")));
        if is_done && !is_complete {
            self.broken
                .push(format!("{id} is called done before it is"));
        }
        if job.is_done && !is_done {
            self.broken
                .push(format!("{id} was done and is not any more"));
        }
        job.is_done |= is_done;
    }

    /// The longest time until a task of a job that was not cancelled was on a machine, in
    /// milliseconds.
    pub fn longest_wait(&self, w: &World) -> f64 {
        let open = self.jobs.values().filter(|job| !job.is_cancelled);
        let waits = open.map(|job| job.begun_at.unwrap_or(w.now) - job.accepted_at);
        waits.fold(0.0, f64::max)
    }

    /// Ends all faults, lets time pass in which everything can recover, and says what is
    /// wrong: rules broken, jobs forgotten, groups left out.
    pub fn see_out(&mut self, w: &mut World) -> Vec<String> {
        Fault::finish_all(w);
        let over = w.now;
        for _ in 0..40 {
            self.run(w, 5.0);
            w.list_machines();
        }
        let mut wrong = w.broken.clone();
        wrong.extend(self.judge(w, over));
        wrong
    }
}

/// A poll of a job at the `k`-th controller that can take requests: its answer, if it
/// gives one.
fn poll_at(w: &mut World, k: usize, id: &str) -> Option<Option<JobView>> {
    let now = w.now;
    let able = |w: &World, i: usize| {
        let controller = w.controllers[i]
            .as_ref()
            .filter(|_| !w.processes.frozen.contains(&i));
        controller.is_some_and(|c| c.ready(now) && !c.refuses_polls(now))
    };
    let able: Vec<usize> = (0..w.controllers.len()).filter(|&i| able(w, i)).collect();
    let i = *able.get(k % able.len().max(1))?;
    if w.state_link.refused.contains(&i) {
        // Only a final state needs no barrier.
        let controller = w.controllers[i].as_ref()?;
        let view = controller.mirror.view(job_number(id)?)?;
        let over = matches!(view.status, JobStatus::Done | JobStatus::Cancelled);
        return over.then_some(Some(view));
    }
    Some(w.find(i, id))
}
