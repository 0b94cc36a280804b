//! Named faults that can be begun and ended; random scenarios draw from them.

use crate::worker::job_id_of;
use crate::{Question, World};
use strum::VariantArray;

/// Maximum number of machines that [`Fault::CancelRunningJobs`] lets hang at the same time.
const MAX_HUNG_MACHINES: usize = 8;
/// Interval at which [`Fault::LeaderKilledRepeatedly`] kills the leader.
const LEADER_KILL_INTERVAL_MS: f64 = 12_000.0;
/// Time from the provisioning of a machine until it is up, once [`Fault::FastProvisioning`] has
/// ended.
const PROVISIONING_MS: f64 = 5000.0;

/// A fault. The variants are indexed by random draws, so the scenario of a recorded seed
/// depends on their order: new variants are appended at the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, VariantArray)]
pub enum Fault {
    /// The leader's process is down.
    LeaderDown,
    /// The processes of all controllers are down.
    AllDown,
    /// The leader reaches neither the state service nor the other controllers.
    LeaderIsolated,
    /// A third of the machines, drawn at random, exchange no messages with controllers.
    MachinesUnreachable,
    /// Messages to a third of the machines are lost, responses to heartbeats as well as direct
    /// commands; their heartbeats still arrive.
    InboundLost,
    /// The state service refuses the leader's requests.
    LeaderRefused,
    /// The state service refuses all controllers' requests.
    StateOutage,
    /// Direct commands to half of the machines are held back until the fault ends.
    SlowCommands,
    /// Between 10 and 49 percent of the transactions get no response; most of these are applied
    /// seconds later.
    DelayedCommits,
    /// Every worker heartbeat is delivered again, after a delay between 0.5 and 40.5 s, to the
    /// same controller and to the one after it.
    DuplicatedHeartbeats,
    /// The leader's process is paused.
    LeaderFrozen,
    /// One controller is unreachable for all workers.
    CutFromWorkers,
    /// A fifth of the machines restart at once, with a new worker process.
    MachinesRestarted,
    /// One controller and the other controllers do not reach each other.
    PeerIsolated,
    /// One controller's event loop lags, so that it handles workers' heartbeats late.
    EventLoopLag,
    /// The state service responds slowly.
    SlowState,
    /// The controller whose index follows the leader's is down.
    SuccessorDown,
    /// The cloud carries out no release of a machine.
    CloudDown,
    /// The machines of zone b are unreachable.
    ZoneUnreachable,
    /// Heartbeats of a third of the machines are lost, while direct commands still reach these
    /// machines.
    OutboundLost,
    /// Copies of workers' heartbeats are kept until the leader changes, and are then delivered
    /// to all controllers.
    DuplicatesForNextLeader,
    /// Between 10 and 49 percent of the transactions are applied at once, and their responses
    /// are lost.
    LostCommitResponses,
    /// Provisioned machines are up within two seconds, and responses to provisioning requests
    /// may be lost.
    FastProvisioning,
    /// Users cancel running jobs, and the machines that run them hang.
    CancelRunningJobs,
    /// Half of the jobs that end are cancelled at that moment.
    CancelEndingJobs,
    /// Users repeat submissions and cancellations, also of jobs that have ended, and submit jobs
    /// that cannot run.
    OddRequests,
    /// Users send requests about the same job to all controllers at once.
    ConcurrentRequests,
    /// The controllers and machines of one zone are partitioned from all other zones, and its
    /// controllers from the state service.
    ZonePartitioned,
    /// The leader is killed every 12 s and restarted half a second later.
    LeaderKilledRepeatedly,
    /// Each direct command that a machine carries out and answers reaches it once more, after a
    /// delay between 1 and 60 s.
    DuplicatedCommands,
}

/// Faults that the first random scenarios draw from. Their order decides what a recorded seed
/// draws.
pub const ORIGINAL_FAULTS: [Fault; 19] = *Fault::VARIANTS
    .first_chunk()
    .expect("19 faults before those of ADDED_FAULTS");

/// Faults that were added after those of [`ORIGINAL_FAULTS`].
pub const ADDED_FAULTS: [Fault; 10] = *Fault::VARIANTS
    .split_at(ORIGINAL_FAULTS.len())
    .1
    .first_chunk()
    .expect("10 faults after those of ORIGINAL_FAULTS");

/// Returns the index of the leader, or of the first controller if there is no leader.
pub fn leader(world: &World) -> usize {
    world.leader().unwrap_or(0)
}

/// Draws a subset of the machines: each is included with a probability of one in `one_in`.
fn draw_machines(world: &World, one_in: u64, draw: &mut dyn FnMut(u64) -> u64) -> Vec<String> {
    let machines = world.workers.keys();
    machines.filter(|_| draw(one_in) == 0).cloned().collect()
}

/// Draws the index of a controller.
fn draw_controller(world: &World, draw: &mut dyn FnMut(u64) -> u64) -> usize {
    draw(world.controllers.len() as u64) as usize
}

/// Draws a third of the running tasks, cancels their jobs on behalf of users, and lets the
/// machines of these tasks hang, unless the cloud is down.
fn cancel_running_jobs(world: &mut World, draw: &mut dyn FnMut(u64) -> u64) {
    let running = world.workers.values().flat_map(|worker| {
        let tasks = worker.running_tasks();
        tasks.map(|name| (job_id_of(name).to_string(), worker.host.clone()))
    });
    for (id, machine) in running.collect::<Vec<_>>() {
        if draw(3) != 0 {
            continue;
        }
        if world.machines.hung.len() < MAX_HUNG_MACHINES && !world.cloud.down {
            world.machines.hung.insert(machine);
        }
        if !world.asked_to_cancel(&id) {
            let controller = draw_controller(world, draw);
            world.request_until_answered(controller, &id, Question::Cancel);
        }
    }
}

/// Partitions a zone's machines and controllers from all other zones, and its controllers from
/// the state service.
fn cut_zone(world: &mut World, zone: &str) {
    world.network.partitioned_zones.insert(zone.into());
    let controllers = (0..world.controllers.len()).filter(|&i| world.zone_of(i) == zone);
    let controllers: Vec<usize> = controllers.collect();
    world.state_link.refused.extend(controllers);
}

fn machines_of_zone(world: &World, zone: &str) -> Vec<String> {
    let in_zone = world.workers.values().filter(|worker| worker.zone == zone);
    in_zone.map(|worker| worker.host.clone()).collect()
}

impl Fault {
    /// Begins the fault.
    pub fn begin(self, world: &mut World, draw: &mut dyn FnMut(u64) -> u64) {
        let leader = leader(world);
        let count = world.controllers.len();
        match self {
            Self::LeaderDown => world.kill(leader),
            Self::AllDown => (0..count).for_each(|i| world.kill(i)),
            Self::SuccessorDown => world.kill((leader + 1) % count),
            Self::LeaderKilledRepeatedly => {
                world.processes.leader_kill_interval_ms = Some(LEADER_KILL_INTERVAL_MS)
            }
            Self::LeaderFrozen => drop(world.processes.frozen.insert(leader)),
            Self::EventLoopLag => {
                let controller = draw_controller(world, draw);
                let lag_ms = 800.0 + draw(2000) as f64;
                world.processes.lag_ms.insert(controller, lag_ms);
            }
            Self::LeaderIsolated => {
                world.state_link.refused.insert(leader);
                world.network.isolated.insert(leader);
            }
            Self::PeerIsolated => drop(world.network.isolated.insert(draw_controller(world, draw))),
            Self::CutFromWorkers => drop(
                world
                    .network
                    .cut_from_workers
                    .insert(draw_controller(world, draw)),
            ),
            Self::MachinesUnreachable => world
                .network
                .unreachable
                .extend(draw_machines(world, 3, draw)),
            Self::InboundLost => world
                .network
                .inbound_lost
                .extend(draw_machines(world, 3, draw)),
            Self::OutboundLost => world
                .network
                .outbound_lost
                .extend(draw_machines(world, 3, draw)),
            Self::ZoneUnreachable => world
                .network
                .unreachable
                .extend(machines_of_zone(world, "b")),
            Self::ZonePartitioned => cut_zone(world, ["a", "b", "c"][draw(3) as usize]),
            Self::SlowCommands => world
                .machines
                .slow_commands
                .extend(draw_machines(world, 2, draw)),
            Self::MachinesRestarted => {
                let machines = draw_machines(world, 5, draw);
                machines.iter().for_each(|name| world.restart_machine(name));
            }
            Self::LeaderRefused => drop(world.state_link.refused.insert(leader)),
            Self::StateOutage => world.state_link.refused.extend(0..count),
            Self::SlowState => world.state_link.latency_ms = 200.0 + draw(4000) as f64,
            Self::DelayedCommits => world.state_link.delayed_percent = 10 + draw(40),
            Self::LostCommitResponses => world.state_link.lost_response_percent = 10 + draw(40),
            Self::DuplicatedHeartbeats => {
                world.duplicates.delay_ms = Some(500.0 + draw(40_000) as f64)
            }
            Self::DuplicatesForNextLeader => world.duplicates.keep_for_next_leader = true,
            Self::CloudDown => {
                // If a start is on its way to a machine that hangs for longer than a
                // cancellation may take, only releasing the machine completes the cancellation
                // in time. So machines must not hang while the cloud releases none
                // (docs/restart.md).
                Self::CancelRunningJobs.finish(world);
                world.cloud.down = true;
            }
            Self::FastProvisioning => {
                world.cloud.provisioning_ms = Some(draw(2000) as f64);
                world.cloud.lose_provision_responses = draw(2) == 0;
            }
            Self::CancelRunningJobs => cancel_running_jobs(world, draw),
            Self::CancelEndingJobs => world.submissions.cancel_at_end_percent = 50,
            Self::DuplicatedCommands => world.begin_random_command_copies(draw(1 << 20)),
            Self::OddRequests => world.requests.odd_requests = true,
            Self::ConcurrentRequests => world.requests.query_all_controllers = true,
        }
    }

    /// Ends the fault.
    pub fn finish(self, world: &mut World) {
        match self {
            Self::LeaderDown | Self::AllDown | Self::SuccessorDown => {
                start_stopped_controllers(world)
            }
            Self::LeaderKilledRepeatedly => world.processes.leader_kill_interval_ms = None,
            Self::LeaderFrozen => world.processes.frozen.clear(),
            Self::EventLoopLag => world.processes.lag_ms.clear(),
            Self::LeaderIsolated => {
                world.state_link.refused.clear();
                world.network.isolated.clear();
            }
            Self::PeerIsolated => world.network.isolated.clear(),
            Self::CutFromWorkers => world.network.cut_from_workers.clear(),
            Self::MachinesUnreachable | Self::ZoneUnreachable => world.network.unreachable.clear(),
            Self::InboundLost => world.network.inbound_lost.clear(),
            Self::OutboundLost => world.network.outbound_lost.clear(),
            Self::ZonePartitioned => {
                world.network.partitioned_zones.clear();
                world.state_link.refused.clear();
            }
            Self::SlowCommands => {
                world.machines.slow_commands.clear();
                world.deliver_held_commands();
            }
            Self::MachinesRestarted => {}
            Self::LeaderRefused | Self::StateOutage => world.state_link.refused.clear(),
            Self::SlowState => world.state_link.latency_ms = 0.0,
            Self::DelayedCommits => world.state_link.delayed_percent = 0,
            Self::LostCommitResponses => world.state_link.lost_response_percent = 0,
            Self::DuplicatedHeartbeats => world.duplicates.delay_ms = None,
            Self::DuplicatesForNextLeader => world.duplicates.keep_for_next_leader = false,
            Self::CloudDown => world.cloud.down = false,
            Self::FastProvisioning => {
                world.cloud.provisioning_ms = Some(PROVISIONING_MS);
                world.cloud.lose_provision_responses = false;
            }
            Self::CancelRunningJobs => {
                world.deliver_held_commands();
                world.machines.hung.clear();
            }
            Self::CancelEndingJobs => world.submissions.cancel_at_end_percent = 0,
            Self::DuplicatedCommands => world.finish_random_command_copies(),
            Self::OddRequests => world.requests.odd_requests = false,
            Self::ConcurrentRequests => world.requests.query_all_controllers = false,
        }
    }

    /// Ends all faults, so that nothing fails any more.
    pub fn finish_all(world: &mut World) {
        for fault in Fault::VARIANTS {
            fault.finish(world);
        }
    }
}

/// Starts all controllers that are down.
fn start_stopped_controllers(world: &mut World) {
    for i in 0..world.controllers.len() {
        if world.controllers[i].is_none() {
            world.start(i);
        }
    }
}
