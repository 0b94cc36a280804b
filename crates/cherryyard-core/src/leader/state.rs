//! State of the leader. Every controller keeps it, so that a takeover is quick.

use super::bulk_creation::BulkCreation;
use super::capacity_reports::CapacityReports;
use super::cycle_transaction::CycleTransaction;
use super::history_compaction::HistoryCompaction;
use super::leadership::Leadership;
use super::rebalancing::Rebalancing;
use super::scale_out::ScaleOut;
use crate::{Config, Millis, Mirror};
use cherryyard_wire::cloud::MachineType;
use cherryyard_wire::peer::CapacityReport;
use cherryyard_wire::record::Key;

/// State of the leader, by concern.
#[derive(Debug)]
pub struct Leader {
    pub(crate) leadership: Leadership,
    /// Whether something has changed since the last cycle.
    pub(crate) needs_cycle: bool,
    /// Time of the last cycle.
    pub(crate) cycle_ran_at: Millis,
    pub(crate) cycle_transaction: CycleTransaction,
    pub(crate) capacities: CapacityReports,
    pub(crate) rebalancing: Rebalancing,
    pub(crate) scale_out: ScaleOut,
    pub(crate) history_compaction: HistoryCompaction,
    pub(crate) bulk_creation: BulkCreation,
    /// Time at which pages of the admission log were last compacted.
    pub(crate) pages_compacted_at: Millis,
    /// Time since which every controller has supported dependencies.
    pub(crate) dependencies_supported_since: Option<Millis>,
    /// Whether the warning that operators' attributes are too large to store has been logged.
    pub(crate) attributes_warning_logged: bool,
}

impl Leader {
    pub(crate) fn new(config: &Config, now: Millis) -> Self {
        Self {
            leadership: Leadership::new(now),
            needs_cycle: true,
            cycle_ran_at: now,
            cycle_transaction: CycleTransaction::new(now),
            capacities: CapacityReports::new(config.shards()),
            rebalancing: Rebalancing::new(),
            scale_out: ScaleOut::new(now),
            history_compaction: HistoryCompaction::new(config, now),
            bulk_creation: BulkCreation::new(config, now),
            pages_compacted_at: now,
            dependencies_supported_since: None,
            attributes_warning_logged: false,
        }
    }

    /// Applies the write rates of a changed configuration.
    pub(crate) fn set_write_rates(&mut self, config: &Config, now: Millis) {
        self.history_compaction.set_write_rate(config, now);
        self.bulk_creation.set_write_rate(config, now);
    }

    /// Returns whether this controller leads: it has acquired the leader lease, and the state that
    /// it has read shows that lease.
    pub(crate) fn leads(&self, mirror: &Mirror) -> bool {
        self.leadership.leading_token().is_some_and(|token| {
            mirror.revision(Key::Leader) == token && mirror.store_revision >= token
        })
    }

    /// Returns the time at which this controller last learnt that it had acquired the leader lease;
    /// before its first lease, the start of the controller.
    pub(crate) fn leading_since(&self) -> Millis {
        self.leadership.leading_since()
    }

    /// Returns whether the controller with this name holds the leader lease.
    pub(crate) fn is_held_by(&self, mirror: &Mirror, label: &str) -> bool {
        let lease = mirror.leader_lease.as_ref();
        lease.is_some_and(|lease| lease.label == label)
    }

    /// Gives up the leadership if the state service shows another lease, or none.
    pub(crate) fn check_leadership(&mut self, mirror: &Mirror) {
        self.leadership
            .check_stored_token(mirror.revision(Key::Leader));
    }

    /// Stores a shard's capacity report, unless it is malformed or from a previous owner.
    pub(crate) fn record_capacity_report(&mut self, report: CapacityReport, now: Millis) {
        if self.capacities.receive(report, now) {
            self.needs_cycle = true;
        }
    }

    /// Returns the cores of all machines that their shards' owners can use.
    pub(crate) fn total_cores(&self, machine_types: &[MachineType]) -> f64 {
        self.capacities.total_cores(machine_types)
    }
}
