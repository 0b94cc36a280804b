//! Jobs with their own placement rules: they run only where the rules allow, whatever changes.

use cherryyard_core::Tuning;
use cherryyard_simulation::{Setup, World};
use cherryyard_wire::rules::{Attributes, Rules};
use serde_json::json;
use std::collections::BTreeSet;

fn attributes(of_zones: serde_json::Value) -> Attributes {
    serde_json::from_value(json!({ "zones": of_zones })).unwrap()
}

fn cluster(of_zones: serde_json::Value) -> World {
    let mut world = World::new(Setup {
        machines: vec![("a", 3), ("b", 3), ("c", 3)],
        large_machines: vec![("b", 1)],
        tuning: Tuning {
            condor: true,
            attributes: attributes(of_zones),
            ..Tuning::default()
        },
        ..Setup::default()
    });
    world.run(5.0);
    world
}

fn requires(text: &str) -> Option<Rules> {
    Some(Rules {
        requirements: Some(text.into()),
        ..Rules::default()
    })
}

/// Returns the machine types and zones in which the job's tasks started from line `from` on.
fn started(world: &World, from: usize, id: &str) -> BTreeSet<String> {
    let needle = format!("starts {id}/");
    let lines = world.trace[from..].iter().filter(|l| l.contains(&needle));
    let host = |l: &String| l.split_whitespace().nth(1).map(str::to_string);
    lines
        .filter_map(host)
        .map(|h| {
            let worker = &world.workers[&h];
            format!("{}/{}", worker.machine_type, worker.zone)
        })
        .collect()
}

/// Guards against tasks outside their pools when the pools are not a product of types and zones:
/// the division, the overflow to other shards and placement respect them, and excess tasks wait.
#[test]
fn a_job_runs_only_in_its_pools() {
    let mut world = cluster(json!({}));
    let rules = requires("MachineType == \"m8\" || Zone == \"c\"");
    world.submit_with(&World::spec("j-000001", "sweep", 40), rules);
    world.run(40.0);
    // Six on the three machines of zone c, four on the large one.
    assert_eq!(world.running_task_count(), 10);
    let pools: Vec<String> = started(&world, 0, "j-000001").into_iter().collect();
    assert_eq!(pools, ["m4/c", "m8/b"]);
    // A job without rules uses the remaining machines.
    world.submit(&World::spec("j-000002", "sweep", 40));
    world.run(30.0);
    assert_eq!(world.running_task_count(), 22);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against ignored preferences: they come before cached images and free capacity, but a
/// job does not wait for a preferred machine.
#[test]
fn preferred_machines_come_first() {
    let mut world = cluster(json!({}));
    // Zone a holds the image.
    let mut first = World::spec("j-000001", "service", 2);
    first.zone = Some("a".into());
    world.submit(&first);
    world.run(5.0);
    let rules = Some(Rules {
        rank: Some("(Zone == \"c\") * 2 + (MachineType == \"m8\")".into()),
        ..Rules::default()
    });
    world.submit_with(&World::spec("j-000002", "sweep", 3), rules.clone());
    world.run(12.0);
    assert_eq!(started(&world, 0, "j-000002"), ["m4/c".to_string()].into());
    world.submit_with(&World::spec("j-000003", "sweep", 9), rules);
    world.run(5.0);
    assert_eq!(world.running_task_count(), 2 + 3 + 9);
    let pools = started(&world, 0, "j-000003");
    assert!(
        pools.contains("m4/c") && pools.contains("m8/b"),
        "{pools:?}"
    );
}

/// Guards against outdated attributes after an operator changes them while a job runs and waits:
/// running tasks stay, and waiting ones follow the new attributes, which the leader takes from its
/// settings and stores in one write.
#[test]
fn waiting_tasks_follow_changed_attributes() {
    let mut world = cluster(json!({ "a": { "Ledger": true }, "b": { "Ledger": false } }));
    world.submit_with(&World::spec("j-000001", "service", 10), requires("Ledger"));
    world.run(20.0);
    assert_eq!(world.running_task_count(), 6);
    assert_eq!(started(&world, 0, "j-000001"), ["m4/a".to_string()].into());
    let from = world.trace.len();
    world.tuning().attributes = attributes(json!({ "c": { "Ledger": true } }));
    world.restart_all();
    world.run(40.0);
    assert_eq!(world.running_task_count(), 10);
    assert_eq!(
        started(&world, from, "j-000001"),
        ["m4/c".to_string()].into()
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

/// Guards against a scheduling cycle whose transaction is late and arrives after an operator's
/// change of attributes: it must not apply, as its assignments were placed by old attributes.
#[test]
fn a_late_cycle_is_rejected_after_attributes_change() {
    let mut world = cluster(json!({ "a": { "Ledger": true } }));
    world.state_link.hold_owner_commits = [0, 1, 2].into();
    world.submit_with(&World::spec("j-000001", "sweep", 2), requires("Ledger"));
    world.run(3.0);
    let late = std::mem::take(&mut world.state_link.held_commits);
    assert!(
        late.iter()
            .any(|c| c.changes.iter().any(|a| a.key().starts_with("c/mark/")))
    );
    world.tuning().attributes = attributes(json!({ "c": { "Ledger": true } }));
    world.state_link.hold_owner_commits.clear();
    world.kill(0);
    world.kill(1);
    world.kill(2);
    let changed = serde_json::to_value(attributes(json!({ "c": { "Ledger": true } }))).unwrap();
    world.state.commit(&cherryyard_wire::state::Commit {
        conditions: Vec::new(),
        changes: vec![cherryyard_wire::state::Change::set(
            "c/attributes",
            &changed,
        )],
    });
    for commit in &late {
        let outcome = world.state.commit(commit);
        assert!(!matches!(outcome, cherryyard_core::Outcome::Applied(_)));
    }
    for i in 0..3 {
        world.start(i);
    }
    world.run(30.0);
    assert_eq!(started(&world, 0, "j-000001"), ["m4/c".to_string()].into());
    assert_eq!(world.running_task_count(), 2);
}

/// Guards against jobs that wait for ever because their rules allow no machine of the cluster:
/// machines of an allowed type are provisioned.
#[test]
fn provisioning_follows_the_rules() {
    let mut world = cluster(json!({}));
    world.list_machines();
    let rules = requires("MachineType == \"m8\" && Zone == \"b\" && Cpus == 8");
    let mut spec = World::spec("j-000001", "sweep", 30);
    spec.cores = 8.0;
    world.submit_with(&spec, rules);
    world.run(12.0);
    world.list_machines();
    world.run(20.0);
    let wanted: BTreeSet<_> = world
        .cloud
        .provision_requests
        .iter()
        .map(|h| (&*h.machine_type, &*h.zone))
        .collect();
    assert!(wanted.contains(&("m8", "b")), "{wanted:?}");
}
