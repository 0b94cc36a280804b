//! Defines placeholders for the numbers that differ between the procs of an array.
//!
//! An array is one job whose tasks run the same commands, so the placeholders stay in its
//! description and are replaced for each proc.

/// Placeholder for the proc's number within its cluster.
pub(crate) const PROCESS: &str = "$(Process)";
/// Placeholder for the proc's number within its `queue` item.
pub(crate) const STEP: &str = "$(Step)";
/// Placeholder for the cluster's number, which is known only once the cluster is accepted.
pub(crate) const CLUSTER: &str = "$(Cluster)";
