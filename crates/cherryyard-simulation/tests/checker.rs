//! The checker itself: each rule that it judges is broken once on purpose, and seen.

use cherryyard_simulation::{Question, Setup, Users, World};
use cherryyard_wire::job::JobSpec;
use cherryyard_wire::worker::{CommandBatch, WorkerCommand};

fn cluster(limit: f64) -> World {
    let mut w = World::new(Setup {
        machines: vec![("a", 3), ("b", 3), ("c", 3)],
        limit,
        write_rps: 60.0,
        ..Setup::default()
    });
    w.cloud.list_every_ms = Some(5000.0);
    w.run(6.0);
    w
}

/// A build that starts a task where and when it likes.
fn start_anyway(w: &mut World, host: &str, task_name: &str) {
    let worker = w.workers.get_mut(host).expect("it is up");
    let start = WorkerCommand::Start {
        task_name: task_name.into(),
        attempt: 9999,
    };
    let request = CommandBatch {
        fencing_token: worker.fencing_token,
        incarnation: worker.incarnation,
        commands: vec![start],
    };
    assert!(worker.direct(&request, w.now).0, "it took the command");
    w.deliver_direct();
}

fn sees(w: &World, text: &str) {
    assert!(
        w.broken.iter().any(|b| b.contains(text)),
        "{text} is not among {:?}",
        w.broken
    );
}

/// A machine of a zone without tasks.
fn free_host(w: &World, zone: &str) -> String {
    let mut free = w
        .workers
        .values()
        .filter(|x| x.zone == zone && x.tasks.is_empty());
    free.next().expect("a free machine").host.clone()
}

/// A team over its limit, while some of it hangs.
#[test]
fn a_team_over_its_limit() {
    let mut w = cluster(8.0);
    w.submit(&World::spec("j-000001", "service", 6));
    // The limit is spread over the shards at first.
    w.run_until(60.0, |w| w.running() == 4);
    let on = w.workers.values().find(|x| x.runs("j-000001/0"));
    let hung = on.expect("it runs").host.clone();
    w.machines.hung.insert(hung);
    w.run(1.0);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    let waits = (0..6).find(|n| w.copies(&format!("j-000001/{n}")) == 0);
    let task_name = format!("j-000001/{}", waits.expect("one waits"));
    let host = free_host(&w, "b");
    start_anyway(&mut w, &host, &task_name);
    sees(&w, "team uses 10 of 8 cores");
}

/// Starts in a zone, on a type, beside and apart from others where they may not be.
#[test]
fn wrong_places() {
    type Place = (&'static str, fn(&mut JobSpec));
    let places: [Place; 4] = [
        ("wrong zone", |s| s.zone = Some("b".into())),
        ("wrong type", |s| s.machine_types = Some(vec!["m8".into()])),
        ("as its others are elsewhere", |s| s.together = true),
        ("as half of its others are there", |s| s.apart = true),
    ];
    for (text, place) in places {
        let mut w = cluster(0.0);
        let mut spec = World::spec("j-000001", "service", 3);
        place(&mut spec);
        w.submit(&spec);
        let host = free_host(&w, "c");
        if spec.together || spec.apart {
            // Two tasks run; the third is started in the wrong place.
            w.workers
                .values_mut()
                .for_each(|x| x.run_ms = f64::INFINITY);
            w.run(6.0);
            let one = w.workers.values().find(|x| x.runs("j-000001/1"));
            let zone = one.expect("it runs").zone.clone();
            let wrong = ["a", "b", "c"]
                .into_iter()
                .find(|z| (*z == zone) == spec.apart);
            let host = free_host(&w, wrong.expect("a zone"));
            start_anyway(&mut w, &host, "j-000001/2");
            if spec.apart {
                let host = free_host(&w, wrong.expect("a zone"));
                start_anyway(&mut w, &host, "j-000001/0");
            }
        } else {
            start_anyway(&mut w, &host, "j-000001/2");
        }
        sees(&w, text);
    }
}

/// A cancelled task that starts, in time and too late.
#[test]
fn cancelled_tasks_that_start() {
    let mut w = cluster(0.0);
    w.submit(&World::spec("j-000001", "service", 1));
    w.run(5.0);
    w.insist(1, "j-000001", Question::Cancel);
    w.run(5.0);
    assert_eq!((w.running(), w.started_cancelled()), (0, 0));
    let host = free_host(&w, "c");
    start_anyway(&mut w, &host, "j-000001/0");
    assert_eq!(w.started_cancelled(), 1);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    w.run(40.0);
    start_anyway(&mut w, &host, "j-000001/0");
    sees(&w, "runs though cancelled");
}

/// A build that answers from what it happens to know.
#[test]
fn answers_that_go_back() {
    let mut w = cluster(0.0);
    w.requests.close_looks = true;
    w.requests.without_barrier = true;
    w.state_link.latency_ms = 1500.0;
    for n in 1..=12 {
        w.submit_at(n % 3, &World::spec(&format!("j-{n:06}"), "service", 1));
        w.run(1.0);
        if n > 4 {
            w.insist(n % 3, &format!("j-{:06}", n - 4), Question::Cancel);
        }
    }
    w.run(10.0);
    sees(&w, "after something newer");
}

/// A build that takes whatever comes.
#[test]
fn jobs_taken_that_cannot_run() {
    let mut w = cluster(8.0);
    w.requests.odd = true;
    w.requests.without_admission = true;
    for n in 1..=20 {
        w.submit_at(n % 3, &World::spec(&format!("j-{n:06}"), "service", 1));
        w.run(1.0);
    }
    sees(&w, "it is taken though it cannot run");
}

/// Jobs called done before they are, and cancelled though nobody asked for that.
#[test]
fn ends_that_are_none() {
    let mut w = cluster(0.0);
    w.submit_at(0, &World::spec("j-000001", "sweep", 2));
    w.submit_at(1, &World::spec("j-000002", "sweep", 2));
    w.run(5.0);
    for job in 1..=2 {
        let controller = w.controllers[0].as_ref().expect("it runs");
        let mut commit = controller.cancellation(job).expect("it is open");
        if job == 1
            && let cherryyard_wire::state::Change::Set { value: v, .. } = &mut commit.changes[0]
        {
            let text = v.text().replace("cancelled", "done");
            *v = serde_json::from_str(&text).expect("a record");
        }
        w.state.commit(&commit);
    }
    w.ask_once(0, "j-000001", Question::Poll);
    w.ask_once(0, "j-000002", Question::Poll);
    w.run(2.0);
    sees(&w, "j-000001: it is called done before it is");
    sees(
        &w,
        "j-000002: it is called cancelled, and nobody asked for that",
    );
}

/// A job that waits though there is room for it, and its team is under its limit.
#[test]
fn a_job_that_waits_beside_room() {
    let mut w = cluster(0.0);
    let mut users = Users::default();
    users.submit(&mut w, &World::spec("j-000001", "service", 2));
    users.run(&mut w, 6.0);
    let over = w.now;
    w.processes.frozen.extend([0, 1, 2]);
    let mut spec = World::spec("j-000002", "service", 2);
    users.run(&mut w, 1.0);
    w.processes.frozen.clear();
    spec.zone = Some("b".into());
    users.submit(&mut w, &spec);
    w.processes.frozen.extend([0, 1, 2]);
    users.run(&mut w, 95.0);
    let wrong = users.judge(&w, over);
    let waits = |x: &String| x.contains("j-000002 waits for") && x.contains("though there is room");
    assert!(wrong.iter().any(waits), "{wrong:?}");
}

fn waits_for(id: &str, need: &str) -> JobSpec {
    let mut spec = World::spec(id, "sweep", 1);
    spec.waits_on = vec![need.into()];
    spec
}

/// A build that starts a job before what it needs is done.
#[test]
fn a_start_before_all_that_is_needed_is_done() {
    let mut w = cluster(0.0);
    w.submit_at(0, &World::spec("j-000001", "sweep", 1));
    w.run(3.0);
    w.submit_at(1, &waits_for("j-000002", "j-000001"));
    w.run(3.0);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    let host = free_host(&w, "b");
    start_anyway(&mut w, &host, "j-000002/0");
    sees(&w, "j-000002/0 starts before all that it needs is done");
}

/// A build that forgets what a job waits for: it is called queued long after its user was
/// told that the job before it is cancelled.
#[test]
fn a_job_that_outlives_what_it_needs() {
    let mut w = cluster(0.0);
    // All cores are taken, so that neither starts.
    w.submit(&World::spec("j-000009", "service", 18));
    w.run(3.0);
    w.submit_at(0, &World::spec("j-000001", "sweep", 1));
    w.run(3.0);
    w.requests.without_dependencies = true;
    w.submit_at(1, &waits_for("j-000002", "j-000001"));
    w.run(3.0);
    w.insist(0, "j-000001", Question::Cancel);
    w.run(30.0);
    w.ask_once(2, "j-000002", Question::Poll);
    w.run(8.0);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    w.run(5.0);
    w.ask_once(2, "j-000002", Question::Poll);
    w.run(2.0);
    sees(&w, "j-000002: called Queued long after what it needs");
}

/// A build that cancels a job that nobody called off, nor anything that it needs.
#[test]
fn a_job_that_is_cancelled_for_nothing() {
    let mut w = cluster(0.0);
    w.submit_at(0, &World::spec("j-000001", "sweep", 1));
    w.submit_at(0, &World::spec("j-000003", "sweep", 1));
    w.run(3.0);
    w.submit_at(1, &waits_for("j-000002", "j-000001"));
    w.run(3.0);
    // Another one's cancellation says nothing of it.
    w.insist(0, "j-000003", Question::Cancel);
    w.run(3.0);
    let controller = w.controllers[0].as_ref().expect("it is up");
    let commit = controller.cancellation(2).expect("an open job");
    w.state.commit(&commit);
    w.ask_once(2, "j-000002", Question::Poll);
    w.run(3.0);
    sees(
        &w,
        "j-000002: it is called cancelled, and nobody asked for that",
    );
}
