//! Bounds of what users and operators may send.

/// Most bytes of a job's class, team and image.
pub const MAX_NAME_BYTES: usize = 200;

/// Most tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// Most jobs that a submission may wait for.
pub const MAX_DEPENDENCIES: usize = 64;

/// Longest expression in a job's rules.
pub const MAX_EXPRESSION: usize = 2048;

/// Most blocks of pools.
pub const MAX_BLOCKS: usize = 64;

/// Most attributes in one group of operators' own.
pub const MAX_ATTRIBUTES: usize = 64;

/// Most chunks of a bulk submission.
pub const MAX_CHUNKS: u32 = 4096;

/// Most jobs of a bulk submission.
pub const MAX_JOBS: u64 = 100_000;

/// The id that stands in templates of submissions, whose jobs get ids later.
pub const NO_ID: &str = "j-000000";
