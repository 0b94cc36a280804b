//! What stands for numbers that differ between the procs of an array.
//!
//! An array is one job whose tasks run the same commands, so these stay in its description
//! and are replaced for each proc.

/// Stands for the proc's number within its cluster.
pub(crate) const PROCESS: &str = "$(Process)";
/// Stands for the proc's number within its `queue` item.
pub(crate) const STEP: &str = "$(Step)";
/// Stands for the cluster's number, which is known only once it is accepted.
pub(crate) const CLUSTER: &str = "$(Cluster)";
