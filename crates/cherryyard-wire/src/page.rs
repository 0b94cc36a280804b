//! Pages of assignments in few bytes.
//!
//! A page holds assignments of hundreds of tasks, and every scheduling cycle writes one or two, so
//! what a page can hold decides how many tasks a shard can start with the writes that it
//! may make. [`pack`] brings a [`PageRecord`] into base64 of varints:
//!
//! ```text
//! version
//! machines: mode, then of names that differ in their number alone the common start, how
//!           many digits follow, how many there are, and the gaps between their numbers;
//!           else how many there are, and each name
//! attempts: how many, then each one's gap from the one before, and the incarnation
//! jobs:     how many, then each job's gap from the one before, how many entries, and of
//!           each entry its gap from the end of the one before, and a word:
//!           bits 0 and 1: completed, running, or both
//!           the rest: of a completed range its length less one, else the attempt's place,
//!           after which the machine's place follows
//! ```
//!
//! All sequences are in order and hold gaps, so a page never grows when a task is taken
//! out of it, or goes over from running to completed.

use crate::RangeSet;
use crate::record::{AssignmentGroup, PageRecord};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use integer_encoding::VarInt;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A page of a shard's assignments as it is stored: packed, or plain as builds
/// before format [`DEPENDENCIES`](crate::record::DEPENDENCIES) write it and an empty page always is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StoredPage {
    /// Packed.
    Packed {
        /// What [`pack`] gives.
        #[serde(rename = "b")]
        base64: String,
    },
    /// Plain.
    Plain(PageRecord),
}

impl StoredPage {
    /// Bytes that packed text takes as JSON beside itself.
    pub const FRAME: usize = 8;

    /// What it says; none if it makes no sense.
    pub fn read(self) -> Option<PageRecord> {
        match self {
            Self::Packed { base64 } => unpack(&base64),
            Self::Plain(record) => Some(record),
        }
    }
}

/// Version of the encoding.
const VERSION: u8 = 1;
/// Modes of machines' names.
const BY_NUMBER: u64 = 1;
const BY_NAME: u64 = 0;
/// Most digits of a machine's number.
const MAX_DIGITS: usize = 18;
/// Kinds of entries.
const COMPLETED: u64 = 0;
const RUNNING: u64 = 1;
const BOTH: u64 = 2;
const KIND_BITS: u32 = 2;

/// Where a task runs: the attempt's place and the machine's.
type Place = (u64, u64);

/// An entry of a job.
#[derive(Clone, Copy, Debug)]
enum Entry {
    /// All numbers from the first to the last are completed.
    Completed(u32, u32),
    /// A number is assigned.
    Running(u32, Place),
    /// A number is assigned, and completed too.
    Both(u32, Place),
}

struct Writer(Vec<u8>);

impl Writer {
    fn put(&mut self, n: u64) {
        self.0.extend(n.encode_var_vec());
    }

    fn put_text(&mut self, text: &str) {
        self.put(text.len() as u64);
        self.0.extend(text.as_bytes());
    }
}

struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn take(&mut self) -> Option<u64> {
        let (n, size) = u64::decode_var(self.0)?;
        self.0 = self.0.get(size..)?;
        Some(n)
    }

    /// How many items follow: each has a byte at least, so there are no more than bytes.
    fn take_count(&mut self) -> Option<usize> {
        let count = usize::try_from(self.take()?).ok()?;
        (count <= self.0.len()).then_some(count)
    }

    fn take_text(&mut self) -> Option<String> {
        let len = self.take_count()?;
        let (text, rest) = self.0.split_at(len);
        self.0 = rest;
        String::from_utf8(text.to_vec()).ok()
    }

    fn take_small(&mut self) -> Option<u32> {
        self.take()?.try_into().ok()
    }
}

/// A machine's name as its start and a number of so many digits.
fn split_name(name: &str) -> Option<(&str, usize, u64)> {
    let start = name.trim_end_matches(|c: char| c.is_ascii_digit());
    let digits = name.len() - start.len();
    if digits == 0 || digits > MAX_DIGITS {
        return None;
    }
    Some((start, digits, name[start.len()..].parse().ok()?))
}

/// Puts machines into the order in which they are written; gives each one's place there.
fn put_machines(out: &mut Writer, machines: &[String]) -> Vec<u64> {
    let split: Option<Vec<_>> = machines.iter().map(|name| split_name(name)).collect();
    let same_start = split.filter(|all| {
        let first = all.first().map(|s| (s.0, s.1));
        all.iter().all(|s| Some((s.0, s.1)) == first)
    });
    let mut order: Vec<usize> = (0..machines.len()).collect();
    match &same_start {
        Some(split) if !split.is_empty() => {
            order.sort_by_key(|&i| split[i].2);
            out.put(BY_NUMBER);
            out.put_text(split[0].0);
            out.put(split[0].1 as u64);
            out.put(split.len() as u64);
            let mut before = 0;
            for &i in &order {
                out.put(split[i].2 - before);
                before = split[i].2;
            }
        }
        _ => {
            out.put(BY_NAME);
            out.put(machines.len() as u64);
            machines.iter().for_each(|name| out.put_text(name));
        }
    }
    let mut places = vec![0; machines.len()];
    for (place, &i) in order.iter().enumerate() {
        places[i] = place as u64;
    }
    places
}

fn take_machines(from: &mut Reader<'_>) -> Option<Vec<String>> {
    if from.take()? == BY_NAME {
        let count = from.take_count()?;
        return (0..count).map(|_| from.take_text()).collect();
    }
    let start = from.take_text()?;
    let digits = usize::try_from(from.take()?).ok()?;
    if digits > MAX_DIGITS {
        return None;
    }
    let count = from.take_count()?;
    let mut number = 0u64;
    let mut machines = Vec::with_capacity(count);
    for _ in 0..count {
        number = number.checked_add(from.take()?)?;
        machines.push(format!("{start}{number:0digits$}"));
    }
    Some(machines)
}

/// A job's entries, in order; none if its assignments make no sense.
fn entries(
    groups: &[AssignmentGroup],
    completed: &RangeSet,
    machines: &[u64],
    attempts: &[(u64, u64)],
) -> Option<Vec<Entry>> {
    let mut running: BTreeMap<u32, Place> = BTreeMap::new();
    for group in groups {
        let (&[attempt, incarnation], list) = group.split_first_chunk()?;
        let at = attempts.binary_search(&(attempt, incarnation)).ok()? as u64;
        for pair in list.chunks_exact(2) {
            let machine = *machines.get(usize::try_from(pair[0]).ok()?)?;
            running.insert(u32::try_from(pair[1]).ok()?, (at, machine));
        }
    }
    let numbers: RangeSet = running.keys().copied().collect();
    let alone = completed.minus(&numbers);
    let mut all: Vec<Entry> = alone
        .ranges()
        .iter()
        .map(|r| Entry::Completed(r.0, r.1))
        .collect();
    all.extend(running.iter().map(|(&number, &place)| {
        if completed.contains(number) {
            Entry::Both(number, place)
        } else {
            Entry::Running(number, place)
        }
    }));
    all.sort_by_key(|entry| match entry {
        Entry::Completed(first, _) => *first,
        Entry::Running(number, _) | Entry::Both(number, _) => *number,
    });
    Some(all)
}

fn put_entries(out: &mut Writer, entries: &[Entry]) {
    out.put(entries.len() as u64);
    // The number after the last entry's.
    let mut next = 0u64;
    for entry in entries {
        let (first, last) = match *entry {
            Entry::Completed(first, last) => (first, last),
            Entry::Running(number, _) | Entry::Both(number, _) => (number, number),
        };
        out.put(u64::from(first) - next);
        next = u64::from(last) + 1;
        match *entry {
            Entry::Completed(first, last) => {
                out.put(u64::from(last - first) << KIND_BITS | COMPLETED);
            }
            Entry::Running(_, (attempt, machine)) => {
                out.put(attempt << KIND_BITS | RUNNING);
                out.put(machine);
            }
            Entry::Both(_, (attempt, machine)) => {
                out.put(attempt << KIND_BITS | BOTH);
                out.put(machine);
            }
        }
    }
}

/// The attempts and incarnations that a page names, in order.
fn attempts_of(record: &PageRecord) -> Vec<(u64, u64)> {
    let groups = record.jobs.iter().flat_map(|job| &job.1);
    let named = groups.filter_map(|group| Some((*group.first()?, *group.get(1)?)));
    let mut attempts: Vec<(u64, u64)> = named.collect();
    attempts.sort_unstable();
    attempts.dedup();
    attempts
}

/// A page's record in few bytes; none if it makes no sense.
pub fn pack(record: &PageRecord) -> Option<String> {
    let mut out = Writer(vec![VERSION]);
    let machines = put_machines(&mut out, &record.machines);
    let attempts = attempts_of(record);
    out.put(attempts.len() as u64);
    let mut before = 0;
    for &(attempt, incarnation) in &attempts {
        out.put(attempt - before);
        out.put(incarnation);
        before = attempt;
    }
    let mut jobs: Vec<_> = record.jobs.iter().collect();
    jobs.sort_by_key(|job| job.0);
    out.put(jobs.len() as u64);
    let mut before = 0;
    for (job, groups, completed) in jobs {
        out.put(job - before);
        before = *job;
        put_entries(&mut out, &entries(groups, completed, &machines, &attempts)?);
    }
    Some(BASE64.encode(out.0))
}

/// Reads what [`pack`] has written; none if it makes no sense.
pub fn unpack(text: &str) -> Option<PageRecord> {
    let bytes = BASE64.decode(text).ok()?;
    let (&version, rest) = bytes.split_first()?;
    if version != VERSION {
        return None;
    }
    let mut from = Reader(rest);
    let machines = take_machines(&mut from)?;
    let count = from.take_count()?;
    let mut attempts = Vec::with_capacity(count);
    let mut before = 0u64;
    for _ in 0..count {
        before = before.checked_add(from.take()?)?;
        attempts.push((before, from.take()?));
    }
    let mut record = PageRecord::default();
    let mut job = 0u64;
    for _ in 0..from.take_count()? {
        job = job.checked_add(from.take()?)?;
        let (groups, completed) = take_entries(&mut from, machines.len(), &attempts)?;
        record.jobs.push((job, groups, completed));
    }
    record.machines = machines;
    Some(record)
}

fn take_entries(
    from: &mut Reader<'_>,
    machines: usize,
    attempts: &[(u64, u64)],
) -> Option<(Vec<AssignmentGroup>, RangeSet)> {
    let mut groups: BTreeMap<(u64, u64), AssignmentGroup> = BTreeMap::new();
    let mut completed = RangeSet::new();
    let mut next = 0u32;
    for _ in 0..from.take_count()? {
        let first = next.checked_add(from.take_small()?)?;
        let word = from.take()?;
        let (kind, value) = (word & ((1 << KIND_BITS) - 1), word >> KIND_BITS);
        let mut last = first;
        if kind == COMPLETED {
            last = first.checked_add(u32::try_from(value).ok()?)?;
        } else {
            let attempt = *attempts.get(usize::try_from(value).ok()?)?;
            let machine = from.take()?;
            if machine >= machines as u64 {
                return None;
            }
            let group = groups
                .entry(attempt)
                .or_insert_with(|| vec![attempt.0, attempt.1]);
            group.extend([machine, first.into()]);
        }
        match kind {
            COMPLETED | BOTH => completed = completed.union(&RangeSet::span(first, last)),
            RUNNING => {}
            _ => return None,
        }
        next = last.checked_add(1)?;
    }
    Some((groups.into_values().collect(), completed))
}
