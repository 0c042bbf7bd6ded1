//! Lifecycle of a node, and its planned stop.

use std::time::Duration;

use rand::Rng;

use super::Node;
use crate::Timestamp;
use crate::event::Output;
use crate::message::MemberUpdate;
use crate::message::PeerMessage;
use hawthornshift_model::InstanceId;

/// Time for the final report of a stopping instance to reach its peers.
const CLOSING_TIME: Duration = Duration::from_millis(200);
/// Minimum duration of a planned stop, so that every peer has removed this instance from its view before it exits.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(1);

/// Phase in the lifecycle of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// It has no configuration set yet.
    Starting,
    /// It is serving.
    Serving,
    /// It is stopping as planned and finishes its flows, streams and requests.
    Stopping { since: Timestamp },
    /// It has sent its final report and waits for its delivery.
    Closing { since: Timestamp },
    /// The planned stop has finished.
    Stopped,
    /// A newer incarnation of this instance exists.
    Superseded,
}

impl Phase {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Stopping { .. } | Self::Closing { .. } => "stopping",
            Self::Stopped => "stopped",
            Self::Superseded => "superseded",
        }
    }
}

impl Node {
    /// Starts a planned stop: the node leaves all views, hands over its flows, and finishes its requests.
    pub(super) fn stop(&mut self, now: Timestamp) {
        if matches!(self.phase, Phase::Starting | Phase::Serving) {
            self.phase = Phase::Stopping { since: now };
            self.membership.leave();
        }
    }

    pub(super) fn tick_phase(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        match self.phase {
            Phase::Stopping { since } => {
                self.announce_leaving(now, since, out);
                let elapsed = now.saturating_sub(since);
                let idle = self.flows.held() == 0 && self.streams.is_empty() && self.requests.under_way() == 0;
                let is_alone = self.membership.reachable().next().is_none();
                let done = elapsed >= MIN_DRAIN_TIME && (idle || is_alone && self.requests.under_way() == 0);
                if done || elapsed >= self.tuning.drain {
                    self.send_final_report(now, out);
                }
            }
            Phase::Closing { since } => {
                let elapsed = now.saturating_sub(since);
                // The fabric may have delivered more requests meanwhile.
                let idle = self.requests.under_way() == 0;
                if elapsed >= CLOSING_TIME && idle || elapsed >= self.tuning.drain {
                    self.phase = Phase::Stopped;
                    out.push(Output::Stopped);
                }
            }
            _ => {}
        }
    }

    /// Informs all peers that this instance is leaving, and removes it from its own view.
    pub(super) fn announce_leaving(&mut self, now: Timestamp, since: Timestamp, out: &mut Vec<Output>) {
        if self.view.serves(self.membership.me().id) {
            self.rebuild_view(now, out);
        }
        // Sent repeatedly, since a peer may miss the first message; heartbeats carry the state in any case.
        if now.saturating_sub(since) < MIN_DRAIN_TIME && self.rng.random_ratio(1, 4) || now == since {
            self.broadcast_heartbeat(out);
        }
    }

    pub(super) fn broadcast_heartbeat(&mut self, out: &mut Vec<Output>) {
        let peers: Vec<InstanceId> = self.membership.reachable().map(|update| update.id).collect();
        for to in peers {
            let heartbeat = self.create_heartbeat(0, false, to);
            self.send(to, PeerMessage::Ack(heartbeat), out);
        }
    }

    /// Sends the list of redeemed tickets to all peers. No ticket is redeemed from here on, since the list would then
    /// be incomplete.
    pub(super) fn send_final_report(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        self.phase = Phase::Closing { since: now };
        self.membership.depart();
        self.tickets.close();
        let MemberUpdate { id: issuer, incarnation, .. } = *self.membership.me();
        let known_since_ms = self.tickets.known_since_ms(now);
        let redeemed = self.tickets.redeemed();
        let peers: Vec<InstanceId> = self.membership.reachable().map(|update| update.id).collect();
        for to in peers {
            let redeemed = redeemed.clone();
            self.send(to, PeerMessage::IssuerClosed { issuer, incarnation, known_since_ms, redeemed }, out);
        }
    }
}
