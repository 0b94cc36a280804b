//! The leader: divides jobs among the parts, moves what waits, hands out team
//! limits, rents machines.

use crate::divide::divide;
use crate::mirror::{Needs, OpenJob};
use crate::node::{Effect, Node, Outcome, Ticket};
use crate::{Config, Millis, Mirror, admit};
use cherryyard_wire::RangeSet;
use cherryyard_wire::cloud::{HireRequest, HostStatus};
use cherryyard_wire::job::{Rank, Shape};
use cherryyard_wire::peer::{MachineRoom, PartReport};
use cherryyard_wire::record::{self, Claim, Grant, Key};
use cherryyard_wire::state::{Apply, Commit};
use std::collections::HashMap;

/// Whether this controller leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadPhase {
    /// Someone else leads, or nobody.
    Follower,
    /// Our claim is under way.
    Claiming,
    /// We lead, with this stamp.
    Leading(u64),
}

/// What moves a controller from one phase to another.
#[derive(Clone, Copy, Debug)]
pub enum LeadEvent {
    /// We have sent a claim.
    ClaimSent,
    /// It was applied.
    ClaimApplied(u64),
    /// It was not.
    ClaimFailed,
    /// The state service shows another claim, or none.
    ClaimGone,
}

impl LeadPhase {
    /// The one place where the phase changes.
    pub fn after(self, event: LeadEvent) -> Self {
        match (self, event) {
            (Self::Follower, LeadEvent::ClaimSent) => Self::Claiming,
            (_, LeadEvent::ClaimApplied(stamp)) => Self::Leading(stamp),
            (Self::Claiming, LeadEvent::ClaimFailed) => Self::Follower,
            (Self::Leading(_), LeadEvent::ClaimGone) => Self::Follower,
            (same, _) => same,
        }
    }
}

/// A part's last report, and what has been given to it since.
#[derive(Clone, Debug)]
struct Room {
    report: PartReport,
    at: Millis,
    debits: Vec<(Millis, Needs)>,
}

/// A rental under way or answered.
#[derive(Clone, Debug)]
struct Hired {
    at: Millis,
    kind: String,
    /// Machine names, once answered.
    hosts: Vec<String>,
}

/// The leader's state; every controller keeps one, so that taking over is quick.
#[derive(Debug)]
pub struct Leader {
    phase: LeadPhase,
    claim_after: Millis,
    leaderless_since: Option<Millis>,
    rooms: Vec<Option<Room>>,
    pending: bool,
    retry_after: Millis,
    wait_epoch: u64,
    pub(crate) dirty: bool,
    pub(crate) planned_at: Millis,
    since: Millis,
    hire_counter: u64,
    hiring: Option<HireRequest>,
    hire_after: Millis,
    refused: HashMap<(String, String, bool), Millis>,
    hired: Vec<Hired>,
    ownerless: HashMap<usize, Millis>,
}

impl Leader {
    pub(crate) fn new(config: &Config, now: Millis) -> Self {
        Self {
            phase: LeadPhase::Follower,
            claim_after: now,
            leaderless_since: None,
            rooms: vec![None; config.parts()],
            pending: false,
            retry_after: now,
            wait_epoch: 0,
            dirty: true,
            planned_at: now,
            since: now,
            hire_counter: 0,
            hiring: None,
            hire_after: now + 8000.0,
            refused: HashMap::new(),
            hired: Vec::new(),
            ownerless: HashMap::new(),
        }
    }

    /// Whether we lead beyond doubt.
    pub(crate) fn leads(&self, mirror: &Mirror) -> bool {
        matches!(self.phase, LeadPhase::Leading(s)
            if mirror.stamp(Key::Lead) == s && mirror.epoch >= s)
    }

    pub(crate) fn is_label(&self, mirror: &Mirror, label: &str) -> bool {
        mirror.lead.as_ref().is_some_and(|c| c.label == label)
    }

    pub(crate) fn check_claim(&mut self, mirror: &Mirror) {
        if let LeadPhase::Leading(stamp) = self.phase
            && mirror.stamp(Key::Lead) != stamp
        {
            self.phase = self.phase.after(LeadEvent::ClaimGone);
        }
    }

    /// Takes a part's report, unless it is from an owner before.
    pub(crate) fn hear(&mut self, report: PartReport, now: Millis) {
        let Some(place) = self.rooms.get_mut(report.part as usize) else {
            return;
        };
        if place
            .as_ref()
            .is_some_and(|r| r.report.stamp > report.stamp)
        {
            return;
        }
        let debits = place
            .take()
            .map(|r| r.debits.into_iter().filter(|d| now - d.0 < 700.0).collect())
            .unwrap_or_default();
        *place = Some(Room {
            report,
            at: now,
            debits,
        });
        self.dirty = true;
    }
}

impl Node {
    pub(crate) fn claim_lead(&mut self, now: Millis) {
        let Some(hold) = self.hold else { return };
        let me = self.config.me;
        let n = self.parts.len();
        if self.leader.phase == LeadPhase::Claiming || now < self.leader.claim_after {
            return;
        }
        let label = &self.config.labels[me];
        let wanted = match &self.mirror.lead {
            Some(c) if c.label == *label => {
                !matches!(self.leader.phase, LeadPhase::Leading(s) if s == c.stamp)
            }
            Some(c) => {
                // A leader that has fallen silent is replaced before its lease
                // is over. That is safe, as its writes carry its claim's stamp.
                let silent = self
                    .config
                    .labels
                    .iter()
                    .position(|l| *l == c.label)
                    .and_then(|i| self.peers[i].as_ref().map(|p| now - p.heard_at));
                let rank = self.successor_rank(&c.label, now);
                let limit = 1800.0 + 500.0 * rank as f64;
                match silent {
                    Some(ms) => ms > limit && now - self.started_at > 4000.0,
                    None => now - self.started_at > 4000.0 + limit,
                }
            }
            None => {
                let since = *self.leader.leaderless_since.get_or_insert(now);
                now - since >= 150.0 * ((me + n - (self.mirror.epoch as usize % n)) % n) as f64
            }
        };
        if self.mirror.lead.is_some() {
            self.leader.leaderless_since = None;
        }
        if !wanted || !self.state_fresh(now) {
            return;
        }
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Lead);
        let claim = Claim {
            label: self.config.labels[me].clone(),
        };
        commit.apply.push(Apply::Set {
            set: record::LEAD.into(),
            v: serde_json::json!(claim),
            hold: Some(hold),
        });
        if matches!(self.leader.phase, LeadPhase::Leading(_)) {
            self.leader.phase = self.leader.phase.after(LeadEvent::ClaimGone);
        }
        self.leader.phase = self.leader.phase.after(LeadEvent::ClaimSent);
        self.effects.push(Effect::Commit(Ticket::Lead, commit));
    }

    /// This controller's place among those that could follow `gone`.
    fn successor_rank(&self, gone: &str, now: Millis) -> usize {
        let n = self.config.labels.len();
        let from = self
            .config
            .labels
            .iter()
            .position(|l| l == gone)
            .unwrap_or(0);
        (1..n)
            .map(|k| (from + k) % n)
            .take_while(|&i| i != self.config.me)
            .filter(|&i| {
                self.peers[i]
                    .as_ref()
                    .is_some_and(|p| now - p.heard_at < 1500.0)
            })
            .count()
    }

    pub(crate) fn lead_committed(&mut self, outcome: Outcome, now: Millis) {
        match outcome {
            Outcome::Applied(stamp) => {
                tracing::info!(stamp, "lead");
                self.leader.phase = self.leader.phase.after(LeadEvent::ClaimApplied(stamp));
                self.leader.since = now;
                self.leader.hire_after = now + 5000.0;
                self.leader.hiring = None;
                self.leader.hire_counter = 0;
                self.leader.claim_after = now + 8000.0;
                self.effects.push(Effect::Beat);
            }
            _ => {
                self.leader.phase = self.leader.phase.after(LeadEvent::ClaimFailed);
                self.leader.claim_after = now + self.jitter(300.0, 900.0);
            }
        }
        self.leader.dirty = true;
    }

    pub(crate) fn leader_committed(&mut self, outcome: Outcome, now: Millis) {
        self.leader.pending = false;
        self.leader.dirty = true;
        match outcome {
            Outcome::Applied(_) => {
                for part in &mut self.parts {
                    part.dirty = true;
                }
            }
            Outcome::Conflict(epoch) => {
                self.leader.wait_epoch = epoch;
                self.leader.retry_after = now + 30.0;
            }
            _ => self.leader.retry_after = now + self.jitter(150.0, 400.0),
        }
    }

    /// Whether a job's rules allow this sort of machine.
    fn room_allowed(open: &OpenJob, m: &MachineRoom) -> bool {
        (open.spec.borrowed || !m.spot)
            && admit::allows_kind(&open.spec, &m.kind)
            && open.spec.yard.as_ref().is_none_or(|y| *y == m.zone)
            && open.zone.as_ref().is_none_or(|z| *z == m.zone)
    }

    fn current_room(&self, p: usize, now: Millis) -> Option<&Room> {
        let room = self.leader.rooms[p].as_ref()?;
        let fresh = now - room.at <= self.config.tuning.room_report_s * 2000.0 + 2000.0;
        (fresh && self.mirror.stamp(Key::Part(p)) == room.report.stamp).then_some(room)
    }

    /// How many of the job's tasks fit into each part's free room.
    ///
    /// A service counts only machines that hold its image, while these have
    /// room for it, arrays making way if its rank allows: elsewhere a replica
    /// would wait for the image, and inside its part the image decides too.
    fn weights(&self, open: &OpenJob, now: Millis) -> Vec<f64> {
        let all = |weights: &[f64]| weights.iter().sum::<f64>() >= f64::from(open.spec.pieces);
        if open.spec.shape == Shape::Service {
            let holds = |m: &MachineRoom| m.images.contains(&open.spec.bundle);
            let free = self.fits(open, now, |m| holds(m).then_some(m.free));
            if all(&free) {
                return free;
            }
            if open.spec.rank > Rank::Standard {
                let yielding = self.fits(open, now, |m| holds(m).then_some(m.yielding));
                if all(&yielding) {
                    return yielding;
                }
            }
        }
        self.fits(open, now, |m| Some(m.free))
    }

    fn fits(
        &self,
        open: &OpenJob,
        now: Millis,
        room_of: impl Fn(&MachineRoom) -> Option<(f32, f32, f32)>,
    ) -> Vec<f64> {
        let needs = open.needs();
        (0..self.parts.len())
            .map(|p| {
                let Some(room) = self.current_room(p, now) else {
                    return 0.0;
                };
                let fits: u32 = room
                    .report
                    .machines
                    .iter()
                    .filter(|m| Self::room_allowed(open, m))
                    .filter_map(&room_of)
                    .map(|(cores, acc, ram)| {
                        needs.times_in(&Needs {
                            cores: cores.into(),
                            acc: acc.into(),
                            ram: ram.into(),
                        })
                    })
                    .sum();
                let given: f64 = room.debits.iter().map(|d| d.1.cores).sum();
                (f64::from(fits) - given / needs.cores).max(0.0).floor()
            })
            .collect()
    }

    /// Machines that could run the job, for when there is no free room.
    fn counts(&self, open: &OpenJob, now: Millis) -> Vec<f64> {
        (0..self.parts.len())
            .map(|p| {
                self.current_room(p, now).map_or(0.0, |r| {
                    r.report
                        .machines
                        .iter()
                        .filter(|m| Self::room_allowed(open, m))
                        .count() as f64
                })
            })
            .collect()
    }

    /// The parts' shares of a job's numbers, if anything is known to go by.
    fn division(&self, open: &OpenJob, now: Millis) -> Option<(Vec<RangeSet>, Vec<f64>)> {
        let mut weights = self.weights(open, now);
        if weights.iter().sum::<f64>() <= 0.0 {
            weights = self.counts(open, now);
        }
        if weights.iter().sum::<f64>() <= 0.0 {
            weights = (0..self.parts.len())
                .map(|p| {
                    if self.mirror.parts[p].is_some() {
                        1.0
                    } else {
                        0.0
                    }
                })
                .collect();
            if now - self.leader.since < 2500.0 || weights.iter().sum::<f64>() <= 0.0 {
                return None;
            }
        }
        let room: f64 = weights.iter().sum();
        let within = open.spec.pieces.min(room as u32);
        let mut shares = divide(within, &weights);
        if within < open.spec.pieces {
            // What has no free room follows machine counts, as a job does that
            // finds none at all: weights of a few free cores would heap a large
            // job onto one part.
            let counts = self.counts(open, now);
            let rest = if counts.iter().sum::<f64>() > 0.0 {
                &counts
            } else {
                &weights
            };
            for (share, more) in shares
                .iter_mut()
                .zip(divide(open.spec.pieces - within, rest))
            {
                *share += more;
            }
        }
        let mut next = 0;
        let sets = shares
            .iter()
            .map(|&n| {
                let set = if n == 0 {
                    RangeSet::new()
                } else {
                    RangeSet::span(next, next + n - 1)
                };
                next += n;
                set
            })
            .collect();
        Some((sets, weights))
    }

    /// The zone with the most room for a job whose tasks must be together.
    fn pin_zone(&self, open: &OpenJob, now: Millis) -> Option<String> {
        if let Some(yard) = &open.spec.yard {
            return Some(yard.clone());
        }
        let mut best: Option<(u32, usize, String)> = None;
        for z in 0..self.config.zones.len() as u32 {
            let zone = self.config.zones.name(z);
            let (mut fits, mut count) = (0, 0);
            for p in 0..self.parts.len() {
                let Some(room) = self.current_room(p, now) else {
                    continue;
                };
                for m in &room.report.machines {
                    if m.zone == zone && Self::room_allowed(open, m) {
                        let (cores, acc, ram) = m.free;
                        fits += open.needs().times_in(&Needs {
                            cores: cores.into(),
                            acc: acc.into(),
                            ram: ram.into(),
                        });
                        count += 1;
                    }
                }
            }
            let fits = fits.min(open.spec.pieces);
            if count > 0 && best.as_ref().is_none_or(|b| (fits, count) > (b.0, b.1)) {
                best = Some((fits, count, zone.to_string()));
            }
        }
        best.map(|b| b.2)
    }

    /// Per part and zone, how many tasks may be there, so that no zone ever
    /// holds more than half: a zone's cap is split among the parts by machines.
    fn zone_caps(&self, open: &OpenJob, now: Millis) -> Vec<Vec<u32>> {
        let half = open.spec.pieces.div_ceil(2);
        let zones = self.config.zones.len();
        let mut caps = vec![vec![0; zones]; self.parts.len()];
        for z in 0..zones {
            let zone = self.config.zones.name(z as u32);
            let weights: Vec<f64> = (0..self.parts.len())
                .map(|p| {
                    self.current_room(p, now).map_or(0.0, |r| {
                        r.report.machines.iter().filter(|m| m.zone == zone).count() as f64
                    })
                })
                .collect();
            for (cap, n) in caps.iter_mut().zip(divide(half, &weights)) {
                cap[z] = n;
            }
        }
        caps
    }

    /// One round of the leader.
    pub(crate) fn plan_lead(&mut self, now: Millis) {
        self.leader.planned_at = now;
        if !self.leader.leads(&self.mirror)
            || self.leader.pending
            || now < self.leader.retry_after
            || self.mirror.epoch < self.leader.wait_epoch
            || !self.state_fresh(now)
        {
            return;
        }
        self.leader.dirty = false;
        for p in 0..self.parts.len() {
            if self.current_room(p, now).is_some() {
                self.leader.ownerless.remove(&p);
            } else {
                self.leader.ownerless.entry(p).or_insert(now);
            }
        }
        let commit = self
            .store_kinds()
            .or_else(|| self.divide_new(now))
            .or_else(|| self.hand_out_grants(now))
            .or_else(|| self.move_waiting(now));
        if let Some(mut commit) = commit {
            self.mirror.require(&mut commit, Key::Lead);
            self.leader.pending = true;
            self.effects.push(Effect::Commit(Ticket::Leader, commit));
        }
        self.rent(now);
    }

    fn store_kinds(&mut self) -> Option<Commit> {
        let kinds = self.types_from_cloud.take()?;
        let mut named = kinds.clone();
        for kind in &mut named {
            // Prices move all the time, and nothing here depends on them.
            (kind.price, kind.low_price) = (0.0, 0.0);
        }
        if self.mirror.kinds_stamp != 0 && self.mirror.kinds == named {
            return None;
        }
        let value = serde_json::json!(named);
        if value.to_string().len() > self.config.value_bytes {
            tracing::warn!("the machine types are too many to keep in the state service");
            return None;
        }
        let mut commit = Commit::default();
        self.mirror.require(&mut commit, Key::Kinds);
        commit.apply.push(Apply::set(record::KINDS, value));
        Some(commit)
    }

    fn divide_new(&mut self, now: Millis) -> Option<Commit> {
        let new: Vec<u64> = self
            .mirror
            .open
            .iter()
            .filter(|(_, o)| !o.divided())
            .map(|(&j, _)| j)
            .collect();
        let mut order: Vec<_> = new
            .iter()
            .map(|j| {
                (
                    std::cmp::Reverse(self.mirror.open[j].spec.rank),
                    self.mirror.open[j].at,
                    *j,
                )
            })
            .collect();
        order.sort_unstable();
        let mut commit = Commit::default();
        let mut bytes = 0;
        for (_, _, job) in order {
            if commit.apply.len() >= self.config.txn_ops || bytes > 40 * 1024 {
                break;
            }
            let mut open = self.mirror.open[&job].clone();
            if !self.fill_division(&mut open, now) {
                continue;
            }
            commit.require(record::job_key(job), open.stamp);
            let value = serde_json::json!(open.record());
            bytes += value.to_string().len();
            commit.apply.push(Apply::set(record::job_key(job), value));
        }
        (!commit.apply.is_empty()).then_some(commit)
    }

    /// Divides one job; false if nothing is known to divide by.
    fn fill_division(&mut self, open: &mut OpenJob, now: Millis) -> bool {
        if open.spec.together && open.zone.is_none() {
            match self.pin_zone(open, now) {
                Some(zone) => open.zone = Some(zone),
                None => return false,
            }
        }
        let Some((mut sets, _)) = self.division(open, now) else {
            return false;
        };
        if open.spec.apart && open.spec.pieces > 1 {
            open.caps = self.zone_caps(open, now);
            let weights: Vec<f64> = open
                .caps
                .iter()
                .map(|c| f64::from(c.iter().sum::<u32>()))
                .collect();
            let shares = divide(open.spec.pieces, &weights);
            let mut next = 0;
            sets = shares
                .iter()
                .map(|&n| {
                    next += n;
                    if n == 0 {
                        RangeSet::new()
                    } else {
                        RangeSet::span(next - n, next - 1)
                    }
                })
                .collect();
            if next == 0 {
                return false;
            }
        }
        let needs = open.needs();
        for (p, set) in sets.iter().enumerate() {
            if let Some(room) = &mut self.leader.rooms[p]
                && !set.is_empty()
            {
                let n = f64::from(set.len());
                room.debits.push((
                    now,
                    Needs {
                        cores: needs.cores * n,
                        acc: needs.acc * n,
                        ram: needs.ram * n,
                    },
                ));
            }
        }
        open.div = sets;
        true
    }

    /// The division of a job at its submission, if this controller leads; it
    /// saves the second write.
    pub fn divide_at_once(&mut self, open: &mut OpenJob, now: Millis) {
        if self.leader.leads(&self.mirror) && self.state_fresh(now) {
            self.fill_division(open, now);
        }
    }

    /// The claim's stamp that a division at submission depends on.
    pub fn lead_stamp(&self) -> Option<u64> {
        self.leader
            .leads(&self.mirror)
            .then(|| self.mirror.stamp(Key::Lead))
    }

    /// Overflow: a part that has kept tasks waiting for the delay loses its
    /// unmarked numbers to parts with room for them.
    fn move_waiting(&mut self, now: Millis) -> Option<Commit> {
        let delay = self.config.tuning.autoscale_multi_cluster_delay_s;
        for (&job, open) in &self.mirror.open {
            if !open.divided() {
                continue;
            }
            let mut weights: Option<Vec<f64>> = None;
            for p in 0..self.parts.len() {
                let unmarked = self.mirror.waiting(p, job);
                if unmarked.is_empty() {
                    continue;
                }
                let due = match self.leader.ownerless.get(&p) {
                    // Nobody reports for the part, so nobody starts its numbers.
                    Some(&since) => now - since >= delay * 1000.0,
                    None => self.current_room(p, now).is_some_and(|r| {
                        let passed = (now - r.at) / 1000.0;
                        r.report
                            .waiting
                            .iter()
                            .any(|w| w.0 == job && f64::from(w.2) + passed >= delay)
                    }),
                };
                if !due {
                    continue;
                }
                let mut w = weights
                    .get_or_insert_with(|| self.weights(open, now))
                    .clone();
                w[p] = 0.0;
                if open.spec.apart && open.spec.pieces > 1 {
                    // The caps of the first division stay, so that no zone can
                    // ever hold more than its half.
                    for (q, weight) in w.iter_mut().enumerate() {
                        let cap: u32 = open.caps.get(q).map_or(0, |c| c.iter().sum());
                        let has = open.div[q].len();
                        *weight = weight.min(f64::from(cap.saturating_sub(has)));
                    }
                }
                let room: f64 = w.iter().sum();
                if room < 1.0 {
                    continue;
                }
                let mut moving = unmarked.first(room as u32);
                let mut commit = Commit::default();
                commit.require(record::job_key(job), open.stamp);
                let most = self.config.txn_ops * 4 - 3;
                let mut chunks: Vec<u32> = Vec::new();
                let mut fit = RangeSet::new();
                for n in moving.iter() {
                    let chunk = n / self.config.chunk;
                    if chunks.last() != Some(&chunk) {
                        if chunks.len() >= most {
                            break;
                        }
                        chunks.push(chunk);
                    }
                    fit.insert(n);
                }
                moving = fit;
                for chunk in chunks {
                    // A number that its owner marks meanwhile changes this key.
                    self.mirror.require(
                        &mut commit,
                        Key::Mark {
                            part: p,
                            job,
                            chunk,
                        },
                    );
                }
                let shares = divide(moving.len(), &w);
                let mut new = open.clone();
                new.div[p] = new.div[p].minus(&moving);
                let mut left = moving.clone();
                for (q, &n) in shares.iter().enumerate() {
                    let set = left.first(n);
                    left = left.minus(&set);
                    new.div[q] = new.div[q].union(&set);
                    if let Some(room) = &mut self.leader.rooms[q]
                        && n > 0
                    {
                        let needs = open.needs();
                        room.debits.push((
                            now,
                            Needs {
                                cores: needs.cores * f64::from(n),
                                ..Needs::default()
                            },
                        ));
                    }
                }
                let value = serde_json::json!(new.record());
                if value.to_string().len() > self.config.value_bytes {
                    continue;
                }
                tracing::debug!(job, from = p, count = moving.len(), "move waiting tasks");
                commit.apply.push(Apply::set(record::job_key(job), value));
                return Some(commit);
            }
        }
        None
    }

    /// Teams whose limit is spread so that some part lacks room under it.
    pub(crate) fn short_teams(&self, now: Millis) -> Vec<String> {
        let mut short = Vec::new();
        for (t, team) in self.config.teams.iter().enumerate() {
            if !team.limited() {
                continue;
            }
            let lacking = (0..self.parts.len()).any(|p| {
                let grant = self.mirror.grants[t][p].0;
                self.current_room(p, now).is_some_and(|r| {
                    r.report.wants.get(t).is_some_and(|w| {
                        w.1 > grant.cores + 1e-6 && team.cores_max.is_finite()
                            || w.2 > grant.acc + 1e-6 && team.acc_max.is_finite()
                    })
                })
            });
            if lacking {
                short.push(self.config.team_names.name(t as u32).to_string());
            }
        }
        short
    }

    /// Hands out what nobody holds of the teams' limits.
    fn hand_out_grants(&mut self, now: Millis) -> Option<Commit> {
        let n = self.parts.len();
        let mut commit = Commit::default();
        for t in 0..self.config.teams.len() {
            let team = &self.config.teams[t];
            if !team.limited() {
                continue;
            }
            let grants = &self.mirror.grants[t];
            let fresh = grants.iter().all(|g| g.1 == 0);
            let held: Grant = grants.iter().fold(Grant::default(), |a, g| Grant {
                cores: a.cores + g.0.cores,
                acc: a.acc + g.0.acc,
            });
            let most = |x: f64| if x.is_finite() { x } else { 0.0 };
            let mut free_cores = most(team.cores_max) - held.cores;
            let mut free_acc = most(team.acc_max) - held.acc;
            let mut changes = Vec::new();
            for (p, (grant, _)) in grants.iter().enumerate() {
                let mut new = *grant;
                if fresh {
                    new.cores += most(team.cores_max) / n as f64;
                    new.acc += most(team.acc_max) / n as f64;
                } else if let Some(r) = self.current_room(p, now)
                    && let Some(w) = r.report.wants.get(t)
                {
                    let more = (w.1 - new.cores).min(free_cores).max(0.0);
                    let more_acc = (w.2 - new.acc).min(free_acc).max(0.0);
                    new.cores += more;
                    new.acc += more_acc;
                    free_cores -= more;
                    free_acc -= more_acc;
                }
                if fresh || new.cores > grant.cores + 1e-6 || new.acc > grant.acc + 1e-6 {
                    changes.push((p, new));
                }
            }
            if changes.is_empty() || commit.apply.len() + changes.len() > self.config.txn_ops {
                continue;
            }
            // Depends on every part's grant, so that the sum stays within the
            // limit whoever else writes.
            for p in 0..n {
                self.mirror
                    .require(&mut commit, Key::Grant { team: t, part: p });
            }
            for (p, grant) in changes {
                commit.apply.push(Apply::set(
                    record::grant_key(t, p),
                    serde_json::json!(grant),
                ));
            }
            if commit.when.len() + n + 1 > self.config.txn_ops * 4 {
                break;
            }
        }
        (!commit.apply.is_empty()).then_some(commit)
    }

    /// Rents ahead of need.
    fn rent(&mut self, now: Millis) {
        if self.leader.hiring.is_some() || now < self.leader.hire_after || self.listed_at < 0.0 {
            return;
        }
        self.leader.hire_after = now + 1500.0;
        self.leader.refused.retain(|_, until| *until > now);
        let lag = 2.0 * self.config.list_lag_ms + 2000.0;
        let listed = &self.listed;
        self.leader.hired.retain(|h| now - h.at < lag);
        let kinds = &self.mirror.kinds;
        let cores_of = |sku: &str| kinds.iter().find(|k| k.sku == sku).map_or(0.0, |k| k.cores);
        let mut booting: f64 = listed
            .values()
            .filter(|h| h.status == HostStatus::Starting && h.held_s < 120.0)
            .map(|h| cores_of(&h.host_kind))
            .sum();
        for h in &self.leader.hired {
            let unlisted = h.hosts.iter().filter(|n| !listed.contains_key(*n)).count();
            booting += cores_of(&h.kind) * unlisted as f64;
        }
        let (mut free, mut total) = (0.0, 0.0);
        for p in 0..self.parts.len() {
            let Some(room) = self.current_room(p, now) else {
                continue;
            };
            for m in &room.report.machines {
                free += f64::from(m.free.0);
                total += cores_of(&m.kind);
            }
        }
        let mut waiting = 0.0;
        let mut service_waiting = 0.0;
        // Spot machines are rented ahead too, while there are jobs for them.
        let borrowable = self.mirror.open.values().any(|o| o.spec.borrowed);
        for (&job, open) in &self.mirror.open {
            let marked: usize = (0..self.parts.len())
                .filter_map(|p| self.mirror.marks.get(&(p, job)))
                .flat_map(|m| m.values())
                .map(|c| c.marks.len())
                .sum();
            let left = open
                .spec
                .pieces
                .saturating_sub(self.mirror.done(job) + marked as u32);
            let cores = f64::from(left) * open.spec.cores;
            waiting += cores;
            if open.spec.shape == Shape::Service {
                service_waiting += cores;
            }
        }
        let headroom = total * self.config.tuning.headroom_share;
        let need = waiting + headroom - free - booting;
        if need <= 0.5 {
            return;
        }
        // Ordinary machines serve everything; spot ones only what may be lost.
        let mut options: Vec<(bool, f64, u32, &str, &str, f64)> = Vec::new();
        for kind in kinds {
            for zone in &kind.yards {
                let here = listed.values().filter(|h| h.yard == *zone).count() as u32;
                for spot in [false, true] {
                    let key = (kind.sku.clone(), zone.clone(), spot);
                    if !self.leader.refused.contains_key(&key)
                        && (!spot || (borrowable && need > service_waiting))
                    {
                        options.push((spot, kind.cores, here, &kind.sku, zone, kind.ready_s));
                    }
                }
            }
        }
        options.sort_by(|a, b| a.0.cmp(&b.0).then(a.2.cmp(&b.2)).then(a.4.cmp(b.4)));
        let Some(&(spot, cores, _, sku, zone, _)) = options.first() else {
            return;
        };
        let number = ((need / cores.max(1e-3)).ceil() as u32).clamp(1, 4);
        self.leader.hire_counter += 1;
        // Never used again: the claim's stamp is unique, the counter within it.
        let request = HireRequest {
            hire: format!(
                "{}-{}-{}",
                self.config.labels[self.config.me],
                self.mirror.stamp(Key::Lead),
                self.leader.hire_counter
            ),
            host_kind: sku.to_string(),
            yard: zone.to_string(),
            borrowed: spot,
            number,
        };
        self.leader.hiring = Some(request.clone());
        self.effects.push(Effect::Hire(request));
    }

    /// Takes the answer to a rental: the machines, a refusal, or neither.
    pub fn hired(&mut self, request: &HireRequest, answer: Result<Vec<String>, bool>, now: Millis) {
        let key = (
            request.host_kind.clone(),
            request.yard.clone(),
            request.borrowed,
        );
        let known = self
            .leader
            .hiring
            .as_ref()
            .is_some_and(|h| h.hire == request.hire);
        match answer {
            Ok(hosts) => {
                if hosts.len() < request.number as usize {
                    self.leader.refused.insert(key, now + 20_000.0);
                }
                tracing::info!(count = hosts.len(), zone = %request.yard, spot = request.borrowed, "rented machines");
                self.leader.hired.push(Hired {
                    at: now,
                    kind: request.host_kind.clone(),
                    hosts,
                });
                if known {
                    self.leader.hiring = None;
                }
                self.leader.hire_after = now + 300.0;
            }
            Err(true) => {
                tracing::debug!(zone = %request.yard, spot = request.borrowed, "no machines to rent");
                self.leader.refused.insert(key, now + 15_000.0);
                if known {
                    self.leader.hiring = None;
                }
                self.leader.hire_after = now + 300.0;
            }
            // Unknown: the same name again gets the same machines.
            Err(false) if known && self.leader.leads(&self.mirror) => {
                self.effects.push(Effect::Hire(request.clone()));
            }
            Err(false) => {}
        }
    }
}
