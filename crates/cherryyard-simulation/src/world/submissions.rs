//! Submissions and polls that take effect at once.

use super::World;
use super::cancellations::PendingCancellation;
use super::state_link::{catch_up, load};
use cherryyard_core::Controller;
use cherryyard_core::admission::intake::{Offer, Verdict};
use cherryyard_core::mirror::over;
use cherryyard_history::Leaf;
use cherryyard_wire::RangeSet;
use cherryyard_wire::condor::{
    Chunk, FIRST_ID, IdsRecord, Phase, PhaseEvent, SubmissionRecord, chunk_key, submission_key,
    submission_number,
};
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::job::{JobSpec, JobView, job_number};
use cherryyard_wire::record::{IDS, JobRecord, job_key};
use cherryyard_wire::rules::Rules;
use cherryyard_wire::state::{Apply, Commit};
use serde_json::json;
use std::collections::BTreeMap;

/// Submissions and cancellations, and what has become of them.
#[derive(Debug, Default)]
pub struct Submissions {
    /// What has become of submissions, by ticket.
    pub verdicts: BTreeMap<u64, Verdict>,
    /// When each job's user was told that it is cancelled.
    pub cancelled_at: BTreeMap<String, f64>,
    /// Of a hundred jobs that end, how many are cancelled at that moment.
    pub cancel_at_end_percent: u64,
    /// Users who ask for a cancellation until they are told.
    pub(super) cancellations: Vec<PendingCancellation>,
    tickets: u64,
}

impl Submissions {
    /// A new ticket for a submission.
    pub(super) fn next_ticket(&mut self) -> u64 {
        self.tickets += 1;
        self.tickets
    }
}

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
        JobSpec::parse(text.to_string().as_bytes()).expect("the simulation's job is good")
    }

    /// A user's submission takes effect.
    pub fn submit(&mut self, spec: &JobSpec) {
        self.submit_with(spec, None);
    }

    /// A user's submission with rules of its own takes effect.
    pub fn submit_with(&mut self, spec: &JobSpec, rules: Option<Rules>) {
        self.checker.note(spec);
        let able = (0..self.controllers.len())
            .find(|i| self.controllers[*i].is_some() && !self.state_link.refused.contains(i));
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
        if let Some(controller) = controller.filter(|c| c.mirror.loaded) {
            catch_up(controller, &self.state, now);
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
        self.checker.note(spec);
        let now = self.now;
        let job = job_number(&spec.id).expect("a good id");
        let ticket = self.submissions.next_ticket();
        if let Some(controller) = &mut self.controllers[i] {
            if !self.state_link.refused.contains(&i) {
                if !controller.mirror.loaded {
                    load(controller, &self.state, now);
                }
                catch_up(controller, &self.state, now);
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
        self.apply_effects(i);
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

    /// A job's division, as the controllers know it.
    pub fn division(&self, job: u64) -> Vec<RangeSet> {
        let controller = self.controllers.iter().flatten().find(|c| c.mirror.loaded);
        let open = controller.and_then(|c| c.mirror.open.get(&job));
        open.expect("an open job").division.clone()
    }

    /// What controller `i` would tell a user, after a barrier if it can.
    pub fn view(&mut self, i: usize, id: &str) -> Option<JobView> {
        let now = self.now;
        let controller = self.controllers[i].as_mut()?;
        if !self.state_link.refused.contains(&i) {
            catch_up(controller, &self.state, now);
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
            let leaf = Leaf::from_record(&record).expect("a good leaf");
            leaf.find(job).map(|p| over(job, p.end, p.done))
        })
    }
}
