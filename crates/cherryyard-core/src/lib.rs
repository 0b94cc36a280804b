//! The scheduling core of cherryyard.
//!
//! [`Controller`] consumes events (state changes, heartbeats of workers and peers, answers, the
//! passing of time) and returns effects (transactions, direct commands, provisioning requests).
//! It performs no I/O and reads no clock, so the same events always produce the same effects;
//! the deterministic simulation relies on this.
//!
//! Start with [`controller`]: its documentation describes how an event is handled and which
//! modules are involved.

pub mod account;
pub mod admission;
pub mod admit;
mod cancelled;
pub mod command_log;
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

/// A time on the steady clock of this process, or a duration, in milliseconds.
pub type Millis = f64;
