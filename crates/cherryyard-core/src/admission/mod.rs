//! Admission under overload: who is served when not all can be.
//!
//! See `docs/admission.md`. [`intake`] takes submissions, [`queue`] holds what waits;
//! [`fair_share_guarantee`] says what each flow is to have, [`fair_share_status`] whether it
//! has it, and [`allowance`] how owners act on that together without doing too much;
//! [`entitlements`] holds the state of all that. The controller's part is in [`handlers`].

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
