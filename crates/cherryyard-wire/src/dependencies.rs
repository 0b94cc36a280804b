//! Jobs that wait for others: what a submission names, and what is stored of it.

use crate::error::{FieldProblem, InvalidField};
use crate::job_id::{job_id, job_number};
pub use crate::limits::MAX_DEPENDENCIES;
use serde::{Deserialize, Deserializer, Serialize};

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
pub fn dependency_numbers(ids: &[String]) -> Result<Vec<u64>, InvalidField> {
    if ids.len() > MAX_DEPENDENCIES {
        let problem = FieldProblem::TooManyDependencies { count: ids.len() };
        return Err(InvalidField::new("waits_on", problem));
    }
    let mut numbers = Vec::new();
    for (i, id) in ids.iter().enumerate() {
        let number = job_number(id)
            .ok_or_else(|| InvalidField::new(format!("waits_on[{i}]"), FieldProblem::NotAJobId))?;
        numbers.push(number);
    }
    numbers.sort_unstable();
    numbers.dedup();
    Ok(numbers)
}

/// The ids of jobs with these numbers.
pub fn dependency_ids(numbers: &[u64]) -> Vec<String> {
    numbers.iter().copied().map(job_id).collect()
}
