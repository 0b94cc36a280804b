//! Faults by name, each of which begins and ends: what random scenarios draw from.

use crate::worker::job_of;
use crate::{Question, World};
use strum::VariantArray;

/// Most machines that hang at once.
const MOST_HUNG: usize = 8;
/// How often the leader ends by [`Fault::LeadersEnd`].
const LEADER_ENDS_EVERY_MS: f64 = 12_000.0;
/// How long machines take to come up when no fault makes them faster.
const PROVISIONING_MS: f64 = 5000.0;

/// A fault. What a kept seed draws depends on the order of the variants: new ones come
/// last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, VariantArray)]
pub enum Fault {
    /// The leader is down.
    LeaderDown,
    /// All controllers are down.
    AllDown,
    /// The leader reaches neither the state service nor the others.
    LeaderAlone,
    /// A third of the machines cannot be reached.
    Unreachable,
    /// Neither responses nor commands reach a third of the machines.
    OneWay,
    /// The state service refuses the leader.
    LeaderRefused,
    /// The state service refuses everybody.
    Outage,
    /// Direct commands to half of the machines are held back.
    SlowCommands,
    /// Transactions get no response and are carried out late.
    LateWrites,
    /// Copies of workers' heartbeats come again.
    Copies,
    /// The leader stands still.
    Frozen,
    /// A controller's workers do not reach it.
    Deaf,
    /// Some machines end and are back at once, their workers new.
    Reborn,
    /// A controller does not reach the others.
    Alone,
    /// A controller's event loop lags: it is behind with workers' heartbeats.
    Behind,
    /// The state service is slow.
    SlowState,
    /// The controller after the leader is down.
    SuccessorDown,
    /// The cloud releases nothing.
    CloudDown,
    /// A zone's machines cannot be reached.
    ZoneSilent,
    /// A third of the machines reach no controller, while direct commands reach them.
    OneWaySilence,
    /// Copies of workers' heartbeats are kept for the next leader, and come to all
    /// controllers.
    CopiesForNext,
    /// Transactions are carried out at once and get no response.
    LostAnswers,
    /// Provisioned machines are up within two seconds, and responses to provisioning
    /// requests may be lost.
    FastBoots,
    /// Users cancel jobs that run, and their machines hang.
    CancelNow,
    /// Jobs that end are cancelled at that moment.
    CancelAtEnd,
    /// Users repeat submissions, cancel what is over, send what cannot run.
    OddRequests,
    /// Users ask at all controllers at once.
    CloseLooks,
    /// A zone is cut off, its controllers and machines together.
    ZoneCut,
    /// The leader ends every 12 s.
    LeadersEnd,
}

/// The faults that the first random scenarios drew from. What a kept seed draws depends on
/// this order.
pub const OLDER: [Fault; 19] = *Fault::VARIANTS
    .first_chunk()
    .expect("19 faults before those of NEWER");

/// Those that were added later.
pub const NEWER: [Fault; 10] = *Fault::VARIANTS.last_chunk().expect("10 further faults");

/// Who leads, or the first controller.
pub fn leader(world: &World) -> usize {
    world.leader().unwrap_or(0)
}

/// Some of the machines: each is drawn with a chance of one in so many.
fn draw_machines(world: &World, one_in: u64, draw: &mut dyn FnMut(u64) -> u64) -> Vec<String> {
    let machines = world.workers.keys();
    machines.filter(|_| draw(one_in) == 0).cloned().collect()
}

/// One of the controllers.
fn draw_controller(world: &World, draw: &mut dyn FnMut(u64) -> u64) -> usize {
    draw(world.controllers.len() as u64) as usize
}

/// Users cancel some of the jobs that run, and machines that run them hang.
fn cancel_running_jobs(world: &mut World, draw: &mut dyn FnMut(u64) -> u64) {
    let running = world.workers.values().flat_map(|worker| {
        let tasks = worker.running_tasks();
        tasks.map(|name| (job_of(name).to_string(), worker.host.clone()))
    });
    for (id, machine) in running.collect::<Vec<_>>() {
        if draw(3) != 0 {
            continue;
        }
        if world.machines.hung.len() < MOST_HUNG && !world.cloud.down {
            world.machines.hung.insert(machine);
        }
        if !world.asked_to_cancel(&id) {
            let controller = draw_controller(world, draw);
            world.insist(controller, &id, Question::Cancel);
        }
    }
}

/// A zone's machines and controllers reach none of another zone, nor the state service.
fn cut_zone(world: &mut World, zone: &str) {
    world.network.partitioned_zones.insert(zone.into());
    let controllers = (0..world.controllers.len()).filter(|&i| world.zone_of(i) == zone);
    let controllers: Vec<usize> = controllers.collect();
    world.state_link.refused.extend(controllers);
}

fn machines_of_zone(world: &World, zone: &str) -> Vec<String> {
    let there = world.workers.values().filter(|worker| worker.zone == zone);
    there.map(|worker| worker.host.clone()).collect()
}

impl Fault {
    /// Begins it.
    pub fn begin(self, world: &mut World, draw: &mut dyn FnMut(u64) -> u64) {
        let leader = leader(world);
        let count = world.controllers.len();
        match self {
            Self::LeaderDown => world.kill(leader),
            Self::AllDown => (0..count).for_each(|i| world.kill(i)),
            Self::SuccessorDown => world.kill((leader + 1) % count),
            Self::LeadersEnd => world.processes.leader_ends_every_ms = Some(LEADER_ENDS_EVERY_MS),
            Self::Frozen => drop(world.processes.frozen.insert(leader)),
            Self::Behind => {
                let controller = draw_controller(world, draw);
                let lag_ms = 800.0 + draw(2000) as f64;
                world.processes.lag_ms.insert(controller, lag_ms);
            }
            Self::LeaderAlone => {
                world.state_link.refused.insert(leader);
                world.network.isolated.insert(leader);
            }
            Self::Alone => drop(world.network.isolated.insert(draw_controller(world, draw))),
            Self::Deaf => drop(
                world
                    .network
                    .cut_from_workers
                    .insert(draw_controller(world, draw)),
            ),
            Self::Unreachable => world
                .network
                .unreachable
                .extend(draw_machines(world, 3, draw)),
            Self::OneWay => world
                .network
                .inbound_lost
                .extend(draw_machines(world, 3, draw)),
            Self::OneWaySilence => world
                .network
                .outbound_lost
                .extend(draw_machines(world, 3, draw)),
            Self::ZoneSilent => world
                .network
                .unreachable
                .extend(machines_of_zone(world, "b")),
            Self::ZoneCut => cut_zone(world, ["a", "b", "c"][draw(3) as usize]),
            Self::SlowCommands => world
                .machines
                .slow_commands
                .extend(draw_machines(world, 2, draw)),
            Self::Reborn => {
                let machines = draw_machines(world, 5, draw);
                machines.iter().for_each(|name| world.reborn(name));
            }
            Self::LeaderRefused => drop(world.state_link.refused.insert(leader)),
            Self::Outage => world.state_link.refused.extend(0..count),
            Self::SlowState => world.state_link.latency_ms = 200.0 + draw(4000) as f64,
            Self::LateWrites => world.state_link.delayed_percent = 10 + draw(40),
            Self::LostAnswers => world.state_link.lost_response_percent = 10 + draw(40),
            Self::Copies => world.duplicates.delay_ms = Some(500.0 + draw(40_000) as f64),
            Self::CopiesForNext => world.duplicates.for_next_leader = true,
            Self::CloudDown => {
                // Without a release nothing can be done about a machine that hangs beyond
                // the time of a cancellation with a start on its way (docs/restart.md).
                Self::CancelNow.finish(world);
                world.cloud.down = true;
            }
            Self::FastBoots => {
                world.cloud.provisioning_ms = Some(draw(2000) as f64);
                world.cloud.provisions_unanswered = draw(2) == 0;
            }
            Self::CancelNow => cancel_running_jobs(world, draw),
            Self::CancelAtEnd => world.submissions.cancel_at_end_percent = 50,
            Self::OddRequests => world.requests.odd = true,
            Self::CloseLooks => world.requests.close_looks = true,
        }
    }

    /// Ends it.
    pub fn finish(self, world: &mut World) {
        match self {
            Self::LeaderDown | Self::AllDown | Self::SuccessorDown => start_all(world),
            Self::LeadersEnd => world.processes.leader_ends_every_ms = None,
            Self::Frozen => world.processes.frozen.clear(),
            Self::Behind => world.processes.lag_ms.clear(),
            Self::LeaderAlone => {
                world.state_link.refused.clear();
                world.network.isolated.clear();
            }
            Self::Alone => world.network.isolated.clear(),
            Self::Deaf => world.network.cut_from_workers.clear(),
            Self::Unreachable | Self::ZoneSilent => world.network.unreachable.clear(),
            Self::OneWay => world.network.inbound_lost.clear(),
            Self::OneWaySilence => world.network.outbound_lost.clear(),
            Self::ZoneCut => {
                world.network.partitioned_zones.clear();
                world.state_link.refused.clear();
            }
            Self::SlowCommands => {
                world.machines.slow_commands.clear();
                world.deliver_direct();
            }
            Self::Reborn => {}
            Self::LeaderRefused | Self::Outage => world.state_link.refused.clear(),
            Self::SlowState => world.state_link.latency_ms = 0.0,
            Self::LateWrites => world.state_link.delayed_percent = 0,
            Self::LostAnswers => world.state_link.lost_response_percent = 0,
            Self::Copies => world.duplicates.delay_ms = None,
            Self::CopiesForNext => world.duplicates.for_next_leader = false,
            Self::CloudDown => world.cloud.down = false,
            Self::FastBoots => {
                world.cloud.provisioning_ms = Some(PROVISIONING_MS);
                world.cloud.provisions_unanswered = false;
            }
            Self::CancelNow => {
                world.deliver_direct();
                world.machines.hung.clear();
            }
            Self::CancelAtEnd => world.submissions.cancel_at_end_percent = 0,
            Self::OddRequests => world.requests.odd = false,
            Self::CloseLooks => world.requests.close_looks = false,
        }
    }

    /// Ends all that may be going on: nothing fails any more.
    pub fn finish_all(world: &mut World) {
        for fault in OLDER.into_iter().chain(NEWER) {
            fault.finish(world);
        }
    }
}

/// All controllers that are down start.
fn start_all(world: &mut World) {
    for i in 0..world.controllers.len() {
        if world.controllers[i].is_none() {
            world.start(i);
        }
    }
}
