//! Failure attribution: whether a failed task is the machine's fault or the job's.
//!
//! A faulty machine fails every task it gets, and a job that was submitted with a mistake fails
//! wherever it runs. One failure does not distinguish the two. So a job's failures count against
//! the machines on which it failed only until it has failed on several of them; then these failures
//! are withdrawn and the job is quarantined. Counting every failure against its machine is not
//! enough: with a limit of four failures, a single faulty array caused all machines of a shard to
//! be released.

use crate::Millis;
use crate::machine::Machine;
use std::collections::BTreeSet;

/// Number of machines on which a job that has not completed any task must fail to be quarantined.
const QUARANTINE_MACHINES: usize = 3;
/// Number of failures without a completed task in between at which a machine counts as faulty.
pub(super) const FAULTY_MACHINE_FAILURES: u32 = 3;
/// Duration of a job's first quarantine hold; it doubles with each further strike.
const FIRST_HOLD_MS: f64 = 1000.0;
/// Maximum duration of a hold, before a jitter of up to a quarter in either direction.
const LONGEST_HOLD_MS: f64 = 32_000.0;
/// Time after its last failure for which a job's failures are remembered.
const FORGET_MS: f64 = 180_000.0;
/// Base of the time for which a machine gets no new tasks after failures: it is doubled once for
/// each failure, `MAX_AVOID_DOUBLINGS` times at most, so the first failure costs twice this time.
const AVOID_BASE_MS: f64 = 5000.0;
const MAX_AVOID_DOUBLINGS: u32 = 6;

/// Attribution of a job's failures in a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FailureAttribution {
    /// The job has failed on too few machines to attribute the failures.
    Undecided,
    /// The job fails wherever it runs: only one of its tasks at a time is tried.
    Quarantined {
        /// Number of further holds after the first.
        strikes: u32,
        /// Time at which the job is tried again.
        until: Millis,
    },
}

/// Failures of a job in a shard.
#[derive(Clone, Debug)]
pub(crate) struct JobFailures {
    /// Attribution of the failures, which is undecided until the job is quarantined.
    pub(crate) attribution: FailureAttribution,
    /// Machines on which the job has failed; cleared when the job is quarantined.
    pub(crate) hosts: BTreeSet<u32>,
    /// Time of the last failure.
    pub(crate) last_failed_at: Millis,
}

/// Attribution of a single failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The failure counts against the machine for now.
    Machine,
    /// The failure is the job's fault, as established before.
    Job,
    /// The failure is the job's fault, which this failure establishes.
    JobEstablished,
}

impl JobFailures {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            attribution: FailureAttribution::Undecided,
            hosts: BTreeSet::new(),
            last_failed_at: now,
        }
    }

    /// Records a failure of the job on a machine and returns its attribution. No other function
    /// changes the attribution. `jitter` is between 0 and 1.
    pub(crate) fn record(&mut self, host: u32, jitter: f64, now: Millis) -> Verdict {
        self.last_failed_at = now;
        let wait = |strikes: u32| {
            let hold_ms = FIRST_HOLD_MS * f64::from(1u32 << strikes.min(5));
            now + hold_ms.min(LONGEST_HOLD_MS) * (0.75 + 0.5 * jitter)
        };
        match self.attribution {
            FailureAttribution::Undecided => {
                self.hosts.insert(host);
                if self.hosts.len() < QUARANTINE_MACHINES {
                    return Verdict::Machine;
                }
                self.attribution = FailureAttribution::Quarantined {
                    strikes: 0,
                    until: wait(0),
                };
                Verdict::JobEstablished
            }
            FailureAttribution::Quarantined { strikes, until } => {
                // Tasks that were started before the hold count toward the last strike, because a
                // large array fails by the hundred.
                if now >= until {
                    self.attribution = FailureAttribution::Quarantined {
                        strikes: strikes + 1,
                        until: wait(strikes + 1),
                    };
                }
                Verdict::Job
            }
        }
    }

    /// Returns whether the job is quarantined because it fails wherever it runs.
    pub(crate) fn is_quarantined(&self) -> bool {
        matches!(self.attribution, FailureAttribution::Quarantined { .. })
    }

    /// Returns whether the job is quarantined and on hold, so that none of its tasks is tried now.
    pub(crate) fn is_on_hold(&self, now: Millis) -> bool {
        matches!(self.attribution, FailureAttribution::Quarantined { until, .. } if now < until)
    }

    /// Returns whether the last failure is long enough ago to be forgotten.
    pub(crate) fn is_forgotten(&self, now: Millis) -> bool {
        now - self.last_failed_at > FORGET_MS
    }
}

impl Machine {
    /// Returns the number of failures that count against the machine.
    pub(crate) fn failures(&self) -> u32 {
        self.failures + self.unattributed_jobs.len() as u32
    }

    /// Records a failure of a job's task on the machine. `proven` means that other tasks of the job
    /// have completed elsewhere; otherwise the job itself may be at fault.
    pub(super) fn record_failure(&mut self, job: u64, proven: bool, now: Millis) {
        if proven {
            self.failures += 1;
        } else {
            self.unattributed_jobs.insert(job);
        }
        let doublings = self.failures().clamp(1, MAX_AVOID_DOUBLINGS);
        self.avoid_until = now + AVOID_BASE_MS * f64::from(1u32 << doublings);
    }

    /// Withdraws the failures of a job that turned out to be at fault itself.
    pub(super) fn withdraw_failures_of(&mut self, job: u64, now: Millis) {
        if self.unattributed_jobs.remove(&job) && self.failures() == 0 {
            self.avoid_until = self.avoid_until.min(now);
        }
    }
}

#[cfg(test)]
mod tests;
