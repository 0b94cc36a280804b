//! What a round proves of marked tasks, and the transaction it writes.

use super::*;

impl Node {
    /// What reports prove of a marked task.
    pub(crate) fn fate(&self, job: u64, number: u32, mark: &Mark, now: Millis) -> Fate {
        let Some(m) = self.machines.get(&mark.host) else {
            return Fate::Keep;
        };
        let open = self.mirror.open.contains_key(&job);
        let task = (job, number);
        if m.token_ours()
            && m.newest.0 == mark.session
            && let Some(seen) = m.seen.get(&task)
            && seen.attempt == mark.attempt
            && seen.ended()
        {
            return match seen.cause {
                Some(Cause::Done) => Fate::Done,
                cause => Fate::Gone {
                    failed: !matches!(cause, Some(Cause::Halted | Cause::Busy | Cause::NoRoom)),
                },
            };
        }
        if !m.proven_gone(task, mark.session, mark.attempt) {
            return Fate::Keep;
        }
        // Absent in the same session means that the start has not arrived. It
        // is sent again, as the same attempt, unless nothing should start.
        let may_start = m.state == HostState::Ready
            && m.newest.0 == mark.session
            && !m.lease_over
            && m.recall_at.is_none_or(|at| at - now > 60_000.0);
        if open && may_start {
            Fate::Keep
        } else {
            Fate::Gone { failed: false }
        }
    }

    pub(crate) fn collect(
        &mut self,
        p: usize,
        now: Millis,
        round: &mut Round,
        pending: &mut Pending,
    ) {
        let mut found = Vec::new();
        let mut blocked = false;
        for (&(_, job), chunks) in self.mirror.marks.range((p, 0)..=(p, u64::MAX)) {
            for (&chunk, c) in chunks {
                for (&number, mark) in &c.marks {
                    match self.fate(job, number, mark, now) {
                        Fate::Keep => {
                            blocked |= !self.mirror.open.contains_key(&job)
                                && self.blocked_by_push(job, number, mark, now);
                        }
                        fate => found.push((job, chunk, number, *mark, fate)),
                    }
                }
            }
        }
        if blocked {
            // A start of a job that is over may still be on its way, and only
            // a higher token stops it.
            self.parts[p].bump = true;
        }
        for (job, chunk, number, mark, fate) in found {
            let Some(c) = round.edit(self, p, job, chunk) else {
                break;
            };
            c.marks.remove(&number);
            match fate {
                Fate::Done => {
                    c.done.insert(number);
                    pending.done.push((job, mark.host));
                }
                Fate::Gone { failed: true } => pending.failed.push((job, mark.host)),
                _ => {}
            }
            pending.hosts.insert(mark.host);
        }
    }

    pub(crate) fn blocked_by_push(&self, job: u64, number: u32, mark: &Mark, now: Millis) -> bool {
        self.machines.get(&mark.host).is_some_and(|m| {
            m.token_ours()
                && !m.pushing
                && now >= m.push_after
                && m.pushed
                    .iter()
                    .any(|s| s.task == (job, number) && s.attempt == mark.attempt)
        })
    }

    /// Jobs whose tasks are all done but which are not over: two parts that
    /// wrote their last done numbers at once did not see each other's. The
    /// first part with marks writes the end.
    pub(crate) fn finished(&self, p: usize, round: &Round) -> Vec<u64> {
        let free = round
            .max_ops
            .saturating_sub(round.edits.len() + round.ends.len());
        self.mirror
            .open
            .iter()
            .filter(|(job, o)| {
                o.spec.shape == Shape::Sweep
                    && self.mirror.done(**job) >= o.spec.pieces
                    && !round.ends.contains(*job)
                    && (0..self.parts.len()).find(|&q| {
                        self.mirror.parts[q].is_some()
                            && self.mirror.marks.contains_key(&(q, **job))
                    }) == Some(p)
            })
            .map(|(&job, _)| job)
            .take(free)
            .collect()
    }

    /// Deletes marks of jobs that are over once nothing of them is left.
    pub(crate) fn sweep_marks(&self, p: usize, round: &mut Round) {
        if !round.edits.is_empty() {
            // Nobody waits for this; it takes its turn when nothing else does.
            return;
        }
        let mut swept = 0;
        for (&(_, job), chunks) in self.mirror.marks.range((p, 0)..=(p, u64::MAX)) {
            if self.mirror.end(job).is_none() {
                continue;
            }
            for (&chunk, c) in chunks {
                if c.marks.is_empty() && swept < 4 {
                    if round.edits.len() + round.ends.len() + 2 > round.max_ops {
                        return;
                    }
                    round.edits.entry((job, chunk)).or_insert_with(|| Chunk {
                        stamp: c.stamp,
                        ..Chunk::default()
                    });
                    swept += 1;
                }
            }
        }
    }

    pub(crate) fn round_commit(&self, p: usize, token: u64, round: &Round) -> Commit {
        let mut commit = Commit::default();
        commit.require(record::part_key(p), token);
        let mut done: BTreeMap<u64, u32> = BTreeMap::new();
        for (&(job, chunk), c) in &round.edits {
            let key = Key::Mark {
                part: p,
                job,
                chunk,
            };
            self.mirror.require(&mut commit, key);
            let before = self.mirror.marks.get(&(p, job)).and_then(|m| m.get(&chunk));
            let gained = c
                .done
                .len()
                .saturating_sub(before.map_or(0, |b| b.done.len()));
            if let Some(open) = self.mirror.open.get(&job) {
                commit.require(record::job_key(job), open.stamp);
                if self.config.teams[open.team as usize].limited() {
                    // A lowering of the grant whose answer was lost may have
                    // been applied; marks made by the old grant must then die.
                    let key = Key::Grant {
                        team: open.team as usize,
                        part: p,
                    };
                    self.mirror.require(&mut commit, key);
                }
                *done.entry(job).or_insert_with(|| self.mirror.done(job)) += gained;
            }
            let over = self.mirror.end(job).is_some();
            if c.marks.is_empty() && (c.done.is_empty() || over) {
                if before.is_some() {
                    commit
                        .apply
                        .push(Apply::delete(record::mark_key(p, job, chunk)));
                }
            } else {
                let value = serde_json::json!(c.record(&self.mirror.hosts));
                commit
                    .apply
                    .push(Apply::set(record::mark_key(p, job, chunk), value));
            }
        }
        for (job, done) in done {
            let open = &self.mirror.open[&job];
            if done >= open.spec.pieces && open.spec.shape == Shape::Sweep {
                // All parts' done numbers only ever grow while the job is
                // open, so an old view of the others is enough.
                let value = serde_json::json!(open.ended(End::Done));
                commit.apply.push(Apply::set(record::job_key(job), value));
            }
        }
        commit
    }
}
