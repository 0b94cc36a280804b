//! Jobs in the mirror, open and over.

use super::{Mirror, Urgency};
use crate::admission::flows::Flow;
use crate::admit::allows_machine_type;
use crate::needs::Needs;
use crate::pools::PoolSet;
use cherryyard_wire::RangeSet;
use cherryyard_wire::dependencies::{Dependencies, dependency_ids};
use cherryyard_wire::job::{JobSpec, JobStatus, JobView, Rank, Shape, job_id};
use cherryyard_wire::record::{End, JobRecord, TaskUsage};
use cherryyard_wire::rules::Rules;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3Default;

/// A job that is not over.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// Revision of its record; 0 while it is as its page of admissions says.
    pub revision: u64,
    /// What was submitted.
    pub spec: JobSpec,
    /// Its team.
    pub team: u32,
    /// Its class and team.
    pub flow: Flow,
    /// Time of day at its submission, in milliseconds.
    pub at: u64,
    /// Each shard's task numbers; empty before the division.
    pub div: Vec<RangeSet>,
    /// The zone of all its tasks, if that was asked for.
    pub zone: Option<String>,
    /// Most tasks per shard and zone, if tasks are to be apart.
    pub caps: Vec<Vec<u32>>,
    /// Where it may run, beyond what the submission's fields say, and the pools that
    /// this comes to now.
    pub rules: Option<(Box<Rules>, Arc<PoolSet>)>,
    /// Jobs that it waits for.
    pub after: Dependencies,
    /// Its priority and deadline, with what it inherits from jobs that need it.
    pub urgency: Urgency,
}

impl OpenJob {
    /// Whether the leader has divided it.
    pub fn divided(&self) -> bool {
        !self.div.is_empty()
    }

    /// Whether all that the job asks for allows a machine of this type, zone and sort;
    /// how much it prefers it then, 0 the most.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u16> {
        let allowed = (self.spec.spot || !spot)
            && allows_machine_type(&self.spec, machine_type)
            && self.spec.zone.as_deref().is_none_or(|y| y == zone)
            && self.zone.as_deref().is_none_or(|z| z == zone);
        allowed
            .then(|| self.tier(machine_type, zone, spot))
            .flatten()
    }

    /// How much its rules prefer a pool, 0 the most; none if they exclude it.
    pub fn tier(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u16> {
        match &self.rules {
            None => Some(0),
            Some((_, pools)) => pools.tier(machine_type, zone, spot),
        }
    }

    /// When it should be complete, in milliseconds of the day's clock; infinite without
    /// a deadline.
    pub fn due_ms(&self) -> f64 {
        let deadline = self.urgency.deadline;
        deadline.map_or(f64::INFINITY, |d| d.complete_by(1.0))
    }

    /// Its priority: its own, or a higher one of a job that needs it.
    pub fn rank(&self) -> Rank {
        self.urgency.rank
    }

    /// Whether its tasks may stop another job's for their priority. Services go by what
    /// both have of their own, or an array with a service's priority from a job that
    /// needs it would keep services out.
    pub fn goes_before(&self, other: &Self) -> bool {
        if self.spec.shape == Shape::Service {
            return other.spec.rank < self.spec.rank;
        }
        other.rank() < self.rank()
    }

    /// When it began to wait for machines, in milliseconds of the day's clock: at its
    /// submission, or when the last job that it needs was done.
    pub fn ready_at(&self) -> u64 {
        self.after.ready_at.unwrap_or(self.at)
    }

    /// What one of its tasks takes.
    pub fn needs(&self) -> Needs {
        Needs {
            cores: self.spec.cores,
            acc: self.spec.accelerators,
            ram: self.spec.ram_gb,
        }
    }

    /// Jobs with the same signature fit the same machines: what a search over all of
    /// them has found for one holds for the other.
    pub fn signature(&self) -> u64 {
        let mut hash = Xxh3Default::new();
        let s = &self.spec;
        let sizes = [s.cores, s.accelerators, s.ram_gb].map(f64::to_bits);
        sizes.hash(&mut hash);
        (&s.image, &s.machine_types, &s.zone, &self.zone, s.spot).hash(&mut hash);
        if let Some((_, pools)) = &self.rules {
            pools.hash(&mut hash);
        }
        hash.finish()
    }

    /// Whether its tasks make way for more important work: an array of
    /// ordinary rank or below.
    pub fn makes_way(&self) -> bool {
        self.spec.shape == Shape::Array && self.spec.rank <= Rank::Standard
    }

    /// The record, to write it anew.
    pub fn record(&self) -> JobRecord {
        JobRecord::Open {
            spec: Box::new(self.spec.clone()),
            at: self.at,
            div: self.div.clone(),
            zone: self.zone.clone(),
            caps: self.caps.clone(),
            rules: self.rules.as_ref().map(|r| r.0.clone()),
            after: self.after.clone(),
        }
    }

    /// The record of its end.
    pub fn ended(&self, end: End) -> JobRecord {
        JobRecord::Ended {
            end,
            task_count: self.spec.task_count,
            usage: TaskUsage {
                team: self.spec.team.clone(),
                cores: self.spec.cores,
                accelerators: self.spec.accelerators,
                ram_gb: self.spec.ram_gb,
            },
            generation: 0,
            cancelled_by: None,
        }
    }
}

/// A job that is over, as long as the watched records name it.
#[derive(Clone, Copy, Debug)]
pub struct EndedJob {
    /// How it ended.
    pub end: End,
    /// How many tasks it had.
    pub n: u32,
    /// Its generation in the history.
    pub generation: u64,
    /// Revision of its own record, if it has one.
    pub revision: u64,
    /// The cancelled job that it needed, if it is cancelled for that.
    pub cancelled_by: Option<u64>,
}

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
    pub(super) fn put_job(
        &mut self,
        job: u64,
        record: JobRecord,
        revision: u64,
    ) -> Result<(), String> {
        match record {
            JobRecord::Ended {
                end,
                task_count,
                usage,
                generation,
                cancelled_by,
            } => {
                let uses = self.uses_of(&usage);
                let ended = EndedJob {
                    end,
                    n: task_count,
                    generation,
                    revision,
                    cancelled_by,
                };
                self.put_end(job, ended, Some(uses));
            }
            JobRecord::Open {
                spec,
                at,
                div,
                zone,
                caps,
                rules,
                after,
            } => {
                // A job's end is final; nothing may bring it back, so a record
                // that does is older or bad.
                if self.ended.contains_key(&job) {
                    return Ok(());
                }
                let shards = self.shards.len();
                if !(div.is_empty() || div.len() == shards)
                    || !div.iter().all(RangeSet::is_canonical)
                {
                    return Err("bad division".into());
                }
                let new = self.new_job(*spec, rules, at).ok_or("unknown team")?;
                let open = OpenJob {
                    revision,
                    div,
                    zone,
                    caps,
                    after,
                    ..new
                };
                // A bucket tells of jobs that have not changed, too.
                let before = self.insert_open(job, open);
                let now = &self.open[&job];
                let same = |b: OpenJob| b.div == now.div && b.spec == now.spec;
                if !before.is_some_and(same) {
                    self.refresh_job(job);
                }
            }
        }
        Ok(())
    }

    /// The team, and what a task takes, of a job's record; a team that is not in the
    /// settings is none of ours.
    pub(super) fn uses_of(&self, usage: &TaskUsage) -> (u32, Needs) {
        let team = self.teams.get(&usage.team).unwrap_or(u32::MAX);
        let needs = Needs {
            cores: usage.cores,
            acc: usage.accelerators,
            ram: usage.ram_gb,
        };
        (team, needs)
    }

    /// A new job, with what its rules come to; none if its team is unknown.
    pub fn new_job(
        &mut self,
        spec: JobSpec,
        rules: Option<Box<Rules>>,
        at: u64,
    ) -> Option<OpenJob> {
        let team = self.teams.get(&spec.team)?;
        let rank = spec.rank;
        let mut open = OpenJob {
            revision: 0,
            team,
            flow: self.flows.intern(team, &spec.job_class),
            rules: rules.map(|rules| {
                let pools = self.matcher.pools(&rules, at);
                (rules, pools)
            }),
            spec,
            at,
            div: Vec::new(),
            zone: None,
            caps: Vec::new(),
            after: Dependencies::default(),
            urgency: Urgency {
                rank,
                deadline: None,
            },
        };
        open.urgency = open.own_urgency();
        Some(open)
    }

    /// Takes a job's end.
    pub(super) fn put_end(&mut self, job: u64, ended: EndedJob, uses: Option<(u32, Needs)>) {
        // One that is cancelled with another has never had a task.
        let never_ran = ended.cancelled_by.is_some() || self.cancelled_with(job).is_some();
        let was_open = self.remove_open(job);
        if was_open {
            self.refresh_job(job);
        }
        let known = self.ended.insert(job, ended).is_some() || self.recent.contains(&job);
        self.refresh_dependents(job);
        // Also one that a full read shows and that came and went since the one before.
        let events = was_open || (self.loaded && !known);
        if ended.end == End::Cancelled && events && !never_ran {
            self.new_cancels.push(job);
        }
        match uses {
            Some(uses) => self.ended_uses.insert(job, uses),
            None => self.ended_uses.remove(&job),
        };
    }

    /// Jobs that have been seen to be cancelled since the last call.
    pub fn new_cancels(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.new_cancels)
    }

    /// Whether a job has been seen to be cancelled since then.
    pub(crate) fn is_new_cancel(&self, job: u64) -> bool {
        self.new_cancels.contains(&job)
    }

    /// Whether jobs may have been cancelled, since the last call, that no longer can be
    /// named.
    pub(crate) fn has_gap(&mut self) -> bool {
        std::mem::take(&mut self.gap)
    }

    /// A job's record is gone: it is over and in the history, or it never was.
    pub(super) fn drop_job(&mut self, job: u64) {
        if self.remove_open(job) {
            // How it ended was not seen.
            self.gap = true;
            self.refresh_job(job);
        }
        self.ended_uses.remove(&job);
        if let Some(ended) = self.ended.remove(&job) {
            self.recent.put(job, (ended.end, ended.n));
        }
    }

    /// Whether a job with one of these numbers is open, or over and not only in the
    /// history.
    pub fn knows_any(&self, jobs: std::ops::Range<u64>) -> bool {
        self.open.range(jobs.clone()).next().is_some()
            || self.ended.keys().any(|job| jobs.contains(job))
            || self.recent.iter().any(|(job, _)| jobs.contains(job))
    }

    /// Whether any page names the job, of assignments or of admissions: while one of assignments
    /// does, its tasks may be on machines, and while one of admissions does, it would be
    /// open again if nothing said that it is over.
    pub fn named_in_pages(&self, job: u64) -> bool {
        self.page_of(job).is_some()
            || (0..self.shards.len())
                .any(|shard_id| self.assignments.contains_key(&(shard_id, job)))
    }

    /// Jobs that are over and stand in watched records.
    pub fn ended_jobs(&self) -> impl Iterator<Item = (u64, &EndedJob)> {
        self.ended.iter().map(|(&job, ended)| (job, ended))
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

    pub(super) fn refresh_complete(&mut self, job: u64) {
        let done = self.done(job);
        let complete = self
            .open
            .get(&job)
            .is_some_and(|o| o.spec.shape == Shape::Array && done >= o.spec.task_count);
        if complete {
            self.complete.insert(job);
        } else {
            self.complete.remove(&job);
        }
    }

    /// How a job ended, if it did.
    pub fn end(&self, job: u64) -> Option<End> {
        self.ended.get(&job).map(|e| e.end)
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
        self.ended_uses.get(&job).copied()
    }

    /// How many of a job's tasks are done.
    pub fn done(&self, job: u64) -> u32 {
        self.tasks_done.get(&job).copied().unwrap_or(0)
    }

    /// The job as its user sees it, if it is known.
    pub fn view(&self, job: u64) -> Option<JobView> {
        if let Some(need) = self.ended.get(&job).and_then(|e| e.cancelled_by) {
            return Some(cancelled_with(job, need));
        }
        let ended = self.ended.get(&job).map(|e| (e.end, e.n));
        if let Some((end, n)) = ended.or_else(|| self.recent.peek(&job).copied()) {
            let done = if end == End::Done { n } else { self.done(job) };
            return Some(over(job, end, done));
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
