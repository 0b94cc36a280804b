//! Placement: which waiting number goes to which machine.

use super::*;
use std::cmp::Reverse;

impl Node {
    /// Which of the deadline's multiples the job can still make if its waiting
    /// tasks start now; the later ones only come after all that can still make
    /// an earlier one, so that a job that is late anyway delays no other.
    pub(crate) fn hope(&self, o: &OpenJob, wall: f64) -> usize {
        let Some(due) = o.spec.due_s else { return 0 };
        let once = vec![1.0];
        let times = self
            .config
            .deadline_times
            .get(&o.spec.jobclass)
            .unwrap_or(&once);
        let end = wall + o.spec.expected_s * 1000.0 * 0.8;
        times
            .iter()
            .position(|t| end <= o.at as f64 + due * t * 1000.0)
            .unwrap_or(times.len())
    }

    /// Open jobs with waiting numbers, in the order in which they are served.
    pub(crate) fn queue(&self, p: usize, now: Millis) -> Vec<(u64, cherryyard_wire::RangeSet)> {
        let all = self.mirror.waiting[p].iter().filter_map(|(&job, waiting)| {
            Some((job, self.mirror.open.get(&job)?, waiting.clone()))
        });
        let wall = now + self.wall_offset;
        let mut keyed: Vec<_> = all
            .map(|(job, o, waiting)| {
                let sweep = o.spec.shape == Shape::Sweep;
                let left = o.spec.pieces.saturating_sub(self.mirror.done(job));
                let work = f64::from(left) * o.spec.expected_s * o.spec.cores;
                let key = (Reverse(o.spec.rank), sweep, self.hope(o, wall));
                (key, work, o.due_ms(), o.at, job, waiting)
            })
            .collect();
        keyed.sort_by(|a, b| {
            a.0.cmp(&b.0)
                .then(a.1.total_cmp(&b.1))
                .then(a.2.total_cmp(&b.2))
                .then(a.3.cmp(&b.3))
                .then(a.4.cmp(&b.4))
        });
        keyed
            .into_iter()
            .map(|(.., job, waiting)| (job, waiting))
            .collect()
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
        let queue = self.queue(p, now);
        let waiting_jobs: HashSet<u64> = queue.iter().map(|q| q.0).collect();
        let part = &mut self.parts[p];
        part.waiting_since
            .retain(|job, _| waiting_jobs.contains(job));
        part.preempted.retain(|_, x| x.until > now);
        let (mirror, held) = (&self.mirror, &mut part.reserved);
        held.retain(|_, (task, until)| *until > now && mirror.waiting(p, task.0).contains(task.1));
        for &(job, _) in &queue {
            part.waiting_since.entry(job).or_insert(now);
        }
        if queue.is_empty() {
            part.handing.clear();
            return;
        }
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
        let preemptible = self.preemptible(p);
        let mut handing = BTreeSet::new();
        let mut placed = 0;
        'jobs: for (job, waiting) in &queue {
            let open = &self.mirror.open[job];
            let needs = open.needs();
            let team = open.team as usize;
            let trouble = self.parts[p].trouble.get(job).copied().unwrap_or_default();
            if trouble.until > now {
                continue;
            }
            let limited = self.config.teams[team].limited().then_some(team as u32);
            let mut zones = self.zone_counts(p, *job, round);
            let mut unplaced = Vec::new();
            for number in waiting.iter() {
                if placed >= 300 {
                    break 'jobs;
                }
                if self.beyond_grant(p, team as u32, &used, &needs) {
                    continue 'jobs;
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
                            (Reverse(tier), image, !m.spot)
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
                    if unplaced.len() >= 8 || !rooms.iter().any(|r| needs.fits(&r.1)) {
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
                    if self.preempt(p, job, &[number], round, now, true) {
                        continue;
                    }
                }
                let open = &self.mirror.open[job];
                if open.spec.shape == Shape::Service
                    && kept.is_none()
                    && self.fetch_s(open, host) > HAND_OVER_FETCH_S
                    && now - self.parts[p].waiting_since.get(job).copied().unwrap_or(now)
                        < HAND_OVER_MS
                    && self.held_elsewhere(p, open, now) >= 1.0
                {
                    handing.insert(*job);
                    continue;
                }
                let m = &self.machines[&host];
                // Above every attempt before: each of those was at most the
                // revision of its own mark, which has been seen since.
                let attempt = self.mirror.epoch.max(self.newest_epoch) + 1;
                let mark = Mark {
                    host,
                    session: m.newest.0,
                    attempt,
                };
                *zones.entry(m.zone.clone()).or_default() += 1;
                if !round.mark(&self.mirror, (*job, number), mark, limited) {
                    self.parts[p].dirty = true;
                    break 'jobs;
                }
                let open = &self.mirror.open[job];
                if open.spec.shape == Shape::Service {
                    let waited = self.parts[p].waiting_since.get(job).map(|at| now - at);
                    let age = now + self.wall_offset - open.at as f64;
                    let fetch_s = self.fetch_s(open, host);
                    tracing::debug!(job, host, fetch_s, ?waited, age, "place a service");
                }
                rooms[i].1.take(&needs);
                used[team].give(&needs);
                pending.hosts.insert(host);
                placed += 1;
            }
            if !unplaced.is_empty() && self.may_preempt(&self.mirror.open[job], &preemptible) {
                let job = *job;
                self.preempt(p, job, &unplaced, round, now, false);
            }
        }
        if !handing.is_empty() && handing != self.parts[p].handing {
            self.effects.push(Effect::Beat);
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
        if let Some(m) = self.mirror.marks.get(&(p, job)) {
            for (&number, (mark, _)) in &m.marks {
                if !round.gone.contains(&(job, number)) {
                    count(mark.host);
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
