//! Placement: which waiting number goes to which machine.

use super::blame::Trouble;
use super::search::{Looks, Search};
use super::*;
use crate::admission::flows::Flow;
use crate::admission::queue::{Place, Queues};
use cherryyard_wire::RangeSet;
use std::cmp::Reverse;

impl Node {
    /// Which of the deadline's multiples the job can still make if its waiting
    /// tasks start now, and when that is over, by the day's clock; the later ones only
    /// come after all that can still make an earlier one, so that a job that is late
    /// anyway delays no other.
    pub(crate) fn hope(&self, o: &OpenJob, wall: f64) -> (usize, f64) {
        let Some(deadline) = o.urgency.deadline else {
            return (0, f64::INFINITY);
        };
        let class = self.mirror.flows.class(deadline.flow);
        let times = self.config.deadline_times.get(class);
        let times = times.map_or(&[1.0][..], Vec::as_slice);
        let last_start = |t: &f64| deadline.complete_by(*t) - o.spec.expected_s * 800.0;
        let hope = times.iter().position(|t| wall <= last_start(t));
        let hope = hope.unwrap_or(times.len());
        (hope, times.get(hope).map_or(f64::INFINITY, last_start))
    }

    /// Puts a job in its place among what waits in a part, or takes it out.
    pub(crate) fn requeue(&mut self, p: usize, job: u64, now: Millis) {
        let waits = self.mirror.waiting[p].contains_key(&job);
        let Some(o) = self.mirror.open.get(&job).filter(|_| waits) else {
            self.parts[p].queues.remove(job);
            return;
        };
        let left = o.spec.pieces.saturating_sub(self.mirror.done(job));
        let (hope, turns) = self.hope(o, now + self.wall_offset);
        if o.urgency.deadline.is_some() && turns.is_infinite() {
            self.parts[p].queues.is_late(o.flow, o.ready_at(), job);
        }
        let place = Place {
            rank: o.rank(),
            sweep: o.spec.shape == Shape::Sweep,
            hope,
            work: f64::from(left) * o.spec.expected_s * o.spec.cores,
            due: o.due_ms(),
            at: o.ready_at(),
            job,
        };
        self.parts[p].queues.set(o.flow, place, turns, now);
    }

    /// Takes over what has changed of what waits in our parts.
    pub(crate) fn requeue_changed(&mut self, now: Millis) {
        for (p, job) in self.mirror.waiting_changes() {
            if matches!(self.parts[p].tenancy, Tenancy::Owned(_)) {
                self.requeue(p, job, now);
            }
        }
    }

    /// Queues all that waits in a part that has just become ours.
    pub(crate) fn queue_all(&mut self, p: usize, now: Millis) {
        self.parts[p].queues.clear();
        let jobs: Vec<u64> = self.mirror.waiting[p].keys().copied().collect();
        for job in jobs {
            self.requeue(p, job, now);
        }
    }

    /// Whether the job's rules allow this machine.
    pub(crate) fn allowed(&self, open: &OpenJob, m: &Machine) -> bool {
        (!open.spec.together || open.zone.is_some())
            && open.allows(&m.kind, &m.zone, m.spot).is_some()
    }

    pub(crate) fn place(
        &mut self,
        p: usize,
        now: Millis,
        round: &mut Round,
        pending: &mut Pending,
    ) {
        self.requeue_changed(now);
        for job in self.parts[p].queues.turned(now + self.wall_offset) {
            self.requeue(p, job, now);
        }
        let part = &mut self.parts[p];
        part.preempted.retain(|_, x| x.until > now);
        let (mirror, held) = (&self.mirror, &mut part.reserved);
        held.retain(|_, (task, until)| {
            *until > now
                && mirror
                    .waiting(p, task.0)
                    .is_some_and(|w| w.contains(task.1))
        });
        if part.queues.is_empty() {
            part.handing.clear();
            return;
        }
        part.queues.seen();
        let (mirror, queues) = (&self.mirror, &mut part.queues);
        let turns = queues.turns_of_late(|job| {
            let waiting = mirror.waiting(p, job).map_or(0, |w| w.len());
            mirror.open.get(&job).map_or(0.0, |o| o.spec.cores) * f64::from(waiting)
        });
        for job in turns {
            self.requeue(p, job, now);
        }
        self.give_turns(p, now);
        let part = &mut self.parts[p];
        // Back in its place at the end: nothing in between looks there.
        let mut queues = std::mem::take(&mut part.queues);
        self.place_queued(p, now, &mut queues, round, pending);
        self.parts[p].queues = queues;
    }

    fn place_queued(
        &mut self,
        p: usize,
        now: Millis,
        queues: &mut Queues,
        round: &mut Round,
        pending: &mut Pending,
    ) {
        let silence = self.silence_ms();
        let mut rooms: Vec<(u32, Needs)> = self
            .machines
            .values()
            .filter(|m| m.part == p && m.usable(now, silence))
            .filter_map(|m| Some((m.host, self.free_on(m, Some(round))?)))
            .collect();
        rooms.sort_by_key(|r| r.0);
        let mut used = self.mirror.usage(p);
        for task in &round.gone {
            // What this very round proves gone makes room under the limit too.
            if let Some((team, needs)) = self.mirror.uses(task.0)
                && let Some(u) = used.get_mut(team as usize)
            {
                u.take(&needs);
            }
        }
        let totals = self.team_totals();
        let preemptible = self.preemptible(p, &totals);
        let mut search = Search::default();
        let mut handing = BTreeSet::new();
        let mut placed = 0;
        let mut line = queues.line();
        let allowed = self.allowances(p, &round.gone, now);
        let mut ahead = allowed.start;
        ahead.retain(|_, cores| *cores > 0.0);
        ahead.keys().for_each(|&flow| line.ahead(flow, true));
        let mut may_stop = allowed.stop;
        let mut looks = Looks::default();
        let mut started: HashMap<Flow, f64> = HashMap::new();
        // Teams whose rest of the limit here is kept for a job whose turn it is.
        let mut kept_for: HashMap<usize, u64> = HashMap::new();
        // Of jobs that were put back, up to which number this round has gone.
        let mut gone_to: HashMap<u64, u32> = HashMap::new();
        'jobs: while let Some((flow, at)) = line.step() {
            let job = &at.job;
            self.looked_jobs += 1;
            // Counted as stuck until one of its tasks is placed.
            if looks.look(flow, at) {
                line.close(flow);
            }
            let (Some(open), Some(waiting)) =
                (self.mirror.open.get(job), self.mirror.waiting(p, *job))
            else {
                continue;
            };
            let needs = open.needs();
            if ahead.get(&flow).is_some_and(|left| *left < needs.cores) {
                // Not all of it has its turn now; what is next in its own place may.
                ahead.remove(&flow);
                line.ahead(flow, false);
                line.back(flow, at);
                continue;
            }
            let team = open.team as usize;
            let trouble = self.parts[p].trouble.get(job);
            if trouble.is_some_and(|t| t.held_off(now)) {
                continue;
            }
            // Of a job that fails everywhere one task at a time is tried.
            let blamed = trouble.is_some_and(Trouble::blamed);
            let tried = || {
                let assignments = self.mirror.assignments.get(&(p, *job));
                assignments.is_some_and(|m| m.assignments.len() > round.gone_of(*job))
            };
            if blamed && tried() {
                continue;
            }
            // Elsewhere than where it failed, while that may tell whose fault it is.
            let failed_on = trouble.filter(|t| !t.blamed()).map(|t| t.hosts.clone());
            let limited = self.config.teams[team].limited().then_some(team as u32);
            if kept_for.get(&team).is_some_and(|other| other != job) {
                continue;
            }
            if self.beyond_grant(p, team as u32, &used, &needs) {
                // Smaller tasks would take what comes free, each before it is enough.
                if queues.turn(flow) == Some(*job)
                    && !self.begun(*job)
                    && !self.beyond_grant(p, team as u32, &self.held_by_services(p), &needs)
                    && self.parts[p].kept_rests.keep(team, *job, now)
                {
                    kept_for.insert(team, *job);
                }
                continue;
            }
            let mut waiting = waiting.clone();
            if let Some(&last) = gone_to.get(job) {
                waiting = waiting.minus(&RangeSet::span(0, last));
            }
            let mut zones = self.zone_counts(p, *job, round);
            let mut unplaced = Vec::new();
            for number in waiting.iter() {
                if placed >= 300 {
                    break 'jobs;
                }
                if self.beyond_grant(p, team as u32, &used, &needs) {
                    continue 'jobs;
                }
                if search.too_large(&needs) {
                    unplaced.extend(waiting.iter().filter(|n| *n >= number).take(4));
                    break;
                }
                let kept = self.parts[p]
                    .reserved
                    .iter()
                    .find(|(_, (task, _))| *task == (*job, number))
                    .map(|(&host, _)| host);
                let open = &self.mirror.open[job];
                let best = rooms
                    .iter()
                    .enumerate()
                    .filter(|(_, (host, free))| {
                        let m = &self.machines[host];
                        needs.fits(free)
                            && kept.is_none_or(|k| k == *host)
                            && self.allowed(open, m)
                            && !m.seen.contains_key(&(*job, number))
                            && self.parts[p]
                                .reserved
                                .get(host)
                                .is_none_or(|(task, _)| *task == (*job, number))
                            && !self.kept_from(p, *host, open)
                            && self.zone_open(p, open, &m.zone, &zones)
                    })
                    .max_by(|(_, a), (_, b)| {
                        let key = |r: &(u32, Needs)| {
                            let m = &self.machines[&r.0];
                            let image = match open.spec.shape {
                                Shape::Service => m.image(&open.spec.bundle),
                                Shape::Sweep => u8::from(m.has_image(&open.spec.bundle)),
                            };
                            // A spot machine may be taken with its work: only for
                            // what finds no other room.
                            let tier = open.tier(&m.kind, &m.zone, m.spot);
                            let failed = failed_on.as_ref().is_some_and(|f| f.contains(&r.0));
                            (!failed, Reverse(tier), image, !m.spot)
                        };
                        key(a)
                            .cmp(&key(b))
                            .then(a.1.cores.total_cmp(&b.1.cores))
                            .then(a.1.ram.total_cmp(&b.1.ram))
                            .then(b.0.cmp(&a.0))
                    })
                    .map(|(i, _)| i);
                let Some(i) = best else {
                    unplaced.push(number);
                    // Where no machine has room for one of them, none has for
                    // the next.
                    let none = !rooms.iter().any(|r| needs.fits(&r.1));
                    if none {
                        search.none_fits(needs);
                    }
                    if none || unplaced.len() >= 8 {
                        unplaced.extend(waiting.iter().filter(|n| *n > number).take(3));
                        break;
                    }
                    continue;
                };
                let host = rooms[i].0;
                if open.spec.shape == Shape::Service
                    && kept.is_none()
                    && self.fetch_s(open, host) > 1.5
                    && self.may_preempt(open, &preemptible)
                {
                    // Where the image is, the replica runs at once; the arrays
                    // there can make way more easily than it can wait.
                    let job = *job;
                    if self.preempt(
                        p,
                        job,
                        &[number],
                        round,
                        now,
                        true,
                        &totals,
                        &mut search,
                        &mut may_stop,
                    ) {
                        continue;
                    }
                }
                let open = &self.mirror.open[job];
                if open.spec.shape == Shape::Service
                    && kept.is_none()
                    && self.fetch_s(open, host) > HAND_OVER_FETCH_S
                    && now - queues.since(*job).unwrap_or(now) < HAND_OVER_MS
                    && self.held_elsewhere(p, open, now) >= 1.0
                {
                    handing.insert(*job);
                    continue;
                }
                let m = &self.machines[&host];
                // Above every attempt before: each of those was at most the
                // revision of its own assignment, which has been seen since.
                let attempt = self.mirror.epoch.max(self.newest_epoch) + 1;
                let assignment = Assignment {
                    host,
                    session: m.newest.0,
                    attempt,
                };
                *zones.entry(m.zone.clone()).or_default() += 1;
                if !round.assign(&self.mirror, (*job, number), assignment, limited) {
                    self.parts[p].dirty = true;
                    break 'jobs;
                }
                let open = &self.mirror.open[job];
                if open.spec.shape == Shape::Service {
                    let waited = queues.since(*job).map(|at| now - at);
                    let age = now + self.wall_offset - open.at as f64;
                    let fetch_s = self.fetch_s(open, host);
                    tracing::debug!(job, host, fetch_s, ?waited, age, "place a service");
                }
                rooms[i].1.take(&needs);
                used[team].give(&needs);
                pending.hosts.insert(host);
                placed += 1;
                looks.found(flow);
                *started.entry(flow).or_insert(0.0) += needs.cores;
                if let Some(left) = ahead.get_mut(&flow) {
                    *left -= needs.cores;
                    if *left < needs.cores {
                        ahead.remove(&flow);
                        line.ahead(flow, false);
                        line.back(flow, at);
                        gone_to.insert(*job, number);
                        continue 'jobs;
                    }
                }
                if blamed {
                    continue 'jobs;
                }
            }
            if let Some(&first) = unplaced.first() {
                self.keep_machine(p, flow, (*job, first), queues, &zones, now);
            }
            if !unplaced.is_empty() && self.may_preempt(&self.mirror.open[job], &preemptible) {
                let job = *job;
                self.preempt(
                    p,
                    job,
                    &unplaced,
                    round,
                    now,
                    false,
                    &totals,
                    &mut search,
                    &mut may_stop,
                );
            }
        }
        for (flow, cores) in started {
            queues.started(flow, cores);
        }
        for (flow, others, last) in looks.others() {
            queues.looked_at(flow, others, last);
        }
        if !handing.is_empty() && handing != self.parts[p].handing {
            self.effects.push(Effect::Heartbeat);
            self.leader.dirty = true;
        }
        self.parts[p].handing = handing;
    }

    /// Whether one more task would take its team beyond what the part may use of
    /// its limit, with what each team uses there now.
    pub(crate) fn beyond_grant(&self, p: usize, team: u32, used: &[Needs], more: &Needs) -> bool {
        let team = team as usize;
        let (limits, grant) = (&self.config.teams[team], self.mirror.grants[team][p].0);
        limits.cores_max.is_finite() && used[team].cores + more.cores > grant.cores + 1e-6
            || limits.acc_max.is_finite() && used[team].acc + more.acc > grant.acc + 1e-6
    }

    pub(crate) fn zone_counts(&self, p: usize, job: u64, round: &Round) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        if self.mirror.open.get(&job).is_none_or(|o| o.caps.is_empty()) {
            return counts;
        }
        let mut count = |host: u32| {
            // A machine that is not known may be in any zone.
            match self.machines.get(&host) {
                Some(m) => *counts.entry(m.zone.clone()).or_default() += 1,
                None => {
                    for z in 0..self.config.zones.len() as u32 {
                        *counts.entry(self.config.zones.name(z).into()).or_default() += 1;
                    }
                }
            }
        };
        if let Some(m) = self.mirror.assignments.get(&(p, job)) {
            for (&number, (assignment, _)) in &m.assignments {
                if !round.gone.contains(&(job, number)) {
                    count(assignment.host);
                }
            }
        }
        for (&host, tasks) in &round.put {
            tasks
                .iter()
                .filter(|t| t.0 == job)
                .for_each(|_| count(host));
        }
        counts
    }

    pub(crate) fn zone_open(
        &self,
        p: usize,
        o: &OpenJob,
        zone: &str,
        counts: &HashMap<String, u32>,
    ) -> bool {
        if !o.spec.apart || o.spec.pieces == 1 {
            return true;
        }
        let Some(z) = self.config.zones.get(zone) else {
            return false;
        };
        let cap = o
            .caps
            .get(p)
            .and_then(|c| c.get(z as usize))
            .copied()
            .unwrap_or(0);
        counts.get(zone).copied().unwrap_or(0) < cap
    }

    /// Seconds until the job's image would be on a machine.
    pub(crate) fn fetch_s(&self, open: &OpenJob, host: u32) -> f64 {
        let m = &self.machines[&host];
        if m.image(&open.spec.bundle) == 2 {
            return 0.0;
        }
        let kind = self.mirror.kinds.iter().find(|k| k.sku == m.kind);
        let rate = kind.map_or(0.0, |k| k.fetch_gb_per_s);
        if rate > 0.0 {
            open.spec.image_gb / rate
        } else {
            0.0
        }
    }
}
