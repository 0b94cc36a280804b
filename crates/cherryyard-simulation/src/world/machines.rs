//! Machines: their steps, reports, direct commands and questions.

use super::*;

impl World {
    pub(super) fn worker_step(&mut self, name: &str) {
        let now = self.now;
        let hung = self.hung.contains(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if hung {
            worker.hang(now);
            return;
        }
        if worker.reclaim_at.is_some_and(|at| now >= at) {
            self.workers.remove(name);
            self.say(format!("{name} is taken"));
            return;
        }
        let log = worker.advance(now, &self.services);
        if let Some(&sent_at) = self.waiting.get(name) {
            if now - sent_at > ANSWER_MS {
                self.waiting.remove(name);
                worker.controller = (worker.controller + 1) % self.controllers.len();
                worker.report_at = now + 1000.0;
            }
        } else if now >= worker.report_at
            && !self.unreachable.contains(name)
            && !self.one_way_silent.contains(name)
        {
            worker.report_at = now + 2000.0;
            let (i, report) = (worker.controller, worker.report(now));
            let zone = worker.zone.clone();
            if self.copies_for_next {
                let kept = self.kept_copies.entry(name.to_string());
                kept.or_insert_with(|| report.clone());
            }
            if let Some(ms) = self.copies_ms {
                for k in [i, (i + 1) % self.controllers.len()] {
                    self.copies.push((now + ms, k, report.clone()));
                }
            }
            self.waiting.insert(name.to_string(), now);
            match self.late.get(&i) {
                _ if !self.reaches(i, &zone) => {}
                Some(late) => self.inbox.push((now + late, now, i, report)),
                None => self.reported(i, &report, now),
            }
        }
        for line in log {
            self.say(line);
        }
    }

    /// A controller takes a report that was sent at `sent_at`, and answers.
    pub(super) fn reported(&mut self, i: usize, report: &WorkerHeartbeat, sent_at: f64) {
        let now = self.now;
        let is_reachable = !self.deaf.contains(&i) && !self.frozen.contains(&i);
        let controller = self.controllers[i].as_mut().filter(|_| is_reachable);
        let reply = controller.map(|n| n.report(report, now));
        let name = &report.host;
        let mut log = Vec::new();
        // A worker that has given up drops the answer.
        if let Some(worker) = self.workers.get_mut(name)
            && self.waiting.get(name) == Some(&sent_at)
            && !self.one_way.contains(name)
        {
            self.waiting.remove(name);
            match reply {
                // The answer to a report of the incarnation before.
                Some(Reply::Answer(_)) if worker.incarnation != report.incarnation => {
                    worker.report_at = now;
                }
                Some(Reply::Answer(answer)) => {
                    log.extend(worker.answered(&answer, sent_at, now));
                }
                Some(Reply::Elsewhere(Some(label))) => {
                    worker.controller = label.trim_start_matches("node-").parse().expect("a label");
                    worker.report_at = now + 100.0;
                }
                _ => {
                    worker.controller = (i + 1) % self.controllers.len();
                    worker.report_at = now + 1000.0;
                }
            }
        }
        self.effects(i);
        for line in log {
            self.say(line);
        }
    }

    pub(super) fn push(&mut self, i: usize, host: u32, addr: &str, request: CommandBatch) {
        let now = self.now;
        let name = addr.trim_end_matches(":9000").to_string();
        let mut log = Vec::new();
        let cut = self.unreachable.contains(&name) || self.one_way.contains(&name);
        let zone = self.workers.get(&name).map(|w| w.zone.clone());
        let cut = cut || zone.is_some_and(|zone| !self.reaches(i, &zone));
        let cut = cut || self.hung.contains(&name);
        let outcome = if self.slow_direct.contains(&name) || cut {
            self.held_direct.push((name, request.clone()));
            PushOutcome::Unknown
        } else if let Some(worker) = self.workers.get_mut(&name) {
            log = worker.direct(&request, now).1;
            PushOutcome::Answered(Box::new(worker.report(now)))
        } else {
            PushOutcome::Unsent
        };
        for line in log {
            self.say(line);
        }
        if let Some(controller) = &mut self.controllers[i] {
            controller.pushed(host, &request, outcome, now);
        }
    }

    /// A controller asks a machine for its report.
    pub(super) fn ask(&mut self, i: usize, host: u32, addr: &str) {
        let now = self.now;
        self.questions += 1;
        let name = addr.trim_end_matches(":9000");
        let cut = self.unreachable.contains(name) || self.one_way.contains(name);
        let cut = cut || self.deaf.contains(&i) || self.hung.contains(name);
        let zone = self.workers.get(name).map(|w| w.zone.clone());
        let cut = cut || zone.is_some_and(|zone| !self.reaches(i, &zone));
        let worker = self.workers.get_mut(name).filter(|_| !cut);
        let report = worker.map(|w| w.report(now));
        if let Some(controller) = &mut self.controllers[i] {
            controller.queried(host, report.as_ref(), now);
        }
    }

    /// A machine ends with all that is on it and is back at once, its worker new. What
    /// was held back on connections to it is lost with them.
    pub fn reborn(&mut self, name: &str) {
        self.say(format!("{name} begins anew"));
        self.waiting.remove(name);
        self.held_direct.retain(|held| held.0 != name);
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(name) {
            worker.begin_anew(now);
        }
    }

    /// Delivers the direct commands that were held back; says how many of them
    /// a worker executed.
    pub fn deliver_direct(&mut self) -> usize {
        let now = self.now;
        let mut executed = 0;
        for (name, request) in std::mem::take(&mut self.held_direct) {
            if let Some(worker) = self.workers.get_mut(&name) {
                let (done, log) = worker.direct(&request, now);
                executed += usize::from(done);
                for line in log {
                    self.say(format!("late: {line}"));
                }
            }
        }
        self.check();
        executed
    }

    /// Whether nothing keeps a machine from taking tasks.
    pub fn in_order(&self, host: &str) -> bool {
        let bad = [
            &self.unreachable,
            &self.hung,
            &self.one_way,
            &self.one_way_silent,
        ];
        !bad.iter().any(|set| set.contains(host))
    }

    /// How many machines run this task.
    pub fn copies(&self, task_name: &str) -> usize {
        self.workers.values().filter(|w| w.runs(task_name)).count()
    }

    /// How many tasks run.
    pub fn running(&self) -> usize {
        self.workers
            .values()
            .map(|w| w.tasks.values().filter(|p| p.2.is_none()).count())
            .sum()
    }
}
