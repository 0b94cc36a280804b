//! Pages of assignments: what a shard's owner has started, of many jobs in one record.

use crate::names::Names;
use cherryyard_wire::page::StoredPage;
use cherryyard_wire::record::{AssignmentGroup, PageRecord};
use cherryyard_wire::{RangeSet, page};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Where a task runs: the machine, the worker's incarnation, and which attempt it is.
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

/// How many decimal digits a number has.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
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
const PACKED_ASSIGNMENT_BYTES: usize = (10 + 2) + (10 + 5) + 3 + (3 + 3 + 2);

/// Bytes that a plain page takes beside its jobs, a job beside its number, groups and
/// ranges, a group and a range beside their numbers, and a machine beside its name.
const PAGE_FRAME_BYTES: usize = 20;
const JOB_FRAME_BYTES: usize = 10;
const GROUP_FRAME_BYTES: usize = 4;
const RANGE_FRAME_BYTES: usize = 4;
const NAME_FRAME_BYTES: usize = 3;

impl PageJob {
    /// Its assignments by attempt and incarnation, as a record holds them; machines as
    /// `place_of` numbers them.
    fn groups(&self, mut place_of: impl FnMut(u32) -> u64) -> Vec<AssignmentGroup> {
        let mut groups: BTreeMap<(u64, u64), AssignmentGroup> = BTreeMap::new();
        for (&number, assignment) in &self.assignments {
            let place = place_of(assignment.host);
            groups
                .entry((assignment.attempt, assignment.incarnation))
                .or_insert_with(|| vec![assignment.attempt, assignment.incarnation])
                .extend([place, number.into()]);
        }
        groups.into_values().collect()
    }

    /// Reads groups of assignments; none if they make no sense.
    fn of_groups(groups: Vec<AssignmentGroup>, done: RangeSet, hosts: &[u32]) -> Option<Self> {
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
    /// An assignment's machine and number, or the number among those done once it is:
    /// so a page that has room for an assignment has room for what becomes of it.
    fn entry_bytes(number: u32) -> usize {
        let number = digits(number.into());
        (5 + number).max(4 + 2 * number)
    }

    /// The attempt and incarnation that a group begins with.
    fn group_bytes(assignment: &Assignment) -> usize {
        GROUP_FRAME_BYTES + digits(assignment.incarnation) + digits(assignment.attempt)
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
            return (PACKED_ASSIGNMENT_BYTES + name).div_ceil(3) * 4;
        }
        let group = Self::group_bytes(assignment);
        let name = hosts.name(assignment.host).len() + NAME_FRAME_BYTES;
        JOB_FRAME_BYTES + digits(job) + group + name + Self::entry_bytes(number)
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
        let mut bytes = PAGE_FRAME_BYTES;
        for (&job, page_job) in &self.jobs {
            bytes += digits(job) + JOB_FRAME_BYTES;
            let mut groups = HashSet::new();
            for (&number, assignment) in &page_job.assignments {
                if named.insert(assignment.host) {
                    bytes += hosts.name(assignment.host).len() + NAME_FRAME_BYTES;
                }
                if groups.insert((assignment.attempt, assignment.incarnation)) {
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
        let mut named: Vec<String> = Vec::new();
        let mut place_of = |host: u32| {
            *places.entry(host).or_insert_with(|| {
                named.push(hosts.name(host).to_string());
                named.len() as u64 - 1
            })
        };
        let rows = self.jobs.iter().map(|(&job, page_job)| {
            let groups = page_job.groups(&mut place_of);
            (job, groups, page_job.done.clone())
        });
        let rows = rows.collect();
        PageRecord {
            machines: named,
            jobs: rows,
        }
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
            let page_job = PageJob::of_groups(groups, done, &hosts)?;
            page.jobs.insert(job, page_job);
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
