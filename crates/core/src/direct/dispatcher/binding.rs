//! Bindings of flows to the targets at which they are open: what this instance reports, and how it applies reports.

use std::time::Duration;

use super::Dispatcher;
use crate::Timestamp;
use crate::direct::flow_bindings::FlowBinding;
use crate::direct::flow_bindings::FlowBindingReport;
use crate::direct::flow_bindings::FlowBindings;
use crate::direct::flows::Stage;
use crate::direct::segment::Cookie;
use crate::direct::segment::FlowHash;
use crate::direct::segment::FlowId;
use crate::direct::segment::Segment;
use crate::direct::segment::flow_hash_of;
use crate::direct::store::directory::cookie;
use hawthornshift_model::TargetId;

impl Dispatcher {
    /// Returns the known bindings of flows to targets.
    #[must_use]
    pub fn flow_bindings(&self) -> &FlowBindings {
        &self.flow_bindings
    }

    /// Takes the report of flow bindings to send to the group now; empty if none is due.
    pub fn take_flow_bindings(&mut self, now: Timestamp) -> FlowBindingReport {
        self.flow_bindings.take_report(now)
    }

    /// Takes the reports of all bindings of which one is still due, now or later: this instance is about to end, and nobody
    /// else would repeat them.
    pub fn take_remaining_flow_bindings(&mut self) -> Vec<FlowBindingReport> {
        self.flow_bindings.take_remaining()
    }

    /// Applies a peer's report of flow bindings, and returns the bindings that were not known.
    pub fn apply_flow_bindings(&mut self, now: Timestamp, report: &FlowBindingReport) -> Vec<FlowBinding> {
        let bindings = report.bindings.iter().copied();
        let new = bindings.filter(|binding| self.learn_binding(now, *binding, Duration::MAX)).collect();
        for flow in &report.requested {
            match self.flows.opened(*flow).map(|flow| flow.id) {
                Some(id) => self.bind_flow(now, id),
                None => self.flow_bindings.record_peer_request(now, *flow),
            }
        }
        new
    }

    /// Records a binding with its remaining lifetime, and returns whether it is new. A SYN of the flow that this instance
    /// still handles is obsolete.
    pub(super) fn learn_binding(&mut self, now: Timestamp, binding: FlowBinding, remaining: Duration) -> bool {
        let flow_hash = flow_hash_of(binding.flow);
        self.flows.moved_to_peer(flow_hash);
        self.pending.remove(flow_hash);
        if !self.flow_bindings.learn(now, binding, remaining) {
            return false;
        }
        // A record made from the cookie of a moved flow may name a target at which the flow is not open.
        if let Some(target) = self.target_by_cookie(binding.target) {
            self.flows.rebind(binding.flow, target);
        }
        true
    }

    /// Removes a flow in the handshake state that a peer reports, with the target that it has sent the flow to if the report
    /// names it.
    ///
    /// If the SYN was sent to another target from here, the peer does not know that the cookie may change. It may not have
    /// seen the end of the handshake either, so its target is not necessarily the one at which the flow is open.
    pub(super) fn handshake_moved(&mut self, flow: FlowHash, target: Option<Cookie>) {
        let Some(moved) = self.flows.moved_to_peer(flow) else { return };
        let Stage::Handshake(handshake) = moved.stage else { return };
        let elsewhere = target.is_some_and(|target| target != cookie(moved.target));
        if elsewhere || !handshake.tried.is_empty() {
            self.flow_bindings.request_from_group(moved.id.hash64());
        }
    }

    /// Returns the target at which the flow of a packet is known to be open.
    pub(super) fn bound_target(&self, segment: &Segment) -> Option<TargetId> {
        self.flow_bindings.target(segment).and_then(|cookie| self.target_by_cookie(cookie))
    }

    /// Records and reports the target of a recorded flow whose SYN other targets may have received.
    pub(super) fn bind_flow(&mut self, now: Timestamp, id: FlowId) {
        let Some(flow) = self.flows.get(&id) else { return };
        let binding = FlowBinding { flow: id.hash64(), sequence: flow.sequence, target: cookie(flow.target) };
        self.flow_bindings.observe(now, binding);
    }

    /// Reports the target of a recorded flow after a packet with the cookie of another one: if the flow moved to another
    /// instance now, that instance would send it to the other one.
    pub(super) fn report_overruled(&mut self, now: Timestamp, segment: &Segment) {
        if self.flow_bindings.target(segment).is_some() {
            self.flow_bindings.report_again(now, segment.flow.hash64());
        } else if self.flows.opened(segment.flow.hash64()).is_some() {
            self.bind_flow(now, segment.flow);
        }
    }
}
