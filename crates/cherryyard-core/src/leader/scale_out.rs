//! Renting machines ahead of need.

use super::*;

/// A pool of machines that could be provisioned: spot or not, its cores, how many machines
/// are in its zone, type, zone, and how long it takes to be up.
type Choice<'a> = (bool, f64, u32, &'a str, &'a str, f64);

/// Waiting jobs that may use only some pools of machine of which renting takes account.
const BOUND_JOBS: usize = 50;

impl Controller {
    /// Rents ahead of need.
    pub(crate) fn scale_out(&mut self, now: Millis) {
        if self.leader.provisioning.is_some()
            || now < self.leader.provision_after
            || self.listed_at < 0.0
        {
            return;
        }
        self.leader.provision_after = now + 1500.0;
        self.leader.refused.retain(|_, until| *until > now);
        let lag = 2.0 * self.config.list_lag_ms + 2000.0;
        let listed = &self.listed;
        self.leader.provisioned.retain(|h| now - h.at < lag);
        let machine_types = &self.mirror.catalog.machine_types;
        let cores_of = |sku: &str| {
            machine_types
                .iter()
                .find(|k| k.sku == sku)
                .map_or(0.0, |k| k.cores)
        };
        let (mut free, mut total) = (0.0, 0.0);
        for shard_id in 0..self.shards.len() {
            let Some(capacity) = self.current_capacity(shard_id, now) else {
                continue;
            };
            for m in &capacity.report.machines {
                free += f64::from(m.free.0);
                total += cores_of(&capacity.report.pools[usize::from(m.pool)].machine_type);
            }
        }
        let mut waiting = 0.0;
        let mut service_waiting = 0.0;
        // Spot machines are provisioned ahead too, while there are jobs for them.
        let spot_wanted = self.mirror.open.values().any(|o| o.spec.spot);
        let asks = |job: &u64| !self.mirror.waits_for_others(*job);
        for (&job, open) in self.mirror.open.iter().filter(|o| asks(o.0)) {
            let left = open
                .spec
                .task_count
                .saturating_sub(self.mirror.done(job) + self.mirror.assigned(job));
            let cores = f64::from(left) * open.spec.cores;
            waiting += cores;
            if open.spec.shape == Shape::Service {
                service_waiting += cores;
            }
        }
        let headroom = total * self.config.tuning.headroom_share;
        // Room that a waiting job may not use is none for it, however much there is.
        let (bound, lacking) = self.lacking_for_bound(now);
        let ahead = waiting + headroom - free - self.cores_coming(total);
        let need = ahead.max(lacking);
        if need <= 0.5 {
            return;
        }
        // Ordinary machines serve everything; spot ones only what may be lost.
        let mut options: Vec<Choice<'_>> = Vec::new();
        for machine_type in machine_types {
            for zone in &machine_type.zones {
                let here = listed.values().filter(|h| h.zone == *zone).count() as u32;
                for spot in [false, true] {
                    let key = (machine_type.sku.clone(), zone.clone(), spot);
                    if !self.leader.refused.contains_key(&key)
                        && (!spot || (spot_wanted && need > service_waiting))
                    {
                        options.push((
                            spot,
                            machine_type.cores,
                            here,
                            &machine_type.sku,
                            zone,
                            machine_type.ready_s,
                        ));
                    }
                }
            }
        }
        options.sort_by(|a, b| a.0.cmp(&b.0).then(a.2.cmp(&b.2)).then(a.4.cmp(b.4)));
        self.for_bound(&mut options, &bound, ahead <= waiting, ahead <= 0.5);
        let Some(&(spot, cores, _, sku, zone, _)) = options.first() else {
            return;
        };
        let number = ((need / cores.max(1e-3)).ceil() as u32).clamp(1, 4);
        self.leader.provision_counter += 1;
        // Never used again: the lease's revision is unique, the counter within it.
        let request = ProvisionRequest {
            request_id: format!(
                "{}-{}-{}",
                self.config.labels[self.config.me],
                self.mirror.revision(Key::Leader),
                self.leader.provision_counter
            ),
            machine_type: sku.to_string(),
            zone: zone.to_string(),
            spot,
            number,
        };
        self.leader.provisioning = Some(request.clone());
        self.effects.push(Effect::Provision(request));
    }

    /// Whether a job may use only some pools of machine.
    fn is_bound(&self, open: &OpenJob) -> bool {
        let excluded = |k: &MachineType| !admit::allows_machine_type(&open.spec, &k.sku);
        open.rules.is_some()
            || open.spec.zone.is_some()
            || open.zone.is_some()
            || self.mirror.catalog.machine_types.iter().any(excluded)
    }

    /// Waiting jobs that may use only some pools of machine, each with whether it lacks
    /// room on these; and how many cores all of them lack, beyond what is on its way.
    fn lacking_for_bound(&self, now: Millis) -> (Vec<(&OpenJob, bool)>, f64) {
        let (mut bound, mut all) = (Vec::new(), 0.0);
        let asks = |o: &(&u64, &OpenJob)| self.is_bound(o.1) && !self.mirror.waits_for_others(*o.0);
        for (job, open) in self.mirror.open.iter().filter(asks) {
            let gone = self.mirror.done(*job) + self.mirror.assigned(*job);
            let left = f64::from(open.spec.task_count.saturating_sub(gone));
            if left == 0.0 {
                continue;
            }
            let capacity: f64 = self
                .fits(open, now, false, division::ANY, false)
                .iter()
                .sum();
            let lacks = ((left - capacity) * open.spec.cores).max(0.0);
            let coming = self.cores_coming_for(open);
            bound.push((open, lacks > coming));
            all += (lacks - coming).max(0.0);
            if bound.len() >= BOUND_JOBS {
                break;
            }
        }
        (bound, all)
    }

    /// Where a waiting job that may use only some pools of machine lacks room on them, a
    /// sort that it allows comes first; and where only such jobs wait, nothing is provisioned
    /// that is of use to none of them. `due`: nothing is provisioned ahead of need; `alone`: for
    /// all others there is room.
    fn for_bound(
        &self,
        options: &mut Vec<Choice<'_>>,
        bound: &[(&OpenJob, bool)],
        due: bool,
        alone: bool,
    ) {
        if bound.is_empty() {
            return;
        }
        let takes = |open: &OpenJob, o: &Choice<'_>| {
            let machine_type = self
                .mirror
                .catalog
                .machine_types
                .iter()
                .find(|k| k.sku == o.3);
            machine_type.is_some_and(|k| admit::fits_machine_type(&open.spec, k))
                && open.allows(o.3, o.4, o.0).is_some()
        };
        let others = self.mirror.open.iter().any(|(job, open)| {
            let gone = self.mirror.done(*job) + self.mirror.assigned(*job);
            open.spec.task_count > gone
                && !self.is_bound(open)
                && !self.mirror.waits_for_others(*job)
        });
        if alone || due && !others {
            options.retain(|o| bound.iter().any(|b| takes(b.0, o)));
        }
        options.sort_by_key(|o| !bound.iter().any(|b| b.1 && takes(b.0, o)));
    }

    /// Takes the answer to a provisioning request: the machines, a refusal, or neither.
    pub fn provisioned(
        &mut self,
        request: &ProvisionRequest,
        answer: Result<Vec<String>, bool>,
        now: Millis,
    ) {
        let key = (
            request.machine_type.clone(),
            request.zone.clone(),
            request.spot,
        );
        let known = self
            .leader
            .provisioning
            .as_ref()
            .is_some_and(|h| h.request_id == request.request_id);
        match answer {
            Ok(hosts) => {
                if hosts.len() < request.number as usize {
                    self.leader.refused.insert(key, now + 20_000.0);
                }
                tracing::info!(count = hosts.len(), zone = %request.zone, spot = request.spot, "rented machines");
                self.leader.provisioned.push(ProvisionedBatch {
                    at: now,
                    machine_type: request.machine_type.clone(),
                    zone: request.zone.clone(),
                    spot: request.spot,
                    hosts,
                });
                if known {
                    self.leader.provisioning = None;
                }
                self.leader.provision_after = now + 300.0;
            }
            Err(true) => {
                tracing::debug!(zone = %request.zone, spot = request.spot, "no machines to rent");
                self.leader.refused.insert(key, now + 15_000.0);
                if known {
                    self.leader.provisioning = None;
                }
                self.leader.provision_after = now + 300.0;
            }
            // Unknown: the same name again gets the same machines.
            Err(false) if known && self.leader.leads(&self.mirror) => {
                self.effects.push(Effect::Provision(request.clone()));
            }
            Err(false) => {}
        }
    }
}
