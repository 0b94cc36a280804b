//! Whose fault a failure is: the machine's or the job's.
//!
//! A faulty machine fails whatever it gets; a job that was submitted with a mistake
//! fails wherever it runs. One failure tells neither. So a job's failures count against
//! the machines it failed on only until it has failed on several of them: then they are
//! taken back, and it is the job that is held off. Before, four failures of any job
//! returned a machine, and one bad array emptied a part of its machines.

use super::*;
use rand::RngExt;

/// On so many machines a job that never completed anything has to fail to be blamed.
pub(crate) const MACHINES: usize = 3;
/// So many failures without a completion in between return a machine.
pub(crate) const FAULTY: u32 = 3;
/// Longest that a blamed job is held off, before jitter of a quarter either way.
const LONGEST_MS: f64 = 32_000.0;
/// How long a job's failures are remembered when none has followed.
const FORGET_MS: f64 = 180_000.0;
/// How long a machine is left alone after its first failure.
const AVOID_MS: f64 = 5000.0;

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

    /// The one place where a job's blame changes: it has failed on a machine. `jitter`
    /// is between 0 and 1.
    pub(crate) fn failed(&mut self, host: u32, jitter: f64, now: Millis) -> Verdict {
        self.at = now;
        let wait = |strikes: u32| {
            let ms = (1000.0 * f64::from(1u32 << strikes.min(5))).min(LONGEST_MS);
            now + ms * (0.75 + 0.5 * jitter)
        };
        match self.attribution {
            FailureAttribution::Open => {
                self.hosts.insert(host);
                if self.hosts.len() < MACHINES {
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
    fn fails(&mut self, job: u64, proven: bool, now: Millis) {
        if proven {
            self.failures += 1;
        } else {
            self.suspected.insert(job);
        }
        self.avoid_until = now + AVOID_MS * f64::from(1u32 << self.failures().clamp(1, 6));
    }

    /// A job has shown to be at fault itself.
    fn cleared_of(&mut self, job: u64, now: Millis) {
        if self.suspected.remove(&job) && self.failures() == 0 {
            self.avoid_until = self.avoid_until.min(now);
        }
    }
}

impl Controller {
    /// A task of a job has completed on a machine: neither is at fault.
    pub(crate) fn note_done(&mut self, shard_id: usize, job: u64, host: u32) {
        if let Some(t) = self.shards[shard_id].job_failures.remove(&job)
            && t.is_quarantined()
        {
            tracing::info!(
                job,
                shard = shard_id,
                "a job that failed everywhere completes"
            );
        }
        if let Some(m) = self.machines.get_mut(&host) {
            m.failures = 0;
            m.suspected.clear();
        }
    }

    /// A task of a job has failed on a machine.
    pub(crate) fn note_failed(&mut self, shard_id: usize, job: u64, host: u32, now: Millis) {
        let proven = self.mirror.done(job) > 0;
        let jitter = self.rng.random_range(0.0..1.0);
        let job_failures = &mut self.shards[shard_id].job_failures;
        let t = job_failures
            .entry(job)
            .or_insert_with(|| JobFailures::new(now));
        let verdict = if proven && !t.is_quarantined() {
            // Others of it have completed: the machine, unless it fails on many.
            t.hosts.insert(host);
            t.at = now;
            Verdict::Machine
        } else {
            t.failed(host, jitter, now)
        };
        match verdict {
            Verdict::Machine => {
                if let Some(m) = self.machines.get_mut(&host) {
                    m.fails(job, proven, now);
                }
            }
            Verdict::JobNow => {
                let hosts = std::mem::take(&mut t.hosts);
                tracing::info!(
                    job,
                    shard = shard_id,
                    "a job fails on every machine: hold it off"
                );
                for host in hosts {
                    if let Some(m) = self.machines.get_mut(&host) {
                        m.cleared_of(job, now);
                    }
                }
            }
            Verdict::Job => {}
        }
    }

    /// Forgets failures long past.
    pub(crate) fn forget_job_failures(&mut self, shard_id: usize, now: Millis) {
        let open = &self.mirror.open;
        self.shards[shard_id]
            .job_failures
            .retain(|job, t| open.contains_key(job) && !t.past(now));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// One bad array of a hundred tasks on four machines is one strike, not a hundred,
    /// and is known after three machines; waits are bounded and jittered.
    #[test]
    fn a_job_is_blamed_after_three_machines() {
        let mut t = JobFailures::new(0.0);
        let verdicts: Vec<Verdict> = (0..100)
            .map(|i| t.failed(i % 4, 0.5, f64::from(i)))
            .collect();
        assert_eq!(verdicts[..2], [Verdict::Machine, Verdict::Machine]);
        assert_eq!(verdicts[2], Verdict::JobNow);
        assert!(verdicts[3..].iter().all(|v| *v == Verdict::Job));
        assert!(t.held_off(1001.0) && !t.held_off(1002.0));
        let mut now = 1002.0;
        let mut waits = Vec::new();
        for jitter in [0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.0, 0.999] {
            t.failed(9, jitter, now);
            let FailureAttribution::Quarantined { until, .. } = t.attribution else {
                panic!("not blamed")
            };
            waits.push(((until - now) / 1000.0).round());
            now = until;
        }
        assert_eq!(waits, [2.0, 4.0, 8.0, 16.0, 32.0, 32.0, 24.0, 40.0]);
    }

    /// The same machine again and again says nothing of the job.
    #[test]
    fn one_machine_blames_no_job() {
        let mut t = JobFailures::new(0.0);
        for i in 0..50 {
            assert_eq!(t.failed(7, 0.5, f64::from(i)), Verdict::Machine);
        }
        assert!(!t.is_quarantined());
    }
}
