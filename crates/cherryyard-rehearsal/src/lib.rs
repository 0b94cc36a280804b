//! Rehearsals: whole clusters in one thread, on a clock that the test moves.
//!
//! The stand-ins follow the protocol's words on state service, workers and
//! cloud, and nothing is random, so a rehearsal's trace can be kept and read.
//! This is also where a rehearsal kit for operators would grow: a [`world`] is
//! made of stand-ins and a script, whatever format its jobs come in.

pub mod http;
pub mod process;
pub mod state;
pub mod worker;
pub mod world;

pub use state::StateStandIn;
pub use worker::WorkerStandIn;
pub use world::{Setup, World, small_kind};
