//! Meetings of two troubles, each by itself: the operators' further ones. `docs/restart.md`
//! has the table of all meetings and their tests.

use cherryyard_simulation::fault::leader;
use cherryyard_simulation::{Fault, Question, Setup, Users, World};
use cherryyard_wire::job::JobSpec;
use std::collections::BTreeSet;

fn cluster(limit: f64, run_s: f64) -> World {
    let mut w = World::new(Setup {
        machines: vec![("a", 4), ("b", 4), ("c", 4)],
        write_rps: 60.0,
        limit,
        teams: vec![("guests", 0.0, 8.0)],
        ..Setup::default()
    });
    for worker in w.workers.values_mut() {
        worker.run_ms = run_s * 1000.0;
    }
    w.cloud.provisioned_run_ms = run_s * 1000.0;
    w.cloud.list_every_ms = Some(5000.0);
    w.run(6.0);
    w
}

fn job(number: u64, shape: &str, task_count: u32) -> JobSpec {
    let mut spec = World::spec(&format!("j-{number:06}"), shape, task_count);
    spec.expected_s = 4.0;
    spec
}

fn whole(w: &mut World, users: &mut Users, state: &str) {
    let wrong = users.see_out(w);
    if std::env::var("DEBUG").is_ok() && !wrong.is_empty() {
        println!("{}", w.trace.join("\n"));
    }
    assert!(wrong.is_empty(), "{state}: {wrong:?}");
}

/// Machines with a task of one of these jobs.
fn hosts_of(w: &World, ids: &[String]) -> BTreeSet<String> {
    let on = |x: &&cherryyard_simulation::WorkerStandIn| {
        x.running_tasks()
            .any(|p| ids.iter().any(|id| p.starts_with(id.as_str())))
    };
    w.workers
        .values()
        .filter(on)
        .map(|x| x.host.clone())
        .collect()
}

/// Users ask at all controllers within milliseconds, and repeat the submission, right
/// after a job was accepted, ended or confirmed as cancelled; some cancel at once. The
/// service is quick or slow, transactions are late or only their answers are lost, and
/// controllers end between a transaction and its answer.
#[test]
fn close_looks() {
    for slow_ms in [0.0, 300.0, 1500.0] {
        for (late, lost) in [(0, 0), (30, 0), (0, 30)] {
            for ends in [false, true] {
                let state = format!("{slow_ms} ms, {late}% late, {lost}% lost, ends {ends}");
                let mut w = cluster(0.0, 2.0);
                let mut users = Users::default();
                w.seed_late(slow_ms as u64 + late + lost);
                w.requests.seed(late + lost + u64::from(ends));
                (
                    w.state_link.latency_ms,
                    w.state_link.delayed_percent,
                    w.state_link.lost_response_percent,
                ) = (slow_ms, late, lost);
                w.requests.close_looks = true;
                for second in 0..40u64 {
                    let shape = if second % 4 == 3 { "service" } else { "sweep" };
                    let spec = job(second + 1, shape, 1 + second as u32 % 3);
                    w.submit_at(second as usize % 3, &spec);
                    if second % 4 == 0 && second >= 8 {
                        let id = format!("j-{:06}", second - 4);
                        w.insist(second as usize % 3, &id, Question::Cancel);
                    }
                    let i = (second / 10) as usize % 3;
                    match second % 10 {
                        5 if ends => w.kill(i),
                        7 if ends => w.start(i),
                        _ => {}
                    }
                    users.run(&mut w, 1.0);
                }
                whole(&mut w, &mut users, &state);
                assert!(w.requests.judged > 500, "{state}: {}", w.requests.judged);
            }
        }
    }
}

/// A transaction is carried out at once and only its answer is lost, for three seconds
/// around each step of a job's life, while other controllers read what it wrote and
/// users ask there; its sender ends then, or goes on.
#[test]
fn only_the_answer_is_lost() {
    for from in 0..12 {
        for ends in [false, true] {
            let state = format!("from step {from}, ends {ends}");
            let mut w = cluster(16.0, 2.0);
            let mut users = Users::default();
            w.requests.close_looks = true;
            for step in 0..24u64 {
                let spec = job(step + 1, "sweep", 1 + step as u32 % 4);
                w.submit_at(step as usize % 3, &spec);
                if step % 3 == 2 {
                    let id = format!("j-{step:06}");
                    w.insist((step as usize + 1) % 3, &id, Question::Cancel);
                }
                if step == from {
                    w.state_link.lost_response_percent = 100;
                }
                if step == from + 3 {
                    if ends {
                        let i = leader(&w);
                        w.kill(i);
                        w.start(i);
                    }
                    w.state_link.lost_response_percent = 0;
                }
                users.run(&mut w, 1.0);
            }
            whole(&mut w, &mut users, &state);
        }
    }
}

/// The answers of all transactions are lost for half a minute, claims' too, just as an
/// owner ends, or the leader: another sees its own claim in the state and serves the shard
/// at once. (It claimed anew, again and again, as for a claim of a process before, and the
/// shard's leases ran out. Found by seed 5092 of three troubles.)
#[test]
fn a_claim_whose_answer_is_lost() {
    for lost in [100, 60] {
        for back in [false, true] {
            let mut w = cluster(0.0, f64::INFINITY);
            let mut users = Users::default();
            users.submit(&mut w, &job(1, "service", 9));
            users.run(&mut w, 12.0);
            assert_eq!(w.running(), 9);
            w.state_link.lost_response_percent = lost;
            let from = w.trace.len();
            let i = leader(&w);
            w.kill(i);
            users.run(&mut w, if back { 1.0 } else { 16.0 });
            w.start(i);
            users.run(&mut w, if back { 30.0 } else { 15.0 });
            let after = &w.trace[from..];
            let count = |text: &str| after.iter().filter(|l| l.contains(text)).count();
            let state = format!("{lost}% lost, back {back}: {}", w.trace.join("\n"));
            assert_eq!(count("loses its lease"), 0, "{state}");
            let claims = count(&format!("claims c/part/{i}"));
            assert!(claims <= 4, "{claims} claims, {state}");
            whole(&mut w, &mut users, &state);
        }
    }
}

/// What keeps machines away.
#[derive(Clone, Copy, Debug)]
enum Away {
    Hang,
    Cut,
    Deaf,
    OneWaySilence,
}

impl Away {
    const ALL: [Self; 4] = [Self::Hang, Self::Cut, Self::Deaf, Self::OneWaySilence];

    fn begin(self, w: &mut World, hosts: &BTreeSet<String>) {
        let set = match self {
            Self::Hang => &mut w.machines.hung,
            Self::Cut => &mut w.network.unreachable,
            Self::Deaf => &mut w.network.inbound_lost,
            Self::OneWaySilence => &mut w.network.outbound_lost,
        };
        set.extend(hosts.iter().cloned());
    }

    fn finish(w: &mut World) {
        w.deliver_direct();
        w.machines.hung.clear();
        w.network.unreachable.clear();
        w.network.inbound_lost.clear();
        w.network.outbound_lost.clear();
    }
}

/// Every team is at its limit while jobs are cancelled whose machines are cut off or
/// hang, and the leader changes, once or twice, or the owner stands still with its
/// grant; others wait for the room. It counts until it is proven free.
#[test]
fn every_team_at_its_limit() {
    for away in Away::ALL {
        for (away_s, changes, frozen) in [
            (4.0, 1, false),
            (9.0, 2, false),
            (16.0, 1, true),
            (16.0, 2, false),
            (38.0, 2, false),
        ] {
            let state = format!("{away:?} for {away_s} s, {changes} changes, frozen {frozen}");
            let mut w = cluster(24.0, 5.0);
            let mut users = Users::default();
            for n in 1..=4 {
                users.submit(&mut w, &job(n, "service", 3));
            }
            let mut guest = job(5, "service", 4);
            guest.team = "guests".into();
            users.submit(&mut w, &guest);
            users.run(&mut w, 8.0);
            assert_eq!(w.cores_by_team()["team"], 24.0, "{state}");
            assert_eq!(w.cores_by_team()["guests"], 8.0, "{state}");
            for n in 6..=9 {
                users.submit(&mut w, &job(n, "sweep", 4));
                let mut guest = job(n + 10, "sweep", 2);
                guest.team = "guests".into();
                users.submit(&mut w, &guest);
            }
            users.run(&mut w, 3.0);
            let gone: Vec<String> = [1, 2, 5].iter().map(|n| format!("j-{n:06}")).collect();
            let hosts = hosts_of(&w, &gone);
            away.begin(&mut w, &hosts);
            for id in &gone {
                users.ask_cancel(&mut w, 1, id);
            }
            w.run(0.3);
            for _ in 0..changes {
                let i = leader(&w);
                w.kill(i);
                users.run(&mut w, away_s / 3.0);
                w.start(i);
                users.run(&mut w, 1.0);
            }
            if frozen {
                let i = leader(&w);
                w.processes.frozen.insert(i);
                users.run(&mut w, 6.0);
                w.processes.frozen.clear();
            }
            users.run(&mut w, away_s / 3.0);
            Away::finish(&mut w);
            whole(&mut w, &mut users, &state);
        }
    }
}

/// What makes a controller's work change hands.
#[derive(Clone, Copy, Debug)]
enum WatchEvent {
    Ends,
    Deaf,
    Refused,
    Back,
}

/// Jobs are cancelled at steps through the seconds in which a controller's work
/// changes hands, by the one before, by the one after and by the third, with a command
/// of the one before on its way.
#[test]
fn cancelled_while_work_changes_hands() {
    for change in [
        WatchEvent::Ends,
        WatchEvent::Deaf,
        WatchEvent::Refused,
        WatchEvent::Back,
    ] {
        for step in (0..60).step_by(7) {
            for at in 0..3 {
                let state = format!("{change:?}, step {step}, at {at}");
                let mut w = cluster(0.0, f64::INFINITY);
                let mut users = Users::default();
                for n in 1..=3 {
                    users.submit(&mut w, &job(n, "service", 4));
                }
                users.run(&mut w, 6.0);
                let i = 1;
                if matches!(change, WatchEvent::Back) {
                    w.kill(i);
                    users.run(&mut w, 8.0);
                    w.start(i);
                    // It asks for its shard 12 s after its start.
                    users.run(&mut w, 11.0);
                }
                // Starts of the one before are on their way.
                let hosts: Vec<String> = w.workers.keys().cloned().collect();
                w.machines.slow_commands.extend(hosts);
                users.submit(&mut w, &job(4, "service", 8));
                w.run(0.4);
                match change {
                    WatchEvent::Ends => w.kill(i),
                    WatchEvent::Deaf => drop(w.network.cut_from_workers.insert(i)),
                    WatchEvent::Refused => drop(w.state_link.refused.insert(i)),
                    WatchEvent::Back => {}
                }
                w.run(f64::from(step) * 0.15);
                w.insist(at, "j-000001", Question::Cancel);
                w.insist((at + 1) % 3, "j-000004", Question::Cancel);
                w.run(1.0);
                w.machines.slow_commands.clear();
                w.deliver_direct();
                users.run(&mut w, 6.0);
                if w.controllers[i].is_none() {
                    w.start(i);
                }
                whole(&mut w, &mut users, &state);
                assert_eq!(w.running(), 8, "{state}");
            }
        }
    }
}

/// New machines are up within two seconds and get work at once while writes lag, are
/// late, or are carried out without an answer, provisioning requests too; the leader that provisioned them
/// ends at each step of it.
#[test]
fn machines_up_within_two_seconds() {
    for (provisioning_ms, unanswered) in
        [(0.0, false), (400.0, true), (1900.0, false), (1900.0, true)]
    {
        for (late, lost, slow_ms) in [(0, 0, 1500.0), (40, 0, 0.0), (0, 40, 300.0)] {
            for step in (0..60).step_by(10) {
                let state =
                    format!("{provisioning_ms} ms, {unanswered}, {late} {lost} {slow_ms}, {step}");
                let mut w = World::new(Setup {
                    machines: vec![("a", 1), ("b", 1), ("c", 1)],
                    write_rps: 60.0,
                    ..Setup::default()
                });
                w.cloud.list_every_ms = Some(3000.0);
                w.run(10.0);
                let mut users = Users::default();
                (w.cloud.provisioning_ms, w.cloud.provisions_unanswered) =
                    (Some(provisioning_ms), unanswered);
                w.seed_late(step);
                (
                    w.state_link.delayed_percent,
                    w.state_link.lost_response_percent,
                    w.state_link.latency_ms,
                ) = (late, lost, slow_ms);
                for n in 1..=3 {
                    users.submit(&mut w, &job(n, "service", 8));
                }
                w.run_until(30.0, |w| !w.cloud.provision_requests.is_empty());
                w.run(step as f64 * 0.05);
                let i = leader(&w);
                w.kill(i);
                users.run(&mut w, 8.0);
                w.start(i);
                users.run(&mut w, 12.0);
                whole(&mut w, &mut users, &state);
                assert_eq!(w.running(), 24, "{state}: {}", w.trace.join("\n"));
                let names: BTreeSet<&String> = w
                    .cloud
                    .provision_requests
                    .iter()
                    .map(|h| &h.request_id)
                    .collect();
                assert_eq!(
                    names.len(),
                    w.cloud.provision_requests.len(),
                    "{state}: a name was used again"
                );
            }
        }
    }
}

/// An old report of every machine, of an earlier incarnation and attempt, reaches every
/// controller just as a new leader begins, or is held back until it has acted.
#[test]
fn an_old_report_reaches_all_as_a_leader_begins() {
    for lost_s in [0.0, 4.0, 13.0, 26.0] {
        for (reborn, wait_ms) in [(false, 0.0), (true, 0.0), (false, 3000.0), (true, 3000.0)] {
            let state = format!("lost for {lost_s} s, anew {reborn}, held for {wait_ms} ms");
            let mut w = cluster(24.0, 6.0);
            let mut users = Users::default();
            for n in 1..=4 {
                users.submit(&mut w, &job(n, "sweep", 12));
            }
            users.submit(&mut w, &job(5, "service", 4));
            users.run(&mut w, 4.0);
            (
                w.duplicates.for_next_leader,
                w.duplicates.next_leader_wait_ms,
            ) = (true, wait_ms);
            users.run(&mut w, 4.0);
            let some: BTreeSet<String> = w.workers.keys().step_by(2).cloned().collect();
            Away::Cut.begin(&mut w, &some);
            users.run(&mut w, lost_s);
            Away::finish(&mut w);
            if reborn {
                for name in some.iter().take(3) {
                    w.reborn(name);
                }
            }
            users.ask_cancel(&mut w, 2, "j-000004");
            for _ in 0..4 {
                let i = leader(&w);
                w.kill(i);
                users.run(&mut w, 5.0);
                w.start(i);
                users.run(&mut w, 3.0);
            }
            let came = w
                .trace
                .iter()
                .filter(|l| l.contains("comes to all"))
                .count();
            assert!(came >= 12, "{state}: {came}");
            whole(&mut w, &mut users, &state);
        }
    }
}

/// Jobs of one task, four a second for minutes, a quarter of them cancelled, at the
/// smallest budgets: all are served, and the writes stay below what is allowed.
#[test]
fn one_task_jobs_four_a_second() {
    let mut w = World::new(Setup {
        zones: vec!["a"; 7],
        machines: vec![("a", 28)],
        write_rps: 15.0,
        ..Setup::default()
    });
    for worker in w.workers.values_mut() {
        worker.run_ms = 6000.0;
    }
    w.cloud.list_every_ms = Some(10_000.0);
    w.run(8.0);
    let mut users = Users::default();
    let (before, seconds) = (w.state.writes, 180);
    for n in 0..seconds * 4 {
        w.submit_at(n as usize % 7, &job(n + 1, "sweep", 1));
        if n % 4 == 3 {
            let id = format!("j-{:06}", n - n % 8);
            w.insist(n as usize % 5, &id, Question::Cancel);
        }
        if n % 2 == 1 {
            users.run(&mut w, 0.5);
        }
    }
    let writes = (w.state.writes - before) as f64 / seconds as f64;
    assert!(writes < 15.0, "{writes} writes a second");
    whole(&mut w, &mut users, "four a second");
    assert!(
        users.longest < 30_000.0,
        "{} ms without an answer",
        users.longest
    );
    let waited = users.longest_wait(&w);
    assert!(waited < 30_000.0, "{waited} ms until a task began");
}

/// A cancellation, a question or a repeated submission meets the end of a job's last
/// task, at each step around it and through any controller, with no other trouble.
#[test]
fn all_meets_the_end_of_the_last_task() {
    for step in 0..24 {
        for at in 0..3 {
            let mut w = cluster(0.0, 3.0);
            let mut users = Users::default();
            w.requests.seed(step * 3 + at);
            w.requests.close_looks = step % 2 == 0;
            for n in 1..=6 {
                w.submit_at(n as usize % 3, &job(n, "sweep", 1 + n as u32 % 3));
            }
            users.run(&mut w, 2.5);
            w.run(step as f64 * 0.1);
            for n in 1..=6u64 {
                let (i, id) = ((n + at) as usize % 3, format!("j-{n:06}"));
                match n % 3 {
                    0 => drop(w.insist(i, &id, Question::Cancel)),
                    1 => drop(w.ask_once(i, &id, Question::Poll)),
                    _ => drop(w.submit_at(i, &job(n, "sweep", 1 + n as u32 % 3))),
                }
                w.insist((i + 1) % 3, &id, Question::Cancel);
                w.run(0.05);
            }
            users.run(&mut w, 10.0);
            whole(&mut w, &mut users, &format!("step {step}, at {at}"));
        }
    }
}

/// Machines hang with a cancelled task and go on within their lease, or just after it;
/// the cancellation is told before, during or at the end of that.
#[test]
fn a_hung_machine_goes_on_with_a_cancelled_task() {
    for hang_s in [1.0, 6.0, 9.5, 10.5, 20.0, 39.0, 45.0] {
        for answered in [-0.5, 0.0, 0.5, 0.95] {
            let mut w = cluster(0.0, f64::INFINITY);
            let mut users = Users::default();
            users.submit(&mut w, &job(1, "service", 6));
            users.submit(&mut w, &job(2, "service", 6));
            users.run(&mut w, 5.0);
            let hosts = hosts_of(&w, &["j-000001".into()]);
            if answered < 0.0 {
                w.insist(2, "j-000001", Question::Cancel);
                w.run(0.1);
            }
            Away::Hang.begin(&mut w, &hosts);
            let first = hang_s * f64::max(answered, 0.0);
            users.run(&mut w, first);
            if answered >= 0.0 {
                w.insist(1, "j-000001", Question::Cancel);
            }
            users.run(&mut w, hang_s - first);
            Away::finish(&mut w);
            let state = format!("hangs for {hang_s} s, told at {answered}");
            whole(&mut w, &mut users, &state);
            assert_eq!(w.running(), 6, "{state}");
        }
    }
}

/// Machines hang with starts on their way, the job is cancelled, and the owner that sent
/// them ends. Its successor knows nothing of the starts and has never heard the machines,
/// too many for them to be taken for lost; what goes on after its incarnation is over carries
/// out first what was sent to it. (Found by seed 1029 of three troubles at once: such a
/// start came long after the time that cancelled tasks have.)
#[test]
fn a_start_to_a_hung_machine_whose_owner_ends() {
    for hang_s in [20.0, 38.0, 47.0, 70.0] {
        for back_s in [1.0, 9.0, 100.0] {
            for told_s in [0.5, 6.0] {
                let mut w = cluster(0.0, f64::INFINITY);
                let mut users = Users::default();
                users.submit(&mut w, &job(1, "service", 3));
                users.run(&mut w, 4.0);
                let hosts: Vec<String> = w.workers.keys().cloned().collect();
                w.machines.slow_commands.extend(hosts.clone());
                users.submit(&mut w, &job(2, "service", 15));
                w.run_until(3.0, |w| w.machines.held_commands.len() >= 10);
                // Half of the machines of zone a, and one of each other.
                let hung = hosts
                    .iter()
                    .enumerate()
                    .filter(|(k, _)| [0, 3, 6, 1, 2].contains(k));
                let hung: BTreeSet<String> = hung.map(|h| h.1.clone()).collect();
                Away::Hang.begin(&mut w, &hung);
                w.kill(0);
                users.run(&mut w, told_s);
                w.insist(1, "j-000002", Question::Cancel);
                // What is not for those is lost.
                w.machines
                    .held_commands
                    .retain(|held| hung.contains(&held.machine));
                w.machines.slow_commands.clear();
                users.run(&mut w, f64::min(back_s, hang_s));
                w.start(0);
                users.run(&mut w, hang_s - f64::min(back_s, hang_s));
                Away::finish(&mut w);
                let state = format!("hangs for {hang_s} s, back after {back_s} s, told {told_s}");
                whole(&mut w, &mut users, &state);
                assert_eq!(w.running(), 3, "{state}");
            }
        }
    }
}

/// Machines reach no controller while direct commands reach them: what is cancelled there
/// is gone in time, what else ran there runs elsewhere once their leases are over.
#[test]
fn mute_machines() {
    for mute_s in [3.0, 9.0, 12.0, 30.0, 60.0] {
        for zone in [false, true] {
            for ends in [false, true] {
                let state = format!("mute for {mute_s} s, zone {zone}, ends {ends}");
                let mut w = cluster(0.0, f64::INFINITY);
                let mut users = Users::default();
                for n in 1..=3 {
                    users.submit(&mut w, &job(n, "service", 4));
                }
                users.run(&mut w, 5.0);
                let hosts = w.workers.values().enumerate();
                let some = hosts.filter(|(k, x)| if zone { x.zone == "b" } else { k % 4 == 0 });
                let some: BTreeSet<String> = some.map(|x| x.1.host.clone()).collect();
                Away::OneWaySilence.begin(&mut w, &some);
                users.run(&mut w, 1.0);
                w.insist(0, "j-000002", Question::Cancel);
                if ends {
                    let i = leader(&w);
                    w.kill(i);
                    users.run(&mut w, mute_s / 2.0);
                    w.start(i);
                }
                users.submit(&mut w, &job(4, "service", 4));
                users.run(&mut w, mute_s);
                Away::finish(&mut w);
                whole(&mut w, &mut users, &state);
                assert_eq!(w.running(), 12, "{state}");
            }
        }
    }
}

/// A zone with workers and its controller is cut off, for longer than a lease too, with
/// cancellations from outside; users inside ask its controller.
#[test]
fn a_zone_with_its_controller_is_cut_off() {
    for cut_s in [3.0, 8.0, 14.0, 30.0, 60.0] {
        for zone in ["a", "b"] {
            let state = format!("zone {zone} for {cut_s} s");
            let mut w = cluster(24.0, f64::INFINITY);
            let mut users = Users::default();
            w.requests.close_looks = true;
            for n in 1..=4 {
                users.submit(&mut w, &job(n, "service", 3));
            }
            users.run(&mut w, 6.0);
            let i = if zone == "a" { 0 } else { 1 };
            w.network.partitioned_zones.insert(zone.into());
            w.state_link.refused.insert(i);
            users.run(&mut w, 1.0);
            w.insist((i + 1) % 3, "j-000001", Question::Cancel);
            w.insist(i, "j-000002", Question::Cancel);
            w.submit_at(i, &job(5, "service", 2));
            users.run(&mut w, cut_s);
            whole(&mut w, &mut users, &state);
            // One who looks closely may have cancelled the last.
            let last = if w.asked_to_cancel("j-000005") { 0 } else { 2 };
            assert_eq!(w.running(), 6 + last, "{state}");
        }
    }
}

/// All controllers are away for longer than a lease, and are back within 0 to 2 s of each
/// other, or one alone at first.
#[test]
fn all_away_for_longer_than_a_lease() {
    for away_s in [8.0, 11.0, 30.0, 60.0] {
        for apart_s in [0.0, 0.5, 2.0, 15.0] {
            let state = format!("away for {away_s} s, {apart_s} s apart");
            let mut w = cluster(24.0, 5.0);
            let mut users = Users::default();
            w.duplicates.for_next_leader = true;
            for n in 1..=3 {
                w.submit_at(n as usize % 3, &job(n, "sweep", 10));
            }
            users.submit(&mut w, &job(4, "service", 3));
            users.run(&mut w, 5.0);
            w.insist(0, "j-000003", Question::Cancel);
            w.run(0.5);
            (0..3).for_each(|i| w.kill(i));
            let name = w.workers.keys().next().expect("a machine").clone();
            w.reborn(&name);
            users.run(&mut w, away_s);
            for i in [1, 2, 0] {
                w.start(i);
                users.run(&mut w, apart_s);
            }
            users.run(&mut w, 10.0);
            whole(&mut w, &mut users, &state);
        }
    }
}

/// Leaders change ten times in two minutes, also inside an outage, with submissions,
/// cancellations and provisioning requests under way.
#[test]
fn leaders_change_ten_times() {
    for outage in [false, true] {
        for (late, lost) in [(0, 0), (25, 0), (0, 25)] {
            let state = format!("outage {outage}, {late}% late, {lost}% lost");
            let mut w = cluster(32.0, 6.0);
            w.cloud.provisioning_ms = Some(3000.0);
            let mut users = Users::default();
            Fault::LeadersEnd.begin(&mut w, &mut |_| 0);
            (
                w.state_link.delayed_percent,
                w.state_link.lost_response_percent,
            ) = (late, lost);
            for second in 0..120u64 {
                if second % 2 == 0 {
                    w.submit_at(
                        second as usize % 3,
                        &job(second + 1, "sweep", 1 + second as u32 % 6),
                    );
                }
                if second % 6 == 5 {
                    let id = format!("j-{:06}", second - second % 4);
                    w.insist(second as usize % 3, &id, Question::Cancel);
                }
                if outage && second == 30 {
                    w.state_link.refused.extend([0, 1, 2]);
                }
                if outage && second == 75 {
                    w.state_link.refused.clear();
                }
                users.run(&mut w, 1.0);
            }
            let ends = w
                .trace
                .iter()
                .filter(|l| l.contains(" ends") && l.contains("node-"));
            assert!(outage || ends.count() >= 9, "{state}");
            whole(&mut w, &mut users, &state);
        }
    }
}

/// Jobs bound to one zone, arrays too, lose machines there, while other zones are full, or
/// empty: nothing of them starts elsewhere, and what waits is served by what is provisioned
/// there. (Empty zones' room once counted for them, and nothing was provisioned.)
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    for (lost, rents, ends, full) in [
        (3, false, false, true),
        (4, true, false, true),
        (4, true, false, false),
        (4, true, true, true),
        (3, true, true, false),
    ] {
        let state = format!("{lost} lost, rents {rents}, ends {ends}, others full {full}");
        let mut w = cluster(0.0, 8.0);
        let mut users = Users::default();
        for n in 1..=3u64 {
            let shape = if n == 2 { "service" } else { "sweep" };
            let mut spec = job(n, shape, if full { 4 } else { 1 });
            spec.zone = Some("b".into());
            spec.job_class = "bound".into();
            users.submit(&mut w, &spec);
            let mut spec = job(n + 10, shape, 4);
            spec.together = n != 3;
            spec.apart = n == 3;
            if full {
                users.submit(&mut w, &spec);
            }
        }
        users.run(&mut w, 4.0);
        let zone = w.workers.values().filter(|x| x.zone == "b");
        let gone: Vec<String> = zone.map(|x| x.host.clone()).collect();
        for host in gone.iter().take(lost) {
            w.workers.remove(host);
        }
        if rents {
            w.cloud.provisioning_ms = Some(4000.0);
        }
        if ends {
            let i = leader(&w);
            w.kill(i);
            users.run(&mut w, 4.0);
            w.start(i);
        }
        users.run(&mut w, 60.0);
        if lost == 4 {
            assert_eq!(w.copies("j-000002/0"), 1, "{state}: {}", w.trace.join("\n"));
        }
        whole(&mut w, &mut users, &state);
    }
}

/// More work than room, urgent and not, over slow links: commands and answers are held
/// up, tasks that make way are killed late, and what takes their room starts after.
#[test]
fn more_work_than_room_over_slow_links() {
    for late_s in [0.5, 2.0, 5.0] {
        for behind in [false, true] {
            let state = format!("{late_s} s late, behind {behind}");
            let mut w = cluster(0.0, 9.0);
            let mut users = Users::default();
            if behind {
                w.processes.lag_ms.insert(1, 1200.0);
            }
            for cycle in 0..8u64 {
                let mut low = job(cycle * 10 + 1, "sweep", 16);
                low.rank = cherryyard_wire::job::Rank::BestEffort;
                let mut high = job(cycle * 10 + 2, "sweep", 6);
                high.rank = cherryyard_wire::job::Rank::High;
                (low.job_class, high.job_class) = ("low".into(), "high".into());
                users.submit(&mut w, &low);
                let hosts: Vec<String> = w.workers.keys().step_by(2).cloned().collect();
                w.machines.slow_commands.extend(hosts);
                users.run(&mut w, 1.0);
                users.submit(&mut w, &high);
                users.run(&mut w, late_s);
                w.deliver_direct();
                w.machines.slow_commands.clear();
                users.run(&mut w, 3.0);
                if cycle % 3 == 2 {
                    users.ask_cancel(&mut w, 0, &low.id);
                }
            }
            users.run(&mut w, 60.0);
            whole(&mut w, &mut users, &state);
        }
    }
}

/// Odd requests, among others: submissions of what is open or over come again, with other
/// fields too; what is over is cancelled; jobs that cannot run, or lack a field, come.
#[test]
fn odd_requests() {
    for seed in 0..6 {
        let mut w = cluster(24.0, 3.0);
        let mut users = Users::default();
        w.requests.seed(seed);
        (w.requests.odd, w.requests.close_looks) = (true, seed % 2 == 0);
        for second in 0..60u64 {
            w.submit_at(
                second as usize % 3,
                &job(second + 1, "sweep", 1 + second as u32 % 3),
            );
            if second % 7 == 6 {
                let id = format!("j-{second:06}");
                w.insist(second as usize % 3, &id, Question::Cancel);
            }
            if second == 30 && seed % 3 == 0 {
                let i = leader(&w);
                w.kill(i);
                w.start(i);
            }
            users.run(&mut w, 1.0);
        }
        assert!(
            w.requests.impossible.len() > 10,
            "{}",
            w.requests.impossible.len()
        );
        whole(&mut w, &mut users, &format!("seed {seed}"));
    }
}

/// What is left of each shard's grant is too small for any task that waits there, and is
/// enough together: it comes together in one shard. (Found by seed 5001 of late writes: a
/// job waited for minutes beside free machines while its team was under its limit, as two
/// shards had one core left each and all tasks took two.)
#[test]
fn what_is_left_of_grants_comes_together() {
    for (limit, cores, all) in [
        (22.0, 2.0, 11),
        (24.0, 4.0, 6),
        (10.0, 4.0, 2),
        (23.0, 3.0, 7),
    ] {
        for changes in [false, true] {
            let mut w = cluster(limit, f64::INFINITY);
            let mut spec = job(1, "sweep", 20);
            spec.cores = cores;
            w.submit(&spec);
            w.run(4.0);
            if changes {
                let i = leader(&w);
                w.kill(i);
                w.run(6.0);
                w.start(i);
            }
            w.run(40.0);
            let state = format!("{limit} cores, tasks of {cores}, leader changes {changes}");
            assert_eq!(w.running(), all, "{state}: {}", w.trace.join("\n"));
            let store_revision = w.state.store_revision();
            w.run(20.0);
            let events = w.state.events(store_revision).events;
            let keys = events.iter().filter_map(|c| c.set.clone());
            let grants: Vec<String> = keys.filter(|k| k.starts_with("c/grant")).collect();
            assert!(grants.is_empty(), "{state}: {grants:?} go round");
            assert!(w.broken.is_empty(), "{state}: {:?}", w.broken);
        }
    }
}
