//! A model of leases in an outage, checked over every interleaving: two controllers,
//! one worker with one task, a state service that refuses either or both, controllers
//! that end, start and stand still, heartbeats that come at any time or late, one
//! cancellation, which is taken first and told to its user then or never. What is
//! checked: the task is never given to another machine while it is there, and is gone
//! `CANCEL` after its job's user was told.
//!
//! The rules are those of `Controller::answering_token`, `may_extend_lease`,
//! `told_of_cancellations`, `may_tell_cancelled` and `expire_leases`; each mutant leaves one out
//! and must be caught.

use pathfinding::directed::bfs::bfs_reach;

/// In steps of the model's clock: a worker's lease, the time within which a cancelled
/// task must be gone, how long a heartbeat is relied on, and how far back its list reaches.
const LEASE: u8 = 1;
const CANCEL: u8 = 3;
const RELIED: u8 = 1;
const TOLD: u8 = 2;
/// How soon after the last heartbeat of a process that was cut off the next one's start may
/// be; who has been cut off tells nobody of a cancellation for longer.
const RESTART: u8 = 1;
/// An owner alone answers for this long without news.
const BOUND: u8 = CANCEL - LEASE - 1;
const END: u8 = 5;
/// States beyond which a run is given up; none of these comes near.
const MOST: usize = 60_000_000;

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
struct Told {
    /// When it was made at the earliest: when ours was that it names.
    at: u8,
    cut: bool,
    complete: bool,
    /// The claim as its sender knows it: token and owner.
    claim: (u8, usize),
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Controller {
    frozen: bool,
    /// Whether it has read the state since its start, and when it last did.
    read: bool,
    seen: u8,
    started: u8,
    /// Since when its list of cancellations has no gap.
    since: u8,
    /// When it last said that it was cut off, or began.
    cut_at: u8,
    /// When the newest of the other's heartbeats was made that it has heard, and the newest
    /// of its own that the other has named.
    newest: Option<u8>,
    named: Option<u8>,
    /// The token of its own claim; 0: none.
    token: u8,
    claim: (u8, usize),
    /// When it last answered the worker, and whether the worker showed that token.
    answered: u8,
    shown: bool,
    /// When it learnt of the cancellation, or that it was told of one.
    learnt: Option<u8>,
    told: bool,
    /// Whether its heartbeats name the cancellation: it did not find it in its first read.
    listed: bool,
    /// Of the other: the last heartbeat, its last contact, up to when all is known.
    heard: Option<Told>,
    contact: u8,
    covered: u8,
    /// Whether the heartbeat that told so said that its sender was cut off.
    covered_cut: bool,
}

/// A heartbeat on its way.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct Heartbeat {
    from: usize,
    said: Told,
    silent: Option<u8>,
    cancelled: bool,
    reach: u8,
    /// When it was made, and the newest of its receiver's that it names.
    made: u8,
    names: Option<u8>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct State {
    t: u8,
    up: [bool; 2],
    claim: (u8, usize),
    cancelled: Option<u8>,
    /// When its user was told.
    told_at: Option<u8>,
    /// The worker's highest token, the end of its lease, and whether the task is there.
    fencing_token: u8,
    lease: u8,
    there: bool,
    c: [Controller; 2],
    held: Option<Heartbeat>,
    held_left: bool,
    /// Faults left: changes of the service, ends, freezes.
    left: (u8, u8, u8),
    bad: Option<&'static str>,
}

#[derive(Clone, Copy, Default)]
struct Mutant {
    any_token: bool,
    without_word: bool,
    though_told: bool,
    outage_is_enough: bool,
    /// The newest heartbeat decides whether a gap is one of a process that was cut off.
    any_beat_is_its_word: bool,
    /// Users are told at once.
    tells_at_once: bool,
    /// A gap between what was known and where a list begins is overlooked.
    without_gap: bool,
    /// What a heartbeat names is not told on.
    not_told_on: bool,
    /// What a heartbeat names is not stopped.
    without_list: bool,
}

fn start(left: (u8, u8, u8), held: bool) -> State {
    let c = |token| Controller {
        frozen: false,
        read: true,
        seen: 0,
        started: 0,
        since: 0,
        cut_at: 0,
        newest: Some(0),
        named: Some(0),
        token,
        claim: (1, 0),
        answered: 0,
        shown: token > 0,
        learnt: None,
        told: false,
        listed: false,
        heard: Some(Told {
            claim: (1, 0),
            ..Told::default()
        }),
        contact: 0,
        covered: 0,
        covered_cut: false,
    };
    State {
        t: 0,
        up: [true, true],
        claim: (1, 0),
        cancelled: None,
        told_at: None,
        fencing_token: 1,
        lease: LEASE,
        there: true,
        c: [c(1), c(0)],
        held: None,
        held_left: held,
        left,
        bad: None,
    }
}

impl Controller {
    fn all_cut(&self, t: u8) -> bool {
        self.heard.is_some_and(|h| h.cut && t - h.at <= RELIED)
    }

    fn knows(&self) -> bool {
        self.contact <= self.covered.max(self.seen)
    }

    /// Whether its user may be told of the cancellation that it has learnt of.
    fn may_tell(&self, t: u8) -> bool {
        let named_since = |at: u8| self.named.is_some_and(|n| n > at);
        let listed = self.learnt.filter(|_| self.listed);
        t > self.cut_at + RESTART || named_since(self.cut_at) || listed.is_some_and(named_since)
    }
}

fn heartbeat(s: &State, from: usize) -> Heartbeat {
    let c = &s.c[from];
    let cut = !s.up[from];
    Heartbeat {
        from,
        said: Told {
            at: 0,
            cut,
            complete: c.read && cut && c.all_cut(s.t) && c.knows(),
            claim: c.claim,
        },
        silent: c.read.then(|| s.t - c.seen),
        cancelled: c.listed && c.learnt.is_some_and(|at| s.t - at <= TOLD),
        reach: TOLD.min(s.t - c.since),
        made: s.t,
        names: c.newest,
    }
}

/// One says what it has to say.
fn say(s: &mut State, from: usize) -> Heartbeat {
    let b = heartbeat(s, from);
    if b.said.cut {
        s.c[from].cut_at = s.t;
    }
    b
}

fn hear(s: &mut State, b: Heartbeat, mutant: Mutant) {
    let (t, c) = (s.t, &mut s.c[1 - b.from]);
    if b.cancelled && !mutant.without_list {
        c.told = true;
        // It tells it on.
        if c.learnt.is_none() && !mutant.not_told_on {
            (c.learnt, c.listed) = (Some(t), true);
        }
    }
    c.newest = c.newest.max(Some(b.made));
    c.named = c.named.max(b.names);
    let made = b.names;
    let from = t.saturating_sub(b.reach);
    let contact = b
        .silent
        .map_or(c.contact, |silent| t.saturating_sub(silent));
    c.contact = c.contact.max(contact);
    let word = if mutant.any_beat_is_its_word {
        c.heard.is_some_and(|h| h.cut)
    } else {
        c.covered_cut
    };
    // The model's clock cannot tell what came first within a step.
    let word = word && from <= c.covered + RESTART;
    if from < c.covered.max(c.seen) || from == 0 || word || mutant.without_gap {
        if made.is_some_and(|made| made >= c.covered) {
            (c.covered, c.covered_cut) = (made.unwrap_or(0), b.said.cut);
        }
    } else {
        c.contact = c.contact.max(from + 1);
    }
    if let Some(at) = made {
        let known = c.heard.map_or(0, |h| h.at);
        c.heard = Some(Told {
            at: at.max(known),
            ..b.said
        });
    }
}

/// The watch tells at once whoever it reaches, runs, and has read before. The user is
/// told as soon as anybody who knows may do so, also while cut off: that is the worst, as
/// the time runs from then.
fn settle(s: &mut State, mutant: Mutant) {
    for i in 0..2 {
        let c = &mut s.c[i];
        if s.up[i] && !c.frozen && c.read {
            (c.seen, c.claim) = (s.t, s.claim);
            if c.token != s.claim.0 {
                c.token = 0;
            }
            if s.cancelled.is_some() && c.learnt.is_none() {
                (c.learnt, c.listed) = (Some(s.t), true);
            }
        }
    }
    let knows = |c: &&Controller| c.learnt.is_some() && !c.frozen;
    let tells = |c: &Controller| c.may_tell(s.t) || mutant.tells_at_once;
    if s.told_at.is_none() && s.c.iter().filter(knows).any(tells) {
        s.told_at = Some(s.t);
    }
    // What differs without a difference is all alike.
    for c in &mut s.c {
        let matters = c.cut_at.max(c.learnt.unwrap_or(0)) + 1;
        c.named = c.named.map(|n| n.min(matters));
        c.newest = c.newest.filter(|at| s.t - at <= RELIED);
    }
}

/// The worker reports to a controller, which answers or does not.
fn report(s: &mut State, i: usize, mutant: Mutant) -> bool {
    let (t, fencing_token) = (s.t, s.fencing_token);
    let c = &mut s.c[i];
    let knows = c.knows() || mutant.outage_is_enough;
    let outage = c.all_cut(t) && knows;
    if c.read && c.token > 0 && c.token >= fencing_token && (t - c.seen <= BOUND || outage) {
        c.shown |= fencing_token == c.token;
        c.answered = t;
        s.fencing_token = c.token;
        s.lease = t + LEASE;
        if c.learnt.is_some() || c.told {
            s.there = false;
        }
        return true;
    }
    let word = c.heard.is_some_and(|h| {
        let own = h.claim == (fencing_token, i);
        t - h.at <= RELIED && (h.complete || mutant.without_word) && (own || mutant.any_token)
    });
    let reaches = t - s.c[1 - i].since > LEASE || mutant.without_word;
    let c = &s.c[i];
    if !c.read && c.all_cut(t) && word && reaches && (!c.told || mutant.though_told) {
        s.lease = t + LEASE;
        return true;
    }
    false
}

fn next(s: &State, mutant: Mutant) -> Vec<State> {
    let mut all = Vec::new();
    if s.bad.is_some() {
        return all;
    }
    let mut add = |work: &dyn Fn(&mut State) -> bool| {
        let mut n = *s;
        if work(&mut n) {
            settle(&mut n, mutant);
            all.push(n);
        }
    };
    add(&|n| {
        n.t += 1;
        n.there &= n.t <= n.lease;
        // What is too old to matter is all alike.
        for c in &mut n.c {
            c.heard = c.heard.filter(|h| n.t - h.at <= RELIED);
            c.answered = c.answered.max(n.t.saturating_sub(LEASE + 1));
            c.learnt = c.learnt.map(|at| at.max(n.t.saturating_sub(TOLD + 1)));
            c.started = c.started.max(n.t.saturating_sub(TOLD + 1));
            c.since = c.since.max(n.t.saturating_sub(TOLD + 1));
            c.cut_at = c.cut_at.max(n.t.saturating_sub(RESTART + 1));
        }
        if n.there && n.told_at.is_some_and(|at| n.t > at + CANCEL) {
            n.bad = Some("it runs though cancelled");
        }
        // Without its task there is nothing left to break.
        n.t <= END && (n.there || n.bad.is_some())
    });
    add(&|n| {
        // There and back, so that both name each other's.
        for _ in 0..2 {
            let heartbeats = [say(n, 0), say(n, 1)];
            heartbeats.into_iter().for_each(|b| hear(n, b, mutant));
        }
        !s.c[0].frozen && !s.c[1].frozen && *n != *s
    });
    add(&|n| {
        n.up = [!s.up[0], !s.up[1]];
        n.left.0 = n.left.0.wrapping_sub(1);
        s.left.0 > 0 && s.up[0] == s.up[1]
    });
    for i in 0..2 {
        add(&|n| {
            n.up[i] = !n.up[i];
            n.left.0 = n.left.0.wrapping_sub(1);
            s.left.0 > 0
        });
        add(&|n| {
            let heard = Controller {
                frozen: false,
                read: false,
                seen: 0,
                started: n.t,
                since: n.t,
                cut_at: n.t,
                newest: None,
                named: None,
                token: 0,
                claim: (0, 0),
                answered: 0,
                shown: false,
                learnt: None,
                told: false,
                listed: false,
                heard: None,
                contact: n.t,
                covered: 0,
                covered_cut: false,
            };
            n.c[i] = heard;
            n.left.1 = n.left.1.wrapping_sub(1);
            s.left.1 > 0 && s.t > 0
        });
        let c = &s.c[i];
        if c.frozen {
            add(&|n| {
                n.c[i].frozen = false;
                true
            });
            continue;
        }
        add(&|n| {
            n.c[i].frozen = true;
            n.left.2 = n.left.2.wrapping_sub(1);
            s.left.2 > 0
        });
        // The first read of one that has started comes when it comes.
        add(&|n| {
            let c = &mut n.c[i];
            c.read = true;
            // Of what it shows nobody knows since when.
            if s.cancelled.is_some() {
                (c.learnt, c.listed) = (Some(s.t), false);
            }
            c.since = s.t;
            s.up[i] && !s.c[i].read
        });
        let fresh = c.read && s.up[i];
        // A claim: by one that has just read, when the owner's lease is over.
        add(&|n| {
            n.claim = (s.claim.0 + 1, i);
            let c = &mut n.c[i];
            (c.token, c.claim, c.shown, c.answered) = (n.claim.0, n.claim, false, s.t);
            fresh && c.token != s.claim.0 && s.claim.0 < 3
        });
        add(&|n| {
            (n.cancelled, n.c[i].learnt) = (Some(s.t), Some(s.t));
            n.c[i].listed = true;
            fresh && s.cancelled.is_none()
        });
        // The lease is over by the owner's count, and the task goes to another machine.
        add(&|n| {
            if s.there {
                n.bad = Some("it is on two machines");
            }
            let counts = c.shown && c.token == s.claim.0 && s.t > c.answered + LEASE;
            fresh && counts && s.there
        });
        add(&|n| s.there && report(n, i, mutant) && *n != *s);
        add(&|n| {
            (n.held, n.held_left) = (Some(say(n, i)), false);
            s.held_left
        });
    }
    if let Some(b) = s.held.filter(|b| !s.c[1 - b.from].frozen) {
        add(&|n| {
            n.held = None;
            // What was held back does not come to a process that began since.
            if s.c[1 - b.from].started <= b.made {
                hear(n, b, mutant);
            }
            true
        });
    }
    all
}

/// Faults of a run: changes of the service, ends, freezes, and whether a heartbeat is late.
type Faults = ((u8, u8, u8), bool);

/// Whom the state service refuses when a run begins, and they have told each other so.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Refused {
    Nobody,
    Owner,
    All,
}

fn begin(faults: Faults, refused: Refused, mutant: Mutant) -> State {
    let mut s = start(faults.0, faults.1);
    s.up = match refused {
        Refused::Nobody => return s,
        Refused::Owner => [false, true],
        Refused::All => [false, false],
    };
    let heartbeats = [say(&mut s, 0), say(&mut s, 1)];
    heartbeats.into_iter().for_each(|b| hear(&mut s, b, mutant));
    s
}

/// How many states there are, and what is bad in the first that is.
fn explore(faults: Faults, refused: Refused, mutant: Mutant) -> (usize, Option<&'static str>) {
    let mut count = 0;
    let found = bfs_reach(begin(faults, refused, mutant), |s| next(s, mutant))
        .inspect(|_| count += 1)
        .take(MOST)
        .find_map(|s| s.bad);
    (count, found)
}

/// Runs all at once, as each takes a few seconds.
fn explore_all(runs: &[(&str, Faults, Refused, Mutant)]) -> Vec<String> {
    std::thread::scope(|scope| {
        let runs = runs.iter().map(|&(name, faults, refused, mutant)| {
            scope.spawn(move || {
                let (count, bad) = explore(faults, refused, mutant);
                println!("{name} {faults:?}, refused {refused:?}: {count} states");
                format!("{name}: {}", bad.unwrap_or("good"))
            })
        });
        let runs: Vec<_> = runs.collect();
        runs.into_iter().filter_map(|r| r.join().ok()).collect()
    })
}

/// The rules hold whatever comes, and each of their shards is needed: with one change
/// of the service and an end, or a freeze.
#[test]
fn leases_in_an_outage() {
    let rules = Mutant::default();
    let told = Mutant {
        though_told: true,
        ..rules
    };
    let word = Mutant {
        without_word: true,
        ..rules
    };
    let outage = Mutant {
        outage_is_enough: true,
        ..rules
    };
    let token = Mutant {
        any_token: true,
        ..rules
    };
    let runs = [
        ("rules", ((1, 1, 0), false), Refused::Nobody, rules),
        ("rules", ((1, 0, 1), false), Refused::Nobody, rules),
        ("told", ((1, 1, 0), false), Refused::Nobody, told),
        ("word", ((1, 2, 0), false), Refused::Nobody, word),
        ("outage", ((2, 1, 0), false), Refused::Nobody, outage),
        ("token", ((2, 1, 0), false), Refused::Nobody, token),
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

/// The gap: the owner is refused alone, then all are, and the one that confirmed may end
/// and be back; or all are refused and one is served for a moment.
#[test]
fn leases_in_the_gap() {
    let rules = Mutant::default();
    let any = Mutant {
        any_beat_is_its_word: true,
        ..rules
    };
    let gap = Mutant {
        without_gap: true,
        ..rules
    };
    let list = Mutant {
        without_list: true,
        ..rules
    };
    let on = Mutant {
        not_told_on: true,
        ..rules
    };
    let at_once = Mutant {
        tells_at_once: true,
        ..rules
    };
    let runs = [
        ("rules", ((1, 1, 0), false), Refused::Owner, rules),
        ("rules", ((2, 1, 0), false), Refused::All, rules),
        ("any heartbeat", ((1, 1, 0), false), Refused::Owner, any),
        ("gap", ((1, 1, 0), false), Refused::Owner, gap),
        ("list", ((1, 0, 0), false), Refused::Owner, list),
        ("on", ((2, 1, 0), false), Refused::All, on),
        ("at once", ((2, 1, 0), false), Refused::All, at_once),
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

/// The same with more faults at once: some gigabytes, a minute or two.
#[test]
#[ignore]
fn leases_in_an_outage_with_more_faults() {
    let rules = Mutant::default();
    for faults in [((2, 0, 1), false), ((2, 1, 0), false), ((1, 1, 0), true)] {
        let run = ("rules", faults, Refused::Nobody, rules);
        assert_eq!(explore_all(&[run]), ["rules: good"]);
    }
}
