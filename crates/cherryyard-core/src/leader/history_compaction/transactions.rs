//! Transactions of history compaction.

use crate::{Config, Mirror};
use cherryyard_history::{Precondition, Transaction};
use cherryyard_wire::record::{self, Key};
use cherryyard_wire::state::{Change, Commit};

/// Returns the transaction that the compactor requested.
pub(super) fn compactor_transaction(write: Transaction, mirror: &Mirror) -> Commit {
    let mut commit = Commit::default();
    mirror.require(&mut commit, Key::Leader);
    for Precondition { key, revision } in write.preconditions {
        commit.require(key, revision);
    }
    for (key, leaf) in write.put {
        commit.changes.push(Change::set(key, &leaf));
    }
    let deleted = write.delete.into_iter().map(Change::delete);
    commit.changes.extend(deleted);
    if let Some(record) = write.record {
        mirror.require(&mut commit, Key::HistoryProgress);
        commit
            .changes
            .push(Change::set(record::HISTORY_PROGRESS_KEY, &record));
    }
    commit
}

/// Returns the transaction that closes the current generation of finished jobs.
pub(super) fn close_generation(mirror: &Mirror) -> Commit {
    let mut closed = mirror.history_progress;
    closed.current_generation = closed.generation() + 1;
    let mut commit = Commit::default();
    mirror.require(&mut commit, Key::HistoryProgress);
    commit
        .changes
        .push(Change::set(record::HISTORY_PROGRESS_KEY, &closed));
    commit
}

/// Returns a transaction that deletes some of the records that earlier builds wrote for single
/// finished jobs, if these jobs are in the history.
pub(super) fn delete_archived_records(mirror: &Mirror, config: &Config) -> Option<Commit> {
    if mirror.store_revision < mirror.history_progress_revision {
        // The state not read yet may contain new jobs that wait for one of the finished jobs.
        return None;
    }
    let own = mirror.history_progress.archived_revision;
    let archived = mirror
        .ended_jobs_with_own_record()
        .filter(|(job, ended)| ended.revision <= own && !mirror.is_listed_in_pages(*job))
        .filter(|(job, _)| !mirror.has_dependents(*job))
        .take(config.txn_ops);
    let mut commit = Commit::default();
    for (job, ended) in archived {
        commit.require(record::job_key(job), ended.revision);
        commit.changes.push(Change::delete(record::job_key(job)));
    }
    (!commit.changes.is_empty()).then_some(commit)
}
