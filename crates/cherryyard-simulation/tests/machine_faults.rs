//! Machines that hang, are cut off, or start fast, while controllers end, jobs are cancelled or
//! links are slow. `docs/restart.md` lists the combinations and their tests.

mod common;

use cherryyard_simulation::fault::leader;
use cherryyard_simulation::{Question, Setup, Users, World};
use common::combinations::{MachineFault, assert_recovers, cluster, hosts_of, job};
use std::collections::BTreeSet;

/// Guards against machines that are provisioned twice or stay unused when they start within two
/// seconds. Writes are slow, late, or carried out without a response, provisioning requests are
/// unanswered in some cases too, and the leader ends at several steps after the first request.
#[test]
fn machines_up_within_two_seconds() {
    for (provisioning_ms, unanswered) in
        [(0.0, false), (400.0, true), (1900.0, false), (1900.0, true)]
    {
        for (late, lost, slow_ms) in [(0, 0, 1500.0), (40, 0, 0.0), (0, 40, 300.0)] {
            for step in (0..60).step_by(10) {
                let case =
                    format!("{provisioning_ms} ms, {unanswered}, {late} {lost} {slow_ms}, {step}");
                let mut world = World::new(Setup {
                    machines: vec![("a", 1), ("b", 1), ("c", 1)],
                    write_rps: 60.0,
                    ..Setup::default()
                });
                world.cloud.list_interval_ms = Some(3000.0);
                world.run(10.0);
                let mut users = Users::default();
                (
                    world.cloud.provisioning_ms,
                    world.cloud.lose_provision_responses,
                ) = (Some(provisioning_ms), unanswered);
                world.seed_state_link(step);
                (
                    world.state_link.delayed_percent,
                    world.state_link.lost_response_percent,
                    world.state_link.latency_ms,
                ) = (late, lost, slow_ms);
                for n in 1..=3 {
                    users.submit(&mut world, &job(n, "service", 8));
                }
                world.run_until(30.0, |world| !world.cloud.provision_requests.is_empty());
                world.run(step as f64 * 0.05);
                let i = leader(&world);
                world.kill(i);
                users.run(&mut world, 8.0);
                world.start(i);
                users.run(&mut world, 12.0);
                assert_recovers(&mut world, &mut users, &case);
                assert_eq!(
                    world.running_task_count(),
                    24,
                    "{case}: {}",
                    world.trace.join("\n")
                );
                let names: BTreeSet<&String> = world
                    .cloud
                    .provision_requests
                    .iter()
                    .map(|h| &h.request_id)
                    .collect();
                assert_eq!(
                    names.len(),
                    world.cloud.provision_requests.len(),
                    "{case}: a request id was used again"
                );
            }
        }
    }
}

/// Guards against cancelled tasks on machines that hang and resume within their lease or after
/// it. The cancellation comes before the hang, during it or at its end.
#[test]
fn a_hung_machine_resumes_with_a_cancelled_task() {
    for hang_s in [1.0, 6.0, 9.5, 10.5, 20.0, 39.0, 45.0] {
        for cancel_at in [-0.5, 0.0, 0.5, 0.95] {
            let mut world = cluster(0.0, f64::INFINITY);
            let mut users = Users::default();
            users.submit(&mut world, &job(1, "service", 6));
            users.submit(&mut world, &job(2, "service", 6));
            users.run(&mut world, 5.0);
            let hosts = hosts_of(&world, &["j-000001".into()]);
            if cancel_at < 0.0 {
                world.request_until_answered(2, "j-000001", Question::Cancel);
                world.run(0.1);
            }
            MachineFault::Hang.begin(&mut world, &hosts);
            let first = hang_s * f64::max(cancel_at, 0.0);
            users.run(&mut world, first);
            if cancel_at >= 0.0 {
                world.request_until_answered(1, "j-000001", Question::Cancel);
            }
            users.run(&mut world, hang_s - first);
            MachineFault::finish(&mut world);
            let case = format!("hangs for {hang_s} s, cancelled at {cancel_at} of that");
            assert_recovers(&mut world, &mut users, &case);
            assert_eq!(world.running_task_count(), 6, "{case}");
        }
    }
}

/// Guards against a start that is executed long after its job was cancelled. Machines hang with
/// starts in flight, the job is cancelled, and the owner that sent the starts ends. Its successor
/// has no record of the starts, and the machines, too many to be considered lost, have never
/// reported to it. A machine that resumes after the end of its incarnation first carries out what
/// was sent to it (at seed 1029 of three faults, a start came long after the time allowed for
/// cancelled tasks).
#[test]
fn a_start_to_a_hung_machine_whose_owner_ends() {
    for hang_s in [20.0, 38.0, 47.0, 70.0] {
        for back_s in [1.0, 9.0, 100.0] {
            for cancel_after_s in [0.5, 6.0] {
                let mut world = cluster(0.0, f64::INFINITY);
                let mut users = Users::default();
                users.submit(&mut world, &job(1, "service", 3));
                users.run(&mut world, 4.0);
                let hosts: Vec<String> = world.workers.keys().cloned().collect();
                world.machines.slow_commands.extend(hosts.clone());
                users.submit(&mut world, &job(2, "service", 15));
                world.run_until(3.0, |world| world.machines.held_commands.len() >= 10);
                // All four machines of zone a and one of zone b.
                let hung = hosts
                    .iter()
                    .enumerate()
                    .filter(|(k, _)| [0, 3, 6, 1, 2].contains(k));
                let hung: BTreeSet<String> = hung.map(|h| h.1.clone()).collect();
                MachineFault::Hang.begin(&mut world, &hung);
                world.kill(0);
                users.run(&mut world, cancel_after_s);
                world.request_until_answered(1, "j-000002", Question::Cancel);
                // Commands to other machines are lost.
                world
                    .machines
                    .held_commands
                    .retain(|held| hung.contains(&held.machine));
                world.machines.slow_commands.clear();
                users.run(&mut world, f64::min(back_s, hang_s));
                world.start(0);
                users.run(&mut world, hang_s - f64::min(back_s, hang_s));
                MachineFault::finish(&mut world);
                let case = format!(
                    "hangs for {hang_s} s, back after {back_s} s, cancelled after {cancel_after_s} s"
                );
                assert_recovers(&mut world, &mut users, &case);
                assert_eq!(world.running_task_count(), 3, "{case}");
            }
        }
    }
}

/// Guards against machines whose reports reach no controller while direct commands reach them:
/// cancelled tasks there stop in time, and other tasks run elsewhere once the leases expire.
#[test]
fn machines_without_outbound_traffic() {
    for outbound_lost_s in [3.0, 9.0, 12.0, 30.0, 60.0] {
        for zone in [false, true] {
            for ends in [false, true] {
                let case = format!(
                    "no outbound traffic for {outbound_lost_s} s, zone {zone}, ends {ends}"
                );
                let mut world = cluster(0.0, f64::INFINITY);
                let mut users = Users::default();
                for n in 1..=3 {
                    users.submit(&mut world, &job(n, "service", 4));
                }
                users.run(&mut world, 5.0);
                let hosts = world.workers.values().enumerate();
                let some = hosts.filter(|(k, x)| if zone { x.zone == "b" } else { k % 4 == 0 });
                let some: BTreeSet<String> = some.map(|x| x.1.host.clone()).collect();
                MachineFault::OutboundLost.begin(&mut world, &some);
                users.run(&mut world, 1.0);
                world.request_until_answered(0, "j-000002", Question::Cancel);
                if ends {
                    let i = leader(&world);
                    world.kill(i);
                    users.run(&mut world, outbound_lost_s / 2.0);
                    world.start(i);
                }
                users.submit(&mut world, &job(4, "service", 4));
                users.run(&mut world, outbound_lost_s);
                MachineFault::finish(&mut world);
                assert_recovers(&mut world, &mut users, &case);
                assert_eq!(world.running_task_count(), 12, "{case}");
            }
        }
    }
}

/// Guards against broken rules when a zone with its workers and its controller is cut off, also
/// for longer than a lease, while users inside and outside the zone cancel jobs.
#[test]
fn a_zone_with_its_controller_is_cut_off() {
    for cut_s in [3.0, 8.0, 14.0, 30.0, 60.0] {
        for zone in ["a", "b"] {
            let case = format!("zone {zone} for {cut_s} s");
            let mut world = cluster(24.0, f64::INFINITY);
            let mut users = Users::default();
            world.requests.query_all_controllers = true;
            for n in 1..=4 {
                users.submit(&mut world, &job(n, "service", 3));
            }
            users.run(&mut world, 6.0);
            let i = if zone == "a" { 0 } else { 1 };
            world.network.partitioned_zones.insert(zone.into());
            world.state_link.refused.insert(i);
            users.run(&mut world, 1.0);
            world.request_until_answered((i + 1) % 3, "j-000001", Question::Cancel);
            world.request_until_answered(i, "j-000002", Question::Cancel);
            world.submit_at(i, &job(5, "service", 2));
            users.run(&mut world, cut_s);
            assert_recovers(&mut world, &mut users, &case);
            // A user who sends additional requests may have cancelled the last job.
            let last = if world.asked_to_cancel("j-000005") {
                0
            } else {
                2
            };
            assert_eq!(world.running_task_count(), 6 + last, "{case}");
        }
    }
}

/// Guards against jobs bound to one zone that wait for ever after machines there are lost, while
/// other zones are full or empty. No task of them starts in another zone, and machines for the
/// waiting tasks are provisioned in theirs. Once, free cores of other zones counted for them, and
/// nothing was provisioned.
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    for (lost, provisions, ends, full) in [
        (3, false, false, true),
        (4, true, false, true),
        (4, true, false, false),
        (4, true, true, true),
        (3, true, true, false),
    ] {
        let case = format!("{lost} lost, provisions {provisions}, ends {ends}, others full {full}");
        let mut world = cluster(0.0, 8.0);
        let mut users = Users::default();
        for n in 1..=3u64 {
            let shape = if n == 2 { "service" } else { "sweep" };
            let mut spec = job(n, shape, if full { 4 } else { 1 });
            spec.zone = Some("b".into());
            spec.job_class = "bound".into();
            users.submit(&mut world, &spec);
            let mut spec = job(n + 10, shape, 4);
            spec.together = n != 3;
            spec.apart = n == 3;
            if full {
                users.submit(&mut world, &spec);
            }
        }
        users.run(&mut world, 4.0);
        let zone = world.workers.values().filter(|x| x.zone == "b");
        let zone_hosts: Vec<String> = zone.map(|x| x.host.clone()).collect();
        for host in zone_hosts.iter().take(lost) {
            world.workers.remove(host);
        }
        if provisions {
            world.cloud.provisioning_ms = Some(4000.0);
        }
        if ends {
            let i = leader(&world);
            world.kill(i);
            users.run(&mut world, 4.0);
            world.start(i);
        }
        users.run(&mut world, 60.0);
        if lost == 4 {
            assert_eq!(
                world.running_copies("j-000002/0"),
                1,
                "{case}: {}",
                world.trace.join("\n")
            );
        }
        assert_recovers(&mut world, &mut users, &case);
    }
}

/// Guards against overlapping use of cores under preemption over slow links: commands and responses
/// are delayed, preempted tasks stop late, and their successors must start after that.
#[test]
fn preemption_over_slow_links() {
    for late_s in [0.5, 2.0, 5.0] {
        for behind in [false, true] {
            let case = format!("{late_s} s late, behind {behind}");
            let mut world = cluster(0.0, 9.0);
            let mut users = Users::default();
            if behind {
                world.processes.lag_ms.insert(1, 1200.0);
            }
            for cycle in 0..8u64 {
                let mut low = job(cycle * 10 + 1, "sweep", 16);
                low.rank = cherryyard_wire::job::Rank::BestEffort;
                let mut high = job(cycle * 10 + 2, "sweep", 6);
                high.rank = cherryyard_wire::job::Rank::High;
                (low.job_class, high.job_class) = ("low".into(), "high".into());
                users.submit(&mut world, &low);
                let hosts: Vec<String> = world.workers.keys().step_by(2).cloned().collect();
                world.machines.slow_commands.extend(hosts);
                users.run(&mut world, 1.0);
                users.submit(&mut world, &high);
                users.run(&mut world, late_s);
                world.deliver_held_commands();
                world.machines.slow_commands.clear();
                users.run(&mut world, 3.0);
                if cycle % 3 == 2 {
                    users.cancel_until_confirmed(&mut world, 0, &low.id);
                }
            }
            users.run(&mut world, 60.0);
            assert_recovers(&mut world, &mut users, &case);
        }
    }
}
