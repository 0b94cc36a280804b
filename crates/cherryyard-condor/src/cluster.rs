//! A file's procs as jobs, and as the chunks in which they are sent.

use crate::error::Warning;
use crate::macros::{CLUSTER, PROCESS, STEP};
use cherryyard_wire::condor::{Chunk, Template};
use cherryyard_wire::job::{MAX_TASKS, job_id};
use std::sync::Arc;

/// Procs that differ by their numbers only: an array.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// Its template.
    pub template: usize,
    /// The first of its procs.
    pub first: u64,
    /// How many there are.
    pub tasks: u32,
    /// What its procs run, command by command; `$(Process)`, `$(Step)` and `$(Cluster)`
    /// stand for what is each proc's own.
    pub described: Arc<Vec<(String, String)>>,
}

/// What a submit file queues.
#[derive(Clone, Debug, Default)]
pub struct Cluster {
    /// Templates of jobs.
    pub templates: Vec<Template>,
    /// Jobs, in the order of their procs.
    pub groups: Vec<Group>,
    /// What is accepted without effect.
    pub warnings: Vec<Warning>,
}

impl Cluster {
    /// How many procs there are.
    pub fn procs(&self) -> u64 {
        self.groups.iter().map(|g| u64::from(g.tasks)).sum()
    }

    /// Adds procs: to the last group if they belong to it.
    pub(crate) fn add(
        &mut self,
        template: usize,
        described: &Arc<Vec<(String, String)>>,
        mut n: u32,
    ) {
        let mut first = self
            .groups
            .last()
            .map_or(0, |g| g.first + u64::from(g.tasks));
        // A step is counted anew for each item.
        let steps = described.iter().any(|d| d.1.contains(STEP));
        if let Some(last) = self.groups.last_mut()
            && last.template == template
            && !steps
            && *last.described == **described
        {
            let more = n.min(MAX_TASKS - last.tasks);
            last.tasks += more;
            first += u64::from(more);
            n -= more;
        }
        while n > 0 {
            let tasks = n.min(MAX_TASKS);
            self.groups.push(Group {
                template,
                first,
                tasks,
                described: described.clone(),
            });
            first += u64::from(tasks);
            n -= tasks;
        }
    }

    /// The chunks in which it is sent, each of at most `most` bytes of JSON where a
    /// single job allows it.
    pub fn chunks(&self, most: usize) -> Vec<Chunk> {
        let size = |t: &Template| serde_json::to_vec(t).map_or(most, |v| v.len()) + 1;
        let sizes: Vec<usize> = self.templates.iter().map(size).collect();
        let mut all = vec![Chunk::default()];
        let mut places: Vec<Option<u32>> = vec![None; self.templates.len()];
        let mut bytes = 20;
        for group in &self.groups {
            let same =
                |r: &(u32, u32, u32)| Some(r.0) == places[group.template] && r.1 == group.tasks;
            if let Some(last) = all.last_mut()
                && let Some(run) = last.runs.last_mut().filter(|r| same(r))
            {
                run.2 += 1;
                continue;
            }
            // A run of numbers takes at most this much.
            let new = places[group.template].map_or(sizes[group.template], |_| 0) + 32;
            if bytes + new > most && bytes > 20 {
                all.push(Chunk::default());
                places.fill(None);
                bytes = 20;
            }
            bytes += places[group.template].map_or(sizes[group.template], |_| 0) + 32;
            if let Some(chunk) = all.last_mut() {
                let place = *places[group.template].get_or_insert_with(|| {
                    chunk.templates.push(self.templates[group.template].clone());
                    chunk.templates.len() as u32 - 1
                });
                chunk.runs.push((place, group.tasks, 1));
            }
        }
        all
    }

    /// What its jobs run, a line of JSON each, for whoever uploads descriptions to the
    /// workers; `first` is the number of its first job.
    pub fn descriptions(&self, first: u64) -> impl Iterator<Item = serde_json::Value> + '_ {
        self.groups.iter().enumerate().map(move |(i, group)| {
            let text = |t: &String| t.replace(CLUSTER, &first.to_string());
            let of = group.described.iter();
            let described: serde_json::Map<String, serde_json::Value> = of
                .map(|(name, value)| (name.clone(), text(value).into()))
                .collect();
            serde_json::json!({ "id": job_id(first + i as u64), "first_proc": group.first,
                "tasks": group.tasks, "run": described })
        })
    }

    /// What one proc runs, its number in place.
    pub fn proc(&self, proc: u64) -> Option<Vec<(String, String)>> {
        let group = self.groups.iter();
        let group = group.rev().find(|g| g.first <= proc)?;
        let step = proc - group.first;
        (step < u64::from(group.tasks)).then(|| {
            let text = |t: &String| {
                let t = t.replace(PROCESS, &proc.to_string());
                t.replace(STEP, &step.to_string())
            };
            group
                .described
                .iter()
                .map(|d| (d.0.clone(), text(&d.1)))
                .collect()
        })
    }
}
