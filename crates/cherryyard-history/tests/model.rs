//! Checks a model of how jobs are submitted, ended, archived in the history and dropped
//! from the watched records, over every interleaving: two controllers with lagging mirrors,
//! transactions that are applied arbitrarily late, a change of the leader in between, one
//! job that is submitted repeatedly and may be done or cancelled. The checked rules: a job
//! id is accepted once; after a job was accepted, its status is never 404; after its end
//! was reported, no other status is.

use pathfinding::directed::bfs::bfs_reach;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Entry {
    Absent,
    Open,
    Ended { cancelled: bool, generation: u8 },
}

/// The records under the prefix that controllers watch.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct WatchedRecords {
    job: Entry,
    job_revision: u8,
    gen_now: u8,
    gen_done: u8,
    record_revision: u8,
    leader: u8,
    leader_revision: u8,
    revision: u8,
}

/// A transaction that was sent and may be applied at any later time.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Transaction {
    /// Submits the job; depends on the job's record and on the history's, as the controller
    /// read them.
    Submit {
        job_revision: u8,
        record_revision: u8,
    },
    /// Ends the job; depends on the same records, and the end carries the generation that
    /// its writer read.
    End {
        job_revision: u8,
        record_revision: u8,
        cancelled: bool,
        generation: u8,
    },
    /// Drops an archived job, as part of a write of its bucket for another job.
    Drop {
        job_revision: u8,
    },
    /// Closes the current generation; like the other writes of the leader it depends on the
    /// leader's record too.
    Close {
        record_revision: u8,
        leader_revision: u8,
    },
    Archive {
        end: Option<bool>,
        leader_revision: u8,
        leaf_before: Option<bool>,
    },
    Record {
        done: u8,
        record_revision: u8,
        leader_revision: u8,
    },
    Elect {
        leader_revision: u8,
    },
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
enum Archival {
    #[default]
    Idle,
    /// All ends of generations up to `done` are collected; `end` is the job's, if it has
    /// one.
    Collected {
        done: u8,
        end: Option<bool>,
    },
    Archived {
        done: u8,
    },
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct State {
    stored: WatchedRecords,
    leaf: Option<bool>,
    mirror: [WatchedRecords; 2],
    in_flight: [Option<Transaction>; 2],
    archival: [Archival; 2],
    /// The revision of the history's record before a look-up in the history that found
    /// nothing.
    revision_of_empty_lookup: [Option<u8>; 2],
    accepted: u8,
    reported: Option<bool>,
    violation: Option<&'static str>,
}

/// Parts of the design that a mutant leaves out.
#[derive(Clone, Copy, Default)]
struct Mutant {
    submit_without_lookup: bool,
    end_without_record: bool,
    record_before_leaves: bool,
}

/// The revision beyond which no interleaving is followed.
const LAST_REVISION: u8 = 8;

fn start() -> State {
    let stored = WatchedRecords {
        job: Entry::Absent,
        job_revision: 1,
        gen_now: 1,
        gen_done: 0,
        record_revision: 1,
        leader: 0,
        leader_revision: 1,
        revision: 1,
    };
    State {
        stored,
        leaf: None,
        mirror: [stored; 2],
        in_flight: [None; 2],
        archival: [Archival::Idle; 2],
        revision_of_empty_lookup: [None; 2],
        accepted: 0,
        reported: None,
        violation: None,
    }
}

impl State {
    /// Reports the job's status to a user, from the current watched records and the leaves.
    fn poll(&mut self) {
        let end_found = match self.stored.job {
            Entry::Ended { cancelled, .. } => Some(cancelled),
            Entry::Open => {
                if self.reported.is_some() {
                    self.violation = Some("open again after its end was reported");
                }
                return;
            }
            Entry::Absent => self.leaf,
        };
        match (end_found, self.reported) {
            (None, _) if self.accepted > 0 => self.violation = Some("accepted, and 404"),
            (Some(end), Some(reported)) if end != reported => self.violation = Some("ended twice"),
            (Some(end), _) => self.reported = Some(end),
            _ => {}
        }
    }

    fn apply(&mut self, sender: usize, transaction: Transaction, mutant: Mutant) {
        let records = &mut self.stored;
        let is_led_at = |revision: u8| records.leader_revision == revision;
        let next_revision = records.revision + 1;
        let applied = match transaction {
            Transaction::Submit {
                job_revision,
                record_revision,
            } => {
                let ok = records.job_revision == job_revision
                    && records.record_revision == record_revision;
                if ok {
                    (records.job, records.job_revision) = (Entry::Open, next_revision);
                    self.accepted += 1;
                    if self.accepted > 1 {
                        self.violation = Some("accepted twice");
                    }
                }
                ok
            }
            Transaction::End {
                job_revision,
                record_revision,
                cancelled,
                generation,
            } => {
                let ok = records.job_revision == job_revision
                    && (records.record_revision == record_revision || mutant.end_without_record);
                if ok {
                    records.job = Entry::Ended {
                        cancelled,
                        generation,
                    };
                    records.job_revision = next_revision;
                }
                ok
            }
            Transaction::Drop { job_revision } => {
                let ok = records.job_revision == job_revision;
                if ok {
                    (records.job, records.job_revision) = (Entry::Absent, next_revision);
                }
                ok
            }
            Transaction::Close {
                record_revision,
                leader_revision,
            } => {
                let ok = records.record_revision == record_revision && is_led_at(leader_revision);
                if ok {
                    records.gen_now += 1;
                    records.record_revision = next_revision;
                }
                ok
            }
            Transaction::Archive {
                end,
                leader_revision,
                leaf_before,
            } => {
                let ok = is_led_at(leader_revision) && self.leaf == leaf_before;
                if ok {
                    self.leaf = self.leaf.or(end);
                    if let Archival::Collected { done, .. } = self.archival[sender] {
                        self.archival[sender] = Archival::Archived { done };
                    }
                }
                ok
            }
            Transaction::Record {
                done,
                record_revision,
                leader_revision,
            } => {
                let ok = records.record_revision == record_revision && is_led_at(leader_revision);
                if ok {
                    (records.gen_done, records.record_revision) = (done, next_revision);
                    self.archival[sender] = Archival::Idle;
                }
                ok
            }
            Transaction::Elect { leader_revision } => {
                let ok = records.leader_revision == leader_revision;
                if ok {
                    (records.leader, records.leader_revision) = (sender as u8, next_revision);
                    self.archival[sender] = Archival::Idle;
                }
                ok
            }
        };
        if applied {
            self.stored.revision = next_revision;
        }
    }

    fn next(&self, mutant: Mutant) -> Vec<State> {
        let mut all = Vec::new();
        if self.violation.is_some() {
            return all;
        }
        let mut polled = self.clone();
        polled.poll();
        if polled != *self {
            all.push(polled);
        }
        for controller in 0..2 {
            // The watch delivers all changes so far.
            if self.mirror[controller] != self.stored {
                let mut s = self.clone();
                s.mirror[controller] = s.stored;
                s.revision_of_empty_lookup[controller] = None;
                all.push(s);
            }
            if let Some(transaction) = self.in_flight[controller] {
                let mut s = self.clone();
                s.in_flight[controller] = None;
                s.apply(controller, transaction, mutant);
                if s.stored.revision <= LAST_REVISION {
                    all.push(s);
                }
                // The controller may crash; the transaction that it sent may still be
                // applied, and the controller restarts from the stored state.
                continue;
            }
            let view = self.mirror[controller];
            let mut send = |transaction: Transaction| {
                let mut s = self.clone();
                s.in_flight[controller] = Some(transaction);
                all.push(s);
            };
            match view.job {
                Entry::Absent => {
                    if mutant.submit_without_lookup {
                        send(Transaction::Submit {
                            job_revision: view.job_revision,
                            record_revision: view.record_revision,
                        });
                    } else if let Some(record_revision) = self.revision_of_empty_lookup[controller]
                    {
                        send(Transaction::Submit {
                            job_revision: view.job_revision,
                            record_revision,
                        });
                    }
                }
                Entry::Open => {
                    for cancelled in [false, true] {
                        send(Transaction::End {
                            job_revision: view.job_revision,
                            record_revision: view.record_revision,
                            cancelled,
                            generation: view.gen_now,
                        });
                    }
                }
                Entry::Ended { generation, .. } => {
                    if generation <= view.gen_done {
                        send(Transaction::Drop {
                            job_revision: view.job_revision,
                        });
                    }
                }
            }
            let is_leader = view.leader as usize == controller;
            let leader_revision = view.leader_revision;
            let closed = view.gen_now - 1;
            if !is_leader {
                send(Transaction::Elect { leader_revision });
            } else {
                match self.archival[controller] {
                    Archival::Idle if closed > view.gen_done => {
                        // The mirror includes everything up to the record that closed the
                        // generation.
                        if view.revision >= view.record_revision {
                            let end = match view.job {
                                Entry::Ended {
                                    cancelled,
                                    generation,
                                } if generation <= closed => Some(cancelled),
                                _ => None,
                            };
                            let done = closed;
                            let mut s = self.clone();
                            s.archival[controller] = if mutant.record_before_leaves {
                                Archival::Archived { done }
                            } else {
                                Archival::Collected { done, end }
                            };
                            all.push(s);
                        }
                    }
                    Archival::Idle => send(Transaction::Close {
                        record_revision: view.record_revision,
                        leader_revision,
                    }),
                    Archival::Collected { end, .. } => send(Transaction::Archive {
                        end,
                        leader_revision,
                        leaf_before: self.leaf,
                    }),
                    Archival::Archived { done } => send(Transaction::Record {
                        done,
                        record_revision: view.record_revision,
                        leader_revision,
                    }),
                }
            }
            if view.job == Entry::Absent
                && self.revision_of_empty_lookup[controller].is_none()
                && self.leaf.is_none()
            {
                let mut s = self.clone();
                s.revision_of_empty_lookup[controller] = Some(view.record_revision);
                all.push(s);
            }
        }
        all
    }
}

fn explore(mutant: Mutant) -> (usize, Option<State>) {
    let mut count = 0;
    for state in bfs_reach(start(), |s| s.next(mutant)) {
        count += 1;
        if state.violation.is_some() {
            return (count, Some(state));
        }
    }
    (count, None)
}

/// Guards against a protocol that accepts a job twice, loses an accepted job, or reports
/// two different ends.
#[test]
fn every_interleaving_keeps_the_rules() {
    let (count, violation) = explore(Mutant::default());
    assert!(violation.is_none(), "{violation:#?}");
    assert!(count > 20_000, "{count} states");
}

/// Guards against a model that cannot fail: leaving out any of these parts of the design
/// must break a rule.
#[test]
fn each_mutant_breaks_a_rule() {
    let mutants = [
        (
            "submissions look into the history",
            Mutant {
                submit_without_lookup: true,
                ..Mutant::default()
            },
        ),
        (
            "ends depend on the history's record",
            Mutant {
                end_without_record: true,
                ..Mutant::default()
            },
        ),
        (
            "leaves come before the record",
            Mutant {
                record_before_leaves: true,
                ..Mutant::default()
            },
        ),
    ];
    for (design_part, mutant) in mutants {
        assert!(explore(mutant).1.is_some(), "{design_part}: not needed?");
    }
}
