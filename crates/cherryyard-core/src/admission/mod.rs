//! Admission under overload: who is served when not all can be.
//!
//! See `docs/admission.md`. [`intake`] takes submissions, [`queue`] holds what waits;
//! [`shares`] says what each flow is due, [`standing`] whether it has it, and
//! [`ledger`] how owners act on that together without doing too much.

pub(crate) mod demand;
pub mod fair;
pub mod flows;
pub mod intake;
pub mod ledger;
pub mod queue;
pub(crate) mod rights;
pub mod shares;
pub mod standing;
