use super::codec::RECORD_OVERHEAD_BYTES;
use super::*;
use cherryyard_wire::history::{LeafRecord, MAX_JOB_NUMBER};
use cherryyard_wire::record::JobOutcome;
use proptest::prelude::*;

fn finished_job() -> impl Strategy<Value = FinishedJob> {
    (
        0..=MAX_JOB_NUMBER,
        any::<bool>(),
        0u32..100_000,
        20_000u32..20_400,
    )
        .prop_map(|(job, is_done, done, day)| FinishedJob {
            job,
            end: if is_done {
                JobOutcome::Done
            } else {
                JobOutcome::Cancelled
            },
            done,
            day,
        })
}

proptest! {
    /// Guards against a codec that changes jobs for some numbers, a size bound that is
    /// below the size of the encoded record, and merges that lose jobs or put them out of
    /// order.
    #[test]
    fn records_round_trip_and_merges_keep_all_jobs(
        old in prop::collection::vec(finished_job(), 0..300),
        new in prop::collection::vec(finished_job(), 1..300),
        max_bytes in 200usize..4000,
    ) {
        let leaf = Leaf::new(old.clone());
        let record = leaf.to_record();
        prop_assert_eq!(Leaf::from_record(&record).unwrap(), leaf.clone());
        let json = record.base64.len() + RECORD_OVERHEAD_BYTES;
        prop_assert!(json <= Leaf::max_json_bytes(leaf.jobs()) + 4);
        let new = Leaf::new(new);
        let leaves = leaf.merged_with(new.jobs(), 0, max_bytes);
        let count = new.jobs().iter().filter(|finished| leaf.find(finished.job).is_none()).count();
        let all: Vec<FinishedJob> = leaves.iter().flat_map(|leaf| leaf.jobs().to_vec()).collect();
        if count > 0 {
            prop_assert_eq!(all.len(), leaf.jobs().len() + count);
            prop_assert!(all.is_sorted_by_key(|finished| finished.job));
            for leaf in &leaves {
                prop_assert!(Leaf::max_json_bytes(leaf.jobs()) <= max_bytes || leaf.jobs().len() == 1);
            }
            for finished in &old {
                prop_assert!(leaves.iter().any(|leaf| leaf.find(finished.job).is_some()));
            }
        }
        // A merge that is repeated after a crash must write nothing.
        for leaf in &leaves {
            let part: Vec<FinishedJob> = new.jobs().iter().filter(|finished| leaf.find(finished.job).is_some()).copied().collect();
            prop_assert!(leaf.merged_with(&part, 0, max_bytes).is_empty());
        }
    }

    /// Guards against panics in decoding damaged records.
    #[test]
    fn damaged_records_do_not_panic(n in 0u32..5000, b in "[A-Za-z0-9+/]{0,200}") {
        let _ = Leaf::from_record(&LeafRecord { job_count: n, base64: b });
    }
}

/// Guards against growth of the encoding (dense job numbers take a few bytes, sparse ones
/// not many more) and against merges that keep jobs archived before the oldest kept day.
#[test]
fn encoded_bytes_per_job_are_bounded() {
    let job = |i: u64, gap: u64| FinishedJob {
        job: i * gap,
        end: JobOutcome::Done,
        done: 50,
        day: 20_423,
    };
    for (gap, max_bytes) in [(1, 4.1), (1_000_000_000_000, 11.0)] {
        let leaf = Leaf::new((0..400).map(|i| job(i, gap)).collect());
        let bytes_per_job = leaf.to_record().base64.len() as f64 / 400.0;
        assert!(bytes_per_job < max_bytes, "{gap}: {bytes_per_job}");
    }
    let old = Leaf::new(vec![job(1, 1)]).merged_with(&[job(2, 1)], 20_424, 1000);
    assert_eq!(
        old[0].jobs().len(),
        1,
        "a job archived before the oldest kept day is dropped"
    );
}
