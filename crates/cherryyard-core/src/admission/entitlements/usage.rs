//! What each flow runs and has waiting, and so asks for.

use crate::admission::fair_share_guarantee::FlowDemand;
use crate::admission::flows::Flow;
use crate::machine::Task;
use crate::{Config, Mirror};
use std::collections::{HashMap, HashSet};

/// What a flow runs and has waiting, by shard, in cores.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowUse {
    pub running: Vec<f64>,
    pub waiting: Vec<f64>,
}

impl FlowUse {
    fn new(shards: usize) -> Self {
        Self {
            running: vec![0.0; shards],
            waiting: vec![0.0; shards],
        }
    }

    /// In all shards.
    pub(super) fn total_running(&self) -> f64 {
        self.running.iter().sum()
    }

    /// In all shards.
    pub(super) fn total_waiting(&self) -> f64 {
        self.waiting.iter().sum()
    }
}

/// What each flow runs and has waiting, as the assignments and divisions say.
pub(crate) fn usage_by_flow(mirror: &Mirror, shards: usize) -> Vec<FlowUse> {
    let mut usage = vec![FlowUse::new(shards); mirror.flows.len()];
    for (&(shard_id, job), assignments) in &mirror.tasks.assignments {
        if let Some(open) = mirror.open.get(&job)
            && let Some(used) = usage.get_mut(open.flow as usize)
        {
            used.running[shard_id] += open.spec.cores * assignments.assignments.len() as f64;
        }
    }
    for shard_id in 0..shards {
        for (job, tasks) in &mirror.tasks.waiting[shard_id] {
            if let Some(open) = mirror.open.get(job)
                && let Some(used) = usage.get_mut(open.flow as usize)
            {
                used.waiting[shard_id] += open.spec.cores * f64::from(tasks.len());
            }
        }
    }
    for job in &mirror.undivided {
        if let Some(open) = mirror.open.get(job)
            && let Some(used) = usage.get_mut(open.flow as usize)
        {
            let each = open.spec.cores * f64::from(open.spec.task_count) / shards as f64;
            used.waiting.iter_mut().for_each(|waiting| *waiting += each);
        }
    }
    usage
}

/// What each flow asks for: of what waits no more than its team's limit allows.
pub(crate) fn demand_by_flow(
    usage: &[FlowUse],
    mirror: &Mirror,
    config: &Config,
) -> Vec<FlowDemand> {
    let teams = config.teams.len();
    let team_of = |flow: usize| mirror.flows.team(flow as Flow) as usize;
    let mut running_by_team = vec![0.0; teams];
    let mut waiting_by_team = vec![0.0; teams];
    for (flow, used) in usage.iter().enumerate() {
        running_by_team[team_of(flow)] += used.total_running();
        waiting_by_team[team_of(flow)] += used.total_waiting();
    }
    let demand = |(flow, used): (usize, &FlowUse)| {
        let team = team_of(flow);
        let startable = (config.teams[team].cores_max - running_by_team[team]).max(0.0);
        let waiting = waiting_by_team[team];
        let startable_share = if waiting > startable {
            startable / waiting
        } else {
            1.0
        };
        let settings = config.tuning.admission.of(mirror.flows.class(flow as Flow));
        FlowDemand {
            demand: used.total_running() + used.total_waiting() * startable_share,
            team: team as u32,
            weight: settings.weight,
            least_served: settings.least,
            max_share: settings.share,
        }
    };
    usage.iter().enumerate().map(demand).collect()
}

/// Cores that each flow runs in a shard, without tasks that are proven `gone`.
pub(crate) fn running_in_shard(
    mirror: &Mirror,
    shard_id: usize,
    gone: &HashSet<Task>,
) -> HashMap<Flow, f64> {
    let mut running: HashMap<Flow, f64> = HashMap::new();
    let in_shard = (shard_id, 0)..=(shard_id, u64::MAX);
    for (&(_, job), assignments) in mirror.tasks.assignments.range(in_shard) {
        if let Some(open) = mirror.open.get(&job) {
            *running.entry(open.flow).or_default() +=
                open.spec.cores * assignments.assignments.len() as f64;
        }
    }
    for (job, _) in gone {
        if let Some(open) = mirror.open.get(job)
            && let Some(running) = running.get_mut(&open.flow)
        {
            *running -= open.spec.cores;
        }
    }
    running
}
