//! Images that the machines of a shard hold.

use serde::{Deserialize, Serialize};

/// Images that a shard's machines hold, so that a restarted owner knows them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ImagesRecord {
    /// Images and their sizes.
    pub i: Vec<(String, f64)>,
    /// Machines, and which of the images each holds, last used last. Written by
    /// earlier builds, and still read.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub h: Vec<(String, Vec<usize>)>,
    /// How all machines' names begin.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub p: String,
    /// The same in a few bytes for each machine, so that a large shard's record
    /// stays below the value limit: `rest of the name:images`, each image a
    /// character of [`IMAGE_CHARS`] by its place in `i`, with blanks between.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub m: String,
}

/// Characters that stand for the first 62 images of a record; others are left out.
pub const IMAGE_CHARS: &str = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";

impl ImagesRecord {
    /// The record of `held`, a machine and its images each, in at most `most`
    /// bytes of JSON: beyond that the last machines are left out.
    pub fn pack(images: Vec<(String, f64)>, held: &[(&str, Vec<usize>)], most: usize) -> Self {
        let chars = IMAGE_CHARS.as_bytes();
        let common = |a: &str, b: &str| {
            let same = a.bytes().zip(b.bytes()).take_while(|(a, b)| a == b);
            same.count()
        };
        let odd = |name: &str| name.bytes().any(|b| b <= b' ' || b == b':' || b >= 127);
        let held: Vec<_> = held.iter().filter(|h| !odd(h.0)).collect();
        let first = held.first().map_or("", |h| h.0);
        let prefix = held.iter().map(|h| common(first, h.0)).min().unwrap_or(0);
        let mut record = Self {
            p: first[..prefix].to_string(),
            i: images,
            ..Self::default()
        };
        let room = most.saturating_sub(serde_json::to_vec(&record).map_or(most, |v| v.len()) + 10);
        for (name, images) in held {
            if record.m.len() + name.len() - prefix + images.len() + 2 > room {
                break;
            }
            if !record.m.is_empty() {
                record.m.push(' ');
            }
            record.m.push_str(&name[prefix..]);
            record.m.push(':');
            let known = images.iter().filter_map(|&i| chars.get(i));
            record.m.extend(known.map(|&c| char::from(c)));
        }
        record
    }

    /// Machines and the images that each holds, last used last.
    pub fn held(&self) -> impl Iterator<Item = (String, Vec<usize>)> + '_ {
        let packed = self.m.split_ascii_whitespace().filter_map(|one| {
            let (rest, images) = one.split_once(':')?;
            let images = images.chars().filter_map(|c| IMAGE_CHARS.find(c));
            Some((format!("{}{rest}", self.p), images.collect()))
        });
        self.h.iter().cloned().chain(packed)
    }

    /// Whether every image that a machine is said to hold is there.
    pub fn is_sound(&self) -> bool {
        self.held()
            .all(|(_, held)| held.iter().all(|&i| i < self.i.len()))
    }
}

#[cfg(test)]
mod tests;
