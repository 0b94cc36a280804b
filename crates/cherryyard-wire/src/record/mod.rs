//! Records that controllers store in the state service, and their keys.

mod assignments;
mod format;
mod images;
mod job;
mod keys;
mod lease;

pub use assignments::{AssignmentGroup, Grant, PageRecord};
pub use format::{ADMISSION_LOG, BUCKETS, DEPENDENCIES, FormatRecord, NEWEST_FORMAT};
pub use images::{IMAGE_CHARS, ImagesRecord};
pub use job::{BucketRecord, JobOutcome, JobRecord, TaskUsage};
pub use keys::{
    ATTRIBUTES_KEY, FORMAT_KEY, HISTORY_PROGRESS_KEY, IDS_KEY, Key, LEADER_KEY, MACHINE_TYPES_KEY,
    PREFIX, admission_log_key, assignments_key, bucket_key, grant_key, images_key, job_hash,
    job_key, shard_key,
};
pub use lease::LeaseRecord;
