//! A model of how jobs are submitted, ended, archived in the history and dropped
//! from the watched records, checked over every interleaving: two controllers whose
//! mirrors lag, transactions that are applied as late as can be, a change of the
//! leader in between, one job that is submitted again and again, one that is
//! cancelled. What is checked: an id is accepted once; a user who was told that a
//! job is accepted never gets 404, and one who was told its end never anything else.

use pathfinding::directed::bfs::bfs_reach;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Entry {
    Absent,
    Open,
    Over { cancelled: bool, generation: u8 },
}

/// What stands under the prefix that controllers watch.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Watched {
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
enum Sent {
    /// Depends on the job's record and on the history's, as they were.
    Submit {
        job_revision: u8,
        record_revision: u8,
    },
    /// The same; the end carries the generation that its writer knew.
    End {
        job_revision: u8,
        record_revision: u8,
        cancelled: bool,
        generation: u8,
    },
    /// A write of the bucket for another job's sake, which leaves out what may go.
    Drop {
        job_revision: u8,
    },
    /// The leader's: they depend on its claim too.
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
    /// All ends of generations up to this one were collected: the job's, if any.
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
    now: Watched,
    leaf: Option<bool>,
    mirror: [Watched; 2],
    sent: [Option<Sent>; 2],
    archival: [Archival; 2],
    /// A look into the history that found nothing, and the revision of the record before it.
    looked_up: [Option<u8>; 2],
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

/// Applied transactions beyond which no interleaving is followed.
const LAST_REVISION: u8 = 8;

fn start() -> State {
    let now = Watched {
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
        now,
        leaf: None,
        mirror: [now; 2],
        sent: [None; 2],
        archival: [Archival::Idle; 2],
        looked_up: [None; 2],
        accepted: 0,
        reported: None,
        violation: None,
    }
}

impl State {
    /// What a user is told, from a mirror as of now and the leaves.
    fn poll(&mut self) {
        let seen = match self.now.job {
            Entry::Over { cancelled, .. } => Some(cancelled),
            Entry::Open => {
                if self.reported.is_some() {
                    self.violation = Some("open again after its end was reported");
                }
                return;
            }
            Entry::Absent => self.leaf,
        };
        match (seen, self.reported) {
            (None, _) if self.accepted > 0 => self.violation = Some("accepted, and 404"),
            (Some(end), Some(reported)) if end != reported => self.violation = Some("ended twice"),
            (Some(end), _) => self.reported = Some(end),
            _ => {}
        }
    }

    fn apply(&mut self, by: usize, sent: Sent, mutant: Mutant) {
        let n = &mut self.now;
        let leads = |revision: u8| n.leader_revision == revision;
        let next_revision = n.revision + 1;
        let applied = match sent {
            Sent::Submit {
                job_revision,
                record_revision,
            } => {
                let ok = n.job_revision == job_revision && n.record_revision == record_revision;
                if ok {
                    (n.job, n.job_revision) = (Entry::Open, next_revision);
                    self.accepted += 1;
                    if self.accepted > 1 {
                        self.violation = Some("accepted twice");
                    }
                }
                ok
            }
            Sent::End {
                job_revision,
                record_revision,
                cancelled,
                generation,
            } => {
                let ok = n.job_revision == job_revision
                    && (n.record_revision == record_revision || mutant.end_without_record);
                if ok {
                    n.job = Entry::Over {
                        cancelled,
                        generation,
                    };
                    n.job_revision = next_revision;
                }
                ok
            }
            Sent::Drop { job_revision } => {
                let ok = n.job_revision == job_revision;
                if ok {
                    (n.job, n.job_revision) = (Entry::Absent, next_revision);
                }
                ok
            }
            Sent::Close {
                record_revision,
                leader_revision,
            } => {
                let ok = n.record_revision == record_revision && leads(leader_revision);
                if ok {
                    n.gen_now += 1;
                    n.record_revision = next_revision;
                }
                ok
            }
            Sent::Archive {
                end,
                leader_revision,
                leaf_before,
            } => {
                let ok = leads(leader_revision) && self.leaf == leaf_before;
                if ok {
                    self.leaf = self.leaf.or(end);
                    if let Archival::Collected { done, .. } = self.archival[by] {
                        self.archival[by] = Archival::Archived { done };
                    }
                }
                ok
            }
            Sent::Record {
                done,
                record_revision,
                leader_revision,
            } => {
                let ok = n.record_revision == record_revision && leads(leader_revision);
                if ok {
                    (n.gen_done, n.record_revision) = (done, next_revision);
                    self.archival[by] = Archival::Idle;
                }
                ok
            }
            Sent::Elect { leader_revision } => {
                let ok = n.leader_revision == leader_revision;
                if ok {
                    (n.leader, n.leader_revision) = (by as u8, next_revision);
                    self.archival[by] = Archival::Idle;
                }
                ok
            }
        };
        if applied {
            self.now.revision = next_revision;
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
        for c in 0..2 {
            // The watch tells what has happened.
            if self.mirror[c] != self.now {
                let mut s = self.clone();
                s.mirror[c] = s.now;
                s.looked_up[c] = None;
                all.push(s);
            }
            if let Some(sent) = self.sent[c] {
                let mut s = self.clone();
                s.sent[c] = None;
                s.apply(c, sent, mutant);
                if s.now.revision <= LAST_REVISION {
                    all.push(s);
                }
                // The controller ends; what it sent may yet be applied, and it
                // starts again with what is there.
                continue;
            }
            let v = self.mirror[c];
            let mut send = |sent: Sent| {
                let mut s = self.clone();
                s.sent[c] = Some(sent);
                all.push(s);
            };
            match v.job {
                Entry::Absent => {
                    if mutant.submit_without_lookup {
                        send(Sent::Submit {
                            job_revision: v.job_revision,
                            record_revision: v.record_revision,
                        });
                    } else if let Some(record_revision) = self.looked_up[c] {
                        send(Sent::Submit {
                            job_revision: v.job_revision,
                            record_revision,
                        });
                    }
                }
                Entry::Open => {
                    for cancelled in [false, true] {
                        send(Sent::End {
                            job_revision: v.job_revision,
                            record_revision: v.record_revision,
                            cancelled,
                            generation: v.gen_now,
                        });
                    }
                }
                Entry::Over { generation, .. } => {
                    if generation <= v.gen_done {
                        send(Sent::Drop {
                            job_revision: v.job_revision,
                        });
                    }
                }
            }
            let is_leader = v.leader as usize == c;
            let leader_revision = v.leader_revision;
            let closed = v.gen_now - 1;
            if !is_leader {
                send(Sent::Elect { leader_revision });
            } else {
                match self.archival[c] {
                    Archival::Idle if closed > v.gen_done => {
                        // Everything up to the record that closed it has been read.
                        if v.revision >= v.record_revision {
                            let end = match v.job {
                                Entry::Over {
                                    cancelled,
                                    generation,
                                } if generation <= closed => Some(cancelled),
                                _ => None,
                            };
                            let done = closed;
                            let mut s = self.clone();
                            s.archival[c] = if mutant.record_before_leaves {
                                Archival::Archived { done }
                            } else {
                                Archival::Collected { done, end }
                            };
                            all.push(s);
                        }
                    }
                    Archival::Idle => send(Sent::Close {
                        record_revision: v.record_revision,
                        leader_revision,
                    }),
                    Archival::Collected { end, .. } => send(Sent::Archive {
                        end,
                        leader_revision,
                        leaf_before: self.leaf,
                    }),
                    Archival::Archived { done } => send(Sent::Record {
                        done,
                        record_revision: v.record_revision,
                        leader_revision,
                    }),
                }
            }
            if v.job == Entry::Absent && self.looked_up[c].is_none() && self.leaf.is_none() {
                let mut s = self.clone();
                s.looked_up[c] = Some(v.record_revision);
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

/// No interleaving breaks a rule.
#[test]
fn no_interleaving_breaks_a_rule() {
    let (count, violation) = explore(Mutant::default());
    assert!(violation.is_none(), "{violation:#?}");
    assert!(count > 20_000, "{count} states");
}

/// The model can fail: each part of the design that is left out breaks a rule.
#[test]
fn every_part_is_needed() {
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
    for (part, mutant) in mutants {
        assert!(explore(mutant).1.is_some(), "{part}: not needed?");
    }
}
