use super::codec::FRAME;
use super::*;
use cherryyard_wire::history::{LAST, LeafRecord};
use cherryyard_wire::record::End;
use proptest::prelude::*;

fn past() -> impl Strategy<Value = FinishedJob> {
    (0..=LAST, any::<bool>(), 0u32..100_000, 20_000u32..20_400).prop_map(
        |(job, over, done, day)| FinishedJob {
            job,
            end: if over { End::Done } else { End::Cancelled },
            done,
            day,
        },
    )
}

proptest! {
    /// What is written is read again, whatever the ids; the size is never
    /// more than was reckoned; merging loses nothing and keeps the order.
    #[test]
    fn leaves_come_back(
        old in prop::collection::vec(past(), 0..300),
        new in prop::collection::vec(past(), 1..300),
        most in 200usize..4000,
    ) {
        let leaf = Leaf::new(old.clone());
        let record = leaf.to_record();
        prop_assert_eq!(Leaf::from_record(&record).unwrap(), leaf.clone());
        let json = record.base64.len() + FRAME;
        prop_assert!(json <= Leaf::size(leaf.jobs()) + 4);
        let new = Leaf::new(new);
        let pieces = leaf.merged_with(new.jobs(), 0, most);
        let count = new.jobs().iter().filter(|p| leaf.find(p.job).is_none()).count();
        let all: Vec<FinishedJob> = pieces.iter().flat_map(|p| p.jobs().to_vec()).collect();
        if count > 0 {
            prop_assert_eq!(all.len(), leaf.jobs().len() + count);
            prop_assert!(all.is_sorted_by_key(|p| p.job));
            for p in &pieces {
                prop_assert!(Leaf::size(p.jobs()) <= most || p.jobs().len() == 1);
            }
            for p in &old {
                prop_assert!(pieces.iter().any(|leaf| leaf.find(p.job).is_some()));
            }
        }
        // Merged again, nothing changes: a merge cut off may be repeated.
        for piece in &pieces {
            let part: Vec<FinishedJob> = new.jobs().iter().filter(|p| piece.find(p.job).is_some()).copied().collect();
            prop_assert!(piece.merged_with(&part, 0, most).is_empty());
        }
    }

    /// No record that is damaged does more than fail.
    #[test]
    fn damaged_records_are_refused(n in 0u32..5000, b in "[A-Za-z0-9+/]{0,200}") {
        let _ = Leaf::from_record(&LeafRecord { job_count: n, base64: b });
    }
}

/// Dense ids take a few bytes, sparse ones not many more.
#[test]
fn bytes_a_job() {
    let job = |i: u64, gap: u64| FinishedJob {
        job: i * gap,
        end: End::Done,
        done: 50,
        day: 20_423,
    };
    for (gap, most) in [(1, 4.1), (1_000_000_000_000, 11.0)] {
        let leaf = Leaf::new((0..400).map(|i| job(i, gap)).collect());
        let bytes = leaf.to_record().base64.len() as f64 / 400.0;
        assert!(bytes < most, "{gap}: {bytes}");
    }
    let old = Leaf::new(vec![job(1, 1)]).merged_with(&[job(2, 1)], 20_424, 1000);
    assert_eq!(old[0].jobs().len(), 1, "what is too old is dropped");
}
