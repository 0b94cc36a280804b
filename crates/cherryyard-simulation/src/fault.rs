//! Troubles by name, each of which begins and ends: what random days draw from.

use crate::World;
use crate::worker::job_of;

/// A trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The leader is down.
    LeaderDown,
    /// All controllers are.
    AllDown,
    /// The leader reaches neither the state service nor the others.
    LeaderAlone,
    /// A third of the machines cannot be reached.
    Unreachable,
    /// A third of the machines hear nothing.
    OneWay,
    /// The state service refuses the leader.
    LeaderRefused,
    /// It refuses everybody.
    Outage,
    /// Direct commands to half of the machines are held back.
    SlowCommands,
    /// Transactions get no answer and are carried out late.
    LateWrites,
    /// Copies of reports come again.
    Copies,
    /// The leader stands still.
    Frozen,
    /// A controller's workers do not reach it.
    Deaf,
    /// Some machines begin anew.
    Reborn,
    /// A controller does not reach the others.
    Alone,
    /// A controller is behind with reports.
    Behind,
    /// The state service is slow.
    SlowState,
    /// The one after the leader is down.
    SuccessorDown,
    /// The cloud releases nothing.
    CloudDown,
    /// A zone's machines cannot be reached.
    ZoneSilent,
    /// A third of the machines reach no controller, while direct commands reach them.
    OneWaySilence,
    /// Copies of reports are kept for the next leader, and come to all controllers.
    CopiesForNext,
    /// Transactions are carried out at once and get no answer.
    LostAnswers,
    /// Rented machines are up within two seconds, and provisioning requests' answers are lost.
    FastBoots,
    /// Users call off jobs that run, and their machines hang.
    CancelNow,
    /// Jobs that end are called off at that moment.
    CancelAtEnd,
    /// Users repeat submissions, cancel what is over, send what cannot run.
    OddRequests,
    /// Users ask at all controllers at once.
    CloseLooks,
    /// A zone is cut off, its controller and machines together.
    ZoneCut,
    /// The leader ends every 12 s.
    LeadersEnd,
}

/// Those of the pairs of before, in the order in which their seeds know them.
pub const OLDER: [Fault; 19] = {
    use Fault::*;
    [
        LeaderDown,
        AllDown,
        LeaderAlone,
        Unreachable,
        OneWay,
        LeaderRefused,
        Outage,
        SlowCommands,
        LateWrites,
        Copies,
        Frozen,
        Deaf,
        Reborn,
        Alone,
        Behind,
        SlowState,
        SuccessorDown,
        CloudDown,
        ZoneSilent,
    ]
};

/// The further ones.
pub const NEWER: [Fault; 10] = {
    use Fault::*;
    [
        OneWaySilence,
        CopiesForNext,
        LostAnswers,
        FastBoots,
        CancelNow,
        CancelAtEnd,
        OddRequests,
        CloseLooks,
        ZoneCut,
        LeadersEnd,
    ]
};

/// Who leads, or the first controller.
pub fn leader(w: &World) -> usize {
    w.leader().unwrap_or(0)
}

impl Fault {
    /// Begins it.
    pub fn begin(self, w: &mut World, draw: &mut dyn FnMut(u64) -> u64) {
        let hosts: Vec<String> = w.workers.keys().cloned().collect();
        let mut some =
            |of: u64| -> Vec<String> { hosts.iter().filter(|_| draw(of) == 0).cloned().collect() };
        let leader_index = leader(w);
        let all = w.controllers.len();
        let n = all as u64;
        match self {
            Self::LeaderDown => w.kill(leader_index),
            Self::AllDown => (0..all).for_each(|i| w.kill(i)),
            Self::LeaderAlone => {
                w.state_link.refused.insert(leader_index);
                w.network.isolated.insert(leader_index);
            }
            Self::Unreachable => w.network.unreachable.extend(some(3)),
            Self::OneWay => w.network.inbound_lost.extend(some(3)),
            Self::LeaderRefused => drop(w.state_link.refused.insert(leader_index)),
            Self::Outage => w.state_link.refused.extend(0..all),
            Self::SlowCommands => w.machines.slow_commands.extend(some(2)),
            Self::LateWrites => w.state_link.delayed_percent = 10 + draw(40),
            Self::Copies => w.duplicates.delay_ms = Some(500.0 + draw(40_000) as f64),
            Self::Frozen => drop(w.processes.frozen.insert(leader_index)),
            Self::Deaf => drop(w.network.cut_from_workers.insert(draw(n) as usize)),
            Self::Reborn => {
                let all = some(5);
                all.iter().for_each(|name| w.reborn(name));
            }
            Self::Alone => drop(w.network.isolated.insert(draw(n) as usize)),
            Self::Behind => {
                w.processes
                    .lag_ms
                    .insert(draw(n) as usize, 800.0 + draw(2000) as f64);
            }
            Self::SlowState => w.state_link.latency_ms = 200.0 + draw(4000) as f64,
            Self::SuccessorDown => w.kill((leader_index + 1) % all),
            Self::CloudDown => {
                // Without a release nothing can be done about a machine that hangs beyond
                // the time of a cancellation with a start on its way (docs/restart.md).
                Self::CancelNow.finish(w);
                w.cloud.down = true;
            }
            Self::ZoneSilent => {
                let zone = w.workers.values().filter(|x| x.zone == "b");
                let zone: Vec<String> = zone.map(|x| x.host.clone()).collect();
                w.network.unreachable.extend(zone);
            }
            Self::OneWaySilence => w.network.outbound_lost.extend(some(3)),
            Self::CopiesForNext => w.duplicates.for_next_leader = true,
            Self::LostAnswers => w.state_link.lost_response_percent = 10 + draw(40),
            Self::FastBoots => {
                w.cloud.provisioning_ms = Some(draw(2000) as f64);
                w.cloud.provisions_unanswered = draw(2) == 0;
            }
            Self::CancelNow => {
                let running = w.workers.values().flat_map(|x| {
                    let here = x.running_tasks();
                    here.map(|name| (job_of(name), &x.host))
                });
                let running: Vec<(String, String)> =
                    running.map(|r| (r.0.into(), r.1.clone())).collect();
                for (id, host) in running {
                    if draw(3) == 0 {
                        if w.machines.hung.len() < 8 && !w.cloud.down {
                            w.machines.hung.insert(host);
                        }
                        if !w.asked_to_cancel(&id) {
                            w.insist(draw(n) as usize, &id, crate::world::Question::Cancel);
                        }
                    }
                }
            }
            Self::CancelAtEnd => w.submissions.cancel_at_end_percent = 50,
            Self::OddRequests => w.requests.odd = true,
            Self::CloseLooks => w.requests.close_looks = true,
            Self::ZoneCut => {
                let zone = ["a", "b", "c"][draw(3) as usize];
                w.network.partitioned_zones.insert(zone.into());
                let there = (0..all).filter(|&i| w.zone_of(i) == zone);
                let there: Vec<usize> = there.collect();
                w.state_link.refused.extend(there);
            }
            Self::LeadersEnd => w.processes.leader_ends_every_ms = Some(12_000.0),
        }
    }

    /// Ends it.
    pub fn finish(self, w: &mut World) {
        match self {
            Self::LeaderDown | Self::AllDown | Self::SuccessorDown => {
                for i in 0..w.controllers.len() {
                    if w.controllers[i].is_none() {
                        w.start(i);
                    }
                }
            }
            Self::LeaderAlone => {
                w.state_link.refused.clear();
                w.network.isolated.clear();
            }
            Self::Unreachable | Self::ZoneSilent => w.network.unreachable.clear(),
            Self::OneWay => w.network.inbound_lost.clear(),
            Self::LeaderRefused | Self::Outage => w.state_link.refused.clear(),
            Self::SlowCommands => {
                w.machines.slow_commands.clear();
                w.deliver_direct();
            }
            Self::LateWrites => w.state_link.delayed_percent = 0,
            Self::Copies => w.duplicates.delay_ms = None,
            Self::Frozen => w.processes.frozen.clear(),
            Self::Deaf => w.network.cut_from_workers.clear(),
            Self::Reborn => {}
            Self::Alone => w.network.isolated.clear(),
            Self::Behind => w.processes.lag_ms.clear(),
            Self::SlowState => w.state_link.latency_ms = 0.0,
            Self::CloudDown => w.cloud.down = false,
            Self::OneWaySilence => w.network.outbound_lost.clear(),
            Self::CopiesForNext => w.duplicates.for_next_leader = false,
            Self::LostAnswers => w.state_link.lost_response_percent = 0,
            Self::FastBoots => {
                w.cloud.provisioning_ms = Some(5000.0);
                w.cloud.provisions_unanswered = false;
            }
            Self::CancelNow => {
                w.deliver_direct();
                w.machines.hung.clear();
            }
            Self::CancelAtEnd => w.submissions.cancel_at_end_percent = 0,
            Self::OddRequests => w.requests.odd = false,
            Self::CloseLooks => w.requests.close_looks = false,
            Self::ZoneCut => {
                w.network.partitioned_zones.clear();
                w.state_link.refused.clear();
            }
            Self::LeadersEnd => w.processes.leader_ends_every_ms = None,
        }
    }

    /// Ends all that may be going on: nothing fails any more.
    pub fn finish_all(w: &mut World) {
        for fault in OLDER.into_iter().chain(NEWER) {
            fault.finish(w);
        }
    }
}
