//! A whole cluster: controllers, state service, workers, users, and the faults between
//! them.
//!
//! [`World`] is made of one type per concern, each with its own state; the order in which
//! they act in each step of the clock is that of `World::step`.

use crate::{StateStandIn, WorkerStandIn};
use cherryyard_core::Controller;
use std::collections::BTreeMap;

mod cancellations;
mod checker;
mod cloud;
mod controllers;
mod duplicates;
mod effects;
mod machines;
mod network;
pub mod pipelines;
pub mod requests;
mod setup;
mod state_link;
mod submissions;

pub use checker::Checker;
pub use cloud::{Booting, Cloud};
pub use controllers::Processes;
pub use duplicates::HeartbeatDuplicates;
pub use machines::{HeldCommand, Machines};
pub use network::Network;
use requests::Requests;
pub use requests::{Question, Response};
pub use setup::{Setup, small_machine_type};
pub use state_link::{CrashPoint, StateLink};
pub use submissions::Submissions;

/// Milliseconds between two steps of the clock.
const STEP: f64 = 50.0;
/// Steps of the clock between two heartbeats of a controller to the others.
const STEPS_PER_HEARTBEAT: u64 = 10;

/// A simulated cluster. All of it runs in one thread, on a clock that the test moves.
pub struct World {
    /// The time in milliseconds.
    pub now: f64,
    /// The state service.
    pub state: StateStandIn,
    /// Controllers; `None` while one is down.
    pub controllers: Vec<Option<Controller>>,
    /// Workers by name.
    pub workers: BTreeMap<String, WorkerStandIn>,
    /// Who reaches whom.
    pub network: Network,
    /// The controllers' processes.
    pub processes: Processes,
    /// The way between controllers and the state service.
    pub state_link: StateLink,
    /// Heartbeats of workers that arrive more than once.
    pub duplicates: HeartbeatDuplicates,
    /// The machines themselves, and commands on their way to them.
    pub machines: Machines,
    /// The cloud.
    pub cloud: Cloud,
    /// Submissions and cancellations.
    pub submissions: Submissions,
    /// Users' requests under way, and what they have been answered.
    pub requests: Requests,
    /// What happened.
    pub trace: Vec<String>,
    /// Rules seen broken.
    pub broken: Vec<String>,
    /// What the rules are judged by.
    pub checker: Checker,
    setup: Setup,
}

impl World {
    /// Writes a line into the trace.
    pub fn say(&mut self, text: impl AsRef<str>) {
        self.trace
            .push(format!("{:7.2} {}", self.now / 1000.0, text.as_ref()));
    }

    fn say_all(&mut self, lines: Vec<String>) {
        for line in lines {
            self.say(line);
        }
    }

    /// Lets `seconds` pass.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds * 1000.0;
        while self.now + STEP <= end + 1e-6 {
            self.now += STEP;
            self.step();
        }
    }

    /// Lets time pass until `done` holds, at most `seconds`.
    ///
    /// # Panics
    ///
    /// If `done` does not hold by then.
    pub fn run_until(&mut self, seconds: f64, done: impl Fn(&Self) -> bool) {
        let end = self.now + seconds * 1000.0;
        while !done(self) {
            assert!(
                self.now < end,
                "not within {seconds} s:\n{}",
                self.trace.join("\n")
            );
            self.now += STEP;
            self.step();
        }
    }

    /// All that happens in one step of the clock, in this order.
    fn step(&mut self) {
        self.state.expire(self.now);
        self.apply_delayed_commits();
        self.deliver_state_responses();
        self.boot_machines();
        self.give_up_provisions();
        self.end_and_restart_leaders();
        self.deliver_heartbeats_kept_for_next_leader();
        self.step_controllers();
        if ((self.now / STEP) as u64).is_multiple_of(STEPS_PER_HEARTBEAT) {
            self.exchange_heartbeats();
        }
        self.deliver_queued_heartbeats();
        self.deliver_duplicates();
        self.step_workers();
        self.retry_cancellations();
        self.list_machines_when_due();
        self.send_odd_requests();
        self.serve_requests();
        self.check();
        self.cancel_some_ended_jobs();
    }
}
