//! Effects: what the core wants done, and how that came out.

use crate::admission::submission::Verdict;
use cherryyard_wire::cloud::ProvisionRequest;
use cherryyard_wire::history::Level;
use cherryyard_wire::state::Commit;
use cherryyard_wire::worker::{CommandBatch, HeartbeatResponse, WorkerHeartbeat};

/// Which of this controller's transactions an outcome belongs to. There is at
/// most one of each under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Ticket {
    /// Acquires the lease on a shard, or renews it under a new token.
    AcquireShard(usize),
    /// A shard's scheduling cycle.
    OwnerCycle(usize),
    /// Releases the lease on a shard.
    ReleaseShard(usize),
    /// Acquires the leadership lease.
    AcquireLeadership,
    /// The leader's scheduling cycle.
    LeaderCycle,
    /// Compacts jobs that are over into the history.
    HistoryCompaction,
    /// Creates the jobs of bulk submissions.
    BulkCreation,
    /// Writes users' submissions.
    Admission,
}

/// How a transaction came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Applied, at this revision.
    Applied(u64),
    /// A condition failed, as of this revision.
    Conflict(u64),
    /// The state lease that it named was over.
    NoLease,
    /// Not executed.
    Refused,
    /// Not executed, and it never will be as it is: it is too large, or has too many
    /// changes.
    Malformed,
    /// No answer: it may have been applied, or may yet be.
    Unknown,
}

/// How a direct command came out.
#[derive(Clone, Debug)]
pub enum PushOutcome {
    /// The worker answered with its status.
    Answered(Box<WorkerHeartbeat>),
    /// No connection was made, so the worker never gets it.
    Unsent,
    /// No answer: it may yet be executed.
    Unknown,
}

/// Something the core wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a transaction.
    Commit(Ticket, Commit),
    /// Read the newest state soon.
    Refresh,
    /// Send direct commands.
    Push {
        /// The machine.
        host: u32,
        /// Its address.
        addr: String,
        /// The commands.
        request: CommandBatch,
    },
    /// Ask a machine directly for its status.
    QueryStatus {
        /// The machine.
        host: u32,
        /// Its address.
        addr: String,
    },
    /// Send the other controllers a heartbeat at once.
    Heartbeat,
    /// What has become of the submission with this number.
    Answer(u64, Verdict),
    /// Return machines to the cloud.
    Release(Vec<String>),
    /// Provision machines.
    Provision(ProvisionRequest),
    /// Read the first leaf, at this level of the history, whose last possible id is this one or
    /// later.
    ReadLeaf(Level, u64),
    /// Read a chunk of a bulk submission: its number, and the chunk's.
    ReadChunk(u64, u32),
}

/// The answer to a worker's heartbeat, by the status of the HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// 200.
    Answer(HeartbeatResponse),
    /// 421, naming the owner if one is known.
    Elsewhere(Option<String>),
    /// 503.
    Unavailable,
}
