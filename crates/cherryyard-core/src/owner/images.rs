//! What is known of the images on a shard's machines.

use super::*;

/// Least time between two records of a shard's images.
const IMAGES_MS: f64 = 10_000.0;

impl Controller {
    pub(crate) fn note_images(&mut self, host: u32) {
        let tasks: Vec<Task> = self.mirror.on_host(host).map(|(task, _)| task).collect();
        let Some(m) = self.machines.get_mut(&host) else {
            return;
        };
        let machine_type = self
            .mirror
            .catalog
            .machine_types
            .iter()
            .find(|k| k.sku == m.machine_type);
        let cache = machine_type.map_or(0.0, |k| k.cache_gb);
        for task in tasks {
            if let Some(open) = self.mirror.open.get(&task.0) {
                // A task runs, or has completed, only once its image is there.
                let whole = m.reported.get(&task).is_some_and(|s| {
                    matches!(s.status, TaskStatus::Running | TaskStatus::Saving)
                        || s.cause == Some(ExitCause::Done)
                });
                m.use_image(&open.spec.image, open.spec.image_gb, whole, cache);
            }
        }
    }

    /// Takes note of a machine that reports for the first time, with the images
    /// that its owner before knew it to hold.
    pub(crate) fn meet(
        &mut self,
        host: u32,
        shard_id: usize,
        report: &WorkerHeartbeat,
        now: Millis,
    ) {
        if self.machines.contains_key(&host) {
            return;
        }
        let mut m = Machine::new(host, shard_id, report, now);
        let stored = &self.mirror.images[shard_id];
        if let Some(held) = stored.held.get(&report.host) {
            for (name, gb) in held.iter().filter_map(|&i| stored.record.i.get(i)) {
                m.use_image(name, *gb, true, f64::INFINITY);
            }
        }
        self.machines.insert(host, m);
    }

    /// The record of the shard's images, if it is due and has changed. It costs
    /// a write that others may need more, so it is a rare one; but it goes with
    /// a busy shard's scheduling cycles too, or a restart there forgets every image.
    pub(crate) fn images_change(&mut self, shard_id: usize, now: Millis) -> Option<Apply> {
        // A new owner first hears from all machines: a record of the few that
        // have reported would forget what the others hold.
        let shard = &self.shards[shard_id];
        if now - shard.images_at < IMAGES_MS || now - shard.owned_since < IMAGES_MS {
            return None;
        }
        self.shards[shard_id].images_at = now;
        let mut images: Vec<(String, f64)> = Vec::new();
        let mut all = Vec::new();
        let ours = |m: &&Machine| m.shard == shard_id && m.token_ours();
        for m in self.machines.values().filter(ours) {
            let mut held = Vec::new();
            for image in m.images.iter().filter(|i| i.whole) {
                let known = images.iter().position(|(name, _)| *name == image.name);
                held.push(known.unwrap_or_else(|| {
                    images.push((image.name.clone(), image.gb));
                    images.len() - 1
                }));
            }
            all.push((self.mirror.hosts.name(m.host), held));
        }
        let record = ImagesRecord::pack(images, &all, self.config.value_bytes);
        let value = Json::of(&record);
        if record == self.mirror.images[shard_id].record
            || value.text().len() > self.config.value_bytes
        {
            return None;
        }
        Some(Apply::put(record::images_key(shard_id), value))
    }
}
