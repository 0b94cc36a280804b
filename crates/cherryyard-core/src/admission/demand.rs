//! What has become of submissions, by flow: at every controller, and over all.

use super::flows::Flow;
use crate::controller::Controller;
use cherryyard_wire::peer::DemandReport;
use lru::LruCache;
use std::collections::{BTreeMap, HashMap};
use std::num::NonZeroUsize;

/// Jobs that were lately submitted, so that one is counted once, not once a try.
const LATELY: NonZeroUsize = NonZeroUsize::new(4096).unwrap();

/// What has become of submissions, by flow, since this process began.
#[derive(Debug)]
pub(crate) struct Demand {
    lately: LruCache<u64, ()>,
    /// Offered, taken, refused.
    counts: BTreeMap<Flow, [u64; 3]>,
    /// What each controller had told when it was last reported.
    reported: HashMap<(usize, u32, String), [u64; 3]>,
}

impl Demand {
    pub(crate) fn new() -> Self {
        Self {
            lately: LruCache::new(LATELY),
            counts: BTreeMap::new(),
            reported: HashMap::new(),
        }
    }

    /// A job was submitted, perhaps again.
    pub(crate) fn offered(&mut self, flow: Flow, job: u64) {
        let known = self.lately.put(job, ()).is_some();
        self.counts.entry(flow).or_default()[0] += u64::from(!known);
    }
}

impl Demand {
    /// A job was taken.
    pub(crate) fn taken(&mut self, flow: Flow) {
        self.counts.entry(flow).or_default()[1] += 1;
    }

    /// A user was sent away.
    pub(crate) fn refused(&mut self, flow: Flow) {
        self.counts.entry(flow).or_default()[2] += 1;
    }
}

impl Controller {
    /// What has become of submissions at all controllers since the last call, by class
    /// and team: offered, taken, refused. What is counted is totals, so a heartbeat that is
    /// lost or comes twice changes nothing, and a controller that starts anew begins at
    /// nought.
    pub fn demand_report(&mut self) -> Vec<(String, String, [u64; 3])> {
        let ours = self.demand_out();
        let peers = self.peers.enumerate();
        let theirs = peers.map(|(i, peer)| (i, peer.heartbeat.demand.as_slice()));
        let mut sums: BTreeMap<(u32, &str), [u64; 3]> = BTreeMap::new();
        let mut reported = HashMap::new();
        for (i, told) in theirs.chain([(self.config.me, ours.as_slice())]) {
            for one in told {
                let now = [one.offered, one.taken, one.refused];
                let key = (i, one.team, one.class.clone());
                let before = self.demand.reported.get(&key).copied();
                let before = before.unwrap_or_default();
                let sum = sums.entry((one.team, one.class.as_str())).or_default();
                for k in 0..3 {
                    sum[k] += now[k].checked_sub(before[k]).unwrap_or(now[k]);
                }
                reported.insert(key, now);
            }
        }
        let teams = &self.config.team_names;
        let known = sums.iter().filter(|s| (s.0.0 as usize) < teams.len());
        let report = known
            .map(|(&(team, class), &sum)| (class.to_string(), teams.name(team).to_string(), sum));
        let report = report.filter(|r| r.2 != [0; 3]).collect();
        self.demand.reported = reported;
        report
    }

    /// What has become of submissions here.
    pub(crate) fn demand_out(&self) -> Vec<DemandReport> {
        let flows = &self.mirror.flows;
        let all = self.demand.counts.iter();
        all.map(|(&flow, &[offered, taken, refused])| DemandReport {
            class: flows.class(flow).into(),
            team: flows.team(flow),
            offered,
            taken,
            refused,
        })
        .collect()
    }
}
