//! Open jobs: those that have not ended.

use super::Urgency;
use crate::admission::flows::Flow;
use crate::admit::allows_machine_type;
use crate::needs::Resources;
use crate::pools::PoolSet;
use cherryyard_wire::RangeSet;
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::job::{JobSpec, Rank, Shape};
use cherryyard_wire::peer::MachinePool;
use cherryyard_wire::record::{JobOutcome, JobRecord, TaskUsage};
use cherryyard_wire::rules::Rules;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use xxhash_rust::xxh3::Xxh3Default;

/// Job that has not ended.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// Revision of the job's own record, or of the bucket that it was read from; 0 while the job is
    /// stored only on a page of the admission log.
    pub revision: u64,
    /// Job as it was submitted.
    pub spec: JobSpec,
    /// Index of the job's team.
    pub team: u32,
    /// Flow that the job belongs to, by its class and team.
    pub flow: Flow,
    /// Wall-clock time of the submission, in milliseconds.
    pub submitted_at: u64,
    /// Task numbers of each shard; empty until the leader has divided the job.
    pub division: Vec<RangeSet>,
    /// Zone in which all tasks run, if the user asked for a single zone.
    pub zone: Option<String>,
    /// Maximum number of tasks by shard and zone, if the user asked for tasks to be spread;
    /// otherwise empty.
    pub zone_caps: Vec<Vec<u32>>,
    /// Placement rules beyond the fields of the submission, and the pools that they currently
    /// allow.
    pub rules: Option<(Box<Rules>, Arc<PoolSet>)>,
    /// Jobs that this one depends on.
    pub dependencies: Dependencies,
    /// Priority and deadline of the job, including those inherited from its dependents.
    pub urgency: Urgency,
}

impl OpenJob {
    /// Returns whether the leader has divided the job among the shards.
    pub fn divided(&self) -> bool {
        !self.division.is_empty()
    }

    /// Returns the preference tier of machines of this type and zone, spot or not, for the job; 0
    /// is preferred most. Returns none if the job's spec, zone or rules exclude such machines.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u16> {
        let allowed = (self.spec.spot || !spot)
            && allows_machine_type(&self.spec, machine_type)
            && self.spec.zone.as_deref().is_none_or(|asked| asked == zone)
            && self.zone.as_deref().is_none_or(|pinned| pinned == zone);
        allowed
            .then(|| self.tier(machine_type, zone, spot))
            .flatten()
    }

    /// Returns the preference tier of a pool's machines for the job, or none if the job excludes them.
    pub fn allows_pool(&self, pool: &MachinePool) -> Option<u16> {
        self.allows(&pool.machine_type, &pool.zone, pool.spot)
    }

    /// Returns the preference tier of a pool by the job's rules alone, 0 being preferred most; none
    /// if the rules exclude the pool.
    pub fn tier(&self, machine_type: &str, zone: &str, spot: bool) -> Option<u16> {
        match &self.rules {
            None => Some(0),
            Some((_, pools)) => pools.tier(machine_type, zone, spot),
        }
    }

    /// Returns the wall-clock time in milliseconds by which the job should be complete; infinity if
    /// it has no deadline.
    pub fn due_ms(&self) -> f64 {
        let deadline = self.urgency.deadline;
        deadline.map_or(f64::INFINITY, |deadline| deadline.complete_by(1.0))
    }

    /// Returns the job's priority: its own, or a higher one inherited from a dependent.
    pub fn rank(&self) -> Rank {
        self.urgency.rank
    }

    /// Returns whether the job's tasks may preempt those of another job because of their priority.
    /// For a service, the two jobs' own priorities are compared: with inherited ones, an array that
    /// inherits a service's priority from a dependent would keep services out.
    pub fn may_preempt(&self, other: &Self) -> bool {
        if self.spec.shape == Shape::Service {
            return other.spec.rank < self.spec.rank;
        }
        other.rank() < self.rank()
    }

    /// Returns the wall-clock time in milliseconds at which the job began to wait for machines: its
    /// submission, or the completion of the last job that it depended on.
    pub fn ready_at(&self) -> u64 {
        self.dependencies.ready_at.unwrap_or(self.submitted_at)
    }

    /// Returns the resources that one of the job's tasks takes.
    pub fn needs(&self) -> Resources {
        Resources {
            cores: self.spec.cores,
            accelerators: self.spec.accelerators,
            ram_gb: self.spec.ram_gb,
        }
    }

    /// Returns a hash of the properties that decide which machines fit the job. Jobs with the same
    /// signature fit the same machines, so the result of a search over all machines for one job
    /// also applies to the others.
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

    /// Returns whether the job's tasks may be preempted for jobs of higher priority: the job is an
    /// array with standard priority or below.
    pub fn is_preemptible(&self) -> bool {
        self.spec.shape == Shape::Array && self.spec.rank <= Rank::Standard
    }

    /// Returns the record of the open job, for rewriting it.
    pub fn record(&self) -> JobRecord {
        JobRecord::Open {
            spec: Box::new(self.spec.clone()),
            submitted_at_ms: self.submitted_at,
            division: self.division.clone(),
            zone: self.zone.clone(),
            zone_caps: self.zone_caps.clone(),
            rules: self.rules.as_ref().map(|(rules, _)| rules.clone()),
            dependencies: self.dependencies.clone(),
        }
    }

    /// Returns the record of the job's end.
    pub fn ended(&self, end: JobOutcome) -> JobRecord {
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
