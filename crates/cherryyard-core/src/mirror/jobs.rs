//! Jobs in the mirror: their records, what follows from these, and what users see.

use super::ended::{EndedJob, TaskDemand};
use super::record_error::RecordProblem;
use super::{Mirror, OpenJob, Urgency};
use crate::needs::Needs;
use cherryyard_wire::RangeSet;
use cherryyard_wire::dependencies::{Dependencies, dependency_ids};
use cherryyard_wire::job::{JobSpec, JobStatus, JobView, Shape, job_id};
use cherryyard_wire::record::{End, JobRecord, TaskUsage};
use cherryyard_wire::rules::Rules;
use std::ops::Range;

/// A job that is over, as its user sees it.
pub fn over(job: u64, end: End, done: u32) -> JobView {
    let status = match end {
        End::Done => JobStatus::Done,
        End::Cancelled => JobStatus::Cancelled,
    };
    JobView::new(job, status, done, 0)
}

/// A job that is cancelled with one that it needed, as its user sees it.
fn cancelled_with(job: u64, need: u64) -> JobView {
    JobView {
        cancelled_by: Some(job_id(need)),
        ..over(job, End::Cancelled, 0)
    }
}

impl Mirror {
    /// Takes a job's record, from a key of its own or from a bucket.
    pub(super) fn put_job(
        &mut self,
        job: u64,
        record: JobRecord,
        revision: u64,
    ) -> Result<(), RecordProblem> {
        match record {
            JobRecord::Ended {
                end,
                task_count,
                usage: demand,
                generation,
                cancelled_by,
            } => {
                let demand = self.task_demand(&demand);
                let ended = EndedJob {
                    end,
                    task_count,
                    generation,
                    revision,
                    cancelled_by,
                };
                self.put_end(job, ended, Some(demand));
                Ok(())
            }
            JobRecord::Open {
                spec,
                at: submitted_at,
                div: division,
                zone,
                caps: zone_caps,
                rules,
                after: dependencies,
            } => {
                // A job's end is final; nothing may bring it back, so a record
                // that does is older or bad.
                if self.ended.contains(job) {
                    return Ok(());
                }
                self.check_division(&division)?;
                let new = self.new_job(*spec, rules, submitted_at);
                let open = OpenJob {
                    revision,
                    division,
                    zone,
                    zone_caps,
                    dependencies,
                    ..new.ok_or(RecordProblem::UnknownTeam)?
                };
                self.put_open(job, open);
                Ok(())
            }
        }
    }

    /// A division is empty, or has one canonical set of task numbers for each shard.
    fn check_division(&self, division: &[RangeSet]) -> Result<(), RecordProblem> {
        let complete = division.is_empty() || division.len() == self.shards.len();
        if complete && division.iter().all(RangeSet::is_canonical) {
            Ok(())
        } else {
            Err(RecordProblem::BadDivision)
        }
    }

    fn put_open(&mut self, job: u64, open: OpenJob) {
        let before = self.insert_open(job, open);
        let now = &self.open[&job];
        // A bucket also names jobs that have not changed.
        let unchanged =
            |before: OpenJob| before.division == now.division && before.spec == now.spec;
        if !before.is_some_and(unchanged) {
            self.refresh_job(job);
        }
    }

    /// The team, and what a task takes, of a job's record; a team that is not in the
    /// settings is none of ours.
    pub(super) fn task_demand(&self, record: &TaskUsage) -> TaskDemand {
        TaskDemand {
            team: self.teams.get(&record.team).unwrap_or(u32::MAX),
            needs: Needs {
                cores: record.cores,
                acc: record.accelerators,
                ram: record.ram_gb,
            },
        }
    }

    /// A new job, with what its rules come to; none if its team is unknown.
    pub fn new_job(
        &mut self,
        spec: JobSpec,
        rules: Option<Box<Rules>>,
        submitted_at: u64,
    ) -> Option<OpenJob> {
        let team = self.teams.get(&spec.team)?;
        let rank = spec.rank;
        let mut open = OpenJob {
            revision: 0,
            team,
            flow: self.flows.intern(team, &spec.job_class),
            rules: rules.map(|rules| {
                let pools = self.catalog.matcher.pools(&rules, submitted_at);
                (rules, pools)
            }),
            spec,
            submitted_at,
            division: Vec::new(),
            zone: None,
            zone_caps: Vec::new(),
            dependencies: Dependencies::default(),
            urgency: Urgency {
                rank,
                deadline: None,
            },
        };
        open.urgency = open.own_urgency();
        Some(open)
    }

    /// Takes a job's end.
    pub(super) fn put_end(&mut self, job: u64, ended: EndedJob, demand: Option<TaskDemand>) {
        // One that is cancelled with another has never had a task.
        let never_ran = ended.cancelled_by.is_some() || self.cancelled_with(job).is_some();
        let was_open = self.remove_open(job);
        if was_open {
            self.refresh_job(job);
        }
        let known = self.ended.insert(job, ended);
        self.refresh_dependents(job);
        // Also one that a full read shows and that came and went since the one before.
        let is_new = was_open || (self.loaded && !known);
        if ended.end == End::Cancelled && is_new && !never_ran {
            self.ended.note_cancelled(job);
        }
        self.ended.set_demand(job, demand);
    }

    /// Jobs that have been seen to be cancelled since the last call.
    pub fn take_new_cancels(&mut self) -> Vec<u64> {
        self.ended.take_cancelled()
    }

    /// Whether a job has been seen to be cancelled since then.
    pub(crate) fn is_new_cancel(&self, job: u64) -> bool {
        self.ended.is_newly_cancelled(job)
    }

    /// Whether jobs may have been cancelled, since the last call, that no longer can be
    /// named.
    pub(crate) fn take_gap(&mut self) -> bool {
        self.ended.take_gap()
    }

    /// A job's record is gone: it is over and in the history, or it never was.
    pub(super) fn drop_job(&mut self, job: u64) {
        if self.remove_open(job) {
            // How it ended was not seen.
            self.ended.note_gap();
            self.refresh_job(job);
        }
        self.ended.drop_to_history(job);
    }

    /// Whether a job with one of these numbers is open, or over and not only in the
    /// history.
    pub fn knows_any(&self, jobs: Range<u64>) -> bool {
        self.open.range(jobs.clone()).next().is_some() || self.ended.knows_any(&jobs)
    }

    /// Whether any page names the job, of assignments or of admissions: while one of assignments
    /// does, its tasks may be on machines, and while one of admissions does, it would be
    /// open again if nothing said that it is over.
    pub fn named_in_pages(&self, job: u64) -> bool {
        self.page_of(job).is_some() || self.tasks.names(job)
    }

    /// Jobs that are over and stand in watched records.
    pub fn ended_jobs(&self) -> impl Iterator<Item = (u64, &EndedJob)> {
        self.ended.iter()
    }

    /// Jobs that are over and have records of their own, as earlier builds keep them.
    pub fn own_ends(&self) -> impl Iterator<Item = (u64, &EndedJob)> {
        self.ended_jobs().filter(|(_, ended)| ended.revision != 0)
    }

    /// After a change of the job's own record.
    pub(super) fn refresh_job(&mut self, job: u64) {
        let divided = self.open.get(&job).is_none_or(OpenJob::divided);
        if !divided && !self.waits_for_others(job) {
            self.undivided.insert(job);
        } else {
            self.undivided.remove(&job);
        }
        for shard in 0..self.shards.len() {
            self.refresh_waiting(shard, job);
        }
        self.refresh_complete(job);
    }

    /// After a change of the job's record or of how many of its tasks are done.
    pub(super) fn refresh_complete(&mut self, job: u64) {
        let done = self.done(job);
        let complete = self
            .open
            .get(&job)
            .is_some_and(|open| open.spec.shape == Shape::Array && done >= open.spec.task_count);
        if complete {
            self.complete.insert(job);
        } else {
            self.complete.remove(&job);
        }
    }

    /// How a job ended, if it did.
    pub fn end(&self, job: u64) -> Option<End> {
        self.ended.get(job).map(|ended| ended.end)
    }

    /// How many jobs are known to be over.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// A job's team and what one of its tasks takes, over or not.
    pub fn uses(&self, job: u64) -> Option<(u32, Needs)> {
        if let Some(open) = self.open.get(&job) {
            return Some((open.team, open.needs()));
        }
        let demand = self.ended.demand(job)?;
        Some((demand.team, demand.needs))
    }

    /// The job as its user sees it, if it is known.
    pub fn view(&self, job: u64) -> Option<JobView> {
        if let Some(need) = self.ended.get(job).and_then(|ended| ended.cancelled_by) {
            return Some(cancelled_with(job, need));
        }
        if let Some(past) = self.ended.past_end(job) {
            let done = match past.end {
                End::Done => past.task_count,
                End::Cancelled => self.done(job),
            };
            return Some(over(job, past.end, done));
        }
        let open = self.open.get(&job)?;
        if let Some(need) = self.cancelled_with(job) {
            return Some(cancelled_with(job, need));
        }
        let running = self.assigned(job);
        let status = if running > 0 {
            JobStatus::Running
        } else {
            JobStatus::Queued
        };
        let unmet: Vec<u64> = self.unmet_needs(open).collect();
        Some(JobView {
            waits_on: dependency_ids(&unmet),
            ..JobView::new(job, status, self.done(job), running)
        })
    }
}
