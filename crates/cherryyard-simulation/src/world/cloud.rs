//! Stand-in of the cloud: provisioning requests, starting machines and the list of machines.

use super::World;
use crate::WorkerStandIn;
use cherryyard_core::account::CoreSeconds;
use cherryyard_core::leader::ProvisionError;
use cherryyard_wire::cloud::{Instance, InstanceStatus, ProvisionRequest};
use std::collections::BTreeMap;

/// Timeout of a controller for the response to a provisioning request.
const PROVISION_TIMEOUT_MS: f64 = 2500.0;

/// Stand-in of the cloud.
#[derive(Debug)]
pub struct Cloud {
    /// Whether the cloud fails all requests for releases.
    pub down: bool,
    /// Number of failed requests for releases.
    pub releases_failed: usize,
    /// Interval at which controllers read the cloud's list of machines; none: only when the
    /// test calls [`World::list_machines`].
    pub list_interval_ms: Option<f64>,
    last_listed_at: f64,
    /// Whether the responses to provisioning requests are lost; the requests are carried out.
    pub lose_provision_responses: bool,
    /// Provisioning requests received so far; repetitions of requests that were carried out are
    /// not included.
    pub provision_requests: Vec<ProvisionRequest>,
    /// Names of the machines that were provisioned, by request id.
    provisioned: BTreeMap<String, Vec<String>>,
    lost_responses: Vec<LostResponse>,
    /// Time from the provisioning of a machine until it is up; none: no machines can be
    /// provisioned.
    pub provisioning_ms: Option<f64>,
    /// Run time of tasks on provisioned machines.
    pub provisioned_run_ms: f64,
    /// Machines that have been provisioned and are not yet up, by name.
    pub booting: BTreeMap<String, BootingMachine>,
}

/// A machine that has been provisioned and is not yet up.
#[derive(Clone, Debug)]
pub struct BootingMachine {
    up_at: f64,
    provisioned_at: f64,
    zone: String,
}

/// A provisioning request whose response is lost, and the time at which its controller stops
/// waiting.
#[derive(Debug)]
struct LostResponse {
    due: f64,
    controller: usize,
    incarnation: u64,
    request: ProvisionRequest,
}

impl Default for Cloud {
    fn default() -> Self {
        Self {
            down: false,
            releases_failed: 0,
            list_interval_ms: None,
            last_listed_at: 0.0,
            lose_provision_responses: false,
            provision_requests: Vec::new(),
            provisioned: BTreeMap::new(),
            lost_responses: Vec::new(),
            provisioning_ms: None,
            provisioned_run_ms: f64::INFINITY,
            booting: BTreeMap::new(),
        }
    }
}

impl Cloud {
    /// Drops the response to a controller's provisioning request.
    pub(super) fn drop_response(
        &mut self,
        controller: usize,
        incarnation: u64,
        request: ProvisionRequest,
        now: f64,
    ) {
        self.lost_responses.push(LostResponse {
            due: now + PROVISION_TIMEOUT_MS,
            controller,
            incarnation,
            request,
        });
    }

    /// Returns the machines that have been provisioned and are not yet up, as the cloud lists
    /// them.
    fn starting_instances(&self, now: f64) -> Vec<Instance> {
        let starting = self.booting.iter().map(|(name, booting)| {
            let held_s = (now - booting.provisioned_at) / 1000.0;
            instance(name, "m4", &booting.zone, InstanceStatus::Starting, held_s)
        });
        starting.collect()
    }
}

fn instance(
    name: &str,
    machine_type: &str,
    zone: &str,
    status: InstanceStatus,
    held_s: f64,
) -> Instance {
    Instance {
        id: name.into(),
        addr: format!("{name}:9000"),
        machine_type: machine_type.into(),
        zone: zone.into(),
        spot: false,
        status,
        held_s,
    }
}

impl World {
    /// Reports the provisioning requests whose responses were lost as unanswered to their
    /// controllers, once these stop waiting.
    pub(super) fn time_out_provisions(&mut self) {
        let now = self.now;
        let due = self.cloud.lost_responses.extract_if(.., |l| l.due <= now);
        for lost in due.collect::<Vec<_>>() {
            if let Some(controller) =
                self.controller_of_incarnation(lost.controller, lost.incarnation)
            {
                controller.provisioned(&lost.request, Err(ProvisionError::NoAnswer), now);
                self.apply_effects(lost.controller);
            }
        }
    }

    /// Provisions machines, or returns none if the cloud has none. A repeated request id
    /// returns the same machines.
    pub(super) fn provision(&mut self, request: &ProvisionRequest) -> Option<Vec<String>> {
        let cloud = &mut self.cloud;
        if let Some(names) = cloud.provisioned.get(&request.request_id) {
            return Some(names.clone());
        }
        cloud.provision_requests.push(request.clone());
        let up_at = self.now + cloud.provisioning_ms?;
        let first = 100_000
            + cloud.booting.len()
            + self.workers.len()
            + cloud.provision_requests.len() * 100;
        let names = (0..request.number as usize).map(|k| format!("host-{:06}", first + k));
        let names: Vec<String> = names.collect();
        let booting = BootingMachine {
            up_at,
            provisioned_at: self.now,
            zone: request.zone.clone(),
        };
        for name in &names {
            cloud.booting.insert(name.clone(), booting.clone());
        }
        let request_id = request.request_id.clone();
        cloud.provisioned.insert(request_id, names.clone());
        self.trace_line(format!("{} rented", names.len()));
        Some(names)
    }

    /// Starts the workers of provisioned machines that are up.
    pub(super) fn boot_machines(&mut self) {
        let now = self.now;
        let up = self.cloud.booting.extract_if(.., |_, b| b.up_at <= now);
        for (name, booting) in up.collect::<Vec<_>>() {
            let lease_ms = self.setup.lease_ms();
            let mut worker = WorkerStandIn::new(&name, &booting.zone, 0, lease_ms, now);
            worker.run_ms = self.cloud.provisioned_run_ms;
            self.workers.insert(name, worker);
        }
    }

    /// Gives the cloud's list of machines to every controller at the configured interval.
    pub(super) fn list_machines_when_due(&mut self) {
        let last = self.cloud.last_listed_at;
        let every_ms = self.cloud.list_interval_ms;
        if every_ms.is_some_and(|every_ms| self.now >= last + every_ms) {
            self.cloud.last_listed_at = self.now;
            self.list_machines();
        }
    }

    /// Gives the cloud's list of machines to every controller.
    pub fn list_machines(&mut self) {
        let now = self.now;
        let running = self.workers.values().map(|worker| {
            let held_s = (now - worker.provisioned_at) / 1000.0;
            let status = InstanceStatus::Running;
            instance(
                &worker.host,
                &worker.machine_type,
                &worker.zone,
                status,
                held_s,
            )
        });
        let starting = self.cloud.starting_instances(now);
        let instances: Vec<Instance> = running.chain(starting).collect();
        for i in 0..self.controllers.len() {
            if let Some(controller) = &mut self.controllers[i] {
                controller.handle_machine_list(instances.clone(), now);
            }
            self.apply_effects(i);
        }
    }

    /// Returns how the cores of all shards were used since the previous call.
    pub fn account(&mut self) -> CoreSeconds {
        let mut all = CoreSeconds::default();
        for controller in self.controllers.iter_mut().flatten() {
            for (_, cores) in controller.accounts() {
                all.add(&cores);
            }
        }
        all
    }

    /// Returns the capacity of a machine type, in cores and GB of memory.
    pub fn machine_capacity(&self, machine_type: &str) -> (f64, f64) {
        if machine_type == "m8" {
            (8.0, 32.0)
        } else {
            (4.0, 16.0)
        }
    }
}
