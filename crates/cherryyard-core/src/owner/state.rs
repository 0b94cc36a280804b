//! In-memory state of an owner for each shard.

use super::failure_attribution::JobFailures;
use super::kept_remainders::KeptRemainders;
use crate::Millis;
use crate::account::Account;
use crate::admission::flows::Flow;
use crate::admission::queue::Queues;
use crate::machine::Task;
use crate::shard_lease::ShardLease;
use crate::token_bucket::TokenBucket;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A task that is being stopped in favour of another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Preempted {
    pub(crate) attempt: u64,
    /// Waiting task in whose favour this one is stopped.
    pub(crate) for_task: Task,
    /// Time at which the preemption expires.
    pub(crate) until: Millis,
}

/// A machine reserved for a task for which others were preempted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    pub(crate) for_task: Task,
    pub(crate) until: Millis,
}

/// A machine kept for the first task of its flow's oldest job.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeptMachine {
    pub(crate) task: Task,
    pub(crate) host: u32,
}

/// Follow-up work of a scheduling cycle once its transaction is durable.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingCycle {
    /// Machines whose assignments the cycle changes.
    pub(crate) hosts: BTreeSet<u32>,
    /// Job and machine of each failed task.
    pub(crate) failed: Vec<(u64, u32)>,
    /// Job and machine of each completed task.
    pub(crate) done: Vec<(u64, u32)>,
    /// Page of which the transaction is a step of the division.
    pub(crate) divided_page: Option<u32>,
}

/// State of one shard in this controller.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) lease: ShardLease,
    /// Whether changes since the last planned scheduling cycle call for another one.
    pub(crate) needs_cycle: bool,
    /// Machines that the next scheduling cycle inspects.
    pub(crate) machines_to_inspect: BTreeSet<u32>,
    /// Time of the last scheduling cycle that inspected all machines.
    pub(crate) inspected_at: Millis,
    /// Time of the last search for pages to compact.
    pub(crate) compacted_at: Millis,
    /// Time at which the last scheduling cycle was planned.
    pub(crate) planned_at: Millis,
    /// Time of the last timed maintenance.
    pub(crate) maintained_at: Millis,
    /// Time of the last scan of all assignments for silent machines.
    pub(crate) silence_scanned_at: Millis,
    /// Time at which placement was last tried, and the newest revisions of the state known then.
    pub(crate) placed_at: Millis,
    pub(crate) placed_at_revisions: (u64, u64),
    /// Budget of the changes that the shard's scheduling cycles may write.
    pub(crate) budget: TokenBucket,
    /// Scheduling cycle whose transaction is in flight.
    pub(crate) pending: Option<PendingCycle>,
    /// Time before which no scheduling cycle is planned.
    pub(crate) retry_at: Millis,
    /// Tasks that are being stopped in favour of others.
    pub(crate) preempted: HashMap<Task, Preempted>,
    /// Machines reserved for a task for which others were preempted.
    pub(crate) reserved: BTreeMap<u32, Reservation>,
    /// Machines kept for the oldest jobs that have not started, by flow.
    pub(crate) kept_machines: BTreeMap<Flow, KeptMachine>,
    /// Failures of jobs in this shard, by job.
    pub(crate) job_failures: HashMap<u64, JobFailures>,
    /// Services that are held back for a short time so that the leader can move them to another
    /// shard.
    pub(crate) handover_candidates: BTreeSet<u64>,
    /// Waiting jobs in the order of service.
    pub(crate) queues: Queues,
    /// Teams with waiting tasks of which none fits into the remainder of the grant, and the time
    /// since which this is so.
    pub(crate) unusable_remainders: HashMap<usize, Millis>,
    /// Remainders of teams' grants that are kept for the oldest waiting jobs.
    pub(crate) kept_remainders: KeptRemainders,
    /// Time at which the record of the shard's images was last due.
    pub(crate) images_checked_at: Millis,
    /// Revision that the mirror must reach before the next scheduling cycle is planned.
    pub(crate) wait_revision: u64,
    /// Number of each job's tasks that completed in this shard, and the sum of their run times.
    pub(crate) completed_runs: HashMap<u64, (u32, Millis)>,
    /// Account of how the shard's cores were used.
    pub(crate) account: Account,
}

impl Shard {
    pub(crate) fn new(writes_per_s: f64, now: Millis) -> Self {
        Self {
            lease: ShardLease::new(now),
            needs_cycle: true,
            machines_to_inspect: BTreeSet::new(),
            inspected_at: f64::NEG_INFINITY,
            compacted_at: now,
            planned_at: f64::NEG_INFINITY,
            maintained_at: f64::NEG_INFINITY,
            silence_scanned_at: f64::NEG_INFINITY,
            placed_at: f64::NEG_INFINITY,
            placed_at_revisions: (0, 0),
            budget: TokenBucket::new(writes_per_s, now),
            pending: None,
            retry_at: now,
            preempted: HashMap::new(),
            reserved: BTreeMap::new(),
            kept_machines: BTreeMap::new(),
            job_failures: HashMap::new(),
            handover_candidates: BTreeSet::new(),
            queues: Queues::default(),
            unusable_remainders: HashMap::new(),
            kept_remainders: KeptRemainders::default(),
            images_checked_at: now,
            wait_revision: 0,
            completed_runs: HashMap::new(),
            account: Account::default(),
        }
    }

    pub(crate) fn clear(&mut self) {
        self.preempted.clear();
        self.machines_to_inspect.clear();
        self.inspected_at = f64::NEG_INFINITY;
        self.reserved.clear();
        self.queues.clear();
        self.handover_candidates.clear();
        self.kept_machines.clear();
        self.job_failures.clear();
        self.unusable_remainders.clear();
        self.kept_remainders = KeptRemainders::default();
        self.completed_runs.clear();
        self.account.clear();
    }
}
