//! Dependencies of a submission: what has become of the jobs that it names.

use crate::mirror::Mirror;
use cherryyard_wire::dependencies::{Dependencies, dependency_numbers};
use cherryyard_wire::job::{JobSpec, JobStatus, job_id};
use cherryyard_wire::record::End;
use std::collections::BTreeMap;
use thiserror::Error;

/// Ends that were found in the history, by job.
pub type PastEnds = BTreeMap<u64, End>;

/// What becomes of a submission for the jobs that it names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// It can be accepted, with this stored.
    Accepted(Dependencies),
    /// Nothing is known of this job. It may have been accepted a moment ago, or be over
    /// and only in the history.
    Unknown(u64),
    /// It could never run.
    Never(DependencyError),
}

/// Why a submission could never run for the jobs that it names.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DependencyError {
    /// The list of jobs is malformed.
    #[error("{0}")]
    Malformed(String),
    /// It names a service.
    #[error("waits_on: {} is a service, which is never done", job_id(*.0))]
    IsService(u64),
    /// It names a job that nobody has submitted.
    #[error("waits_on: {} has never been accepted", job_id(*.0))]
    NeverAccepted(u64),
}

fn status_of(end: End) -> JobStatus {
    match end {
        End::Done => JobStatus::Done,
        End::Cancelled => JobStatus::Cancelled,
    }
}

impl Mirror {
    /// What becomes of a submission for the jobs that it names, as they are known here, and
    /// by the ends that were found in the history.
    pub fn resolve_dependencies(&self, spec: &JobSpec, past: &PastEnds) -> Resolution {
        let needs = match dependency_numbers(&spec.waits_on) {
            Ok(needs) => needs,
            Err(error) => return Resolution::Never(DependencyError::Malformed(error.to_string())),
        };
        let mut dependencies = Dependencies::default();
        for need in needs {
            let past_status = past.get(&need).copied().map(status_of);
            let status = self.view(need).map(|view| view.status).or(past_status);
            match status {
                None => return Resolution::Unknown(need),
                Some(JobStatus::Done) => {}
                Some(JobStatus::Cancelled) => {
                    dependencies.cancelled_by.get_or_insert(need);
                }
                Some(JobStatus::Queued | JobStatus::Running) => {
                    if self.is_service(need) {
                        return Resolution::Never(DependencyError::IsService(need));
                    }
                    dependencies.jobs.push(need);
                }
            }
        }
        if dependencies.cancelled_by.is_some() {
            dependencies.jobs.clear();
        }
        Resolution::Accepted(dependencies)
    }
}
