//! A model of one machine that hangs with a start on its way, while its owner changes and
//! its job is cancelled, checked over every interleaving: the start never takes effect
//! later than `CANCEL` after its user was told. (That it never runs twice is the concern of
//! the lease's model; the state service serves everybody here.)
//!
//! The rule is that of `Controller::release_with_cancelled_tasks`; each mutant leaves a part of it out and
//! must be caught.

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
    t: u8,
    /// The owner's token, and since when it owns the shard.
    token: u8,
    since: u8,
    /// Since when it has heard nothing of the machine.
    silent: u8,
    /// The token that the worker has seen, and the end of its lease.
    seen: u8,
    lease: u8,
    hangs: bool,
    /// The token of a start on its way, and whether the task is there.
    start: Option<u8>,
    there: bool,
    cancelled: Option<u8>,
    /// When the machine's release takes effect.
    released: Option<u8>,
    /// Changes of owner and hangs left.
    left: (u8, u8),
    bad: bool,
}

#[derive(Clone, Copy, Default)]
struct Mutant {
    /// No machine is returned for a cancelled task.
    never: bool,
    /// A new owner always waits until machines have found it.
    always_find: bool,
    /// It is returned when the time is over.
    when_over: bool,
}

fn begin(changes: u8) -> State {
    State {
        t: 0,
        token: 1,
        since: 0,
        silent: 0,
        seen: 1,
        lease: LEASE,
        hangs: false,
        start: Some(1),
        there: false,
        cancelled: None,
        released: None,
        left: (changes, 1),
        bad: false,
    }
}

/// What the owner does by itself: it returns the machine, if it is time.
fn owner(s: &mut State, mutant: Mutant) {
    let (Some(at), None) = (s.cancelled, s.released) else {
        return;
    };
    let passed = s.t - at;
    let due = if mutant.when_over { CANCEL } else { DUE };
    let wait = if passed > LATE && !mutant.always_find {
        SILENT
    } else {
        FIND
    };
    let unproven = s.start.is_some() || s.there;
    if !mutant.never && unproven && passed > due && s.t - s.silent > wait {
        s.released = Some(s.t + RELEASE);
    }
}

/// The worker carries out the start, if that still counts.
fn carry_out(s: &mut State) {
    if let Some(token) = s.start.take() {
        s.there |= token >= s.seen;
        s.bad |= s.there && s.cancelled.is_some_and(|at| s.t > at + CANCEL);
    }
}

fn next(s: &State, mutant: Mutant) -> Vec<State> {
    let mut all = Vec::new();
    if s.bad || s.released.is_some_and(|at| at <= s.t) {
        return all;
    }
    let mut add = |may: bool, work: &dyn Fn(&mut State)| {
        if may {
            let mut n = *s;
            work(&mut n);
            all.push(n);
        }
    };
    add(s.t < END, &|n| {
        n.t += 1;
        if !n.hangs && n.t > n.lease {
            // Its incarnation is over, and what was sent to it.
            (n.there, n.start, n.lease) = (false, None, n.t + LEASE);
        }
        // What is too old to matter is all alike.
        n.silent = n.silent.max(n.t.saturating_sub(FIND + 1));
        n.since = n.since.max(n.t.saturating_sub(APART));
        n.lease = n.lease.max(n.t.saturating_sub(1));
        n.there &= n.t <= n.lease;
        n.bad |= n.there && n.cancelled.is_some_and(|at| n.t > at + CANCEL);
        owner(n, mutant);
    });
    add(s.cancelled.is_none() && s.t <= CANCELLED, &|n| {
        n.cancelled = Some(n.t)
    });
    add(s.left.0 > 0 && s.t - s.since >= APART, &|n| {
        (n.token, n.since, n.silent) = (n.token + 1, n.t, n.t);
        n.left.0 -= 1;
    });
    add(s.left.1 > 0 && !s.hangs, &|n| {
        (n.hangs, n.left.1) = (true, n.left.1 - 1);
    });
    add(s.hangs, &|n| {
        // What was sent comes first, or the end of its incarnation does.
        n.hangs = false;
        carry_out(n);
    });
    add(!s.hangs && s.start.is_some(), &carry_out);
    add(!s.hangs, &|n| {
        (n.silent, n.seen, n.lease) = (n.t, n.token, n.t + LEASE);
        if n.start.is_some_and(|token| token < n.seen) {
            n.start = None;
        }
        if n.cancelled.is_some() {
            n.there = false;
            // Of a start that may be on its way the owner gets rid by a higher token.
            n.token += u8::from(n.start.is_some() && n.token < 6);
        }
    });
    all
}

fn explore(changes: u8, mutant: Mutant) -> (usize, bool) {
    let mut count = 0;
    let bad = bfs_reach(begin(changes), |s| next(s, mutant))
        .inspect(|_| count += 1)
        .any(|s| s.bad);
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
    let never = Mutant {
        never: true,
        ..rules
    };
    let find = Mutant {
        always_find: true,
        ..rules
    };
    let over = Mutant {
        when_over: true,
        ..rules
    };
    assert!(explore(0, never).1, "nothing is returned");
    assert!(explore(2, find).1, "a new owner waits too long");
    assert!(explore(0, over).1, "it is returned when the time is over");
}
