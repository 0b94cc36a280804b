//! What a leader remembers; every controller keeps it, so that taking over is quick.

use super::bulk_creation::BulkCreation;
use super::history_compaction::HistoryCompaction;
use super::provisioning_times::ProvisioningTimes;
use crate::needs::Needs;
use crate::{Config, Millis, Mirror};
use cherryyard_wire::cloud::ProvisionRequest;
use cherryyard_wire::peer::CapacityReport;
use cherryyard_wire::record::Key;
use std::cell::RefCell;
use std::collections::HashMap;

/// Whether this controller leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipPhase {
    /// Someone else leads, or nobody.
    Follower,
    /// Our lease is under way.
    Acquiring,
    /// We lead, with this revision.
    Leading(u64),
}

/// What moves a controller from one phase to another.
#[derive(Clone, Copy, Debug)]
pub enum LeadershipEvent {
    /// We have sent a lease.
    Sent,
    /// It was applied.
    Applied(u64),
    /// It was not.
    Failed,
    /// The state service shows another lease, or none.
    Gone,
}

impl LeadershipPhase {
    /// The one place where the phase changes.
    pub fn after(self, event: LeadershipEvent) -> Self {
        match (self, event) {
            (Self::Follower, LeadershipEvent::Sent) => Self::Acquiring,
            (_, LeadershipEvent::Applied(revision)) => Self::Leading(revision),
            (Self::Acquiring, LeadershipEvent::Failed) => Self::Follower,
            (Self::Leading(_), LeadershipEvent::Gone) => Self::Follower,
            (same, _) => same,
        }
    }
}

/// What a count of the tasks that fit into a report's room depends on: the job's
/// signature, whether only machines with the image count, up to which tier, and
/// whether arrays make way.
pub(crate) type FitsKey = (u64, bool, u16, bool);

/// A shard's last report, and what has been given to it since.
#[derive(Clone, Debug)]
pub(crate) struct ShardCapacity {
    pub(crate) report: CapacityReport,
    pub(crate) at: Millis,
    /// Not reported, but put together from what else is known.
    pub(crate) assumed: bool,
    /// How many tasks fit, as far as it has been counted.
    pub(crate) fits: RefCell<HashMap<FitsKey, u32>>,
    pub(crate) debits: Vec<(Millis, Needs)>,
}

/// A provisioning request under way or answered.
#[derive(Clone, Debug)]
pub(crate) struct ProvisionedBatch {
    pub(crate) at: Millis,
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    /// Machine names, once answered.
    pub(crate) hosts: Vec<String>,
}

/// The leader's state; every controller keeps one, so that taking over is quick.
#[derive(Debug)]
pub struct Leader {
    pub(crate) phase: LeadershipPhase,
    /// The last lease by which we have led.
    pub(crate) leadership_token: u64,
    pub(crate) acquire_after: Millis,
    pub(crate) leaderless_since: Option<Millis>,
    pub(crate) capacities: Vec<Option<ShardCapacity>>,
    /// How many reports have been heard, and how many had been when overflow last
    /// found nothing that could be moved, and when that was.
    pub(crate) capacity_reports_received: u64,
    pub(crate) overflowed: (u64, Millis),
    /// When pages of new jobs were last tidied.
    pub(crate) compacted_at: Millis,
    pub(crate) pending: bool,
    /// When the transaction under way was made.
    pub(crate) sent_at: Millis,
    pub(crate) retry_after: Millis,
    pub(crate) wait_revision: u64,
    pub(crate) dirty: bool,
    pub(crate) planned_at: Millis,
    pub(crate) since: Millis,
    pub(crate) provision_counter: u64,
    pub(crate) provisioning: Option<ProvisionRequest>,
    pub(crate) provision_after: Millis,
    pub(crate) refused: HashMap<(String, String, bool), Millis>,
    pub(crate) provisioned: Vec<ProvisionedBatch>,
    /// What machines take to be up.
    pub(crate) provisioning_times: ProvisioningTimes,
    pub(crate) ownerless: HashMap<usize, Millis>,
    /// Services lately handed over: not again at once, or one went round among
    /// shards whose reports are a moment old.
    pub(crate) handed: HashMap<u64, Millis>,
    /// Whether it has been said that attributes cannot be kept.
    pub(crate) warned: bool,
    /// The history's packer.
    pub(crate) history_compaction: HistoryCompaction,
    /// Since when every controller has been able to work with dependencies.
    pub(crate) able_since: Option<Millis>,
    /// The creator of submissions' jobs.
    pub(crate) bulk_creation: BulkCreation,
}

impl Leader {
    /// Takes over the shares of the write budget from a changed configuration.
    pub(crate) fn set_write_rates(&mut self, config: &Config, now: Millis) {
        self.history_compaction.set_write_rate(config, now);
        self.bulk_creation.set_write_rate(config, now);
    }

    pub(crate) fn new(config: &Config, now: Millis) -> Self {
        Self {
            phase: LeadershipPhase::Follower,
            leadership_token: 0,
            acquire_after: now,
            leaderless_since: None,
            capacities: vec![None; config.shards()],
            capacity_reports_received: 0,
            overflowed: (0, f64::NEG_INFINITY),
            compacted_at: now,
            pending: false,
            sent_at: f64::NEG_INFINITY,
            retry_after: now,
            wait_revision: 0,
            dirty: true,
            planned_at: now,
            since: now,
            provision_counter: 0,
            provisioning: None,
            provision_after: now + 8000.0,
            refused: HashMap::new(),
            provisioned: Vec::new(),
            provisioning_times: ProvisioningTimes::default(),
            ownerless: HashMap::new(),
            handed: HashMap::new(),
            warned: false,
            history_compaction: HistoryCompaction::new(config, now),
            able_since: None,
            bulk_creation: BulkCreation::new(config, now),
        }
    }

    /// Whether we lead beyond doubt.
    pub(crate) fn leads(&self, mirror: &Mirror) -> bool {
        matches!(self.phase, LeadershipPhase::Leading(s)
            if mirror.revision(Key::Leader) == s && mirror.store_revision >= s)
    }

    pub(crate) fn is_label(&self, mirror: &Mirror, label: &str) -> bool {
        mirror
            .leader_lease
            .as_ref()
            .is_some_and(|c| c.label == label)
    }

    pub(crate) fn check_leadership(&mut self, mirror: &Mirror) {
        if let LeadershipPhase::Leading(revision) = self.phase
            && mirror.revision(Key::Leader) != revision
        {
            self.phase = self.phase.after(LeadershipEvent::Gone);
        }
    }

    /// Takes a shard's report, unless it is from an owner before.
    pub(crate) fn hear(&mut self, report: CapacityReport, now: Millis) {
        let Some(place) = self.capacities.get_mut(report.shard as usize) else {
            return;
        };
        if !report.is_sound() {
            return;
        }
        if place
            .as_ref()
            .is_some_and(|r| r.report.revision > report.revision)
        {
            return;
        }
        let debits = place
            .take()
            .map(|r| r.debits.into_iter().filter(|d| now - d.0 < 700.0).collect())
            .unwrap_or_default();
        *place = Some(ShardCapacity {
            report,
            at: now,
            assumed: false,
            debits,
            fits: RefCell::default(),
        });
        self.capacity_reports_received += 1;
        self.dirty = true;
    }
}
