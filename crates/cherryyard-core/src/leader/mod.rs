//! The leader: divides jobs among the shards, moves what waits, hands out team
//! limits, scales out machines.
//!
//! [`state`] holds what a leader remembers, by concern; [`cycle`] says how a controller
//! becomes the leader and what a cycle does, in order; [`handlers`] ties the division of
//! jobs, rebalancing and scale out to the controller.

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
