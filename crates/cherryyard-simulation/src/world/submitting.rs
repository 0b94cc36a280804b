//! Submissions, cancellations and polls that take effect at once.

use super::*;

impl World {
    /// A job of `task_count` tasks of 2 cores.
    pub fn spec(id: &str, shape: &str, task_count: u32) -> JobSpec {
        let text = json!({
            "id": id, "jobclass": "class", "owner": "team", "shape": shape, "rank": "standard",
            "pieces": task_count, "cores": 2.0, "accelerators": 0.0, "ram_gb": 1.0, "bundle": "img",
            "image_gb": 1.0, "kinds_of_host": null, "yard": null, "together": false,
            "apart": false, "borrowed": false, "expected_s": 20.0, "snapshot_every_s": 0.0,
            "snapshot_cost_s": 0.0, "due_s": null
        });
        JobSpec::parse(text.to_string().as_bytes()).expect("the rehearsal's job is good")
    }

    /// A user's submission takes effect.
    pub fn submit(&mut self, spec: &JobSpec) {
        self.submit_with(spec, None);
    }

    /// A user's submission with rules of its own takes effect.
    pub fn submit_with(&mut self, spec: &JobSpec, rules: Option<Rules>) {
        self.note(spec);
        let able = (0..self.controllers.len())
            .find(|i| self.controllers[*i].is_some() && !self.refused.contains(i));
        let job = job_number(&spec.id).expect("a good id");
        let now = self.now;
        let mut commit = Commit::default();
        let record = JobRecord::Open {
            spec: Box::new(spec.clone()),
            at: now as u64,
            div: Vec::new(),
            zone: None,
            caps: Vec::new(),
            rules: rules.clone().map(Box::new),
            after: Dependencies::default(),
        };
        let controller = able.and_then(|i| self.controllers[i].as_mut());
        if let Some(controller) = controller.filter(|n| n.mirror.loaded) {
            controller.events(
                &self.state.events(controller.mirror.store_revision),
                now,
                now,
            );
            let config = controller.config.clone();
            let fits = if controller.mirror.takes_pages() {
                let rules = rules.map(Box::new);
                let open = controller.mirror.new_job(spec.clone(), rules, now as u64);
                let jobs = open.iter().map(|open| (job, open));
                controller.mirror.add_jobs(&mut commit, jobs, &config) == 1
            } else {
                controller
                    .mirror
                    .write_jobs(&mut commit, vec![(job, record)], &config)
            };
            assert!(fits, "{} cannot be written", spec.id);
        } else {
            commit.require(job_key(job), 0);
            commit.apply.push(Apply::set(job_key(job), &record));
        }
        let outcome = self.state.commit(&commit);
        self.say(format!("{} submitted: {outcome:?}", spec.id));
    }

    /// A submission comes to controller `i`, which may answer later; gives its ticket.
    pub fn offer(&mut self, i: usize, spec: &JobSpec, rules: Option<Rules>) -> u64 {
        self.note(spec);
        let now = self.now;
        let job = job_number(&spec.id).expect("a good id");
        self.tickets += 1;
        let ticket = self.tickets;
        if let Some(controller) = &mut self.controllers[i] {
            if !self.refused.contains(&i) {
                if !controller.mirror.loaded {
                    controller.mirror.begin_load();
                    controller.mirror.load_some(&self.state.pairs());
                    controller.loaded(self.state.store_revision(), now, now);
                }
                controller.events(
                    &self.state.events(controller.mirror.store_revision),
                    now,
                    now,
                );
            }
            let rules = rules.map(Box::new);
            let new = controller.mirror.new_job(spec.clone(), rules, now as u64);
            let offer = Offer {
                ticket,
                job,
                open: new.expect("a known team"),
                moved: controller.mirror.packed_revision,
            };
            controller.offer(offer, now);
        }
        self.effects(i);
        ticket
    }

    /// A submission of many jobs has come, in these chunks; gives its number and that
    /// of its first job. Its ids follow those of the submissions before it.
    pub fn queue(&mut self, name: &str, chunks: &[Chunk]) -> (u64, u64) {
        let number = submission_number(name);
        let ids = self.state.get(IDS).map(|(v, _)| v.read::<IdsRecord>());
        let first = ids.map_or(FIRST_ID, |i| i.expect("ids").next);
        let jobs: u64 = chunks.iter().map(Chunk::jobs).sum();
        let record = SubmissionRecord {
            name: name.into(),
            phase: Phase::Creating,
            at: self.now as u64,
            of: chunks.len() as u32,
            chunks: chunks.len() as u32,
            jobs,
            first,
            chunk: (0, first),
            next: 0,
            swept: 0,
        };
        let mut commit = Commit::default();
        for (i, chunk) in chunks.iter().enumerate() {
            chunk.check().expect("a good chunk");
            let key = chunk_key(number, i as u32);
            commit.apply.push(Apply::set(key, chunk));
        }
        let next = first + jobs;
        commit.apply.push(Apply::set(IDS, &IdsRecord { next }));
        commit
            .apply
            .push(Apply::set(submission_key(number), &record));
        let outcome = self.state.commit(&commit);
        self.say(format!("{name} queued: {jobs} jobs, {outcome:?}"));
        (number, first)
    }

    /// A submission's record.
    pub fn submission(&self, number: u64) -> Option<SubmissionRecord> {
        let (value, _) = self.state.get(&submission_key(number))?;
        Some(value.read().expect("a submission's record"))
    }

    /// A user's removal of a submission takes effect.
    pub fn remove(&mut self, number: u64) {
        let mut record = self.submission(number).expect("a submission");
        record.phase = record.phase.after(PhaseEvent::Removed);
        let mut commit = Commit::default();
        let key = submission_key(number);
        let revision = self.state.get(&key).map_or(0, |(_, revision)| revision);
        commit.require(key.clone(), revision);
        commit.apply.push(Apply::set(key, &record));
        let outcome = self.state.commit(&commit);
        self.say(format!("{} removed: {outcome:?}", record.name));
    }

    /// A user's cancellation through controller `i` takes effect. The user is told at
    /// once, if that may be, or asks again.
    pub fn cancel(&mut self, i: usize, id: &str) {
        let job = job_number(id).expect("a good id");
        let now = self.now;
        let store_revision = self.state.store_revision();
        let controller = self.controllers[i].as_mut().expect("a running controller");
        let events = self.state.events(controller.mirror.store_revision);
        controller.events(&events, now, now);
        let commit = controller.cancellation(job).expect("an open job");
        let outcome = self.state.commit(&commit);
        self.requests.cancelling.insert(id.into());
        if let Outcome::Applied(e) = outcome {
            controller.user_committed(&commit, e, now);
        }
        assert!(
            matches!(outcome, Outcome::Applied(e) if e > store_revision),
            "{outcome:?}"
        );
        if controller.may_confirm_cancelled(job, now) {
            self.cancelled_at.insert(id.to_string(), now);
        } else {
            self.asking.push((i, now + 1000.0, id.to_string()));
        }
        self.say(format!("{id} cancelled through node-{i}"));
    }

    /// A job's division, as the controllers know it.
    pub fn division(&self, job: u64) -> Vec<RangeSet> {
        let controller = self.controllers.iter().flatten().find(|n| n.mirror.loaded);
        let open = controller.and_then(|n| n.mirror.open.get(&job));
        open.expect("an open job").division.clone()
    }

    /// What controller `i` would tell a user, after a barrier if it can.
    pub fn view(&mut self, i: usize, id: &str) -> Option<JobView> {
        let now = self.now;
        let controller = self.controllers[i].as_mut()?;
        if !self.refused.contains(&i) {
            let events = self.state.events(controller.mirror.store_revision);
            controller.events(&events, now, now);
        }
        controller.mirror.view(job_number(id)?)
    }

    /// What controller `i` would tell a user, with a look into the history.
    pub fn find(&mut self, i: usize, id: &str) -> Option<JobView> {
        if let Some(view) = self.view(i, id) {
            return Some(view);
        }
        let job = job_number(id)?;
        Controller::LOOKUP_ORDER.iter().find_map(|&level| {
            let (_, _, record) = self.state.leaf(level, job)?;
            let leaf = Leaf::of_record(&record).expect("a good leaf");
            leaf.find(job).map(|p| over(job, p.end, p.done))
        })
    }

    /// Notes what the checker has to know of a job: it is as it was first submitted.
    pub(super) fn note(&mut self, spec: &JobSpec) {
        if !self.checker.specs.contains_key(&spec.id) {
            self.checker.specs.insert(spec.id.clone(), spec.clone());
            if spec.shape == Shape::Service {
                self.services.insert(spec.id.clone());
            }
        }
    }

    /// A job as it was submitted.
    pub fn submitted(&self, id: &str) -> Option<&JobSpec> {
        self.checker.specs.get(id)
    }
}
