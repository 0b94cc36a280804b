//! Limits on the requests of users and the settings of operators.

/// Maximum length of the names of a job's class, team and image, in bytes.
pub const MAX_NAME_BYTES: usize = 200;

/// Maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 100_000;

/// Maximum number of jobs that a job may wait for.
pub const MAX_DEPENDENCIES: usize = 64;

/// Maximum length of an expression in a job's rules, in bytes.
pub const MAX_EXPRESSION: usize = 2048;

/// Maximum number of blocks of pools in a job's rules.
pub const MAX_POOL_BLOCKS: usize = 64;

/// Maximum number of custom machine attributes in a group: of all machines, of a machine type or
/// of a zone.
pub const MAX_ATTRIBUTES: usize = 64;

/// Maximum number of chunks of a bulk submission.
pub const MAX_CHUNKS: u32 = 4096;

/// Maximum number of jobs of a bulk submission.
pub const MAX_JOBS: u64 = 100_000;

/// Placeholder id in the templates of bulk submissions, whose jobs get their ids on acceptance.
pub const NO_ID: &str = "j-000000";
