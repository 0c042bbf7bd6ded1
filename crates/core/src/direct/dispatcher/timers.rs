//! Timers: handshake and queue timeouts, and the periodic review of open requests.

use std::time::Duration;

use super::Dispatcher;
use super::Effect;
use super::MISSED_PACKETS_WINDOW;
use super::Packet;
use crate::Timestamp;
use crate::direct::decision::Decision;
use crate::direct::decision::Outcome;
use crate::direct::flows::Stage;
use crate::direct::limits::pending::ATTEMPT_DURATION;
use crate::direct::limits::pending::PendingFlow;
use crate::direct::mechanisms::Mechanism;
use crate::direct::placement::Choice;
use crate::direct::placement::Limit;
use crate::direct::segment::FlowHash;
use crate::direct::segment::FlowId;
use crate::direct::store::directory::cookie;
use hawthornshift_model::TargetId;

/// Delay of a timer from which this process, and not the target, is assumed to have been paused.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(20);
/// Delay of a timer from which its handshake is not evaluated at all: packets that the caller sent meanwhile may be
/// lost.
const LONG_PAUSE: Duration = Duration::from_millis(200);
/// Minimum interval between two reviews of the open requests.
const REVIEW_PERIOD: Duration = Duration::from_millis(50);
/// Additional time for which a review waits for another event while there is nothing to review, so that an idle instance
/// is not woken only for that.
const IDLE_REVIEW_DELAY: Duration = Duration::from_millis(50);
/// Divisor of the number of a service's targets: at most one of this many, and at least one target, may be ejected
/// for overdue answers.
const MAX_EJECTED_DIVISOR: usize = 4;
/// Interval between two sweeps of expired flow records.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

impl Dispatcher {
    /// Runs the timers that are due, and appends the effects.
    pub fn tick(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        self.link.tick(now);
        if !self.early_syns.is_empty() {
            self.dispatch_early_syns(now, effects);
        }
        while let Some((due, id)) = self.flows.pop_due(now) {
            self.handle_handshake_timeout(now, due, id, effects);
        }
        while let Some(pending) = self.pending.pop_due(now) {
            self.handle_pending_timeout(now, pending, effects);
        }
        if now >= self.next_review {
            let late = now.saturating_sub(self.review_due());
            self.next_review = now + REVIEW_PERIOD;
            if late >= LONG_PAUSE {
                self.checks.process_paused(now);
                self.packets_missed_until = Some(now + MISSED_PACKETS_WINDOW);
            }
            self.review_open_requests(now);
            self.review_shares(now);
            self.review_quotas(now);
            self.update_target_speeds(now);
            self.check_targets(now, effects);
        }
        self.open_requests.expire(now);
        self.flow_bindings.expire(now);
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_PERIOD;
            self.expire_findings(now);
            for flow in self.flows.sweep(now) {
                self.record_unanswered(now, &flow);
            }
        }
        self.dispatch(now, effects);
    }

    /// Drops the findings whose evidence is too old. Findings about reach expire with the checks.
    fn expire_findings(&mut self, now: Timestamp) {
        self.outliers.expire_returning(now);
        if self.is_enabled(Mechanism::FindingAge) {
            self.outliers.expire(now);
            self.domains.expire(now);
            self.adaptive_limits.expire(now);
        }
    }

    /// Renews the requests that are still open, and abandons those that have ended unobserved or will never
    /// end.
    ///
    /// While callers' packets may bypass this instance, a request without a packet for a long time has probably been
    /// answered. At other times its target is ejected first: a target that accepts requests and never answers would
    /// otherwise seem idle and receive more of them.
    fn review_open_requests(&mut self, now: Timestamp) {
        let packets_missed = now < *self.packets_missed_until.get_or_insert(now + MISSED_PACKETS_WINDOW);
        let (mut ended, mut open) = (Vec::new(), Vec::new());
        for flow in self.flows.unanswered() {
            let silence = self.open_requests.silence_limit(now, flow.target);
            let overdue = self.answer_times.limit(flow.id.service).filter(|_| !packets_missed);
            if now.saturating_sub(flow.last_seen) >= overdue.map_or(silence, |limit| limit.max(silence)) {
                ended.push(flow.id);
            } else {
                open.push((flow.id.flow_hash(), flow.target));
            }
        }
        for (flow, target) in open {
            self.renew_open_request(now, flow, target);
        }
        for id in ended {
            if !packets_missed && !self.link.is_congested(now) && self.is_enabled(Mechanism::OverdueDetection) {
                self.detect_overdue_answer(now, id);
            }
            self.abandon_request(id);
        }
    }

    /// Ejects the target of an overdue request if the target is at fault.
    fn detect_overdue_answer(&mut self, now: Timestamp, id: FlowId) {
        let Some(sent) = self.open_requests.opened_at(id.flow_hash()) else { return };
        if !self.answer_times.has_later_answer(id.service, sent)
            || self.may_be_queued(id)
            || self.too_many_ejected(now, id)
        {
            return;
        }
        let Some(flow) = self.flows.get_mut(&id).filter(|flow| matches!(flow.stage, Stage::AwaitingAnswer { .. }))
        else {
            return;
        };
        flow.overdue = true;
        let target = flow.target;
        if self.failures.overdue(now, target) {
            self.report.overdue.push(cookie(target));
            let took = now.saturating_sub(sent);
            self.record_decision(Decision { took, target: Some(target), ..Decision::new(id, Outcome::AnswerOverdue) });
        }
    }

    /// Returns whether a flow's request may be queued at its target or may have been dropped there: the target has
    /// more requests than slots, or the service is overloaded in its failure domain.
    fn may_be_queued(&self, id: FlowId) -> bool {
        let target = self.flows.get(&id).and_then(|flow| self.directory.target(flow.target));
        target.is_none_or(|target| {
            let spec = &target.spec;
            let overloaded = self.adaptive_limits.size(&spec.service, &spec.failure_domain).is_some();
            overloaded || self.open_requests.count(target.id) > spec.slots.max(1)
        })
    }

    /// Returns whether ejecting one more target of a flow's service would exceed the limit. Beyond it another cause
    /// is more likely, or the remaining targets would be overloaded.
    fn too_many_ejected(&self, now: Timestamp, id: FlowId) -> bool {
        let target = self.flows.get(&id).and_then(|flow| self.directory.target(flow.target));
        let Some(target) = target else { return true };
        let service = &target.spec.service;
        let all = self.directory.capacity(now, service, None).targets;
        let ejected = self.failures.ejected(now).filter(|id| self.directory.is_candidate_of(now, *id, service)).count();
        (ejected + 1) * MAX_EJECTED_DIVISOR > all.max(MAX_EJECTED_DIVISOR)
    }

    /// Keeps an open request from expiring, and reports it if peers need it.
    fn renew_open_request(&mut self, now: Timestamp, flow: FlowHash, target: TargetId) {
        if !self.open_requests.is_open(flow) {
            return;
        }
        let needs_report = self.open_requests.needs_report(now, flow);
        if needs_report || !self.open_requests.is_reported(flow) {
            self.open_requests.record_still_open(now, flow);
        }
        if needs_report {
            self.report_open(now, flow, target);
        }
    }

    /// Handles a handshake that was not completed in time: retries it at another target, or abandons it.
    fn handle_handshake_timeout(&mut self, now: Timestamp, due: Timestamp, id: FlowId, effects: &mut Vec<Effect>) {
        let Some(flow) = self.flows.get(&id) else { return };
        let Stage::Handshake(handshake) = &flow.stage else { return };
        if handshake.sent >= due {
            return;
        }
        // After a pause, packets that callers sent meanwhile have not been read yet. Evaluating the timers by the
        // clock alone would suspect every target at once and send SYNs twice.
        let late = now.saturating_sub(due);
        if late >= LONG_PAUSE {
            return;
        }
        if late >= MAX_TIMER_DELAY {
            self.flows.schedule_handshake_timeout(id.flow_hash(), now + MAX_TIMER_DELAY);
            return;
        }
        if self.link.is_congested(now) && now.saturating_sub(handshake.sent) < ATTEMPT_DURATION {
            // The link may have dropped the SYN, so it is sent again, to the same target.
            let (target, packet) = (flow.target, handshake.packet.clone());
            self.forward(target, 0, Packet::Buffered(packet), effects);
            let wait = self.handshake_timeout.limit() + self.link.handshake_delay(now);
            self.flows.schedule_handshake_timeout(id.flow_hash(), now + wait);
            return;
        }
        // Without a completed handshake there is no request, whether the target is dead or the caller has abandoned
        // the attempt. If such flows stayed counted, every target would seem full in the seconds after an outage.
        if !self.retry_handshake(now, id, effects) {
            self.abandon_request(id);
        }
    }

    /// Places or rejects a pending flow whose waiting time is over, since its caller's attempt is about to end.
    fn handle_pending_timeout(&mut self, now: Timestamp, pending: PendingFlow, effects: &mut Vec<Effect>) {
        match self.choose(now, &pending, Limit::Reserve) {
            Choice::Target(target) => self.place(now, pending, target, Outcome::Placed, effects),
            Choice::Full => self.reject_pending(now, &pending, Outcome::ResetFull, effects),
            Choice::NoTarget => self.reject_pending(now, &pending, Outcome::ResetNoTarget, effects),
        }
    }

    /// Returns the time of the next timer, at which [`Dispatcher::tick`] is to be called.
    #[must_use]
    pub fn next_due(&self) -> Timestamp {
        let dues = [self.flows.next_due(), self.pending.next_due(), self.flow_bindings.next_due()];
        dues.into_iter().flatten().fold(self.review_due(), Timestamp::min)
    }

    /// Returns whether a timer is due, or may run now because the instance is awake.
    #[must_use]
    pub fn may_tick(&self, now: Timestamp) -> bool {
        now >= self.next_review || now >= self.next_due()
    }

    /// Returns the time by which the open requests are to be reviewed.
    fn review_due(&self) -> Timestamp {
        if self.is_idle() { self.next_review + IDLE_REVIEW_DELAY } else { self.next_review }
    }

    /// Returns whether a review would find nothing: no request is open here, no flow waits, no check is under way or
    /// due, and no service is or was overloaded.
    fn is_idle(&self) -> bool {
        !self.open_requests.has_local()
            && self.pending.is_empty()
            && self.early_syns.is_empty()
            && !self.checks.is_active()
            && self.adaptive_limits.count() == 0
            && self.slot_quotas.in_force().next().is_none()
            && !self.link.has_heavy_flows()
    }
}
