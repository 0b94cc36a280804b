//! Assignments in the mirror: by page, by job, by machine.

use super::Mirror;
use crate::needs::Needs;
use crate::pages::{Assignment, JobAssignments, Page, PageFormat, PageJob};
use cherryyard_wire::RangeSet;
use cherryyard_wire::record::Key;
use cherryyard_wire::state::Commit;
use std::collections::BTreeMap;

impl Mirror {
    /// Replaces a page; only jobs of which it says something else are looked at.
    pub(super) fn set_page(&mut self, shard: usize, page: u32, new: Option<Page>) {
        let Some(pages) = self.pages.get_mut(shard) else {
            return;
        };
        let old = pages.remove(&page).unwrap_or_default();
        let new = new.unwrap_or_default();
        let said_anew = |(job, said): &(&u64, &PageJob)| old.jobs.get(job) != Some(*said);
        let mut changed: Vec<u64> = new.jobs.iter().filter(said_anew).map(|j| *j.0).collect();
        changed.extend(old.jobs.keys().filter(|job| !new.jobs.contains_key(job)));
        if new.revision != 0 {
            pages.insert(page, new);
        }
        for job in changed {
            self.refresh_assignments(shard, job);
        }
    }

    /// Sums up what the shard's pages say of a job.
    fn refresh_assignments(&mut self, shard: usize, job: u64) {
        let mut sum = JobAssignments::default();
        for (&page, record) in &self.pages[shard] {
            if let Some(j) = record.jobs.get(&job) {
                sum.assignments.extend(
                    j.assignments
                        .iter()
                        .map(|(&n, &assignment)| (n, (assignment, page))),
                );
                sum.done = sum.done.union(&j.done);
            }
        }
        let old = self.assignments.remove(&(shard, job)).unwrap_or_default();
        for (&number, (assignment, _)) in &old.assignments {
            if sum
                .assignments
                .get(&number)
                .is_none_or(|n| n.0 != *assignment)
                && let Some(tasks) = self.on_host.get_mut(assignment.host as usize)
            {
                tasks.remove(&(job, number));
            }
        }
        for (&number, &(assignment, _)) in &sum.assignments {
            if old
                .assignments
                .get(&number)
                .is_none_or(|o| o.0 != assignment)
            {
                let at = assignment.host as usize;
                if self.on_host.len() <= at {
                    self.on_host.resize_with(at + 1, BTreeMap::new);
                }
                self.on_host[at].insert((job, number), assignment);
            }
        }
        if sum.done.len() != old.done.len() {
            // What is left of the job decides its place, in all shards.
            let shards = (0..self.shards.len())
                .filter(|&shard_id| self.waiting[shard_id].contains_key(&job));
            self.waiting_changes
                .extend(shards.map(|shard_id| (shard_id, job)));
        }
        let total = self.tasks_done.entry(job).or_default();
        *total = (*total + sum.done.len()).saturating_sub(old.done.len());
        if *total == 0 {
            self.tasks_done.remove(&job);
        }
        if !sum.assignments.is_empty() || !sum.done.is_empty() {
            self.assignments.insert((shard, job), sum);
        }
        self.refresh_waiting(shard, job);
        self.refresh_complete(job);
    }

    pub(super) fn refresh_waiting(&mut self, shard: usize, job: u64) {
        let share = self.open.get(&job).and_then(|o| o.div.get(shard));
        let left = match (share, self.assignments.get(&(shard, job))) {
            (None, _) => RangeSet::new(),
            (Some(share), None) => share.clone(),
            (Some(share), Some(m)) => share
                .minus(&m.done)
                .minus(&m.assignments.keys().copied().collect()),
        };
        let before = if left.is_empty() {
            self.waiting[shard].remove(&job).is_some()
        } else {
            self.waiting[shard].insert(job, left);
            true
        };
        if before || self.waiting[shard].contains_key(&job) {
            self.waiting_changes.push((shard, job));
        }
    }

    /// How pages are stored: packed once every controller can read that.
    pub(crate) fn page_format(&self) -> PageFormat {
        if self.takes_dependencies() {
            PageFormat::Packed
        } else {
            PageFormat::Plain
        }
    }

    /// The shard's last page, and the one after it: new assignments go nowhere else.
    pub fn last_page(&self, shard: usize) -> Option<u32> {
        self.pages
            .get(shard)
            .and_then(|pages| pages.last_key_value())
            .map(|(&n, _)| n)
    }

    /// Adds the conditions that the shard has got no assignment that is not known here.
    ///
    /// Page 0 is never deleted once it is there, and a new page is made by a transaction
    /// that writes the last one anew: so that "absent" never holds again for one that is
    /// carried out late.
    pub(crate) fn require_last_page(&self, commit: &mut Commit, shard: usize) {
        let last = self.last_page(shard);
        for page in last.into_iter().chain([last.map_or(0, |n| n + 1)]) {
            self.require(commit, Key::Assignment { shard, page });
        }
    }

    /// The shard that an assignment on a machine belongs to.
    pub fn shard_of_assignment(&self, host: u32) -> Option<usize> {
        let (job, number) = *self.on_host.get(host as usize)?.keys().next()?;
        (0..self.shards.len()).find(|&shard_id| {
            self.assignments
                .get(&(shard_id, job))
                .and_then(|m| m.assignments.get(&number))
                .is_some_and(|(assignment, _)| assignment.host == host)
        })
    }

    /// The assignments on a machine, by job and number.
    pub fn on_host(&self, host: u32) -> impl Iterator<Item = ((u64, u32), Assignment)> + '_ {
        self.on_host
            .get(host as usize)
            .into_iter()
            .flatten()
            .map(|(&k, &m)| (k, m))
    }

    /// The assignment of a task on a machine.
    pub fn assignment_on(&self, host: u32, task: (u64, u32)) -> Option<Assignment> {
        self.on_host.get(host as usize)?.get(&task).copied()
    }

    /// The machines that carry assignments.
    pub fn assigned_hosts(&self) -> impl Iterator<Item = u32> + '_ {
        let assigned = self.on_host.iter().enumerate();
        assigned
            .filter(|(_, tasks)| !tasks.is_empty())
            .map(|(host, _)| host as u32)
    }

    /// A shard's numbers of a job that are neither done nor assigned, if there are any.
    pub fn waiting(&self, shard: usize, job: u64) -> Option<&RangeSet> {
        self.waiting.get(shard)?.get(&job)
    }

    /// Parts and jobs of which what waits has changed since the last call.
    pub fn waiting_changes(&mut self) -> Vec<(usize, u64)> {
        std::mem::take(&mut self.waiting_changes)
    }

    /// How many tasks of a job are assigned, in all shards.
    pub fn assigned(&self, job: u64) -> u32 {
        (0..self.shards.len())
            .filter_map(|shard_id| self.assignments.get(&(shard_id, job)))
            .map(|m| m.assignments.len() as u32)
            .sum()
    }

    /// What each team uses in `shard`: from assignment to proven gone.
    pub fn usage(&self, shard: usize) -> Vec<Needs> {
        let mut used = vec![Needs::default(); self.teams.len()];
        for (&(_, job), m) in self.assignments.range((shard, 0)..=(shard, u64::MAX)) {
            let count = m.assignments.len();
            if count == 0 {
                continue;
            }
            if let Some((team, needs)) = self.uses(job)
                && let Some(u) = used.get_mut(team as usize)
            {
                let n = count as f64;
                u.give(&Needs {
                    cores: needs.cores * n,
                    acc: needs.acc * n,
                    ram: needs.ram * n,
                });
            }
        }
        used
    }
}
