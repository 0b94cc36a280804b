//! Partitions of the network between controllers, machines and zones.

use super::World;
use std::collections::BTreeSet;

/// Parts of the network that are partitioned.
#[derive(Debug, Default)]
pub struct Network {
    /// Controllers that exchange no messages with other controllers.
    pub isolated: BTreeSet<usize>,
    /// Controllers that no worker reaches, and that get no responses from machines to status
    /// queries.
    pub cut_from_workers: BTreeSet<usize>,
    /// Machines that exchange no messages with controllers.
    pub unreachable: BTreeSet<String>,
    /// Machines whose heartbeats arrive, while responses and commands to them are lost.
    pub inbound_lost: BTreeSet<String>,
    /// Machines whose heartbeats are lost, while direct commands reach them.
    pub outbound_lost: BTreeSet<String>,
    /// Zones whose machines and controllers exchange no messages with other zones.
    pub partitioned_zones: BTreeSet<String>,
}

impl Network {
    /// Returns whether two zones reach each other.
    fn connects_zones(&self, a: &str, b: &str) -> bool {
        a == b || !(self.partitioned_zones.contains(a) || self.partitioned_zones.contains(b))
    }

    /// Returns whether a machine's heartbeats are sent to the network.
    pub(super) fn carries_heartbeats_of(&self, machine: &str) -> bool {
        !self.unreachable.contains(machine) && !self.outbound_lost.contains(machine)
    }

    /// Returns whether direct commands and status queries arrive at a machine.
    fn carries_commands_to(&self, machine: &str) -> bool {
        !self.unreachable.contains(machine) && !self.inbound_lost.contains(machine)
    }
}

impl World {
    /// Returns a controller's zone.
    pub fn zone_of(&self, controller: usize) -> &'static str {
        self.setup.zones[controller]
    }

    /// Returns whether a controller and a zone reach each other.
    pub(super) fn reaches(&self, controller: usize, zone: &str) -> bool {
        self.network.connects_zones(self.zone_of(controller), zone)
    }

    /// Returns whether two controllers reach each other; paused controllers reach no other.
    pub(super) fn controllers_connected(&self, one: usize, other: usize) -> bool {
        let is_cut_off = |controller| {
            self.processes.frozen.contains(&controller)
                || self.network.isolated.contains(&controller)
        };
        !is_cut_off(one) && !is_cut_off(other) && self.reaches(one, self.zone_of(other))
    }

    /// Returns whether a direct command or a status query of a controller arrives at a machine,
    /// and the machine does not hang.
    pub(super) fn reaches_machine(&self, controller: usize, machine: &str) -> bool {
        let worker = self.workers.get(machine);
        self.network.carries_commands_to(machine)
            && worker.is_none_or(|worker| self.reaches(controller, &worker.zone))
            && !self.machines.hung.contains(machine)
    }

    /// Returns whether a machine can be given tasks: it does not hang, its heartbeats are sent,
    /// and commands arrive.
    pub fn is_usable(&self, machine: &str) -> bool {
        self.network.carries_commands_to(machine)
            && self.network.carries_heartbeats_of(machine)
            && !self.machines.hung.contains(machine)
    }
}
