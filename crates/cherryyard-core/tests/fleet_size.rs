//! Fixed limits on the number of machines are above the largest fleets: 4,096 machines.

use cherryyard_core::{Config, Controller, Effect, MAX_MACHINES, Reply, Tuning};
use cherryyard_wire::peer::Heartbeat;
use cherryyard_wire::settings::Settings;
use cherryyard_wire::worker::WorkerHeartbeat;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Level, Metadata, Subscriber};

/// Machines of the largest fleets.
const FLEET: usize = 4096;

/// Controller `a` of two, each alone in the zone of its name.
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

/// The first report of a machine in the zone of controller `b`.
fn report(machine: usize) -> WorkerHeartbeat {
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

/// A heartbeat of controller `b`, which owns its own shard.
fn heartbeat() -> Heartbeat {
    Heartbeat {
        label: "b".into(),
        cut_off: false,
        silent_ms: 0,
        cancelled: Vec::new(),
        reach_ms: 0,
        complete: false,
        store_revision: 1,
        leases: vec![(1, 1, "b".into())],
        shards: Vec::new(),
        short: Vec::new(),
        handing: Vec::new(),
        misdirected: Vec::new(),
        number: 1,
        heard: Vec::new(),
        shares: Vec::new(),
        intake_ms: 0,
        demand: Vec::new(),
    }
}

/// Counts warnings.
struct Warnings(Arc<AtomicUsize>);

impl Subscriber for Warnings {
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

/// All machines of another controller's part report here: all are counted, so the other
/// controllers learn how many it has lost. With 1,000 at most it was a quarter of them.
#[test]
fn every_machine_of_another_part_is_counted() {
    let mut controller = controller();
    controller.heartbeat_in(heartbeat(), 100.0);
    for machine in 0..FLEET {
        let reply = controller.handle_worker_heartbeat(&report(machine), 200.0);
        assert!(matches!(reply, Reply::Elsewhere(Some(b)) if b == "b"));
    }
    let mut queried = 0;
    for effect in controller.effects() {
        if let Effect::QueryStatus { host, .. } = effect {
            queried += 1;
            controller.handle_status_answer(host, Some(&report(0)), 300.0);
        }
    }
    assert_eq!(queried, 16, "a sample is asked");
    assert_eq!(
        controller.heartbeat_out(400.0).misdirected,
        [(1, FLEET as u32)]
    );
}

/// Beyond the bound the log says so once, and those that are known stay known.
#[test]
fn too_many_machines_are_logged_once() {
    let warnings = Arc::new(AtomicUsize::new(0));
    let mut controller = controller();
    tracing::subscriber::with_default(Warnings(warnings.clone()), || {
        for machine in 0..MAX_MACHINES {
            controller.handle_worker_heartbeat(&report(machine), 200.0);
        }
        assert_eq!(warnings.load(Ordering::Relaxed), 0);
        for machine in 0..100 {
            controller.handle_worker_heartbeat(&report(MAX_MACHINES + machine), 200.0);
        }
        assert_eq!(warnings.load(Ordering::Relaxed), 1);
        // The first report again; the others are forgotten after 6 s.
        controller.handle_worker_heartbeat(&report(0), 5000.0);
    });
    controller.heartbeat_in(heartbeat(), 6000.0);
    controller.heartbeat_out(6500.0);
    for machine in [0, MAX_MACHINES] {
        controller.handle_worker_heartbeat(&report(machine), 6600.0);
    }
    let queries = |e: &Effect| matches!(e, Effect::QueryStatus { .. });
    assert_eq!(controller.effects().into_iter().filter(queries).count(), 2);
}
