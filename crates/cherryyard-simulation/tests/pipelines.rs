//! Jobs that wait for others: order, cancellations, submissions that name them, and
//! pipelines on days with troubles.

use cherryyard_simulation::fault::{NEWER, OLDER};
use cherryyard_simulation::{
    Fault, Pipelines, Question, Response, Setup, Users, World, draws, play_seeds,
};
use cherryyard_wire::job::{JobSpec, JobStatus};
use cherryyard_wire::record::{ADMISSION_LOG, job_key};

fn cluster(seconds: f64) -> World {
    cluster_of(
        seconds,
        Setup {
            machines: vec![("a", 4), ("b", 4), ("c", 4)],
            write_rps: 60.0,
            ..Setup::default()
        },
    )
}

fn cluster_of(seconds: f64, setup: Setup) -> World {
    let mut w = World::new(setup);
    for worker in w.workers.values_mut() {
        worker.run_ms = seconds * 1000.0;
    }
    w.run_until(20.0, |w| {
        let accepts = |n: &Option<cherryyard_core::Controller>| {
            n.as_ref().is_some_and(|n| n.accepts_dependencies())
        };
        w.controllers.iter().all(accepts)
    });
    w
}

fn id(job: u64) -> String {
    format!("j-{job:06}")
}

fn sweep(job: u64, task_count: u32, needs: &[u64]) -> JobSpec {
    let mut spec = World::spec(&id(job), "sweep", task_count);
    spec.waits_on = needs.iter().copied().map(id).collect();
    spec.expected_s = 5.0;
    spec
}

/// Submits a job at a controller and waits until it is answered.
fn submit(w: &mut World, i: usize, spec: &JobSpec) -> Response {
    let body = serde_json::to_vec(spec).expect("a job");
    ask(w, i, &spec.id, Question::Submit(body))
}

/// Submits a job that must be accepted; a repetition, by a controller that passed it on
/// and did not wait for the answer, may be told its state.
fn accepted(w: &mut World, i: usize, spec: &JobSpec) {
    let response = submit(w, i, spec);
    let taken = response == Response::Taken || status(&response).is_some();
    assert!(taken, "{}: {response:?}", spec.id);
}

fn ask(w: &mut World, i: usize, id: &str, question: Question) -> Response {
    let request = w.ask_once(i, id, question);
    w.run_until(6.0, |w| w.requests.answers.contains_key(&request));
    w.requests.answers[&request].clone()
}

fn cancel(w: &mut World, i: usize, id: &str) {
    let response = ask(w, i, id, Question::Cancel);
    assert_eq!(
        status(&response),
        Some(JobStatus::Cancelled),
        "{id}: {response:?}"
    );
}

fn status(response: &Response) -> Option<JobStatus> {
    match response {
        Response::View(view) => Some(view.status),
        _ => None,
    }
}

fn status_at(w: &mut World, i: usize, job: u64) -> Option<JobStatus> {
    let response = ask(w, i, &id(job), Question::Poll);
    status(&response)
}

fn whole(w: &World) {
    assert!(
        w.broken.is_empty(),
        "{:?}\n{}",
        w.broken,
        w.trace.join("\n")
    );
    assert_eq!(w.state.malformed, 0, "transactions beyond the limits");
}

/// Two jobs after one, one after both, and one after that: each starts only when all that
/// it needs are done, and says what it waits for.
#[test]
fn stages_run_one_after_the_other() {
    let mut w = cluster(3.0);
    for spec in [
        sweep(1, 3, &[]),
        sweep(2, 4, &[1]),
        sweep(3, 2, &[1]),
        sweep(4, 2, &[2, 3]),
        sweep(5, 1, &[4, 1]),
    ] {
        assert_eq!(submit(&mut w, 1, &spec), Response::Taken);
    }
    let Response::View(view) = ask(&mut w, 2, &id(4), Question::Poll) else {
        panic!("no view");
    };
    assert_eq!(
        (view.status, view.waits_on),
        (JobStatus::Queued, vec![id(2), id(3)])
    );
    w.run_until(60.0, |w| w.is_complete(&id(5)));
    w.run(3.0);
    for i in 0..3 {
        assert_eq!(status_at(&mut w, i, 5), Some(JobStatus::Done));
    }
    // A wait of half a second and less for each of four stages.
    assert!(w.now < 32_000.0, "{}", w.now);
    whole(&w);
}

/// When a job is cancelled all that need it, directly and through others, are called
/// cancelled at once at every controller, also at one that starts only then; their ends
/// are written down, and repeats are answered.
#[test]
fn dependents_are_cancelled_with_what_they_need() {
    let mut w = cluster(f64::INFINITY);
    for spec in [
        sweep(1, 2, &[]),
        sweep(2, 2, &[1]),
        sweep(3, 1, &[2]),
        sweep(4, 1, &[]),
        sweep(5, 1, &[3, 4]),
    ] {
        assert_eq!(submit(&mut w, 0, &spec), Response::Taken);
    }
    cancel(&mut w, 1, &id(1));
    for i in 0..3 {
        for job in [2, 3, 5] {
            assert_eq!(status_at(&mut w, i, job), Some(JobStatus::Cancelled));
        }
        assert_eq!(status_at(&mut w, i, 4), Some(JobStatus::Running));
    }
    w.run(10.0);
    for job in [2, 3, 5] {
        let record = w.state.get(&job_key(job)).expect("an end of its own");
        assert!(record.0.text().contains("cancelled"), "{record:?}");
    }
    w.kill(2);
    w.start(2);
    w.run(3.0);
    let Response::View(view) = ask(&mut w, 2, &id(5), Question::Poll) else {
        panic!("no view");
    };
    assert_eq!(view.cancelled_by, Some(id(3)));
    let again = submit(&mut w, 2, &sweep(5, 1, &[3, 4]));
    assert_eq!(status(&again), Some(JobStatus::Cancelled));
    // One that names a cancelled job is accepted, and cancelled.
    assert_eq!(submit(&mut w, 1, &sweep(6, 1, &[5])), Response::Taken);
    assert_eq!(status_at(&mut w, 0, 6), Some(JobStatus::Cancelled));
    w.run(60.0);
    assert_eq!(w.running(), 1);
    whole(&w);
}

/// A job that is done when its cancellation comes stays done, and what needs it goes on.
#[test]
fn what_is_done_keeps_its_dependents() {
    let mut w = cluster(2.0);
    assert_eq!(submit(&mut w, 0, &sweep(1, 1, &[])), Response::Taken);
    assert_eq!(submit(&mut w, 0, &sweep(2, 1, &[1])), Response::Taken);
    w.run_until(20.0, |w| w.is_complete(&id(1)));
    w.run(3.0);
    let response = ask(&mut w, 1, &id(1), Question::Cancel);
    assert_eq!(status(&response), Some(JobStatus::Done));
    w.run_until(20.0, |w| w.is_complete(&id(2)));
    whole(&w);
}

/// Jobs that were never accepted, the job itself among them, are refused, but only once
/// all that is durable has been read; services are refused too.
#[test]
fn what_was_never_accepted_is_refused() {
    let mut w = cluster(f64::INFINITY);
    assert_eq!(submit(&mut w, 0, &sweep(1, 1, &[])), Response::Taken);
    w.submit(&World::spec(&id(2), "service", 1));
    assert_eq!(submit(&mut w, 1, &sweep(3, 1, &[1, 77])), Response::Never);
    assert_eq!(submit(&mut w, 1, &sweep(4, 1, &[4])), Response::Never);
    assert_eq!(submit(&mut w, 1, &sweep(5, 1, &[2])), Response::Never);
    w.refused.extend(0..3);
    w.run(4.0);
    assert_eq!(submit(&mut w, 1, &sweep(6, 1, &[78])), Response::Later);
    w.refused.clear();
    w.run(3.0);
    assert_eq!(submit(&mut w, 1, &sweep(6, 1, &[1])), Response::Taken);
    // A repetition of an accepted job is never refused, whatever it names.
    let again = submit(&mut w, 2, &sweep(6, 1, &[79]));
    assert_eq!(status(&again), Some(JobStatus::Queued));
    whole(&w);
}

/// A job that was accepted by another controller a moment ago, with its answer lost or
/// while reads are slow, is known at the next one.
#[test]
fn what_was_accepted_elsewhere_a_moment_ago() {
    for slow_ms in [0.0, 400.0] {
        for i in 0..3 {
            for lost in [false, true] {
                let mut w = cluster(2.0);
                w.slow_ms = slow_ms;
                w.requests.seed(i as u64 + 7);
                w.lost_answers = if lost { 100 } else { 0 };
                let first = submit(&mut w, i, &sweep(1, 1, &[]));
                w.lost_answers = 0;
                if lost {
                    // Its user asks again, elsewhere.
                    let again = submit(&mut w, (i + 2) % 3, &sweep(1, 1, &[]));
                    assert!(
                        again == Response::Taken || status(&again).is_some(),
                        "{again:?}"
                    );
                } else {
                    assert!(
                        first == Response::Taken || status(&first).is_some(),
                        "{first:?}"
                    );
                }
                accepted(&mut w, (i + 1) % 3, &sweep(2, 1, &[1]));
                w.run_until(40.0, |w| w.is_complete(&id(2)));
                whole(&w);
            }
        }
    }
}

/// A cancellation is confirmed, and right after it the state service is gone for longer
/// than a cancellation may take: what needs the job is not called by an older state.
#[test]
fn a_cancellation_just_before_an_outage() {
    for i in 0..3 {
        let mut w = cluster(f64::INFINITY);
        assert_eq!(submit(&mut w, 0, &sweep(1, 2, &[])), Response::Taken);
        assert_eq!(submit(&mut w, 0, &sweep(2, 2, &[1])), Response::Taken);
        w.run(2.0);
        let request = w.ask_once(i, &id(1), Question::Cancel);
        w.run_until(6.0, |w| w.requests.answers.contains_key(&request));
        w.refused.extend(0..3);
        for _ in 0..14 {
            for k in 0..3 {
                w.ask_once(k, &id(2), Question::Poll);
            }
            w.run(5.0);
        }
        w.refused.clear();
        w.run(3.0);
        for k in 0..3 {
            assert_eq!(status_at(&mut w, k, 2), Some(JobStatus::Cancelled));
        }
        assert_eq!(w.running(), 0);
        whole(&w);
    }
}

/// The leader ends at every moment around the end of the first stage and the division of
/// the second.
#[test]
fn the_leader_ends_between_an_end_and_the_division() {
    for step in 0..30 {
        let mut w = cluster(2.0);
        assert_eq!(submit(&mut w, 0, &sweep(1, 2, &[])), Response::Taken);
        assert_eq!(submit(&mut w, 0, &sweep(2, 3, &[1])), Response::Taken);
        w.run_until(20.0, |w| w.is_complete(&id(1)));
        w.run(f64::from(step) * 0.1);
        let leader_index = cherryyard_simulation::fault::leader(&w);
        w.kill(leader_index);
        w.run(1.0);
        w.start(leader_index);
        w.run_until(60.0, |w| w.is_complete(&id(2)));
        whole(&w);
    }
}

/// Jobs that wait hold nothing of their team's limit, whose ever the jobs are that they
/// wait for, and no machine is provisioned for them.
#[test]
fn waiting_jobs_hold_nothing() {
    let mut w = cluster_of(
        f64::INFINITY,
        Setup {
            machines: vec![("a", 4), ("b", 4), ("c", 4)],
            write_rps: 60.0,
            limit: 8.0,
            teams: vec![("others", 0.0, 8.0)],
            ..Setup::default()
        },
    );
    let mut first = sweep(1, 1, &[]);
    first.team = "others".into();
    assert_eq!(submit(&mut w, 0, &first), Response::Taken);
    for job in 2..8 {
        assert_eq!(submit(&mut w, 0, &sweep(job, 40, &[1])), Response::Taken);
    }
    w.run(20.0);
    w.provision_requests.clear();
    assert_eq!(w.running(), 1, "only the first has a task");
    let controller = w.controllers[0].as_ref().expect("it is up");
    assert!(controller.mirror.undivided.is_empty());
    assert!(
        controller
            .mirror
            .waiting
            .iter()
            .all(|shard| shard.is_empty())
    );
    assert_eq!(submit(&mut w, 1, &sweep(9, 4, &[])), Response::Taken);
    w.run(10.0);
    assert_eq!(w.running(), 5, "all of its team's limit is free for it");
    assert!(
        w.provision_requests.is_empty(),
        "{:?}",
        w.provision_requests
    );
    whole(&w);
}

/// Before every controller knows of dependencies none is accepted, and what is stored is
/// as before.
#[test]
fn nothing_new_before_all_controllers_know_it() {
    for last in 0..3 {
        let mut w = World::new(Setup {
            earlier: (0..3).collect(),
            ..Setup::default()
        });
        w.run(10.0);
        for i in (0..3).filter(|i| *i != last) {
            w.upgrade(i);
            w.kill(i);
            w.run(1.0);
            w.start(i);
            w.run(16.0);
        }
        assert_eq!(submit(&mut w, 0, &sweep(1, 1, &[])), Response::Taken);
        for i in (0..3).filter(|i| *i != last) {
            assert_eq!(submit(&mut w, i, &sweep(2, 1, &[1])), Response::Later);
        }
        let all = w.state.pairs();
        assert!(!all.iter().any(|p| p.value.text().contains("dependencies")));
        assert!(!all.iter().any(|p| p.value.text().contains("\"after\"")));
        // It ends and is back as it was, then it is upgraded too.
        w.kill(last);
        w.run(1.0);
        w.start(last);
        w.run(16.0);
        assert_eq!(
            submit(&mut w, (last + 1) % 3, &sweep(2, 1, &[1])),
            Response::Later
        );
        w.upgrade(last);
        w.kill(last);
        w.run(1.0);
        w.start(last);
        w.run(20.0);
        let format = w.controllers[last].as_ref().map(|n| n.config.format);
        assert!(format.is_some_and(|f| f > ADMISSION_LOG));
        assert_eq!(submit(&mut w, last, &sweep(2, 1, &[1])), Response::Taken);
        whole(&w);
    }
}

/// A thousand jobs behind one and a chain of a hundred: cancelled at once, with ends
/// written at the pace that users leave, and no list of cancellations that overflows.
#[test]
fn wide_and_deep_graphs() {
    let mut w = cluster_of(
        f64::INFINITY,
        Setup {
            write_rps: 200.0,
            ..Setup::default()
        },
    );
    assert_eq!(submit(&mut w, 0, &sweep(1, 1, &[])), Response::Taken);
    let mut pipelines = Pipelines::default();
    for job in 2..1002 {
        pipelines.add(sweep(job, 1, &[1]));
    }
    for job in 2000..2100 {
        pipelines.add(sweep(job, 1, &[if job == 2000 { 1 } else { job - 1 }]));
    }
    for _ in 0..600 {
        pipelines.step(&mut w);
        w.run(0.2);
        if pipelines.is_empty() && w.requests.open() == 0 {
            break;
        }
    }
    assert!(pipelines.is_empty());
    cancel(&mut w, 1, &id(1));
    for job in [2, 500, 1001, 2000, 2050, 2099] {
        assert_eq!(status_at(&mut w, 2, job), Some(JobStatus::Cancelled));
    }
    let before = w.state.writes;
    let answered = w.controllers[0]
        .as_mut()
        .expect("up")
        .heartbeat_out(w.now)
        .cancelled;
    assert_eq!(answered, [1], "only what may have tasks is told");
    w.run(60.0);
    let open = w.controllers[0].as_ref().map(|n| n.mirror.open.len());
    assert_eq!(open, Some(0));
    let writes = w.state.writes - before;
    assert!(writes < 1500, "{writes} writes for 1100 ends");
    whole(&w);
}

/// Ends go into the history: what names a job that is only there is decided by it, and
/// ends that jobs wait for stay until those are divided.
#[test]
fn needs_that_are_only_in_the_history() {
    let mut w = cluster_of(
        2.0,
        Setup {
            machines: vec![("a", 4), ("b", 4), ("c", 4)],
            write_rps: 200.0,
            history: Some(2),
            ..Setup::default()
        },
    );
    for job in 1..=6 {
        assert_eq!(submit(&mut w, 0, &sweep(job, 1, &[])), Response::Taken);
    }
    cancel(&mut w, 0, &id(6));
    w.run(30.0);
    for job in 10..20 {
        assert_eq!(submit(&mut w, 0, &sweep(job, 1, &[])), Response::Taken);
    }
    w.run(30.0);
    for controller in w.controllers.iter_mut().flatten() {
        assert!(controller.mirror.packed.any(), "some are in the history");
    }
    w.restart_all();
    w.run(10.0);
    accepted(&mut w, 1, &sweep(30, 2, &[1, 2]));
    accepted(&mut w, 2, &sweep(31, 1, &[6, 1]));
    assert_eq!(submit(&mut w, 2, &sweep(32, 1, &[1, 99])), Response::Never);
    w.run(15.0);
    assert!(w.is_complete(&id(30)));
    for i in 0..3 {
        let view = w.find(i, &id(31)).expect("known");
        assert_eq!(view.status, JobStatus::Cancelled);
    }
    whole(&w);
}

/// Days by seed: pipelines and troubles, two at once.
fn day(seed: u64, faults: &[Fault]) {
    let mut draw = draws(seed);
    let mut w = cluster_of(
        2.0 + draw(6) as f64,
        Setup {
            machines: vec![("a", 5), ("b", 5), ("c", 5)],
            write_rps: 60.0,
            limit: 48.0,
            teams: vec![("guests", 0.0, 8.0)],
            ..Setup::default()
        },
    );
    w.requests.seed(seed);
    w.seed_late(seed);
    w.lists_ms = Some(5000.0);
    (w.provisioning_ms, w.provisioned_run_ms) = (Some(5000.0), 4000.0);
    let mut users = Users::default();
    let mut pipelines = Pipelines::default();
    let mut job = 100;
    for _ in 0..3 {
        let (first, second) = (
            faults[draw(faults.len() as u64) as usize],
            faults[draw(faults.len() as u64) as usize],
        );
        let mut made: Vec<u64> = Vec::new();
        for _ in 0..1 + draw(3) {
            let base = job + 1;
            job += 5;
            pipelines.add(sweep(base, 1 + draw(3) as u32, &[]));
            for stage in 1..=2 {
                let mut spec = sweep(base + stage, 1 + draw(6) as u32, &[base]);
                if draw(4) == 0 {
                    spec.team = "guests".into();
                }
                if draw(3) == 0 && !made.is_empty() {
                    spec.waits_on
                        .push(id(made[draw(made.len() as u64) as usize]));
                }
                pipelines.add(spec);
            }
            let mut last = sweep(base + 3, 1, &[base + 1, base + 2]);
            (last.rank, last.due_s) = (cherryyard_wire::job::Rank::High, Some(60.0));
            match draw(3) {
                0 => pipelines.add_late(last),
                _ => pipelines.add(last),
            }
            made.extend(base..base + 4);
        }
        let mut run = |w: &mut World, users: &mut Users, seconds: f64| {
            for _ in 0..(seconds * 2.0) as usize {
                pipelines.step(w);
                users.run(w, 0.5);
            }
        };
        run(&mut w, &mut users, 1.0 + draw(6) as f64);
        w.say(format!("begin {first:?}"));
        first.begin(&mut w, &mut draw);
        run(&mut w, &mut users, draw(8) as f64 / 2.0);
        w.say(format!("begin {second:?}"));
        second.begin(&mut w, &mut draw);
        let doomed = made[draw(made.len() as u64) as usize];
        if draw(2) == 0 && w.is_accepted(&id(doomed)) {
            let at = draw(3) as usize;
            w.insist(at, &id(doomed), Question::Cancel);
        }
        run(&mut w, &mut users, 1.0 + draw(30) as f64);
        w.say(format!("finish {first:?}, {second:?}"));
        first.finish(&mut w);
        second.finish(&mut w);
        run(&mut w, &mut users, 10.0 + draw(10) as f64);
    }
    for _ in 0..40 {
        pipelines.step(&mut w);
        users.run(&mut w, 1.0);
    }
    let wrong = users.see_out(&mut w);
    if std::env::var("DEBUG").is_ok() && !(wrong.is_empty() && w.broken.is_empty()) {
        println!("{}", w.trace.join("\n"));
    }
    assert!(w.broken.is_empty(), "seed {seed}: {:?}", w.broken);
    assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
    assert_eq!(w.state.malformed, 0, "seed {seed}");
}

fn every() -> Vec<Fault> {
    NEWER.into_iter().chain(OLDER).collect()
}

#[test]
fn random_days_with_pipelines() {
    (0..24).for_each(|seed| day(seed, &every()));
}

/// By hand; `SEEDS` and `FROM` choose which.
#[test]
#[ignore = "minutes"]
fn random_days_with_pipelines_by_the_thousand() {
    play_seeds(24, 1000, |seed| day(seed, &every()));
}

/// A job is as urgent as the most urgent one that needs it, directly or through others.
#[test]
fn what_is_needed_inherits_urgency() {
    let mut w = cluster(f64::INFINITY);
    let mut last = sweep(3, 1, &[2]);
    (last.rank, last.due_s) = (cherryyard_wire::job::Rank::High, Some(600.0));
    for spec in [sweep(1, 1, &[]), sweep(2, 1, &[1]), last] {
        accepted(&mut w, 0, &spec);
    }
    w.run(2.0);
    for controller in w.controllers.iter().flatten() {
        let due = |job: u64| controller.mirror.open[&job].due_ms();
        assert!(due(1) < due(2) && due(2) < due(3));
        for job in 1..=3 {
            let rank = controller.mirror.open[&job].rank();
            assert_eq!(rank, cherryyard_wire::job::Rank::High, "job {job}");
        }
    }
}
