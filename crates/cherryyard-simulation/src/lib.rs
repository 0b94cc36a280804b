//! Deterministic simulation of whole clusters: controllers, state service, cloud, workers and
//! users run in one thread, on a clock that the test advances.
//!
//! The controllers are the real ones of `cherryyard-core`. Everything around them is a
//! stand-in: [`StateStandIn`] and [`WorkerStandIn`] implement the protocol; the cloud and the
//! network are part of [`World`]. A [`Fault`] is begun and ended; [`Users`] submit jobs, poll
//! them and check the outcome at the end of a scenario. All random choices are drawn from
//! seeds, so the same scenario always has the same trace.
//!
//! [`http`], [`http_worker`] and [`process`] run the real program against the stand-ins of the state
//! service and of workers.

pub mod fault;
pub mod http;
pub mod http_worker;
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

/// Runs a random scenario for each seed of a range, in tests that are started by hand. The
/// environment variables `FROM` and `SEEDS` set the first seed and the number of seeds; the
/// defaults are `first` and `count`.
///
/// # Panics
///
/// If either variable is not a number.
pub fn run_seeds(first: u64, count: u64, run_scenario: impl Fn(u64)) {
    let read_variable =
        |name: &str, default: u64| std::env::var(name).map_or(default, |s| s.parse().expect(name));
    let start = read_variable("FROM", first);
    (start..start + read_variable("SEEDS", count)).for_each(run_scenario);
}

/// Returns a generator of pseudo-random numbers below its argument. The generator (xorshift) is
/// written out here and not taken from a library, whose versions may draw differently: a seed
/// that broke a rule stays reproducible.
pub fn seeded_draws(seed: u64) -> impl FnMut(u64) -> u64 {
    let mut xorshift = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    move |bound| {
        xorshift ^= xorshift << 13;
        xorshift ^= xorshift >> 7;
        xorshift ^= xorshift << 17;
        xorshift % bound
    }
}
