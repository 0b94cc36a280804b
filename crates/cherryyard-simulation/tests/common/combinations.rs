//! Clusters of twelve machines for tests in which several faults overlap.

use cherryyard_simulation::{Setup, Users, World};
use cherryyard_wire::job::JobSpec;
use std::collections::BTreeSet;

/// Returns a running cluster with a limited `guests` team, whose tasks run for `run_s` seconds.
pub fn cluster(limit: f64, run_s: f64) -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", 4), ("b", 4), ("c", 4)],
        write_rps: 60.0,
        limit,
        teams: vec![("guests", 0.0, 8.0)],
        ..Setup::default()
    });
    for worker in world.workers.values_mut() {
        worker.run_ms = run_s * 1000.0;
    }
    world.cloud.provisioned_run_ms = run_s * 1000.0;
    world.cloud.list_interval_ms = Some(5000.0);
    world.run(6.0);
    world
}

/// Returns the specification of job `number` with the given shape and number of tasks.
pub fn job(number: u64, shape: &str, task_count: u32) -> JobSpec {
    let mut spec = World::spec(&format!("j-{number:06}"), shape, task_count);
    spec.expected_s = 4.0;
    spec
}

/// Ends all faults, waits for recovery, and panics if a rule is broken or a job lost or starved.
pub fn assert_recovers(world: &mut World, users: &mut Users, case: &str) {
    let violations = users.recover_and_check(world);
    if std::env::var("DEBUG").is_ok() && !violations.is_empty() {
        println!("{}", world.trace.join("\n"));
    }
    assert!(violations.is_empty(), "{case}: {violations:?}");
}

/// Returns the machines that run a task of one of these jobs.
pub fn hosts_of(world: &World, ids: &[String]) -> BTreeSet<String> {
    let on = |x: &&cherryyard_simulation::WorkerStandIn| {
        x.running_tasks()
            .any(|p| ids.iter().any(|id| p.starts_with(id.as_str())))
    };
    world
        .workers
        .values()
        .filter(on)
        .map(|x| x.host.clone())
        .collect()
}

/// Faults that keep a machine from communicating.
#[derive(Clone, Copy, Debug)]
pub enum MachineFault {
    Hang,
    Unreachable,
    InboundLost,
    OutboundLost,
}

impl MachineFault {
    pub const ALL: [Self; 4] = [
        Self::Hang,
        Self::Unreachable,
        Self::InboundLost,
        Self::OutboundLost,
    ];

    pub fn begin(self, world: &mut World, hosts: &BTreeSet<String>) {
        let set = match self {
            Self::Hang => &mut world.machines.hung,
            Self::Unreachable => &mut world.network.unreachable,
            Self::InboundLost => &mut world.network.inbound_lost,
            Self::OutboundLost => &mut world.network.outbound_lost,
        };
        set.extend(hosts.iter().cloned());
    }

    pub fn finish(world: &mut World) {
        world.deliver_held_commands();
        world.machines.hung.clear();
        world.network.unreachable.clear();
        world.network.inbound_lost.clear();
        world.network.outbound_lost.clear();
    }
}
