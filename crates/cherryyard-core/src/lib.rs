//! The scheduling core of cherryyard.
//!
//! [`Controller`] is one controller: it takes events (state changes, workers' and peers'
//! heartbeats, answers, the time) and returns effects (transactions, direct commands,
//! provisioning requests). It does no I/O and reads no clock, so the same events always give
//! the same effects, which is what the deterministic simulation builds on.
//!
//! Read [`controller`] first: it says how an event is handled, and where to read on.

pub mod account;
pub mod admission;
pub mod admit;
mod cancelled;
pub mod config;
pub mod controller;
pub mod dependencies;
pub mod divide;
pub mod effects;
pub mod event_loop_lag;
mod heartbeats;
pub mod leader;
mod lease_acquisition;
pub mod machine;
pub mod mirror;
mod misdirected_workers;
pub mod names;
pub mod needs;
pub mod owner;
pub mod pages;
mod peers;
pub mod pools;
pub mod reachability;
mod shard_lease;
pub mod shard_map;
mod state_contact;
pub mod state_limits;
pub mod token_bucket;
pub mod users;
mod worker_heartbeats;

pub use config::{Config, MAX_MACHINES, Tuning};
pub use controller::Controller;
pub use effects::{Effect, Outcome, PushOutcome, Reply, Ticket};
pub use machine::{Machine, MachineState, Task};
pub use mirror::Mirror;

/// Milliseconds on this process's steady clock.
pub type Millis = f64;
