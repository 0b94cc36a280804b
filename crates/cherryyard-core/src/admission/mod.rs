//! Admission and fair sharing under overload: which submissions are written and which jobs are
//! started first when there is not enough capacity for all.
//!
//! [`intake`] writes submissions to the state service and [`queue`] orders the jobs that wait in
//! a shard. [`fair_share_guarantee`] computes the cores that each flow (the jobs of one class and
//! team) is guaranteed, and [`fair_share_status`] whether the flow runs as many. [`allowance`]
//! bounds what the owners of shards may do about it, so that all of them together stay within
//! the guarantee, and [`entitlements`] holds the state of these three. [`handlers`] connects them
//! to the controller. See `docs/admission.md`.

pub mod allowance;
pub(crate) mod demand;
pub(crate) mod entitlements;
pub mod fair_queue;
pub mod fair_share_guarantee;
pub mod fair_share_status;
pub mod flows;
mod handlers;
pub mod intake;
pub mod queue;
mod retry_schedule;
pub(crate) mod submission;
mod submission_queue;
