//! Targets of open flows whose cookies may identify another target.
//!
//! A cookie identifies the target whose packet the caller received last. If several targets have received a flow's SYN, each
//! may answer it and repeats its answer for seconds, whereas the flow is open at only one of them. The instance through
//! which the handshake passed knows which. Any other instance that a later packet reaches would forward the packet by its
//! cookie, and a target that does not have the flow resets it. The instance that knows therefore reports the flow's target
//! to its group. If the caller's answer passes through another instance than the SYN did, neither knows enough: the one that
//! sends the SYN to several targets asks the group at once, and the one that receives the answer reports the target.
//!
//! The expected load: one packet in forty is lost and a group receives some 6,000 new flows a second, of which one in
//! twenty is sent to a second target.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Timestamp;
use crate::direct::segment::Cookie;
use crate::direct::segment::FlowKey;
use crate::direct::segment::Segment;
use crate::maps::FixedHashMap;

/// Maximum number of bindings in one report, which keeps its datagram below 1,400 bytes.
pub const MAX_REPORTED_BINDINGS: usize = 60;
/// Maximum number of bindings in a handover, the latest ones.
pub const MAX_HANDED_OVER_BINDINGS: usize = 4_096;
/// Maximum number of flows that one report asks for. In a usual second there is none; while no target answers, there are
/// many, which nobody knows.
const MAX_REQUESTED_FLOWS: usize = 8;
/// Minimum interval between two reports that ask for flows.
const REQUEST_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a request of a peer is kept. A caller's attempt to open a flow takes 1.4 s.
const REQUEST_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum number of requests of peers that are kept: those of a group of 110 instances for half of their lifetime.
const MAX_REQUESTS: usize = 2_048;
/// Time for which a binding is kept. Flows live for up to a minute.
const BINDING_LIFETIME: Duration = Duration::from_mins(1);
/// Maximum number of bindings: those of a group's flows of a minute under the expected load, and half as many again.
const MAX_BINDINGS: usize = 32_768;
/// Time after which a binding is reported once more. The first report may be lost, and an instance that had just started
/// is a member of the group by then.
const REPEAT_DELAY: Duration = Duration::from_secs(2);
/// Minimum interval between two reports of one binding, apart from the answer to a request.
const MIN_REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Minimum interval between two reports with bindings.
const REPORT_PERIOD: Duration = Duration::from_millis(20);
/// Bytes that a caller sends on one flow at most. A packet further ahead belongs to a later flow between the same
/// endpoints.
const MAX_SENT_BYTES: u32 = 1 << 24;

/// The target at which a flow is open.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowBinding {
    /// The flow.
    pub flow: FlowKey,
    /// Sequence number of the caller's SYN, or of the first byte that the reporting instance has seen.
    pub sequence: u32,
    /// The target.
    pub target: Cookie,
}

impl FlowBinding {
    /// Returns whether a packet between the flow's endpoints with this sequence number belongs to the flow.
    fn covers(&self, sequence: u32) -> bool {
        sequence.wrapping_sub(self.sequence) <= MAX_SENT_BYTES
    }
}

/// A message about bindings to all instances of the group.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FlowBindingReport {
    /// Flows with the targets at which they are open.
    pub bindings: Vec<FlowBinding>,
    /// Flows whose SYN the sender has sent to several targets without seeing the end of the handshake. An instance that
    /// has a record of such a flow, or gets its first packet soon, reports its binding.
    pub requested: Vec<FlowKey>,
}

impl FlowBindingReport {
    /// Returns whether the report has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bindings.is_empty() && self.requested.is_empty()
    }
}

/// A known binding.
#[derive(Clone, Copy, Debug)]
struct KnownBinding {
    binding: FlowBinding,
    expires_at: Timestamp,
    /// When this instance last reported it.
    reported_at: Option<Timestamp>,
    /// When it is to be reported next.
    report_due: Option<Timestamp>,
}

/// The known bindings, and the reports of this instance's own.
#[derive(Clone, Debug, Default)]
pub struct FlowBindings {
    known: FixedHashMap<FlowKey, KnownBinding>,
    /// The flows of all known bindings, by the time at which they expire.
    by_expiry: BTreeSet<(Timestamp, FlowKey)>,
    /// Flows whose bindings are to be reported, by the time at which the report is due.
    due_reports: BTreeSet<(Timestamp, FlowKey)>,
    next_report: Timestamp,
    /// Flows to ask the group for, the latest last.
    unsent_requests: VecDeque<FlowKey>,
    next_request: Timestamp,
    /// Flows that peers have asked for and that are not known here, by the time of the request.
    peer_requests: FixedHashMap<FlowKey, Timestamp>,
}

impl FlowBindings {
    /// Returns the number of known bindings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Returns whether no binding is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the cookie of the target at which the flow of a packet is known to be open.
    #[must_use]
    pub fn target(&self, segment: &Segment) -> Option<Cookie> {
        let known = self.known.get(&segment.flow.hash64())?;
        known.binding.covers(segment.sequence).then_some(known.binding.target)
    }

    /// Returns the cookie of the target at which the flow of a SYN is known to be open already.
    #[must_use]
    pub fn target_of_syn(&self, syn: &Segment) -> Option<Cookie> {
        let known = self.known.get(&syn.flow.hash64()).filter(|known| known.binding.sequence == syn.sequence);
        known.map(|known| known.binding.target)
    }

    /// Records the binding of a flow that this instance has observed, and schedules its report. It is due at once, because
    /// nobody else knows the target if this instance dies.
    pub fn observe(&mut self, now: Timestamp, binding: FlowBinding) {
        self.record(now, binding, BINDING_LIFETIME);
        self.schedule_report(now, binding.flow);
    }

    /// Schedules another report of a binding, because a packet has shown that the caller's cookie identifies another target.
    pub fn report_again(&mut self, now: Timestamp, flow: FlowKey) {
        let Some(known) = self.known.get(&flow) else { return };
        if known.reported_at.is_none_or(|at| now.saturating_sub(at) >= MIN_REPEAT_INTERVAL) {
            self.schedule_report(now, flow);
        }
    }

    /// Records a binding that a peer has reported with its remaining lifetime. Returns whether it is new. The first binding
    /// of a flow is kept, since the instance that observes the end of the handshake reports first.
    pub fn learn(&mut self, now: Timestamp, binding: FlowBinding, remaining: Duration) -> bool {
        if self.known.get(&binding.flow).is_some_and(|known| known.binding.covers(binding.sequence)) {
            return false;
        }
        self.record(now, binding, remaining.min(BINDING_LIFETIME));
        true
    }

    fn record(&mut self, now: Timestamp, binding: FlowBinding, remaining: Duration) {
        self.remove(binding.flow);
        if self.known.len() >= MAX_BINDINGS
            && let Some((_, oldest)) = self.by_expiry.first().copied()
        {
            self.remove(oldest);
        }
        let expires_at = now + remaining;
        self.by_expiry.insert((expires_at, binding.flow));
        self.known.insert(binding.flow, KnownBinding { binding, expires_at, reported_at: None, report_due: None });
    }

    /// Schedules the report of a known binding, in place of one that is scheduled already.
    fn schedule_report(&mut self, due: Timestamp, flow: FlowKey) {
        let Some(known) = self.known.get_mut(&flow) else { return };
        if let Some(scheduled) = known.report_due.replace(due) {
            self.due_reports.remove(&(scheduled, flow));
        }
        self.due_reports.insert((due, flow));
    }

    /// Removes the binding of a flow that has ended. It is not reported any more.
    pub fn remove(&mut self, flow: FlowKey) {
        let Some(known) = self.known.remove(&flow) else { return };
        self.by_expiry.remove(&(known.expires_at, flow));
        if let Some(due) = known.report_due {
            self.due_reports.remove(&(due, flow));
        }
    }

    /// Removes the bindings and the requests whose lifetime is over.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((_, flow)) = self.by_expiry.first().copied().filter(|(expires_at, _)| *expires_at <= now) {
            self.remove(flow);
        }
        self.peer_requests.retain(|_, at| now.saturating_sub(*at) < REQUEST_LIFETIME);
    }

    /// Records that a peer has asked for the target of a flow that is not known here.
    pub fn record_peer_request(&mut self, now: Timestamp, flow: FlowKey) {
        if self.peer_requests.len() < MAX_REQUESTS {
            self.peer_requests.insert(flow, now);
        }
    }

    /// Takes the request of a peer for a flow. Returns whether there was one.
    pub fn take_peer_request(&mut self, now: Timestamp, flow: FlowKey) -> bool {
        self.peer_requests.remove(&flow).is_some_and(|at| now.saturating_sub(at) < REQUEST_LIFETIME)
    }

    /// Asks the group for the target of a flow, in place of the flow that has waited longest if there are too many.
    pub fn request_from_group(&mut self, flow: FlowKey) {
        if self.unsent_requests.len() >= MAX_REQUESTED_FLOWS {
            self.unsent_requests.pop_front();
        }
        self.unsent_requests.push_back(flow);
    }

    /// Takes the report to send to the group now; empty if none is due.
    pub fn take_report(&mut self, now: Timestamp) -> FlowBindingReport {
        FlowBindingReport { bindings: self.take_bindings(now), requested: self.take_requests(now) }
    }

    fn take_bindings(&mut self, now: Timestamp) -> Vec<FlowBinding> {
        let mut bindings = Vec::new();
        if now < self.next_report {
            return bindings;
        }
        while bindings.len() < MAX_REPORTED_BINDINGS
            && let Some((due, flow)) = self.due_reports.first().copied().filter(|(due, _)| *due <= now)
        {
            self.due_reports.remove(&(due, flow));
            let Some(known) = self.known.get_mut(&flow) else { continue };
            known.report_due = None;
            bindings.push(known.binding);
            if known.reported_at.replace(now).is_none() {
                self.schedule_report(now + REPEAT_DELAY, flow);
            }
        }
        if !bindings.is_empty() {
            self.next_report = now + REPORT_PERIOD;
        }
        bindings
    }

    /// Takes the reports of all bindings of which one is scheduled, whenever it is due.
    pub fn take_remaining(&mut self) -> Vec<FlowBindingReport> {
        let known = &self.known;
        let due = std::mem::take(&mut self.due_reports);
        let bindings: Vec<FlowBinding> =
            due.into_iter().filter_map(|(_, flow)| known.get(&flow)).map(|known| known.binding).collect();
        let parts = bindings.chunks(MAX_REPORTED_BINDINGS);
        parts.map(|part| FlowBindingReport { bindings: part.to_vec(), requested: Vec::new() }).collect()
    }

    fn take_requests(&mut self, now: Timestamp) -> Vec<FlowKey> {
        if now < self.next_request || self.unsent_requests.is_empty() {
            return Vec::new();
        }
        self.next_request = now + REQUEST_PERIOD;
        let known = &self.known;
        self.unsent_requests.drain(..).filter(|flow| !known.contains_key(flow)).collect()
    }

    /// Returns when the next report is due, if there is one.
    #[must_use]
    pub fn next_due(&self) -> Option<Timestamp> {
        let bindings = self.due_reports.first().map(|(due, _)| self.next_report.max(*due));
        let requests = (!self.unsent_requests.is_empty()).then_some(self.next_request);
        bindings.into_iter().chain(requests).min()
    }

    /// Returns the latest bindings with their remaining lifetimes, for an instance that has just started.
    pub fn handover(&self, now: Timestamp) -> impl Iterator<Item = (FlowBinding, Duration)> {
        let latest = self.by_expiry.iter().rev().take(MAX_HANDED_OVER_BINDINGS);
        let latest = latest.filter_map(|(_, flow)| self.known.get(flow));
        latest.map(move |known| (known.binding, known.expires_at.saturating_sub(now)))
    }
}
