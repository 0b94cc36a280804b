//! Admission under overload: who is served when not all can be.
//!
//! See `docs/admission.md`. [`intake`] takes submissions, [`queue`] holds what waits;
//! [`shares`] says what each flow is due, [`status`] whether it has it, and
//! [`ledger`] how owners act on that together without doing too much.

pub(crate) mod demand;
pub(crate) mod entitlements;
pub mod fair_queue;
pub mod fair_share_status;
pub mod flows;
pub mod intake;
pub mod ledger;
pub mod queue;
pub mod shares;
