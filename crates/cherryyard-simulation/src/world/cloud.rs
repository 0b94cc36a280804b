//! The cloud: provisioning requests, machines that come up, the list of machines.

use super::*;

impl World {
    /// provisioning requests whose answers were lost: their controllers know that by now.
    pub(super) fn give_up_provisions(&mut self) {
        let now = self.now;
        let due = self.provisions_lost.extract_if(.., |h| h.0 <= now);
        for (_, i, life, request) in due.collect::<Vec<_>>() {
            if let Some(n) = self.controllers[i]
                .as_mut()
                .filter(|_| self.lives[i] == life)
            {
                n.provisioned(&request, Err(ProvisionError::NoAnswer), now);
                self.effects(i);
            }
        }
    }

    /// The cloud scales out machines, if it has any; under the same name the same ones.
    pub(super) fn provision(&mut self, request: &ProvisionRequest) -> Option<Vec<String>> {
        if let Some(names) = self.provisioned.get(&request.request_id) {
            return Some(names.clone());
        }
        self.provision_requests.push(request.clone());
        let provisioning_ms = self.provisioning_ms?;
        let first =
            100_000 + self.booting.len() + self.workers.len() + self.provision_requests.len() * 100;
        let names = (0..request.number as usize).map(|k| format!("host-{:06}", first + k));
        let names: Vec<String> = names.collect();
        let on_the_way = (self.now + provisioning_ms, self.now, request.zone.clone());
        for name in &names {
            self.booting.insert(name.clone(), on_the_way.clone());
        }
        self.say(format!("{} rented", names.len()));
        self.provisioned
            .insert(request.request_id.clone(), names.clone());
        Some(names)
    }

    /// Rented machines come up.
    pub(super) fn boot(&mut self) {
        let now = self.now;
        let up = self.booting.extract_if(.., |_, b| b.0 <= now);
        for (name, (_, _, zone)) in up.collect::<Vec<_>>() {
            let mut worker = WorkerStandIn::new(&name, &zone, 0, 10_000.0, now);
            worker.run_ms = self.provisioned_run_ms;
            self.workers.insert(name, worker);
        }
    }

    /// Every controller reads the cloud's list of machines.
    pub fn list_machines(&mut self) {
        let now = self.now;
        let starting = self.booting.iter().map(|(name, b)| Instance {
            id: name.clone(),
            addr: format!("{name}:9000"),
            machine_type: "m4".into(),
            zone: b.2.clone(),
            spot: false,
            status: InstanceStatus::Starting,
            held_s: (now - b.1) / 1000.0,
        });
        let starting: Vec<Instance> = starting.collect();
        let hosts: Vec<Instance> = self
            .workers
            .values()
            .map(|w| Instance {
                id: w.host.clone(),
                addr: format!("{}:9000", w.host),
                machine_type: w.machine_type.clone(),
                zone: w.zone.clone(),
                spot: false,
                status: InstanceStatus::Running,
                held_s: (now - w.provisioned_at) / 1000.0,
            })
            .chain(starting)
            .collect();
        for i in 0..self.controllers.len() {
            if let Some(controller) = &mut self.controllers[i] {
                controller.listed(hosts.clone(), now);
            }
            self.effects(i);
        }
    }

    /// What the cores of all shards did since the last call.
    pub fn account(&mut self) -> CoreSeconds {
        let mut all = CoreSeconds::default();
        for controller in self.controllers.iter_mut().flatten() {
            for (_, cores) in controller.accounts() {
                all.add(&cores);
            }
        }
        all
    }

    /// What a machine's type has, in cores and GB.
    pub fn whole(&self, machine_type: &str) -> (f64, f64) {
        if machine_type == "m8" {
            (8.0, 32.0)
        } else {
            (4.0, 16.0)
        }
    }
}
