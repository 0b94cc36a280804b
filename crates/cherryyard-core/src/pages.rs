//! Pages of assignments: what a shard's owner has started, of many jobs in one record.

use crate::names::Names;
use cherryyard_wire::page::StoredPage;
use cherryyard_wire::record::{AssignmentGroup, PageRecord};
use cherryyard_wire::{RangeSet, page};
use std::collections::{BTreeMap, HashMap, HashSet};

/// A number assigned started: where, in which incarnation, which attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The machine.
    pub host: u32,
    /// The worker's incarnation.
    pub incarnation: u64,
    /// The attempt.
    pub attempt: u64,
}

/// What one page says of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PageJob {
    /// Assignments by number.
    pub assignments: BTreeMap<u32, Assignment>,
    /// Numbers done.
    pub done: RangeSet,
}

/// One page of a shard's assignments.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Revision of its key.
    pub revision: u64,
    /// Bytes that it takes as it is stored, also when its tasks end.
    pub bytes_at_most: usize,
    /// What it says, by job.
    pub jobs: BTreeMap<u64, PageJob>,
}

fn digits(n: u64) -> usize {
    n.checked_ilog10().unwrap_or(0) as usize + 1
}

/// How a page is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageFormat {
    /// As builds before the packed format read it.
    Plain,
    /// In few bytes.
    Packed,
}

/// Most bytes that a new assignment adds to a packed page: its job and how many entries that
/// has, its attempt and incarnation, its machine, and its entry, as varints.
const PACKED_MARK_BYTES: usize = (10 + 2) + (10 + 5) + 3 + (3 + 3 + 2);

impl Page {
    /// An assignment's machine and number, or the number among those done once it is:
    /// so a page that has room for an assignment has room for what becomes of it.
    fn entry_bytes(number: u32) -> usize {
        let number = digits(number.into());
        (5 + number).max(4 + 2 * number)
    }

    /// Most bytes that a new assignment adds: its job, group, machine and entry.
    pub fn assignment_bytes(
        job: u64,
        number: u32,
        assignment: &Assignment,
        hosts: &Names,
        format: PageFormat,
    ) -> usize {
        if format == PageFormat::Packed {
            // Names that do not differ in their number alone are written whole.
            let name = hosts.name(assignment.host).len();
            return (PACKED_MARK_BYTES + name).div_ceil(3) * 4;
        }
        let group = 4 + digits(assignment.incarnation) + digits(assignment.attempt);
        let name = hosts.name(assignment.host).len() + 3;
        10 + digits(job) + group + name + Self::entry_bytes(number)
    }

    /// About how many bytes the record takes, never too few, also when its tasks end.
    pub fn bytes(&self, hosts: &Names, format: PageFormat) -> usize {
        match format {
            PageFormat::Plain => self.plain_bytes(hosts),
            // A packed page never grows as its tasks end.
            PageFormat::Packed => {
                let packed = page::pack(&self.record(hosts));
                packed.map_or(usize::MAX / 2, |text| text.len() + StoredPage::FRAME)
            }
        }
    }

    fn plain_bytes(&self, hosts: &Names) -> usize {
        let mut named = HashSet::new();
        let mut bytes = 20;
        for (&job, j) in &self.jobs {
            bytes += digits(job) + 10;
            let mut groups = HashSet::new();
            for (&number, assignment) in &j.assignments {
                if named.insert(assignment.host) {
                    bytes += hosts.name(assignment.host).len() + 3;
                }
                if groups.insert((assignment.attempt, assignment.incarnation)) {
                    bytes += 4 + digits(assignment.incarnation) + digits(assignment.attempt);
                }
                bytes += Self::entry_bytes(number);
            }
            for r in j.done.ranges() {
                bytes += 4 + digits(r.0.into()) + digits(r.1.into());
            }
        }
        bytes
    }

    /// The record to store.
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

    /// What the page says, with machines by name.
    fn record(&self, hosts: &Names) -> PageRecord {
        let mut places: HashMap<u32, u64> = HashMap::new();
        let mut record = PageRecord::default();
        for (&job, j) in &self.jobs {
            let mut groups: BTreeMap<(u64, u64), AssignmentGroup> = BTreeMap::new();
            for (&number, assignment) in &j.assignments {
                let place = *places.entry(assignment.host).or_insert_with(|| {
                    record
                        .machines
                        .push(hosts.name(assignment.host).to_string());
                    record.machines.len() as u64 - 1
                });
                groups
                    .entry((assignment.attempt, assignment.incarnation))
                    .or_insert_with(|| vec![assignment.attempt, assignment.incarnation])
                    .extend([place, number.into()]);
            }
            record
                .jobs
                .push((job, groups.into_values().collect(), j.done.clone()));
        }
        record
    }

    /// What a stored page says; none if it makes no sense.
    pub(crate) fn of_stored(stored: StoredPage, revision: u64, hosts: &mut Names) -> Option<Self> {
        let packed = match &stored {
            StoredPage::Packed { base64 } => Some(base64.len() + StoredPage::FRAME),
            StoredPage::Plain(_) => None,
        };
        let mut page = Self::of_record(stored.read()?, revision, hosts)?;
        page.bytes_at_most = packed.unwrap_or_else(|| page.plain_bytes(hosts));
        Some(page)
    }

    /// What a record says; none if it makes no sense.
    fn of_record(record: PageRecord, revision: u64, hosts: &mut Names) -> Option<Self> {
        let hosts: Vec<u32> = record.machines.iter().map(|h| hosts.intern(h)).collect();
        let mut page = Self {
            revision,
            ..Self::default()
        };
        for (job, groups, done) in record.jobs {
            if !done.is_canonical() {
                return None;
            }
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
            page.jobs.insert(job, PageJob { assignments, done });
        }
        Some(page)
    }
}

/// All assignments of one job in one shard, over its pages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobAssignments {
    /// Assignments by number, and the page that each is in.
    pub assignments: BTreeMap<u32, (Assignment, u32)>,
    /// Numbers done.
    pub done: RangeSet,
}
