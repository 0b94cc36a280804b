//! Packed pages of assignments: what goes in comes out, in few bytes, and a page never
//! grows as its tasks end.

use cherryyard_wire::RangeSet;
use cherryyard_wire::page::{pack, unpack};
use cherryyard_wire::record::PageRecord;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// A page by what it means: tasks by job and number, each with machine, incarnation and
/// attempt, and completed numbers.
type Meaning = BTreeMap<u64, (BTreeMap<u32, (String, u64, u64)>, RangeSet)>;

fn meaning(record: &PageRecord) -> Meaning {
    let mut all = Meaning::new();
    for (job, groups, completed) in &record.jobs {
        let mut running = BTreeMap::new();
        for group in groups {
            for pair in group[2..].chunks_exact(2) {
                let machine = record.machines[pair[0] as usize].clone();
                running.insert(pair[1] as u32, (machine, group[1], group[0]));
            }
        }
        all.insert(*job, (running, completed.clone()));
    }
    all
}

fn record_of(meaning: &Meaning) -> PageRecord {
    let mut record = PageRecord::default();
    for (job, (running, completed)) in meaning {
        let mut groups: BTreeMap<(u64, u64), Vec<u64>> = BTreeMap::new();
        for (&number, (machine, incarnation, attempt)) in running {
            let place = record.machines.iter().position(|h| h == machine);
            let place = place.unwrap_or_else(|| {
                record.machines.push(machine.clone());
                record.machines.len() - 1
            });
            let key = (*attempt, *incarnation);
            let group = groups
                .entry(key)
                .or_insert_with(|| vec![*attempt, *incarnation]);
            group.extend([place as u64, number.into()]);
        }
        let groups = groups.into_values().collect();
        record.jobs.push((*job, groups, completed.clone()));
    }
    record
}

fn machine() -> impl Strategy<Value = String> {
    prop_oneof![
        20 => (0u32..400).prop_map(|n| format!("host-{n:06}")),
        1 => (0u32..5).prop_map(|n| format!("m{n}x")),
    ]
}

fn meanings() -> impl Strategy<Value = Meaning> {
    let running = prop::collection::btree_map(0u32..900, (machine(), 1u64..4, 1u64..90_000), 0..25);
    let completed = prop::collection::btree_set(0u32..900, 0..30);
    let completed = completed.prop_map(|set| set.into_iter().collect::<RangeSet>());
    prop::collection::btree_map(1u64..900_000, (running, completed), 0..8)
}

proptest! {
    #[test]
    fn what_goes_in_comes_out(all in meanings()) {
        let packed = pack(&record_of(&all)).expect("a good page");
        let read = unpack(&packed).expect("what was written");
        prop_assert_eq!(meaning(&read), all);
    }

    /// Tasks end in any order, completed or lost: the page never takes more bytes.
    #[test]
    fn a_page_never_grows(mut all in meanings(), order in any::<u64>()) {
        let mut bytes = pack(&record_of(&all)).expect("a good page").len();
        let mut draw = order | 1;
        loop {
            let tasks: Vec<(u64, u32)> = all
                .iter()
                .flat_map(|(job, of)| of.0.keys().map(|n| (*job, *n)))
                .collect();
            if tasks.is_empty() {
                break;
            }
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let (job, number) = tasks[(draw >> 33) as usize % tasks.len()];
            let of = all.get_mut(&job).expect("it is there");
            of.0.remove(&number);
            if draw >> 62 != 0 {
                of.1.insert(number);
            }
            if of.0.is_empty() && of.1.is_empty() {
                all.remove(&job);
            }
            let after = pack(&record_of(&all)).expect("a good page").len();
            prop_assert!(after <= bytes, "{} after {}", after, bytes);
            bytes = after;
        }
    }

    /// Whatever the text, reading it ends, without a panic.
    #[test]
    fn odd_texts_are_refused(text in "[A-Za-z0-9+/]{0,60}") {
        let _ = unpack(&text);
    }
}

/// Three hundred tasks of five jobs on a hundred machines fit into 2 KiB.
#[test]
fn pages_are_small() {
    let mut all = Meaning::new();
    for n in 0..300u32 {
        let job = 607_610 + u64::from(n / 60) * 37;
        let of = all.entry(job).or_default();
        let machine = format!("host-{:06}", 120 + n % 100);
        let attempt = 41_000 + u64::from(n / 20);
        of.0.insert(n % 60, (machine, 1, attempt));
    }
    let packed = pack(&record_of(&all)).expect("a good page");
    assert!(packed.len() < 1500, "{}", packed.len());
    let json = serde_json::to_vec(&record_of(&all)).expect("JSON");
    assert!(json.len() > 2 * packed.len(), "{}", json.len());
    assert_eq!(unpack(&packed[1..]), None);
}
