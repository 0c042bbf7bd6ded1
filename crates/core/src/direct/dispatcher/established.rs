//! Handling of packets other than SYNs: forwarding by flow record or cookie, and passive health checks of targets.

use std::time::Duration;

use super::Dispatcher;
use super::Effect;
use super::Packet;
use super::record;
use crate::Timestamp;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::flows::AnswerStart;
use crate::direct::flows::Flow;
use crate::direct::flows::RequestStart;
use crate::direct::flows::Stage;
use crate::direct::mechanisms::Mechanism;
use crate::direct::reports::load_report::AnsweredRequest;
use crate::direct::reports::load_report::FailedRequest;
use crate::direct::segment::FlowId;
use crate::direct::segment::Segment;
use crate::direct::segment::SegmentKind;
use crate::direct::store::directory::Target;
use crate::direct::store::directory::cookie;
use crate::direct::targets::target_speed;
use hawthornshift_model::TargetId;

/// Factor on the usual request time. A request that its caller abandons after that time counts as a failure of the
/// target. The slowest of a thousand requests takes six times the usual.
const ABANDONED_FAILURE_FACTOR: u32 = 10;

/// A handshake completed by the caller's first packet after the SYN.
#[derive(Clone, Copy, Debug)]
struct Handshake {
    /// When the SYN was sent to the recorded target.
    sent: Timestamp,
    /// Whether the recorded target was the first one that the SYN was sent to.
    first: bool,
    /// Whether a target other than the recorded one completed the handshake.
    moved: bool,
    /// Whether another instance may have received a copy of the SYN and sent it to a target of its own choice.
    bypassed: bool,
}

impl Handshake {
    /// Returns whether targets other than the one at which the flow is open may have received the SYN.
    fn is_ambiguous(&self) -> bool {
        !self.first || self.moved || self.bypassed
    }
}

impl Dispatcher {
    /// Handles any packet but a SYN.
    ///
    /// During the handshake the cookie takes precedence over the recorded target, since a SYN may have been sent to
    /// several targets; later the record takes precedence. A flow without a record goes to the target that a peer has
    /// reported for it, if any, and by its cookie otherwise.
    pub(super) fn handle_established(&mut self, now: Timestamp, segment: &Segment, effects: &mut Vec<Effect>) {
        let record = self.flows.get(&segment.flow);
        let known = record.map(|flow| flow.target);
        let is_open = record.is_some_and(|flow| !matches!(flow.stage, Stage::Handshake(_)));
        let by_cookie = self.target_by_cookie(segment.cookie);
        let target = if is_open { known } else { self.bound_target(segment).or(by_cookie).or(known) };
        let Some(target) = target else {
            self.pending.remove(segment.flow.flow_hash());
            self.record_decision(Decision::new(segment.flow, Outcome::DroppedUnknownCookie));
            return;
        };
        if by_cookie.is_some_and(|by_cookie| by_cookie != target) {
            let decision = Decision::new(segment.flow, Outcome::CookieOverruled);
            self.record_decision(Decision { target: Some(target), ..decision });
            self.report_overruled(now, segment);
        }
        if known.is_some() {
            self.track_segment(now, segment, target, effects);
        } else {
            self.track_moved_flow(now, segment, target, effects);
        }
        if self.is_evacuated(now, target) {
            self.record_decision(Decision {
                target: Some(target),
                ..Decision::new(segment.flow, Outcome::DroppedEvacuated)
            });
        } else if !self.reset_unreachable(now, segment, target, effects) {
            self.forward(target, segment.cookie, Packet::Current, effects);
        }
        self.dispatch(now, effects);
    }

    /// Records a flow whose packets used to pass through another instance.
    ///
    /// Data is a request that has not been answered yet. Any other packet means that the answer has started to
    /// arrive. That is reported to the instance that has the earlier record, which would otherwise count the request
    /// as open until it expires.
    fn track_moved_flow(&mut self, now: Timestamp, segment: &Segment, target: TargetId, effects: &mut Vec<Effect>) {
        let (id, flow_hash) = (segment.flow, segment.flow.flow_hash());
        let is_request = segment.payload_bytes > 0 && segment.kind == SegmentKind::Ack;
        let stage = match segment.kind {
            _ if is_request => Stage::AwaitingAnswer { request_ack: segment.acknowledged },
            SegmentKind::Ack => Stage::Answered(None),
            _ => Stage::Closed,
        };
        let objective = self.directory.route(id.service).map_or(Duration::MAX, |route| route.latency_objective);
        // The sequence number of the original SYN is unknown, so a SYN that arrives now is taken for a new flow.
        let sequence = segment.sequence.wrapping_sub(1);
        let (first_seen, last_seen, overdue) = (now, now, false);
        // The start of the request may have passed through the other instance.
        let request = RequestStart::default();
        self.flows.insert(Flow { id, target, sequence, stage, first_seen, last_seen, objective, overdue, request });
        if self.flow_bindings.take_peer_request(now, id.hash64()) {
            self.bind_flow(now, id);
        }
        if is_request {
            self.expect_answer(now, target, effects);
            self.open_requests.start(now, flow_hash, target);
            self.record_class_open(target, segment.flow);
            self.report_open(now, flow_hash, target);
        } else {
            self.open_requests.finish(now, flow_hash);
            let unreported = self.open_requests.take_unreported(target);
            self.report.ended.push(AnsweredRequest { flow: flow_hash, unreported });
        }
    }

    /// Returns whether a target's failure domain has been evacuated for at least the grace period.
    pub(super) fn is_evacuated(&self, now: Timestamp, target: TargetId) -> bool {
        let domain = self.directory.target(target).map(|target: &Target| target.spec.failure_domain.as_str());
        let since = domain.and_then(|domain| self.directory.evacuated_since(domain));
        since.is_some_and(|since| now.saturating_sub(since) >= self.config.evacuation_grace)
    }

    /// Updates the record of a flow by one packet.
    fn track_segment(&mut self, now: Timestamp, segment: &Segment, target: TargetId, effects: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get_mut(&segment.flow) else { return };
        flow.last_seen = now;
        if segment.payload_bytes > 0 && flow.stage.awaits_answer() {
            flow.request.sent.get_or_insert(now);
        }
        let request_ack = match &flow.stage {
            Stage::Handshake(pending) => {
                let (sent, first) = (pending.sent, pending.tried.is_empty());
                let bypassed = pending.copies.may_have_bypassed(now);
                let moved = std::mem::replace(&mut flow.target, target) != target;
                flow.stage = Stage::AwaitingAnswer { request_ack: segment.acknowledged };
                self.finish_handshake(now, segment.flow, target, Handshake { sent, first, moved, bypassed });
                segment.acknowledged
            }
            Stage::AwaitingAnswer { request_ack } => *request_ack,
            Stage::Answered(start) if segment.payload_bytes > 0 => {
                let start = *start;
                flow.stage = Stage::AwaitingAnswer { request_ack: segment.acknowledged };
                flow.first_seen = now;
                flow.request = RequestStart { sent: Some(now), open: self.open_requests.count(target) + 1 };
                self.detect_failure(now, segment, target, start);
                let flow_hash = segment.flow.flow_hash();
                self.expect_answer(now, target, effects);
                self.open_requests.start(now, flow_hash, target);
                self.record_class_open(target, segment.flow);
                self.report_if_needed(now, flow_hash, target);
                segment.acknowledged
            }
            Stage::Answered(start) => {
                let start = *start;
                if segment.kind == SegmentKind::Fin {
                    self.detect_failure(now, segment, target, start);
                }
                segment.acknowledged
            }
            Stage::Closed => segment.acknowledged,
        };
        // Sequence numbers wrap around.
        let answer_started = segment.acknowledged.wrapping_sub(request_ack).cast_signed() > 0;
        if answer_started {
            self.record_answer_start(now, segment.flow, request_ack);
            if segment.kind == SegmentKind::Fin {
                self.detect_failure_at_fin(now, segment, target);
            }
        }
        if segment.kind != SegmentKind::Ack {
            self.close_flow(now, segment.flow);
        }
    }

    /// Records a completed handshake, which shows that the target and its failure domain are reachable. The duration
    /// is sampled only if the SYN was sent to no other target before.
    fn finish_handshake(&mut self, now: Timestamp, flow: FlowId, target: TargetId, handshake: Handshake) {
        let Handshake { sent, first, moved, .. } = handshake;
        self.record_handshake(now, target);
        if handshake.is_ambiguous() {
            self.bind_flow(now, flow);
        }
        if first {
            let took = now.saturating_sub(sent);
            self.handshake_timeout.sample(took);
            record(&mut self.handshake_latencies, took);
        }
        // If an earlier target than the last one answers, the handshake began with the first SYN.
        let since = if moved { self.flows.get(&flow).map_or(sent, |flow| flow.first_seen) } else { sent };
        self.link.handshake(now, now.saturating_sub(since));
        if moved {
            self.open_requests.start(now, flow.flow_hash(), target);
            self.record_class_open(target, flow);
            self.report_open(now, flow.flow_hash(), target);
        }
    }

    /// Records that a target has completed a handshake of a flow, or of a check after it was out of reach.
    pub(super) fn record_handshake(&mut self, now: Timestamp, target: TargetId) {
        if self.outliers.handshake_completed(now, target) {
            self.mark_cold_after_silence(now, target);
        }
        if let Some(target) = self.directory.target(target)
            && self.domains.answered(now, target)
        {
            self.report.alive_domains.push(target.spec.failure_domain.clone());
        }
        self.record_liveness(now, target);
    }

    /// Marks a target that answers after a long silence as cold, and reports that to the peers.
    fn mark_cold_after_silence(&mut self, now: Timestamp, target: TargetId) {
        let cold_time = self.directory.cold_time(target);
        if !cold_time.is_zero() && self.is_enabled(Mechanism::ReturningCold) {
            self.outliers.mark_cold(now, target, cold_time);
            self.report.recovered.push((cookie(target), cold_time));
        }
    }

    /// Records that a flow's answer has started to arrive: the target has finished the request.
    fn record_answer_start(&mut self, now: Timestamp, id: FlowId, request_ack: u32) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if !flow.stage.awaits_answer() {
            return;
        }
        let (took, objective, target) = (now.saturating_sub(flow.first_seen), flow.objective, flow.target);
        let request = flow.request;
        flow.stage = Stage::Answered(Some(AnswerStart { request_ack, after: took }));
        let overdue = std::mem::take(&mut flow.overdue);
        record(&mut self.answer_latencies, took);
        self.concurrency_limit.answered(now, took, objective);
        if took > objective {
            let decision = Decision { took, target: Some(target), ..Decision::new(id, Outcome::AnsweredLate) };
            self.record_decision(decision);
        }
        if overdue {
            self.failures.answered_overdue(now, target);
            self.report.answered_overdue.push(cookie(target));
            self.record_decision(Decision {
                took,
                target: Some(target),
                ..Decision::new(id, Outcome::AnsweredOverdue)
            });
        }
        self.learn_speed(now, id, target, request);
        self.record_answered(now, id, target, took);
    }

    /// Records how long a target worked on a request that it has just answered.
    fn learn_speed(&mut self, now: Timestamp, id: FlowId, target: TargetId, request: RequestStart) {
        let (Some(sent), Some(round_trip)) = (request.sent, self.handshake_timeout.round_trip()) else { return };
        let Some(target) = self.directory.target(target).filter(|_| self.is_enabled(Mechanism::TargetSpeed)) else {
            return;
        };
        let work = target_speed::work_time(now.saturating_sub(sent), round_trip, request.open, target.spec.slots);
        self.target_speeds.sample(now, id.service, target, work);
    }

    /// Ends the open request of an answered flow and updates the statistics that are based on answer times.
    fn record_answered(&mut self, now: Timestamp, id: FlowId, target: TargetId, took: Duration) {
        self.link.answered(id.flow_hash());
        self.record_liveness(now, target);
        let Some(ended) = self.open_requests.finish(now, id.flow_hash()) else {
            self.open_requests.record_request_time(now, target, took);
            return;
        };
        self.failures.answered(ended.target);
        self.answer_times.answered(id.service, now.saturating_sub(ended.took), ended.took);
        self.record_answer_time(now, ended.target, ended.took);
        if ended.reported {
            let unreported = self.open_requests.take_unreported(ended.target);
            self.report.ended.push(AnsweredRequest { flow: id.flow_hash(), unreported });
        }
    }

    /// Updates the adaptive limit and the service's rates by an answer time.
    fn record_answer_time(&mut self, now: Timestamp, target: TargetId, took: Duration) {
        let Some(target) = self.directory.target(target) else { return };
        let (service, domain) = (target.spec.service.clone(), target.spec.failure_domain.clone());
        let mut limits = std::mem::take(&mut self.adaptive_limits);
        limits.answered(now, &service, &domain, took, || self.placement().usage(now, &service, Some(&domain)));
        self.adaptive_limits = limits;
        self.service_rates.answered(&service, took);
        if !self.slot_quotas.is_in_force(&service) && self.adaptive_limits.is_limited(&service) {
            self.review_quota(now, &service);
        }
    }

    /// Classifies an answer whose start and end are acknowledged by the same packet.
    fn detect_failure_at_fin(&mut self, now: Timestamp, segment: &Segment, target: TargetId) {
        if let Some(Stage::Answered(start)) = self.flows.get(&segment.flow).map(|flow| flow.stage.clone()) {
            self.detect_failure(now, segment, target, start);
        }
    }

    /// Classifies a complete answer (its caller has acknowledged all of it) and counts a failure of the target if it
    /// looks like one.
    fn detect_failure(&mut self, now: Timestamp, segment: &Segment, target: TargetId, start: Option<AnswerStart>) {
        let Some(AnswerStart { request_ack, after }) = start else { return };
        let bytes = segment.acknowledged.wrapping_sub(request_ack);
        if self.is_enabled(Mechanism::FailureDetection)
            && self.failures.looks_failed(segment.flow.service, bytes, after)
        {
            self.failures.failed(now, target);
            self.report_failure(target);
            let decision = Decision::new(segment.flow, Outcome::AnsweredFailure);
            self.record_decision(Decision { took: after, target: Some(target), ..decision });
        }
    }

    /// Stops counting a flow's open request, and reports that if the request had been reported.
    pub(super) fn abandon_request(&mut self, id: FlowId) {
        if self.open_requests.abandon(id.flow_hash()) == Some(true) {
            self.report.abandoned.push(id.flow_hash());
        }
    }

    /// Reports a failed request of a target.
    fn report_failure(&mut self, target: TargetId) {
        let unreported = self.open_requests.take_unreported(target);
        self.report.failed.push(FailedRequest { target: cookie(target), unreported });
    }

    /// Marks a flow as closed. The record stays for acknowledgements that still arrive.
    fn close_flow(&mut self, now: Timestamp, id: FlowId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let open = flow.clone();
        flow.stage = Stage::Closed;
        self.flow_bindings.remove(id.hash64());
        if open.stage.awaits_answer() {
            self.record_unanswered(now, &open);
        }
    }

    /// Records the end of a flow without an answer. If the request had taken much longer than usual, it counts as a
    /// failure of the target.
    pub(super) fn record_unanswered(&mut self, now: Timestamp, flow: &Flow) {
        let took = now.saturating_sub(flow.first_seen);
        let judged = self.is_enabled(Mechanism::FailureDetection) && !flow.overdue && !self.link.is_congested(now);
        if judged
            && matches!(flow.stage, Stage::AwaitingAnswer { .. })
            && took >= self.open_requests.usual() * ABANDONED_FAILURE_FACTOR
        {
            self.failures.failed(now, flow.target);
            self.report_failure(flow.target);
        }
        let in_handshake = matches!(flow.stage, Stage::Handshake(_));
        let outcome = if in_handshake { Outcome::HandshakeUnfinished } else { Outcome::EndedUnanswered };
        let decision = Decision::new(flow.id, outcome);
        self.record_decision(Decision { took, target: Some(flow.target), ..decision });
        self.abandon_request(flow.id);
    }
}
