//! The life of a node, and its planned stop.

use std::time::Duration;

use rand::Rng;

use super::Node;
use crate::Timestamp;
use crate::event::Output;
use crate::message::MemberUpdate;
use crate::message::PeerMessage;
use hawthornshift_model::InstanceId;

/// Time that the last word of a stopping instance is given to reach its peers.
const CLOSING_TIME: Duration = Duration::from_millis(200);
/// Shortest time a planned stop takes, so that every peer has left this instance out of its view before it ends.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(1);

/// Where a node stands in its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// It has no set yet.
    Starting,
    /// It serves.
    Serving,
    /// It stops as planned and finishes what it has.
    Stopping { since: Timestamp },
    /// It has said its last word and waits for it to arrive.
    Closing { since: Timestamp },
    /// It is done.
    Stopped,
    /// A newer life of it exists.
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
    /// Begins a planned stop: leaves every view, hands over what it holds, and finishes what it runs.
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
                // The fabric may have handed in more meanwhile.
                let idle = self.requests.under_way() == 0;
                if elapsed >= CLOSING_TIME && idle || elapsed >= self.tuning.drain {
                    self.phase = Phase::Stopped;
                    out.push(Output::Stopped);
                }
            }
            _ => {}
        }
    }

    /// Tells every peer at once that this instance is leaving, and takes itself out of its own view.
    pub(super) fn announce_leaving(&mut self, now: Timestamp, since: Timestamp, out: &mut Vec<Output>) {
        if self.view.serves(self.membership.me().id) {
            self.rebuild_view(now, out);
        }
        // Repeated, since a peer may miss the first word; heartbeats carry it anyway.
        if now.saturating_sub(since) < MIN_DRAIN_TIME && self.rng.random_ratio(1, 4) || now == since {
            self.broadcast_heartbeat(out);
        }
    }

    pub(super) fn broadcast_heartbeat(&mut self, out: &mut Vec<Output>) {
        let peers: Vec<InstanceId> = self.membership.reachable().map(|update| update.id).collect();
        for to in peers {
            let heartbeat = self.heartbeat(0, false, to);
            self.send(to, PeerMessage::Ack(heartbeat), out);
        }
    }

    /// Says which tickets were redeemed. From here on none is, or the word would be untrue.
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
