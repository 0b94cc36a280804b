//! Jobs in the mirror: their records, the state derived from them, and the views that users get.

use super::ended::{EndedJob, TaskDemand};
use super::record_error::RecordProblem;
use super::{Mirror, OpenJob, Urgency};
use crate::needs::Resources;
use cherryyard_wire::RangeSet;
use cherryyard_wire::dependencies::{Dependencies, dependency_ids};
use cherryyard_wire::job::{JobSpec, JobStatus, JobView, Shape, job_id};
use cherryyard_wire::record::{JobOutcome, JobRecord, TaskUsage};
use cherryyard_wire::rules::Rules;
use std::ops::Range;

/// Returns the status of a job that ended in the given way.
pub(crate) fn status_of(end: JobOutcome) -> JobStatus {
    match end {
        JobOutcome::Done => JobStatus::Done,
        JobOutcome::Cancelled => JobStatus::Cancelled,
    }
}

/// Returns the view of an ended job for its user.
pub fn ended_job_view(job: u64, end: JobOutcome, done: u32) -> JobView {
    JobView::new(job, status_of(end), done, 0)
}

/// Returns the view of a job that is cancelled with a dependency for its user.
fn cancelled_job_view(job: u64, dependency: u64) -> JobView {
    JobView {
        cancelled_by: Some(job_id(dependency)),
        ..ended_job_view(job, JobOutcome::Cancelled, 0)
    }
}

impl Mirror {
    /// Stores a job's record, from the job's own key or from a bucket.
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
                submitted_at_ms: submitted_at,
                division,
                zone,
                zone_caps,
                rules,
                dependencies,
            } => {
                // A job's end is final, so a record of the job as open is outdated or wrong
                // and is ignored.
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

    /// Checks that a division is empty or has one canonical set of task numbers for each shard.
    fn check_division(&self, division: &[RangeSet]) -> Result<(), RecordProblem> {
        let has_valid_length = division.is_empty() || division.len() == self.shards.len();
        if has_valid_length && division.iter().all(RangeSet::is_canonical) {
            Ok(())
        } else {
            Err(RecordProblem::BadDivision)
        }
    }

    fn put_open(&mut self, job: u64, open: OpenJob) {
        let previous = self.insert_open(job, open);
        let current = &self.open[&job];
        // A bucket also lists jobs that have not changed.
        let unchanged = |previous: OpenJob| {
            previous.division == current.division && previous.spec == current.spec
        };
        if !previous.is_some_and(unchanged) {
            self.refresh_job(job);
        }
    }

    /// Returns the team and the resources of a task from a job's record. A team that is not in the
    /// settings gets the index `u32::MAX`.
    pub(super) fn task_demand(&self, record: &TaskUsage) -> TaskDemand {
        TaskDemand {
            team: self.teams.get(&record.team).unwrap_or(u32::MAX),
            needs: Resources {
                cores: record.cores,
                accelerators: record.accelerators,
                ram_gb: record.ram_gb,
            },
        }
    }

    /// Returns a new open job, with its rules evaluated; none if its team is not in the settings.
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

    /// Stores a job's end, and updates the jobs that depend on it.
    pub(super) fn put_end(&mut self, job: u64, ended: EndedJob, demand: Option<TaskDemand>) {
        // A job that is cancelled with a dependency has never had tasks.
        let never_ran = ended.cancelled_by.is_some() || self.cancelled_with(job).is_some();
        let was_open = self.remove_open(job);
        if was_open {
            self.refresh_job(job);
        }
        // A bucket also lists ends that the dependents already know.
        let is_listed = self.ended.contains(job);
        let was_known = self.ended.insert(job, ended);
        if !is_listed {
            self.refresh_dependents(job, ended.end);
        }
        // The end is also new if a full read returns a job that was added and ended since the
        // previous read.
        let is_new = was_open || (self.loaded && !was_known);
        if ended.end == JobOutcome::Cancelled && is_new && !never_ran {
            self.ended.note_cancelled(job);
        }
        self.ended.set_demand(job, demand);
    }

    /// Returns the jobs whose cancellation has been read since the last call.
    pub fn take_new_cancellations(&mut self) -> Vec<u64> {
        self.ended.take_cancelled()
    }

    /// Returns whether the cancellation of a job has been read since the last call of
    /// `take_new_cancellations`.
    pub(crate) fn is_newly_cancelled(&self, job: u64) -> bool {
        self.ended.is_newly_cancelled(job)
    }

    /// Returns whether jobs may have been cancelled since the last call whose cancellations this
    /// mirror has not read.
    pub(crate) fn take_missed_ends(&mut self) -> bool {
        self.ended.take_missed_ends()
    }

    /// Drops a job whose record has been removed: the job has ended and is in the history, or it
    /// was never added.
    pub(super) fn drop_job(&mut self, job: u64) {
        if self.remove_open(job) {
            // The end of the job was not read.
            self.ended.note_missed_ends();
            self.refresh_job(job);
        }
        self.ended.move_to_history(job);
    }

    /// Returns whether any job with one of these numbers is open, or has ended and is still held by
    /// this mirror: in the watched records, or among the recent ends of the history.
    pub fn has_any_job(&self, jobs: Range<u64>) -> bool {
        self.open.range(jobs.clone()).next().is_some() || self.ended.contains_any(&jobs)
    }

    /// Returns whether a page of assignments or of the admission log lists the job. While a page of
    /// assignments does, tasks of the job may be on machines. While a page of the admission log
    /// does, the job would be open again if the record of its end were removed.
    pub fn is_listed_in_pages(&self, job: u64) -> bool {
        self.admission_page_of(job).is_some() || self.tasks.has_job(job)
    }

    /// Returns the ended jobs that the watched records list.
    pub fn ended_jobs(&self) -> impl Iterator<Item = (u64, &EndedJob)> {
        self.ended.iter()
    }

    /// Returns the ended jobs with records under their own keys, as earlier builds store them.
    pub fn ended_jobs_with_own_record(&self) -> impl Iterator<Item = (u64, &EndedJob)> {
        self.ended_jobs().filter(|(_, ended)| ended.revision != 0)
    }

    /// Recomputes the state derived from a job, after a change of its record: whether it is
    /// undivided or complete, and its waiting tasks.
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

    /// Recomputes whether a job is complete, after a change of its record or of the number of its
    /// completed tasks.
    pub(super) fn refresh_complete(&mut self, job: u64) {
        let complete = self.open.get(&job).is_some_and(|open| {
            let completed = self.completed(job);
            open.spec.shape == Shape::Array
                && completed.is_some_and(|numbers| numbers.covers_first(open.spec.task_count))
        });
        if complete {
            self.complete.insert(job);
        } else {
            self.complete.remove(&job);
        }
    }

    /// Returns how a job ended, if the watched records list it as ended.
    pub fn end(&self, job: u64) -> Option<JobOutcome> {
        self.ended.get(job).map(|ended| ended.end)
    }

    /// Returns the number of ended jobs that the watched records list.
    pub fn ended_count(&self) -> usize {
        self.ended.len()
    }

    /// Returns a job's team and the resources of one of its tasks, for open jobs and for ended jobs
    /// of which tasks may still be on machines.
    pub fn task_resources(&self, job: u64) -> Option<(u32, Resources)> {
        if let Some(open) = self.open.get(&job) {
            return Some((open.team, open.needs()));
        }
        let demand = self.ended.demand(job)?;
        Some((demand.team, demand.needs))
    }

    /// Returns the status of a job, if this mirror holds the job.
    pub fn status(&self, job: u64) -> Option<JobStatus> {
        if let Some(job_end) = self.ended.job_end(job) {
            return Some(status_of(job_end.end));
        }
        if !self.open.contains_key(&job) {
            return None;
        }
        let status = if self.cancelled_with(job).is_some() {
            JobStatus::Cancelled
        } else if self.assigned(job) > 0 {
            JobStatus::Running
        } else {
            JobStatus::Queued
        };
        Some(status)
    }

    /// Returns the view of a job for its user, if this mirror holds the job.
    pub fn view(&self, job: u64) -> Option<JobView> {
        let status = self.status(job)?;
        let ended_with = self.ended.get(job).and_then(|ended| ended.cancelled_by);
        if let Some(dependency) = ended_with.or_else(|| self.cancelled_with(job)) {
            return Some(cancelled_job_view(job, dependency));
        }
        if let Some(job_end) = self.ended.job_end(job) {
            let done = match job_end.end {
                JobOutcome::Done => job_end.task_count,
                JobOutcome::Cancelled => self.done(job),
            };
            return Some(ended_job_view(job, job_end.end, done));
        }
        Some(JobView {
            waits_on: dependency_ids(self.unmet_dependencies(job)),
            ..JobView::new(job, status, self.done(job), self.assigned(job))
        })
    }
}
