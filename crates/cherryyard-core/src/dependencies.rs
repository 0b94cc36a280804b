//! Dependencies of a submission: what has become of the jobs that it names.

use crate::controller::Controller;
use cherryyard_wire::dependencies::{Dependencies, dependency_numbers};
use cherryyard_wire::job::{JobSpec, JobStatus, job_id};
use cherryyard_wire::record::End;
use std::collections::BTreeMap;

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
    /// It could never run, and why.
    Never(String),
}

/// Why a submission is refused that names a job nobody has submitted.
pub fn never_accepted(job: u64) -> String {
    format!("waits_on: {} has never been accepted", job_id(job))
}

impl Controller {
    /// What becomes of a submission for the jobs that it names, as this controller knows
    /// them, and by the ends that were found in the history.
    pub fn resolve_dependencies(&self, spec: &JobSpec, past: &PastEnds) -> Resolution {
        let needs = match dependency_numbers(&spec.waits_on) {
            Ok(needs) => needs,
            Err(why) => return Resolution::Never(why.to_string()),
        };
        let mut after = Dependencies::default();
        for need in needs {
            let over = past.get(&need).map(|end| match end {
                End::Done => JobStatus::Done,
                End::Cancelled => JobStatus::Cancelled,
            });
            let status = self.mirror.view(need).map(|view| view.status).or(over);
            match status {
                None => return Resolution::Unknown(need),
                Some(JobStatus::Done) => {}
                Some(JobStatus::Cancelled) => {
                    after.cancelled_by.get_or_insert(need);
                }
                Some(JobStatus::Queued | JobStatus::Running) => {
                    if self.mirror.is_service(need) {
                        let id = job_id(need);
                        let why = format!("waits_on: {id} is a service, which is never done");
                        return Resolution::Never(why);
                    }
                    after.jobs.push(need);
                }
            }
        }
        if after.cancelled_by.is_some() {
            after.jobs.clear();
        }
        Resolution::Accepted(after)
    }
}
