//! Flows: the jobs of one class and team, by dense index.

use std::collections::HashMap;
use std::sync::Arc;

/// A flow's index.
pub type Flow = u16;

/// Classes that have flows of their own; jobs of further classes go by their team alone,
/// so that invented names cost no memory and gain no share.
const MAX_CLASSES: usize = 64;

/// The class and team of a flow.
#[derive(Clone, Debug)]
struct FlowKey {
    team: u32,
    /// Empty for a team's jobs whose class has no flow of its own.
    class: Arc<str>,
}

/// The flows known so far. Each team has one for jobs whose class has none of its own.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    /// By class and team.
    index: HashMap<Arc<str>, Vec<Option<Flow>>>,
    /// By flow.
    keys: Vec<FlowKey>,
    teams: usize,
}

impl Flows {
    /// The flows of so many teams, before any job has come.
    pub fn new(teams: usize) -> Self {
        let class: Arc<str> = "".into();
        let key = |team: usize| FlowKey {
            team: team as u32,
            class: class.clone(),
        };
        Self {
            index: HashMap::new(),
            keys: (0..teams).map(key).collect(),
            teams,
        }
    }

    /// The flow of a team's jobs of a class.
    pub fn intern(&mut self, team: u32, class: &str) -> Flow {
        let team_index = team as usize;
        let by_team_alone = team.min(self.teams.saturating_sub(1) as u32) as Flow;
        if team_index >= self.teams || class.is_empty() {
            return by_team_alone;
        }
        if !self.index.contains_key(class) {
            if self.index.len() >= MAX_CLASSES {
                return by_team_alone;
            }
            self.index.insert(class.into(), vec![None; self.teams]);
        }
        let Some((class, flows)) = self.index.get_key_value(class) else {
            return by_team_alone;
        };
        if let Some(flow) = flows[team_index] {
            return flow;
        }
        let class = class.clone();
        let flow = self.keys.len() as Flow;
        if let Some(flows) = self.index.get_mut(&class) {
            flows[team_index] = Some(flow);
        }
        self.keys.push(FlowKey { team, class });
        flow
    }

    /// A flow's team.
    pub fn team(&self, flow: Flow) -> u32 {
        self.keys.get(flow as usize).map_or(0, |key| key.team)
    }

    /// A flow's class; empty for what has no flow of its own.
    pub fn class(&self, flow: Flow) -> &str {
        self.keys.get(flow as usize).map_or("", |key| &key.class)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

#[cfg(test)]
mod tests;
