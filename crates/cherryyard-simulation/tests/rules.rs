//! The rules, rehearsed: each test is a failure that could break one.

use cherryyard_core::{Mirror, Outcome, Tuning};
use cherryyard_simulation::{Setup, World};
use cherryyard_wire::job::{JobStatus, Rank};
use cherryyard_wire::record::{admission_log_key, job_key};
use cherryyard_wire::state::{WatchEvent, WatchResponse};

/// A running cluster whose shards are owned and whose machines have reported.
fn settled(setup: Setup) -> World {
    let mut w = World::new(setup);
    w.run(5.0);
    w
}

/// Pages of assignments, but for a shard's first one if it names no job and no machine: that
/// one stays, so that its absence is no ground for a transaction that comes late.
fn assignments_left(w: &World) -> Vec<String> {
    let pairs = w.state.pairs().into_iter();
    let empty =
        |p: &cherryyard_wire::state::Pair| p.key.ends_with("/0") && p.value.text() == r#"{"j":[]}"#;
    pairs
        .filter(|p| p.key.contains("mark") && !empty(p))
        .map(|p| format!("{}: {}", p.key, p.value.text()))
        .collect()
}

fn starts(w: &World, task_name: &str) -> Vec<String> {
    let needle = format!("starts {task_name} ");
    w.trace
        .iter()
        .filter(|l| l.contains(&needle))
        .cloned()
        .collect()
}

/// A number that a dead owner had assigned on a machine that cannot be reached
/// is started elsewhere only once the machine is released: the new owner never
/// showed that machine its token, so silence proves nothing.
#[test]
fn dead_owners_number_waits_for_proof() {
    let mut w = settled(Setup::default());
    w.submit(&World::spec("j-000001", "service", 1));
    w.run_until(5.0, |w| w.running() == 1);
    let host = w
        .workers
        .values()
        .find(|x| x.runs("j-000001/0"))
        .unwrap()
        .host
        .clone();
    let owner = usize::from(host.as_bytes()[10] - b'0');
    w.unreachable.insert(host.clone());
    w.workers.get_mut(&host).unwrap().lease_ms = f64::INFINITY;
    w.kill(owner);
    w.run(120.0);
    assert_eq!(starts(&w, "j-000001/0").len(), 1, "{}", w.trace.join("\n"));
    assert!(w.broken.is_empty());
    // The list no longer shows the machine; its release is the proof.
    let now = w.now;
    for controller in w.controllers.iter_mut().flatten() {
        controller.listed(Vec::new(), now);
    }
    w.run_until(40.0, |w| starts(w, "j-000001/0").len() == 2);
    assert!(!w.workers.contains_key(&host));
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// An old owner's transaction that is applied late changes nothing.
#[test]
fn late_transaction_dies() {
    let mut w = settled(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    w.hold_commits.insert(0);
    w.submit(&World::spec("j-000001", "service", 1));
    w.run_until(5.0, |w| !w.held_commits.is_empty());
    w.kill(0);
    w.hold_commits.clear();
    w.run_until(30.0, |w| w.running() == 1);
    let store_revision = w.state.store_revision();
    let outcomes = w.deliver_commits();
    assert!(!outcomes.is_empty());
    assert!(
        outcomes.iter().all(|o| matches!(o, Outcome::Conflict(_))),
        "{outcomes:?}"
    );
    assert_eq!(w.state.store_revision(), store_revision);
    w.run(20.0);
    assert_eq!(w.copies("j-000001/0"), 1);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// The same before the new owner has written anything: the claim alone decides.
#[test]
fn late_transaction_dies_by_the_claim() {
    let mut w = settled(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    w.hold_commits.extend([0, 1, 2]);
    w.submit(&World::spec("j-000001", "service", 1));
    w.run_until(5.0, |w| !w.held_commits.is_empty());
    w.kill(0);
    let old = std::mem::take(&mut w.held_commits);
    w.run_until(15.0, |w| {
        w.trace
            .iter()
            .any(|l| l.contains("node-1 claims c/part/0: Applied"))
    });
    for commit in old {
        let outcome = w.state.commit(&commit);
        assert!(
            matches!(outcome, Outcome::Conflict(_)),
            "{outcome:?}: {commit:?}"
        );
    }
}

/// A machine that has reported to its new owner, but not yet under the new
/// token, is not given up when it falls silent: the old owner may have answered
/// it since.
#[test]
fn silence_before_the_token_is_shown_proves_nothing() {
    let mut w = settled(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    w.submit(&World::spec("j-000001", "service", 1));
    w.run_until(5.0, |w| w.running() == 1);
    let host = w
        .workers
        .values()
        .find(|x| x.runs("j-000001/0"))
        .unwrap()
        .host
        .clone();
    w.unreachable.insert(host.clone());
    w.workers.get_mut(&host).unwrap().lease_ms = f64::INFINITY;
    w.kill(0);
    w.run_until(15.0, |w| {
        w.trace
            .iter()
            .any(|l| l.contains("node-1 claims c/part/0: Applied"))
    });
    w.run(0.5);
    // Its report gets through; the answer, and with it the token, is lost.
    let report = w.workers.get_mut(&host).unwrap().report(w.now);
    let now = w.now;
    w.controllers[1].as_mut().unwrap().report(&report, now);
    w.run(60.0);
    assert_eq!(starts(&w, "j-000001/0").len(), 1, "{}", w.trace.join("\n"));
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// An old owner's direct command that arrives late is not executed.
#[test]
fn late_direct_command_dies() {
    let mut w = settled(Setup {
        machines: vec![("a", 2)],
        ..Setup::default()
    });
    w.slow_direct
        .extend(["host-000000".to_string(), "host-000001".to_string()]);
    w.submit(&World::spec("j-000001", "service", 1));
    w.run_until(5.0, |w| !w.held_direct.is_empty());
    w.kill(0);
    let old = std::mem::take(&mut w.held_direct);
    w.slow_direct.clear();
    w.run_until(25.0, |w| w.running() == 1);
    w.held_direct = old;
    assert_eq!(w.deliver_direct(), 0);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// A direct start whose answer is lost, of a job cancelled meanwhile: the owner
/// takes a new token, so that the start dies wherever it is.
#[test]
fn cancel_against_a_start_in_flight() {
    let mut w = settled(Setup {
        machines: vec![("a", 1)],
        ..Setup::default()
    });
    w.slow_direct.insert("host-000000".into());
    w.submit(&World::spec("j-000001", "service", 1));
    w.run_until(5.0, |w| !w.held_direct.is_empty());
    w.unreachable.insert("host-000000".into());
    w.cancel(1, "j-000001");
    w.run(1.0);
    w.unreachable.clear();
    w.run(10.0);
    assert_eq!(w.deliver_direct(), 0, "{}", w.trace.join("\n"));
    w.run(5.0);
    assert_eq!(w.running(), 0);
    // Nothing of the job is left in the state service but its end.
    assert_eq!(assignments_left(&w), Vec::<String>::new());
}

/// An owner that the state service refuses, and that no peer reaches, cannot
/// see a cancellation. It stops answering in time for every lease to end.
#[test]
fn cancel_against_an_owner_cut_off() {
    let mut w = settled(Setup {
        machines: vec![("a", 1)],
        ..Setup::default()
    });
    w.submit(&World::spec("j-000001", "service", 1));
    w.run_until(5.0, |w| w.running() == 1);
    w.refused.insert(0);
    w.alone.insert(0);
    w.run(0.5);
    w.cancel(1, "j-000001");
    w.run(20.0);
    assert_eq!(
        w.running(),
        1,
        "as long as it may, the owner keeps its workers"
    );
    w.run(20.0);
    assert_eq!(w.running(), 0, "{}", w.trace.join("\n"));
}

/// An owner that only the workers cannot reach gives its shard up in time for
/// another to keep their leases.
#[test]
fn owner_cut_off_from_workers_yields() {
    let mut w = settled(Setup {
        machines: vec![("a", 4)],
        ..Setup::default()
    });
    w.run(12.0);
    for x in w.workers.values_mut() {
        x.lease_ms = 20_000.0;
    }
    w.submit(&World::spec("j-000001", "service", 8));
    w.run_until(5.0, |w| w.running() == 8);
    w.deaf.insert(0);
    w.run(18.0);
    assert_eq!(w.running(), 8);
    w.run(40.0);
    assert!(
        w.trace.iter().all(|l| !l.contains("loses its lease")),
        "{}",
        w.trace.join("\n")
    );
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// While the state service answers nobody, nobody can cancel: workers are
/// answered for as long as it takes, and nothing new starts.
#[test]
fn outage_for_all_keeps_what_runs() {
    let mut w = settled(Setup::default());
    w.submit(&World::spec("j-000001", "service", 3));
    w.run_until(5.0, |w| w.running() == 3);
    w.submit(&World::spec("j-000002", "service", 1));
    w.refused.extend([0, 1, 2]);
    w.run(90.0);
    assert_eq!(w.running(), 3, "{}", w.trace.join("\n"));
    w.refused.clear();
    w.run(10.0);
    assert_eq!(w.running(), 4, "{}", w.trace.join("\n"));
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// With more controllers than a transaction may have changes, a team with a limit gets
/// all of it: its first hand-out was left out as a whole, and nothing ever ran.
#[test]
fn a_team_limit_over_twenty_four_parts() {
    let mut w = settled(Setup {
        zones: vec!["a"; 24],
        machines: vec![("a", 48)],
        limit: 60.0,
        txn_ops: 8,
        write_rps: 100.0,
        ..Setup::default()
    });
    for x in w.workers.values_mut() {
        x.run_ms = 5000.0;
    }
    w.submit(&World::spec("j-000001", "sweep", 200));
    w.run(20.0);
    assert_eq!(w.most_cores, 60.0);
    w.run(80.0);
    assert_eq!(w.view(3, "j-000001").unwrap().status, JobStatus::Done);
    assert_eq!(w.most_cores, 60.0);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// A view once told is never older at another controller, nor at one that is
/// cut off afterwards, nor after a late change from the watch.
#[test]
fn reads_never_go_back() {
    let mut w = settled(Setup::default());
    w.submit(&World::spec("j-000001", "service", 1));
    w.run(2.0);
    let old = w.state.events(0);
    w.cancel(0, "j-000001");
    for i in [1, 2, 0] {
        let status = w.view(i, "j-000001").map(|v| v.status);
        assert_eq!(status, Some(JobStatus::Cancelled), "node-{i}");
    }
    w.refused.insert(1);
    let now = w.now;
    let controller = w.controllers[1].as_mut().unwrap();
    controller.events(&old, now, now);
    let late = WatchEvent {
        set: Some(admission_log_key(0)),
        delete: None,
        value: old
            .events
            .iter()
            .find(|c| c.set == Some(admission_log_key(0)))
            .unwrap()
            .value
            .clone(),
        revision: controller.mirror.store_revision + 5,
    };
    controller.events(
        &WatchResponse {
            store_revision: controller.mirror.store_revision + 5,
            events: vec![late],
        },
        now,
        now,
    );
    assert_eq!(
        w.view(1, "j-000001").map(|v| v.status),
        Some(JobStatus::Cancelled)
    );
    let open = &w.controllers[1].as_ref().unwrap().mirror.open;
    assert!(!open.contains_key(&1), "nothing may start it again");
}

/// A team's limit holds over three shards, and all of it can be used by one.
#[test]
fn team_limit_over_three_parts() {
    let machines = vec![("a", 4), ("b", 4), ("c", 4)];
    let mut w = settled(Setup {
        machines,
        limit: 12.0,
        ..Setup::default()
    });
    for x in w.workers.values_mut() {
        x.run_ms = 4000.0;
    }
    w.submit(&World::spec("j-000001", "sweep", 40));
    w.run_until(120.0, |w| {
        w.state
            .pairs()
            .iter()
            .any(|p| p.value.text().contains("done"))
    });
    assert_eq!(w.most_cores, 12.0);
    w.most_cores = 0.0;
    let mut spec = World::spec("j-000002", "sweep", 12);
    spec.zone = Some("a".into());
    w.submit(&spec);
    w.run(60.0);
    assert_eq!(
        w.most_cores, 12.0,
        "the other parts give back what they do not use"
    );
    let view = w.view(1, "j-000002").unwrap();
    assert_eq!((view.status, view.done), (JobStatus::Done, 12));
}

/// After the delay a shard loses waiting numbers to shards with room, and only
/// those that it has not assigned.
#[test]
fn overflow_moves_only_unmarked_numbers() {
    let mut w = settled(Setup::default());
    w.submit(&World::spec("j-000001", "sweep", 12));
    w.run_until(5.0, |w| w.running() == 6);
    w.run(0.5);
    let record = |w: &World| w.division(1);
    let before = record(&w);
    let assigned: Vec<Vec<u32>> = (0..3)
        .map(|p| {
            let controller = w.controllers[0].as_ref().unwrap();
            let assignments = &controller.mirror.assignments[&(p, 1)];
            assignments.assignments.keys().copied().collect()
        })
        .collect();
    for n in 10..13 {
        let name = format!("host-{n:06}");
        let worker = cherryyard_simulation::WorkerStandIn::new(&name, "c", 2, 10_000.0, w.now);
        w.workers.insert(name, worker);
    }
    w.run(Tuning::default().autoscale_multi_cluster_delay_s / 2.0);
    assert_eq!(record(&w)[0], before[0], "not before the delay");
    w.run(20.0);
    let after = record(&w);
    assert_eq!(w.running(), 12, "{}", w.trace.join("\n"));
    for p in 0..3 {
        for &n in &assigned[p] {
            assert!(after[p].contains(n), "{n} was marked in part {p}");
        }
    }
    assert!(after[2].len() > before[2].len());
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// Records stay below the smallest value limit, whatever a job's size.
#[test]
fn pages_at_the_smallest_value_limit() {
    let machines = vec![("a", 3), ("b", 3), ("c", 3)];
    let setup = Setup {
        machines,
        value_kb: 1.0,
        txn_ops: 2,
        ..Setup::default()
    };
    let mut w = settled(setup);
    for x in w.workers.values_mut() {
        x.run_ms = 500.0;
    }
    w.submit(&World::spec("j-000001", "sweep", 150));
    w.run(90.0);
    let view = w.view(0, "j-000001").unwrap();
    assert_eq!(
        (view.status, view.done),
        (JobStatus::Done, 150),
        "{}",
        w.trace.join("\n")
    );
    for prefix in ["c/mark", "c/job"] {
        let largest = w.state.largest(prefix);
        assert!((20..=1024).contains(&largest), "{prefix}: {largest} bytes");
    }
}

/// A job that fails everywhere neither spins nor costs machines.
#[test]
fn a_job_that_always_fails_is_held_off() {
    let mut w = settled(Setup::default());
    for x in w.workers.values_mut() {
        x.run_ms = 200.0;
        x.faulty = true;
    }
    w.submit(&World::spec("j-000001", "sweep", 1));
    w.run(120.0);
    let n = starts(&w, "j-000001/0").len();
    assert!((3..=20).contains(&n), "{n} starts");
    assert_eq!(w.workers.len(), 3);
}

/// The trace of a service that needs a whole machine: both tasks there are
/// stopped, and the machine is kept for it. Once, the first freed cores went
/// to a waiting task, and the service never started.
#[test]
fn trace_of_making_room() {
    let mut w = settled(Setup {
        machines: vec![("a", 1)],
        ..Setup::default()
    });
    w.submit(&World::spec("j-000001", "sweep", 6));
    w.run(2.0);
    let mut spec = World::spec("j-000002", "service", 1);
    spec.cores = 4.0;
    spec.rank = Rank::High;
    w.submit(&spec);
    w.run(8.0);
    w.cancel(0, "j-000002");
    w.run(4.0);
    insta::assert_snapshot!(w.trace.join("\n"));
}

/// The trace of a rolling restart: what runs goes on, a restarted controller
/// has its shard back at once, and the job completes.
#[test]
fn trace_of_a_rolling_restart() {
    let mut w = settled(Setup::default());
    for x in w.workers.values_mut() {
        x.run_ms = 9000.0;
    }
    w.submit(&World::spec("j-000001", "sweep", 9));
    for i in 0..3 {
        w.run(2.0);
        w.kill(i);
        w.run(4.0);
        w.start(i);
    }
    w.run(30.0);
    let view = w.view(2, "j-000001").unwrap();
    assert_eq!(
        (view.status, view.done),
        (JobStatus::Done, 9),
        "{}",
        w.trace.join("\n")
    );
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    insta::assert_snapshot!(w.trace.join("\n"));
}

/// What exceeds all free capacity follows machine counts: by the weights of a few
/// free cores, a large array was heaped onto one shard.
#[test]
fn excess_is_not_heaped_onto_one_part() {
    let mut w = settled(Setup::default());
    w.submit(&World::spec("j-000001", "sweep", 5));
    w.run(3.0);
    assert_eq!(w.running(), 5);
    w.submit(&World::spec("j-000002", "sweep", 31));
    w.run(2.0);
    let div = w.division(2);
    let shares: Vec<u32> = div.iter().map(|s| s.len()).collect();
    assert_eq!(shares.iter().sum::<u32>(), 31);
    assert!(shares.iter().all(|n| (10..=11).contains(n)), "{shares:?}");
}

/// A job that can no longer make its deadline comes after one that can, though
/// it was submitted first and is due first.
#[test]
fn late_jobs_delay_no_others() {
    let mut w = settled(Setup {
        machines: vec![("a", 1)],
        ..Setup::default()
    });
    w.workers.get_mut("host-000000").unwrap().run_ms = 5000.0;
    w.submit(&World::spec("j-000001", "sweep", 2));
    w.run(1.0);
    for (id, due) in [("j-000002", 5.0), ("j-000003", 100.0)] {
        let mut spec = World::spec(id, "sweep", 2);
        spec.due_s = Some(due);
        w.submit(&spec);
    }
    w.run(20.0);
    let first = |id: &str| {
        w.trace
            .iter()
            .position(|l| l.contains(&format!("starts {id}/0")))
            .expect("it started")
    };
    assert!(
        first("j-000003") < first("j-000002"),
        "{}",
        w.trace.join("\n")
    );
}

/// One scheduling cycle writes a page or two however many jobs it touches. A write for
/// each job and part took the whole budget of a large deployment: most tasks
/// waited for the state service, not for machines.
#[test]
fn a_round_costs_a_write_or_two() {
    let mut w = settled(Setup {
        machines: vec![("a", 10)],
        ..Setup::default()
    });
    for x in w.workers.values_mut() {
        x.run_ms = 3000.0;
    }
    w.run(4.0);
    let before = w.state.assignment_writes;
    for i in 0..10 {
        w.submit(&World::spec(&format!("j-00001{i}"), "sweep", 2));
    }
    w.run_until(3.0, |w| w.running() == 20);
    let starting = w.state.assignment_writes - before;
    assert!(
        (1..=4).contains(&starting),
        "{starting} writes for ten jobs"
    );
    w.run(12.0);
    assert_eq!(w.running(), 0);
    let all = w.state.assignment_writes - before;
    assert!(all <= 12, "{all} writes from start to end of ten jobs");
    let none = Vec::<String>::new();
    assert_eq!(
        assignments_left(&w),
        none,
        "nothing of jobs that are over is kept"
    );
}

/// At the smallest budgets an array of 100,000 tasks is taken whole over seven
/// shards, keeps every limit, costs nobody a claim, and is gone soon after it is
/// cancelled.
#[test]
fn a_large_array_at_the_smallest_budgets() {
    let mut w = settled(Setup {
        zones: vec!["a"; 7],
        machines: vec![("a", 21)],
        ..Setup::default()
    });
    for x in w.workers.values_mut() {
        x.run_ms = 1500.0;
    }
    let claims = |w: &World| {
        w.trace
            .iter()
            .filter(|l| l.contains("claims c/part"))
            .count()
    };
    let claimed = claims(&w);
    w.submit(&World::spec("j-000001", "sweep", 100_000));
    w.run_until(5.0, |w| w.running() == 42);
    let writes = w.state.writes;
    w.run(30.0);
    let view = w.view(3, "j-000001").unwrap();
    assert!(view.done > 300, "{view:?}");
    let rate = (w.state.writes - writes) as f64 / 30.0;
    assert!(rate <= 20.0, "{rate} writes a second");
    assert_eq!(claims(&w), claimed, "no claim was lost");
    w.cancel(5, "j-000001");
    w.run(10.0);
    assert_eq!(w.running(), 0);
    let largest = w.state.largest("c/");
    assert!((200..=4096).contains(&largest), "{largest} bytes");
    assert!(w.state.most_ops <= 8, "{}", w.state.most_ops);
    assert!(w.state.most_conditions <= 32, "{}", w.state.most_conditions);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// Connections between controllers are refused, and all else works: the leader_index
/// stays where it is (it went round among all, every few seconds), and a job is
/// still divided over all shards by what the cloud lists and what is assigned (the
/// leader's own shard got everything).
#[test]
fn a_cut_between_controllers_changes_little() {
    let mut w = settled(Setup::default());
    w.list_machines();
    w.run(5.0);
    let leader_index = w.state.get("c/lead").unwrap().1;
    w.alone.extend([0, 1, 2]);
    w.run(20.0);
    w.list_machines();
    w.run(3.0);
    w.submit(&World::spec("j-000001", "sweep", 6));
    w.run(3.0);
    assert_eq!(
        w.state.get("c/lead").unwrap().1,
        leader_index,
        "the leader_index moved"
    );
    assert_eq!(w.running(), 6, "{}", w.trace.join("\n"));
    assert!(w.broken.is_empty(), "{:?}", w.broken);
}

/// The trace of a replica whose machine is lost. The image is held in another
/// part only: the replica goes there at once, neither fetching the image in its
/// own shard nor waiting for the delay.
#[test]
fn trace_of_a_lost_replica() {
    let mut w = settled(Setup {
        zones: vec!["a", "b"],
        machines: vec![("a", 2), ("b", 2)],
        ..Setup::default()
    });
    let service = |id: &str, zone: Option<&str>| {
        let mut spec = World::spec(id, "service", 1);
        spec.cores = 4.0;
        spec.image_gb = 12.0;
        spec.zone = zone.map(str::to_string);
        spec
    };
    // One machine in each zone comes to hold the image.
    for (id, zone) in [("j-000001", "a"), ("j-000002", "b")] {
        w.submit(&service(id, Some(zone)));
    }
    w.run(8.0);
    w.cancel(0, "j-000001");
    w.cancel(0, "j-000002");
    w.run(4.0);
    w.submit(&service("j-000003", None));
    w.run(4.0);
    let holder = |w: &World| {
        let mut all = w.workers.values();
        all.find(|x| x.runs("j-000003/0")).map(|x| x.host.clone())
    };
    let first = holder(&w).expect("it runs");
    w.unreachable.insert(first.clone());
    w.say(format!("{first} is lost"));
    w.run(14.0);
    let starts = starts(&w, "j-000003/0");
    assert_eq!(starts.len(), 2, "{}", w.trace.join("\n"));
    let other = w
        .workers
        .values()
        .find(|x| x.runs("j-000003/0") && x.host != first);
    let zone = |host: &str| usize::from(host.as_bytes()[10] - b'0') / 2;
    let other = other.expect("it runs again").host.clone();
    assert_ne!(zone(&other), zone(&first), "{}", w.trace.join("\n"));
    insta::assert_snapshot!(w.trace.join("\n"));
}

/// A move that reaches the state service late, after its owner has assigned
/// numbers of the job, changes nothing: a page of assignments has changed. Applied,
/// it would have given a running task to another shard.
#[test]
fn a_move_by_an_old_view_dies() {
    let mut w = settled(Setup::default());
    for x in w.workers.values_mut() {
        x.run_ms = 16_000.0;
    }
    w.submit(&World::spec("j-000001", "sweep", 12));
    w.run_until(5.0, |w| w.running() == 6);
    for n in 10..13 {
        let name = format!("host-{n:06}");
        let worker = cherryyard_simulation::WorkerStandIn::new(&name, "c", 2, 10_000.0, w.now);
        w.workers.insert(name, worker);
    }
    w.hold_lead = true;
    w.run_until(14.0, |w| !w.held_commits.is_empty());
    let moves = std::mem::take(&mut w.held_commits);
    assert!(
        moves
            .iter()
            .all(|c| c.apply.iter().all(|a| a.key() == job_key(1)))
    );
    w.run(8.0);
    for commit in moves {
        let outcome = w.state.commit(&commit);
        assert!(
            matches!(outcome, Outcome::Conflict(_)),
            "{outcome:?}: {commit:?}"
        );
    }
    w.held_commits.clear();
    w.hold_lead = false;
    w.run(40.0);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    let view = w.view(1, "j-000001").unwrap();
    assert_eq!(view.done + view.running, 12, "{view:?}");
}

/// The trace of a machine that is lost with its owner: it never shows the next
/// owner its token, so no lease of it ends there. It is released once the other
/// machines have come, and its task starts again; not while the fault may be
/// the network's.
#[test]
fn trace_of_a_machine_lost_with_its_owner() {
    let mut w = settled(Setup {
        machines: vec![("a", 7)],
        ..Setup::default()
    });
    w.submit(&World::spec("j-000001", "sweep", 7));
    w.run_until(5.0, |w| w.running() == 7);
    w.kill(0);
    w.say("host-000003 is lost");
    w.unreachable.insert("host-000003".into());
    w.run(4.0);
    w.start(0);
    w.run(9.0);
    assert!(w.trace.iter().all(|l| !l.contains("releases")));
    w.run(4.0);
    assert!(w.broken.is_empty(), "{:?}", w.broken);
    assert!(!w.workers.contains_key("host-000003"));
    assert_eq!(w.running(), 7, "{}", w.trace.join("\n"));
    insta::assert_snapshot!(w.trace.join("\n"));
}

/// A full read is taken in small pieces between which others have their turn;
/// what it lacks is forgotten at its end only, and what is newer stays.
#[test]
fn a_full_read_in_pieces() {
    let mut w = settled(Setup::default());
    for n in 1..=8 {
        w.submit(&World::spec(&format!("j-{n:06}"), "service", 1));
    }
    w.run(10.0);
    w.cancel(0, "j-000003");
    w.run(10.0);
    let whole = &w.controllers[0].as_ref().unwrap().mirror;
    let mut task_count = Mirror::new(&w.controllers[0].as_ref().unwrap().config);
    let (pairs, store_revision) = (w.state.pairs(), w.state.store_revision());
    task_count.begin_load();
    for some in pairs.chunks(2) {
        task_count.load_some(some);
        assert!(!task_count.loaded && task_count.store_revision == 0);
    }
    task_count.end_load(store_revision);
    assert!(task_count.loaded && task_count.store_revision == store_revision);
    for job in 1..=9 {
        assert_eq!(task_count.view(job), whole.view(job), "{job}");
    }
    // Read again after the page of jobs was deleted; then one in which it is newer.
    let newest = pairs
        .iter()
        .find(|p| p.key == admission_log_key(0))
        .unwrap()
        .revision;
    task_count.begin_load();
    for some in pairs.chunks(2) {
        let left: Vec<_> = some
            .iter()
            .filter(|p| p.key != admission_log_key(0))
            .cloned()
            .collect();
        task_count.load_some(&left);
    }
    assert!(task_count.view(5).is_some());
    task_count.end_load(store_revision);
    assert!(task_count.view(5).is_none() && task_count.view(8).is_none());
    task_count.begin_load();
    task_count.load_some(&pairs);
    task_count.end_load(store_revision);
    task_count.begin_load();
    let old: Vec<_> = pairs
        .iter()
        .filter(|p| p.revision < newest)
        .cloned()
        .collect();
    task_count.load_some(&old);
    task_count.store_revision = newest - 1;
    task_count.end_load(newest - 1);
    assert!(task_count.view(8).is_some());
}
