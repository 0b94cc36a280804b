//! Periodic tasks: renewal of the state lease, clock ticks, heartbeats, and reads of the machine
//! types and the machine list.

use super::repeated_failures::RepeatedFailures;
use super::{App, jittered, wall_ms};
use cherryyard_clients::peer::OutgoingMessage;
use cherryyard_clients::state::StateError;
use cherryyard_core::event_loop_lag::PROBE_INTERVAL_MS;
use cherryyard_wire::peer::Message;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Time between two ticks of the core's clock.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two heartbeats to the other controllers.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two heartbeats to the other controllers.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a state lease was not granted, in milliseconds before jitter.
const LEASE_RETRY_MS: u64 = 400;
/// Pause between reads while the machine types are unknown, in milliseconds before jitter.
const UNKNOWN_TYPES_RETRY_MS: u64 = 1500;
/// Time between two reads of the machine types.
const MACHINE_TYPES_INTERVAL: Duration = Duration::from_secs(120);

impl App {
    /// Acquires and renews the state lease, under which shard leases are acquired. The interval
    /// between renewals is a quarter of the lease's time to live.
    pub(crate) async fn keep_state_lease(self: Arc<Self>) {
        let renewal_interval = Duration::from_millis(self.intervals.lease_ttl_ms / 4);
        loop {
            match self.with(|controller, _| controller.lease_id()) {
                None => self.acquire_state_lease().await,
                Some(lease_id) => {
                    tokio::time::sleep(renewal_interval).await;
                    self.renew_state_lease(lease_id).await;
                }
            }
        }
    }

    async fn acquire_state_lease(self: &Arc<Self>) {
        let sent_at = self.now();
        let ttl_ms = self.intervals.lease_ttl_ms;
        match self.clients.state.grant_lease(ttl_ms).await {
            Ok(lease_id) => self.with(|controller, now| {
                controller.state_answered(sent_at, now);
                controller.state_lease_changed(Some(lease_id), now);
            }),
            Err(_) => tokio::time::sleep(jittered(LEASE_RETRY_MS)).await,
        }
    }

    /// Renews the state lease once; after a failure other than the lease's expiry, the next
    /// regular renewal is the retry.
    async fn renew_state_lease(self: &Arc<Self>, lease_id: u64) {
        let sent_at = self.now();
        match self.clients.state.renew_lease(lease_id).await {
            Ok(()) => self.with(|controller, now| controller.state_answered(sent_at, now)),
            Err(StateError::Gone) => {
                tracing::info!(lease_id, "state lease expired");
                self.with(|controller, now| controller.state_lease_changed(None, now));
            }
            Err(_) => {}
        }
    }

    /// Sends the core its periodic ticks, and the offset between the wall clock and the monotonic
    /// clock.
    pub(crate) async fn run_clock(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let wall = wall_ms();
            self.with(|controller, now| {
                controller.wall_offset = wall - now;
                controller.tick(now);
            });
        }
    }

    /// Measures how late the event loop runs a task after it is due, and reports it to the core.
    pub(crate) async fn measure_event_loop_lag(self: Arc<Self>) {
        loop {
            let due = self.now() + PROBE_INTERVAL_MS;
            tokio::time::sleep(Duration::from_secs_f64(PROBE_INTERVAL_MS / 1000.0)).await;
            self.with(|controller, now| controller.handle_lag_probe(due, now));
        }
    }

    /// Publishes heartbeats regularly and when the core requests one, and requests new
    /// connections to the controllers that need them.
    pub(crate) async fn publish_heartbeats(
        self: Arc<Self>,
        heartbeat_sender: watch::Sender<Option<Arc<OutgoingMessage>>>,
    ) {
        loop {
            let wait = tokio::time::sleep(MAX_HEARTBEAT_INTERVAL);
            tokio::select! {
                () = wait => {}
                () = self.heartbeat_requested.notified() => {}
            }
            let heartbeat = self.with(|controller, now| {
                for label in controller.peers_to_reconnect(now) {
                    if let Some(reconnect) = self.peers.reconnect.get(label) {
                        tracing::debug!(label, "reconnecting to a controller");
                        reconnect.notify_one();
                    }
                }
                controller.build_heartbeat(now)
            });
            let heartbeat = OutgoingMessage::new(
                Message::Heartbeat(Box::new(heartbeat)),
                self.peers.sender.clone(),
            );
            let _ = heartbeat_sender.send(Some(heartbeat));
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
        }
    }

    /// Reads the machine types and the machine list from the cloud periodically.
    pub(crate) async fn watch_cloud(self: Arc<Self>) {
        let mut machine_types_read_at: Option<Instant> = None;
        let mut failures = RepeatedFailures::default();
        loop {
            if machine_types_read_at.is_none_or(|at| at.elapsed() > MACHINE_TYPES_INTERVAL) {
                match self.clients.cloud.machine_types().await {
                    Ok(machine_types) => {
                        machine_types_read_at = Some(Instant::now());
                        failures.record_success();
                        self.with(|controller, now| {
                            controller.handle_machine_types(machine_types, now)
                        });
                    }
                    Err(e) => {
                        if let Some(times) = failures.record_failure(Instant::now()) {
                            tracing::info!(times, "failed to read the machine types: {e}");
                        }
                    }
                }
            }
            if let Ok(machines) = self.clients.cloud.list_machines().await {
                self.with(|controller, now| controller.handle_machine_list(machines, now));
            }
            let unknown = machine_types_read_at.is_none();
            tokio::time::sleep(if unknown {
                jittered(UNKNOWN_TYPES_RETRY_MS)
            } else {
                self.intervals.machine_list
            })
            .await;
        }
    }
}
