//! Jobs that wait for others: what a submission names, and what is stored of it.

use crate::job_id::{job_id, job_number};
use serde::{Deserialize, Deserializer, Serialize};

/// Most jobs that a submission may wait for.
pub const MAX_DEPENDENCIES: usize = 64;

/// What an accepted job waits for, as it is stored with the job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dependencies {
    /// Numbers of the jobs that were not done when this was written, in order.
    #[serde(default, rename = "j", skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<u64>,
    /// The number of a job that it needs and that was cancelled when this job was
    /// accepted: it never runs.
    #[serde(default, rename = "x", skip_serializing_if = "Option::is_none")]
    pub cancelled_by: Option<u64>,
    /// When the last job that it needs was done, in milliseconds of the day's clock: from
    /// then on its times count, except the deadline's. None: from its submission.
    #[serde(default, rename = "r", skip_serializing_if = "Option::is_none")]
    pub ready_at: Option<u64>,
}

impl Dependencies {
    /// Whether the job has never waited for another.
    pub fn is_none(&self) -> bool {
        *self == Self::default()
    }
}

/// Reads a list of ids; null is an empty one.
pub(crate) fn read_ids<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<String>, D::Error> {
    Ok(Option::<Vec<String>>::deserialize(from)?.unwrap_or_default())
}

/// The numbers of the named jobs, in order, each once; the error names the entry.
pub fn dependency_numbers(ids: &[String]) -> Result<Vec<u64>, String> {
    if ids.len() > MAX_DEPENDENCIES {
        let count = ids.len();
        return Err(format!(
            "waits_on: {count} jobs, and at most {MAX_DEPENDENCIES} may be named"
        ));
    }
    let mut numbers = Vec::new();
    for (i, id) in ids.iter().enumerate() {
        let number = job_number(id);
        let wrong = || format!("waits_on[{i}]: must be `j-` and digits, such as j-000412");
        numbers.push(number.ok_or_else(wrong)?);
    }
    numbers.sort_unstable();
    numbers.dedup();
    Ok(numbers)
}

/// The ids of jobs with these numbers.
pub fn dependency_ids(numbers: &[u64]) -> Vec<String> {
    numbers.iter().copied().map(job_id).collect()
}
