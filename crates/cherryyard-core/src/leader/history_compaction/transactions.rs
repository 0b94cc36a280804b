//! Transactions of history compaction.

use crate::{Config, Mirror};
use cherryyard_history::{Precondition, Transaction};
use cherryyard_wire::record::{self, Key};
use cherryyard_wire::state::{Apply, Commit};

/// The compactor's own transaction.
pub(super) fn compactor_transaction(write: Transaction, mirror: &Mirror) -> Commit {
    let mut commit = Commit::default();
    mirror.require(&mut commit, Key::Leader);
    for Precondition { key, revision } in write.preconditions {
        commit.require(key, revision);
    }
    for (key, leaf) in write.put {
        commit.apply.push(Apply::set(key, &leaf));
    }
    let deleted = write.delete.into_iter().map(Apply::delete);
    commit.apply.extend(deleted);
    if let Some(record) = write.record {
        mirror.require(&mut commit, Key::Packed);
        commit.apply.push(Apply::set(record::PACKED, &record));
    }
    commit
}

/// Closes the generation of ends that is written now.
pub(super) fn close_generation(mirror: &Mirror) -> Commit {
    let mut closed = mirror.packed;
    closed.gen_now = closed.generation() + 1;
    let mut commit = Commit::default();
    mirror.require(&mut commit, Key::Packed);
    commit.apply.push(Apply::set(record::PACKED, &closed));
    commit
}

/// Deletes records of their own whose ends are in the history, a few at once:
/// what earlier builds left.
pub(super) fn sweep(mirror: &Mirror, config: &Config) -> Option<Commit> {
    if mirror.store_revision < mirror.packed_revision {
        // Jobs may have come that wait for one of them.
        return None;
    }
    let own = mirror.packed.own;
    let gone = mirror
        .own_ends()
        .filter(|(job, ended)| ended.revision <= own && !mirror.named_in_pages(*job))
        .filter(|(job, _)| !mirror.has_dependents(*job))
        .take(config.txn_ops);
    let mut commit = Commit::default();
    for (job, ended) in gone {
        commit.require(record::job_key(job), ended.revision);
        commit.apply.push(Apply::delete(record::job_key(job)));
    }
    (!commit.apply.is_empty()).then_some(commit)
}
