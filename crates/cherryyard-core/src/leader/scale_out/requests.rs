//! Provisioning requests to the cloud, and their results.

use crate::Millis;
use crate::leader::provisioning_times::ProvisioningTimes;
use cherryyard_wire::cloud::{Instance, ProvisionRequest};
use std::collections::HashMap;

/// Time between two checks for lacking capacity.
const CHECK_INTERVAL_MS: f64 = 1500.0;
/// Time from a request's answer to the next check.
const AFTER_ANSWER_MS: f64 = 300.0;
/// Time for which a new process provisions nothing.
const START_DELAY_MS: f64 = 8000.0;
/// Time for which a new leader provisions nothing.
const LEADER_DELAY_MS: f64 = 5000.0;
/// Time for which a pool is not requested again after the cloud had too few machines of it.
const PARTLY_REFUSED_MS: f64 = 20_000.0;
/// Time for which a pool is not requested again after the cloud refused the whole request.
const REFUSED_MS: f64 = 15_000.0;
/// Time after which a machine is in the cloud's list, in addition to twice the list's lag.
const LISTING_MARGIN_MS: f64 = 2000.0;

/// Reason why a provisioning request brought no machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProvisionError {
    /// The cloud has no such machines, or will never carry out this request.
    #[error("the cloud refused the request")]
    Refused,
    /// The cloud did not answer: it may have provisioned the machines, or may do so later.
    #[error("no answer from the cloud")]
    NoAnswer,
}

/// Machines to be provisioned.
#[derive(Clone, Debug)]
pub(crate) struct Provision {
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) number: u32,
}

/// Identity of a pool of machines that can be provisioned.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PoolKey {
    pub(super) machine_type: String,
    pub(super) zone: String,
    pub(super) spot: bool,
}

impl PoolKey {
    fn of(request: &ProvisionRequest) -> Self {
        Self {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}

/// Machines that the cloud has promised, and that may not be in its list yet.
#[derive(Clone, Debug)]
pub(super) struct ProvisionedBatch {
    promised_at: Millis,
    pub(super) pool: PoolKey,
    machines: Vec<String>,
}

impl ProvisionedBatch {
    /// Returns how many of the machines are not in the list.
    pub(super) fn unlisted(&self, listed: &HashMap<String, Instance>) -> usize {
        let machines = self.machines.iter();
        machines.filter(|name| !listed.contains_key(*name)).count()
    }
}

/// State of the leader's provisioning requests.
#[derive(Debug)]
pub(crate) struct ScaleOut {
    /// Number of requests made under the current lease.
    request_count: u64,
    /// Request that has no answer yet.
    pending: Option<ProvisionRequest>,
    next_check_at: Millis,
    /// Pools that had too few machines, each with the time until which it is not requested again.
    refused: HashMap<PoolKey, Millis>,
    pub(super) batches: Vec<ProvisionedBatch>,
    /// Estimates of the times that machines take to come up.
    pub(crate) provisioning_times: ProvisioningTimes,
}

impl ScaleOut {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            request_count: 0,
            pending: None,
            next_check_at: now + START_DELAY_MS,
            refused: HashMap::new(),
            batches: Vec::new(),
            provisioning_times: ProvisioningTimes::default(),
        }
    }

    /// Resets the requests when this controller becomes the leader.
    pub(crate) fn start_leading(&mut self, now: Millis) {
        self.next_check_at = now + LEADER_DELAY_MS;
        self.pending = None;
        self.request_count = 0;
    }

    /// Returns whether a check for lacking capacity is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        self.pending.is_none() && now >= self.next_check_at
    }

    /// Begins a check, and removes refusals and batches that are too old to count.
    pub(crate) fn begin_check(&mut self, list_lag_ms: f64, now: Millis) {
        self.next_check_at = now + CHECK_INTERVAL_MS;
        self.refused.retain(|_, until| *until > now);
        let listed_after_ms = 2.0 * list_lag_ms + LISTING_MARGIN_MS;
        self.batches
            .retain(|batch| now - batch.promised_at < listed_after_ms);
    }

    /// Returns whether the cloud recently had too few machines of a pool.
    pub(super) fn is_refused(&self, pool: &PoolKey) -> bool {
        self.refused.contains_key(pool)
    }

    /// Creates a request. `lease` is the controller's name and the token of its leader lease.
    pub(crate) fn request(&mut self, wanted: Provision, lease: (&str, u64)) -> ProvisionRequest {
        self.request_count += 1;
        let (label, token) = lease;
        let request = ProvisionRequest {
            // The id is never used again: the token is unique among leases, the request count
            // within the lease.
            request_id: format!("{label}-{token}-{}", self.request_count),
            machine_type: wanted.machine_type,
            zone: wanted.zone,
            spot: wanted.spot,
            number: wanted.number,
        };
        self.pending = Some(request.clone());
        request
    }

    /// Returns whether this is the request that has no answer yet.
    pub(crate) fn is_pending(&self, request: &ProvisionRequest) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.request_id == request.request_id)
    }

    /// Records the machines that the cloud has promised.
    pub(crate) fn granted(
        &mut self,
        request: &ProvisionRequest,
        machines: Vec<String>,
        now: Millis,
    ) {
        if machines.len() < request.number as usize {
            let until = now + PARTLY_REFUSED_MS;
            self.refused.insert(PoolKey::of(request), until);
        }
        self.batches.push(ProvisionedBatch {
            promised_at: now,
            pool: PoolKey::of(request),
            machines,
        });
        self.answered(request, now);
    }

    /// Records that the cloud has no such machines.
    pub(crate) fn refused(&mut self, request: &ProvisionRequest, now: Millis) {
        self.refused.insert(PoolKey::of(request), now + REFUSED_MS);
        self.answered(request, now);
    }

    fn answered(&mut self, request: &ProvisionRequest, now: Millis) {
        if self.is_pending(request) {
            self.pending = None;
        }
        self.next_check_at = now + AFTER_ANSWER_MS;
    }
}
