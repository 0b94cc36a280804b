//! Machines to return: dead, never up, silent, or of no use.

use super::*;
use crate::leader::provisioning_times::ProvisioningProgress;

/// How much longer than its lease a machine may fail to hear us before it is returned.
const UNREACHABLE_MS: f64 = 30_000.0;
/// Which part of the time that a cancelled job's tasks have may pass before a machine is
/// returned that may have one and is silent, and from which shard on a new owner waits no
/// longer for it than for one that it has heard.
const CANCELLED_SHARE: f64 = 0.7;
const CANCELLED_LATE: f64 = 0.8;

impl Controller {
    /// Machines to return: dead, never up, silent, or of no use.
    pub(crate) fn scale_in_listed(&mut self, now: Millis) {
        // What is owned may be an old belief.
        if !self.caught_up() {
            return;
        }
        let mut release = Vec::new();
        let mut spare: HashMap<usize, (f64, f64)> = HashMap::new();
        for m in self.machines.values() {
            if let (Some(whole), Some(free)) = (self.whole(m), self.free_on(m, None))
                && m.usable(now, self.silence_ms())
            {
                let s = spare.entry(m.shard).or_default();
                s.0 += free.cores;
                s.1 += whole.cores;
            }
        }
        // Where many do not hear us, the fault is between us and them.
        let mut unreachable: HashMap<usize, (usize, usize)> = HashMap::new();
        for m in self.machines.values() {
            let n = unreachable.entry(m.shard).or_default();
            n.0 += usize::from(matches!(m.reachability, Reachability::Unreachable(_)));
            n.1 += 1;
        }
        let lease = self.config.lease_ms;
        let mut names: Vec<&String> = self.listed.keys().collect();
        names.sort();
        for name in names {
            let entry = &self.listed[name];
            let shard_id = self.config.shard_map.shard(&entry.zone, name);
            if self.owned(shard_id).is_none() || release.len() >= 90 {
                continue;
            }
            let owned_for = now - self.shards[shard_id].lease.token_since();
            let host = self.mirror.hosts.get(name);
            let machine = host.and_then(|h| self.machines.get(&h));
            let ready_ms = self.ready_s(&entry.machine_type) * 1000.0;
            let why = match machine {
                Some(m) if m.state == MachineState::Gone => None,
                Some(m) if now < m.release_after => None,
                Some(m) if m.state == MachineState::Returning => Some("asked before"),
                _ if entry.status == InstanceStatus::Failed => Some("failed"),
                Some(m)
                    if now - m.last_heard_at > lease + 15_000.0
                        && self.lag.punctual_for(now) > lease + 15_000.0 =>
                {
                    Some("silent")
                }
                Some(m) if m.failures() >= failure_attribution::FAULTY => Some("failing"),
                Some(m)
                    if self.long_unreachable(m, now)
                        && unreachable
                            .get(&shard_id)
                            .is_some_and(|n| n.0 <= (n.1 / 5).max(1)) =>
                {
                    Some("does not hear us")
                }
                Some(m) => {
                    let (free, whole) = spare.get(&shard_id).copied().unwrap_or_default();
                    let cores = self.whole(m).map_or(0.0, |w| w.cores);
                    let idle = now - m.busy_at > self.config.tuning.idle_return_s * 1000.0
                        && m.reported.is_empty()
                        && host.is_some_and(|h| self.mirror.on_host(h).next().is_none());
                    if idle && free - cores > 0.6 * whole {
                        spare.entry(shard_id).and_modify(|s| s.0 -= cores);
                        Some("idle")
                    } else {
                        None
                    }
                }
                None if entry.status == InstanceStatus::Starting => {
                    (self.provisioning_progress(entry) == ProvisioningProgress::Never)
                        .then_some("never up")
                }
                None => (owned_for > lease * 2.0 + 20_000.0
                    && entry.held_s * 1000.0 > ready_ms + lease * 2.0 + 20_000.0)
                    .then_some("never heard of"),
            };
            if let Some(why) = why {
                tracing::info!(machine = %name, why, "return a machine");
                release.push(name.clone());
            }
        }
        for name in &release {
            // So that assignments of a machine that never reported can be resolved
            // by the answer to its release.
            let entry = &self.listed[name];
            let shard_id = self.config.shard_map.shard(&entry.zone, name);
            let host = self.mirror.hosts.intern(name);
            let m = self
                .machines
                .entry(host)
                .or_insert_with(|| Machine::unheard(host, shard_id, entry, now));
            m.change(MachineEvent::ReleaseAsked);
            m.release_after = now + 10_000.0;
        }
        if !release.is_empty() {
            self.effects.push(Effect::Release(release));
        }
        self.release_unlisted(now);
    }

    /// Whether a machine has not heard us for so long that it is of no use.
    fn long_unreachable(&self, m: &Machine, now: Millis) -> bool {
        matches!(m.reachability, Reachability::Unreachable(since) if now - since > self.config.lease_ms + UNREACHABLE_MS)
    }

    /// A machine that has fallen silent with replicas on it is released at
    /// once: the answer proves them gone well before the lease would, if the
    /// machine is dead. Arrays wait for the lease, as their machine may come
    /// back with its work. When many are silent, the fault is between us and
    /// them, and nothing is released.
    pub(crate) fn release_silent(&mut self, shard_id: usize, now: Millis) {
        let limit = self.config.report_ms * 1.25 + 2000.0;
        // A machine that merely hangs loses what is left of its lease by this:
        // worth it only where the lease would be waited for much longer, or
        // somewhat longer if there is nothing but replicas to lose.
        let gain = (self.config.lease_ms - limit) / self.config.report_ms;
        // Reports that wait because this controller is late are no silence.
        if gain < 2.0
            || !self.state_fresh(now)
            || now - self.shards[shard_id].lease.token_since() < 2.0 * limit
            || self.lag.punctual_for(now) < limit
        {
            return;
        }
        let known = |m: &&Machine| m.shard == shard_id && m.token_ours();
        let all = self.machines.values().filter(known).count();
        let silent: Vec<u32> = self
            .machines
            .values()
            .filter(known)
            .filter(|m| {
                now - m.last_heard_at > limit
                    && !m.lease_over
                    && matches!(m.state, MachineState::Ready | MachineState::Returning)
            })
            .map(|m| m.host)
            .collect();
        // Machines fall silent one after the other, as each report would have been
        // due: of those that a cut takes together the first few look like a few. So
        // those just overdue count too, and most others must have been heard of
        // lately: an owner that had lost its workers released 37 machines with their
        // replicas before it saw that all were silent.
        let overdue = self.config.report_ms * 1.25 + 250.0;
        // Of a few machines none may report for half of that time, by chance.
        let lately = self.config.report_ms * if all > 8 { 0.5 } else { 0.9 };
        let (mut missing, mut heard) = (0, 0);
        for m in self.machines.values().filter(known) {
            missing += usize::from(now - m.last_heard_at > overdue && !m.lease_over);
            heard += usize::from(now - m.last_heard_at < lately);
        }
        let others = all.saturating_sub(missing);
        if silent.is_empty() || missing > (all / 5).max(1) || heard * 4 < others {
            return;
        }
        let mut release = Vec::new();
        for host in silent {
            let (mut services, mut others) = (0, 0);
            for ((job, _), _) in self.mirror.on_host(host) {
                match self.mirror.open.get(&job).map(|o| o.spec.shape) {
                    Some(Shape::Service) => services += 1,
                    Some(_) => others += 1,
                    None => {}
                }
            }
            let serves = services > 0 && (others == 0 || gain >= 3.0);
            let Some(m) = self.machines.get_mut(&host) else {
                continue;
            };
            if serves && now >= m.release_after && release.len() < 90 {
                let name = self.mirror.hosts.name(host).to_string();
                tracing::info!(machine = %name, "return a silent machine with replicas");
                m.change(MachineEvent::ReleaseAsked);
                m.release_after = now + 3000.0;
                release.push(name);
            }
        }
        if !release.is_empty() {
            self.effects.push(Effect::Release(release));
        }
    }

    /// How long a assigned machine may take to find a new owner: a report that gets no
    /// answer, a try or two elsewhere, and the next.
    fn finding_ms(&self) -> f64 {
        self.config.report_ms * 1.25 + 8000.0
    }

    /// For how long a machine has to be silent to be returned for a task of this job, if
    /// it is cancelled and its time is running out.
    fn cancelled_wait(&self, job: u64, now: Millis) -> Option<Millis> {
        if self.mirror.end(job) != Some(End::Cancelled) || self.mirror.is_new_cancel(job) {
            return None;
        }
        // Where that is no longer known it is long ago, or nobody knows.
        let shard = self
            .cancelled
            .learnt_at(job)
            .map(|at| (now - at) / self.config.cancel_ms);
        match shard {
            Some(shard) if shard <= CANCELLED_SHARE => None,
            Some(shard) if shard > CANCELLED_LATE => Some(self.silence_ms()),
            _ => Some(self.finding_ms()),
        }
    }

    /// A machine that hangs may carry out, when it goes on and before it sees that its
    /// incarnation is over, a start that was sent to it before, by an owner before us too. If
    /// its job has been cancelled meanwhile only the machine's release stops that, as no
    /// token of ours gets there. So a silent machine whose assignment of a cancelled job is not
    /// proven gone is returned before that job's time is over. (Where the owner stays the
    /// same the end of the lease proves it, but for such a start.)
    pub(crate) fn release_with_cancelled_tasks(&mut self, shard_id: usize, now: Millis) {
        if !self.state_fresh(now) {
            return;
        }
        let held_since = self.shards[shard_id].lease.held_since();
        let punctual_since = now - self.lag.punctual_for(now);
        // Since when nothing has been heard of a machine that should have been.
        let silent_since = |host: u32| match self.machines.get(&host) {
            Some(m) if m.state == MachineState::Gone || now < m.release_after => now,
            Some(m) => m.last_heard_at.max(held_since).max(punctual_since),
            None => held_since.max(punctual_since),
        };
        let due = |host: u32| {
            let silent = now - silent_since(host);
            let waits = |task: Task| self.cancelled_wait(task.0, now);
            let mut waits = self.mirror.on_host(host).filter_map(|m| waits(m.0));
            silent > 0.0 && waits.any(|wait| silent > wait)
        };
        let hosts = self.mirror.assigned_hosts().filter(|&host| due(host));
        let hosts = hosts.filter(|&host| self.mirror.shard_of_assignment(host) == Some(shard_id));
        let hosts: Vec<u32> = hosts.take(90).collect();
        if hosts.is_empty() {
            return;
        }
        let release: Vec<String> = hosts
            .into_iter()
            .map(|host| self.request_release(host, shard_id, now))
            .collect();
        tracing::info!(
            ?release,
            "return silent machines that may have cancelled tasks"
        );
        self.effects.push(Effect::Release(release));
    }

    /// A machine that was lost while its shard had no owner, or just before, has
    /// never shown the new owner its token: no lease of it can be waited for.
    /// Once all others have found the new owner, the few that have not are
    /// released, as only that proves what was on them gone. While many have not
    /// come, they are with the old owner, or the network is at fault.
    pub(crate) fn release_unreachable(&mut self, shard_id: usize, now: Millis) {
        let limit = self.finding_ms();
        let owned_for = now - self.shards[shard_id].lease.token_since();
        if owned_for < limit
            || owned_for > limit + 60_000.0
            || self.lag.punctual_for(now) < limit
            || !self.state_fresh(now)
        {
            return;
        }
        let mut all = 0;
        let mut unheard = Vec::new();
        for host in self.mirror.assigned_hosts() {
            match self.machines.get(&host) {
                Some(m) if m.shard != shard_id => {}
                Some(m) if m.token_ours() || m.state == MachineState::Gone => all += 1,
                Some(m) if now < m.release_after => all += 1,
                // It reports, but does not hear us: it will never show our token.
                Some(m)
                    if now - m.last_heard_at < limit
                        && !matches!(m.reachability, Reachability::Unreachable(_)) =>
                {
                    all += 1;
                }
                _ if self.mirror.shard_of_assignment(host) == Some(shard_id) => {
                    all += 1;
                    unheard.push(host);
                }
                _ => {}
            }
        }
        if unheard.is_empty() || unheard.len() * 5 > all {
            return;
        }
        let release: Vec<String> = unheard
            .into_iter()
            .take(90)
            .map(|host| self.request_release(host, shard_id, now))
            .collect();
        tracing::info!(?release, "return marked machines that have not found us");
        self.effects.push(Effect::Release(release));
    }

    /// Notes that a machine, known or not, is being released; says its name.
    pub(crate) fn request_release(&mut self, host: u32, shard_id: usize, now: Millis) -> String {
        let name = self.mirror.hosts.name(host).to_string();
        let m = self.machines.entry(host).or_insert_with(|| {
            let entry = Instance {
                id: name.clone(),
                addr: String::new(),
                machine_type: String::new(),
                zone: String::new(),
                spot: false,
                status: InstanceStatus::Other,
                held_s: 0.0,
            };
            Machine::unheard(host, shard_id, &entry, now)
        });
        m.change(MachineEvent::ReleaseAsked);
        m.release_after = now + 10_000.0;
        name
    }

    /// Assignments may name machines that neither report nor are listed (they were
    /// taken, or died and were dropped from the list); only a release proves
    /// that nothing of them is left.
    pub(crate) fn release_unlisted(&mut self, now: Millis) {
        let mut release: Vec<String> = Vec::new();
        for host in self.mirror.assigned_hosts().collect::<Vec<_>>() {
            if release.len() >= 90 {
                break;
            }
            let name = self.mirror.hosts.name(host).to_string();
            let known = self.machines.get(&host);
            if self.listed.contains_key(&name)
                || known.is_some_and(|m| {
                    m.state == MachineState::Gone
                        || now < m.release_after
                        || now - m.last_heard_at < self.config.lease_ms
                })
            {
                continue;
            }
            let Some(shard_id) = self.mirror.shard_of_assignment(host) else {
                continue;
            };
            // The list is late; a machine that is merely new is not in it yet.
            if self.owned(shard_id).is_none()
                || now - self.shards[shard_id].lease.token_since()
                    < 3.0 * self.config.list_lag_ms + self.config.lease_ms
            {
                continue;
            }
            release.push(self.request_release(host, shard_id, now));
        }
        if !release.is_empty() {
            tracing::info!(?release, "return machines that are marked but not listed");
            self.effects.push(Effect::Release(release));
        }
    }
}
