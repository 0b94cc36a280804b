//! Clusters that accept jobs with dependencies, and requests of their users.

use cherryyard_simulation::{Question, Response, Setup, World};
use cherryyard_wire::job::{JobSpec, JobStatus};

/// Returns a cluster of twelve machines whose tasks run for the given seconds.
pub fn cluster(seconds: f64) -> World {
    cluster_of(
        seconds,
        Setup {
            machines: vec![("a", 4), ("b", 4), ("c", 4)],
            write_rps: 60.0,
            ..Setup::default()
        },
    )
}

/// Returns a cluster whose controllers all accept jobs with dependencies.
pub fn cluster_of(seconds: f64, setup: Setup) -> World {
    let mut world = World::new(setup);
    for worker in world.workers.values_mut() {
        worker.run_ms = seconds * 1000.0;
    }
    world.run_until(20.0, |world| {
        let accepts = |n: &Option<cherryyard_core::Controller>| {
            n.as_ref().is_some_and(|n| n.accepts_dependencies())
        };
        world.controllers.iter().all(accepts)
    });
    world
}

/// Returns the id of a job number.
pub fn id(job: u64) -> String {
    format!("j-{job:06}")
}

/// Returns an array job with this number of tasks that depends on the jobs `needs`.
pub fn array(job: u64, task_count: u32, needs: &[u64]) -> JobSpec {
    let mut spec = World::spec(&id(job), "sweep", task_count);
    spec.waits_on = needs.iter().copied().map(id).collect();
    spec.expected_s = 5.0;
    spec
}

/// Submits a job to controller `i` and waits for the response.
pub fn submit(world: &mut World, i: usize, spec: &JobSpec) -> Response {
    let body = serde_json::to_vec(spec).expect("a job");
    ask(world, i, &spec.id, Question::Submit(body))
}

/// Submits a job that must be accepted. The response may also be the job's state: a controller
/// that forwarded the submission and got no response in time submits it again.
pub fn accepted(world: &mut World, i: usize, spec: &JobSpec) {
    let response = submit(world, i, spec);
    let taken = response == Response::Taken || status(&response).is_some();
    assert!(taken, "{}: {response:?}", spec.id);
}

/// Sends a request to controller `i` once and waits for the response.
pub fn ask(world: &mut World, i: usize, id: &str, question: Question) -> Response {
    let request = world.request_once(i, id, question);
    world.run_until(6.0, |world| world.requests.answers.contains_key(&request));
    world.requests.answers[&request].clone()
}

/// Cancels a job; the first response must confirm the cancellation.
pub fn cancel(world: &mut World, i: usize, id: &str) {
    let response = ask(world, i, id, Question::Cancel);
    assert_eq!(
        status(&response),
        Some(JobStatus::Cancelled),
        "{id}: {response:?}"
    );
}

/// Returns the status in a response, if it has one.
pub fn status(response: &Response) -> Option<JobStatus> {
    match response {
        Response::View(view) => Some(view.status),
        _ => None,
    }
}

/// Returns the status that controller `i` reports for a job when polled.
pub fn status_at(world: &mut World, i: usize, job: u64) -> Option<JobStatus> {
    let response = ask(world, i, &id(job), Question::Poll);
    status(&response)
}

/// Panics if a rule has been broken or a transaction exceeded the limits of the state service.
pub fn assert_no_violation(world: &World) {
    assert!(
        world.violations.is_empty(),
        "{:?}\n{}",
        world.violations,
        world.trace.join("\n")
    );
    assert_eq!(world.state.malformed, 0, "transactions beyond the limits");
}
