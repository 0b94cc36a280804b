//! What the core wants done, and how it came out.

use crate::admission::submission::Verdict;
use cherryyard_wire::cloud::ProvisionRequest;
use cherryyard_wire::history::Level;
use cherryyard_wire::state::Commit;
use cherryyard_wire::worker::{CommandBatch, HeartbeatResponse, WorkerHeartbeat};

/// Which of this controller's transactions an outcome belongs to. There is at
/// most one of each under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Ticket {
    /// A lease on a shard, or its renewal under a new token.
    AcquireShard(usize),
    /// An owner's round.
    OwnerCycle(usize),
    /// An owner gives its shard up.
    ReleaseShard(usize),
    /// A lease on the lead.
    AcquireLeadership,
    /// A leader's round.
    LeaderCycle,
    /// The history's packer.
    HistoryCompaction,
    /// The creator of submissions' jobs.
    BulkCreation,
    /// Users' submissions.
    Admission,
}

/// How a transaction came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Applied, at this revision.
    Applied(u64),
    /// A condition failed, as of this revision.
    Conflict(u64),
    /// Its lease was over.
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
    /// The worker answered with its report.
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
    /// Ask a machine directly for its report.
    QueryStatus {
        /// The machine.
        host: u32,
        /// Its address.
        addr: String,
    },
    /// Tell the other controllers at once.
    Heartbeat,
    /// What has become of the submission with this number.
    Answer(u64, Verdict),
    /// Return machines.
    Release(Vec<String>),
    /// Rent machines.
    Provision(ProvisionRequest),
    /// Read the first leaf of a run whose last possible id is this one or later.
    ReadLeaf(Level, u64),
    /// Read a chunk of a submission.
    ReadChunk(u64, u32),
}

/// The answer to a worker's report.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// 200.
    Answer(HeartbeatResponse),
    /// 421, naming the owner if one is known.
    Elsewhere(Option<String>),
    /// 503.
    Unavailable,
}
