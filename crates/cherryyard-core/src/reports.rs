//! Workers' reports and direct commands, as a controller takes them.

use crate::Millis;
use crate::effects::{Effect, PushOutcome, Reply};
use crate::machine::{Heard, HostState};
use crate::node::Node;
use crate::tenancy::Tenancy;
use cherryyard_wire::worker::{DoRequest, Order, Report, ReportAnswer};

impl Node {
    /// The token under which reports of part `p` are answered now, if any.
    fn answering(&self, p: usize, now: Millis) -> Option<u64> {
        let Tenancy::Owned(stamp) = self.parts[p].tenancy else {
            return None;
        };
        // Guards against a cancellation that this controller cannot see: the
        // workers' leases must end in time. If nobody can reach the state
        // service, nobody can take a cancellation either; what was taken before the
        // last of them lost it, those who took it have told.
        let bound = self.config.cut_off_bound_ms();
        let outage = || self.all_cut_off(now) && self.knows_cancellations();
        (now - self.seen_at <= bound || outage()).then_some(stamp)
    }

    /// Who takes reports of part `p`, if it is someone else.
    fn owner_elsewhere(&self, p: usize, now: Millis) -> Option<String> {
        let mut best = self.mirror.parts[p]
            .as_ref()
            .map(|c| (c.stamp, c.label.clone()));
        for peer in self
            .peers
            .iter()
            .flatten()
            .filter(|s| now - s.heard_at < 5000.0)
        {
            for (part, stamp, label) in &peer.beat.claims {
                if *part as usize == p && best.as_ref().is_none_or(|b| b.0 < *stamp) {
                    best = Some((*stamp, label.clone()));
                }
            }
        }
        best.map(|b| b.1)
            .filter(|label| *label != self.config.labels[self.config.me])
    }

    /// Takes a worker's report.
    pub fn report(&mut self, report: &Report, now: Millis) -> Reply {
        self.notice(now);
        let p = self.config.parting.part(&report.yard, &report.host);
        let Some(token) = self.answering(p, now) else {
            if self.strays.len() < 1000 && report.host.len() <= 100 {
                self.strays.insert((p, report.host.clone()), now);
            }
            if self.vouches(p, report, now) {
                tracing::debug!(host = %report.host, "vouch for a lease");
                return Reply::Answer(ReportAnswer {
                    baton: report.baton,
                    orders: Vec::new(),
                });
            }
            return match self.owner_elsewhere(p, now) {
                Some(label) => Reply::Elsewhere(Some(label)),
                None => Reply::Unavailable,
            };
        };
        if report.baton > token {
            // Somebody has a newer token; an answer of ours would be dropped
            // and only hold the worker here.
            self.effects.push(Effect::Refresh);
            return Reply::Elsewhere(self.owner_elsewhere(p, now));
        }
        if self.machines.len() >= 20_000 || report.host.len() > 100 {
            return Reply::Unavailable;
        }
        let host = self.mirror.hosts.intern(&report.host);
        self.meet(host, p, report, now);
        let Some(machine) = self.machines.get_mut(&host) else {
            return Reply::Unavailable;
        };
        if machine.state == HostState::Gone {
            return Reply::Unavailable;
        }
        machine.answered_at = now;
        let before = machine.state;
        let heard = machine.hear(report, token, now);
        // A new owner's machines are told of as they come, or the leader gives
        // the part nothing until its next regular report.
        self.room_changed |= machine.state != before;
        if heard == Heard::Old {
            return Reply::Answer(ReportAnswer {
                baton: token,
                orders: Vec::new(),
            });
        }
        // The worker has one report under way at a time, so a newer one shows
        // that the last answer was executed or dropped.
        machine.offered.clear();
        if heard == Heard::New {
            self.after_message(host, now);
        }
        let orders = self.orders(host, now, true);
        if let Some(machine) = self.machines.get_mut(&host) {
            machine.offered = orders
                .iter()
                .filter_map(|o| match o {
                    Order::Start { piece, attempt } => {
                        Some((cherryyard_wire::worker::piece_numbers(piece)?, *attempt))
                    }
                    _ => None,
                })
                .collect();
        }
        Reply::Answer(ReportAnswer {
            baton: token,
            orders,
        })
    }

    /// Takes how a direct command came out.
    pub fn pushed(&mut self, host: u32, request: &DoRequest, outcome: PushOutcome, now: Millis) {
        self.notice(now);
        let Some(machine) = self.machines.get_mut(&host) else {
            return;
        };
        let p = machine.part;
        machine.pushing = false;
        match outcome {
            PushOutcome::Answered(report) => {
                machine.settle_push(request);
                let Tenancy::Owned(token) = self.parts[p].tenancy else {
                    return;
                };
                if machine.hear(&report, token, now) != Heard::Old {
                    self.after_message(host, now);
                }
                self.push(host, now);
            }
            PushOutcome::Unsent => {
                machine.settle_push(request);
                machine.push_after = now + 500.0;
            }
            // The starts stay pending: they may yet be executed.
            PushOutcome::Unknown => machine.push_after = now + 1000.0,
        }
    }
}
