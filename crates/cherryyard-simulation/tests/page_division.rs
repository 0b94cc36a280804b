//! Division of pages of assignments that are larger than the state service's limit, with changes
//! of the shard's jobs between its steps.

mod common;

use cherryyard_core::Outcome;
use cherryyard_simulation::{Question, Setup, World};
use cherryyard_wire::job::{JobSpec, JobStatus};
use cherryyard_wire::page::{self, StoredPage};
use cherryyard_wire::record::{PageRecord, assignments_key};
use cherryyard_wire::state::{Change, Commit};
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

/// Rewrites a stored page of assignments, as a faulty build might.
fn rewrite_page(world: &mut World, shard: usize, page: u32, edit: impl Fn(&mut PageRecord)) {
    let key = assignments_key(shard, page);
    let (value, revision) = world.state.get(&key).expect("a page");
    let stored: StoredPage = value.read().expect("a page");
    let mut record = stored.read().expect("a valid page");
    edit(&mut record);
    let base64 = page::pack(&record).expect("a valid page");
    let mut commit = Commit::default();
    commit.require(key.clone(), revision);
    commit
        .changes
        .push(Change::set(key, &StoredPage::Packed { base64 }));
    assert!(matches!(world.state.commit(&commit), Outcome::Applied(_)));
}

/// Returns the shard and the page with the assignment of a task.
fn page_of_task(world: &World, job: u64, number: u64) -> (usize, u32) {
    let holds = |page: &PageRecord| {
        let groups = page
            .jobs
            .iter()
            .filter(|row| row.0 == job)
            .flat_map(|row| &row.1);
        groups
            .flat_map(|group| group[2..].chunks_exact(2))
            .any(|pair| pair[1] == number)
    };
    let all = (0..3).flat_map(|shard| {
        pages(world, shard)
            .into_iter()
            .map(move |page| (shard, page))
    });
    let found = all
        .filter(|(_, page)| holds(&page.1))
        .map(|(shard, page)| (shard, page.0))
        .next();
    found.expect("an assigned task")
}

/// Guards against a job that is called done too early because a task counts in two shards.
#[test]
fn a_task_completed_in_two_shards_counts_once() {
    let mut world = settled(Setup::default());
    let mut spec = World::spec(LONG_JOB, "sweep", 3);
    spec.cores = 4.0;
    world.submit(&spec);
    world.run_until(20.0, |world| world.running_task_count() == 3);
    let (first, second) = (page_of_task(&world, 1, 0), page_of_task(&world, 1, 1));
    assert_ne!(first.0, second.0, "tasks in two shards");
    rewrite_page(&mut world, second.0, second.1, |page| {
        let row = page.jobs.iter_mut().find(|row| row.0 == 1);
        row.expect("the job").2.insert(0);
    });
    for number in [1, 0] {
        let task = format!("{LONG_JOB}/{number}");
        world
            .workers
            .values_mut()
            .for_each(|worker| worker.finish(&task));
        world.run(4.0);
    }
    world.request_once(1, LONG_JOB, Question::Poll);
    world.run(2.0);
    assert!(world.violations.is_empty(), "{:?}", world.violations);
    assert_eq!(world.running_task_count(), 1);
    let task = format!("{LONG_JOB}/2");
    world
        .workers
        .values_mut()
        .for_each(|worker| worker.finish(&task));
    world.run(4.0);
    let view = world.view(2, LONG_JOB).expect("the job");
    assert_eq!((view.status, view.done), (JobStatus::Done, 3));
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
