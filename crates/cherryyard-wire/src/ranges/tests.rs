use super::*;

/// Every operation agrees with a plain set of numbers.
#[test]
fn agrees_with_a_plain_set() {
    use std::collections::BTreeSet;
    let mut x = 9u32;
    let mut next = move || {
        x = x.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        x >> 8
    };
    let (mut a, mut pa) = (RangeSet::new(), BTreeSet::new());
    let (mut b, mut pb) = (RangeSet::new(), BTreeSet::new());
    for _ in 0..3000 {
        let n = next() % 60;
        match next() % 4 {
            0 => {
                a.insert(n);
                pa.insert(n);
            }
            1 => {
                a.remove(n);
                pa.remove(&n);
            }
            2 => {
                b.insert(n);
                pb.insert(n);
            }
            _ => {
                b.remove(n);
                pb.remove(&n);
            }
        }
        assert!(a.is_canonical() && b.is_canonical());
        assert!(a.iter().eq(pa.iter().copied()));
        assert!(a.minus(&b).iter().eq(pa.difference(&pb).copied()));
        assert!(a.union(&b).iter().eq(pa.union(&pb).copied()));
        assert!(a.first(5).iter().eq(pa.iter().copied().take(5)));
        assert!(
            a.last(5)
                .iter()
                .eq(pa.iter().copied().skip(pa.len().saturating_sub(5)))
        );
        assert_eq!(a.contains(n), pa.contains(&n));
        assert_eq!(a.len() as usize, pa.len());
    }
}
