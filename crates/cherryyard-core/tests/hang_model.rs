//! A model of one machine that hangs with a start on its way, while its owner changes and
//! its job is cancelled, checked over every interleaving: the start never takes effect
//! later than `CANCEL` after its user was told. (That it never runs twice is the concern of
//! the lease's model; the state service serves everybody here.)
//!
//! The rule is that of `Controller::release_with_cancelled_tasks`; each mutant leaves a part of
//! it out and must be caught.

use pathfinding::directed::bfs::bfs_reach;

/// In steps of the model's clock: a worker's lease; the time in which a cancelled task must
/// be gone, and when a silent machine is returned for it, by an owner that has long been
/// there or just begun; how long machines take to find a new owner, or are silent; how long
/// a release takes.
const LEASE: u8 = 4;
const CANCEL: u8 = 20;
const DUE: u8 = 14;
const LATE: u8 = 16;
const FIND: u8 = 5;
const SILENT: u8 = 2;
const RELEASE: u8 = 1;
/// Owners change no sooner than this after one another: their claims take time.
const APART: u8 = 3;
/// The job is cancelled by then, or never, and a run ends so late.
const CANCELLED: u8 = 6;
const END: u8 = 30;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct State {
    now: u8,
    /// The owner's token, and since when it owns the shard.
    token: u8,
    owner_since: u8,
    /// Since when it has heard nothing of the machine.
    silent_since: u8,
    /// The token that the worker has seen, and the end of its lease.
    seen_token: u8,
    lease_until: u8,
    hangs: bool,
    /// The token of a start on its way, and whether the task is there.
    start_under_way: Option<u8>,
    task_present: bool,
    cancelled_at: Option<u8>,
    /// When the machine's release takes effect.
    released_at: Option<u8>,
    /// Changes of owner left, and hangs.
    changes_left: u8,
    hangs_left: u8,
    violated: bool,
}

#[derive(Clone, Copy, Default)]
struct Mutant {
    /// No machine is returned for a cancelled task.
    never_released: bool,
    /// A new owner always waits until machines have found it.
    always_waits_for_owner: bool,
    /// It is returned when the time is over.
    only_when_over: bool,
}

fn begin(changes: u8) -> State {
    State {
        now: 0,
        token: 1,
        owner_since: 0,
        silent_since: 0,
        seen_token: 1,
        lease_until: LEASE,
        hangs: false,
        start_under_way: Some(1),
        task_present: false,
        cancelled_at: None,
        released_at: None,
        changes_left: changes,
        hangs_left: 1,
        violated: false,
    }
}

/// What the owner does by itself: it returns the machine, if it is time.
fn release_if_due(state: &mut State, mutant: Mutant) {
    let (Some(at), None) = (state.cancelled_at, state.released_at) else {
        return;
    };
    let passed = state.now - at;
    let due = if mutant.only_when_over { CANCEL } else { DUE };
    let wait = if passed > LATE && !mutant.always_waits_for_owner {
        SILENT
    } else {
        FIND
    };
    let unproven = state.start_under_way.is_some() || state.task_present;
    if !mutant.never_released && unproven && passed > due && state.now - state.silent_since > wait {
        state.released_at = Some(state.now + RELEASE);
    }
}

/// The worker carries out the start, if that still counts.
fn carry_out(state: &mut State) {
    if let Some(token) = state.start_under_way.take() {
        state.task_present |= token >= state.seen_token;
        state.violated |=
            state.task_present && state.cancelled_at.is_some_and(|at| state.now > at + CANCEL);
    }
}

fn next(state: &State, mutant: Mutant) -> Vec<State> {
    let mut all = Vec::new();
    if state.violated || state.released_at.is_some_and(|at| at <= state.now) {
        return all;
    }
    let mut add = |may: bool, work: &dyn Fn(&mut State)| {
        if may {
            let mut after = *state;
            work(&mut after);
            all.push(after);
        }
    };
    add(state.now < END, &|after| {
        after.now += 1;
        if !after.hangs && after.now > after.lease_until {
            // Its incarnation is over, and what was sent to it.
            (after.task_present, after.start_under_way, after.lease_until) =
                (false, None, after.now + LEASE);
        }
        // What is too old to matter is all alike.
        after.silent_since = after.silent_since.max(after.now.saturating_sub(FIND + 1));
        after.owner_since = after.owner_since.max(after.now.saturating_sub(APART));
        after.lease_until = after.lease_until.max(after.now.saturating_sub(1));
        after.task_present &= after.now <= after.lease_until;
        after.violated |=
            after.task_present && after.cancelled_at.is_some_and(|at| after.now > at + CANCEL);
        release_if_due(after, mutant);
    });
    add(
        state.cancelled_at.is_none() && state.now <= CANCELLED,
        &|after| after.cancelled_at = Some(after.now),
    );
    add(
        state.changes_left > 0 && state.now - state.owner_since >= APART,
        &|after| {
            (after.token, after.owner_since, after.silent_since) =
                (after.token + 1, after.now, after.now);
            after.changes_left -= 1;
        },
    );
    add(state.hangs_left > 0 && !state.hangs, &|after| {
        after.hangs = true;
        after.hangs_left -= 1;
    });
    add(state.hangs, &|after| {
        // What was sent comes first, or the end of its incarnation does.
        after.hangs = false;
        carry_out(after);
    });
    add(!state.hangs && state.start_under_way.is_some(), &carry_out);
    add(!state.hangs, &|after| {
        (after.silent_since, after.seen_token, after.lease_until) =
            (after.now, after.token, after.now + LEASE);
        if after
            .start_under_way
            .is_some_and(|token| token < after.seen_token)
        {
            after.start_under_way = None;
        }
        if after.cancelled_at.is_some() {
            after.task_present = false;
            // Of a start that may be on its way the owner gets rid by a higher token.
            after.token += u8::from(after.start_under_way.is_some() && after.token < 6);
        }
    });
    all
}

fn explore(changes: u8, mutant: Mutant) -> (usize, bool) {
    let mut count = 0;
    let bad = bfs_reach(begin(changes), |state| next(state, mutant))
        .inspect(|_| count += 1)
        .any(|state| state.violated);
    (count, bad)
}

/// The rule holds with up to five changes of owner, and each of its shards is needed.
#[test]
fn a_machine_hangs_with_a_start_on_its_way() {
    let rules = Mutant::default();
    for changes in 0..=5 {
        let (count, bad) = explore(changes, rules);
        println!("{changes} changes: {count} states");
        assert!(!bad, "{changes} changes");
        assert!(count > 1000, "{count} states are too few");
    }
    let never_released = Mutant {
        never_released: true,
        ..rules
    };
    let always_waits = Mutant {
        always_waits_for_owner: true,
        ..rules
    };
    let only_when_over = Mutant {
        only_when_over: true,
        ..rules
    };
    assert!(explore(0, never_released).1, "nothing is returned");
    assert!(explore(2, always_waits).1, "a new owner waits too long");
    assert!(
        explore(0, only_when_over).1,
        "it is returned when the time is over"
    );
}
