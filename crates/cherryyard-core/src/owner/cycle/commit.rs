//! The transaction that a scheduling cycle has come to.

use super::Cycle;
use crate::controller::Controller;
use cherryyard_wire::record::{self, End, Key};
use cherryyard_wire::state::{Apply, Commit};

impl Controller {
    /// The transaction of a cycle, under the shard's token.
    pub(in crate::owner) fn cycle_commit(
        &self,
        shard_id: usize,
        token: u64,
        cycle: &Cycle,
    ) -> Commit {
        let mut commit = Commit::default();
        commit.require(record::shard_key(shard_id), token);
        self.write_pages(&mut commit, shard_id, cycle);
        self.require_as_placed(&mut commit, shard_id, cycle);
        let ends = cycle.ends.iter().filter_map(|&job| {
            let open = self.mirror.open.get(&job)?;
            Some((job, open.ended(End::Done)))
        });
        // Ends are smaller than the records that they replace, and each was counted
        // as a change of its own: they fit.
        self.mirror
            .write_jobs(&mut commit, ends.collect(), &self.config);
        commit
    }

    fn write_pages(&self, commit: &mut Commit, shard_id: usize, cycle: &Cycle) {
        for (&number, edited) in &cycle.edits {
            let page = Key::Assignment {
                shard: shard_id,
                page: number,
            };
            self.mirror.require(commit, page);
            let key = record::assignments_key(shard_id, number);
            if !edited.page.jobs.is_empty() || number == 0 {
                let stored = edited.page.stored(&self.mirror.hosts, cycle.format);
                commit.apply.push(Apply::set(key, &stored));
            } else if self.mirror.tasks.pages[shard_id].contains_key(&number) {
                commit.apply.push(Apply::delete(key));
            }
        }
    }

    /// New assignments depend on what they were placed by. What is proven done or gone is so
    /// whatever has become of the job.
    fn require_as_placed(&self, commit: &mut Commit, shard_id: usize, cycle: &Cycle) {
        // On the division, and on the job's being open.
        for &job in &cycle.jobs {
            self.mirror.require(commit, Key::Job(job));
        }
        if cycle.has_rules {
            // Placed by attributes as they were: if an operator has changed them
            // meanwhile, it is decided anew.
            self.mirror.require(commit, Key::Attributes);
        }
        for &team in &cycle.teams {
            // A lowering of the grant whose answer was lost may have been
            // applied; assignments made by the old grant must then die.
            let grant = Key::Grant {
                team: team as usize,
                shard: shard_id,
            };
            self.mirror.require(commit, grant);
        }
    }
}
