use super::*;

/// The keys of leaves sort as their job numbers do, and `key_before_leaf` is below the key of the
/// leaf that covers the job. Guards against look-ups that skip the leaf of the job, as they would
/// if the numbers in the keys were not padded to the same length.
#[test]
fn keys_sort_as_job_numbers() {
    let jobs = [0, 1, 9, 10, 999_999, 1_000_000, MAX_JOB_NUMBER];
    let keys: Vec<String> = jobs
        .iter()
        .map(|&job| leaf_key(Level::Large, job))
        .collect();
    assert!(keys.is_sorted());
    for (job, key) in jobs.iter().zip(&keys) {
        assert_eq!(last_job_of_leaf_key(Level::Large, key), Some(*job));
        assert_eq!(last_job_of_leaf_key(Level::Small, key), None);
        assert!(key_before_leaf(Level::Large, *job).is_none_or(|since| since < *key));
    }
    assert_eq!(key_before_leaf(Level::Small, 0), None);
    assert_eq!(last_job_of_leaf_key(Level::Small, "h/1/12"), None);
}
