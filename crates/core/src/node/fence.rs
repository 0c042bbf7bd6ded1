//! The fence: a node that has just started or woken late decides nothing until a peer confirms its view.

use std::sync::Arc;
use std::time::Duration;

use super::Node;
use super::lifecycle::Phase;
use crate::Timestamp;
use crate::event::Notice;
use crate::event::Output;
use crate::message::PeerMessage;
use crate::message::Sequence;
use crate::view::View;
use hawthornshift_model::InstanceId;

/// Peers asked at once by an instance that woke late.
const REFRESH_PEERS: usize = 3;
/// Time after which an instance that has just started, or woken late, serves although no peer has confirmed its view:
/// it is alone, or cut off, and then serves what it can.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two rounds of pings while a view is to be confirmed.
const REFRESH_PERIOD: Duration = Duration::from_millis(150);

/// A node behind a fence decides nothing new until a peer has confirmed its view.
///
/// It is there after the start, when the node knows nobody yet and would take every flow for a new one of its own,
/// and after a pause, when others may have taken over what the node held.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fence {
    /// Pings numbered from here on were sent behind the fence.
    first_sequence: Sequence,
    /// When the node goes on all the same.
    until: Timestamp,
    /// When the next peers are asked.
    next_refresh: Timestamp,
    /// Whether the node has just started.
    joining: bool,
}

impl Fence {
    /// Returns the fence of a node that starts now.
    pub(super) fn joining(now: Timestamp) -> Self {
        Self { first_sequence: 0, until: now + FENCE_TIMEOUT, next_refresh: now, joining: true }
    }
}

impl Node {
    /// Notices that the process was paused for longer than its lease.
    ///
    /// Others may have taken over its flows and targets meanwhile. It would show as packets to a failure domain that
    /// is out, or as two keepers at one target. So nothing new is decided until a peer has answered a ping that was
    /// sent after the pause.
    pub(super) fn detect_pause(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let gap = now.saturating_sub(self.last_input);
        self.last_input = self.last_input.max(now);
        if gap < self.tuning.lease || self.phase == Phase::Starting {
            return;
        }
        out.push(Output::Notice(Notice::PauseDetected { gap }));
        let joining = self.fence.is_some_and(|fence| fence.joining);
        let first_sequence = self.membership.next_sequence();
        self.fence = Some(Fence { first_sequence, until: now + FENCE_TIMEOUT, next_refresh: now, joining });
        self.platform.read_all_now(now);
        self.tick_fence(now, out);
    }

    /// Asks peers to confirm the view, or goes on without them when the time is over.
    pub(super) fn tick_fence(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(fence) = &mut self.fence else { return };
        let has_set = self.configuration.revision() > 0;
        if !has_set {
            // Who serves is often learned together with the set; the time to find the others starts with it.
            fence.until = now + FENCE_TIMEOUT;
        }
        if has_set && now >= fence.until {
            self.lift_fence(now, out);
        } else if now >= fence.next_refresh {
            fence.next_refresh = now + REFRESH_PERIOD;
            let probe_messages = self.membership.refresh(now, &mut self.rng, REFRESH_PEERS);
            self.send_probe_messages(probe_messages, out);
        }
    }

    /// Lifts the fence when the answer to a ping sent behind it shows that the peer's view is this node's own.
    pub(super) fn confirm_view(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        sequence: Sequence,
        view: u64,
        out: &mut Vec<Output>,
    ) {
        let Some(fence) = self.fence else { return };
        let views_match = self.configuration.revision() > 0 && view == self.view.digest();
        if views_match && sequence >= fence.first_sequence {
            if fence.joining {
                self.send(from, PeerMessage::FinalReportsRequest, out);
            }
            self.lift_fence(now, out);
        }
    }

    pub(super) fn lift_fence(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(fence) = self.fence.take() else { return };
        let me = self.membership.me().id;
        let others = self.membership.serving().filter(|(seat, _)| seat.id != me);
        let before = View::new(Arc::clone(self.configuration.catalog()), others);
        if fence.joining {
            self.flows.joined(now, before);
        } else {
            self.flows.woke(now, before);
        }
        let (requests, mut cx) = self.request_context(now, out);
        requests.fence_lifted(&mut cx);
    }
}
