//! Counts of submissions by flow: those submitted, accepted and refused at this controller, and the
//! sums over all controllers.

use super::flows::{Flow, Flows};
use crate::names::Names;
use cherryyard_wire::peer::DemandReport;
use lru::LruCache;
use std::collections::{BTreeMap, HashMap};
use std::num::NonZeroUsize;

/// Number of recently submitted jobs that are remembered, so that a job whose submission is retried
/// is counted once.
const RECENT_JOBS: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// Submissions of a flow since the start of the process that counts them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    submitted: u64,
    accepted: u64,
    refused: u64,
}

impl Counts {
    fn of(report: &DemandReport) -> Self {
        Self {
            submitted: report.submitted,
            accepted: report.accepted,
            refused: report.refused,
        }
    }

    /// Returns the increase since `before`. A count that is lower than before comes from a
    /// restarted process and is returned whole.
    fn increase_since(self, before: Self) -> Self {
        let increase = |now: u64, before: u64| now.checked_sub(before).unwrap_or(now);
        Self {
            submitted: increase(self.submitted, before.submitted),
            accepted: increase(self.accepted, before.accepted),
            refused: increase(self.refused, before.refused),
        }
    }

    fn add(&mut self, other: Self) {
        self.submitted += other.submitted;
        self.accepted += other.accepted;
        self.refused += other.refused;
    }
}

/// Key of a flow's counts at one controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReportedFlow {
    controller: usize,
    team: u32,
    class: String,
}

/// Counts of submissions by flow since the start of this process.
#[derive(Debug)]
pub(crate) struct Demand {
    recent_jobs: LruCache<u64, ()>,
    counts: BTreeMap<Flow, Counts>,
    /// Counts of each controller at the last call of [`Self::since_last_report`].
    reported: HashMap<ReportedFlow, Counts>,
}

impl Demand {
    pub(crate) fn new() -> Self {
        Self {
            recent_jobs: LruCache::new(RECENT_JOBS),
            counts: BTreeMap::new(),
            reported: HashMap::new(),
        }
    }

    /// Counts a submitted job, unless it is a recent job that is submitted again.
    pub(crate) fn count_submitted(&mut self, flow: Flow, job: u64) {
        let is_known = self.recent_jobs.put(job, ()).is_some();
        self.counts.entry(flow).or_default().submitted += u64::from(!is_known);
    }

    /// Counts a job that was written to the state service.
    pub(crate) fn count_accepted(&mut self, flow: Flow) {
        self.counts.entry(flow).or_default().accepted += 1;
    }

    /// Counts a submission that was refused because of overload.
    pub(crate) fn count_refused(&mut self, flow: Flow) {
        self.counts.entry(flow).or_default().refused += 1;
    }

    /// Returns this controller's counts in the form of the heartbeat.
    pub(crate) fn reports(&self, flows: &Flows) -> Vec<DemandReport> {
        let report = |(&flow, counts): (&Flow, &Counts)| DemandReport {
            class: flows.class(flow).into(),
            team: flows.team(flow),
            submitted: counts.submitted,
            accepted: counts.accepted,
            refused: counts.refused,
        };
        self.counts.iter().map(report).collect()
    }

    /// Returns the sums over all controllers since the last call, as class, team and
    /// `[offered, taken, refused]`; flows without a change are left out. `counted` are the reports
    /// of each controller, by its index.
    pub(crate) fn since_last_report<'a>(
        &mut self,
        counted: impl Iterator<Item = (usize, &'a [DemandReport])>,
        teams: &Names,
    ) -> Vec<(String, String, [u64; 3])> {
        let mut sums: BTreeMap<(u32, &str), Counts> = BTreeMap::new();
        let mut reported = HashMap::new();
        for (controller, reports) in counted {
            for report in reports {
                let now = Counts::of(report);
                let key = ReportedFlow {
                    controller,
                    team: report.team,
                    class: report.class.clone(),
                };
                let before = self.reported.get(&key).copied().unwrap_or_default();
                let sum = sums.entry((report.team, report.class.as_str()));
                sum.or_default().add(now.increase_since(before));
                reported.insert(key, now);
            }
        }
        self.reported = reported;
        let known = sums.iter().filter(|s| (s.0.0 as usize) < teams.len());
        let changed = known.filter(|s| *s.1 != Counts::default());
        changed
            .map(|(&(team, class), sum)| {
                let counts = [sum.submitted, sum.accepted, sum.refused];
                (class.to_string(), teams.name(team).to_string(), counts)
            })
            .collect()
    }
}
