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
pub fn leader(w: &World) -> usize {
    w.leader().unwrap_or(0)
}

/// Some of the machines: each is drawn with a chance of one in so many.
fn draw_machines(w: &World, one_in: u64, draw: &mut dyn FnMut(u64) -> u64) -> Vec<String> {
    let machines = w.workers.keys();
    machines.filter(|_| draw(one_in) == 0).cloned().collect()
}

/// One of the controllers.
fn draw_controller(w: &World, draw: &mut dyn FnMut(u64) -> u64) -> usize {
    draw(w.controllers.len() as u64) as usize
}

/// Users cancel some of the jobs that run, and machines that run them hang.
fn cancel_running_jobs(w: &mut World, draw: &mut dyn FnMut(u64) -> u64) {
    let running = w.workers.values().flat_map(|worker| {
        let tasks = worker.running_tasks();
        tasks.map(|name| (job_of(name).to_string(), worker.host.clone()))
    });
    for (id, machine) in running.collect::<Vec<_>>() {
        if draw(3) != 0 {
            continue;
        }
        if w.machines.hung.len() < MOST_HUNG && !w.cloud.down {
            w.machines.hung.insert(machine);
        }
        if !w.asked_to_cancel(&id) {
            let controller = draw_controller(w, draw);
            w.insist(controller, &id, Question::Cancel);
        }
    }
}

/// A zone's machines and controllers reach none of another zone, nor the state service.
fn cut_zone(w: &mut World, zone: &str) {
    w.network.partitioned_zones.insert(zone.into());
    let controllers = (0..w.controllers.len()).filter(|&i| w.zone_of(i) == zone);
    let controllers: Vec<usize> = controllers.collect();
    w.state_link.refused.extend(controllers);
}

fn machines_of_zone(w: &World, zone: &str) -> Vec<String> {
    let there = w.workers.values().filter(|worker| worker.zone == zone);
    there.map(|worker| worker.host.clone()).collect()
}

impl Fault {
    /// Begins it.
    pub fn begin(self, w: &mut World, draw: &mut dyn FnMut(u64) -> u64) {
        let leader = leader(w);
        let count = w.controllers.len();
        match self {
            Self::LeaderDown => w.kill(leader),
            Self::AllDown => (0..count).for_each(|i| w.kill(i)),
            Self::SuccessorDown => w.kill((leader + 1) % count),
            Self::LeadersEnd => w.processes.leader_ends_every_ms = Some(LEADER_ENDS_EVERY_MS),
            Self::Frozen => drop(w.processes.frozen.insert(leader)),
            Self::Behind => {
                let controller = draw_controller(w, draw);
                let lag_ms = 800.0 + draw(2000) as f64;
                w.processes.lag_ms.insert(controller, lag_ms);
            }
            Self::LeaderAlone => {
                w.state_link.refused.insert(leader);
                w.network.isolated.insert(leader);
            }
            Self::Alone => drop(w.network.isolated.insert(draw_controller(w, draw))),
            Self::Deaf => drop(w.network.cut_from_workers.insert(draw_controller(w, draw))),
            Self::Unreachable => w.network.unreachable.extend(draw_machines(w, 3, draw)),
            Self::OneWay => w.network.inbound_lost.extend(draw_machines(w, 3, draw)),
            Self::OneWaySilence => w.network.outbound_lost.extend(draw_machines(w, 3, draw)),
            Self::ZoneSilent => w.network.unreachable.extend(machines_of_zone(w, "b")),
            Self::ZoneCut => cut_zone(w, ["a", "b", "c"][draw(3) as usize]),
            Self::SlowCommands => w.machines.slow_commands.extend(draw_machines(w, 2, draw)),
            Self::Reborn => {
                let machines = draw_machines(w, 5, draw);
                machines.iter().for_each(|name| w.reborn(name));
            }
            Self::LeaderRefused => drop(w.state_link.refused.insert(leader)),
            Self::Outage => w.state_link.refused.extend(0..count),
            Self::SlowState => w.state_link.latency_ms = 200.0 + draw(4000) as f64,
            Self::LateWrites => w.state_link.delayed_percent = 10 + draw(40),
            Self::LostAnswers => w.state_link.lost_response_percent = 10 + draw(40),
            Self::Copies => w.duplicates.delay_ms = Some(500.0 + draw(40_000) as f64),
            Self::CopiesForNext => w.duplicates.for_next_leader = true,
            Self::CloudDown => {
                // Without a release nothing can be done about a machine that hangs beyond
                // the time of a cancellation with a start on its way (docs/restart.md).
                Self::CancelNow.finish(w);
                w.cloud.down = true;
            }
            Self::FastBoots => {
                w.cloud.provisioning_ms = Some(draw(2000) as f64);
                w.cloud.provisions_unanswered = draw(2) == 0;
            }
            Self::CancelNow => cancel_running_jobs(w, draw),
            Self::CancelAtEnd => w.submissions.cancel_at_end_percent = 50,
            Self::OddRequests => w.requests.odd = true,
            Self::CloseLooks => w.requests.close_looks = true,
        }
    }

    /// Ends it.
    pub fn finish(self, w: &mut World) {
        match self {
            Self::LeaderDown | Self::AllDown | Self::SuccessorDown => start_all(w),
            Self::LeadersEnd => w.processes.leader_ends_every_ms = None,
            Self::Frozen => w.processes.frozen.clear(),
            Self::Behind => w.processes.lag_ms.clear(),
            Self::LeaderAlone => {
                w.state_link.refused.clear();
                w.network.isolated.clear();
            }
            Self::Alone => w.network.isolated.clear(),
            Self::Deaf => w.network.cut_from_workers.clear(),
            Self::Unreachable | Self::ZoneSilent => w.network.unreachable.clear(),
            Self::OneWay => w.network.inbound_lost.clear(),
            Self::OneWaySilence => w.network.outbound_lost.clear(),
            Self::ZoneCut => {
                w.network.partitioned_zones.clear();
                w.state_link.refused.clear();
            }
            Self::SlowCommands => {
                w.machines.slow_commands.clear();
                w.deliver_direct();
            }
            Self::Reborn => {}
            Self::LeaderRefused | Self::Outage => w.state_link.refused.clear(),
            Self::SlowState => w.state_link.latency_ms = 0.0,
            Self::LateWrites => w.state_link.delayed_percent = 0,
            Self::LostAnswers => w.state_link.lost_response_percent = 0,
            Self::Copies => w.duplicates.delay_ms = None,
            Self::CopiesForNext => w.duplicates.for_next_leader = false,
            Self::CloudDown => w.cloud.down = false,
            Self::FastBoots => {
                w.cloud.provisioning_ms = Some(PROVISIONING_MS);
                w.cloud.provisions_unanswered = false;
            }
            Self::CancelNow => {
                w.deliver_direct();
                w.machines.hung.clear();
            }
            Self::CancelAtEnd => w.submissions.cancel_at_end_percent = 0,
            Self::OddRequests => w.requests.odd = false,
            Self::CloseLooks => w.requests.close_looks = false,
        }
    }

    /// Ends all that may be going on: nothing fails any more.
    pub fn finish_all(w: &mut World) {
        for fault in OLDER.into_iter().chain(NEWER) {
            fault.finish(w);
        }
    }
}

/// All controllers that are down start.
fn start_all(w: &mut World) {
    for i in 0..w.controllers.len() {
        if w.controllers[i].is_none() {
            w.start(i);
        }
    }
}
