//! Jobs that are not over.

use super::Urgency;
use crate::admission::flows::Flow;
use crate::admit::allows_machine_type;
use crate::needs::Needs;
use crate::pools::PoolSet;
use cherryyard_wire::RangeSet;
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::job::{JobSpec, Rank, Shape};
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
    pub submitted_at: u64,
    /// Each shard's task numbers; empty before the division.
    pub division: Vec<RangeSet>,
    /// The zone of all its tasks, if that was asked for.
    pub zone: Option<String>,
    /// Most tasks per shard and zone, if tasks are to be apart.
    pub zone_caps: Vec<Vec<u32>>,
    /// Where it may run, beyond what the submission's fields say, and the pools that
    /// this comes to now.
    pub rules: Option<(Box<Rules>, Arc<PoolSet>)>,
    /// Jobs that it waits for.
    pub dependencies: Dependencies,
    /// Its priority and deadline, with what it inherits from jobs that need it.
    pub urgency: Urgency,
}

impl OpenJob {
    /// Whether the leader has divided it.
    pub fn divided(&self) -> bool {
        !self.division.is_empty()
    }

    /// How much the job prefers a machine of this type and zone, spot or not, 0 the most;
    /// none if what it asks for excludes it.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u16> {
        let allowed = (self.spec.spot || !spot)
            && allows_machine_type(&self.spec, machine_type)
            && self.spec.zone.as_deref().is_none_or(|asked| asked == zone)
            && self.zone.as_deref().is_none_or(|pinned| pinned == zone);
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
        deadline.map_or(f64::INFINITY, |deadline| deadline.complete_by(1.0))
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
        self.dependencies.ready_at.unwrap_or(self.submitted_at)
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
        let spec = &self.spec;
        let sizes = [spec.cores, spec.accelerators, spec.ram_gb].map(f64::to_bits);
        sizes.hash(&mut hash);
        (&spec.image, &spec.machine_types).hash(&mut hash);
        (&spec.zone, &self.zone, spec.spot).hash(&mut hash);
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
            at: self.submitted_at,
            div: self.division.clone(),
            zone: self.zone.clone(),
            caps: self.zone_caps.clone(),
            rules: self.rules.as_ref().map(|(rules, _)| rules.clone()),
            after: self.dependencies.clone(),
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
