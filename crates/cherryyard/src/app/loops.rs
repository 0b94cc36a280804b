//! What goes on all the time: the lease, the clock, heartbeats, the cloud.

use super::repeats::Repeats;
use super::{App, jittered, wall_ms};
use cherryyard_clients::peer::Outgoing;
use cherryyard_clients::state::StateError;
use cherryyard_core::event_loop_lag::QUEUE_CHECK_MS;
use cherryyard_wire::peer::Message;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

impl App {
    /// Keeps the state lease under which leases are made.
    pub(crate) async fn lease(self: Arc<Self>) {
        let every = Duration::from_millis(self.ttl_ms / 4);
        loop {
            let sent_at = self.now();
            match self.with(|n, _| n.lease_id()) {
                None => match self.state.grant_lease(self.ttl_ms).await {
                    Ok(lease_id) => self.with(|n, now| {
                        n.state_answered(sent_at, now);
                        n.state_lease_changed(Some(lease_id), now);
                    }),
                    Err(_) => tokio::time::sleep(jittered(400)).await,
                },
                Some(lease_id) => {
                    tokio::time::sleep(every).await;
                    let sent_at = self.now();
                    match self.state.renew_lease(lease_id).await {
                        Ok(()) => self.with(|n, now| n.state_answered(sent_at, now)),
                        Err(StateError::Gone) => {
                            tracing::info!(lease_id, "our lease in the state service is over");
                            self.with(|n, now| n.state_lease_changed(None, now));
                        }
                        // Tried again at once, but not faster than the budget.
                        Err(_) => {}
                    }
                }
            }
        }
    }

    pub(crate) async fn clock(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(Duration::from_millis(100));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let wall = wall_ms();
            self.with(|n, now| {
                n.wall_offset = wall - now;
                n.tick(now);
            });
        }
    }

    /// Finds out how long what is not urgent waits for its turn.
    pub(crate) async fn watch_queue(self: Arc<Self>) {
        loop {
            let due = self.now() + QUEUE_CHECK_MS;
            tokio::time::sleep(Duration::from_secs_f64(QUEUE_CHECK_MS / 1000.0)).await;
            self.with(|n, now| n.queue_passed(due, now));
        }
    }

    pub(crate) async fn heartbeats(self: Arc<Self>, out: watch::Sender<Option<Arc<Outgoing>>>) {
        loop {
            let wait = tokio::time::sleep(Duration::from_millis(500));
            tokio::select! {
                () = wait => {}
                () = self.heartbeat_wanted.notified() => {}
            }
            let heartbeat = self.with(|n, now| {
                for label in n.peers_to_reconnect(now) {
                    if let Some(anew) = self.anew.get(label) {
                        tracing::debug!(label, "connect to a controller anew");
                        anew.notify_one();
                    }
                }
                n.heartbeat_out(now)
            });
            let heartbeat =
                Outgoing::new(Message::Heartbeat(Box::new(heartbeat)), self.sender.clone());
            let _ = out.send(Some(heartbeat));
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub(crate) async fn watch_cloud(self: Arc<Self>) {
        let mut machine_types_at: Option<Instant> = None;
        let mut failures = Repeats::default();
        loop {
            if machine_types_at.is_none_or(|at| at.elapsed() > Duration::from_secs(120)) {
                match self.cloud.machine_types().await {
                    Ok(machine_types) => {
                        machine_types_at = Some(Instant::now());
                        failures.worked();
                        self.with(|n, now| n.machine_types(machine_types, now));
                    }
                    Err(e) => {
                        if let Some(times) = failures.failed(Instant::now()) {
                            tracing::info!(times, "cannot read the machine types: {e}");
                        }
                    }
                }
            }
            if let Ok(hosts) = self.cloud.list().await {
                self.with(|n, now| n.listed(hosts, now));
            }
            let unknown = machine_types_at.is_none();
            tokio::time::sleep(if unknown {
                jittered(1500)
            } else {
                self.list_every
            })
            .await;
        }
    }
}
