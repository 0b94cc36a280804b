//! Resolution of a submission's dependencies, which are the jobs that have to be done before it
//! runs.

use crate::mirror::{Mirror, status_of};
use cherryyard_wire::dependencies::{Dependencies, dependency_numbers};
use cherryyard_wire::job::{JobSpec, JobStatus, job_id};
use cherryyard_wire::record::JobOutcome;
use std::collections::BTreeMap;
use thiserror::Error;

/// Ends of jobs that were found in the history, by job number.
pub type HistoryEnds = BTreeMap<u64, JobOutcome>;

/// Result of resolving the dependencies of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// The submission can be accepted, and these dependencies are stored with it.
    Accepted(Dependencies),
    /// This dependency is not known. It may have been accepted a moment ago, or have ended and be
    /// recorded only in the history.
    Unknown(u64),
    /// The submission could never run.
    Never(DependencyError),
}

/// Fault in the dependencies of a submission because of which it could never run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DependencyError {
    /// The list of dependencies is malformed.
    #[error("{0}")]
    Malformed(String),
    /// A dependency is a service, which never ends by itself.
    #[error("waits_on: {} is a service, which is never done", job_id(*.0))]
    IsService(u64),
    /// A dependency has never been submitted.
    #[error("waits_on: {} has never been accepted", job_id(*.0))]
    NeverAccepted(u64),
}

impl Mirror {
    /// Resolves the dependencies of a submission by the jobs in this mirror and by the ends that
    /// were found in the history (`history_ends`). Dependencies that are done are left out; if one
    /// is cancelled, the result names it and no jobs to wait for.
    pub fn resolve_dependencies(&self, spec: &JobSpec, history_ends: &HistoryEnds) -> Resolution {
        let dependency_jobs = match dependency_numbers(&spec.waits_on) {
            Ok(dependency_jobs) => dependency_jobs,
            Err(error) => return Resolution::Never(DependencyError::Malformed(error.to_string())),
        };
        let mut dependencies = Dependencies::default();
        for job in dependency_jobs {
            let past_status = history_ends.get(&job).copied().map(status_of);
            let status = self.status(job).or(past_status);
            match status {
                None => return Resolution::Unknown(job),
                Some(JobStatus::Done) => {}
                Some(JobStatus::Cancelled) => {
                    dependencies.cancelled_by.get_or_insert(job);
                }
                Some(JobStatus::Queued | JobStatus::Running) => {
                    if self.is_service(job) {
                        return Resolution::Never(DependencyError::IsService(job));
                    }
                    dependencies.jobs.push(job);
                }
            }
        }
        if dependencies.cancelled_by.is_some() {
            dependencies.jobs.clear();
        }
        Resolution::Accepted(dependencies)
    }
}
