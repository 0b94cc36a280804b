//! The leader: divides jobs among the shards, moves waiting tasks, grants parts of team limits to
//! the shards, and provisions machines.
//!
//! [`state`] contains the leader's state by concern; [`cycle`] defines how a controller becomes
//! the leader and the steps of a cycle, in order; [`handlers`] connects the division of jobs,
//! rebalancing and scale-out to the controller.

mod admission_log;
mod assumed_capacity;
mod bulk_creation;
pub(crate) mod capacity_reports;
mod current_capacities;
mod cycle;
mod cycle_transaction;
mod dependents;
mod division;
mod handlers;
pub(crate) mod history_compaction;
mod leadership;
mod limits;
pub(crate) mod provisioning_times;
mod rebalancing;
mod scale_out;
pub(crate) mod state;

pub use history_compaction::HistoryCounts;
pub use scale_out::ProvisionError;
