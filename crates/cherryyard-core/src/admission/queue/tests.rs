use super::*;
use cherryyard_wire::job::Rank;

fn place(job: u64, rank: Rank, work: f64) -> Place {
    Place {
        rank,
        is_array: true,
        hope: 0,
        work,
        due: 0.0,
        at: 0,
        job,
    }
}

fn order(service_order: &mut ServiceOrder<'_>) -> Vec<u64> {
    std::iter::from_fn(|| service_order.step())
        .map(|s| s.1.job)
        .collect()
}

/// While jobs that can be in time keep coming, one that cannot has its turn after ten
/// times what it takes, and keeps it; the oldest first.
#[test]
fn late_jobs_have_their_turn() {
    let mut q = Queues::default();
    for (job, at) in [(1, 20), (2, 10)] {
        let late = Place {
            hope: 2,
            at,
            ..place(job, Rank::High, 1.0)
        };
        q.is_late(0, at, job);
        q.set(0, late, f64::INFINITY, 0.0);
    }
    let mut turns = Vec::new();
    for cycle in 0..30 {
        let fresh = 100 + cycle;
        q.set(0, place(fresh, Rank::High, 5.0), f64::INFINITY, 0.0);
        for job in q.late_share_due(|_| 8.0) {
            turns.push((cycle, job));
            let at = Place {
                hope: 2,
                at: 10,
                ..place(job, Rank::High, 1.0)
            };
            q.set(0, at, f64::INFINITY, 0.0);
            assert_eq!(q.service_order().step().unwrap().1.job, job);
            q.remove(job);
        }
        q.remove(fresh);
        q.started(0, 8.0);
    }
    assert_eq!(turns, [(10, 2), (20, 1)]);
}

/// While small jobs keep coming, the oldest that has not begun goes first once it is
/// old enough; when it has, it is in its place again, and the next one's turn comes.
#[test]
fn the_oldest_that_has_not_begun_goes_first() {
    let mut q = Queues::default();
    let set = |q: &mut Queues, job: u64| {
        let work = if job < 3 { 900.0 } else { 1.0 };
        let place = Place {
            at: job * 10,
            ..place(job, Rank::High, work)
        };
        q.set(0, place, f64::INFINITY, 0.0);
    };
    (1..6).for_each(|job| set(&mut q, job));
    assert_eq!(order(&mut q.service_order()), [3, 4, 5, 1, 2]);
    assert!(
        q.reserve_for_oldest(|at| at < 10, |_| false).is_empty(),
        "too young"
    );
    assert_eq!(q.reserve_for_oldest(|at| at <= 20, |_| false), [1]);
    set(&mut q, 1);
    assert_eq!(order(&mut q.service_order()), [1, 3, 4, 5, 2]);
    let changed = q.reserve_for_oldest(|at| at <= 20, |job| job == 1);
    assert_eq!(changed, [1, 2]);
    changed.into_iter().for_each(|job| set(&mut q, job));
    assert_eq!(order(&mut q.service_order()), [2, 3, 4, 5, 1]);
    q.remove(2);
    assert_eq!(q.turn(0), None);
    assert!(
        q.reserve_for_oldest(|at| at <= 20, |job| job == 1)
            .is_empty()
    );
}

/// Flows come as one service_order, by their jobs' places; one that is ahead comes first.
#[test]
fn flows_are_merged() {
    let mut q = Queues::default();
    q.set(0, place(1, Rank::High, 5.0), f64::INFINITY, 0.0);
    q.set(0, place(2, Rank::High, 1.0), f64::INFINITY, 0.0);
    q.set(1, place(3, Rank::Standard, 9.0), f64::INFINITY, 0.0);
    q.set(1, place(4, Rank::High, 3.0), 500.0, 7.0);
    assert_eq!(order(&mut q.service_order()), [2, 4, 1, 3]);
    let mut service_order = q.service_order();
    service_order.ahead(1, true);
    assert_eq!(order(&mut service_order), [4, 3, 2, 1]);
    assert_eq!((q.turned(500.0), q.turned(501.0)), (vec![], vec![4]));
    q.set(1, place(4, Rank::Standard, 3.0), f64::INFINITY, 90.0);
    assert_eq!(q.since(4), Some(7.0), "moved, not come anew");
    assert_eq!(order(&mut q.service_order()), [2, 1, 4, 3]);
    q.remove(1);
    assert_eq!((q.len(), q.since(1)), (3, None));
}

/// Of a flow that finds no room a bounded number is looked at, and over some
/// scheduling cycles every job of it.
#[test]
fn all_of_a_long_queue_get_their_turn() {
    let mut q = Queues::default();
    for job in 0..1000 {
        q.set(0, place(job, Rank::High, job as f64), f64::INFINITY, 0.0);
    }
    let mut seen = BTreeSet::new();
    for _ in 0..70 {
        let mut service_order = q.service_order();
        let (mut inspected_machines, mut others, mut last) = (0, 0, None);
        while let Some((flow, at)) = service_order.step() {
            seen.insert(at.job);
            inspected_machines += 1;
            if inspected_machines > WINDOW {
                (others, last) = (others + 1, Some(at));
            } else if inspected_machines == WINDOW {
                service_order.close(flow);
            }
        }
        assert!(inspected_machines <= WINDOW + OTHERS as u32);
        q.inspected_at(0, others, last);
    }
    assert_eq!(seen.len(), 1000);
}
