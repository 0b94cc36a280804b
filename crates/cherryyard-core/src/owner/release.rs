//! Release requests: machines that are returned to the cloud, and the reasons.

use crate::Millis;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::machine::{Machine, MachineEvent};

/// Maximum number of machines in one release request.
pub(super) const MAX_RELEASED: usize = 90;
/// Time after which the release of a machine may be requested again.
pub(super) const RELEASE_RETRY_MS: f64 = 10_000.0;

/// Reason for releasing a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
pub(super) enum ReleaseReason {
    /// An earlier release request has not been answered.
    #[strum(serialize = "requested before")]
    RequestedBefore,
    #[strum(serialize = "failed")]
    Failed,
    #[strum(serialize = "silent")]
    Silent,
    /// Tasks fail on the machine and complete elsewhere.
    #[strum(serialize = "failing")]
    Failing,
    /// Messages to the machine have not arrived for a long time.
    #[strum(serialize = "unreachable")]
    Unreachable,
    #[strum(serialize = "idle")]
    Idle,
    /// The machine was provisioned but is still not up long after it should be.
    #[strum(serialize = "never up")]
    NeverUp,
    /// The machine is up but has never reported.
    #[strum(serialize = "never heard of")]
    NeverReported,
    /// The machine is silent with tasks of services, which restart elsewhere sooner with the proof
    /// of its release.
    #[strum(serialize = "silent with services")]
    SilentWithServices,
    #[strum(serialize = "silent with cancelled tasks")]
    SilentWithCancelledTasks,
    /// The machine has assignments but has not reached the shard's new owner.
    #[strum(serialize = "has not found its new owner")]
    HasNotReachedOwner,
    /// The announced time of the cloud's reclaim has passed.
    #[strum(serialize = "reclaimed by the cloud")]
    Reclaimed,
    /// The machine has assignments but is not in the cloud's list.
    #[strum(serialize = "not listed")]
    NotListed,
}

impl ReleaseReason {
    /// Returns the reason as it appears in the log.
    pub(super) fn text(self) -> &'static str {
        self.into()
    }
}

impl Machine {
    /// Records that the release of the machine is requested, and the time from which it may be
    /// requested again.
    pub(super) fn request_release(&mut self, retry_at: Millis) {
        self.change(MachineEvent::ReleaseRequested);
        self.release_after = retry_at;
    }
}

impl Controller {
    /// Requests the release of machines of a shard, including machines that have never reported.
    pub(super) fn release_hosts(
        &mut self,
        hosts: Vec<u32>,
        shard_id: usize,
        reason: ReleaseReason,
        now: Millis,
    ) {
        let names = hosts
            .into_iter()
            .map(|host| self.note_release_request(host, shard_id, reason, now))
            .collect();
        self.send_release(names);
    }

    /// Sends a release request, unless it names no machine.
    pub(super) fn send_release(&mut self, names: Vec<String>) {
        if !names.is_empty() {
            self.effects.push(Effect::Release(names));
        }
    }

    /// Records that the release of a machine is requested, and returns its name. A machine that has
    /// never reported is registered, so that the answer to the request can resolve its assignments.
    pub(super) fn note_release_request(
        &mut self,
        host: u32,
        shard_id: usize,
        reason: ReleaseReason,
        now: Millis,
    ) -> String {
        let name = self.mirror.hosts.name(host).to_string();
        tracing::info!(machine = %name, shard = shard_id, reason = reason.text(), "instance release requested");
        let entry = self.cloud_machines.get(&name);
        let machine = self.machines.entry(host).or_insert_with(|| match entry {
            Some(entry) => Machine::from_listing(host, shard_id, entry, now),
            None => Machine::of_unknown_pool(host, shard_id, now),
        });
        machine.request_release(now + RELEASE_RETRY_MS);
        name
    }
}
