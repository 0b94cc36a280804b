//! Limits on the number of machines that a controller tracks: they must exceed the largest fleets,
//! which have 4,096 machines.

use cherryyard_core::{Config, Controller, Effect, MAX_MACHINES, Reply, Tuning};
use cherryyard_wire::peer::Heartbeat;
use cherryyard_wire::settings::Settings;
use cherryyard_wire::worker::WorkerHeartbeat;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

/// Number of machines in the largest fleets.
const FLEET: usize = 4096;

/// Creates controller `a` of two controllers, each the only one in the zone of the same name.
fn controller() -> Controller {
    let settings = json!({
        "label": "a", "domain": "a",
        "public_addr": "127.0.0.1:1", "peer_listen": "127.0.0.1:2",
        "known": [{ "label": "b", "domain": "b", "endpoint": "127.0.0.1:3" }],
        "services": { "cloud": "127.0.0.1:4", "state": "127.0.0.1:5" },
        "cluster": {
            "zones": ["a", "b"], "teams": [{ "name": "team" }],
            "workers": { "report_s": 2.0, "lease_s": 10.0, "cancel_s": 40.0 },
            "state": { "rps": 80.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 8 },
            "cloud": { "rps": 4.0, "list_lag_s": 6.0 },
            "limits": { "memory_mb": 53.0, "sockets": 6000 },
        },
    });
    let settings = Settings::parse(settings.to_string().as_bytes()).expect("good settings");
    Controller::new(Config::new(&settings, Tuning::default()), 1, 0.0)
}

/// Returns the first heartbeat of a worker on a machine in the zone of controller `b`.
fn worker_heartbeat(machine: usize) -> WorkerHeartbeat {
    WorkerHeartbeat {
        host: format!("host-{machine:06}"),
        addr: format!("10.0.{}.{}:8000", machine / 256, machine % 256),
        machine_type: "small".into(),
        zone: "b".into(),
        spot: false,
        incarnation: 1,
        sequence: 1,
        fencing_token: 0,
        reclaim_in_s: None,
        tasks: Vec::new(),
    }
}

/// Returns a heartbeat of controller `b`, which owns the shard of its zone.
fn peer_heartbeat() -> Heartbeat {
    Heartbeat {
        label: "b".into(),
        cut_off: false,
        silent_ms: 0,
        cancelled: Vec::new(),
        cancellations_cover_ms: 0,
        all_cancellations_known: false,
        store_revision: 1,
        leases: vec![(1, 1, "b".into())],
        shards: Vec::new(),
        teams_short_of_grants: Vec::new(),
        handover_candidates: Vec::new(),
        misdirected_workers: Vec::new(),
        number: 1,
        last_received_numbers: Vec::new(),
        fair_share_grants: Vec::new(),
        longest_submission_wait_ms: 0,
        demand: Vec::new(),
    }
}

/// Subscriber that counts the warnings in the log.
struct WarningCounter(Arc<AtomicUsize>);

impl Subscriber for WarningCounter {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        *metadata.level() == Level::WARN
    }
    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }
    fn record(&self, _: &Id, _: &Record<'_>) {}
    fn record_follows_from(&self, _: &Id, _: &Id) {}
    fn event(&self, _: &Event<'_>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
    fn enter(&self, _: &Id) {}
    fn exit(&self, _: &Id) {}
}

/// All workers of a shard whose owner they cannot reach send their heartbeats to another
/// controller. That controller must count all of them, because its peers decide by the count
/// whether the owner has lost its workers. With a limit of 1,000 it reported only a quarter of
/// them.
#[test]
fn every_machine_of_another_shard_is_counted() {
    let mut controller = controller();
    controller.handle_peer_heartbeat(peer_heartbeat(), 100.0);
    for machine in 0..FLEET {
        let reply = controller.handle_worker_heartbeat(&worker_heartbeat(machine), 200.0);
        assert!(matches!(reply, Reply::Misdirected(Some(b)) if b == "b"));
    }
    let mut queried = 0;
    for effect in controller.effects() {
        if let Effect::QueryStatus { host, .. } = effect {
            queried += 1;
            controller.handle_status_answer(host, Some(&worker_heartbeat(0)), 300.0);
        }
    }
    assert_eq!(queried, 16, "only a sample is queried");
    assert_eq!(
        controller.build_heartbeat(400.0).misdirected_workers,
        [(1, FLEET as u32)]
    );
}

/// Workers beyond the limit must not flood the log with warnings, nor displace the workers that the
/// controller tracks already.
#[test]
fn too_many_machines_are_logged_once() {
    let warnings = Arc::new(AtomicUsize::new(0));
    let mut controller = controller();
    tracing::subscriber::with_default(WarningCounter(warnings.clone()), || {
        for machine in 0..MAX_MACHINES {
            controller.handle_worker_heartbeat(&worker_heartbeat(machine), 200.0);
        }
        assert_eq!(warnings.load(Ordering::Relaxed), 0);
        for machine in 0..100 {
            controller.handle_worker_heartbeat(&worker_heartbeat(MAX_MACHINES + machine), 200.0);
        }
        assert_eq!(warnings.load(Ordering::Relaxed), 1);
        // The first worker sends another heartbeat; the others are dropped 6 s after theirs.
        controller.handle_worker_heartbeat(&worker_heartbeat(0), 5000.0);
    });
    controller.handle_peer_heartbeat(peer_heartbeat(), 6000.0);
    controller.build_heartbeat(6500.0);
    for machine in [0, MAX_MACHINES] {
        controller.handle_worker_heartbeat(&worker_heartbeat(machine), 6600.0);
    }
    let is_query = |effect: &Effect| matches!(effect, Effect::QueryStatus { .. });
    assert_eq!(controller.effects().into_iter().filter(is_query).count(), 2);
}
