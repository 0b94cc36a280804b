//! Two troubles at once: the meetings that broke schedulers, each by itself, and every
//! pair of troubles within each other's span. `docs/restart.md` has the table of
//! meetings and tests; the gap and late transactions have files of their own.

use cherryyard_simulation::fault::{NEWER, OLDER, leader};
use cherryyard_simulation::{Fault, Question, Setup, Users, World, draws, play_seeds};
use cherryyard_wire::job::{JobSpec, JobStatus, Shape};
use std::collections::BTreeSet;

fn cluster(seconds: f64) -> World {
    cluster_of(seconds, Vec::new(), vec!["a", "b", "c"])
}

fn cluster_of(
    seconds: f64,
    teams: Vec<(&'static str, f64, f64)>,
    zones: Vec<&'static str>,
) -> World {
    let mut w = World::new(Setup {
        zones,
        machines: vec![("a", 5), ("b", 5), ("c", 5)],
        write_rps: 60.0,
        limit: 48.0,
        teams,
        ..Setup::default()
    });
    for worker in w.workers.values_mut() {
        worker.run_ms = seconds * 1000.0;
    }
    w.run(6.0);
    w
}

fn sweep(job: u64, task_count: u32) -> JobSpec {
    let mut spec = World::spec(&format!("j-{job:06}"), "sweep", task_count);
    spec.expected_s = 10.0;
    spec
}

fn starts(w: &World, task_name: &str) -> usize {
    let needle = format!("starts {task_name} ");
    w.trace.iter().filter(|l| l.contains(&needle)).count()
}

/// Nothing fails any more; the day is judged after what is left of it.
fn end(w: &mut World, users: &mut Users, state: &str) {
    let wrong = users.see_out(w);
    if std::env::var("DEBUG").is_ok() && !w.broken.is_empty() {
        println!("{}", w.trace.join("\n"));
    }
    assert!(w.broken.is_empty(), "{state}: {:?}", w.broken);
    if w.limit_of("guests") == w.limit_of("team") {
        assert!(w.most_cores <= 48.0, "{state}: {} cores", w.most_cores);
    }
    if std::env::var("DEBUG").is_ok() && !wrong.is_empty() {
        for i in 0..3 {
            for j in 1..5 {
                println!("{:?}", w.view(i, &format!("j-{j:06}")));
            }
        }
        println!("{}", w.trace.join("\n"));
        for p in w.state.pairs() {
            println!("{} {}", p.key, p.value.text());
        }
    }
    assert!(wrong.is_empty(), "{state}: {wrong:?}");
}

/// Controllers hand over and back, all end, and one returns, within 0, 50, 500 and 1000
/// ms, at every other step of a home's asking for its shard.
#[test]
fn hand_over_and_back_then_all_end_and_one_returns() {
    for back_ms in [0.0, 50.0, 500.0, 1000.0] {
        for step in (0..24).step_by(3) {
            let mut w = cluster(f64::INFINITY);
            let mut users = Users::default();
            for job in 1..=3 {
                users.submit(&mut w, &World::spec(&format!("j-00000{job}"), "service", 4));
            }
            users.run(&mut w, 4.0);
            // Its part goes to another.
            w.kill(1);
            users.run(&mut w, 9.0);
            w.start(1);
            // Home asks for it 12 s after its start.
            users.run(&mut w, 11.5);
            w.run(f64::from(step) * 0.05);
            for i in 0..3 {
                w.kill(i);
            }
            w.run(back_ms / 1000.0);
            w.start(step as usize % 3);
            w.run(back_ms / 1000.0);
            let state = format!("back after {back_ms} ms, step {step}");
            users.run(&mut w, 6.0);
            end(&mut w, &mut users, &state);
            assert_eq!(w.running(), 12, "{state}");
        }
    }
}

/// Jobs of two and three tasks whose tasks end 5 to 60 s apart, across one or two changes
/// of leader and owners: done neither early nor never, and nothing that is done runs
/// again.
#[test]
fn tasks_that_end_far_apart_across_changes_of_leader() {
    for apart_s in [5.0, 20.0, 60.0] {
        for changes in [1, 2] {
            for late in [0, 25] {
                let mut w = cluster(f64::INFINITY);
                w.seed_late(changes);
                let mut users = Users::default();
                users.submit(&mut w, &sweep(1, 2));
                users.submit(&mut w, &sweep(2, 3));
                users.run(&mut w, 5.0);
                let state = format!("{apart_s} s, {changes} changes, {late}% late");
                assert_eq!(w.running(), 5, "{state}");
                w.late_writes = late;
                // The first task of each ends, then a leader and an owner, then the rest.
                for (n, task_name) in ["/0", "/1", "/2"].into_iter().enumerate() {
                    for job in ["j-000001", "j-000002"] {
                        let task_name = format!("{job}{task_name}");
                        for worker in w.workers.values_mut() {
                            worker.finish(&task_name);
                        }
                    }
                    users.run(&mut w, apart_s / 2.0);
                    if (n as u64) < changes {
                        let gone = leader(&w);
                        w.kill(gone);
                        users.run(&mut w, apart_s / 2.0);
                        w.start(gone);
                    }
                }
                users.run(&mut w, 16.0);
                w.late_writes = 0;
                users.run(&mut w, 16.0);
                for (job, task_count) in [("j-000001", 2), ("j-000002", 3)] {
                    for i in 0..3 {
                        let view = w.view(i, job).expect("it is known");
                        assert_eq!(view.status, JobStatus::Done, "{state}: {job}");
                    }
                    for n in 0..task_count {
                        let task_name = format!("{job}/{n}");
                        assert_eq!(starts(&w, &task_name), 1, "{state}: {task_name}");
                    }
                }
                end(&mut w, &mut users, &state);
            }
        }
    }
}

/// A leader ends while machines with long tasks can't be reached, or don't hear the new
/// leader's answer: nothing of theirs is started elsewhere without proof, nothing that
/// reports is released by an old picture, and they are found again.
#[test]
fn a_leader_ends_while_machines_with_long_tasks_are_away() {
    for (deaf, away_s) in [
        (false, 4.0),
        (false, 25.0),
        (true, 4.0),
        (true, 8.0),
        (true, 25.0),
    ] {
        let mut w = cluster(f64::INFINITY);
        let mut users = Users::default();
        for job in 1..=3 {
            users.submit(&mut w, &sweep(job, 8));
        }
        users.run(&mut w, 8.0);
        assert_eq!(w.running(), 24);
        let gone = leader(&w);
        let zone = ["a", "b", "c"][gone];
        let away: BTreeSet<String> = w
            .workers
            .values()
            .filter(|x| x.zone == zone)
            .map(|x| x.host.clone())
            .collect();
        if deaf {
            w.one_way = away;
        } else {
            w.unreachable = away;
        }
        users.run(&mut w, 1.0);
        w.kill(gone);
        users.run(&mut w, away_s);
        w.one_way.clear();
        w.unreachable.clear();
        users.run(&mut w, 10.0);
        w.start(gone);
        users.run(&mut w, 60.0);
        let state = format!("deaf {deaf}, {away_s} s");
        assert!(w.broken.is_empty(), "{state}: {:?}", w.broken);
        let released = w.trace.iter().filter(|l| l.contains("releases")).count();
        assert_eq!(released, 0, "{state}: {}", w.trace.join("\n"));
        assert_eq!(w.running(), 24, "{state}: {}", w.trace.join("\n"));
        for worker in w.workers.values_mut() {
            worker.run_ms = 1000.0;
        }
        end(&mut w, &mut users, &state);
    }
}

/// The state service takes hundreds of milliseconds, seconds, or just longer than a
/// controller waits, alone and before it refuses one and then all; jobs are cancelled in
/// it.
#[test]
fn a_slow_state_service() {
    for slow_ms in [300.0, 1500.0, 2100.0, 4000.0] {
        for refuses in [false, true] {
            let mut w = cluster(f64::INFINITY);
            w.seed_late(slow_ms as u64);
            let mut users = Users::default();
            for job in 1..=6 {
                users.submit(&mut w, &World::spec(&format!("j-00000{job}"), "service", 3));
            }
            users.run(&mut w, 8.0);
            w.slow_ms = slow_ms;
            users.run(&mut w, 3.0);
            for job in 1..=3 {
                users.ask_cancel(&mut w, job % 3, &format!("j-00000{job}"));
                users.run(&mut w, 1.5);
            }
            if refuses {
                w.refused.insert(0);
                users.run(&mut w, 2.0);
                w.refused.extend([1, 2]);
                users.run(&mut w, 60.0);
                w.refused.clear();
            }
            users.run(&mut w, 45.0);
            end(
                &mut w,
                &mut users,
                &format!("{slow_ms} ms, refuses {refuses}"),
            );
            assert_eq!(w.running(), 9, "{slow_ms} ms, refuses {refuses}");
        }
    }
}

/// A command or its answer is held up for seconds and the machine goes on after; in
/// between its job is cancelled, it is started again elsewhere, or its shard changes
/// hands.
#[test]
fn a_command_held_up() {
    for between in 0..4 {
        for late_s in [2.0, 6.0, 12.0, 30.0] {
            let mut w = cluster(f64::INFINITY);
            let mut users = Users::default();
            let hosts: Vec<String> = w.workers.keys().cloned().collect();
            w.slow_direct.extend(hosts.clone());
            users.submit(&mut w, &World::spec("j-000001", "service", 20));
            users.run(&mut w, 0.5);
            match between {
                0 => users.ask_cancel(&mut w, 1, "j-000001"),
                1 => w.unreachable.extend(hosts.iter().take(7).cloned()),
                2 => {
                    let i = leader(&w);
                    w.kill(i);
                    w.start(i);
                }
                _ => w.kill(1),
            }
            users.run(&mut w, late_s);
            w.unreachable.clear();
            w.slow_direct.clear();
            w.deliver_direct();
            users.run(&mut w, 30.0);
            let state = format!("between {between}, {late_s} s late");
            end(&mut w, &mut users, &state);
            let expected = if between == 0 { 0 } else { 20 };
            assert_eq!(w.running(), expected, "{state}");
        }
    }
}

/// The same start is sent twice, as the first one's answer is lost; the second one is
/// answered. Whatever becomes of the task, the first one may arrive after all: it must
/// not start there once more. (Found by seed 31 of the pairs: it did, after its job was
/// cancelled and the attempt cleared.)
#[test]
fn a_command_sent_twice() {
    for late_s in [12.0, 45.0, 80.0] {
        let mut w = cluster(f64::INFINITY);
        let mut users = Users::default();
        let hosts: Vec<String> = w.workers.keys().cloned().collect();
        w.slow_direct.extend(hosts);
        users.submit(&mut w, &World::spec("j-000001", "service", 20));
        w.run_until(2.0, |w| !w.held_direct.is_empty());
        w.slow_direct.clear();
        users.run(&mut w, 5.0);
        assert_eq!(w.running(), 20);
        users.ask_cancel(&mut w, 1, "j-000001");
        users.run(&mut w, late_s);
        w.deliver_direct();
        assert_eq!(w.running(), 0, "{late_s} s late");
        end(&mut w, &mut users, &format!("{late_s} s late"));
    }
}

/// Machines hang with a start on its way to them, for longer than a lease, and carry it
/// out before they see that their incarnation is over. It must not run elsewhere by then.
/// (Found by a hunted day, rahbar-lahore-hunt hunt-bc60-5.)
#[test]
fn a_start_to_a_machine_that_hangs_beyond_its_lease() {
    for hangs_s in [4.0, 12.0, 16.0, 24.0] {
        let mut w = cluster(f64::INFINITY);
        let mut users = Users::default();
        let hosts: Vec<String> = w.workers.keys().cloned().collect();
        w.slow_direct.extend(hosts);
        users.submit(&mut w, &World::spec("j-000001", "service", 20));
        w.run_until(2.0, |w| !w.held_direct.is_empty());
        let held = w.held_direct.iter().take(4).map(|h| h.0.clone());
        w.hung = held.collect();
        w.slow_direct.clear();
        users.run(&mut w, hangs_s);
        w.deliver_direct();
        w.hung.clear();
        let state = format!("{hangs_s} s");
        users.run(&mut w, 30.0);
        end(&mut w, &mut users, &state);
        assert_eq!(w.running(), 20, "{state}");
    }
}

/// Reports come again after newer ones, from earlier incarnations and attempts, at the owner,
/// at the controller after it and at a new owner, at every delay around a lease.
#[test]
fn old_reports_from_earlier_sessions_and_attempts() {
    for late_ms in [500.0, 2500.0, 9000.0, 11_000.0, 25_000.0, 45_000.0] {
        let mut w = cluster(6.0);
        let mut users = Users::default();
        w.copies_ms = Some(late_ms);
        for job in 1..=4 {
            users.submit(&mut w, &sweep(job, 24));
        }
        users.run(&mut w, 3.0);
        // Sessions end, and attempts are made anew.
        let some: Vec<String> = w.workers.keys().step_by(3).cloned().collect();
        w.unreachable.extend(some.iter().cloned());
        users.run(&mut w, 13.0);
        w.unreachable.clear();
        w.reborn(&some[0]);
        users.run(&mut w, 4.0);
        let gone = leader(&w);
        w.kill(gone);
        users.run(&mut w, 8.0);
        users.ask_cancel(&mut w, (gone + 1) % 3, "j-000004");
        w.start(gone);
        users.run(&mut w, 30.0);
        end(&mut w, &mut users, &format!("{late_ms} ms"));
    }
}

/// A pair of troubles that begin and end within each other's span, one after the other,
/// while users submit, cancel, repeat and poll at every controller.
fn day(seed: u64, faults: &[Fault], at_once: usize) {
    day_of(seed, faults, at_once, vec!["a", "b", "c"]);
}

fn day_of(seed: u64, faults: &[Fault], at_once: usize, zones: Vec<&'static str>) {
    let mut draw = draws(seed);
    let seconds = 4.0 + draw(12) as f64;
    // With the newer troubles users' requests come as in the program, and a guest team is
    // at its limit.
    let newer = faults.len() > OLDER.len();
    let mut w = match newer {
        false => cluster(seconds),
        true => cluster_of(seconds, vec![("guests", 0.0, 8.0)], zones),
    };
    w.requests.seed(seed);
    w.lists_ms = newer.then_some(5000.0);
    w.seed_late(seed);
    (w.provisioning_ms, w.provisioned_run_ms) = (Some(5000.0), 8000.0);
    let mut users = Users::default();
    let mut job = 100;
    let mut open: Vec<String> = Vec::new();
    let mut some = |w: &mut World, users: &mut Users, draw: &mut dyn FnMut(u64) -> u64| {
        for _ in 0..draw(4) {
            job += 1;
            let mut spec = sweep(job, [1, 2, 3, 10][draw(4) as usize]);
            if draw(5) == 0 {
                spec = World::spec(&spec.id, "service", 2);
            }
            spec.cores = [1.0, 2.0, 4.0][draw(3) as usize];
            spec.job_class = ["portal", "posting"][draw(2) as usize].into();
            let at = draw(3) as usize;
            if newer && spec.shape == Shape::Array && draw(4) == 0 {
                spec.team = "guests".into();
            }
            if newer && draw(2) == 0 {
                w.submit_at(at, &spec);
            } else {
                users.ask(w, at, &spec);
            }
            if draw(6) == 0 {
                // A repeated submission.
                users.ask(w, (at + 1) % 3, &spec);
            }
            open.push(spec.id.clone());
        }
        for _ in 0..draw(3) {
            if !open.is_empty() {
                let id = open.swap_remove(draw(open.len() as u64) as usize);
                if newer && draw(2) == 0 {
                    w.insist(draw(3) as usize, &id, Question::Cancel);
                } else {
                    users.ask_cancel(w, draw(3) as usize, &id);
                }
            }
        }
    };
    for _ in 0..3 {
        // The pairs come in turn, so that so many seeds have them all.
        let (pair, all) = (seed * 3 + draw(3), faults.len() as u64);
        let fault = |n: u64| faults[(n % all) as usize];
        let (first, second) = (fault(pair), fault(pair / all));
        some(&mut w, &mut users, &mut draw);
        users.run(&mut w, 3.0);
        w.say(format!("begin {first:?}"));
        first.begin(&mut w, &mut draw);
        w.run(draw(80) as f64 / 20.0);
        some(&mut w, &mut users, &mut draw);
        let third = (at_once > 2).then(|| fault(draw(all)));
        for next in [Some(second), third].into_iter().flatten() {
            w.say(format!("begin {next:?}"));
            next.begin(&mut w, &mut draw);
        }
        for _ in 0..2 {
            some(&mut w, &mut users, &mut draw);
            let long = [2, 12, 60][draw(3) as usize];
            users.run(&mut w, 0.5 + draw(long * 2) as f64 / 2.0);
        }
        let order = [[first, second], [second, first]][draw(2) as usize];
        w.say(format!("finish {:?}", order[0]));
        order[0].finish(&mut w);
        w.run(draw(60) as f64 / 20.0);
        some(&mut w, &mut users, &mut draw);
        users.run(&mut w, draw(16) as f64 / 2.0);
        for last in [Some(order[1]), third].into_iter().flatten() {
            w.say(format!("finish {last:?}"));
            last.finish(&mut w);
        }
        users.run(&mut w, draw(20) as f64);
        w.list_machines();
    }
    end(&mut w, &mut users, &format!("seed {seed}"));
}

#[test]
fn random_pairs() {
    (0..24).for_each(|seed| day(seed, &OLDER, 2));
}

/// All troubles, the newer ones first.
fn every() -> Vec<Fault> {
    NEWER.into_iter().chain(OLDER).collect()
}

#[test]
fn random_pairs_with_the_newer_troubles() {
    (0..24).for_each(|seed| day(seed, &every(), 2));
}

#[test]
fn random_threes() {
    (0..12).for_each(|seed| day(seed, &every(), 3));
}

/// With six controllers, two of them in each zone.
const SIX: [&str; 6] = ["a", "b", "c", "a", "b", "c"];

#[test]
fn random_threes_of_six_controllers() {
    (0..8).for_each(|seed| day_of(seed, &every(), 3, SIX.to_vec()));
}

/// By hand; `SEEDS` and `FROM` choose which.
#[test]
#[ignore = "minutes"]
fn random_pairs_by_the_thousand() {
    play_seeds(24, 1000, |seed| day(seed, &OLDER, 2));
}

/// The same with all troubles, two and three at once.
#[test]
#[ignore = "minutes"]
fn random_pairs_of_all_by_the_thousand() {
    play_seeds(24, 1000, |seed| day(seed, &every(), 2));
}

#[test]
#[ignore = "minutes"]
fn random_threes_by_the_thousand() {
    play_seeds(24, 1000, |seed| day(seed, &every(), 3));
}

#[test]
#[ignore = "minutes"]
fn random_threes_of_six_by_the_thousand() {
    play_seeds(24, 1000, |seed| day_of(seed, &every(), 3, SIX.to_vec()));
}
