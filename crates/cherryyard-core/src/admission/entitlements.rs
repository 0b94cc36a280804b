//! The floors in force: found and divided by the leader, acted on by owners.
//!
//! Twice a second the leader looks at what each flow runs and what waits, and works out
//! the floors; where a flow has long had less, it divides the floor into levels for the
//! owners. One without a level in force starts nothing ahead, and for a while goes on
//! stopping nothing of such a flow: it errs on the careful side.

use super::fair_share_status::{FairShareStatus, Has};
use super::flows::Flow;
use super::ledger::{Account, Amount, Level, Under, is_over, left, may_give};
use super::shares::{FlowDemand, floors};
use crate::Millis;
use crate::controller::Controller;
use crate::machine::Task;
use cherryyard_wire::peer::{FlowShare, Heartbeat, LevelGrant};
use cherryyard_wire::record::Key;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

/// Time between two looks of the leader's, and while a flow is ahead.
const INSPECT_MS: f64 = 1000.0;
const INSPECT_AHEAD_MS: f64 = 500.0;
/// Own messages of which it is remembered when they were sent.
const SENT: usize = 64;

type Holding = (Flow, usize);

/// What a flow runs and has waiting, by shard, in cores.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowUse {
    pub running: Vec<f64>,
    pub waiting: Vec<f64>,
}

/// Floors, and levels by them.
#[derive(Debug, Default)]
pub(crate) struct Entitlements {
    statuses: Vec<FairShareStatus>,
    floors: Vec<f64>,
    /// When they were last found or told.
    updated_at: Option<Millis>,
    inspected_at: Option<Millis>,
    accounts: BTreeMap<Holding, Account>,
    levels: BTreeMap<Holding, Level<Millis>>,
    /// Own messages: the last one's number, and when the last few were sent.
    number: u64,
    sent: VecDeque<(u64, Millis)>,
    /// The last message heard of each other controller, and when.
    heard: BTreeMap<usize, (u64, Millis)>,
    /// When the last of our messages went that each of them has named.
    named: BTreeMap<usize, Millis>,
}

fn amount(cores: f64) -> Amount {
    (cores.max(0.0) * 1000.0).round() as Amount
}

impl Entitlements {
    pub(crate) fn new(number: u64) -> Self {
        Self {
            // Not where an earlier process of ours began.
            number: number >> 1,
            ..Self::default()
        }
    }

    fn status(&self, flow: Flow) -> FairShareStatus {
        let known = self.statuses.get(flow as usize).copied();
        known.unwrap_or(FairShareStatus::Served)
    }

    fn set(&mut self, flow: Flow, status: FairShareStatus, floor: f64) {
        let at = flow as usize;
        if self.statuses.len() <= at {
            self.statuses.resize(at + 1, FairShareStatus::Served);
            self.floors.resize(at + 1, 0.0);
        }
        (self.statuses[at], self.floors[at]) = (status, floor);
    }
}

impl Controller {
    /// What each flow runs and has waiting, as the assignments and divisions say.
    pub(crate) fn flow_use(&self) -> Vec<FlowUse> {
        let shards = self.shards.len();
        let mut all = vec![
            FlowUse {
                running: vec![0.0; shards],
                waiting: vec![0.0; shards],
            };
            self.mirror.flows.len()
        ];
        for (&(shard_id, job), assignments) in &self.mirror.tasks.assignments {
            if let Some(open) = self.mirror.open.get(&job)
                && let Some(used) = all.get_mut(open.flow as usize)
            {
                used.running[shard_id] += open.spec.cores * assignments.assignments.len() as f64;
            }
        }
        for shard_id in 0..shards {
            for (job, set) in &self.mirror.tasks.waiting[shard_id] {
                if let Some(open) = self.mirror.open.get(job)
                    && let Some(used) = all.get_mut(open.flow as usize)
                {
                    used.waiting[shard_id] += open.spec.cores * f64::from(set.len());
                }
            }
        }
        for job in &self.mirror.undivided {
            if let Some(open) = self.mirror.open.get(job)
                && let Some(used) = all.get_mut(open.flow as usize)
            {
                let each = open.spec.cores * f64::from(open.spec.task_count) / shards as f64;
                used.waiting.iter_mut().for_each(|w| *w += each);
            }
        }
        all
    }

    /// Cores of all machines that their owners can use.
    fn all_cores(&self) -> f64 {
        let capacities = self.leader.capacities.iter().flatten();
        let sizes = capacities.flat_map(|capacity| {
            let pools = capacity.report.pools.iter();
            let cores = pools.map(|s| {
                self.mirror
                    .catalog
                    .machine_types
                    .iter()
                    .find(|k| k.sku == s.machine_type)
            });
            let cores: Vec<f64> = cores.map(|k| k.map_or(0.0, |k| k.cores)).collect();
            let machines = capacity.report.machines.iter();
            machines.map(move |m| cores.get(usize::from(m.pool)).copied().unwrap_or(0.0))
        });
        sizes.sum()
    }

    /// What each flow asks for: of what waits no more than its team's limit allows.
    fn queries(&self, uses: &[FlowUse]) -> Vec<FlowDemand> {
        let admission = &self.config.tuning.admission;
        let sum = |x: &[f64]| x.iter().sum::<f64>();
        let teams = self.config.teams.len();
        let (mut runs, mut waits) = (vec![0.0; teams], vec![0.0; teams]);
        let team = |f: usize| self.mirror.flows.team(f as Flow) as usize;
        for (f, used) in uses.iter().enumerate() {
            runs[team(f)] += sum(&used.running);
            waits[team(f)] += sum(&used.waiting);
        }
        let queries = uses.iter().enumerate().map(|(f, used)| {
            let t = team(f);
            let may = (self.config.teams[t].cores_max - runs[t]).max(0.0);
            let shard = if waits[t] > may { may / waits[t] } else { 1.0 };
            let own = admission.of(self.mirror.flows.class(f as Flow));
            FlowDemand {
                demand: sum(&used.running) + sum(&used.waiting) * shard,
                team: t as u32,
                weight: own.weight,
                least: own.least,
                share: own.share,
            }
        });
        queries.collect()
    }

    /// The leader's look at what everyone has.
    pub(crate) fn review(&mut self, now: Millis) {
        let ahead = self.entitlements.statuses.iter().any(|s| s.ahead());
        let every = if ahead { INSPECT_AHEAD_MS } else { INSPECT_MS };
        let due = self
            .entitlements
            .inspected_at
            .is_none_or(|at| now - at >= every);
        if !due || !self.leader.leads(&self.mirror) || !self.state_fresh(now) {
            return;
        }
        self.entitlements.inspected_at = Some(now);
        let uses = self.flow_use();
        let queries = self.queries(&uses);
        let guarantees: Vec<f64> = self.config.teams.iter().map(|t| t.cores).collect();
        let floors = floors(&queries, &guarantees, self.all_cores());
        let window = self.config.tuning.admission.window_s * 1000.0;
        for (f, (used, &floor)) in uses.iter().zip(&floors).enumerate() {
            let flow = f as Flow;
            let had: f64 = used.running.iter().sum();
            let waits: f64 = used.waiting.iter().sum();
            let before = self.entitlements.status(flow);
            let after = before.after(Has::of(had, waits, floor), window, now);
            if after.ahead() != before.ahead() {
                tracing::info!(
                    class = self.mirror.flows.class(flow),
                    team = self.config.team_names.name(self.mirror.flows.team(flow)),
                    running = had.round(),
                    floor = floor.round(),
                    waiting = waits.round(),
                    from = before.name(),
                    to = after.name(),
                    "a share has changed"
                );
            }
            self.entitlements.set(flow, after, floor);
        }
        self.entitlements.updated_at = Some(now);
        self.divide_floors(&uses, now);
    }

    /// Divides the floors of flows that are ahead into levels: where they run, and what
    /// is left of the floor where they wait.
    fn divide_floors(&mut self, uses: &[FlowUse], now: Millis) {
        let leader_token = self.mirror.revision(Key::Leader);
        let may = may_give(self.leader.since, self.state_read_at, now);
        let next = self.entitlements.number + 1;
        for (f, used) in uses.iter().enumerate() {
            let flow = f as Flow;
            if !self.entitlements.status(flow).ahead() {
                self.entitlements
                    .accounts
                    .retain(|holding, _| holding.0 != flow);
                self.entitlements
                    .levels
                    .retain(|holding, _| holding.0 != flow);
                continue;
            }
            let (runs, waits): (f64, f64) = (used.running.iter().sum(), used.waiting.iter().sum());
            let floor = self.entitlements.floors[f];
            for shard_id in 0..self.shards.len() {
                let shard = self.mirror.revision(Key::Shard(shard_id));
                let over = self.owner_is_over(shard_id, now);
                let account = self
                    .entitlements
                    .accounts
                    .entry((flow, shard_id))
                    .or_default();
                account.meet(Under {
                    leader_token,
                    shard,
                });
                if over {
                    account.lapse();
                }
            }
            if !may {
                continue;
            }
            // Lower levels first: what they leave can be given only once it is named.
            let mut wanted: Vec<(usize, Amount)> = (0..self.shards.len())
                .filter(|&shard_id| {
                    self.mirror.shards[shard_id].is_some() && !self.owner_is_over(shard_id, now)
                })
                .map(|shard_id| {
                    let here = used.running[shard_id] * (floor / runs.max(1e-9)).min(1.0);
                    let more = (floor - runs).max(0.0) * used.waiting[shard_id] / waits.max(1e-9);
                    (shard_id, amount(here + more))
                })
                .collect();
            let level = |entitlements: &Entitlements, shard_id: usize| {
                entitlements.accounts[&(flow, shard_id)].level()
            };
            wanted.sort_by_key(|&(shard_id, want)| want > level(&self.entitlements, shard_id));
            for (shard_id, want) in wanted {
                let of_flow = self
                    .entitlements
                    .accounts
                    .range((flow, 0)..=(flow, usize::MAX));
                let more = left(amount(floor), of_flow.map(|a| a.1));
                let Some(account) = self.entitlements.accounts.get_mut(&(flow, shard_id)) else {
                    continue;
                };
                // Not for every core: each change has to be named before the next.
                let now = account.level();
                if want.abs_diff(now) > amount(floor) / 50 {
                    account.set(next, want.min(now.max(account.high()) + more));
                }
            }
        }
        self.level_ours(next, now);
    }

    /// Our own shards need no message.
    fn level_ours(&mut self, number: u64, now: Millis) {
        let ours: Vec<(Holding, Level<Millis>)> = self
            .entitlements
            .accounts
            .iter()
            .filter(|((_, shard_id), _)| self.owned(*shard_id).is_some())
            .map(|(&holding, account)| {
                let level = Level {
                    under: account.under,
                    number,
                    level: account.level(),
                    from: now,
                };
                (holding, level)
            })
            .collect();
        for (holding, level) in ours {
            self.entitlements.levels.insert(holding, level);
            if let Some(account) = self.entitlements.accounts.get_mut(&holding) {
                account.named(number);
            }
        }
    }

    /// Whether a shard's owner has not been heard of for so long that its levels are
    /// over.
    fn owner_is_over(&self, shard_id: usize, now: Millis) -> bool {
        let owner = self.mirror.shards[shard_id].as_ref();
        let i = owner.and_then(|c| self.config.labels.iter().position(|l| *l == c.label));
        match i {
            Some(i) if i == self.config.me => false,
            Some(i) => {
                let heard = self.entitlements.heard.get(&i);
                heard.is_none_or(|&(_, at)| is_over(at, now))
            }
            None => true,
        }
    }

    /// When a heartbeat was made at the earliest: when ours went that it names. If that is
    /// long ago, or was by a process of ours before, nothing is known.
    pub(crate) fn made_at(&self, heartbeat: &Heartbeat) -> Millis {
        let me = self.config.me as u32;
        let named = heartbeat.heard.iter().find(|h| h.0 == me).map(|h| h.1);
        let sent = self.entitlements.sent.iter().find(|s| Some(s.0) == named);
        sent.map_or(f64::NEG_INFINITY, |s| s.1)
    }

    /// When the last of our messages went that another controller has named.
    pub(crate) fn named_at(&self, i: usize) -> Option<Millis> {
        self.entitlements.named.get(&i).copied()
    }

    /// Whether a flow goes ahead, as far as is known here.
    pub(crate) fn is_ahead(&self, flow: Flow, now: Millis) -> bool {
        let window = self.config.tuning.admission.window_s * 1000.0;
        let told = self
            .entitlements
            .updated_at
            .is_some_and(|at| now - at <= window);
        told && self.entitlements.status(flow).ahead()
    }

    /// What a part of ours may start ahead of rank, by flow, and what it may stop of
    /// those flows for others; `gone` are tasks that a scheduling cycle has proven gone.
    pub(crate) fn allowances(
        &self,
        shard_id: usize,
        gone: &HashSet<Task>,
        now: Millis,
    ) -> Allowances {
        let mut all = Allowances::default();
        let flows = (0..self.mirror.flows.len()).map(|f| f as Flow);
        let ahead: Vec<Flow> = flows.filter(|&f| self.is_ahead(f, now)).collect();
        if ahead.is_empty() {
            return all;
        }
        let mut runs: HashMap<Flow, f64> = HashMap::new();
        for (&(_, job), assignments) in self
            .mirror
            .tasks
            .assignments
            .range((shard_id, 0)..=(shard_id, u64::MAX))
        {
            if let Some(open) = self.mirror.open.get(&job) {
                *runs.entry(open.flow).or_default() +=
                    open.spec.cores * assignments.assignments.len() as f64;
            }
        }
        for (job, _) in gone {
            if let Some(open) = self.mirror.open.get(job)
                && let Some(runs) = runs.get_mut(&open.flow)
            {
                *runs -= open.spec.cores;
            }
        }
        let shard = self.mirror.revision(Key::Shard(shard_id));
        for flow in ahead {
            let level = self.entitlements.levels.get(&(flow, shard_id));
            let level = level.and_then(|level| level.now(shard, now));
            let level = level.map(|level| level as f64 / 1000.0);
            let runs = runs.get(&flow).copied().unwrap_or(0.0);
            let start = level.map_or(0.0, |level| level - runs);
            all.start.insert(flow, start.max(0.0));
            all.stop
                .insert(flow, level.map_or(0.0, |level| runs - level).max(0.0));
        }
        all
    }

    /// Puts into a heartbeat what this controller has to say of shares.
    pub(crate) fn entitlements_out(&mut self, heartbeat: &mut Heartbeat, now: Millis) {
        self.entitlements.number += 1;
        let number = self.entitlements.number;
        self.entitlements.sent.push_back((number, now));
        if self.entitlements.sent.len() > SENT {
            self.entitlements.sent.pop_front();
        }
        heartbeat.number = number;
        let heard = self.entitlements.heard.iter();
        heartbeat.heard = heard.map(|(&i, &(n, _))| (i as u32, n)).collect();
        if !self.leader.leads(&self.mirror) {
            return;
        }
        let flows = &self.mirror.flows;
        for (f, &status) in self.entitlements.statuses.iter().enumerate() {
            if !status.ahead() {
                continue;
            }
            let flow = f as Flow;
            let accounts = self
                .entitlements
                .accounts
                .range((flow, 0)..=(flow, usize::MAX));
            let levels = accounts.map(|(&(_, shard_id), account)| LevelGrant {
                shard: shard_id as u32,
                under: (account.under.leader_token, account.under.shard),
                level: account.level(),
            });
            heartbeat.shares.push(FlowShare {
                class: flows.class(flow).into(),
                team: flows.team(flow),
                floor: self.entitlements.floors[f] as f32,
                levels: levels.collect(),
            });
        }
    }

    /// Takes what another controller says of shares.
    pub(crate) fn entitlements_in(&mut self, i: usize, heartbeat: &Heartbeat, now: Millis) {
        self.entitlements.heard.insert(i, (heartbeat.number, now));
        let me = self.config.me as u32;
        let named = heartbeat.heard.iter().find(|h| h.0 == me).map(|h| h.1);
        // When our message went that it had last heard of.
        let sent = self.entitlements.sent.iter().find(|s| Some(s.0) == named);
        let from = sent.map(|s| s.1);
        if let Some(from) = from {
            let known = self.entitlements.named.entry(i).or_insert(from);
            *known = known.max(from);
        }
        if self.leader.leads(&self.mirror) {
            let label = &self.config.labels[i];
            let owns = |shard_id: usize| {
                self.mirror.shards[shard_id].as_ref().map(|c| &c.label) == Some(label)
            };
            for ((_, shard_id), account) in &mut self.entitlements.accounts {
                if let Some(number) = named.filter(|_| owns(*shard_id)) {
                    account.named(number);
                }
            }
            return;
        }
        if !self.leader.is_label(&self.mirror, &heartbeat.label) {
            return;
        }
        self.entitlements.updated_at = Some(now);
        let mut ahead = Vec::new();
        for share in &heartbeat.shares {
            if share.team as usize >= self.config.teams.len() {
                continue;
            }
            let flow = self.mirror.flows.intern(share.team, &share.class);
            ahead.push(flow);
            self.entitlements
                .set(flow, FairShareStatus::Ahead, f64::from(share.floor));
            for told in &share.levels {
                let shard_id = told.shard as usize;
                let under = Under {
                    leader_token: told.under.0,
                    shard: told.under.1,
                };
                if let Some(from) = from
                    && shard_id < self.shards.len()
                    && self.owned(shard_id) == Some(under.shard)
                {
                    let new = Level {
                        under,
                        number: heartbeat.number,
                        level: told.level,
                        from,
                    };
                    let known = self.entitlements.levels.get(&(flow, shard_id)).copied();
                    let level = Level::told(known, new);
                    self.entitlements.levels.insert((flow, shard_id), level);
                }
            }
        }
        for f in 0..self.entitlements.statuses.len() {
            if !ahead.contains(&(f as Flow)) {
                self.entitlements.statuses[f] = FairShareStatus::Served;
            }
        }
        self.entitlements
            .levels
            .retain(|(flow, _), _| ahead.contains(flow));
    }
}

/// What an owner may do for and to flows that are ahead, in cores.
#[derive(Clone, Debug, Default)]
pub(crate) struct Allowances {
    /// Start ahead of rank.
    pub start: HashMap<Flow, f64>,
    /// Stop for others; flows that are not here are stopped as ever.
    pub stop: HashMap<Flow, f64>,
}
