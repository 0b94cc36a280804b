//! Writes of the scheduler at the smallest budgets and limits of the state service.

mod common;

use cherryyard_simulation::{Setup, World};
use cherryyard_wire::job::JobStatus;
use common::settled::{assignments_left, settled};

/// Guards against records above the smallest value limit, whatever a job's size.
#[test]
fn pages_at_the_smallest_value_limit() {
    let machines = vec![("a", 3), ("b", 3), ("c", 3)];
    let setup = Setup {
        machines,
        value_kb: 1.0,
        txn_ops: 2,
        ..Setup::default()
    };
    let mut world = settled(setup);
    for x in world.workers.values_mut() {
        x.run_ms = 500.0;
    }
    world.submit(&World::spec("j-000001", "sweep", 150));
    world.run(90.0);
    let view = world.view(0, "j-000001").unwrap();
    assert_eq!(
        (view.status, view.done),
        (JobStatus::Done, 150),
        "{}",
        world.trace.join("\n")
    );
    for prefix in ["c/mark", "c/job"] {
        let largest = world.state.largest(prefix);
        assert!((20..=1024).contains(&largest), "{prefix}: {largest} bytes");
    }
}

/// Guards against writes that grow with the number of jobs: a scheduling cycle writes a page or
/// two however many jobs it affects. A write for each job and shard used the whole budget of a
/// large deployment, and most tasks waited for the state service, not for machines.
#[test]
fn a_cycle_costs_a_write_or_two() {
    let mut world = settled(Setup {
        machines: vec![("a", 10)],
        ..Setup::default()
    });
    for x in world.workers.values_mut() {
        x.run_ms = 3000.0;
    }
    world.run(4.0);
    let before = world.state.assignment_writes;
    for i in 0..10 {
        world.submit(&World::spec(&format!("j-00001{i}"), "sweep", 2));
    }
    world.run_until(3.0, |world| world.running_task_count() == 20);
    let starting = world.state.assignment_writes - before;
    assert!(
        (1..=4).contains(&starting),
        "{starting} writes for ten jobs"
    );
    world.run(12.0);
    assert_eq!(world.running_task_count(), 0);
    let all = world.state.assignment_writes - before;
    assert!(all <= 12, "{all} writes from start to end of ten jobs");
    let none = Vec::<String>::new();
    assert_eq!(
        assignments_left(&world),
        none,
        "no assignments of ended jobs are kept"
    );
}

/// Guards against an overload by an array of 100,000 tasks at the smallest budgets: seven shards
/// accept it whole, every limit holds, no claim of a shard is lost, and it is gone soon after its
/// cancellation.
#[test]
fn a_large_array_at_the_smallest_budgets() {
    let mut world = settled(Setup {
        zones: vec!["a"; 7],
        machines: vec![("a", 21)],
        ..Setup::default()
    });
    for x in world.workers.values_mut() {
        x.run_ms = 1500.0;
    }
    let claims = |world: &World| -> Vec<String> {
        let lines = world.trace.iter().filter(|l| l.contains("claims c/part"));
        let claim = |line: &String| line[8..].split(':').next().map(String::from);
        lines.filter_map(claim).collect()
    };
    let claimed = claims(&world);
    assert_eq!(claimed.len(), 7);
    world.submit(&World::spec("j-000001", "sweep", 100_000));
    world.run_until(5.0, |world| world.running_task_count() == 42);
    let writes = world.state.writes;
    world.run(30.0);
    let view = world.view(3, "j-000001").unwrap();
    assert!(view.done > 300, "{view:?}");
    let rate = (world.state.writes - writes) as f64 / 30.0;
    assert!(rate <= 20.0, "{rate} writes a second");
    assert_eq!(claims(&world), claimed, "no claim was lost or renewed");
    world.cancel(5, "j-000001");
    world.run(10.0);
    assert_eq!(world.running_task_count(), 0);
    let largest = world.state.largest("c/");
    assert!((200..=4096).contains(&largest), "{largest} bytes");
    assert!(
        world.state.max_transaction_ops <= 8,
        "{}",
        world.state.max_transaction_ops
    );
    assert!(
        world.state.max_transaction_conditions <= 32,
        "{}",
        world.state.max_transaction_conditions
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}
