use super::*;
use cherryyard_wire::job::Rank;

fn place(job: u64, rank: Rank, work: f64) -> Place {
    Place {
        rank,
        is_array: true,
        deadline_multiple: 0,
        work,
        due: 0.0,
        ready_at: 0,
        job,
    }
}

fn order(service_order: &mut ServiceOrder<'_>) -> Vec<u64> {
    std::iter::from_fn(|| service_order.next_job())
        .map(|s| s.1.job)
        .collect()
}

/// Guards against starvation of late jobs by a stream of jobs that can be in time: a late job comes
/// first once ten times its cores have been started of the flow, the oldest late job first.
#[test]
fn late_jobs_are_not_starved() {
    let mut queues = Queues::default();
    for (job, at) in [(1, 20), (2, 10)] {
        let late = Place {
            deadline_multiple: 2,
            ready_at: at,
            ..place(job, Rank::High, 1.0)
        };
        queues.add_late_job(0, at, job);
        queues.set(0, late, f64::INFINITY, 0.0);
    }
    let mut due_jobs = Vec::new();
    for cycle in 0..30 {
        let fresh = 100 + cycle;
        queues.set(0, place(fresh, Rank::High, 5.0), f64::INFINITY, 0.0);
        for job in queues.take_due_late_jobs(|_| 8.0) {
            due_jobs.push((cycle, job));
            let at = Place {
                deadline_multiple: 2,
                ready_at: 10,
                ..place(job, Rank::High, 1.0)
            };
            queues.set(0, at, f64::INFINITY, 0.0);
            assert_eq!(queues.service_order().next_job().unwrap().1.job, job);
            queues.remove(job);
        }
        queues.remove(fresh);
        queues.credit_started_cores(0, 8.0);
    }
    assert_eq!(due_jobs, [(10, 2), (20, 1)]);
}

/// Guards against starvation of a large job by a stream of small ones: the oldest job that has not
/// begun comes first once it is old enough. After it has begun it returns to its place, and the
/// next oldest job comes first.
#[test]
fn oldest_job_that_has_not_begun_comes_first() {
    let mut queues = Queues::default();
    let set = |queues: &mut Queues, job: u64| {
        let work = if job < 3 { 900.0 } else { 1.0 };
        let place = Place {
            ready_at: job * 10,
            ..place(job, Rank::High, work)
        };
        queues.set(0, place, f64::INFINITY, 0.0);
    };
    (1..6).for_each(|job| set(&mut queues, job));
    assert_eq!(order(&mut queues.service_order()), [3, 4, 5, 1, 2]);
    assert!(
        queues
            .prioritize_oldest_jobs(|at| at < 10, |_| false)
            .is_empty(),
        "no job is old enough"
    );
    assert_eq!(queues.prioritize_oldest_jobs(|at| at <= 20, |_| false), [1]);
    set(&mut queues, 1);
    assert_eq!(order(&mut queues.service_order()), [1, 3, 4, 5, 2]);
    let changed = queues.prioritize_oldest_jobs(|at| at <= 20, |job| job == 1);
    assert_eq!(changed, [1, 2]);
    changed.into_iter().for_each(|job| set(&mut queues, job));
    assert_eq!(order(&mut queues.service_order()), [2, 3, 4, 5, 1]);
    queues.remove(2);
    assert_eq!(queues.oldest_job(0), None);
    assert!(
        queues
            .prioritize_oldest_jobs(|at| at <= 20, |job| job == 1)
            .is_empty()
    );
}

/// Guards against a wrong merge of the flows' queues: jobs of all flows come by their places, and
/// those of a flow that is served ahead of rank come first.
#[test]
fn queues_of_flows_are_merged_by_place() {
    let mut queues = Queues::default();
    queues.set(0, place(1, Rank::High, 5.0), f64::INFINITY, 0.0);
    queues.set(0, place(2, Rank::High, 1.0), f64::INFINITY, 0.0);
    queues.set(1, place(3, Rank::Standard, 9.0), f64::INFINITY, 0.0);
    queues.set(1, place(4, Rank::High, 3.0), 500.0, 7.0);
    assert_eq!(order(&mut queues.service_order()), [2, 4, 1, 3]);
    let mut service_order = queues.service_order();
    service_order.set_ahead(1, true);
    assert_eq!(order(&mut service_order), [4, 3, 2, 1]);
    assert_eq!(
        (
            queues.jobs_with_expired_places(500.0),
            queues.jobs_with_expired_places(501.0)
        ),
        (vec![], vec![4])
    );
    queues.set(1, place(4, Rank::Standard, 3.0), f64::INFINITY, 90.0);
    assert_eq!(
        queues.since(4),
        Some(7.0),
        "a moved job keeps its time of arrival"
    );
    assert_eq!(order(&mut queues.service_order()), [2, 1, 4, 3]);
    queues.remove(1);
    assert_eq!((queues.len(), queues.since(1)), (3, None));
}

/// Guards against jobs that no scheduling cycle ever inspects because the jobs before them do not
/// fit: each cycle inspects a bounded number of jobs, and many cycles together inspect all.
#[test]
fn every_job_of_a_long_queue_is_inspected() {
    let mut queues = Queues::default();
    for job in 0..1000 {
        queues.set(0, place(job, Rank::High, job as f64), f64::INFINITY, 0.0);
    }
    let mut inspected = BTreeSet::new();
    for _ in 0..70 {
        let mut service_order = queues.service_order();
        let (mut inspected_jobs, mut others, mut last) = (0, 0, None);
        while let Some((flow, at)) = service_order.next_job() {
            inspected.insert(at.job);
            inspected_jobs += 1;
            if inspected_jobs > MAX_UNPLACED_JOBS_IN_ROW {
                (others, last) = (others + 1, Some(at));
            } else if inspected_jobs == MAX_UNPLACED_JOBS_IN_ROW {
                service_order.close_flow(flow);
            }
        }
        assert!(inspected_jobs <= MAX_UNPLACED_JOBS_IN_ROW + MAX_ROTATED_JOBS as u32);
        queues.save_cursor(0, others, last);
    }
    assert_eq!(inspected.len(), 1000);
}
