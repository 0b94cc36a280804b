//! A cluster that has settled, and what the tests of its rules look at.

use cherryyard_simulation::{Setup, World};

/// A running cluster whose shards are owned and whose machines have reported.
pub fn settled(setup: Setup) -> World {
    let mut w = World::new(setup);
    w.run(5.0);
    w
}

/// Pages of assignments, but for a shard's first one if it names no job and no machine: that
/// one stays, so that its absence is no ground for a transaction that comes late.
pub fn assignments_left(w: &World) -> Vec<String> {
    let pairs = w.state.pairs().into_iter();
    let empty =
        |p: &cherryyard_wire::state::Pair| p.key.ends_with("/0") && p.value.text() == r#"{"j":[]}"#;
    pairs
        .filter(|p| p.key.contains("mark") && !empty(p))
        .map(|p| format!("{}: {}", p.key, p.value.text()))
        .collect()
}

/// The trace's lines of a task's starts.
pub fn starts(w: &World, task_name: &str) -> Vec<String> {
    let needle = format!("starts {task_name} ");
    w.trace
        .iter()
        .filter(|l| l.contains(&needle))
        .cloned()
        .collect()
}
