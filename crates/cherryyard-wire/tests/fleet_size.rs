//! A heartbeat that tells of the largest part fits into a frame: 4,096 machines.

use cherryyard_wire::peer::{
    CapacityReport, Heartbeat, MAX_FRAME, MachineCapacity, MachinePool, Message, Sender, encode,
    encode_legacy,
};

/// Machines of the largest fleets, all in one shard.
const FLEET: u16 = 4096;
/// Images in the shard, and how many of them each machine holds.
const IMAGES: u16 = 400;
const HELD: u16 = 24;
/// Waiting jobs that a report names.
const WAITING: u32 = 500;

/// Room of a machine; no two are alike, so nothing of it is packed well.
fn capacity(machine: u16) -> MachineCapacity {
    let free = f32::from(machine) * 0.37;
    MachineCapacity {
        pool: machine % 300,
        free: (free, free * 0.11, free * 3.7),
        yielding: (free * 1.3, free * 0.13, free * 4.1),
        images: (0..HELD)
            .map(|i| machine.wrapping_mul(31).wrapping_add(i * 17) % IMAGES)
            .collect(),
    }
}

fn report() -> CapacityReport {
    let pool = |i: u16| MachinePool {
        machine_type: format!("standard-{}-highmem", i % 100),
        zone: format!("zone-{}", i / 100),
        spot: i.is_multiple_of(2),
    };
    CapacityReport {
        shard: 0,
        revision: 1,
        pools: (0..300).map(pool).collect(),
        images: (0..IMAGES)
            .map(|i| format!("registry/team/image-{i:04}:2026.12"))
            .collect(),
        machines: (0..FLEET).map(capacity).collect(),
        waiting: (0..WAITING)
            .map(|i| {
                (
                    800_000_000_000 + u64::from(i) * 7919,
                    i * 331,
                    i as f32 * 0.7,
                )
            })
            .collect(),
        wants: (0..20)
            .map(|i| (format!("team-{i}"), f64::from(i) * 1.7, 0.0))
            .collect(),
    }
}

#[test]
fn a_heartbeat_of_the_largest_part_fits_into_a_frame() {
    let heartbeat = Message::Heartbeat(Box::new(Heartbeat {
        label: "controller-0".into(),
        cut_off: false,
        silent_ms: 400,
        cancelled: (0..200).map(|i| 800_000_000_000 + i * 104_729).collect(),
        reach_ms: 60_000,
        complete: false,
        store_revision: 7,
        leases: (0..7).map(|p| (p, 3, format!("controller-{p}"))).collect(),
        shards: vec![report()],
        short: Vec::new(),
        handing: (0..200).map(|i| (0, 800_000_000_000 + i)).collect(),
        misdirected: Vec::new(),
        number: 3,
        heard: (0..7).map(|p| (p, 7)).collect(),
        shares: Vec::new(),
        intake_ms: 0,
        demand: Vec::new(),
    }));
    let sender = Sender {
        label: "controller-0".into(),
        format: 4,
        build: "0.1.0".into(),
    };
    let sizes = [
        encode_legacy(&heartbeat).len(),
        encode(&heartbeat, &sender).len(),
    ];
    assert!(sizes.iter().all(|&size| size <= MAX_FRAME), "{sizes:?}");
    // A test of nothing, if it all packs to little.
    assert!(sizes.iter().all(|&size| size > 256 * 1024), "{sizes:?}");
}
