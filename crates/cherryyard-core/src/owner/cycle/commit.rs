//! Conversion of a scheduling cycle into its transaction.

use super::Cycle;
use crate::controller::Controller;
use cherryyard_wire::record::{self, JobOutcome, Key};
use cherryyard_wire::state::{Change, Commit};

impl Controller {
    /// Returns the transaction of a cycle, which depends on the shard's token.
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
            Some((job, open.ended(JobOutcome::Done)))
        });
        // Ended records are smaller than the open records that they replace, and each was counted
        // as a change of its own, so they fit into the transaction.
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
                commit.changes.push(Change::set(key, &stored));
            } else if self.mirror.tasks.pages[shard_id].contains_key(&number) {
                commit.changes.push(Change::delete(key));
            }
        }
    }

    /// Adds the conditions of new assignments: the records by which they were placed must not have
    /// changed. Proofs that tasks have completed or are gone need no condition, because they hold
    /// whatever has become of the job.
    fn require_as_placed(&self, commit: &mut Commit, shard_id: usize, cycle: &Cycle) {
        // The job must still be open and divided among the shards in the same way.
        for &job in &cycle.jobs {
            self.mirror.require(commit, Key::Job(job));
        }
        if cycle.has_rules {
            // The rules were evaluated with these attributes: if an operator has changed them
            // meanwhile, the transaction fails and the tasks are placed again.
            self.mirror.require(commit, Key::Attributes);
        }
        for &team in &cycle.teams {
            // A transaction that lowers the grant may have been applied although its answer was
            // lost. Assignments based on the old grant must then fail.
            let grant = Key::Grant {
                team: team as usize,
                shard: shard_id,
            };
            self.mirror.require(commit, grant);
        }
    }
}
