//! What runs goes on through outages and restarts, and what users read never goes back.

mod common;

use cherryyard_core::Mirror;
use cherryyard_simulation::{Setup, World};
use cherryyard_wire::job::JobStatus;
use cherryyard_wire::record::admission_log_key;
use cherryyard_wire::state::{WatchEvent, WatchResponse};
use common::settled::settled;

/// While the state service answers nobody, nobody can cancel: workers are
/// answered for as long as it takes, and nothing new starts.
#[test]
fn outage_for_all_keeps_what_runs() {
    let mut w = settled(Setup::default());
    w.submit(&World::spec("j-000001", "service", 3));
    w.run_until(5.0, |w| w.running() == 3);
    w.submit(&World::spec("j-000002", "service", 1));
    w.state_link.refused.extend([0, 1, 2]);
    w.run(90.0);
    assert_eq!(w.running(), 3, "{}", w.trace.join("\n"));
    w.state_link.refused.clear();
    w.run(10.0);
    assert_eq!(w.running(), 4, "{}", w.trace.join("\n"));
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
    w.state_link.refused.insert(1);
    let now = w.now;
    let controller = w.controllers[1].as_mut().unwrap();
    controller.handle_watch_response(&old, now, now);
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
    controller.handle_watch_response(
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

/// Connections between controllers are refused, and all else works: the leader
/// stays who it is (it went round among all, every few seconds), and a job is
/// still divided over all shards by what the cloud lists and what is assigned (the
/// leader's own shard got everything).
#[test]
fn a_cut_between_controllers_changes_little() {
    let mut w = settled(Setup::default());
    w.list_machines();
    w.run(5.0);
    let leadership = w.state.get("c/lead").unwrap().1;
    w.network.isolated.extend([0, 1, 2]);
    w.run(20.0);
    w.list_machines();
    w.run(3.0);
    w.submit(&World::spec("j-000001", "sweep", 6));
    w.run(3.0);
    assert_eq!(
        w.state.get("c/lead").unwrap().1,
        leadership,
        "the lead moved"
    );
    assert_eq!(w.running(), 6, "{}", w.trace.join("\n"));
    assert!(w.broken.is_empty(), "{:?}", w.broken);
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
    let mut mirror = Mirror::new(&w.controllers[0].as_ref().unwrap().config);
    let (pairs, store_revision) = (w.state.pairs(), w.state.store_revision());
    mirror.begin_load();
    for some in pairs.chunks(2) {
        mirror.apply_read_page(some);
        assert!(!mirror.loaded && mirror.store_revision == 0);
    }
    mirror.end_load(store_revision);
    assert!(mirror.loaded && mirror.store_revision == store_revision);
    for job in 1..=9 {
        assert_eq!(mirror.view(job), whole.view(job), "{job}");
    }
    // Read again after the page of jobs was deleted; then one in which it is newer.
    let newest = pairs
        .iter()
        .find(|p| p.key == admission_log_key(0))
        .unwrap()
        .revision;
    mirror.begin_load();
    for some in pairs.chunks(2) {
        let left: Vec<_> = some
            .iter()
            .filter(|p| p.key != admission_log_key(0))
            .cloned()
            .collect();
        mirror.apply_read_page(&left);
    }
    assert!(mirror.view(5).is_some());
    mirror.end_load(store_revision);
    assert!(mirror.view(5).is_none() && mirror.view(8).is_none());
    mirror.begin_load();
    mirror.apply_read_page(&pairs);
    mirror.end_load(store_revision);
    mirror.begin_load();
    let old: Vec<_> = pairs
        .iter()
        .filter(|p| p.revision < newest)
        .cloned()
        .collect();
    mirror.apply_read_page(&old);
    mirror.store_revision = newest - 1;
    mirror.end_load(newest - 1);
    assert!(mirror.view(8).is_some());
}
