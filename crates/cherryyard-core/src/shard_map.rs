//! Which shard a machine belongs to: a pure function of its zone and name, so that all
//! controllers agree on it without asking.

use std::collections::HashMap;

/// How the machines are divided among the controllers' shards.
#[derive(Clone, Debug)]
pub struct ShardMap {
    by_zone: HashMap<String, Vec<usize>>,
    count: usize,
}

impl ShardMap {
    /// One shard per controller, given by name and zone in the order that all controllers agree
    /// on.
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

    /// How many shards there are.
    pub fn count(&self) -> usize {
        self.count
    }

    /// The shard of machine `host` in `zone`: that of the controller in its zone; with
    /// none or several there, the machines are spread by the number that ends their names.
    pub fn shard(&self, zone: &str, host: &str) -> usize {
        let digits = host
            .rfind(|c: char| !c.is_ascii_digit())
            .map_or(host, |i| &host[i + 1..]);
        let number = match digits.parse::<u64>() {
            Ok(number) => number as usize,
            // A name without a number still needs one fixed shard.
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
