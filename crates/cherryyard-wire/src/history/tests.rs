use super::*;

/// Keys sort as their ids do, and the first key after an id's is its leaf's.
#[test]
fn keys_sort_as_ids() {
    let ids = [0, 1, 9, 10, 999_999, 1_000_000, LAST];
    let keys: Vec<String> = ids.iter().map(|&id| leaf_key(Level::Large, id)).collect();
    assert!(keys.is_sorted());
    for (id, key) in ids.iter().zip(&keys) {
        assert_eq!(leaf_of_key(Level::Large, key), Some(*id));
        assert_eq!(leaf_of_key(Level::Small, key), None);
        assert!(since_key(Level::Large, *id).is_none_or(|since| since < *key));
    }
    assert_eq!(since_key(Level::Small, 0), None);
    assert_eq!(leaf_of_key(Level::Small, "h/1/12"), None);
}
