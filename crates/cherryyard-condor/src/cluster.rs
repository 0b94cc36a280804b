//! A file's procs as jobs, and as the chunks in which they are sent.

use crate::error::Warning;
use crate::placeholders::{CLUSTER, PROCESS, STEP};
use cherryyard_wire::condor::{Chunk, Template};
use cherryyard_wire::job::{MAX_TASKS, job_id};
use std::sync::Arc;

/// Bytes of JSON that a chunk takes beside its templates and runs.
const CHUNK_FRAME: usize = 20;
/// Most bytes of JSON that a run of jobs takes.
const RUN_BYTES: usize = 32;

/// Procs that differ by their numbers only: an array, which is one job.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The index of its template.
    pub template: usize,
    /// The number of its first proc.
    pub first: u64,
    /// How many procs there are.
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
        self.groups.iter().map(|group| u64::from(group.tasks)).sum()
    }

    /// Adds procs, to the last group if they differ from its procs by their numbers only.
    pub(crate) fn add(
        &mut self,
        template: usize,
        described: &Arc<Vec<(String, String)>>,
        mut count: u32,
    ) {
        let mut first = self
            .groups
            .last()
            .map_or(0, |group| group.first + u64::from(group.tasks));
        // Steps are counted from 0 again for each item.
        let has_steps = described.iter().any(|(_, text)| text.contains(STEP));
        if let Some(last) = self.groups.last_mut()
            && last.template == template
            && !has_steps
            && *last.described == **described
        {
            let added = count.min(MAX_TASKS - last.tasks);
            last.tasks += added;
            first += u64::from(added);
            count -= added;
        }
        while count > 0 {
            let tasks = count.min(MAX_TASKS);
            self.groups.push(Group {
                template,
                first,
                tasks,
                described: described.clone(),
            });
            first += u64::from(tasks);
            count -= tasks;
        }
    }

    /// The chunks in which it is sent, each of at most `max_bytes` of JSON unless a single
    /// job takes more.
    pub fn chunks(&self, max_bytes: usize) -> Vec<Chunk> {
        let template_bytes = self
            .templates
            .iter()
            .map(|template| serde_json::to_vec(template).map_or(max_bytes, |json| json.len()) + 1)
            .collect();
        let mut chunks = ChunkBuilder {
            templates: &self.templates,
            template_bytes,
            max_bytes,
            done: Vec::new(),
            current: Chunk::default(),
            positions: vec![None; self.templates.len()],
            bytes: CHUNK_FRAME,
        };
        for group in &self.groups {
            chunks.add(group);
        }
        chunks.done.push(chunks.current);
        chunks.done
    }

    /// What its jobs run, as a JSON object each, for whoever uploads descriptions to the
    /// workers; `first` is the number of its first job.
    pub fn descriptions(&self, first: u64) -> impl Iterator<Item = serde_json::Value> + '_ {
        self.groups.iter().enumerate().map(move |(index, group)| {
            let text = |text: &String| text.replace(CLUSTER, &first.to_string());
            let described: serde_json::Map<String, serde_json::Value> = group
                .described
                .iter()
                .map(|(name, value)| (name.clone(), text(value).into()))
                .collect();
            serde_json::json!({ "id": job_id(first + index as u64), "first_proc": group.first,
                "tasks": group.tasks, "run": described })
        })
    }

    /// What one proc runs, with its numbers filled in; `None` if there is no such proc.
    pub fn proc(&self, proc: u64) -> Option<Vec<(String, String)>> {
        let group = self.groups.iter().rev().find(|group| group.first <= proc)?;
        let step = proc - group.first;
        if step >= u64::from(group.tasks) {
            return None;
        }
        let filled_in = |text: &String| {
            text.replace(PROCESS, &proc.to_string())
                .replace(STEP, &step.to_string())
        };
        let commands = group.described.iter();
        Some(
            commands
                .map(|(name, text)| (name.clone(), filled_in(text)))
                .collect(),
        )
    }
}

/// Distributes groups to chunks.
struct ChunkBuilder<'a> {
    templates: &'a [Template],
    /// Bytes of JSON of each template.
    template_bytes: Vec<usize>,
    max_bytes: usize,
    /// Chunks that are full.
    done: Vec<Chunk>,
    current: Chunk,
    /// The position of each template in the current chunk, if it is there.
    positions: Vec<Option<u32>>,
    /// Most bytes of JSON of the current chunk.
    bytes: usize,
}

impl ChunkBuilder<'_> {
    fn add(&mut self, group: &Group) {
        let position = self.positions[group.template];
        if let Some(run) = self.current.runs.last_mut()
            && Some(run.0) == position
            && run.1 == group.tasks
        {
            run.2 += 1;
            return;
        }
        if self.bytes + self.cost(group) > self.max_bytes && self.bytes > CHUNK_FRAME {
            self.done.push(std::mem::take(&mut self.current));
            self.positions.fill(None);
            self.bytes = CHUNK_FRAME;
        }
        self.bytes += self.cost(group);
        let position = *self.positions[group.template].get_or_insert_with(|| {
            self.current
                .templates
                .push(self.templates[group.template].clone());
            self.current.templates.len() as u32 - 1
        });
        self.current.runs.push((position, group.tasks, 1));
    }

    /// Most bytes by which a group enlarges the current chunk.
    fn cost(&self, group: &Group) -> usize {
        match self.positions[group.template] {
            Some(_) => RUN_BYTES,
            None => RUN_BYTES + self.template_bytes[group.template],
        }
    }
}
