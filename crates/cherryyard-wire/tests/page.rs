//! Packed pages of assignments: unpacking restores a page, the encoding is compact, and a page
//! does not grow as its tasks end.

use cherryyard_wire::RangeSet;
use cherryyard_wire::page::{pack, unpack};
use cherryyard_wire::record::PageRecord;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Content of a page, independent of its layout: by job, the running tasks (by task number:
/// machine, incarnation and attempt) and the numbers of the completed tasks.
type PageContent = BTreeMap<u64, (BTreeMap<u32, (String, u64, u64)>, RangeSet)>;

fn content(record: &PageRecord) -> PageContent {
    let mut contents = PageContent::new();
    for (job, groups, completed) in &record.jobs {
        let mut running = BTreeMap::new();
        for group in groups {
            for pair in group[2..].chunks_exact(2) {
                let machine = record.machines[pair[0] as usize].clone();
                running.insert(pair[1] as u32, (machine, group[1], group[0]));
            }
        }
        contents.insert(*job, (running, completed.clone()));
    }
    contents
}

fn record_of(content: &PageContent) -> PageRecord {
    let mut record = PageRecord::default();
    for (job, (running, completed)) in content {
        let mut groups: BTreeMap<(u64, u64), Vec<u64>> = BTreeMap::new();
        for (&number, (machine, incarnation, attempt)) in running {
            let index = record.machines.iter().position(|name| name == machine);
            let index = index.unwrap_or_else(|| {
                record.machines.push(machine.clone());
                record.machines.len() - 1
            });
            let key = (*attempt, *incarnation);
            let group = groups
                .entry(key)
                .or_insert_with(|| vec![*attempt, *incarnation]);
            group.extend([index as u64, number.into()]);
        }
        let groups = groups.into_values().collect();
        record.jobs.push((*job, groups, completed.clone()));
    }
    record
}

fn machine_names() -> impl Strategy<Value = String> {
    prop_oneof![
        20 => (0u32..400).prop_map(|n| format!("host-{n:06}")),
        1 => (0u32..5).prop_map(|n| format!("m{n}x")),
    ]
}

fn page_contents() -> impl Strategy<Value = PageContent> {
    let running =
        prop::collection::btree_map(0u32..900, (machine_names(), 1u64..4, 1u64..90_000), 0..25);
    let completed = prop::collection::btree_set(0u32..900, 0..30);
    let completed = completed.prop_map(|set| set.into_iter().collect::<RangeSet>());
    prop::collection::btree_map(1u64..900_000, (running, completed), 0..8)
}

proptest! {
    /// Unpacking a packed page restores its content. Guards against assignments that are lost or
    /// change when a page is stored.
    #[test]
    fn unpacking_restores_the_page(contents in page_contents()) {
        let packed = pack(&record_of(&contents)).expect("a valid page");
        let read = unpack(&packed).expect("a readable page");
        prop_assert_eq!(content(&read), contents);
    }

    /// A page never takes more bytes after one of its tasks has ended, completed or lost, in any
    /// order. Guards against pages that outgrow the maximum size of a value as their tasks end.
    #[test]
    fn page_never_grows_as_tasks_end(mut contents in page_contents(), order in any::<u64>()) {
        let mut bytes = pack(&record_of(&contents)).expect("a valid page").len();
        let mut random = order | 1;
        loop {
            let tasks: Vec<(u64, u32)> = contents
                .iter()
                .flat_map(|(job, job_tasks)| job_tasks.0.keys().map(|n| (*job, *n)))
                .collect();
            if tasks.is_empty() {
                break;
            }
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let (job, number) = tasks[(random >> 33) as usize % tasks.len()];
            let job_tasks = contents.get_mut(&job).expect("a job of the page");
            job_tasks.0.remove(&number);
            if random >> 62 != 0 {
                job_tasks.1.insert(number);
            }
            if job_tasks.0.is_empty() && job_tasks.1.is_empty() {
                contents.remove(&job);
            }
            let after = pack(&record_of(&contents)).expect("a valid page").len();
            prop_assert!(after <= bytes, "{} after {}", after, bytes);
            bytes = after;
        }
    }

    /// Unpacking any text ends without a panic, so that a malformed page cannot crash a
    /// controller.
    #[test]
    fn malformed_text_does_not_panic(text in "[A-Za-z0-9+/]{0,60}") {
        let _ = unpack(&text);
    }
}

/// Three hundred tasks of five jobs on a hundred machines take less than 1500 bytes, and less than
/// half of their JSON. Guards against an encoding that lets a page hold fewer tasks.
#[test]
fn pages_are_small() {
    let mut contents = PageContent::new();
    for n in 0..300u32 {
        let job = 607_610 + u64::from(n / 60) * 37;
        let job_tasks = contents.entry(job).or_default();
        let machine = format!("host-{:06}", 120 + n % 100);
        let attempt = 41_000 + u64::from(n / 20);
        job_tasks.0.insert(n % 60, (machine, 1, attempt));
    }
    let packed = pack(&record_of(&contents)).expect("a valid page");
    assert!(packed.len() < 1500, "{}", packed.len());
    let json = serde_json::to_vec(&record_of(&contents)).expect("JSON");
    assert!(json.len() > 2 * packed.len(), "{}", json.len());
    assert_eq!(unpack(&packed[1..]), None);
}
