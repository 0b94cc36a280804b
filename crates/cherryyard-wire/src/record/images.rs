//! Images that the machines of a shard hold.

use serde::{Deserialize, Serialize};

/// Images that a shard's machines hold, so that a restarted owner knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Images and their sizes in GB.
    #[serde(rename = "i")]
    pub images: Vec<(String, f64)>,
    /// Machines, and which of the images each holds, last used last. Written by
    /// earlier builds, and still read.
    #[serde(default, rename = "h", skip_serializing_if = "Vec::is_empty")]
    pub legacy_machines: Vec<(String, Vec<usize>)>,
    /// How all machines' names begin.
    #[serde(default, rename = "p", skip_serializing_if = "String::is_empty")]
    pub name_prefix: String,
    /// The same in a few bytes for each machine, so that a large shard's record
    /// stays below the value limit: `rest of the name:images`, each image a
    /// character of [`IMAGE_CHARS`] by its index in `images`, with blanks between.
    #[serde(default, rename = "m", skip_serializing_if = "String::is_empty")]
    pub machines: String,
}

/// Characters that stand for the first 62 images of a record; others are left out.
pub const IMAGE_CHARS: &str = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

/// Bytes that the field of packed machines takes in JSON beside its text, rounded up.
const MACHINES_FIELD_BYTES: usize = 10;
/// Bytes between a machine's name and its images, and between two machines.
const SEPARATOR_BYTES: usize = 2;

/// Whether a name holds nothing but visible ASCII, and no separator.
fn can_be_packed(name: &str) -> bool {
    name.bytes().all(|b| b > b' ' && b != b':' && b < 127)
}

fn common_prefix_bytes(a: &str, b: &str) -> usize {
    let same = a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b);
    same.count()
}

impl ImagesRecord {
    /// The record of `held`, a machine and its images each, in at most `most`
    /// bytes of JSON: beyond that the last machines are left out.
    pub fn pack(images: Vec<(String, f64)>, held: &[(&str, Vec<usize>)], most: usize) -> Self {
        let chars = IMAGE_CHARS.as_bytes();
        let held: Vec<_> = held.iter().filter(|h| can_be_packed(h.0)).collect();
        let first = held.first().map_or("", |h| h.0);
        let prefix_lengths = held.iter().map(|h| common_prefix_bytes(first, h.0));
        let prefix = prefix_lengths.min().unwrap_or(0);
        let mut record = Self {
            name_prefix: first[..prefix].to_string(),
            images,
            ..Self::default()
        };
        let header_bytes = serde_json::to_vec(&record).map_or(most, |json| json.len());
        let free_bytes = most.saturating_sub(header_bytes + MACHINES_FIELD_BYTES);
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
            let known = images.iter().filter_map(|&i| chars.get(i));
            record.machines.extend(known.map(|&c| char::from(c)));
        }
        record
    }

    /// Machines and the images that each holds, last used last.
    pub fn held(&self) -> impl Iterator<Item = (String, Vec<usize>)> + '_ {
        let packed = self.machines.split_ascii_whitespace().filter_map(|one| {
            let (rest, images) = one.split_once(':')?;
            let images = images.chars().filter_map(|c| IMAGE_CHARS.find(c));
            Some((format!("{}{rest}", self.name_prefix), images.collect()))
        });
        self.legacy_machines.iter().cloned().chain(packed)
    }

    /// Whether every image that a machine is said to hold is there.
    pub fn is_sound(&self) -> bool {
        self.held()
            .all(|(_, held)| held.iter().all(|&i| i < self.images.len()))
    }
}

#[cfg(test)]
mod tests;
