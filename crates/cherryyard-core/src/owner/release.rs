//! Release requests: machines that are handed back to the cloud, and why.

use crate::Millis;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::machine::{Machine, MachineEvent};
use cherryyard_wire::cloud::{Instance, InstanceStatus};

/// Machines in one release request.
pub(super) const MAX_RELEASED: usize = 90;
/// Time after which the release of a machine may be requested again.
pub(super) const RELEASE_RETRY_MS: f64 = 10_000.0;

/// Why a machine is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
pub(super) enum ReleaseReason {
    /// A release that was requested before has not been answered.
    #[strum(serialize = "requested before")]
    RequestedBefore,
    #[strum(serialize = "failed")]
    Failed,
    #[strum(serialize = "silent")]
    Silent,
    /// Tasks fail on it that complete elsewhere.
    #[strum(serialize = "failing")]
    Failing,
    /// It has long received nothing of what is sent to it.
    #[strum(serialize = "unreachable")]
    Unreachable,
    #[strum(serialize = "idle")]
    Idle,
    /// It was provisioned, and is not up long after it should be.
    #[strum(serialize = "never up")]
    NeverUp,
    /// It is up, and has never reported.
    #[strum(serialize = "never heard of")]
    NeverHeardOf,
    /// It has services' tasks, which run elsewhere sooner with the proof of its release.
    #[strum(serialize = "silent with services")]
    SilentWithServices,
    #[strum(serialize = "silent with cancelled tasks")]
    SilentWithCancelledTasks,
    /// It has assignments, and has not found the shard's new owner.
    #[strum(serialize = "has not found its new owner")]
    HasNotFoundOwner,
    /// The cloud was to take it by now.
    #[strum(serialize = "reclaimed by the cloud")]
    Reclaimed,
    /// It has assignments, and the cloud does not list it.
    #[strum(serialize = "not listed")]
    NotListed,
}

impl ReleaseReason {
    /// The reason as the log names it.
    pub(super) fn text(self) -> &'static str {
        self.into()
    }
}

impl Machine {
    /// Notes that its release is requested, and from when on it may be again.
    pub(super) fn request_release(&mut self, retry_at: Millis) {
        self.change(MachineEvent::ReleaseAsked);
        self.release_after = retry_at;
    }
}

impl Controller {
    /// Requests the release of machines of a shard, whether they have reported or not.
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

    /// Notes that the release of a machine, known or not, is requested; returns its name.
    pub(super) fn note_release_request(
        &mut self,
        host: u32,
        shard_id: usize,
        reason: ReleaseReason,
        now: Millis,
    ) -> String {
        let name = self.mirror.hosts.name(host).to_string();
        tracing::info!(machine = %name, shard = shard_id, reason = reason.text(), "instance release requested");
        let machine = self
            .machines
            .entry(host)
            .or_insert_with(|| Machine::unheard(host, shard_id, &unlisted_instance(&name), now));
        machine.request_release(now + RELEASE_RETRY_MS);
        name
    }
}

/// A machine of which nothing but the name is known.
fn unlisted_instance(name: &str) -> Instance {
    Instance {
        id: name.to_string(),
        addr: String::new(),
        machine_type: String::new(),
        zone: String::new(),
        spot: false,
        status: InstanceStatus::Other,
        held_s: 0.0,
    }
}
