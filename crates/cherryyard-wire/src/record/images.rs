//! Record of the images that the machines of a shard hold.

use serde::{Deserialize, Serialize};

/// Images that a shard's machines hold, stored so that a restarted owner can read them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Names of the images and their sizes in GB.
    #[serde(rename = "i")]
    pub images: Vec<(String, f64)>,
    /// Machine names, and the indexes in `images` of the images that each machine holds, the
    /// most recently used one last. Written by earlier builds, and still read.
    #[serde(default, rename = "h", skip_serializing_if = "Vec::is_empty")]
    pub legacy_machines: Vec<(String, Vec<usize>)>,
    /// Common prefix of the names of all machines in `machines`.
    #[serde(default, rename = "p", skip_serializing_if = "String::is_empty")]
    pub name_prefix: String,
    /// Machines and their images in a few bytes per machine, so that a large shard's record
    /// stays below the value limit. Each machine is written as `rest of the name:images`, with
    /// one character of [`IMAGE_CHARS`] per image, chosen by the image's index in `images`.
    /// Machines are separated by spaces.
    #[serde(default, rename = "m", skip_serializing_if = "String::is_empty")]
    pub machines: String,
}

/// Characters that represent the first 62 images of a record; further images are left out.
pub const IMAGE_CHARS: &str = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

/// Bytes that the field `machines` takes in JSON besides its text, rounded up.
const MACHINES_FIELD_BYTES: usize = 10;
/// Bytes of the separators between a machine's name and its images, and between machines.
const SEPARATOR_BYTES: usize = 2;

/// Returns whether a machine's name consists of visible ASCII characters without `:`, the
/// separator before its images.
fn can_be_packed(name: &str) -> bool {
    name.bytes().all(|b| b > b' ' && b != b':' && b < 127)
}

fn common_prefix_bytes(a: &str, b: &str) -> usize {
    let same = a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b);
    same.count()
}

impl ImagesRecord {
    /// Returns the record of `held`, which lists machines with the indexes of their images, in
    /// at most `max_bytes` bytes of JSON. Machines that no longer fit, from the first such one
    /// on, are left out, and so are machines whose names cannot be packed.
    pub fn pack(images: Vec<(String, f64)>, held: &[(&str, Vec<usize>)], max_bytes: usize) -> Self {
        let chars = IMAGE_CHARS.as_bytes();
        let held: Vec<_> = held
            .iter()
            .filter(|machine| can_be_packed(machine.0))
            .collect();
        let first = held.first().map_or("", |machine| machine.0);
        let prefix_lengths = held
            .iter()
            .map(|machine| common_prefix_bytes(first, machine.0));
        let prefix = prefix_lengths.min().unwrap_or(0);
        let mut record = Self {
            name_prefix: first[..prefix].to_string(),
            images,
            ..Self::default()
        };
        let header_bytes = serde_json::to_vec(&record).map_or(max_bytes, |json| json.len());
        let free_bytes = max_bytes.saturating_sub(header_bytes + MACHINES_FIELD_BYTES);
        for (name, images) in held {
            if record.machines.len() + name.len() - prefix + images.len() + SEPARATOR_BYTES
                > free_bytes
            {
                break;
            }
            if !record.machines.is_empty() {
                record.machines.push(' ');
            }
            record.machines.push_str(&name[prefix..]);
            record.machines.push(':');
            let image_chars = images.iter().filter_map(|&i| chars.get(i));
            record.machines.extend(image_chars.map(|&c| char::from(c)));
        }
        record
    }

    /// Returns the machines and the indexes of the images that each one holds, the most recently
    /// used image last.
    pub fn held(&self) -> impl Iterator<Item = (String, Vec<usize>)> + '_ {
        let packed = self
            .machines
            .split_ascii_whitespace()
            .filter_map(|machine| {
                let (rest, images) = machine.split_once(':')?;
                let images = images.chars().filter_map(|c| IMAGE_CHARS.find(c));
                Some((format!("{}{rest}", self.name_prefix), images.collect()))
            });
        self.legacy_machines.iter().cloned().chain(packed)
    }

    /// Returns whether every index of a held image refers to an image of the record.
    pub fn is_sound(&self) -> bool {
        self.held()
            .all(|(_, held)| held.iter().all(|&i| i < self.images.len()))
    }
}

#[cfg(test)]
mod tests;
