//! Model of leases during outages of the state service: two controllers that own a shard in turn,
//! and one worker with one task.
//!
//! While the state service is out of reach, a controller may keep a worker's lease alive although
//! it cannot read whether the job was cancelled or the shard has a new owner. The model explores
//! every interleaving of a state service that refuses either controller or both, controllers that
//! end, start and are suspended, heartbeats that arrive at any time or late, and one cancellation,
//! which is written first and confirmed to its user then, later or never. It checks that the task
//! is never assigned to another machine while it runs, and that it is gone `CANCEL_DEADLINE` after
//! the cancellation was confirmed.
//!
//! The rules under test are those of `Controller::answering_tokens`, `may_extend_lease`,
//! `knows_cancellations`, `may_confirm_cancelled` and `expire_leases`. Each mutant omits one rule,
//! and the model must find a violation with it.

use pathfinding::directed::bfs::bfs_reach;

// All times are in steps of the model's clock.

/// Duration of a worker's lease.
const WORKER_LEASE: u8 = 1;
/// Time after the confirmation of a cancellation within which the task must be gone.
const CANCEL_DEADLINE: u8 = 3;
/// Time for which a heartbeat of the other controller is relied on.
const REPORT_VALIDITY: u8 = 1;
/// Longest time that the list of cancellations in a heartbeat reaches back.
const LIST_REACH: u8 = 2;
/// Longest time from the end of the coverage to the start of a later list of cancellations, such as
/// that of a restarted process, for which the list counts as following without a gap. The heartbeat
/// that extended the coverage must have reported its sender as cut off: a controller that has
/// reported this waits for longer before it confirms a cancellation that the other may not know of.
const CONFIRMATION_PAUSE: u8 = 1;
/// Time since its last read for which an owner answers the worker without relying on an outage.
const CUT_OFF_BOUND: u8 = CANCEL_DEADLINE - WORKER_LEASE - 1;
/// Last step of a run.
const LAST_STEP: u8 = 5;
/// Number of states after which a run is aborted; the runs of this file need far fewer.
const MAX_STATES: usize = 60_000_000;

/// Contents of a heartbeat that its receiver relies on while it stays recent.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
struct PeerReport {
    /// Earliest time at which the heartbeat can have been sent: when the receiver sent the
    /// heartbeat that it acknowledges.
    sent_at: u8,
    /// Whether the sender was cut off from the state service.
    cut_off: bool,
    /// Whether the sender knows of every cancellation that any controller can have taken.
    complete: bool,
    /// Token and owner of the shard's newest lease that the sender has read.
    shard_lease: (u8, usize),
}

/// State of one controller.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Controller {
    /// Whether the process is suspended.
    suspended: bool,
    /// Whether the process has read the state since its start.
    has_read: bool,
    /// Time of the last read of the state.
    last_read: u8,
    /// Time at which the process started.
    started: u8,
    /// Time since which its list of cancellations has no gap.
    gapless_since: u8,
    /// Time at which the process last reported that it was cut off, or started.
    cut_off_reported: u8,
    /// Time at which the newest received heartbeat of the other controller was sent.
    newest_received: Option<u8>,
    /// Time at which the newest heartbeat that the other controller has acknowledged was sent.
    newest_acknowledged: Option<u8>,
    /// Token of the controller's own lease on the shard; 0 if there is none.
    token: u8,
    /// Token and owner of the shard's newest lease that the controller has read.
    shard_lease: (u8, usize),
    /// Time of its last answer to the worker.
    answered: u8,
    /// Whether the worker has shown the controller's token.
    token_confirmed: bool,
    /// Time at which the controller learnt of the cancellation, by the state service or by a
    /// heartbeat.
    learnt: Option<u8>,
    /// Whether a heartbeat has announced the cancellation to the controller.
    announced: bool,
    /// Whether its own heartbeats list the cancellation, which they do not if it was found in the
    /// first read.
    listed: bool,
    /// Newest report of the other controller.
    peer_report: Option<PeerReport>,
    /// Latest known time at which the other controller may have taken a cancellation.
    last_contact: u8,
    /// Time up to which all that the other controller learnt of cancellations is known.
    covered_to: u8,
    /// Whether the heartbeat that extended the coverage reported its sender as cut off.
    covered_cut_off: bool,
}

/// A heartbeat that one controller sends to the other.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Heartbeat {
    /// Index of the sender.
    from: usize,
    report: PeerReport,
    /// Time since the sender last read the state; `None` if it has not since its start.
    since_read: Option<u8>,
    /// Whether the list of cancellations contains the job.
    lists_cancellation: bool,
    /// Time that the list reaches back.
    list_reach: u8,
    /// Time at which the heartbeat was sent.
    sent: u8,
    /// Time at which the newest heartbeat of the receiver that this one acknowledges was sent.
    acknowledges: Option<u8>,
}

/// State of the whole model.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct State {
    /// The present step.
    now: u8,
    /// Whether the state service answers each controller.
    reachable: [bool; 2],
    /// Token and owner of the shard's lease in the state service.
    shard_lease: (u8, usize),
    /// Time at which the job was cancelled in the state service.
    cancelled: Option<u8>,
    /// Time at which the cancellation was confirmed to the user.
    confirmed: Option<u8>,
    /// Highest token that the worker has seen.
    worker_token: u8,
    /// End of the worker's lease.
    worker_lease_end: u8,
    /// Whether the task runs on the worker.
    task_present: bool,
    controllers: [Controller; 2],
    /// A heartbeat that is delayed in the network.
    delayed: Option<Heartbeat>,
    /// Whether another heartbeat may be delayed.
    delay_left: bool,
    /// Faults that may still occur: changes of the state service's reachability, ends of processes,
    /// and suspensions of processes.
    faults_left: (u8, u8, u8),
    /// What has become of the task's first attempt, if the run follows it.
    first_attempt: Option<FirstAttempt>,
    /// The property that is violated in this state, if any.
    violation: Option<&'static str>,
}

/// The task's first attempt. All that was ever sent to the worker directly may arrive again at any
/// time: a request for a heartbeat, or with a mutant the start itself.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct FirstAttempt {
    /// Token under which the direct command was sent.
    token: u8,
    /// Whether the incarnation of the worker that the command names is over.
    incarnation_over: bool,
    /// Whether an answer with the start is on its way to the worker.
    offered: bool,
    /// Whether the attempt has failed and the worker still holds it.
    ended_held: bool,
    /// Whether the owner has assigned the task to another machine, after its failure or loss.
    assigned_elsewhere: bool,
    /// Whether the machine may still begin anew.
    may_restart: bool,
    /// Whether the owner knows that the machine has begun anew, or has lost the attempt.
    known_absent: bool,
}

/// Rules that are omitted.
#[derive(Clone, Copy, Default)]
struct Mutant {
    /// A lease is extended whatever the worker's token is.
    accepts_any_token: bool,
    /// A lease is extended though the other controller does not confirm that it knows of all
    /// cancellations, or its list does not reach back far enough.
    needs_no_confirmation: bool,
    /// A lease is extended though the cancellation was announced.
    ignores_announcement: bool,
    /// An owner relies on the outage though it may have missed cancellations.
    needs_no_coverage: bool,
    /// The newest heartbeat, instead of the one that extended the coverage, decides whether the
    /// sender was cut off in a gap between the coverage and a list.
    any_heartbeat_covers_gap: bool,
    /// Cancellations are confirmed to users immediately.
    confirms_immediately: bool,
    /// A gap between the coverage and the start of a list is overlooked.
    overlooks_gap: bool,
    /// A controller does not list cancellations that it learnt of by heartbeats.
    does_not_relay: bool,
    /// A controller ignores the cancellations that heartbeats list.
    ignores_list: bool,
    /// Starts are sent directly, and an ended attempt is cleared under a higher token than that of its
    /// start.
    starts_directly: bool,
    /// The attempt counts as absent although an answer with its start is on its way.
    ignores_offer: bool,
}

/// Returns the state in which the first controller owns the shard and the state service is
/// reachable.
fn initial_state(faults_left: (u8, u8, u8), may_delay: bool) -> State {
    let controller = |token| Controller {
        suspended: false,
        has_read: true,
        last_read: 0,
        started: 0,
        gapless_since: 0,
        cut_off_reported: 0,
        newest_received: Some(0),
        newest_acknowledged: Some(0),
        token,
        shard_lease: (1, 0),
        answered: 0,
        token_confirmed: token > 0,
        learnt: None,
        announced: false,
        listed: false,
        peer_report: Some(PeerReport {
            shard_lease: (1, 0),
            ..PeerReport::default()
        }),
        last_contact: 0,
        covered_to: 0,
        covered_cut_off: false,
    };
    State {
        now: 0,
        reachable: [true, true],
        shard_lease: (1, 0),
        cancelled: None,
        confirmed: None,
        worker_token: 1,
        worker_lease_end: WORKER_LEASE,
        task_present: true,
        controllers: [controller(1), controller(0)],
        delayed: None,
        delay_left: may_delay,
        faults_left,
        first_attempt: None,
        violation: None,
    }
}

impl Controller {
    /// Returns whether the other controller recently reported that it is cut off too.
    fn all_cut_off(&self, now: u8) -> bool {
        self.peer_report
            .is_some_and(|report| report.cut_off && now - report.sent_at <= REPORT_VALIDITY)
    }

    /// Returns whether every cancellation that the other controller may have taken was reported by
    /// it or read.
    fn knows_all_cancellations(&self) -> bool {
        self.last_contact <= self.covered_to.max(self.last_read)
    }

    /// Returns whether the controller may confirm to the user the cancellation that it has learnt
    /// of.
    fn may_confirm(&self, now: u8) -> bool {
        let acknowledged_since = |at: u8| self.newest_acknowledged.is_some_and(|sent| sent > at);
        let listed = self.learnt.filter(|_| self.listed);
        now > self.cut_off_reported + CONFIRMATION_PAUSE
            || acknowledged_since(self.cut_off_reported)
            || listed.is_some_and(acknowledged_since)
    }
}

/// Returns the heartbeat that a controller would send now.
fn build_heartbeat(state: &State, from: usize) -> Heartbeat {
    let controller = &state.controllers[from];
    let cut_off = !state.reachable[from];
    Heartbeat {
        from,
        report: PeerReport {
            sent_at: 0,
            cut_off,
            complete: controller.has_read
                && cut_off
                && controller.all_cut_off(state.now)
                && controller.knows_all_cancellations(),
            shard_lease: controller.shard_lease,
        },
        since_read: controller
            .has_read
            .then(|| state.now - controller.last_read),
        lists_cancellation: controller.listed
            && controller
                .learnt
                .is_some_and(|at| state.now - at <= LIST_REACH),
        list_reach: LIST_REACH.min(state.now - controller.gapless_since),
        sent: state.now,
        acknowledges: controller.newest_received,
    }
}

/// Returns a controller's heartbeat, and records in its state what the heartbeat reports.
fn send_heartbeat(state: &mut State, from: usize) -> Heartbeat {
    let heartbeat = build_heartbeat(state, from);
    if heartbeat.report.cut_off {
        state.controllers[from].cut_off_reported = state.now;
    }
    heartbeat
}

/// Delivers a heartbeat to its receiver.
fn receive_heartbeat(state: &mut State, heartbeat: Heartbeat, mutant: Mutant) {
    let (now, controller) = (state.now, &mut state.controllers[1 - heartbeat.from]);
    if heartbeat.lists_cancellation && !mutant.ignores_list {
        controller.announced = true;
        // The controller lists the cancellation in its own heartbeats too.
        if controller.learnt.is_none() && !mutant.does_not_relay {
            (controller.learnt, controller.listed) = (Some(now), true);
        }
    }
    controller.newest_received = controller.newest_received.max(Some(heartbeat.sent));
    controller.newest_acknowledged = controller.newest_acknowledged.max(heartbeat.acknowledges);
    let acknowledged_sent_at = heartbeat.acknowledges;
    let list_from = now.saturating_sub(heartbeat.list_reach);
    let last_contact = heartbeat
        .since_read
        .map_or(controller.last_contact, |since_read| {
            now.saturating_sub(since_read)
        });
    controller.last_contact = controller.last_contact.max(last_contact);
    let was_cut_off = if mutant.any_heartbeat_covers_gap {
        controller.peer_report.is_some_and(|report| report.cut_off)
    } else {
        controller.covered_cut_off
    };
    // The comparison is not strict because the model's clock does not order events within a step.
    let was_cut_off = was_cut_off && list_from <= controller.covered_to + CONFIRMATION_PAUSE;
    if list_from < controller.covered_to.max(controller.last_read)
        || list_from == 0
        || was_cut_off
        || mutant.overlooks_gap
    {
        if acknowledged_sent_at.is_some_and(|sent_at| sent_at >= controller.covered_to) {
            (controller.covered_to, controller.covered_cut_off) =
                (acknowledged_sent_at.unwrap_or(0), heartbeat.report.cut_off);
        }
    } else {
        controller.last_contact = controller.last_contact.max(list_from + 1);
    }
    if let Some(sent_at) = acknowledged_sent_at {
        let known = controller.peer_report.map_or(0, |report| report.sent_at);
        controller.peer_report = Some(PeerReport {
            sent_at: sent_at.max(known),
            ..heartbeat.report
        });
    }
}

/// Applies what happens without delay: a watch updates each running controller that reaches the
/// state service and has read it before, and the user receives the confirmation as soon as any
/// controller that learnt of the cancellation may give it. A controller that is cut off may give it
/// too, which is the worst case because the deadline counts from the confirmation.
fn apply_immediate_effects(state: &mut State, mutant: Mutant) {
    for index in 0..2 {
        let controller = &mut state.controllers[index];
        if state.reachable[index] && !controller.suspended && controller.has_read {
            (controller.last_read, controller.shard_lease) = (state.now, state.shard_lease);
            if controller.token != state.shard_lease.0 {
                controller.token = 0;
            }
            if state.cancelled.is_some() && controller.learnt.is_none() {
                (controller.learnt, controller.listed) = (Some(state.now), true);
            }
        }
    }
    let has_learnt =
        |controller: &&Controller| controller.learnt.is_some() && !controller.suspended;
    let may_confirm =
        |controller: &Controller| controller.may_confirm(state.now) || mutant.confirms_immediately;
    if state.confirmed.is_none() && state.controllers.iter().filter(has_learnt).any(may_confirm) {
        state.confirmed = Some(state.now);
    }
    // Values that lead to the same behavior are made equal, to reduce the number of states.
    for controller in &mut state.controllers {
        let latest_relevant = controller
            .cut_off_reported
            .max(controller.learnt.unwrap_or(0))
            + 1;
        controller.newest_acknowledged = controller
            .newest_acknowledged
            .map(|sent| sent.min(latest_relevant));
        controller.newest_received = controller
            .newest_received
            .filter(|at| state.now - at <= REPORT_VALIDITY);
    }
}

/// Lets a controller handle a heartbeat of the worker. Returns whether the controller answers it.
fn answer_worker(state: &mut State, index: usize, mutant: Mutant) -> bool {
    let (now, worker_token) = (state.now, state.worker_token);
    let controller = &mut state.controllers[index];
    let covers_all = controller.knows_all_cancellations() || mutant.needs_no_coverage;
    let is_outage = controller.all_cut_off(now) && covers_all;
    if controller.has_read
        && controller.token > 0
        && controller.token >= worker_token
        && (now - controller.last_read <= CUT_OFF_BOUND || is_outage)
    {
        controller.token_confirmed |= worker_token == controller.token;
        controller.answered = now;
        state.worker_token = controller.token;
        state.worker_lease_end = now + WORKER_LEASE;
        let is_cancelled = controller.learnt.is_some() || controller.announced;
        if let Some(attempt) = &mut state.first_attempt {
            // A newer heartbeat shows that the last answer was executed or dropped.
            attempt.offered = false;
            let is_absent = !state.task_present && !attempt.ended_held;
            let shows_own_token = worker_token == controller.token;
            attempt.known_absent |= is_absent && shows_own_token;
            let may_clear = controller.token > attempt.token || !mutant.starts_directly;
            let is_end_durable = attempt.assigned_elsewhere || is_cancelled;
            attempt.ended_held &= !(is_end_durable && may_clear);
            attempt.ended_held |= is_cancelled && state.task_present;
            let is_due = is_absent && !attempt.assigned_elsewhere && !is_cancelled;
            let is_fresh = state.reachable[index];
            if is_due && is_fresh && shows_own_token && !mutant.starts_directly {
                (attempt.offered, attempt.known_absent) = (true, false);
            }
        }
        state.task_present &= !is_cancelled;
        return true;
    }
    let peer_confirms = controller.peer_report.is_some_and(|report| {
        let is_own = report.shard_lease == (worker_token, index);
        now - report.sent_at <= REPORT_VALIDITY
            && (report.complete || mutant.needs_no_confirmation)
            && (is_own || mutant.accepts_any_token)
    });
    let list_reaches_back = now - state.controllers[1 - index].gapless_since > WORKER_LEASE
        || mutant.needs_no_confirmation;
    let controller = &state.controllers[index];
    if !controller.has_read
        && controller.all_cut_off(now)
        && peer_confirms
        && list_reaches_back
        && (!controller.announced || mutant.ignores_announcement)
    {
        state.worker_lease_end = now + WORKER_LEASE;
        return true;
    }
    false
}

/// The task's first attempt fails.
fn fail_task(state: &mut State) -> bool {
    let is_first = state.task_present;
    if let Some(attempt) = state.first_attempt.as_mut().filter(|_| is_first) {
        (state.task_present, attempt.ended_held) = (false, true);
    }
    is_first
}

/// The worker carries out a start, unless it holds the attempt.
fn start_task(state: &mut State, attempt: FirstAttempt) -> bool {
    let is_started = !attempt.ended_held && !state.task_present;
    state.task_present |= is_started;
    if is_started && attempt.assigned_elsewhere {
        state.violation = Some("it is on two machines");
    }
    is_started
}

/// A copy of a direct command arrives: the worker carries it out if the token and the incarnation
/// match. A request for a heartbeat changes nothing but the worker's token.
fn deliver_copy(state: &mut State, mutant: Mutant) -> bool {
    let Some(attempt) = state.first_attempt else {
        return false;
    };
    if attempt.token < state.worker_token || attempt.incarnation_over {
        return false;
    }
    let is_token_new = attempt.token > state.worker_token;
    state.worker_token = attempt.token;
    let is_started = mutant.starts_directly && start_task(state, attempt);
    is_token_new || is_started
}

/// The answer with the start arrives at the worker, which still waits for it.
fn deliver_offer(state: &mut State) -> bool {
    let Some(attempt) = state.first_attempt.filter(|attempt| attempt.offered) else {
        return false;
    };
    if let Some(attempt) = &mut state.first_attempt {
        attempt.offered = false;
    }
    start_task(state, attempt)
}

/// The worker drops the answer with the start, as it arrives too late.
fn drop_offer(state: &mut State) -> bool {
    let attempt = state.first_attempt.as_mut();
    attempt.is_some_and(|attempt| std::mem::take(&mut attempt.offered))
}

/// The machine begins anew: it holds nothing, has seen no token, and is in its first incarnation. The
/// answer on its way is lost with its connection.
fn restart_machine(state: &mut State) -> bool {
    let Some(attempt) = state.first_attempt.as_mut().filter(|a| a.may_restart) else {
        return false;
    };
    (attempt.may_restart, attempt.offered, attempt.ended_held) = (false, false, false);
    attempt.incarnation_over = false;
    (state.task_present, state.worker_token) = (false, 0);
    state.worker_lease_end = state.now + WORKER_LEASE;
    true
}

/// The owner renews the shard's lease under a higher token; what the worker has shown stays proven.
fn raise_token(state: &mut State, index: usize) -> bool {
    let is_possible = state.shard_lease.0 < 3;
    if is_possible {
        state.shard_lease.0 += 1;
        let controller = &mut state.controllers[index];
        (controller.token, controller.shard_lease) = (state.shard_lease.0, state.shard_lease);
    }
    is_possible
}

/// The owner, to whom the worker has shown its token, assigns the task to another machine: it has
/// failed, or it is absent and no answer with its start is on its way.
fn assign_elsewhere(state: &mut State, index: usize, mutant: Mutant) -> bool {
    let is_confirmed = state.controllers[index].token_confirmed;
    let Some(attempt) = &mut state.first_attempt else {
        return false;
    };
    let is_absent = attempt.known_absent || (attempt.offered && mutant.ignores_offer);
    let is_gone = attempt.ended_held || is_absent;
    let is_due = is_confirmed && is_gone && !attempt.assigned_elsewhere;
    attempt.assigned_elsewhere |= is_due;
    is_due
}

/// Returns the states that may follow a state; none once it is a violation.
fn next_states(state: &State, mutant: Mutant) -> Vec<State> {
    let mut successors = Vec::new();
    if state.violation.is_some() {
        return successors;
    }
    let mut add = |apply: &dyn Fn(&mut State) -> bool| {
        let mut successor = *state;
        if apply(&mut successor) {
            apply_immediate_effects(&mut successor, mutant);
            successors.push(successor);
        }
    };
    add(&|successor| {
        successor.now += 1;
        let is_lease_over = successor.now > successor.worker_lease_end;
        successor.task_present &= !is_lease_over;
        if let Some(attempt) = &mut successor.first_attempt {
            attempt.incarnation_over |= is_lease_over;
            attempt.ended_held &= !is_lease_over;
            attempt.offered &= !is_lease_over;
        }
        // Times too old to matter are made equal, to reduce the number of states.
        for controller in &mut successor.controllers {
            controller.peer_report = controller
                .peer_report
                .filter(|report| successor.now - report.sent_at <= REPORT_VALIDITY);
            controller.answered = controller
                .answered
                .max(successor.now.saturating_sub(WORKER_LEASE + 1));
            controller.learnt = controller
                .learnt
                .map(|at| at.max(successor.now.saturating_sub(LIST_REACH + 1)));
            controller.started = controller
                .started
                .max(successor.now.saturating_sub(LIST_REACH + 1));
            controller.gapless_since = controller
                .gapless_since
                .max(successor.now.saturating_sub(LIST_REACH + 1));
            controller.cut_off_reported = controller
                .cut_off_reported
                .max(successor.now.saturating_sub(CONFIRMATION_PAUSE + 1));
        }
        if successor.task_present
            && successor
                .confirmed
                .is_some_and(|at| successor.now > at + CANCEL_DEADLINE)
        {
            successor.violation = Some("it runs though cancelled");
        }
        // Without the task, and without a start that may still be carried out, nothing can be violated
        // any more.
        let may_start = |attempt: FirstAttempt| {
            let is_up = !attempt.incarnation_over || attempt.may_restart;
            attempt.offered || is_up && (!attempt.assigned_elsewhere || mutant.starts_directly)
        };
        let may_be_violated = successor.task_present
            || successor.violation.is_some()
            || successor.first_attempt.is_some_and(may_start);
        successor.now <= LAST_STEP && may_be_violated
    });
    add(&|successor| {
        // Heartbeats are exchanged twice, so that each controller acknowledges one of the other's.
        for _ in 0..2 {
            let heartbeats = [send_heartbeat(successor, 0), send_heartbeat(successor, 1)];
            heartbeats
                .into_iter()
                .for_each(|heartbeat| receive_heartbeat(successor, heartbeat, mutant));
        }
        !state.controllers[0].suspended && !state.controllers[1].suspended && *successor != *state
    });
    add(&|successor| {
        successor.reachable = [!state.reachable[0], !state.reachable[1]];
        successor.faults_left.0 = successor.faults_left.0.wrapping_sub(1);
        state.faults_left.0 > 0 && state.reachable[0] == state.reachable[1]
    });
    for index in 0..2 {
        add(&|successor| {
            successor.reachable[index] = !successor.reachable[index];
            successor.faults_left.0 = successor.faults_left.0.wrapping_sub(1);
            state.faults_left.0 > 0
        });
        add(&|successor| {
            let restarted = Controller {
                suspended: false,
                has_read: false,
                last_read: 0,
                started: successor.now,
                gapless_since: successor.now,
                cut_off_reported: successor.now,
                newest_received: None,
                newest_acknowledged: None,
                token: 0,
                shard_lease: (0, 0),
                answered: 0,
                token_confirmed: false,
                learnt: None,
                announced: false,
                listed: false,
                peer_report: None,
                last_contact: successor.now,
                covered_to: 0,
                covered_cut_off: false,
            };
            successor.controllers[index] = restarted;
            successor.faults_left.1 = successor.faults_left.1.wrapping_sub(1);
            state.faults_left.1 > 0 && state.now > 0
        });
        let controller = &state.controllers[index];
        if controller.suspended {
            add(&|successor| {
                successor.controllers[index].suspended = false;
                true
            });
            continue;
        }
        add(&|successor| {
            successor.controllers[index].suspended = true;
            successor.faults_left.2 = successor.faults_left.2.wrapping_sub(1);
            state.faults_left.2 > 0
        });
        // A process may make its first read at any time after its start.
        add(&|successor| {
            let controller = &mut successor.controllers[index];
            controller.has_read = true;
            // The first read does not show when the job was cancelled, so heartbeats do not list
            // it.
            if state.cancelled.is_some() {
                (controller.learnt, controller.listed) = (Some(state.now), false);
            }
            controller.gapless_since = state.now;
            state.reachable[index] && !state.controllers[index].has_read
        });
        let is_fresh = controller.has_read && state.reachable[index];
        // A controller that reads the current state acquires the shard's lease. This stands for an
        // acquisition after the owner's lease has expired, which the model does not check.
        add(&|successor| {
            successor.shard_lease = (state.shard_lease.0 + 1, index);
            let controller = &mut successor.controllers[index];
            (
                controller.token,
                controller.shard_lease,
                controller.token_confirmed,
                controller.answered,
            ) = (
                successor.shard_lease.0,
                successor.shard_lease,
                false,
                state.now,
            );
            is_fresh && controller.token != state.shard_lease.0 && state.shard_lease.0 < 3
        });
        add(&|successor| {
            (successor.cancelled, successor.controllers[index].learnt) =
                (Some(state.now), Some(state.now));
            successor.controllers[index].listed = true;
            is_fresh && state.cancelled.is_none()
        });
        // The owner considers the worker's lease expired, and assigns the task to another machine.
        add(&|successor| {
            if state.task_present {
                successor.violation = Some("it is on two machines");
            }
            let lease_is_over = controller.token_confirmed
                && controller.token == state.shard_lease.0
                && state.now > controller.answered + WORKER_LEASE;
            is_fresh && lease_is_over && state.task_present
        });
        add(&|successor| {
            let is_up =
                state.task_present || state.first_attempt.is_some_and(|a| !a.incarnation_over);
            is_up && answer_worker(successor, index, mutant) && *successor != *state
        });
        if state.first_attempt.is_some() {
            let is_owner = is_fresh && controller.token == state.shard_lease.0;
            add(&|successor| is_owner && raise_token(successor, index));
            add(&|successor| is_owner && assign_elsewhere(successor, index, mutant));
        }
        add(&|successor| {
            (successor.delayed, successor.delay_left) =
                (Some(send_heartbeat(successor, index)), false);
            state.delay_left
        });
    }
    if state.first_attempt.is_some() {
        add(&fail_task);
        add(&|successor| deliver_copy(successor, mutant));
        add(&deliver_offer);
        add(&drop_offer);
        add(&restart_machine);
    }
    if let Some(heartbeat) = state
        .delayed
        .filter(|heartbeat| !state.controllers[1 - heartbeat.from].suspended)
    {
        add(&|successor| {
            successor.delayed = None;
            // A delayed heartbeat does not reach a process that started after it was sent.
            if state.controllers[1 - heartbeat.from].started <= heartbeat.sent {
                receive_heartbeat(successor, heartbeat, mutant);
            }
            true
        });
    }
    successors
}

/// Faults of a run: changes of the state service's reachability, ends and suspensions of processes,
/// and whether a heartbeat may be delayed.
type Faults = ((u8, u8, u8), bool);

/// Controllers that the state service refuses when a run begins. They have exchanged heartbeats
/// that report it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Refused {
    Nobody,
    Owner,
    All,
}

/// Returns the initial state of a run, after the exchange of heartbeats about who is refused.
fn initial_state_of_run(faults: Faults, refused: Refused, mutant: Mutant) -> State {
    let mut state = initial_state(faults.0, faults.1);
    state.reachable = match refused {
        Refused::Nobody => return state,
        Refused::Owner => [false, true],
        Refused::All => [false, false],
    };
    let heartbeats = [send_heartbeat(&mut state, 0), send_heartbeat(&mut state, 1)];
    heartbeats
        .into_iter()
        .for_each(|heartbeat| receive_heartbeat(&mut state, heartbeat, mutant));
    state
}

/// Returns the number of states explored up to the first violation, and that violation.
fn explore(faults: Faults, refused: Refused, mutant: Mutant) -> (usize, Option<&'static str>) {
    explore_from(initial_state_of_run(faults, refused, mutant), mutant)
}

fn explore_from(initial: State, mutant: Mutant) -> (usize, Option<&'static str>) {
    let mut count = 0;
    let found = bfs_reach(initial, |state| next_states(state, mutant))
        .inspect(|_| count += 1)
        .take(MAX_STATES)
        .find_map(|state| state.violation);
    (count, found)
}

/// Explores all runs in parallel, as each takes a few seconds. Returns the result of each run.
fn explore_all(runs: &[(&str, Faults, Refused, Mutant)]) -> Vec<String> {
    std::thread::scope(|scope| {
        let runs = runs.iter().map(|&(name, faults, refused, mutant)| {
            scope.spawn(move || {
                let (count, violation) = explore(faults, refused, mutant);
                println!("{name} {faults:?}, refused {refused:?}: {count} states");
                format!("{name}: {}", violation.unwrap_or("good"))
            })
        });
        let runs: Vec<_> = runs.collect();
        runs.into_iter().filter_map(|run| run.join().ok()).collect()
    })
}

/// In an outage of the state service a worker's lease must not be extended for a cancelled task,
/// nor after the task was assigned to another machine. The rules hold when the reachability of the
/// state service changes once and a process ends or is suspended, and each of the rules is needed.
#[test]
fn leases_in_an_outage() {
    let rules = Mutant::default();
    let ignores_announcement = Mutant {
        ignores_announcement: true,
        ..rules
    };
    let needs_no_confirmation = Mutant {
        needs_no_confirmation: true,
        ..rules
    };
    let needs_no_coverage = Mutant {
        needs_no_coverage: true,
        ..rules
    };
    let accepts_any_token = Mutant {
        accepts_any_token: true,
        ..rules
    };
    let runs = [
        ("rules", ((1, 1, 0), false), Refused::Nobody, rules),
        ("rules", ((1, 0, 1), false), Refused::Nobody, rules),
        (
            "told",
            ((1, 1, 0), false),
            Refused::Nobody,
            ignores_announcement,
        ),
        (
            "word",
            ((1, 2, 0), false),
            Refused::Nobody,
            needs_no_confirmation,
        ),
        (
            "outage",
            ((2, 1, 0), false),
            Refused::Nobody,
            needs_no_coverage,
        ),
        (
            "token",
            ((2, 1, 0), false),
            Refused::Nobody,
            accepts_any_token,
        ),
    ];
    let expected = [
        "rules: good",
        "rules: good",
        "told: it runs though cancelled",
        "word: it runs though cancelled",
        "outage: it runs though cancelled",
        "token: it is on two machines",
    ];
    assert_eq!(explore_all(&runs), expected);
}

/// An owner must not rely on an outage when it may have missed a cancellation from just before it.
/// Either the owner alone loses the state service, then all controllers do, and the one that
/// confirmed a cancellation in between may end and restart; or all have lost it, and one controller
/// reaches it for a moment.
#[test]
fn cancellations_in_gap_before_outage() {
    let rules = Mutant::default();
    let any_heartbeat_covers_gap = Mutant {
        any_heartbeat_covers_gap: true,
        ..rules
    };
    let overlooks_gap = Mutant {
        overlooks_gap: true,
        ..rules
    };
    let ignores_list = Mutant {
        ignores_list: true,
        ..rules
    };
    let does_not_relay = Mutant {
        does_not_relay: true,
        ..rules
    };
    let confirms_immediately = Mutant {
        confirms_immediately: true,
        ..rules
    };
    let runs = [
        ("rules", ((1, 1, 0), false), Refused::Owner, rules),
        ("rules", ((2, 1, 0), false), Refused::All, rules),
        (
            "any heartbeat",
            ((1, 1, 0), false),
            Refused::Owner,
            any_heartbeat_covers_gap,
        ),
        ("gap", ((1, 1, 0), false), Refused::Owner, overlooks_gap),
        ("list", ((1, 0, 0), false), Refused::Owner, ignores_list),
        ("on", ((2, 1, 0), false), Refused::All, does_not_relay),
        (
            "at once",
            ((2, 1, 0), false),
            Refused::All,
            confirms_immediately,
        ),
    ];
    let expected = [
        "rules: good",
        "rules: good",
        "any heartbeat: it runs though cancelled",
        "gap: it runs though cancelled",
        "list: it runs though cancelled",
        "on: it runs though cancelled",
        "at once: it runs though cancelled",
    ];
    assert_eq!(explore_all(&runs), expected);
}

/// A copy of a direct command must not run a task again that has failed or was lost and is assigned
/// elsewhere, nor one that was cancelled, while the machine begins anew, answers with starts arrive or
/// are dropped, and owners renew their lease under higher tokens, end, and lose the state service. A
/// start that is sent directly runs it again, also if the attempt is cleared under a higher token.
#[test]
fn copies_of_direct_commands() {
    let rules = Mutant::default();
    let starts_directly = Mutant {
        starts_directly: true,
        ..rules
    };
    let ignores_offer = Mutant {
        ignores_offer: true,
        ..rules
    };
    assert_eq!(explore_copies(((0, 1, 0), false), false, rules), None);
    assert_eq!(explore_copies(((1, 0, 0), false), true, rules), None);
    for mutant in [starts_directly, ignores_offer] {
        assert_eq!(
            explore_copies(((0, 0, 0), false), true, mutant),
            Some("it is on two machines")
        );
    }
}

/// Returns the violation found while copies of direct commands arrive and the machine begins anew, if
/// it may.
fn explore_copies(faults: Faults, may_restart: bool, mutant: Mutant) -> Option<&'static str> {
    let mut state = initial_state_of_run(faults, Refused::Nobody, mutant);
    state.first_attempt = Some(FirstAttempt {
        token: 1,
        incarnation_over: false,
        offered: false,
        ended_held: false,
        assigned_elsewhere: false,
        may_restart,
        known_absent: false,
    });
    let (count, violation) = explore_from(state, mutant);
    println!("copies {faults:?}: {count} states");
    violation
}

/// As `copies_of_direct_commands`, while both the machine and a controller begin anew. This test takes
/// some gigabytes of memory and a minute.
#[test]
#[ignore]
fn copies_of_direct_commands_with_more_faults() {
    let rules = Mutant::default();
    assert_eq!(explore_copies(((0, 1, 0), false), true, rules), None);
}

/// Explores more faults at once than `leases_in_an_outage`. This test takes some gigabytes of
/// memory and a minute or two.
#[test]
#[ignore]
fn leases_in_an_outage_with_more_faults() {
    let rules = Mutant::default();
    for faults in [((2, 0, 1), false), ((2, 1, 0), false), ((1, 1, 0), true)] {
        let run = ("rules", faults, Refused::Nobody, rules);
        assert_eq!(explore_all(&[run]), ["rules: good"]);
    }
}
