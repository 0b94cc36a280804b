//! Who reaches whom: partitions between controllers, machines and zones.

use super::World;
use std::collections::BTreeSet;

/// Parts of the network that are cut.
#[derive(Debug, Default)]
pub struct Network {
    /// Controllers that no other controller reaches.
    pub isolated: BTreeSet<usize>,
    /// Controllers that no worker reaches.
    pub cut_from_workers: BTreeSet<usize>,
    /// Machines that nobody reaches.
    pub unreachable: BTreeSet<String>,
    /// Machines whose heartbeats arrive, but neither responses nor commands reach them.
    pub inbound_lost: BTreeSet<String>,
    /// Machines whose heartbeats reach no controller, while direct commands reach them.
    pub outbound_lost: BTreeSet<String>,
    /// Zones whose machines and controllers reach none of another zone.
    pub partitioned_zones: BTreeSet<String>,
}

impl Network {
    /// Whether two zones reach each other.
    fn connects_zones(&self, a: &str, b: &str) -> bool {
        a == b || !(self.partitioned_zones.contains(a) || self.partitioned_zones.contains(b))
    }

    /// Whether a machine's heartbeats leave it.
    pub(super) fn carries_heartbeats_of(&self, machine: &str) -> bool {
        !self.unreachable.contains(machine) && !self.outbound_lost.contains(machine)
    }

    /// Whether direct commands and queries arrive at a machine.
    fn carries_commands_to(&self, machine: &str) -> bool {
        !self.unreachable.contains(machine) && !self.inbound_lost.contains(machine)
    }
}

impl World {
    /// A controller's zone.
    pub fn zone_of(&self, controller: usize) -> &'static str {
        self.setup.zones[controller]
    }

    /// Whether a controller and a zone reach each other.
    pub(super) fn reaches(&self, controller: usize, zone: &str) -> bool {
        self.network.connects_zones(self.zone_of(controller), zone)
    }

    /// Whether two controllers reach each other.
    pub(super) fn controllers_connected(&self, one: usize, other: usize) -> bool {
        let is_out = |controller| {
            self.processes.frozen.contains(&controller)
                || self.network.isolated.contains(&controller)
        };
        !is_out(one) && !is_out(other) && self.reaches(one, self.zone_of(other))
    }

    /// Whether a direct command of a controller arrives at a machine, and is read there.
    pub(super) fn reaches_machine(&self, controller: usize, machine: &str) -> bool {
        let worker = self.workers.get(machine);
        self.network.carries_commands_to(machine)
            && worker.is_none_or(|worker| self.reaches(controller, &worker.zone))
            && !self.machines.hung.contains(machine)
    }

    /// Whether nothing keeps a machine from taking tasks.
    pub fn is_usable(&self, machine: &str) -> bool {
        self.network.carries_commands_to(machine)
            && self.network.carries_heartbeats_of(machine)
            && !self.machines.hung.contains(machine)
    }
}
