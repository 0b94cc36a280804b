//! Groups a file's procs into jobs, and splits the jobs into the chunks in which they are
//! sent.

use crate::error::Warning;
use crate::placeholders::{CLUSTER, PROCESS, STEP};
use cherryyard_wire::condor::{Chunk, Template};
use cherryyard_wire::job::{MAX_TASKS, job_id};
use std::sync::Arc;

/// JSON bytes of a chunk in addition to its templates and runs.
const CHUNK_OVERHEAD_BYTES: usize = 20;
/// Upper bound on the JSON bytes of one run, which is a sequence of jobs with the same template
/// and number of tasks.
const MAX_RUN_BYTES: usize = 32;

/// An array, which is one job: procs that differ only in their numbers.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// The index of the group's template.
    pub template: usize,
    /// The number of the group's first proc.
    pub first: u64,
    /// The number of procs in the group.
    pub tasks: u32,
    /// The commands and attributes of the group's procs, in which `$(Process)`, `$(Step)`
    /// and `$(Cluster)` are placeholders for the numbers of each proc.
    pub description: Arc<Vec<(String, String)>>,
}

/// The result of reading a submit file: the jobs that it queues.
#[derive(Clone, Debug, Default)]
pub struct Cluster {
    /// The templates of the jobs.
    pub templates: Vec<Template>,
    /// The jobs, in the order of their procs.
    pub groups: Vec<Group>,
    /// The warnings about statements without effect and about possible mistakes.
    pub warnings: Vec<Warning>,
}

impl Cluster {
    /// Returns the number of procs.
    pub fn procs(&self) -> u64 {
        self.groups.iter().map(|group| u64::from(group.tasks)).sum()
    }

    /// Adds procs, to the last group if they differ from its procs only in their numbers.
    pub(crate) fn add_procs(
        &mut self,
        template: usize,
        description: &Arc<Vec<(String, String)>>,
        mut count: u32,
    ) {
        let mut first = self
            .groups
            .last()
            .map_or(0, |group| group.first + u64::from(group.tasks));
        // Steps are counted from 0 again for each item, so procs of different items that
        // use `$(Step)` cannot share a group.
        let has_steps = description.iter().any(|(_, text)| text.contains(STEP));
        if let Some(last) = self.groups.last_mut()
            && last.template == template
            && !has_steps
            && *last.description == **description
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
                description: description.clone(),
            });
            first += u64::from(tasks);
            count -= tasks;
        }
    }

    /// Splits the cluster into chunks of at most `max_bytes` of JSON each, unless a single
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
            full: Vec::new(),
            current: Chunk::default(),
            positions: vec![None; self.templates.len()],
            bytes: CHUNK_OVERHEAD_BYTES,
        };
        for group in &self.groups {
            chunks.add_group(group);
        }
        chunks.full.push(chunks.current);
        chunks.full
    }

    /// Returns one JSON object for each job with the commands that it runs, for the user
    /// who uploads descriptions to the workers; `first` is the number of the first job.
    pub fn descriptions(&self, first: u64) -> impl Iterator<Item = serde_json::Value> + '_ {
        self.groups.iter().enumerate().map(move |(index, group)| {
            let text = |text: &String| text.replace(CLUSTER, &first.to_string());
            let description: serde_json::Map<String, serde_json::Value> = group
                .description
                .iter()
                .map(|(name, value)| (name.clone(), text(value).into()))
                .collect();
            serde_json::json!({ "id": job_id(first + index as u64), "first_proc": group.first,
                "tasks": group.tasks, "run": description })
        })
    }

    /// Returns the commands of one proc, with its numbers filled in; `None` if there is no
    /// such proc.
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
        let commands = group.description.iter();
        Some(
            commands
                .map(|(name, text)| (name.clone(), filled_in(text)))
                .collect(),
        )
    }
}

/// Distributes groups among chunks.
struct ChunkBuilder<'a> {
    templates: &'a [Template],
    /// JSON bytes of each template.
    template_bytes: Vec<usize>,
    max_bytes: usize,
    /// Chunks that are full.
    full: Vec<Chunk>,
    current: Chunk,
    /// The position of each template within the current chunk, if the chunk contains it.
    positions: Vec<Option<u32>>,
    /// Upper bound on the JSON bytes of the current chunk.
    bytes: usize,
}

impl ChunkBuilder<'_> {
    fn add_group(&mut self, group: &Group) {
        let position = self.positions[group.template];
        if let Some(run) = self.current.runs.last_mut()
            && Some(run.0) == position
            && run.1 == group.tasks
        {
            run.2 += 1;
            return;
        }
        if self.bytes + self.max_added_bytes(group) > self.max_bytes
            && self.bytes > CHUNK_OVERHEAD_BYTES
        {
            self.full.push(std::mem::take(&mut self.current));
            self.positions.fill(None);
            self.bytes = CHUNK_OVERHEAD_BYTES;
        }
        self.bytes += self.max_added_bytes(group);
        let position = *self.positions[group.template].get_or_insert_with(|| {
            self.current
                .templates
                .push(self.templates[group.template].clone());
            self.current.templates.len() as u32 - 1
        });
        self.current.runs.push((position, group.tasks, 1));
    }

    /// Returns an upper bound on the bytes by which a group enlarges the current chunk.
    fn max_added_bytes(&self, group: &Group) -> usize {
        match self.positions[group.template] {
            Some(_) => MAX_RUN_BYTES,
            None => MAX_RUN_BYTES + self.template_bytes[group.template],
        }
    }
}
