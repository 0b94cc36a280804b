//! Tracking of the images that a shard's machines hold, and the stored record of these images.

use crate::Millis;
use crate::controller::Controller;
use crate::machine::{Machine, ReportedTask, Task};
use cherryyard_wire::record::{self, ImagesRecord};
use cherryyard_wire::state::{Change, Json};
use cherryyard_wire::worker::{ExitCause, TaskStatus, WorkerHeartbeat};

/// Minimum time between two records of a shard's images.
const IMAGES_RECORD_INTERVAL_MS: f64 = 10_000.0;

impl Controller {
    /// Records the images of a machine's assigned tasks as used.
    pub(crate) fn record_image_use(&mut self, host: u32) {
        let tasks: Vec<Task> = self
            .mirror
            .assignments_on(host)
            .map(|(task, _)| task)
            .collect();
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let machine_type = machine.type_in(&self.mirror.catalog.machine_types);
        let cache_gb = machine_type.map_or(0.0, |t| t.cache_gb);
        for task in tasks {
            if let Some(open) = self.mirror.open.get(&task.0) {
                let reported = machine.reported.get(&task);
                let is_whole = reported.is_some_and(shows_whole_image);
                machine.use_image(&open.spec.image, open.spec.image_gb, is_whole, cache_gb);
            }
        }
    }

    /// Registers a machine that reports for the first time, with the images that the previous owner
    /// recorded for it.
    pub(crate) fn register_machine(
        &mut self,
        host: u32,
        shard_id: usize,
        heartbeat: &WorkerHeartbeat,
        now: Millis,
    ) {
        if self.machines.contains_key(&host) {
            return;
        }
        let mut machine = Machine::new(host, shard_id, heartbeat, now);
        let stored = &self.mirror.images[shard_id];
        if let Some(held) = stored.held.get(&heartbeat.host) {
            for (name, gb) in held.iter().filter_map(|&i| stored.record.images.get(i)) {
                machine.use_image(name, *gb, true, f64::INFINITY);
            }
        }
        self.machines.insert(host, machine);
    }

    /// Returns the change that stores the record of the shard's images, if a record is due, has
    /// changed, and is not too large. The record is rarely written, because it uses write budget
    /// that others may need more. It is nevertheless also added to the transactions of a busy
    /// shard, whose owner would otherwise lose all image information in a restart.
    pub(super) fn images_record_change(&mut self, shard_id: usize, now: Millis) -> Option<Change> {
        // A new owner first waits for reports of all machines: a record of the few that have
        // reported would drop the images of the others.
        let shard = &mut self.shards[shard_id];
        if now - shard.images_checked_at < IMAGES_RECORD_INTERVAL_MS
            || now - shard.lease.held_since() < IMAGES_RECORD_INTERVAL_MS
        {
            return None;
        }
        shard.images_checked_at = now;
        let record = self.images_record(shard_id);
        let value = Json::of(&record);
        if record == self.mirror.images[shard_id].record
            || value.text().len() > self.config.value_bytes
        {
            return None;
        }
        Some(Change::put(record::images_key(shard_id), value))
    }

    /// Returns the record of the images that the shard's machines hold.
    fn images_record(&self, shard_id: usize) -> ImagesRecord {
        let mut images: Vec<(String, f64)> = Vec::new();
        let mut held_by_machine = Vec::new();
        for machine in self.machines.values() {
            if machine.shard != shard_id || !machine.shows_own_token() {
                continue;
            }
            let mut held = Vec::new();
            for image in machine.images.iter().filter(|image| image.is_complete) {
                let known = images.iter().position(|(name, _)| *name == image.name);
                held.push(known.unwrap_or_else(|| {
                    images.push((image.name.clone(), image.gb));
                    images.len() - 1
                }));
            }
            held_by_machine.push((self.mirror.hosts.name(machine.host), held));
        }
        ImagesRecord::pack(images, &held_by_machine, self.config.value_bytes)
    }
}

/// Returns whether a task's report shows that its image is on the machine: a task only runs, and so
/// only saves or completes, with the whole image.
fn shows_whole_image(reported: &ReportedTask) -> bool {
    matches!(reported.status, TaskStatus::Running | TaskStatus::Saving)
        || reported.cause == Some(ExitCause::Done)
}
