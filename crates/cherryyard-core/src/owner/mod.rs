//! The owner of a shard: scheduling cycles with assignment, placement and preemption, and commands
//! to workers.
//!
//! The tasks that a machine should run follow from the durable assignments alone. A scheduling
//! cycle collects what messages prove, places waiting tasks, and writes both in one transaction.
//! Commands are then the difference between assignments and messages.
//!
//! Suggested reading order: [`planning`] (when an owner acts), [`collection`] and [`job_ends`]
//! (proven ends of tasks and jobs), [`placement`] with [`fit`], [`zone_caps`], [`preempt`] and
//! [`team_limits`] (assignments), [`cycle`] (the transaction), [`reconciliation`],
//! [`direct_commands`] and [`heartbeat_request`] (commands), [`scale_in`], [`unresponsive`] and
//! [`spot_reclaim`] (releases of machines).

mod aging;
pub(crate) mod capacity;
mod collection;
mod cycle;
mod direct_commands;
mod eviction;
mod failure_attribution;
mod fit;
mod hand_over;
pub(crate) mod heartbeat_request;
mod images;
mod job_ends;
mod kept_remainders;
mod oversize;
mod placement;
mod planning;
mod preempt;
mod preemptible;
mod queue_upkeep;
pub(crate) mod reconciliation;
mod release;
mod scale_in;
mod search;
mod spot_reclaim;
pub(crate) mod state;
mod task_ends;
mod team_limits;
mod unresponsive;
mod zone_caps;

/// Maximum total size of a transaction's values, in bytes.
const TXN_BYTES: usize = 48 * 1024;
