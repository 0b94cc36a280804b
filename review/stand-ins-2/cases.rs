//! The cases of the review.

use crate::cluster::{Cluster, Setup};
use crate::json::Json;
use crate::yard::Log;
use std::io;
use std::thread;
use std::time::Duration;

/// Time for which a job may wait while a machine that fits has room, in seconds.
const MAX_WAIT_S: f64 = 90.0;

/// Rules that were broken; empty if all held.
pub type Broken = Vec<String>;

pub fn run(number: &str, has_trouble: bool, log: &Log) -> io::Result<Broken> {
    match number {
        "4" => copied_start(has_trouble, log),
        "5" => equal_ranks(has_trouble, log),
        "6" => higher_rank(has_trouble, log),
        "7" => accelerators(has_trouble, log),
        "8" => too_small(has_trouble, log),
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

/// Case 4: the first attempt of a service's replica fails on a machine, and the replica runs on
/// another. The first machine begins anew at once, and a copy of the command that started the first
/// attempt arrives there. The replica must not start on it.
fn copied_start(has_trouble: bool, log: &Log) -> io::Result<Broken> {
    /// Time from the machine's beginning to the arrival of the copy.
    const COPY_AFTER: Duration = Duration::from_millis(500);
    let mut setup = Setup::batch_desk();
    let zones = setup.zones.clone();
    setup.machines = (0..12).map(|i| (zones[i % 4], 0, false)).collect();
    let cluster = Cluster::start(&setup, log)?;
    wait_until(log, 5.0);
    let mut replicas = Vec::new();
    for id in 1..=3 {
        let job = portal(id);
        let piece = format!("j-{id:06}/0");
        cluster
            .yard
            .lock()
            .first_fails_after_s
            .insert(piece.clone(), 1.0);
        cluster.submit(id as usize % 3, &job, None);
        replicas.push(piece);
    }
    wait_until(log, 20.0);
    let mut copies = Vec::new();
    for piece in &replicas {
        let job = piece.split('/').next().unwrap_or_default();
        let on = cluster.yard.on_machines(job);
        let inner = cluster.yard.lock();
        let start = format!("\"piece\":\"{piece}\"");
        let is_start = |body: &str| body.contains(&start) && body.contains("\"start\"");
        let first = inner
            .direct_commands
            .iter()
            .find(|command| is_start(&command.1));
        if let Some((host, body)) = first
            && on.iter().all(|(_, now_on, _)| now_on != host)
            && !on.is_empty()
        {
            copies.push((host.clone(), body.clone()));
        }
    }
    if copies.is_empty() {
        return Err(io::Error::other("no replica has moved to another machine"));
    }
    if has_trouble {
        for (host, body) in &copies {
            cluster.yard.restart_machine(host);
            thread::sleep(COPY_AFTER);
            cluster.yard.deliver_again(host, body);
            thread::sleep(Duration::from_secs(5));
        }
    }
    wait_until(log, 45.0);
    for id in 1..=3 {
        cluster.poll(id % 3, &format!("j-{id:06}"));
    }
    Ok(cluster.yard.broken())
}

/// Case 5: two teams run arrays of equal priority, and those of one come four times as often for a
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

/// Case 6: a team's only job, an array, fits into its guarantee, and services of another team come
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

/// Case 7: two arrays of one task each need all 3 accelerators that their team may use, one in each
/// of two zones. Services that need none come and find no cores. The arrays must run.
fn accelerators(has_trouble: bool, log: &Log) -> io::Result<Broken> {
    const RUN_S: f64 = 10.0;
    let mut setup = Setup::batch_desk();
    setup.accelerators_max = 3.0;
    let mut with_accelerators = setup.kinds[0].clone();
    with_accelerators.name = "qanat-4g".into();
    with_accelerators.accelerators = 4.0;
    setup.kinds.push(with_accelerators);
    let zones = ["lahore-east", "lahore-west"];
    setup.machines = (0..4).map(|i| (zones[i % 2], i / 2, false)).collect();
    let cluster = Cluster::start(&setup, log)?;
    let in_zone = |mut job: Json, zone: &str, kind: &str| {
        job.set("yard", Json::text(zone));
        job.set("kinds_of_host", Json::Array(vec![Json::text(kind)]));
        job
    };
    wait_until(log, 4.0);
    let services = if has_trouble { 2 } else { 1 };
    for i in 0..services {
        for (z, zone) in zones.into_iter().enumerate() {
            let id = 101 + 2 * i + z as u64;
            cluster.submit(z, &in_zone(portal(id), zone, "qanat-4"), None);
        }
        wait_until(log, 7.0);
    }
    wait_until(log, 10.0);
    for (z, zone) in zones.into_iter().enumerate() {
        let mut job = posting(1 + z as u64, "member-care", 1, RUN_S);
        job.set("accelerators", Json::number(3.0));
        cluster.submit(z, &in_zone(job, zone, "qanat-4g"), Some(RUN_S));
    }
    let since = log.seconds();
    let mut has_run = false;
    while log.seconds() < 114.0 {
        thread::sleep(Duration::from_secs(1));
        let on = [1, 2].map(|id| cluster.yard.on_machines(&format!("j-{id:06}")).len());
        let done = cluster
            .yard
            .lock()
            .jobs
            .values()
            .any(|job| !job.completed.is_empty());
        has_run |= done || on != [0, 0];
        if log.seconds() as u64 % 10 == 0 {
            log.line(format!(
                "on machines: {on:?}; room: {:?}",
                cluster.yard.free_cores()
            ));
            cluster.poll(0, "j-000001");
            cluster.poll(1, "j-000002");
        }
    }
    log_completed(&cluster);
    let mut broken = cluster.yard.broken();
    if !has_run && log.seconds() - since > MAX_WAIT_S {
        broken.push(
            "left waiting: j-000001 and j-000002, with room and no accelerator in use".into(),
        );
    }
    Ok(broken)
}

/// Case 8: a service whose replicas must be in one zone needs 4 CPUs for each. It is accepted while
/// the machines of 4 CPUs are full for some seconds; most machines, in another zone, have 2 CPUs. The
/// service must run once the machines of 4 CPUs are empty again.
fn too_small(has_trouble: bool, log: &Log) -> io::Result<Broken> {
    let mut setup = Setup::batch_desk();
    let mut small = setup.kinds[0].clone();
    (small.name, small.cores) = ("qanat-2".into(), 2.0);
    setup.kinds.push(small);
    let zones = ["lahore-east", "lahore-west", "karachi-dc"];
    let small_machines = (0..6).map(|_| (zones[0], 1, false));
    let machines = (0..3).map(|i| (zones[1 + i % 2], 0, false));
    setup.machines = small_machines.chain(machines).collect();
    let cluster = Cluster::start(&setup, log)?;
    wait_until(log, 3.0);
    let count = if has_trouble { 3 } else { 1 };
    for i in 0..count {
        let mut job = portal(101 + i);
        job.set("yard", Json::text(zones[1 + i as usize % 2]));
        cluster.submit(i as usize % 3, &job, None);
    }
    wait_until(log, 12.0);
    let mut job = portal(1);
    job.set("together", Json::Bool(true));
    cluster.submit(0, &job, None);
    wait_until(log, 17.0);
    for i in 0..count {
        cluster.cancel(i as usize % 3, &format!("j-{:06}", 101 + i));
    }
    wait_until(log, 19.0);
    let mut since = log.seconds();
    while log.seconds() < 113.0 {
        let on = cluster.yard.on_machines("j-000001");
        let free = cluster.yard.free_cores();
        let room = free.iter().find(|free| free.2 >= 4.0);
        if !on.is_empty() || room.is_none() {
            since = log.seconds();
        }
        if log.seconds() as u64 % 10 == 0 {
            log.line(format!("j-000001 is on {on:?}; room: {room:?}"));
            cluster.poll(0, "j-000001");
        }
        thread::sleep(Duration::from_secs(1));
    }
    let mut broken = cluster.yard.broken();
    let seconds = log.seconds() - since;
    if seconds > MAX_WAIT_S {
        broken.push(format!(
            "left waiting: j-000001 for {seconds:.0} s, with room"
        ));
    }
    Ok(broken)
}
