//! Placement: which waiting number goes to which machine.

use super::failure_attribution::JobFailures;
use super::preempt::Preemptible;
use super::search::{Search, SearchBudget};
use super::*;
use crate::admission::flows::Flow;
use crate::admission::queue::{Place, Queues};
use cherryyard_wire::RangeSet;
use std::cmp::Reverse;

/// Tasks that one scheduling cycle places.
const MOST_PLACED: usize = 300;
/// Tasks of a job that may find no room before the rest of it is passed over.
const MOST_UNPLACED: usize = 8;
/// A fetch of an image for which arrays make way elsewhere, in seconds.
const SHORT_FETCH_S: f64 = 1.5;

/// What a scheduling cycle of placement goes by, and what it has come to.
struct Placement {
    shard_id: usize,
    now: Millis,
    /// Free capacity by machine, as it is used up.
    capacities: Vec<(u32, Needs)>,
    /// What each team uses in the shard, and everywhere.
    used: Vec<Needs>,
    totals: Vec<Needs>,
    preemptible: Preemptible,
    search: Search,
    /// Services that another shard should get.
    handing: BTreeSet<u64>,
    /// How many tasks have been placed.
    placed: usize,
    /// Cores that flows may start ahead of rank, and that may be stopped of them.
    ahead: HashMap<Flow, f64>,
    may_stop: HashMap<Flow, f64>,
    search_budget: SearchBudget,
    /// Cores started, by flow.
    started: HashMap<Flow, f64>,
    /// Teams whose rest of the limit here is kept for a job whose turn it is.
    kept_for: HashMap<usize, u64>,
    /// Of jobs that were put back, up to which number this round has gone.
    gone_to: HashMap<u64, u32>,
}

impl Placement {
    /// Whether a flow goes ahead of rank, and what is left of that is too little.
    fn is_beyond_level(&mut self, flow: Flow, needs: &Needs) -> bool {
        let beyond = self
            .ahead
            .get(&flow)
            .is_some_and(|left| *left < needs.cores);
        if beyond {
            self.ahead.remove(&flow);
        }
        beyond
    }

    /// Takes cores from what a flow may start ahead of rank; whether too little is left
    /// for as much again.
    fn use_level(&mut self, flow: Flow, cores: f64) -> bool {
        let Some(left) = self.ahead.get_mut(&flow) else {
            return false;
        };
        *left -= cores;
        let used_up = *left < cores;
        if used_up {
            self.ahead.remove(&flow);
        }
        used_up
    }
}

/// A waiting job as a scheduling cycle sees it.
struct Candidate {
    job: u64,
    flow: Flow,
    team: u32,
    /// Its team, if that has a limit.
    limited: Option<u32>,
    needs: Needs,
    service: bool,
    /// Since when it waits here.
    since: Option<Millis>,
    waiting: RangeSet,
    /// Whether it fails everywhere, and where else it has failed.
    is_quarantined: bool,
    failed_on: Option<BTreeSet<u32>>,
}

/// How a scheduling cycle goes on after a job.
enum Next {
    /// With the next job.
    Job,
    /// With the next job; this one comes once more, in its own place.
    JobAgain,
    /// It has no room for more.
    Nothing,
}

impl Controller {
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

    /// Puts a job in its place among what waits in a shard, or takes it out.
    pub(crate) fn requeue(&mut self, shard_id: usize, job: u64, now: Millis) {
        let waits = self.mirror.tasks.waiting[shard_id].contains_key(&job);
        let Some(o) = self.mirror.open.get(&job).filter(|_| waits) else {
            self.shards[shard_id].queues.remove(job);
            return;
        };
        let left = o.spec.task_count.saturating_sub(self.mirror.done(job));
        let (hope, turns) = self.hope(o, now + self.wall_offset);
        if o.urgency.deadline.is_some() && turns.is_infinite() {
            self.shards[shard_id]
                .queues
                .is_late(o.flow, o.ready_at(), job);
        }
        let place = Place {
            rank: o.rank(),
            is_array: o.spec.shape == Shape::Array,
            hope,
            work: f64::from(left) * o.spec.expected_s * o.spec.cores,
            due: o.due_ms(),
            at: o.ready_at(),
            job,
        };
        self.shards[shard_id].queues.set(o.flow, place, turns, now);
    }

    /// Takes over what has changed of what waits in our shards.
    pub(crate) fn requeue_changed(&mut self, now: Millis) {
        for (shard_id, job) in self.mirror.take_waiting_changes() {
            if matches!(self.shards[shard_id].lease, ShardLease::Held(_)) {
                self.requeue(shard_id, job, now);
            }
        }
    }

    /// Queues all that waits in a shard that has just become ours.
    pub(crate) fn queue_all(&mut self, shard_id: usize, now: Millis) {
        self.shards[shard_id].queues.clear();
        let jobs: Vec<u64> = self.mirror.tasks.waiting[shard_id]
            .keys()
            .copied()
            .collect();
        for job in jobs {
            self.requeue(shard_id, job, now);
        }
    }

    /// Whether the job's rules allow this machine.
    pub(crate) fn allowed(&self, open: &OpenJob, m: &Machine) -> bool {
        (!open.spec.together || open.zone.is_some())
            && open.allows(&m.machine_type, &m.zone, m.spot).is_some()
    }

    pub(crate) fn place(
        &mut self,
        shard_id: usize,
        now: Millis,
        cycle: &mut Cycle,
        pending: &mut Pending,
    ) {
        self.requeue_changed(now);
        for job in self.shards[shard_id].queues.turned(now + self.wall_offset) {
            self.requeue(shard_id, job, now);
        }
        let shard = &mut self.shards[shard_id];
        shard.preempted.retain(|_, x| x.until > now);
        let (mirror, held) = (&self.mirror, &mut shard.reserved);
        held.retain(|_, (task, until)| {
            *until > now
                && mirror
                    .waiting(shard_id, task.0)
                    .is_some_and(|w| w.contains(task.1))
        });
        if shard.queues.is_empty() {
            shard.handing.clear();
            return;
        }
        shard.queues.mark_seen();
        let (mirror, queues) = (&self.mirror, &mut shard.queues);
        let turns = queues.late_share_due(|job| {
            let waiting = mirror.waiting(shard_id, job).map_or(0, |w| w.len());
            mirror.open.get(&job).map_or(0.0, |o| o.spec.cores) * f64::from(waiting)
        });
        for job in turns {
            self.requeue(shard_id, job, now);
        }
        self.reserve_for_oldest(shard_id, now);
        let shard = &mut self.shards[shard_id];
        // Back in its place at the end: nothing in between search_budget there.
        let mut queues = std::mem::take(&mut shard.queues);
        self.place_queued(shard_id, now, &mut queues, cycle, pending);
        self.shards[shard_id].queues = queues;
    }

    fn place_queued(
        &mut self,
        shard_id: usize,
        now: Millis,
        queues: &mut Queues,
        cycle: &mut Cycle,
        pending: &mut Pending,
    ) {
        let mut placement = self.begin_placement(shard_id, cycle, now);
        let mut service_order = queues.service_order();
        let ahead = placement.ahead.keys();
        ahead.for_each(|&flow| service_order.ahead(flow, true));
        while let Some((flow, at)) = service_order.step() {
            self.inspected_jobs += 1;
            // Counted as stuck until one of its tasks is placed.
            if placement.search_budget.look(flow, at) {
                service_order.close(flow);
            }
            let Some(needs) = self.needs_of_waiting(shard_id, at.job) else {
                continue;
            };
            if placement.is_beyond_level(flow, &needs) {
                // Not all of it has its turn now; what is next in its own place may.
                service_order.ahead(flow, false);
                service_order.back(flow, at);
                continue;
            }
            let Some(candidate) = self.candidate(&placement, flow, at.job, queues, cycle) else {
                continue;
            };
            if !self.may_start(&mut placement, &candidate, queues) {
                continue;
            }
            match self.place_job(&mut placement, &candidate, queues, cycle, pending) {
                Next::Job => {}
                Next::JobAgain => {
                    service_order.ahead(flow, false);
                    service_order.back(flow, at);
                }
                Next::Nothing => break,
            }
        }
        self.end_placement(placement, queues);
    }

    fn begin_placement(&self, shard_id: usize, cycle: &Cycle, now: Millis) -> Placement {
        let silence = self.silence_ms();
        let usable = self.machines.values();
        let usable = usable.filter(|m| m.shard == shard_id && m.usable(now, silence));
        let free = |m: &Machine| Some((m.host, self.free_on(m, Some(cycle))?));
        let mut capacities: Vec<(u32, Needs)> = usable.filter_map(free).collect();
        capacities.sort_by_key(|capacity| capacity.0);
        let mut used = self.mirror.usage(shard_id);
        for task in &cycle.gone {
            // What this very round proves gone makes room under the limit too.
            if let Some((team, needs)) = self.mirror.uses(task.0)
                && let Some(used) = used.get_mut(team as usize)
            {
                used.take(&needs);
            }
        }
        let totals = self.team_totals();
        let allowed = self.allowances(shard_id, &cycle.gone, now);
        let mut ahead = allowed.start;
        ahead.retain(|_, cores| *cores > 0.0);
        Placement {
            shard_id,
            now,
            capacities,
            used,
            preemptible: self.preemptible(shard_id, &totals),
            totals,
            search: Search::default(),
            handing: BTreeSet::new(),
            placed: 0,
            ahead,
            may_stop: allowed.stop,
            search_budget: SearchBudget::default(),
            started: HashMap::new(),
            kept_for: HashMap::new(),
            gone_to: HashMap::new(),
        }
    }

    /// What a task of a job takes that waits in the shard.
    fn needs_of_waiting(&self, shard_id: usize, job: u64) -> Option<Needs> {
        self.mirror.waiting(shard_id, job)?;
        self.mirror.open.get(&job).map(OpenJob::needs)
    }

    /// A waiting job as this round sees it; none if nothing of it may be tried now.
    fn candidate(
        &self,
        placement: &Placement,
        flow: Flow,
        job: u64,
        queues: &Queues,
        cycle: &Cycle,
    ) -> Option<Candidate> {
        let shard_id = placement.shard_id;
        let open = self.mirror.open.get(&job)?;
        let mut waiting = self.mirror.waiting(shard_id, job)?.clone();
        let job_failures = self.shards[shard_id].job_failures.get(&job);
        if job_failures.is_some_and(|t| t.held_off(placement.now)) {
            return None;
        }
        // Of a job that fails everywhere one task at a time is tried.
        let is_quarantined = job_failures.is_some_and(JobFailures::is_quarantined);
        let is_tried = || {
            let here = self.mirror.tasks.assignments.get(&(shard_id, job));
            here.is_some_and(|all| all.assignments.len() > cycle.gone_of(job))
        };
        if is_quarantined && is_tried() {
            return None;
        }
        if let Some(&last) = placement.gone_to.get(&job) {
            waiting = waiting.minus(&RangeSet::span(0, last));
        }
        let team = open.team;
        let limited = self.config.teams[team as usize].limited();
        Some(Candidate {
            job,
            flow,
            team,
            limited: limited.then_some(team),
            needs: open.needs(),
            service: open.spec.shape == Shape::Service,
            since: queues.since(job),
            waiting,
            is_quarantined,
            // Elsewhere than where it failed, while that may tell whose fault it is.
            failed_on: job_failures
                .filter(|t| !t.is_quarantined())
                .map(|t| t.hosts.clone()),
        })
    }

    /// Whether the team's limit lets a task of the job start; one whose turn it is keeps
    /// what is left of the limit here.
    fn may_start(
        &mut self,
        placement: &mut Placement,
        candidate: &Candidate,
        queues: &Queues,
    ) -> bool {
        let (shard_id, job, team) = (placement.shard_id, candidate.job, candidate.team);
        let kept_for = placement.kept_for.get(&(team as usize));
        if kept_for.is_some_and(|other| *other != job) {
            return false;
        }
        if !self.beyond_grant(shard_id, team, &placement.used, &candidate.needs) {
            return true;
        }
        // Smaller tasks would take what comes free, each before it is enough.
        if queues.turn(candidate.flow) == Some(job)
            && !self.begun(job)
            && !self.beyond_grant(
                shard_id,
                team,
                &self.held_by_services(shard_id),
                &candidate.needs,
            )
            && self.shards[shard_id]
                .kept_rests
                .keep(team as usize, job, placement.now)
        {
            placement.kept_for.insert(team as usize, job);
        }
        false
    }

    /// Places what waits of a job, as far as there is room.
    fn place_job(
        &mut self,
        placement: &mut Placement,
        candidate: &Candidate,
        queues: &Queues,
        cycle: &mut Cycle,
        pending: &mut Pending,
    ) -> Next {
        let (shard_id, job, needs) = (placement.shard_id, candidate.job, &candidate.needs);
        let waiting = &candidate.waiting;
        let mut zones = self.zone_counts(shard_id, job, cycle);
        let mut unplaced = Vec::new();
        for number in waiting.iter() {
            if placement.placed >= MOST_PLACED {
                return Next::Nothing;
            }
            if self.beyond_grant(shard_id, candidate.team, &placement.used, needs) {
                return Next::Job;
            }
            if placement.search.too_large(needs) {
                unplaced.extend(waiting.iter().filter(|n| *n >= number).take(4));
                break;
            }
            let kept = self.kept_machine(shard_id, (job, number));
            let Some(capacity) = self.best_fit(placement, candidate, number, kept, &zones) else {
                unplaced.push(number);
                // Where no machine has room for one of them, none has for the next.
                let none = !placement.capacities.iter().any(|r| needs.fits(&r.1));
                if none {
                    placement.search.none_fits(*needs);
                }
                if none || unplaced.len() >= MOST_UNPLACED {
                    unplaced.extend(waiting.iter().filter(|n| *n > number).take(3));
                    break;
                }
                continue;
            };
            let host = placement.capacities[capacity].0;
            if candidate.service
                && kept.is_none()
                && self.better_elsewhere(placement, candidate, number, host, cycle)
            {
                continue;
            }
            let zone = self.machines[&host].zone.clone();
            *zones.entry(zone).or_default() += 1;
            if !self.assign(placement, candidate, number, capacity, cycle, pending) {
                return Next::Nothing;
            }
            if placement.use_level(candidate.flow, needs.cores) {
                placement.gone_to.insert(job, number);
                return Next::JobAgain;
            }
            if candidate.is_quarantined {
                return Next::Job;
            }
        }
        self.preempt_for(placement, candidate, &unplaced, queues, &zones, cycle);
        Next::Job
    }

    /// The machine that is kept for a task, because others were stopped there for it.
    fn kept_machine(&self, shard_id: usize, task: Task) -> Option<u32> {
        let mut kept = self.shards[shard_id].reserved.iter();
        kept.find(|kept| kept.1.0 == task).map(|kept| *kept.0)
    }

    /// The best of the machines that have room for a task, by its place.
    fn best_fit(
        &self,
        placement: &Placement,
        candidate: &Candidate,
        number: u32,
        kept: Option<u32>,
        zones: &HashMap<String, u32>,
    ) -> Option<usize> {
        let (shard_id, task) = (placement.shard_id, (candidate.job, number));
        let open = &self.mirror.open[&candidate.job];
        let reserved = &self.shards[shard_id].reserved;
        let is_possible = |(host, free): &(u32, Needs)| {
            let m = &self.machines[host];
            candidate.needs.fits(free)
                && kept.is_none_or(|kept| kept == *host)
                && self.allowed(open, m)
                && !m.reported.contains_key(&task)
                && reserved.get(host).is_none_or(|other| other.0 == task)
                && !self.kept_from(shard_id, *host, open)
                && self.zone_open(shard_id, open, &m.zone, zones)
        };
        let preference = |host: u32| {
            let m = &self.machines[&host];
            let image = match open.spec.shape {
                Shape::Service => m.image(&open.spec.image),
                Shape::Array => u8::from(m.has_image(&open.spec.image)),
            };
            let tier = open.tier(&m.machine_type, &m.zone, m.spot);
            let failed = candidate.failed_on.as_ref();
            let failed = failed.is_some_and(|hosts| hosts.contains(&host));
            // A spot machine may be taken with its work: only for what finds no other
            // room.
            (!failed, Reverse(tier), image, !m.spot)
        };
        let capacities = placement.capacities.iter().enumerate();
        let best = capacities
            .filter(|(_, capacity)| is_possible(capacity))
            .max_by(|(_, a), (_, b)| {
                preference(a.0)
                    .cmp(&preference(b.0))
                    .then(a.1.cores.total_cmp(&b.1.cores))
                    .then(a.1.ram.total_cmp(&b.1.ram))
                    .then(b.0.cmp(&a.0))
            });
        best.map(|(capacity, _)| capacity)
    }

    /// Whether a replica that would have to fetch its image on the best machine is not
    /// started there: arrays make way where the image is, or another shard gets it.
    fn better_elsewhere(
        &mut self,
        placement: &mut Placement,
        candidate: &Candidate,
        number: u32,
        host: u32,
        cycle: &Cycle,
    ) -> bool {
        let (shard_id, job, now) = (placement.shard_id, candidate.job, placement.now);
        let open = &self.mirror.open[&job];
        if self.fetch_s(open, host) > SHORT_FETCH_S
            && self.may_preempt(open, &placement.preemptible)
            // Where the image is, the replica runs at once; the arrays there can make
            // way more easily than it can wait.
            && self.preempt(
                shard_id,
                job,
                &[number],
                cycle,
                now,
                true,
                &placement.totals,
                &mut placement.search,
                &mut placement.may_stop,
            )
        {
            return true;
        }
        let open = &self.mirror.open[&job];
        let waits_ms = now - candidate.since.unwrap_or(now);
        let hand_over = self.fetch_s(open, host) > HAND_OVER_FETCH_S
            && waits_ms < HAND_OVER_MS
            && self.held_elsewhere(shard_id, open, now) >= 1.0;
        if hand_over {
            placement.handing.insert(job);
        }
        hand_over
    }

    /// Assigns a task to a machine; false if the scheduling cycle has no room for more.
    fn assign(
        &mut self,
        placement: &mut Placement,
        candidate: &Candidate,
        number: u32,
        capacity: usize,
        cycle: &mut Cycle,
        pending: &mut Pending,
    ) -> bool {
        let host = placement.capacities[capacity].0;
        let assignment = Assignment {
            host,
            incarnation: self.machines[&host].newest.0,
            // Above every attempt before: each of those was at most the revision of its
            // own assignment, which has been seen since.
            attempt: self.mirror.store_revision.max(self.newest_revision) + 1,
        };
        let task = (candidate.job, number);
        if !cycle.assign(&self.mirror, task, assignment, candidate.limited) {
            self.shards[placement.shard_id].dirty = true;
            return false;
        }
        if candidate.service {
            self.log_placed(candidate, host, placement.now);
        }
        placement.capacities[capacity].1.take(&candidate.needs);
        placement.used[candidate.team as usize].give(&candidate.needs);
        placement.placed += 1;
        placement.search_budget.found(candidate.flow);
        let started = placement.started.entry(candidate.flow).or_insert(0.0);
        *started += candidate.needs.cores;
        pending.hosts.insert(host);
        true
    }

    fn log_placed(&self, candidate: &Candidate, host: u32, now: Millis) {
        let job = candidate.job;
        let open = &self.mirror.open[&job];
        let waited = candidate.since.map(|at| now - at);
        let age = now + self.wall_offset - open.submitted_at as f64;
        let fetch_s = self.fetch_s(open, host);
        tracing::debug!(job, host, fetch_s, ?waited, age, "place a service");
    }

    /// Makes room for what has found none: a machine is kept for the job whose turn it
    /// is, less important work is stopped.
    fn preempt_for(
        &mut self,
        placement: &mut Placement,
        candidate: &Candidate,
        unplaced: &[u32],
        queues: &Queues,
        zones: &HashMap<String, u32>,
        cycle: &Cycle,
    ) {
        let (shard_id, job, now) = (placement.shard_id, candidate.job, placement.now);
        let Some(&first) = unplaced.first() else {
            return;
        };
        self.keep_machine(shard_id, candidate.flow, (job, first), queues, zones, now);
        if self.may_preempt(&self.mirror.open[&job], &placement.preemptible) {
            self.preempt(
                shard_id,
                job,
                unplaced,
                cycle,
                now,
                false,
                &placement.totals,
                &mut placement.search,
                &mut placement.may_stop,
            );
        }
    }

    fn end_placement(&mut self, placement: Placement, queues: &mut Queues) {
        for (flow, cores) in placement.started {
            queues.started(flow, cores);
        }
        for (flow, others, last) in placement.search_budget.others() {
            queues.inspected_at(flow, others, last);
        }
        let handing = placement.handing;
        if !handing.is_empty() && handing != self.shards[placement.shard_id].handing {
            self.effects.push(Effect::Heartbeat);
            self.leader.dirty = true;
        }
        self.shards[placement.shard_id].handing = handing;
    }

    /// Whether one more task would take its team beyond what the shard may use of
    /// its limit, with what each team uses there now.
    pub(crate) fn beyond_grant(
        &self,
        shard_id: usize,
        team: u32,
        used: &[Needs],
        more: &Needs,
    ) -> bool {
        let team = team as usize;
        let (limits, grant) = (
            &self.config.teams[team],
            self.mirror.grants[team][shard_id].0,
        );
        limits.cores_max.is_finite() && used[team].cores + more.cores > grant.cores + 1e-6
            || limits.acc_max.is_finite() && used[team].acc + more.acc > grant.acc + 1e-6
    }

    pub(crate) fn zone_counts(
        &self,
        shard_id: usize,
        job: u64,
        cycle: &Cycle,
    ) -> HashMap<String, u32> {
        let mut counts = HashMap::new();
        if self
            .mirror
            .open
            .get(&job)
            .is_none_or(|o| o.zone_caps.is_empty())
        {
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
        if let Some(m) = self.mirror.tasks.assignments.get(&(shard_id, job)) {
            for (&number, (assignment, _)) in &m.assignments {
                if !cycle.gone.contains(&(job, number)) {
                    count(assignment.host);
                }
            }
        }
        for (&host, tasks) in &cycle.put {
            tasks
                .iter()
                .filter(|t| t.0 == job)
                .for_each(|_| count(host));
        }
        counts
    }

    pub(crate) fn zone_open(
        &self,
        shard_id: usize,
        o: &OpenJob,
        zone: &str,
        counts: &HashMap<String, u32>,
    ) -> bool {
        if !o.spec.apart || o.spec.task_count == 1 {
            return true;
        }
        let Some(z) = self.config.zones.get(zone) else {
            return false;
        };
        let cap = o
            .zone_caps
            .get(shard_id)
            .and_then(|c| c.get(z as usize))
            .copied()
            .unwrap_or(0);
        counts.get(zone).copied().unwrap_or(0) < cap
    }

    /// Seconds until the job's image would be on a machine.
    pub(crate) fn fetch_s(&self, open: &OpenJob, host: u32) -> f64 {
        let m = &self.machines[&host];
        if m.image(&open.spec.image) == 2 {
            return 0.0;
        }
        let machine_type = self
            .mirror
            .catalog
            .machine_types
            .iter()
            .find(|k| k.sku == m.machine_type);
        let rate = machine_type.map_or(0.0, |k| k.fetch_gb_per_s);
        if rate > 0.0 {
            open.spec.image_gb / rate
        } else {
            0.0
        }
    }
}
