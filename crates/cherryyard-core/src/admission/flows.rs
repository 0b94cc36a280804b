//! Flows, each with a dense index: a flow is all jobs of one class and team.

use std::collections::HashMap;
use std::sync::Arc;

/// Index of a flow.
pub type Flow = u16;

/// Largest number of classes with flows of their own. Jobs of further classes use the flow of their
/// team without a class, so that users who invent class names take no memory and gain no share.
const MAX_CLASSES: usize = 64;

/// Class and team of a flow.
#[derive(Clone, Debug)]
struct FlowKey {
    team: u32,
    /// Empty for the flow of a team's jobs whose class has no flow of its own.
    class: Arc<str>,
}

/// All flows so far. Each team has one for jobs whose class has no flow of its own.
#[derive(Clone, Debug, Default)]
pub struct Flows {
    /// Flow by class and team index.
    index: HashMap<Arc<str>, Vec<Option<Flow>>>,
    /// Class and team by flow.
    keys: Vec<FlowKey>,
    teams: usize,
}

impl Flows {
    /// Creates the flows of `teams` teams for jobs whose class has no flow of its own.
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

    /// Returns the flow of a class and team, and creates it if the limit on classes allows.
    pub fn intern(&mut self, team: u32, class: &str) -> Flow {
        let team_index = team as usize;
        let team_flow = team.min(self.teams.saturating_sub(1) as u32) as Flow;
        if team_index >= self.teams || class.is_empty() {
            return team_flow;
        }
        if !self.index.contains_key(class) {
            if self.index.len() >= MAX_CLASSES {
                return team_flow;
            }
            self.index.insert(class.into(), vec![None; self.teams]);
        }
        let Some((class, flows)) = self.index.get_key_value(class) else {
            return team_flow;
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

    /// Returns the team index of a flow.
    pub fn team(&self, flow: Flow) -> u32 {
        self.keys.get(flow as usize).map_or(0, |key| key.team)
    }

    /// Returns the class of a flow; empty for a team's flow of all classes without one of their
    /// own.
    pub fn class(&self, flow: Flow) -> &str {
        self.keys.get(flow as usize).map_or("", |key| &key.class)
    }

    /// Returns the number of flows.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there are no flows.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}

#[cfg(test)]
mod tests;
