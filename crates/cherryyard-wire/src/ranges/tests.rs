use super::*;

/// Every operation gives the same result as on a `BTreeSet`, over 3000 random insertions and
/// removals in two sets, and the ranges stay canonical. Guards against faults where ranges are
/// split, joined or cut at their ends.
#[test]
fn operations_match_btree_set() {
    use std::collections::BTreeSet;
    let mut state = 9u32;
    let mut next_random = move || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        state >> 8
    };
    let (mut left, mut expected_left) = (RangeSet::new(), BTreeSet::new());
    let (mut right, mut expected_right) = (RangeSet::new(), BTreeSet::new());
    for _ in 0..3000 {
        let n = next_random() % 60;
        match next_random() % 4 {
            0 => {
                left.insert(n);
                expected_left.insert(n);
            }
            1 => {
                left.remove(n);
                expected_left.remove(&n);
            }
            2 => {
                right.insert(n);
                expected_right.insert(n);
            }
            _ => {
                right.remove(n);
                expected_right.remove(&n);
            }
        }
        assert!(left.is_canonical() && right.is_canonical());
        assert!(left.iter().eq(expected_left.iter().copied()));
        let covers = (0..n).all(|number| expected_left.contains(&number));
        assert_eq!(left.covers_first(n), covers);
        assert!(
            left.difference(&right)
                .iter()
                .eq(expected_left.difference(&expected_right).copied())
        );
        assert!(
            left.union(&right)
                .iter()
                .eq(expected_left.union(&expected_right).copied())
        );
        assert!(
            left.first(5)
                .iter()
                .eq(expected_left.iter().copied().take(5))
        );
        assert!(
            left.last(5).iter().eq(expected_left
                .iter()
                .copied()
                .skip(expected_left.len().saturating_sub(5)))
        );
        assert_eq!(left.contains(n), expected_left.contains(&n));
        assert_eq!(left.len() as usize, expected_left.len());
    }
}
