//! A cluster after its startup, and queries that tests of its rules use.

use cherryyard_simulation::{Setup, World};

/// Returns a running cluster whose shards are owned and whose machines have reported.
pub fn settled(setup: Setup) -> World {
    let mut world = World::new(setup);
    world.run(5.0);
    world
}

/// Returns the stored pages of assignments, except for a shard's first page when it names no job
/// and no machine. An empty first page is kept so that a late transaction cannot apply on the
/// condition that the page does not exist.
pub fn assignments_left(world: &World) -> Vec<String> {
    let pairs = world.state.pairs().into_iter();
    let empty =
        |p: &cherryyard_wire::state::Pair| p.key.ends_with("/0") && p.value.text() == r#"{"j":[]}"#;
    pairs
        .filter(|p| p.key.contains("mark") && !empty(p))
        .map(|p| format!("{}: {}", p.key, p.value.text()))
        .collect()
}

/// Returns the lines of the trace that report a start of this task.
pub fn starts(world: &World, task_name: &str) -> Vec<String> {
    let needle = format!("starts {task_name} ");
    world
        .trace
        .iter()
        .filter(|l| l.contains(&needle))
        .cloned()
        .collect()
}
