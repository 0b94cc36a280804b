//! Graph of the dependencies between jobs, in a form that bounds every walk over it.
//!
//! - Each job has a level, which is higher than the levels of its dependencies. Changes of
//!   priority and deadline pass from dependents to dependencies, so a walk that always takes the
//!   highest level next visits a job only after all its dependents, and thus once.
//! - Each job keeps what its dependents pass on to it in order, so that one dependent of many can
//!   change without a look at the others.
//! - Each job keeps the dependencies that are not done yet, so that the end of one of them is one
//!   step.

use super::dependency_steps::{DependencySteps, Walk, WalkKind};
use super::urgency::{Deadline, Urgency};
use cherryyard_wire::job::Rank;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// All priorities, from the highest.
const RANKS: [Rank; 4] = [Rank::Critical, Rank::High, Rank::Standard, Rank::BestEffort];

/// Wall-clock time in milliseconds by which a job has to be complete; infinity if it has no
/// deadline.
#[derive(Clone, Copy, Debug)]
struct DueTime(f64);

impl DueTime {
    fn of(urgency: Option<&Urgency>) -> Self {
        let deadline = urgency.and_then(|urgency| urgency.deadline);
        Self(deadline.map_or(f64::INFINITY, |deadline| deadline.complete_by(1.0)))
    }
}

impl Ord for DueTime {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl PartialOrd for DueTime {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for DueTime {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for DueTime {}

/// Open job that depends on another, ordered by the deadline that it passes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Dependent {
    due: DueTime,
    job: u64,
}

/// Job that depends on others, or on which others depend.
#[derive(Clone, Debug, Default)]
struct Node {
    /// Position in the order of visits, higher than those of the job's dependencies.
    level: u64,
    /// Open jobs that depend on this one, by the deadline that they pass on.
    dependents: BTreeSet<Dependent>,
    /// Number of dependents that pass on each priority, by the priority's index.
    dependents_by_rank: [usize; RANKS.len()],
    /// Dependencies that are not done, in ascending order.
    unmet: Vec<u64>,
    /// Priority and deadline that the job has passed on to its dependencies; none if it has passed
    /// on nothing yet, or is cancelled.
    passed_on: Option<Urgency>,
}

impl Node {
    fn is_unused(&self) -> bool {
        self.dependents.is_empty() && self.unmet.is_empty() && self.passed_on.is_none()
    }

    fn add_dependent(&mut self, job: u64, passed_on: Option<&Urgency>) {
        let due = DueTime::of(passed_on);
        if self.dependents.insert(Dependent { due, job })
            && let Some(urgency) = passed_on
        {
            self.dependents_by_rank[urgency.rank as usize] += 1;
        }
    }

    fn remove_dependent(&mut self, job: u64, passed_on: Option<&Urgency>) {
        let due = DueTime::of(passed_on);
        if self.dependents.remove(&Dependent { due, job })
            && let Some(urgency) = passed_on
        {
            self.dependents_by_rank[urgency.rank as usize] -= 1;
        }
    }

    /// Returns the highest priority that a dependent passes on.
    fn inherited_rank(&self) -> Option<Rank> {
        let mut ranks = RANKS.into_iter();
        ranks.find(|rank| self.dependents_by_rank[*rank as usize] > 0)
    }
}

/// Graph of the dependencies between jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct DependencyGraph {
    /// Jobs with dependencies or dependents; other jobs have no entry.
    nodes: HashMap<u64, Node>,
    /// Open jobs that are cancelled with a dependency, and the number of that dependency.
    pub cancelled: BTreeMap<u64, u64>,
    /// Jobs whose priority or deadline may have changed without their dependencies knowing, by
    /// level and number.
    changed: BTreeSet<(u64, u64)>,
    /// Jobs whose level may not be below the levels of their dependents, because they were inserted
    /// after these.
    out_of_order: BTreeSet<u64>,
    /// Steps of all walks over the graph.
    pub steps: DependencySteps,
}

impl DependencyGraph {
    /// Returns the open jobs that depend on a job.
    pub fn dependents(&self, job: u64) -> Vec<u64> {
        let node = self.nodes.get(&job);
        let dependents = node.into_iter().flat_map(|node| &node.dependents);
        dependents.map(|dependent| dependent.job).collect()
    }

    /// Returns whether open jobs depend on a job.
    pub fn has_dependents(&self, job: u64) -> bool {
        let node = self.nodes.get(&job);
        node.is_some_and(|node| !node.dependents.is_empty())
    }

    /// Returns the dependencies of a job that are not done, in ascending order.
    pub fn unmet(&self, job: u64) -> &[u64] {
        self.nodes.get(&job).map_or(&[], |node| &node.unmet)
    }

    /// Adds the dependencies of a job; `unmet` are those that are not done.
    pub fn link(&mut self, job: u64, dependencies: &[u64], unmet: Vec<u64>) {
        if dependencies.is_empty() {
            return;
        }
        let passed_on = self.nodes.get(&job).and_then(|node| node.passed_on);
        let mut highest = 0;
        for &dependency in dependencies {
            let node = self.nodes.entry(dependency).or_default();
            node.add_dependent(job, passed_on.as_ref());
            highest = highest.max(node.level);
        }
        self.nodes.entry(job).or_default().unmet = unmet;
        if self.raise_level(job, highest + 1) && self.has_dependents(job) {
            self.out_of_order.insert(job);
        }
    }

    /// Removes the dependencies of a job, and what it has passed on to them.
    pub fn unlink(&mut self, job: u64, dependencies: &[u64]) {
        if dependencies.is_empty() {
            return;
        }
        let mut passed_on = None;
        if let Some(node) = self.nodes.get_mut(&job) {
            passed_on = node.passed_on.take();
            node.unmet.clear();
        }
        for &dependency in dependencies {
            if let Some(node) = self.nodes.get_mut(&dependency) {
                node.remove_dependent(job, passed_on.as_ref());
            }
            self.drop_if_unused(dependency);
        }
        self.drop_if_unused(job);
    }

    fn drop_if_unused(&mut self, job: u64) {
        if let Some(node) = self.nodes.get(&job)
            && node.is_unused()
        {
            let level = node.level;
            if self.changed.remove(&(level, job)) {
                self.changed.insert((0, job));
            }
            self.nodes.remove(&job);
        }
    }

    /// Records that a dependency of a job is done; returns whether it was the last one.
    pub fn dependency_done(&mut self, job: u64, dependency: u64) -> bool {
        let Some(node) = self.nodes.get_mut(&job) else {
            return false;
        };
        let Ok(index) = node.unmet.binary_search(&dependency) else {
            return false;
        };
        node.unmet.remove(index);
        node.unmet.is_empty()
    }

    /// Returns a job's own priority and deadline combined with those that its dependents pass on.
    pub fn urgency(&self, job: u64, own: Urgency) -> Urgency {
        let Some(node) = self.nodes.get(&job) else {
            return own;
        };
        Urgency {
            rank: node
                .inherited_rank()
                .map_or(own.rank, |rank| rank.max(own.rank)),
            deadline: Deadline::earlier(own.deadline, self.inherited_deadline(node)),
        }
    }

    /// Returns the earliest deadline that a dependent passes on.
    fn inherited_deadline(&self, node: &Node) -> Option<Deadline> {
        let first = node.dependents.first()?;
        let passed_on = self.nodes.get(&first.job)?.passed_on;
        passed_on.and_then(|urgency| urgency.deadline)
    }

    /// Sets what a job passes on to its dependencies, and marks these as changed if it differs from
    /// before. Returns the number of dependencies that this concerns.
    pub fn pass_on(&mut self, job: u64, dependencies: &[u64], urgency: Option<Urgency>) -> usize {
        let Some(node) = self.nodes.get_mut(&job) else {
            return 0;
        };
        if dependencies.is_empty() || node.passed_on == urgency {
            return 0;
        }
        let previous = std::mem::replace(&mut node.passed_on, urgency);
        for &dependency in dependencies {
            if let Some(node) = self.nodes.get_mut(&dependency) {
                node.remove_dependent(job, previous.as_ref());
                node.add_dependent(job, urgency.as_ref());
            }
            self.mark_changed(dependency);
        }
        dependencies.len()
    }

    fn level(&self, job: u64) -> u64 {
        self.nodes.get(&job).map_or(0, |node| node.level)
    }

    /// Marks a job as one whose priority or deadline may have changed.
    pub fn mark_changed(&mut self, job: u64) {
        self.changed.insert((self.level(job), job));
    }

    /// Returns the next job that is marked as changed, all dependents of a job before it, and
    /// removes the mark.
    pub fn take_changed(&mut self) -> Option<u64> {
        self.changed.pop_last().map(|(_, job)| job)
    }

    /// Returns the number of jobs that are marked as changed.
    pub fn changed_count(&self) -> usize {
        self.changed.len()
    }

    /// Raises the level of a job to at least `level`; returns whether it was lower.
    fn raise_level(&mut self, job: u64, level: u64) -> bool {
        let Some(node) = self.nodes.get_mut(&job) else {
            return false;
        };
        if node.level >= level {
            return false;
        }
        let previous = std::mem::replace(&mut node.level, level);
        if self.changed.remove(&(previous, job)) {
            self.changed.insert((level, job));
        }
        true
    }

    /// Raises the levels of the dependents of jobs that were inserted after these, as in a full
    /// read. Each direct and indirect dependent is visited once for each of its dependencies, after
    /// the levels of these are final.
    pub fn restore_order(&mut self) {
        let Some(&first) = self.out_of_order.first() else {
            return;
        };
        let mut walk = Walk::new(WalkKind::Order, first);
        let mut unplaced = self.dependencies_among_reachable(&mut walk);
        let placed = unplaced
            .iter()
            .filter(|(_, dependencies)| **dependencies == 0);
        let mut pending: Vec<u64> = placed.map(|(&job, _)| job).collect();
        while let Some(job) = pending.pop() {
            let level = self.level(job);
            for dependent in self.dependents(job) {
                walk.count(1);
                self.raise_level(dependent, level + 1);
                if let Some(left) = unplaced.get_mut(&dependent) {
                    *left -= 1;
                    if *left == 0 {
                        pending.push(dependent);
                    }
                }
            }
        }
        self.steps.add(&walk);
    }

    /// Returns the jobs that are out of order and their direct and indirect dependents, each with
    /// the number of its dependencies among these. No job is out of order afterwards.
    fn dependencies_among_reachable(&mut self, walk: &mut Walk) -> BTreeMap<u64, usize> {
        let mut pending: Vec<u64> = std::mem::take(&mut self.out_of_order).into_iter().collect();
        let mut reachable: BTreeMap<u64, usize> = pending.iter().map(|&job| (job, 0)).collect();
        while let Some(job) = pending.pop() {
            for dependent in self.dependents(job) {
                walk.count(1);
                let dependencies = reachable.entry(dependent).or_insert_with(|| {
                    pending.push(dependent);
                    0
                });
                *dependencies += 1;
            }
        }
        reachable
    }
}
