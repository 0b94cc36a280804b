use super::Page;
use crate::names::Names;
use cherryyard_wire::RangeSet;
use cherryyard_wire::page::StoredPage;
use cherryyard_wire::record::PageRecord;

/// Guards against a completed task that starts again from a page in which an earlier build joined two.
#[test]
fn a_task_stored_as_assigned_and_completed_is_completed() {
    let record = PageRecord {
        machines: vec!["host-000001".into()],
        jobs: vec![(7, vec![vec![5, 1, 0, 3, 0, 4]], RangeSet::from_range(2, 3))],
    };
    let page = Page::from_stored(StoredPage::Plain(record), 9, &mut Names::default());
    let page = page.expect("a valid page");
    let entries = &page.jobs[&7];
    assert_eq!(entries.assignments.keys().collect::<Vec<_>>(), [&4]);
    assert_eq!(entries.done, RangeSet::from_range(2, 3));
}
