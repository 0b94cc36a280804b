//! The cases of the review.

use crate::cluster::{Cluster, Setup};
use crate::json::Json;
use crate::yard::{Log, Trouble};
use std::io;
use std::thread;
use std::time::Duration;

/// Rules that were broken; empty if all held.
pub type Broken = Vec<String>;

pub fn run(number: &str, has_trouble: bool, log: &Log) -> io::Result<Broken> {
    match number {
        "4" => equal_ranks(has_trouble, log),
        "5" => higher_rank(has_trouble, log),
        "6" => spread(has_trouble, log),
        "7" => one_zone(has_trouble, log),
        _ => Err(io::Error::other("no such case")),
    }
}

/// Waits until `seconds` after the beginning of the run.
fn wait_until(log: &Log, seconds: f64) {
    let left = seconds - log.seconds();
    if left > 0.0 {
        thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Returns a submission of a service (or an array, if `run_s` is given).
fn spec(id: &str, team: &str, pieces: u64, cores: f64, run_s: Option<f64>) -> Json {
    let shape = if run_s.is_some() { "sweep" } else { "service" };
    Json::object([
        ("id", Json::text(id)),
        ("jobclass", Json::text("member-portal")),
        ("owner", Json::text(team)),
        ("shape", Json::text(shape)),
        ("rank", Json::text("high")),
        ("pieces", Json::number(pieces)),
        ("cores", Json::number(cores)),
        ("accelerators", Json::number(0.0)),
        ("ram_gb", Json::number(1.0)),
        ("bundle", Json::text("img-01")),
        ("image_gb", Json::number(0.15)),
        ("kinds_of_host", Json::Null),
        ("yard", Json::Null),
        ("together", Json::Bool(false)),
        ("apart", Json::Bool(false)),
        ("borrowed", Json::Bool(false)),
        ("expected_s", Json::number(run_s.unwrap_or(0.0))),
        ("snapshot_every_s", Json::number(0.0)),
        ("snapshot_cost_s", Json::number(0.0)),
        ("due_s", Json::Null),
    ])
}

/// Returns an array of the class `repayment-posting`: 6 tasks of 2 CPUs.
fn posting(id: u64, team: &str, pieces: u64, run_s: f64) -> Json {
    let mut job = spec(&format!("j-{id:06}"), team, pieces, 2.0, Some(run_s));
    job.set("jobclass", Json::text("repayment-posting"));
    job.set("rank", Json::text("standard"));
    job.set("ram_gb", Json::number(4.8));
    job.set("bundle", Json::text("img-02"));
    job
}

/// Returns a service of the class `member-portal`: 1 task of 4 CPUs.
fn portal(id: u64) -> Json {
    let mut job = spec(&format!("j-{id:06}"), "member-care", 1, 4.0, None);
    job.set("ram_gb", Json::number(11.0));
    job
}

/// Writes to the record how many tasks of each job have completed.
fn log_completed(cluster: &Cluster) {
    let inner = cluster.yard.lock();
    let completed = inner
        .jobs
        .iter()
        .map(|(id, job)| format!("{id}: {} of {}", job.completed.len(), job.pieces()));
    let text = completed.collect::<Vec<_>>().join(", ");
    cluster.log.line(format!("completed: {text}"));
}

/// Case 4: two teams run arrays of equal priority, and those of one come four times as often for a
/// minute. Work within its team's guarantee must not be stopped.
fn equal_ranks(has_trouble: bool, log: &Log) -> io::Result<Broken> {
    const RUN_S: f64 = 30.0;
    let mut setup = Setup::batch_desk();
    setup.teams = vec![("servicing", 30.0, 128.0), ("member-care", 40.0, 184.0)];
    let zones = setup.zones.clone();
    setup.machines = (0..19).map(|i| (zones[i % 4], 0, false)).collect();
    let cluster = Cluster::start(&setup, log)?;
    wait_until(log, 4.0);
    for id in 1..=12 {
        cluster.submit(
            id as usize % 3,
            &posting(id, "servicing", 6, RUN_S),
            Some(RUN_S),
        );
    }
    let count = if has_trouble { 12 } else { 3 };
    for i in 0..count {
        wait_until(log, 8.0 + 60.0 / count as f64 * i as f64);
        let id = 101 + i;
        cluster.submit(
            i as usize % 3,
            &posting(id, "member-care", 6, RUN_S),
            Some(RUN_S),
        );
        log_completed(&cluster);
    }
    wait_until(log, 100.0);
    log_completed(&cluster);
    let mut broken = cluster.yard.broken();
    let inner = cluster.yard.lock();
    log.line(format!("{} pieces were stopped", inner.stops.len()));
    broken.extend(inner.unjust_stops.iter().cloned());
    Ok(broken)
}

/// Case 5: a team's only job, an array, fits into its guarantee, and services of another team come
/// three times as often for a minute, which takes that team beyond its own guarantee. The array must
/// not wait for them.
fn higher_rank(has_trouble: bool, log: &Log) -> io::Result<Broken> {
    const RUN_S: f64 = 60.0;
    let mut setup = Setup::batch_desk();
    setup.teams = vec![("servicing", 16.0, 128.0), ("member-care", 8.0, 184.0)];
    let zones = setup.zones.clone();
    setup.machines = (0..6).map(|i| (zones[i % 4], 0, false)).collect();
    let cluster = Cluster::start(&setup, log)?;
    wait_until(log, 4.0);
    for id in [101, 102] {
        cluster.submit(id as usize % 3, &portal(id), None);
    }
    cluster.submit(0, &posting(1, "servicing", 8, RUN_S), Some(RUN_S));
    let more = if has_trouble { 4 } else { 0 };
    for i in 0..more {
        wait_until(log, 8.0 + 12.0 * i as f64);
        cluster.submit(i as usize % 3, &portal(103 + i), None);
    }
    for i in 0..4 {
        wait_until(log, 70.0 + 10.0 * i as f64);
        cluster.poll(i % 3, "j-000001");
        log_completed(&cluster);
    }
    wait_until(log, 112.0);
    let status = cluster.poll(0, "j-000001");
    let mut broken = cluster.yard.broken();
    let inner = cluster.yard.lock();
    let stops: Vec<_> = inner
        .stops
        .iter()
        .filter(|stop| stop.0.starts_with("j-000001"))
        .collect();
    log.line(format!("stops of the array's pieces: {stops:?}"));
    if status.as_deref() != Some("done") {
        broken.push(format!(
            "guarantee: j-000001 needs {RUN_S} s, fits into its team's guarantee, and is {status:?} 107 s after its submission; stops: {stops:?}"
        ));
    }
    Ok(broken)
}

/// Returns the names of the machines in a zone.
fn machines_in(cluster: &Cluster, zone: &str) -> Vec<String> {
    let inner = cluster.yard.lock();
    let in_zone = inner
        .machines
        .values()
        .filter(|machine| machine.zone == zone);
    in_zone.map(|machine| machine.name.clone()).collect()
}

/// Looks once a second, until the time `to`, whether fewer than all pieces of a service are on
/// machines while a machine of the given zone has room for one more. Returns for how many seconds
/// without interruption this has been so in the end.
fn left_waiting(
    cluster: &Cluster,
    id: &str,
    pieces: usize,
    cores: f64,
    zone: &str,
    to: f64,
) -> f64 {
    let mut since = cluster.log.seconds();
    let mut looks = 0;
    while cluster.log.seconds() < to {
        let on = cluster.yard.on_machines(id);
        let room = cluster
            .yard
            .free_cores()
            .into_iter()
            .find(|free| free.1 == zone && free.2 >= cores);
        if on.len() >= pieces || room.is_none() {
            since = cluster.log.seconds();
        }
        if looks % 10 == 0 {
            cluster
                .log
                .line(format!("{id} is on {on:?}; room: {room:?}"));
            cluster.poll(looks / 10 % 3, id);
        }
        looks += 1;
        thread::sleep(Duration::from_secs(1));
    }
    cluster.log.seconds() - since
}

/// Time for which a job may wait while a machine that fits has room, in seconds.
const MAX_WAIT_S: f64 = 90.0;

/// Case 6: a service of two replicas that must be apart is submitted while one of two zones is cut
/// off. Once the zone is back, the second replica must start there.
fn spread(has_trouble: bool, log: &Log) -> io::Result<Broken> {
    let mut setup = Setup::batch_desk();
    let zones = ["lahore-east", "islamabad-dr"];
    setup.controllers = vec!["lahore-east"; 3];
    setup.zones = zones.to_vec();
    setup.kinds[0].zones = zones.iter().map(|zone| zone.to_string()).collect();
    setup.machines = (0..12).map(|i| (zones[i % 2], 0, false)).collect();
    let cluster = Cluster::start(&setup, log)?;
    let cut_off = machines_in(&cluster, "islamabad-dr");
    let set_cut = |is_cut: bool| {
        let trouble = Trouble {
            is_cut,
            is_hung: false,
        };
        cut_off
            .iter()
            .for_each(|name| cluster.yard.set_trouble(name, trouble));
    };
    wait_until(log, 5.0);
    if has_trouble {
        set_cut(true);
    }
    wait_until(log, 14.0);
    let mut job = portal(1);
    job.set("pieces", Json::number(2));
    job.set("apart", Json::Bool(true));
    cluster.submit(0, &job, None);
    wait_until(log, 18.0);
    if has_trouble {
        set_cut(false);
    }
    wait_until(log, 20.0);
    let seconds = left_waiting(&cluster, "j-000001", 2, 4.0, "islamabad-dr", 114.0);
    let mut broken = cluster.yard.broken();
    if seconds > MAX_WAIT_S {
        broken.push(format!(
            "left waiting: a replica of j-000001 for {seconds:.0} s, with room in islamabad-dr"
        ));
    }
    Ok(broken)
}

/// Case 7: the only machine with room for a service whose replicas must be in one zone is in
/// `islamabad-dr`; later there is room in `lahore-east`, and that machine stops. The service must go
/// on in `lahore-east`.
fn one_zone(has_trouble: bool, log: &Log) -> io::Result<Broken> {
    let mut setup = Setup::batch_desk();
    let zones = ["lahore-east", "islamabad-dr"];
    setup.controllers = vec!["lahore-east"; 3];
    setup.zones = zones.to_vec();
    setup.kinds[0].zones = zones.iter().map(|zone| zone.to_string()).collect();
    setup.machines = (0..12)
        .map(|i| (zones[usize::from(i == 11)], 0, false))
        .collect();
    let cluster = Cluster::start(&setup, log)?;
    wait_until(log, 2.0);
    let mut others = portal(101);
    others.set("pieces", Json::number(11));
    others.set("yard", Json::text("lahore-east"));
    cluster.submit(0, &others, None);
    wait_until(log, 8.0);
    let mut job = portal(1);
    job.set("pieces", Json::number(2));
    job.set("cores", Json::number(2.0));
    job.set("ram_gb", Json::number(5.5));
    job.set("together", Json::Bool(true));
    cluster.submit(0, &job, None);
    wait_until(log, 10.5);
    cluster.cancel(0, "j-000101");
    wait_until(log, 12.0);
    if has_trouble {
        let machines = machines_in(&cluster, "islamabad-dr");
        machines
            .iter()
            .for_each(|name| cluster.yard.end_machine(name));
    }
    wait_until(log, 22.5);
    let seconds = left_waiting(&cluster, "j-000001", 2, 4.0, "lahore-east", 115.0);
    let mut broken = cluster.yard.broken();
    if seconds > MAX_WAIT_S {
        broken.push(format!(
            "left waiting: j-000001 for {seconds:.0} s, with room in lahore-east"
        ));
    }
    Ok(broken)
}
