//! Flows: the jobs of one class and team, by dense index.

use std::collections::HashMap;
use std::sync::Arc;

/// A flow's index.
pub type Flow = u16;

/// Classes that have flows of their own; what comes under further names goes by its
/// team alone, so that invented names cost no memory and gain no share.
const MOST_CLASSES: usize = 64;

/// The flows known so far. Each team has one for what has none of its own.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    index: HashMap<Arc<str>, Vec<Option<Flow>>>,
    list: Vec<(u32, Arc<str>)>,
    teams: usize,
}

impl Flows {
    /// The flows of so many teams, before any job has come.
    pub fn new(teams: usize) -> Self {
        let rest: Arc<str> = "".into();
        Self {
            index: HashMap::new(),
            list: (0..teams).map(|t| (t as u32, rest.clone())).collect(),
            teams,
        }
    }

    /// The flow of a team's jobs of a class.
    pub fn intern(&mut self, team: u32, class: &str) -> Flow {
        let t = team as usize;
        let rest = team.min(self.teams.saturating_sub(1) as u32) as Flow;
        if t >= self.teams || class.is_empty() {
            return rest;
        }
        if !self.index.contains_key(class) {
            if self.index.len() >= MOST_CLASSES {
                return rest;
            }
            self.index.insert(class.into(), vec![None; self.teams]);
        }
        let next = self.list.len() as Flow;
        let Some((class, flows)) = self
            .index
            .get_key_value(class)
            .map(|(k, v)| (k.clone(), v[t]))
        else {
            return rest;
        };
        flows.unwrap_or_else(|| {
            self.list.push((team, class.clone()));
            if let Some(flows) = self.index.get_mut(&class) {
                flows[t] = Some(next);
            }
            next
        })
    }

    /// A flow's team.
    pub fn team(&self, flow: Flow) -> u32 {
        self.list.get(flow as usize).map_or(0, |f| f.0)
    }

    /// A flow's class; empty for what has no flow of its own.
    pub fn class(&self, flow: Flow) -> &str {
        self.list.get(flow as usize).map_or("", |f| &f.1)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

#[cfg(test)]
mod tests;
