//! Compact encoding of pages of assignments.
//!
//! A page holds the assignments of hundreds of tasks, and every scheduling cycle writes one or
//! two pages. So the capacity of a page limits how many tasks a shard can start within its write
//! budget. [`pack`] encodes a [`PageRecord`] as varints, in base64:
//!
//! ```text
//! version
//! machines: mode; if all names differ only in a number of equal length: the common prefix, the
//!           number of digits, the number of machines, and for each machine the difference of
//!           its number to the previous machine's; else: the number of machines, and each name
//! attempts: number of attempts, then for each the difference to the previous attempt, and the
//!           incarnation
//! jobs:     number of jobs, then for each job the difference of its number to the previous
//!           job's, the number of entries, and for each entry the difference of its first task
//!           number to the end of the previous entry, and a tag:
//!           bits 0 and 1: kind of entry (completed, running, or both)
//!           other bits: for a completed range, its length minus one; else the index of the
//!           attempt, and the index of the machine follows the tag
//! ```
//!
//! All sequences of numbers are sorted and stored as differences, so a page never grows when a
//! task is removed from it or changes from running to completed.

use crate::RangeSet;
use crate::record::{AssignmentGroup, PageRecord};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use integer_encoding::VarInt;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Page of a shard's assignments, as it is stored: packed, or plain. Builds before format
/// [`DEPENDENCIES`](crate::record::DEPENDENCIES) write all pages plain, and an empty page is always
/// plain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoredPage {
    /// Page in the compact encoding.
    Packed {
        /// Result of [`pack`].
        #[serde(rename = "b")]
        base64: String,
    },
    /// Page in JSON.
    Plain(PageRecord),
}

impl StoredPage {
    /// Bytes that the JSON of a packed page takes in addition to its base64 text.
    pub const JSON_OVERHEAD_BYTES: usize = 8;

    /// Returns the page's record; `None` if it is malformed.
    pub fn read(self) -> Option<PageRecord> {
        match self {
            Self::Packed { base64 } => unpack(&base64),
            Self::Plain(record) => Some(record),
        }
    }
}

/// Version of the encoding, its first byte.
const VERSION: u8 = 1;
/// Mode in which machines' names are encoded as a common prefix and numbers.
const BY_NUMBER: u64 = 1;
/// Mode in which machines' names are encoded in full.
const BY_NAME: u64 = 0;
/// Maximum number of digits of the number in a machine's name.
const MAX_DIGITS: usize = 18;
/// Kind of [`Entry::Completed`].
const COMPLETED: u64 = 0;
/// Kind of [`Entry::Running`].
const RUNNING: u64 = 1;
/// Kind of [`Entry::Both`].
const BOTH: u64 = 2;
/// Number of low bits of a tag that hold the kind of the entry.
const KIND_BITS: u32 = 2;

/// Assignment of a task: index of the attempt and index of the machine, in the page's lists.
type TaskAssignment = (u64, u64);

/// Entry of a job in the encoded page.
#[derive(Clone, Copy, Debug)]
enum Entry {
    /// Range of completed tasks: first and last task number.
    Completed(u32, u32),
    /// Task that is assigned and not completed: its number and assignment.
    Running(u32, TaskAssignment),
    /// Task that is assigned and also completed: its number and assignment.
    Both(u32, TaskAssignment),
}

/// Buffer to which varints and texts are appended.
struct Writer(Vec<u8>);

impl Writer {
    fn write_varint(&mut self, number: u64) {
        self.0.extend(number.encode_var_vec());
    }

    fn write_text(&mut self, text: &str) {
        self.write_varint(text.len() as u64);
        self.0.extend(text.as_bytes());
    }
}

/// Remaining bytes of an encoded page; the methods return `None` if these are malformed.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn read_varint(&mut self) -> Option<u64> {
        let (number, size) = u64::decode_var(self.0)?;
        self.0 = self.0.get(size..)?;
        Some(number)
    }

    /// Reads the number of items that follow. Each takes at least one byte, so a number above
    /// that of the remaining bytes is refused.
    fn read_count(&mut self) -> Option<usize> {
        let count = usize::try_from(self.read_varint()?).ok()?;
        (count <= self.0.len()).then_some(count)
    }

    fn read_text(&mut self) -> Option<String> {
        let len = self.read_count()?;
        let (text, rest) = self.0.split_at(len);
        self.0 = rest;
        String::from_utf8(text.to_vec()).ok()
    }

    fn read_u32(&mut self) -> Option<u32> {
        self.read_varint()?.try_into().ok()
    }
}

/// Splits a machine's name into a prefix, the number of digits of the number at its end, and that
/// number; `None` if there is no such number, or it has too many digits.
fn split_name(name: &str) -> Option<(&str, usize, u64)> {
    let prefix = name.trim_end_matches(|c: char| c.is_ascii_digit());
    let digits = name.len() - prefix.len();
    if digits == 0 || digits > MAX_DIGITS {
        return None;
    }
    Some((prefix, digits, name[prefix.len()..].parse().ok()?))
}

/// Writes the list of machines, sorted by number where the names allow that, and returns the index
/// of each machine in the written list.
fn write_machines(out: &mut Writer, machines: &[String]) -> Vec<u64> {
    let split: Option<Vec<_>> = machines.iter().map(|name| split_name(name)).collect();
    let numbered = split.filter(|all| {
        let first = all.first().map(|s| (s.0, s.1));
        all.iter().all(|s| Some((s.0, s.1)) == first)
    });
    let mut order: Vec<usize> = (0..machines.len()).collect();
    match &numbered {
        Some(split) if !split.is_empty() => {
            order.sort_by_key(|&i| split[i].2);
            out.write_varint(BY_NUMBER);
            out.write_text(split[0].0);
            out.write_varint(split[0].1 as u64);
            out.write_varint(split.len() as u64);
            let mut previous = 0;
            for &i in &order {
                out.write_varint(split[i].2 - previous);
                previous = split[i].2;
            }
        }
        _ => {
            out.write_varint(BY_NAME);
            out.write_varint(machines.len() as u64);
            machines.iter().for_each(|name| out.write_text(name));
        }
    }
    let mut indices = vec![0; machines.len()];
    for (index, &i) in order.iter().enumerate() {
        indices[i] = index as u64;
    }
    indices
}

fn read_machines(reader: &mut Reader<'_>) -> Option<Vec<String>> {
    if reader.read_varint()? == BY_NAME {
        let count = reader.read_count()?;
        return (0..count).map(|_| reader.read_text()).collect();
    }
    let prefix = reader.read_text()?;
    let digits = usize::try_from(reader.read_varint()?).ok()?;
    if digits > MAX_DIGITS {
        return None;
    }
    let count = reader.read_count()?;
    let mut number = 0u64;
    let mut machines = Vec::with_capacity(count);
    for _ in 0..count {
        number = number.checked_add(reader.read_varint()?)?;
        machines.push(format!("{prefix}{number:0digits$}"));
    }
    Some(machines)
}

/// Returns the entries of a job, sorted by task number; `None` if its assignments are malformed.
fn job_entries(
    groups: &[AssignmentGroup],
    completed: &RangeSet,
    machine_indices: &[u64],
    attempts: &[(u64, u64)],
) -> Option<Vec<Entry>> {
    let mut running: BTreeMap<u32, TaskAssignment> = BTreeMap::new();
    for group in groups {
        let (&[attempt, incarnation], list) = group.split_first_chunk()?;
        let attempt_index = attempts.binary_search(&(attempt, incarnation)).ok()? as u64;
        for pair in list.chunks_exact(2) {
            let machine = *machine_indices.get(usize::try_from(pair[0]).ok()?)?;
            running.insert(u32::try_from(pair[1]).ok()?, (attempt_index, machine));
        }
    }
    let running_numbers: RangeSet = running.keys().copied().collect();
    let completed_only = completed.difference(&running_numbers);
    let mut all: Vec<Entry> = completed_only
        .ranges()
        .iter()
        .map(|r| Entry::Completed(r.0, r.1))
        .collect();
    all.extend(running.iter().map(|(&number, &assignment)| {
        if completed.contains(number) {
            Entry::Both(number, assignment)
        } else {
            Entry::Running(number, assignment)
        }
    }));
    all.sort_by_key(|entry| match entry {
        Entry::Completed(first, _) => *first,
        Entry::Running(number, _) | Entry::Both(number, _) => *number,
    });
    Some(all)
}

fn write_entries(out: &mut Writer, entries: &[Entry]) {
    out.write_varint(entries.len() as u64);
    // The task number after the end of the previous entry.
    let mut next = 0u64;
    for entry in entries {
        let (first, last) = match *entry {
            Entry::Completed(first, last) => (first, last),
            Entry::Running(number, _) | Entry::Both(number, _) => (number, number),
        };
        out.write_varint(u64::from(first) - next);
        next = u64::from(last) + 1;
        match *entry {
            Entry::Completed(first, last) => {
                out.write_varint(u64::from(last - first) << KIND_BITS | COMPLETED);
            }
            Entry::Running(_, (attempt, machine)) => {
                out.write_varint(attempt << KIND_BITS | RUNNING);
                out.write_varint(machine);
            }
            Entry::Both(_, (attempt, machine)) => {
                out.write_varint(attempt << KIND_BITS | BOTH);
                out.write_varint(machine);
            }
        }
    }
}

/// Returns the distinct pairs of attempt and incarnation of a page's assignments, sorted.
fn attempts_in(record: &PageRecord) -> Vec<(u64, u64)> {
    let groups = record.jobs.iter().flat_map(|job| &job.1);
    let named = groups.filter_map(|group| Some((*group.first()?, *group.get(1)?)));
    let mut attempts: Vec<(u64, u64)> = named.collect();
    attempts.sort_unstable();
    attempts.dedup();
    attempts
}

/// Encodes a page's record; `None` if its assignments are malformed.
pub fn pack(record: &PageRecord) -> Option<String> {
    let mut out = Writer(vec![VERSION]);
    let machine_indices = write_machines(&mut out, &record.machines);
    let attempts = attempts_in(record);
    out.write_varint(attempts.len() as u64);
    let mut previous = 0;
    for &(attempt, incarnation) in &attempts {
        out.write_varint(attempt - previous);
        out.write_varint(incarnation);
        previous = attempt;
    }
    let mut jobs: Vec<_> = record.jobs.iter().collect();
    jobs.sort_by_key(|job| job.0);
    out.write_varint(jobs.len() as u64);
    let mut previous = 0;
    for (job, groups, completed) in jobs {
        out.write_varint(job - previous);
        previous = *job;
        write_entries(
            &mut out,
            &job_entries(groups, completed, &machine_indices, &attempts)?,
        );
    }
    Some(BASE64.encode(out.0))
}

/// Decodes the result of [`pack`]; `None` if it is malformed.
pub fn unpack(text: &str) -> Option<PageRecord> {
    let bytes = BASE64.decode(text).ok()?;
    let (&version, rest) = bytes.split_first()?;
    if version != VERSION {
        return None;
    }
    let mut reader = Reader(rest);
    let machines = read_machines(&mut reader)?;
    let count = reader.read_count()?;
    let mut attempts = Vec::with_capacity(count);
    let mut previous = 0u64;
    for _ in 0..count {
        previous = previous.checked_add(reader.read_varint()?)?;
        attempts.push((previous, reader.read_varint()?));
    }
    let mut record = PageRecord::default();
    let mut job = 0u64;
    for _ in 0..reader.read_count()? {
        job = job.checked_add(reader.read_varint()?)?;
        let (groups, completed) = read_entries(&mut reader, machines.len(), &attempts)?;
        record.jobs.push((job, groups, completed));
    }
    record.machines = machines;
    Some(record)
}

fn read_entries(
    reader: &mut Reader<'_>,
    machine_count: usize,
    attempts: &[(u64, u64)],
) -> Option<(Vec<AssignmentGroup>, RangeSet)> {
    let mut groups: BTreeMap<(u64, u64), AssignmentGroup> = BTreeMap::new();
    let mut completed = RangeSet::new();
    let mut next = 0u32;
    for _ in 0..reader.read_count()? {
        let first = next.checked_add(reader.read_u32()?)?;
        let tag = reader.read_varint()?;
        let (kind, value) = (tag & ((1 << KIND_BITS) - 1), tag >> KIND_BITS);
        let mut last = first;
        if kind == COMPLETED {
            last = first.checked_add(u32::try_from(value).ok()?)?;
        } else {
            let attempt = *attempts.get(usize::try_from(value).ok()?)?;
            let machine = reader.read_varint()?;
            if machine >= machine_count as u64 {
                return None;
            }
            let group = groups
                .entry(attempt)
                .or_insert_with(|| vec![attempt.0, attempt.1]);
            group.extend([machine, first.into()]);
        }
        match kind {
            COMPLETED | BOTH => completed = completed.union(&RangeSet::from_range(first, last)),
            RUNNING => {}
            _ => return None,
        }
        next = last.checked_add(1)?;
    }
    Some((groups.into_values().collect(), completed))
}
