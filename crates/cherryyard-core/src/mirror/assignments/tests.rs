use super::TaskTable;
use crate::pages::{Assignment, Page};

const JOB: u64 = 7;
const OLD_HOST: u32 = 1;
const NEW_HOST: u32 = 2;

fn assigned(host: u32, attempt: u64) -> Assignment {
    Assignment {
        host,
        incarnation: 1,
        attempt,
    }
}

/// Returns a page with assigned and completed tasks of one job.
fn page(assignments: &[(u32, Assignment)], done: &[u32]) -> Page {
    let mut page = Page {
        revision: 1,
        ..Page::default()
    };
    let entries = page.jobs.entry(JOB).or_default();
    entries.assignments.extend(assignments.iter().copied());
    entries.done = done.iter().copied().collect();
    page
}

/// Guards against an entry that replaces a completion or a newer attempt, in either order of pages.
#[test]
fn pages_that_differ_on_a_task_are_merged_by_proof() {
    let old = page(
        &[(0, assigned(OLD_HOST, 5)), (1, assigned(OLD_HOST, 5))],
        &[],
    );
    let new = page(&[(1, assigned(NEW_HOST, 9))], &[0]);
    for pages in [[&old, &new], [&new, &old]] {
        let mut table = TaskTable::new(1);
        for (number, page) in pages.into_iter().enumerate() {
            for job in table.set_page(0, number as u32, Some(page.clone())) {
                table.refresh_assignments(0, job);
            }
        }
        let merged = &table.assignments[&(0, JOB)];
        let newest = merged
            .assignments
            .iter()
            .map(|(&number, entry)| (number, entry.0));
        assert_eq!(newest.collect::<Vec<_>>(), [(1, assigned(NEW_HOST, 9))]);
        assert_eq!(merged.done, [0].into_iter().collect());
        assert!(
            table
                .machine_tasks(OLD_HOST)
                .is_none_or(|tasks| tasks.is_empty())
        );
        assert_eq!(table.first_shared_page(0), Some(0));
    }
}

/// Guards against a division that is given up before its page is deleted.
#[test]
fn a_page_is_in_division_while_a_later_page_shares_a_task() {
    let mut table = TaskTable::new(1);
    let set = |table: &mut TaskTable, number: u32, page: Option<Page>| {
        for job in table.set_page(0, number, page) {
            table.refresh_assignments(0, job);
        }
        table.first_shared_page(0)
    };
    let source = page(
        &[(0, assigned(OLD_HOST, 5)), (1, assigned(OLD_HOST, 5))],
        &[2],
    );
    assert_eq!(set(&mut table, 3, Some(source)), None);
    assert_eq!(set(&mut table, 4, Some(page(&[], &[2]))), Some(3));
    let copy = page(&[(0, assigned(OLD_HOST, 5))], &[]);
    assert_eq!(set(&mut table, 5, Some(copy)), Some(3));
    assert_eq!(set(&mut table, 4, None), Some(3));
    assert_eq!(set(&mut table, 3, None), None);
}
