//! Provisioning requests to the cloud, and what has come of them.

use crate::Millis;
use crate::leader::provisioning_times::ProvisioningTimes;
use cherryyard_wire::cloud::{Instance, ProvisionRequest};
use std::collections::HashMap;

/// Time between two looks at what is lacking.
const INTERVAL_MS: f64 = 1500.0;
/// Time from a request's answer to the next look.
const AFTER_ANSWER_MS: f64 = 300.0;
/// Time for which a new process, and a new leader, provision nothing.
const START_DELAY_MS: f64 = 8000.0;
const LEADER_DELAY_MS: f64 = 5000.0;
/// Time for which a pool is not asked again that had too few machines, or none.
const PARTLY_REFUSED_MS: f64 = 20_000.0;
const REFUSED_MS: f64 = 15_000.0;
/// Time after which a machine is in the cloud's list, beyond twice the list's lag.
const LISTING_MS: f64 = 2000.0;

/// Why a provisioning request brought no machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProvisionError {
    /// The cloud has none, or will never carry out this request.
    #[error("the cloud refused the request")]
    Refused,
    /// No answer: the cloud may have provisioned them, or may yet.
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

/// A pool of machines that could be provisioned.
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
    at: Millis,
    pub(super) pool: PoolKey,
    machines: Vec<String>,
}

impl ProvisionedBatch {
    /// How many of them are not in the list.
    pub(super) fn unlisted(&self, listed: &HashMap<String, Instance>) -> usize {
        let machines = self.machines.iter();
        machines.filter(|name| !listed.contains_key(*name)).count()
    }
}

/// The leader's provisioning requests.
#[derive(Debug)]
pub(crate) struct ScaleOut {
    /// How many requests have been made under this lease.
    counter: u64,
    /// The request that has no answer yet.
    pending: Option<ProvisionRequest>,
    next_at: Millis,
    /// Pools that had too few machines, each with until when it is not asked again.
    refused: HashMap<PoolKey, Millis>,
    pub(super) batches: Vec<ProvisionedBatch>,
    /// What machines take to be up.
    pub(crate) provisioning_times: ProvisioningTimes,
}

impl ScaleOut {
    pub(crate) fn new(now: Millis) -> Self {
        Self {
            counter: 0,
            pending: None,
            next_at: now + START_DELAY_MS,
            refused: HashMap::new(),
            batches: Vec::new(),
            provisioning_times: ProvisioningTimes::default(),
        }
    }

    /// This controller has become the leader.
    pub(crate) fn lead(&mut self, now: Millis) {
        self.next_at = now + LEADER_DELAY_MS;
        self.pending = None;
        self.counter = 0;
    }

    /// Whether it is time to look at what is lacking.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        self.pending.is_none() && now >= self.next_at
    }

    /// Begins a look, and forgets what is too old to count.
    pub(crate) fn begin(&mut self, list_lag_ms: f64, now: Millis) {
        self.next_at = now + INTERVAL_MS;
        self.refused.retain(|_, until| *until > now);
        let listed_after_ms = 2.0 * list_lag_ms + LISTING_MS;
        self.batches
            .retain(|batch| now - batch.at < listed_after_ms);
    }

    /// Whether a pool had too few machines a moment ago.
    pub(super) fn has_refused(&self, pool: &PoolKey) -> bool {
        self.refused.contains_key(pool)
    }

    /// Makes a request; `lease` is the controller's name and the token of its lease on the
    /// leadership.
    pub(crate) fn request(&mut self, wanted: Provision, lease: (&str, u64)) -> ProvisionRequest {
        self.counter += 1;
        let (label, token) = lease;
        let request = ProvisionRequest {
            // Never used again: the lease's token is unique, the counter within it.
            request_id: format!("{label}-{token}-{}", self.counter),
            machine_type: wanted.machine_type,
            zone: wanted.zone,
            spot: wanted.spot,
            number: wanted.number,
        };
        self.pending = Some(request.clone());
        request
    }

    /// Whether this is the request that has no answer yet.
    pub(crate) fn is_pending(&self, request: &ProvisionRequest) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.request_id == request.request_id)
    }

    /// The cloud has promised these machines.
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
            at: now,
            pool: PoolKey::of(request),
            machines,
        });
        self.answered(request, now);
    }

    /// The cloud has no such machines.
    pub(crate) fn refused(&mut self, request: &ProvisionRequest, now: Millis) {
        self.refused.insert(PoolKey::of(request), now + REFUSED_MS);
        self.answered(request, now);
    }

    fn answered(&mut self, request: &ProvisionRequest, now: Millis) {
        if self.is_pending(request) {
            self.pending = None;
        }
        self.next_at = now + AFTER_ANSWER_MS;
    }
}
