//! Dependencies between jobs: the ids that a submission names, and the record that is stored
//! with the job.

use crate::error::{FieldProblem, InvalidField};
use crate::job_id::{job_id, job_number};
pub use crate::limits::MAX_DEPENDENCIES;
use serde::{Deserialize, Deserializer, Serialize};

/// Dependencies of an accepted job, as they are stored with the job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dependencies {
    /// Numbers of the jobs that this job needs and that were not done when the record was
    /// written, in ascending order.
    #[serde(default, rename = "j", skip_serializing_if = "Vec::is_empty")]
    pub jobs: Vec<u64>,
    /// Number of a needed job that was already cancelled when this job was accepted; this
    /// job then never runs.
    #[serde(default, rename = "x", skip_serializing_if = "Option::is_none")]
    pub cancelled_by: Option<u64>,
    /// Time at which the last needed job was done, in milliseconds since the Unix epoch. The
    /// job's times count from then on, except for its deadline, which counts from the
    /// submission. `None`: all of them count from the submission.
    #[serde(default, rename = "r", skip_serializing_if = "Option::is_none")]
    pub ready_at: Option<u64>,
}

impl Dependencies {
    /// Returns whether the job has never waited for another.
    pub fn never_waited(&self) -> bool {
        *self == Self::default()
    }
}

/// Deserializes a list of ids; null is read as an empty list.
pub(crate) fn read_ids<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<String>, D::Error> {
    Ok(Option::<Vec<String>>::deserialize(deserializer)?.unwrap_or_default())
}

/// Returns the numbers of the named jobs, in ascending order and without duplicates; the error
/// names the invalid entry.
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

/// Returns the ids of the jobs with these numbers.
pub fn dependency_ids(numbers: &[u64]) -> Vec<String> {
    numbers.iter().copied().map(job_id).collect()
}
