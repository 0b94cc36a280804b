//! Division of a job's numbers among the shards.

use super::*;
use cherryyard_wire::dependencies::Dependencies;

/// Any tier of preference.
pub(crate) const ANY: u16 = u16::MAX;

impl Controller {
    /// A report's machines that the job may use, up to a tier of its preference.
    pub(crate) fn capacities_for<'a>(
        open: &OpenJob,
        report: &'a CapacityReport,
        most: u16,
    ) -> impl Iterator<Item = &'a MachineCapacity> + use<'a> {
        let allowed: Vec<bool> = report
            .pools
            .iter()
            .map(|s| open.allows(&s.machine_type, &s.zone, s.spot))
            .map(|tier| tier.is_some_and(|t| t <= most))
            .collect();
        report
            .machines
            .iter()
            .filter(move |m| allowed[usize::from(m.pool)])
    }

    pub(crate) fn current_capacity(&self, shard_id: usize, now: Millis) -> Option<&ShardCapacity> {
        let capacity = self.leader.capacities[shard_id].as_ref()?;
        let fresh = now - capacity.at <= self.config.tuning.capacity_report_s * 2000.0 + 2000.0;
        (fresh && self.mirror.revision(Key::Shard(shard_id)) == capacity.report.revision)
            .then_some(capacity)
    }

    /// How many of the job's tasks fit on machines of other shards that hold its
    /// image, arrays making way if its rank allows.
    pub(crate) fn held_elsewhere(&self, shard_id: usize, open: &OpenJob, now: Millis) -> f64 {
        let mut fits = if open.spec.rank > Rank::Standard {
            self.fits(open, now, true, ANY, true)
        } else {
            self.fits(open, now, true, ANY, false)
        };
        fits[shard_id] = 0.0;
        fits.iter().sum()
    }

    /// How many of the job's tasks fit into each shard's free capacity.
    ///
    /// A service counts only machines that hold its image, while these have
    /// room for it, arrays making way if its rank allows: elsewhere a replica
    /// would wait for the image, and inside its shard the image decides too.
    ///
    /// Where rules prefer some pools, those count alone while they have room for all.
    pub(crate) fn weights(&self, open: &OpenJob, now: Millis) -> Vec<f64> {
        let all = |weights: &[f64]| weights.iter().sum::<f64>() >= f64::from(open.spec.task_count);
        let tiers = open.rules.as_ref().map_or(1, |r| r.1.tiers());
        for most in 0..tiers.saturating_sub(1) {
            let free = self.fits(open, now, false, most, false);
            if all(&free) {
                return free;
            }
        }
        if open.spec.shape == Shape::Service {
            let free = self.fits(open, now, true, ANY, false);
            if all(&free) {
                return free;
            }
            if open.spec.rank > Rank::Standard {
                let yielding = self.fits(open, now, true, ANY, true);
                if all(&yielding) {
                    return yielding;
                }
            }
        }
        self.fits(open, now, false, ANY, false)
    }

    /// How many of the job's tasks fit into each shard, on machines up to a tier of its
    /// preference; `holding`: on those that hold its image; `yielding`: if arrays made
    /// way.
    ///
    /// A report's machines are counted once for all jobs that are alike: with the
    /// count made afresh for each job that waits, a leader did little else on a day of
    /// overload.
    pub(crate) fn fits(
        &self,
        open: &OpenJob,
        now: Millis,
        holding: bool,
        most: u16,
        yielding: bool,
    ) -> Vec<f64> {
        let needs = open.needs();
        let key = (open.signature(), holding, most, yielding);
        (0..self.shards.len())
            .map(|shard_id| {
                let Some(capacity) = self.current_capacity(shard_id, now) else {
                    return 0.0;
                };
                let known = capacity.fits.borrow().get(&key).copied();
                let fits = known.unwrap_or_else(|| {
                    let n = Self::fits_in(open, &capacity.report, holding, most, yielding);
                    capacity.fits.borrow_mut().insert(key, n);
                    n
                });
                let given: f64 = capacity.debits.iter().map(|d| d.1.cores).sum();
                (f64::from(fits) - given / needs.cores).max(0.0).floor()
            })
            .collect()
    }

    fn fits_in(
        open: &OpenJob,
        report: &CapacityReport,
        holding: bool,
        most: u16,
        yielding: bool,
    ) -> u32 {
        let image = report.images.iter().position(|i| *i == open.spec.image);
        if holding && image.is_none() {
            return 0;
        }
        let held = |m: &MachineCapacity| m.images.iter().any(|&i| Some(i.into()) == image);
        let needs = open.needs();
        Self::capacities_for(open, report, most)
            .filter(|m| !holding || held(m))
            .map(|m| {
                let (cores, acc, ram) = if yielding { m.yielding } else { m.free };
                needs.times_in(&Needs {
                    cores: cores.into(),
                    acc: acc.into(),
                    ram: ram.into(),
                })
            })
            .sum()
    }

    /// Machines that could run the job, for when there is no free capacity.
    pub(crate) fn counts(&self, open: &OpenJob, now: Millis) -> Vec<f64> {
        (0..self.shards.len())
            .map(|shard_id| {
                self.current_capacity(shard_id, now).map_or(0.0, |r| {
                    Self::capacities_for(open, &r.report, ANY).count() as f64
                })
            })
            .collect()
    }

    /// The shards' shares of a job's numbers, if anything is known to go by.
    pub(crate) fn division(
        &self,
        open: &OpenJob,
        now: Millis,
    ) -> Option<(Vec<RangeSet>, Vec<f64>)> {
        let mut weights = self.weights(open, now);
        if weights.iter().sum::<f64>() <= 0.0 {
            weights = self.counts(open, now);
        }
        if weights.iter().sum::<f64>() <= 0.0 {
            weights = (0..self.shards.len())
                .map(|shard_id| {
                    if self.mirror.shards[shard_id].is_some() {
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
        let capacity: f64 = weights.iter().sum();
        let within = open.spec.task_count.min(capacity as u32);
        let mut shares = divide(within, &weights);
        if within < open.spec.task_count {
            // What has no free capacity follows machine counts, as a job does that
            // finds none at all: weights of a few free cores would heap a large
            // job onto one shard.
            let counts = self.counts(open, now);
            let rest = if counts.iter().sum::<f64>() > 0.0 {
                &counts
            } else {
                &weights
            };
            for (share, more) in shares
                .iter_mut()
                .zip(divide(open.spec.task_count - within, rest))
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
    pub(crate) fn pin_zone(&self, open: &OpenJob, now: Millis) -> Option<String> {
        if let Some(zone) = &open.spec.zone {
            return Some(zone.clone());
        }
        let mut best: Option<(u32, usize, String)> = None;
        for z in 0..self.config.zones.len() as u32 {
            let zone = self.config.zones.name(z);
            let (mut fits, mut count) = (0, 0);
            for shard_id in 0..self.shards.len() {
                let Some(capacity) = self.current_capacity(shard_id, now) else {
                    continue;
                };
                for m in Self::capacities_for(open, &capacity.report, ANY) {
                    if capacity.report.pools[usize::from(m.pool)].zone == zone {
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
            let fits = fits.min(open.spec.task_count);
            if count > 0 && best.as_ref().is_none_or(|b| (fits, count) > (b.0, b.1)) {
                best = Some((fits, count, zone.to_string()));
            }
        }
        best.map(|b| b.2)
    }

    /// Per part and zone, how many tasks may be there, so that no zone ever
    /// holds more than half: a zone's cap is split among the shards by machines.
    pub(crate) fn zone_caps(&self, open: &OpenJob, now: Millis) -> Vec<Vec<u32>> {
        let half = open.spec.task_count.div_ceil(2);
        let zones = self.config.zones.len();
        let mut caps = vec![vec![0; zones]; self.shards.len()];
        for z in 0..zones {
            let zone = self.config.zones.name(z as u32);
            let weights: Vec<f64> = (0..self.shards.len())
                .map(|shard_id| {
                    self.current_capacity(shard_id, now).map_or(0.0, |r| {
                        let zones = &r.report.pools;
                        let here = |m: &&MachineCapacity| zones[usize::from(m.pool)].zone == zone;
                        r.report.machines.iter().filter(here).count() as f64
                    })
                })
                .collect();
            for (cap, n) in caps.iter_mut().zip(divide(half, &weights)) {
                cap[z] = n;
            }
        }
        caps
    }

    pub(crate) fn divide_new(&mut self, now: Millis) -> Option<Commit> {
        if let Some(commit) = self.divide_pages(now) {
            return Some(commit);
        }
        let mut order: Vec<_> = self
            .mirror
            .undivided
            .iter()
            .filter(|job| !self.mirror.in_page(**job))
            .map(|j| {
                (
                    std::cmp::Reverse(self.mirror.open[j].rank()),
                    self.mirror.open[j].submitted_at,
                    *j,
                )
            })
            .collect();
        order.sort_unstable();
        let mut commit = Commit::default();
        let mut records = Vec::new();
        for (_, _, job) in order {
            if records.len() >= self.config.txn_ops {
                break;
            }
            let mut open = self.mirror.open[&job].clone();
            if !self.fill_division(&mut open, now) {
                continue;
            }
            records.push((job, open.record()));
            let mut more = Commit::default();
            if !self
                .mirror
                .write_jobs(&mut more, records.clone(), &self.config)
                || more.bytes() > 40 * 1024
            {
                break;
            }
            commit = more;
        }
        (!commit.apply.is_empty()).then_some(commit)
    }

    /// Divides one job; false if nothing is known to divide by.
    pub(crate) fn fill_division(&mut self, open: &mut OpenJob, now: Millis) -> bool {
        if open.spec.together && open.zone.is_none() {
            match self.pin_zone(open, now) {
                Some(zone) => open.zone = Some(zone),
                None => return false,
            }
        }
        let Some((mut sets, _)) = self.division(open, now) else {
            return false;
        };
        if open.spec.apart && open.spec.task_count > 1 {
            open.zone_caps = self.zone_caps(open, now);
            let weights: Vec<f64> = open
                .zone_caps
                .iter()
                .map(|c| f64::from(c.iter().sum::<u32>()))
                .collect();
            let shares = divide(open.spec.task_count, &weights);
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
        let shares: Vec<u32> = sets.iter().map(RangeSet::len).collect();
        self.give(&shares, &open.needs(), now);
        open.division = sets;
        if !open.dependencies.jobs.is_empty() {
            // All that it waited for is done: what it needed is of no use any more.
            let ready_at = (now + self.wall_offset).max(open.submitted_at as f64) as u64;
            open.dependencies = Dependencies {
                ready_at: Some(ready_at),
                ..Dependencies::default()
            };
        }
        true
    }
}
