//! Model of a machine that hangs while a start of a task is in flight to it, and meanwhile the
//! owner of its shard changes and the job is cancelled. The start was sent directly by an owner of a
//! build that did so, from which the present owner has taken over.
//!
//! When the machine resumes it may still execute that start, so a cancelled task could run after
//! the time within which it must be gone. The model explores every interleaving, and checks that
//! the task is never present later than `CANCEL_DEADLINE` after the cancellation was confirmed to
//! the user. That a task never runs twice is checked by `lease_model`. The state service is
//! reachable throughout.
//!
//! The rule under test is that of `Controller::release_with_cancelled_tasks`. Each mutant omits a
//! part of the rule, and the model must find a violation with it.

use pathfinding::directed::bfs::bfs_reach;

// All times are in steps of the model's clock.

/// Duration of a worker's lease.
const WORKER_LEASE: u8 = 4;
/// Time after its cancellation within which a task must be gone.
const CANCEL_DEADLINE: u8 = 20;
/// Time after a cancellation from which a silent machine is released for the cancelled task, once
/// it has been silent for `FIND_OWNER`.
const RELEASE_DUE: u8 = 14;
/// Time after a cancellation from which a silence of `SILENCE` suffices for the release, even for a
/// new owner.
const RELEASE_LATE: u8 = 16;
/// Time that machines may take to find a new owner.
const FIND_OWNER: u8 = 5;
/// Time without heartbeats after which a machine counts as silent.
const SILENCE: u8 = 2;
/// Time from the request to release a machine until the release takes effect.
const RELEASE_DELAY: u8 = 1;
/// Shortest time between two changes of owner, because acquiring a lease takes time.
const MIN_OWNER_CHANGE_INTERVAL: u8 = 3;
/// Latest step at which the job is cancelled, if it is cancelled at all.
const LAST_CANCEL: u8 = 6;
/// Last step of a run.
const LAST_STEP: u8 = 30;

/// State of the whole model.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct State {
    /// The present step.
    now: u8,
    /// The owner's fencing token.
    token: u8,
    /// Time since which the present owner owns the shard.
    owned_since: u8,
    /// Time since which the owner has received nothing from the machine; at the earliest the time
    /// at which it became the owner.
    silent_since: u8,
    /// Highest fencing token that the worker has seen.
    worker_token: u8,
    /// End of the worker's lease.
    lease_end: u8,
    /// Whether the machine hangs.
    is_hanging: bool,
    /// Token of a start that is in flight to the worker.
    start_in_flight: Option<u8>,
    /// Whether the task is on the machine.
    task_present: bool,
    /// Time at which the job was cancelled and the cancellation confirmed.
    cancelled_at: Option<u8>,
    /// Time at which the machine's release takes effect.
    released_at: Option<u8>,
    /// Number of changes of owner that may still occur.
    changes_left: u8,
    /// Number of times that the machine may still begin to hang.
    hangs_left: u8,
    /// Whether the task was present after its deadline.
    violated: bool,
}

/// Parts of the rule that are omitted.
#[derive(Clone, Copy, Default)]
struct Mutant {
    /// No machine is released for a cancelled task.
    never_released: bool,
    /// The owner always waits as long as machines may take to find a new owner.
    always_waits_for_machines: bool,
    /// The machine is released only once the deadline has passed.
    releases_only_at_deadline: bool,
}

/// Returns the state in which a start of the former owner is in flight to a machine that does not
/// hang.
fn initial_state(changes: u8) -> State {
    State {
        now: 0,
        token: 2,
        owned_since: 0,
        silent_since: 0,
        worker_token: 1,
        lease_end: WORKER_LEASE,
        is_hanging: false,
        start_in_flight: Some(1),
        task_present: false,
        cancelled_at: None,
        released_at: None,
        changes_left: changes,
        hangs_left: 1,
        violated: false,
    }
}

/// Releases the machine if the owner's rule requires it.
fn release_if_due(state: &mut State, mutant: Mutant) {
    let (Some(at), None) = (state.cancelled_at, state.released_at) else {
        return;
    };
    let passed = state.now - at;
    let due = if mutant.releases_only_at_deadline {
        CANCEL_DEADLINE
    } else {
        RELEASE_DUE
    };
    let wait = if passed > RELEASE_LATE && !mutant.always_waits_for_machines {
        SILENCE
    } else {
        FIND_OWNER
    };
    let may_be_present = state.start_in_flight.is_some() || state.task_present;
    if !mutant.never_released
        && may_be_present
        && passed > due
        && state.now - state.silent_since > wait
    {
        state.released_at = Some(state.now + RELEASE_DELAY);
    }
}

/// Lets the worker execute the start in flight, unless it has seen a higher token.
fn execute_start(state: &mut State) {
    if let Some(token) = state.start_in_flight.take() {
        state.task_present |= token >= state.worker_token;
        state.violated |= state.task_present
            && state
                .cancelled_at
                .is_some_and(|at| state.now > at + CANCEL_DEADLINE);
    }
}

/// Returns the successors of a state; none once it is violated or the machine is released.
fn next_states(state: &State, mutant: Mutant) -> Vec<State> {
    let mut successors = Vec::new();
    if state.violated || state.released_at.is_some_and(|at| at <= state.now) {
        return successors;
    }
    let mut add = |enabled: bool, apply: &dyn Fn(&mut State)| {
        if enabled {
            let mut after = *state;
            apply(&mut after);
            successors.push(after);
        }
    };
    add(state.now < LAST_STEP, &|after| {
        after.now += 1;
        if !after.is_hanging && after.now > after.lease_end {
            // The worker's incarnation has ended, and with it the start that was sent to it.
            (after.task_present, after.start_in_flight, after.lease_end) =
                (false, None, after.now + WORKER_LEASE);
        }
        // Times too old to matter are made equal, to reduce the number of states.
        after.silent_since = after
            .silent_since
            .max(after.now.saturating_sub(FIND_OWNER + 1));
        after.owned_since = after
            .owned_since
            .max(after.now.saturating_sub(MIN_OWNER_CHANGE_INTERVAL));
        after.lease_end = after.lease_end.max(after.now.saturating_sub(1));
        after.task_present &= after.now <= after.lease_end;
        after.violated |= after.task_present
            && after
                .cancelled_at
                .is_some_and(|at| after.now > at + CANCEL_DEADLINE);
        release_if_due(after, mutant);
    });
    add(
        state.cancelled_at.is_none() && state.now <= LAST_CANCEL,
        &|after| after.cancelled_at = Some(after.now),
    );
    add(
        state.changes_left > 0 && state.now - state.owned_since >= MIN_OWNER_CHANGE_INTERVAL,
        &|after| {
            (after.token, after.owned_since, after.silent_since) =
                (after.token + 1, after.now, after.now);
            after.changes_left -= 1;
        },
    );
    add(state.hangs_left > 0 && !state.is_hanging, &|after| {
        after.is_hanging = true;
        after.hangs_left -= 1;
    });
    add(state.is_hanging, &|after| {
        // The machine resumes, and executes the start before it notices that its incarnation may
        // have ended. In the other order the start would be dropped.
        after.is_hanging = false;
        execute_start(after);
    });
    add(
        !state.is_hanging && state.start_in_flight.is_some(),
        &execute_start,
    );
    add(!state.is_hanging, &|after| {
        (after.silent_since, after.worker_token, after.lease_end) =
            (after.now, after.token, after.now + WORKER_LEASE);
        if after
            .start_in_flight
            .is_some_and(|token| token < after.worker_token)
        {
            after.start_in_flight = None;
        }
        if after.cancelled_at.is_some() {
            after.task_present = false;
        }
    });
    successors
}

/// Returns the number of states explored, and whether one of them violates the rule.
fn explore(changes: u8, mutant: Mutant) -> (usize, bool) {
    let mut count = 0;
    let found_violation = bfs_reach(initial_state(changes), |state| next_states(state, mutant))
        .inspect(|_| count += 1)
        .any(|state| state.violated);
    (count, found_violation)
}

/// A start that reaches a hanging machine late must not run a cancelled task after its deadline.
/// The rule holds with up to five changes of owner, and fails without any of its parts.
#[test]
fn cancelled_task_is_gone_in_time_though_its_machine_hangs() {
    let rules = Mutant::default();
    for changes in 0..=5 {
        let (count, found_violation) = explore(changes, rules);
        println!("{changes} changes: {count} states");
        assert!(!found_violation, "{changes} changes");
        assert!(count > 1000, "only {count} states explored");
    }
    let never_released = Mutant {
        never_released: true,
        ..rules
    };
    let always_waits = Mutant {
        always_waits_for_machines: true,
        ..rules
    };
    let releases_only_at_deadline = Mutant {
        releases_only_at_deadline: true,
        ..rules
    };
    assert!(
        explore(0, never_released).1,
        "mutant not caught: no machine is released"
    );
    assert!(
        explore(2, always_waits).1,
        "mutant not caught: a new owner waits too long"
    );
    assert!(
        explore(0, releases_only_at_deadline).1,
        "mutant not caught: the machine is released only at the deadline"
    );
}
