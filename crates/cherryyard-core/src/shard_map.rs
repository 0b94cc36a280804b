//! Assignment of machines to shards. It is a pure function of a machine's zone and name, so that
//! all controllers agree on it without communication.

use std::collections::HashMap;

/// Division of the machines among the controllers' shards.
#[derive(Clone, Debug)]
pub struct ShardMap {
    by_zone: HashMap<String, Vec<usize>>,
    count: usize,
}

impl ShardMap {
    /// Creates a map with one shard per controller. `controllers` lists their names and zones, in
    /// the same order at every controller.
    pub fn new(controllers: &[(String, String)]) -> Self {
        let mut by_zone: HashMap<String, Vec<usize>> = HashMap::new();
        for (i, (_, zone)) in controllers.iter().enumerate() {
            by_zone.entry(zone.clone()).or_default().push(i);
        }
        Self {
            by_zone,
            count: controllers.len(),
        }
    }

    /// Returns the number of shards.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the shard of machine `host` in `zone`, which is that of the zone's controller. If
    /// the zone has several controllers, the number at the end of the machine's name selects one
    /// of them; if the zone has none, that number selects one of all shards.
    pub fn shard(&self, zone: &str, host: &str) -> usize {
        let digits = host
            .rfind(|c: char| !c.is_ascii_digit())
            .map_or(host, |i| &host[i + 1..]);
        let number = match digits.parse::<u64>() {
            Ok(number) => number as usize,
            // A name without a number also needs a fixed shard, which a hash of the name selects.
            Err(_) => host.bytes().fold(0usize, |hash, byte| {
                hash.wrapping_mul(31).wrapping_add(byte.into())
            }),
        };
        match self.by_zone.get(zone) {
            Some(shards) => shards[number % shards.len()],
            None => number % self.count,
        }
    }
}
