//! Failure attribution: whether a failure is the machine's fault or the job's.
//!
//! A faulty machine fails whatever it gets; a job that was submitted with a mistake
//! fails wherever it runs. One failure tells neither. So a job's failures count against
//! the machines it failed on only until it has failed on several of them: then they are
//! taken back, and the job is quarantined. Before, four failures of any job
//! released a machine, and one bad array emptied a shard of its machines.

use crate::Millis;
use crate::machine::Machine;
use std::collections::BTreeSet;

/// On so many machines a job that never completed anything has to fail to be quarantined.
const QUARANTINE_MACHINES: usize = 3;
/// So many failures without a completion in between show that a machine is faulty.
pub(super) const FAULTY_MACHINE_FAILURES: u32 = 3;
/// How long a quarantined job is first held off; twice as long after each further strike.
const FIRST_HOLD_MS: f64 = 1000.0;
/// Longest that it is held off, before jitter of a quarter either way.
const LONGEST_HOLD_MS: f64 = 32_000.0;
/// How long a job's failures are remembered when none has followed.
const FORGET_MS: f64 = 180_000.0;
/// Half of how long a machine is left alone after its first failure; twice as long after each
/// further one.
const AVOID_MS: f64 = 5000.0;
const MAX_AVOID_DOUBLINGS: u32 = 6;

/// Where a job that has failed stands in a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum FailureAttribution {
    /// It has failed, on too few machines to tell.
    Open,
    /// It fails wherever it runs: one of its tasks at a time is tried.
    Quarantined {
        /// How often it was held off in a row.
        strikes: u32,
        /// When it is tried again.
        until: Millis,
    },
}

/// A job's failures in a shard.
#[derive(Clone, Debug)]
pub(crate) struct JobFailures {
    /// Whose fault they are.
    pub(crate) attribution: FailureAttribution,
    /// Machines on which it has failed, as far as they are needed.
    pub(crate) hosts: BTreeSet<u32>,
    /// When it last failed.
    pub(crate) at: Millis,
}

/// What became of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It counts against the machine, for now.
    Machine,
    /// It is the job's fault, as was known.
    Job,
    /// It is the job's fault, and has just shown to be.
    JobNow,
}

impl JobFailures {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            attribution: FailureAttribution::Open,
            hosts: BTreeSet::new(),
            at: now,
        }
    }

    /// The one place where the attribution changes: the job has failed on a machine. `jitter`
    /// is between 0 and 1.
    pub(crate) fn failed(&mut self, host: u32, jitter: f64, now: Millis) -> Verdict {
        self.at = now;
        let wait = |strikes: u32| {
            let hold_ms = FIRST_HOLD_MS * f64::from(1u32 << strikes.min(5));
            now + hold_ms.min(LONGEST_HOLD_MS) * (0.75 + 0.5 * jitter)
        };
        match self.attribution {
            FailureAttribution::Open => {
                self.hosts.insert(host);
                if self.hosts.len() < QUARANTINE_MACHINES {
                    return Verdict::Machine;
                }
                self.attribution = FailureAttribution::Quarantined {
                    strikes: 0,
                    until: wait(0),
                };
                Verdict::JobNow
            }
            FailureAttribution::Quarantined { strikes, until } => {
                // What was started before counts as one with the last strike: a large
                // array fails by the hundred.
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

    /// Whether the job fails wherever it runs.
    pub(crate) fn is_quarantined(&self) -> bool {
        matches!(self.attribution, FailureAttribution::Quarantined { .. })
    }

    /// Whether none of its tasks is tried for now.
    pub(crate) fn held_off(&self, now: Millis) -> bool {
        matches!(self.attribution, FailureAttribution::Quarantined { until, .. } if now < until)
    }

    /// Whether it is long past.
    pub(crate) fn past(&self, now: Millis) -> bool {
        now - self.at > FORGET_MS
    }
}

impl Machine {
    /// Failures that count against it.
    pub(crate) fn failures(&self) -> u32 {
        self.failures + self.suspected.len() as u32
    }

    /// A task of a job has failed here; `proven` if others of the job completed
    /// elsewhere, else the job itself may be at fault.
    pub(super) fn fails(&mut self, job: u64, proven: bool, now: Millis) {
        if proven {
            self.failures += 1;
        } else {
            self.suspected.insert(job);
        }
        let doublings = self.failures().clamp(1, MAX_AVOID_DOUBLINGS);
        self.avoid_until = now + AVOID_MS * f64::from(1u32 << doublings);
    }

    /// A job has shown to be at fault itself.
    pub(super) fn cleared_of(&mut self, job: u64, now: Millis) {
        if self.suspected.remove(&job) && self.failures() == 0 {
            self.avoid_until = self.avoid_until.min(now);
        }
    }
}

#[cfg(test)]
mod tests;
