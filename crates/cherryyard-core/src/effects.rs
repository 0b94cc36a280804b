//! Effects: the actions that the core requests from its caller, and the types of their outcomes.

use crate::admission::submission::SubmissionOutcome;
use cherryyard_wire::cloud::ProvisionRequest;
use cherryyard_wire::history::Level;
use cherryyard_wire::state::Commit;
use cherryyard_wire::worker::{CommandBatch, HeartbeatResponse, WorkerHeartbeat};

/// Identifier of a transaction, by which its outcome is matched to it. At most one transaction
/// per ticket is in flight.
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
    /// Moves finished jobs into the history.
    HistoryCompaction,
    /// Creates the jobs of bulk submissions.
    BulkCreation,
    /// Writes users' submissions.
    Admission,
}

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The transaction was applied at this revision.
    Applied(u64),
    /// A condition of the transaction failed, as of this revision.
    Conflict(u64),
    /// The lease of the state service that the transaction named had expired.
    NoLease,
    /// The state service refused the transaction and did not execute it.
    Refused,
    /// The state service refused the transaction and will always refuse it unchanged, because it
    /// is too large or has too many changes.
    Malformed,
    /// No answer arrived: the transaction may have been applied, or may still be.
    Unknown,
}

/// Outcome of a batch of direct commands to a worker.
#[derive(Clone, Debug)]
pub enum PushOutcome {
    /// The worker answered with its status.
    Answered(Box<WorkerHeartbeat>),
    /// No connection was established, so the worker never receives the commands.
    Unsent,
    /// No answer arrived: the worker may still execute the commands.
    Unknown,
}

/// An action that the core requests from its caller.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Sends a transaction to the state service.
    Commit(Ticket, Commit),
    /// Reads the newest state from the state service soon.
    Refresh,
    /// Sends direct commands to a worker.
    Push {
        /// Index of the machine's name.
        host: u32,
        /// Address at which the worker accepts commands.
        addr: String,
        /// The commands.
        request: CommandBatch,
    },
    /// Queries the status of a worker directly.
    QueryStatus {
        /// Index of the machine's name.
        host: u32,
        /// Address at which the worker accepts queries.
        addr: String,
    },
    /// Sends a heartbeat to the other controllers immediately.
    Heartbeat,
    /// Delivers the verdict on the submission with this number.
    Answer(u64, SubmissionOutcome),
    /// Returns the machines with these names to the cloud.
    Release(Vec<String>),
    /// Provisions machines.
    Provision(ProvisionRequest),
    /// Reads the first leaf, at this level of the history, whose last possible id is this one or
    /// later.
    ReadLeaf(Level, u64),
    /// Reads a chunk of a bulk submission, given the number of the submission and the number of
    /// the chunk.
    ReadChunk(u64, u32),
}

/// The answer to a worker's heartbeat, by the status of the HTTP response.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Status 200: the heartbeat was accepted.
    Answer(HeartbeatResponse),
    /// Status 421: another controller owns the shard; its name, if known.
    Misdirected(Option<String>),
    /// Status 503: the heartbeat cannot be answered now, and no other owner is named.
    Unavailable,
}
