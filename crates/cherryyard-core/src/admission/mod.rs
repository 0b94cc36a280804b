//! Admission under overload: who is served when not all can be.

pub mod fair;
pub mod flows;
pub mod intake;
pub mod queue;
