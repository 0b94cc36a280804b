//! Division of pages of assignments that are larger than the state service's limit, with changes
//! of the shard's jobs between its steps.

mod common;

use cherryyard_simulation::{Question, Setup, World};
use cherryyard_wire::job::{JobSpec, JobStatus};
use cherryyard_wire::page::StoredPage;
use cherryyard_wire::record::{PageRecord, assignments_key};
use common::settled::{settled, starts};

/// Array that keeps running while a page is divided.
const LONG_JOB: &str = "j-000001";
/// Array that ends between two steps of the division.
const ENDING_JOB: &str = "j-000002";
/// Number of tasks of each array.
const TASKS: u32 = 900;
/// Bytes of the largest value that a controller leaves free in a page.
const PAGE_MARGIN_BYTES: usize = 64;

fn array(id: &str) -> JobSpec {
    let mut spec = World::spec(id, "sweep", TASKS);
    (spec.cores, spec.ram_gb) = (0.25, 0.1);
    spec
}

/// Returns the stored pages of a shard, with the sizes of their values in bytes.
fn pages(world: &World, shard: usize) -> Vec<(u32, PageRecord, usize)> {
    let stored = (0..100).filter_map(|page| {
        let (value, _) = world.state.get(&assignments_key(shard, page))?;
        let stored: StoredPage = value.read().expect("a page");
        let record = stored.read().expect("a valid page");
        Some((page, record, value.text().len()))
    });
    stored.collect()
}

/// Completes the tasks of a job on the machines of a zone.
fn finish_in_zone(world: &mut World, job: &str, zone: &str) {
    for number in 0..TASKS {
        let task = format!("{job}/{number}");
        let workers = world.workers.values_mut().filter(|w| w.zone == zone);
        workers.for_each(|worker| worker.finish(&task));
    }
}

/// Returns a cluster in which the owner of shard 0 has copied a page that is one byte too large,
/// and has not deleted it.
fn cluster_with_a_division_begun() -> World {
    let mut world = settled(Setup {
        machines: vec![("a", 40), ("b", 40), ("c", 40)],
        write_rps: 60.0,
        ..Setup::default()
    });
    world.submit(&array(LONG_JOB));
    world.submit(&array(ENDING_JOB));
    world.run_until(20.0, |world| {
        world.running_task_count() == 2 * TASKS as usize
    });
    finish_in_zone(&mut world, ENDING_JOB, "a");
    world.run(4.0);
    let before = pages(&world, 0);
    let largest = before.iter().map(|page| page.2).max().expect("a page");
    let value_bytes = largest - 1 + PAGE_MARGIN_BYTES;
    world.announce_limits((value_bytes as f64 + 0.5) / 1024.0, 8);
    world.kill(0);
    world.start(0);
    world.run_until(10.0, |world| pages(world, 0).len() > before.len());
    world
}

/// Guards against an array that is called done while its last task runs.
#[test]
fn a_job_that_ends_during_a_division_makes_no_other_job_done_too_early() {
    let mut world = cluster_with_a_division_begun();
    world.cancel(1, ENDING_JOB);
    world.run(3.0);
    finish_in_zone(&mut world, LONG_JOB, "b");
    world.run(3.0);
    finish_in_zone(&mut world, LONG_JOB, "a");
    world.run(6.0);
    world.request_once(1, LONG_JOB, Question::Poll);
    world.run(2.0);
    assert!(
        world.violations.is_empty(),
        "{:?}\n{}",
        world.violations,
        world.trace.join("\n")
    );
    finish_in_zone(&mut world, LONG_JOB, "c");
    world.run(6.0);
    let view = world.view(2, LONG_JOB).expect("the job");
    assert_eq!((view.status, view.done), (JobStatus::Done, TASKS));
    for number in 0..TASKS {
        let task = format!("{LONG_JOB}/{number}");
        assert_eq!(starts(&world, &task).len(), 1, "{task}");
    }
}
