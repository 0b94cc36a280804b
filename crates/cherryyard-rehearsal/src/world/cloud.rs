//! The cloud: rentals, machines that come up, the list of machines.

use super::*;

impl World {
    /// Rentals whose answers were lost: their controllers know that by now.
    pub(super) fn give_hires_up(&mut self) {
        let now = self.now;
        let due = self.hires_lost.extract_if(.., |h| h.0 <= now);
        for (_, i, life, request) in due.collect::<Vec<_>>() {
            if let Some(n) = self.nodes[i].as_mut().filter(|_| self.lives[i] == life) {
                n.hired(&request, Err(false), now);
                self.effects(i);
            }
        }
    }

    /// The cloud rents machines, if it has any; under the same name the same ones.
    pub(super) fn hire(&mut self, request: &HireRequest) -> Option<Vec<String>> {
        if let Some(names) = self.hired.get(&request.hire) {
            return Some(names.clone());
        }
        self.hires.push(request.clone());
        let boot_ms = self.boot_ms?;
        let first = 100_000 + self.booting.len() + self.workers.len() + self.hires.len() * 100;
        let names = (0..request.number as usize).map(|k| format!("host-{:06}", first + k));
        let names: Vec<String> = names.collect();
        let on_the_way = (self.now + boot_ms, self.now, request.yard.clone());
        for name in &names {
            self.booting.insert(name.clone(), on_the_way.clone());
        }
        self.say(format!("{} rented", names.len()));
        self.hired.insert(request.hire.clone(), names.clone());
        Some(names)
    }

    /// Rented machines come up.
    pub(super) fn boot(&mut self) {
        let now = self.now;
        let up = self.booting.extract_if(.., |_, b| b.0 <= now);
        for (name, (_, _, zone)) in up.collect::<Vec<_>>() {
            let mut worker = WorkerStandIn::new(&name, &zone, 0, 10_000.0, now);
            worker.run_ms = self.rented_run_ms;
            self.workers.insert(name, worker);
        }
    }

    /// Every controller reads the cloud's list of machines.
    pub fn list_machines(&mut self) {
        let now = self.now;
        let starting = self.booting.iter().map(|(name, b)| HostEntry {
            id: name.clone(),
            addr: format!("{name}:9000"),
            host_kind: "m4".into(),
            yard: b.2.clone(),
            borrowed: false,
            status: HostStatus::Starting,
            held_s: (now - b.1) / 1000.0,
        });
        let starting: Vec<HostEntry> = starting.collect();
        let hosts: Vec<HostEntry> = self
            .workers
            .values()
            .map(|w| HostEntry {
                id: w.host.clone(),
                addr: format!("{}:9000", w.host),
                host_kind: w.kind.clone(),
                yard: w.yard.clone(),
                borrowed: false,
                status: HostStatus::Running,
                held_s: (now - w.rented_at) / 1000.0,
            })
            .chain(starting)
            .collect();
        for i in 0..self.nodes.len() {
            if let Some(node) = &mut self.nodes[i] {
                node.listed(hosts.clone(), now);
            }
            self.effects(i);
        }
    }

    /// What the cores of all shards did since the last call.
    pub fn account(&mut self) -> CoreSeconds {
        let mut all = CoreSeconds::default();
        for node in self.nodes.iter_mut().flatten() {
            for (_, cores) in node.accounts() {
                all.add(&cores);
            }
        }
        all
    }

    /// What a machine's type has, in cores and GB.
    pub fn whole(&self, kind: &str) -> (f64, f64) {
        if kind == "m8" {
            (8.0, 32.0)
        } else {
            (4.0, 16.0)
        }
    }
}
