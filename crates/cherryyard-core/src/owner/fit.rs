//! Rules for the machines on which a task may run, and the choice of the best one with enough free
//! capacity.

use super::zone_caps::ZoneCounts;
use crate::controller::Controller;
use crate::machine::{ImageState, Machine, Task};
use crate::mirror::OpenJob;
use crate::needs::Resources;
use cherryyard_wire::job::Shape;
use cherryyard_wire::peer::MachinePool;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// A task for which a machine is sought.
pub(super) struct FitRequest<'a> {
    pub(super) shard_id: usize,
    pub(super) task: Task,
    pub(super) open: &'a OpenJob,
    pub(super) needs: Resources,
    /// Machines on which the task's job has failed.
    pub(super) failed_on: Option<&'a BTreeSet<u32>>,
    /// Machine that is reserved for the task. If there is one, no other is considered.
    pub(super) reserved_host: Option<u32>,
    /// Number of the job's tasks by zone.
    pub(super) zones: &'a ZoneCounts,
}

/// Ranking of a machine for a task. Fields are compared in order, and the first difference decides.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Preference {
    /// Whether the job has not failed on the machine. Failures of a quarantined job do not count,
    /// because they are the job's own fault.
    has_not_failed: bool,
    /// Preference tier of the machine's pool in the job's rules; a lower tier is preferred.
    tier: Reverse<Option<u16>>,
    image: ImageState,
    /// Whether the cloud cannot reclaim the machine. A spot machine may be lost with its tasks, so
    /// it is only used if no other machine has capacity.
    is_on_demand: bool,
}

impl FitRequest<'_> {
    fn preference(&self, machine: &Machine, pool: &MachinePool) -> Preference {
        let image = &self.open.spec.image;
        let has_failed = self
            .failed_on
            .is_some_and(|hosts| hosts.contains(&machine.host));
        Preference {
            has_not_failed: !has_failed,
            tier: Reverse(self.open.tier(&pool.machine_type, &pool.zone, pool.spot)),
            image: match self.open.spec.shape {
                Shape::Service => machine.image(image),
                // For arrays an image that is being fetched is as good as one that is on the
                // machine.
                Shape::Array => machine.image(image).min(ImageState::Fetching),
            },
            is_on_demand: !pool.spot,
        }
    }
}

impl Controller {
    /// Returns the index in `capacities` of the best machine with enough free capacity for a task.
    /// Among equally preferred machines the one with the most free capacity is the best.
    pub(super) fn best_fit(
        &self,
        request: &FitRequest,
        capacities: &[(u32, Resources)],
    ) -> Option<usize> {
        let possible = capacities
            .iter()
            .enumerate()
            .filter_map(|(capacity, (host, free))| {
                let machine = &self.machines[host];
                let pool = machine.pool.as_ref()?;
                let is_possible = request.needs.fits(free) && self.is_possible(request, machine);
                is_possible.then(|| (request.preference(machine, pool), free, *host, capacity))
            });
        let best = possible.max_by(|a, b| {
            let (preference_a, free_a, host_a, _) = a;
            let (preference_b, free_b, host_b, _) = b;
            preference_a
                .cmp(preference_b)
                .then(free_a.cores.total_cmp(&free_b.cores))
                .then(free_a.ram_gb.total_cmp(&free_b.ram_gb))
                .then(host_b.cmp(host_a))
        });
        best.map(|(_, _, _, capacity)| capacity)
    }

    /// Returns whether a task may start on a machine now.
    fn is_possible(&self, request: &FitRequest, machine: &Machine) -> bool {
        !machine.reported.contains_key(&request.task) && self.is_permitted(request, machine)
    }

    /// Returns whether a task may be on a machine that holds no attempt of it.
    fn is_permitted(&self, request: &FitRequest, machine: &Machine) -> bool {
        let (shard_id, open, host) = (request.shard_id, request.open, machine.host);
        let reserved = self.shards[shard_id].reserved.get(&host);
        request.reserved_host.is_none_or(|kept| kept == host)
            && reserved.is_none_or(|reservation| reservation.for_task == request.task)
            && !self.is_kept_for_other(shard_id, host, open)
            && self.may_take_one_more(shard_id, open, machine, request.zones)
    }

    /// Returns whether the job's rules allow a machine. A machine of an unknown pool is not allowed.
    pub(crate) fn allowed(&self, open: &OpenJob, machine: &Machine) -> bool {
        let pool = machine.pool.as_ref();
        (!open.spec.together || open.zone.is_some())
            && pool.is_some_and(|pool| open.allows_pool(pool).is_some())
    }

    /// Returns the seconds that a machine needs to fetch the job's image; 0 if the image is there
    /// or the rate is unknown.
    pub(super) fn fetch_s(&self, open: &OpenJob, host: u32) -> f64 {
        let machine = &self.machines[&host];
        if machine.image(&open.spec.image) == ImageState::Held {
            return 0.0;
        }
        let machine_type = machine.type_in(&self.mirror.catalog.machine_types);
        let rate = machine_type.map_or(0.0, |t| t.fetch_gb_per_s);
        if rate > 0.0 {
            open.spec.image_gb / rate
        } else {
            0.0
        }
    }
}
