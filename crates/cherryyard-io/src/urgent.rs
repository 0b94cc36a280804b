//! Work that goes before all other.
//!
//! What safety rests on (the state lease, claims, marks, the watch, beats) runs
//! inside the runtime's root future. A `current_thread` runtime polls that
//! first, after every few tasks, and all other tasks in the order in which they
//! were woken. Without this, a renewal took its place behind every report at
//! each of its steps (timer, connection, answer): a controller that computed
//! eight times slower lost its leases to its own queue, and parts went round.

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::pin::Pin;
use tokio::sync::mpsc;

type Work = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Pieces of work that may wait to be taken up. There are never more under way
/// than connections to the state service and peers, and transactions.
const MOST: usize = 1024;

/// Where urgent work is handed in.
#[derive(Clone, Debug)]
pub struct Urgent(mpsc::Sender<Work>);

/// What does the work: the runtime's root future.
#[derive(Debug)]
pub struct Lane(mpsc::Receiver<Work>);

/// A lane and the way to it.
pub fn lane() -> (Urgent, Lane) {
    let (to, from) = mpsc::channel(MOST);
    (Urgent(to), Lane(from))
}

impl Urgent {
    /// Has work done before all that is not urgent.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        if let Err(full) = self.0.try_send(Box::pin(work)) {
            // Full, or the lane is gone: done all the same, in its turn.
            tokio::spawn(full.into_inner());
        }
    }
}

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for Urgent {
    fn execute(&self, work: F) {
        self.spawn(work);
    }
}

impl Lane {
    /// Does what is handed in, until nobody can hand in any more.
    pub async fn run(mut self) {
        let mut under_way = FuturesUnordered::new();
        loop {
            tokio::select! {
                work = self.0.recv() => match work {
                    Some(work) => under_way.push(work),
                    None => return,
                },
                Some(()) = under_way.next() => {}
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::{Arc, Mutex, PoisonError};

    /// Guards against a renewal that waits behind reports: of work with steps,
    /// each step goes before the tasks that were woken earlier.
    #[test]
    fn urgent_steps_go_before_a_queue() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .event_interval(4)
            .build()
            .expect("a runtime");
        let log = Arc::new(Mutex::new(Vec::new()));
        let note = |what: &'static str| {
            let log = log.clone();
            move || {
                log.lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(what)
            }
        };
        let (urgent, lane) = lane();
        runtime.block_on(async {
            for _ in 0..100 {
                let report = note("report");
                tokio::spawn(async move { report() });
            }
            let step = note("step");
            let (done, over) = tokio::sync::oneshot::channel();
            urgent.spawn(async move {
                for _ in 0..5 {
                    step();
                    tokio::task::yield_now().await;
                }
                // The root waits for this below.
                let _ = done.send(());
            });
            tokio::select! {
                () = lane.run() => {}
                _ = over => {}
            }
        });
        let log = log.lock().unwrap_or_else(PoisonError::into_inner);
        let last = log.iter().rposition(|what| *what == "step");
        assert_eq!(log.iter().filter(|what| **what == "step").count(), 5);
        assert!(last.is_some_and(|at| at < 40), "{log:?}");
    }
}
