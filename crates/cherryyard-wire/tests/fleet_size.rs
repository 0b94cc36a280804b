//! Size of heartbeats of the largest shard: if one were longer than the maximum size of a frame,
//! other controllers would refuse it and get no reports of the shard.

use cherryyard_wire::peer::{
    CapacityReport, Heartbeat, MAX_FRAME, MachineCapacity, MachinePool, Message, Sender, encode,
    encode_legacy,
};

/// Machines of the largest fleets, all of them in one shard.
const MACHINES: u16 = 4096;
/// Images in the shard.
const IMAGES: u16 = 400;
/// Images that each machine holds.
const IMAGES_PER_MACHINE: u16 = 24;
/// Waiting jobs in a report.
const WAITING_JOBS: u32 = 500;

/// Returns the free capacity of a machine. No two machines have the same, so that the report
/// compresses badly.
fn capacity(machine: u16) -> MachineCapacity {
    let free = f32::from(machine) * 0.37;
    MachineCapacity {
        pool: machine % 300,
        free: (free, free * 0.11, free * 3.7),
        free_if_preempted: (free * 1.3, free * 0.13, free * 4.1),
        images: (0..IMAGES_PER_MACHINE)
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
        machines: (0..MACHINES).map(capacity).collect(),
        waiting: (0..WAITING_JOBS)
            .map(|i| {
                (
                    800_000_000_000 + u64::from(i) * 7919,
                    i * 331,
                    i as f32 * 0.7,
                )
            })
            .collect(),
        team_demand: (0..20)
            .map(|i| (format!("team-{i}"), f64::from(i) * 1.7, 0.0))
            .collect(),
    }
}

#[test]
fn heartbeat_of_the_largest_shard_fits_into_a_frame() {
    let heartbeat = Message::Heartbeat(Box::new(Heartbeat {
        label: "controller-0".into(),
        cut_off: false,
        silent_ms: 400,
        cancelled: (0..200).map(|i| 800_000_000_000 + i * 104_729).collect(),
        cancellations_cover_ms: 60_000,
        all_cancellations_known: false,
        store_revision: 7,
        leases: (0..7).map(|p| (p, 3, format!("controller-{p}"))).collect(),
        shards: vec![report()],
        teams_short_of_grants: Vec::new(),
        handover_candidates: (0..200).map(|i| (0, 800_000_000_000 + i)).collect(),
        misdirected_workers: Vec::new(),
        number: 3,
        last_received_numbers: (0..7).map(|p| (p, 7)).collect(),
        fair_share_grants: Vec::new(),
        longest_submission_wait_ms: 0,
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
    // If the heartbeat compressed well, the test would not show anything about large ones.
    assert!(sizes.iter().all(|&size| size > 256 * 1024), "{sizes:?}");
}
