//! The simulated cluster: controllers, state service, workers, users' requests, and the faults
//! between them.
//!
//! [`World`] is composed of one type per concern, each with its own state; `World::step`
//! defines the order in which they act in each step of the clock.

use crate::{StateStandIn, WorkerStandIn};
use cherryyard_core::Controller;
use std::collections::BTreeMap;

mod cancellations;
mod checker;
mod cloud;
mod command_copies;
mod controllers;
mod duplicates;
mod effects;
mod machines;
mod network;
pub mod pipelines;
pub mod requests;
mod setup;
mod state_link;
mod stored_tasks;
mod submissions;

pub use checker::Checker;
pub use cloud::{BootingMachine, Cloud};
pub use command_copies::CommandCopies;
pub use controllers::Processes;
pub use duplicates::HeartbeatDuplicates;
pub use machines::{HeldCommand, Machines};
pub use network::Network;
use requests::Requests;
pub use requests::{Question, Response};
pub use setup::{Setup, small_machine_type};
pub use state_link::{CrashPoint, StateLink};
use stored_tasks::StoredTasks;
pub use submissions::Submissions;

/// Length of a step of the clock, in milliseconds.
const STEP_MS: f64 = 50.0;
/// Number of steps of the clock between two heartbeats of a controller to the other
/// controllers.
const STEPS_PER_HEARTBEAT: u64 = 10;

/// A simulated cluster, which runs in one thread on a clock that the test advances.
pub struct World {
    /// Simulated time in milliseconds.
    pub now: f64,
    /// Stand-in of the state service.
    pub state: StateStandIn,
    /// Controllers by index; `None` while a controller's process is down.
    pub controllers: Vec<Option<Controller>>,
    /// Workers by the names of their machines.
    pub workers: BTreeMap<String, WorkerStandIn>,
    /// Partitions of the network.
    pub network: Network,
    /// State of the controllers' processes: pauses, lag and restarts.
    pub processes: Processes,
    /// Connection between the controllers and the state service.
    pub state_link: StateLink,
    /// Workers' heartbeats that are delivered more than once.
    pub duplicates: HeartbeatDuplicates,
    /// Direct commands that are delivered more than once.
    pub command_copies: CommandCopies,
    /// Faults of machines, and direct commands on their way to them.
    pub machines: Machines,
    /// Stand-in of the cloud, which provisions and releases machines.
    pub cloud: Cloud,
    /// Submissions and cancellations that users have requested.
    pub submissions: Submissions,
    /// Users' requests in progress, and the responses that users have received.
    pub requests: Requests,
    /// Log of what happened, one line per event with its simulated time.
    pub trace: Vec<String>,
    /// Rule violations found so far, each text once.
    pub violations: Vec<String>,
    /// Observations that the rules are checked against.
    pub checker: Checker,
    /// Stored entries of tasks, as of the last check.
    stored_tasks: StoredTasks,
    setup: Setup,
}

impl World {
    /// Appends a line to the trace, with the simulated time.
    pub fn trace_line(&mut self, text: impl AsRef<str>) {
        self.trace
            .push(format!("{:7.2} {}", self.now / 1000.0, text.as_ref()));
    }

    fn trace_all(&mut self, lines: Vec<String>) {
        for line in lines {
            self.trace_line(line);
        }
    }

    /// Advances the clock by `seconds`, step by step.
    pub fn run(&mut self, seconds: f64) {
        let end = self.now + seconds * 1000.0;
        while self.now + STEP_MS <= end + 1e-6 {
            self.now += STEP_MS;
            self.step();
        }
    }

    /// Advances the clock until `done` holds, by at most `seconds`.
    ///
    /// # Panics
    ///
    /// If `done` does not hold by then.
    pub fn run_until(&mut self, seconds: f64, done: impl Fn(&Self) -> bool) {
        let end = self.now + seconds * 1000.0;
        while !done(self) {
            assert!(
                self.now < end,
                "the condition does not hold within {seconds} s:\n{}",
                self.trace.join("\n")
            );
            self.now += STEP_MS;
            self.step();
        }
    }

    /// Executes everything that happens in one step of the clock, in this order.
    fn step(&mut self) {
        self.state.expire(self.now);
        self.apply_delayed_commits();
        self.deliver_state_responses();
        self.boot_machines();
        self.time_out_provisions();
        self.kill_and_restart_leaders();
        self.deliver_kept_heartbeats();
        self.step_controllers();
        if ((self.now / STEP_MS) as u64).is_multiple_of(STEPS_PER_HEARTBEAT) {
            self.exchange_heartbeats();
        }
        self.deliver_queued_heartbeats();
        self.deliver_duplicates();
        self.step_workers();
        self.deliver_command_copies();
        self.retry_cancellations();
        self.list_machines_when_due();
        self.send_odd_requests();
        self.serve_requests();
        self.check_rules();
        self.check_stored_tasks();
        self.cancel_some_ended_jobs();
    }
}
