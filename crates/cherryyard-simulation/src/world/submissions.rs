//! Submissions, removals and polls that take effect at once.

use super::World;
use super::cancellations::PendingCancellation;
use super::state_link::{catch_up, load};
use cherryyard_core::Controller;
use cherryyard_core::admission::intake::{Submission, SubmissionOutcome};
use cherryyard_core::mirror::ended_job_view;
use cherryyard_history::Leaf;
use cherryyard_wire::RangeSet;
use cherryyard_wire::condor::{
    Chunk, FIRST_RESERVED_JOB, IdsRecord, Phase, PhaseEvent, SubmissionRecord, chunk_key,
    submission_key, submission_number,
};
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::job::{JobSpec, JobView, job_number};
use cherryyard_wire::record::{IDS_KEY, JobRecord, job_key};
use cherryyard_wire::rules::Rules;
use cherryyard_wire::state::{Change, Commit};
use serde_json::json;
use std::collections::BTreeMap;

/// Submissions and cancellations, and their outcomes.
#[derive(Debug, Default)]
pub struct Submissions {
    /// Outcomes of submissions, by ticket.
    pub verdicts: BTreeMap<u64, SubmissionOutcome>,
    /// Time at which each job's user was told that the job is cancelled.
    pub cancelled_at: BTreeMap<String, f64>,
    /// Percentage of the ending jobs that are cancelled at the moment of their end.
    pub cancel_at_end_percent: u64,
    /// Requests for cancellations that are repeated until their outcome is confirmed.
    pub(super) cancellations: Vec<PendingCancellation>,
    last_ticket: u64,
}

impl Submissions {
    /// Returns a new ticket for a submission.
    pub(super) fn next_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }
}

impl World {
    /// Returns the specification of a job of `task_count` tasks of 2 cores.
    pub fn spec(id: &str, shape: &str, task_count: u32) -> JobSpec {
        let text = json!({
            "id": id, "jobclass": "class", "owner": "team", "shape": shape, "rank": "standard",
            "pieces": task_count, "cores": 2.0, "accelerators": 0.0, "ram_gb": 1.0, "bundle": "img",
            "image_gb": 1.0, "kinds_of_host": null, "yard": null, "together": false,
            "apart": false, "borrowed": false, "expected_s": 20.0, "snapshot_every_s": 0.0,
            "snapshot_cost_s": 0.0, "due_s": null
        });
        JobSpec::parse(text.to_string().as_bytes()).expect("the simulation's job is valid")
    }

    /// Submits a job by a direct write to the state service.
    pub fn submit(&mut self, spec: &JobSpec) {
        self.submit_with(spec, None);
    }

    /// Submits a job with rules of its own by a direct write to the state service: in the
    /// format of the first controller that is up and not refused by the service, if it has
    /// loaded the state, else as a record with a key of its own.
    pub fn submit_with(&mut self, spec: &JobSpec, rules: Option<Rules>) {
        self.checker.record_spec(spec);
        let available = (0..self.controllers.len())
            .find(|i| self.controllers[*i].is_some() && !self.state_link.refused.contains(i));
        let job = job_number(&spec.id).expect("a valid job id");
        let now = self.now;
        let mut commit = Commit::default();
        let record = JobRecord::Open {
            spec: Box::new(spec.clone()),
            submitted_at_ms: now as u64,
            division: Vec::new(),
            zone: None,
            zone_caps: Vec::new(),
            rules: rules.clone().map(Box::new),
            dependencies: Dependencies::default(),
        };
        let controller = available.and_then(|i| self.controllers[i].as_mut());
        if let Some(controller) = controller.filter(|c| c.mirror.loaded) {
            catch_up(controller, &self.state, now);
            let config = controller.config.clone();
            let is_written = if controller.mirror.is_admission_log_ready() {
                let rules = rules.map(Box::new);
                let open = controller.mirror.new_job(spec.clone(), rules, now as u64);
                let jobs = open.iter().map(|open| (job, open));
                controller.mirror.add_jobs(&mut commit, jobs, &config) == 1
            } else {
                controller
                    .mirror
                    .write_jobs(&mut commit, vec![(job, record)], &config)
            };
            assert!(is_written, "{} cannot be written", spec.id);
        } else {
            commit.require(job_key(job), 0);
            commit.changes.push(Change::set(job_key(job), &record));
        }
        let outcome = self.state.commit(&commit);
        self.trace_line(format!("{} submitted: {outcome:?}", spec.id));
    }

    /// Hands a submission to controller `i`, which may decide later, and returns the
    /// submission's ticket.
    pub fn submit_to_core(&mut self, i: usize, spec: &JobSpec, rules: Option<Rules>) -> u64 {
        self.checker.record_spec(spec);
        let now = self.now;
        let job = job_number(&spec.id).expect("a valid job id");
        let ticket = self.submissions.next_ticket();
        if let Some(controller) = &mut self.controllers[i] {
            if !self.state_link.refused.contains(&i) {
                if !controller.mirror.loaded {
                    load(controller, &self.state, now);
                }
                catch_up(controller, &self.state, now);
            }
            let rules = rules.map(Box::new);
            let created = controller.mirror.new_job(spec.clone(), rules, now as u64);
            let offer = Submission {
                ticket,
                job,
                open: created.expect("a known team"),
                history_revision: controller.mirror.history_progress_revision,
            };
            controller.submit(offer, now);
        }
        self.apply_effects(i);
        ticket
    }

    /// Stores a submission of many jobs in these chunks, and returns its number and that of its
    /// first job. The job numbers follow those of earlier submissions.
    pub fn store_submission(&mut self, name: &str, chunks: &[Chunk]) -> (u64, u64) {
        let number = submission_number(name);
        let ids = self.state.get(IDS_KEY).map(|(v, _)| v.read::<IdsRecord>());
        let first = ids.map_or(FIRST_RESERVED_JOB, |i| {
            i.expect("a valid record of the next job number").next
        });
        let jobs: u64 = chunks.iter().map(Chunk::jobs).sum();
        let record = SubmissionRecord {
            name: name.into(),
            phase: Phase::Creating,
            started_at_ms: self.now as u64,
            chunk_count: chunks.len() as u32,
            received_chunks: chunks.len() as u32,
            jobs,
            first,
            chunk: (0, first),
            created_in_chunk: 0,
            deleted_chunks: 0,
        };
        let mut commit = Commit::default();
        for (i, chunk) in chunks.iter().enumerate() {
            chunk.check().expect("a valid chunk");
            let key = chunk_key(number, i as u32);
            commit.changes.push(Change::set(key, chunk));
        }
        let next = first + jobs;
        commit
            .changes
            .push(Change::set(IDS_KEY, &IdsRecord { next }));
        commit
            .changes
            .push(Change::set(submission_key(number), &record));
        let outcome = self.state.commit(&commit);
        self.trace_line(format!("{name} queued: {jobs} jobs, {outcome:?}"));
        (number, first)
    }

    /// Returns a submission's record.
    pub fn submission(&self, number: u64) -> Option<SubmissionRecord> {
        let (value, _) = self.state.get(&submission_key(number))?;
        Some(value.read().expect("a submission's record"))
    }

    /// Removes a submission by a direct write to the state service.
    pub fn remove(&mut self, number: u64) {
        let mut record = self.submission(number).expect("a submission");
        record.phase = record.phase.after(PhaseEvent::Removed);
        let mut commit = Commit::default();
        let key = submission_key(number);
        let revision = self.state.get(&key).map_or(0, |(_, revision)| revision);
        commit.require(key.clone(), revision);
        commit.changes.push(Change::set(key, &record));
        let outcome = self.state.commit(&commit);
        self.trace_line(format!("{} removed: {outcome:?}", record.name));
    }

    /// Returns the division of an open job as recorded by the first controller that has loaded
    /// the state.
    pub fn division(&self, job: u64) -> Vec<RangeSet> {
        let controller = self.controllers.iter().flatten().find(|c| c.mirror.loaded);
        let open = controller.and_then(|c| c.mirror.open.get(&job));
        open.expect("an open job").division.clone()
    }

    /// Returns what controller `i` would answer to a poll of a job, after reading the newest
    /// state unless the state service refuses the controller.
    pub fn view(&mut self, i: usize, id: &str) -> Option<JobView> {
        let now = self.now;
        let controller = self.controllers[i].as_mut()?;
        if !self.state_link.refused.contains(&i) {
            catch_up(controller, &self.state, now);
        }
        controller.mirror.view(job_number(id)?)
    }

    /// Returns what controller `i` would answer to a poll of a job, including jobs that are
    /// only in the history.
    pub fn view_with_history(&mut self, i: usize, id: &str) -> Option<JobView> {
        if let Some(view) = self.view(i, id) {
            return Some(view);
        }
        let job = job_number(id)?;
        Controller::LOOKUP_ORDER.iter().find_map(|&level| {
            let (_, _, record) = self.state.leaf(level, job)?;
            let leaf = Leaf::from_record(&record).expect("a valid leaf");
            leaf.find(job).map(|p| ended_job_view(job, p.end, p.done))
        })
    }
}
