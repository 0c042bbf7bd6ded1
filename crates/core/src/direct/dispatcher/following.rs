//! Packets of flows that are open, and what they tell of their targets.

use std::time::Duration;

use super::Dispatcher;
use super::Effect;
use super::Packet;
use super::record;
use crate::Timestamp;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::directory::Target;
use crate::direct::directory::cookie;
use crate::direct::flows::AnswerBegun;
use crate::direct::flows::Flow;
use crate::direct::flows::Stage;
use crate::direct::load_report::AnsweredRequest;
use crate::direct::load_report::FailedRequest;
use crate::direct::mechanisms::Mechanism;
use crate::direct::segment::FlowId;
use crate::direct::segment::Segment;
use crate::direct::segment::SegmentKind;
use hawthornshift_model::TargetId;

/// Usual times of a request after which one whose caller gives up counts as a failure of its target. The slowest of a
/// thousand requests takes six times the usual.
const HUNG: u32 = 10;

/// A handshake that the caller has just finished.
#[derive(Clone, Copy, Debug)]
struct Handshake {
    /// When the SYN was sent to the target that the record names.
    sent: Timestamp,
    /// Whether that was the first target tried.
    first: bool,
    /// Whether another target than that one answered.
    moved: bool,
}

impl Dispatcher {
    /// Decides about any packet but a SYN.
    pub(super) fn carry(&mut self, now: Timestamp, segment: &Segment, effects: &mut Vec<Effect>) {
        let known = self.flows.get(&segment.flow).map(|flow| flow.target);
        let answered_by = self.directory.by_cookie(segment.cookie).map(|target| target.id);
        let opening = self.flows.get(&segment.flow).is_some_and(|flow| matches!(flow.stage, Stage::Handshake(_)));
        let target = if opening { answered_by.or(known) } else { known.or(answered_by) };
        let Some(target) = target else {
            self.waiting.remove(segment.flow.flow_hash());
            self.decide(Decision::new(segment.flow, Outcome::DroppedUnknownCookie));
            return;
        };
        if known.is_some() {
            self.follow(now, segment, target, effects);
        } else {
            self.take_over(now, segment, target, effects);
        }
        if self.is_shut(now, target) {
            self.decide(Decision { target: Some(target), ..Decision::new(segment.flow, Outcome::DroppedEvacuated) });
        } else if !self.reset_unreachable(now, segment, target, effects) {
            self.forward(target, segment.cookie, Packet::Current, effects);
        }
        self.dispatch(now, effects);
    }

    /// Follows a flow from here on whose record is on an instance that its caller's packets no longer reach.
    ///
    /// Data is a request that has still to be answered. Anything else says that the answer has begun to arrive, and
    /// the instance with the record must hear of it, or the target would look busy for as long as work is believed
    /// without word.
    fn take_over(&mut self, now: Timestamp, segment: &Segment, target: TargetId, effects: &mut Vec<Effect>) {
        let (id, short) = (segment.flow, segment.flow.flow_hash());
        let asks = segment.payload_bytes > 0 && segment.kind == SegmentKind::Ack;
        let stage = match segment.kind {
            _ if asks => Stage::AwaitingAnswer { base: segment.acknowledged },
            SegmentKind::Ack => Stage::Answered(None),
            _ => Stage::Closed,
        };
        let objective = self.directory.route(id.service).map_or(Duration::MAX, |route| route.latency_objective);
        // The number of the SYN is not known any more; one that comes now is a new flow's.
        let sequence = segment.sequence.wrapping_sub(1);
        let (first_seen, last_seen, overdue) = (now, now, false);
        self.flows.insert(Flow { id, target, sequence, stage, first_seen, last_seen, objective, overdue });
        if asks {
            self.expect_answer(now, target, effects);
            self.open_requests.start(now, short, target);
            self.report_open(now, short, target);
        } else {
            self.open_requests.finish(now, short);
            let unreported = self.open_requests.take_unreported(target);
            self.report.ended.push(AnsweredRequest { flow: short, unreported });
        }
    }

    /// Tells whether a target's failure domain has been taken out for so long that nothing may reach it.
    fn is_shut(&self, now: Timestamp, target: TargetId) -> bool {
        let domain = self.directory.target(target).map(|target: &Target| target.spec.failure_domain.as_str());
        let since = domain.and_then(|domain| self.directory.evacuated_since(domain));
        since.is_some_and(|since| now.saturating_sub(since) >= self.config.evacuation_grace)
    }

    /// Follows a flow with a record by one packet.
    fn follow(&mut self, now: Timestamp, segment: &Segment, target: TargetId, effects: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get_mut(&segment.flow) else { return };
        flow.last_seen = now;
        let base = match &flow.stage {
            Stage::Handshake(opening) => {
                let (sent, first) = (opening.sent, opening.tried.is_empty());
                let moved = std::mem::replace(&mut flow.target, target) != target;
                flow.stage = Stage::AwaitingAnswer { base: segment.acknowledged };
                self.finish_handshake(now, segment.flow, target, Handshake { sent, first, moved });
                segment.acknowledged
            }
            Stage::AwaitingAnswer { base } => *base,
            Stage::Answered(begun) if segment.payload_bytes > 0 => {
                let begun = *begun;
                flow.stage = Stage::AwaitingAnswer { base: segment.acknowledged };
                flow.first_seen = now;
                self.judge_answer(now, segment, target, begun);
                let short = segment.flow.flow_hash();
                self.expect_answer(now, target, effects);
                self.open_requests.start(now, short, target);
                self.report_if_notable(now, short, target);
                segment.acknowledged
            }
            Stage::Answered(begun) => {
                let begun = *begun;
                if segment.kind == SegmentKind::Fin {
                    self.judge_answer(now, segment, target, begun);
                }
                segment.acknowledged
            }
            Stage::Closed => segment.acknowledged,
        };
        // Wrapping distance: sequence numbers pass zero.
        let risen = segment.acknowledged.wrapping_sub(base).cast_signed() > 0;
        if risen {
            self.answer(now, segment.flow, base);
            if segment.kind == SegmentKind::Fin {
                self.judge_begun(now, segment, target);
            }
        }
        if segment.kind != SegmentKind::Ack {
            self.close(now, segment.flow);
        }
    }

    fn finish_handshake(&mut self, now: Timestamp, flow: FlowId, target: TargetId, handshake: Handshake) {
        let Handshake { sent, first, moved } = handshake;
        if self.outliers.answered(now, target) {
            self.recovered(now, target);
        }
        if let Some(target) = self.directory.target(target)
            && self.domains.answered(now, target)
        {
            self.report.alive_domains.push(target.spec.failure_domain.clone());
        }
        self.note_alive(now, target);
        if first {
            let took = now.saturating_sub(sent);
            self.handshake_timeout.sample(took);
            record(&mut self.handshakes, took);
        }
        if moved {
            self.open_requests.start(now, flow.flow_hash(), target);
            self.report_open(now, flow.flow_hash(), target);
        }
    }

    /// Counts a target that answers after a long silence as cold, here and at the peers.
    fn recovered(&mut self, now: Timestamp, target: TargetId) {
        let cold_time = self.directory.cold_time(target);
        if !cold_time.is_zero() && self.has(Mechanism::ReturningCold) {
            self.outliers.mark_cold(now, target, cold_time);
            self.report.recovered.push((cookie(target), cold_time));
        }
    }

    /// Notes that a flow's answer has begun to arrive: its target is done with the request.
    fn answer(&mut self, now: Timestamp, id: FlowId, base: u32) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        if !flow.stage.awaits_answer() {
            return;
        }
        let (took, objective, target) = (now.saturating_sub(flow.first_seen), flow.objective, flow.target);
        flow.stage = Stage::Answered(Some(AnswerBegun { base, after: took }));
        let overdue = std::mem::take(&mut flow.overdue);
        record(&mut self.answers, took);
        self.concurrency.answered(now, took, objective);
        if took > objective {
            let decision = Decision { took, target: Some(target), ..Decision::new(id, Outcome::AnsweredLate) };
            self.decide(decision);
        }
        if overdue {
            self.failures.answered_overdue(now, target);
            self.report.answered_overdue.push(cookie(target));
            self.decide(Decision { took, target: Some(target), ..Decision::new(id, Outcome::AnsweredOverdue) });
        }
        self.end_answered(now, id, target, took);
    }

    fn end_answered(&mut self, now: Timestamp, id: FlowId, target: TargetId, took: Duration) {
        self.note_alive(now, target);
        let Some(ended) = self.open_requests.finish(now, id.flow_hash()) else {
            self.open_requests.learn(now, target, took);
            return;
        };
        self.failures.answered(ended.target);
        self.answer_times.answered(id.service, now.saturating_sub(ended.took), ended.took);
        self.learn_load(now, ended.target, ended.took);
        if ended.reported {
            let unreported = self.open_requests.take_unreported(ended.target);
            self.report.ended.push(AnsweredRequest { flow: id.flow_hash(), unreported });
        }
    }

    /// Learns from an answer how loaded a service's targets are.
    fn learn_load(&mut self, now: Timestamp, target: TargetId, took: Duration) {
        let Some(target) = self.directory.target(target) else { return };
        let (service, domain) = (target.spec.service.clone(), target.spec.failure_domain.clone());
        let mut limits = std::mem::take(&mut self.limits);
        limits.answered(now, &service, &domain, took, || self.placement().usage(now, &service, Some(&domain)));
        self.limits = limits;
        self.rates.answered(&service, took);
    }

    /// Judges an answer that began and ended with the same packet.
    fn judge_begun(&mut self, now: Timestamp, segment: &Segment, target: TargetId) {
        if let Some(Stage::Answered(begun)) = self.flows.get(&segment.flow).map(|flow| flow.stage.clone()) {
            self.judge_answer(now, segment, target, begun);
        }
    }

    /// Judges an answer that has ended: its caller has acknowledged all of it.
    fn judge_answer(&mut self, now: Timestamp, segment: &Segment, target: TargetId, begun: Option<AnswerBegun>) {
        let Some(AnswerBegun { base, after }) = begun else { return };
        let bytes = segment.acknowledged.wrapping_sub(base);
        if self.has(Mechanism::FailureDetection) && self.failures.looks_failed(segment.flow.service, bytes, after) {
            self.failures.failed(now, target);
            self.report_failure(target);
            let decision = Decision::new(segment.flow, Outcome::AnsweredFailure);
            self.decide(Decision { took: after, target: Some(target), ..decision });
        }
    }

    pub(super) fn end_work(&mut self, id: FlowId) {
        if self.open_requests.abandon(id.flow_hash()) == Some(true) {
            self.report.abandoned.push(id.flow_hash());
        }
    }

    fn report_failure(&mut self, target: TargetId) {
        let unreported = self.open_requests.take_unreported(target);
        self.report.failed.push(FailedRequest { target: cookie(target), unreported });
    }

    /// Notes a flow's end. Its record stays for the acknowledgements that still come.
    fn close(&mut self, now: Timestamp, id: FlowId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let open = flow.clone();
        flow.stage = Stage::Closed;
        if open.stage.awaits_answer() {
            self.unanswered(now, &open);
        }
    }

    pub(super) fn unanswered(&mut self, now: Timestamp, flow: &Flow) {
        let took = now.saturating_sub(flow.first_seen);
        let judged = self.has(Mechanism::FailureDetection) && !flow.overdue;
        if judged && matches!(flow.stage, Stage::AwaitingAnswer { .. }) && took >= self.open_requests.usual() * HUNG {
            self.failures.failed(now, flow.target);
            self.report_failure(flow.target);
        }
        let opening = matches!(flow.stage, Stage::Handshake(_));
        let outcome = if opening { Outcome::HandshakeUnfinished } else { Outcome::EndedUnanswered };
        let decision = Decision::new(flow.id, outcome);
        self.decide(Decision { took, target: Some(flow.target), ..decision });
        self.end_work(flow.id);
    }
}
