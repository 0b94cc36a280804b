//! Controller handlers for the leader's division of jobs, rebalancing and scale-out. They pass the
//! required parts of the controller to the types of this module, and carry out the results.

use super::capacity_reports::ShardCapacity;
use super::current_capacities::CurrentCapacities;
use super::division::MissingReports;
use super::provisioning_times::ProvisioningProgress;
use super::rebalancing::HandOver;
use super::scale_out::{Fleet, ProvisionError, ready_s};
use crate::Millis;
use crate::controller::Controller;
use crate::effects::Effect;
use crate::mirror::OpenJob;
use cherryyard_wire::RangeSet;
use cherryyard_wire::cloud::{Instance, ProvisionRequest};
use cherryyard_wire::dependencies::Dependencies;
use cherryyard_wire::record::Key;
use cherryyard_wire::state::Commit;
use std::cmp::Reverse;
use std::collections::HashSet;

/// Time for which a new leader waits for the owners' reports.
const REPORTS_WAIT_MS: f64 = 2500.0;
/// Largest size of a transaction with divisions, in bytes.
const MAX_TRANSACTION_BYTES: usize = 40 * 1024;

/// Capacities of the shards, and division of jobs.
impl Controller {
    /// Returns the shards' current capacities.
    fn current_capacities(&self, now: Millis) -> CurrentCapacities<'_> {
        CurrentCapacities::new(&self.leader.capacities, &self.mirror, &self.config, now)
    }

    /// Returns a shard's capacity, if it was recently reported by the current owner, or assumed for
    /// the current owner's lease.
    pub(crate) fn current_capacity(&self, shard_id: usize, now: Millis) -> Option<&ShardCapacity> {
        self.current_capacities(now).of(shard_id)
    }

    /// Returns how many of the job's tasks fit on machines of other shards that hold its image,
    /// with arrays preempted if the job's rank allows that.
    pub(crate) fn fitting_elsewhere_with_image(
        &self,
        shard_id: usize,
        open: &OpenJob,
        now: Millis,
    ) -> f64 {
        self.current_capacities(now)
            .fitting_elsewhere_with_image(shard_id, open)
    }

    /// Divides one job. Returns false if the known capacities, machines and owners give no basis
    /// for a division.
    pub(crate) fn divide_job(&mut self, open: &mut OpenJob, now: Millis) -> bool {
        let missing = if now - self.leader.leading_since() < REPORTS_WAIT_MS {
            MissingReports::Await
        } else {
            MissingReports::EqualWeights
        };
        if !self.current_capacities(now).divide(open, missing) {
            return false;
        }
        let shares: Vec<u32> = open.division.iter().map(RangeSet::len).collect();
        self.leader.capacities.debit(&shares, &open.needs(), now);
        if !open.dependencies.jobs.is_empty() {
            // All jobs that this job waited for are done, so its dependencies are no longer
            // needed.
            let ready_at = (now + self.wall_offset).max(open.submitted_at as f64) as u64;
            open.dependencies = Dependencies {
                ready_at: Some(ready_at),
                ..Dependencies::default()
            };
        }
        true
    }

    /// Returns the transaction that divides undivided jobs, those on pages of the admission log
    /// first.
    pub(crate) fn divide_new(&mut self, now: Millis) -> Option<Commit> {
        if let Some(commit) = self.divide_pages(now) {
            return Some(commit);
        }
        let mut commit = Commit::default();
        let mut records = Vec::new();
        for job in self.undivided_outside_pages() {
            if records.len() >= self.config.txn_ops {
                break;
            }
            let mut open = self.mirror.open[&job].clone();
            if !self.divide_job(&mut open, now) {
                continue;
            }
            records.push((job, open.record()));
            let mut attempt = Commit::default();
            let fits = self
                .mirror
                .write_jobs(&mut attempt, records.clone(), &self.config);
            if !fits || attempt.bytes() > MAX_TRANSACTION_BYTES {
                break;
            }
            commit = attempt;
        }
        (!commit.changes.is_empty()).then_some(commit)
    }

    /// Returns the undivided jobs that are not on pages of the admission log, by rank and age.
    fn undivided_outside_pages(&self) -> Vec<u64> {
        let undivided = self.mirror.undivided.iter().copied();
        let mut jobs: Vec<u64> = undivided
            .filter(|&job| !self.mirror.is_only_in_admission_log(job))
            .collect();
        jobs.sort_by_cached_key(|job| {
            let open = &self.mirror.open[job];
            (Reverse(open.rank()), open.submitted_at, *job)
        });
        jobs
    }
}

/// Rebalancing of waiting tasks.
impl Controller {
    /// Returns the transaction that moves tasks which have waited too long to shards with capacity
    /// for them.
    pub(crate) fn move_waiting(&mut self, now: Millis) -> Option<Commit> {
        let hand_overs = self.hand_overs();
        let leader = &mut self.leader;
        leader.rebalancing.expire(now);
        let reports = leader.capacities.received();
        if !leader.rebalancing.is_due(&hand_overs, reports, now) {
            return None;
        }
        let (mirror, config) = (&self.mirror, &self.config);
        leader
            .rebalancing
            .step(&hand_overs, &mut leader.capacities, mirror, config, now)
    }

    /// Returns the services that the shards of all controllers offer to other shards.
    fn hand_overs(&self) -> HashSet<HandOver> {
        let peers = self.peers.iter();
        let peer_hand_overs = peers.flat_map(|peer| &peer.heartbeat.handover_candidates);
        let peer_hand_overs = peer_hand_overs.map(|&(shard_id, job)| HandOver {
            shard_id: shard_id as usize,
            job,
        });
        let shards = self.shards.iter().enumerate();
        let own_hand_overs = shards.flat_map(|(shard_id, shard)| {
            let jobs = shard.handover_candidates.iter();
            jobs.map(move |&job| HandOver { shard_id, job })
        });
        peer_hand_overs.chain(own_hand_overs).collect()
    }
}

/// Provisioning of machines.
impl Controller {
    /// Provisions machines ahead of need.
    pub(crate) fn scale_out(&mut self, now: Millis) {
        if !self.leader.scale_out.is_due(now) || self.cloud_machines_at < 0.0 {
            return;
        }
        let list_lag_ms = self.config.list_lag_ms;
        self.leader.scale_out.begin_check(list_lag_ms, now);
        let fleet = Fleet {
            current: self.current_capacities(now),
            listed: &self.cloud_machines,
            scale_out: &self.leader.scale_out,
        };
        let Some(machines_to_provision) = fleet.machines_to_provision() else {
            return;
        };
        let label = &self.config.labels[self.config.own_index];
        let token = self.mirror.revision(Key::Leader);
        let request = self
            .leader
            .scale_out
            .request(machines_to_provision, (label, token));
        self.effects.push(Effect::Provision(request));
    }

    /// Handles the answer to a provisioning request.
    pub fn provisioned(
        &mut self,
        request: &ProvisionRequest,
        answer: Result<Vec<String>, ProvisionError>,
        now: Millis,
    ) {
        let scale_out = &mut self.leader.scale_out;
        let zone = &request.zone;
        match answer {
            Ok(machines) => {
                let count = machines.len();
                tracing::info!(count, %zone, spot = request.spot, "machines provisioned");
                scale_out.granted(request, machines, now);
            }
            Err(ProvisionError::Refused) => {
                tracing::debug!(%zone, spot = request.spot, "provisioning refused");
                scale_out.refused(request, now);
            }
            // A repeated request with the same id gets the same machines.
            Err(ProvisionError::NoAnswer) => {
                if scale_out.is_pending(request) && self.leader.leads(&self.mirror) {
                    self.effects.push(Effect::Provision(request.clone()));
                }
            }
        }
    }

    /// Returns the published time that a machine type takes to come up, in seconds.
    pub(crate) fn ready_s(&self, sku: &str) -> f64 {
        ready_s(&self.mirror.catalog.machine_types, sku)
    }

    /// Records the machines that have come up, from the cloud's next list.
    pub(crate) fn learn_provisioning_times(&mut self, instances: &[Instance]) {
        let machine_types = &self.mirror.catalog.machine_types;
        let ready_s = |sku: &str| ready_s(machine_types, sku);
        let times = &mut self.leader.scale_out.provisioning_times;
        times.record_list(instances, &self.cloud_machines, ready_s);
    }

    /// Returns the progress of a listed machine that is not up yet.
    pub(crate) fn provisioning_progress(&self, instance: &Instance) -> ProvisioningProgress {
        let ready_s = self.ready_s(&instance.machine_type);
        let times = &self.leader.scale_out.provisioning_times;
        times.progress_of(instance, ready_s)
    }
}
