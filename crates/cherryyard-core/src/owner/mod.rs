//! The owner of a shard: scheduling cycles of assignments, placement, preemption, commands.
//!
//! What a machine should run follows from the durable assignments alone. A scheduling cycle
//! collects what messages prove, places waiting tasks, and writes both in one
//! transaction; commands are then the difference between assignments and messages.
//!
//! To be read in this order: [`planning`] (what an owner does when), [`collection`] and
//! [`job_ends`] (what is proven), [`placement`] with [`fit`], [`preempt`] and [`team_limits`]
//! (what is assigned), [`cycle`] (the transaction), [`reconciliation`] and
//! [`direct_commands`] (commands), [`scale_in`], [`unresponsive`] and [`spot_reclaim`]
//! (machines that are released).

mod aging;
mod capacity;
mod collection;
mod cycle;
mod direct_commands;
mod eviction;
mod failure_attribution;
mod fit;
mod hand_over;
mod images;
mod job_ends;
mod kept_rests;
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

/// Bytes that a transaction's values may have together.
const TXN_BYTES: usize = 48 * 1024;
