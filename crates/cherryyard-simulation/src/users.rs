//! Users, as they see a day: they submit, poll what was accepted, and judge at its end.

use crate::worker::job_of;
use crate::{Fault, World};
use cherryyard_core::admission::intake::Verdict;
use cherryyard_wire::job::{JobSpec, JobStatus, JobView};
use std::collections::{BTreeMap, BTreeSet};

/// Time between two polls of a job.
const POLL_MS: f64 = 5000.0;
/// Without an answer for so long, once all troubles are over, a job counts as forgotten.
const FORGOTTEN_MS: f64 = 75_000.0;
/// Within so long the largest jobs are to begin.
const BEGIN_MS: f64 = 240_000.0;
/// Tries of a poll at different controllers.
const TRIES: usize = 3;
/// So long no task may wait, once all troubles are over, while a machine that fits has
/// room and its team is under its limit.
const WAIT_MS: f64 = 90_000.0;

/// A job that was accepted.
#[derive(Clone, Debug)]
struct Job {
    class: String,
    team: String,
    cores: f64,
    task_count: u32,
    service: bool,
    came: f64,
    polled: f64,
    answered: f64,
    begun: Option<f64>,
    done: bool,
    cancelled: bool,
    /// Its tasks that have been seen on a machine or completed; since when no other has
    /// followed though there was room; such times that were too long, from and until when.
    started: BTreeSet<String>,
    capacity_since: Option<f64>,
    waited: Vec<(f64, f64)>,
}

/// A job that is yet to be taken.
#[derive(Clone, Debug)]
struct Asking {
    spec: JobSpec,
    controller: usize,
    ticket: u64,
    again: f64,
}

/// The users of a cluster.
#[derive(Debug, Default)]
pub struct Users {
    jobs: BTreeMap<String, Job>,
    asking: Vec<Asking>,
    cancelled: BTreeSet<String>,
    next: usize,
    /// A broken build for tests of this checker: never answers polls of this job.
    pub never_answers: Option<String>,
    /// Longest time that a job went without an answer, in milliseconds.
    pub longest: f64,
    /// Rules seen broken: accepted jobs called unknown.
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
        self.asking.push(Asking {
            spec: spec.clone(),
            controller: i,
            ticket,
            again: w.now + 5000.0,
        });
    }

    fn ask_again(&mut self, w: &mut World) {
        for asking in std::mem::take(&mut self.asking) {
            let verdict = w.submissions.verdicts.get(&asking.ticket);
            match verdict {
                Some(Verdict::Taken | Verdict::Known) => self.accepted(w, &asking.spec),
                None if w.now < asking.again => self.asking.push(asking),
                _ => {
                    let next = (asking.controller + 1) % w.controllers.len();
                    self.ask(w, next, &asking.spec);
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
            service: spec.shape == cherryyard_wire::job::Shape::Service,
            came: w.now,
            polled: w.now,
            answered: w.now,
            begun: None,
            done: false,
            cancelled: self.cancelled.contains(&spec.id),
            started: BTreeSet::new(),
            capacity_since: None,
            waited: Vec::new(),
        };
        self.jobs.entry(spec.id.clone()).or_insert(job);
    }

    /// Takes note of what the users of `World::insist` have been told and have asked.
    fn take_note(&mut self, w: &mut World) {
        for spec in std::mem::take(&mut w.requests.accepted) {
            self.accepted(w, &spec);
        }
        for (id, job) in &mut self.jobs {
            job.cancelled |= w.may_be_cancelled(id);
            if !w.needs_are_complete(id) {
                // Its times count from then on.
                job.came = w.now;
            }
        }
    }

    /// Cancels a job through controller `i`.
    pub fn cancel(&mut self, w: &mut World, i: usize, id: &str) {
        w.cancel(i, id);
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelled = true;
        }
    }

    /// Asks for a job's cancellation, first controller `i`, until one has told.
    pub fn ask_cancel(&mut self, w: &mut World, i: usize, id: &str) {
        w.ask_cancel(i, id);
        self.cancelled.insert(id.to_string());
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelled = true;
        }
    }

    /// Lets time pass in steps of half a second, and polls.
    pub fn run(&mut self, w: &mut World, seconds: f64) {
        for _ in 0..(seconds * 2.0).round() as usize {
            w.run(0.5);
            self.ask_again(w);
            self.take_note(w);
            self.look(w);
            self.look_for_capacity(w);
        }
    }

    /// Notes for how long tasks wait while a machine that fits has room.
    fn look_for_capacity(&mut self, w: &World) {
        let now = w.now;
        let used = w.cores_by_team();
        let on = |id: &str, n: u32| {
            let task_name = format!("{id}/{n}");
            w.checker.completed.contains(&task_name)
                || w.workers.values().any(|x| x.runs(&task_name))
        };
        let mut free: Vec<(&str, &str, f64, f64)> = Vec::new();
        for x in w.workers.values().filter(|x| w.in_order(&x.host)) {
            let (mut cores, mut ram) = w.whole(&x.machine_type);
            for task_name in x.running_tasks() {
                if let Some(spec) = w.submitted(job_of(task_name)) {
                    (cores, ram) = (cores - spec.cores, ram - spec.ram_gb);
                }
            }
            free.push((&x.zone, &x.machine_type, cores, ram));
        }
        for (id, job) in self.jobs.iter_mut().filter(|j| !j.1.cancelled && !j.1.done) {
            let Some(spec) = w.submitted(id) else {
                continue;
            };
            let limit = w.limit_of(&spec.team);
            let uses = used.get(&spec.team).copied().unwrap_or(0.0);
            let under = limit == 0.0 || uses + spec.cores <= limit + 1e-6;
            let fits = |m: &(&str, &str, f64, f64)| {
                spec.zone.as_deref().is_none_or(|y| y == m.0)
                    && spec
                        .machine_types
                        .as_ref()
                        .is_none_or(|k| k.iter().any(|x| x == m.1))
                    && spec.cores <= m.2 + 1e-6
                    && spec.ram_gb <= m.3 + 1e-6
            };
            let capacity = under
                && w.needs_are_complete(id)
                && !spec.together
                && !spec.apart
                && free.iter().any(fits);
            let before = job.started.len();
            for n in 0..job.task_count {
                let task_name = format!("{id}/{n}");
                if !job.started.contains(&task_name) && on(id, n) {
                    job.started.insert(task_name);
                }
            }
            let waits = capacity && job.started.len() < job.task_count as usize;
            if waits && job.started.len() == before {
                let since = *job.capacity_since.get_or_insert(now);
                if now - since > WAIT_MS {
                    job.waited.retain(|x| x.0 != since);
                    job.waited.push((since, now));
                }
            } else {
                job.capacity_since = waits.then_some(now);
            }
        }
    }

    fn look(&mut self, w: &mut World) {
        let on: BTreeSet<String> = w
            .workers
            .values()
            .flat_map(|x| x.tasks.keys())
            .map(|task_name| job_of(task_name).to_string())
            .collect();
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let Some(job) = self.jobs.get_mut(&id) else {
                continue;
            };
            if job.begun.is_none() && on.contains(&id) {
                job.begun = Some(w.now);
            }
            if w.now - job.polled < POLL_MS {
                continue;
            }
            job.polled = w.now;
            self.next += 1;
            let deaf = self.never_answers.as_deref() == Some(id.as_str());
            let answer = (0..TRIES)
                .filter(|_| !deaf)
                .find_map(|k| poll(w, self.next + k, &id));
            match answer {
                Some(Some(view)) => {
                    self.longest = self.longest.max(w.now - job.answered);
                    job.answered = w.now;
                    let done = view.status == JobStatus::Done;
                    let all = (0..job.task_count)
                        .all(|n| w.checker.completed.contains(&format!("{id}/{n}")));
                    if done && !all {
                        self.broken
                            .push(format!("{id} is called done before it is"));
                    }
                    if job.done && !done {
                        self.broken
                            .push(format!("{id} was done and is not any more"));
                    }
                    job.done |= done;
                }
                Some(None) => self
                    .broken
                    .push(format!("{id} was accepted and is unknown")),
                None => {}
            }
        }
    }

    /// The longest time until a task of a job that was not cancelled was on a machine, in
    /// milliseconds.
    pub fn longest_wait(&self, w: &World) -> f64 {
        let open = self.jobs.values().filter(|j| !j.cancelled);
        let waits = open.map(|j| j.begun.unwrap_or(w.now) - j.came);
        waits.fold(0.0, f64::max)
    }

    /// Ends all troubles, lets what is left of the day pass, and says what is wrong: rules
    /// broken, jobs forgotten, groups left out.
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

    /// What is wrong at the end of a day whose troubles were over at `over`.
    pub fn judge(&self, w: &World, over: f64) -> Vec<String> {
        let mut wrong = self.broken.clone();
        let open = || self.jobs.iter().filter(|j| !j.1.cancelled);
        for (id, job) in open() {
            if w.now - job.answered.max(over) > FORGOTTEN_MS {
                wrong.push(format!("{id} is forgotten"));
            }
        }
        for (id, job) in open() {
            let waited = |x: &&(f64, f64)| x.1 - x.0.max(over) > WAIT_MS;
            if let Some((since, until)) = job.waited.iter().find(waited) {
                let seconds = (until - since.max(over)) / 1000.0;
                wrong.push(format!("{id} waits for {seconds} s though there is room"));
            }
        }
        let mut groups: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        let mut classes: BTreeMap<&str, Vec<(f64, &String, &Job)>> = BTreeMap::new();
        for (id, job) in open() {
            let served = job.done || (job.service && w.copies(&format!("{id}/0")) == 1);
            for group in [format!("class {}", job.class), format!("team {}", job.team)] {
                let g = groups.entry(group).or_default();
                *g = (g.0 + usize::from(served), g.1 + 1);
            }
            let class = classes.entry(&job.class).or_default();
            class.push((job.cores, id, job));
        }
        for (class, mut jobs) in classes {
            jobs.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(b.1)));
            // Those that came early enough to begin by now.
            jobs.retain(|j| w.now - j.2.came >= BEGIN_MS);
            let largest = jobs.len().div_ceil(10);
            let begun =
                |j: &&(f64, &String, &Job)| j.2.begun.is_some_and(|at| at - j.2.came <= BEGIN_MS);
            let served = jobs[..largest].iter().filter(begun).count();
            groups.insert(format!("largest of {class}"), (served, largest));
        }
        for (group, (served, all)) in groups {
            if served * 2 < all {
                wrong.push(format!("{group}: {served} of {all} served"));
            }
        }
        wrong
    }
}

/// A poll of a job at the `k`-th controller that can take requests: its answer, if it
/// gives one.
fn poll(w: &mut World, k: usize, id: &str) -> Option<Option<JobView>> {
    let now = w.now;
    let able = |w: &World, i: usize| {
        let controller = w.controllers[i]
            .as_ref()
            .filter(|_| !w.processes.frozen.contains(&i));
        controller.is_some_and(|n| n.ready(now) && !n.refuses_polls(now))
    };
    let able: Vec<usize> = (0..w.controllers.len()).filter(|&i| able(w, i)).collect();
    let i = *able.get(k % able.len().max(1))?;
    if w.state_link.refused.contains(&i) {
        // Only a final state needs no barrier.
        let controller = w.controllers[i].as_ref()?;
        let view = controller
            .mirror
            .view(cherryyard_wire::job::job_number(id)?)?;
        let over = matches!(view.status, JobStatus::Done | JobStatus::Cancelled);
        return over.then_some(Some(view));
    }
    Some(w.find(i, id))
}
