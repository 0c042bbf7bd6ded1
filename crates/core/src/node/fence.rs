//! Fencing: a node that has just started or resumed after a pause decides nothing until a peer confirms its view.

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

/// Number of peers that a fenced instance pings at the same time.
const REFRESH_PEERS: usize = 3;
/// Time after which a fenced instance serves although no peer has confirmed its view. It is then alone or partitioned,
/// and serves what it can.
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two rounds of pings while the view is unconfirmed.
const REFRESH_PERIOD: Duration = Duration::from_millis(150);

/// State of a fenced node, which makes no new decisions until a peer has confirmed its view.
///
/// A node is fenced after its start, when it knows no other instance and would take every flow for a new one of its
/// own, and after a pause, during which others may have taken over its flows and targets.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fence {
    /// Pings from this sequence number on were sent while fenced.
    first_sequence: Sequence,
    /// When the node serves without confirmation.
    timeout_at: Timestamp,
    /// When the next peers are pinged.
    next_refresh: Timestamp,
    /// Whether the node has just started.
    joining: bool,
}

impl Fence {
    /// Returns the fence of a node that starts now.
    pub(super) fn joining(now: Timestamp) -> Self {
        Self { first_sequence: 0, timeout_at: now + FENCE_TIMEOUT, next_refresh: now, joining: true }
    }
}

impl Node {
    /// Detects that the process was paused for longer than its lease, and fences the node.
    ///
    /// Other instances may have taken over its flows and targets meanwhile. Without the fence the node could send
    /// packets to a failure domain that is out of service, or act as a second coordinator of a target. It decides
    /// nothing new until a peer has acknowledged a ping that was sent after the pause.
    pub(super) fn detect_pause(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let gap = now.saturating_sub(self.last_input);
        self.last_input = self.last_input.max(now);
        if gap < self.tuning.lease || self.phase == Phase::Starting {
            return;
        }
        out.push(Output::Notice(Notice::PauseDetected { gap }));
        let joining = self.fence.is_some_and(|fence| fence.joining);
        let first_sequence = self.membership.next_sequence();
        self.fence = Some(Fence { first_sequence, timeout_at: now + FENCE_TIMEOUT, next_refresh: now, joining });
        self.platform.read_all_now(now);
        self.tick_fence(now, out);
    }

    /// Pings peers to confirm the view, or lifts the fence when the timeout has passed.
    pub(super) fn tick_fence(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let Some(fence) = &mut self.fence else { return };
        let has_set = self.configuration.revision() > 0;
        if !has_set {
            // The serving instances are often learned together with the set, so the timeout starts with it.
            fence.timeout_at = now + FENCE_TIMEOUT;
        }
        if has_set && now >= fence.timeout_at {
            self.lift_fence(now, out);
        } else if now >= fence.next_refresh {
            fence.next_refresh = now + REFRESH_PERIOD;
            let probe_messages = self.membership.refresh(now, &mut self.rng, REFRESH_PEERS);
            self.send_probe_messages(probe_messages, out);
        }
    }

    /// Lifts the fence if an acknowledgement of a ping sent while fenced shows that the peer has the same view.
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
        let others = self.membership.serving().filter(|(instance, _)| instance.id != me);
        let before = View::new(Arc::clone(self.configuration.catalog()), others);
        if fence.joining {
            self.flows.joined(now, before);
        } else {
            self.flows.resumed_after_pause(now, before);
        }
        let (requests, mut cx) = self.request_context(now, out);
        requests.fence_lifted(&mut cx);
    }
}
