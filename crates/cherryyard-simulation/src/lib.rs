//! Deterministic simulation of whole clusters: controllers, state service, cloud, workers
//! and users in one thread, on a clock that the test moves.
//!
//! The controllers are the real ones of `cherryyard-core`. All around them are stand-ins:
//! [`StateStandIn`] and [`WorkerStandIn`] follow the protocol; the cloud, the network and
//! the ways between them are part of [`World`]. A [`Fault`] begins and ends by name;
//! [`Users`] submit, poll and judge in the end. Whatever is drawn is drawn by a seed, so
//! the same scenario always has the same trace.
//!
//! [`http`] and [`process`] run the real program against the state service's stand-in.

pub mod fault;
pub mod http;
pub mod process;
pub mod state;
pub mod users;
pub mod worker;
pub mod world;

pub use fault::Fault;
pub use state::StateStandIn;
pub use users::Users;
pub use worker::{Task, WorkerStandIn};
pub use world::pipelines::Pipelines;
pub use world::{CrashPoint, Question, Response, Setup, World, small_machine_type};

/// Plays random scenarios by seed, by hand: `FROM` names the first seed and `SEEDS` how
/// many there are, else these.
///
/// # Panics
///
/// If either variable is not a number.
pub fn play_seeds(first: u64, count: u64, play: impl Fn(u64)) {
    let number = |name: &str, or: u64| std::env::var(name).map_or(or, |s| s.parse().expect(name));
    let from = number("FROM", first);
    (from..from + number("SEEDS", count)).for_each(play);
}

/// Draws below a number, the same for the same seed in every version of every
/// library: a seed that breaks a rule is kept.
pub fn draws(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut draw = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |n| {
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        draw % n
    }
}
