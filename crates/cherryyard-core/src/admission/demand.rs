//! What has become of submissions, by flow: at every controller, and over all.

use super::flows::{Flow, Flows};
use crate::names::Names;
use cherryyard_wire::peer::DemandReport;
use lru::LruCache;
use std::collections::{BTreeMap, HashMap};
use std::num::NonZeroUsize;

/// Jobs that were lately submitted, so that one is counted once, not once a try.
const RECENT_JOBS: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// Submissions of a flow, since a process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    offered: u64,
    taken: u64,
    refused: u64,
}

impl Counts {
    fn of(report: &DemandReport) -> Self {
        Self {
            offered: report.offered,
            taken: report.taken,
            refused: report.refused,
        }
    }

    /// What has come since `before`; all of it, if the process that counts has started
    /// anew.
    fn since(self, before: Self) -> Self {
        let grown = |now: u64, before: u64| now.checked_sub(before).unwrap_or(now);
        Self {
            offered: grown(self.offered, before.offered),
            taken: grown(self.taken, before.taken),
            refused: grown(self.refused, before.refused),
        }
    }

    fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.taken += other.taken;
        self.refused += other.refused;
    }
}

/// A flow's counts at one controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ReportedFlow {
    controller: usize,
    team: u32,
    class: String,
}

/// What has become of submissions, by flow, since this process began.
#[derive(Debug)]
pub(crate) struct Demand {
    recent_jobs: LruCache<u64, ()>,
    counts: BTreeMap<Flow, Counts>,
    /// What each controller had counted at the last report.
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

    /// A job was submitted, perhaps again.
    pub(crate) fn offered(&mut self, flow: Flow, job: u64) {
        let is_known = self.recent_jobs.put(job, ()).is_some();
        self.counts.entry(flow).or_default().offered += u64::from(!is_known);
    }

    /// A job was taken.
    pub(crate) fn taken(&mut self, flow: Flow) {
        self.counts.entry(flow).or_default().taken += 1;
    }

    /// A user was sent away.
    pub(crate) fn refused(&mut self, flow: Flow) {
        self.counts.entry(flow).or_default().refused += 1;
    }

    /// What has become of submissions here, in the heartbeat's form.
    pub(crate) fn reports(&self, flows: &Flows) -> Vec<DemandReport> {
        let report = |(&flow, counts): (&Flow, &Counts)| DemandReport {
            class: flows.class(flow).into(),
            team: flows.team(flow),
            offered: counts.offered,
            taken: counts.taken,
            refused: counts.refused,
        };
        self.counts.iter().map(report).collect()
    }

    /// What has come since the last call, by class and team: offered, taken, refused; of
    /// what each controller (by its place among all) has counted.
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
                sum.or_default().add(now.since(before));
                reported.insert(key, now);
            }
        }
        self.reported = reported;
        let known = sums.iter().filter(|s| (s.0.0 as usize) < teams.len());
        let changed = known.filter(|s| *s.1 != Counts::default());
        changed
            .map(|(&(team, class), sum)| {
                let counts = [sum.offered, sum.taken, sum.refused];
                (class.to_string(), teams.name(team).to_string(), counts)
            })
            .collect()
    }
}
