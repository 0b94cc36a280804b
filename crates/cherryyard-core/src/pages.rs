//! Pages of assignments: records in which the owner of a shard stores the running and completed
//! tasks of many jobs.

use crate::names::Names;
use cherryyard_wire::page::StoredPage;
use cherryyard_wire::record::{AssignmentGroup, PageRecord};
use cherryyard_wire::{RangeSet, page};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Assignment of a task to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Index of the machine's name.
    pub host: u32,
    /// Incarnation of the worker on the machine.
    pub incarnation: u64,
    /// Number of the attempt to run the task.
    pub attempt: u64,
}

/// Running and completed tasks of one job in one page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PageJob {
    /// Assignments by task number.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Numbers of the completed tasks.
    pub done: RangeSet,
}

/// One page of a shard's assignments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Revision of the page's key in the state service.
    pub revision: u64,
    /// Upper bound of the page's size as it is stored, in bytes, which holds even after its tasks
    /// end.
    pub max_stored_bytes: usize,
    /// Running and completed tasks by job.
    pub jobs: BTreeMap<u64, PageJob>,
}

/// Returns the number of decimal digits of a number.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

/// Encoding of a page in the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageFormat {
    /// Plain JSON, which builds from before the packed format can read.
    Plain,
    /// Compact encoding of [`page::pack`].
    Packed,
}

/// Largest number of bytes that a new assignment adds to a packed page, as varints: its job and the
/// job's number of entries, its attempt and incarnation, its machine, and its entry.
const PACKED_ASSIGNMENT_BYTES: usize = (10 + 2) + (10 + 5) + 3 + (3 + 3 + 2);

/// Size of a plain page without its jobs, in bytes.
const PAGE_FRAME_BYTES: usize = 20;
/// Size of a job in a plain page without its number, groups and ranges, in bytes.
const JOB_FRAME_BYTES: usize = 10;
/// Size of a group in a plain page without its numbers, in bytes.
const GROUP_FRAME_BYTES: usize = 4;
/// Size of a range in a plain page without its numbers, in bytes.
const RANGE_FRAME_BYTES: usize = 4;
/// Size of a machine in a plain page without its name, in bytes.
const NAME_FRAME_BYTES: usize = 3;

impl PageJob {
    /// Returns the numbers of all tasks with an entry.
    pub fn numbers(&self) -> RangeSet {
        let assigned: RangeSet = self.assignments.keys().copied().collect();
        self.done.union(&assigned)
    }

    /// Returns whether the entry of a task is as good as this assignment or replaces it: the task
    /// is completed, or this attempt or a newer one is assigned.
    pub fn supersedes(&self, number: u32, assignment: &Assignment) -> bool {
        let assigned = self.assignments.get(&number);
        self.done.contains(number)
            || assigned.is_some_and(|assigned| assigned.attempt >= assignment.attempt)
    }

    /// Returns the assignments grouped by attempt and incarnation, as a record holds them.
    /// `machine_index` returns a machine's index among the names in the record.
    fn groups(&self, mut machine_index: impl FnMut(u32) -> u64) -> Vec<AssignmentGroup> {
        let mut groups: BTreeMap<(u64, u64), AssignmentGroup> = BTreeMap::new();
        for (&number, assignment) in &self.assignments {
            let index = machine_index(assignment.host);
            groups
                .entry((assignment.attempt, assignment.incarnation))
                .or_insert_with(|| vec![assignment.attempt, assignment.incarnation])
                .extend([index, number.into()]);
        }
        groups.into_values().collect()
    }

    /// Creates a job from groups of assignments; `None` if they are invalid.
    fn from_groups(groups: Vec<AssignmentGroup>, done: RangeSet, hosts: &[u32]) -> Option<Self> {
        let mut assignments = BTreeMap::new();
        for group in groups {
            let (&[attempt, incarnation], list) = group.split_first_chunk()?;
            let pairs = list.chunks_exact(2);
            if !pairs.remainder().is_empty() {
                return None;
            }
            for pair in pairs {
                let host = *hosts.get(usize::try_from(pair[0]).ok()?)?;
                let assignment = Assignment {
                    host,
                    incarnation,
                    attempt,
                };
                assignments.insert(u32::try_from(pair[1]).ok()?, assignment);
            }
        }
        Some(Self { assignments, done })
    }
}

impl Page {
    /// Returns the size of a task's entry in a plain page: that of its assignment (machine and task
    /// number) or that of its range once it is completed, whichever is larger, so that a page with
    /// space for the assignment also has space for the completed task.
    fn entry_bytes(number: u32) -> usize {
        let number = digits(number.into());
        (5 + number).max(4 + 2 * number)
    }

    /// Returns the size of a group without its entries: the attempt and incarnation with which it
    /// begins.
    fn group_bytes(assignment: &Assignment) -> usize {
        GROUP_FRAME_BYTES + digits(assignment.incarnation) + digits(assignment.attempt)
    }

    /// Returns the largest number of bytes that a new assignment adds to a page: its job, group,
    /// machine and entry.
    pub fn assignment_bytes(
        job: u64,
        number: u32,
        assignment: &Assignment,
        hosts: &Names,
        format: PageFormat,
    ) -> usize {
        if format == PageFormat::Packed {
            // Machine names that differ in more than their trailing number are written in full.
            let name = hosts.name(assignment.host).len();
            return (PACKED_ASSIGNMENT_BYTES + name).div_ceil(3) * 4;
        }
        let group = Self::group_bytes(assignment);
        let name = hosts.name(assignment.host).len() + NAME_FRAME_BYTES;
        JOB_FRAME_BYTES + digits(job) + group + name + Self::entry_bytes(number)
    }

    /// Returns an upper bound of the size of the stored page in bytes, which holds even after its
    /// tasks end.
    pub fn bytes(&self, hosts: &Names, format: PageFormat) -> usize {
        match format {
            PageFormat::Plain => self.plain_bytes(hosts),
            // A packed page never grows as its tasks end.
            PageFormat::Packed => {
                let packed = page::pack(&self.record(hosts));
                packed.map_or(usize::MAX / 2, |text| {
                    text.len() + StoredPage::JSON_OVERHEAD_BYTES
                })
            }
        }
    }

    /// Returns an upper bound of the size of the plain page in bytes, which holds even after its
    /// tasks end.
    fn plain_bytes(&self, hosts: &Names) -> usize {
        let mut counted_hosts = HashSet::new();
        let mut bytes = PAGE_FRAME_BYTES;
        for (&job, page_job) in &self.jobs {
            bytes += digits(job) + JOB_FRAME_BYTES;
            let mut counted_groups = HashSet::new();
            for (&number, assignment) in &page_job.assignments {
                if counted_hosts.insert(assignment.host) {
                    bytes += hosts.name(assignment.host).len() + NAME_FRAME_BYTES;
                }
                if counted_groups.insert((assignment.attempt, assignment.incarnation)) {
                    bytes += Self::group_bytes(assignment);
                }
                bytes += Self::entry_bytes(number);
            }
            for &(first, last) in page_job.done.ranges() {
                bytes += RANGE_FRAME_BYTES + digits(first.into()) + digits(last.into());
            }
        }
        bytes
    }

    /// Returns the page in the form in which it is stored.
    pub fn stored(&self, hosts: &Names, format: PageFormat) -> StoredPage {
        let record = self.record(hosts);
        let packed = match format {
            PageFormat::Packed if !self.jobs.is_empty() => page::pack(&record),
            _ => None,
        };
        match packed {
            Some(base64) => StoredPage::Packed { base64 },
            None => StoredPage::Plain(record),
        }
    }

    /// Returns the plain record of the page, with machines by name.
    fn record(&self, hosts: &Names) -> PageRecord {
        let mut machine_indices: HashMap<u32, u64> = HashMap::new();
        let mut machine_names: Vec<String> = Vec::new();
        let mut machine_index = |host: u32| {
            *machine_indices.entry(host).or_insert_with(|| {
                machine_names.push(hosts.name(host).to_string());
                machine_names.len() as u64 - 1
            })
        };
        let job_rows = self.jobs.iter().map(|(&job, page_job)| {
            let groups = page_job.groups(&mut machine_index);
            (job, groups, page_job.done.clone())
        });
        let job_rows = job_rows.collect();
        PageRecord {
            machines: machine_names,
            jobs: job_rows,
        }
    }

    /// Reads a stored page; `None` if it is invalid.
    pub(crate) fn from_stored(
        stored: StoredPage,
        revision: u64,
        hosts: &mut Names,
    ) -> Option<Self> {
        let packed_bytes = match &stored {
            StoredPage::Packed { base64 } => Some(base64.len() + StoredPage::JSON_OVERHEAD_BYTES),
            StoredPage::Plain(_) => None,
        };
        let mut page = Self::from_record(stored.read()?, revision, hosts)?;
        page.max_stored_bytes = packed_bytes.unwrap_or_else(|| page.plain_bytes(hosts));
        Some(page)
    }

    /// Reads a plain record; `None` if it is invalid.
    fn from_record(record: PageRecord, revision: u64, hosts: &mut Names) -> Option<Self> {
        let hosts: Vec<u32> = record
            .machines
            .iter()
            .map(|name| hosts.intern(name))
            .collect();
        let mut page = Self {
            revision,
            ..Self::default()
        };
        for (job, groups, done) in record.jobs {
            if !done.is_canonical() {
                return None;
            }
            let mut page_job = PageJob::from_groups(groups, done, &hosts)?;
            // Earlier builds may have merged two entries of a task. Its completion is final.
            let done = &page_job.done;
            page_job
                .assignments
                .retain(|&number, _| !done.contains(number));
            page.jobs.insert(job, page_job);
        }
        Some(page)
    }
}

/// Running and completed tasks of one job in one shard, merged from all of the shard's pages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobAssignments {
    /// Assignments by task number, each with the number of the page that contains it.
    pub assignments: BTreeMap<u32, (Assignment, u32)>,
    /// Numbers of the completed tasks.
    pub done: RangeSet,
}

#[cfg(test)]
mod tests;
