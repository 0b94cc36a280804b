//! Usage of each flow (cores of its running and its waiting tasks), and the demand that follows.

use crate::admission::fair_share_guarantee::FlowDemand;
use crate::admission::flows::Flow;
use crate::machine::Task;
use crate::{Config, Mirror};
use std::collections::{HashMap, HashSet};

/// Cores of a flow's running tasks and of its waiting tasks, by shard.
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

    /// Returns the cores of the running tasks in all shards.
    pub(super) fn total_running(&self) -> f64 {
        self.running.iter().sum()
    }

    /// Returns the cores of the waiting tasks in all shards.
    pub(super) fn total_waiting(&self) -> f64 {
        self.waiting.iter().sum()
    }
}

/// Returns the usage of each flow by the assignments and the division of jobs among the shards.
/// Jobs that are not divided yet count as waiting in all shards alike.
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

/// Returns the demand of each flow: its running tasks, and the part of its waiting tasks that the
/// limit of its team allows.
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
            least_served: settings.least_served,
            max_share: settings.max_share,
        }
    };
    usage.iter().enumerate().map(demand).collect()
}

/// Returns the cores that each flow runs in a shard, without the tasks in `gone`.
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
